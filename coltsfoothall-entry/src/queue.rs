//! Picks that wait at the gate until their turn comes.

use tokio::sync::mpsc::UnboundedSender;

use coltsfoothall::choice::Run;
use coltsfoothall::id;
use coltsfoothall::limit::Number;
use coltsfoothall::step::Input;

use crate::attempt::Open;
use crate::pick::Pick;

/// A pick that waits at the gate.
#[derive(Debug)]
pub struct Waiting {
    /// Its place at the gate.
    pub number: Number,
    /// Whether the place at the gate ends with the attempt, not the request.
    pub own: bool,
    /// What it asks for.
    pub pick: Pick,
    /// Gets the choice.
    pub reply: UnboundedSender<Input>,
}

impl Waiting {
    /// Its attempt, which begins as a run at an endpoint.
    pub fn open(self, run: Run) -> Open {
        let Self {
            number,
            own,
            pick,
            reply,
        } = self;
        let attempt = pick.attempt;
        Open {
            attempt,
            run,
            number,
            own,
            reply,
        }
    }
}

/// All picks that wait, in the order in which they came.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: Vec<Waiting>,
}

impl Queue {
    /// Picks that wait.
    pub fn count(&self) -> usize {
        self.waiting.len()
    }

    /// Services that the picks ask for.
    pub fn services(&self) -> impl Iterator<Item = &id::Service> {
        self.waiting
            .iter()
            .map(|waiting| &waiting.pick.ticket.service)
    }

    /// Lets a pick wait.
    pub fn push(&mut self, waiting: Waiting) {
        self.waiting.push(waiting);
    }

    /// Takes the pick of a place at the gate.
    pub fn take(&mut self, number: Number) -> Option<Waiting> {
        self.take_first(|waiting| waiting.number == number)
    }

    /// Takes the pick of an attempt that was given up.
    pub fn take_attempt(&mut self, attempt: u64) -> Option<Waiting> {
        self.take_first(|waiting| waiting.pick.attempt == attempt)
    }

    fn take_first(&mut self, is: impl FnMut(&Waiting) -> bool) -> Option<Waiting> {
        let at = self.waiting.iter().position(is)?;
        Some(self.waiting.remove(at))
    }
}
