//! Requests that wait in the queues of engines whose slots are taken.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod overload;

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::admission::{Target, Wait};
use coltsfoothall::forward::choice::{Pick, Query, Settings, Unavailable};
use coltsfoothall::forward::gossip::Count;
use coltsfoothall::forward::limit::{Candidate, Fleet, Report};
use coltsfoothall::forward::node::Load;
use coltsfoothall::forward::occupancy::Occupancy;
use coltsfoothall::forward::roster::{End, Roster, Run};
use coltsfoothall::forward::upgrade::Versions;
use coltsfoothall::id;
use coltsfoothall::size::{Millis, Tokens};
use overload::{Outcome, Scenario, entry, run};

const SLOTS: u32 = 16;
/// Boot number of another instance.
const OTHER: u64 = 9;

fn at(millis: u64) -> Time {
    Time::START + Duration::from_millis(millis)
}

/// A roster of engines that have these numbers of open requests.
fn roster(queueing: bool, open: &[u32]) -> Roster {
    let mut roster = Roster::new(Settings {
        queueing,
        ..Settings::default()
    });
    let mut counts = Vec::new();
    for (index, open) in open.iter().enumerate() {
        let entry = entry(index, SLOTS);
        counts.push(Count {
            id: entry.id.clone(),
            born: entry.born,
            value: Load {
                open: *open,
                ..Load::default()
            },
        });
        let _added = roster.registered(at(0), entry);
    }
    let _restarted = roster.merge_loads(at(0), OTHER, &counts);
    roster
}

struct Case {
    service: id::Service,
    domain: id::Domain,
    target: Option<Target>,
}

impl Case {
    fn new() -> Self {
        let latency = Duration::from_millis(1_500);
        Self {
            service: "reader".parse().unwrap(),
            domain: "north".parse().unwrap(),
            target: Some(Target {
                latency,
                shortest: latency,
                received_at: at(0),
                rank: 1,
            }),
        }
    }

    fn query(&self) -> Query<'_> {
        Query {
            service: &self.service,
            parts: &[],
            prompt: Tokens(100),
            answer: Tokens(100),
            domain: &self.domain,
            exclude: &[],
            memory: Some(Tokens(500_000)),
            versions: &Versions::Any,
            target: self.target,
        }
    }

    fn choose(&self, roster: &Roster, now: u64) -> Result<Pick, Unavailable> {
        roster.choose(at(now), &self.query())
    }

    fn begin(&self, roster: &mut Roster, now: u64) -> Run {
        let pick = self.choose(roster, now).unwrap();
        roster.begin(at(now), &pick, &self.query())
    }
}

fn reports(rate: &str) -> [Count<Report>; 1] {
    let entry = entry(0, SLOTS);
    [Count {
        id: entry.id,
        born: entry.born,
        value: Report {
            rate: Some(rate.parse().unwrap()),
            age: Millis(0),
        },
    }]
}

fn simulate(slots: u32, load: f64, queueing: bool) -> Outcome {
    run(Scenario {
        instances: 8,
        engines: 8,
        slots,
        load,
        queueing,
        settle: 3,
        measured: 6,
        seed: 1,
    })
}

/// Guards against a collapse of the service when callers ask for more than the engines can do.
#[test]
fn goodput_holds() {
    for slots in [16, 128] {
        let full = simulate(slots, 1.0, true);
        for load in [1.0, 1.5, 3.0] {
            let (before, after) = (simulate(slots, load, false), simulate(slots, load, true));
            let (old, new) = (before.goodput, after.goodput);
            let figures = format!("{slots} slots, load {load}: {old} before, {new} after");
            assert!(new >= 0.8 * full.goodput && new >= old, "{figures}");
            for kind in after.kinds {
                assert!(
                    kind.share_sent() >= after.all.share_sent() / 4.0,
                    "{figures}"
                );
            }
            let (large, all) = (after.large.share_sent(), after.all.share_sent());
            assert!(large >= all / 2.0, "{figures}: {large} of the large, {all}");
        }
    }
}

