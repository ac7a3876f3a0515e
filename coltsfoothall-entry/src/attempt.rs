//! This instance's attempts at endpoints: those under way, and those that broke
//! and wait for what the trial of their endpoint finds.

use tokio::sync::mpsc::UnboundedSender;

use coltsfoothall::choice::Run;
use coltsfoothall::id;
use coltsfoothall::limit::Number;
use coltsfoothall::step::Input;

/// An attempt under way.
#[derive(Debug)]
pub struct Open {
    /// Its number.
    pub attempt: u64,
    /// Its run, as the router knows it.
    pub run: Run,
    /// The place at the gate.
    pub number: Number,
    /// Whether the place at the gate ends with the attempt, not the request.
    pub own: bool,
    /// Gets what a later finding says of the attempt.
    pub reply: UnboundedSender<Input>,
}

/// An attempt that broke and whose endpoint is on trial.
#[derive(Debug)]
struct Broken {
    attempt: u64,
    endpoint: id::Endpoint,
    reply: UnboundedSender<Input>,
}

/// All attempts.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Sorted by attempt.
    open: Vec<Open>,
    broken: Vec<Broken>,
}

impl Attempts {
    /// Attempts under way.
    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// Attempts under way at an endpoint.
    pub fn at(&self, endpoint: &id::Endpoint) -> usize {
        self.endpoints().filter(|at| *at == endpoint).count()
    }

    /// Endpoints of the attempts under way.
    pub fn endpoints(&self) -> impl Iterator<Item = &id::Endpoint> {
        self.open.iter().map(|open| &open.run.endpoint)
    }

    /// An attempt begins; one that is under way already stays as it is.
    pub fn begin(&mut self, open: Open) {
        if let Err(at) = self.find(open.attempt) {
            self.open.insert(at, open);
        }
    }

    /// An attempt under way.
    pub fn get(&mut self, attempt: u64) -> Option<&mut Open> {
        let at = self.find(attempt).ok()?;
        Some(&mut self.open[at])
    }

    /// An attempt is under way no more.
    pub fn end(&mut self, attempt: u64) -> Option<Open> {
        let at = self.find(attempt).ok()?;
        Some(self.open.remove(at))
    }

    /// An attempt broke; `reply` gets what the trial of its endpoint finds.
    pub fn broke(&mut self, attempt: u64, at: &id::Endpoint, reply: UnboundedSender<Input>) {
        let endpoint = at.clone();
        self.broken.push(Broken {
            attempt,
            endpoint,
            reply,
        });
    }

    /// The endpoint of a broken attempt lives; gives who is to be told.
    pub fn lives(&mut self, attempt: u64) -> Option<UnboundedSender<Input>> {
        let at = self
            .broken
            .iter()
            .position(|broken| broken.attempt == attempt)?;
        Some(self.broken.swap_remove(at).reply)
    }

    /// The endpoint of broken attempts is dead; gives how many they were.
    pub fn dead(&mut self, endpoint: &id::Endpoint) -> usize {
        let before = self.broken.len();
        self.broken.retain(|broken| broken.endpoint != *endpoint);
        before - self.broken.len()
    }

    fn find(&self, attempt: u64) -> Result<usize, usize> {
        self.open
            .binary_search_by_key(&attempt, |open| open.attempt)
    }
}
