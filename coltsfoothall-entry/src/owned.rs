//! The requests that this instance owns: the ledger, and a relay for each open request.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use coltsfoothall::id;
use coltsfoothall::key::{Epoch, Key, Slot};
use coltsfoothall::ledger::{self, Ledger, Next};
use coltsfoothall::limit::Number;
use coltsfoothall::record::{Change, Intake, Name, Record};
use coltsfoothall::replica::{Ack, Update};
use coltsfoothall::step::Input;
use coltsfoothall::takeover::Event;
use coltsfoothall_shell::event;
use coltsfoothall_wire::fault::{Code, Fault};
use coltsfoothall_wire::peer::Follow;

use crate::dispatch;
use crate::feed::{Feed, Follower};
use crate::message::Message;
use crate::node::Node;
use crate::open::{Pending, State};
use crate::refusal::{key_reused, not_admitted, retry_later, unresumable};
use crate::relay::Origin;

/// The requests that this instance owns.
#[derive(Debug)]
pub struct Requests {
    state: Mutex<State>,
    /// Whether new requests are refused.
    closed: AtomicBool,
}

impl Requests {
    /// Creates an empty store of requests.
    #[must_use]
    pub fn new(me: id::Instance, settings: ledger::Settings) -> Self {
        let state = State {
            ledger: Ledger::new(me, settings),
            live: Vec::new(),
        };
        Self {
            state: Mutex::new(state),
            closed: AtomicBool::new(false),
        }
    }

    /// Refuses new requests from now on; open ones continue.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }

    /// Mints a key in a slot that this instance owns, or in any slot if it owns none, as there
    /// may be more instances than slots.
    ///
    /// # Errors
    /// No slot with an owner is known now.
    pub fn mint(&self, node: &Node) -> Result<Key, Fault> {
        let owned: Vec<_> = self.state().ledger.served_slots().collect();
        let slots = if owned.is_empty() {
            node.view().table.claimed().collect()
        } else {
            owned
        };
        let unowned = || retry_later(Code::Unavailable, "no slot has an owner yet");
        let index = rand::random_range(0..slots.len().max(1));
        let (slot, epoch) = slots.get(index).copied().ok_or_else(unowned)?;
        Ok(Key::mint(slot, epoch, rand::random()))
    }

    /// Runs `f` on the ledger.
    pub fn with_ledger<T>(&self, f: impl FnOnce(&mut Ledger) -> T) -> T {
        f(&mut self.state().ledger)
    }

    /// Tells the relays of a slot which of their changes are now released.
    pub fn flush(&self, slot: Slot) {
        self.state().flush(slot);
    }

    /// Tells all relays which of their changes are now released: after a new table, or without
    /// a copy that is no longer waited for, changes may be released without an acknowledgement.
    pub fn flush_all(&self) {
        self.state().flush_where(|_live| true);
    }

    /// Applies the changes that `from` sent, as their owner, to the copies held here.
    #[must_use]
    pub fn receive(&self, node: &Node, from: &id::Instance, updates: Vec<Update>) -> Vec<Ack> {
        let now = node.now();
        let mut state = self.state();
        let mut acks = Vec::with_capacity(updates.len());
        for update in updates {
            let epoch = update.epoch;
            match state.ledger.receive(now, from, update) {
                Ok(ack) => acks.push(ack),
                Err(broken) => {
                    node.report_violation("ledger_receive", &broken);
                    acks.push(Ack::Sealed(epoch));
                }
            }
        }
        acks
    }

    /// The changes of all slots that the copies at `to` lack. `clear` empties the queue of
    /// changes to it; it runs under the lock, so that no change is sent twice or out of order.
    #[must_use]
    pub fn missing_updates(&self, to: &id::Instance, clear: impl FnOnce()) -> Vec<Update> {
        let state = self.state();
        clear();
        let slots: Vec<Slot> = state.ledger.served_slots().map(|(slot, _)| slot).collect();
        slots
            .iter()
            .flat_map(|slot| state.ledger.resend(*slot, to))
            .collect()
    }

