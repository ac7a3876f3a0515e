//! Gradual upgrade of a service to another version, with rollback if that version is worse.
//!
//! An order names the candidate; all other versions are the baseline. Each instance sends the
//! candidate a fixed share of its own requests on each route. Shares are not pooled, so a network
//! partition or a restart never increases the candidate's total. Answers are counted by route and
//! side, and the counts of all instances are summed. Every instance judges the sums on its own, so
//! that a worse candidate stops getting work at once, without the store. The leader advances a
//! good candidate in steps and reports when the whole service has moved.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Time;
use crate::forward::history::Position;
use crate::forward::verdict::{Count, Detector};
use crate::forward::version::Label;
use crate::id;
use crate::size::Millis;

/// Bounds of an upgrade.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Share of a route's requests that the candidate gets during the trial.
    pub trial_share: f64,
    /// Share of the time limit that the trial takes at least.
    pub min_trial_fraction: f64,
    /// Duration of one step; each step doubles the candidate's share.
    pub step_duration: Duration,
    /// Answers of the candidate that are required before the share grows.
    pub min_answers: u32,
    /// Answers of the candidate that are required on each busy route before the share grows.
    pub min_route_answers: u32,
    /// Answers of the baseline from which on a route is busy.
    pub busy_route_answers: u32,
    /// Bounds the unused credit, in requests, so that a candidate that was absent is not flooded.
    pub max_credit: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            trial_share: 0.08,
            min_trial_fraction: 0.6,
            step_duration: Duration::from_millis(700),
            min_answers: 30,
            min_route_answers: 8,
            busy_route_answers: 200,
            max_credit: 2.0,
        }
    }
}

/// An operator's order to move a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The service.
    pub service: id::Service,
    /// The candidate.
    pub target: id::Version,
    /// Time limit of the decision.
    pub limit: Duration,
    /// Position at which it was written; a later order for the service replaces it.
    pub position: Position,
}

/// Progress of an upgrade.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// The candidate is observed with a small share.
    Trial,
    /// The candidate is as good as the baseline; its share doubles with each step.
    Moving {
        /// Steps so far, from 1.
        step: u32,
    },
    /// The whole service has moved.
    Complete,
    /// The candidate is worse, or was not found good within the time limit; it gets no work.
    RolledBack,
}

impl Stage {
    /// Whether no other stage can follow.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Complete | Self::RolledBack)
    }
}

/// Which versions may run a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Versions {
    /// All versions.
    Any,
    /// Only this version.
    Only(id::Version),
    /// All versions but this one.
    Without(id::Version),
    /// Only this version, which may be that of endpoints that report none.
    Exactly(Label),
}

impl Versions {
    /// Whether an endpoint of a version is included; one that reports no version belongs to the
    /// baseline.
    #[must_use]
    pub fn has(&self, version: Option<&id::Version>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => version == Some(only),
            Self::Without(without) => version != Some(without),
            Self::Exactly(only) => version == only.as_ref(),
        }
    }
}

/// Answers of both sides on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Pair {
    /// Answers of the baseline.
    pub baseline: Count,
    /// Answers of the candidate.
    pub candidate: Count,
}

/// An instance's report on an upgrade.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    service: id::Service,
    #[serde(rename = "place")]
    position: Position,
    stage: Stage,
    /// Time since the order was first known.
    age: Millis,
    /// Its own answers by route.
    answers: Vec<(String, Pair)>,
}

/// A change of stage.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The service.
    pub service: id::Service,
    /// The candidate.
    pub target: id::Version,
    /// The new stage.
    pub stage: Stage,
    /// Answers of all instances that led to the change: those of the route that showed a
    /// difference, or of all routes.
    pub answers: Pair,
    /// Reason for the change.
    pub reason: &'static str,
}

/// One route at this instance.
#[derive(Debug, Clone)]
struct Tally {
    route: String,
    /// Requests that the candidate may still get; set by the first request on the route.
    credit: Option<f64>,
    own: Pair,
    /// Answers of all instances at the last judgment.
    judged: Pair,
    detector: Detector,
}

/// Latest report of another instance.
#[derive(Debug, Clone)]
struct Peer {
    boot: u64,
    stage: Stage,
    answers: Vec<(String, Pair)>,
}

/// Upgrade of one service.
#[derive(Debug, Clone)]
struct Upgrade {
    order: Order,
    since: Time,
    stage: Stage,
    /// When the stage began.
    entered: Time,
    /// Whether an endpoint of the baseline has been present since the order.
    had_baseline: bool,
    tallies: Vec<Tally>,
    peers: Vec<Peer>,
}

