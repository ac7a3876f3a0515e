//! When an idempotent request is told "not run".

mod pair;

use std::time::Duration;

use coltsfoothall::key::Key;
use coltsfoothall::ledger::{Begin, Error, Event, Life};
use coltsfoothall::record::{Cause, Change, End};
use pair::{NOT_RUN, SLOT, World, intake};

const UNKNOWN: End = End::Unknown(Cause::Deadline);

#[test]
fn read_later() {
    let mut world = World::new();
    let request = intake("mine", true);
    let step = world.give_up(&request);
    assert!(!step.released && world.a.unconfirmed());
    world.wait(10);
    world.read();
    assert!(world.leaves(&request, step.seq));
    assert!(!world.a.unconfirmed());
}

#[test]
fn read_before() {
    let mut world = World::new();
    let asked = world.now;
    world.wait(10);
    let request = intake("mine", true);
    let step = world.give_up(&request);
    world.wait(10);
    world.answered(asked);
    assert!(!world.leaves(&request, step.seq));
}

#[test]
fn read_slow() {
    let mut world = World::new();
    let request = intake("mine", true);
    let step = world.give_up(&request);
    world.wait(10);
    let asked = world.now;
    world.wait(800);
    world.answered(asked);
    assert!(!world.leaves(&request, step.seq));
}

#[test]
fn once_only() {
    let mut world = World::new();
    world.back_up();
    let request = intake("mine", false);
    let step = world.give_up(&request);
    assert!(!world.a.unconfirmed());
    let found = world.a.lags();
    let updates = world.a.resend(SLOT, &found[0].to);
    let epoch = updates[0].epoch;
    for update in updates {
        let ack = world.b.receive(world.now, &world.names[0], update).unwrap();
        world.a.acked(SLOT, epoch, &world.names[1], ack).unwrap();
    }
    assert!(world.leaves(&request, step.seq));
}

#[test]
fn claimed_meanwhile() {
    let mut world = World::new();
    let request = intake("mine", true);
    let step = world.give_up(&request);
    world.wait(10);
    world.claim();
    world.read();
    assert!(!world.leaves(&request, step.seq));
    // The claimant takes the key in at once, and runs it once `a` can no longer tell.
    let begun = world.b.begin(world.now, request.clone(), SLOT);
    assert!(matches!(begun, Ok(Begin::New(_))));
    let sent = Change::Sent {
        attempt: 1,
        endpoint: "e".parse().expect("a name"),
    };
    let name = request.name.clone();
    let step = world.b.change(world.now, SLOT, name, sent).expect("taken");
    let runs = |world: &World| world.b.may_leave(SLOT, &request.name, step.seq);
    assert!(!step.released && !runs(&world));
    world.b.retire(world.now + Duration::from_millis(1400));
    assert!(!runs(&world));
    world.b.retire(world.now + Duration::from_millis(1500));
    assert!(runs(&world));
}

/// A key that was minted since the claim was used nowhere before.
#[test]
fn claimed_anew() {
    let mut world = World::new();
    world.claim();
    let epoch = world.table.entry(SLOT).expect("one slot").epoch;
    let mut request = intake("mine", true);
    request.name.key = Key::mint(SLOT, epoch, 1);
    let begun = world.b.begin(world.now, request.clone(), SLOT);
    assert!(matches!(begun, Ok(Begin::New(_))));
    let sent = Change::Sent {
        attempt: 1,
        endpoint: "e".parse().expect("a name"),
    };
    let step = world.b.change(world.now, SLOT, request.name, sent);
    assert!(step.expect("taken").released);
}

#[test]
fn asked_again() {
    let mut world = World::new();
    let request = intake("mine", true);
    let step = world.give_up(&request);
    world.wait(10);
    world.read();
    assert!(world.leaves(&request, step.seq));
    world.wait(1000);
    assert_eq!(world.begin(&request), Begin::Join(step.seq));
    assert!(!world.leaves(&request, step.seq) && world.a.unconfirmed());
    world.wait(10);
    world.read();
    assert!(world.leaves(&request, step.seq));
}

#[test]
fn taken_back() {
    let mut world = World::new();
    let request = intake("mine", true);
    let step = world.give_up(&request);
    world.wait(100);
    let waited = Duration::from_millis(200);
    assert_eq!(world.a.retract(world.now, waited), []);
    world.wait(100);
    let ended = Event::Ended(request.name.clone(), UNKNOWN);
    assert_eq!(world.a.retract(world.now, waited), [ended]);
    world.wait(10);
    world.read();
    assert_eq!(world.end(&request), Some(UNKNOWN));
    assert!(!world.leaves(&request, step.seq));
    assert!(world.leaves(&request, step.seq.next()));
}

