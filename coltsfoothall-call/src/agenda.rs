//! What is still to happen in a run, in order of time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use coltsfoothall::clock::Time;

/// What happens next.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Next {
    Arrive(usize),
    Submit { number: usize, attempt: u8 },
    Step(usize),
    Report(usize),
    Events(usize),
    Told { engine: usize, report: u32 },
    Tick(usize),
    Deadline(usize),
    Again(usize),
    Reclaim(usize),
    Heard { entry: usize, domain: usize },
    Gone(usize),
    Start { domain: usize, count: usize },
}

/// An event and its time; the count keeps events of one time in order.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    at: Time,
    count: u64,
    next: Next,
}

/// Events to come.
#[derive(Debug, Default)]
pub(crate) struct Agenda {
    entries: BinaryHeap<Reverse<Entry>>,
    count: u64,
}

impl Agenda {
    pub(crate) fn add(&mut self, at: Time, next: Next) {
        self.count += 1;
        let count = self.count;
        self.entries.push(Reverse(Entry { at, count, next }));
    }

    /// The next event and its time.
    pub(crate) fn take(&mut self) -> Option<(Time, Next)> {
        let Reverse(entry) = self.entries.pop()?;
        Some((entry.at, entry.next))
    }
}
