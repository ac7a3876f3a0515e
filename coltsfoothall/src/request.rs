//! The life of one request at its owner.
//!
//! Three rules carry the promises. Each change is recorded, and what follows
//! from it waits until the backup holds it: an attempt is started after its
//! [`Change::Sent`], tokens are released after their [`Change::Part`], the
//! caller is told after [`Change::End`]. An answer is whole only with its end
//! marker. Whoever is sealed does nothing more.
//!
//! A move away from a leaving endpoint leaves the old attempt running until
//! the new one may start, and asks neither budget nor number of attempts: it
//! is no failure. Moves are bounded by the deadline and by the number of
//! endpoints, as one that left is not chosen again.

use std::time::Duration;

use crate::attempt::Attempt;
use crate::clock::Time;
use crate::id;
use crate::log::Log;
use crate::record::{Cause, Change, End, Intake, Record};
pub use crate::step::{Action, Broken, Dropped, Input};

/// Bounds on retries.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Most attempts that fail without notice, for each owner; it stops one
    /// request from multiplying load.
    pub attempts: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self { attempts: 4 }
    }
}

/// What the search for the next endpoint waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Search {
    Off,
    Budget,
    Pick,
    Later(Time),
}

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Before [`Input::Begin`].
    New,
    Open,
    /// Its end is the change of this number; the caller is not told yet.
    Ending(u64),
    Told,
    Sealed,
}

/// One request at its owner.
#[derive(Debug, Clone)]
pub struct Request {
    pub(crate) settings: Settings,
    pub(crate) record: Record,
    pub(crate) log: Log,
    pub(crate) phase: Phase,
    pub(crate) search: Search,
    pub(crate) deadline: Time,
    /// Whether the record came from another owner.
    resumed: bool,
    pub(crate) released: u64,
    pub(crate) running: Option<Attempt>,
    /// The attempt that starts once the backup holds its change.
    pub(crate) waiting: Option<Attempt>,
    /// Endpoints that are gone or going, sorted.
    pub(crate) gone: Vec<id::Endpoint>,
    /// Endpoints that failed, sorted; tried again if nothing else is there.
    pub(crate) failed: Vec<id::Endpoint>,
    pub(crate) failures: u32,
    /// Attempts started, less those refused before they began.
    pub(crate) starts: u32,
    pub(crate) retry_after: Option<Duration>,
}

impl Request {
    /// A request that its caller sent just now.
    #[must_use]
    pub fn new(intake: Intake, now: Time, settings: Settings) -> Self {
        Self::build(Record::new(intake), now, settings, false)
    }

    /// A request taken over from another owner, whose record arrived at
    /// `accepted` on this instance's clock.
    ///
    /// The new owner grants its own number of attempts, as the record counts
    /// moves too.
    #[must_use]
    pub fn resume(record: Record, accepted: Time, settings: Settings) -> Self {
        Self::build(record, accepted, settings, true)
    }

    fn build(record: Record, accepted: Time, settings: Settings, resumed: bool) -> Self {
        Self {
            settings,
            log: Log::new(record.tokens()),
            phase: Phase::New,
            search: Search::Off,
            deadline: accepted + record.intake.deadline.duration(),
            resumed,
            released: 0,
            running: None,
            waiting: None,
            gone: Vec::new(),
            failed: Vec::new(),
            failures: 0,
            starts: 0,
            retry_after: None,
            record,
        }
    }

    /// Its record, with the changes that the backup may not hold yet.
    #[must_use]
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Number of the last change; a copy of the record holds the changes up to it.
    #[must_use]
    pub fn seq(&self) -> u64 {
        self.log.recorded()
    }

    /// Tokens that callers may see.
    #[must_use]
    pub fn released(&self) -> u64 {
        self.released
    }

    /// The end, once callers may know it.
    #[must_use]
    pub fn end(&self) -> Option<End> {
        let told = self.phase == Phase::Told;
        self.record.end.filter(|_| told)
    }

    /// When it is given up.
    #[must_use]
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// The attempt that runs, with its endpoint.
    #[must_use]
    pub fn running(&self) -> Option<&Attempt> {
        self.running.as_ref()
    }

    /// Whether it needs no further input.
    #[must_use]
    pub fn over(&self) -> bool {
        matches!(self.phase, Phase::Told | Phase::Sealed)
    }

