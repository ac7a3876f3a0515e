//! What a platform's adapter does for this program: names, formats and calls.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use coltsfoothall::forward::choice::Part;
use coltsfoothall::forward::config::Config;
use coltsfoothall::forward::history::{Era, Fence, Lease, Position};
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
    /// A call to the platform that did not succeed.
    #[derive(Debug, Clone)]
    pub enum Error {
        /// Nothing was done: no connection, or turned away.
        Refused(step: &'static str, reason: String) {
            display("{step}: refused: {reason}")
        }
        /// It may have been done, or may be done later.
        Unknown(step: &'static str, reason: String) {
            display("{step}: outcome unknown: {reason}")
        }
        /// A condition does not hold.
        Conflict(step: &'static str) {
            display("{step}: condition does not hold")
        }
        /// What the call names does not exist.
        Missing(step: &'static str) {
            display("{step}: not found")
        }
        /// The history that a watch wants to go on from is dropped.
        Dropped(step: &'static str) {
            display("{step}: history dropped")
        }
        /// The answer or a value cannot be read.
        Format(step: &'static str, reason: String) {
            display("{step}: cannot read: {reason}")
        }
    }
}

/// What a caller says in the head of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Call {
    /// The caller's name of this attempt.
    pub id: Option<String>,
    /// How long the caller will wait.
    pub timeout: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// Tokens of the prompt and most tokens of the answer.
    pub tokens: Option<(Tokens, Tokens)>,
    /// Parts of the prompt in order.
    pub parts: Vec<Part>,
}

/// What goes to an endpoint beside the caller's own words.
#[derive(Debug, Clone)]
pub struct Forward<'a> {
    /// The endpoint that must run it and no other.
    pub endpoint: &'a id::Endpoint,
    /// Time left for it.
    pub time_left: Duration,
    /// Whose request it is.
    pub workspace: Option<&'a id::Workspace>,
    /// Its urgency, 0 first, for engines.
    pub rank: Option<u8>,
    /// The last event that the caller has, where a stream goes on behind it.
    pub last_event_id: Option<&'a str>,
}

/// What an endpoint's answer says in its head.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Reply {
    /// The attempt that it answers.
    pub id: Option<String>,
    /// The endpoint states that the request did not run there.
    pub not_run: bool,
    /// Another endpoint has the address.
    pub misdirected: bool,
    /// It bears the endpoint's signature.
    pub signed: bool,
    /// The body is encoded, so it is not the endpoint's own.
    pub encoded: bool,
    /// How long the endpoint keeps the connection, if it says so.
    pub keep_alive: Option<Duration>,
    /// The endpoint closes the connection after it.
    pub close: bool,
}

/// Headers of callers and endpoints.
pub trait Dialect {
    /// Reads what a caller says.
    fn parse_call(&self, head: &HeaderMap) -> Call;
    /// Turns a caller's headers into those for an endpoint.
    fn request_headers(&self, head: &HeaderMap, forward: &Forward<'_>) -> HeaderMap;
    /// Reads what an endpoint says.
    fn parse_reply(&self, status: u16, head: &HeaderMap) -> Reply;
    /// Turns an endpoint's headers into those for the caller.
    fn response_headers(&self, head: &HeaderMap) -> HeaderMap;
    /// Headers of an answer of this program's own to the attempt `id`.
    fn own_headers(&self, id: Option<&str>, retry_after: Option<Duration>) -> HeaderMap;
    /// Whether a path asks if this instance is ready.
    fn is_readiness_path(&self, path: &str) -> bool;
    /// The failure domain of a caller who asks for addresses, if `path` asks that.
    fn address_query(&self, path: &str, query: Option<&str>) -> Option<String>;
    /// An answer with addresses, kept for `keep`.
    fn addresses(&self, fronts: &[SocketAddr], ttl: Duration) -> Bytes;
}

/// A part of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Keyspace {
    /// The operators' configuration and orders.
    Configuration,
    /// Endpoints' registrations.
    Endpoints,
    /// Who is there, which all entry instances watch.
    Live,
    /// What who acts for all leaves to the next one.
    Notes,
}

/// A value of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Its name within its realm.
    pub name: String,
    /// Its value; none if it was removed.
    pub value: Option<Bytes>,
    /// This change.
    pub position: Position,
    /// The change that created it; the first place of all if it was removed.
    pub created: Position,
}

