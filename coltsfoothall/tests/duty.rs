//! Duties of an instance for the slots, step by step.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use coltsfoothall::clock::Time;
use coltsfoothall::duty::{Context, Duty, MAX_MOVED_BYTES, Missing, duties};
use coltsfoothall::id;
use coltsfoothall::key::{Key, Slot};
use coltsfoothall::ledger::{Ledger, Life, Settings};
use coltsfoothall::record::{Class, Intake, Name, Work};
use coltsfoothall::replica::{Chunk, Taken};
use coltsfoothall::size::Millis;
use coltsfoothall::slot::{Candidate, Refused, Table};

const NOW: Time = Time::START;
const SLOT: Slot = Slot(0);

fn name(name: &str) -> id::Instance {
    name.parse().unwrap()
}

fn live(names: &[&str]) -> Vec<Candidate> {
    let candidate = |at: &&str| Candidate {
        instance: name(at),
        domain: format!("domain-{at}").parse().unwrap(),
        leaving: false,
    };
    names.iter().map(candidate).collect()
}

/// One slot with primary `a` and backup `b`.
struct World {
    table: Table,
    a: Ledger,
    b: Ledger,
    /// The only chunk of the last copy to `b`.
    chunk: Option<Chunk>,
}

impl World {
    fn new() -> Self {
        let a = Ledger::new(name("a"), Settings::default());
        let b = Ledger::new(name("b"), Settings::default());
        let table = Table::first(1, &live(&["a"])).unwrap();
        let mut world = Self {
            table,
            a,
            b,
            chunk: None,
        };
        let claimed = world.table.claim(SLOT, world.entry_epoch(), &name("a"));
        assert!(world.propose(&claimed));
        world.settle(claimed.unwrap());
        world.copy();
        let backup = world.a.process(SLOT, &name("b"));
        let named = world
            .table
            .replace_backup(SLOT, world.entry_epoch(), &name("a"), backup);
        assert!(world.propose(&named));
        world.settle(named.unwrap());
        world
    }

    fn entry_epoch(&self) -> coltsfoothall::key::Epoch {
        self.table.entry(SLOT).unwrap().epoch
    }

    fn propose(&mut self, table: &Result<Table, Refused>) -> bool {
        let entry = table.as_ref().unwrap().entry(SLOT).unwrap().clone();
        self.a.propose(SLOT, self.table.version, entry).is_ok()
    }

    fn settle(&mut self, table: Table) {
        self.a.observe(NOW, &table);
        self.b.observe(NOW, &table);
        self.table = table;
    }

    fn copy(&mut self) {
        for chunk in self.a.export(NOW, SLOT, &name("b")).unwrap() {
            self.chunk = Some(chunk.clone());
            if let Taken::Whole(whole) = self.b.import(NOW, chunk) {
                self.a.copied(SLOT, &name("b"), whole).unwrap();
            }
        }
    }

    fn duties(&self, me: &str, live: &[Candidate], missing: &[Missing]) -> Vec<Duty> {
        duties(&Context {
            me: &name(me),
            table: &self.table,
            ledger: if me == "a" { &self.a } else { &self.b },
            live,
            missing,
            leaving: false,
            service: true,
            settled: true,
        })
    }

    /// Duties of an instance that leaves while the key-value store is down.
    fn leaving(&self, me: &str, missing: &[Missing]) -> Vec<Duty> {
        duties(&Context {
            me: &name(me),
            table: &self.table,
            ledger: if me == "a" { &self.a } else { &self.b },
            live: &live(&["a", "b"]),
            missing,
            leaving: true,
            service: false,
            settled: true,
        })
    }

    /// Restarts the process of `a` without its records.
    fn restart(&mut self, life: u64) {
        self.a = ledger("a", life);
    }

    /// Sends a copy from `b`, which acts as primary, to `a`.
    fn copy_back(&mut self) {
        for chunk in self.b.export(NOW, SLOT, &name("a")).unwrap() {
            if let Taken::Whole(whole) = self.a.import(NOW, chunk) {
                self.b.copied(SLOT, &name("a"), whole).unwrap();
            }
        }
    }
}

