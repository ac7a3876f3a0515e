//! Starts an entry instance, and carries out its planned stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use hyper::Response;
use hyper::body::Incoming;
use quick_error::quick_error;
use tokio::net::TcpListener;
use tokio::runtime::Handle as Runtime;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tokio_util::sync::CancellationToken;

use coltsfoothall::ledger::{self, Life};
use coltsfoothall::size::Bytes;
use coltsfoothall_shell::metric::Board;
use coltsfoothall_shell::{event, stop};
use coltsfoothall_wire::client::Client;
use coltsfoothall_wire::serve::{self, Answer, Handler, Stop};
use coltsfoothall_wire::{body, limit};

use crate::control;
use crate::endpoint::Remote;
use crate::front::Front;
use crate::link::Links;
use crate::message::{Handle, Message};
use crate::node::Node;
use crate::owned::Requests;
use crate::peer::Server;
use crate::settings::Settings;
use crate::view::View;
use crate::{config, platform, steward, store};

/// Interval at which a planned stop checks its progress.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Divisor of the duration of a planned stop for the time in which slots are handed over
/// before new requests are refused. The rest is left for open answers to finish.
const HAND_OVER_DIVISOR: u32 = 3;
/// Divisor of the duration of a planned stop for the time that is left to close
/// connections.
const CLOSING_DIVISOR: u32 = 8;

quick_error! {
    /// Why an entry instance cannot start.
    #[derive(Debug)]
    pub enum Error {
        /// An address cannot be listened on.
        Listen(field: &'static str, address: SocketAddr, message: String) {
            display("settings field {field}: cannot listen on {address}: {message}")
        }
        /// The metrics cannot be set up.
        Metric(message: String) {
            display("{message}")
        }
        /// The process cannot be set up.
        Process(message: String) {
            display("cannot start: {message}")
        }
    }
}

/// Runs an entry instance until it is told to stop.
///
/// # Errors
/// An address cannot be listened on, or the process cannot be set up.
pub async fn run(settings: Settings) -> Result<(), Error> {
    let callers = listen("callers", settings.callers).await?;
    let peers = listen("peers", settings.peers).await?;
    let metrics = listen("metrics", settings.metrics).await?;
    let stop = stop::token().map_err(|error| Error::Process(error.to_string()))?;
    let node = build(settings, stop)?;
    event::STARTED.emit(format_args!(
        "instance={} callers={} peers={} metrics={}",
        node.settings.instance, node.settings.callers, node.settings.peers, node.settings.metrics
    ));
    tokio::spawn(config::run(Arc::clone(&node)));
    tokio::spawn(platform::list(Arc::clone(&node)));
    tokio::spawn(platform::notices(Arc::clone(&node)));
    tokio::spawn(platform::reports(Arc::clone(&node)));
    let stewards = tokio::spawn(steward::run(Arc::clone(&node)));
    let listeners = Listeners::open(&node, callers, peers, metrics);
    node.stop.cancelled().await;
    leave(&node, listeners).await;
    // A lease that isn't released in time expires.
    let _ended = timeout(node.settings.times.store.duration(), stewards).await;
    Ok(())
}

async fn listen(field: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| Error::Listen(field, address, error.to_string()))
}

/// Settings of the ledger, with a random life of its own.
fn ledger_settings() -> ledger::Settings {
    ledger::Settings {
        life: Life(rand::random::<u64>() >> 1),
        ..ledger::Settings::default()
    }
}

fn build(settings: Settings, stop: CancellationToken) -> Result<Arc<Node>, Error> {
    let (handle, inbox) = Handle::new();
    let (views, view) = watch::channel(Arc::new(View::default()));
    let client = Client::new();
    let times = settings.times.clone();
    let store = store::Remote::new(
        client.clone(),
        settings.store.to_string(),
        times.store.duration(),
    );
    let bodies = body::Memory::default();
    let memory = Bytes((settings.memory * 1e6) as u64);
    bodies.resize_for_requests(memory, limit::REQUEST);
    let node = Arc::new(Node {
        store: Box::new(store),
        traffic: Runtime::current(),
        runner: Box::new(Remote::new(client.clone(), times.endpoint.duration())),
        requests: Requests::new(settings.instance.clone(), ledger_settings()),
        bodies,
        links: Links::default(),
        control: handle,
        board: Board::new().map_err(|error| Error::Metric(error.to_string()))?,
        start: Instant::now(),
        views: view,
        violations: AtomicU64::new(0),
        stop,
        client,
        settings,
    });
    node.links.attach(&node);
    control::start(Arc::clone(&node), inbox, views)
        .map_err(|error| Error::Process(error.to_string()))?;
    Ok(node)
}

