//! Time to merge a heartbeat and to choose an endpoint, by the size of the fleet.
//!
//! `cargo bench -p coltsfoothall --bench gossip`

use std::hint::black_box;
use std::time::{Duration, Instant};

use coltsfoothall::clock::Time;
use coltsfoothall::forward::choice::{Part, Query, Settings};
use coltsfoothall::forward::gossip::Count;
use coltsfoothall::forward::history::Position;
use coltsfoothall::forward::node::{Entry, Load};
use coltsfoothall::forward::roster::Roster;
use coltsfoothall::forward::stream::{self, Tracker, View};
use coltsfoothall::forward::upgrade::Versions;
use coltsfoothall::forward::usage;
use coltsfoothall::forward::version::{Move, Row, SLOTS, Table};
use coltsfoothall::id;
use coltsfoothall::size::{Millis, Tokens};

/// Instances and endpoints of each fleet.
const FLEETS: [(u64, usize); 4] = [(9, 18), (30, 298), (100, 1002), (300, 2997)];
/// Endpoints at which each instance has open requests.
const OPEN: usize = 24;
/// Workspaces whose requests are counted.
const WORKSPACES: usize = 19;
/// Measured heartbeats of each instance.
const ROUNDS: usize = 8;

fn main() {
    for (instances, endpoints) in FLEETS {
        bench_merge_loads(instances, endpoints);
        bench_merge_counts(instances);
        bench_choose(endpoints);
        bench_versions(endpoints);
    }
    print_report_size();
}

/// A table of one service whose endpoints run three versions.
fn table() -> Table {
    let mut row = Row {
        service: "reader".parse().expect("a name"),
        versions: (0..3).map(|version| Some(name("v", version))).collect(),
        slots: (0..SLOTS).map(|slot| (slot % 3) as u8).collect(),
        announced: Vec::new(),
        former: Vec::new(),
        settling: false,
    };
    row.former
        .extend((0..SLOTS as u8 / 2).map(|slot| Move { slot, version: 0 }));
    Table {
        generation: 40,
        rows: vec![row],
    }
}

/// What an admission costs that begins a stream: the versions of its service, and its slot.
fn bench_versions(endpoints: usize) {
    let mut roster = Roster::new(Settings::default());
    for index in 0..endpoints {
        let version = Some(name("v", index % 3));
        let entry = Entry {
            version,
            ..entry(index)
        };
        roster.registered(Time::START, entry);
    }
    let mut tracker = Tracker::new(stream::Settings::default());
    tracker.apply(Time::START, Time::START, Some(table()));
    let service = "reader".parse().expect("a name");
    let count = 10_000;
    let began = Instant::now();
    for hash in 0..count {
        let present = roster.versions(&service);
        let view = View {
            service: &service,
            present: &present,
            upgraded: false,
            covered: true,
        };
        black_box(tracker.begin(Time::START, hash, view));
    }
    print(
        "stream begun",
        &format!("{endpoints} endpoints"),
        count,
        began.elapsed(),
    );
}

fn print_report_size() {
    let mut tracker = Tracker::new(stream::Settings::default());
    let size = |tracker: &mut Tracker, whole: bool| {
        let late = Time::START + Duration::from_secs(10);
        let report = tracker.report(late, Duration::from_secs(1), 64, whole);
        rmp_serde::to_vec(&report).expect("a report").len()
    };
    tracker.apply(Time::START, Time::START, Some(table()));
    println!("report without table: {} bytes", size(&mut tracker, false));
    println!("report with table: {} bytes", size(&mut tracker, true));
    let (service, other) = ("reader".parse().expect("a name"), Some(name("v", 9)));
    let late = Time::START + Duration::from_secs(10);
    tracker.record_start(late, u64::MAX, &service, &other);
    println!("report with one start: {} bytes", size(&mut tracker, false));
    let stored = serde_json::to_vec(&table()).expect("a table").len();
    println!("table at the store: {stored} bytes");
}

