//! Messages to the control thread, and the way to it.

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

use crate::death::Found;
use crate::endpoint::Ended;
use crate::pick::Pick;
use crate::round::Round;

/// A message to the control thread.
#[derive(Debug)]
pub enum Message {
    /// May a new request be taken in?
    Admit {
        /// What it asks for.
        ticket: Ticket,
        /// Its place at the gate, or the refusal.
        reply: oneshot::Sender<Result<Number, Refusal>>,
    },
    /// Choose an endpoint.
    Pick {
        /// For whom.
        pick: Pick,
        /// Gets the choice.
        reply: UnboundedSender<Input>,
    },
    /// May a failed request be tried again?
    Retry {
        /// Its service.
        service: id::Service,
        /// Attempts so far.
        attempts: u32,
        /// Gets the answer.
        reply: UnboundedSender<Input>,
    },
    /// The first piece of an attempt's answer came.
    First {
        /// The attempt.
        attempt: u64,
        /// Tokens that came from the endpoint's cache.
        cached: Tokens,
    },
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: u64,
        /// How.
        ended: Ended,
    },
    /// A trial of an endpoint ended.
    Tried(id::Endpoint, Found),
    /// A peer tells evidence against requests, or asks for all.
    Evidence {
        /// What it tells.
        told: Vec<Evidence>,
        /// Gets all evidence if nothing is told.
        reply: oneshot::Sender<Vec<Evidence>>,
    },
    /// A request is over.
    Over(Number),
    /// The instance list was read.
    Machines(Vec<Machine>),
    /// An instance was given notice.
    Notice(id::Instance),
    /// An endpoint reported its load, and which process it is if it tells.
    Load(id::Endpoint, Report, Option<Boot>),
    /// An endpoint's cache events came.
    Cache(id::Endpoint, Vec<index::Event>),
    /// A configuration was read.
    Catalog(Source, Arc<Catalog>),
    /// The configuration that is in force, and the one of a revision.
    Held {
        /// The revision that is asked for.
        base: Revision,
        /// Gets both.
        reply: oneshot::Sender<Held>,
    },
    /// The slot table was read or written.
    Table(Arc<Table>),
    /// The slot table should be read.
    ReadTable,
    /// What a round of duties for the slots came to.
    Round(Round),
    /// A heartbeat of a peer came.
    Beat {
        /// The heartbeat.
        heartbeat: Heartbeat,
        /// Gets this instance's own.
        reply: oneshot::Sender<Heartbeat>,
    },
    /// A peer answered a heartbeat.
    Heard(Heartbeat),
    /// The configuration in force, for a peer.
    Config(oneshot::Sender<Option<peer::Config>>),
    /// An owner lets this instance act as owner of a slot.
    Handoff {
        /// Its word.
        handoff: Handoff,
        /// Gets whether it was taken.
        reply: oneshot::Sender<bool>,
    },
    /// A peer has no copy of a slot that it should keep.
    CopyLost {
        /// The slot.
        slot: Slot,
        /// The peer.
        at: id::Instance,
    },
    /// A peer cannot be reached for longer than changes may wait.
    Unreached(id::Instance),
    /// What this instance knows.
    Status(oneshot::Sender<Status>),
    /// This instance is leaving.
    Leave,
}

/// The configuration that is in force, and an earlier one.
#[derive(Debug)]
pub struct Held {
    /// The one in force.
    pub held: Arc<Catalog>,
    /// The one that was asked for, if it is still kept.
    pub base: Option<Arc<Catalog>>,
}

/// Way to the control thread.
#[derive(Debug, Clone)]
pub struct Handle {
    sender: UnboundedSender<Message>,
}

/// What the control thread will receive from its handles.
pub type Inbox = UnboundedReceiver<Message>;

impl Handle {
    /// A handle and the inbox that it fills.
    #[must_use]
    pub fn new() -> (Self, Inbox) {
        let (sender, inbox) = mpsc::unbounded_channel();
        (Self { sender }, inbox)
    }

    /// Sends a message; nothing is done with it once the program is stopping.
    pub fn send(&self, message: Message) {
        let _stopped = self.sender.send(message);
    }

    /// Sends a message and waits for its answer; none once the program is stopping.
    pub async fn ask<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> Message) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.send(message(reply));
        answer.await.ok()
    }
}
