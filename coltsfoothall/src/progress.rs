//! How a request gets on: endpoints are chosen, attempts answer, break or move.
//!
//! [`Request`] keeps the rules of beginning, ending and of what the backup holds.

use std::time::Duration;

use crate::attempt::{Attempt, ChunkKind};
use crate::clock::Time;
use crate::id;
use crate::record::{Answer, Cause, Change, End, Part};
use crate::request::{Phase, Request, Search, insert};
use crate::size::Tokens;
use crate::step::{Action, Broken, Dropped};

/// Shortest time between two asks for an endpoint; it stops a busy loop.
const PAUSE: Duration = Duration::from_millis(20);

impl Request {
    /// Asks for an endpoint.
    pub(crate) fn pick(&mut self, out: &mut Vec<Action>) -> Result<(), Broken> {
        if !self.record.intake.idempotent && self.log.unreplicated() {
            return self.give_up(Cause::NotSafe, out);
        }
        let mut exclude = self.gone.clone();
        for endpoint in &self.failed {
            insert(&mut exclude, endpoint.clone());
        }
        self.search = Search::Pick;
        out.push(Action::Pick { exclude });
        Ok(())
    }

    pub(crate) fn picked(
        &mut self,
        now: Time,
        endpoint: id::Endpoint,
        attempt: u64,
        out: &mut Vec<Action>,
    ) -> Result<(), Broken> {
        if self.search != Search::Pick {
            out.push(Action::Abort { attempt });
            return Ok(());
        }
        if self.gone.binary_search(&endpoint).is_ok() {
            // Its notice crossed the choice.
            out.push(Action::Abort { attempt });
            self.search = Search::Later(now + PAUSE);
            return Ok(());
        }
        self.search = Search::Off;
        let change = Change::Sent {
            attempt,
            endpoint: endpoint.clone(),
        };
        let seq = self.change(change, out)?;
        self.waiting = Some(Attempt::new(attempt, endpoint, seq));
        Ok(())
    }

    pub(crate) fn no_pick(
        &mut self,
        now: Time,
        cause: Cause,
        retry_after: Duration,
        out: &mut Vec<Action>,
    ) -> Result<(), Broken> {
        if self.search != Search::Pick {
            return Ok(());
        }
        self.failed.clear();
        let at = now + retry_after.max(PAUSE);
        if at < self.deadline {
            self.search = Search::Later(at);
            return Ok(());
        }
        self.given_up(cause, retry_after, out)
    }

    /// The search is over; an attempt that still runs may yet end it well.
    pub(crate) fn given_up(
        &mut self,
        cause: Cause,
        retry_after: Duration,
        out: &mut Vec<Action>,
    ) -> Result<(), Broken> {
        if self.search != Search::Pick {
            return Ok(());
        }
        self.search = Search::Off;
        if self.running.is_some() {
            return Ok(());
        }
        self.retry_after = Some(retry_after);
        self.give_up(cause, out)
    }

    /// Whether the attempt is the running one; else what came from it is dropped.
    pub(crate) fn current(&self, attempt: u64, out: &mut Vec<Action>) -> bool {
        let current = self.running.as_ref().is_some_and(|a| a.number == attempt);
        if !current {
            out.push(Action::Count(Dropped::Superseded));
        }
        current
    }

    pub(crate) fn refused(&mut self, attempt: u64, out: &mut Vec<Action>) -> Result<(), Broken> {
        if !self.current(attempt, out) {
            return Ok(());
        }
        if self.running.as_ref().is_some_and(|running| running.begun) {
            return self.spoiled(Dropped::Malformed, out);
        }
        let Some(refused) = self.running.take() else {
            return Ok(());
        };
        self.starts = self.starts.saturating_sub(1);
        self.change(Change::Refused { attempt }, out)?;
        insert(&mut self.failed, refused.endpoint);
        self.retry(refused.leaving, out)
    }

    pub(crate) fn note_cached(&mut self, cached: Option<Tokens>, out: &mut Vec<Action>) {
        if let (Some(running), Some(cached)) = (&self.running, cached)
            && !running.begun
        {
            out.push(Action::Cached {
                attempt: running.number,
                cached,
                resumed: running.offset,
            });
        }
    }