/// Values of a realm, or changes of them, up to a place in the store's history.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// The values or changes in their order.
    pub items: Vec<Item>,
    /// The last change at the store; those after it are not in here.
    pub position: Position,
}

/// A change of the realms that are the instances' own, made whole or not at all. Names
/// begin with `live/` or `notes/`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Write {
    /// Names that must not be there.
    pub absent: Vec<String>,
    /// Names and values to put, under a lease where there is one.
    pub puts: Vec<(String, Bytes, Option<Lease>)>,
    /// Names to delete.
    pub deletes: Vec<String>,
}

/// How far a service's move is, as operators are told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// It is not decided.
    Running,
    /// All of the service has moved.
    Complete,
    /// The new version gets no work.
    RolledBack,
}

/// What operators are told of a service's move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// How far it is.
    pub progress: Progress,
    /// The new version.
    pub target: id::Version,
}

/// The store.
pub trait Store {
    /// Reads a whole realm.
    fn list(&self, keyspace: Keyspace) -> LocalBoxFuture<'_, Result<Listing, Error>>;
    /// Waits for changes of a realm after a place.
    fn watch(
        &self,
        keyspace: Keyspace,
        after: Position,
    ) -> LocalBoxFuture<'_, Result<Listing, Error>>;
    /// Writes to the instances' own realms; returns the place of the change.
    fn write(&self, write: Write) -> LocalBoxFuture<'_, Result<Position, Error>>;
    /// Takes a lease.
    fn grant_lease(&self, term: Duration) -> LocalBoxFuture<'_, Result<Lease, Error>>;
    /// Renews a lease; one of a former era is gone.
    fn renew_lease(&self, lease: Lease) -> LocalBoxFuture<'_, Result<(), Error>>;
    /// Ends a lease; one of a former era is gone.
    fn revoke_lease(&self, lease: Lease) -> LocalBoxFuture<'_, Result<(), Error>>;
    /// The newest era that any answer was from.
    fn era(&self) -> Option<Era>;
    /// Reads a configuration.
    ///
    /// # Errors
    /// Names the field that is wrong.
    fn parse_configuration(&self, value: &[u8]) -> Result<Config, Error>;
    /// Whether the value of the operators under a name is the configuration.
    fn is_configuration(&self, name: &str) -> bool;
    /// Reads an order to move a service to another version; none if the value is no order.
    ///
    /// # Errors
    /// Names the field that is wrong.
    fn parse_upgrade(&self, item: &Item) -> Result<Option<upgrade::Order>, Error>;
    /// What is told to the operators of a service's move, and when that was written.
    fn read_report<'a>(
        &'a self,
        service: &'a id::Service,
    ) -> LocalBoxFuture<'a, Result<Option<(Report, Position)>, Error>>;
    /// Tells the operators of a service's move, if nothing was told since `had`. Returns the
    /// place of the change.
    fn write_report<'a>(
        &'a self,
        service: &'a id::Service,
        report: &'a Report,
        previous: Option<Position>,
    ) -> LocalBoxFuture<'a, Result<Position, Error>>;
    /// Reads an endpoint's registration.
    ///
    /// # Errors
    /// Names the field that is wrong.
    fn parse_registration(&self, item: &Item) -> Result<Entry, Error>;
}

/// Who acts, and under which number.
#[derive(Debug, Clone, Copy)]
pub struct Leadership<'a> {
    /// The instance.
    pub instance: &'a id::Instance,
    /// Rises with each holder.
    pub fence: Fence,
}

/// What one instance does at the platform for all.
pub trait Cloud {
    /// Reports a window's usage.
    fn report_usage<'a>(
        &'a self,
        leadership: Leadership<'a>,
        window: u64,
        counts: &'a [Count],
    ) -> LocalBoxFuture<'a, Result<(), Error>>;
    /// Orders endpoints of a service.
    fn order_endpoints<'a>(
        &'a self,
        leadership: Leadership<'a>,
        service: &'a id::Service,
        order: &'a Order,
    ) -> LocalBoxFuture<'a, Result<(), Error>>;
}

/// All that a platform's adapter provides.
pub trait Adapter: Dialect + Store + Cloud {}

impl<T: Dialect + Store + Cloud> Adapter for T {}
