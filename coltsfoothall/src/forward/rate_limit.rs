//! Rate limits of workspaces, enforced across all entry instances without coordination per
//! request.
//!
//! Each instance reports the total number of units that it has granted. It keeps a token bucket
//! with the full rate and deducts the other instances' grants from it as their reports arrive.
//! For each member whose reports do not arrive, it gives up that member's equal share of rate and
//! burst, as that member may still be granting on its own.
//!
//! Reports are a round of heartbeats old. While a workspace asks for more than its rate, requests
//! are therefore refused at random, with the probability that makes all instances together grant
//! the rate (global random drop of "Cloud Control with Distributed Rate Limiting", Raghavan et
//! al., SIGCOMM 2007). The demand is known from the units that each instance granted and refused.

use crate::clock::Time;
use crate::forward::config::{Unit, Workspace};
use crate::id;
use crate::size::Tokens;

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// Upper bound of the retry delay that is sent to a refused caller.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);

/// Upper bound, in seconds, of the part of that delay that stands for what others ask for.
const MAX_EXCESS_SECONDS: f64 = 1.0;
/// Half-life, in seconds, of the size of the largest recent request.
const LARGEST_HALF_LIFE_SECONDS: f64 = 4.0;
/// Largest share of a burst that is reserved for large requests.
const MAX_RESERVED_SHARE: f64 = 0.5;
/// Largest share of a burst that may be asked for within a round of reports before requests are
/// refused at random.
const MAX_UNREPORTED_SHARE: f64 = 0.25;
/// Rounds for which an instance's demand counts after its last report.
const MAX_DEMAND_ROUNDS: f64 = 2.5;
/// Averaging time, in seconds, of the units that are asked for.
const FLOW_SECONDS: f64 = 1.0;
/// Share of the burst at which the level is held while a workspace asks for more than its rate.
const LEVEL_GOAL: f64 = 0.5;
/// Correction of the granted rate for a level off its goal, relative to the rate, times the round
/// of reports in seconds. A stronger one would overshoot before its effect is reported.
const GAIN_ROUNDS: f64 = 0.5;
/// Upper bound of that correction.
const MAX_GAIN: f64 = 2.0;
/// Weight of the newest interval between reports in the moving average.
const ROUND_WEIGHT: f64 = 0.02;
/// Interval that is assumed before an instance has reported twice.
const ASSUMED_ROUND_SECONDS: f64 = 1.0;
/// Upper bound of such an interval in seconds: an instance may be cut off for longer.
const MAX_ROUND_SECONDS: f64 = 10.0;
/// Least time for which a total is reported in each round after it changed.
pub const CHANGED_PERIOD: Duration = Duration::from_secs(3);
/// Rounds in which it is reported, as datagrams may be lost.
const CHANGED_ROUNDS: f64 = 3.0;
/// Rounds for one in which all totals are reported, for instances that have just started.
pub const COMPLETE_ROUNDS: usize = 16;
/// How long an instance's totals are kept after its last report.
const SOURCE_RETENTION: Duration = Duration::from_secs(60);
/// How long refused units are reported after the last refusal.
const REFUSED_PERIOD: Duration = Duration::from_secs(10);

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

/// Total units that an instance has granted to a workspace, or refused it, since it started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// The workspace.
    pub workspace: id::Workspace,
    /// Total units.
    pub units: u64,
}

/// What an instance reports to the others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Whether it holds all totals that are not zero.
    pub complete: bool,
    /// Units granted to each workspace, sorted.
    pub granted: Vec<Total>,
    /// Units refused to the workspaces that were refused any recently, sorted.
    pub refused: Vec<Total>,
}

impl Report {
    fn refused(&self, workspace: &id::Workspace) -> Option<u64> {
        let found = self
            .refused
            .binary_search_by(|total| total.workspace.cmp(workspace));
        found.ok().map(|index| self.refused[index].units)
    }
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

/// Settings of a limiter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Seed of the random choices; it differs between instances.
    pub seed: u64,
    /// Share of the burst that is available under the first limits that are applied. It is zero in
    /// a process that may have replaced another one: if all instances restarted with full buckets,
    /// each workspace could spend a second burst at once.
    pub initial_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            seed: 0,
            initial_share: 1.0,
        }
    }
}

/// Units per second, as a decaying average.
#[derive(Debug, Clone, Copy)]
struct Flow {
    units: f64,
    updated: Time,
}

impl Flow {
    fn add(&mut self, now: Time, units: u64) {
        self.units = self.units(now) + units as f64;
        self.updated = now;
    }

