//! Connections to other entry instances.
//!
//! One connection a peer, opened when it is first needed. Changes of records go
//! out in order, those that have piled up in one call; after a failure the
//! ledger says what is still to be sent.

use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};
use std::time::Duration;

use http_body_util::Empty;
use hyper::header::{AUTHORIZATION, CONNECTION, HOST, UPGRADE};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use tarpc::serde_transport;
use tarpc::{client, context};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::time::{Instant, sleep, timeout};
use tokio_serde::formats::MessagePack;
use tokio_util::codec::Framed;

use coltsfoothall::id;
use coltsfoothall::member::Heartbeat;
use coltsfoothall::record::Name;
use coltsfoothall::replica::{Ack, Step, Update};
use coltsfoothall_shell::event;
use coltsfoothall_wire::peer::{self, PeerClient};

use crate::message::Message;
use crate::node::Node;

/// Time in which a connection has to come up.
const CONNECT: Duration = Duration::from_millis(300);
/// Wait before the next try of a connection that failed.
const PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for an answer to anything but changes.
pub const CALL: Duration = Duration::from_millis(1000);
/// Most changes in one call; it keeps a call inside the largest frame.
const BATCH: usize = 256;
/// Bytes of changes after which a call is full.
const BATCH_LEN: usize = 4 << 20;

quick_error! {
    /// A call of another entry instance that failed.
    #[derive(Debug)]
    pub enum Error {
        /// No connection came up.
        Connect(peer: String, message: String) {
            display("cannot connect to {peer}: {message}")
        }
        /// No answer came.
        Call(step: &'static str, peer: String, message: String) {
            display("{step}: no answer from {peer}: {message}")
        }
    }
}

/// One peer.
#[derive(Debug)]
struct Link {
    instance: id::Instance,
    changes: UnboundedSender<Update>,
    client: Arc<Mutex<Option<PeerClient>>>,
}

/// Connections to other entry instances.
#[derive(Debug, Default)]
pub struct Links {
    node: OnceLock<Weak<Node>>,
    /// Sorted by instance.
    links: Mutex<Vec<Link>>,
}

impl Links {
    /// Names the node that the links belong to; called once, at the start.
    pub fn attach(&self, node: &Arc<Node>) {
        let first = self.node.set(Arc::downgrade(node));
        debug_assert!(first.is_ok(), "links belong to one node");
    }

    /// Sends a change to the copies that need it.
    pub fn send(&self, step: &Step) {
        for to in &step.to {
            self.with(to, |link| {
                // The task ends only with the process.
                let _stopping = link.changes.send(step.update.clone());
            });
        }
    }

    /// Sends changes to one copy.
    pub fn send_all(&self, to: &id::Instance, updates: Vec<Update>) {
        self.with(to, |link| {
            for update in updates {
                let _stopping = link.changes.send(update);
            }
        });
    }

    /// Cancels a request at its owner; false if that does not work.
    pub async fn cancel(&self, owner: &id::Instance, name: &Name) -> bool {
        match self.client(owner).await {
            Ok(client) => client
                .cancel(context(CALL), name.clone())
                .await
                .unwrap_or(false),
            Err(_unreached) => false,
        }
    }

    /// The connection to a peer, opened if there is none.
    ///
    /// # Errors
    /// The peer is unknown or cannot be reached.
    pub async fn client(&self, to: &id::Instance) -> Result<PeerClient, Error> {
        let unknown = || Error::Connect(to.to_string(), "it is no member".into());
        let node = self
            .node
            .get()
            .and_then(Weak::upgrade)
            .ok_or_else(unknown)?;
        let slot = self.with(to, |link| Arc::clone(&link.client));
        open(&node, to, &slot).await
    }

