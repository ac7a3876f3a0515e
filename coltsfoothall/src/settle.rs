//! Effects of a request once its backup holds a change, and the invariants checked after each
//! step.

use crate::record::{Cause, Change, End};
use crate::request::{Phase, Request};
use crate::step::{Action, Broken};

impl Request {
    /// Applies the effects that waited for the backup.
    pub(crate) fn settle(&mut self, out: &mut Vec<Action>) -> Result<(), Broken> {
        if matches!(self.phase, Phase::Open | Phase::Ending(_)) {
            self.release(out);
        }
        let ready = self.waiting.as_ref().is_some_and(|a| self.log.holds(a.seq));
        if ready && self.phase == Phase::Open {
            self.start(out)?;
        }
        if let (Phase::Ending(seq), Some(end)) = (self.phase, self.record.end)
            && self.log.holds(seq)
        {
            self.phase = Phase::Ended;
            let retry_after = self.retry_after;
            out.push(Action::Finish { end, retry_after });
        }
        Ok(())
    }

    fn release(&mut self, out: &mut Vec<Action>) {
        let tokens = self.log.tokens();
        if tokens > self.released {
            self.released = tokens;
            out.push(Action::Release { tokens });
        }
    }

    fn start(&mut self, out: &mut Vec<Action>) -> Result<(), Broken> {
        let Some(mut next) = self.waiting.take() else {
            return Ok(());
        };
        self.starts += 1;
        if !self.record.intake.idempotent && self.starts > 1 {
            return Err(Broken::Again(self.record.intake.name.clone()));
        }
        if let Some(old) = self.running.take() {
            out.push(Action::Abort {
                attempt: old.number,
            });
        }
        next.offset = self.record.tokens();
        out.push(Action::Start {
            attempt: next.number,
            endpoint: next.endpoint.clone(),
            resume: self.record.text.clone(),
            offset: next.offset,
        });
        self.running = Some(next);
        Ok(())
    }

    pub(crate) fn check(&self) -> Result<(), Broken> {
        let name = &self.record.intake.name;
        let held = self.log.tokens();
        if self.released > held {
            return Err(Broken::Released(name.clone(), self.released, held));
        }
        let Some(running) = &self.running else {
            return Ok(());
        };
        if self.phase != Phase::Open {
            return Err(Broken::Running(name.clone(), running.number));
        }
        if !self.log.holds(running.seq) {
            return Err(Broken::Unbacked(name.clone(), running.number));
        }
        Ok(())
    }

    /// Ends a request that violated an invariant.
    pub(crate) fn stop(&mut self, out: &mut Vec<Action>) {
        out.retain(|action| matches!(action, Action::Record { .. } | Action::Abort { .. }));
        self.abort(out);
        if self.record.end.is_some() {
            return;
        }
        let end = End::Unknown(Cause::Failed);
        if let Ok(seq) = self.change(Change::End(end), out) {
            self.phase = Phase::Ending(seq);
        }
    }
}
