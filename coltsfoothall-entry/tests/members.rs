//! Entry instances join, leave, die and stall: the callers' addresses and the
//! slots follow, and nobody takes a live owner's slot.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod system;

use std::time::Duration;

use coltsfoothall::id;
use coltsfoothall::slot::Table;
use coltsfoothall_wire::caller::Addresses;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use system::{DOMAINS, Shape, System};
use tokio::time::{Instant, sleep};

/// Longer than the time after which a silent instance is taken for dead.
const PAUSE: Duration = Duration::from_secs(5);

/// How long a disturbed instance may still lose slots: others find its
/// silence, wait until they are sure of themselves, and write the table.
const TAIL: Duration = Duration::from_secs(30);

/// Addresses that an entry instance hands out.
async fn handed(system: &System, at: usize) -> Vec<String> {
    let path = "/v1/addresses";
    let within = Duration::from_secs(2);
    let known =
        system
            .client
            .get::<Addresses>("addresses", &system.entries[at].address, path, within);
    let Ok(known) = known.await else {
        return Vec::new();
    };
    known
        .addresses
        .into_iter()
        .map(|address| address.address)
        .collect()
}

/// Waits until all that run hand out just those in `fit`.
async fn until_handed(system: &System, fit: &[usize]) {
    let mut want: Vec<_> = fit
        .iter()
        .map(|at| system.entries[*at].address.clone())
        .collect();
    want.sort();
    system
        .until("addresses", async |system| {
            for at in fit {
                let mut have = handed(system, *at).await;
                have.sort();
                if have != want {
                    return false;
                }
            }
            true
        })
        .await;
}

fn all(system: &System) -> Vec<usize> {
    (0..system.entries.len()).collect()
}

/// Lines of an entry instance's log that say that another died.
fn deaths(system: &System, at: usize) -> usize {
    let log = system.log(&system.entries[at].name);
    log.lines()
        .filter(|line| line.contains("change=died"))
        .count()
}

/// Failure domain of an entry instance.
fn domain(system: &System, name: &id::Instance) -> &'static str {
    let at = system
        .entries
        .iter()
        .position(|part| part.name == name.as_str())
        .unwrap();
    DOMAINS[at % DOMAINS.len()]
}

/// No slot was claimed without its records between two tables.
fn assert_kept(system: &System, before: &Table, after: &Table) {
    for ((slot, old), (_, new)) in before.iter().zip(after.iter()) {
        assert_eq!(
            old.cold,
            new.cold,
            "slot {slot} was claimed\n{}",
            system.logs()
        );
    }
}

#[tokio::test]
async fn addresses_follow() {
    let mut system = System::start(Shape::default()).await;
    until_handed(&system, &[0, 1, 2]).await;
    system.entries[0].kill();
    until_handed(&system, &[1, 2]).await;
    system.start_entry(0);
    until_handed(&system, &[0, 1, 2]).await;
    system.until_backed().await;
    system.entries[1].stop();
    until_handed(&system, &[0, 2]).await;
    assert!(system.entries[1].ended().await, "{}", system.logs());
    system.until_backed().await;
    system.assert_sound().await;
}

#[tokio::test]
async fn replaced_in_turn() {
    let mut system = System::start(Shape::default()).await;
    let before = system.table().await.unwrap();
    for at in 0..system.entries.len() {
        system.entries[at].stop();
        assert!(system.entries[at].ended().await, "{}", system.logs());
        system.start_entry(at);
        until_handed(&system, &all(&system)).await;
        system.until_backed().await;
    }
    let after = system.table().await.unwrap();
    assert_kept(&system, &before, &after);
    system.assert_sound().await;
}

#[tokio::test]
async fn killed_in_turn() {
    let mut system = System::start(Shape::default()).await;
    let before = system.table().await.unwrap();
    for at in 0..system.entries.len() {
        system.entries[at].kill();
        system.start_entry(at);
        until_handed(&system, &all(&system)).await;
        system.until_backed().await;
        until_copied(&system).await;
    }
    let after = system.table().await.unwrap();
    assert_kept(&system, &before, &after);
    system.assert_sound().await;
}