    /// Exchanges heartbeats with the instance that listens at `address`.
    ///
    /// # Errors
    /// It cannot be reached or does not answer.
    pub async fn beat(
        &self,
        node: &Node,
        address: &str,
        heartbeat: Heartbeat,
    ) -> Result<Heartbeat, Error> {
        let view = node.view();
        let known = view.peers.iter().find(|peer| peer.address == address);
        let client = match known {
            Some(peer) => self.client(&peer.instance).await?,
            None => connect(node, address).await?,
        };
        let answer = client
            .beat(context(CALL), heartbeat)
            .await
            .map_err(|error| Error::Call("beat", address.into(), error.to_string()));
        if let (Some(peer), Err(_)) = (known, &answer) {
            self.with(&peer.instance, |link| *lock(&link.client) = None);
        }
        answer
    }

    fn with<T>(&self, to: &id::Instance, f: impl FnOnce(&Link) -> T) -> T {
        let mut links = lock(&self.links);
        let at = match links.binary_search_by(|link| link.instance.cmp(to)) {
            Ok(at) => at,
            Err(at) => {
                links.insert(at, self.start(to));
                at
            }
        };
        f(&links[at])
    }

    fn start(&self, to: &id::Instance) -> Link {
        let (changes, queue) = mpsc::unbounded_channel();
        let client = Arc::new(Mutex::new(None));
        if let Some(node) = self.node.get().and_then(Weak::upgrade) {
            let traffic = node.traffic.clone();
            let pump = Pump {
                node,
                to: to.clone(),
                client: Arc::clone(&client),
                since: None,
            };
            traffic.spawn(pump.run(queue));
        }
        Link {
            instance: to.clone(),
            changes,
            client,
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // No holder of these locks panics half way through a change.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Context of a call that takes at most `within`.
#[must_use]
pub fn context(within: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = (Instant::now() + within).into_std();
    context
}

async fn open(
    node: &Node,
    to: &id::Instance,
    slot: &Mutex<Option<PeerClient>>,
) -> Result<PeerClient, Error> {
    if let Some(client) = lock(slot).clone() {
        return Ok(client);
    }
    let view = node.view();
    let unknown = || Error::Connect(to.to_string(), "it is no member".into());
    let address = view
        .peer(to)
        .map(|peer| peer.address.clone())
        .ok_or_else(unknown)?;
    let client = connect(node, &address).await?;
    *lock(slot) = Some(client.clone());
    Ok(client)
}

/// Opens a connection to the entry instance that listens at `address`.
///
/// # Errors
/// It cannot be reached, or does not speak this protocol.
pub async fn connect(node: &Node, address: &str) -> Result<PeerClient, Error> {
    match timeout(CONNECT, handshake(node, address)).await {
        Ok(Ok(client)) => Ok(client),
        Ok(Err(message)) => Err(Error::Connect(address.into(), message)),
        Err(_elapsed) => Err(Error::Connect(address.into(), "it does not answer".into())),
    }
}

async fn handshake(node: &Node, address: &str) -> Result<PeerClient, String> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| error.to_string())?;
    stream
        .set_nodelay(true)
        .map_err(|error| error.to_string())?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    tokio::spawn(connection.with_upgrades());
    let request = Request::get(peer::PEER)
        .header(HOST, address)
        .header(CONNECTION, "upgrade")
        .header(UPGRADE, peer::UPGRADE)
        .header(AUTHORIZATION, node.peer_bearer())
        .body(Empty::<bytes::Bytes>::new())
        .map_err(|error| error.to_string())?;
    let answer = sender
        .send_request(request)
        .await
        .map_err(|error| error.to_string())?;
    if answer.status() != StatusCode::SWITCHING_PROTOCOLS {
        return Err(format!("it answered {}", answer.status()));
    }
    let upgraded = hyper::upgrade::on(answer)
        .await
        .map_err(|error| error.to_string())?;
    let framed = Framed::new(TokioIo::new(upgraded), peer::codec());
    let transport = serde_transport::new(framed, MessagePack::default());
    Ok(PeerClient::new(client::Config::default(), transport).spawn())
}

/// Sends changes to one peer, in order.
struct Pump {
    node: Arc<Node>,
    to: id::Instance,
    client: Arc<Mutex<Option<PeerClient>>>,
    /// Since when changes cannot be sent.
    since: Option<Instant>,
}

impl Pump {
    async fn run(mut self, mut queue: UnboundedReceiver<Update>) {
        let mut batch = Vec::new();
        loop {
            if batch.is_empty() {
                match queue.recv().await {
                    Some(update) => batch.push(update),
                    None => return,
                }
            }
            fill(&mut batch, &mut queue);
            match self.send(&batch).await {
                Ok(acks) => {
                    self.since = None;
                    let again = self.settle(&batch, &acks);
                    batch.clear();
                    if again {
                        batch = self.missing(&mut queue);
                    }
                }
                Err(error) => {
                    self.fail(&error);
                    sleep(PAUSE).await;
                    batch = self.missing(&mut queue);
                }
            }
        }
    }

