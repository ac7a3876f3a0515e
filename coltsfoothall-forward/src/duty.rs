//! Keeps this instance registered, takes part in the leader election, and runs the leader's duties.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use coltsfoothall::clock::Time;
use coltsfoothall::forward::history::{Fence, Lease};
use coltsfoothall::forward::leader::Step;
use coltsfoothall::forward::role::Role;
use coltsfoothall_shell::event;

use crate::adapter::{Error, Write};
use crate::calls::Call;
use crate::membership::{self, LEADER_KEY, member_prefix};
use crate::orders::Autoscaler;
use crate::registrations;
use crate::reporter::{self, Reporter};
use crate::settings::Feature;
use crate::state::State;
use crate::time;
use crate::upgrades::Driver;

/// Lease term of a registration; a killed instance counts as a member for at most this long.
const REGISTRATION_TTL: Duration = Duration::from_secs(6);
/// Interval between renewals of the registration.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// Time over which instances spread their new registrations after the store was restored: 330
/// instances then make 660 writes a second, a fifth of the store's rate, and callers keep addresses
/// for longer than this.
const MAX_REGISTRATION_JITTER: Duration = Duration::from_millis(1_000);
/// Interval between renewals of an instance on standby, which only has to be found.
const STANDBY_RENEW_INTERVAL: Duration = Duration::from_secs(4);
/// Interval of the election and the leader's duties; a third of the shortest lease term.
const TICK_INTERVAL: Duration = Duration::from_millis(300);
/// How long a new leader waits for the loads that an earlier one saved before it orders endpoints.
const MAX_RESTORE_DELAY: Duration = Duration::from_millis(1_000);

/// Keeps this instance registered until it shuts down.
pub async fn register(state: Rc<State>) {
    let mut lease: Option<Lease> = None;
    while !state.stopping.is_cancelled() {
        let outdated = lease.take_if(|lease| Some(lease.era) < state.era());
        if outdated.is_some() {
            // All instances lose their registrations at the same moment.
            pause(&state, MAX_REGISTRATION_JITTER.mul_f64(rand::random())).await;
            continue;
        }
        let called_at = state.now();
        let outcome = match lease {
            Some(lease) => {
                state.calls.count(Call::Renew);
                state.adapter.renew_lease(lease).await
            }
            None => match create_registration(&state).await {
                Ok(taken) => {
                    lease = Some(taken);
                    Ok(())
                }
                Err(error) => Err(error),
            },
        };
        membership::record_call(
            &state,
            called_at,
            matches!(outcome, Ok(()) | Err(Error::Missing(_))),
        );
        let wait = match outcome {
            Ok(()) => renew_interval(&state),
            Err(Error::Missing(_)) => {
                lease = None;
                TICK_INTERVAL
            }
            Err(error) => {
                event::STORE_FAILED.emit(format_args!("step=register reason={error:?}"));
                TICK_INTERVAL * 3
            }
        };
        state.refresh_era();
        pause(&state, wait).await;
    }
    if let Some(lease) = lease
        && let Err(error) = state.adapter.revoke_lease(lease).await
    {
        event::STORE_FAILED.emit(format_args!("step=withdraw reason={error:?}"));
    }
}

/// Interval until the next renewal. An answered renewal also confirms that the registrations known
/// here are current, so instances that read for others renew more often.
fn renew_interval(state: &State) -> Duration {
    if state.role() == Role::Standby {
        STANDBY_RENEW_INTERVAL
    } else if registrations::reads_for_others(state) {
        RENEW_INTERVAL.min(registrations::budget(state).max_age / 2)
    } else {
        RENEW_INTERVAL
    }
}

/// Waits for the time `wait`, or until the era of the store changes or shutdown begins.
async fn pause(state: &State, wait: Duration) {
    tokio::select! {
        () = tokio::time::sleep(wait) => {}
        () = state.era_changed.notified() => {}
        () = state.stopping.cancelled() => {}
    }
}

async fn create_registration(state: &State) -> Result<Lease, Error> {
    state.calls.count(Call::Lease);
    let lease = state.adapter.grant_lease(REGISTRATION_TTL).await?;
    let profile = serde_json::to_vec(&state.profile())
        .map_err(|error| Error::Format("register", error.to_string()))?;
    let name = format!("live/{}{}", member_prefix(&state.domain), state.name);
    let write = Write {
        puts: vec![(name, profile.into(), Some(lease))],
        ..Write::default()
    };
    state.calls.count(Call::Write);
    state.adapter.write(write).await?;
    Ok(lease)
}