fn ledger(at: &str, life: u64) -> Ledger {
    let settings = Settings {
        life: Life(life),
        ..Settings::default()
    };
    Ledger::new(name(at), settings)
}

#[test]
fn no_duties() {
    let world = World::new();
    let all = live(&["a", "b"]);
    assert_eq!(world.duties("a", &all, &[]), []);
    assert_eq!(world.duties("b", &all, &[]), []);
}

#[test]
fn primary_dead() {
    let world = World::new();
    assert_eq!(
        world.duties("b", &live(&["b"]), &[]),
        [Duty::TakeOver(SLOT)]
    );
}

/// A sealed copy acknowledges nothing, so the takeover has to continue even if the primary is
/// heard again.
#[test]
fn sealed_backup_takes_over() {
    let mut world = World::new();
    world.b.seal(SLOT);
    assert_eq!(
        world.duties("b", &live(&["a", "b"]), &[]),
        [Duty::TakeOver(SLOT)]
    );
}

/// The backup has the records, so a primary that lost its own does not claim the slot.
#[test]
fn primary_restarted() {
    let mut world = World::new();
    world.a = Ledger::new(name("a"), Settings::default());
    let cede = Duty::Cede {
        slot: SLOT,
        epoch: world.entry_epoch(),
        to: name("b"),
    };
    assert_eq!(world.duties("a", &live(&["a", "b"]), &[]), [cede]);
    assert_eq!(world.duties("a", &live(&["a"]), &[]), [Duty::Claim(SLOT)]);
}

#[test]
fn backup_restarted() {
    let world = World::new();
    let missing = Missing {
        slot: SLOT,
        epoch: world.entry_epoch(),
        at: name("b"),
    };
    let all = live(&["a", "b"]);
    let copy = Duty::Copy {
        slot: SLOT,
        to: name("b"),
    };
    assert_eq!(world.duties("a", &all, &[missing]), [copy]);
}

/// A handover whose write lost the compare-and-swap leaves the primary in charge.
#[test]
fn handover_lost() {
    let mut world = World::new();
    world.a.drain(SLOT);
    assert!(world.a.drained(SLOT));
    let successor = world.a.process(SLOT, &name("b")).unwrap();
    let given = world
        .table
        .hand_over(SLOT, world.entry_epoch(), &name("a"), &successor);
    assert!(world.propose(&given));
    assert_eq!(
        world.a.released(SLOT),
        None,
        "nothing leaves while the write may take effect"
    );
    let other = world.table.merge(&[]);
    world.settle(other);
    assert!(world.a.released(SLOT).is_some());
    assert_eq!(
        world.duties("a", &live(&["a", "b"]), &[]),
        [Duty::Resume(SLOT)]
    );
}

/// A direct handoff to the backup is final, whatever happens to the table.
#[test]
fn direct_handoff_is_final() {
    let mut world = World::new();
    world.a.drain(SLOT);
    let (backup, handoff) = world.a.hand_over(SLOT).unwrap();
    assert_eq!(backup, name("b"));
    let other = world.table.merge(&[]);
    world.settle(other);
    assert_eq!(world.a.released(SLOT), None);
    assert_eq!(
        world.duties("a", &live(&["a", "b"]), &[]),
        [Duty::Yield(SLOT)]
    );
    assert!(world.b.accept(NOW, handoff));
    assert_eq!(
        world.duties("b", &live(&["a", "b"]), &[]),
        [Duty::TakeOver(SLOT)]
    );
}

