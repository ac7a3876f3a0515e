//! Picks that wait at the gate to be admitted.

use tokio::sync::mpsc::UnboundedSender;

use coltsfoothall::choice::Run;
use coltsfoothall::id;
use coltsfoothall::limit::Number;
use coltsfoothall::step::Input;

use crate::attempt::Running;
use crate::pick::Pick;

/// A pick that waits to be admitted.
#[derive(Debug)]
pub struct Waiting {
    /// Its admission.
    pub number: Number,
    /// Whether the admission is released when the attempt ends rather than when the request
    /// ends.
    pub ends_with_attempt: bool,
    /// The requested pick.
    pub pick: Pick,
    /// Receives the chosen endpoint.
    pub reply: UnboundedSender<Input>,
}

impl Waiting {
    /// Turns the pick into a running attempt.
    pub fn start(self, run: Run) -> Running {
        let Self {
            number,
            ends_with_attempt,
            pick,
            reply,
        } = self;
        let attempt = pick.attempt;
        Running {
            attempt,
            run,
            number,
            ends_with_attempt,
            reply,
        }
    }
}

/// The waiting picks, in order of arrival.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: Vec<Waiting>,
}

impl Queue {
    /// Number of waiting picks.
    pub fn count(&self) -> usize {
        self.waiting.len()
    }

    /// The services of the waiting picks, one item per pick.
    pub fn services(&self) -> impl Iterator<Item = &id::Service> {
        self.waiting
            .iter()
            .map(|waiting| &waiting.pick.ticket.service)
    }

    /// Adds a pick.
    pub fn push(&mut self, waiting: Waiting) {
        self.waiting.push(waiting);
    }

    /// Removes the pick of an admission.
    pub fn remove(&mut self, number: Number) -> Option<Waiting> {
        self.remove_first(|waiting| waiting.number == number)
    }

    /// Removes the pick of an abandoned attempt.
    pub fn remove_attempt(&mut self, attempt: u64) -> Option<Waiting> {
        self.remove_first(|waiting| waiting.pick.attempt == attempt)
    }

    fn remove_first(&mut self, matches: impl FnMut(&Waiting) -> bool) -> Option<Waiting> {
        let index = self.waiting.iter().position(matches)?;
        Some(self.waiting.remove(index))
    }
}
