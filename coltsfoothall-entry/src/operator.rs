//! The operators' interface: state an intent, get a plan, confirm it.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Method, Response};

use coltsfoothall::catalog::{Catalog, Revision};
use coltsfoothall::confirm::{Action, Attempt, Event, Verdict};
use coltsfoothall::id;
use coltsfoothall::intent::{self, Intent};
use coltsfoothall::plan::Plan;
use coltsfoothall::size::Millis;
use coltsfoothall_shell::event;
use coltsfoothall_wire::fault::{Code, Fault};
use coltsfoothall_wire::serve::{self, Body};
use coltsfoothall_wire::store::Put;
use coltsfoothall_wire::{http, limit};

use crate::config::{self, KEY};
use crate::intake;
use crate::message::{Held, Message};
use crate::node::Node;
use crate::store::Error;

/// When to come back while this instance knows no configuration yet.
const NOT_READY: Millis = Millis(500);

/// Answers a call behind `/v1/operator/`.
///
/// # Errors
/// The token is wrong, the call is unknown, or its body cannot be taken.
pub async fn route(
    node: &Arc<Node>,
    parts: &Parts,
    body: Incoming,
    call: &str,
) -> Result<Response<Body>, Fault> {
    if intake::bearer(&parts.headers) != Some(node.settings.operator_token.as_str()) {
        return Err(Fault::new(
            Code::Unauthorized,
            "the operators' token is missing or wrong",
        ));
    }
    match (call, &parts.method) {
        ("catalog", &Method::GET) => {
            let held = held(node, Revision::default()).await?;
            Ok(serve::json(200, held.held.as_ref()))
        }
        ("plan", &Method::POST) => plan(node, body).await,
        ("confirm", &Method::POST) => confirm(node, body).await,
        ("status", &Method::GET) => {
            let status = node
                .control
                .ask(Message::Status)
                .await
                .ok_or_else(stopping)?;
            Ok(serve::json(200, &status))
        }
        (_, method) => {
            let message = format!("there is no {method} of /v1/operator/{call}");
            Err(Fault::new(Code::NotFound, message))
        }
    }
}

async fn plan(node: &Arc<Node>, body: Incoming) -> Result<Response<Body>, Fault> {
    let bytes = read(body, limit::INTENT).await?;
    let text = std::str::from_utf8(&bytes).map_err(|error| Fault::field("body", error))?;
    let intent: Intent = text.parse().map_err(refused)?;
    let base = base(node).await?;
    let id = format!("plan-{:016x}", rand::random::<u64>());
    let id: id::Plan = id
        .parse()
        .map_err(|error| Fault::new(Code::Internal, error))?;
    let made = Plan::make(&base, intent, id).map_err(refused)?;
    event::PLANNED.emit(format_args!(
        "plan={} base={} steps={}",
        made.id,
        made.base,
        made.steps.len()
    ));
    Ok(serve::json(200, &made))
}

/// The newest configuration that can be had: a plan on an old one would be stale at once.
async fn base(node: &Node) -> Result<Arc<Catalog>, Fault> {
    let read = config::read(node).await;
    let down = read.is_err();
    if let Ok(Some(newest)) = read {
        config::offer(node, newest).await;
    }
    let base = held(node, Revision::default()).await?.held;
    // An empty one would show as new what is there already.
    if down && base.revision == Revision::default() {
        return Err(unknown());
    }
    Ok(base)
}

fn unknown() -> Fault {
    let message = "the key-value service does not answer, and no configuration is known here yet";
    Fault {
        retry_after_ms: Some(NOT_READY),
        ..Fault::new(Code::StoreDown, message)
    }
}

fn refused(error: intent::Error) -> Fault {
    let field = error.field().unwrap_or_else(|| "body".into());
    Fault {
        field: Some(field),
        ..Fault::new(Code::BadRequest, &error)
    }
}

async fn confirm(node: &Arc<Node>, body: Incoming) -> Result<Response<Body>, Fault> {
    let bytes = read(body, limit::PLAN).await?;
    let plan: Plan = http::parse(&bytes).map_err(|error| Fault::field("body", error))?;
    if http::json(&plan.after).len() > limit::VALUE {
        let message = format!("the configuration is over {} bytes", limit::VALUE);
        return Err(Fault {
            field: Some("after".into()),
            ..Fault::new(Code::TooLarge, message)
        });
    }
    let id = plan.id.clone();
    let known = held(node, plan.base).await?;
    let mut attempt = Attempt::new(plan, known.held, known.base);
    let mut action = attempt.start();
    let verdict = loop {
        let event = match action {
            Action::Settle(verdict) => break verdict,
            Action::Read => look(node).await,
            Action::Swap { version, value } => swap(node, version, &value).await,
        };
        action = attempt.step(event);
    };
    event::CONFIRMED.emit(format_args!("plan={id} verdict={}", name(&verdict)));
    Ok(serve::json(200, &verdict))
}

async fn look(node: &Arc<Node>) -> Event {
    match config::read(node).await {
        Ok(Some(found)) => {
            config::offer(node, found.clone()).await;
            Event::Found {
                version: found.version,
                catalog: Box::new((*found.catalog).clone()),
            }
        }
        Ok(None) => Event::Found {
            version: 0,
            catalog: Box::default(),
        },
        Err(_down) => Event::Down,
    }
}

async fn swap(node: &Arc<Node>, version: u64, value: &Arc<Catalog>) -> Event {
    let text = serde_json::to_string(value.as_ref()).expect("a catalog has no map keys");
    let put = Put {
        value: text,
        version: Some(version),
        lease: None,
    };
    match node.store.put(KEY, put).await {
        Ok(entry) => {
            let found = config::Found {
                version: entry.version,
                catalog: Arc::clone(value),
            };
            config::offer(node, found).await;
            Event::Swapped
        }
        Err(Error::Conflict(_)) => Event::Conflict,
        Err(Error::Unknown(_)) => Event::Lost,
        Err(Error::Refused(_) | Error::Lapsed) => Event::Down,
    }
}

async fn held(node: &Node, base: Revision) -> Result<Held, Fault> {
    let ask = |reply| Message::Held { base, reply };
    node.control.ask(ask).await.ok_or_else(stopping)
}

async fn read(body: Incoming, limit: usize) -> Result<bytes::Bytes, Fault> {
    let read = http::read(body, limit);
    match tokio::time::timeout(limit::BODY, read).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(error @ http::Error::Large(_))) => Err(Fault {
            field: Some("body".into()),
            ..Fault::new(Code::TooLarge, error)
        }),
        Ok(Err(error)) => Err(Fault::field("body", error)),
        Err(_elapsed) => Err(Fault::field("body", "did not arrive in time")),
    }
}

fn stopping() -> Fault {
    Fault {
        retry_after_ms: Some(NOT_READY),
        ..Fault::new(Code::Unavailable, "this entry instance is stopping")
    }
}

fn name(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Accepted(_) => "accepted",
        Verdict::Stale { .. } => "stale",
        Verdict::Refused { .. } => "refused",
        Verdict::Untried { .. } => "untried",
        Verdict::Unsettled { .. } => "unsettled",
        Verdict::Expired { .. } => "expired",
    }
}
