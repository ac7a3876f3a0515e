//! HTTP side of the key-value service, its rate limits, counts and watches.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use coltsfoothall::clock::Time;
use coltsfoothall::size::Rate;
use coltsfoothall_wire::serve::{self, Answer, Body, Handler};
use coltsfoothall_wire::store::{Conflict, Entry, Grant, Put};
use coltsfoothall_wire::{http, limit, uri};

use crate::fault::{self, Gate};
use crate::kv::{Error, Store};
use crate::query;
use crate::rate::Window;

/// Longest wait of a watch; it bounds the connections that waiting callers hold.
pub const WAIT: Duration = Duration::from_secs(60);
/// How often lapsed leases are looked for, so that watches see them.
const TICK: Duration = Duration::from_millis(20);

/// Rate limits of the service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Writes in any second, calls on leases among them.
    pub writes: Rate,
    /// Reads in any second, watches among them.
    pub reads: Rate,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            writes: Rate(400),
            reads: Rate(2000),
        }
    }
}

/// Calls since the start, by kind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads of one key.
    pub gets: u64,
    /// Swaps, refused ones too.
    pub puts: u64,
    /// Removals, refused ones too.
    pub deletes: u64,
    /// Lists.
    pub lists: u64,
    /// Leases granted.
    pub grants: u64,
    /// Renewals of leases.
    pub renewals: u64,
    /// Leases given back.
    pub revokes: u64,
    /// Watches.
    pub watches: u64,
    /// Swaps and removals that met another version.
    pub conflicts: u64,
    /// Calls over the rate; they are in no other count.
    pub limited: u64,
    /// Calls in an outage, hanging ones too; they are in no other count.
    pub down: u64,
    /// Answers lost after the effect.
    pub lost: u64,
}

/// A call, read from method and path.
#[derive(Debug)]
enum Call {
    Get(String),
    Put(String),
    Delete(String, Option<u64>),
    List(String),
    Grant,
    Renew(u64),
    Revoke(u64),
    Watch(Watch),
}

#[derive(Debug)]
struct Watch {
    prefix: String,
    after: u64,
    wait: Duration,
}

impl Call {
    fn scan(request: &Request<Incoming>) -> Option<Self> {
        let target = request.uri();
        let rest = target.path().strip_prefix("/v1/")?;
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let name = uri::decode(name);
        let method = request.method();
        let call = match (kind, method) {
            ("kv", &Method::GET) => Self::Get(name.into_owned()),
            ("kv", &Method::PUT) => Self::Put(name.into_owned()),
            ("kv", &Method::DELETE) => {
                Self::Delete(name.into_owned(), query::number(target, "version"))
            }
            ("list", &Method::GET) => Self::List(name.into_owned()),
            ("leases", &Method::POST) => Self::Grant,
            ("leases", &Method::PUT) => Self::Renew(name.parse().ok()?),
            ("leases", &Method::DELETE) => Self::Revoke(name.parse().ok()?),
            ("watch", &Method::GET) => Self::Watch(Watch {
                prefix: name.into_owned(),
                after: query::number(target, "after").unwrap_or(0),
                wait: Duration::from_millis(query::number(target, "wait_ms").unwrap_or(0))
                    .min(WAIT),
            }),
            _ => return None,
        };
        Some(call)
    }

    fn writes(&self) -> bool {
        match self {
            Self::Get(_) | Self::List(_) | Self::Watch(_) => false,
            Self::Put(_) | Self::Delete(..) | Self::Grant | Self::Renew(_) | Self::Revoke(_) => {
                true
            }
        }
    }

    /// The key that it writes a value of.
    fn put_key(&self) -> Option<String> {
        match self {
            Self::Put(key) => Some(key.clone()),
            Self::Get(_)
            | Self::List(_)
            | Self::Watch(_)
            | Self::Delete(..)
            | Self::Grant
            | Self::Renew(_)
            | Self::Revoke(_) => None,
        }
    }

