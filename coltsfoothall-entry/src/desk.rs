//! Requests that are owned here: the ledger, and a relay for each open one.

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
use crate::refusal::{come_back, gate, reused, unresumable};
use crate::relay::Begun;

/// Requests that are owned here.
#[derive(Debug)]
pub struct Desk {
    state: Mutex<State>,
    /// Whether new requests are turned away.
    closed: AtomicBool,
}

impl Desk {
    /// A desk without requests.
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

    /// Turns new requests away from now on; those that are open go on.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }

    /// Mints a key in a slot that is owned here, or in another's if none is:
    /// there may be more instances than slots.
    ///
    /// # Errors
    /// No owned slot is known now.
    pub fn mint(&self, node: &Node) -> Result<Key, Fault> {
        let owned: Vec<_> = self.state().ledger.served_slots().collect();
        let places = if owned.is_empty() {
            node.view().table.claimed().collect()
        } else {
            owned
        };
        let none = || come_back(Code::Unavailable, "no slot has an owner yet");
        let at = rand::random_range(0..places.len().max(1));
        let (slot, epoch) = places.get(at).copied().ok_or_else(none)?;
        Ok(Key::mint(slot, epoch, rand::random()))
    }

    /// Runs `f` on the ledger.
    pub fn with_ledger<T>(&self, f: impl FnOnce(&mut Ledger) -> T) -> T {
        f(&mut self.state().ledger)
    }

    /// Tells relays of a slot what may leave now.
    pub fn flush(&self, slot: Slot) {
        self.state().flush(slot);
    }

    /// Tells all relays what may leave now: a new table or a copy that is no
    /// longer waited for lets changes leave without an acknowledgement.
    pub fn flush_all(&self) {
        self.state().flush_where(|_live| true);
    }