    fn per_second(&self, now: Time) -> f64 {
        self.units(now) / FLOW_SECONDS
    }

    fn units(&self, now: Time) -> f64 {
        self.units * (-now.since(self.updated).as_secs_f64() / FLOW_SECONDS).exp()
    }
}

/// An instance that reports to this one.
#[derive(Debug, Clone, Copy)]
struct Source {
    boot: u64,
    reports: u64,
    /// Whether it has reported all of its totals once.
    complete: bool,
    /// Time of the last report.
    reported: Time,
}

/// What another instance reported on one workspace.
#[derive(Debug, Clone)]
struct Peer {
    boot: u64,
    granted: u64,
    refused: u64,
    /// Time of its last report.
    reported: Time,
    /// Units per second that it is asked for.
    demand: f64,
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
    /// Units that were granted to requests that did not run. Totals never fall, so these cover
    /// later requests.
    unused: u64,
    refused: u64,
    refused_at: Time,
    /// When units were last granted or refused.
    changed: Time,
    /// Units asked for here.
    demand: Flow,
    /// Reports of the other instances, sorted by boot number.
    peers: Vec<Peer>,
}

impl Account {
    /// A bucket that holds `share` of the burst.
    fn new(now: Time, workspace: &Workspace, share: f64) -> Self {
        Self {
            workspace: workspace.name.clone(),
            unit: workspace.unit,
            plain: workspace.plain,
            rate: workspace.rate,
            burst: workspace.burst,
            level: workspace.burst * share,
            updated: now,
            largest: 0.0,
            granted: 0,
            unused: 0,
            refused: 0,
            refused_at: Time::START,
            changed: Time::START,
            demand: Flow {
                units: 0.0,
                updated: now,
            },
            peers: Vec::new(),
        }
    }

    fn advance(&mut self, now: Time, coverage: Coverage) {
        let share = coverage.share();
        let elapsed = now.since(self.updated).as_secs_f64();
        self.largest *= (-elapsed / LARGEST_HALF_LIFE_SECONDS).exp2();
        let most = (self.burst * share).max(self.largest.min(self.burst));
        self.level = (self.level + elapsed * self.rate * share).min(most);
        self.updated = now;
    }

    /// Time until a refused request may be granted, with the figures that decided its refusal.
    fn shortage(&self, units: u64, needed: f64, demand: f64, coverage: Coverage) -> Shortage {
        let rate = self.rate * coverage.share();
        let missing = (needed - self.level).max(0.0);
        // While more is asked than the rate, an earlier retry would be refused as well.
        let excess = (demand - rate).clamp(0.0, rate * MAX_EXCESS_SECONDS);
        let wait = (missing + excess) / rate;
        Shortage {
            retry_after: Duration::from_secs_f64(wait.min(MAX_RETRY_DELAY.as_secs_f64())),
            units,
            level: self.level,
            rate: self.rate,
        }
    }

    /// Level that the bucket must have before a request is granted. A small request must leave
    /// what a large one needs, so that both are refused equally often. Otherwise a steady flow
    /// of small requests, which fit first, would keep the bucket too low for large ones.
    fn needed(&mut self, units: u64, coverage: Coverage) -> f64 {
        self.largest = self.largest.max(units as f64);
        let reserved = self
            .largest
            .min(self.burst * coverage.share() * MAX_RESERVED_SHARE);
        // A request larger than the burst is granted on a full bucket; otherwise it never could be.
        // One larger than this instance's share of the burst has to wait until its units are
        // there: if each of hundreds of instances granted one beyond its share, they would exceed
        // the burst many times.
        (units as f64).max(reserved).min(self.burst)
    }

    /// Probability with which a request is granted while the workspace asks for more than its rate.
    ///
    /// Without it all instances would grant everything until they hear of each other's grants, and
    /// nothing until the deficit is paid back: seconds of overload and of refusals in turns.
    fn probability(&self, demand: f64, coverage: Coverage, round: f64) -> f64 {
        let (burst, rate) = (self.burst * coverage.share(), self.rate * coverage.share());
        let unreported = demand * round;
        if coverage.members < 2
            || unreported < burst * MAX_UNREPORTED_SHARE
            || self.level - unreported >= burst * LEVEL_GOAL
        {
            return 1.0;
        }
        let excess = self.level / burst - LEVEL_GOAL;
        let gain = (GAIN_ROUNDS / round).min(MAX_GAIN);
        let target = rate * (1.0 + gain * excess).max(0.0);
        if demand <= target {
            1.0
        } else {
            target / demand
        }
    }

