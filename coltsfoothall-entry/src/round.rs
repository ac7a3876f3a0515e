//! Carries out the duties of one round for the slots: on this instance, on its peers, and
//! in the slot table at the key-value service.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::duty::Duty;
use coltsfoothall::id;
use coltsfoothall::key::{Epoch, Slot};
use coltsfoothall::ledger::Ledger;
use coltsfoothall::record::Record;
use coltsfoothall::replica::{Taken, Whole};
use coltsfoothall::slot::{Candidate, Process, Refused, SLOT_COUNT, Table};
use coltsfoothall::step::Input;
use coltsfoothall_shell::event;
use coltsfoothall_wire::http;
use coltsfoothall_wire::store::Put;

use crate::link;
use crate::message::Message;
use crate::node::Node;
use crate::store::Error;

/// Key of the slot table.
const KEY: &str = "slots";

/// Timeout of the transfer of one chunk of a copy.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(2);

/// The outcome of a round of duties.
#[derive(Debug)]
pub struct Round {
    /// The newest table at the service, if it was read or written.
    pub table: Option<Arc<Table>>,
    /// Whether the service answered; `None` if it was not asked.
    pub service: Option<bool>,
    /// When the service was asked. What it answered is not older than this.
    pub asked: Time,
    /// Whether there were duties, so that there may be more to do at once.
    pub busy: bool,
    /// Other instances that got a slot by a table written in this round, sorted.
    pub assigned: Vec<id::Instance>,
}

/// One round of duties. Runs outside the control thread.
pub struct Work {
    /// This instance.
    pub node: Arc<Node>,
    /// The table that changes are based on.
    pub base: Arc<Table>,
    /// Whether the table is read even if nothing is to be written.
    pub read: bool,
    /// The candidates for a first table, if one may be created.
    pub first: Option<Vec<Candidate>>,
    /// Whether this instance can determine which others are dead.
    pub settled: bool,
    /// Peers that did not answer in this round. Waiting for each of them again would delay the
    /// other slots.
    pub unresponsive: Vec<id::Instance>,
    /// Number of slots ceded in this round.
    pub ceded: usize,
    /// Slots whose changes were first proposed in the ledger in this round.
    pub proposed: Vec<Slot>,
    /// Other instances that got a slot by the table that this round wrote, sorted.
    pub assigned: Vec<id::Instance>,
}

impl Work {
    /// Carries out the duties and sends the outcome to the control thread.
    pub async fn run(mut self, duties: Vec<Duty>) {
        let busy = !duties.is_empty();
        let mut changed = Vec::new();
        for duty in duties {
            let remaining = self.run_local(duty).await;
            if let Some(table) = remaining.and_then(|duty| self.proposal(&duty)) {
                changed.push(table);
            }
        }
        if self.ceded > 0 {
            event::CEDED.emit(format_args!("slots={}", self.ceded));
        }
        let asked = self.node.now();
        // A write with an unknown outcome blocks its slot until a later version of the table
        // settles it, so a write has to follow.
        let open = self
            .node
            .requests
            .with_ledger(|ledger| ledger.has_proposals());
        let outcome = if open {
            Some(self.write(&changed).await)
        } else if self.read {
            Some(self.read_or_create().await)
        } else {
            None
        };
        let (table, service) = match outcome {
            None => (None, None),
            Some(Ok(table)) => (table, Some(true)),
            Some(Err(error)) => {
                event::STORE_FAILED.emit(format_args!("step=slots error=\"{error}\""));
                (None, Some(false))
            }
        };
        self.node.control.send(Message::RoundEnded(Round {
            table,
            service,
            asked,
            busy,
            assigned: self.assigned,
        }));
    }