/// A proposal whose outcome is unknown blocks others until the table's version increases.
#[test]
fn unsettled_proposal_blocks_others() {
    let mut world = World::new();
    let unreplicated = world
        .table
        .replace_backup(SLOT, world.entry_epoch(), &name("a"), None);
    assert!(world.propose(&unreplicated));
    assert!(world.a.has_proposals());
    assert!(world.a.export(NOW, SLOT, &name("c")).is_none());
    let bumped = world.table.merge(&[]);
    world.settle(bumped);
    assert!(!world.a.has_proposals());
    assert!(world.a.export(NOW, SLOT, &name("c")).is_some());
}

/// A move may leave the previous primary as backup in the same failure domain; another backup is
/// chosen then.
#[test]
fn backup_in_same_domain_replaced() {
    let world = World::new();
    let mut all = live(&["a", "b", "c"]);
    all[1].domain = all[0].domain.clone();
    let copy = Duty::Copy {
        slot: SLOT,
        to: name("c"),
    };
    assert_eq!(world.duties("a", &all, &[]), [copy]);
    all[2].domain = all[0].domain.clone();
    assert_eq!(world.duties("a", &all, &[]), []);
}

/// The backup restarted, and the primary died before it sent another copy.
#[test]
fn both_copies_lost() {
    let mut world = World::new();
    world.b = Ledger::new(name("b"), Settings::default());
    assert_eq!(world.duties("b", &live(&["a", "b"]), &[]), []);
    assert_eq!(world.duties("b", &live(&["b"]), &[]), [Duty::Claim(SLOT)]);
}

/// While the store is down, a slot can be handed over directly, even to a restarted instance as
/// long as the table names it.
#[test]
fn passed_on() {
    let mut world = World::new();
    world.a.drain(SLOT);
    let (_backup, first) = world.a.hand_over(SLOT).unwrap();
    assert!(world.b.accept(NOW, first));
    world.restart(1);
    let copy = Duty::Copy {
        slot: SLOT,
        to: name("a"),
    };
    assert_eq!(world.leaving("b", &[]), [copy]);
    world.copy_back();
    assert_eq!(world.leaving("b", &[]), [Duty::Drain(SLOT)]);
    world.b.drain(SLOT);
    assert_eq!(world.leaving("b", &[]), [Duty::Yield(SLOT)]);
    let (successor, second) = world.b.hand_over(SLOT).unwrap();
    assert_eq!(successor, name("a"));
    assert_eq!(world.b.released(SLOT), None);
    assert_eq!(world.leaving("b", &[]), [Duty::Yield(SLOT)]);
    assert!(world.a.accept(NOW, second));
    assert!(world.a.released(SLOT).is_some());
    world.b.accept(NOW, first);
    assert_eq!(
        world.b.released(SLOT),
        None,
        "a duplicate handoff has no effect"
    );
}

/// A primary whose backup restarted sends it a copy before it leaves.
#[test]
fn backup_renewed() {
    let mut world = World::new();
    world.b = ledger("b", 1);
    world.a.run_unreplicated(SLOT);
    let missing = [Missing {
        slot: SLOT,
        epoch: world.entry_epoch(),
        at: name("b"),
    }];
    let copy = Duty::Copy {
        slot: SLOT,
        to: name("b"),
    };
    assert_eq!(world.leaving("a", &missing), [copy]);
    world.copy();
    world.a.drain(SLOT);
    assert_eq!(world.leaving("a", &missing), [Duty::Yield(SLOT)]);
    let (_heir, handoff) = world.a.hand_over(SLOT).unwrap();
    assert!(world.b.accept(NOW, handoff));
    assert!(world.b.released(SLOT).is_some());
}

/// A handoff to a process that ended has no effect on its successor of the same name.
#[test]
fn word_of_old() {
    let mut world = World::new();
    world.b = ledger("b", 1);
    world.copy();
    world.a.drain(SLOT);
    let (_heir, handoff) = world.a.hand_over(SLOT).unwrap();
    world.b = ledger("b", 2);
    let chunk = world.chunk.clone().unwrap();
    assert!(matches!(world.b.import(NOW, chunk), Taken::Whole(_)));
    assert!(!world.b.accept(NOW, handoff));
}

