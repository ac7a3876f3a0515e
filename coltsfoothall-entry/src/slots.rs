//! The state of the slots on the control thread: what is known of them, and when a round of
//! duties is due.

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

/// Age at which the table is read again, so that the keys that callers chose themselves can
/// be accepted.
const MAX_TABLE_AGE: Duration = Duration::from_secs(60);

/// Minimum interval between two reads that confirm a "not run": under overload, 330 entry
/// instances read at most 660 times a second, a third of what the service can handle.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(500);

/// How long a "not run" waits to be confirmed while the service answers. It is longer than
/// the 3 s after which a backup that doesn't acknowledge is assumed dead.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a failed call of the service.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The slots, as this instance knows them.
pub struct Slots {
    node: Arc<Node>,
    table: Arc<Table>,
    /// Whether a round is running.
    round_running: bool,
    /// When the last round that called the service ended, and whether the service answered in
    /// it.
    last_call: Option<Time>,
    service_up: bool,
    read_due: bool,
    /// Backups that are known to have no copy, sorted.
    missing: Vec<Missing>,
}

impl Slots {
    /// Creates the state without a table.
    #[must_use]
    pub fn new(node: Arc<Node>) -> Self {
        Self {
            node,
            table: Arc::default(),
            round_running: false,
            last_call: None,
            service_up: true,
            read_due: true,
            missing: Vec::new(),
        }
    }

    /// The newest known table.
    #[must_use]
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// The version of the newest known table.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.table.version
    }

    /// Makes the next round read the table.
    pub fn request_read(&mut self) {
        self.read_due = true;
    }

    /// Records that a peer lacks a copy. The next round handles it.
    pub fn copy_lost(&mut self, slot: Slot, at: id::Instance) {
        if let Some(entry) = self.table.entry(slot) {
            let missing = Missing {
                slot,
                epoch: entry.epoch,
                at,
            };
            if let Err(index) = self.missing.binary_search(&missing) {
                self.missing.insert(index, missing);
            }
        }
        self.read_due = true;
    }

    /// Records that an instance restarted: the copies that it held are lost.
    pub fn restarted(&mut self, instance: &id::Instance) {
        let table = Arc::clone(&self.table);
        let lost = table
            .iter()
            .filter(|(_, entry)| entry.backup.as_ref() == Some(instance));
        lost.for_each(|(slot, _)| self.copy_lost(slot, instance.clone()));
    }

    /// Applies a table. Returns the resulting events of the ledger, if the table is newer or
    /// caused any. `asked` is when the service was asked for it, or `None` if a peer sent it.
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
        let events = self.node.requests.with_ledger(|ledger| {
            let events = ledger.observe(now, table);
            if let Some(asked) = asked {
                ledger.confirm(asked, table.version);
            }
            events
        });
        (newer || !events.is_empty()).then_some(events)
    }

    /// Starts a round if there is something to do.
    pub fn tick(&mut self, now: Time, members: &Members, leaving: bool) {
        if self.round_running || self.in_retry_delay(now) {
            return;
        }
        let live = members.candidates();
        let settled = members.settled(now);
        let me = &self.node.settings.instance;
        let due = |ledger: &mut _| {
            duties(&Context {
                me,
                table: &self.table,
                ledger,
                live: &live,
                missing: &self.missing,
                leaving,
                service: self.service_up,
                settled,
            })
        };
        let duties = self.node.requests.with_ledger(due);
        let proposing = self
            .node
            .requests
            .with_ledger(|ledger| ledger.has_proposals());
        let read = self.read_due
            || proposing
            || self.is_stale(now)
            || !self.service_up
            || self.table.version == 0;
        if duties.is_empty() && !read {
            return;
        }
        self.round_running = true;
        self.read_due = false;
        let may_create = settled || live.len() > 1;
        let work = Work {
            node: Arc::clone(&self.node),
            base: Arc::clone(&self.table),
            read,
            first: may_create.then(|| live.clone()),
            settled,
            unresponsive: Vec::new(),
            ceded: 0,
            proposed: Vec::new(),
            assigned: Vec::new(),
        };
        tokio::spawn(work.run(duties));
    }

    /// Retracts each "not run" that could not be confirmed in time.
    pub fn retract_unconfirmed(&self, now: Time) -> Vec<Event> {
        let timeout = if self.service_up {
            CONFIRM_TIMEOUT
        } else {
            Duration::ZERO
        };
        let requests = &self.node.requests;
        requests.with_ledger(|ledger| ledger.retract(now, timeout))
    }

    /// Whether the table was read too long ago.
    fn is_stale(&self, now: Time) -> bool {
        let unconfirmed = self
            .node
            .requests
            .with_ledger(|ledger| ledger.unconfirmed());
        let max_age = if unconfirmed {
            CONFIRM_INTERVAL
        } else {
            MAX_TABLE_AGE
        };
        self.last_call.is_none_or(|at| now.since(at) >= max_age)
    }

    /// Records the outcome of a round.
    pub fn record_round(&mut self, now: Time, round: &Round) {
        self.round_running = false;
        self.read_due |= round.busy;
        if let Some(service) = round.service {
            self.service_up = service;
            self.last_call = Some(now);
        }
    }

    fn in_retry_delay(&self, now: Time) -> bool {
        let unavailable = !self.service_up || self.table.version == 0;
        unavailable && self.last_call.is_some_and(|at| now.since(at) < RETRY_DELAY)
    }
}
