//! Acknowledgements and handoffs count only for the copy and the process that they are about.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

#[expect(dead_code, reason = "each test file uses a part of it")]
mod pair;

use coltsfoothall::ledger::{Begin, Ledger, Life, Next, Settings};
use coltsfoothall::record::{Change, Intake};
use coltsfoothall::replica::{Seq, Taken};
use pair::{SLOT, World, intake};

/// A world in which the named backup has restarted and lost its copy.
fn restarted_backup() -> World {
    let mut world = World::new();
    world.back_up();
    let settings = Settings {
        life: Life(1),
        ..Settings::default()
    };
    world.b = Ledger::new(world.names[1].clone(), settings);
    world
}

/// `a` accepts a request and records an attempt.
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

/// The process that held the backup may have taken the slot over before it ended.
/// Acknowledgements of the restarted process let idempotent requests continue; a non-idempotent
/// one waits for the table.
#[test]
fn restarted_backup_acknowledges() {
    let mut world = restarted_backup();
    let once = intake("once", false);
    let idempotent = intake("often", true);
    let (sent, repeated) = (send(&mut world, &once), send(&mut world, &idempotent));
    world.copy();
    assert!(!world.may_leave(&once, sent));
    assert!(world.may_leave(&idempotent, repeated));
    assert_eq!(world.begin(&intake("late", false)), Begin::NotSafe);
    world.name_backup(Some(1));
    assert!(world.may_leave(&once, sent));
}

/// After a direct handoff, the new primary is under the same restrictions as the previous one.
#[test]
fn restarted_backup_takes_handoff() {
    let mut world = restarted_backup();
    let once = intake("once", false);
    let sent = send(&mut world, &once);
    world.copy();
    world.a.drain(SLOT);
    let (successor_name, handoff) = world.a.hand_over(SLOT).unwrap();
    assert_eq!(successor_name, world.names[1]);
    assert!(world.b.accept(world.now, handoff));
    assert!(!world.b.may_leave(SLOT, &once.name, sent));
}

/// Only the process that held the backup can vouch that it has not taken the slot over.
#[test]
fn restarted_backup_resigns() {
    let mut world = restarted_backup();
    let once = intake("once", false);
    let sent = send(&mut world, &once);
    let epoch = world.table.entry(SLOT).unwrap().epoch;
    let life = world.b.resign(SLOT, epoch).unwrap();
    let backup = world.names[1].clone();
    world.a.resigned(world.now, SLOT, epoch, &backup, life);
    assert!(!world.may_leave(&once, sent));
    world
        .a
        .resigned(world.now, SLOT, epoch, &backup, Life::default());
    assert!(!world.may_leave(&once, sent));
}

/// A backup that took the slot over, and lost it since, can no longer resign as backup.
#[test]
fn resigns_after_takeover() {
    let mut world = World::new();
    world.back_up();
    let epoch = world.table.entry(SLOT).unwrap().epoch;
    let [a, b] = world.names.clone();
    let taken = world.table.takeover(SLOT, epoch, &b).unwrap();
    let given = taken.claim(SLOT, epoch.next(), &a).unwrap();
    world.b.observe(world.now, &given);
    assert_eq!(world.b.resign(SLOT, epoch), None);
}

/// A backup that sealed its copy and continued unreplicated becomes primary by the table, with
/// the previous primary as its backup. No other copy holds the changes it made meanwhile, so they
/// are resent before they count as released.
#[test]
fn own_changes_kept() {
    let mut world = World::new();
    world.back_up();
    world.write_handover();
    world.b.seal(SLOT);
    let idempotent = intake("often", true);
    let Ok(Begin::New(accepted)) = world.b.begin(world.now, idempotent.clone(), SLOT) else {
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
    assert!(world.a.record(SLOT, &idempotent.name).is_some());
}

/// A sealed backup may continue unreplicated for long. If it made too many changes to resend, the
/// backup that the table gives it has to receive a complete copy.
#[test]
fn own_changes_many() {
    let mut world = World::new();
    world.back_up();
    world.write_handover();
    world.b.seal(SLOT);
    let mut last = Seq(0);
    for number in 0..5000 {
        let idempotent = intake(&format!("often-{number}"), true);
        let Ok(Begin::New(accepted)) = world.b.begin(world.now, idempotent, SLOT) else {
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

/// The table names the process that held a copy when it was written. The restarted process has an
/// older copy, whose arrival the primary never learned of: it may not take the slot over.
#[test]
fn other_process_named() {
    let mut world = restarted_backup();
    let [_a, b] = world.names.clone();
    let mut old = world.a.export(world.now, SLOT, &b).unwrap();
    // The primary starts another copy, which the earlier process receives.
    let mut former = Ledger::new(b.clone(), Settings::default());
    for chunk in world.a.export(world.now, SLOT, &b).unwrap() {
        if let Taken::Whole(whole) = former.import(world.now, chunk) {
            world.a.copied(SLOT, &b, whole).unwrap().unwrap();
        }
    }
    for chunk in old.drain(..) {
        world.b.import(world.now, chunk);
    }
    world.name_backup(Some(1));
    world.b.observe(world.now, &world.table);
    assert_eq!(world.b.seal(SLOT), None);
}