/// Takes part in the leader election.
///
/// Leases are timed by the boot clock, which includes time spent suspended.
pub async fn campaign(state: Rc<State>) {
    let mut renew_at = Time::START;
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        state.refresh_era();
        let now = time::boot();
        let rank = {
            let peers = state.peers.borrow();
            peers.rank(state.now())
        };
        let ready = state.may_lead();
        let step = state.leader.borrow().step(now, rank);
        match step {
            Step::Claim if ready && state.role() == Role::Active => claim(&state).await,
            Step::Renew(lease) if now >= renew_at => {
                renew(&state, lease).await;
                renew_at = now + state.settings().bounds.lease.duration() / 4;
            }
            Step::Release(lease) => release(&state, lease).await,
            Step::Claim | Step::Renew(_) | Step::Wait => {}
        }
    }
}

/// Runs the leader's duties while this instance is the leader. This task is separate from the
/// election, so that a call that takes longer than the lease does not delay its renewal.
pub async fn run_leader(state: Rc<State>) {
    let mut term: Option<Term> = None;
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        let fence = state.fence();
        reporter::leave_mark(&state).await;
        let Some(fence) = fence else {
            term = None;
            continue;
        };
        let term = match &mut term {
            Some(term) if term.fence == fence => term,
            other => {
                state.saved_loads.borrow_mut().clear();
                other.insert(Term::new(fence))
            }
        };
        term.driver.tick(&state).await;
        term.reporter.tick(&state).await;
    }
}

/// Orders endpoints while this instance is the leader. This task is separate from the duties that
/// call the store: a store that does not answer would delay the replacement of endpoints that are
/// reclaimed meanwhile.
pub async fn run_autoscaler(state: Rc<State>) {
    let mut term: Option<(Fence, Time, Autoscaler)> = None;
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        let Some(fence) = state.fence() else {
            term = None;
            continue;
        };
        if term.as_ref().is_none_or(|(known, ..)| *known != fence) {
            term = Some((fence, state.now(), Autoscaler::default()));
        }
        let Some((_fence, began, autoscaler)) = &mut term else {
            continue;
        };
        let restores =
            state.settings().has(Feature::OfferedLoad) && state.loads_restored.get() != Some(fence);
        if restores && state.now().since(*began) < MAX_RESTORE_DELAY {
            continue;
        }
        autoscaler.tick(&state).await;
    }
}

/// State of a leader under one fencing token; a new leader starts from what the store holds.
#[derive(Debug)]
struct Term {
    fence: Fence,
    reporter: Reporter,
    driver: Driver,
}

impl Term {
    fn new(fence: Fence) -> Self {
        Self {
            fence,
            reporter: Reporter::default(),
            driver: Driver::default(),
        }
    }
}

/// Tries to become the leader by creating the leader's key under a new lease.
async fn claim(state: &State) {
    let term = state.settings().bounds.lease.duration();
    let called_at = time::boot();
    state.calls.count(Call::Lease);
    let lease = match state.adapter.grant_lease(term).await {
        Ok(lease) => lease,
        Err(error) => {
            event::STORE_FAILED.emit(format_args!("step=lease reason={error:?}"));
            return;
        }
    };
    let key = format!("live/{LEADER_KEY}");
    let write = Write {
        absent: vec![key.clone()],
        puts: vec![(key, Bytes::from(state.name.to_string()), Some(lease))],
        deletes: Vec::new(),
    };
    state.calls.count(Call::Write);
    match state.adapter.write(write).await {
        Ok(created) => {
            state.leader.borrow_mut().claimed(called_at, lease, created);
            let fence = Fence::from(created);
            event::LEADER.emit(format_args!("state=holder fence={fence} lease={lease}"));
        }
        Err(error) => {
            event::LEADER.emit(format_args!("state=not_holder reason={error:?}"));
            // The write may have taken effect; revoking the lease removes the key in any case.
            state.calls.count(Call::Lease);
            if let Err(error) = state.adapter.revoke_lease(lease).await {
                event::STORE_FAILED.emit(format_args!("step=end_lease reason={error:?}"));
            }
        }
    }
}

async fn renew(state: &State, lease: Lease) {
    let called_at = time::boot();
    state.calls.count(Call::Renew);
    match state.adapter.renew_lease(lease).await {
        Ok(()) => state.leader.borrow_mut().renewed(called_at, lease),
        Err(Error::Missing(_)) => {
            state.leader.borrow_mut().lost();
            event::LEADER.emit(format_args!(
                "state=lost lease={lease} reason=\"lease ended\""
            ));
        }
        Err(error) => event::STORE_FAILED.emit(format_args!("step=renew reason={error:?}")),
    }
}

async fn release(state: &State, lease: Lease) {
    state.leader.borrow_mut().lost();
    state.calls.count(Call::Lease);
    match state.adapter.revoke_lease(lease).await {
        Ok(()) => event::LEADER.emit(format_args!("state=released lease={lease}")),
        Err(error) => event::STORE_FAILED.emit(format_args!("step=release reason={error:?}")),
    }
}
