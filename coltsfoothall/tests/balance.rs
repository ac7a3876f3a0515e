//! Slot balancing in a fleet whose members join one after another. With max_delay_ms and
//! lost messages each member must get its share soon, and after that nothing may change any
//! more.

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

/// Time between two ticks in which an instance checks its slots.
const TICK_INTERVAL_MS: u64 = 200;
/// Time between two heartbeats; a peer that reports a newer table is asked for it.
const HEARTBEAT_INTERVAL_MS: u64 = 250;
/// Time after its start in which an instance does not act on the silence of others.
const SETTLE_MS: u64 = 5000;
/// Silence after which the others consider an instance dead.
const SUSPECT_TIMEOUT_MS: u64 = 1500;
/// Timeout of a call.
const CALL_TIMEOUT_MS: u64 = 2000;
/// Time within which the slots must settle once all members know each other. The calls of
/// an idle system are counted in periods of 10 s, and they may still decrease until the
/// third.
const MAX_SETTLE_TIME_MS: u64 = 20_000;

/// A step of a round of duties.
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
    /// When the others have learned of it.
    known: u64,
    /// When its process is suspended.
    frozen: std::ops::Range<u64>,
    next_tick: u64,
    next_heartbeat: u64,
    round: VecDeque<Step>,
    /// When the next step of the round is due.
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
    /// Maximum duration of a call in ms.
    max_delay_ms: u64,
    loss_rate: f64,
}

impl Fleet {
    /// Creates a fleet of `count` members. The first `first` members are in the initial
    /// table, the others join later.
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
                next_tick: start,
                next_heartbeat: start,
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
            max_delay_ms: [4, 20, 60][rng.random_range(0..3)],
            loss_rate: [0.0, 0.01, 0.05][rng.random_range(0..3)],
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

    /// Advances by one millisecond.
    fn step(&mut self) {
        self.now += 1;
        for at in 0..self.nodes.len() {
            let node = &self.nodes[at];
            if node.start > self.now || node.frozen.contains(&self.now) {
                continue;
            }
            if node.next_heartbeat <= self.now {
                self.heartbeat(at);
            }
            if !self.nodes[at].round.is_empty() {
                self.advance(at);
            } else if self.nodes[at].next_tick <= self.now {
                self.tick(at);
            }
        }
    }

    /// The members that `at` considers alive, sorted by name.
    fn live(&self, at: usize) -> Vec<Candidate> {
        let is_alive = |other: &Node| {
            let silent = other.frozen.contains(&self.now);
            other.known <= self.now
                && !(silent && self.now >= other.frozen.start + SUSPECT_TIMEOUT_MS)
        };
        let nodes = self.nodes.iter().enumerate();
        let live = nodes.filter(|(other, node)| *other == at || is_alive(node));
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
            settled: self.now >= node.start + SETTLE_MS,
        })
    }

    fn tick(&mut self, at: usize) {
        let duties = self.duties(at);
        let lag = self.rng.random_range(1..=self.max_delay_ms);
        let now = self.now;
        let node = &mut self.nodes[at];
        node.next_tick = now + TICK_INTERVAL_MS;
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

    /// Simulates a call, which may be lost.
    fn call(&mut self, at: usize) -> bool {
        let lost = self.rng.random_bool(self.loss_rate / 10.0);
        let took = if lost {
            CALL_TIMEOUT_MS
        } else {
            self.rng.random_range(1..=self.max_delay_ms)
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

    fn index_of(&self, name: &Instance) -> usize {
        let mut nodes = self.nodes.iter();
        nodes.position(|node| node.me.instance == *name).unwrap()
    }

    fn copy(&mut self, at: usize, slot: Slot, to: &Instance) {
        let peer = self.index_of(to);
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
        let peer = self.index_of(to);
        if !self.call(at) || self.nodes[peer].frozen.contains(&self.now) {
            return;
        }
        let ledger = &mut self.nodes[peer].ledger;
        let held =
            ledger.keeps(slot, epoch) && (ledger.seal(slot).is_some() || ledger.serving(slot));
        self.nodes[peer].read = true;
        if !held && self.now >= self.nodes[at].start + SETTLE_MS {
            let node = &self.nodes[at];
            let table = node.base.claim(slot, epoch, &node.me.instance);
            self.propose(at, slot, table);
        }
    }

    /// Reads the table. Proposed changes are written if the table has not changed.
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
        // A round with changes is followed by another one that reads the table.
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

    /// Fetches the table of a random peer if it is newer.
    fn heartbeat(&mut self, at: usize) {
        let late = self.rng.random_range(0..self.max_delay_ms);
        self.nodes[at].next_heartbeat = self.now + HEARTBEAT_INTERVAL_MS + late;
        let from = self.rng.random_range(0..self.nodes.len());
        let peer = &self.nodes[from];
        let reachable = peer.known <= self.now && !peer.frozen.contains(&self.now);
        if reachable && peer.table.version > self.nodes[at].table.version {
            let table = peer.table.clone();
            self.observe(at, table);
        }
    }

    /// Whether each slot has a backup and no member has any duty left.
    fn is_settled(&self) -> bool {
        let newest = |node: &Node| node.table.version == self.service.version;
        let idle = |at: usize| newest(&self.nodes[at]) && self.duties(at).is_empty();
        let whole = self.service.iter().all(|(_, entry)| entry.backup.is_some());
        whole && (0..self.nodes.len()).all(idle)
    }

    /// Runs until the slots have settled. Returns the time in ms since all members knew
    /// each other.
    fn settle(&mut self) -> u64 {
        let joined = |node: &Node| node.known.max(node.start + SETTLE_MS).max(node.frozen.end);
        let begin = self.nodes.iter().map(joined).max().unwrap();
        while self.now < begin || !self.now.is_multiple_of(TICK_INTERVAL_MS) || !self.is_settled() {
            self.step();
            let spent = self.now.saturating_sub(begin);
            assert!(
                spent <= MAX_SETTLE_TIME_MS,
                "not settled after {spent} ms: {:?}",
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

/// Runs fleets until they have settled, and then for another 10 s in which nothing may be
/// written.
fn run(seeds: std::ops::Range<u64>) {
    let (mut worst, mut failed) = (0, Vec::new());
    for seed in seeds {
        let count = [3, 6, 9][seed as usize % 3];
        let first = 1 + seed as usize / 3 % count;
        let result = std::panic::catch_unwind(|| {
            let mut fleet = Fleet::new(seed, count, first);
            let took = fleet.settle();
            let before = fleet.writes;
            (0..10_000).for_each(|_| fleet.step());
            assert_eq!(
                fleet.writes,
                before,
                "written after settling: {:?}",
                fleet.loads()
            );
            took
        });
        match result {
            Ok(took) => worst = worst.max(took),
            Err(_) => failed.push((seed, count, first)),
        }
    }
    println!("settled after {worst} ms at most");
    assert!(
        failed.is_empty(),
        "seeds, members, members in the first table: {failed:?}"
    );
}

#[test]
fn shares_soon() {
    run(0..30);
}
