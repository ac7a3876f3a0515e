//! Connections to other entry instances.
//!
//! There is one connection for each peer, opened when it is first needed. Changes of
//! records are sent in order, and those that have queued up go out in one call. After a
//! failure the ledger determines what is still to be sent.

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

/// Time within which a connection has to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay before the next attempt after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Timeout of all calls except those that send changes.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum number of changes in one call; it keeps a call below the frame size limit.
const MAX_BATCH_CHANGES: usize = 256;
/// Size of the changes at which no more are added to a call.
const MAX_BATCH_BYTES: usize = 4 << 20;

quick_error! {
    /// A failed call of another entry instance.
    #[derive(Debug)]
    pub enum Error {
        /// No connection could be established.
        Connect(peer: String, message: String) {
            display("cannot connect to {peer}: {message}")
        }
        /// There was no answer.
        Call(step: &'static str, peer: String, message: String) {
            display("{step}: no answer from {peer}: {message}")
        }
    }
}

/// The connection to one peer.
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
    /// Sets the node that the links belong to. Called once, at the start.
    pub fn attach(&self, node: &Arc<Node>) {
        let first = self.node.set(Arc::downgrade(node));
        debug_assert!(first.is_ok(), "links belong to one node");
    }

    /// Sends a change to the copies that need it.
    pub fn send(&self, step: &Step) {
        for to in &step.to {
            self.with_link(to, |link| {
                // The receiving task ends only with the process.
                let _stopping = link.changes.send(step.update.clone());
            });
        }
    }

    /// Sends changes to one copy.
    pub fn send_all(&self, to: &id::Instance, updates: Vec<Update>) {
        self.with_link(to, |link| {
            for update in updates {
                let _stopping = link.changes.send(update);
            }
        });
    }

    /// Cancels a request at its owner. Returns false if that fails.
    pub async fn cancel(&self, owner: &id::Instance, name: &Name) -> bool {
        match self.client(owner).await {
            Ok(client) => client
                .cancel(context(CALL_TIMEOUT), name.clone())
                .await
                .unwrap_or(false),
            Err(_unreached) => false,
        }
    }

    /// The client of a peer; opens a connection if there is none.
    ///
    /// # Errors
    /// The peer is unknown or cannot be reached.
    pub async fn client(&self, to: &id::Instance) -> Result<PeerClient, Error> {
        let unknown = || Error::Connect(to.to_string(), "it is not a live member".into());
        let node = self
            .node
            .get()
            .and_then(Weak::upgrade)
            .ok_or_else(unknown)?;
        let slot = self.with_link(to, |link| Arc::clone(&link.client));
        open(&node, to, &slot).await
    }

    /// Exchanges heartbeats with the instance that listens at `address`.
    ///
    /// # Errors
    /// The instance cannot be reached or does not answer.
    pub async fn exchange_heartbeats(
        &self,
        node: &Node,
        address: &str,
        heartbeat: Heartbeat,
    ) -> Result<Heartbeat, Error> {
        let view = node.view();
        let member = view.peers.iter().find(|peer| peer.address == address);
        let client = match member {
            Some(peer) => self.client(&peer.instance).await?,
            None => connect(node, address).await?,
        };
        let answer = client
            .beat(context(CALL_TIMEOUT), heartbeat)
            .await
            .map_err(|error| Error::Call("beat", address.into(), error.to_string()));
        if let (Some(peer), Err(_)) = (member, &answer) {
            self.with_link(&peer.instance, |link| *lock(&link.client) = None);
        }
        answer
    }

    fn with_link<T>(&self, to: &id::Instance, f: impl FnOnce(&Link) -> T) -> T {
        let mut links = lock(&self.links);
        let index = match links.binary_search_by(|link| link.instance.cmp(to)) {
            Ok(index) => index,
            Err(index) => {
                links.insert(index, self.start_link(to));
                index
            }
        };
        f(&links[index])
    }

    fn start_link(&self, to: &id::Instance) -> Link {
        let (changes, queue) = mpsc::unbounded_channel();
        let client = Arc::new(Mutex::new(None));
        if let Some(node) = self.node.get().and_then(Weak::upgrade) {
            let traffic = node.traffic.clone();
            let sender = Sender {
                node,
                to: to.clone(),
                client: Arc::clone(&client),
                failing_since: None,
            };
            traffic.spawn(sender.run(queue));
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

/// The context of a call with this timeout.
#[must_use]
pub fn context(limit: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = (Instant::now() + limit).into_std();
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
    let unknown = || Error::Connect(to.to_string(), "it is not a live member".into());
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
/// The instance cannot be reached, or does not speak this protocol.
pub async fn connect(node: &Node, address: &str) -> Result<PeerClient, Error> {
    match timeout(CONNECT_TIMEOUT, handshake(node, address)).await {
        Ok(Ok(client)) => Ok(client),
        Ok(Err(message)) => Err(Error::Connect(address.into(), message)),
        Err(_elapsed) => Err(Error::Connect(
            address.into(),
            "no answer within the time limit".into(),
        )),
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
struct Sender {
    node: Arc<Node>,
    to: id::Instance,
    client: Arc<Mutex<Option<PeerClient>>>,
    /// When sending first failed; `None` while it succeeds.
    failing_since: Option<Instant>,
}

impl Sender {
    async fn run(mut self, mut queue: UnboundedReceiver<Update>) {
        let mut batch = Vec::new();
        loop {
            if batch.is_empty() {
                match queue.recv().await {
                    Some(update) => batch.push(update),
                    None => return,
                }
            }
            fill_batch(&mut batch, &mut queue);
            match self.send(&batch).await {
                Ok(acks) => {
                    self.failing_since = None;
                    let lacks_changes = self.record_acks(&batch, &acks);
                    batch.clear();
                    if lacks_changes {
                        batch = self.missing_updates(&mut queue);
                    }
                }
                Err(error) => {
                    self.record_failure(&error);
                    sleep(RETRY_DELAY).await;
                    batch = self.missing_updates(&mut queue);
                }
            }
        }
    }

    async fn send(&self, batch: &[Update]) -> Result<Vec<Ack>, Error> {
        let client = open(&self.node, &self.to, &self.client).await?;
        let limit = self.node.settings.times.backup.duration();
        let me = self.node.settings.instance.clone();
        let call = client.update(context(limit), me, batch.to_vec());
        let acks = call
            .await
            .map_err(|error| Error::Call("update", self.to.to_string(), error.to_string()))?;
        if acks.len() == batch.len() {
            return Ok(acks);
        }
        let message = format!(
            "got {} acknowledgements for {} changes",
            acks.len(),
            batch.len()
        );
        Err(Error::Call("update", self.to.to_string(), message))
    }

    /// Records the acknowledgements in the ledger. Returns whether the peer lacks changes.
    fn record_acks(&self, batch: &[Update], acks: &[Ack]) -> bool {
        let mut lacks_changes = false;
        for (update, ack) in batch.iter().zip(acks) {
            lacks_changes |= matches!(ack, Ack::Gap(_));
            if *ack == Ack::Missing {
                let message = Message::CopyLost {
                    slot: update.slot,
                    at: self.to.clone(),
                };
                self.node.control.send(message);
            }
            self.node
                .requests
                .record_ack(&self.node, &self.to, update.slot, update.epoch, *ack);
        }
        lacks_changes
    }

    fn record_failure(&mut self, error: &Error) {
        *lock(&self.client) = None;
        let first = self.failing_since.is_none();
        let since = *self.failing_since.get_or_insert_with(Instant::now);
        if first {
            event::LINK_FAILED.emit(format_args!("peer={} error=\"{error}\"", self.to));
        }
        if since.elapsed() >= self.node.settings.times.backup.duration() {
            self.node
                .control
                .send(Message::Unreachable(self.to.clone()));
        }
    }

    /// The changes that the peer lacks according to the ledger; they replace what is queued.
    fn missing_updates(&self, queue: &mut UnboundedReceiver<Update>) -> Vec<Update> {
        self.node
            .requests
            .missing_updates(&self.to, || while queue.try_recv().is_ok() {})
    }
}

fn fill_batch(batch: &mut Vec<Update>, queue: &mut UnboundedReceiver<Update>) {
    let mut bytes: usize = batch.iter().map(change_size).sum();
    while batch.len() < MAX_BATCH_CHANGES && bytes < MAX_BATCH_BYTES {
        match queue.try_recv() {
            Ok(update) => {
                bytes += change_size(&update);
                batch.push(update);
            }
            Err(_empty) => return,
        }
    }
}

/// Approximate size of a change, in bytes.
fn change_size(update: &Update) -> usize {
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
