//! What an instance does for the slots, step by step.

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

/// One slot of `a` with its copy at `b`.
struct World {
    table: Table,
    a: Ledger,
    b: Ledger,
    /// The only piece of the last copy to `b`.
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

    /// Duties of an instance that leaves while the key-value service is down.
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

    /// The process of `a` begins anew, without its records.
    fn restart(&mut self, life: u64) {
        self.a = ledger("a", life);
    }

    /// A copy from `b`, which acts as owner, to `a`.
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
fn nothing_to_do() {
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

/// A sealed copy acknowledges nothing, so the takeover has to go on even if
/// the primary is heard again.
#[test]
fn seal_goes_on() {
    let mut world = World::new();
    world.b.seal(SLOT);
    assert_eq!(
        world.duties("b", &live(&["a", "b"]), &[]),
        [Duty::TakeOver(SLOT)]
    );
}

/// The backup has the records, so the primary that lost its own claims nothing.
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

/// A handover's write that lost against another one leaves the owner in charge.
#[test]
fn handover_lost() {
    let mut world = World::new();
    world.a.drain(SLOT);
    assert!(world.a.drained(SLOT));
    let heir = world.a.process(SLOT, &name("b")).unwrap();
    let given = world
        .table
        .hand_over(SLOT, world.entry_epoch(), &name("a"), &heir);
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

/// The owner's word to its backup holds, whatever becomes of the table.
#[test]
fn yield_holds() {
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

/// A proposal whose outcome is not known blocks others until the version rises.
#[test]
fn proposal_settled() {
    let mut world = World::new();
    let alone = world
        .table
        .replace_backup(SLOT, world.entry_epoch(), &name("a"), None);
    assert!(world.propose(&alone));
    assert!(world.a.has_proposals());
    assert!(world.a.export(NOW, SLOT, &name("c")).is_none());
    let bumped = world.table.merge(&[]);
    world.settle(bumped);
    assert!(!world.a.has_proposals());
    assert!(world.a.export(NOW, SLOT, &name("c")).is_some());
}

/// A move may leave the former owner as backup in the same failure domain.
#[test]
fn backup_near() {
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

/// The owner died before it made another copy for a backup that began anew.
#[test]
fn both_lost() {
    let mut world = World::new();
    world.b = Ledger::new(name("b"), Settings::default());
    assert_eq!(world.duties("b", &live(&["a", "b"]), &[]), []);
    assert_eq!(world.duties("b", &live(&["b"]), &[]), [Duty::Claim(SLOT)]);
}

/// In an outage a slot goes on by word of its owners, also to an instance that
/// began anew, as long as the table names it.
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
    let (heir, second) = world.b.hand_over(SLOT).unwrap();
    assert_eq!(heir, name("a"));
    assert_eq!(world.b.released(SLOT), None);
    assert_eq!(world.leaving("b", &[]), [Duty::Yield(SLOT)]);
    assert!(world.a.accept(NOW, second));
    assert!(world.a.released(SLOT).is_some());
    world.b.accept(NOW, first);
    assert_eq!(world.b.released(SLOT), None, "a word that comes again");
}

/// An owner whose backup began anew gives it a copy before it leaves.
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

/// A word to a process that ended does not count with the next of its name.
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

/// The heir died while its slot was drained, with the service down: nobody would
/// serve the slot if its owner went on waiting.
#[test]
fn heir_dead() {
    let mut world = World::new();
    world.a.drain(SLOT);
    let alone = duties(&Context {
        me: &name("a"),
        table: &world.table,
        ledger: &world.a,
        live: &live(&["a"]),
        missing: &[],
        leaving: false,
        service: false,
        settled: true,
    });
    assert_eq!(alone, [Duty::RunUnreplicated(SLOT)]);
    world.a.run_unreplicated(SLOT);
    assert!(world.a.serving(SLOT));
}

/// A copy that is whole is named, also when another instance has fewer by now.
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

/// Slots that `a` moves at once to `b`, which backs all 64 of them up.
fn moved(body: usize) -> usize {
    let me = name("a");
    let all = live(&["a", "b"]);
    let mut table = Table::first(64, &all[..1]).unwrap();
    let mut owner = Ledger::new(me.clone(), Settings::default());
    let mut backup = Ledger::new(name("b"), Settings::default());
    for step in 0..2 {
        let mut changed = Vec::new();
        for (slot, entry) in table.iter() {
            let next = match step {
                0 => table.claim(slot, entry.epoch, &me),
                _ => table.replace_backup(slot, entry.epoch, &me, owner.process(slot, &name("b"))),
            };
            let next = next.unwrap();
            let entry = next.entry(slot).unwrap().clone();
            owner.propose(slot, table.version, entry).unwrap();
            changed.push(next);
        }
        table = table.merge(&changed);
        owner.observe(NOW, &table);
        backup.observe(NOW, &table);
        for (slot, epoch) in table.claimed().filter(|_| step == 0) {
            let key = Key::mint(slot, epoch, 1);
            owner.begin(NOW, intake(key, body), slot).unwrap();
            for chunk in owner.export(NOW, slot, &name("b")).unwrap() {
                if let Taken::Whole(whole) = backup.import(NOW, chunk) {
                    owner.copied(slot, &name("b"), whole).unwrap();
                }
            }
        }
    }
    let context = Context {
        me: &me,
        table: &table,
        ledger: &owner,
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

/// A member that has too many slots gives many small ones away at once, and few large ones.
#[test]
fn moved_by_size() {
    assert_eq!(moved(100), 32);
    let some = moved(MAX_MOVED_BYTES / 10);
    assert!((5..=10).contains(&some), "{some}");
    assert_eq!(moved(MAX_MOVED_BYTES / 4), 4);
}