/// Waits until the table has not changed for a while: copies that a restart
/// lost have been made again by then.
async fn until_copied(system: &System) {
    let mut seen = (0, Instant::now());
    for _ in 0..600 {
        let version = system.table().await.map_or(0, |table| table.version);
        if version != seen.0 {
            seen = (version, Instant::now());
        }
        if seen.1.elapsed() >= PAUSE {
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
    panic!("the table goes on changing\n{}", system.logs());
}

#[tokio::test]
async fn domain_lost() {
    let mut system = System::start(Shape {
        entries: 6,
        ..Shape::default()
    })
    .await;
    let before = system.table().await.unwrap();
    for at in [0, 3] {
        system.entries[at].kill();
    }
    until_handed(&system, &[1, 2, 4, 5]).await;
    system.until_backed().await;
    system
        .until("backups in another failure domain", async |system| {
            let Some(table) = system.table().await else {
                return false;
            };
            table.iter().all(|(_, entry)| {
                let primary = domain(system, &entry.primary);
                entry
                    .backup
                    .as_ref()
                    .is_some_and(|backup| domain(system, backup) != primary)
            })
        })
        .await;
    let after = system.table().await.unwrap();
    assert_kept(&system, &before, &after);
    system.assert_sound().await;
}

#[tokio::test]
async fn own_stall() {
    let system = System::start(Shape::default()).await;
    let before = system.table().await.unwrap();
    system.entries[0].pause();
    until_handed(&system, &[1, 2]).await;
    sleep(PAUSE).await;
    system.entries[0].wake();
    until_handed(&system, &[0, 1, 2]).await;
    system.until_backed().await;
    sleep(PAUSE).await;
    assert_eq!(deaths(&system, 0), 0, "{}", system.logs());
    assert_kept(&system, &before, &system.table().await.unwrap());
    system.assert_sound().await;
}

#[tokio::test]
async fn all_stall() {
    let system = System::start(Shape::default()).await;
    until_copied(&system).await;
    let before = system.table().await.unwrap();
    system.entries.iter().for_each(system::Part::pause);
    sleep(PAUSE).await;
    system.entries.iter().for_each(system::Part::wake);
    until_handed(&system, &[0, 1, 2]).await;
    sleep(PAUSE).await;
    for at in all(&system) {
        assert_eq!(deaths(&system, at), 0, "{}", system.logs());
    }
    assert_eq!(before, system.table().await.unwrap(), "{}", system.logs());
    system.assert_sound().await;
}

/// While instances are killed, restarted and paused as it falls, a slot is
/// claimed without its records only if its owner and its backup were disturbed.
#[tokio::test]
async fn live_owner_kept() {
    for seed in [21, 22] {
        let mut system = System::start(Shape {
            entries: 4,
            ..Shape::default()
        })
        .await;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut disturbed: Vec<Option<Instant>> = vec![None; system.entries.len()];
        let mut table = system.table().await.unwrap();
        for _ in 0..6 {
            let at = rng.random_range(0..system.entries.len());
            disturbed[at] = Some(Instant::now());
            let span = Duration::from_millis(rng.random_range(0..5000));
            if rng.random_bool(0.5) {
                system.entries[at].pause();
                watch(&system, &mut table, &disturbed, span, seed).await;
                system.entries[at].wake();
            } else {
                system.entries[at].kill();
                watch(&system, &mut table, &disturbed, span, seed).await;
                system.start_entry(at);
            }
            disturbed[at] = Some(Instant::now());
            let rest = Duration::from_millis(rng.random_range(0..4000));
            watch(&system, &mut table, &disturbed, rest, seed).await;
        }
        until_handed(&system, &all(&system)).await;
        system.until_backed().await;
        watch(&system, &mut table, &disturbed, Duration::ZERO, seed).await;
        system.assert_sound().await;
    }
}

/// Compares tables for a while.
async fn watch(
    system: &System,
    table: &mut Table,
    disturbed: &[Option<Instant>],
    span: Duration,
    seed: u64,
) {
    let until = Instant::now() + span;
    loop {
        if let Some(next) = system.table().await {
            for ((slot, old), (_, new)) in table.iter().zip(next.iter()) {
                if old.cold != new.cold {
                    let excused = |name: &id::Instance| {
                        let at = system.entries.iter().position(|p| p.name == name.as_str());
                        disturbed[at.unwrap()].is_some_and(|at| at.elapsed() < TAIL)
                    };
                    let lost = excused(&old.primary) && old.backup.as_ref().is_none_or(excused);
                    assert!(
                        lost,
                        "seed {seed}: slot {slot}: {old:?} {new:?}\n{}",
                        system.logs()
                    );
                }
            }
            *table = next;
        }
        if Instant::now() >= until {
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
}
