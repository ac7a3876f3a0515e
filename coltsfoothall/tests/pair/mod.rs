//! Two instances with their ledgers and one slot, driven step by step.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::id::Instance;
use coltsfoothall::key::{Epoch, Key, Slot};
use coltsfoothall::ledger::{Begin, Event, Ledger, Settings, Step};
use coltsfoothall::record::{Cause, Change, End, Intake, Name, Work};
use coltsfoothall::replica::{Seq, Taken};
use coltsfoothall::size::Millis;
use coltsfoothall::slot::{Candidate, Table};

pub const SLOT: Slot = Slot(0);
pub const NOT_RUN: End = End::NotRun(Cause::Deadline);

/// `a` is primary of one slot; `b` may hold a copy or claim it.
pub struct World {
    pub now: Time,
    pub table: Table,
    pub names: [Instance; 2],
    pub a: Ledger,
    pub b: Ledger,
}

impl World {
    pub fn new() -> Self {
        let names: [Instance; 2] = ["a", "b"].map(|name| name.parse().unwrap());
        let candidate = Candidate {
            instance: names[0].clone(),
            domain: "d".parse().unwrap(),
            leaving: false,
        };
        let [a, b] = names
            .clone()
            .map(|name| Ledger::new(name, Settings::default()));
        let mut world = Self {
            now: Time::START + Duration::from_secs(1),
            table: Table::first(1, &[candidate]).unwrap(),
            names,
            a,
            b,
        };
        let claimed = world.table.claim(SLOT, Epoch(1), &world.names[0]).unwrap();
        let entry = claimed.entry(SLOT).unwrap().clone();
        world.a.propose(SLOT, world.table.version, entry).unwrap();
        world.table = claimed;
        world.read();
        world
    }

    pub fn wait(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }

    /// `a` reads the table.
    pub fn read(&mut self) -> Vec<Event> {
        self.answered(self.now)
    }

    /// The answer to a read that `a` sent at `asked`.
    pub fn answered(&mut self, asked: Time) -> Vec<Event> {
        let events = self.a.observe(self.now, &self.table);
        self.a.confirm(asked, self.table.version);
        events
    }

    /// `a` copies the slot to `b` and names it.
    pub fn back_up(&mut self) {
        self.copy();
        self.name_backup(Some(1));
        self.b.observe(self.now, &self.table);
    }

    /// `a` sends `b` a copy of the slot.
    pub fn copy(&mut self) {
        let [a, b] = self.names.clone();
        for chunk in self.a.export(self.now, SLOT, &b).unwrap() {
            if let Taken::Whole(whole) = self.b.import(self.now, chunk) {
                for update in self.a.copied(SLOT, &b, whole).unwrap().unwrap() {
                    let epoch = update.epoch;
                    let ack = self.b.receive(self.now, &a, update).unwrap();
                    self.a.acked(SLOT, epoch, &b, ack).unwrap();
                }
            }
        }
    }

    /// `a` names a backup in the table, or none.
    pub fn name_backup(&mut self, backup: Option<usize>) {
        let backup = backup.and_then(|at| self.a.process(SLOT, &self.names[at]));
        let epoch = self.table.entry(SLOT).unwrap().epoch;
        let named = self
            .table
            .replace_backup(SLOT, epoch, &self.names[0], backup);
        self.write(named.unwrap());
    }

    /// `a` hands the slot to `b` in the table, and `b` reads it.
    pub fn hand_over(&mut self) {
        self.write_handover();
        self.b.observe(self.now, &self.table);
    }

    /// `a` hands the slot to `b` in the table.
    pub fn write_handover(&mut self) {
        let [a, b] = self.names.clone();
        self.a.drain(SLOT);
        let epoch = self.table.entry(SLOT).unwrap().epoch;
        let successor = self.a.process(SLOT, &b).unwrap();
        let given = self.table.hand_over(SLOT, epoch, &a, &successor).unwrap();
        self.write(given);
    }

    /// `a` writes the table and reads it.
    fn write(&mut self, table: Table) {
        let entry = table.entry(SLOT).unwrap().clone();
        self.a.propose(SLOT, self.table.version, entry).unwrap();
        self.table = table;
        self.read();
    }

    /// `b` claims the slot although `a` is alive.
    pub fn claim(&mut self) {
        let epoch = self.table.entry(SLOT).unwrap().epoch;
        let claimed = self.table.claim(SLOT, epoch, &self.names[1]).unwrap();
        let entry = claimed.entry(SLOT).unwrap().clone();
        self.b.propose(SLOT, self.table.version, entry).unwrap();
        self.table = claimed;
        self.b.observe(self.now, &self.table);
    }

    pub fn begin(&mut self, intake: &Intake) -> Begin {
        self.a.begin(self.now, intake.clone(), SLOT).unwrap()
    }

    /// `a` accepts a request and ends it as not run.
    pub fn give_up(&mut self, intake: &Intake) -> Step {
        assert!(matches!(self.begin(intake), Begin::New(_)));
        let (name, end) = (intake.name.clone(), Change::End(NOT_RUN));
        self.a.change(self.now, SLOT, name, end).unwrap()
    }

    pub fn may_leave(&self, intake: &Intake, seq: Seq) -> bool {
        self.a.may_leave(SLOT, &intake.name, seq)
    }

    pub fn end(&self, intake: &Intake) -> Option<End> {
        self.a.record(SLOT, &intake.name).unwrap().end
    }
}

pub fn intake(key: &str, idempotent: bool) -> Intake {
    Intake {
        name: Name {
            workspace: "w".parse().unwrap(),
            key: key.parse::<Key>().unwrap(),
        },
        service: "s".parse().unwrap(),
        work: Work::Call {
            method: "POST".into(),
            path: "/".into(),
            headers: Vec::new(),
            body: bytes::Bytes::new(),
        },
        idempotent,
        class: Default::default(),
        deadline: Millis(60_000),
    }
}
