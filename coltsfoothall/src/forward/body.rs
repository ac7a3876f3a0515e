//! The memory that the bodies of requests may take on an instance.
//!
//! The load that this answers: many callers send large bodies at once, or stop short of the end of
//! theirs. Whatever is still being read can make room for others, what came to a halt first; a part
//! of the memory is kept for small bodies, so that a crowd of large ones does not shut them out.

use quick_error::quick_error;

use crate::clock::Time;
use crate::size::Bytes;

/// Largest body that counts as small.
pub const MAX_SMALL: Bytes = Bytes(256 << 10);
/// Share of the memory that only small bodies may take, as a divisor.
const RESERVE_DIVISOR: u64 = 4;

quick_error! {
    /// A body that gets no memory.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Error {
        /// Bodies that cannot make room take all of it.
        Exhausted {
            display("no memory is left for the body")
        }
    }
}

/// A body that takes memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Id(u64);

#[derive(Debug)]
struct Holding {
    id: Id,
    size: Bytes,
    /// When it grew last; none once it is complete.
    grew_at: Option<Time>,
}

impl Holding {
    fn is_large(&self) -> bool {
        self.size > MAX_SMALL
    }
}

/// The memory for bodies, and what takes it.
#[derive(Debug)]
pub struct Budget {
    limit: Bytes,
    next: u64,
    /// Sorted by id.
    holdings: Vec<Holding>,
}

impl Budget {
    /// A budget of this size.
    #[must_use]
    pub fn new(limit: Bytes) -> Self {
        Self {
            limit,
            next: 0,
            holdings: Vec::new(),
        }
    }

    /// Changes its size. Bodies that were granted memory keep it.
    pub fn set_limit(&mut self, limit: Bytes) {
        self.limit = limit;
    }

    /// Memory that is taken.
    #[must_use]
    pub fn held(&self) -> Bytes {
        total(self.holdings.iter())
    }

    /// Number of bodies that are being read.
    #[must_use]
    pub fn reading(&self) -> usize {
        let reading = self.holdings.iter().filter(|body| body.grew_at.is_some());
        reading.count()
    }

    /// Adds a body that is being read and takes no memory yet.
    pub fn begin(&mut self, now: Time) -> Id {
        let id = Id(self.next);
        self.next += 1;
        self.holdings.push(Holding {
            id,
            size: Bytes(0),
            grew_at: Some(now),
        });
        id
    }

    /// Grants a body more memory. Returns the bodies that lose theirs for it, in order.
    ///
    /// # Errors
    /// There is not enough that others could make room for; the body loses its memory itself.
    pub fn grow(&mut self, now: Time, id: Id, more: Bytes) -> Result<Vec<Id>, Error> {
        let index = self.index(id).map_err(|_evicted| Error::Exhausted)?;
        let grown = &mut self.holdings[index];
        grown.size = grown.size.plus(more);
        grown.grew_at = Some(now);
        let mut evicted = self.make_room(id, self.holdings[index].is_large());
        match &evicted {
            Some(ids) => {
                for id in ids {
                    self.end(*id);
                }
            }
            None => self.end(id),
        }
        evicted.take().ok_or(Error::Exhausted)
    }

    /// The bodies that have to go so that the others fit; none if that is not enough.
    fn make_room(&self, grown: Id, is_large: bool) -> Option<Vec<Id>> {
        let reserve = Bytes(self.limit.0 / RESERVE_DIVISOR);
        let large = total(self.holdings.iter().filter(|body| body.is_large()));
        let mut large_excess = if is_large {
            large.minus(self.limit.minus(reserve))
        } else {
            Bytes(0)
        };
        let mut excess = self.held().minus(self.limit);
        let others = self.holdings.iter().filter(|body| body.id != grown);
        let mut candidates: Vec<&Holding> = others.filter(|body| body.grew_at.is_some()).collect();
        if excess.max(large_excess).0 > 0 {
            candidates.sort_by_key(|body| (!body.is_large(), body.grew_at));
        }
        let mut evicted = Vec::new();
        for body in candidates {
            if excess.max(large_excess).0 == 0 {
                break;
            }
            // Small bodies make no room among the large ones, and those without memory none at all.
            if body.size.0 == 0 || (excess.0 == 0 && !body.is_large()) {
                continue;
            }
            if body.is_large() {
                large_excess = large_excess.minus(body.size);
            }
            excess = excess.minus(body.size);
            evicted.push(body.id);
        }
        (excess.max(large_excess).0 == 0).then_some(evicted)
    }

    /// Records that a body is complete: it keeps its memory until it ends.
    pub fn complete(&mut self, id: Id) {
        if let Ok(index) = self.index(id) {
            self.holdings[index].grew_at = None;
        }
    }

    /// Takes the memory of a body back.
    pub fn end(&mut self, id: Id) {
        if let Ok(index) = self.index(id) {
            self.holdings.remove(index);
        }
    }

    fn index(&self, id: Id) -> Result<usize, usize> {
        self.holdings.binary_search_by_key(&id, |body| body.id)
    }
}

fn total<'a>(holdings: impl Iterator<Item = &'a Holding>) -> Bytes {
    Bytes(holdings.map(|body| body.size.0).sum())
}
