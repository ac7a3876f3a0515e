//! Which copy a word is about, and what may leave on it.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

#[expect(dead_code, reason = "each test file uses a part of it")]
mod pair;

use coltsfoothall::ledger::{Begin, Ledger, Life, Next, Settings};
use coltsfoothall::record::{Change, Intake};
use coltsfoothall::replica::{Seq, Taken};
use pair::{SLOT, World, intake};

/// A world whose backup was named, and whose process is then gone.
fn successor() -> World {
    let mut world = World::new();
    world.back_up();
    let settings = Settings {
        life: Life(1),
        ..Settings::default()
    };
    world.b = Ledger::new(world.names[1].clone(), settings);
    world
}

/// `a` takes a request in and records an attempt.
fn send(world: &mut World, intake: &Intake) -> Seq {
    assert!(matches!(world.begin(intake), Begin::New(_)));
    let endpoint = "e".parse().unwrap();
    let sent = Change::Sent {
        attempt: 1,
        endpoint,
    };
    let name = intake.name.clone();
    world.a.change(world.now, SLOT, name, sent).unwrap().seq
}

/// The process that held the backup may have taken the slot over before it went. What its
/// successor acknowledges lets idempotent work go on; a call that may run once waits for the table.
#[test]
fn successor_heard() {
    let mut world = successor();
    let once = intake("once", false);
    let often = intake("often", true);
    let (sent, repeated) = (send(&mut world, &once), send(&mut world, &often));
    world.copy();
    assert!(!world.leaves(&once, sent));
    assert!(world.leaves(&often, repeated));
    assert_eq!(world.begin(&intake("late", false)), Begin::NotSafe);
    world.name(Some(1));
    assert!(world.leaves(&once, sent));
}

/// The copy that a slot is handed to by word knows no more than its owner did.
#[test]
fn successor_owns() {
    let mut world = successor();
    let once = intake("once", false);
    let sent = send(&mut world, &once);
    world.copy();
    world.a.drain(SLOT);
    let (heir, word) = world.a.hand_over(SLOT).unwrap();
    assert_eq!(heir, world.names[1]);
    assert!(world.b.accept(world.now, word));
    assert!(!world.b.may_leave(SLOT, &once.name, sent));
}

/// Only the process that held the backup can say that it has not taken the slot over.
#[test]
fn successor_resigns() {
    let mut world = successor();
    let once = intake("once", false);
    let sent = send(&mut world, &once);
    let epoch = world.table.entry(SLOT).unwrap().epoch;
    let life = world.b.resign(SLOT, epoch).unwrap();
    let backup = world.names[1].clone();
    world.a.resigned(world.now, SLOT, epoch, &backup, life);
    assert!(!world.leaves(&once, sent));
    world
        .a
        .resigned(world.now, SLOT, epoch, &backup, Life::default());
    assert!(!world.leaves(&once, sent));
}

/// A backup that took the slot over, and gave it on since, is no longer there to resign.
#[test]
fn resigns_late() {
    let mut world = World::new();
    world.back_up();
    let epoch = world.table.entry(SLOT).unwrap().epoch;
    let [a, b] = world.names.clone();
    let taken = world.table.takeover(SLOT, epoch, &b).unwrap();
    let given = taken.claim(SLOT, epoch.next(), &a).unwrap();
    world.b.observe(world.now, &given);
    assert_eq!(world.b.resign(SLOT, epoch), None);
}

/// A backup that sealed its copy and worked on alone becomes the owner by the table, with the
/// owner before as its backup. What it did alone is held by no other copy.
#[test]
fn own_changes_kept() {
    let mut world = World::new();
    world.back_up();
    world.give_away();
    world.b.seal(SLOT);
    let often = intake("often", true);
    let Ok(Begin::New(accepted)) = world.b.begin(world.now, often.clone(), SLOT) else {
        panic!("it is not new");
    };
    world.b.observe(world.now, &world.table);
    assert!(world.b.released(SLOT) < Some(accepted.seq));
    let [a, b] = world.names.clone();
    for update in world.b.resend(SLOT, &a) {
        let epoch = update.epoch;
        let ack = world.a.receive(world.now, &b, update).unwrap();
        world.b.acked(SLOT, epoch, &a, ack).unwrap();
    }
    assert_eq!(world.b.released(SLOT), Some(accepted.seq));
    assert!(world.a.record(SLOT, &often.name).is_some());
}

/// A sealed backup works alone for as long as it has to. What it did is too much to be sent as
/// changes then: the backup that the table gives it has to get a whole copy.
#[test]
fn own_changes_many() {
    let mut world = World::new();
    world.back_up();
    world.give_away();
    world.b.seal(SLOT);
    let mut last = Seq(0);
    for number in 0..5000 {
        let often = intake(&format!("often-{number}"), true);
        let Ok(Begin::New(accepted)) = world.b.begin(world.now, often, SLOT) else {
            panic!("{number} is not taken in");
        };
        last = accepted.seq;
    }
    world.b.observe(world.now, &world.table);
    assert!(world.b.released(SLOT) < Some(last));
    let [a, b] = world.names.clone();
    let next = intake("next", true);
    let Ok(Begin::New(step)) = world.b.begin(world.now, next, SLOT) else {
        panic!("it is not new");
    };
    let epoch = step.update.epoch;
    let ack = world.a.receive(world.now, &b, step.update).unwrap();
    let copy = world.b.acked(SLOT, epoch, &a, ack).unwrap();
    assert_eq!(copy, Next::Copy);
}

/// The table names the process that held a copy when it was written. Its successor has an
/// older copy, of which its owner never heard that it came: it may not take the slot over.
#[test]
fn other_process_named() {
    let mut world = successor();
    let [_a, b] = world.names.clone();
    let mut old = world.a.export(world.now, SLOT, &b).unwrap();
    // The owner begins another copy, which the former process takes.
    let mut former = Ledger::new(b.clone(), Settings::default());
    for chunk in world.a.export(world.now, SLOT, &b).unwrap() {
        if let Taken::Whole(whole) = former.import(world.now, chunk) {
            world.a.copied(SLOT, &b, whole).unwrap().unwrap();
        }
    }
    for chunk in old.drain(..) {
        world.b.import(world.now, chunk);
    }
    world.name(Some(1));
    world.b.observe(world.now, &world.table);
    assert_eq!(world.b.seal(SLOT), None);
}
