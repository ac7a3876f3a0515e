//! Moves a service from the versions that serve it to another one, and back if that is worse.
//!
//! An order names the candidate; all other versions are the baseline. Each instance gives the
//! candidate a fixed part of its own requests on each route, so that no instance can spend
//! another's part, and a cut or a restart adds nothing. Answers are counted by route and side,
//! and the counts of all instances are added up. Every instance judges the sums alone: a worse
//! candidate gets no more work at once, without waiting for the store. Who acts for all moves
//! a sound candidate on in steps and tells when all of the service has moved.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Time;
use crate::forward::history::Position;
use crate::forward::verdict::{Count, Detector};
use crate::id;
use crate::size::Millis;

/// Bounds of an upgrade.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Part of a route's requests that the candidate gets until it is found sound.
    pub share: f64,
    /// Part of the time limit for which it is observed before more of the service moves.
    pub observed: f64,
    /// Time of one step; each step doubles the candidate's part.
    pub step: Duration,
    /// Answers of the candidate without which nothing is moved.
    pub answers: u32,
    /// Answers of the candidate on each busy route without which nothing is moved.
    pub sampled: u32,
    /// Answers of the baseline from which on a route is busy.
    pub busy: u32,
    /// Unused parts of requests that are kept: a candidate that was away is not flooded.
    pub credit: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            share: 0.08,
            observed: 0.6,
            step: Duration::from_millis(700),
            answers: 30,
            sampled: 8,
            busy: 200,
            credit: 2.0,
        }
    }
}

/// An operator's order to move a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: id::Service,
    /// The candidate.
    pub target: id::Version,
    /// Time in which it should be decided.
    pub limit: Duration,
    /// When it was written; a later one for the service replaces it.
    pub position: Position,
}

/// How far an upgrade is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// The candidate is observed.
    Trial,
    /// It was found sound; its part is doubled with each step.
    Moving {
        /// Steps so far, from 1.
        step: u32,
    },
    /// All of the service has moved.
    Complete,
    /// The candidate is worse, or was not found sound in time; it gets no work.
    RolledBack,
}

impl Stage {
    /// Whether nothing can follow.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Complete | Self::RolledBack)
    }
}

/// Which versions may run a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Versions {
    /// All of them.
    Any,
    /// This one alone.
    Only(id::Version),
    /// All but this one.
    Without(id::Version),
}

impl Versions {
    /// Whether an endpoint of a version is among them; one that does not say which it runs is
    /// of the baseline.
    #[must_use]
    pub fn has(&self, version: Option<&id::Version>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => version == Some(only),
            Self::Without(without) => version != Some(without),
        }
    }
}

/// Answers of both sides on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Pair {
    /// Those of the baseline.
    pub baseline: Count,
    /// Those of the candidate.
    pub candidate: Count,
}

/// What an instance tells the others of an upgrade.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Told {
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
    /// Where it stands now.
    pub stage: Stage,
    /// Answers that decided, of all instances: on the route that showed a difference, or on all.
    pub answers: Pair,
    /// Why.
    pub reason: &'static str,
}

/// One route at this instance.
#[derive(Debug, Clone)]
struct Tally {
    route: String,
    /// Requests that the candidate may still get, once one was sent.
    credit: Option<f64>,
    own: Pair,
    /// Answers of all instances when they were last judged.
    judged: Pair,
    detector: Detector,
}

/// What another instance told.
#[derive(Debug, Clone)]
struct Heard {
    boot: u64,
    stage: Stage,
    answers: Vec<(String, Pair)>,
}

/// One service on its way.
#[derive(Debug, Clone)]
struct Upgrade {
    order: Order,
    since: Time,
    stage: Stage,
    /// When the stage began.
    entered: Time,
    /// Whether an endpoint of the baseline was there since the order.
    had_baseline: bool,
    tallies: Vec<Tally>,
    heard: Vec<Heard>,
}

/// What is known of a service's endpoints and of the other instances when it is decided how an
/// upgrade goes on.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Boots of the instances that are heard.
    pub boots: Vec<u64>,
    /// Requests that all instances have open at endpoints of the baseline.
    pub open: u32,
}

/// All upgrades, sorted by service.
#[derive(Debug, Clone, Default)]
pub struct Book {
    settings: Settings,
    /// Differs between instances.
    seed: u64,
    upgrades: Vec<Upgrade>,
}