    /// When the next [`Input::Tick`] is due.
    #[must_use]
    pub fn wake(&self) -> Option<Time> {
        match (self.phase, self.search) {
            (Phase::Open, Search::Later(at)) => Some(at.min(self.deadline)),
            (Phase::Open, _) => Some(self.deadline),
            (Phase::New | Phase::Ending(_) | Phase::Told | Phase::Sealed, _) => None,
        }
    }

    /// Takes an input and adds what is to be done to `actions`.
    ///
    /// Before [`Input::Begin`] only news of the backup and of endpoints count.
    ///
    /// # Errors
    /// A rule is broken. What was to be done, but for the records, is withdrawn;
    /// the request ends as unknown and its attempts are aborted.
    pub fn handle(
        &mut self,
        now: Time,
        input: Input,
        actions: &mut Vec<Action>,
    ) -> Result<(), Broken> {
        let mut out = Vec::new();
        let result = self
            .step(now, input, &mut out)
            .and_then(|()| self.settle(&mut out))
            .and_then(|()| self.check());
        if result.is_err() {
            self.stop(&mut out);
        }
        actions.append(&mut out);
        result
    }

    fn step(&mut self, now: Time, input: Input, out: &mut Vec<Action>) -> Result<(), Broken> {
        if let Some(done) = self.step_backup(&input, out) {
            return done;
        }
        match self.phase {
            Phase::New => self.step_new(input, out),
            Phase::Open if now >= self.deadline => {
                late(&input, out);
                self.give_up(Cause::Deadline, out)
            }
            Phase::Open => self.step_open(now, input, out),
            Phase::Ending(_) | Phase::Told | Phase::Sealed => {
                late(&input, out);
                Ok(())
            }
        }
    }

    /// News of the backup, which count in every phase but the last.
    fn step_backup(&mut self, input: &Input, out: &mut Vec<Action>) -> Option<Result<(), Broken>> {
        let sealed = self.phase == Phase::Sealed;
        match input {
            Input::Acked { .. }
            | Input::Unreplicated
            | Input::Replicated
            | Input::Retracted
            | Input::Sealed
                if sealed =>
            {
                Some(Ok(()))
            }
            Input::Retracted => {
                if let Some(End::NotRun(cause)) = self.record.end {
                    self.record.end = Some(End::Unknown(cause));
                }
                Some(Ok(()))
            }
            Input::Acked { seq } => Some(self.acked(*seq)),
            Input::Unreplicated => Some(self.unreplicated(out)),
            Input::Replicated => {
                self.log.set_unreplicated(false);
                Some(Ok(()))
            }
            Input::Sealed => {
                self.abort(out);
                self.phase = Phase::Sealed;
                Some(Ok(()))
            }
            _ => None,
        }
    }

    fn step_new(&mut self, input: Input, out: &mut Vec<Action>) -> Result<(), Broken> {
        match input {
            Input::Begin => return self.begin(out),
            Input::Leaving { endpoint, .. } | Input::EndpointDied { endpoint } => {
                insert(&mut self.gone, endpoint);
            }
            other => late(&other, out),
        }
        Ok(())
    }

    fn step_open(&mut self, now: Time, input: Input, out: &mut Vec<Action>) -> Result<(), Broken> {
        match input {
            Input::Picked { endpoint, attempt } => self.picked(now, endpoint, attempt, out),
            Input::NoPick { cause, retry_after } => self.no_pick(now, cause, retry_after, out),
            Input::GivenUp { cause, retry_after } => self.given_up(cause, retry_after, out),
            Input::Refused { attempt } | Input::Unsent { attempt } => self.refused(attempt, out),
            Input::Chunk {
                attempt,
                part,
                cached,
            } => {
                if !self.current(attempt, out) {
                    return Ok(());
                }
                self.note_cached(cached, out);
                self.chunk(part, out)
            }
            Input::Answer { attempt, answer } if self.current(attempt, out) => {
                self.answer(answer, out)
            }
            Input::Ended { attempt } if self.current(attempt, out) => self.ended(out),
            Input::Broke { attempt } if self.current(attempt, out) => self.broke(out),
            Input::Leaving { endpoint, finishes } => self.leaving(endpoint, finishes, out),
            Input::EndpointDied { endpoint } => self.died(endpoint, out),
            Input::Poisoned => self.give_up(Cause::Poisonous, out),
            Input::Cancel => self.give_up(Cause::Cancelled, out),
            Input::Tick => match self.search {
                Search::Later(at) if now >= at => self.pick(out),
                _ => Ok(()),
            },
            Input::Budget { granted } if self.search == Search::Budget => {
                if granted {
                    self.pick(out)
                } else {
                    self.give_up(Cause::Failed, out)
                }
            }
            _ => Ok(()),
        }
    }

