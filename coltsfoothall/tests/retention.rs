//! Retention of ended requests, by bytes and by time.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use std::time::Duration;

use bytes::Bytes as Body;
use coltsfoothall::clock::Time;
use coltsfoothall::id::Instance;
use coltsfoothall::key::{Epoch, Key, Slot};
use coltsfoothall::ledger::{Begin, Ledger, Settings, Step};
use coltsfoothall::record::{Answer, Change, End, Intake, Name, Work};
use coltsfoothall::replica::{Chunk, Taken};
use coltsfoothall::size::{Bytes, Millis};
use coltsfoothall::slot::{Candidate, Table};

const SLOT: Slot = Slot(0);
const BOUND: u64 = 256 << 10;
const ANSWER_LEN: usize = 300;
const PROMPT_LEN: usize = 4000;

/// A primary and its backup.
struct Pair {
    now: Time,
    table: Table,
    names: [Instance; 2],
    primary: Ledger,
    backup: Ledger,
}

impl Pair {
    fn new(bytes: u64) -> Self {
        let names: [Instance; 2] = ["a", "b"].map(|name| name.parse().unwrap());
        let settings = Settings {
            bytes: Bytes(bytes),
            ..Settings::default()
        };
        let candidate = Candidate {
            instance: names[0].clone(),
            domain: "d".parse().unwrap(),
            leaving: false,
        };
        let first = Table::first(1, &[candidate]).unwrap();
        let mut pair = Self {
            now: Time::START + Duration::from_secs(1),
            primary: Ledger::new(names[0].clone(), settings.clone()),
            backup: Ledger::new(names[1].clone(), settings),
            names,
            table: first,
        };
        pair.observe();
        let claimed = pair
            .table
            .claim(SLOT, pair.epoch(), &pair.names[0])
            .unwrap();
        pair.write(claimed);
        pair.back_up();
        pair
    }

    fn epoch(&self) -> Epoch {
        self.table.entry(SLOT).unwrap().epoch
    }

    fn observe(&mut self) {
        self.primary.observe(self.now, &self.table);
        self.backup.observe(self.now, &self.table);
        self.primary.confirm(self.now, self.table.version);
    }

    fn write(&mut self, next: Table) {
        let entry = next.entry(SLOT).unwrap().clone();
        self.primary
            .propose(SLOT, self.table.version, entry)
            .unwrap();
        self.table = next;
        self.observe();
    }

    fn back_up(&mut self) {
        let [a, b] = self.names.clone();
        for chunk in self.primary.export(self.now, SLOT, &b).unwrap() {
            if let Taken::Whole(whole) = self.backup.import(self.now, chunk) {
                self.primary.copied(SLOT, &b, whole).unwrap().unwrap();
            }
        }
        let backup = self.primary.process(SLOT, &b);
        let backed = self.table.replace_backup(SLOT, self.epoch(), &a, backup);
        self.write(backed.unwrap());
    }

    fn begin(&mut self, intake: &Intake) -> Begin {
        self.primary.begin(self.now, intake.clone(), SLOT).unwrap()
    }

    fn change(&mut self, intake: &Intake, change: Change) {
        let name = intake.name.clone();
        let step = self.primary.change(self.now, SLOT, name, change).unwrap();
        self.replicate(step);
    }

    fn replicate(&mut self, step: Step) {
        let from = &self.names[0];
        let ack = (self.backup.receive(self.now, from, step.update)).unwrap();
        let epoch = self.epoch();
        self.primary
            .acked(SLOT, epoch, &self.names[1], ack)
            .unwrap();
    }

    fn open(&mut self, intake: &Intake) -> Begin {
        match self.begin(intake) {
            Begin::New(step) => {
                self.replicate(step.clone());
                Begin::New(step)
            }
            refused => refused,
        }
    }