#[test]
fn backup_replaced() {
    let mut world = World::new();
    world.back_up();
    let request = intake("mine", true);
    // The backup has sealed its copy, so it never holds this.
    let step = world.give_up(&request);
    world.wait(10);
    let epoch = world.table.entry(SLOT).unwrap().epoch;
    let alone = (world.table).replace_backup(SLOT, epoch, &world.names[0], None);
    let alone = alone.unwrap();
    let entry = alone.entry(SLOT).unwrap().clone();
    world.a.propose(SLOT, world.table.version, entry).unwrap();
    world.table = alone;
    let ended = Event::Ended(request.name.clone(), UNKNOWN);
    assert_eq!(world.read(), [ended]);
    assert!(!world.leaves(&request, step.seq));
}

#[test]
fn backup_held() {
    let mut world = World::new();
    world.back_up();
    let request = intake("mine", true);
    let Begin::New(step) = world.begin(&request) else {
        panic!("it is not new");
    };
    let from = world.names[0].clone();
    let ack = world.b.receive(world.now, &from, step.update).unwrap();
    let epoch = world.table.entry(SLOT).unwrap().epoch;
    world.a.acked(SLOT, epoch, &world.names[1], ack).unwrap();
    // The backup holds all, seals its copy unnoticed, and may run the request alone.
    world.b.seal(SLOT);
    let alone = (world.table).replace_backup(SLOT, epoch, &from, None);
    let alone = alone.unwrap();
    let entry = alone.entry(SLOT).unwrap().clone();
    world.a.propose(SLOT, world.table.version, entry).unwrap();
    world.table = alone;
    assert_eq!(world.read(), []);
    let (name, end) = (request.name.clone(), Change::End(NOT_RUN));
    let refused = world.a.change(world.now, SLOT, name.clone(), end);
    assert_eq!(refused, Err(Error::NotSafe(name)));
    let late = world.begin(&intake("late", true));
    assert!(matches!(late, Begin::New(_)));
    let (name, end) = (intake("late", true).name, Change::End(NOT_RUN));
    let refused = world.a.change(world.now, SLOT, name.clone(), end);
    assert_eq!(refused, Err(Error::NotSafe(name)));
}

#[test]
fn backup_resigned() {
    let mut world = World::new();
    world.back_up();
    let request = intake("mine", true);
    let step = world.give_up(&request);
    let epoch = world.table.entry(SLOT).unwrap().epoch;
    // A process that began anew says that it has no copy; the one before it may have run it.
    let backup = world.names[1].clone();
    world.a.resigned(world.now, SLOT, epoch, &backup, Life(1));
    world.wait(10);
    world.read();
    assert_eq!(world.end(&request), Some(UNKNOWN));
    assert!(!world.leaves(&request, step.seq));
}

#[test]
fn gone_alone() {
    let mut world = World::new();
    world.back_up();
    let request = intake("mine", true);
    let step = world.give_up(&request);
    world.a.run_unreplicated(SLOT);
    world.wait(10);
    world.read();
    assert!(!world.leaves(&request, step.seq));
}

/// A request that its owner took in without knowing all of its key's past, and that reached
/// the next owner as a change, is no better known there.
#[test]
fn unsure_handed_over() {
    let mut world = World::new();
    world.back_up();
    world.name(None);
    world.copy();
    let late = intake("late", true);
    let Begin::New(step) = world.begin(&late) else {
        panic!("it is not new");
    };
    let [a, b] = world.names.clone();
    let epoch = step.update.epoch;
    let ack = world.b.receive(world.now, &a, step.update);
    world
        .a
        .acked(SLOT, epoch, &b, ack.expect("taken"))
        .expect("sent");
    world.hand_over();
    let end = Change::End(NOT_RUN);
    let refused = world.b.change(world.now, SLOT, late.name.clone(), end);
    assert_eq!(refused, Err(Error::NotSafe(late.name)));
}

/// An owner that is in doubt of a key's idempotent work hands its slot over in the table:
/// the new owner, which knows less, may not tell "not run" for the key either.
#[test]
fn doubt_handed_over() {
    let mut world = World::new();
    world.back_up();
    // The backup may have sealed its copy and worked on alone.
    world.name(None);
    world.copy();
    world.hand_over();
    let late = intake("late", true);
    let begun = world.b.begin(world.now, late.clone(), SLOT);
    assert!(matches!(begun, Ok(Begin::New(_))));
    let end = Change::End(NOT_RUN);
    let refused = world.b.change(world.now, SLOT, late.name.clone(), end);
    assert_eq!(refused, Err(Error::NotSafe(late.name)));
}

/// The same, if the owner comes into doubt after the copy was made.
#[test]
fn doubt_after_copy() {
    let mut world = World::new();
    world.back_up();
    world.copy();
    world.name(Some(1));
    world.b.observe(world.now, &world.table);
    world.hand_over();
    let late = intake("late", true);
    let begun = world.b.begin(world.now, late.clone(), SLOT);
    assert!(matches!(begun, Ok(Begin::New(_))));
    let end = Change::End(NOT_RUN);
    let refused = world.b.change(world.now, SLOT, late.name.clone(), end);
    assert_eq!(refused, Err(Error::NotSafe(late.name)));
}