/// The successor died while the slot was drained, with the store down: no instance would serve
/// the slot if the primary kept waiting.
#[test]
fn heir_dead() {
    let mut world = World::new();
    world.a.drain(SLOT);
    let found = duties(&Context {
        me: &name("a"),
        table: &world.table,
        ledger: &world.a,
        live: &live(&["a"]),
        missing: &[],
        leaving: false,
        service: false,
        settled: true,
    });
    assert_eq!(found, [Duty::RunUnreplicated(SLOT)]);
    world.a.run_unreplicated(SLOT);
    assert!(world.a.serving(SLOT));
}

/// The holder of a complete copy is named, even if another instance has fewer copies by now.
#[test]
fn copy_kept() {
    let mut world = World::new();
    let mut all = live(&["a", "b", "c", "d"]);
    all[1].domain = all[0].domain.clone();
    let first = world.duties("a", &all, &[]);
    let [Duty::Copy { to, .. }] = &first[..] else {
        panic!("{first:?}");
    };
    let other = if *to == name("c") { "d" } else { "c" };
    let mut peer = ledger(other, 0);
    for chunk in world.a.export(NOW, SLOT, &name(other)).unwrap() {
        if let Taken::Whole(whole) = peer.import(NOW, chunk) {
            world.a.copied(SLOT, &name(other), whole).unwrap();
        }
    }
    let backup = name(other);
    let named = Duty::Name { slot: SLOT, backup };
    assert_eq!(world.duties("a", &all, &[]), [named]);
}

/// Number of slots that `a` moves at once to `b`, which backs up all 64 of them.
fn moved_slots(body: usize) -> usize {
    let me = name("a");
    let all = live(&["a", "b"]);
    let mut table = Table::first(64, &all[..1]).unwrap();
    let mut primary = Ledger::new(me.clone(), Settings::default());
    let mut backup = Ledger::new(name("b"), Settings::default());
    for step in 0..2 {
        let mut changed = Vec::new();
        for (slot, entry) in table.iter() {
            let next = match step {
                0 => table.claim(slot, entry.epoch, &me),
                _ => {
                    table.replace_backup(slot, entry.epoch, &me, primary.process(slot, &name("b")))
                }
            };
            let next = next.unwrap();
            let entry = next.entry(slot).unwrap().clone();
            primary.propose(slot, table.version, entry).unwrap();
            changed.push(next);
        }
        table = table.merge(&changed);
        primary.observe(NOW, &table);
        backup.observe(NOW, &table);
        for (slot, epoch) in table.claimed().filter(|_| step == 0) {
            let key = Key::mint(slot, epoch, 1);
            primary.begin(NOW, intake(key, body), slot).unwrap();
            for chunk in primary.export(NOW, slot, &name("b")).unwrap() {
                if let Taken::Whole(whole) = backup.import(NOW, chunk) {
                    primary.copied(slot, &name("b"), whole).unwrap();
                }
            }
        }
    }
    let context = Context {
        me: &me,
        table: &table,
        ledger: &primary,
        live: &all,
        missing: &[],
        leaving: false,
        service: true,
        settled: true,
    };
    duties(&context).len()
}

fn intake(key: Key, body: usize) -> Intake {
    Intake {
        name: Name {
            workspace: "w".parse().unwrap(),
            key,
        },
        service: "s".parse().unwrap(),
        work: Work::Call {
            method: "PUT".into(),
            path: "/".into(),
            headers: Vec::new(),
            body: vec![0; body].into(),
        },
        idempotent: true,
        class: Class::default(),
        deadline: Millis(60_000),
    }
}

/// A member with too many slots gives away many small ones at once, or a few large ones.
#[test]
fn moved_by_size() {
    assert_eq!(moved_slots(100), 32);
    let some = moved_slots(MAX_MOVED_BYTES / 10);
    assert!((5..=10).contains(&some), "{some}");
    assert_eq!(moved_slots(MAX_MOVED_BYTES / 4), 4);
}