    /// Accepts, answers and ends a request.
    fn run(&mut self, intake: &Intake) {
        let begun = self.open(intake);
        assert!(matches!(begun, Begin::New(_)), "{} {begun:?}", intake.name);
        let endpoint = "e".parse().unwrap();
        self.change(
            intake,
            Change::Sent {
                attempt: 1,
                endpoint,
            },
        );
        let body = Body::from(vec![b'x'; ANSWER_LEN]);
        let answer = Answer {
            status: 200,
            headers: Vec::new(),
            body,
        };
        self.change(intake, Change::Answer(Box::new(answer)));
        self.change(intake, Change::End(End::Done));
        self.now = self.now + Duration::from_millis(10);
    }

    /// Chunks of the copy that the primary would send.
    fn export(&mut self) -> Vec<Chunk> {
        let peer = "c".parse().unwrap();
        self.primary.export(self.now, SLOT, &peer).unwrap()
    }
}

fn intake(number: usize, idempotent: bool) -> Intake {
    let key: Key = format!("own-{number}").parse().unwrap();
    let body = format!("{number:0PROMPT_LEN$}");
    Intake {
        name: Name {
            workspace: "w".parse().unwrap(),
            key,
        },
        service: "s".parse().unwrap(),
        work: Work::Call {
            method: "POST".into(),
            path: "/".into(),
            headers: Vec::new(),
            body: body.into(),
        },
        idempotent,
        class: Default::default(),
        deadline: Millis(60_000),
    }
}

#[test]
fn bytes_bounded() {
    let mut pair = Pair::new(BOUND);
    // An open request is never dropped, however old it is.
    let old = intake(1_000_000, false);
    assert!(matches!(pair.open(&old), Begin::New(_)));
    for number in 0..20_000 {
        pair.run(&intake(number, number % 2 == 0));
        let max = BOUND + 2 * (PROMPT_LEN + 1024) as u64;
        assert!(pair.primary.bytes().0 < max, "primary at {number}");
        assert!(pair.backup.bytes().0 < max, "backup at {number}");
    }
    assert!(
        pair.primary.bytes().0 > BOUND / 2,
        "more was evicted than necessary"
    );
    assert!(matches!(pair.begin(&old), Begin::Join(_)));
    assert!(pair.backup.record(SLOT, &old.name).unwrap().end.is_none());
    for number in 19_900..20_000 {
        let kept = intake(number, number % 2 == 0);
        assert!(matches!(pair.begin(&kept), Begin::Join(_)), "{number}");
    }
    for number in (1..2000).step_by(2) {
        assert_eq!(
            pair.begin(&intake(number, false)),
            Begin::Retired,
            "{number}"
        );
    }
    assert!(matches!(pair.begin(&intake(0, true)), Begin::New(_)));
}

#[test]
fn prompt_trimmed() {
    let mut pair = Pair::new(BOUND);
    let asked = intake(1, false);
    pair.run(&asked);
    for ledger in [&pair.primary, &pair.backup] {
        let record = ledger.record(SLOT, &asked.name).unwrap();
        assert!(record.size() < PROMPT_LEN, "{}", record.size());
        assert_eq!(record.answer.as_ref().unwrap().body.len(), ANSWER_LEN);
        assert_eq!(record, pair.primary.record(SLOT, &asked.name).unwrap());
    }
    assert!(matches!(pair.begin(&asked), Begin::Join(_)));
    let mut other = intake(2, false);
    other.name = asked.name.clone();
    assert_eq!(pair.begin(&other), Begin::Reused);
}