    /// Units that a request takes.
    fn units(&self, tokens: Option<Tokens>) -> u64 {
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens => tokens.unwrap_or(self.plain).0,
        }
    }

    fn grant(&mut self, units: u64) {
        self.level -= units as f64;
        let covered = units.min(self.unused);
        self.unused -= covered;
        self.granted += units - covered;
    }

    fn record_refused(&mut self, now: Time, units: u64) {
        self.refused += units;
        self.refused_at = now;
    }

    /// Units per second that are asked for at the instances that report. Of these, `unknown` have
    /// not reported twice yet, and are assumed to be asked for as much as this one.
    fn total_demand(&self, now: Time, unknown: u32, round: f64) -> f64 {
        let oldest = Duration::from_secs_f64(round * MAX_DEMAND_ROUNDS);
        let recent = self
            .peers
            .iter()
            .filter(|peer| now.since(peer.reported) <= oldest);
        let others: f64 = recent.map(|peer| peer.demand).sum();
        others + self.demand.per_second(now) * f64::from(unknown + 1)
    }

    /// Merges the totals that another instance reports for this workspace; `previous` is the time
    /// of its report before. Without one, a total that is new here only serves as the basis of later
    /// ones: units granted before came out of the share given up for that instance.
    fn merge(
        &mut self,
        now: Time,
        boot: u64,
        granted: u64,
        refused: Option<u64>,
        previous: Option<Time>,
    ) {
        let found = self.peers.binary_search_by_key(&boot, |peer| peer.boot);
        let index = found.unwrap_or_else(|index| {
            // A total that is new later on was zero before.
            let basis = |units: u64| if previous.is_some() { 0 } else { units };
            let peer = Peer {
                boot,
                granted: basis(granted),
                refused: basis(refused.unwrap_or(0)),
                reported: previous.unwrap_or(now),
                demand: 0.0,
            };
            self.peers.insert(index, peer);
            index
        });
        let peer = &mut self.peers[index];
        let more_granted = granted.saturating_sub(peer.granted);
        let more_refused = refused.unwrap_or(0).saturating_sub(peer.refused);
        let seconds = now.since(peer.reported).as_secs_f64();
        peer.granted += more_granted;
        peer.refused += more_refused;
        if seconds > 0.0 {
            let demand = (more_granted + more_refused) as f64 / seconds;
            peer.demand += (seconds / FLOW_SECONDS).min(1.0) * (demand - peer.demand);
            peer.reported = now;
        }
        self.level -= more_granted as f64;
    }
}

/// Token buckets of all workspaces.
#[derive(Debug, Clone)]
pub struct Limiter {
    settings: Settings,
    /// When limits were first applied.
    configured: Option<Time>,
    /// Sorted by workspace.
    accounts: Vec<Account>,
    random: Pcg64Mcg,
    /// The other instances, sorted by boot number.
    sources: Vec<Source>,
    /// Average seconds between two reports of an instance, once any has reported twice.
    round: Option<f64>,
}

impl Default for Limiter {
    fn default() -> Self {
        Self::new(Settings::default())
    }
}