    /// Carries out what a duty requires on this instance and its peers. Returns the duty if it
    /// requires a change of the table.
    async fn run_local(&mut self, duty: Duty) -> Option<Duty> {
        let node = Arc::clone(&self.node);
        let requests = &node.requests;
        match &duty {
            Duty::Copy { slot, to } => self.copy(*slot, to).await,
            Duty::Cede { slot, epoch, to } => return self.cede(*slot, *epoch, to).await,
            Duty::Dismiss { slot, epoch, to } => self.dismiss(*slot, *epoch, to).await,
            Duty::Drain(slot) => requests.with_ledger(|ledger| {
                // A call that started since the duties were determined must not lose its relay.
                let started = |r: &Record| !r.intake.idempotent && r.begun();
                if !ledger.open(*slot).any(started) {
                    ledger.drain(*slot);
                }
            }),
            Duty::Resume(slot) => {
                requests.with_ledger(|ledger| ledger.resume(*slot));
                requests.resume_open(&node, *slot);
            }
            Duty::TakeOver(slot) => {
                requests.with_ledger(|ledger| ledger.seal(*slot));
                requests.resume_open(&node, *slot);
            }
            Duty::RunUnreplicated(slot) => {
                requests.with_ledger(|ledger| ledger.run_unreplicated(*slot));
                requests.resume_open(&node, *slot);
            }
            Duty::Yield(slot) => self.yield_slot(*slot).await,
            Duty::GiveUp(slot) => {
                let _kept = requests.with_ledger(|ledger| ledger.give_up(*slot));
                requests.flush(*slot);
            }
            Duty::Claim(_) | Duty::Name { .. } | Duty::HandOver { .. } => {}
        }
        Some(duty)
    }

    /// Tells the backup to take over. Returns a claim of the slot if the backup has no copy
    /// either.
    async fn cede(&mut self, slot: Slot, epoch: Epoch, to: &id::Instance) -> Option<Duty> {
        if self.unresponsive.contains(to) {
            return None;
        }
        let client = self.node.links.client(to).await.ok();
        let has_copy = match client {
            Some(client) => client
                .cede(link::context(link::CALL_TIMEOUT), slot, epoch)
                .await
                .ok(),
            None => None,
        };
        log::debug!("ceded slot={slot} to={to} held={has_copy:?}");
        self.ceded += 1;
        if has_copy.is_none() {
            self.unresponsive.push(to.clone());
        }
        (has_copy == Some(false) && self.settled).then_some(Duty::Claim(slot))
    }

    /// Asks a leaving backup to drop its copy. If it did, its acknowledgements are no longer
    /// waited for.
    async fn dismiss(&mut self, slot: Slot, epoch: Epoch, to: &id::Instance) {
        if self.unresponsive.contains(to) {
            return;
        }
        let dropped = match self.node.links.client(to).await {
            Ok(client) => client
                .dismiss(link::context(link::CALL_TIMEOUT), slot, epoch)
                .await
                .ok(),
            Err(_unreached) => None,
        };
        log::debug!("dismissed slot={slot} backup={to} dropped={dropped:?}");
        match dropped {
            None => self.unresponsive.push(to.clone()),
            Some(None) => {}
            Some(Some(life)) => {
                let (requests, now) = (&self.node.requests, self.node.now());
                requests.with_ledger(|ledger| ledger.resigned(now, slot, epoch, to, life));
                requests.flush(slot);
                let at = to.clone();
                self.node.control.send(Message::CopyLost { slot, at });
            }
        }
    }

    /// The table with a duty's change, which is proposed in the ledger before it is written.
    fn proposal(&mut self, duty: &Duty) -> Option<Table> {
        let me = &self.node.settings.instance;
        let (slot, table) = match duty {
            Duty::Claim(slot) => (*slot, self.base.claim(*slot, self.epoch(*slot)?, me)),
            Duty::TakeOver(slot) => (*slot, self.base.takeover(*slot, self.epoch(*slot)?, me)),
            Duty::Name { slot, backup } => {
                let backup = Some(self.process(*slot, backup)?);
                let table = self
                    .base
                    .replace_backup(*slot, self.epoch(*slot)?, me, backup);
                (*slot, table)
            }
            Duty::HandOver { slot, to } => {
                let backup = self.process(*slot, to)?;
                let table = self.base.hand_over(*slot, self.epoch(*slot)?, me, &backup);
                (*slot, table)
            }
            _ => return None,
        };
        self.propose(slot, table)
    }

