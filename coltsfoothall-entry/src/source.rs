//! The source of an answer: this instance, or another one that owns the request.
//!
//! A source outlives its owner: when the owner is lost or hands over, the source finds the
//! new owner and continues after the last piece, so the caller sees neither a gap nor a
//! repeat.

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

/// Delay between two rounds over the instances that may own a request.
const ROUND_DELAY: Duration = Duration::from_millis(100);

/// Delay between the end of a stream and the search for the next owner.
const SEARCH_DELAY: Duration = Duration::from_millis(20);

/// How long a source waits for the next owner of an accepted request. A takeover takes the
/// suspicion time and one write at the key-value service, which may be down meanwhile.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(60);

/// How long a source waits for an owner of a new request that no owner has had yet.
const FIRST_OWNER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a leaving instance searches for the next owner before its caller is sent to
/// another instance, which continues the same request.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(5);

/// Retry delay given while a slot changes its owner.
const RETRY_AFTER: Millis = Millis(1000);

#[derive(Debug)]
enum Stream {
    Local(Follower),
    Remote { body: Incoming, frames: Frames },
}

/// The pieces of one answer, from wherever its owner is.
#[derive(Debug)]
pub struct Source {
    node: Arc<Node>,
    follow: Follow,
    stream: Option<Stream>,
    /// The instance that the stream comes from.
    owner: Option<id::Instance>,
    /// The instance that refused or ended the stream last. Others are asked first, as the table
    /// still names the old owner of a slot that was handed over during an outage of the
    /// service.
    refused: Option<id::Instance>,
    /// Whether nobody else knows the key, so that the request was never sent before.
    fresh: bool,
    /// Whether an owner may have accepted the request.
    sent: bool,
    /// Whether an owner that may have accepted the request was lost.
    lost: bool,
    /// Since when an owner is searched for; `None` while one answers.
    searching_since: Option<Instant>,
    /// When the caller stops waiting.
    deadline: Instant,
}

