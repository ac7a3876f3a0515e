//! Carries out the duties of one round for the slots: at this instance, at its
//! peers, and in the slot table at the key-value service.

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

/// Longest wait for the answer to a piece of a copy.
const PIECE: Duration = Duration::from_secs(2);

/// What a round of duties came to.
#[derive(Debug)]
pub struct Round {
    /// The newest table at the service, if it was read or written.
    pub table: Option<Arc<Table>>,
    /// Whether the service answered; none if it was not asked.
    pub service: Option<bool>,
    /// When it was asked, so that what it said held no earlier.
    pub asked: Time,
    /// Whether anything was done, so that there may be more to do at once.
    pub busy: bool,
    /// Others that a table written in this round gives a slot, sorted.
    pub named: Vec<id::Instance>,
}

/// One round of duties, away from the control thread.
pub struct Work {
    /// This instance.
    pub node: Arc<Node>,
    /// The table that changes are made on.
    pub base: Arc<Table>,
    /// Whether the table is read even if nothing is to be written.
    pub read: bool,
    /// Who may be named in a first table.
    pub make: Option<Vec<Candidate>>,
    /// Whether this instance can tell who is dead.
    pub settled: bool,
    /// Peers that did not answer in this round; waiting for each again would
    /// hold up the other slots.
    pub silent: Vec<id::Instance>,
    /// Slots ceded in this round.
    pub ceded: usize,
    /// Slots whose changes were noted in this round for the first time.
    pub noted: Vec<Slot>,
    /// Others that the table gives a slot which this round wrote, sorted.
    pub named: Vec<id::Instance>,
}

