//! What a caller asks for.

use bytes::Bytes;
use hyper::Method;

use coltsfoothall::id;
use coltsfoothall::key::Key;
use coltsfoothall::size::Millis;
use coltsfoothall_wire::caller::{Class, Prompt};
use coltsfoothall_wire::http;

/// Where a request's key comes from.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Origin {
    /// The caller makes one up.
    #[default]
    Own,
    /// The system mints it.
    Minted,
    /// It is given.
    Given(Key),
}

/// Work to ask for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Work {
    /// A completion.
    Completion(Prompt),
    /// A call of a plain service.
    Call {
        /// The service.
        service: id::Service,
        /// Method.
        method: Method,
        /// Path within the service, with its slash.
        path: String,
        /// Body.
        body: Bytes,
    },
}

/// A request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// Work to ask for.
    pub work: Work,
    /// Where its key comes from.
    pub origin: Origin,
    /// Whether it may run more than once; the service's rule holds if nothing is said.
    pub idempotent: Option<bool>,
    /// How urgent it is.
    pub class: Class,
    /// Time to wait in all; the caller's patience if nothing is said.
    pub deadline: Option<Millis>,
}

impl From<Prompt> for Ask {
    fn from(prompt: Prompt) -> Self {
        Self::new(Work::Completion(prompt))
    }
}

impl Ask {
    /// An interactive request with a key of the caller's own.
    #[must_use]
    pub fn new(work: Work) -> Self {
        Self {
            work,
            origin: Origin::default(),
            idempotent: None,
            class: Class::default(),
            deadline: None,
        }
    }

    /// Whether the answer comes in parts.
    #[must_use]
    pub fn streams(&self) -> bool {
        matches!(&self.work, Work::Completion(prompt) if prompt.stream)
    }

    pub(crate) fn method(&self) -> Method {
        match &self.work {
            Work::Completion(_) => Method::POST,
            Work::Call { method, .. } => method.clone(),
        }
    }

    pub(crate) fn path(&self) -> String {
        match &self.work {
            Work::Completion(_) => "/v1/completions".into(),
            Work::Call { service, path, .. } => {
                format!("/v1/services/{service}/{}", path.trim_start_matches('/'))
            }
        }
    }

    pub(crate) fn body(&self) -> Bytes {
        match &self.work {
            Work::Completion(prompt) => http::json(prompt),
            Work::Call { body, .. } => body.clone(),
        }
    }
}
