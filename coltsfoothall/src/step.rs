//! Inputs and actions of the request state machine.

use std::time::Duration;

use quick_error::quick_error;

use crate::id;
use crate::record::{self, Answer, Cause, Change, End, Part};
use crate::size::Tokens;

/// An event that a request handles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Run the request. For a resumed request, the new backup already holds its record, or
    /// [`Input::Unreplicated`] was given before.
    Begin,
    /// The backup holds all changes up to this number.
    Acked {
        /// Number of the last change held.
        seq: u64,
    },
    /// There is no backup now, and this instance is certainly the primary.
    Unreplicated,
    /// "Not run" could not be recorded, or was retracted, because another copy may have run the
    /// request: its end is recorded as unknown.
    Retracted,
    /// A new backup holds a copy of the record and receives each later change.
    Replicated,
    /// Another primary has taken over.
    Sealed,
    /// An endpoint was chosen.
    Picked {
        /// The endpoint.
        endpoint: id::Endpoint,
        /// Number of the attempt, unique in the fleet.
        attempt: u64,
    },
    /// No endpoint is available now.
    NoPick {
        /// Why.
        cause: Cause,
        /// When to ask again.
        retry_after: Duration,
    },
    /// The wait for an endpoint was given up: none becomes available in time.
    GivenUp {
        /// Why.
        cause: Cause,
        /// When the caller may try again.
        retry_after: Duration,
    },
    /// The endpoint rejected the attempt before it started.
    Refused {
        /// The attempt.
        attempt: u64,
    },
    /// No connection was established, so nothing of the attempt was sent.
    Unsent {
        /// The attempt.
        attempt: u64,
    },
    /// A chunk of a completion.
    Chunk {
        /// The attempt that it belongs to.
        attempt: u64,
        /// The chunk.
        part: Part,
        /// Tokens of prompt and resumed text that the engine read from its cache.
        cached: Option<Tokens>,
    },
    /// The answer of a plain service; it takes effect once [`Input::Ended`] follows.
    Answer {
        /// The attempt that it belongs to.
        attempt: u64,
        /// The answer.
        answer: Box<Answer>,
    },
    /// The answer's framing is complete and its end marker has arrived.
    Ended {
        /// The attempt.
        attempt: u64,
    },
    /// The connection broke, or the answer was truncated or malformed.
    Broke {
        /// The attempt.
        attempt: u64,
    },
    /// An endpoint was given notice to stop.
    Leaving {
        /// The endpoint.
        endpoint: id::Endpoint,
        /// Whether the running attempt is certain to finish there in time.
        finishes: bool,
    },
    /// An endpoint died.
    EndpointDied {
        /// The endpoint.
        endpoint: id::Endpoint,
    },
    /// This content crashes endpoints.
    Poisoned,
    /// The caller cancelled the request.
    Cancel,
    /// The time given by [`Request::wake`](crate::request::Request::wake) has come.
    Tick,
    /// Answer to [`Action::Retry`].
    Budget {
        /// Whether the retry may be made.
        granted: bool,
    },
}

/// An action that the caller of the state machine carries out, in the order given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the change to the ledger and to the backup.
    Record {
        /// Number of the change within this request on this primary, from 1.
        seq: u64,
        /// The change.
        change: Change,
    },
    /// Choose an endpoint; answered by [`Input::Picked`], [`Input::NoPick`] or
    /// [`Input::GivenUp`].
    Pick {
        /// Endpoints to exclude, sorted.
        exclude: Vec<id::Endpoint>,
    },
    /// Request a retry from the budget; answered by [`Input::Budget`].
    Retry,
    /// Send the request to an endpoint.
    Start {
        /// The attempt.
        attempt: u64,
        /// The endpoint.
        endpoint: id::Endpoint,
        /// Text generated so far; the endpoint continues it.
        resume: String,
        /// Tokens in `resume`.
        offset: u64,
    },
    /// Stop an attempt, whether started or only picked, and free its capacity.
    Abort {
        /// The attempt.
        attempt: u64,
    },
    /// The answer may be shown to the caller up to this point.
    Release {
        /// Tokens from the start of the answer.
        tokens: u64,
    },
    /// The request ended; report the outcome to the caller.
    Finish {
        /// The outcome.
        end: End,
        /// When the caller may try again, if the request was given up.
        retry_after: Option<Duration>,
    },
    /// Cache use of an engine when an attempt started.
    Cached {
        /// The attempt.
        attempt: u64,
        /// Tokens read from the cache.
        cached: Tokens,
        /// Tokens of the answer that were resumed.
        resumed: u64,
    },
    /// Count a dropped input.
    Count(Dropped),
}

/// Why an input was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dropped {
    /// It belongs to an attempt that has been replaced.
    Superseded,
    /// The chunk had already arrived.
    Duplicate,
    /// The request has ended or is sealed.
    Late,
    /// The chunk does not follow the one before it; its attempt is aborted.
    Gap,
    /// The chunk is malformed; its attempt is aborted.
    Malformed,
}

quick_error! {
    /// A violated invariant.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Broken {
        /// The record rejected a change.
        Record(error: record::Broken) {
            display("{error}")
            from()
        }
        /// A change was acknowledged that was never recorded.
        Unrecorded(name: record::Name, seq: u64, recorded: u64) {
            display("request {name}: change {seq} was acknowledged, but only {recorded} were recorded")
        }
        /// An attempt runs although the backup does not hold its [`Change::Sent`].
        Unbacked(name: record::Name, attempt: u64) {
            display("request {name}: attempt {attempt} runs but is not recorded on the backup")
        }
        /// An attempt is still running after the end.
        Running(name: record::Name, attempt: u64) {
            display("request {name}: attempt {attempt} is still running after the end")
        }
        /// A non-idempotent request runs a second time.
        Again(name: record::Name) {
            display("non-idempotent request {name} was started a second time")
        }
        /// More tokens were released than the backup holds.
        Released(name: record::Name, released: u64, held: u64) {
            display("request {name}: {released} tokens were released, but the backup holds only {held}")
        }
    }
}
