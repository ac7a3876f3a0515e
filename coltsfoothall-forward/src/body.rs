//! Reads the bodies of requests into memory that all of them share.

use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use coltsfoothall::forward::body::{Budget, Id};
use coltsfoothall::size;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use quick_error::quick_error;
use tokio::sync::Notify;

use crate::connection::{Connection, Phase};
use crate::state::State;

/// Largest part of a body that is allocated at once. Parts of equal size can be used again by any
/// other body, and are not moved when a body grows.
const MAX_PART_BYTES: usize = 64 << 10;
/// Smallest part of a body whose length is not known.
const MIN_PART_BYTES: usize = 2 << 10;
/// Share of the machine's memory that bodies may take, as a divisor.
const MEMORY_DIVISOR: u64 = 4;
/// Number of the largest bodies that have room at once on any machine.
const MIN_BODIES: u64 = 2;

quick_error! {
    /// A body that cannot be read.
    #[derive(Debug)]
    pub enum Error {
        /// It is larger than its limit.
        Large {
            display("body too large")
        }
        /// The connection ended before it was complete.
        Broken {
            display("broken body")
        }
        /// It got no memory, or had to make room for others.
        Evicted {
            display("no memory for the body")
        }
    }
}

/// The memory that the bodies of all requests share.
#[derive(Debug, Clone)]
pub struct Memory(Rc<RefCell<Shared>>);

#[derive(Debug)]
struct Shared {
    budget: Budget,
    /// The most that bodies took since that was last asked for.
    peak: size::Bytes,
    /// Wakes the readers of bodies that lose their memory; sorted by id.
    evictions: Vec<(Id, Rc<Notify>)>,
}

impl Shared {
    fn remove(&mut self, id: Id) -> Option<Rc<Notify>> {
        let index = self.index(id)?;
        Some(self.evictions.remove(index).1)
    }

    fn index(&self, id: Id) -> Option<usize> {
        let found = self.evictions.binary_search_by_key(&id, |(id, _)| *id);
        found.ok()
    }
}

impl Default for Memory {
    fn default() -> Self {
        Self(Rc::new(RefCell::new(Shared {
            budget: Budget::new(size::Bytes(0)),
            peak: size::Bytes(0),
            evictions: Vec::new(),
        })))
    }
}

impl Memory {
    /// Sets its size from that of the machine and of the largest body.
    pub fn resize(&self, machine: size::Bytes, max_body: usize) {
        let least = size::Bytes(MIN_BODIES * max_body as u64);
        let limit = size::Bytes(machine.0 / MEMORY_DIVISOR).max(least);
        self.0.borrow_mut().budget.set_limit(limit);
    }

    /// Bytes that bodies take, and the number of bodies that are being read.
    #[must_use]
    pub fn usage(&self) -> (size::Bytes, usize) {
        let shared = self.0.borrow();
        (shared.budget.held(), shared.budget.reading())
    }

    /// The most that bodies took since the last call.
    #[must_use]
    pub fn take_peak(&self) -> size::Bytes {
        let mut shared = self.0.borrow_mut();
        let held = shared.budget.held();
        std::mem::replace(&mut shared.peak, held)
    }

    fn begin(&self, state: &State) -> (Hold, Rc<Notify>) {
        let mut shared = self.0.borrow_mut();
        let id = shared.budget.begin(state.now());
        let eviction = Rc::<Notify>::default();
        shared.evictions.push((id, Rc::clone(&eviction)));
        let memory = self.clone();
        (Hold { memory, id }, eviction)
    }
}

/// The memory of one body, given back when it is dropped.
#[derive(Debug)]
struct Hold {
    memory: Memory,
    id: Id,
}

