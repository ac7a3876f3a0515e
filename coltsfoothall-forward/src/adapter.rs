//! The interface that a platform adapter implements: header names, stored formats and remote calls.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use coltsfoothall::forward::backoff;
use coltsfoothall::forward::choice::Part;
use coltsfoothall::forward::config::Config;
use coltsfoothall::forward::departure;
use coltsfoothall::forward::history::{Era, Fence, Lease, Position};
use coltsfoothall::forward::limit;
use coltsfoothall::forward::node::Entry;
use coltsfoothall::forward::order::Order;
use coltsfoothall::forward::upgrade;
use coltsfoothall::forward::usage::Count;
use coltsfoothall::id;
use coltsfoothall::size::Tokens;
use futures_util::future::LocalBoxFuture;
use http::HeaderMap;
use quick_error::quick_error;

quick_error! {
    /// A failed call to the platform.
    #[derive(Debug, Clone)]
    pub enum Error {
        /// The call had no effect: the connection failed or the platform rejected it.
        Refused(step: &'static str, reason: String) {
            display("{step}: refused: {reason}")
        }
        /// The outcome is unknown: the call may have taken effect, or may still do so.
        Unknown(step: &'static str, reason: String) {
            display("{step}: outcome unknown: {reason}")
        }
        /// A precondition of the call does not hold.
        Conflict(step: &'static str) {
            display("{step}: condition does not hold")
        }
        /// The key or lease that the call names does not exist.
        Missing(step: &'static str) {
            display("{step}: not found")
        }
        /// The store no longer keeps the history from which a watch wants to resume.
        Dropped(step: &'static str) {
            display("{step}: history dropped")
        }
        /// The response or a stored value cannot be parsed.
        Format(step: &'static str, reason: String) {
            display("{step}: cannot read: {reason}")
        }
    }
}

/// What the headers of a caller's request say.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Call {
    /// The request id that the caller chose.
    pub id: Option<String>,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// The caller's API key.
    pub key: Option<String>,
    /// Prompt tokens, and the maximum number of answer tokens.
    pub tokens: Option<(Tokens, Tokens)>,
    /// Parts of the prompt, in order.
    pub parts: Vec<Part>,
    /// The request that began the stream, if the caller resumes one and names it.
    pub resumes: Option<String>,
    /// The last event that the caller has received, if it resumes a stream.
    pub last_event_id: Option<String>,
}

impl Call {
    /// The id of the request that began the stream which the caller resumes, or its own.
    #[must_use]
    pub fn began(&self) -> Option<&str> {
        self.resumes.as_deref().or(self.id.as_deref())
    }
}

/// What an endpoint is sent in addition to the caller's own headers.
#[derive(Debug, Clone)]
pub struct Forward<'a> {
    /// The only endpoint that may run the request.
    pub endpoint: &'a id::Endpoint,
    /// Time left until the deadline of the request.
    pub time_left: Duration,
    /// The workspace that the request belongs to.
    pub workspace: Option<&'a id::Workspace>,
    /// Priority for engines; 0 is the most urgent.
    pub rank: Option<u8>,
    /// The last event that the caller has received, if a stream resumes after it.
    pub last_event_id: Option<&'a str>,
}

/// What the headers of an endpoint's response say.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Reply {
    /// The id of the request that it answers.
    pub id: Option<String>,
    /// The endpoint states that the request did not run there.
    pub not_run: bool,
    /// Another endpoint has taken over the address.
    pub misdirected: bool,
    /// The response bears the endpoint's signature.
    pub signed: bool,
    /// The body has a content encoding, so it is not the endpoint's own body.
    pub encoded: bool,
    /// How long the endpoint keeps an idle connection open, if it says so.
    pub keep_alive: Option<Duration>,
    /// The endpoint closes the connection after this response.
    pub close: bool,
    /// Time after which a refused request may be sent again, if the response names one.
    pub retry_after: Option<Duration>,
    /// The requests that the endpoint takes from all instances together.
    pub limit: limit::Notice,
    /// The rejections a second that the endpoint stands from all instances together.
    pub brittle: limit::Notice,
    /// Whether the endpoint is leaving.
    pub departure: departure::Notice,
    /// When an endpoint that rejects the request wants others again.
    pub backoff: backoff::Notice,
}

/// Reads and writes the headers that callers and endpoints use.
pub trait Dialect {
    /// Parses the headers of a caller's request.
    fn parse_call(&self, head: &HeaderMap) -> Call;
    /// Builds the headers for an endpoint from those of the caller.
    fn request_headers(&self, head: &HeaderMap, forward: &Forward<'_>) -> HeaderMap;
    /// Builds the headers for another instance that runs a caller's request, which has `time_left`
    /// and resumes after the event `after`, if given.
    fn handover_headers(
        &self,
        head: &HeaderMap,
        time_left: Duration,
        after: Option<&str>,
    ) -> HeaderMap;
    /// Parses the headers of an endpoint's response.
    fn parse_reply(&self, status: u16, head: &HeaderMap) -> Reply;
    /// Builds the headers for the caller from those of the endpoint.
    fn response_headers(&self, head: &HeaderMap) -> HeaderMap;
    /// Headers of a response that this program itself generates for the request `id`.
    fn own_headers(&self, id: Option<&str>, retry_after: Option<Duration>) -> HeaderMap;
    /// Whether a path is that of the readiness check.
    fn is_readiness_path(&self, path: &str) -> bool;
    /// The failure domain that a caller names in a request for addresses; none if `path` is no such
    /// request.
    fn address_query(&self, path: &str, query: Option<&str>) -> Option<String>;
    /// The body of a response with addresses that callers may keep for `ttl`.
    fn addresses(&self, fronts: &[SocketAddr], ttl: Duration) -> Bytes;
}

/// A range of keys of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Keyspace {
    /// The operators' configuration and upgrade orders.
    Configuration,
    /// Endpoints' registrations.
    Endpoints,
    /// Members of the fleet and the leader's key; all entry instances watch these.
    Live,
    /// State that a leader leaves to its successor.
    Notes,
    /// The newest tables of the versions that begin streams.
    Versions,
}

