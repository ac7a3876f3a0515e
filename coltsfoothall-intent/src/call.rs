//! Calls to entry instances, one after another until one answers.

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

/// Time for a whole call; confirmations may take several calls of the key-value service.
const WITHIN: Duration = Duration::from_secs(10);

quick_error! {
    /// A call that no entry instance answered as asked.
    #[derive(Debug)]
    pub enum Error {
        /// An entry instance refused it.
        Refused(step: String, peer: SocketAddr, fault: Box<Fault>, lost: bool) {
            display("{step}: {peer} refused: {}", text(fault))
        }
        /// No entry instance answered; `lost` if one of them may have acted on it.
        Unanswered(step: String, tries: Vec<String>, lost: bool) {
            display("{step}: no entry instance answered\n  {}", tries.join("\n  "))
        }
    }
}

impl Error {
    /// Whether an entry instance may have acted on the call all the same.
    #[must_use]
    pub fn lost(&self) -> bool {
        match self {
            Self::Refused(.., lost) | Self::Unanswered(.., lost) => *lost,
        }
    }
}

/// A refusal as text, with its field.
fn text(fault: &Fault) -> String {
    let mut text = fault.message.clone();
    if let Some(field) = &fault.field {
        text = format!("{field}: {text}");
    }
    if let Some(wait) = fault.retry_after_ms {
        text = format!("{text} (come back in {wait})");
    }
    text
}

/// An answer, and whether an instance asked before may have acted as well.
#[derive(Debug)]
pub struct Answer<T> {
    /// The answer.
    pub value: T,
    /// Whether the answer of an instance asked before was lost.
    pub lost: bool,
}

/// One call, before it goes to an entry instance.
struct Call {
    step: &'static str,
    method: Method,
    path: &'static str,
    kind: &'static str,
    body: Bytes,
}

/// Asks entry instances.
#[derive(Debug)]
pub struct Caller {
    client: Client,
    reach: Reach,
}

/// Why one entry instance's answer was not taken.
enum Miss {
    Call(client::Error),
    Fault(StatusCode, Box<Fault>),
}

impl Caller {
    /// A caller for these entry instances.
    #[must_use]
    pub fn new(reach: Reach) -> Self {
        Self {
            client: Client::new(),
            reach,
        }
    }

    /// Asks for a plan for an intent, as YAML.
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
        Ok(self.ask(call).await?.value)
    }

    /// Confirms a plan. Asking several instances is harmless: a plan has at most one effect.
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
        self.ask(call).await
    }

    /// The configuration in force.
    ///
    /// # Errors
    /// The call is refused, or no entry instance answered.
    pub async fn show(&self) -> Result<Catalog, Error> {
        Ok(self.ask(get("show", operator::CATALOG)).await?.value)
    }

    /// What an entry instance knows.
    ///
    /// # Errors
    /// The call is refused, or no entry instance answered.
    pub async fn status(&self) -> Result<Status, Error> {
        Ok(self.ask(get("status", operator::STATUS)).await?.value)
    }

    async fn ask<T: DeserializeOwned>(&self, call: Call) -> Result<Answer<T>, Error> {
        let mut tries = Vec::new();
        let mut lost = false;
        for peer in &self.reach.entries {
            match self.one(&call, *peer).await {
                Ok(value) => return Ok(Answer { value, lost }),
                Err(Miss::Fault(status, fault)) if status != StatusCode::SERVICE_UNAVAILABLE => {
                    // Only an internal fault leaves open what was done before it.
                    lost |= status.is_server_error();
                    return Err(Error::Refused(call.step.into(), *peer, fault, lost));
                }
                Err(Miss::Fault(_, fault)) => {
                    tries.push(format!("{peer} is not available: {}", text(&fault)));
                }
                Err(Miss::Call(error)) => {
                    lost |= !error.unsent();
                    tries.push(error.to_string());
                }
            }
        }
        Err(Error::Unanswered(call.step.into(), tries, lost))
    }

    async fn one<T: DeserializeOwned>(&self, call: &Call, peer: SocketAddr) -> Result<T, Miss> {
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
            .map_err(Miss::Call)?;
        let whole = async {
            let answer = self.client.send(step, request, WITHIN).await?;
            let status = answer.status();
            let bytes = body::read(answer.into_body(), limit::FRAME)
                .await
                .map_err(|error| unread(step, &name, &error))?;
            Ok((status, bytes))
        };
        let (status, bytes) = match timeout(WITHIN, whole).await {
            Ok(result) => result.map_err(Miss::Call)?,
            Err(_elapsed) => return Err(Miss::Call(client::Error::Timeout(step.into(), name))),
        };
        if !status.is_success() {
            return Err(Miss::Fault(status, Box::new(fault(status, &bytes))));
        }
        body::parse(&bytes).map_err(|error| Miss::Call(unread(step, &name, &error)))
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

fn unread(step: &str, peer: &str, error: &body::Error) -> client::Error {
    client::Error::Body(step.into(), peer.into(), error.to_string())
}

/// The fault in an error answer, or one that quotes what came instead.
fn fault(status: StatusCode, bytes: &[u8]) -> Fault {
    match body::parse::<Body>(bytes) {
        Ok(body) => body.error,
        Err(_other) => {
            let quote = String::from_utf8_lossy(bytes);
            let quote: String = quote.chars().take(200).collect();
            Fault::new(Code::Internal, format!("answered {status}: {quote}"))
        }
    }
}
