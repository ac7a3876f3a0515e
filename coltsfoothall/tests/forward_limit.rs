//! How a whole fleet keeps to the limit that an endpoint names, in one process and in virtual time.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod schedule;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::choice::{self, Query};
use coltsfoothall::forward::gossip::Count;
use coltsfoothall::forward::history::Position;
use coltsfoothall::forward::limit::{Candidate, Fleet, Rate, Report};
use coltsfoothall::forward::node::Entry;
use coltsfoothall::forward::peer;
use coltsfoothall::forward::roster::{End, Roster};
use coltsfoothall::forward::upgrade::Versions;
use coltsfoothall::id;
use coltsfoothall::size::{Millis, Tokens};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use schedule::{FLEETS, LOSS, Schedule, TURN, time};

/// Turns from the first answer that names a limit until it has to be kept.
const CONTACT: usize = 30;
/// Turns of the window in which requests are counted.
const WINDOW: usize = 40;
/// Milliseconds after which an instance that is not heard counts as lost, in a small fleet.
const SILENCE: u64 = 1_200;
/// Failure domains.
const DOMAINS: usize = 3;
const NEEDY: &str = "e-needy";

struct Instance {
    name: id::Instance,
    domain: id::Domain,
    roster: Roster,
    /// When it last heard each active instance.
    heard: Vec<Option<u64>>,
    /// Whether its datagrams and those to it are lost.
    cut: bool,
}

struct World {
    random: Pcg64,
    turn: u64,
    schedule: Schedule,
    /// Active instances, then those on standby.
    instances: Vec<Instance>,
    /// The limit that the endpoint names.
    rate: Option<Rate>,
    /// Requests that reached it in each turn.
    got: Vec<usize>,
}

fn domain(index: usize) -> id::Domain {
    format!("domain-{}", index % DOMAINS).parse().unwrap()
}

fn roster() -> Roster {
    let mut roster = Roster::new(choice::Settings::default());
    for (index, name) in [NEEDY, "e-other-1", "e-other-2", "e-other-3"]
        .iter()
        .enumerate()
    {
        let entry = Entry {
            id: name.parse().unwrap(),
            born: Millis(1),
            service: "desk".parse().unwrap(),
            version: None,
            address: ([10, 0, 0, index as u8], 80).into(),
            domain: domain(index),
            slots: 1_000_000,
            leaving: false,
            leaves: None,
            reclaimable: false,
            position: Position::default(),
        };
        let _added = roster.registered(Time::START, entry);
    }
    roster
}

impl World {
    fn new(seed: u64, schedule: Schedule) -> Self {
        let instances = (0..schedule.len()).map(|index| Instance {
            name: format!("entry-{index}").parse().unwrap(),
            domain: domain(index),
            roster: roster(),
            heard: vec![None; schedule.active],
            cut: false,
        });
        Self {
            random: Pcg64::seed_from_u64(seed),
            turn: 0,
            schedule,
            instances: instances.collect(),
            rate: None,
            got: Vec::new(),
        }
    }

    fn silence(&self) -> u64 {
        SILENCE.max(self.schedule.batches() as u64 * TURN * 3)
    }

    /// The active instances, as known to one of the fleet.
    fn fleet(&self, of: usize) -> Fleet {
        let now = self.turn * TURN;
        let heard = &self.instances[of].heard;
        let known: Vec<usize> = (0..self.schedule.active)
            .filter(|index| *index == of || heard[*index].is_some())
            .collect();
        let alive = known.iter().filter(|index| {
            **index == of || heard[**index].is_some_and(|at| now - at <= self.silence())
        });
        let candidate = |index: &usize| Candidate {
            name: self.instances[*index].name.clone(),
            domain: domain(*index),
        };
        Fleet {
            heard: alive.clone().count(),
            known: known.len(),
            candidates: alive.map(candidate).collect(),
        }
    }

    /// Exchanges what instances know.
    fn exchange(&mut self) {
        let now = time(self.turn);
        let rows = peer::max_rows(self.schedule.active);
        for from in 0..self.instances.len() {
            let fleet = self.fleet(from);
            let instance = &mut self.instances[from];
            let name = instance.name.clone();
            instance.roster.share_limits(now, &name, &fleet);
            let (recipients, round) = self.schedule.recipients(self.turn, from);
            let instance = &self.instances[from];
            let reports: Vec<Count<Report>> = instance.roster.limit_reports(now, rows, round);
            for to in recipients {
                let cut = self.instances[from].cut || self.instances[to].cut;
                if cut || self.random.random_bool(LOSS) {
                    continue;
                }
                let relayed = from >= self.schedule.active;
                if !relayed {
                    self.instances[to].heard[from] = Some(self.turn * TURN);
                }
                self.instances[to]
                    .roster
                    .merge_limits(now, &reports, relayed);
            }
        }
    }

    /// One caller's request at an instance. Its answer arrives at once.
    fn call(&mut self, at: usize) {
        let now = time(self.turn);
        let fleet = self.fleet(at);
        let instance = &mut self.instances[at];
        let service = "desk".parse().unwrap();
        let query = Query {
            service: &service,
            parts: &[],
            prompt: Tokens(0),
            answer: Tokens(0),
            domain: &instance.domain.clone(),
            exclude: &[],
            memory: None,
            versions: &Versions::Any,
            target: None,
        };
        let Ok(pick) = instance.roster.choose(now, &query) else {
            return;
        };
        let run = instance.roster.begin(now, &pick, &query);
        if pick.endpoint.as_str() == NEEDY {
            *self.got.last_mut().unwrap() += 1;
            if instance.roster.record_limit(now, &run, self.rate) {
                let name = instance.name.clone();
                instance.roster.share_limits(now, &name, &fleet);
            }
        }
        instance.roster.finish(now, &run, End::Whole);
    }

