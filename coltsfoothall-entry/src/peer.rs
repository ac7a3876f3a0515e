//! The side of an entry instance that other entry instances talk to.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONNECTION, HeaderValue, UPGRADE};
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::server::{BaseChannel, Channel};
use tokio_serde::formats::MessagePack;
use tokio_util::codec::Framed;

use coltsfoothall::fingerprint::Evidence;
use coltsfoothall::handoff::Handoff;
use coltsfoothall::id;
use coltsfoothall::key::{Epoch, Slot};
use coltsfoothall::member::Heartbeat;
use coltsfoothall::record::Name;
use coltsfoothall::replica::{Ack, Chunk, Life, Taken, Update};
use coltsfoothall::slot::Table;
use coltsfoothall_shell::event;
use coltsfoothall_shell::metric::Flow;
use coltsfoothall_wire::fault::{Code, Fault};
use coltsfoothall_wire::peer::{self, Config, Follow, Peer, Piece};
use coltsfoothall_wire::serve::{self, Answer, Body, Handler};
use coltsfoothall_wire::{http, limit};

use crate::feed::Follower;
use crate::intake;
use crate::message::Message;
use crate::node::Node;

/// Answers other entry instances.
#[derive(Debug)]
pub struct Back {
    node: Arc<Node>,
}

impl Back {
    /// The side of an entry instance that others talk to.
    #[must_use]
    pub fn new(node: Arc<Node>) -> Self {
        Self { node }
    }
}

impl Handler for Back {
    fn call(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> Answer {
        let node = Arc::clone(&self.node);
        Box::pin(async move {
            let answer = route(&node, request).await;
            answer.unwrap_or_else(|fault| serve::fault(&fault))
        })
    }
}

async fn route(node: &Arc<Node>, request: Request<Incoming>) -> Result<Response<Body>, Fault> {
    if intake::bearer(request.headers()) != Some(node.settings.peer_token.as_str()) {
        return Err(Fault::new(
            Code::Unauthorized,
            "the peers' token is missing or wrong",
        ));
    }
    match (request.method(), request.uri().path()) {
        (&Method::POST, peer::FOLLOW) => follow(node, request.into_body()).await,
        (&Method::GET, peer::PEER) => Ok(upgrade(node, request)),
        (_, path) => Err(Fault::new(
            Code::NotFound,
            format!("there is nothing at {path}"),
        )),
    }
}

async fn follow(node: &Arc<Node>, body: Incoming) -> Result<Response<Body>, Fault> {
    let read = http::read(body, limit::FRAME);
    let bytes = match tokio::time::timeout(limit::BODY, read).await {
        Ok(read) => read.map_err(|error| Fault::field("body", error))?,
        Err(_elapsed) => return Err(Fault::field("body", "did not arrive in time")),
    };
    let follow: Follow = peer::decode(&bytes).map_err(|error| Fault::field("body", error))?;
    let pieces = match node.desk.follow(node, &follow).await {
        Ok(follower) => Pieces::Follow(follower),
        Err(fault) => Pieces::Fault(Box::new(fault)),
    };
    let frames = stream::unfold(pieces, |pieces| async move {
        let (piece, rest) = pieces.next().await?;
        let frame = peer::frame(&piece).ok()?;
        Some((Ok::<_, Infallible>(Frame::data(frame)), rest))
    });
    Ok(Response::new(StreamBody::new(frames).boxed_unsync()))
}

/// What is still to be sent of an answer.
enum Pieces {
    Follow(Follower),
    Fault(Box<Fault>),
    Over,
}

impl Pieces {
    async fn next(self) -> Option<(Piece, Self)> {
        match self {
            Self::Over => None,
            Self::Fault(fault) => Some((Piece::Fault(fault), Self::Over)),
            Self::Follow(mut follower) => {
                let piece = follower.next().await;
                let last = matches!(piece, Piece::End { .. } | Piece::Moved);
                Some((
                    piece,
                    if last {
                        Self::Over
                    } else {
                        Self::Follow(follower)
                    },
                ))
            }
        }
    }
}

/// Turns the connection into one for [`Peer`] calls.
fn upgrade(node: &Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let node = Arc::clone(node);
    tokio::spawn(async move {
        match hyper::upgrade::on(request).await {
            Ok(upgraded) => calls(node, upgraded).await,
            Err(error) => event::LINK_FAILED.emit(format_args!("step=upgrade error=\"{error}\"")),
        }
    });
    let mut answer = serve::empty(101);
    let headers = answer.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("upgrade"));
    headers.insert(UPGRADE, HeaderValue::from_static(peer::UPGRADE));
    answer
}

async fn calls(node: Arc<Node>, upgraded: hyper::upgrade::Upgraded) {
    let framed = Framed::new(TokioIo::new(upgraded), peer::codec());
    let transport = serde_transport::new(framed, MessagePack::default());
    let channel = BaseChannel::with_defaults(transport);
    // One call after another: changes of a record must not overtake each other.
    channel
        .execute(Calls { node }.serve())
        .for_each(|call| call)
        .await;
}

/// Carries out calls.
#[derive(Debug, Clone)]
struct Calls {
    node: Arc<Node>,
}

impl Peer for Calls {
    async fn beat(self, _: Context, heartbeat: Heartbeat) -> Heartbeat {
        let board = &self.node.board;
        board.peer_bytes(Flow::In, peer::encode(&heartbeat).len() as u64);
        let ask = |reply| Message::Beat { heartbeat, reply };
        let answer = self.node.control.ask(ask).await.unwrap_or_default();
        board.peer_bytes(Flow::Out, peer::encode(&answer).len() as u64);
        answer
    }

    async fn config(self, _: Context) -> Option<Config> {
        self.node.control.ask(Message::Config).await.flatten()
    }

    async fn table(self, _: Context) -> Table {
        self.node.view().table.as_ref().clone()
    }

    async fn update(self, _: Context, from: id::Instance, updates: Vec<Update>) -> Vec<Ack> {
        self.node.desk.receive(&self.node, &from, updates)
    }

    async fn import(self, _: Context, chunk: Chunk) -> Taken {
        let now = self.node.now();
        self.node
            .desk
            .with_ledger(|ledger| ledger.import(now, chunk))
    }

    async fn hand_over(self, _: Context, handoff: Handoff) -> bool {
        let ask = |reply| Message::Handoff { handoff, reply };
        self.node.control.ask(ask).await.unwrap_or(false)
    }

    async fn cede(self, _: Context, slot: Slot, epoch: Epoch) -> bool {
        let sealed = self.node.desk.with_ledger(|ledger| {
            ledger.keeps(slot, epoch) && (ledger.seal(slot).is_some() || ledger.serving(slot))
        });
        self.node.control.send(Message::ReadTable);
        sealed
    }

    async fn dismiss(self, _: Context, slot: Slot, epoch: Epoch) -> Option<Life> {
        let desk = &self.node.desk;
        desk.with_ledger(|ledger| ledger.resign(slot, epoch))
    }

    async fn cancel(self, _: Context, name: Name) -> bool {
        self.node.desk.cancel(&name)
    }

    async fn evidence(self, _: Context, told: Vec<Evidence>) -> Vec<Evidence> {
        let ask = |reply| Message::Evidence { told, reply };
        self.node.control.ask(ask).await.unwrap_or_default()
    }

    async fn notice(self, _: Context, instance: id::Instance) {
        event::NOTICE.emit(format_args!("instance={instance} left_ms=0 heard=peer"));
        self.node.control.send(Message::Notice(instance));
    }
}
