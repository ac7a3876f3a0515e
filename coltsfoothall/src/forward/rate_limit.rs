//! Rates of workspaces, kept by all entry instances together without a word per request.
//!
//! Each instance tells the others how many units it has granted in all. It holds the
//! whole rate in its own bucket and charges the others' grants to it as it hears of
//! them. For each member that it does not hear, it gives up that member's equal part
//! of rate and burst, which that member may be granting on its own.

use crate::clock::Time;
use crate::forward::config::{Unit, Workspace};
use crate::id;
use crate::size::Tokens;

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Longest time that a refused caller is told to stay away.
const LONGEST: Duration = Duration::from_secs(10);

/// Seconds in which the largest request seen counts half.
const LARGEST_HALVED: f64 = 4.0;
/// Most of a burst that is kept for large requests.
const KEPT: f64 = 0.5;

/// Members that share the rates, and those of them that are heard, this one included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Coverage {
    /// Members that may grant.
    pub members: u32,
    /// Members whose grants are known.
    pub heard: u32,
}

impl Coverage {
    /// The part of a rate that this instance may treat as known to it.
    fn part(self) -> f64 {
        f64::from(self.heard.max(1)) / f64::from(self.members.max(self.heard).max(1))
    }
}

/// Units that an instance has granted to a workspace since its boot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Granted {
    /// The workspace.
    pub workspace: id::Workspace,
    /// Units in all.
    pub units: u64,
}

/// A request that is over its workspace's rate, with what decided it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shortage {
    /// When its units will be there.
    pub retry_after: Duration,
    /// Units that it takes.
    pub units: u64,
    /// Units that were left.
    pub level: f64,
    /// Units a second.
    pub rate: f64,
}

#[derive(Debug, Clone)]
struct Heard {
    boot: u64,
    units: u64,
}

#[derive(Debug, Clone)]
struct Account {
    workspace: id::Workspace,
    unit: Unit,
    plain: Tokens,
    rate: f64,
    burst: f64,
    level: f64,
    at: Time,
    /// The largest request asked lately, in units.
    largest: f64,
    spent: u64,
    /// Sorted by boot.
    heard: Vec<Heard>,
}

impl Account {
    fn advance(&mut self, now: Time, reach: Coverage) {
        let part = reach.part();
        let passed = now.since(self.at).as_secs_f64();
        self.level = (self.level + passed * self.rate * part).min(self.burst * part);
        self.largest *= (-passed / LARGEST_HALVED).exp2();
        self.at = now;
    }

    /// Units that must be there before a request is granted. Small ones leave in the bucket
    /// what a large one needs, so that both are refused as often; else the small ones, which
    /// fit first, keep the bucket too low for the large ones for as long as they come.
    fn needed(&mut self, units: u64, reach: Coverage) -> f64 {
        let burst = self.burst * reach.part();
        self.largest = self.largest.max(units as f64);
        let kept = self.largest.min(burst * KEPT);
        // A request larger than the whole burst passes on a full bucket, else it never could.
        (units as f64).max(kept).min(burst)
    }
}

/// What the workspaces may still be granted.
#[derive(Debug, Clone, Default)]
pub struct Limiter {
    /// Sorted by workspace.
    accounts: Vec<Account>,
}

impl Limiter {
    /// Takes over the limits of a configuration; what was granted before still counts.
    pub fn configure(&mut self, now: Time, workspaces: &[Workspace]) {
        let old = std::mem::take(&mut self.accounts);
        for workspace in workspaces {
            let had = old.iter().find(|have| have.workspace == workspace.name);
            self.accounts.push(Account {
                workspace: workspace.name.clone(),
                unit: workspace.unit,
                plain: workspace.plain,
                rate: workspace.rate,
                burst: workspace.burst,
                level: had.map_or(workspace.burst, |had| had.level.min(workspace.burst)),
                at: had.map_or(now, |had| had.at),
                largest: had.map_or(0.0, |had| had.largest),
                spent: had.map_or(0, |had| had.spent),
                heard: had.map_or_else(Vec::new, |had| had.heard.clone()),
            });
        }
        self.accounts.sort_by(|a, b| a.workspace.cmp(&b.workspace));
    }

    /// Grants a request, or says after what time its units will be there.
    ///
    /// `tokens` is what the request reads and asks for; a request that names none counts
    /// as the workspace's plain amount.
    ///
    /// # Errors
    /// When to come back, and what decided it.
    pub fn take(
        &mut self,
        now: Time,
        workspace: &id::Workspace,
        tokens: Option<Tokens>,
        reach: Coverage,
    ) -> Result<(), Shortage> {
        let Some(account) = self.account(workspace) else {
            return Ok(());
        };
        let units = match account.unit {
            Unit::Requests => 1,
            Unit::Tokens => tokens.unwrap_or(account.plain).0,
        };
        account.advance(now, reach);
        let needed = account.needed(units, reach);
        if account.rate > 0.0 && account.level < needed {
            let wait = (needed - account.level) / (account.rate * reach.part());
            return Err(Shortage {
                retry_after: Duration::from_secs_f64(wait.min(LONGEST.as_secs_f64())),
                units,
                level: account.level,
                rate: account.rate,
            });
        }
        account.level -= units as f64;
        account.spent += units;
        Ok(())
    }

    /// Charges what another instance says it has granted since its boot.
    pub fn merge_granted(&mut self, boot: u64, spent: &[Granted]) {
        for said in spent {
            let Some(account) = self.account(&said.workspace) else {
                continue;
            };
            match account.heard.binary_search_by_key(&boot, |have| have.boot) {
                Ok(place) => {
                    let had = &mut account.heard[place];
                    let more = said.units.saturating_sub(had.units);
                    had.units += more;
                    account.level -= more as f64;
                }
                // What was granted before it was first heard was covered by its part.
                Err(place) => account.heard.insert(
                    place,
                    Heard {
                        boot,
                        units: said.units,
                    },
                ),
            }
        }
    }

    /// What this instance has granted since its boot.
    #[must_use]
    pub fn granted(&self) -> Vec<Granted> {
        let limited = self.accounts.iter().filter(|account| account.rate > 0.0);
        limited
            .map(|account| Granted {
                workspace: account.workspace.clone(),
                units: account.spent,
            })
            .collect()
    }

    fn account(&mut self, workspace: &id::Workspace) -> Option<&mut Account> {
        let found = self
            .accounts
            .binary_search_by(|have| have.workspace.cmp(workspace));
        found.ok().map(|place| &mut self.accounts[place])
    }
}
