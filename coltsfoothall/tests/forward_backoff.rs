//! Periods in which endpoints want no requests from an instance.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::backoff::Period;
use coltsfoothall::forward::choice::{Query, Settings};
use coltsfoothall::forward::history::Position;
use coltsfoothall::forward::node::Entry;
use coltsfoothall::forward::roster::{End, Roster, Run};
use coltsfoothall::forward::upgrade::Versions;
use coltsfoothall::size::{Millis, Tokens};
use proptest::collection::vec;
use proptest::prelude::*;

fn at(millis: u64) -> Time {
    Time::START + Duration::from_millis(millis)
}

fn position(revision: u64) -> Position {
    Position {
        revision,
        ..Position::default()
    }
}

fn entry(born: u64, revision: u64) -> Entry {
    Entry {
        id: "e-1".parse().unwrap(),
        born: Millis(born),
        service: "desk".parse().unwrap(),
        version: None,
        address: ([10, 0, 0, 1], 80).into(),
        domain: "north".parse().unwrap(),
        slots: 64,
        leaving: false,
        leaves: None,
        reclaimable: false,
        position: position(revision),
    }
}

/// An instance with one endpoint.
struct World {
    roster: Roster,
    engine: bool,
    born: u64,
    open: Vec<Run>,
}

impl World {
    fn new(engine: bool) -> Self {
        let mut roster = Roster::new(Settings::default());
        roster.registered(at(0), entry(1, 1));
        Self {
            roster,
            engine,
            born: 1,
            open: Vec::new(),
        }
    }

    /// Sends a request if the endpoint may get one. Returns whether it did.
    fn send(&mut self, now: u64) -> bool {
        let (service, domain) = ("desk".parse().unwrap(), "north".parse().unwrap());
        let query = Query {
            service: &service,
            parts: &[],
            prompt: Tokens(10),
            answer: Tokens(10),
            domain: &domain,
            exclude: &[],
            memory: self.engine.then_some(Tokens(100_000)),
            versions: &Versions::Any,
            target: None,
        };
        let Ok(pick) = self.roster.choose(at(now), &query) else {
            return false;
        };
        self.open.push(self.roster.begin(at(now), &pick, &query));
        true
    }

    /// The endpoint rejects the oldest request, and may say for how long it wants none.
    fn reject(&mut self, now: u64, millis: Option<u64>, spread: f64) -> bool {
        if self.open.is_empty() {
            return false;
        }
        let mut run = self.open.remove(0);
        self.roster.record_accepted(at(now), &mut run, false);
        if let Some(millis) = millis {
            let period: Period = (millis as f64 / 1e3).to_string().parse().unwrap();
            self.roster.record_backoff(at(now), &run, period, spread);
        }
        self.roster.finish(at(now), &run, End::Refused);
        true
    }

    fn accept(&mut self, now: u64) {
        if !self.open.is_empty() {
            let mut run = self.open.remove(0);
            self.roster.record_accepted(at(now), &mut run, true);
            self.roster.finish(at(now), &run, End::Whole);
        }
    }
}

/// What happens at an endpoint.
#[derive(Debug, Clone)]
enum Step {
    Send,
    Accept,
    Reject { millis: Option<u64>, spread: f64 },
    Lapse,
    Wait { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Send),
        2 => Just(Step::Accept),
        2 => (proptest::option::of(0..5_000_u64), 0.0..1.0)
            .prop_map(|(millis, spread)| Step::Reject { millis, spread }),
        1 => Just(Step::Lapse),
        2 => (1..1_500_u64).prop_map(|millis| Step::Wait { millis }),
    ]
}

proptest! {
    /// Guards against requests in a period of any answer before, whatever came after it.
    #[test]
    fn period_kept(steps in vec(step(), 1..80), engine in any::<bool>()) {
        let mut world = World::new(engine);
        let (mut now, mut until, mut revision) = (0, 0, 2);
        for step in steps {
            now += 1;
            match step {
                Step::Send => {
                    let sent = world.send(now);
                    prop_assert!(!sent || now >= until, "sent at {now}, wanted from {until}");
                }
                Step::Accept => world.accept(now),
                Step::Reject { millis, spread } => {
                    if world.reject(now, millis, spread) {
                        until = until.max(now + millis.unwrap_or_default());
                    }
                }
                Step::Lapse => {
                    let endpoint = "e-1".parse().unwrap();
                    world.roster.removed(at(now), &endpoint, position(revision));
                    world.roster.registered(at(now), entry(world.born, revision + 1));
                    revision += 2;
                }
                Step::Wait { millis } => {
                    now += millis;
                    world.roster.take_ended_backoffs(at(now));
                }
            }
        }
        // It begins again in the end, and another start of it is not bound.
        while world.reject(now, None, 0.0) {}
        prop_assert!(world.send(until.max(now) + 2_000));
        world.reject(now, Some(5_000), 0.0);
        world.roster.registered(at(now), entry(2, revision));
        prop_assert!(world.send(now + 400), "a new start is bound");
    }
}

/// Guards against as many requests at the end of a period as before it.
#[test]
fn begins_slowly() {
    let mut world = World::new(false);
    for _ in 0..40 {
        assert!(world.send(0));
    }
    while world.reject(10, Some(2_000), 0.5) {}
    let mut sent = Vec::new();
    for round in 0..6 {
        let now = 2_300 + 100 * round;
        let mut count = 0;
        while world.send(now) {
            count += 1;
        }
        sent.push(count);
        while !world.open.is_empty() {
            world.accept(now + 50);
        }
    }
    assert_eq!(sent[0], 1);
    assert!(sent.windows(2).all(|pair| pair[0] <= pair[1]), "{sent:?}");
    assert!(sent[1] <= 2 && sent[2] <= 4 && sent[3] <= 8, "{sent:?}");
    assert!(sent[5] >= 20, "{sent:?}");
}

/// Guards against instances that all begin again at one moment.
#[test]
fn begins_apart() {
    let first = |spread: f64| {
        let mut world = World::new(false);
        world.send(0);
        world.reject(10, Some(3_000), spread);
        (10..10_000).find(|now| world.send(*now)).unwrap()
    };
    assert_eq!(first(0.0), 3_010);
    assert!(first(0.5) >= 3_250 && first(0.99) >= 3_500 && first(0.99) < 3_700);
}

/// Guards against values that cannot be read, or that no clock holds.
#[test]
fn periods_parsed() {
    let seconds = |text: &str| {
        let period: Result<Period, _> = text.parse();
        period.ok().map(|period| period.duration().as_secs_f64())
    };
    assert_eq!(seconds("3"), Some(3.0));
    assert_eq!(seconds(" 2.5 "), Some(2.5));
    assert_eq!(seconds("0"), Some(0.0));
    assert_eq!(seconds("1e300"), Some(86_400.0));
    assert_eq!(seconds("31536000"), Some(86_400.0));
    for text in [
        "",
        "-1",
        "-0",
        "NaN",
        "soon",
        "3 s",
        "Fri, 04 Dec 2026 09:00:00 GMT",
    ] {
        assert_eq!(seconds(text), None, "{text:?}");
    }
}
