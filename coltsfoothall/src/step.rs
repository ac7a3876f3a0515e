//! What a request takes in and what it asks for in return.

use std::time::Duration;

use quick_error::quick_error;

use crate::id;
use crate::record::{self, Answer, Cause, Change, End, Part};
use crate::size::Tokens;

/// What happened to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Run it. For a resumed request: its record is held by the new backup, or
    /// [`Input::Unreplicated`] was given before.
    Begin,
    /// The backup holds all changes up to this number.
    Acked {
        /// Number of the last change held.
        seq: u64,
    },
    /// There is no backup now, and this instance is the owner for certain.
    Unreplicated,
    /// "Not run" could not be recorded, or was taken back, as another copy may have run
    /// the request: its end is recorded as unknown.
    Retracted,
    /// A new backup holds a copy of the record and gets each change after it.
    Replicated,
    /// Another owner has taken over.
    Sealed,
    /// An endpoint was chosen.
    Picked {
        /// The endpoint.
        endpoint: id::Endpoint,
        /// Number of the attempt, unique in the fleet.
        attempt: u64,
    },
    /// No endpoint can be chosen now.
    NoPick {
        /// Why.
        cause: Cause,
        /// When to ask again.
        retry_after: Duration,
    },
    /// The request's wait for an endpoint is given up: no room in time.
    GivenUp {
        /// Why.
        cause: Cause,
        /// When its caller may come back.
        retry_after: Duration,
    },
    /// The endpoint refused the attempt before it began.
    Refused {
        /// The attempt.
        attempt: u64,
    },
    /// No connection came up, so nothing of the attempt was sent.
    Unsent {
        /// The attempt.
        attempt: u64,
    },
    /// A piece of a completion.
    Chunk {
        /// The attempt that it names.
        attempt: u64,
        /// The piece.
        part: Part,
        /// Tokens of prompt and resumed text that came from the engine's cache.
        cached: Option<Tokens>,
    },
    /// The answer of a plain service; it counts once [`Input::Ended`] follows.
    Answer {
        /// The attempt that it names.
        attempt: u64,
        /// The answer.
        answer: Box<Answer>,
    },
    /// The answer's framing and end marker are whole.
    Ended {
        /// The attempt.
        attempt: u64,
    },
    /// The connection broke, or the answer was truncated or malformed.
    Broke {
        /// The attempt.
        attempt: u64,
    },
    /// An endpoint was given notice.
    Leaving {
        /// The endpoint.
        endpoint: id::Endpoint,
        /// Whether the running attempt will surely finish there in time.
        finishes: bool,
    },
    /// An endpoint died.
    EndpointDied {
        /// The endpoint.
        endpoint: id::Endpoint,
    },
    /// Endpoints die of this content.
    Poisoned,
    /// Its caller cancelled it.
    Cancel,
    /// The time of [`Request::wake`](crate::request::Request::wake) has come.
    Tick,
    /// Answer to [`Action::Retry`].
    Budget {
        /// Whether the retry may be made.
        granted: bool,
    },
}

/// What is to be done for a request, in this order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the change to the ledger and to the backup.
    Record {
        /// Number of the change in this request's life at this owner, from 1.
        seq: u64,
        /// The change.
        change: Change,
    },
    /// Choose an endpoint; answered by [`Input::Picked`], [`Input::NoPick`] or
    /// [`Input::GivenUp`].
    Pick {
        /// Endpoints that are not to be chosen, sorted.
        exclude: Vec<id::Endpoint>,
    },
    /// Ask for a retry from the budget; answered by [`Input::Budget`].
    Retry,
    /// Send the request to an endpoint.
    Start {
        /// The attempt.
        attempt: u64,
        /// Where to.
        endpoint: id::Endpoint,
        /// Text generated so far, which the answer continues.
        resume: String,
        /// Tokens in `resume`.
        offset: u64,
    },
    /// Stop an attempt, started or only chosen, and give its place back.
    Abort {
        /// The attempt.
        attempt: u64,
    },
    /// The caller may see the answer up to here.
    Release {
        /// Tokens from the start of the answer.
        tokens: u64,
    },
    /// The request ended; tell the caller.
    Finish {
        /// How.
        end: End,
        /// When the caller may come back, if it was given up.
        retry_after: Option<Duration>,
    },
    /// What an engine took from its cache when an attempt began.
    Cached {
        /// The attempt.
        attempt: u64,
        /// Tokens from cache.
        cached: Tokens,
        /// Tokens of the answer that were resumed.
        resumed: u64,
    },
    /// Count something that was dropped.
    Count(Dropped),
}

/// What was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dropped {
    /// From an attempt that another has replaced.
    Superseded,
    /// A piece that had arrived before.
    Duplicate,
    /// For a request that has ended or is sealed.
    Late,
    /// A piece that does not follow the one before; it broke its attempt.
    Gap,
    /// A piece that makes no sense; it broke its attempt.
    Malformed,
}

quick_error! {
    /// A rule of the system is broken.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Broken {
        /// The record refused a change.
        Record(error: record::Broken) {
            display("{error}")
            from()
        }
        /// A change was acknowledged that was never recorded.
        Unrecorded(name: record::Name, seq: u64, recorded: u64) {
            display("request {name}: change {seq} acknowledged, only {recorded} recorded")
        }
        /// An attempt runs although the backup does not know of it.
        Unbacked(name: record::Name, attempt: u64) {
            display("request {name}: attempt {attempt} runs unknown to the backup")
        }
        /// An attempt goes on after the end.
        Running(name: record::Name, attempt: u64) {
            display("request {name}: attempt {attempt} goes on after the end")
        }
        /// A non-idempotent request runs a second time.
        Again(name: record::Name) {
            display("non-idempotent request {name} was started a second time")
        }
        /// More was released than the backup holds.
        Released(name: record::Name, released: u64, held: u64) {
            display("request {name}: {released} tokens released, {held} held by the backup")
        }
    }
}