    /// Cancels an open request that this instance owns. Returns false if there is none.
    #[must_use]
    pub fn cancel(&self, name: &Name) -> bool {
        let state = self.state();
        match state.find(name) {
            Ok(index) => state.live[index].signals.send(Input::Cancel).is_ok(),
            Err(_absent) => false,
        }
    }

    /// Sends an input to all relays.
    pub fn notify_all(&self, input: &Input) {
        for live in &self.state().live {
            // A relay that has just ended needs no input.
            let _ended = live.signals.send(input.clone());
        }
    }

    /// Sends an input to the relays of one slot.
    pub fn notify_slot(&self, slot: Slot, input: &Input) {
        for live in self.state().live.iter().filter(|live| live.slot == slot) {
            let _ended = live.signals.send(input.clone());
        }
    }

    /// Number of open requests.
    #[must_use]
    pub fn count(&self) -> usize {
        self.state().live.len()
    }

    /// Records the acknowledgement of a copy.
    pub fn record_ack(&self, node: &Node, from: &id::Instance, slot: Slot, epoch: Epoch, ack: Ack) {
        let mut state = self.state();
        let next = state.ledger.acked(slot, epoch, from, ack);
        state.flush(slot);
        drop(state);
        match next {
            Ok(Next::Nothing | Next::Resend) => {}
            Ok(Next::Copy) => {
                node.control.send(Message::CopyLost {
                    slot,
                    at: from.clone(),
                });
            }
            Ok(Next::Table) => node.control.send(Message::ReadTable),
            Err(broken) => node.report_violation("ledger_ack", &broken),
        }
    }

    /// Records a relay's change. Returns an input for the relay if the change is settled at
    /// once.
    ///
    /// # Errors
    /// Too many changes of the slot wait for a copy. The change is returned; it must be
    /// recorded later, and before any other change of its request.
    pub fn record(
        &self,
        node: &Node,
        name: &Name,
        request: u64,
        change: Change,
    ) -> Result<Option<Input>, Change> {
        let now = node.now();
        let mut state = self.state();
        let Ok(index) = state.find(name) else {
            return Ok(None);
        };
        let slot = state.live[index].slot;
        if state.ledger.serving(slot) && state.ledger.behind(slot) {
            return Err(change);
        }
        Ok(match state.change(now, index, change) {
            Ok(step) => {
                let released = step.released;
                state.live[index].pending.push(Pending {
                    request,
                    seq: step.seq,
                });
                // Sent under the lock, so that each copy receives the slot's changes in order.
                node.links.send(&step);
                drop(state);
                released.then_some(Input::Acked { seq: request })
            }
            // A full slot was detected above, under the same lock.
            Err(ledger::Error::NotOwner(_) | ledger::Error::Full(_)) => Some(Input::Sealed),
            Err(ledger::Error::NotSafe(_)) => Some(Input::Unreplicated),
            Err(ledger::Error::Broken(broken)) => {
                drop(state);
                node.report_violation("ledger_change", &broken);
                Some(Input::Sealed)
            }
        })
    }

    /// Removes a relay that has ended. A relay whose slot was sealed may end only after the
    /// slot has been resumed here, and its request is then started again.
    pub fn remove_relay(&self, node: &Arc<Node>, slot: Slot, name: &Name, feed: &Arc<Feed>) {
        let mut state = self.state();
        if let Ok(index) = state.find(name)
            && Arc::ptr_eq(&state.live[index].feed, feed)
        {
            state.live.remove(index);
        }
        let resumed = state.ledger.serving(slot) && state.ledger.released(slot).is_some();
        drop(state);
        if resumed {
            self.resume_open(node, slot);
        }
    }

    /// Follows the answer of a request that this instance owns, and starts the request if it is
    /// new.
    ///
    /// # Errors
    /// The request is owned elsewhere, unknown, or refused.
    pub async fn follow(&self, node: &Arc<Node>, follow: &Follow) -> Result<Follower, Fault> {
        let slot = node.view().slot(&follow.name.key);
        let number = match &follow.intake {
            Some(intake) if self.is_new(node, slot, intake)? => match admit(node, intake).await {
                Ok(number) => Some(number),
                // The same request may have been accepted meanwhile.
                Err(fault) if self.is_new(node, slot, intake)? => return Err(fault),
                Err(_refused) => None,
            },
            _ => None,
        };
        let result = self.open(node, slot, follow, number);
        if let (Some(number), true) = (number, result.is_err()) {
            node.control.send(Message::Release(number));
        }
        result
    }