    fn begin(&mut self, out: &mut Vec<Action>) -> Result<(), Broken> {
        self.phase = Phase::Open;
        if !self.resumed {
            let seq = self.log.add(0);
            let change = Change::Accept(Box::new(self.record.intake.clone()));
            out.push(Action::Record { seq, change });
            return self.pick(out);
        }
        if self.record.end.is_some() {
            // The record holds its end, so it is held: number 0 is before all changes.
            self.phase = Phase::Ending(0);
            return Ok(());
        }
        if self.record.is_complete() {
            return self.finish(End::Done, out);
        }
        if self.record.begun() && !self.record.intake.idempotent {
            return self.finish(End::Unknown(Cause::OwnerLost), out);
        }
        self.pick(out)
    }

    fn acked(&mut self, seq: u64) -> Result<(), Broken> {
        if self.log.ack(seq) {
            return Ok(());
        }
        let name = self.record.intake.name.clone();
        Err(Broken::Unrecorded(name, seq, self.log.recorded()))
    }

    fn unreplicated(&mut self, out: &mut Vec<Action>) -> Result<(), Broken> {
        let unsafe_now = !self.record.intake.idempotent && self.running.is_none();
        if unsafe_now && self.phase == Phase::Open {
            self.give_up(Cause::NotSafe, out)?;
        }
        self.log.set_unreplicated(true);
        Ok(())
    }

    /// Takes the waiting attempt back; it was never sent.
    pub(crate) fn withdraw(&mut self, out: &mut Vec<Action>) -> Result<(), Broken> {
        if let Some(waiting) = self.waiting.take() {
            let attempt = waiting.number;
            self.change(Change::Refused { attempt }, out)?;
            out.push(Action::Abort { attempt });
        }
        Ok(())
    }

    /// Ends it without a whole answer, as far as anybody can say.
    pub(crate) fn give_up(&mut self, cause: Cause, out: &mut Vec<Action>) -> Result<(), Broken> {
        self.withdraw(out)?;
        let end = if self.record.begun() {
            End::Unknown(cause)
        } else {
            End::NotRun(cause)
        };
        self.finish(end, out)
    }

    pub(crate) fn finish(&mut self, end: End, out: &mut Vec<Action>) -> Result<(), Broken> {
        self.withdraw(out)?;
        self.abort(out);
        let seq = self.change(Change::End(end), out)?;
        self.phase = Phase::Ending(seq);
        Ok(())
    }

    /// Stops all that goes on.
    pub(crate) fn abort(&mut self, out: &mut Vec<Action>) {
        self.search = Search::Off;
        let stopped = [self.running.take(), self.waiting.take()];
        for attempt in stopped.into_iter().flatten() {
            out.push(Action::Abort {
                attempt: attempt.number,
            });
        }
    }

    /// Applies and records a change.
    pub(crate) fn change(&mut self, change: Change, out: &mut Vec<Action>) -> Result<u64, Broken> {
        self.record.apply(change.clone())?;
        let seq = self.log.add(self.record.tokens());
        out.push(Action::Record { seq, change });
        Ok(seq)
    }
}

/// Drops what comes for a request that does not run.
fn late(input: &Input, out: &mut Vec<Action>) {
    match input {
        Input::Picked { attempt, .. } => out.push(Action::Abort { attempt: *attempt }),
        Input::Chunk { .. } | Input::Answer { .. } => out.push(Action::Count(Dropped::Late)),
        _ => {}
    }
}

pub(crate) fn insert(endpoints: &mut Vec<id::Endpoint>, endpoint: id::Endpoint) {
    if let Err(at) = endpoints.binary_search(&endpoint) {
        endpoints.insert(at, endpoint);
    }
}
