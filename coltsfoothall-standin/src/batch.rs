//! Service times of an engine that batches continuously.
//!
//! A step reads a bounded piece of the waiting prompts and makes one token for
//! each request whose prompt is read. It takes a base time, a time for each
//! decoding request, and the time of the prompt tokens read in it.

use std::time::Duration;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use coltsfoothall::clock::Time;
use coltsfoothall::prefix::Block;
use coltsfoothall::size::Tokens;
use coltsfoothall_wire::engine::{Attempt, Load, Priority};

use crate::cache::Cache;

quick_error! {
    /// A request that the engine does not take.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Error {
        /// The queue is full.
        Full(limit: usize) {
            display("queue holds {limit} requests already")
        }
        /// An attempt of this number waits or runs.
        Duplicate(attempt: Attempt) {
            display("attempt {attempt} is here already")
        }
    }
}

/// Speed and size of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Prompt tokens read in a second.
    pub prefill_rate: Tokens,
    /// Most prompt tokens read in one step, which bounds how long decoding waits.
    pub prefill_step: Tokens,
    /// Microseconds that a step takes at least.
    pub step_us: u64,
    /// Microseconds more for each decoding request.
    pub step_each_us: u64,
    /// Most requests in the batch.
    pub batch: usize,
    /// Most requests in the queue.
    pub queue: usize,
    /// Size of the prefix cache.
    pub cache: Tokens,
    /// Whether priorities are honoured.
    pub priorities: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            prefill_rate: Tokens(20_000),
            prefill_step: Tokens(2048),
            step_us: 8_000,
            step_each_us: 250,
            batch: 32,
            queue: 256,
            cache: Tokens(400_000),
            priorities: true,
        }
    }
}

/// A request to serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Its attempt.
    pub attempt: Attempt,
    /// Lower goes first.
    pub priority: Priority,
    /// Tokens to read before the first can be made.
    pub prompt: Tokens,
    /// Whole blocks of what is read.
    pub blocks: Vec<Block>,
    /// Tokens to make, at least one.
    pub tokens: u64,
}

/// A token made for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Output {
    /// The request's attempt.
    pub attempt: Attempt,
    /// With the first token: what was read from the cache.
    pub cached: Option<Tokens>,
    /// Whether it was the last token.
    pub done: bool,
}

/// Place in the queue: priority, then length where long prompts go first, then arrival.
type Rank = (Priority, u64, u64);

#[derive(Debug)]
struct Waiting {
    rank: Rank,
    job: Job,
}

#[derive(Debug)]
struct Running {
    job: Job,
    /// Prompt tokens still to read.
    left: u64,
    /// Prompt tokens read in the step under way.
    reading: u64,
    cached: Tokens,
    made: u64,
}

/// The requests of one engine.
#[derive(Debug)]
pub struct Batch {
    settings: Settings,
    /// The prefix cache.
    pub cache: Cache,
    /// Sorted by rank.
    queue: Vec<Waiting>,
    running: Vec<Running>,
    /// End of the step under way.
    ends: Option<Time>,
    /// No step ends before this time.
    stalled: Time,
    arrivals: u64,
    long_first: bool,
    computed: Tokens,
    saved: Tokens,
}

