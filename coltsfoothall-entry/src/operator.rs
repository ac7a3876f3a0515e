//! The operators' HTTP interface: submit an intent, get a plan, confirm it.

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
use crate::message::{Configs, Message};
use crate::node::Node;
use crate::store::Error;

/// Retry delay given while this instance has no configuration yet.
const RETRY_NOT_READY_AFTER: Millis = Millis(500);

/// Answers a call under `/v1/operator/`.
///
/// # Errors
/// The token is wrong, the call is unknown, or its body is invalid.
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
            let configs = configs(node, Revision::default()).await?;
            Ok(serve::json(200, configs.current.as_ref()))
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
    let intent: Intent = text.parse().map_err(invalid_intent)?;
    let base = base(node).await?;
    let id = format!("plan-{:016x}", rand::random::<u64>());
    let id: id::Plan = id
        .parse()
        .map_err(|error| Fault::new(Code::Internal, error))?;
    let planned = Plan::make(&base, intent, id).map_err(invalid_intent)?;
    event::PLANNED.emit(format_args!(
        "plan={} base={} steps={}",
        planned.id,
        planned.base,
        planned.steps.len()
    ));
    Ok(serve::json(200, &planned))
}

/// The newest configuration available: a plan based on an older one would be stale at once.
async fn base(node: &Node) -> Result<Arc<Catalog>, Fault> {
    let read = config::read(node).await;
    let down = read.is_err();
    if let Ok(Some(newest)) = read {
        config::offer(node, newest).await;
    }
    let base = configs(node, Revision::default()).await?.current;
    // A plan based on an empty configuration would show everything that exists as new.
    if down && base.revision == Revision::default() {
        return Err(no_config());
    }
    Ok(base)
}

fn no_config() -> Fault {
    let message = "the key-value service does not answer, and no configuration is known here yet";
    Fault {
        retry_after_ms: Some(RETRY_NOT_READY_AFTER),
        ..Fault::new(Code::StoreDown, message)
    }
}

fn invalid_intent(error: intent::Error) -> Fault {
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
    let configs = configs(node, plan.base).await?;
    let mut attempt = Attempt::new(plan, configs.current, configs.base);
    let mut action = attempt.start();
    let verdict = loop {
        let event = match action {
            Action::Settle(verdict) => break verdict,
            Action::Read => read_config(node).await,
            Action::Swap { version, value } => swap(node, version, &value).await,
        };
        action = attempt.step(event);
    };
    event::CONFIRMED.emit(format_args!("plan={id} verdict={}", verdict_name(&verdict)));
    Ok(serve::json(200, &verdict))
}

async fn read_config(node: &Arc<Node>) -> Event {
    match config::read(node).await {
        Ok(Some(stored)) => {
            config::offer(node, stored.clone()).await;
            Event::Found {
                version: stored.version,
                catalog: Box::new((*stored.catalog).clone()),
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
            let stored = config::Stored {
                version: entry.version,
                catalog: Arc::clone(value),
            };
            config::offer(node, stored).await;
            Event::Swapped
        }
        Err(Error::Conflict(_)) => Event::Conflict,
        Err(Error::Unknown(_)) => Event::Lost,
        Err(Error::Refused(_) | Error::Expired) => Event::Down,
    }
}

async fn configs(node: &Node, base: Revision) -> Result<Configs, Fault> {
    let message = |reply| Message::Configs { base, reply };
    node.control.ask(message).await.ok_or_else(stopping)
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
        retry_after_ms: Some(RETRY_NOT_READY_AFTER),
        ..Fault::new(Code::Unavailable, "this entry instance is stopping")
    }
}

fn verdict_name(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Accepted(_) => "accepted",
        Verdict::Stale { .. } => "stale",
        Verdict::Refused { .. } => "refused",
        Verdict::Untried { .. } => "untried",
        Verdict::Unsettled { .. } => "unsettled",
        Verdict::Expired { .. } => "expired",
    }
}