    fn step(&mut self) {
        self.turn += 1;
        self.got.push(0);
        self.exchange();
        for at in 0..self.instances.len() {
            let calls = if at < self.schedule.active {
                2
            } else {
                usize::from(self.random.random_bool(0.05))
            };
            for _ in 0..calls {
                self.call(at);
            }
        }
    }

    fn run(&mut self, turns: usize) {
        for _ in 0..turns {
            self.step();
        }
    }

    fn name_limit(&mut self, rate: &str) {
        self.rate = Some(rate.parse().unwrap());
    }

    /// The largest number of requests in a window that begins at this turn or later.
    fn most(&self, since: usize) -> usize {
        let windows = self.got[since..].windows(WINDOW);
        windows.map(|window| window.iter().sum()).max().unwrap()
    }
}

fn check(world: &World, since: usize, rate: f64, what: &str) {
    let (most, allowed) = (world.most(since), 1.5 * rate * 4.0 + 5.0);
    let fleet = world.instances.len();
    assert!(
        most as f64 <= allowed,
        "{what}, {fleet} instances at {rate}: {most} of {allowed}"
    );
}

/// Guards against a limit that each instance keeps by itself, so that the sum is above it.
#[test]
fn kept_together() {
    for schedule in FLEETS {
        for rate in [0.3, 1.1, 12.5] {
            let mut world = World::new(1, schedule);
            world.run(20);
            world.name_limit(&rate.to_string());
            world.run(CONTACT);
            world.run(150);
            check(&world, 20 + CONTACT, rate, "in the normal course");
        }
    }
}

/// Guards against a limit that is divided into parts too small to be used.
#[test]
fn limit_used() {
    for schedule in FLEETS {
        let active = schedule.active;
        for rate in [0.3, 1.1, 12.5] {
            let mut world = World::new(1, schedule);
            for instance in &mut world.instances {
                for other in ["e-other-1", "e-other-2", "e-other-3"] {
                    let other = other.parse().unwrap();
                    let _gone = instance
                        .roster
                        .removed(time(0), &other, Position::default());
                }
            }
            world.name_limit(&rate.to_string());
            world.run(CONTACT + 200);
            check(&world, CONTACT, rate, "without other endpoints");
            let used = world.got[CONTACT..].iter().sum::<usize>() as f64 / 20.0;
            assert!(used >= 0.8 * rate, "{active} active use {used} of {rate}");
        }
    }
}

/// Guards against a sum above the limit when instances restart or are cut off from the others.
#[test]
fn kept_in_trouble() {
    for schedule in FLEETS {
        let active = schedule.active;
        for seed in 0..3 {
            const RATE: f64 = 4.2;
            let mut world = World::new(seed, schedule);
            world.run(20);
            world.name_limit(&RATE.to_string());
            world.run(CONTACT);
            for restarted in 0..active / 3 {
                let instance = &mut world.instances[restarted];
                instance.roster = roster();
                instance.heard = vec![None; active];
                world.run(3);
            }
            world.run(CONTACT);
            let restarts = world.got.len();
            for cut in 0..active / 3 {
                world.instances[cut].cut = true;
            }
            world.run(60);
            for cut in 0..active / 3 {
                world.instances[cut].cut = false;
            }
            world.run(60);
            check(&world, restarts, RATE, "with instances cut off");
        }
    }
}

/// Guards against an instance that has just started and passes on what it heard as newer than it is,
/// or reports that there is no limit before it knows.
#[test]
fn report_kept() {
    let mut started = roster();
    let now = time(1);
    let report = |rate: Option<&str>, age| {
        let rate = rate.map(|rate| rate.parse().unwrap());
        let age = Millis(age);
        Count {
            id: NEEDY.parse().unwrap(),
            born: Millis(1),
            value: Report { rate, age },
        }
    };
    started.merge_limits(now, &[report(Some("1.3"), 2_000)], false);
    assert_eq!(
        started.limit_reports(now, 16, 0),
        [report(Some("1.3"), 2_000)]
    );
    started.merge_limits(now, &[report(None, 5_000)], false);
    assert_eq!(
        started.limit_reports(now, 16, 0),
        [report(Some("1.3"), 2_000)]
    );
    started.merge_limits(now, &[report(None, 1_000)], false);
    assert_eq!(started.limit_reports(now, 16, 0), [report(None, 1_000)]);
}

/// Guards against a limit that outlives its naming, and against one that a new start inherits.
#[test]
fn ends() {
    for schedule in FLEETS {
        let active = schedule.active;
        let mut world = World::new(2, schedule);
        world.run(20);
        world.name_limit("0.5");
        world.run(100);
        world.rate = None;
        world.run(60);
        let before: usize = world.got.iter().sum();
        world.run(20);
        let share = (world.got.iter().sum::<usize>() - before) as f64 / (20 * 2 * active) as f64;
        assert!(
            share > 0.1,
            "{active} active send {share} of the requests there"
        );
    }
}
