//! Looks after the slots on the control thread: what is known of them, and when a
//! round of duties is due.

use std::sync::Arc;
use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::duty::{Context, Missing, duties};
use coltsfoothall::id;
use coltsfoothall::key::Slot;
use coltsfoothall::slot::Table;
use coltsfoothall::takeover::Event;

use crate::members::Members;
use crate::node::Node;
use crate::round::{Round, Work};

/// Age at which the table is read again, so that callers' own keys may be used.
const STALE: Duration = Duration::from_secs(60);

/// Least time between two reads that are to confirm "not run": under overload, 330 entry
/// instances read 660 times a second at most, a third of what the service takes.
const CONFIRM: Duration = Duration::from_millis(500);

/// How long a "not run" waits to be confirmed while the service answers: longer than the
/// 3 s after which a backup that doesn't acknowledge is taken for dead.
const UNCONFIRMED: Duration = Duration::from_secs(5);

/// Wait after a failed call of the service.
const PAUSE: Duration = Duration::from_millis(500);

/// The slots as this instance knows them, on the control thread.
pub struct Slots {
    node: Arc<Node>,
    table: Arc<Table>,
    /// Whether a round is under way.
    round: bool,
    /// When the service was last asked, and whether it answered.
    asked: Option<Time>,
    service: bool,
    read: bool,
    /// Backups known to have no copy, sorted.
    missing: Vec<Missing>,
}

impl Slots {
    /// No table yet.
    #[must_use]
    pub fn new(node: Arc<Node>) -> Self {
        Self {
            node,
            table: Arc::default(),
            round: false,
            asked: None,
            service: true,
            read: true,
            missing: Vec::new(),
        }
    }

    /// The newest table known.
    #[must_use]
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Its version.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.table.version
    }

    /// The table should be read.
    pub fn read_soon(&mut self) {
        self.read = true;
    }

    /// A peer lacks a copy; the next round sees to it.
    pub fn copy_lost(&mut self, slot: Slot, at: id::Instance) {
        if let Some(entry) = self.table.entry(slot) {
            let missing = Missing {
                slot,
                epoch: entry.epoch,
                at,
            };
            if let Err(place) = self.missing.binary_search(&missing) {
                self.missing.insert(place, missing);
            }
        }
        self.read = true;
    }

    /// An instance began anew: the copies that it kept are lost.
    pub fn restarted(&mut self, instance: &id::Instance) {
        let table = Arc::clone(&self.table);
        let kept = table
            .iter()
            .filter(|(_, entry)| entry.backup.as_ref() == Some(instance));
        kept.for_each(|(slot, _)| self.copy_lost(slot, instance.clone()));
    }

    /// Takes in a table; what it meant for the ledger, if it is newer or meant something.
    /// `asked` is when the service was asked for it, none if a peer gave it.
    pub fn observe(
        &mut self,
        now: Time,
        table: &Arc<Table>,
        asked: Option<Time>,
    ) -> Option<Vec<Event>> {
        if table.version < self.table.version {
            return None;
        }
        let newer = table.version > self.table.version;
        self.table = Arc::clone(table);
        let epoch = |slot| table.entry(slot).map(|entry| entry.epoch);
        self.missing
            .retain(|missing| epoch(missing.slot) == Some(missing.epoch));
        let events = self.node.desk.with_ledger(|ledger| {
            let events = ledger.observe(now, table);
            if let Some(asked) = asked {
                ledger.confirm(asked, table.version);
            }
            events
        });
        (newer || !events.is_empty()).then_some(events)
    }

    /// Starts a round if there is something to do.
    pub fn look(&mut self, now: Time, members: &Members, leaving: bool) {
        if self.round || self.pausing(now) {
            return;
        }
        let live = members.candidates();
        let settled = members.settled(now);
        let me = &self.node.settings.instance;
        let sight = |ledger: &mut _| {
            duties(&Context {
                me,
                table: &self.table,
                ledger,
                live: &live,
                missing: &self.missing,
                leaving,
                service: self.service,
                settled,
            })
        };
        let duties = self.node.desk.with_ledger(sight);
        let open = self.node.desk.with_ledger(|ledger| ledger.has_proposals());
        let read = self.read || open || self.aged(now) || !self.service || self.table.version == 0;
        if duties.is_empty() && !read {
            return;
        }
        self.round = true;
        self.read = false;
        let first = settled || live.len() > 1;
        let work = Work {
            node: Arc::clone(&self.node),
            base: Arc::clone(&self.table),
            read,
            make: first.then(|| live.clone()),
            settled,
            silent: Vec::new(),
            ceded: 0,
            noted: Vec::new(),
            named: Vec::new(),
        };
        tokio::spawn(work.run(duties));
    }

    /// Takes back what could not be confirmed as not run.
    pub fn retract(&self, now: Time) -> Vec<Event> {
        let waited = if self.service {
            UNCONFIRMED
        } else {
            Duration::ZERO
        };
        let desk = &self.node.desk;
        desk.with_ledger(|ledger| ledger.retract(now, waited))
    }

    /// Whether the table was read too long ago.
    fn aged(&self, now: Time) -> bool {
        let waits = self.node.desk.with_ledger(|ledger| ledger.unconfirmed());
        let most = if waits { CONFIRM } else { STALE };
        self.asked.is_none_or(|at| now.since(at) >= most)
    }

    /// Notes what a round came to.
    pub fn ended(&mut self, now: Time, round: &Round) {
        self.round = false;
        self.read |= round.busy;
        if let Some(service) = round.service {
            self.service = service;
            self.asked = Some(now);
        }
    }

    fn pausing(&self, now: Time) -> bool {
        let waiting = !self.service || self.table.version == 0;
        waiting && self.asked.is_some_and(|at| now.since(at) < PAUSE)
    }
}
