//! Rate limits of workspaces, enforced across all entry instances without coordination per
//! request.
//!
//! Each instance reports the total number of units that it has granted. It keeps a token bucket
//! with the full rate and deducts the other instances' grants from it as their reports arrive.
//! For each member whose reports do not arrive, it gives up that member's equal share of rate and
//! burst, as that member may still be granting on its own.

use crate::clock::Time;
use crate::forward::config::{Unit, Workspace};
use crate::id;
use crate::size::Tokens;

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Upper bound of the retry delay that is sent to a refused caller.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);

/// Half-life, in seconds, of the size of the largest recent request.
const LARGEST_HALF_LIFE_SECONDS: f64 = 4.0;
/// Largest share of a burst that is reserved for large requests.
const MAX_RESERVED_SHARE: f64 = 0.5;

/// Members that share the rates, and how many of them report, this instance included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Coverage {
    /// Members that may grant units.
    pub members: u32,
    /// Members whose grants are known here.
    pub reporting: u32,
}

impl Coverage {
    /// Share of a rate that belongs to members whose grants are known here.
    fn share(self) -> f64 {
        f64::from(self.reporting.max(1)) / f64::from(self.members.max(self.reporting).max(1))
    }
}

/// Total units that an instance has granted to a workspace since it started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Granted {
    /// The workspace.
    pub workspace: id::Workspace,
    /// Total units.
    pub units: u64,
}

/// Refusal of a request that exceeds its workspace's rate, with the figures that decided it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shortage {
    /// Time until its units will be available.
    pub retry_after: Duration,
    /// Units that the request takes.
    pub units: u64,
    /// Units left in the bucket.
    pub level: f64,
    /// Rate in units per second.
    pub rate: f64,
}

#[derive(Debug, Clone)]
struct Peer {
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
    updated: Time,
    /// Decaying size of the largest recent request, in units.
    largest: f64,
    granted: u64,
    /// Grants of the other instances, sorted by boot number.
    peers: Vec<Peer>,
}

impl Account {
    fn advance(&mut self, now: Time, coverage: Coverage) {
        let share = coverage.share();
        let elapsed = now.since(self.updated).as_secs_f64();
        self.level = (self.level + elapsed * self.rate * share).min(self.burst * share);
        self.largest *= (-elapsed / LARGEST_HALF_LIFE_SECONDS).exp2();
        self.updated = now;
    }

    /// Level that the bucket must have before a request is granted. A small request must leave
    /// what a large one needs, so that both are refused equally often. Otherwise a steady flow
    /// of small requests, which fit first, would keep the bucket too low for large ones.
    fn needed(&mut self, units: u64, coverage: Coverage) -> f64 {
        let burst = self.burst * coverage.share();
        self.largest = self.largest.max(units as f64);
        let reserved = self.largest.min(burst * MAX_RESERVED_SHARE);
        // A request larger than the burst is granted on a full bucket; otherwise it never could be.
        (units as f64).max(reserved).min(burst)
    }
}

/// Token buckets of all workspaces.
#[derive(Debug, Clone, Default)]
pub struct Limiter {
    /// Sorted by workspace.
    accounts: Vec<Account>,
}

impl Limiter {
    /// Applies the limits of a configuration. Levels and grants of known workspaces are kept.
    pub fn configure(&mut self, now: Time, workspaces: &[Workspace]) {
        let old = std::mem::take(&mut self.accounts);
        for workspace in workspaces {
            let previous = old
                .iter()
                .find(|account| account.workspace == workspace.name);
            self.accounts.push(Account {
                workspace: workspace.name.clone(),
                unit: workspace.unit,
                plain: workspace.plain,
                rate: workspace.rate,
                burst: workspace.burst,
                level: previous.map_or(workspace.burst, |old| old.level.min(workspace.burst)),
                updated: previous.map_or(now, |old| old.updated),
                largest: previous.map_or(0.0, |old| old.largest),
                granted: previous.map_or(0, |old| old.granted),
                peers: previous.map_or_else(Vec::new, |old| old.peers.clone()),
            });
        }
        self.accounts.sort_by(|a, b| a.workspace.cmp(&b.workspace));
    }

    /// Grants a request, or returns the time until its units will be available.
    ///
    /// `tokens` is the length of the prompt plus the upper bound of the answer's length; a request
    /// without a token count costs the workspace's plain amount.
    ///
    /// # Errors
    /// The delay before a retry, and the figures that decided the refusal.
    pub fn take(
        &mut self,
        now: Time,
        workspace: &id::Workspace,
        tokens: Option<Tokens>,
        coverage: Coverage,
    ) -> Result<(), Shortage> {
        let Some(account) = self.account(workspace) else {
            return Ok(());
        };
        let units = match account.unit {
            Unit::Requests => 1,
            Unit::Tokens => tokens.unwrap_or(account.plain).0,
        };
        account.advance(now, coverage);
        let needed = account.needed(units, coverage);
        if account.rate > 0.0 && account.level < needed {
            let wait = (needed - account.level) / (account.rate * coverage.share());
            return Err(Shortage {
                retry_after: Duration::from_secs_f64(wait.min(MAX_RETRY_DELAY.as_secs_f64())),
                units,
                level: account.level,
                rate: account.rate,
            });
        }
        account.level -= units as f64;
        account.granted += units;
        Ok(())
    }

    /// Deducts the units that another instance reports to have granted since it started.
    pub fn merge_granted(&mut self, boot: u64, granted: &[Granted]) {
        for report in granted {
            let Some(account) = self.account(&report.workspace) else {
                continue;
            };
            match account.peers.binary_search_by_key(&boot, |peer| peer.boot) {
                Ok(index) => {
                    let peer = &mut account.peers[index];
                    let more = report.units.saturating_sub(peer.units);
                    peer.units += more;
                    account.level -= more as f64;
                }
                // Units granted before its first report came out of the share given up for it.
                Err(index) => account.peers.insert(
                    index,
                    Peer {
                        boot,
                        units: report.units,
                    },
                ),
            }
        }
    }

    /// Units that this instance has granted since it started, by workspace.
    #[must_use]
    pub fn granted(&self) -> Vec<Granted> {
        let limited = self.accounts.iter().filter(|account| account.rate > 0.0);
        limited
            .map(|account| Granted {
                workspace: account.workspace.clone(),
                units: account.granted,
            })
            .collect()
    }

    fn account(&mut self, workspace: &id::Workspace) -> Option<&mut Account> {
        let found = self
            .accounts
            .binary_search_by(|account| account.workspace.cmp(workspace));
        found.ok().map(|index| &mut self.accounts[index])
    }
}
