//! The HTTP interface for callers and operators: routing, checks and answers.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response};

use coltsfoothall::key::Key;
use coltsfoothall::record::{Intake, Name};
use coltsfoothall::size::Millis;
use coltsfoothall_wire::caller::Minted;
use coltsfoothall_wire::fault::{Code, Fault};
use coltsfoothall_wire::peer::Follow;
use coltsfoothall_wire::serve::{self, Answer, Body, Handler};
use coltsfoothall_wire::{body, limit, uri};

use crate::node::Node;
use crate::path::{self, Path};
use crate::source::Source;
use crate::{answer, intake, operator};

/// Retry delay given while this instance is leaving. It is short, as the caller retries at
/// another address.
const RETRY_ELSEWHERE_AFTER: Millis = Millis(100);

/// The HTTP handler for callers and operators.
#[derive(Debug)]
pub struct Front {
    node: Arc<Node>,
}

impl Front {
    /// Creates the handler of an entry instance.
    #[must_use]
    pub fn new(node: Arc<Node>) -> Self {
        Self { node }
    }
}

impl Handler for Front {
    fn call(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> Answer {
        let node = Arc::clone(&self.node);
        Box::pin(async move {
            let answer = route(&node, request).await;
            answer.unwrap_or_else(|fault| serve::fault(&fault))
        })
    }
}

async fn route(node: &Arc<Node>, request: Request<Incoming>) -> Result<Response<Body>, Fault> {
    let (parts, body) = request.into_parts();
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str())
        .to_owned();
    let path = path::scan(&target)
        .ok_or_else(|| Fault::new(Code::NotFound, format!("there is nothing at {target}")))?;
    match (path, &parts.method) {
        (Path::Addresses, &Method::GET) => addresses(node),
        (Path::Keys, &Method::POST) => mint(node, &parts),
        (Path::Completions, &Method::POST) => complete(node, &parts, body).await,
        (Path::Request(key), &Method::GET) => resume(node, &parts, &uri::decode(key)).await,
        (Path::Request(key), &Method::DELETE) => cancel(node, &parts, &uri::decode(key)).await,
        (Path::Service { name, rest }, _) => {
            call(node, &parts, body, &uri::decode(name), rest).await
        }
        (Path::Operator(call), _) => operator::route(node, &parts, body, call).await,
        (Path::Health, &Method::GET) => Ok(serve::empty(204)),
        (_, method) => Err(Fault::field(
            "method",
            format!("{method} is not taken at {target}"),
        )),
    }
}

fn addresses(node: &Node) -> Result<Response<Body>, Fault> {
    let view = node.view();
    let unknown = || retry_later(Code::Unavailable, "no address is known yet");
    let addresses = view.addresses.as_ref().ok_or_else(unknown)?;
    Ok(serve::json(200, addresses))
}

fn mint(node: &Node, parts: &Parts) -> Result<Response<Body>, Fault> {
    intake::head(&parts.headers, &node.view(), deadline(node))?;
    Ok(serve::json(
        201,
        &Minted {
            key: node.requests.mint(node)?,
        },
    ))
}

async fn complete(
    node: &Arc<Node>,
    parts: &Parts,
    body: Incoming,
) -> Result<Response<Body>, Fault> {
    let head = intake::head(&parts.headers, &node.view(), deadline(node))?;
    let fresh = head.key.is_none();
    let key = key(node, head.key.clone())?;
    let body = read_body(node, body).await?;
    let view = node.view();
    let stream = intake::prompt(&body)?.stream;
    let intake = intake::completion(&head, key, &body, &view)?;
    let format = answer::Format::completion(&intake, stream);
    let source = source(node, intake, head.offset, fresh);
    answer::write(node, source, format).await
}

async fn call(
    node: &Arc<Node>,
    parts: &Parts,
    body: Incoming,
    service: &str,
    path: &str,
) -> Result<Response<Body>, Fault> {
    let head = intake::head(&parts.headers, &node.view(), deadline(node))?;
    let fresh = head.key.is_none();
    let key = key(node, head.key.clone())?;
    let body = read_body(node, body).await?;
    let intake = intake::call(&head, key, service, path, parts, body, &node.view())?;
    let format = answer::Format::call(&intake);
    let source = source(node, intake, 0, fresh);
    answer::write(node, source, format).await
}

async fn resume(node: &Arc<Node>, parts: &Parts, key: &str) -> Result<Response<Body>, Fault> {
    let head = intake::head(&parts.headers, &node.view(), deadline(node))?;
    let name = name(head.workspace, key)?;
    let format = answer::Format::resume(&name);
    let follow = Follow {
        name,
        intake: None,
        offset: head.offset,
    };
    answer::write(node, Source::new(Arc::clone(node), follow, false), format).await
}

async fn cancel(node: &Arc<Node>, parts: &Parts, key: &str) -> Result<Response<Body>, Fault> {
    let head = intake::head(&parts.headers, &node.view(), deadline(node))?;
    let name = name(head.workspace, key)?;
    node.cancel(name).await?;
    Ok(serve::empty(204))
}

fn source(node: &Arc<Node>, intake: Intake, offset: u64, fresh: bool) -> Source {
    let name = intake.name.clone();
    let follow = Follow {
        name,
        intake: Some(Box::new(intake)),
        offset,
    };
    Source::new(Arc::clone(node), follow, fresh)
}

fn name(workspace: coltsfoothall::id::Workspace, key: &str) -> Result<Name, Fault> {
    let key = key
        .parse()
        .map_err(|error| Fault::field("request", error))?;
    Ok(Name { workspace, key })
}

/// The caller's key, or a new one that, where possible, falls into a slot owned by this
/// instance.
fn key(node: &Node, given: Option<Key>) -> Result<Key, Fault> {
    match given {
        Some(key) => Ok(key),
        None if node.view().leaving => Err(retry_later(
            Code::Unavailable,
            "this entry instance is leaving; use another",
        )),
        None => node.requests.mint(node),
    }
}

async fn read_body(node: &Node, content: Incoming) -> Result<Bytes, Fault> {
    let read = body::read(&node.bodies, || node.now(), content, limit::REQUEST);
    match tokio::time::timeout(limit::BODY, read).await {
        Ok(Ok(body)) => Ok(body.into_bytes()),
        Ok(Err(body::Error::Large)) => Err(too_large()),
        Ok(Err(error @ body::Error::Evicted)) => {
            Err(retry_later(Code::Overloaded, &error.to_string()))
        }
        Ok(Err(error @ body::Error::Broken)) => Err(Fault::field("body", error)),
        Err(_elapsed) => Err(Fault::field("body", "did not arrive in time")),
    }
}

fn too_large() -> Fault {
    let message = format!("the body is over {} bytes", limit::REQUEST);
    Fault {
        field: Some("body".into()),
        ..Fault::new(Code::TooLarge, message)
    }
}

fn retry_later(code: Code, message: &str) -> Fault {
    Fault {
        retry_after_ms: Some(RETRY_ELSEWHERE_AFTER),
        ..Fault::new(code, message)
    }
}

fn deadline(node: &Node) -> Millis {
    node.settings.times.deadline
}