impl Limiter {
    /// Creates a limiter without workspaces.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            settings,
            configured: None,
            accounts: Vec::new(),
            sources: Vec::new(),
            round: None,
        }
    }

    /// Applies the limits of a configuration. Levels and grants of known workspaces are kept.
    pub fn configure(&mut self, now: Time, workspaces: &[Workspace]) {
        // A workspace that is added later has spent nothing yet.
        let share = if self.configured.is_none() {
            self.settings.initial_share
        } else {
            1.0
        };
        self.configured.get_or_insert(now);
        let mut old = std::mem::take(&mut self.accounts);
        for workspace in workspaces {
            let known = old.binary_search_by(|account| account.workspace.cmp(&workspace.name));
            let account = match known {
                Ok(index) => old.remove(index),
                Err(_absent) => Account::new(now, workspace, share),
            };
            self.accounts.push(Account {
                unit: workspace.unit,
                plain: workspace.plain,
                rate: workspace.rate,
                burst: workspace.burst,
                level: account.level.min(workspace.burst),
                ..account
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
        let round = self.round.unwrap_or(ASSUMED_ROUND_SECONDS);
        let unknown = self.unknown(coverage);
        let draw: f64 = self.random.random();
        let Some(account) = self.account(workspace) else {
            return Ok(());
        };
        let units = account.units(tokens);
        account.advance(now, coverage);
        account.changed = now;
        account.demand.add(now, units);
        let needed = account.needed(units, coverage);
        if account.rate > 0.0 {
            let demand = account.total_demand(now, unknown, round);
            let is_short = account.level < needed;
            if is_short || draw >= account.probability(demand, coverage, round) {
                account.record_refused(now, units);
                return Err(account.shortage(units, needed, demand, coverage));
            }
        }
        account.grant(units);
        Ok(())
    }

    /// Returns the units of a request that was granted and did not run.
    pub fn give_back(&mut self, workspace: &id::Workspace, tokens: Option<Tokens>) {
        if let Some(account) = self.account(workspace) {
            let units = account.units(tokens);
            account.level += units as f64;
            account.unused += units;
        }
    }

    /// Merges the totals that another instance reports.
    pub fn merge(&mut self, now: Time, boot: u64, report: &Report) {
        if let Ok(index) = self.source(boot) {
            let last = self.sources[index].reported;
            let interval = now.since(last).as_secs_f64().min(MAX_ROUND_SECONDS);
            let round = self.round.unwrap_or(interval);
            self.round = Some(round + ROUND_WEIGHT * (interval - round));
        }
        self.merge_relayed(now, boot, report);
    }

    /// Merges the totals of an instance that does not report to this one itself.
    pub fn merge_relayed(&mut self, now: Time, boot: u64, report: &Report) {
        let previous = self.record_source(now, boot, report.complete);
        for total in &report.granted {
            if let Some(account) = self.account(&total.workspace) {
                let refused = report.refused(&total.workspace);
                account.merge(now, boot, total.units, refused, previous);
            }
        }
    }

    /// Records that an instance reports now. Returns when it reported before, once it has reported
    /// all of its totals.
    fn record_source(&mut self, now: Time, boot: u64, complete: bool) -> Option<Time> {
        match self.source(boot) {
            Ok(index) => {
                let source = &mut self.sources[index];
                source.reports += 1;
                let before = std::mem::replace(&mut source.reported, now);
                let known = source.complete;
                source.complete |= complete;
                known.then_some(before)
            }
            Err(index) => {
                let source = Source {
                    boot,
                    reports: 1,
                    complete,
                    reported: now,
                };
                self.sources.insert(index, source);
                self.remove_silent(now);
                None
            }
        }
    }

    /// Number of instances that count as reporting and have not reported twice.
    fn unknown(&self, coverage: Coverage) -> u32 {
        let known = self.sources.iter().filter(|source| source.reports > 1);
        coverage.reporting.saturating_sub(known.count() as u32 + 1)
    }

    /// Forgets instances that have not reported for long.
    fn remove_silent(&mut self, now: Time) {
        let is_silent = |source: &Source| now.since(source.reported) > SOURCE_RETENTION;
        if !self.sources.iter().any(is_silent) {
            return;
        }
        self.sources.retain(|source| !is_silent(source));
        let sources = &self.sources;
        for account in &mut self.accounts {
            account.peers.retain(|peer| {
                let known = sources.binary_search_by_key(&peer.boot, |source| source.boot);
                known.is_ok()
            });
        }
    }

    fn source(&self, boot: u64) -> Result<usize, usize> {
        self.sources
            .binary_search_by_key(&boot, |source| source.boot)
    }

    /// Totals of this instance since it started that changed recently, and every few rounds all of
    /// them.
    #[must_use]
    pub fn report(&self, now: Time, round: usize) -> Report {
        let rounds = Duration::from_secs_f64(self.round.unwrap_or(0.0) * CHANGED_ROUNDS);
        let recent = CHANGED_PERIOD.max(rounds);
        // All totals of a process that has just started have changed recently.
        let is_young = self.configured.is_some_and(|at| now.since(at) < recent);
        let complete = is_young || round.is_multiple_of(COMPLETE_ROUNDS);
        let limited = self.accounts.iter().filter(|account| {
            account.rate > 0.0
                && (account.granted > 0 || account.refused > 0)
                && (complete || now.since(account.changed) < recent)
        });
        let total = |account: &Account, units: u64| Total {
            workspace: account.workspace.clone(),
            units,
        };
        let recently = limited.clone().filter(|account| {
            account.refused > 0 && now.since(account.refused_at) < REFUSED_PERIOD
        });
        Report {
            complete,
            granted: limited
                .map(|account| total(account, account.granted))
                .collect(),
            refused: recently
                .map(|account| total(account, account.refused))
                .collect(),
        }
    }

    fn account(&mut self, workspace: &id::Workspace) -> Option<&mut Account> {
        let found = self
            .accounts
            .binary_search_by(|account| account.workspace.cmp(workspace));
        found.ok().map(|index| &mut self.accounts[index])
    }
}