impl Source {
    /// Creates a source for the answer that `follow` asks for. A `fresh` request has a key that
    /// nobody else knows, so that it was never sent before.
    #[must_use]
    pub fn new(node: Arc<Node>, follow: Follow, fresh: bool) -> Self {
        let span = follow
            .intake
            .as_ref()
            .map_or(TAKEOVER_TIMEOUT, |intake| intake.deadline.duration());
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
            searching_since: None,
            deadline,
        }
    }

    /// Waits for the next piece. There is none after an end or a fault.
    pub async fn next(&mut self) -> Piece {
        loop {
            if self.stream.is_none() {
                match self.find().await {
                    Ok(()) => continue,
                    Err(fault) => return Piece::Fault(Box::new(fault)),
                }
            }
            let piece = self.next_piece().await;
            match piece {
                Some(Piece::Moved) | None => {
                    self.drop_owner(piece.is_none());
                    if self.search_expired() {
                        return Piece::Fault(Box::new(self.unreached()));
                    }
                }
                Some(Piece::Fault(fault)) if self.is_transient(&fault) => {
                    self.stream = None;
                    self.refused = self.owner.take();
                    if self.search_expired() {
                        return Piece::Fault(Box::new(self.unreached()));
                    }
                    sleep(ROUND_DELAY).await;
                    continue;
                }
                Some(Piece::Fault(fault)) => {
                    return Piece::Fault(Box::new(self.final_fault(*fault)));
                }
                Some(piece) => {
                    self.sent = true;
                    self.searching_since = None;
                    if let Piece::Text { tokens, .. } = &piece {
                        self.follow.offset = *tokens;
                    }
                    return piece;
                }
            }
            sleep(SEARCH_DELAY).await;
        }
    }

    /// The next piece of the owner's stream. Returns `None` if the stream broke, or if the
    /// owner is judged dead and has been replaced: a frozen one keeps its connections open.
    async fn next_piece(&mut self) -> Option<Piece> {
        let (node, key) = (&self.node, &self.follow.name.key);
        match self.stream.as_mut()? {
            Stream::Local(follower) => Some(follower.next().await),
            Stream::Remote { body, frames } => tokio::select! {
                piece = next_remote(body, frames) => piece,
                () = wait_replaced(node, key, self.owner.as_ref()) => None,
            },
        }
    }

    /// Records that the owner's stream ended without an end of the answer: the owner handed the
    /// request over, or was lost. It is asked again only after the others.
    fn drop_owner(&mut self, lost: bool) {
        self.stream = None;
        if lost {
            self.log_owner_lost("stream", self.owner.as_ref());
        }
        self.refused = self.owner.take();
        self.sent = true;
        self.lost |= lost;
    }

    fn log_owner_lost(&self, step: &str, owner: Option<&id::Instance>) {
        let key = &self.follow.name.key;
        let slot = self.node.view().slot(key);
        let owner = owner.map_or("", id::Instance::as_str);
        event::OWNER_LOST.emit(format_args!(
            "request={key} slot={slot} owner={owner} step={step}"
        ));
    }

    /// Whether to give up the search for an owner. For a request that may have been accepted,
    /// the search continues as long as its caller waits, up to [`TAKEOVER_TIMEOUT`].
    fn search_expired(&mut self) -> bool {
        let now = Instant::now();
        let started = *self.searching_since.get_or_insert(now);
        let span = match (self.sent, self.node.view().leaving) {
            (false, _) => FIRST_OWNER_TIMEOUT,
            (true, true) => LEAVING_TIMEOUT,
            (true, false) => TAKEOVER_TIMEOUT,
        };
        now >= (started + span).min(self.deadline)
    }

    /// Makes the outcome of a refusal unknown if another owner may have run the request: a
    /// refusal by an owner that never had it says nothing about one that had it and was lost.
    fn final_fault(&self, fault: Fault) -> Fault {
        if fault.outcome == Outcome::NotRun && self.may_have_run() {
            return Fault {
                outcome: Outcome::Unknown,
                ..fault
            };
        }
        fault
    }

    /// Whether a refusal is not final, as another instance may still accept the request. So may
    /// an owner that has no backup yet, if the request may have been accepted before: "unknown"
    /// would be final, and the owner will have its backup soon.
    fn is_transient(&self, fault: &Fault) -> bool {
        let unready = fault.code == Code::NotSafe && fault.outcome == Outcome::NotRun;
        fault.code == Code::Unavailable || (unready && self.may_have_run())
    }

    /// Whether a lost owner, or an earlier request of the caller, may have run the request.
    fn may_have_run(&self) -> bool {
        self.lost || self.follow.intake.is_none()
    }

    /// Finds the owner and opens a stream from it.
    async fn find(&mut self) -> Result<(), Fault> {
        loop {
            for owner in self.owners() {
                if let Some(stream) = self.open(&owner).await? {
                    self.stream = Some(stream);
                    self.owner = Some(owner);
                    return Ok(());
                }
            }
            if self.search_expired() {
                return Err(self.unreached());
            }
            sleep(ROUND_DELAY).await;
        }
    }

    /// Instances that may own the request, the most likely first.
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
                Err(fault) if self.is_transient(&fault) => Ok(None),
                Err(fault) => Err(self.final_fault(fault)),
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
        let timeout = self.node.settings.times.suspect.duration();
        match self.node.client.send("follow", request, timeout).await {
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
                    self.log_owner_lost("call", Some(owner));
                    self.sent = true;
                    self.lost = true;
                }
                Ok(None)
            }
        }
    }

    /// The fault when no owner can be found.
    fn unreached(&self) -> Fault {
        let outcome = if self.fresh && !self.sent {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        };
        let message = "no entry instance that owns this request can be reached";
        Fault {
            outcome,
            retry_after_ms: Some(RETRY_AFTER),
            request: Some(self.follow.name.key.clone()),
            ..Fault::new(Code::Unavailable, message)
        }
    }
}

/// Waits until an owner is no longer a live member and another instance owns the slot of
/// the key.
async fn wait_replaced(node: &Node, key: &Key, owner: Option<&id::Instance>) {
    loop {
        sleep(ROUND_DELAY).await;
        let view = node.view();
        let has_left = owner.is_none_or(|owner| view.peer(owner).is_none());
        let entry = view.table.entry(view.slot(key));
        if has_left && entry.is_some_and(|entry| Some(&entry.primary) != owner) {
            return;
        }
    }
}

/// The next piece from another instance. Returns `None` when the stream broke.
async fn next_remote(body: &mut Incoming, frames: &mut Frames) -> Option<Piece> {
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
