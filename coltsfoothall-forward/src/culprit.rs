//! Records which parts of prompts had runs at endpoints that crashed, exchanges that with the other
//! instances, and refuses requests with parts that are condemned.

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::crash::{self, Mark, Report};
use coltsfoothall::forward::culprit::{Change, Loss, Run};
use coltsfoothall::forward::role::Role;
use coltsfoothall::id;
use coltsfoothall_shell::event;

use crate::gossip;
use crate::refusal::{Refusal, bad_gateway, unavailable};
use crate::state::State;

/// Maximum number of parts that a log line names.
const MAX_LISTED: usize = 16;
/// Reason of the refusal.
const REASON: &str = "a part of the prompt crashes endpoints";
/// How long an instance that has started waits for what others know.
const INFORM_TIMEOUT: Duration = Duration::from_millis(300);

impl State {
    /// Records a run that was interrupted now. It is evidence against its parts if its endpoint turns
    /// out to have crashed.
    pub fn record_suspect(&self, run: Run) {
        self.culprits.borrow_mut().record_interrupted(run);
    }

    /// Records what was lost with an endpoint that is gone; `announced` if that was expected.
    pub fn record_loss(&self, endpoint: &id::Endpoint, announced: bool) -> Loss {
        let now = self.now();
        let loss = {
            let mut culprits = self.culprits.borrow_mut();
            culprits.expire(now);
            culprits.record_death(now, endpoint, announced)
        };
        if loss == Loss::default() {
            return loss;
        }
        let cause = match (loss.condemned, loss.parts.is_empty()) {
            (true, _) => "condemned",
            (false, true) => "unknown",
            (false, false) => "suspected",
        };
        self.board.endpoint_lost(cause);
        self.judge();
        loss
    }

    /// Records that parts of prompts had an answer, or were written on for long enough to show that
    /// they are harmless.
    pub fn record_harmless(&self, marks: &[Mark]) {
        let changes = {
            let mut culprits = self.culprits.borrow_mut();
            culprits.record_answer(self.now(), marks)
        };
        log(&changes, "own");
    }

    /// Condemns the parts that the crashes tell to be their cause. An instance on standby knows only
    /// what its contacts tell it, verdicts included.
    pub fn judge(&self) {
        if self.role() == Role::Standby {
            return;
        }
        let changes = {
            let settle = gossip::told_period(self.sharers() as usize);
            let mut culprits = self.culprits.borrow_mut();
            culprits.judge(self.now(), settle)
        };
        log(&changes, "own");
    }

    /// Merges what another instance tells.
    pub fn merge_culprits(&self, report: &Report, relayed: bool) {
        let changes = {
            let mut culprits = self.culprits.borrow_mut();
            culprits.merge(self.now(), report, relayed)
        };
        log(&changes, "peer");
        if report.informed && !self.informed.replace(true) {
            self.informed_changed.notify_waiters();
        }
    }

    /// Whether this instance knows what those that ran before it know, as far as they live.
    #[must_use]
    pub fn is_informed(&self) -> bool {
        self.informed.get() || self.now() >= Time::START + INFORM_TIMEOUT
    }

    /// Waits until this instance knows what those that ran before it know.
    pub async fn informed(&self) {
        let told = async {
            while !self.is_informed() {
                self.informed_changed.notified().await;
            }
        };
        let limit = self.clock.instant(Time::START + INFORM_TIMEOUT);
        // Without other instances nobody tells it.
        let _elapsed = tokio::time::timeout_at(limit, told).await;
    }

    /// Whether this instance lets a request through to see whether a verdict still holds.
    fn take_trial(&self, mark: Mark) -> bool {
        crash::elect(mark, &self.limit_fleet()) == Some(&self.name)
            && self.culprits.borrow_mut().take_trial(self.now(), mark)
    }
}

/// Admits a request, also one with a condemned part if it is to show whether the verdict still holds.
///
/// # Errors
/// A part is condemned, and the request has not run.
pub fn admit(state: &State, id: &str, marks: &[Mark]) -> Result<(), Refusal> {
    let verdict = state.culprits.borrow().forbids(marks).copied();
    if verdict.is_some_and(|verdict| state.take_trial(verdict.mark)) {
        return Ok(());
    }
    refuse(state, id, marks, 0).map_or(Ok(()), Err)
}

/// The refusal of a request, which has begun to run `runs` times, if a part of its prompt is
/// condemned.
pub fn refuse(state: &State, id: &str, marks: &[Mark], runs: u32) -> Option<Refusal> {
    let now = state.now();
    let culprits = state.culprits.borrow();
    let verdict = culprits.forbids(marks)?;
    event::PART_REFUSED.emit(format_args!(
        "request={id} part={} age_ms={} runs={runs}",
        verdict.mark,
        now.since(verdict.at).as_millis(),
    ));
    state.board.part_refused();
    Some(if runs == 0 {
        unavailable(REASON, culprits.retry_after(now, verdict))
    } else {
        bad_gateway(REASON)
    })
}

fn log(changes: &[Change], source: &str) {
    for change in changes {
        match change {
            Change::Cleared(mark, crashes) => event::PART_CLEARED.emit(format_args!(
                "part={mark} crashes={crashes} source={source}"
            )),
            Change::Condemned(verdict) => event::PART_CONDEMNED.emit(format_args!(
                "part={} state=condemned crashes={} first_ms={} source={source}",
                verdict.mark,
                verdict.crashes,
                verdict.at.since(verdict.first).as_millis(),
            )),
            Change::Lifted(mark) => {
                event::PART_CONDEMNED.emit(format_args!("part={mark} state=lifted source={source}"))
            }
        }
    }
}

/// Parts and the number of their runs, for the log.
#[must_use]
pub fn list(parts: &[(Mark, u32)]) -> String {
    let listed = parts.iter().take(MAX_LISTED);
    let listed: Vec<String> = listed
        .map(|(mark, runs)| format!("{mark}:{runs}"))
        .collect();
    format!("[{}]", listed.join(","))
}
