//! The faults that callers get when a request is not accepted.

use coltsfoothall::ledger::Begin;
use coltsfoothall::limit::Refusal;
use coltsfoothall::record::{Cause, Name};
use coltsfoothall::size::Millis;
use coltsfoothall_wire::fault::{Code, Fault, Outcome};
use coltsfoothall_wire::header;

/// Retry delay given while a slot changes its owner.
pub(crate) const RETRY_AFTER: Millis = Millis(200);
/// Retry delay given while the ledger is full.
const RETRY_FULL_AFTER: Millis = Millis(1000);

/// The fault for a request that the gate refused.
pub(crate) fn not_admitted(refusal: Refusal, name: &Name) -> Fault {
    let (code, message) = match refusal.cause {
        Cause::NoEndpoint => (Code::NoEndpoint, "no endpoint can take the request now"),
        Cause::Deadline => (Code::Deadline, "the deadline cannot be kept"),
        _ if refusal.limited => (Code::Limited, "a limit of the workspace is reached"),
        _ => (
            Code::Overloaded,
            "there is no capacity for the request within its deadline",
        ),
    };
    Fault {
        outcome: Outcome::NotRun,
        retry_after_ms: Some(refusal.retry_after.into()),
        request: Some(name.key.clone()),
        ..Fault::new(code, message)
    }
}

/// The fault for an offset where no piece of the answer ends. The caller got the offset
/// from somewhere, so the request may well have run.
pub(crate) fn unresumable() -> Fault {
    let message = "must be the id of an event of this answer";
    let fault = Fault::field(header::LAST_EVENT, message);
    Fault {
        outcome: Outcome::Unknown,
        ..fault
    }
}

/// The fault for a key that was used for a different request.
pub(crate) fn key_reused(name: &Name) -> Fault {
    Fault::new(
        Code::KeyReused,
        format!("the key {} names another request", name.key),
    )
}

/// The fault for a request that the ledger refused.
pub(crate) fn not_begun(refused: &Begin, name: &Name) -> Fault {
    match refused {
        Begin::Reused => key_reused(name),
        Begin::Retired => Fault {
            outcome: Outcome::Unknown,
            ..Fault::new(
                Code::LedgerLost,
                "the request ended; its answer is no longer kept",
            )
        },
        Begin::Lost => Fault::new(
            Code::LedgerLost,
            "the key may have been used at an owner that was lost",
        ),
        Begin::NotOwner => retry_later(Code::Unavailable, "the request is owned elsewhere"),
        Begin::NotSafe => retry_later(Code::NotSafe, "at most once cannot be promised now"),
        Begin::Full => Fault {
            retry_after_ms: Some(RETRY_FULL_AFTER),
            ..Fault::new(Code::Overloaded, "open requests alone fill the ledger here")
        },
        Begin::Behind => Fault {
            retry_after_ms: Some(RETRY_FULL_AFTER),
            ..Fault::new(
                Code::Overloaded,
                "too many changes wait for the slot's backup",
            )
        },
        Begin::New(_) | Begin::Join(_) => Fault::new(Code::Internal, "the request was taken"),
    }
}

/// A fault after which a retry may succeed, at another instance or later at this one.
pub(crate) fn retry_later(code: Code, message: &str) -> Fault {
    Fault {
        retry_after_ms: Some(RETRY_AFTER),
        ..Fault::new(code, message)
    }
}
