//! The open connections of a listener, whose number is limited.
//!
//! A listener that holds all that it may closes the one that has waited longest for its client, so
//! that clients that send nothing, or stop within a request, do not shut others out. Connections
//! whose request is being answered are never closed for others.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::sync::Notify;

use crate::connection::{Connection, Phase};

/// The connections of a listener.
#[derive(Debug)]
pub struct Slots {
    /// What the listener is for.
    pub name: &'static str,
    limit: usize,
    /// Connections that are not closed yet.
    open: Cell<usize>,
    /// The largest number of them since that was last asked for.
    peak: Cell<usize>,
    /// Connections that were closed for others, or refused, since that was last asked for.
    turned_away: Cell<u64>,
    next: Cell<u64>,
    /// Connections that were not told to close, sorted by number.
    entries: RefCell<Vec<Entry>>,
}

#[derive(Debug)]
struct Entry {
    number: u64,
    connection: Rc<Connection>,
    closing: Rc<Notify>,
}

impl Slots {
    /// Room for `limit` connections.
    #[must_use]
    pub fn new(name: &'static str, limit: usize) -> Self {
        Self {
            name,
            limit,
            open: Cell::new(0),
            peak: Cell::new(0),
            turned_away: Cell::new(0),
            next: Cell::new(0),
            entries: RefCell::default(),
        }
    }

    /// Waits until there is room for one more connection, for which another one may be closed.
    /// Returns whether there is.
    pub async fn make_room(&self) -> bool {
        if self.open.get() < self.limit {
            return true;
        }
        self.turned_away.set(self.turned_away.get() + 1);
        if !self.close_one() {
            return false;
        }
        while self.open.get() >= self.limit {
            // The task of the connection that closes has to run.
            tokio::task::yield_now().await;
        }
        true
    }

    /// Tells the connection to close that has waited longest, if any waits.
    fn close_one(&self) -> bool {
        let mut entries = self.entries.borrow_mut();
        let waiting = entries.iter().enumerate().filter_map(|(index, entry)| {
            let connection = &entry.connection;
            let has_served = match connection.phase.get() {
                Phase::Idle | Phase::Head => connection.requests() > 0,
                Phase::Body => connection.requests() > 1,
                Phase::Busy => return None,
            };
            // Those that carried a complete request are closed last.
            let is_sound = has_served && !connection.unread.get();
            Some((is_sound, connection.since.get(), index))
        });
        let Some((_, _, index)) = waiting.min() else {
            return false;
        };
        entries.remove(index).closing.notify_one();
        true
    }

    /// Number of open connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// The largest number of open connections since the last call.
    #[must_use]
    pub fn take_peak(&self) -> usize {
        self.peak.replace(self.open.get())
    }

    /// Number of connections that were closed for others, or refused, since the last call.
    #[must_use]
    pub fn take_turned_away(&self) -> u64 {
        self.turned_away.take()
    }

    /// Adds a connection.
    pub fn add(self: &Rc<Self>, connection: &Rc<Connection>) -> Slot {
        let number = self.next.replace(self.next.get() + 1);
        self.open.set(self.open.get() + 1);
        self.peak.set(self.peak.get().max(self.open.get()));
        let closing = Rc::<Notify>::default();
        self.entries.borrow_mut().push(Entry {
            number,
            connection: Rc::clone(connection),
            closing: Rc::clone(&closing),
        });
        Slot {
            slots: Rc::clone(self),
            number,
            closing,
        }
    }
}

/// The place of a connection, free again once it is dropped.
#[derive(Debug)]
pub struct Slot {
    slots: Rc<Slots>,
    number: u64,
    closing: Rc<Notify>,
}

impl Slot {
    /// Waits until the connection has to close for another one.
    pub async fn closing(&self) {
        self.closing.notified().await;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots.open.set(self.slots.open.get() - 1);
        let mut entries = self.slots.entries.borrow_mut();
        if let Ok(index) = entries.binary_search_by_key(&self.number, |entry| entry.number) {
            entries.remove(index);
        }
    }
}