    pub(crate) fn chunk(&mut self, part: Part, out: &mut Vec<Action>) -> Result<(), Broken> {
        let Some(running) = &mut self.running else {
            return Ok(());
        };
        running.begun = true;
        match running.classify(&self.record, &part) {
            ChunkKind::Next => {
                self.change(Change::Part(part), out)?;
            }
            ChunkKind::Last => running.last = Some(part),
            ChunkKind::Empty => {}
            ChunkKind::Duplicate => out.push(Action::Count(Dropped::Duplicate)),
            ChunkKind::Gap => return self.spoiled(Dropped::Gap, out),
            ChunkKind::Malformed => return self.spoiled(Dropped::Malformed, out),
        }
        Ok(())
    }

    pub(crate) fn answer(
        &mut self,
        answer: Box<Answer>,
        out: &mut Vec<Action>,
    ) -> Result<(), Broken> {
        let Some(running) = &mut self.running else {
            return Ok(());
        };
        running.begun = true;
        if running.answer.as_ref() == Some(&answer) {
            out.push(Action::Count(Dropped::Duplicate));
            return Ok(());
        }
        if !running.takes(&self.record, &answer) {
            return self.spoiled(Dropped::Malformed, out);
        }
        running.answer = Some(answer);
        Ok(())
    }

    pub(crate) fn ended(&mut self, out: &mut Vec<Action>) -> Result<(), Broken> {
        let last = self.running.as_mut().and_then(|a| a.last.take());
        let answer = self.running.as_mut().and_then(|a| a.answer.take());
        let change = match (last, answer) {
            (Some(part), _) => Change::Part(part),
            (None, Some(answer)) => Change::Answer(answer),
            (None, None) => return self.spoiled(Dropped::Malformed, out),
        };
        self.running = None;
        self.change(change, out)?;
        self.finish(End::Done, out)
    }

    /// Gives up an attempt whose answer cannot be trusted to go on.
    fn spoiled(&mut self, why: Dropped, out: &mut Vec<Action>) -> Result<(), Broken> {
        out.push(Action::Count(why));
        if let Some(running) = &self.running {
            out.push(Action::Abort {
                attempt: running.number,
            });
        }
        self.broke(out)
    }

    pub(crate) fn broke(&mut self, out: &mut Vec<Action>) -> Result<(), Broken> {
        let Some(broken) = self.running.take() else {
            return Ok(());
        };
        if !self.record.intake.idempotent {
            return self.give_up(Cause::Failed, out);
        }
        insert(&mut self.failed, broken.endpoint);
        self.retry(broken.leaving, out)
    }

    /// Looks for another endpoint, unless that is under way.
    fn retry(&mut self, announced: bool, out: &mut Vec<Action>) -> Result<(), Broken> {
        if self.search != Search::Off || self.waiting.is_some() {
            return Ok(());
        }
        if announced {
            return self.pick(out);
        }
        self.failures += 1;
        if self.failures >= self.settings.attempts {
            return self.give_up(Cause::Failed, out);
        }
        self.search = Search::Budget;
        out.push(Action::Retry);
        Ok(())
    }

    pub(crate) fn leaving(
        &mut self,
        endpoint: id::Endpoint,
        finishes: bool,
        out: &mut Vec<Action>,
    ) -> Result<(), Broken> {
        let stays = finishes || !self.record.intake.idempotent;
        let mut moves = false;
        if let Some(running) = &mut self.running
            && running.endpoint == endpoint
        {
            running.leaving = true;
            moves = !stays;
        }
        moves |= self.withdraw_from(&endpoint, out)?;
        insert(&mut self.gone, endpoint);
        if moves {
            return self.retry(true, out);
        }
        Ok(())
    }

    pub(crate) fn died(
        &mut self,
        endpoint: id::Endpoint,
        out: &mut Vec<Action>,
    ) -> Result<(), Broken> {
        let withdrawn = self.withdraw_from(&endpoint, out)?;
        let ran = self
            .running
            .as_ref()
            .is_some_and(|a| a.endpoint == endpoint);
        insert(&mut self.gone, endpoint);
        if ran {
            self.broke(out)?;
        }
        if withdrawn && self.phase == Phase::Open {
            // Nothing ran there, so this is no retry.
            return self.retry(true, out);
        }
        Ok(())
    }

    /// Takes the waiting attempt back if it is for `endpoint`.
    fn withdraw_from(
        &mut self,
        endpoint: &id::Endpoint,
        out: &mut Vec<Action>,
    ) -> Result<bool, Broken> {
        let there = self
            .waiting
            .as_ref()
            .is_some_and(|a| a.endpoint == *endpoint);
        if there {
            self.withdraw(out)?;
        }
        Ok(there)
    }
}
