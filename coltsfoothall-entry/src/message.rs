//! Messages to the control thread, and the handle that sends them.

use std::sync::Arc;

use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;

use coltsfoothall::adoption::Source;
use coltsfoothall::catalog::{Catalog, Revision};
use coltsfoothall::fingerprint::Evidence;
use coltsfoothall::handoff::Handoff;
use coltsfoothall::id;
use coltsfoothall::index;
use coltsfoothall::key::Slot;
use coltsfoothall::limit::{Number, Refusal, Ticket};
use coltsfoothall::load::Report;
use coltsfoothall::member::Heartbeat;
use coltsfoothall::size::Tokens;
use coltsfoothall::slot::Table;
use coltsfoothall::step::Input;
use coltsfoothall_wire::cloud::Machine;
use coltsfoothall_wire::engine::Boot;
use coltsfoothall_wire::operator::Status;
use coltsfoothall_wire::peer;

use crate::death::Finding;
use crate::endpoint::Ended;
use crate::pick::Pick;
use crate::round::Round;

/// A message to the control thread.
#[derive(Debug)]
pub enum Message {
    /// Asks whether a new request is admitted.
    Admit {
        /// The request's demand.
        ticket: Ticket,
        /// Receives the admission or the refusal.
        reply: oneshot::Sender<Result<Number, Refusal>>,
    },
    /// Asks for an endpoint.
    Pick {
        /// The requested pick.
        pick: Pick,
        /// Receives the chosen endpoint.
        reply: UnboundedSender<Input>,
    },
    /// Asks whether a failed request may be retried.
    Retry {
        /// The request's service.
        service: id::Service,
        /// Number of attempts so far.
        attempts: u32,
        /// Receives the decision.
        reply: UnboundedSender<Input>,
    },
    /// The first piece of an attempt's answer arrived.
    First {
        /// The attempt.
        attempt: u64,
        /// Prompt tokens that the endpoint had in its cache.
        cached: Tokens,
    },
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: u64,
        /// How it ended.
        ended: Ended,
    },
    /// The probe of an endpoint ended.
    ProbeEnded(id::Endpoint, Finding),
    /// A peer sends evidence against requests, or asks for all evidence.
    Evidence {
        /// The evidence; empty to ask for all.
        evidence: Vec<Evidence>,
        /// Receives all evidence if it was asked for.
        reply: oneshot::Sender<Vec<Evidence>>,
    },
    /// A request is over; its admission is released.
    Release(Number),
    /// The instance list was read.
    Machines(Vec<Machine>),
    /// An instance received a reclaim notice.
    Notice(id::Instance),
    /// An endpoint reported its load, and its process if it reports one.
    Load(id::Endpoint, Report, Option<Boot>),
    /// An endpoint reported cache events.
    Cache(id::Endpoint, Vec<index::Event>),
    /// A configuration was read.
    Catalog(Source, Arc<Catalog>),
    /// Asks for the configuration in force and for the one of an earlier revision.
    Configs {
        /// The earlier revision.
        base: Revision,
        /// Receives both.
        reply: oneshot::Sender<Configs>,
    },
    /// The slot table was read or written.
    Table(Arc<Table>),
    /// The slot table should be read.
    ReadTable,
    /// A round of duties for the slots ended.
    RoundEnded(Round),
    /// A peer sent a heartbeat.
    Heartbeat {
        /// The heartbeat.
        heartbeat: Heartbeat,
        /// Receives this instance's own heartbeat.
        reply: oneshot::Sender<Heartbeat>,
    },
    /// A peer answered a heartbeat.
    HeartbeatAnswer(Heartbeat),
    /// A peer asks for the configuration in force.
    Config(oneshot::Sender<Option<peer::Config>>),
    /// The owner of a slot hands the slot over to this instance.
    Handoff {
        /// The handoff.
        handoff: Handoff,
        /// Receives whether the handoff was accepted.
        reply: oneshot::Sender<bool>,
    },
    /// A peer has no copy of a slot although it is the slot's backup.
    CopyLost {
        /// The slot.
        slot: Slot,
        /// The peer.
        at: id::Instance,
    },
    /// A peer has been unreachable for longer than changes may wait for an acknowledgement.
    Unreachable(id::Instance),
    /// Asks for the status for operators.
    Status(oneshot::Sender<Status>),
    /// This instance is leaving.
    Leave,
}

/// The configuration in force, and an earlier one.
#[derive(Debug)]
pub struct Configs {
    /// The configuration in force.
    pub current: Arc<Catalog>,
    /// The earlier configuration, if it is still kept.
    pub base: Option<Arc<Catalog>>,
}

/// A handle to the control thread.
#[derive(Debug, Clone)]
pub struct Handle {
    sender: UnboundedSender<Message>,
}

/// The receiving end of the handles.
pub type Inbox = UnboundedReceiver<Message>;

impl Handle {
    /// Creates a handle and the inbox that it sends to.
    #[must_use]
    pub fn new() -> (Self, Inbox) {
        let (sender, inbox) = mpsc::unbounded_channel();
        (Self { sender }, inbox)
    }

    /// Sends a message. It is discarded once the program is stopping.
    pub fn send(&self, message: Message) {
        let _stopped = self.sender.send(message);
    }

    /// Sends a message and waits for its answer. Returns `None` once the program is stopping.
    pub async fn ask<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> Message) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.send(message(reply));
        answer.await.ok()
    }
}