impl Work {
    /// Carries the duties out and tells the control thread what they came to.
    pub async fn run(mut self, duties: Vec<Duty>) {
        let busy = !duties.is_empty();
        let mut changed = Vec::new();
        for duty in duties {
            let next = self.local(duty).await;
            if let Some(table) = next.and_then(|duty| self.proposal(&duty)) {
                changed.push(table);
            }
        }
        if self.ceded > 0 {
            event::CEDED.emit(format_args!("slots={}", self.ceded));
        }
        let asked = self.node.now();
        // A write whose outcome is not known blocks its slot until a later
        // version of the table settles it, so there has to be one.
        let open = self.node.desk.with_ledger(|ledger| ledger.has_proposals());
        let outcome = if open {
            Some(self.write(&changed).await)
        } else if self.read {
            Some(self.look().await)
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
        self.node.control.send(Message::Round(Round {
            table,
            service,
            asked,
            busy,
            named: self.named,
        }));
    }

    /// What a duty asks of this instance and its peers; comes back with what it
    /// asks of the table.
    async fn local(&mut self, duty: Duty) -> Option<Duty> {
        let node = Arc::clone(&self.node);
        let desk = &node.desk;
        match &duty {
            Duty::Copy { slot, to } => self.copy(*slot, to).await,
            Duty::Cede { slot, epoch, to } => return self.cede(*slot, *epoch, to).await,
            Duty::Dismiss { slot, epoch, to } => self.dismiss(*slot, *epoch, to).await,
            Duty::Drain(slot) => desk.with_ledger(|ledger| {
                // A call that began since the duties were named must not lose its relay.
                let begun = |r: &Record| !r.intake.idempotent && r.begun();
                if !ledger.open(*slot).any(begun) {
                    ledger.drain(*slot);
                }
            }),
            Duty::Resume(slot) => {
                desk.with_ledger(|ledger| ledger.resume(*slot));
                desk.carry_on(&node, *slot);
            }
            Duty::TakeOver(slot) => {
                desk.with_ledger(|ledger| ledger.seal(*slot));
                desk.carry_on(&node, *slot);
            }
            Duty::RunUnreplicated(slot) => {
                desk.with_ledger(|ledger| ledger.run_unreplicated(*slot));
                desk.carry_on(&node, *slot);
            }
            Duty::Yield(slot) => self.yield_slot(*slot).await,
            Duty::GiveUp(slot) => {
                let _kept = desk.with_ledger(|ledger| ledger.give_up(*slot));
                desk.flush(*slot);
            }
            Duty::Claim(_) | Duty::Name { .. } | Duty::HandOver { .. } => {}
        }
        Some(duty)
    }

    /// Tells the backup to take over; a claim if it has no copy either.
    async fn cede(&mut self, slot: Slot, epoch: Epoch, to: &id::Instance) -> Option<Duty> {
        if self.silent.contains(to) {
            return None;
        }
        let client = self.node.links.client(to).await.ok();
        let held = match client {
            Some(client) => client
                .cede(link::context(link::CALL), slot, epoch)
                .await
                .ok(),
            None => None,
        };
        log::debug!("ceded slot={slot} to={to} held={held:?}");
        self.ceded += 1;
        if held.is_none() {
            self.silent.push(to.clone());
        }
        (held == Some(false) && self.settled).then_some(Duty::Claim(slot))
    }

    /// Asks a leaving backup to drop its copy, and waits for it no longer then.
    async fn dismiss(&mut self, slot: Slot, epoch: Epoch, to: &id::Instance) {
        if self.silent.contains(to) {
            return;
        }
        let dropped = match self.node.links.client(to).await {
            Ok(client) => client
                .dismiss(link::context(link::CALL), slot, epoch)
                .await
                .ok(),
            Err(_unreached) => None,
        };
        log::debug!("dismissed slot={slot} backup={to} dropped={dropped:?}");
        match dropped {
            None => self.silent.push(to.clone()),
            Some(None) => {}
            Some(Some(life)) => {
                let (desk, now) = (&self.node.desk, self.node.now());
                desk.with_ledger(|ledger| ledger.resigned(now, slot, epoch, to, life));
                desk.flush(slot);
                let at = to.clone();
                self.node.control.send(Message::CopyLost { slot, at });
            }
        }
    }

    /// The table with a duty's change, noted at the ledger before it is written.
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
                let heir = self.process(*slot, to)?;
                let table = self.base.hand_over(*slot, self.epoch(*slot)?, me, &heir);
                (*slot, table)
            }
            _ => return None,
        };
        self.propose(slot, table)
    }

    /// The process of a peer that holds a copy.
    fn process(&self, slot: Slot, peer: &id::Instance) -> Option<Process> {
        let desk = &self.node.desk;
        desk.with_ledger(|ledger| ledger.process(slot, peer))
    }

    fn epoch(&self, slot: Slot) -> Option<Epoch> {
        self.base.entry(slot).map(|entry| entry.epoch)
    }

    fn propose(&mut self, slot: Slot, table: Result<Table, Refused>) -> Option<Table> {
        let table = table.ok()?;
        let entry = table.entry(slot)?.clone();
        let base = self.base.version;
        let (known, noted) = self.node.desk.with_ledger(|ledger| {
            let known = ledger.has_proposal(slot);
            (known, ledger.propose(slot, base, entry))
        });
        if noted.is_ok() && !known {
            self.noted.push(slot);
        }
        noted.is_ok().then_some(table)
    }

    /// Reads the table; makes the first one if there is none.
    async fn look(&self) -> Result<Option<Arc<Table>>, Error> {
        match self.node.store.get(KEY).await? {
            Some(entry) => parse(&entry.value).map(Some),
            None => match &self.make {
                Some(live) => self.make_first(live).await,
                None => Ok(None),
            },
        }
    }

    async fn make_first(&self, live: &[Candidate]) -> Result<Option<Arc<Table>>, Error> {
        let me = &self.node.settings.instance;
        let lowest = live.iter().find(|candidate| !candidate.leaving);
        if lowest.is_none_or(|candidate| candidate.instance != *me) {
            return Ok(None);
        }
        // Each instance named in it then claims its slots, known to be empty.
        let Ok(table) = Table::first(SLOT_COUNT, live) else {
            return Ok(None);
        };
        self.put(&table, 0).await
    }

    /// Writes the changes over the table that they were made on.
    async fn write(&mut self, changed: &[Table]) -> Result<Option<Arc<Table>>, Error> {
        let read = self.node.store.get(KEY).await;
        if read.is_err() {
            // Nothing was sent: a slot that is to be yielded now must not wait
            // for the outcome of a write that never was.
            let slots = &self.noted;
            let forget = |ledger: &mut Ledger| slots.iter().for_each(|slot| ledger.withdraw(*slot));
            self.node.desk.with_ledger(forget);
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
            self.named = named(&self.base, &table, &self.node.settings.instance);
        }
        let result = if written.is_ok() { "written" } else { "failed" };
        event::SLOTS.emit(format_args!(
            "version={} changes={} {} result={result}",
            table.version,
            changed.len(),
            Kinds::of(&self.base, &table),
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
            // Whether the write took effect, or another's did: reading settles it.
            Err(Error::Conflict(_) | Error::Unknown(_)) => match self.node.store.get(KEY).await? {
                Some(entry) => parse(&entry.value).map(Some),
                None => Ok(None),
            },
            Err(error) => Err(error),
        }
    }

    /// Sends a whole copy of a slot.
    async fn copy(&mut self, slot: Slot, to: &id::Instance) {
        if self.silent.contains(to) {
            return;
        }
        if let Err(error) = self.try_copy(slot, to).await {
            self.silent.push(to.clone());
            event::COPY_FAILED.emit(format_args!("slot={slot} to={to} error=\"{error}\""));
        }
    }

    async fn try_copy(&self, slot: Slot, to: &id::Instance) -> Result<(), String> {
        let now = self.node.now();
        let chunks = self
            .node
            .desk
            .with_ledger(|ledger| ledger.export(now, slot, to));
        let Some(chunks) = chunks else { return Ok(()) };
        let client = self
            .node
            .links
            .client(to)
            .await
            .map_err(|error| error.to_string())?;
        for chunk in chunks {
            let taken = client.import(link::context(PIECE), chunk).await;
            match taken.map_err(|error| error.to_string())? {
                Taken::More(_) => {}
                Taken::Whole(whole) => return self.whole(slot, to, whole),
                Taken::Sealed(epoch) => {
                    self.node.control.send(Message::ReadTable);
                    return Err(format!("it is at epoch {epoch}"));
                }
            }
        }
        Err("it did not take the copy whole".into())
    }

    fn whole(&self, slot: Slot, to: &id::Instance, whole: Whole) -> Result<(), String> {
        let desk = &self.node.desk;
        let missing = desk.with_ledger(|ledger| ledger.copied(slot, to, whole));
        match missing {
            Ok(updates) => {
                self.node.links.send_all(to, updates.unwrap_or_default());
                Ok(())
            }
            Err(broken) => {
                self.node.broken("ledger_copied", &broken);
                Err(broken.to_string())
            }
        }
    }

    /// Lets the backup act as owner, without the service.
    async fn yield_slot(&self, slot: Slot) {
        let desk = &self.node.desk;
        let Some((backup, handoff)) = desk.with_ledger(|ledger| ledger.hand_over(slot)) else {
            return;
        };
        desk.tell_slot(slot, &Input::Sealed);
        let Ok(client) = self.node.links.client(&backup).await else {
            return;
        };
        let taken = client.hand_over(link::context(link::CALL), handoff).await;
        event::YIELDED.emit(format_args!("slot={slot} to={backup} taken={taken:?}"));
    }
}

