//! How soon a whole fleet refuses a request that crashes endpoints, beside the loss of many
//! endpoints, in one process and in virtual time.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use coltsfoothall::batch;
use coltsfoothall::clock::Time;
use coltsfoothall::forward::peer::{self, MAX_HEARTBEATS_PER_BATCH};
use coltsfoothall::forward::role::CONTACTS;
use coltsfoothall::suspicion::{Evidence, Fingerprint, Settings, Tracker, Verdict};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Milliseconds between two turns of an instance.
const TURN: u64 = 100;
/// Turns between two messages of an instance on standby, and between two to it.
const STANDBY_TURNS: u64 = 10;
/// Share of the datagrams that are lost.
const LOSS: f64 = 0.01;
/// Runs of other requests that each active instance loses.
const OTHERS: u64 = 14;
/// Turns in which everybody must refuse the request after it has crashed three endpoints.
const BOUND: u64 = 30;

struct World {
    random: Pcg64,
    turn: u64,
    active: usize,
    /// Active instances, then those on standby.
    trackers: Vec<Tracker>,
    attempt: u64,
}

impl World {
    fn new(seed: u64, active: usize, standby: usize) -> Self {
        let tracker = |_| Tracker::new(Settings::default());
        Self {
            random: Pcg64::seed_from_u64(seed),
            turn: 0,
            active,
            trackers: (0..active + standby).map(tracker).collect(),
            attempt: 0,
        }
    }

    fn now(&self) -> Time {
        Time::START + Duration::from_millis(self.turn * TURN)
    }

    /// An instance loses the run of a request to the crash of an endpoint.
    fn crash(&mut self, by: usize, content: &str) {
        self.attempt += 1;
        let endpoint: coltsfoothall::id::Endpoint = format!("e{}", self.attempt).parse().unwrap();
        let (now, tracker) = (self.now(), &mut self.trackers[by]);
        tracker.record_interrupted(now, self.attempt, endpoint.clone(), call(content), now);
        tracker.record_death(now, &endpoint, false);
    }

    fn evidence(&self, from: usize, round: usize) -> Vec<Evidence> {
        let rows = peer::max_rows(self.active);
        self.trackers[from].evidence_batch(self.now(), rows, round)
    }

    /// The recipients of an instance in this turn, and its round.
    fn recipients(&self, from: usize) -> (Vec<usize>, usize) {
        let standbys = self.active..self.trackers.len();
        let number = self.turn as usize + from;
        let contacts = |standby: usize| (0..CONTACTS).map(move |n| (standby + n) % self.active);
        if from >= self.active {
            let due = number.is_multiple_of(STANDBY_TURNS as usize);
            let contacts = contacts(from).filter(|_| due);
            return (contacts.collect(), number / STANDBY_TURNS as usize);
        }
        let others: Vec<usize> = (0..self.active).filter(|to| *to != from).collect();
        let batches = batch::count(self.active, MAX_HEARTBEATS_PER_BATCH);
        let mut to = batch::select(&others, MAX_HEARTBEATS_PER_BATCH, number);
        to.extend(standbys.filter(|standby| {
            (number + standby).is_multiple_of(STANDBY_TURNS as usize)
                && contacts(*standby).any(|contact| contact == from)
        }));
        (to, number / batches)
    }

    fn step(&mut self) {
        self.turn += 1;
        for from in 0..self.trackers.len() {
            let (recipients, round) = self.recipients(from);
            if recipients.is_empty() {
                continue;
            }
            let evidence = self.evidence(from, round);
            let now = self.now();
            for to in recipients {
                if self.random.random_bool(LOSS) {
                    continue;
                }
                if from < self.active {
                    self.trackers[to].merge(now, &evidence);
                } else {
                    self.trackers[to].merge_relayed(now, &evidence);
                }
            }
        }
    }

    fn run(&mut self, turns: u64) {
        for _ in 0..turns {
            self.step();
        }
    }

    /// Instances that would still send the request.
    fn senders(&self, content: &str) -> usize {
        let verdicts = self.trackers.iter();
        let verdicts = verdicts.map(|tracker| tracker.verdict(self.now(), call(content)));
        verdicts
            .filter(|verdict| *verdict != Verdict::Poisonous)
            .count()
    }
}

fn call(content: &str) -> Fingerprint {
    Fingerprint::of_call("film", "POST", "/x", content.as_bytes())
}

/// Plays the loss of many endpoints, then three crashes by one request at three instances.
fn play(seed: u64, active: usize, standby: usize) {
    let mut world = World::new(seed, active, standby);
    for by in 0..active {
        for other in 0..OTHERS {
            world.crash(by, &format!("other {by} {other}"));
        }
    }
    for _ in 0..3 {
        world.run(5);
        let by = world.random.random_range(0..active + standby);
        world.crash(by, "bad");
    }
    world.run(BOUND);
    let senders = world.senders("bad");
    assert_eq!(senders, 0, "of {active} and {standby}, seed {seed}");
}

/// Guards against evidence that waits behind that of other requests.
#[test]
fn told_in_time() {
    for (active, standby, seeds) in [(9, 0, 20), (77, 0, 5), (60, 925, 2)] {
        for seed in 0..seeds {
            play(seed, active, standby);
        }
    }
}
