//! The open requests of this instance, each with its relay, and the ledger of all its
//! records.

use std::sync::Arc;

use tokio::sync::mpsc::UnboundedSender;

use coltsfoothall::clock::Time;
use coltsfoothall::key::Slot;
use coltsfoothall::ledger::{self, Begin, Ledger};
use coltsfoothall::limit::Number;
use coltsfoothall::record::{Change, End, Intake, Name};
use coltsfoothall::replica::{Seq, Step};
use coltsfoothall::step::Input;
use coltsfoothall_wire::fault::{Code, Fault};

use crate::feed::Feed;
use crate::node::Node;
use crate::refusal::{not_begun, retry_later};
use crate::relay::{self, Origin};

/// A relay's change that waits to be acknowledged by the copies of its slot.
#[derive(Debug, Clone, Copy)]
pub struct Pending {
    /// Its sequence number in the request.
    pub request: u64,
    /// Its sequence number in the slot.
    pub seq: Seq,
}

/// An open request.
#[derive(Debug)]
pub struct Live {
    /// The request's name.
    pub name: Name,
    /// The request's slot.
    pub slot: Slot,
    /// Digest of the request's content, to detect a reused key.
    pub digest: u64,
    /// The released part of its answer.
    pub feed: Arc<Feed>,
    /// Sends inputs to its relay.
    pub signals: UnboundedSender<Input>,
    /// Changes that wait for acknowledgements, in order.
    pub pending: Vec<Pending>,
}

/// The open requests and the ledger with their records, under one lock.
#[derive(Debug)]
pub struct State {
    /// The ledger.
    pub ledger: Ledger,
    /// Sorted by name.
    pub live: Vec<Live>,
}

impl State {
    /// Finds the index of an open request.
    pub fn find(&self, name: &Name) -> Result<usize, usize> {
        self.live.binary_search_by(|live| live.name.cmp(name))
    }

    /// Whether the ledger has no record of the request.
    pub fn is_unrecorded(&self, slot: Slot, name: &Name) -> bool {
        self.ledger.record(slot, name).is_none()
    }

    /// Accepts a new request, or returns the feed of one that is known.
    pub fn begin(
        &mut self,
        node: &Arc<Node>,
        slot: Slot,
        intake: &Intake,
        number: Option<Number>,
    ) -> Result<Arc<Feed>, Fault> {
        let name = &intake.name;
        match self.ledger.begin(node.now(), intake.clone(), slot) {
            Ok(Begin::New(step)) => {
                let origin = Origin::New {
                    intake: Box::new(intake.clone()),
                    number,
                };
                Ok(self.accept(node, slot, origin, &step))
            }
            Ok(Begin::Join(_)) => self.recorded(node, slot, name),
            Ok(refused) => Err(not_begun(&refused, name)),
            Err(ledger::Error::Broken(broken)) => {
                node.report_violation("ledger_begin", &broken);
                Err(Fault::new(Code::Internal, broken))
            }
            Err(error) => Err(retry_later(Code::Unavailable, &error.to_string())),
        }
    }

    /// Applies a relay's change to the ledger. If an idempotent request may not be recorded as
    /// "not run", it is recorded as "unknown" instead: left open, it would run after its caller
    /// was told that it had not.
    pub fn change(
        &mut self,
        now: Time,
        index: usize,
        change: Change,
    ) -> Result<Step, ledger::Error> {
        let live = &self.live[index];
        let unknown = unknown_end(&change);
        let result = self
            .ledger
            .change(now, live.slot, live.name.clone(), change);
        let (Some(end), Err(ledger::Error::NotSafe(_))) = (unknown, &result) else {
            return result;
        };
        let record = self.ledger.record(live.slot, &live.name);
        if record.is_none_or(|record| !record.intake.idempotent) {
            return result;
        }
        let _ended = live.signals.send(Input::Retracted);
        let end = Change::End(end);
        self.ledger.change(now, live.slot, live.name.clone(), end)
    }

