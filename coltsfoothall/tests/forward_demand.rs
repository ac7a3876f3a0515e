//! The load that callers offer while endpoints are short: requests that are refused by one instance
//! after another count once, and a leader that has just started orders for them.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::config::{Cost, Scaling};
use coltsfoothall::forward::demand::{Length, Request, Settings, Tracker, sum};
use coltsfoothall::forward::order::{self, Live, Load, Meter, Planner, Saved};
use coltsfoothall::id;
use coltsfoothall::size::{Millis, Tokens};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Work of a request, in microseconds of an endpoint's time.
const WORK: u64 = 50_000;
/// Time between two reports of an instance.
const ROUND: Duration = Duration::from_millis(500);

fn at(millis: u64) -> Time {
    Time::START + Duration::from_millis(millis)
}

fn service() -> id::Service {
    "reader".parse().unwrap()
}

/// Trackers of a fleet that report to each other once a round.
struct Fleet {
    trackers: Vec<Tracker>,
    random: Pcg64Mcg,
    service: id::Service,
}

impl Fleet {
    fn new(count: usize) -> Self {
        Self {
            trackers: vec![Tracker::default(); count],
            random: Pcg64Mcg::seed_from_u64(7),
            service: service(),
        }
    }

    /// Lets a caller try a request at any instance, which refuses it.
    fn refuse(&mut self, now: Time, fingerprint: u64) {
        self.any(
            |tracker, request, sharers| tracker.refused(now, request, sharers),
            fingerprint,
        );
    }

    /// Lets a caller try a request at any instance, which sends it.
    fn send(&mut self, now: Time, fingerprint: u64) {
        self.any(
            |tracker, request, sharers| tracker.sent(now, request, sharers),
            fingerprint,
        );
    }