/// Changes of a write of the table by kind, for the log.
#[derive(Debug, Default)]
struct Kinds {
    claimed: usize,
    taken_over: usize,
    handed_over: usize,
    backed: usize,
}

impl Kinds {
    fn of(old: &Table, new: &Table) -> Self {
        let mut kinds = Self::default();
        for (old, new) in old.entries.iter().zip(&new.entries) {
            if new.epoch == old.epoch {
                continue;
            }
            let kind = if new.cold == new.epoch {
                &mut kinds.claimed
            } else if new.primary == old.primary {
                &mut kinds.backed
            } else if new.backup.as_ref() == Some(&old.primary) {
                &mut kinds.handed_over
            } else {
                &mut kinds.taken_over
            };
            *kind += 1;
        }
        kinds
    }
}

impl fmt::Display for Kinds {
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

/// Others that `new` gives a slot which they did not have in `old`, sorted.
fn named(old: &Table, new: &Table, me: &id::Instance) -> Vec<id::Instance> {
    let changed = new.iter().zip(old.iter());
    let changed = changed.filter(|((_, new), (_, old))| new.epoch > old.epoch);
    let holders = changed.flat_map(|((_, entry), _)| entry.backup.iter().chain([&entry.primary]));
    let mut named: Vec<_> = holders.filter(|holder| *holder != me).cloned().collect();
    named.sort();
    named.dedup();
    named
}

fn parse(value: &str) -> Result<Arc<Table>, Error> {
    let table = http::parse::<Table>(value.as_bytes());
    table
        .map(Arc::new)
        .map_err(|error| Error::Unknown(format!("slots: {error}")))
}
