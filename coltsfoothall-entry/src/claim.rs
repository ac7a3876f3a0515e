//! Admissions that requests hold, and the time by which each has to be used.

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::limit::Number;

/// Time within which an admitted request must ask for an endpoint. A request that doesn't
/// has been dropped on the way, and its admission would otherwise be held for ever.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(30);

/// An admission that a request holds.
#[derive(Debug)]
struct Admission {
    number: Number,
    /// When the admission expires; `None` once its request has asked for an endpoint.
    expires: Option<Time>,
}

/// The admissions that requests hold.
#[derive(Debug, Default)]
pub struct Claims {
    /// Sorted by number.
    admissions: Vec<Admission>,
    /// Admissions that the gate has granted, sorted.
    ready: Vec<Number>,
}

impl Claims {
    /// Adds an admission, granted or still waiting, that its request has to claim within
    /// [`CLAIM_TIMEOUT`].
    pub fn add(&mut self, now: Time, number: Number) {
        if let Err(index) = self.find(number) {
            self.admissions.insert(
                index,
                Admission {
                    number,
                    expires: Some(now + CLAIM_TIMEOUT),
                },
            );
        }
    }

    /// Marks an admission as granted by the gate.
    pub fn set_ready(&mut self, number: Number) {
        if let Err(index) = self.ready.binary_search(&number) {
            self.ready.insert(index, number);
        }
    }

    /// Whether the gate has granted the admission.
    pub fn is_ready(&self, number: Number) -> bool {
        self.ready.binary_search(&number).is_ok()
    }

    /// Marks an admission as used. Returns false if it is no longer held.
    pub fn claim(&mut self, number: Number) -> bool {
        self.find(number)
            .map(|index| self.admissions[index].expires = None)
            .is_ok()
    }

    /// Removes an admission, because its request is over or was refused while it waited.
    pub fn remove(&mut self, number: Number) {
        if let Ok(index) = self.ready.binary_search(&number) {
            self.ready.remove(index);
        }
        if let Ok(index) = self.find(number) {
            self.admissions.remove(index);
        }
    }

    /// Admissions that were not claimed in time.
    pub fn expired(&self, now: Time) -> Vec<Number> {
        let expired =
            |admission: &&Admission| admission.expires.is_some_and(|expires| expires <= now);
        self.admissions
            .iter()
            .filter(expired)
            .map(|admission| admission.number)
            .collect()
    }

    fn find(&self, number: Number) -> Result<usize, usize> {
        self.admissions
            .binary_search_by_key(&number, |admission| admission.number)
    }
}
