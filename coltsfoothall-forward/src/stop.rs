//! A planned stop of this instance, and what it still takes meanwhile.

use std::rc::Rc;
use std::time::Duration;

use coltsfoothall::forward::stop::{Need, Stop};
use coltsfoothall_shell::event;
use tokio::net::UdpSocket;
use tokio::time::{timeout, timeout_at};

use crate::attempt::Job;
use crate::connection::Connection;
use crate::gossip;
use crate::listen::Connections;
use crate::refusal::{Refusal, unavailable};
use crate::state::State;

/// Time for the answers and log lines of requests that are cut.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(50);
/// When to come back while no other instance takes requests: about when callers get new
/// addresses.
const NO_PEER_RETRY_DELAY: Duration = Duration::from_millis(600);

/// Stops: out of the addresses at once, then on with what is open, until callers were to drop
/// this instance's address and all answers are written.
pub async fn run(state: &Rc<State>, socket: &Rc<UdpSocket>, callers: &Connections) {
    let bounds = state.settings().bounds.clone();
    let stop = Stop::new(
        state.now(),
        bounds.grace.duration(),
        bounds.addresses.duration(),
    );
    state.stop.set(Some(stop));
    event::STOPPING.emit(format_args!("open={}", state.open.get()));
    state.leader.borrow_mut().stop();
    // Beside the stop, whose moments must not wait for a large fleet to be told.
    tokio::task::spawn_local({
        let (state, socket) = (Rc::clone(state), Rc::clone(socket));
        async move { gossip::broadcast(&state, &socket).await }
    });
    tokio::time::sleep_until(state.clock.instant(stop.closes)).await;
    event::CLOSES_IDLE.emit(format_args!(
        "after_ms={} open={}",
        elapsed_ms(state, stop),
        state.open.get()
    ));
    callers.close();
    let closed = timeout_at(state.clock.instant(stop.cuts), callers.closed());
    if closed.await.is_ok() {
        event::STOPPED.emit(format_args!("ms={}", elapsed_ms(state, stop)));
    } else {
        event::CUT_OFF.emit(format_args!(
            "open={} after_ms={}",
            state.open.get(),
            elapsed_ms(state, stop)
        ));
        state.abort.cancel();
    }
    // Callers who do not read hold nobody up.
    let _closed = timeout(FLUSH_TIMEOUT, callers.closed()).await;
    // What ran last is in no heartbeat yet; with 60 others this takes some 0.07 s.
    gossip::broadcast(state, socket).await;
}

/// Milliseconds since the signal.
fn elapsed_ms(state: &State, stop: Stop) -> u128 {
    state.now().since(stop.signalled).as_millis()
}

/// Refuses a request that might outlast the stop under way: it goes to another instance
/// at once. Taken it would be cut, and most streams cannot be run again.
///
/// # Errors
/// It may need longer than is left.
pub fn check(state: &State, job: &Job, connection: &Connection) -> Result<(), Refusal> {
    let Some(stop) = state.stop.get() else {
        return Ok(());
    };
    let now = state.now();
    let need = Need {
        limit: job.due.since(now),
        longest: state.durations.borrow().longest(&job.route.name),
        elsewhere: other_is_ready(state),
    };
    event::IN_STOP.emit(format_args!(
        "request={} after_ms={} left_ms={} needs_ms={} elsewhere={} connection_ms={} before={}",
        job.id(),
        elapsed_ms(state, stop),
        stop.cuts.since(now).as_millis(),
        need.time().as_millis(),
        need.elsewhere,
        connection.age().as_millis(),
        connection.requests().saturating_sub(1),
    ));
    if stop.allows(now, need) {
        return Ok(());
    }
    let retry_after = if need.elsewhere {
        Duration::ZERO
    } else {
        NO_PEER_RETRY_DELAY
    };
    Err(unavailable("this instance stops; use another", retry_after))
}

/// Whether another instance takes requests.
fn other_is_ready(state: &State) -> bool {
    let peers = state.peers.borrow();
    let profiles = peers.profiles(state.now());
    profiles.iter().any(|profile| profile.ready)
}
