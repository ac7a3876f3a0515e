//! The retry budget of a whole fleet, counted as its platform counts it.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::retry::Settings;
use coltsfoothall::id;
use coltsfoothall_forward::retries::Retries;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const RATIO: f64 = 0.2;
const WINDOW_MS: u64 = 10_000;
const STEP_MS: u64 = 20;
/// Attempts of a request.
const ATTEMPTS: u32 = 3;

/// Instances, requests a second of all, and the slack that is configured for such a fleet.
const FLEETS: [(usize, f64, f64); 4] = [
    (9, 40.0, 56.0),
    (77, 150.0, 194.0),
    (330, 400.0, 430.0),
    (985, 1_086.0, 1_040.0),
];

fn retries(slack: f64, seed: u64) -> Retries {
    let settings = Settings {
        ratio: RATIO,
        slack,
        window: Duration::from_millis(WINDOW_MS),
    };
    Retries::new(settings, seed)
}

/// A fleet whose requests go to a random instance each.
struct Fleet {
    now_ms: u64,
    slack: f64,
    rate: f64,
    instances: Vec<Retries>,
    /// When each process started.
    started_ms: Vec<u64>,
    /// Number of instances that each believes to share the budget; none on standby.
    sharers: Vec<Option<u32>>,
    /// Share of the attempts that fail.
    failing: f64,
    /// When requests were sent.
    requests: Vec<u64>,
    /// When requests arrived that had arrived before.
    repeats: Vec<u64>,
    /// First retries that were asked for, and those that were allowed.
    asked: usize,
    allowed: usize,
    random: Pcg64Mcg,
}

impl Fleet {
    fn new(size: usize, rate: f64, slack: f64) -> Self {
        Self {
            now_ms: 0,
            slack,
            rate,
            instances: (0..size as u64).map(|seed| retries(slack, seed)).collect(),
            started_ms: vec![0; size],
            sharers: vec![Some(size as u32); size],
            failing: 0.0,
            requests: Vec::new(),
            repeats: Vec::new(),
            asked: 0,
            allowed: 0,
            random: Pcg64Mcg::seed_from_u64(size as u64),
        }
    }

    fn restart(&mut self, index: usize) {
        self.instances[index] = retries(self.slack, self.random.random());
        self.started_ms[index] = self.now_ms;
    }

    fn restart_all(&mut self) {
        (0..self.instances.len()).for_each(|index| self.restart(index));
    }

    /// Sends requests for `ms`.
    fn run(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            let mut due = self.rate * STEP_MS as f64 / 1e3;
            while due > 0.0 {
                if self.random.random_bool(due.min(1.0)) {
                    self.request();
                }
                due -= 1.0;
            }
            self.now_ms += STEP_MS;
        }
    }

    fn request(&mut self) {
        let index = self.random.random_range(0..self.instances.len());
        let service: id::Service = "desk".parse().unwrap();
        let now = Time::START + Duration::from_millis(self.now_ms - self.started_ms[index]);
        self.requests.push(self.now_ms);
        let (instance, sharers) = (&mut self.instances[index], self.sharers[index]);
        instance.record_first(now, &service, sharers);
        for attempt in 1..ATTEMPTS {
            if !self.random.random_bool(self.failing) {
                return;
            }
            let allowed = instance.decide(now, &service, sharers).allowed;
            if attempt == 1 {
                self.asked += 1;
                self.allowed += usize::from(allowed);
            }
            if !allowed {
                return;
            }
            self.repeats.push(self.now_ms);
        }
    }

    /// Retries beyond what is allowed in the worst window.
    fn excess(&self) -> f64 {
        let windows = self.repeats.iter().flat_map(|at| {
            [
                (at.saturating_sub(WINDOW_MS - 1), *at),
                (*at, at + WINDOW_MS - 1),
            ]
        });
        let excess = windows.map(|(from, until)| {
            let allowed = RATIO * self.requests_near(from, until) as f64 + self.slack;
            count(&self.repeats, from, until) as f64 - allowed
        });
        excess.fold(f64::NEG_INFINITY, f64::max)
    }

    /// The requests in a window, the one before it or the one half a window before it.
    fn requests_near(&self, from: u64, until: u64) -> usize {
        let shifts = [0, WINDOW_MS / 2, WINDOW_MS];
        let counts = shifts.map(|shift| {
            let until = until.saturating_sub(shift);
            count(&self.requests, from.saturating_sub(shift), until)
        });
        counts.into_iter().max().unwrap()
    }

    fn assert_kept(&self, what: &str) {
        let excess = self.excess();
        let size = self.instances.len();
        assert!(
            excess <= 0.0,
            "{size} instances, {what}: {excess:.1} too many"
        );
    }
}

