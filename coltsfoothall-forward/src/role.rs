//! What this instance does in the fleet: active instances serve callers and read the store, those
//! on standby hear from the active ones.

use std::cell::{Cell, RefCell};

use coltsfoothall::clock::Time;
use coltsfoothall::forward::active::Own;
use coltsfoothall::forward::peer::Status;
use coltsfoothall::forward::role::Role;
use coltsfoothall_shell::event;
use tokio::sync::Notify;

use crate::relays::Relays;
use crate::state::State;

/// Averaging time, in seconds, of the requests that this instance serves.
const RATE_SECONDS: f64 = 2.0;

/// What decides the role of this instance, and what follows from it.
#[derive(Debug, Default)]
pub struct Standing {
    /// Requests of callers since the start.
    requests: Cell<u64>,
    /// Requests as of the last update of the rate.
    counted: Cell<u64>,
    /// Requests a second.
    rate: Cell<f64>,
    updated: Cell<Time>,
    /// Whether the store was asked for the members, successfully or not.
    members_read: Cell<bool>,
    changed: Notify,
    /// Totals of instances on standby that this one forwards.
    pub relays: RefCell<Relays>,
}

impl Standing {
    /// Counts a request of a caller.
    pub fn count_request(&self) {
        self.requests.set(self.requests.get() + 1);
    }

    /// Records that the store was asked for the members.
    pub fn record_members_read(&self) {
        if !self.members_read.replace(true) {
            self.changed.notify_waiters();
        }
    }

    /// Whether the store was asked for the members, successfully or not.
    pub fn has_read_members(&self) -> bool {
        self.members_read.get()
    }

    /// Waits until the role changes, or until the members are read for the first time.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Requests a second, averaged over the last seconds.
    fn update_rate(&self, now: Time) -> f64 {
        let seconds = now.since(self.updated.replace(now)).as_secs_f64();
        let requests = self.requests.get();
        let more = requests - self.counted.replace(requests);
        if seconds > 0.0 {
            let kept = (-seconds / RATE_SECONDS).exp();
            let rate = self.rate.get() * kept + more as f64 / seconds * (1.0 - kept);
            self.rate.set(rate);
        }
        self.rate.get()
    }
}

impl State {
    /// What this instance does.
    #[must_use]
    pub fn role(&self) -> Role {
        self.peers.borrow().role()
    }

    /// What this instance reports about itself beside its profile.
    #[must_use]
    pub fn status(&self) -> Status {
        let peers = self.peers.borrow();
        Status {
            role: peers.role(),
            requests: self.standing.requests.get(),
            searching: peers.is_searching(self.now(), &self.domain),
        }
    }

    /// Decides what this instance does. Returns its role if that has changed.
    pub fn update_role(&self) -> Option<Role> {
        let now = self.now();
        let own = Own {
            domain: &self.domain,
            link: self.settings().link(),
            rate: self.standing.update_rate(now),
            leads: self.leader.borrow().holds(),
        };
        let role = self.peers.borrow_mut().update(now, own)?;
        event::ROLE.emit(format_args!(
            "role={role:?} members={} rate={:.1}",
            self.coverage().members,
            self.standing.rate.get()
        ));
        self.standing.changed.notify_waiters();
        Some(role)
    }

    /// Waits until the store was asked for the members.
    pub async fn members_read(&self) {
        while !self.standing.members_read.get() {
            self.standing.changed().await;
        }
    }

    /// Waits until this instance is active and has read the members, so that one on standby does
    /// not read the store in vain.
    pub async fn active(&self) {
        while self.role() == Role::Standby || !self.standing.members_read.get() {
            self.standing.changed().await;
        }
    }

    /// Waits until this instance is on standby.
    pub async fn on_standby(&self) {
        while self.role() == Role::Active {
            self.standing.changed().await;
        }
    }
}
