//! Start and planned stop of an entry instance.

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
use coltsfoothall_shell::metric::Board;
use coltsfoothall_shell::{event, stop};
use coltsfoothall_wire::client::Client;
use coltsfoothall_wire::serve::{self, Answer, Handler, Stop};

use crate::control;
use crate::endpoint::Remote;
use crate::front::Front;
use crate::link::Links;
use crate::message::{Handle, Message};
use crate::node::Node;
use crate::owned::Requests;
use crate::peer::Back;
use crate::settings::Settings;
use crate::view::View;
use crate::{config, platform, steward, store};

/// Between two looks at whether a planned stop may go on.
const LOOK: Duration = Duration::from_millis(50);

/// Part of a planned stop, as its divisor, in which slots are handed over
/// before callers are turned away; the rest is left for open answers to finish.
const HAND_OVER: u32 = 3;
/// Part of a planned stop that is left for closing connections.
const CLOSING: u32 = 8;

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
    let doors = Doors::open(&node, callers, peers, metrics);
    node.stop.cancelled().await;
    leave(&node, doors).await;
    // A lease that isn't given back in time lapses.
    let _ended = timeout(node.settings.times.store.duration(), stewards).await;
    Ok(())
}

async fn listen(field: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| Error::Listen(field, address, error.to_string()))
}

/// Limits of the requests' records, in a life of its own.
fn records() -> ledger::Settings {
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
    let node = Arc::new(Node {
        store: Box::new(store),
        traffic: Runtime::current(),
        runner: Box::new(Remote::new(client.clone(), times.endpoint.duration())),
        requests: Requests::new(settings.instance.clone(), records()),
        links: Links::default(),
        control: handle,
        board: Board::new().map_err(|error| Error::Metric(error.to_string()))?,
        start: Instant::now(),
        views: view,
        broken: AtomicU64::new(0),
        stop,
        client,
        settings,
    });
    node.links.attach(&node);
    control::start(Arc::clone(&node), inbox, views)
        .map_err(|error| Error::Process(error.to_string()))?;
    Ok(node)
}

/// The listeners of an instance.
struct Doors {
    callers: Door,
    peers: Door,
}

struct Door {
    stop: Stop,
    task: tokio::task::JoinHandle<()>,
}

impl Door {
    fn open(listener: TcpListener, handler: Arc<dyn Handler>) -> Self {
        let stop = Stop::default();
        let task = tokio::spawn(serve::run_until(listener, handler, stop.clone()));
        Self { stop, task }
    }

    /// Takes no more connections and lets the open ones finish, until `limit`. Those without
    /// a request are closed from `idle` on.
    async fn shut(mut self, idle: Instant, limit: Instant) -> bool {
        self.stop.last.cancel();
        if timeout_at(idle.min(limit), &mut self.task).await.is_ok() {
            return true;
        }
        self.stop.idle.cancel();
        timeout_at(limit, self.task).await.is_ok()
    }
}

impl Doors {
    fn open(
        node: &Arc<Node>,
        callers: TcpListener,
        peers: TcpListener,
        metrics: TcpListener,
    ) -> Self {
        let front = Arc::new(Front::new(Arc::clone(node)));
        let back = Arc::new(Back::new(Arc::clone(node)));
        Door::open(
            metrics,
            Arc::new(Scrape {
                node: Arc::clone(node),
            }),
        );
        Self {
            callers: Door::open(callers, front),
            peers: Door::open(peers, back),
        }
    }
}

/// A planned stop: slots are handed over, then answers finish, then the process ends.
///
/// While slots cannot be handed over, callers may still connect for a part of
/// the time, as their requests may belong to these slots.
async fn leave(node: &Arc<Node>, doors: Doors) {
    let times = &node.settings.times;
    let span = times.stop.duration();
    let (hand_over, limit) = (Instant::now() + span / HAND_OVER, Instant::now() + span);
    event::STOPPING.emit(format_args!("open={}", node.requests.count()));
    node.control.send(Message::Leave);
    while owned(node) > 0 && Instant::now() < hand_over {
        sleep(LOOK).await;
    }
    // What comes now could not finish here, and its owner-to-be has the slots then.
    node.requests.close();
    // What is sent until then on a connection without a request, or on one made just now, gets its
    // refusal; a caller that met a closed one could not tell whether it was read.
    let idle = (Instant::now() + times.addresses.duration()).min(limit - span / CLOSING);
    let mut whole = doors.callers.shut(idle, limit).await;
    // What is still owned here runs for callers of other instances.
    while owned(node) > 0 && node.requests.count() > 0 && Instant::now() < limit {
        sleep(LOOK).await;
    }
    whole &= owned(node) == 0 || node.requests.count() == 0;
    let event = if whole {
        event::STOPPED
    } else {
        event::CUT_OFF
    };
    event.emit(format_args!(
        "slots={} open={}",
        owned(node),
        node.requests.count()
    ));
    // Streams of other instances end with the last connection.
    doors.peers.stop.idle.cancel();
    doors.peers.stop.last.cancel();
    drop(doors.peers.task);
}

/// Slots that this instance still has to hand over.
fn owned(node: &Node) -> usize {
    if node.view().peers.is_empty() {
        return 0;
    }
    let view = node.view();
    node.requests.with_ledger(|ledger| {
        // A slot that takes no changes any more counts until it is handed over.
        let held = |slot| ledger.released(slot).is_some() || ledger.serving(slot);
        view.table.iter().filter(|(slot, _)| held(*slot)).count()
    })
}

/// Answers scrapes of the metrics.
struct Scrape {
    node: Arc<Node>,
}

impl Handler for Scrape {
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