/// Number of sorted times in a span.
fn count(times: &[u64], from: u64, until: u64) -> usize {
    times.partition_point(|at| *at <= until) - times.partition_point(|at| *at < from)
}

/// Each process began with its part of the slack, so that every restart handed it out again.
#[test]
fn restarts_in_series() {
    for (size, rate, slack) in FLEETS {
        for interval_ms in [800, 1_200, 2_500] {
            let mut fleet = Fleet::new(size, rate, slack);
            fleet.run(15_000);
            fleet.failing = 1.0;
            for _ in 0..12_000 / interval_ms {
                fleet.run(interval_ms);
                fleet.restart_all();
            }
            fleet.run(5_000);
            fleet.assert_kept(&format!("a restart each {interval_ms} ms"));
        }
    }
}

/// The part of an instance was fixed by the members that it knew when it first sent a request.
#[test]
fn members_unknown_first() {
    for (size, rate, slack) in FLEETS {
        let mut fleet = Fleet::new(size, rate, slack);
        fleet.sharers = vec![Some(1); size];
        fleet.run(1_000);
        fleet.sharers = vec![Some(size as u32); size];
        fleet.run(14_000);
        fleet.failing = 1.0;
        fleet.run(15_000);
        fleet.assert_kept("members unknown at first");
    }
}

/// A part of less than one retry was rounded up, so that many instances held more than the slack.
#[test]
fn parts_below_one() {
    for (size, rate, _) in FLEETS {
        for rate in [rate, rate / 4.0] {
            let mut fleet = Fleet::new(size, rate, 56.0);
            fleet.run(30_000);
            fleet.failing = 1.0;
            fleet.run(15_000);
            fleet.assert_kept(&format!("{rate} requests a second"));
        }
    }
}

/// Members leave and come back, are cut off from each other, and restart meanwhile.
#[test]
fn members_change() {
    for (size, rate, slack) in FLEETS {
        let mut fleet = Fleet::new(size, rate, slack);
        fleet.run(15_000);
        fleet.failing = 1.0;
        for round in 0..12_u64 {
            let known = (size as u64 * (1 + round % 4) / 4).max(1) as u32;
            fleet.sharers = vec![Some(known); size];
            for index in 0..size {
                if (index as u64 + round).is_multiple_of(3) {
                    fleet.restart(index);
                }
            }
            fleet.run(1_500);
        }
        fleet.assert_kept("members that change");
    }
}

/// A third of the instances is cut off and keeps counting all; the others no longer count them.
#[test]
fn third_cut_off() {
    for (size, rate, slack) in FLEETS {
        let mut fleet = Fleet::new(size, rate, slack);
        fleet.run(5_000);
        let rest = size - size / 3;
        fleet.sharers[..rest].fill(Some(rest as u32));
        fleet.run(20_000);
        fleet.failing = 1.0;
        fleet.run(15_000);
        fleet.assert_kept("a third cut off");
    }
}

/// Each instance on standby took the part of an active one, though many instances are on standby,
/// and callers keep their connections to it.
#[test]
fn standby_without_part() {
    let (size, rate, slack) = FLEETS[3];
    let mut fleet = Fleet::new(size, rate, slack);
    let active = 60;
    let on_standby = active..size;
    fleet.sharers = vec![Some(active as u32); size];
    fleet.sharers[on_standby.clone()].fill(None);
    fleet.run(30_000);
    fleet.failing = 1.0;
    fleet.run(15_000);
    fleet.assert_kept("most on standby");
}

/// Failures that are rare are retried, also while instances restart one after the other.
#[test]
fn rare_failures() {
    for (size, rate, slack) in FLEETS {
        let mut fleet = Fleet::new(size, rate, slack);
        fleet.failing = 0.02;
        fleet.run(20_000);
        (fleet.asked, fleet.allowed) = (0, 0);
        for index in (0..size).cycle() {
            fleet.run(1_000);
            fleet.restart(index);
            if fleet.asked >= 1_000 {
                break;
            }
        }
        let share = fleet.allowed as f64 / fleet.asked as f64;
        println!("{size} instances: {share:.3} are retried");
        assert!(share >= 0.85, "{size} instances: {share:.3} are retried");
    }
}
