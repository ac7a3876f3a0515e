//! Calls to entry instances, tried in turn until one answers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use coltsfoothall::catalog::Catalog;
use coltsfoothall::confirm::Verdict;
use coltsfoothall::plan::Plan;
use coltsfoothall_wire::client::{self, Client};
use coltsfoothall_wire::fault::{Body, Code, Fault};
use coltsfoothall_wire::operator::{self, Status};
use coltsfoothall_wire::{http as body, limit};
use http_body_util::Full;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use hyper::{Method, Request, StatusCode};
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::flag::Reach;

/// Limit for one call, including its body; a confirmation may take several calls to the key-value
/// service.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

quick_error! {
    /// A call that failed.
    #[derive(Debug)]
    pub enum Error {
        /// An entry instance refused the call; `lost` if an instance may have acted on it.
        Refused(step: String, peer: SocketAddr, fault: Box<Fault>, lost: bool) {
            display("{step}: {peer} refused: {}", text(fault))
        }
        /// No entry instance answered; `lost` if an instance may have acted on the call.
        Unanswered(step: String, failures: Vec<String>, lost: bool) {
            display("{step}: no entry instance answered\n  {}", failures.join("\n  "))
        }
    }
}

impl Error {
    /// Whether an entry instance may have acted on the call despite the error.
    #[must_use]
    pub fn lost(&self) -> bool {
        match self {
            Self::Refused(.., lost) | Self::Unanswered(.., lost) => *lost,
        }
    }
}

/// Formats a fault with its field and retry delay, if any.
fn text(fault: &Fault) -> String {
    let mut text = fault.message.clone();
    if let Some(field) = &fault.field {
        text = format!("{field}: {text}");
    }
    if let Some(wait) = fault.retry_after_ms {
        text = format!("{text} (retry after {wait})");
    }
    text
}

/// An answer, and whether an instance called earlier may have acted as well.
#[derive(Debug)]
pub struct Answer<T> {
    /// The answer.
    pub value: T,
    /// Whether the answer of an instance called earlier was lost.
    pub lost: bool,
}

/// A request that can be sent to any entry instance.
struct Call {
    step: &'static str,
    method: Method,
    path: &'static str,
    kind: &'static str,
    body: Bytes,
}

/// Client that calls entry instances.
#[derive(Debug)]
pub struct Caller {
    client: Client,
    reach: Reach,
}

/// Why an attempt at one entry instance failed.
enum Failure {
    Call(client::Error),
    Fault(StatusCode, Box<Fault>),
}

impl Caller {
    /// Creates a client for the entry instances in `reach`.
    #[must_use]
    pub fn new(reach: Reach) -> Self {
        Self {
            client: Client::new(),
            reach,
        }
    }

    /// Requests a plan for an intent given as YAML.
    ///
    /// # Errors
    /// The intent is refused, or no entry instance answered.
    pub async fn plan(&self, intent: Bytes) -> Result<Plan, Error> {
        let call = Call {
            step: "plan",
            method: Method::POST,
            path: operator::PLAN,
            kind: "application/yaml",
            body: intent,
        };
        Ok(self.call_in_turn(call).await?.value)
    }

    /// Confirms a plan. Calling several instances is safe, since a plan takes effect at most once.
    ///
    /// # Errors
    /// The call is refused, or no entry instance answered.
    pub async fn confirm(&self, plan: &Plan) -> Result<Answer<Verdict>, Error> {
        let call = Call {
            step: "confirm",
            method: Method::POST,
            path: operator::CONFIRM,
            kind: "application/json",
            body: body::json(plan),
        };
        self.call_in_turn(call).await
    }

    /// Fetches the configuration in force.
    ///
    /// # Errors
    /// The call is refused, or no entry instance answered.
    pub async fn show(&self) -> Result<Catalog, Error> {
        Ok(self
            .call_in_turn(get("show", operator::CATALOG))
            .await?
            .value)
    }

    /// Fetches the status as an entry instance sees it.
    ///
    /// # Errors
    /// The call is refused, or no entry instance answered.
    pub async fn status(&self) -> Result<Status, Error> {
        Ok(self
            .call_in_turn(get("status", operator::STATUS))
            .await?
            .value)
    }

    async fn call_in_turn<T: DeserializeOwned>(&self, call: Call) -> Result<Answer<T>, Error> {
        let mut failures = Vec::new();
        let mut lost = false;
        for peer in &self.reach.entries {
            match self.call_one(&call, *peer).await {
                Ok(value) => return Ok(Answer { value, lost }),
                Err(Failure::Fault(status, fault)) if status != StatusCode::SERVICE_UNAVAILABLE => {
                    // After a server error the instance may already have acted on the call; any other
                    // refusal means that it has not.
                    lost |= status.is_server_error();
                    return Err(Error::Refused(call.step.into(), *peer, fault, lost));
                }
                Err(Failure::Fault(_, fault)) => {
                    failures.push(format!("{peer} is not available: {}", text(&fault)));
                }
                Err(Failure::Call(error)) => {
                    lost |= !error.unsent();
                    failures.push(error.to_string());
                }
            }
        }
        Err(Error::Unanswered(call.step.into(), failures, lost))
    }

    async fn call_one<T: DeserializeOwned>(
        &self,
        call: &Call,
        peer: SocketAddr,
    ) -> Result<T, Failure> {
        let (step, name) = (call.step, peer.to_string());
        let request = Request::builder()
            .method(call.method.clone())
            .uri(format!("http://{name}{}", call.path))
            .header(
                AUTHORIZATION,
                format!("Bearer {}", self.reach.token.as_str()),
            )
            .header(CONTENT_TYPE, call.kind)
            .body(Full::new(call.body.clone()))
            .map_err(|error| client::Error::Call(step.into(), name.clone(), error.to_string()))
            .map_err(Failure::Call)?;
        let exchange = async {
            let answer = self.client.send(step, request, CALL_TIMEOUT).await?;
            let status = answer.status();
            let bytes = body::read(answer.into_body(), limit::FRAME)
                .await
                .map_err(|error| body_error(step, &name, &error))?;
            Ok((status, bytes))
        };
        let (status, bytes) = match timeout(CALL_TIMEOUT, exchange).await {
            Ok(result) => result.map_err(Failure::Call)?,
            Err(_elapsed) => return Err(Failure::Call(client::Error::Timeout(step.into(), name))),
        };
        if !status.is_success() {
            return Err(Failure::Fault(status, Box::new(fault(status, &bytes))));
        }
        body::parse(&bytes).map_err(|error| Failure::Call(body_error(step, &name, &error)))
    }
}

fn get(step: &'static str, path: &'static str) -> Call {
    Call {
        step,
        method: Method::GET,
        path,
        kind: "application/json",
        body: Bytes::new(),
    }
}

fn body_error(step: &str, peer: &str, error: &body::Error) -> client::Error {
    client::Error::Body(step.into(), peer.into(), error.to_string())
}

/// Parses the fault of an error response, or makes one that quotes an unexpected body.
fn fault(status: StatusCode, bytes: &[u8]) -> Fault {
    match body::parse::<Body>(bytes) {
        Ok(body) => body.error,
        Err(_unexpected) => {
            let quote = String::from_utf8_lossy(bytes);
            let quote: String = quote.chars().take(200).collect();
            Fault::new(Code::Internal, format!("answered {status}: {quote}"))
        }
    }
}
