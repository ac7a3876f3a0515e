//! Planned shutdown, and which requests are still accepted meanwhile.

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

/// Time for writing the responses and log lines of aborted requests.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(50);
/// `Retry-After` when no other instance is ready: about when callers fetch new addresses.
const NO_PEER_RETRY_DELAY: Duration = Duration::from_millis(600);

/// Shuts down. This instance is no longer listed to callers at once, but keeps serving until
/// callers have had time to drop its address and all responses are written.
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
    // In a separate task, so that the deadlines of the shutdown do not wait for a broadcast to a
    // large fleet.
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
    // Callers that do not read do not delay the shutdown.
    let _closed = timeout(FLUSH_TIMEOUT, callers.closed()).await;
    // Reports the runs that no heartbeat has reported yet; with 60 other instances this takes about
    // 0.07 s.
    gossip::broadcast(state, socket).await;
}

/// Milliseconds since the signal to stop.
fn elapsed_ms(state: &State, stop: Stop) -> u128 {
    state.now().since(stop.signalled).as_millis()
}

/// Refuses a request that might outlast the shutdown, so that the caller sends it to another
/// instance at once. It would otherwise be aborted, and most streams cannot be run again.
///
/// # Errors
/// The request may need more time than is left.
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

/// Whether another instance is ready.
fn other_is_ready(state: &State) -> bool {
    let peers = state.peers.borrow();
    let profiles = peers.profiles(state.now());
    profiles.iter().any(|profile| profile.ready)
}