/// State of the fleet that the leader takes into account when it advances an upgrade.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Boot numbers of the live instances.
    pub boots: Vec<u64>,
    /// Open requests of all instances at endpoints of the baseline.
    pub open: u32,
}

/// All upgrades.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    settings: Settings,
    /// Differs between instances.
    seed: u64,
    /// Sorted by service.
    upgrades: Vec<Upgrade>,
}

impl Registry {
    /// Creates an empty registry; the seed has to differ between instances.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            seed,
            upgrades: Vec::new(),
        }
    }

    /// Applies an order, unless it or a newer one for the service is already known. Returns whether
    /// it was applied.
    pub fn apply_order(&mut self, now: Time, order: Order) -> bool {
        let upgrade = Upgrade {
            since: now,
            stage: Stage::Trial,
            entered: now,
            had_baseline: false,
            tallies: Vec::new(),
            peers: Vec::new(),
            order,
        };
        match self.find(&upgrade.order.service) {
            Ok(index) if upgrade.order.position <= self.upgrades[index].order.position => false,
            Ok(index) => {
                self.upgrades[index] = upgrade;
                true
            }
            Err(index) => {
                self.upgrades.insert(index, upgrade);
                true
            }
        }
    }

    /// The candidate of a service with an unfinished upgrade.
    #[must_use]
    pub fn candidate(&self, service: &id::Service) -> Option<&id::Version> {
        let (order, stage) = self.stage(service)?;
        (!stage.is_final()).then_some(&order.target)
    }

    /// All orders and their stages.
    pub fn orders(&self) -> impl Iterator<Item = (&Order, Stage)> {
        self.upgrades
            .iter()
            .map(|upgrade| (&upgrade.order, upgrade.stage))
    }

    /// The order and stage of a service.
    #[must_use]
    pub fn stage(&self, service: &id::Service) -> Option<(&Order, Stage)> {
        let index = self.find(service).ok()?;
        let had = &self.upgrades[index];
        Some((&had.order, had.stage))
    }

    /// Applies the final stage that the store holds for the order; it never changes.
    pub fn apply_final_stage(&mut self, now: Time, service: &id::Service, stage: Stage) {
        if let Ok(index) = self.find(service) {
            self.upgrades[index].enter(now, stage);
        }
    }

    /// Records that an endpoint of a version is present.
    pub fn record_present(&mut self, service: &id::Service, version: Option<&id::Version>) {
        if let Ok(index) = self.find(service) {
            let upgrade = &mut self.upgrades[index];
            upgrade.had_baseline |= version != Some(&upgrade.order.target);
        }
    }

    /// The versions that the next request on a route may go to, in order of preference.
    #[must_use]
    pub fn versions(&self, service: &id::Service, route: &str) -> Vec<Versions> {
        let Ok(index) = self.find(service) else {
            return vec![Versions::Any];
        };
        let upgrade = &self.upgrades[index];
        let target = &upgrade.order.target;
        let only = Versions::Only(target.clone());
        let without = Versions::Without(target.clone());
        let due = self.share(upgrade.stage) >= 1.0 || upgrade.credit(route) >= 1.0;
        match upgrade.stage {
            Stage::RolledBack => vec![without],
            Stage::Complete => vec![only, Versions::Any],
            // Without a baseline there is nothing to compare the candidate with.
            Stage::Trial | Stage::Moving { .. } if !upgrade.had_baseline => vec![Versions::Any],
            Stage::Trial if due => vec![only, without],
            Stage::Trial => vec![without],
            Stage::Moving { .. } if due => vec![only, without],
            Stage::Moving { .. } => vec![without, only],
        }
    }

    /// Records that a request on a route is sent to an endpoint of a version.
    pub fn record_sent(
        &mut self,
        service: &id::Service,
        route: &str,
        version: Option<&id::Version>,
    ) {
        let Ok(index) = self.find(service) else {
            return;
        };
        let share = self.share(self.upgrades[index].stage);
        let (max_credit, seed) = (self.settings.max_credit, self.seed);
        let upgrade = &mut self.upgrades[index];
        let spent = f64::from(u8::from(version == Some(&upgrade.order.target)));
        let tally = upgrade.tally(route);
        let credit = tally.credit.unwrap_or_else(|| first_credit(seed, route));
        tally.credit = Some((credit + share - spent).min(max_credit));
    }

    /// Records the answer of an endpoint to a request. `took` is the time to the answer, or to the
    /// first event of a stream; `failed` tells whether the endpoint itself failed.
    pub fn record_answer(
        &mut self,
        service: &id::Service,
        route: &str,
        version: Option<&id::Version>,
        took: Duration,
        failed: bool,
    ) {
        let Ok(index) = self.find(service) else {
            return;
        };
        let upgrade = &mut self.upgrades[index];
        let is_candidate = version == Some(&upgrade.order.target);
        let tally = upgrade.tally(route);
        let baseline = tally.judged.baseline;
        let own = &mut tally.own;
        let side = if is_candidate {
            &mut own.candidate
        } else {
            &mut own.baseline
        };
        side.add(took, failed, baseline);
    }

    /// Reports of this instance; they contain answers only until the upgrade has a final stage.
    #[must_use]
    pub fn statuses(&self, now: Time) -> Vec<Status> {
        let statuses = self.upgrades.iter().map(|had| {
            let tallies = had.tallies.iter().filter(|_tally| !had.stage.is_final());
            Status {
                service: had.order.service.clone(),
                position: had.order.position,
                stage: had.stage,
                age: Millis::from(now.since(had.since)),
                answers: tallies
                    .map(|tally| (tally.route.clone(), tally.own))
                    .collect(),
            }
        });
        statuses.collect()
    }

    /// Merges the reports of another instance. Reports on orders that are not known here are
    /// ignored.
    pub fn merge_statuses(&mut self, now: Time, boot: u64, statuses: Vec<Status>) {
        for status in statuses {
            let Ok(index) = self.find(&status.service) else {
                continue;
            };
            let upgrade = &mut self.upgrades[index];
            if upgrade.order.position != status.position {
                continue;
            }
            upgrade.since = upgrade.since.min(now - status.age.duration());
            upgrade.enter(now, status.stage);
            let peer = Peer {
                boot,
                stage: status.stage,
                answers: status.answers,
            };
            match upgrade.peers.binary_search_by_key(&boot, |peer| peer.boot) {
                Ok(index) => upgrade.peers[index] = peer,
                Err(index) => upgrade.peers.insert(index, peer),
            }
        }
    }

    /// Judges the candidates by the counts of all instances, and rolls back those that are worse.
    pub fn judge(&mut self, now: Time) -> Vec<Change> {
        let mut changes = Vec::new();
        for upgrade in &mut self.upgrades {
            if upgrade.stage.is_final() {
                continue;
            }
            if let Some(answers) = upgrade.worse() {
                upgrade.enter(now, Stage::RolledBack);
                changes.push(upgrade.change(answers, "worse than the baseline"));
            }
        }
        changes
    }

    /// Advances an upgrade if it is due; called by the leader only.
    pub fn advance(&mut self, now: Time, service: &id::Service, view: &View) -> Option<Change> {
        let index = self.find(service).ok()?;
        let settings = self.settings;
        let upgrade = &mut self.upgrades[index];
        let age = now.since(upgrade.since);
        let all = upgrade.all();
        let (stage, reason) = match upgrade.stage {
            Stage::Complete | Stage::RolledBack => return None,
            Stage::Trial if !upgrade.had_baseline && all.candidate.runs >= settings.min_answers => {
                (Stage::Complete, "no endpoint of the baseline was present")
            }
            Stage::Trial if age >= upgrade.order.limit => (
                Stage::RolledBack,
                "not found as good as the baseline in time",
            ),
            Stage::Trial
                if age >= upgrade.order.limit.mul_f64(settings.min_trial_fraction)
                    && all.candidate.runs >= settings.min_answers
                    && upgrade.is_sampled(&settings)
                    && !upgrade.is_suspect() =>
            {
                (Stage::Moving { step: 1 }, "as good as the baseline")
            }
            Stage::Moving { step } if now.since(upgrade.entered) >= settings.step_duration => {
                if share_after(settings.trial_share, step) < 1.0 {
                    if upgrade.is_suspect() {
                        return None;
                    }
                    (
                        Stage::Moving { step: step + 1 },
                        "still as good as the baseline",
                    )
                } else if view.open == 0 && upgrade.all_moved(&view.boots) {
                    (Stage::Complete, "all instances have moved")
                } else {
                    return None;
                }
            }
            Stage::Trial | Stage::Moving { .. } => return None,
        };
        upgrade.enter(now, stage);
        Some(upgrade.change(all, reason))
    }

    /// Share of a route's requests that the candidate gets.
    fn share(&self, stage: Stage) -> f64 {
        match stage {
            Stage::Trial => self.settings.trial_share,
            Stage::Moving { step } => share_after(self.settings.trial_share, step),
            Stage::Complete => 1.0,
            Stage::RolledBack => 0.0,
        }
    }

    fn find(&self, service: &id::Service) -> Result<usize, usize> {
        self.upgrades
            .binary_search_by(|upgrade| upgrade.order.service.cmp(service))
    }
}