    fn count<'a>(&self, counts: &'a mut Counts) -> &'a mut u64 {
        match self {
            Self::Get(_) => &mut counts.gets,
            Self::Put(_) => &mut counts.puts,
            Self::Delete(..) => &mut counts.deletes,
            Self::List(_) => &mut counts.lists,
            Self::Grant => &mut counts.grants,
            Self::Renew(_) => &mut counts.renewals,
            Self::Revoke(_) => &mut counts.revokes,
            Self::Watch(_) => &mut counts.watches,
        }
    }
}

#[derive(Debug)]
struct State {
    store: Store,
    reads: Window,
    writes: Window,
    counts: Counts,
    /// The value before the last of each key that was written twice, sorted by key.
    past: Vec<Entry>,
}

impl State {
    /// Keeps the value that a write replaced.
    fn keep(&mut self, entry: Entry) {
        match self.past.binary_search_by(|past| past.key.cmp(&entry.key)) {
            Ok(at) => self.past[at] = entry,
            Err(at) => self.past.insert(at, entry),
        }
    }

    /// The value before the last.
    fn stale(&self, key: &str) -> Option<Entry> {
        let at = self
            .past
            .binary_search_by(|past| past.key.as_str().cmp(key))
            .ok()?;
        Some(self.past[at].clone())
    }

    /// Counts a call and says whether it is within the rate.
    fn admit(&mut self, now: Time, call: &Call) -> bool {
        let window = if call.writes() {
            &mut self.writes
        } else {
            &mut self.reads
        };
        let within = window.admit(now);
        let count = if within {
            call.count(&mut self.counts)
        } else {
            &mut self.counts.limited
        };
        *count += 1;
        within
    }
}

/// The service behind its port.
#[derive(Debug)]
pub struct Server {
    state: Mutex<State>,
    revision: watch::Sender<u64>,
    gate: Gate,
    start: Instant,
}

/// Serves until `stop`.
pub async fn run(listener: TcpListener, settings: Settings, stop: CancellationToken) {
    let server = Arc::new(Server::new(&settings, stop.clone()));
    let ticks = Arc::clone(&server);
    tokio::select! {
        () = serve::run(listener, server, stop) => {}
        () = ticks.tick() => {}
    }
}

impl Server {
    fn new(settings: &Settings, stop: CancellationToken) -> Self {
        let state = State {
            store: Store::default(),
            reads: Window::new(settings.reads),
            writes: Window::new(settings.writes),
            counts: Counts::default(),
            past: Vec::new(),
        };
        Self {
            state: Mutex::new(state),
            revision: watch::Sender::new(0),
            gate: Gate::new(stop),
            start: Instant::now(),
        }
    }

