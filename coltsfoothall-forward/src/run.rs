//! Starts the tasks of an instance, and stops them in order.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use coltsfoothall::forward::role::Role;
use coltsfoothall::id;
use coltsfoothall::size::Bytes;
use coltsfoothall_shell::metric::Board;
use coltsfoothall_shell::{event, settings, stop as signals};
use futures_util::future::LocalBoxFuture;
use http::{HeaderMap, Request, Response, StatusCode};
use hyper::body::Incoming;
use quick_error::quick_error;
use rustix::process::{Resource, getrlimit};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;

use crate::adapter::Adapter;
use crate::connection::Connection;
use crate::fetch::{COMPRESSED_CONFIGURATION_PATH, CONFIGURATION_PATH, ENDPOINTS_PATH};
use crate::handover::Receiver;
use crate::intake::Front;
use crate::listen::{self, Connections, Handler, Limits};
use crate::outgoing::{Outgoing, answer, empty, json};
use crate::settings::Settings;
use crate::slots::Slots;
use crate::state::State;
use crate::{
    configuration, duty, gossip, membership, reach, registrations, socket, stop, versions,
};

/// Interval between summary log lines.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);
/// Interval at which the settings file is read without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);
/// Path of the metrics at the control address.
const METRICS_PATH: &str = "/metrics";
/// Largest request head that a control listener accepts.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// Memory that a connection may take without a body: what the kernel has received for it, and the
/// buffer of its head.
const CONNECTION_BYTES: u64 = 64 << 10;

quick_error! {
    /// An instance that cannot start.
    #[derive(Debug)]
    pub enum Error {
        /// An address cannot be bound.
        Bind(what: &'static str, address: SocketAddr, message: String) {
            display("cannot listen for {what} at {address}: {message}")
        }
        /// Signals cannot be listened to.
        Signal(message: String) {
            display("cannot listen to signals: {message}")
        }
        /// Metrics cannot be set up.
        Board(message: String) {
            display("{message}")
        }
        /// A field of the settings is missing.
        Missing(field: &'static str) {
            display("settings: {field} is missing")
        }
    }
}

/// Runs an instance until it receives a signal to stop.
///
/// # Errors
/// An address cannot be bound, or signals cannot be listened to.
pub async fn run(file: PathBuf, settings: Settings, adapter: Rc<dyn Adapter>) -> Result<(), Error> {
    let local = LocalSet::new();
    local.run_until(run_local(file, settings, adapter)).await
}

async fn run_local(
    file: PathBuf,
    settings: Settings,
    adapter: Rc<dyn Adapter>,
) -> Result<(), Error> {
    let name: id::Instance = settings
        .instance
        .clone()
        .ok_or(Error::Missing("instance"))?;
    let domain = settings.domain.clone().ok_or(Error::Missing("domain"))?;
    let stopping = signals::token().map_err(|error| Error::Signal(error.to_string()))?;
    let hangup = signal(SignalKind::hangup()).map_err(|error| Error::Signal(error.to_string()))?;
    let board = Board::new().map_err(|error| Error::Board(error.to_string()))?;
    let state = Rc::new(State::new(
        settings,
        name,
        domain,
        adapter,
        stopping.clone(),
        board,
    ));
    let callers = Connections::default();
    serve(&state, &callers).await?;
    let peer = SocketAddr::new(state.front().ip(), state.settings().peer_port);
    let socket = UdpSocket::bind(peer)
        .await
        .map_err(|error| Error::Bind("peers", peer, error.to_string()))?;
    let socket = Rc::new(socket);
    start(&state, &socket);
    tokio::task::spawn_local(log_summaries(Rc::clone(&state)));
    tokio::task::spawn_local(reload(Rc::clone(&state), file, hangup));
    event::STARTED.emit(format_args!(
        "instance={} boot={:x}",
        state.name, state.boot
    ));
    stopping.cancelled().await;
    stop::run(&state, &socket, &callers).await;
    Ok(())
}

fn start(state: &Rc<State>, socket: &Rc<UdpSocket>) {
    tokio::task::spawn_local(versions::read(Rc::clone(state)));
    tokio::task::spawn_local(versions::keep(Rc::clone(state)));
    tokio::task::spawn_local(configuration::follow(Rc::clone(state)));
    tokio::task::spawn_local(configuration::fetch_from_peers(Rc::clone(state)));
    tokio::task::spawn_local(registrations::follow(Rc::clone(state)));
    tokio::task::spawn_local(membership::follow(Rc::clone(state)));
    tokio::task::spawn_local(membership::fetch_endpoints(Rc::clone(state)));
    tokio::task::spawn_local(gossip::send_heartbeats(Rc::clone(state), Rc::clone(socket)));
    tokio::task::spawn_local(gossip::receive_heartbeats(
        Rc::clone(state),
        Rc::clone(socket),
    ));
    tokio::task::spawn_local(reach::watch(Rc::clone(state)));
    tokio::task::spawn_local(duty::register(Rc::clone(state)));
    tokio::task::spawn_local(duty::campaign(Rc::clone(state)));
    tokio::task::spawn_local(duty::run_leader(Rc::clone(state)));
    tokio::task::spawn_local(duty::run_autoscaler(Rc::clone(state)));
}

/// Logs summaries at intervals.
async fn log_summaries(state: Rc<State>) {
    loop {
        tokio::time::sleep(SUMMARY_INTERVAL).await;
        state.log_summary();
    }
}

