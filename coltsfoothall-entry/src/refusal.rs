//! What callers are told when a request is not taken in.

use coltsfoothall::ledger::Begin;
use coltsfoothall::limit::Refusal;
use coltsfoothall::record::{Cause, Name};
use coltsfoothall::size::Millis;
use coltsfoothall_wire::fault::{Code, Fault, Outcome};
use coltsfoothall_wire::header;

/// When to come back while a slot changes its owner.
pub(crate) const COME_BACK: Millis = Millis(200);
/// When to come back while the ledger is full.
const FULL: Millis = Millis(1000);

/// A request that is given up on before it was taken in.
pub(crate) fn gate(refusal: Refusal, name: &Name) -> Fault {
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

/// The caller has got an offset from somewhere: the request may well have run.
pub(crate) fn unresumable() -> Fault {
    let message = "must be the id of an event of this answer";
    let fault = Fault::field(header::LAST_EVENT, message);
    Fault {
        outcome: Outcome::Unknown,
        ..fault
    }
}

/// The key was used for a different request.
pub(crate) fn reused(name: &Name) -> Fault {
    Fault::new(
        Code::KeyReused,
        format!("the key {} names another request", name.key),
    )
}

/// What the ledger's refusal means for the caller.
pub(crate) fn refusal(refused: &Begin, name: &Name) -> Fault {
    match refused {
        Begin::Reused => reused(name),
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
        Begin::NotOwner => come_back(Code::Unavailable, "the request is owned elsewhere"),
        Begin::NotSafe => come_back(Code::NotSafe, "at most once cannot be promised now"),
        Begin::Full => Fault {
            retry_after_ms: Some(FULL),
            ..Fault::new(Code::Overloaded, "open requests alone fill the ledger here")
        },
        Begin::Behind => Fault {
            retry_after_ms: Some(FULL),
            ..Fault::new(
                Code::Overloaded,
                "too many changes wait for the slot's backup",
            )
        },
        Begin::New(_) | Begin::Join(_) => Fault::new(Code::Internal, "the request was taken"),
    }
}

/// A refusal of what another instance may take, or this one a little later.
pub(crate) fn come_back(code: Code, message: &str) -> Fault {
    Fault {
        retry_after_ms: Some(COME_BACK),
        ..Fault::new(code, message)
    }
}