#[test]
fn copies_match() {
    let mut pair = Pair::new(BOUND);
    for number in 0..3000 {
        pair.run(&intake(number, number % 2 == 0));
    }
    let mut third = Ledger::new("c".parse().unwrap(), Settings::default());
    let mut rows = 0;
    for chunk in pair.export() {
        rows += chunk.rows.len();
        let sent = serde_json::to_string(&chunk).unwrap();
        third.import(pair.now, serde_json::from_str(&sent).unwrap());
    }
    assert!(rows > 100 && rows < 3000, "{rows} rows");
    for number in 0..3000 {
        let name = intake(number, true).name;
        let kept = pair.primary.record(SLOT, &name);
        assert_eq!(kept, third.record(SLOT, &name), "{number}");
        assert_eq!(kept, pair.backup.record(SLOT, &name), "{number}");
    }
    // After a takeover, the backup rejects the names whose records it dropped.
    let epoch = pair.backup.seal(SLOT).unwrap();
    let next = pair.table.takeover(SLOT, epoch, &pair.names[1]).unwrap();
    let entry = next.entry(SLOT).unwrap().clone();
    pair.backup
        .propose(SLOT, pair.table.version, entry)
        .unwrap();
    pair.backup.observe(pair.now, &next);
    let begun = pair.backup.begin(pair.now, intake(1, false), SLOT);
    assert_eq!(begun.unwrap(), Begin::Retired);
    let begun = pair.backup.begin(pair.now, intake(2999, false), SLOT);
    assert!(matches!(begun.unwrap(), Begin::Join(_)));
}

#[test]
fn open_requests_fill_ledger() {
    let mut pair = Pair::new(BOUND);
    let full = (0..).find(|number| pair.open(&intake(*number, true)) == Begin::Full);
    let full = full.unwrap();
    assert!(
        full * (PROMPT_LEN + 512) > BOUND as usize,
        "refused at {full}"
    );
    for number in 0..full {
        assert!(matches!(pair.begin(&intake(number, true)), Begin::Join(_)));
    }
    // A request that ends frees memory.
    let first = intake(0, true);
    let endpoint = "e".parse().unwrap();
    pair.change(
        &first,
        Change::Sent {
            attempt: 1,
            endpoint,
        },
    );
    let answer = Answer {
        status: 200,
        headers: Vec::new(),
        body: Body::new(),
    };
    pair.change(&first, Change::Answer(Box::new(answer)));
    pair.change(&first, Change::End(End::Done));
    assert!(matches!(pair.begin(&intake(full, true)), Begin::New(_)));
}

#[test]
fn unacknowledged_end_kept() {
    let mut pair = Pair::new(BOUND);
    let first = intake(0, true);
    let name = first.name.clone();
    pair.run(&first);
    let last = intake(1, false);
    assert!(matches!(pair.open(&last), Begin::New(_)));
    let ended = Change::End(End::NotRun(coltsfoothall::record::Cause::Cancelled));
    let step = pair
        .primary
        .change(pair.now, SLOT, last.name.clone(), ended)
        .unwrap();
    // The backup does not hold the end yet, so the caller has not been told.
    let begun = (2..).map(|number| pair.begin(&intake(number, true)));
    assert!(begun.take(1000).any(|begun| begun == Begin::Full));
    assert!(pair.primary.record(SLOT, &name).is_none());
    assert!(pair.primary.record(SLOT, &last.name).is_some());
    assert!(!pair.primary.may_leave(SLOT, &last.name, step.seq));
}

#[test]
fn slow_backup() {
    let mut pair = Pair::new(1 << 30);
    let asked = intake(0, true);
    assert!(matches!(pair.open(&asked), Begin::New(_)));
    let change = |attempt| Change::Refused { attempt };
    let mut steps = Vec::new();
    while !pair.primary.behind(SLOT) {
        let change = change(steps.len() as u64);
        let step = pair
            .primary
            .change(pair.now, SLOT, asked.name.clone(), change);
        steps.push(step.unwrap());
    }
    let begun = pair.begin(&intake(1, true));
    assert_eq!(begun, Begin::Behind);
    // The open request continues once the backup has caught up.
    steps.into_iter().for_each(|step| pair.replicate(step));
    assert!(!pair.primary.behind(SLOT));
    pair.change(&asked, change(0));
}