    /// Lets leases lapse while nobody calls.
    async fn tick(&self) {
        let mut ticks = tokio::time::interval(TICK);
        loop {
            ticks.tick().await;
            self.with(|state, now| state.store.advance(now));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Works on the state, then wakes the watches if it changed.
    fn with<T>(&self, work: impl FnOnce(&mut State, Time) -> T) -> T {
        let mut state = self.lock();
        let now = Time::since_start(self.start.elapsed());
        let result = work(&mut state, now);
        let revision = state.store.revision();
        self.revision
            .send_if_modified(|seen| std::mem::replace(seen, revision) != revision);
        result
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        match request.uri().path() {
            fault::PATH => return self.gate.control(request).await,
            "/v1/counts" => return serve::json(200, &self.lock().counts),
            _ => {}
        }
        let Some(call) = Call::scan(&request) else {
            return serve::empty(404);
        };
        // Hanging calls are counted before they stay.
        if self.gate.fault().down || self.gate.fault().hang {
            self.lock().counts.down += 1;
        }
        if let Some(outage) = self.gate.enter().await {
            return outage;
        }
        if !self.with(|state, now| state.admit(now, &call)) {
            return serve::empty(429);
        }
        let (writes, key) = (call.writes(), call.put_key());
        let answer = self.apply(call, request).await;
        let done = writes && answer.status().is_success();
        let lost = done && self.gate.lost(key.as_deref());
        self.gate.leave().await;
        if lost {
            self.lock().counts.lost += 1;
            return serve::hang_up();
        }
        answer
    }

    async fn apply(&self, call: Call, request: Request<Incoming>) -> Response<Body> {
        match call {
            Call::Get(key) => match self.get(&key) {
                Some(entry) => serve::json(200, &entry),
                None => serve::empty(404),
            },
            Call::Put(key) => self.put(&key, request).await,
            Call::Delete(key, version) => self.done(|store, now| store.delete(now, &key, version)),
            Call::List(prefix) => {
                serve::json(200, &self.with(|state, now| state.store.list(now, &prefix)))
            }
            Call::Grant => self.grant(request).await,
            Call::Renew(id) => self.reply(|store, now| store.renew(now, id)),
            Call::Revoke(id) => self.done(|store, now| store.revoke(now, id)),
            Call::Watch(watch) => self.watch(watch).await,
        }
    }

    fn get(&self, key: &str) -> Option<Entry> {
        let stale = self.gate.fault().stale_reads;
        self.with(|state, now| {
            let past = if stale { state.stale(key) } else { None };
            past.or_else(|| state.store.get(now, key))
        })
    }

    async fn put(&self, key: &str, request: Request<Incoming>) -> Response<Body> {
        match http::read_json::<Put, _>(request.into_body(), limit::FRAME).await {
            Ok(put) => {
                let before = self.with(|state, now| state.store.get(now, key));
                let answer = self.reply(|store, now| store.put(now, key, put));
                if let (Some(before), true) = (before, answer.status().is_success()) {
                    self.lock().keep(before);
                }
                answer
            }
            Err(error) => fault::malformed(&error),
        }
    }

    async fn grant(&self, request: Request<Incoming>) -> Response<Body> {
        match http::read_json::<Grant, _>(request.into_body(), limit::FRAME).await {
            Ok(grant) => self.reply(|store, now| Ok(store.grant(now, grant.ttl_ms))),
            Err(error) => fault::malformed(&error),
        }
    }

    fn reply<T: Serialize>(
        &self,
        work: impl FnOnce(&mut Store, Time) -> Result<T, Error>,
    ) -> Response<Body> {
        match self.with(|state, now| work(&mut state.store, now)) {
            Ok(value) => serve::json(200, &value),
            Err(error) => self.refuse(error),
        }
    }

    fn done(&self, work: impl FnOnce(&mut Store, Time) -> Result<(), Error>) -> Response<Body> {
        match self.with(|state, now| work(&mut state.store, now)) {
            Ok(()) => serve::empty(204),
            Err(error) => self.refuse(error),
        }
    }

    fn refuse(&self, error: Error) -> Response<Body> {
        match error {
            Error::Conflict(current) => {
                self.lock().counts.conflicts += 1;
                serve::json(409, &Conflict { current })
            }
            Error::Lapsed(_lease) => serve::empty(404),
            Error::Large(_bytes) => serve::empty(413),
        }
    }

    /// Waits for a change under the prefix; an outage ends the wait.
    async fn watch(&self, watch: Watch) -> Response<Body> {
        let mut revision = self.revision.subscribe();
        let mut faults = self.gate.follow();
        let end = tokio::time::sleep(watch.wait);
        let mut end = std::pin::pin!(end);
        loop {
            let list = self.with(|state, now| state.store.changes(now, &watch.prefix, watch.after));
            if !list.entries.is_empty() || end.is_elapsed() || self.gate.ending() {
                return serve::json(200, &list);
            }
            tokio::select! {
                _changed = revision.changed() => {}
                () = self.gate.changed(&mut faults) => {}
                () = end.as_mut() => {}
            }
            if let Some(outage) = self.gate.enter().await {
                return outage;
            }
        }
    }
}

impl Handler for Server {
    fn call(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> Answer {
        Box::pin(async move { self.answer(request).await })
    }
}