impl Hold {
    fn grow(&self, state: &State, bytes: usize) -> Result<(), Error> {
        let mut shared = self.memory.0.borrow_mut();
        let more = size::Bytes(bytes as u64);
        let evicted = shared
            .budget
            .grow(state.now(), self.id, more)
            .map_err(|_exhausted| Error::Evicted)?;
        shared.peak = shared.peak.max(shared.budget.held());
        for id in evicted {
            if let Some(eviction) = shared.remove(id) {
                eviction.notify_one();
            }
        }
        Ok(())
    }

    fn complete(&self) {
        let mut shared = self.memory.0.borrow_mut();
        shared.budget.complete(self.id);
        shared.remove(self.id);
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut shared = self.memory.0.borrow_mut();
        shared.budget.end(self.id);
        shared.remove(self.id);
    }
}

/// The complete body of a request. Its memory is given back when the last clone is dropped.
#[derive(Debug, Clone, Default)]
pub struct Body {
    parts: Rc<[Bytes]>,
    /// Keeps the memory.
    _hold: Option<Rc<Hold>>,
}

impl Body {
    /// Its bytes, in parts.
    #[must_use]
    pub fn parts(&self) -> &[Bytes] {
        &self.parts
    }
}

/// The part of a body that has arrived.
struct Buffer {
    hold: Hold,
    parts: Vec<Bytes>,
    /// The part that is being filled.
    open: BytesMut,
    len: usize,
    /// The length of the whole body, if it is known.
    expected: Option<usize>,
}

impl Buffer {
    fn push(&mut self, state: &State, mut bytes: &[u8]) -> Result<(), Error> {
        while !bytes.is_empty() {
            let room = self.open.capacity() - self.open.len();
            if room == 0 {
                self.open_part(state)?;
                continue;
            }
            let (now, rest) = bytes.split_at(room.min(bytes.len()));
            self.open.extend_from_slice(now);
            self.len += now.len();
            bytes = rest;
        }
        Ok(())
    }

    fn open_part(&mut self, state: &State) -> Result<(), Error> {
        let size = match self.expected {
            Some(expected) => expected.saturating_sub(self.len).min(MAX_PART_BYTES),
            None => self.len.clamp(MIN_PART_BYTES, MAX_PART_BYTES),
        };
        self.hold.grow(state, size)?;
        let full = std::mem::replace(&mut self.open, BytesMut::with_capacity(size));
        if !full.is_empty() {
            self.parts.push(full.freeze());
        }
        Ok(())
    }

    fn finish(mut self) -> Body {
        self.hold.complete();
        if !self.open.is_empty() {
            self.parts.push(self.open.freeze());
        }
        Body {
            parts: self.parts.into(),
            _hold: Some(Rc::new(self.hold)),
        }
    }
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
/// It is over the limit, ended early, or there is no memory for it.
pub async fn read(
    state: &State,
    connection: &Connection,
    content: Incoming,
    limit: usize,
) -> Result<Body, Error> {
    let length = content.size_hint();
    // A declared length over the limit is rejected before any of the body is read.
    if length.lower() > limit as u64 {
        return Err(Error::Large);
    }
    if content.is_end_stream() {
        return Ok(Body::default());
    }
    let (hold, eviction) = state.bodies.begin(state);
    let expected = length.exact().and_then(|exact| usize::try_from(exact).ok());
    let mut buffer = Buffer {
        hold,
        parts: Vec::new(),
        open: BytesMut::new(),
        len: 0,
        expected,
    };
    let mut content = pin!(Limited::new(content, limit));
    loop {
        connection.enter(Phase::Body);
        let frame = tokio::select! {
            biased;
            () = eviction.notified() => return Err(Error::Evicted),
            frame = content.frame() => frame,
        };
        match frame.transpose() {
            Ok(None) => {
                connection.enter(Phase::Busy);
                return Ok(buffer.finish());
            }
            // Trailers are dropped.
            Ok(Some(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    buffer.push(state, &bytes)?;
                }
            }
            Err(error) if error.is::<LengthLimitError>() => return Err(Error::Large),
            Err(_broken) => return Err(Error::Broken),
        }
    }
}
