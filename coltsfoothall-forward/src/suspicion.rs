//! Collects evidence against requests whose content crashes endpoints, and refuses them.

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::node::Node;
use coltsfoothall::forward::roster::End;
use coltsfoothall::id;
use coltsfoothall::suspicion::{Evidence, Fingerprint, Verdict};
use coltsfoothall_shell::event;

use crate::culprit;
use crate::refusal::{Refusal, bad_gateway, unavailable};
use crate::state::State;

/// How long an interrupted attempt is kept as possible evidence until its endpoint is known to be
/// gone: registrations lapse after three heartbeats, and the store may be unavailable meanwhile.
const EVIDENCE_RETENTION: Duration = Duration::from_secs(15);
/// Deaths that no condemned part explains without which a content is innocent.
const MIN_DEATHS: usize = 2;
/// Reason of the refusal.
const REASON: &str = "such requests crashed endpoints";
/// `Retry-After` for a request whose fingerprint has crashed endpoints.
const RETRY_DELAY: Duration = Duration::from_secs(30);

impl State {
    /// Records the end of a run that began at `began`. An interrupted run is evidence against
    /// requests with this fingerprint if its endpoint turns out to be gone; a complete response
    /// clears them. Endpoints that leave unannounced still finish their requests, so a run that was
    /// not interrupted is no evidence.
    pub fn record_evidence(
        &self,
        endpoint: &id::Endpoint,
        fingerprint: Fingerprint,
        began: Time,
        end: End,
    ) {
        let now = self.now();
        let mut suspicions = self.suspicions.borrow_mut();
        let attempt = self.next_attempt.get();
        match end {
            End::Whole if suspicions.is_empty() => {}
            End::Whole => {
                suspicions.record_start(now, attempt, endpoint.clone(), fingerprint, false);
                suspicions.record_end(now, attempt, true);
            }
            End::Broken => {
                // Attempt numbers are unique in the fleet, as each process counts from a random
                // number.
                self.next_attempt.set(attempt.wrapping_add(1));
                suspicions.record_interrupted(now, attempt, endpoint.clone(), fingerprint, began);
            }
            End::Failed | End::Refused | End::Unreachable | End::Misdirected | End::Abandoned => {}
        }
    }

    /// Records that nothing listens at the address of an endpoint. What it interrupted is evidence
    /// unless it is leaving.
    pub fn record_crash(&self, id: &id::Endpoint) {
        let announced = {
            let roster = self.roster.borrow();
            roster.node(id).is_none_or(Node::is_leaving)
        };
        if !announced {
            self.record_death(id, false);
        }
    }

    /// Records that an endpoint is gone. What ran there is evidence unless the departure was
    /// expected.
    pub fn record_death(&self, id: &id::Endpoint, announced: bool) {
        let now = self.now();
        let mut suspicions = self.suspicions.borrow_mut();
        suspicions.abandon(now - EVIDENCE_RETENTION);
        suspicions.expire(now);
        let suspects = suspicions.record_death(now, id, announced);
        drop(suspicions);
        let loss = self.record_loss(id, announced);
        if !suspects.is_empty() {
            event::ENDPOINT_DIED.emit(format_args!(
                "endpoint={id} announced={announced} suspects={} parts={} harmless={}",
                suspects.len(),
                culprit::list(&loss.parts),
                loss.harmless,
            ));
        }
    }
}

/// Whether a request must not be sent, as its content crashes endpoints.
pub fn is_poisonous(state: &State, id: &str, fingerprint: Fingerprint) -> bool {
    let now = state.now();
    let suspicions = state.suspicions.borrow();
    let verdict = suspicions.verdict(now, fingerprint);
    if verdict == Verdict::Free {
        return false;
    }
    let evidence = suspicions.evidence_for(now, &[fingerprint.content]);
    let deaths = evidence.iter().flat_map(|evidence| &evidence.deaths);
    let deaths: Vec<(u64, u64)> = deaths.map(|death| (death.began.0, death.age.0)).collect();
    let explained = is_explained(state, &evidence);
    event::SUSPECTED.emit(format_args!(
        "request={id} verdict={verdict:?} deaths={deaths:?} explained={explained}"
    ));
    verdict == Verdict::Poisonous && !explained
}

/// Whether condemned parts of other prompts explain so many of a content's deaths that it is innocent.
fn is_explained(state: &State, evidence: &[Evidence]) -> bool {
    let culprits = state.culprits.borrow();
    if culprits.verdicts().is_empty() {
        return false;
    }
    let now = state.now();
    let deaths = evidence.iter().flat_map(|evidence| &evidence.deaths);
    let others = deaths.filter(|death| !culprits.explains(now - death.age.duration()));
    others.count() < MIN_DEATHS
}

/// The refusal of such a request, which has begun to run `runs` times.
#[must_use]
pub fn refusal(runs: u32) -> Refusal {
    if runs == 0 {
        unavailable(REASON, RETRY_DELAY)
    } else {
        bad_gateway(REASON)
    }
}