    /// Whether the request is new here and can be accepted.
    fn is_new(&self, node: &Node, slot: Slot, intake: &Intake) -> Result<bool, Fault> {
        let state = self.state();
        if state.find(&intake.name).is_ok() || state.ledger.record(slot, &intake.name).is_some() {
            return Ok(false);
        }
        if !state.ledger.served_slots().any(|(owned, _)| owned == slot) {
            return Err(retry_later(
                Code::Unavailable,
                "the request is owned elsewhere",
            ));
        }
        // A request that cannot be handed over while it runs must not start on a leaving instance.
        let closed = self.closed.load(Ordering::Relaxed);
        if closed || (node.view().leaving && !intake.idempotent) {
            return Err(retry_later(
                Code::Unavailable,
                "the request's owner is leaving",
            ));
        }
        Ok(true)
    }

    fn open(
        &self,
        node: &Arc<Node>,
        slot: Slot,
        follow: &Follow,
        number: Option<Number>,
    ) -> Result<Follower, Fault> {
        let mut state = self.state();
        let feed = match (state.find(&follow.name), &follow.intake) {
            (Ok(index), intake) => {
                let live = &state.live[index];
                if intake
                    .as_ref()
                    .is_some_and(|intake| intake.digest() != live.digest)
                {
                    return Err(key_reused(&follow.name));
                }
                Arc::clone(&live.feed)
            }
            // A request that does not exist yet has no offset to resume from; it must not start, as
            // its caller is told that it was refused.
            (Err(_), Some(_)) if follow.offset > 0 && state.is_unrecorded(slot, &follow.name) => {
                return Err(unresumable());
            }
            (Err(_), Some(intake)) => state.begin(node, slot, intake, number)?,
            (Err(_), None) => state.recorded(node, slot, &follow.name)?,
        };
        drop(state);
        if !feed.resumable(follow.offset) {
            if !feed.is_closed() {
                // A new owner releases the text once its own copies hold it.
                return Err(retry_later(
                    Code::Unavailable,
                    "the answer is not there yet",
                ));
            }
            return Err(unresumable());
        }
        Ok(Follower::new(feed, follow.offset))
    }

    /// Carries out the events that a new slot table caused in the ledger.
    pub fn apply(&self, node: &Arc<Node>, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Owns(slot) => self.resume_open(node, slot),
                Event::Backs(slot) | Event::Dropped(slot) => {
                    self.notify_slot(slot, &Input::Sealed);
                }
                Event::Ended(name, end) => {
                    let slot = node.view().slot(&name.key);
                    if !self.state().retract_not_run(slot, &name) {
                        event::ORPHAN.emit(format_args!("request={name} end={end:?}"));
                    }
                }
                Event::Broken(broken) => node.report_violation("ledger_observe", &broken),
            }
        }
    }

    /// Starts a relay for each open request of a slot that may continue here now.
    pub fn resume_open(&self, node: &Arc<Node>, slot: Slot) {
        let mut state = self.state();
        let is_owner = state.ledger.released(slot).is_some();
        let open: Vec<Record> = state.ledger.open(slot).cloned().collect();
        for record in open
            .into_iter()
            .filter(|record| is_owner || record.intake.idempotent)
        {
            if state.find(&record.intake.name).is_err() {
                state.spawn(node, slot, Origin::Resumed(Box::new(record)));
            }
        }
        state.flush(slot);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // No holder of the lock panics half way through a change.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Asks the gate for an admission.
async fn admit(node: &Node, intake: &Intake) -> Result<Number, Fault> {
    let ticket = dispatch::ticket(intake, node.now() + intake.deadline.duration());
    let message = |reply| Message::Admit { ticket, reply };
    let stopping = || retry_later(Code::Unavailable, "this entry instance is stopping");
    let admitted = node.control.ask(message).await.ok_or_else(stopping)?;
    admitted.map_err(|refusal| not_admitted(refusal, &intake.name))
}
