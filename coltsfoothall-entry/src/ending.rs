//! What callers are told when an answer ends without being whole.

use coltsfoothall::key::Key;
use coltsfoothall::record::{Cause, End};
use coltsfoothall::size::Millis;
use coltsfoothall_wire::fault::{Code, Fault, Outcome};
use coltsfoothall_wire::peer::Piece;

/// When to come back after a request was given up on.
const COME_BACK: Millis = Millis(1000);

/// The fault that a piece comes to when it stands where none of the answer can follow.
pub fn fault(piece: Piece, key: &Key) -> Fault {
    let fault = match piece {
        Piece::Fault(fault) => *fault,
        Piece::End {
            end: End::NotRun(cause),
            retry_after_ms,
        } => ended(cause, Outcome::NotRun, retry_after_ms),
        Piece::End {
            end: End::Unknown(cause),
            retry_after_ms,
        } => ended(cause, Outcome::Unknown, retry_after_ms),
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

/// `after` is when the caller may come back, if the gate said so.
fn ended(cause: Cause, outcome: Outcome, after: Option<Millis>) -> Fault {
    let (code, message, again) = match cause {
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
    let retry_after_ms = after.or_else(|| again.then_some(COME_BACK));
    Fault {
        outcome,
        retry_after_ms,
        ..Fault::new(code, message)
    }
}