/// Guards against a wait behind others while a slot is free elsewhere.
#[test]
fn free_slot() {
    let roster = roster(true, &[SLOTS + 1, SLOTS - 2]);
    assert_eq!(
        Case::new().choose(&roster, 0).unwrap().endpoint,
        entry(1, SLOTS).id
    );
}

/// Guards against requests that wait at an engine until they are late.
#[test]
fn full_queue() {
    let case = Case::new();
    let pick = case.choose(&roster(true, &[SLOTS]), 0).unwrap();
    assert!(pick.slot_wait > Duration::ZERO && pick.slot_wait < pick.wait);
    let full = Err(Unavailable::Full);
    assert_eq!(case.choose(&roster(true, &[2 * SLOTS]), 0), full);
    // What has passed of the target latency counts.
    assert_eq!(case.choose(&roster(true, &[SLOTS + 4]), 1_300), full);
}

/// Guards against a choice that changes where the settings do not name queueing.
#[test]
fn queueing_off() {
    let mut case = Case::new();
    for open in [0, SLOTS - 2, SLOTS - 1, SLOTS, SLOTS + 1] {
        let roster = roster(false, &[open]);
        case.target = Case::new().target;
        let with = case.choose(&roster, 0);
        case.target = None;
        assert_eq!(with, case.choose(&roster, 0));
        assert_eq!(with.is_ok(), open < SLOTS, "{open} open");
    }
}

/// Guards against a queue at an endpoint that has said how many requests, or rejections, it stands.
#[test]
fn stated_bounds() {
    let case = Case::new();
    let me = Candidate {
        name: "entry-0".parse().unwrap(),
        domain: case.domain.clone(),
    };
    let fleet = Fleet {
        candidates: vec![me],
        heard: 1,
        known: 1,
    };
    for open in [SLOTS - 2, SLOTS] {
        let mut limited = roster(true, &[open]);
        limited.merge_limits(at(0), &reports("1000/s"), false);
        limited.share_limits(at(0), &fleet.candidates[0].name, &fleet);
        assert_eq!(case.choose(&limited, 100).is_ok(), open < SLOTS);
        let mut brittle = roster(true, &[open]);
        brittle.merge_brittle(at(0), &reports("1000/s"), false);
        brittle.share_brittle(at(0), &fleet.candidates[0].name, &fleet);
        assert_eq!(case.choose(&brittle, 100).is_ok(), open < SLOTS);
    }
}

/// Guards against requests that are sent on and on to an engine whose queue is full.
#[test]
fn rejected_request() {
    let case = Case::new();
    let mut roster = roster(true, &[SLOTS]);
    let run = case.begin(&mut roster, 0);
    roster.finish(at(10), &run, End::Refused);
    let pause = Settings::default().avoid_period / 5;
    let over = 10 + pause.as_millis() as u64;
    assert_eq!(case.choose(&roster, over - 1), Err(Unavailable::Full));
    assert!(case.choose(&roster, over).is_ok());
}

/// Guards against large prompts that no engine is ever idle enough for.
#[test]
fn large_prompt() {
    let millis = Duration::from_millis;
    let target = Case::new().target.unwrap();
    let mut wait = Wait {
        slot: Duration::ZERO,
        first_event: millis(4_000),
        alone: millis(4_000),
    };
    assert!(target.admits(at(0), &wait));
    wait.first_event += millis(1_000);
    assert!(!target.admits(at(0), &wait));
}

/// Guards against a wait that is taken as short while engines slow down.
#[test]
fn measured_time() {
    let mut occupancy = Occupancy::default();
    let service: id::Service = "reader".parse().unwrap();
    for held in [300, 3_000] {
        for _ in 0..400 {
            occupancy.record(&service, Duration::from_millis(held));
        }
        let mean = occupancy.mean(&service).as_secs_f64() * 1e3;
        assert!((mean / held as f64 - 1.0).abs() < 0.05, "{mean}");
    }
}
