//! Reads bodies into memory that all of them share.

use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::{Bytes, BytesMut};
use coltsfoothall::clock::Time;
use coltsfoothall::forward::body::{Budget, Id};
use coltsfoothall::size;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use quick_error::quick_error;
use tokio::sync::Notify;

/// Largest part of a body that is allocated at once. Parts of equal size can be used again by any
/// other body, and are not moved when a body grows.
const MAX_PART_BYTES: usize = 64 << 10;
/// Smallest part of a body whose length is not known.
const MIN_PART_BYTES: usize = 2 << 10;
/// Share of a machine's memory that the bodies of requests may take, as a divisor.
const REQUESTS_DIVISOR: u64 = 4;
/// Share that answers may take, as numerator and divisor. They stay until their callers have read them.
const ANSWERS_SHARE: (u64, u64) = (3, 8);
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

/// The memory that bodies share, such as those of all requests.
#[derive(Debug, Clone)]
pub struct Memory(Arc<Mutex<Shared>>);

#[derive(Debug)]
struct Shared {
    budget: Budget,
    /// The most that bodies took since that was last asked for.
    peak: size::Bytes,
    /// Wakes the readers of bodies that lose their memory; sorted by id.
    evictions: Vec<(Id, Arc<Notify>)>,
}

impl Shared {
    fn remove(&mut self, id: Id) -> Option<Arc<Notify>> {
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
        Self(Arc::new(Mutex::new(Shared {
            budget: Budget::new(size::Bytes(0)),
            peak: size::Bytes(0),
            evictions: Vec::new(),
        })))
    }
}

impl Memory {
    /// Sets its size for the bodies of requests, from that of the machine and of the largest body.
    pub fn resize_for_requests(&self, machine: size::Bytes, max_body: usize) {
        self.resize(machine.0 / REQUESTS_DIVISOR, max_body);
    }

    /// Sets its size for answers, from that of the machine and of the largest answer.
    pub fn resize_for_answers(&self, machine: size::Bytes, max_body: usize) {
        let (numerator, divisor) = ANSWERS_SHARE;
        self.resize(machine.0 / divisor * numerator, max_body);
    }

    fn resize(&self, limit: u64, max_body: usize) {
        let least = MIN_BODIES * max_body as u64;
        let limit = size::Bytes(limit.max(least));
        self.lock().budget.set_limit(limit);
    }

    /// Bytes that bodies take, and the number of bodies that are being read.
    #[must_use]
    pub fn usage(&self) -> (size::Bytes, usize) {
        let shared = self.lock();
        (shared.budget.held(), shared.budget.reading())
    }

    /// The most that bodies took since the last call.
    #[must_use]
    pub fn take_peak(&self) -> size::Bytes {
        let mut shared = self.lock();
        let held = shared.budget.held();
        std::mem::replace(&mut shared.peak, held)
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds something that is received in parts and takes no memory yet.
    #[must_use]
    pub fn open(&self, now: Time) -> Account {
        let (hold, eviction) = self.begin(now);
        Account {
            hold,
            eviction,
            size: 0,
        }
    }

    fn begin(&self, now: Time) -> (Hold, Arc<Notify>) {
        let mut shared = self.lock();
        let id = shared.budget.begin(now);
        let eviction = Arc::<Notify>::default();
        shared.evictions.push((id, Arc::clone(&eviction)));
        drop(shared);
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
    fn grow(&self, now: Time, bytes: usize) -> Result<(), Error> {
        let mut shared = self.memory.lock();
        let more = size::Bytes(bytes as u64);
        let evicted = shared
            .budget
            .grow(now, self.id, more)
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
        let mut shared = self.memory.lock();
        shared.budget.complete(self.id);
        shared.remove(self.id);
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut shared = self.memory.lock();
        shared.budget.end(self.id);
        shared.remove(self.id);
    }
}

/// The memory of something that is received in parts, given back when it is dropped.
#[derive(Debug)]
pub struct Account {
    hold: Hold,
    eviction: Arc<Notify>,
    size: usize,
}

impl Account {
    /// Takes more memory, up to a size in bytes.
    ///
    /// # Errors
    /// There is no memory for it.
    pub fn grow(&mut self, now: Time, size: usize) -> Result<(), Error> {
        let more = size.saturating_sub(self.size);
        self.size += more;
        self.hold.grow(now, more)
    }

    /// Waits until it loses its memory to others.
    pub async fn evicted(&self) {
        self.eviction.notified().await;
    }

    /// The bytes that were received, which keep the memory until they are dropped and lose it to
    /// nobody.
    #[must_use]
    pub fn finish(self, bytes: Bytes) -> Bytes {
        self.hold.complete();
        Bytes::from_owner(Owner {
            bytes,
            _hold: self.hold,
        })
    }
}

/// Bytes that keep their memory.
struct Owner {
    bytes: Bytes,
    _hold: Hold,
}

impl AsRef<[u8]> for Owner {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A complete body. Its memory is given back when the last clone is dropped.
#[derive(Debug, Clone, Default)]
pub struct Body {
    parts: Arc<[Bytes]>,
    /// Keeps the memory.
    _hold: Option<Arc<Hold>>,
}

impl Body {
    /// Its bytes, in parts.
    #[must_use]
    pub fn parts(&self) -> &[Bytes] {
        &self.parts
    }

    /// Its bytes as one, which no longer count as memory of bodies.
    #[must_use]
    pub fn into_bytes(self) -> Bytes {
        match &*self.parts {
            [] => Bytes::new(),
            [whole] => whole.clone(),
            parts => parts.concat().into(),
        }
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
    fn push(&mut self, now: impl Fn() -> Time, mut bytes: &[u8]) -> Result<(), Error> {
        while !bytes.is_empty() {
            let room = self.open.capacity() - self.open.len();
            if room == 0 {
                self.open_part(now())?;
                continue;
            }
            let (now, rest) = bytes.split_at(room.min(bytes.len()));
            self.open.extend_from_slice(now);
            self.len += now.len();
            bytes = rest;
        }
        Ok(())
    }

    fn open_part(&mut self, now: Time) -> Result<(), Error> {
        let size = match self.expected {
            Some(expected) => expected.saturating_sub(self.len).min(MAX_PART_BYTES),
            None => self.len.clamp(MIN_PART_BYTES, MAX_PART_BYTES),
        };
        self.hold.grow(now, size)?;
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
            _hold: Some(Arc::new(self.hold)),
        }
    }
}

/// Reads a complete body of at most `limit` bytes; `advance` returns the time, and is called each
/// time the body takes memory.
///
/// # Errors
/// It is over the limit, ended early, or there is no memory for it.
pub async fn read<B>(
    memory: &Memory,
    advance: impl Fn() -> Time,
    content: B,
    limit: usize,
) -> Result<Body, Error>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let length = content.size_hint();
    // A declared length over the limit is rejected before any of the body is read.
    if length.lower() > limit as u64 {
        return Err(Error::Large);
    }
    if content.is_end_stream() {
        return Ok(Body::default());
    }
    let (hold, eviction) = memory.begin(advance());
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
        let frame = tokio::select! {
            biased;
            () = eviction.notified() => return Err(Error::Evicted),
            frame = content.frame() => frame,
        };
        match frame.transpose() {
            Ok(None) => return Ok(buffer.finish()),
            // Trailers are dropped.
            Ok(Some(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    buffer.push(&advance, &bytes)?;
                }
            }
            Err(error) if error.is::<LengthLimitError>() => return Err(Error::Large),
            Err(_broken) => return Err(Error::Broken),
        }
    }
}