    fn accept(&mut self, node: &Arc<Node>, slot: Slot, origin: Origin, step: &Step) -> Arc<Feed> {
        node.links.send(step);
        let feed = self.spawn(node, slot, origin);
        if let Ok(index) = self.find(&step.update.name) {
            self.live[index].pending.push(Pending {
                request: 1,
                seq: step.seq,
            });
        }
        if step.released {
            self.flush(slot);
        }
        feed
    }

    /// Starts a relay for a request.
    pub fn spawn(&mut self, node: &Arc<Node>, slot: Slot, origin: Origin) -> Arc<Feed> {
        let feed = Arc::new(Feed::default());
        let intake = origin.intake();
        let (name, digest) = (intake.name.clone(), intake.digest());
        let signals = relay::spawn(Arc::clone(node), slot, origin, Arc::clone(&feed));
        let live = Live {
            name,
            slot,
            digest,
            feed: Arc::clone(&feed),
            signals,
            pending: Vec::new(),
        };
        match self.find(&live.name) {
            Ok(index) => self.live[index] = live,
            Err(index) => self.live.insert(index, live),
        }
        feed
    }

    /// The feed of a request that has a record but no relay.
    pub fn recorded(&mut self, node: &Node, slot: Slot, name: &Name) -> Result<Arc<Feed>, Fault> {
        if !self.ledger.served_slots().any(|(owned, _)| owned == slot) {
            return Err(retry_later(
                Code::Unavailable,
                "the request is owned elsewhere",
            ));
        }
        self.ledger.recheck(node.now(), slot, name);
        let record = self.ledger.record(slot, name);
        let not_found = || Fault::new(Code::NotFound, format!("no request {} is known", name.key));
        let record = record.ok_or_else(not_found)?;
        let seq = self.ledger.seq(slot, name);
        match record.end {
            Some(end) if seq.is_some_and(|seq| self.ledger.may_leave(slot, name, seq)) => {
                Ok(Feed::ended(record, end))
            }
            _ => Err(retry_later(
                Code::Unavailable,
                "the request is changing its owner",
            )),
        }
    }

    /// Makes the relay of an idempotent request report "unknown", after the ledger retracted
    /// the request's "not run" before it was reported. Returns false if the request may run
    /// only once.
    pub fn retract_not_run(&mut self, slot: Slot, name: &Name) -> bool {
        let record = self.ledger.record(slot, name);
        if record.is_none_or(|record| !record.intake.idempotent) {
            return false;
        }
        let seq = self.ledger.seq(slot, name);
        if let Ok(index) = self.find(name)
            && let (Some(pending), Some(seq)) = (self.live[index].pending.last_mut(), seq)
        {
            pending.seq = seq;
            let _ended = self.live[index].signals.send(Input::Retracted);
        }
        true
    }

    /// Tells the relays of a slot which of their changes are now released.
    pub fn flush(&mut self, slot: Slot) {
        self.flush_where(|live| live.slot == slot);
    }

    /// Tells the selected relays which of their changes are now released.
    pub fn flush_where(&mut self, wanted: impl Fn(&Live) -> bool) {
        let ledger = &self.ledger;
        for live in self.live.iter_mut().filter(|live| wanted(live)) {
            let (slot, name) = (live.slot, &live.name);
            let is_released = |pending: &Pending| ledger.may_leave(slot, name, pending.seq);
            let released = live.pending.partition_point(is_released);
            if let Some(last) = live.pending.drain(..released).next_back() {
                let _ended = live.signals.send(Input::Acked { seq: last.request });
            }
        }
    }
}

/// The "unknown" end that replaces a "not run", if the change is one.
fn unknown_end(change: &Change) -> Option<End> {
    match change {
        Change::End(End::NotRun(cause)) => Some(End::Unknown(*cause)),
        _ => None,
    }
}
