//! The state of a caller's connection, shared by its limits and its requests.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Between two requests.
    Idle,
    /// The head of a request is being received.
    Head,
    /// The body of a request is being received.
    Body,
    /// A request is being answered.
    Busy,
}

/// State of a caller's connection.
#[derive(Debug)]
pub struct Connection {
    pub(crate) phase: Cell<Phase>,
    pub(crate) since: Cell<Instant>,
    pub(crate) ambiguous: Cell<bool>,
    /// Whether the body of a request was not read to its end, so that no other can follow.
    pub(crate) unread: Cell<bool>,
    accepted: Instant,
    requests: Cell<u32>,
}

impl Connection {
    /// A connection that has just been accepted.
    pub(crate) fn new() -> Self {
        let now = Instant::now();
        Self {
            phase: Cell::new(Phase::Idle),
            since: Cell::new(now),
            ambiguous: Cell::new(false),
            unread: Cell::new(false),
            accepted: now,
            requests: Cell::new(0),
        }
    }

    /// Time since the connection was accepted.
    #[must_use]
    pub fn age(&self) -> Duration {
        self.accepted.elapsed()
    }

    /// Number of requests that it carried, including the current one.
    #[must_use]
    pub fn requests(&self) -> u32 {
        self.requests.get()
    }

    /// Whether the current request has more than one `Content-Length` or
    /// `Transfer-Encoding` header, counted together.
    #[must_use]
    pub fn is_ambiguous(&self) -> bool {
        self.ambiguous.get()
    }

    /// Starts a phase.
    pub(crate) fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }
}

/// Marks a connection as busy until it is dropped.
#[derive(Debug)]
pub struct Busy(Rc<Connection>);

impl Busy {
    pub(crate) fn new(connection: &Rc<Connection>) -> Self {
        connection.enter(Phase::Busy);
        connection.requests.set(connection.requests.get() + 1);
        Self(Rc::clone(connection))
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.ambiguous.set(false);
        self.0.enter(Phase::Idle);
    }
}
