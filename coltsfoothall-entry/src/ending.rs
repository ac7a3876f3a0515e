//! The faults that callers get when an answer ends incomplete.

use coltsfoothall::key::Key;
use coltsfoothall::record::{Cause, End};
use coltsfoothall::size::Millis;
use coltsfoothall_wire::fault::{Code, Fault, Outcome};
use coltsfoothall_wire::peer::Piece;

/// Retry delay given after a request ended without an answer.
const RETRY_AFTER: Millis = Millis(1000);

/// The fault for a piece that stands where no more of the answer can follow.
pub fn fault(piece: Piece, key: &Key) -> Fault {
    let fault = match piece {
        Piece::Fault(fault) => *fault,
        Piece::End {
            end: End::NotRun(cause),
            retry_after_ms,
        } => incomplete(cause, Outcome::NotRun, retry_after_ms),
        Piece::End {
            end: End::Unknown(cause),
            retry_after_ms,
        } => incomplete(cause, Outcome::Unknown, retry_after_ms),
        Piece::End { end: End::Done, .. }
        | Piece::Text { .. }
        | Piece::Answer(_)
        | Piece::Moved => Fault::new(Code::Internal, "the answer's pieces are out of order"),
    };
    Fault {
        request: Some(key.clone()),
        ..fault
    }
}

/// `after` is the retry delay, if the gate gave one.
fn incomplete(cause: Cause, outcome: Outcome, after: Option<Millis>) -> Fault {
    let (code, message, retryable) = match cause {
        Cause::Cancelled => (Code::Cancelled, "the request was cancelled", false),
        Cause::Deadline => (Code::Deadline, "the deadline passed", true),
        Cause::NoEndpoint => (
            Code::NoEndpoint,
            "no endpoint can take the request now",
            true,
        ),
        Cause::Overloaded => (Code::Overloaded, "there is no capacity now", true),
        Cause::Failed => (
            Code::Failed,
            "every attempt that could be made has failed",
            true,
        ),
        Cause::Poisonous => (
            Code::Poisonous,
            "endpoints died when this request ran",
            false,
        ),
        Cause::OwnerLost => (
            Code::LedgerLost,
            "the entry instance that ran it was lost",
            false,
        ),
        Cause::NotSafe => (Code::NotSafe, "at most once cannot be promised now", true),
    };
    let retry_after_ms = after.or_else(|| retryable.then_some(RETRY_AFTER));
    Fault {
        outcome,
        retry_after_ms,
        ..Fault::new(code, message)
    }
}