    /// The process of a peer that holds a copy.
    fn process(&self, slot: Slot, peer: &id::Instance) -> Option<Process> {
        let requests = &self.node.requests;
        requests.with_ledger(|ledger| ledger.process(slot, peer))
    }

    fn epoch(&self, slot: Slot) -> Option<Epoch> {
        self.base.entry(slot).map(|entry| entry.epoch)
    }

    fn propose(&mut self, slot: Slot, table: Result<Table, Refused>) -> Option<Table> {
        let table = table.ok()?;
        let entry = table.entry(slot)?.clone();
        let base = self.base.version;
        let (known, noted) = self.node.requests.with_ledger(|ledger| {
            let known = ledger.has_proposal(slot);
            (known, ledger.propose(slot, base, entry))
        });
        if noted.is_ok() && !known {
            self.proposed.push(slot);
        }
        noted.is_ok().then_some(table)
    }

    /// Reads the table, or creates the first one if there is none.
    async fn read_or_create(&self) -> Result<Option<Arc<Table>>, Error> {
        match self.node.store.get(KEY).await? {
            Some(entry) => parse(&entry.value).map(Some),
            None => match &self.first {
                Some(live) => self.create_first(live).await,
                None => Ok(None),
            },
        }
    }

    async fn create_first(&self, live: &[Candidate]) -> Result<Option<Arc<Table>>, Error> {
        let me = &self.node.settings.instance;
        let lowest = live.iter().find(|candidate| !candidate.leaving);
        if lowest.is_none_or(|candidate| candidate.instance != *me) {
            return Ok(None);
        }
        // Each instance in it then claims its slots, which are known to be empty.
        let Ok(table) = Table::first(SLOT_COUNT, live) else {
            return Ok(None);
        };
        self.put(&table, 0).await
    }

    /// Writes the changes over the table that they are based on.
    async fn write(&mut self, changed: &[Table]) -> Result<Option<Arc<Table>>, Error> {
        let read = self.node.store.get(KEY).await;
        if read.is_err() {
            // Nothing was sent: a slot that has to be yielded now must not wait for the outcome of
            // a write that never happened.
            let slots = &self.proposed;
            let withdraw =
                |ledger: &mut Ledger| slots.iter().for_each(|slot| ledger.withdraw(*slot));
            self.node.requests.with_ledger(withdraw);
        }
        let Some(entry) = read? else {
            return Ok(None);
        };
        let found = parse(&entry.value)?;
        if found.version != self.base.version {
            return Ok(Some(found));
        }
        let table = self.base.merge(changed);
        let written = self.put(&table, entry.version).await;
        if written.is_ok() {
            self.assigned = newly_assigned(&self.base, &table, &self.node.settings.instance);
        }
        let result = if written.is_ok() { "written" } else { "failed" };
        event::SLOTS.emit(format_args!(
            "version={} changes={} {} result={result}",
            table.version,
            changed.len(),
            Changes::of(&self.base, &table),
        ));
        written
    }

    async fn put(&self, table: &Table, version: u64) -> Result<Option<Arc<Table>>, Error> {
        let value = serde_json::to_string(table).expect("a table has no map keys");
        let put = Put {
            value,
            version: Some(version),
            lease: None,
        };
        match self.node.store.put(KEY, put).await {
            Ok(_entry) => Ok(Some(Arc::new(table.clone()))),
            // A read determines whether this write or another one took effect.
            Err(Error::Conflict(_) | Error::Unknown(_)) => match self.node.store.get(KEY).await? {
                Some(entry) => parse(&entry.value).map(Some),
                None => Ok(None),
            },
            Err(error) => Err(error),
        }
    }

    /// Sends a complete copy of a slot.
    async fn copy(&mut self, slot: Slot, to: &id::Instance) {
        if self.unresponsive.contains(to) {
            return;
        }
        if let Err(error) = self.try_copy(slot, to).await {
            self.unresponsive.push(to.clone());
            event::COPY_FAILED.emit(format_args!("slot={slot} to={to} error=\"{error}\""));
        }
    }

