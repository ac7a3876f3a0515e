//! Slots of a fleet whose members come one after another: each gets its share soon,
//! over slow and lost messages, and then nothing changes any more.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use std::collections::VecDeque;
use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::duty::{Context, Duty, duties};
use coltsfoothall::id::Instance;
use coltsfoothall::key::Slot;
use coltsfoothall::ledger::{Ledger, Settings};
use coltsfoothall::replica::Taken;
use coltsfoothall::slot::{Candidate, Refused, SLOT_COUNT, Table};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Between two looks of an instance at its slots, in ms.
const LOOK: u64 = 200;
/// Between two heartbeats, in ms; a peer that knows a newer table is asked for it.
const BEAT: u64 = 250;
/// Time after its start in which an instance judges nobody, in ms.
const SETTLE: u64 = 5000;
/// Until the others take a silent instance for dead, in ms.
const SUSPECT: u64 = 1500;
/// Longest wait for a call, in ms.
const CALL: u64 = 2000;
/// Time in which the slots have to settle once all members know each other, in ms. The
/// calls of an idle system are counted in spans of 10 s, and they may come down in the third.
const CALM: u64 = 20_000;

/// A part of a round of duties.
#[derive(Debug)]
enum Step {
    Do(Duty),
    Read,
    Put(Table),
}

struct Node {
    me: Candidate,
    ledger: Ledger,
    table: Table,
    start: u64,
    /// When the others know of it.
    known: u64,
    /// While it stands still.
    frozen: std::ops::Range<u64>,
    look: u64,
    beat: u64,
    round: VecDeque<Step>,
    /// When the next part of the round is done.
    due: u64,
    base: Table,
    changed: Vec<Table>,
    silent: Vec<Instance>,
    read: bool,
}

struct Fleet {
    rng: Pcg64,
    now: u64,
    nodes: Vec<Node>,
    service: Table,
    writes: u32,
    /// Most ms that a call takes.
    slow: u64,
    lossy: f64,
}

