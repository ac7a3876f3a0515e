//! Places at the gate that requests hold, and until when they have to use them.

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::limit::Number;

/// Time in which an admitted request asks for its endpoint. One that does not
/// was dropped on its way, and its place would be taken for ever.
const CLAIM: Duration = Duration::from_secs(30);

/// A place at the gate.
#[derive(Debug)]
struct Held {
    number: Number,
    /// Until when its request has to ask for an endpoint, if it did not yet.
    claim: Option<Time>,
}

/// The places that are held.
#[derive(Debug, Default)]
pub struct Claims {
    /// Sorted by number.
    held: Vec<Held>,
    /// Admitted and not yet picked for, or queued; sorted.
    ready: Vec<Number>,
}

impl Claims {
    /// A request got a place, which it has to claim.
    pub fn hold(&mut self, now: Time, number: Number) {
        if let Err(at) = self.find(number) {
            self.held.insert(
                at,
                Held {
                    number,
                    claim: Some(now + CLAIM),
                },
            );
        }
    }

    /// A request's turn has come.
    pub fn set_ready(&mut self, number: Number) {
        if let Err(at) = self.ready.binary_search(&number) {
            self.ready.insert(at, number);
        }
    }

    /// Whether a request's turn has come.
    pub fn is_ready(&self, number: Number) -> bool {
        self.ready.binary_search(&number).is_ok()
    }

    /// A request asks for its endpoint; false if it has no place any more.
    pub fn claim(&mut self, number: Number) -> bool {
        self.find(number)
            .map(|at| self.held[at].claim = None)
            .is_ok()
    }

    /// A request is over, or was refused before its turn came.
    pub fn drop(&mut self, number: Number) {
        if let Ok(at) = self.ready.binary_search(&number) {
            self.ready.remove(at);
        }
        if let Ok(at) = self.find(number) {
            self.held.remove(at);
        }
    }

    /// Places that were not claimed in time.
    pub fn late(&self, now: Time) -> Vec<Number> {
        let late = |held: &&Held| held.claim.is_some_and(|claim| claim <= now);
        self.held
            .iter()
            .filter(late)
            .map(|held| held.number)
            .collect()
    }

    fn find(&self, number: Number) -> Result<usize, usize> {
        self.held.binary_search_by_key(&number, |held| held.number)
    }
}