/// Reloads the settings at each SIGHUP and, since the file may change without one, at intervals.
async fn reload(state: Rc<State>, file: PathBuf, mut hangup: Signal) {
    let mut last = settings::load::<Settings>(&file).ok();
    loop {
        tokio::select! {
            _signal = hangup.recv() => {}
            () = tokio::time::sleep(RELOAD_INTERVAL) => {}
        }
        match settings::load::<Settings>(&file) {
            Ok(settings) if last.as_ref() == Some(&settings) => {}
            Ok(settings) => {
                last = Some(settings.clone());
                state.reload(settings);
            }
            // The last valid settings stay in force.
            Err(error) => event::RELOAD_FAILED.emit(format_args!("reason={:?}", error.to_string())),
        }
    }
}

/// The descriptors that this process may open.
fn descriptors(settings: &Settings) -> usize {
    match settings.descriptors {
        0 => {
            let limit = getrlimit(Resource::Nofile).current;
            limit.map_or(usize::MAX, |limit| {
                usize::try_from(limit).unwrap_or(usize::MAX)
            })
        }
        named => named,
    }
}

/// Which share of the descriptors and of the memory the connections of a listener may take. The rest
/// is for connections to endpoints, to other instances and to the store.
#[derive(Debug, Clone, Copy)]
enum Share {
    Callers,
    Peers,
    /// Instances that read for others hold a connection of each of them.
    Control,
    /// Short questions: readiness and the directory.
    Questions,
}

impl Share {
    /// The largest number of connections.
    fn connections(self, memory: Bytes, descriptors: usize) -> usize {
        let (descriptors, memory) = match self {
            Self::Callers => (descriptors / 5 * 2, memory.0 / 4),
            Self::Peers => (descriptors / 10, memory.0 / 16),
            Self::Control => (descriptors / 20 * 3, memory.0 / 8),
            Self::Questions => (descriptors / 20, memory.0 / 32),
        };
        let affordable = memory / CONNECTION_BYTES;
        descriptors.min(usize::try_from(affordable).unwrap_or(usize::MAX))
    }
}

/// Binds all listeners of the settings. Those that do not serve callers run until the process ends.
async fn serve(state: &Rc<State>, callers: &Connections) -> Result<(), Error> {
    let listen = state.settings().listen.clone();
    let control: Rc<dyn Handler> = Rc::new(Control(Rc::clone(state)));
    let front: Rc<dyn Handler> = Rc::new(Front(Rc::clone(state)));
    let receiver: Rc<dyn Handler> = Rc::new(Receiver(Rc::clone(state)));
    let peer = listen
        .front
        .map(|front| SocketAddr::new(front.ip(), state.settings().peer_port));
    let others = Connections::default();
    let parts = [
        ("callers", listen.front, &front, callers, Share::Callers),
        ("requests of peers", peer, &receiver, callers, Share::Peers),
        (
            "readiness",
            listen.readiness,
            &control,
            &others,
            Share::Questions,
        ),
        (
            "addresses",
            listen.directory,
            &control,
            &others,
            Share::Questions,
        ),
        ("control", listen.control, &control, &others, Share::Control),
    ];
    let descriptors = descriptors(&state.settings());
    for (what, address, handler, connections, share) in parts {
        let Some(address) = address else {
            continue;
        };
        let bind = |error: io::Error| Error::Bind(what, address, error.to_string());
        let listener = TcpListener::bind(address).await.map_err(bind)?;
        socket::limit_unread(&listener).map_err(bind)?;
        let slots = Rc::new(Slots::new(
            what,
            share.connections(state.settings().memory(), descriptors),
        ));
        state.slots.borrow_mut().push(Rc::clone(&slots));
        let serving = listen::run(listener, Rc::clone(handler), connections.clone(), slots);
        tokio::task::spawn_local(serving);
    }
    Ok(())
}

/// Serves readiness checks, addresses, and requests of other instances and operators.
#[derive(Debug)]
struct Control(Rc<State>);

impl Handler for Control {
    fn limits(&self) -> Limits {
        Limits {
            max_head_bytes: MAX_HEAD_BYTES,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(30),
        }
    }

    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
        _connection: Rc<Connection>,
    ) -> LocalBoxFuture<'static, Response<Outgoing>> {
        let answer = respond(&self.0, request.uri().path(), request.uri().query());
        Box::pin(std::future::ready(answer))
    }
}

fn respond(state: &State, path: &str, query: Option<&str>) -> Response<Outgoing> {
    let adapter = &state.adapter;
    if adapter.is_readiness_path(path) {
        return empty(if state.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        });
    }
    if let Some(domain) = adapter.address_query(path, query) {
        let serves = state.is_ready() && state.role() == Role::Active;
        let own = serves.then(|| (state.front(), state.domain.as_str()));
        let fronts = state
            .peers
            .borrow()
            .front_addresses(state.now(), &domain, own);
        if fronts.is_empty() {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let ttl = state.settings().bounds.addresses.duration();
        return json(Outgoing::full(adapter.addresses(&fronts, ttl)));
    }
    if path == METRICS_PATH {
        state.update_gauges();
        return match state.board.render() {
            Ok(text) => answer(StatusCode::OK, HeaderMap::new(), Outgoing::full(text)),
            Err(error) => {
                event::BROKEN.emit(format_args!("rule=metrics reason={:?}", error.to_string()));
                empty(StatusCode::INTERNAL_SERVER_ERROR)
            }
        };
    }
    match path {
        CONFIGURATION_PATH => configuration::show(state),
        COMPRESSED_CONFIGURATION_PATH => configuration::show_compressed(state),
        ENDPOINTS_PATH => match registrations::page(state, query) {
            Some(bytes) => json(Outgoing::full(bytes)),
            None => empty(StatusCode::NOT_FOUND),
        },
        _ => empty(StatusCode::NOT_FOUND),
    }
}