/// Initial credit of an instance on a route, from 0 to 1. It is pseudo-random so that in a large
/// fleet, where each instance sees few requests, the candidate gets its share of the total from
/// the start.
fn first_credit(seed: u64, route: &str) -> f64 {
    xxh3_64_with_seed(route.as_bytes(), seed) as f64 / u64::MAX as f64
}

/// The candidate's share after a number of steps.
fn share_after(share: f64, step: u32) -> f64 {
    (share * 2_f64.powi(step.min(16) as i32)).min(1.0)
}

impl Upgrade {
    /// Enters a stage if it is later than the present one and the present one is not final.
    fn enter(&mut self, now: Time, stage: Stage) {
        if !self.stage.is_final() && stage > self.stage {
            self.stage = stage;
            self.entered = now;
        }
    }

    fn credit(&self, route: &str) -> f64 {
        let tally = self.tallies.iter().find(|tally| tally.route == route);
        tally.and_then(|tally| tally.credit).unwrap_or(0.0)
    }

    /// Whether the candidate has answered often enough on each busy route.
    fn is_sampled(&self, settings: &Settings) -> bool {
        self.routes().iter().all(|route| {
            let sum = self.sum(route);
            sum.baseline.runs < settings.busy_route_answers
                || sum.candidate.runs >= settings.min_route_answers
        })
    }