    /// Applies changes that `from` sent as their owner for the copies here.
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
                    node.broken("ledger_receive", &broken);
                    acks.push(Ack::Sealed(epoch));
                }
            }
        }
        acks
    }

    /// What one copy lacks of all slots. `clear` empties the queue of changes
    /// to it, under the lock, so that none is sent twice or out of order.
    #[must_use]
    pub fn missing(&self, to: &id::Instance, clear: impl FnOnce()) -> Vec<Update> {
        let state = self.state();
        clear();
        let slots: Vec<Slot> = state.ledger.served_slots().map(|(slot, _)| slot).collect();
        slots
            .iter()
            .flat_map(|slot| state.ledger.resend(*slot, to))
            .collect()
    }

    /// Cancels an open request that is owned here.
    #[must_use]
    pub fn cancel(&self, name: &Name) -> bool {
        let state = self.state();
        match state.find(name) {
            Ok(at) => state.live[at].signals.send(Input::Cancel).is_ok(),
            Err(_absent) => false,
        }
    }

    /// Tells all relays.
    pub fn tell_all(&self, input: &Input) {
        for live in &self.state().live {
            // A relay that has just ended needs no news.
            let _ended = live.signals.send(input.clone());
        }
    }

    /// Tells the relays of one slot.
    pub fn tell_slot(&self, slot: Slot, input: &Input) {
        for live in self.state().live.iter().filter(|live| live.slot == slot) {
            let _ended = live.signals.send(input.clone());
        }
    }

    /// Open requests.
    #[must_use]
    pub fn count(&self) -> usize {
        self.state().live.len()
    }

    /// Notes what a copy said.
    pub fn acked(&self, node: &Node, from: &id::Instance, slot: Slot, epoch: Epoch, ack: Ack) {
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
            Err(broken) => node.broken("ledger_ack", &broken),
        }
    }

    /// Records a relay's change. An input for the relay comes back if it is settled at once.
    ///
    /// # Errors
    /// Too many changes of the slot wait for a copy: the change is given back,
    /// to be recorded later and before any other of its request.
    pub fn record(
        &self,
        node: &Node,
        name: &Name,
        request: u64,
        change: Change,
    ) -> Result<Option<Input>, Change> {
        let now = node.now();
        let mut state = self.state();
        let Ok(at) = state.find(name) else {
            return Ok(None);
        };
        let slot = state.live[at].slot;
        if state.ledger.serving(slot) && state.ledger.behind(slot) {
            return Err(change);
        }
        Ok(match state.change(now, at, change) {
            Ok(step) => {
                let released = step.released;
                state.live[at].pending.push(Pending {
                    request,
                    seq: step.seq,
                });
                // Sent under the lock, so that each copy gets the slot's changes in order.
                node.links.send(&step);
                drop(state);
                released.then_some(Input::Acked { seq: request })
            }
            // A slot that is full was found above, under the same lock.
            Err(ledger::Error::NotOwner(_) | ledger::Error::Full(_)) => Some(Input::Sealed),
            Err(ledger::Error::NotSafe(_)) => Some(Input::Unreplicated),
            Err(ledger::Error::Broken(broken)) => {
                drop(state);
                node.broken("ledger_change", &broken);
                Some(Input::Sealed)
            }
        })
    }

    /// Forgets a relay that has ended. One that was sealed may end only after
    /// the slot has come back: its request goes on then.
    pub fn end(&self, node: &Arc<Node>, slot: Slot, name: &Name, feed: &Arc<Feed>) {
        let mut state = self.state();
        if let Ok(at) = state.find(name)
            && Arc::ptr_eq(&state.live[at].feed, feed)
        {
            state.live.remove(at);
        }
        let back = state.ledger.serving(slot) && state.ledger.released(slot).is_some();
        drop(state);
        if back {
            self.carry_on(node, slot);
        }
    }

    /// Gives the answer of a request that is owned here, run now if it is new.
    ///
    /// # Errors
    /// It is owned elsewhere, unknown, or refused.
    pub async fn follow(&self, node: &Arc<Node>, follow: &Follow) -> Result<Follower, Fault> {
        let slot = node.view().slot(&follow.name.key);
        let number = match &follow.intake {
            Some(intake) if self.takes(node, slot, intake)? => match admit(node, intake).await {
                Ok(number) => Some(number),
                // The same request may have been taken in meanwhile.
                Err(fault) if self.takes(node, slot, intake)? => return Err(fault),
                Err(_refused) => None,
            },
            _ => None,
        };
        let result = self.open(node, slot, follow, number);
        if let (Some(number), true) = (number, result.is_err()) {
            node.control.send(Message::Over(number));
        }
        result
    }

    /// Whether the request would be new here.
    fn takes(&self, node: &Node, slot: Slot, intake: &Intake) -> Result<bool, Fault> {
        let state = self.state();
        if state.find(&intake.name).is_ok() || state.ledger.record(slot, &intake.name).is_some() {
            return Ok(false);
        }
        if !state.ledger.served_slots().any(|(owned, _)| owned == slot) {
            return Err(come_back(
                Code::Unavailable,
                "the request is owned elsewhere",
            ));
        }
        // What cannot be handed over while it runs must not begin at one that leaves.
        let closed = self.closed.load(Ordering::Relaxed);
        if closed || (node.view().leaving && !intake.idempotent) {
            return Err(come_back(
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
            (Ok(at), intake) => {
                let live = &state.live[at];
                if intake
                    .as_ref()
                    .is_some_and(|intake| intake.digest() != live.digest)
                {
                    return Err(reused(&follow.name));
                }
                Arc::clone(&live.feed)
            }
            // Nothing may begin for a caller who is then told that it was refused.
            (Err(_), Some(_)) if follow.offset > 0 && state.fresh(slot, &follow.name) => {
                return Err(unresumable());
            }
            (Err(_), Some(intake)) => state.begin(node, slot, intake, number)?,
            (Err(_), None) => state.known(node, slot, &follow.name)?,
        };
        drop(state);
        if !feed.resumable(follow.offset) {
            if !feed.closed() {
                // A new owner shows the text once its own copies hold it.
                return Err(come_back(Code::Unavailable, "the answer is not there yet"));
            }
            return Err(unresumable());
        }
        Ok(Follower::new(feed, follow.offset))
    }

    /// Carries out what a new slot table meant for the ledger.
    pub fn adopt(&self, node: &Arc<Node>, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Owns(slot) => self.carry_on(node, slot),
                Event::Backs(slot) | Event::Dropped(slot) => {
                    self.tell_slot(slot, &Input::Sealed);
                }
                Event::Ended(name, end) => {
                    let slot = node.view().slot(&name.key);
                    if !self.state().doubt(slot, &name) {
                        event::ORPHAN.emit(format_args!("request={name} end={end:?}"));
                    }
                }
                Event::Broken(broken) => node.broken("ledger_observe", &broken),
            }
        }
    }

    /// Starts a relay for each open request of a slot that may go on here now.
    pub fn carry_on(&self, node: &Arc<Node>, slot: Slot) {
        let mut state = self.state();
        let owner = state.ledger.released(slot).is_some();
        let open: Vec<Record> = state.ledger.open(slot).cloned().collect();
        for record in open
            .into_iter()
            .filter(|record| owner || record.intake.idempotent)
        {
            if state.find(&record.intake.name).is_err() {
                state.spawn(node, slot, Begun::Resumed(Box::new(record)));
            }
        }
        state.flush(slot);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // No holder of the lock panics half way through a change.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Asks the gate for a place.
async fn admit(node: &Node, intake: &Intake) -> Result<Number, Fault> {
    let ticket = dispatch::ticket(intake, node.now() + intake.deadline.duration());
    let ask = |reply| Message::Admit { ticket, reply };
    let stopping = || come_back(Code::Unavailable, "this entry instance is stopping");
    let admitted = node.control.ask(ask).await.ok_or_else(stopping)?;
    admitted.map_err(|refusal| gate(refusal, &intake.name))
}