impl Fleet {
    /// `first` of `count` members are in the first table, the others come later.
    fn new(seed: u64, count: usize, first: usize) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let all: Vec<_> = (0..count).map(candidate).collect();
        let service = Table::first(SLOT_COUNT, &all[..first]).unwrap();
        let node = |(at, me): (usize, Candidate)| {
            let start = if at < first {
                0
            } else {
                rng.random_range(0..9000)
            };
            let freeze = start + rng.random_range(7000..12_000);
            let frozen = rng.random_bool(0.1) && at >= first;
            let lasts = if frozen {
                rng.random_range(1000..3000)
            } else {
                0
            };
            Node {
                ledger: Ledger::new(me.instance.clone(), Settings::default()),
                me,
                table: Table::default(),
                start,
                known: start + rng.random_range(10..1000),
                frozen: freeze..freeze + lasts,
                look: start,
                beat: start,
                round: VecDeque::new(),
                due: 0,
                base: Table::default(),
                changed: Vec::new(),
                silent: Vec::new(),
                read: true,
            }
        };
        let nodes = all.into_iter().enumerate().map(node).collect();
        Self {
            slow: [4, 20, 60][rng.random_range(0..3)],
            lossy: [0.0, 0.01, 0.05][rng.random_range(0..3)],
            rng,
            now: 0,
            nodes,
            service,
            writes: 0,
        }
    }

    fn time(&self) -> Time {
        Time::START + Duration::from_millis(self.now)
    }

    /// Moves on by a millisecond.
    fn step(&mut self) {
        self.now += 1;
        for at in 0..self.nodes.len() {
            let node = &self.nodes[at];
            if node.start > self.now || node.frozen.contains(&self.now) {
                continue;
            }
            if node.beat <= self.now {
                self.beat(at);
            }
            if !self.nodes[at].round.is_empty() {
                self.advance(at);
            } else if self.nodes[at].look <= self.now {
                self.look(at);
            }
        }
    }

    /// Those that `at` takes for alive, sorted by name.
    fn live(&self, at: usize) -> Vec<Candidate> {
        let heard = |other: &Node| {
            let silent = other.frozen.contains(&self.now);
            other.known <= self.now && !(silent && self.now >= other.frozen.start + SUSPECT)
        };
        let nodes = self.nodes.iter().enumerate();
        let live = nodes.filter(|(other, node)| *other == at || heard(node));
        live.map(|(_, node)| node.me.clone()).collect()
    }

    fn duties(&self, at: usize) -> Vec<Duty> {
        let node = &self.nodes[at];
        duties(&Context {
            me: &node.me.instance,
            table: &node.table,
            ledger: &node.ledger,
            live: &self.live(at),
            missing: &[],
            leaving: false,
            service: true,
            settled: self.now >= node.start + SETTLE,
        })
    }

    fn look(&mut self, at: usize) {
        let duties = self.duties(at);
        let lag = self.rng.random_range(1..=self.slow);
        let now = self.now;
        let node = &mut self.nodes[at];
        node.look = now + LOOK;
        if duties.is_empty() && !node.read && !node.ledger.has_proposals() {
            return;
        }
        node.read |= !duties.is_empty();
        node.base = node.table.clone();
        node.round = duties.into_iter().map(Step::Do).collect();
        node.round.push_back(Step::Read);
        node.due = now + lag;
    }

    fn advance(&mut self, at: usize) {
        while self.nodes[at].due <= self.now {
            let Some(step) = self.nodes[at].round.pop_front() else {
                return;
            };
            match step {
                Step::Do(duty) => self.carry_out(at, duty),
                Step::Read => self.read(at),
                Step::Put(table) => self.put(at, table),
            }
        }
    }

    /// Time of a call, which may be lost.
    fn call(&mut self, at: usize) -> bool {
        let lost = self.rng.random_bool(self.lossy / 10.0);
        let took = if lost {
            CALL
        } else {
            self.rng.random_range(1..=self.slow)
        };
        self.nodes[at].due = self.now + took;
        !lost
    }

    fn carry_out(&mut self, at: usize, duty: Duty) {
        let node = &mut self.nodes[at];
        let me = node.me.instance.clone();
        let epoch = |slot| node.base.entry(slot).map(|entry| entry.epoch);
        let table = match duty {
            Duty::Copy { slot, to } => return self.copy(at, slot, &to),
            Duty::Drain(slot) => return node.ledger.drain(slot),
            Duty::Resume(slot) => return node.ledger.resume(slot),
            Duty::GiveUp(slot) => {
                let _kept = node.ledger.give_up(slot);
                return;
            }
            Duty::TakeOver(slot) => {
                node.ledger.seal(slot);
                (slot, node.base.takeover(slot, epoch(slot).unwrap(), &me))
            }
            Duty::Claim(slot) => (slot, node.base.claim(slot, epoch(slot).unwrap(), &me)),
            Duty::Name { slot, backup } => {
                let epoch = epoch(slot).unwrap();
                (
                    slot,
                    node.base
                        .replace_backup(slot, epoch, &me, node.ledger.process(slot, &backup)),
                )
            }
            Duty::HandOver { slot, to } => (
                slot,
                node.base.hand_over(
                    slot,
                    epoch(slot).unwrap(),
                    &me,
                    &node.ledger.process(slot, &to).unwrap(),
                ),
            ),
            Duty::Cede { slot, epoch, to } => return self.cede(at, slot, epoch, &to),
            other => panic!("{other:?} while the service is up"),
        };
        self.propose(at, table.0, table.1);
    }

    fn propose(&mut self, at: usize, slot: Slot, table: Result<Table, Refused>) {
        let node = &mut self.nodes[at];
        let Ok(table) = table else { return };
        let entry = table.entry(slot).unwrap().clone();
        if node.ledger.propose(slot, node.base.version, entry).is_ok() {
            node.changed.push(table);
        }
    }

    fn place(&self, name: &Instance) -> usize {
        let mut nodes = self.nodes.iter();
        nodes.position(|node| node.me.instance == *name).unwrap()
    }

    fn copy(&mut self, at: usize, slot: Slot, to: &Instance) {
        let peer = self.place(to);
        if self.nodes[at].silent.contains(to) {
            return;
        }
        let time = self.time();
        let chunks = self.nodes[at].ledger.export(time, slot, to);
        let Some(chunks) = chunks else { return };
        if !self.call(at) || self.nodes[peer].frozen.contains(&self.now) {
            return self.nodes[at].silent.push(to.clone());
        }
        for chunk in chunks {
            if let Taken::Whole(whole) = self.nodes[peer].ledger.import(time, chunk) {
                self.nodes[at].ledger.copied(slot, to, whole).unwrap();
            }
        }
    }

    fn cede(&mut self, at: usize, slot: Slot, epoch: coltsfoothall::key::Epoch, to: &Instance) {
        let peer = self.place(to);
        if !self.call(at) || self.nodes[peer].frozen.contains(&self.now) {
            return;
        }
        let ledger = &mut self.nodes[peer].ledger;
        let held =
            ledger.keeps(slot, epoch) && (ledger.seal(slot).is_some() || ledger.serving(slot));
        self.nodes[peer].read = true;
        if !held && self.now >= self.nodes[at].start + SETTLE {
            let node = &self.nodes[at];
            let table = node.base.claim(slot, epoch, &node.me.instance);
            self.propose(at, slot, table);
        }
    }

    /// The table is read; what was proposed on it is written if it is still the same.
    fn read(&mut self, at: usize) {
        self.call(at);
        let node = &self.nodes[at];
        if node.ledger.has_proposals() && node.base.version == self.service.version {
            let table = node.base.merge(&node.changed);
            return self.nodes[at].round.push_back(Step::Put(table));
        }
        let table = self.service.clone();
        self.end(at, table);
    }

    fn put(&mut self, at: usize, table: Table) {
        self.call(at);
        if table.version == self.service.version + 1 {
            self.service = table;
            self.writes += 1;
        }
        let table = self.service.clone();
        self.end(at, table);
    }

    fn end(&mut self, at: usize, table: Table) {
        let busy = std::mem::take(&mut self.nodes[at].read);
        self.observe(at, table);
        let node = &mut self.nodes[at];
        node.changed.clear();
        node.silent.clear();
        // A round that did something is followed by another that reads.
        node.read = busy && !node.base.entries.is_empty() && node.base != node.table;
    }

    fn observe(&mut self, at: usize, table: Table) {
        let time = self.time();
        let node = &mut self.nodes[at];
        if table.version >= node.table.version {
            node.ledger.observe(time, &table);
            node.table = table;
        }
    }

    /// Somebody's newer table is fetched.
    fn beat(&mut self, at: usize) {
        let late = self.rng.random_range(0..self.slow);
        self.nodes[at].beat = self.now + BEAT + late;
        let from = self.rng.random_range(0..self.nodes.len());
        let peer = &self.nodes[from];
        let heard = peer.known <= self.now && !peer.frozen.contains(&self.now);
        if heard && peer.table.version > self.nodes[at].table.version {
            let table = peer.table.clone();
            self.observe(at, table);
        }
    }

    /// Whether each member has its share and nobody has anything to do.
    fn calm(&self) -> bool {
        let newest = |node: &Node| node.table.version == self.service.version;
        let idle = |at: usize| newest(&self.nodes[at]) && self.duties(at).is_empty();
        let whole = self.service.iter().all(|(_, entry)| entry.backup.is_some());
        whole && (0..self.nodes.len()).all(idle)
    }

    /// Time until the slots are calm after all members know each other, in ms.
    fn settle(&mut self) -> u64 {
        let joined = |node: &Node| node.known.max(node.start + SETTLE).max(node.frozen.end);
        let begin = self.nodes.iter().map(joined).max().unwrap();
        while self.now < begin || !self.now.is_multiple_of(LOOK) || !self.calm() {
            self.step();
            let spent = self.now.saturating_sub(begin);
            assert!(
                spent <= CALM,
                "not calm after {spent} ms: {:?}",
                self.loads()
            );
        }
        self.now - begin
    }

    fn loads(&self) -> Vec<usize> {
        let names = self.nodes.iter().map(|node| &node.me.instance);
        names.map(|name| self.service.primaries(name)).collect()
    }
}

fn candidate(at: usize) -> Candidate {
    Candidate {
        instance: format!("entry-{}", at + 1).parse().unwrap(),
        domain: format!("domain-{}", at % 3).parse().unwrap(),
        leaving: false,
    }
}

/// Runs fleets until they are calm, and for another while in which nothing may be written.
fn play(seeds: std::ops::Range<u64>) {
    let (mut worst, mut red) = (0, Vec::new());
    for seed in seeds {
        let count = [3, 6, 9][seed as usize % 3];
        let first = 1 + seed as usize / 3 % count;
        let run = std::panic::catch_unwind(|| {
            let mut fleet = Fleet::new(seed, count, first);
            let took = fleet.settle();
            let before = fleet.writes;
            (0..10_000).for_each(|_| fleet.step());
            assert_eq!(
                fleet.writes,
                before,
                "written while calm: {:?}",
                fleet.loads()
            );
            took
        });
        match run {
            Ok(took) => worst = worst.max(took),
            Err(_) => red.push((seed, count, first)),
        }
    }
    println!("calm after {worst} ms at most");
    assert!(
        red.is_empty(),
        "seeds, members, members in the first table: {red:?}"
    );
}

#[test]
fn shares_soon() {
    play(0..30);
}
