//! Refuses requests whose content crashes endpoints.

use std::time::Duration;

use coltsfoothall::suspicion::{Fingerprint, Verdict};
use coltsfoothall_shell::event;

use crate::refusal::{Refusal, bad_gateway, unavailable};
use crate::state::State;

/// Reason of the refusal.
const REASON: &str = "such requests crashed endpoints";
/// `Retry-After` for a request whose fingerprint has crashed endpoints.
const RETRY_DELAY: Duration = Duration::from_secs(30);

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
    event::SUSPECTED.emit(format_args!(
        "request={id} verdict={verdict:?} deaths={deaths:?}"
    ));
    verdict == Verdict::Poisonous
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