impl Batch {
    /// An idle engine.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            cache: Cache::new(settings.cache),
            queue: Vec::new(),
            running: Vec::new(),
            ends: None,
            stalled: Time::START,
            arrivals: 0,
            long_first: false,
            computed: Tokens(0),
            saved: Tokens(0),
        }
    }

    /// Takes a request.
    ///
    /// # Errors
    /// The queue is full or the attempt is here already; nothing was begun.
    pub fn submit(&mut self, now: Time, job: Job) -> Result<(), Error> {
        if self.has(job.attempt) {
            return Err(Error::Duplicate(job.attempt));
        }
        if self.queue.len() >= self.settings.queue {
            return Err(Error::Full(self.settings.queue));
        }
        let rank = self.rank(&job);
        let place = self.queue.partition_point(|waiting| waiting.rank < rank);
        self.queue.insert(place, Waiting { rank, job });
        if self.ends.is_none() {
            self.begin(now);
        }
        Ok(())
    }

    /// Ends a request; whether it was there.
    pub fn cancel(&mut self, attempt: Attempt) -> bool {
        let before = self.queue.len() + self.running.len();
        self.queue.retain(|waiting| waiting.job.attempt != attempt);
        self.running
            .retain(|running| running.job.attempt != attempt);
        self.queue.len() + self.running.len() < before
    }

    /// When the step under way ends; nothing while idle.
    #[must_use]
    pub fn next_at(&self) -> Option<Time> {
        self.ends.map(|ends| ends.max(self.stalled))
    }

    /// Ends the step under way if its time has come, and begins the next.
    ///
    /// One call ends one step; call again while [`Batch::next_at`] is past.
    pub fn step(&mut self, now: Time) -> Vec<Output> {
        let Some(ended) = self.next_at().filter(|ends| *ends <= now) else {
            return Vec::new();
        };
        let outputs = self.finish();
        self.begin(ended);
        outputs
    }

    /// Holds all steps until a time.
    pub fn stall(&mut self, until: Time) {
        self.stalled = self.stalled.max(until);
    }

    /// Sets whether long prompts go before short ones of the same priority.
    pub fn prefer_long(&mut self, long_first: bool) {
        self.long_first = long_first;
    }

    /// Whether a request waits or runs.
    #[must_use]
    pub fn has(&self, attempt: Attempt) -> bool {
        let waits = self.queue.iter().any(|w| w.job.attempt == attempt);
        waits || self.running.iter().any(|r| r.job.attempt == attempt)
    }

    /// Load at this moment.
    #[must_use]
    pub fn load(&self) -> Load {
        let queued: u64 = self.queue.iter().map(|w| w.job.prompt.0).sum();
        let begun: u64 = self.running.iter().map(|r| r.left).sum();
        Load {
            running: count(self.running.len()),
            waiting: count(self.queue.len()),
            prefill: Tokens(queued + begun),
            cached: self.cache.held(),
            capacity: self.cache.capacity(),
            boot: None,
        }
    }

    /// Prompt tokens read so far.
    #[must_use]
    pub fn computed(&self) -> Tokens {
        self.computed
    }

    /// Prompt tokens found in the cache so far.
    #[must_use]
    pub fn saved(&self) -> Tokens {
        self.saved
    }

    fn rank(&mut self, job: &Job) -> Rank {
        self.arrivals += 1;
        let priority = if self.settings.priorities {
            job.priority
        } else {
            0
        };
        let short = if self.long_first {
            u64::MAX - job.prompt.0
        } else {
            0
        };
        (priority, short, self.arrivals)
    }

    /// Begins a step with what is here, or goes idle.
    fn begin(&mut self, now: Time) {
        self.admit();
        if self.running.is_empty() {
            self.ends = None;
            return;
        }
        let mut budget = self.settings.prefill_step.0.max(1);
        let mut reading = 0;
        let mut decoding = 0;
        for running in &mut self.running {
            running.reading = running.left.min(budget);
            budget -= running.reading;
            reading += running.reading;
            decoding += u64::from(running.left == 0);
        }
        self.ends = Some(now + self.duration(reading, decoding));
    }

    fn duration(&self, reading: u64, decoding: u64) -> Duration {
        let rate = self.settings.prefill_rate.0.max(1);
        let prefill = reading.saturating_mul(1_000_000) / rate;
        let decode = decoding.saturating_mul(self.settings.step_each_us);
        // A step without length would never let the time pass.
        let micros = prefill + decode + self.settings.step_us.max(1);
        Duration::from_micros(micros)
    }

    fn admit(&mut self) {
        let room = self.settings.batch.max(1) - self.running.len();
        let taken = room.min(self.queue.len());
        for waiting in self.queue.drain(..taken) {
            let job = waiting.job;
            let cached = self.cache.touch(&job.blocks);
            // The last token is always read: it gives the first one of the answer.
            let left = job.prompt.minus(cached).0.max(1);
            let cached = job.prompt.minus(Tokens(left));
            self.saved = self.saved.plus(cached);
            self.running.push(Running {
                job,
                left,
                reading: 0,
                cached,
                made: 0,
            });
        }
    }

    /// Ends the step: prompts read on, one token for each request that is past its prompt.
    fn finish(&mut self) -> Vec<Output> {
        let mut outputs = Vec::with_capacity(self.running.len());
        for running in &mut self.running {
            running.left -= running.reading;
            self.computed = self.computed.plus(Tokens(running.reading));
            running.reading = 0;
            if running.left > 0 {
                continue;
            }
            if running.made == 0 {
                self.cache.store(&running.job.blocks);
            }
            running.made += 1;
            outputs.push(running.output());
        }
        self.running
            .retain(|running| running.made < running.job.tokens.max(1));
        outputs
    }
}

impl Running {
    fn output(&self) -> Output {
        Output {
            attempt: self.job.attempt,
            cached: (self.made == 1).then_some(self.cached),
            done: self.made >= self.job.tokens,
        }
    }
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