    async fn try_copy(&self, slot: Slot, to: &id::Instance) -> Result<(), String> {
        let now = self.node.now();
        let chunks = self
            .node
            .requests
            .with_ledger(|ledger| ledger.export(now, slot, to));
        let Some(chunks) = chunks else { return Ok(()) };
        let client = self
            .node
            .links
            .client(to)
            .await
            .map_err(|error| error.to_string())?;
        for chunk in chunks {
            let taken = client.import(link::context(CHUNK_TIMEOUT), chunk).await;
            match taken.map_err(|error| error.to_string())? {
                Taken::More(_) => {}
                Taken::Whole(whole) => return self.finish_copy(slot, to, whole),
                Taken::Sealed(epoch) => {
                    self.node.control.send(Message::ReadTable);
                    return Err(format!("it is at epoch {epoch}"));
                }
            }
        }
        Err("it did not accept the copy as complete".into())
    }

    fn finish_copy(&self, slot: Slot, to: &id::Instance, whole: Whole) -> Result<(), String> {
        let requests = &self.node.requests;
        let missing = requests.with_ledger(|ledger| ledger.copied(slot, to, whole));
        match missing {
            Ok(updates) => {
                self.node.links.send_all(to, updates.unwrap_or_default());
                Ok(())
            }
            Err(broken) => {
                self.node.report_violation("ledger_copied", &broken);
                Err(broken.to_string())
            }
        }
    }

    /// Hands a slot over to its backup without the service.
    async fn yield_slot(&self, slot: Slot) {
        let requests = &self.node.requests;
        let Some((backup, handoff)) = requests.with_ledger(|ledger| ledger.hand_over(slot)) else {
            return;
        };
        requests.notify_slot(slot, &Input::Sealed);
        let Ok(client) = self.node.links.client(&backup).await else {
            return;
        };
        let taken = client
            .hand_over(link::context(link::CALL_TIMEOUT), handoff)
            .await;
        event::YIELDED.emit(format_args!("slot={slot} to={backup} taken={taken:?}"));
    }
}

/// The number of changes in a write of the table by kind, for the log.
#[derive(Debug, Default)]
struct Changes {
    claimed: usize,
    taken_over: usize,
    handed_over: usize,
    backed: usize,
}

impl Changes {
    fn of(old: &Table, new: &Table) -> Self {
        let mut changes = Self::default();
        for (old, new) in old.entries.iter().zip(&new.entries) {
            if new.epoch == old.epoch {
                continue;
            }
            let kind = if new.cold == new.epoch {
                &mut changes.claimed
            } else if new.primary == old.primary {
                &mut changes.backed
            } else if new.backup.as_ref() == Some(&old.primary) {
                &mut changes.handed_over
            } else {
                &mut changes.taken_over
            };
            *kind += 1;
        }
        changes
    }
}

impl fmt::Display for Changes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            claimed,
            taken_over,
            handed_over,
            backed,
        } = self;
        write!(
            f,
            "claimed={claimed} taken_over={taken_over} handed_over={handed_over} backed={backed}"
        )
    }
}

/// Other instances that own or back a slot whose entry changed from `old` to `new`, sorted.
fn newly_assigned(old: &Table, new: &Table, me: &id::Instance) -> Vec<id::Instance> {
    let changed = new.iter().zip(old.iter());
    let changed = changed.filter(|((_, new), (_, old))| new.epoch > old.epoch);
    let holders = changed.flat_map(|((_, entry), _)| entry.backup.iter().chain([&entry.primary]));
    let mut assigned: Vec<_> = holders.filter(|holder| *holder != me).cloned().collect();
    assigned.sort();
    assigned.dedup();
    assigned
}

fn parse(value: &str) -> Result<Arc<Table>, Error> {
    let table = http::parse::<Table>(value.as_bytes());
    table
        .map(Arc::new)
        .map_err(|error| Error::Unknown(format!("slots: {error}")))
}
