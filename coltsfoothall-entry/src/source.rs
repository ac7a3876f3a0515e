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
use coltsfoothall::key::Key;
use coltsfoothall::size::Millis;
use coltsfoothall_shell::event;
use coltsfoothall_wire::fault::{Code, Fault, Outcome};
use coltsfoothall_wire::peer::{self, Follow, Frames, Piece};

use crate::feed::Follower;
use crate::node::Node;

/// Between two rounds over the instances that may own a request.
const ROUND: Duration = Duration::from_millis(100);

/// Between the end of a stream and the search for the next owner.
const PAUSE: Duration = Duration::from_millis(20);

/// How long the next owner of an accepted request is waited for. A takeover
/// takes the suspicion time and one write at the key-value service, which may
/// be down meanwhile.
const TAKEOVER: Duration = Duration::from_secs(60);

/// How long a new request waits for an owner that never had it.
const FIRST: Duration = Duration::from_secs(2);

/// How long an instance that is leaving searches for the next owner before its
/// caller is sent to another instance, which goes on with the same request.
const LEAVING: Duration = Duration::from_secs(5);

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
    /// Whom the stream comes from.
    owner: Option<id::Instance>,
    /// Who refused last; others are asked first, as a slot that was handed over
    /// in an outage is still its old owner's in the table.
    refused: Option<id::Instance>,
    /// The key is known to nobody else, so that it was never sent before.
    fresh: bool,
    /// An owner may have taken the request.
    sent: bool,
    /// An owner that may have taken the request was lost.
    lost: bool,
    /// Since when an owner is searched for; none while one answers.
    since: Option<Instant>,
    /// When the caller's patience ends.
    deadline: Instant,
}

impl Source {
    /// The answer that `follow` asks for. A `fresh` request has a key that
    /// nobody else knows, so that it was never sent before.
    #[must_use]
    pub fn new(node: Arc<Node>, follow: Follow, fresh: bool) -> Self {
        let span = follow
            .intake
            .as_ref()
            .map_or(TAKEOVER, |intake| intake.deadline.duration());
        let deadline = Instant::now() + span;
        let sent = follow.intake.is_none();
        Self {
            node,
            follow,
            stream: None,
            owner: None,
            refused: None,
            fresh,
            sent,
            lost: false,
            since: None,
            deadline,
        }
    }

    /// The next piece; after an end or a fault there is none.
    pub async fn next(&mut self) -> Piece {
        loop {
            if self.stream.is_none() {
                match self.find().await {
                    Ok(()) => continue,
                    Err(fault) => return Piece::Fault(Box::new(fault)),
                }
            }
            let piece = self.piece().await;
            match piece {
                Some(Piece::Moved) | None => {
                    self.lose(piece.is_none());
                    if self.expired() {
                        return Piece::Fault(Box::new(self.unreached()));
                    }
                }
                Some(Piece::Fault(fault)) if self.passing(&fault) => {
                    self.stream = None;
                    self.refused = self.owner.take();
                    if self.expired() {
                        return Piece::Fault(Box::new(self.unreached()));
                    }
                    sleep(ROUND).await;
                    continue;
                }
                Some(Piece::Fault(fault)) => {
                    return Piece::Fault(Box::new(self.settled(*fault)));
                }
                Some(piece) => {
                    self.sent = true;
                    self.since = None;
                    if let Piece::Text { tokens, .. } = &piece {
                        self.follow.offset = *tokens;
                    }
                    return piece;
                }
            }
            sleep(PAUSE).await;
        }
    }

    /// The next piece of the owner's stream; none if the stream broke, or the owner is judged
    /// dead and replaced: a frozen one keeps its connections open.
    async fn piece(&mut self) -> Option<Piece> {
        let (node, key) = (&self.node, &self.follow.name.key);
        match self.stream.as_mut()? {
            Stream::Local(follower) => Some(follower.next().await),
            Stream::Remote { body, frames } => tokio::select! {
                piece = remote(body, frames) => piece,
                () = replaced(node, key, self.owner.as_ref()) => None,
            },
        }
    }

    /// The owner's stream ended without an end of the answer: it handed the
    /// request over, or was lost. It is asked again only after the others.
    fn lose(&mut self, lost: bool) {
        self.stream = None;
        if lost {
            self.tell_lost("stream", self.owner.as_ref());
        }
        self.refused = self.owner.take();
        self.sent = true;
        self.lost |= lost;
    }

    fn tell_lost(&self, step: &str, owner: Option<&id::Instance>) {
        let key = &self.follow.name.key;
        let slot = self.node.view().slot(key);
        let owner = owner.map_or("", id::Instance::as_str);
        event::OWNER_LOST.emit(format_args!(
            "request={key} slot={slot} owner={owner} step={step}"
        ));
    }