    async fn send(&self, batch: &[Update]) -> Result<Vec<Ack>, Error> {
        let client = open(&self.node, &self.to, &self.client).await?;
        let within = self.node.settings.times.backup.duration();
        let me = self.node.settings.instance.clone();
        let call = client.update(context(within), me, batch.to_vec());
        let acks = call
            .await
            .map_err(|error| Error::Call("update", self.to.to_string(), error.to_string()))?;
        if acks.len() == batch.len() {
            return Ok(acks);
        }
        let message = format!("{} answers to {} changes", acks.len(), batch.len());
        Err(Error::Call("update", self.to.to_string(), message))
    }

    /// Hands the answers to the ledger; true if the peer lacks changes.
    fn settle(&self, batch: &[Update], acks: &[Ack]) -> bool {
        let mut lacks = false;
        for (update, ack) in batch.iter().zip(acks) {
            lacks |= matches!(ack, Ack::Gap(_));
            if *ack == Ack::Missing {
                let message = Message::CopyLost {
                    slot: update.slot,
                    at: self.to.clone(),
                };
                self.node.control.send(message);
            }
            self.node
                .requests
                .acked(&self.node, &self.to, update.slot, update.epoch, *ack);
        }
        lacks
    }

    fn fail(&mut self, error: &Error) {
        *lock(&self.client) = None;
        let first = self.since.is_none();
        let since = *self.since.get_or_insert_with(Instant::now);
        if first {
            event::LINK_FAILED.emit(format_args!("peer={} error=\"{error}\"", self.to));
        }
        if since.elapsed() >= self.node.settings.times.backup.duration() {
            self.node.control.send(Message::Unreached(self.to.clone()));
        }
    }

    /// What the peer lacks according to the ledger, in place of what is queued.
    fn missing(&self, queue: &mut UnboundedReceiver<Update>) -> Vec<Update> {
        self.node
            .requests
            .missing(&self.to, || while queue.try_recv().is_ok() {})
    }
}

fn fill(batch: &mut Vec<Update>, queue: &mut UnboundedReceiver<Update>) {
    let mut bytes: usize = batch.iter().map(size).sum();
    while batch.len() < BATCH && bytes < BATCH_LEN {
        match queue.try_recv() {
            Ok(update) => {
                bytes += size(&update);
                batch.push(update);
            }
            Err(_empty) => return,
        }
    }
}

/// Bytes of a change, roughly.
fn size(update: &Update) -> usize {
    use coltsfoothall::record::{Change, Work};
    match &update.change {
        Change::Accept(intake) => match &intake.work {
            Work::Completion { prompt, .. } => prompt.len(),
            Work::Call { body, .. } => body.len(),
        },
        Change::Part(part) => part.text.len(),
        Change::Answer(answer) => answer.body.len(),
        Change::Sent { .. } | Change::Refused { .. } | Change::End(_) => 0,
    }
}
