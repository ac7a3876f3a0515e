//! Faults on demand, set through `POST /fault` on each port of the platform.

use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use coltsfoothall::size::Millis;
use coltsfoothall_wire::serve::{self, Body};
use coltsfoothall_wire::{http, limit};

/// Path of the faults; it answers whatever the faults are.
pub const PATH: &str = "/fault";

/// The word `all`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Every {
    /// Every one.
    All,
}

/// Which of the next starts are refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Refusals {
    /// So many.
    Next(u64),
    /// Every one, written `"all"`.
    All(Every),
}

/// The faults in force. A field that is left out is no fault.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Every call is answered with 503 and has no effect.
    pub down: bool,
    /// Calls are taken, have no effect and get no answer.
    pub hang: bool,
    /// Delay between a call's effect and its answer.
    pub slow_ms: Millis,
    /// So many of the next writes take effect, then their connection closes unanswered.
    pub lose_answers: u64,
    /// The same for every so many-th write; 0 for none.
    pub lose_every: u64,
    /// The next write of this key that takes effect is the last: it gets no answer, and the
    /// service is down from then on.
    pub lose_then_down: Option<String>,
    /// Reads of a key show the value before its last, if it had one.
    pub stale_reads: bool,
    /// Starts of instances that are refused.
    pub refuse_starts: Option<Refusals>,
    /// Age of the instance list, in place of the age in the settings.
    pub list_lag_ms: Option<Millis>,
    /// So many of the next calls for notices hear of any; the others go on waiting.
    pub hearers: Option<u64>,
}

/// What a call has to pass on its way in and out.
#[derive(Debug)]
pub struct Gate {
    fault: watch::Sender<Fault>,
    writes: watch::Sender<u64>,
    stop: CancellationToken,
}

impl Gate {
    /// A gate without faults; `stop` ends the calls that hang.
    #[must_use]
    pub fn new(stop: CancellationToken) -> Self {
        Self {
            fault: watch::Sender::new(Fault::default()),
            writes: watch::Sender::new(0),
            stop,
        }
    }

    /// The faults in force.
    #[must_use]
    pub fn fault(&self) -> Fault {
        self.fault.borrow().clone()
    }

    /// Changes of the faults, and the end of the program.
    pub async fn changed(&self, seen: &mut watch::Receiver<Fault>) {
        tokio::select! {
            _changed = seen.changed() => {}
            () = self.stop.cancelled() => {}
        }
    }

    /// Follows the faults.
    #[must_use]
    pub fn follow(&self) -> watch::Receiver<Fault> {
        self.fault.subscribe()
    }

    /// Whether the program is ending.
    #[must_use]
    pub fn ending(&self) -> bool {
        self.stop.is_cancelled()
    }

    /// Answers a call to [`PATH`]: `GET` reads the faults, `POST` replaces them.
    pub async fn control(&self, request: Request<Incoming>) -> Response<Body> {
        if request.method() == Method::GET {
            return serve::json(200, &self.fault());
        }
        match http::read_json::<Fault, _>(request.into_body(), limit::INTENT).await {
            Ok(fault) => {
                self.writes.send_replace(0);
                self.fault.send_replace(fault.clone());
                serve::json(200, &fault)
            }
            Err(error) => malformed(&error),
        }
    }

    /// Lets a call in, or gives the answer of an outage. A hanging call stays here.
    pub async fn enter(&self) -> Option<Response<Body>> {
        let fault = self.fault();
        if fault.hang {
            self.stop.cancelled().await;
        }
        (fault.hang || fault.down).then(|| serve::empty(503))
    }

    /// Holds an answer back for as long as the service is slow.
    pub async fn leave(&self) {
        let slow = self.fault().slow_ms;
        if slow.0 > 0 {
            tokio::select! {
                () = tokio::time::sleep(slow.duration()) => {}
                () = self.stop.cancelled() => {}
            }
        }
    }

    /// Counts a write that took effect, of a key if it has one, and says whether its answer
    /// gets lost.
    #[must_use]
    pub fn lost(&self, key: Option<&str>) -> bool {
        let mut nth = 0;
        self.writes.send_modify(|writes| {
            *writes += 1;
            nth = *writes;
        });
        let mut lost = false;
        self.fault.send_if_modified(|fault| {
            let counted = fault.lose_answers > 0;
            fault.lose_answers = fault.lose_answers.saturating_sub(1);
            lost = counted || (fault.lose_every > 0 && nth.is_multiple_of(fault.lose_every));
            if key.is_some() && fault.lose_then_down.as_deref() == key {
                fault.lose_then_down = None;
                fault.down = true;
                lost = true;
            }
            // Waiting calls need not wake for a counter.
            false
        });
        lost
    }

    /// Counts a call for notices that would hear some and says whether it does.
    #[must_use]
    pub fn hears(&self) -> bool {
        let mut hears = true;
        self.fault.send_if_modified(|fault| {
            if let Some(left) = &mut fault.hearers {
                hears = *left > 0;
                *left = left.saturating_sub(1);
            }
            false
        });
        hears
    }

    /// Counts a start and says whether it is refused.
    #[must_use]
    pub fn refused(&self) -> bool {
        let mut refused = false;
        self.fault.send_if_modified(|fault| {
            refused = match &mut fault.refuse_starts {
                None | Some(Refusals::Next(0)) => false,
                Some(Refusals::Next(left)) => {
                    *left -= 1;
                    true
                }
                Some(Refusals::All(Every::All)) => true,
            };
            false
        });
        refused
    }
}

/// The answer to a body that cannot be read.
#[must_use]
pub fn malformed(error: &http::Error) -> Response<Body> {
    let status = match error {
        http::Error::Large(_limit) => 413,
        http::Error::Stalled(_pause) => 408,
        http::Error::Broken(_) | http::Error::Json(_) => 400,
    };
    let mut answer = Response::new(serve::full(error.to_string()));
    *answer.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    answer
}