/// The listeners of an instance that a planned stop closes.
struct Listeners {
    callers: Listener,
    peers: Listener,
}

struct Listener {
    stop: Stop,
    task: tokio::task::JoinHandle<()>,
}

impl Listener {
    fn open(listener: TcpListener, handler: Arc<dyn Handler>) -> Self {
        let stop = Stop::default();
        let task = tokio::spawn(serve::run_until(listener, handler, stop.clone()));
        Self { stop, task }
    }

    /// Accepts no more connections and lets the open ones finish, until `limit`. Connections
    /// without a request are closed from `idle` on. Returns whether all finished.
    async fn close(mut self, idle: Instant, limit: Instant) -> bool {
        self.stop.last.cancel();
        if timeout_at(idle.min(limit), &mut self.task).await.is_ok() {
            return true;
        }
        self.stop.idle.cancel();
        timeout_at(limit, self.task).await.is_ok()
    }
}

impl Listeners {
    fn open(
        node: &Arc<Node>,
        callers: TcpListener,
        peers: TcpListener,
        metrics: TcpListener,
    ) -> Self {
        let front = Arc::new(Front::new(Arc::clone(node)));
        let back = Arc::new(Server::new(Arc::clone(node)));
        Listener::open(
            metrics,
            Arc::new(Metrics {
                node: Arc::clone(node),
            }),
        );
        Self {
            callers: Listener::open(callers, front),
            peers: Listener::open(peers, back),
        }
    }
}

/// Carries out a planned stop: slots are handed over, then answers finish, then the process
/// ends.
///
/// While slots are still being handed over, callers may connect, for part of the time, as
/// their requests may belong to these slots.
async fn leave(node: &Arc<Node>, listeners: Listeners) {
    let times = &node.settings.times;
    let span = times.stop.duration();
    let (hand_over, limit) = (
        Instant::now() + span / HAND_OVER_DIVISOR,
        Instant::now() + span,
    );
    event::STOPPING.emit(format_args!("open={}", node.requests.count()));
    node.control.send(Message::Leave);
    while owned_slots(node) > 0 && Instant::now() < hand_over {
        sleep(STOP_CHECK_INTERVAL).await;
    }
    // A request that arrives now could not finish here, and by now the slots belong to their
    // next owners.
    node.requests.close();
    // A request sent before `idle`, on a connection without a request or on one just opened,
    // still gets its refusal. If the connection were closed instead, the caller could not tell
    // whether its request was read.
    let idle = (Instant::now() + times.addresses.duration()).min(limit - span / CLOSING_DIVISOR);
    let mut finished = listeners.callers.close(idle, limit).await;
    // Requests still owned here run for callers of other instances.
    while owned_slots(node) > 0 && node.requests.count() > 0 && Instant::now() < limit {
        sleep(STOP_CHECK_INTERVAL).await;
    }
    finished &= owned_slots(node) == 0 || node.requests.count() == 0;
    let event = if finished {
        event::STOPPED
    } else {
        event::CUT_OFF
    };
    event.emit(format_args!(
        "slots={} open={}",
        owned_slots(node),
        node.requests.count()
    ));
    // Streams to other instances end with the last connection.
    listeners.peers.stop.idle.cancel();
    listeners.peers.stop.last.cancel();
    drop(listeners.peers.task);
}

/// Number of slots that this instance still has to hand over.
fn owned_slots(node: &Node) -> usize {
    if node.view().peers.is_empty() {
        return 0;
    }
    let view = node.view();
    node.requests.with_ledger(|ledger| {
        // A slot that accepts no changes any more counts until it is handed over.
        let owned = |slot| ledger.released(slot).is_some() || ledger.serving(slot);
        view.table.iter().filter(|(slot, _)| owned(*slot)).count()
    })
}

/// Serves the metrics.
struct Metrics {
    node: Arc<Node>,
}

impl Handler for Metrics {
    fn call(self: Arc<Self>, _request: hyper::Request<Incoming>, _peer: SocketAddr) -> Answer {
        Box::pin(async move {
            match self.node.board.render() {
                Ok(text) => Response::new(serve::full(text)),
                Err(error) => {
                    let mut answer = Response::new(serve::full(error.to_string()));
                    *answer.status_mut() = hyper::StatusCode::INTERNAL_SERVER_ERROR;
                    answer
                }
            }
        })
    }
}
