//! The attempts of this instance at endpoints: running ones, and broken ones that wait for
//! the probe of their endpoint.

use tokio::sync::mpsc::UnboundedSender;

use coltsfoothall::choice::Run;
use coltsfoothall::id;
use coltsfoothall::limit::Number;
use coltsfoothall::step::Input;

/// A running attempt.
#[derive(Debug)]
pub struct Running {
    /// The attempt's number.
    pub attempt: u64,
    /// The router's record of the run.
    pub run: Run,
    /// The admission that the attempt runs under.
    pub number: Number,
    /// Whether the admission is released when the attempt ends rather than when the request
    /// ends.
    pub ends_with_attempt: bool,
    /// Receives the result of a later probe.
    pub reply: UnboundedSender<Input>,
}

/// A broken attempt whose endpoint is being probed.
#[derive(Debug)]
struct Broken {
    attempt: u64,
    endpoint: id::Endpoint,
    reply: UnboundedSender<Input>,
}

/// The running and the broken attempts.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Sorted by attempt number.
    running: Vec<Running>,
    broken: Vec<Broken>,
}

impl Attempts {
    /// Number of running attempts.
    pub fn count(&self) -> usize {
        self.running.len()
    }

    /// Number of running attempts at an endpoint.
    pub fn count_at(&self, endpoint: &id::Endpoint) -> usize {
        self.endpoints()
            .filter(|running| *running == endpoint)
            .count()
    }

    /// Endpoints of the running attempts, one item per attempt.
    pub fn endpoints(&self) -> impl Iterator<Item = &id::Endpoint> {
        self.running.iter().map(|running| &running.run.endpoint)
    }

    /// Adds a running attempt. An attempt that is already running is left unchanged.
    pub fn begin(&mut self, running: Running) {
        if let Err(index) = self.find(running.attempt) {
            self.running.insert(index, running);
        }
    }

    /// A running attempt.
    pub fn get(&mut self, attempt: u64) -> Option<&mut Running> {
        let index = self.find(attempt).ok()?;
        Some(&mut self.running[index])
    }

    /// Removes a running attempt.
    pub fn end(&mut self, attempt: u64) -> Option<Running> {
        let index = self.find(attempt).ok()?;
        Some(self.running.remove(index))
    }

    /// Adds a broken attempt. `reply` receives the result of the probe of its endpoint.
    pub fn add_broken(
        &mut self,
        attempt: u64,
        endpoint: &id::Endpoint,
        reply: UnboundedSender<Input>,
    ) {
        let endpoint = endpoint.clone();
        self.broken.push(Broken {
            attempt,
            endpoint,
            reply,
        });
    }

    /// Removes a broken attempt whose endpoint is alive, and returns its reply channel.
    pub fn remove_broken(&mut self, attempt: u64) -> Option<UnboundedSender<Input>> {
        let index = self
            .broken
            .iter()
            .position(|broken| broken.attempt == attempt)?;
        Some(self.broken.swap_remove(index).reply)
    }

    /// Removes the broken attempts of a dead endpoint, and returns their number.
    pub fn remove_broken_at(&mut self, endpoint: &id::Endpoint) -> usize {
        let before = self.broken.len();
        self.broken.retain(|broken| broken.endpoint != *endpoint);
        before - self.broken.len()
    }

    fn find(&self, attempt: u64) -> Result<usize, usize> {
        self.running
            .binary_search_by_key(&attempt, |running| running.attempt)
    }
}
