//! Where an answer comes from: this instance, or the one that owns the request.
//!
//! A source outlives its owner: when the owner is lost or hands over, the source
//! finds the new one and goes on behind the last piece, so the caller's
//! connection sees neither gap nor repeat.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request};
use tokio::time::{Instant, sleep};

use coltsfoothall::id;
use coltsfoothall::size::Millis;
use coltsfoothall_wire::fault::{Code, Fault, Outcome};
use coltsfoothall_wire::peer::{self, Follow, Frames, Piece};

use crate::feed::Follower;
use crate::node::Node;

/// Between two rounds over the instances that may own a request.
const ROUND: Duration = Duration::from_millis(100);

/// How long an accepted request's next owner is waited for: a takeover takes
/// the suspicion time and one write at the key-value service.
const TAKEOVER: Duration = Duration::from_secs(8);

/// How long a new request waits for an owner that never had it.
const FIRST: Duration = Duration::from_secs(2);

/// When to come back while a slot changes its owner.
const COME_BACK: Millis = Millis(1000);

#[derive(Debug)]
enum Stream {
    Local(Follower),
    Remote { body: Incoming, frames: Frames },
}

/// The pieces of one answer, wherever they come from.
#[derive(Debug)]
pub struct Source {
    node: Arc<Node>,
    follow: Follow,
    stream: Option<Stream>,
    /// An owner has taken the request.
    accepted: bool,
    /// An owner may have taken the request.
    sent: bool,
    /// When to give the search for an owner up.
    until: Instant,
}

impl Source {
    /// The answer that `follow` asks for.
    #[must_use]
    pub fn new(node: Arc<Node>, follow: Follow) -> Self {
        let until = Instant::now() + FIRST;
        Self { node, follow, stream: None, accepted: false, sent: false, until }
    }

    /// The next piece; after an end or a fault there is none.
    pub async fn next(&mut self) -> Piece {
        loop {
            let Some(stream) = &mut self.stream else {
                match self.find().await {
                    Ok(()) => continue,
                    Err(fault) => return Piece::Fault(Box::new(fault)),
                }
            };
            let piece = match stream {
                Stream::Local(follower) => Some(follower.next().await),
                Stream::Remote { body, frames } => remote(body, frames).await,
            };
            match piece {
                Some(Piece::Moved) | None => self.lose(),
                Some(Piece::Fault(fault)) if elsewhere(&fault) => {
                    self.stream = None;
                    sleep(ROUND).await;
                }
                Some(piece) => {
                    self.accepted = true;
                    if let Piece::Text { tokens, .. } = &piece {
                        self.follow.offset = *tokens;
                    }
                    return piece;
                }
            }
        }
    }

    fn lose(&mut self) {
        self.stream = None;
        if self.accepted || self.sent {
            self.until = Instant::now() + TAKEOVER;
        }
    }

    /// Finds the owner and opens a stream to it.
    async fn find(&mut self) -> Result<(), Fault> {
        loop {
            for owner in self.owners() {
                if let Some(stream) = self.open(&owner).await? {
                    self.stream = Some(stream);
                    return Ok(());
                }
            }
            if Instant::now() >= self.until {
                return Err(self.lost());
            }
            sleep(ROUND).await;
        }
    }

    /// Instances that may own the request, the likeliest first.
    fn owners(&self) -> Vec<id::Instance> {
        let view = self.node.view();
        let slot = view.slot(&self.follow.name.key);
        let Some(entry) = view.table.entry(slot) else { return Vec::new() };
        let backup = entry.backup.clone();
        std::iter::once(entry.primary.clone()).chain(backup).collect()
    }

    async fn open(&mut self, owner: &id::Instance) -> Result<Option<Stream>, Fault> {
        if *owner == self.node.settings.instance {
            return match self.node.desk.follow(&self.node, &self.follow).await {
                Ok(follower) => Ok(Some(Stream::Local(follower))),
                Err(fault) if elsewhere(&fault) => Ok(None),
                Err(fault) => Err(fault),
            };
        }
        let view = self.node.view();
        let Some(peer) = view.peer(owner) else { return Ok(None) };
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{}", peer.address, peer::FOLLOW))
            .header(hyper::header::AUTHORIZATION, self.node.peer_bearer())
            .body(Full::new(peer::encode(&self.follow)))
            .map_err(|error| Fault::new(Code::Internal, error))?;
        let within = self.node.settings.times.suspect.duration();
        match self.node.client.send("follow", request, within).await {
            Ok(answer) if answer.status().is_success() => {
                self.sent = true;
                let frames = Frames::default();
                Ok(Some(Stream::Remote { body: answer.into_body(), frames }))
            }
            Ok(_refused) => Ok(None),
            Err(error) => {
                self.sent |= !error.unsent();
                Ok(None)
            }
        }
    }

    /// The answer when no owner can be found.
    fn lost(&self) -> Fault {
        let outcome = if self.sent { Outcome::Unknown } else { Outcome::NotRun };
        let message = "no entry instance that owns this request can be reached";
        Fault {
            outcome,
            retry_after_ms: Some(COME_BACK),
            request: Some(self.follow.name.key.clone()),
            ..Fault::new(Code::Unavailable, message)
        }
    }
}

/// Whether another instance may still take the request.
fn elsewhere(fault: &Fault) -> bool {
    fault.code == Code::Unavailable
}

/// The next piece from another instance, or none when the stream broke.
async fn remote(body: &mut Incoming, frames: &mut Frames) -> Option<Piece> {
    loop {
        match frames.take::<Piece>() {
            Ok(Some(piece)) => return Some(piece),
            Ok(None) => {}
            Err(_garbled) => return None,
        }
        let frame = body.frame().await?.ok()?;
        if let Some(bytes) = frame.data_ref() {
            frames.push(bytes);
        }
    }
}