    /// Whether the search for an owner is to be given up. A request that may
    /// have been taken in is stayed with for as long as its caller waits.
    fn expired(&mut self) -> bool {
        let now = Instant::now();
        let began = *self.since.get_or_insert(now);
        let span = match (self.sent, self.node.view().leaving) {
            (false, _) => FIRST,
            (true, true) => LEAVING,
            (true, false) => TAKEOVER,
        };
        now >= (began + span).min(self.deadline)
    }

    /// A refusal by an owner that never had the request says nothing of one
    /// that had it and was lost.
    fn settled(&self, fault: Fault) -> Fault {
        if fault.outcome == Outcome::NotRun && self.unsure() {
            return Fault {
                outcome: Outcome::Unknown,
                ..fault
            };
        }
        fault
    }

    /// Whether the refusal is no answer yet: another instance may still take the
    /// request. So may an owner that has no backup yet, if the request may have been
    /// taken in before: "unknown" would be final, and the owner has its backup soon.
    fn passing(&self, fault: &Fault) -> bool {
        let unready = fault.code == Code::NotSafe && fault.outcome == Outcome::NotRun;
        fault.code == Code::Unavailable || (unready && self.unsure())
    }

    /// Whether an owner that was lost, or the caller, may know more of the request.
    fn unsure(&self) -> bool {
        self.lost || self.follow.intake.is_none()
    }

    /// Finds the owner and opens a stream to it.
    async fn find(&mut self) -> Result<(), Fault> {
        loop {
            for owner in self.owners() {
                if let Some(stream) = self.open(&owner).await? {
                    self.stream = Some(stream);
                    self.owner = Some(owner);
                    return Ok(());
                }
            }
            if self.expired() {
                return Err(self.unreached());
            }
            sleep(ROUND).await;
        }
    }

    /// Instances that may own the request, the likeliest first.
    fn owners(&self) -> Vec<id::Instance> {
        let view = self.node.view();
        let slot = view.slot(&self.follow.name.key);
        let Some(entry) = view.table.entry(slot) else {
            return Vec::new();
        };
        let mut owners = vec![entry.primary.clone()];
        owners.extend(entry.backup.clone());
        owners.sort_by_key(|owner| self.refused.as_ref() == Some(owner));
        owners
    }

    async fn open(&mut self, owner: &id::Instance) -> Result<Option<Stream>, Fault> {
        if *owner == self.node.settings.instance {
            return match self.node.requests.follow(&self.node, &self.follow).await {
                Ok(follower) => {
                    self.sent = true;
                    Ok(Some(Stream::Local(follower)))
                }
                Err(fault) if self.passing(&fault) => Ok(None),
                Err(fault) => Err(self.settled(fault)),
            };
        }
        let view = self.node.view();
        let Some(peer) = view.peer(owner) else {
            return Ok(None);
        };
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{}", peer.address, peer::FOLLOW))
            .header(hyper::header::AUTHORIZATION, self.node.peer_bearer())
            .body(Full::new(peer::encode(&self.follow)))
            .map_err(|error| Fault::new(Code::Internal, error))?;
        let within = self.node.settings.times.suspect.duration();
        match self.node.client.send("follow", request, within).await {
            Ok(answer) if answer.status().is_success() => {
                let frames = Frames::default();
                Ok(Some(Stream::Remote {
                    body: answer.into_body(),
                    frames,
                }))
            }
            Ok(_refused) => Ok(None),
            Err(error) => {
                if !error.unsent() {
                    self.tell_lost("call", Some(owner));
                    self.sent = true;
                    self.lost = true;
                }
                Ok(None)
            }
        }
    }

    /// The answer when no owner can be found.
    fn unreached(&self) -> Fault {
        let outcome = if self.fresh && !self.sent {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        };
        let message = "no entry instance that owns this request can be reached";
        Fault {
            outcome,
            retry_after_ms: Some(COME_BACK),
            request: Some(self.follow.name.key.clone()),
            ..Fault::new(Code::Unavailable, message)
        }
    }
}

/// Waits until an owner is no member any more and another one owns the slot of the key.
async fn replaced(node: &Node, key: &Key, owner: Option<&id::Instance>) {
    loop {
        sleep(ROUND).await;
        let view = node.view();
        let is_dead = owner.is_none_or(|owner| view.peer(owner).is_none());
        let entry = view.table.entry(view.slot(key));
        if is_dead && entry.is_some_and(|entry| Some(&entry.primary) != owner) {
            return;
        }
    }
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
