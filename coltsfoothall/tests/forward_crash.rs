//! How soon a whole fleet refuses a request that crashes endpoints, beside the loss of many
//! endpoints, in one process and in virtual time.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod schedule;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::peer;
use coltsfoothall::suspicion::{Evidence, Fingerprint, Settings, Tracker, Verdict};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use schedule::{FLEETS, LOSS, Schedule};

/// Runs of other requests that each active instance loses.
const OTHERS: u64 = 14;
/// Turns in which everybody must refuse the request after it has crashed three endpoints.
const BOUND: u64 = 30;

struct World {
    random: Pcg64,
    turn: u64,
    schedule: Schedule,
    /// Active instances, then those on standby.
    trackers: Vec<Tracker>,
    attempt: u64,
}

impl World {
    fn new(seed: u64, schedule: Schedule) -> Self {
        let tracker = |_| Tracker::new(Settings::default());
        Self {
            random: Pcg64::seed_from_u64(seed),
            turn: 0,
            schedule,
            trackers: (0..schedule.len()).map(tracker).collect(),
            attempt: 0,
        }
    }

    fn now(&self) -> Time {
        schedule::time(self.turn)
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
        let rows = peer::max_rows(self.schedule.active);
        self.trackers[from].evidence_batch(self.now(), rows, round)
    }

    fn step(&mut self) {
        self.turn += 1;
        for from in 0..self.trackers.len() {
            let (recipients, round) = self.schedule.recipients(self.turn, from);
            if recipients.is_empty() {
                continue;
            }
            let evidence = self.evidence(from, round);
            let now = self.now();
            for to in recipients {
                if self.random.random_bool(LOSS) {
                    continue;
                }
                if from < self.schedule.active {
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
    Fingerprint::of_call("film", "POST", "/x", &[content.to_owned().into()])
}

/// Plays the loss of many endpoints, then three crashes by one request at three instances.
fn play(seed: u64, schedule: Schedule) {
    let mut world = World::new(seed, schedule);
    for by in 0..schedule.active {
        for other in 0..OTHERS {
            world.crash(by, &format!("other {by} {other}"));
        }
    }
    for _ in 0..3 {
        world.run(5);
        let by = world.random.random_range(0..schedule.len());
        world.crash(by, "bad");
    }
    world.run(BOUND);
    let senders = world.senders("bad");
    assert_eq!(senders, 0, "{schedule:?}, seed {seed}");
}

/// Guards against evidence that waits behind that of other requests.
#[test]
fn told_in_time() {
    for (schedule, seeds) in FLEETS.into_iter().zip([20, 5, 2]) {
        for seed in 0..seeds {
            play(seed, schedule);
        }
    }
}