fn print(name: &str, size: &str, count: u64, took: Duration) {
    let micros = took.as_secs_f64() * 1e6 / count as f64;
    println!("{name} {size}: {micros:.2} us");
}

fn name<T: std::str::FromStr>(kind: &str, index: usize) -> T
where
    T::Err: std::fmt::Debug,
{
    format!("{kind}-{index:05}").parse().expect("a name")
}

fn entry(index: usize) -> Entry {
    Entry {
        id: name("endpoint", index),
        born: Millis(1),
        service: "reader".parse().expect("a name"),
        version: None,
        address: "127.0.0.1:9".parse().expect("an address"),
        domain: name("domain", index % 5),
        slots: 16,
        leaving: false,
        leaves: None,
        reclaimable: true,
        position: Position::default(),
    }
}

fn roster(endpoints: usize) -> Roster {
    let mut roster = Roster::new(Settings::default());
    for index in 0..endpoints {
        roster.registered(Time::START, entry(index));
    }
    roster
}

fn bench_merge_loads(instances: u64, endpoints: usize) {
    let mut roster = roster(endpoints);
    let load = Load {
        open: 1,
        unread: 100,
        pairs: 10_000,
        memory: 2_000,
    };
    let report = |boot: u64, round: usize| -> Vec<Count<Load>> {
        let first = (boot as usize * 31 + round * 7) % endpoints;
        let mut indices: Vec<usize> = (0..OPEN)
            .map(|step| (first + step * 37) % endpoints)
            .collect();
        indices.sort_unstable();
        indices.dedup();
        let count = |index| Count {
            id: name("endpoint", index),
            born: Millis(1),
            value: load,
        };
        indices.into_iter().map(count).collect()
    };
    let mut took = Duration::ZERO;
    for round in 0..ROUNDS {
        for boot in 0..instances {
            let report = report(boot, round);
            let started = Instant::now();
            black_box(roster.merge_loads(Time::START, boot, &report));
            took += started.elapsed();
        }
    }
    let size = format!("instances={instances} endpoints={endpoints}");
    print("load_heard", &size, instances * ROUNDS as u64, took);
    let started = Instant::now();
    for boot in 0..instances {
        roster.remove_peer(boot);
    }
    print("instance_forgotten", &size, instances, started.elapsed());
}

fn bench_merge_counts(instances: u64) {
    let mut counter = usage::Counter::new(0, Duration::from_secs(5));
    let workspaces: Vec<id::Workspace> = (0..WORKSPACES).map(|index| name("film", index)).collect();
    let mut took = Duration::ZERO;
    for round in 0..ROUNDS as u64 {
        for boot in 1..=instances {
            let counts: Vec<usage::Count> = workspaces
                .iter()
                .map(|workspace| usage::Count {
                    window: round,
                    workspace: workspace.clone(),
                    runs: 1,
                })
                .collect();
            let started = Instant::now();
            counter.merge_counts(boot, &counts);
            took += started.elapsed();
        }
    }
    let size = format!("instances={instances}");
    print("counts_heard", &size, instances * ROUNDS as u64, took);
    let started = Instant::now();
    for _ in 0..100 {
        counter.record_start(ROUNDS as u64, &workspaces[3]);
    }
    print("run_counted", &size, 100, started.elapsed());
}

fn bench_choose(endpoints: usize) {
    let roster = roster(endpoints);
    let service = "reader".parse().expect("a name");
    let domain = name("domain", 1);
    let parts = [(1, 5_000), (2, 400), (3, 200)].map(|(hash, tokens)| Part {
        hash,
        tokens: Tokens(tokens),
    });
    let query = Query {
        service: &service,
        parts: &parts,
        prompt: Tokens(5_600),
        answer: Tokens(400),
        domain: &domain,
        exclude: &[],
        memory: Some(Tokens(500_000)),
        versions: &Versions::Any,
        target: None,
    };
    let started = Instant::now();
    for _ in 0..100 {
        black_box(roster.choose(Time::START, &query)).expect("an endpoint");
    }
    let size = format!("endpoints={endpoints}");
    print("chosen", &size, 100, started.elapsed());
}
