//! A planned stop of this instance, and what it still takes meanwhile.

use std::rc::Rc;
use std::time::Duration;

use coltsfoothall::forward::stop::Stop;
use coltsfoothall_shell::event;
use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::attempt::Job;
use crate::connection::Connection;
use crate::dispatch::PATIENCE;
use crate::gossip;
use crate::listen::Connections;
use crate::refusal::{Refusal, full};
use crate::state::State;

/// Time for the last answers and log lines of requests that are cut.
const LAST_WORDS: Duration = Duration::from_millis(100);

/// Stops: out of the addresses at once, then on with what is open, until nobody can still
/// hold an answer that names this instance and all answers are written.
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
        async move { gossip::announce(&state, &socket).await }
    });
    tokio::time::sleep_until(state.clock.instant(stop.closes)).await;
    event::CLOSES_IDLE.emit(format_args!(
        "after_ms={} open={}",
        after(state, stop),
        state.open.get()
    ));
    callers.close();
    let closed = tokio::time::timeout_at(state.clock.instant(stop.cuts), callers.closed());
    if closed.await.is_ok() {
        event::STOPPED.emit(format_args!("ms={}", after(state, stop)));
        return;
    }
    event::CUT_OFF.emit(format_args!("open={}", state.open.get()));
    state.cutting.cancel();
    if timeout(LAST_WORDS, callers.closed()).await.is_err() {
        // Callers who do not read; the process ends all the same.
        event::CUT_OFF.emit(format_args!("open={}", state.open.get()));
    }
}

/// Milliseconds since the signal.
fn after(state: &State, stop: Stop) -> u128 {
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
    let longest = longest(state, job);
    event::IN_STOP.emit(format_args!(
        "request={} after_ms={} left_ms={} longest_ms={} connection_ms={} before={}",
        job.id(),
        after(state, stop),
        stop.cuts.since(now).as_millis(),
        longest.as_millis(),
        connection.age().as_millis(),
        connection.requests().saturating_sub(1),
    ));
    if stop.allows(now, longest) {
        return Ok(());
    }
    Err(full("this instance stops; use another", Duration::ZERO))
}

/// The longest that a request is expected to take, which is never longer than it may.
fn longest(state: &State, job: &Job) -> Duration {
    let now = state.now();
    let left = job.due.since(now);
    let roster = state.roster.borrow();
    let Ok(pick) = roster.choose(now, &job.ask(&state.domain, &[])) else {
        // It will be refused for that.
        return Duration::ZERO;
    };
    let estimates = state.estimates.borrow();
    let answer = estimates.longest(&job.route.name, job.units());
    answer.map_or(left, |answer| left.min(pick.wait * PATIENCE + answer))
}
