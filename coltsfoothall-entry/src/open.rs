//! Requests that are open here, each with its relay, and the records of all.

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
use crate::refusal::{come_back, refusal};
use crate::relay::{self, Begun};

/// A relay's change that waits for its copies.
#[derive(Debug, Clone, Copy)]
pub struct Pending {
    /// Its number in the request's life.
    pub request: u64,
    /// Its number in the slot.
    pub seq: Seq,
}

/// An open request.
#[derive(Debug)]
pub struct Live {
    /// Its name.
    pub name: Name,
    /// Its slot.
    pub slot: Slot,
    /// Digest of what was asked.
    pub digest: u64,
    /// Its answer for those who follow it.
    pub feed: Arc<Feed>,
    /// News for its relay.
    pub signals: UnboundedSender<Input>,
    /// Changes that wait for the copies, in order.
    pub pending: Vec<Pending>,
}

/// The open requests and the ledger that records them, under one lock.
#[derive(Debug)]
pub struct State {
    /// The records.
    pub ledger: Ledger,
    /// Sorted by name.
    pub live: Vec<Live>,
}

impl State {
    /// The place of an open request.
    pub fn find(&self, name: &Name) -> Result<usize, usize> {
        self.live.binary_search_by(|live| live.name.cmp(name))
    }

    /// Whether no such request is known.
    pub fn fresh(&self, slot: Slot, name: &Name) -> bool {
        self.ledger.record(slot, name).is_none()
    }

    /// Takes a request in, or finds that it is known.
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
                let begun = Begun::New {
                    intake: Box::new(intake.clone()),
                    number,
                };
                Ok(self.accept(node, slot, begun, &step))
            }
            Ok(Begin::Join(_)) => self.known(node, slot, name),
            Ok(refused) => Err(refusal(&refused, name)),
            Err(ledger::Error::Broken(broken)) => {
                node.broken("ledger_begin", &broken);
                Err(Fault::new(Code::Internal, broken))
            }
            Err(error) => Err(come_back(Code::Unavailable, &error.to_string())),
        }
    }

    /// Makes a relay's change in the ledger. A "not run" of an idempotent request that may
    /// not be recorded becomes "unknown": left open, the request would run after its caller
    /// was told that it had not.
    pub fn change(&mut self, now: Time, at: usize, change: Change) -> Result<Step, ledger::Error> {
        let live = &self.live[at];
        let unknown = unknown(&change);
        let made = self
            .ledger
            .change(now, live.slot, live.name.clone(), change);
        let (Some(end), Err(ledger::Error::NotSafe(_))) = (unknown, &made) else {
            return made;
        };
        let record = self.ledger.record(live.slot, &live.name);
        if record.is_none_or(|record| !record.intake.idempotent) {
            return made;
        }
        let _ended = live.signals.send(Input::Retracted);
        let end = Change::End(end);
        self.ledger.change(now, live.slot, live.name.clone(), end)
    }

    fn accept(&mut self, node: &Arc<Node>, slot: Slot, begun: Begun, step: &Step) -> Arc<Feed> {
        node.links.send(step);
        let feed = self.spawn(node, slot, begun);
        if let Ok(at) = self.find(&step.update.name) {
            self.live[at].pending.push(Pending {
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
    pub fn spawn(&mut self, node: &Arc<Node>, slot: Slot, begun: Begun) -> Arc<Feed> {
        let feed = Arc::new(Feed::default());
        let intake = begun.intake();
        let (name, digest) = (intake.name.clone(), intake.digest());
        let signals = relay::spawn(Arc::clone(node), slot, begun, Arc::clone(&feed));
        let live = Live {
            name,
            slot,
            digest,
            feed: Arc::clone(&feed),
            signals,
            pending: Vec::new(),
        };
        match self.find(&live.name) {
            Ok(at) => self.live[at] = live,
            Err(at) => self.live.insert(at, live),
        }
        feed
    }

    /// The answer of a request that is known and has no relay.
    pub fn known(&mut self, node: &Node, slot: Slot, name: &Name) -> Result<Arc<Feed>, Fault> {
        if !self.ledger.served_slots().any(|(owned, _)| owned == slot) {
            return Err(come_back(
                Code::Unavailable,
                "the request is owned elsewhere",
            ));
        }
        self.ledger.recheck(node.now(), slot, name);
        let record = self.ledger.record(slot, name);
        let unknown = || Fault::new(Code::NotFound, format!("no request {} is known", name.key));
        let record = record.ok_or_else(unknown)?;
        let seq = self.ledger.seq(slot, name);
        match record.end {
            Some(end) if seq.is_some_and(|seq| self.ledger.may_leave(slot, name, seq)) => {
                Ok(Feed::ended(record, end))
            }
            _ => Err(come_back(
                Code::Unavailable,
                "the request is changing its owner",
            )),
        }
    }

    /// The ledger took an idempotent request's "not run" back: a relay that waits to tell
    /// it tells "unknown". False if the request may run once only.
    pub fn doubt(&mut self, slot: Slot, name: &Name) -> bool {
        let record = self.ledger.record(slot, name);
        if record.is_none_or(|record| !record.intake.idempotent) {
            return false;
        }
        let seq = self.ledger.seq(slot, name);
        if let Ok(at) = self.find(name)
            && let (Some(pending), Some(seq)) = (self.live[at].pending.last_mut(), seq)
        {
            pending.seq = seq;
            let _ended = self.live[at].signals.send(Input::Retracted);
        }
        true
    }

    /// Tells relays of a slot what may leave.
    pub fn flush(&mut self, slot: Slot) {
        self.flush_where(|live| live.slot == slot);
    }

    /// Tells some relays what may leave.
    pub fn flush_where(&mut self, wanted: impl Fn(&Live) -> bool) {
        let ledger = &self.ledger;
        for live in self.live.iter_mut().filter(|live| wanted(live)) {
            let (slot, name) = (live.slot, &live.name);
            let leaves = |pending: &Pending| ledger.may_leave(slot, name, pending.seq);
            let held = live.pending.partition_point(leaves);
            if let Some(last) = live.pending.drain(..held).next_back() {
                let _ended = live.signals.send(Input::Acked { seq: last.request });
            }
        }
    }
}

/// The end that says less than "not run", if the change is that.
fn unknown(change: &Change) -> Option<End> {
    match change {
        Change::End(End::NotRun(cause)) => Some(End::Unknown(*cause)),
        _ => None,
    }
}