    fn tally(&mut self, route: &str) -> &mut Tally {
        let index = self.tallies.iter().position(|tally| tally.route == route);
        let index = index.unwrap_or_else(|| {
            self.tallies.push(Tally {
                route: route.to_owned(),
                credit: None,
                own: Pair::default(),
                judged: Pair::default(),
                detector: Detector::default(),
            });
            self.tallies.len() - 1
        });
        &mut self.tallies[index]
    }

    /// Answers of all instances on a route. Reports of instances that are gone still count.
    fn sum(&self, route: &str) -> Pair {
        let own = self.tallies.iter().filter(|tally| tally.route == route);
        let own = own.map(|tally| tally.own);
        let reported = self.peers.iter().flat_map(|peer| &peer.answers);
        let reported = reported.filter(|(have, _)| have == route);
        own.chain(reported.map(|(_, pair)| *pair))
            .fold(Pair::default(), Pair::plus)
    }

    fn all(&self) -> Pair {
        let routes = self.routes();
        let sums = routes.iter().map(|route| self.sum(route));
        sums.fold(Pair::default(), Pair::plus)
    }

    fn routes(&self) -> Vec<String> {
        let own = self.tallies.iter().map(|tally| &tally.route);
        let reported = self.peers.iter().flat_map(|peer| &peer.answers);
        let mut routes: Vec<String> = own
            .chain(reported.map(|(route, _)| route))
            .cloned()
            .collect();
        routes.sort_unstable();
        routes.dedup();
        routes
    }

    /// Feeds the answers since the last call to the detectors. Returns the answers of a route on
    /// which the candidate is worse, if there is one.
    fn worse(&mut self) -> Option<Pair> {
        let mut found = None;
        for route in self.routes() {
            let sum = self.sum(&route);
            let tally = self.tally(&route);
            let new = sum.candidate.since(tally.judged.candidate);
            tally.judged = sum;
            tally.detector.record(new, sum.baseline);
            if tally.detector.is_certain() {
                found = Some(sum);
            }
        }
        found
    }

    /// Whether the candidate is likely to be worse on some route.
    fn is_suspect(&self) -> bool {
        self.tallies.iter().any(|tally| tally.detector.is_suspect())
    }

    fn all_moved(&self, boots: &[u64]) -> bool {
        boots.iter().all(|boot| {
            let found = self.peers.binary_search_by_key(boot, |peer| peer.boot);
            found.is_ok_and(|index| self.peers[index].stage >= self.stage)
        })
    }

    fn change(&self, answers: Pair, reason: &'static str) -> Change {
        Change {
            service: self.order.service.clone(),
            target: self.order.target.clone(),
            stage: self.stage,
            answers,
            reason,
        }
    }
}

impl Pair {
    fn plus(self, rest: Self) -> Self {
        Self {
            baseline: self.baseline.plus(rest.baseline),
            candidate: self.candidate.plus(rest.candidate),
        }
    }
}