    fn any(&mut self, call: impl FnOnce(&mut Tracker, Request<'_>, u32), fingerprint: u64) {
        let count = self.trackers.len();
        let request = Request {
            service: &self.service,
            fingerprint,
            work: WORK,
        };
        let index = self.random.random_range(0..count);
        call(&mut self.trackers[index], request, count as u32);
    }

    fn exchange(&mut self, now: Time) {
        let trackers = self.trackers.iter();
        let reports: Vec<_> = trackers
            .map(|tracker| tracker.report(now, ROUND * 2, 256, 0))
            .collect();
        for tracker in &mut self.trackers {
            for report in &reports {
                tracker.merge(now, &report.recent);
            }
        }
    }

    /// Refused work of all instances, in requests.
    fn refused(&self) -> f64 {
        let totals = self.trackers.iter().flat_map(Tracker::totals);
        totals.map(|(_, work)| work).sum::<u64>() as f64 / WORK as f64
    }
}

/// Without sharing what was refused, a request counted once for each instance that its caller tried.
#[test]
fn counts_once() {
    for instances in [1, 29, 77, 985] {
        let mut fleet = Fleet::new(instances);
        let requests: Vec<u64> = (0..4_000).map(|_| fleet.random.random()).collect();
        for attempt in 0..3 {
            let now = at(attempt * 1_000);
            for request in &requests {
                fleet.refuse(now, *request);
            }
            fleet.exchange(now + ROUND);
        }
        let refused = fleet.refused();
        assert!(
            (refused - 4_000.0).abs() < 4_000.0 * 0.15,
            "{instances} instances counted {refused} of 4,000 requests"
        );
    }
}

/// A request that is refused and sent when its caller comes back counted as two.
#[test]
fn sent_later() {
    let mut fleet = Fleet::new(29);
    let requests: Vec<u64> = (0..2_000).map(|_| fleet.random.random()).collect();
    let (refused, sent) = requests.split_at(1_000);
    for request in sent {
        fleet.refuse(at(0), *request);
    }
    fleet.exchange(at(500));
    for request in sent {
        fleet.send(at(600), *request);
    }
    for request in refused {
        fleet.refuse(at(700), *request);
    }
    let count = fleet.refused();
    assert!(
        (count - 1_000.0).abs() <= 100.0,
        "{count} requests count as refused, 1,000 were sent"
    );
}

/// What others report again and again cleared the note that the request had been sent, so that it was
/// taken back twice.
#[test]
fn reported_again() {
    let service = service();
    let request = |fingerprint| Request {
        service: &service,
        fingerprint,
        work: WORK,
    };
    let mut tracker = Tracker::default();
    for millis in [0, 100, 200] {
        tracker.merge(at(millis), &[8]);
        tracker.sent(at(millis + 50), request(8), 1);
    }
    for fingerprint in [16, 24, 32] {
        tracker.refused(at(400), request(fingerprint), 1);
    }
    assert_eq!(tracker.totals()[0].1, 2 * WORK);
    tracker.refused(at(500), request(8), 1);
    assert_eq!(tracker.totals()[0].1, 3 * WORK, "sent and refused again");
}

/// What was taken back in one shortage hid the first refusals of the next.
#[test]
fn credit_lapses() {
    let mut fleet = Fleet::new(1);
    fleet.refuse(at(0), 8);
    fleet.send(at(500), 8);
    fleet.refuse(at(60_000), 16);
    assert!((fleet.refused() - 2.0).abs() < f64::EPSILON);
}

/// Instances that count the members differently sampled different requests, so that none was known.
#[test]
fn samples_nested() {
    let service = service();
    let request = |fingerprint| Request {
        service: &service,
        fingerprint,
        work: WORK,
    };
    let (mut few, mut many) = (Tracker::default(), Tracker::default());
    for fingerprint in 0..4_096 {
        few.refused(at(0), request(fingerprint), 900);
        many.refused(at(0), request(fingerprint), 1_100);
    }
    assert_eq!(few.totals()[0].1, 4_096 * WORK);
    assert_eq!(many.totals()[0].1, 4_096 * WORK);
    let span = Duration::from_secs(1);
    let known = many.report(at(0), span, 4_096, 0).recent;
    few.merge(at(100), &known);
    for fingerprint in known {
        few.refused(at(200), request(fingerprint), 900);
    }
    assert_eq!(few.totals()[0].1, 4_096 * WORK);
}

/// A total that others hear of first with the first refusal counted for nothing.
#[test]
fn zero_reported() {
    let mut tracker = Tracker::default();
    tracker.add(&service());
    let report = tracker.report(at(0), ROUND, 64, 0);
    assert_eq!(report.refused, [(service(), 0)]);
}

/// The same question that is asked again later is another request.
#[test]
fn forgets() {
    let mut fleet = Fleet::new(1);
    fleet.refuse(at(0), 8);
    fleet.refuse(at(14_000), 8);
    fleet.refuse(at(30_000), 8);
    assert!((fleet.refused() - 2.0).abs() < f64::EPSILON);
}

/// A long overload kept every fingerprint in memory.
#[test]
fn memory_bounded() {
    let mut fleet = Fleet::new(1);
    for number in 0..100_000 {
        fleet.refuse(at(number / 10), number);
    }
    assert!((fleet.refused() - 100_000.0).abs() < 1.0);
    let report = fleet.trackers[0].report(at(10_000), Duration::from_secs(60), 64, 0);
    let told = report.recent.len();
    assert!((1..=64).contains(&told), "{told}");
}

/// Prompts that are mostly cached, and answers far below their bound, are less work.
#[test]
fn work_learned() {
    let (service, length) = (
        service(),
        Length {
            prompt: Tokens(1_000),
            answer: Tokens(800),
        },
    );
    let mut tracker = Tracker::new(Settings::default());
    assert_eq!(tracker.estimate(&service, length).0, Tokens(1_000));
    for _ in 0..500 {
        tracker.record_prompt(&service, Tokens(2_000), Tokens(500));
        tracker.record_answer(&service, Tokens(800), 10);
    }
    let (unread, events) = tracker.estimate(&service, length);
    assert!(unread.0.abs_diff(250) <= 2, "{unread}");
    assert!((events - 10.0).abs() < 0.1, "{events}");
}

const DOMAINS: [&str; 3] = ["north", "south", "west"];

fn scaling() -> Scaling {
    let costs = DOMAINS.iter().map(|name| Cost {
        domain: name.parse().unwrap(),
        price: 1.0,
    });
    Scaling {
        min_per_domain: 1,
        max_per_domain: 40,
        boot: Duration::from_secs(4),
        reclaimable: Some(0.18),
        costs: costs.collect(),
    }
}

fn found(on_demand: u32) -> Vec<(id::Domain, Live)> {
    let live = Live {
        on_demand,
        reclaimable: 0,
    };
    let domains = DOMAINS.iter().map(|name| name.parse().unwrap());
    domains.map(|domain| (domain, live)).collect()
}

/// Plays a second of a planner while the platform has no reclaimable endpoints.
fn ordered_in_a_second(planner: &mut Planner, load: Option<Load>, saved: Option<f64>) -> u32 {
    let mut counts = [0; DOMAINS.len()];
    for tick in 0..4 {
        let now = at(tick * 300);
        for order in planner.decide(now, load, saved, &found(0)) {
            if order.reclaimable {
                planner.refused(now, &order);
                continue;
            }
            planner.accepted(&order);
            let domains = DOMAINS.iter();
            let index = domains
                .clone()
                .position(|name| order.domain.as_str() == *name);
            counts[index.unwrap()] = order.count;
        }
    }
    counts.iter().sum()
}

/// All endpoints go at once and all instances restart: the leader took the load for what the
/// endpoints that were left could be used for, and ordered 16 where 84 were needed.
#[test]
fn load_outlives_restart() {
    let saved = Saved {
        service: service(),
        value: 50.0,
        at: Millis(1_000),
    };
    let bytes = rmp_serde::to_vec(&[saved]).unwrap();
    let read: Vec<Saved> = rmp_serde::from_slice(&bytes).unwrap();
    let settings = order::Settings::default();
    let needed = (50.0 / settings.max_utilization).ceil() as u32;
    let planner = || Planner::new(at(0), scaling(), &found(0), settings);
    let saved = Some(read[0].value);
    assert!(ordered_in_a_second(&mut planner(), None, saved) >= needed);
    let few = Some(Load {
        value: 3.0,
        settled: false,
    });
    assert!(ordered_in_a_second(&mut planner(), few, saved) >= needed);
    let without = ordered_in_a_second(&mut planner(), None, None);
    assert_eq!(without, 0, "none saved");
}

/// A leader that starts during an outage and stops again saves no less than it was told.
#[test]
fn saved_until_settled() {
    let load = |value, settled| Some(Load { value, settled });
    let first = Saved::update(&service(), None, load(50.0, true), Millis(1)).unwrap();
    let kept = Saved::update(&service(), Some(&first), load(3.0, false), Millis(9)).unwrap();
    assert_eq!(kept, first);
    let next = Saved::update(&service(), Some(&kept), load(30.0, true), Millis(10)).unwrap();
    assert_eq!((next.value, next.at), (30.0, Millis(10)));
    assert_eq!(
        Saved::update(&service(), None, load(3.0, false), Millis(1)),
        None
    );
}

/// Sixteen endpoints serve a part of a load of 50: the measured load was at most 16.
#[test]
fn refused_is_load() {
    let mut meter = Meter::new(at(0), order::Settings::default());
    let reader = service();
    for second in 0..=13 {
        let sent = vec![(reader.clone(), second * 16_000_000)];
        let refused = [(reader.clone(), second * 34_000_000)];
        let total = sum(sent, &refused)[0].1;
        meter.merge_work(at(second * 1_000), 1, total);
    }
    let load = meter.load(at(13_000)).unwrap();
    assert!((load.value - 50.0).abs() < 5.0, "{load:?}");
}
