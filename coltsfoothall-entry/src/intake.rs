//! Checks callers' HTTP requests and converts them into accepted requests.

use std::str::FromStr;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use hyper::http::request::Parts;

use coltsfoothall::catalog::{Kind, Revision};
use coltsfoothall::id;
use coltsfoothall::key::Key;
use coltsfoothall::record::{Class, Header, Intake, Name, Work};
use coltsfoothall::size::Millis;
use coltsfoothall_wire::caller::Prompt;
use coltsfoothall_wire::fault::{Code, Fault};
use coltsfoothall_wire::{header, http, limit};

use crate::view::View;

/// Headers of a plain call that are not forwarded, as they belong to this hop or to the
/// system.
const HOP_HEADERS: [&str; 11] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    header::KEY,
];

/// Retry delay given while this instance has no configuration yet.
const RETRY_NOT_READY_AFTER: Millis = Millis(500);

/// Prefix of the system's own headers.
const SYSTEM_PREFIX: &str = "coltsfoothall-";

/// The contents of a caller's headers.
#[derive(Debug, Clone)]
pub struct Head {
    /// The caller's workspace.
    pub workspace: id::Workspace,
    /// The key that the caller chose.
    pub key: Option<Key>,
    /// Whether the caller marked the request as idempotent or not.
    pub idempotent: Option<bool>,
    /// The request's class.
    pub class: Class,
    /// How long the caller waits for the answer.
    pub deadline: Millis,
    /// Number of tokens that the caller already has.
    pub offset: u64,
}

/// Reads the headers of a caller's request.
///
/// # Errors
/// The token is unknown, or a header cannot be read; the fault names it.
pub fn head(headers: &HeaderMap, view: &View, deadline: Millis) -> Result<Head, Fault> {
    let workspace = workspace(headers, view)?;
    let limit = Millis::from(limit::DEADLINE);
    let deadline = field::<u64>(headers, header::DEADLINE)?.map_or(deadline, Millis);
    if deadline.0 == 0 || deadline > limit {
        return Err(Fault::field(
            header::DEADLINE,
            format!("must be from 1 to {}", limit.0),
        ));
    }
    Ok(Head {
        workspace,
        key: field(headers, header::KEY)?,
        idempotent: field(headers, header::IDEMPOTENT)?,
        class: class(headers)?,
        deadline,
        offset: field(headers, header::LAST_EVENT)?.unwrap_or(0),
    })
}

fn workspace(headers: &HeaderMap, view: &View) -> Result<id::Workspace, Fault> {
    // Without a configuration no token is known, so none can be rejected as wrong.
    if view.catalog.revision == Revision::default() {
        let message = "this entry instance knows no configuration yet; use another";
        let fault = Fault::new(Code::Unavailable, message);
        return Err(Fault {
            retry_after_ms: Some(RETRY_NOT_READY_AFTER),
            ..fault
        });
    }
    let token = bearer(headers)
        .ok_or_else(|| Fault::new(Code::Unauthorized, "the request carries no bearer token"))?;
    let found = view.workspace(token);
    found
        .cloned()
        .ok_or_else(|| Fault::new(Code::Unauthorized, "no workspace has this token"))
}

/// The bearer token of a request.
#[must_use]
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers
        .get(AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix("Bearer ")
}

fn class(headers: &HeaderMap) -> Result<Class, Fault> {
    match text(headers, header::CLASS)? {
        None | Some("interactive") => Ok(Class::Interactive),
        Some("batch") => Ok(Class::Batch),
        Some(_other) => Err(Fault::field(header::CLASS, "must be interactive or batch")),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Fault> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value
        .to_str()
        .map(Some)
        .map_err(|_binary| Fault::field(name, "must be plain text"))
}

fn field<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, Fault>
where
    T::Err: std::fmt::Display,
{
    let Some(value) = text(headers, name)? else {
        return Ok(None);
    };
    value
        .parse()
        .map(Some)
        .map_err(|error: T::Err| Fault::field(name, error))
}

/// Converts a completion into an accepted request.
///
/// # Errors
/// The body cannot be read, or names a model that no service runs.
pub fn completion(head: &Head, key: Key, body: &[u8], view: &View) -> Result<Intake, Fault> {
    let prompt = prompt(body)?;
    let runner = view.runner(&prompt.model).ok_or_else(|| {
        let message = format!("no service runs {}", prompt.model);
        Fault {
            field: Some("model".into()),
            ..Fault::new(Code::NotFound, message)
        }
    })?;
    Ok(Intake {
        name: Name {
            workspace: head.workspace.clone(),
            key,
        },
        service: runner.service.name.clone(),
        work: Work::Completion {
            model: runner.model.clone(),
            adapter: runner.adapter.cloned(),
            prompt: prompt.prompt,
            max_tokens: prompt.max_tokens,
        },
        idempotent: head.idempotent.unwrap_or(true),
        class: head.class,
        deadline: head.deadline,
    })
}

/// Parses and checks a completion's body.
///
/// # Errors
/// A field is invalid; the fault names it.
pub fn prompt(body: &[u8]) -> Result<Prompt, Fault> {
    let prompt: Prompt = http::parse(body).map_err(|error| Fault::field("body", error))?;
    if prompt.prompt.is_empty() {
        return Err(Fault::field("prompt", "must not be empty"));
    }
    if prompt.max_tokens == 0 || prompt.max_tokens > limit::TOKENS {
        let message = format!("must be from 1 to {}", limit::TOKENS);
        return Err(Fault::field("max_tokens", message));
    }
    Ok(prompt)
}

/// Converts a call of a plain service into an accepted request.
///
/// `path` is what follows the service's prefix, with the query.
///
/// # Errors
/// There is no such plain service.
pub fn call(
    head: &Head,
    key: Key,
    service: &str,
    path: &str,
    parts: &Parts,
    body: Bytes,
    view: &View,
) -> Result<Intake, Fault> {
    let unknown = || {
        Fault::new(
            Code::NotFound,
            format!("there is no plain service {service}"),
        )
    };
    let service = view.service(service).ok_or_else(unknown)?;
    let Kind::Plain { non_idempotent } = &service.kind else {
        return Err(unknown());
    };
    let marked_non_idempotent = non_idempotent
        .iter()
        .any(|prefix| path.starts_with(prefix.as_str()));
    let idempotent =
        !marked_non_idempotent && head.idempotent.unwrap_or(parts.method.is_idempotent());
    Ok(Intake {
        name: Name {
            workspace: head.workspace.clone(),
            key,
        },
        service: service.name.clone(),
        work: Work::Call {
            method: parts.method.to_string(),
            path: path.into(),
            headers: forwarded_headers(&parts.headers),
            body,
        },
        idempotent,
        class: head.class,
        deadline: head.deadline,
    })
}

/// Headers that are forwarded to the other side of this hop.
#[must_use]
pub fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    let is_forwarded =
        |name: &str| !HOP_HEADERS.contains(&name) && !name.starts_with(SYSTEM_PREFIX);
    let forwarded = headers
        .iter()
        .filter(|(name, _)| is_forwarded(name.as_str()));
    let headers = forwarded.filter_map(|(name, value)| {
        let value = value.to_str().ok()?;
        Some(Header {
            name: name.as_str().into(),
            value: value.into(),
        })
    });
    headers.collect()
}