/// A key of the store and its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key without the prefix of its keyspace.
    pub name: String,
    /// The value; none if the key was deleted.
    pub value: Option<Bytes>,
    /// Position of the change that wrote the value.
    pub position: Position,
    /// Position of the change that created the key; the default if the key was deleted.
    pub created: Position,
}

/// Values of a keyspace, or changes to them, up to a position in the history of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// The values or changes, in order.
    pub items: Vec<Item>,
    /// The last change that the listing covers.
    pub position: Position,
    /// Number of responses that it was read from.
    pub pages: usize,
}

/// An atomic write to the keyspaces that the instances own. Names begin with `live/`,
/// `notes/` or `versions/`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Write {
    /// Keys that must not exist.
    pub absent: Vec<String>,
    /// Keys and values to put, optionally under a lease.
    pub puts: Vec<(String, Bytes, Option<Lease>)>,
    /// Keys to delete.
    pub deletes: Vec<String>,
}

/// Progress of a service's upgrade, as reported to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The upgrade is under way.
    Running,
    /// All of the service runs the new version.
    Complete,
    /// The new version was rejected and gets no requests.
    RolledBack,
}

/// The report to operators on a service's upgrade.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Progress of the upgrade.
    pub progress: Progress,
    /// The new version.
    pub target: id::Version,
}

/// What the store holds under the key of such a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The report; none if the value cannot be parsed.
    pub report: Option<Report>,
    /// Position at which it was written.
    pub position: Position,
}

/// The key-value store of the platform.
pub trait Store {
    /// Reads all values of a keyspace.
    fn list(&self, keyspace: Keyspace) -> LocalBoxFuture<'_, Result<Listing, Error>>;
    /// Reads the registrations of the members in a failure domain.
    fn list_members<'a>(
        &'a self,
        domain: &'a id::Domain,
    ) -> LocalBoxFuture<'a, Result<Listing, Error>>;
    /// Waits for changes of a keyspace after a position.
    fn watch(
        &self,
        keyspace: Keyspace,
        after: Position,
    ) -> LocalBoxFuture<'_, Result<Listing, Error>>;
    /// Writes to the keyspaces that the instances own; returns the position of the change.
    fn write(&self, write: Write) -> LocalBoxFuture<'_, Result<Position, Error>>;
    /// Obtains a lease.
    fn grant_lease(&self, term: Duration) -> LocalBoxFuture<'_, Result<Lease, Error>>;
    /// Renews a lease; one of an earlier era no longer exists.
    fn renew_lease(&self, lease: Lease) -> LocalBoxFuture<'_, Result<(), Error>>;
    /// Revokes a lease; one of an earlier era no longer exists.
    fn revoke_lease(&self, lease: Lease) -> LocalBoxFuture<'_, Result<(), Error>>;
    /// The newest era that any response was from.
    fn era(&self) -> Option<Era>;
    /// Parses a configuration.
    ///
    /// # Errors
    /// Names the invalid field.
    fn parse_configuration(&self, value: &[u8]) -> Result<Config, Error>;
    /// Whether a key of the operators' keyspace is that of the configuration.
    fn is_configuration(&self, name: &str) -> bool;
    /// Parses an order to upgrade a service; none if the item is not an order.
    ///
    /// # Errors
    /// Names the invalid field.
    fn parse_upgrade(&self, item: &Item) -> Result<Option<upgrade::Order>, Error>;
    /// Reads the report on a service's upgrade; none if there is no value.
    fn read_report<'a>(
        &'a self,
        service: &'a id::Service,
    ) -> LocalBoxFuture<'a, Result<Option<Status>, Error>>;
    /// Writes the report on a service's upgrade, provided that the current one is still that of
    /// `previous`. Returns the position of the change.
    fn write_report<'a>(
        &'a self,
        service: &'a id::Service,
        report: &'a Report,
        previous: Option<Position>,
    ) -> LocalBoxFuture<'a, Result<Position, Error>>;
    /// Parses an endpoint's registration.
    ///
    /// # Errors
    /// Names the invalid field.
    fn parse_registration(&self, item: &Item) -> Result<Entry, Error>;
}

/// The instance that leads, and its fencing token.
#[derive(Debug, Clone, Copy)]
pub struct Leadership<'a> {
    /// The leader.
    pub instance: &'a id::Instance,
    /// Fencing token; it rises with each leader.
    pub fence: Fence,
}

/// Calls to the platform that only the leader makes.
pub trait Cloud {
    /// Reports the usage of a window.
    fn report_usage<'a>(
        &'a self,
        leadership: Leadership<'a>,
        window: u64,
        counts: &'a [Count],
    ) -> LocalBoxFuture<'a, Result<(), Error>>;
    /// Sets the number of endpoints of a service in a failure domain.
    fn order_endpoints<'a>(
        &'a self,
        leadership: Leadership<'a>,
        service: &'a id::Service,
        order: &'a Order,
    ) -> LocalBoxFuture<'a, Result<(), Error>>;
}

/// Everything that a platform adapter provides.
pub trait Adapter: Dialect + Store + Cloud {}

impl<T: Dialect + Store + Cloud> Adapter for T {}