impl Book {
    /// No order yet; the seed differs between instances.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            seed,
            upgrades: Vec::new(),
        }
    }

    /// Takes over an order; one that is known, or older than the one that is known, is nothing.
    /// Returns whether it is news.
    pub fn ordered(&mut self, now: Time, order: Order) -> bool {
        let upgrade = Upgrade {
            since: now,
            stage: Stage::Trial,
            entered: now,
            had_baseline: false,
            tallies: Vec::new(),
            heard: Vec::new(),
            order,
        };
        match self.find(&upgrade.order.service) {
            Ok(place) if upgrade.order.position <= self.upgrades[place].order.position => false,
            Ok(place) => {
                self.upgrades[place] = upgrade;
                true
            }
            Err(place) => {
                self.upgrades.insert(place, upgrade);
                true
            }
        }
    }

    /// The candidate of a service that is on its way.
    #[must_use]
    pub fn candidate(&self, service: &id::Service) -> Option<&id::Version> {
        let (order, stage) = self.stage(service)?;
        (!stage.is_final()).then_some(&order.target)
    }

    /// All orders and their stages.
    pub fn orders(&self) -> impl Iterator<Item = (&Order, Stage)> {
        self.upgrades.iter().map(|had| (&had.order, had.stage))
    }

    /// The order and stage of a service.
    #[must_use]
    pub fn stage(&self, service: &id::Service) -> Option<(&Order, Stage)> {
        let place = self.find(service).ok()?;
        let had = &self.upgrades[place];
        Some((&had.order, had.stage))
    }

    /// A final state that stands at the store for the order; it is never changed.
    pub fn settled(&mut self, now: Time, service: &id::Service, stage: Stage) {
        if let Ok(place) = self.find(service) {
            self.upgrades[place].enter(now, stage);
        }
    }

    /// An endpoint of a version is there.
    pub fn present(&mut self, service: &id::Service, version: Option<&id::Version>) {
        if let Ok(place) = self.find(service) {
            let upgrade = &mut self.upgrades[place];
            upgrade.had_baseline |= version != Some(&upgrade.order.target);
        }
    }

    /// The versions that the next request on a route may go to, the preferred ones first.
    #[must_use]
    pub fn versions(&self, service: &id::Service, route: &str) -> Vec<Versions> {
        let Ok(place) = self.find(service) else {
            return vec![Versions::Any];
        };
        let upgrade = &self.upgrades[place];
        let target = &upgrade.order.target;
        let only = Versions::Only(target.clone());
        let without = Versions::Without(target.clone());
        let due = self.share(upgrade.stage) >= 1.0 || upgrade.credit(route) >= 1.0;
        match upgrade.stage {
            Stage::RolledBack => vec![without],
            Stage::Complete => vec![only, Versions::Any],
            // There is nothing to compare it with.
            Stage::Trial | Stage::Moving { .. } if !upgrade.had_baseline => vec![Versions::Any],
            Stage::Trial if due => vec![only, without],
            Stage::Trial => vec![without],
            Stage::Moving { .. } if due => vec![only, without],
            Stage::Moving { .. } => vec![without, only],
        }
    }

    /// A request on a route goes to an endpoint of a version.
    pub fn sent(&mut self, service: &id::Service, route: &str, version: Option<&id::Version>) {
        let Ok(place) = self.find(service) else {
            return;
        };
        let share = self.share(self.upgrades[place].stage);
        let (most, seed) = (self.settings.credit, self.seed);
        let upgrade = &mut self.upgrades[place];
        let spent = f64::from(u8::from(version == Some(&upgrade.order.target)));
        let tally = upgrade.tally(route);
        let had = tally.credit.unwrap_or_else(|| first_credit(seed, route));
        tally.credit = Some((had + share - spent).min(most));
    }

    /// An endpoint answered a request: in which time, to the first event of a stream, and
    /// whether with a failure of its own.
    pub fn answered(
        &mut self,
        service: &id::Service,
        route: &str,
        version: Option<&id::Version>,
        took: Duration,
        failed: bool,
    ) {
        let Ok(place) = self.find(service) else {
            return;
        };
        let upgrade = &mut self.upgrades[place];
        let is_candidate = version == Some(&upgrade.order.target);
        let tally = upgrade.tally(route);
        let usual = tally.judged.baseline;
        let own = &mut tally.own;
        let side = if is_candidate {
            &mut own.candidate
        } else {
            &mut own.baseline
        };
        side.add(took, failed, usual);
    }

    /// What this instance tells the others; answers only while they may still decide.
    #[must_use]
    pub fn told(&self, now: Time) -> Vec<Told> {
        let told = self.upgrades.iter().map(|had| {
            let tallies = had.tallies.iter().filter(|_lane| !had.stage.is_final());
            Told {
                service: had.order.service.clone(),
                position: had.order.position,
                stage: had.stage,
                age: Millis::from(now.since(had.since)),
                answers: tallies
                    .map(|tally| (tally.route.clone(), tally.own))
                    .collect(),
            }
        });
        told.collect()
    }

    /// Another instance tells of its upgrades; those of other orders than are known here say
    /// nothing.
    pub fn hear(&mut self, now: Time, boot: u64, told: Vec<Told>) {
        for told in told {
            let Ok(place) = self.find(&told.service) else {
                continue;
            };
            let upgrade = &mut self.upgrades[place];
            if upgrade.order.position != told.position {
                continue;
            }
            upgrade.since = upgrade.since.min(now - told.age.duration());
            upgrade.enter(now, told.stage);
            let heard = Heard {
                boot,
                stage: told.stage,
                answers: told.answers,
            };
            match upgrade.heard.binary_search_by_key(&boot, |had| had.boot) {
                Ok(place) => upgrade.heard[place] = heard,
                Err(place) => upgrade.heard.insert(place, heard),
            }
        }
    }

    /// Judges the candidates by what all instances counted; those that are worse get no more.
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

    /// How an upgrade goes on, decided by who acts for all.
    pub fn advance(&mut self, now: Time, service: &id::Service, view: &View) -> Option<Change> {
        let place = self.find(service).ok()?;
        let settings = self.settings;
        let upgrade = &mut self.upgrades[place];
        let age = now.since(upgrade.since);
        let all = upgrade.all();
        let (stage, reason) = match upgrade.stage {
            Stage::Complete | Stage::RolledBack => return None,
            Stage::Trial if !upgrade.had_baseline && all.candidate.runs >= settings.answers => {
                (Stage::Complete, "it served alone")
            }
            Stage::Trial if age >= upgrade.order.limit => {
                (Stage::RolledBack, "not found sound in time")
            }
            Stage::Trial
                if age >= upgrade.order.limit.mul_f64(settings.observed)
                    && all.candidate.runs >= settings.answers
                    && upgrade.is_sampled(&settings)
                    && !upgrade.is_suspect() =>
            {
                (Stage::Moving { step: 1 }, "as good as the baseline")
            }
            Stage::Moving { step } if now.since(upgrade.entered) >= settings.step => {
                if moved_part(settings.share, step) < 1.0 {
                    if upgrade.is_suspect() {
                        return None;
                    }
                    (Stage::Moving { step: step + 1 }, "still as good")
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

    /// Part of a route's requests that the candidate gets.
    fn share(&self, stage: Stage) -> f64 {
        match stage {
            Stage::Trial => self.settings.share,
            Stage::Moving { step } => moved_part(self.settings.share, step),
            Stage::Complete => 1.0,
            Stage::RolledBack => 0.0,
        }
    }

    fn find(&self, service: &id::Service) -> Result<usize, usize> {
        self.upgrades
            .binary_search_by(|had| had.order.service.cmp(service))
    }
}

/// What an instance begins with on a route, from 0 to 1: drawn, so that in a large fleet, where
/// each sees few requests, the candidate gets its part of them all from the start.
fn first_credit(seed: u64, route: &str) -> f64 {
    xxh3_64_with_seed(route.as_bytes(), seed) as f64 / u64::MAX as f64
}

/// The candidate's part after so many steps.
fn moved_part(share: f64, step: u32) -> f64 {
    (share * 2_f64.powi(step.min(16) as i32)).min(1.0)
}

impl Upgrade {
    /// A stage that goes further than the present one; a final one stays.
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

    /// Whether the candidate answered on each route that many requests take.
    fn is_sampled(&self, settings: &Settings) -> bool {
        self.routes().iter().all(|route| {
            let sum = self.sum(route);
            sum.baseline.runs < settings.busy || sum.candidate.runs >= settings.sampled
        })
    }

    fn tally(&mut self, route: &str) -> &mut Tally {
        let place = self.tallies.iter().position(|tally| tally.route == route);
        let place = place.unwrap_or_else(|| {
            self.tallies.push(Tally {
                route: route.to_owned(),
                credit: None,
                own: Pair::default(),
                judged: Pair::default(),
                detector: Detector::default(),
            });
            self.tallies.len() - 1
        });
        &mut self.tallies[place]
    }

    /// Answers of all instances on a route. What instances told that are gone stays true.
    fn sum(&self, route: &str) -> Pair {
        let own = self.tallies.iter().filter(|tally| tally.route == route);
        let own = own.map(|tally| tally.own);
        let heard = self.heard.iter().flat_map(|heard| &heard.answers);
        let heard = heard.filter(|(have, _)| have == route);
        own.chain(heard.map(|(_, pair)| *pair))
            .fold(Pair::default(), Pair::plus)
    }

    fn all(&self) -> Pair {
        let routes = self.routes();
        let sums = routes.iter().map(|route| self.sum(route));
        sums.fold(Pair::default(), Pair::plus)
    }

    fn routes(&self) -> Vec<String> {
        let own = self.tallies.iter().map(|tally| &tally.route);
        let heard = self.heard.iter().flat_map(|heard| &heard.answers);
        let mut routes: Vec<String> = own.chain(heard.map(|(route, _)| route)).cloned().collect();
        routes.sort_unstable();
        routes.dedup();
        routes
    }

    /// Takes what was counted since the last look into account; the answers of a route on which
    /// the candidate is worse.
    fn worse(&mut self) -> Option<Pair> {
        let mut found = None;
        for route in self.routes() {
            let sum = self.sum(&route);
            let tally = self.tally(&route);
            let new = sum.candidate.since(tally.judged.candidate);
            tally.judged = sum;
            tally.detector.saw(new, sum.baseline);
            if tally.detector.is_certain() {
                found = Some(sum);
            }
        }
        found
    }

    /// Whether a difference is likely on some route, though not certain.
    fn is_suspect(&self) -> bool {
        self.tallies.iter().any(|tally| tally.detector.is_suspect())
    }

    fn all_moved(&self, boots: &[u64]) -> bool {
        boots.iter().all(|boot| {
            let told = self.heard.binary_search_by_key(boot, |had| had.boot);
            told.is_ok_and(|place| self.heard[place].stage >= self.stage)
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
