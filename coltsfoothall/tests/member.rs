//! Members, their news and the addresses for callers.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::member::{Death, Digest, Event, Heartbeat, Settings, Table};
use coltsfoothall::stall::{self, Monitor};

fn digest(at: usize, incarnation: u64) -> Digest {
    Digest {
        instance: format!("i{at:03}").parse().unwrap(),
        domain: format!("d{:02}", at % 19).parse().unwrap(),
        callers: format!("127.0.0.1:{}", 10_000 + at),
        peers: format!("127.0.0.1:{}", 20_000 + at),
        incarnation,
        version: 1,
        leaving: false,
        load: 50,
        revision: 1,
        slots: 1,
    }
}

fn fleet(count: usize) -> Vec<Table> {
    let start = Heartbeat {
        digests: (0..count).map(|at| digest(at, 1)).collect(),
        ..Heartbeat::default()
    };
    let table = |at| {
        let mut table = Table::new(digest(at, 1), Settings::default());
        table.merge(Time::START, start.clone());
        table
    };
    (0..count).map(table).collect()
}

fn second(ms: u64) -> Time {
    Time::START + Duration::from_millis(ms)
}

/// Runs heartbeats for some seconds; returns the members that died by mistake.
fn beat(
    tables: &mut [Table],
    watches: &mut [Monitor],
    from: u64,
    to: u64,
    dead: Option<usize>,
) -> usize {
    let mut died = 0;
    for tick in from..to {
        let now = second(tick * 1000);
        for at in (0..tables.len()).filter(|at| Some(*at) != dead) {
            let (peers, heartbeat) = tables[at].heartbeat(now);
            for peer in peers {
                let to: usize = peer.instance.as_str()[1..].parse().unwrap();
                if Some(to) != dead {
                    tables[to].merge(now, heartbeat.clone());
                    watches[to].record_message(now);
                }
            }
        }
        for at in (0..tables.len()).filter(|at| Some(*at) != dead) {
            watches[at].tick(now);
            let events = tables[at].expire(now, &watches[at]);
            let gone = |event: &&Event| matches!(event, Event::Died(name) if Some(name.as_str()) != dead.map(|at| format!("i{at:03}")).as_deref());
            died += events.iter().filter(gone).count();
        }
    }
    died
}

fn watches(count: usize, timeout: u64) -> Vec<Monitor> {
    let settings = stall::Settings {
        tick: Duration::from_secs(1),
        timeout: Duration::from_secs(timeout),
        ..stall::Settings::default()
    };
    (0..count)
        .map(|_| Monitor::new(Time::START, settings.clone()))
        .collect()
}

#[test]
fn bytes_stay() {
    for count in [9, 60, 330] {
        let mut tables = fleet(count);
        let mut watches = watches(count, 3);
        let died = beat(&mut tables, &mut watches, 1, 21, None);
        let most = tables
            .iter()
            .map(|table| table.sent().0 / 20)
            .max()
            .unwrap();
        println!("{count} members: {most} B/s a node, {died} false deaths");
        assert!(most < 8000, "{count} members: {most} B/s");
        assert_eq!(died, 0);
    }
}

#[test]
fn lost_member() {
    let mut tables = fleet(9);
    let mut watches = watches(9, 5);
    assert_eq!(beat(&mut tables, &mut watches, 1, 20, None), 0);
    assert_eq!(beat(&mut tables, &mut watches, 20, 30, Some(3)), 0);
    let name = digest(3, 1).instance;
    assert!(
        (0..9)
            .filter(|at| *at != 3)
            .all(|at| tables[at].get(&name).is_none())
    );
}

#[test]
fn big_fleet() {
    let mut tables = fleet(330);
    let mut watches = watches(330, 3);
    assert_eq!(beat(&mut tables, &mut watches, 1, 10, None), 0);
    assert_eq!(beat(&mut tables, &mut watches, 10, 25, Some(3)), 0);
    let name = digest(3, 1).instance;
    let knows = |at: &usize| *at != 3 && tables[*at].get(&name).is_some();
    assert_eq!((0..330).filter(knows).count(), 0);
}

#[test]
fn false_death() {
    let mut tables = fleet(9);
    let mut watches = watches(9, 3);
    let death = Death {
        instance: digest(3, 1).instance,
        incarnation: 1,
        version: 1,
    };
    let news = Heartbeat {
        deaths: vec![death.clone()],
        ..Heartbeat::default()
    };
    let events = tables[5].merge(second(0), news);
    assert_eq!(events, [Event::Died(death.instance.clone())]);
    beat(&mut tables, &mut watches, 1, 12, None);
    assert!(
        (0..9)
            .filter(|at| *at != 3)
            .all(|at| tables[at].get(&death.instance).is_some())
    );
}

#[test]
fn newest_wins() {
    let mut table = Table::new(digest(0, 1), Settings::default());
    let say = |table: &mut Table, digest: Digest| {
        table.merge(
            Time::START,
            Heartbeat {
                digests: vec![digest],
                ..Heartbeat::default()
            },
        )
    };
    let joined = vec![Event::Joined(digest(1, 2).instance)];
    assert_eq!(say(&mut table, digest(1, 2)), joined);
    assert_eq!(
        say(
            &mut table,
            Digest {
                version: 9,
                leaving: true,
                ..digest(1, 1)
            }
        ),
        []
    );
    let left = Digest {
        version: 2,
        leaving: true,
        ..digest(1, 2)
    };
    assert_eq!(
        say(&mut table, left),
        [Event::Leaving(digest(1, 2).instance)]
    );
    assert_eq!(say(&mut table, digest(1, 3)), joined);
}

#[test]
fn leaving_address() {
    let mut table = Table::new(digest(0, 1), Settings::default());
    let busy = Digest {
        load: 90,
        ..digest(1, 1)
    };
    let leaving = Digest {
        leaving: true,
        ..digest(2, 1)
    };
    table.merge(
        Time::START,
        Heartbeat {
            digests: vec![busy, leaving],
            ..Heartbeat::default()
        },
    );
    let weights: Vec<_> = table
        .addresses(Time::START)
        .addresses
        .iter()
        .map(|a| a.weight)
        .collect();
    assert_eq!(weights, [500, 100]);
    let watch = Monitor::new(Time::START, stall::Settings::default());
    table.expire(Time::START, &watch);
    let later = table.addresses(second(3000));
    assert_eq!(later.addresses.len(), 1, "only itself was heard lately");
}
