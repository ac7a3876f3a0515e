//! Records what endpoints say of themselves in their answers, and shows it to operators.

use std::time::Duration;

use coltsfoothall::forward::backoff;
use coltsfoothall::forward::departure;
use coltsfoothall::forward::gossip::Count;
use coltsfoothall::forward::roster::{Event, Run};
use coltsfoothall::id;
use coltsfoothall::size::Millis;
use coltsfoothall_shell::event;
use rand::Rng;

use crate::adapter::Reply;
use crate::state::State;

/// Subtracted from the time in which requests may reach a leaving endpoint, for those under way.
const DEPARTURE_MARGIN: Duration = Duration::from_millis(250);
/// Who said that an endpoint is leaving, as logged and counted.
const ANSWER: &str = "answer";
const PEER: &str = "peer";

impl State {
    /// Records what the head of an answer says of the endpoint of a run. An answer without the
    /// endpoint's signature that should have one is not the endpoint's own. `accepted` if the
    /// endpoint took the request on.
    pub fn record_statements(&self, request: &str, run: &mut Run, reply: &Reply, accepted: bool) {
        let now = self.now();
        self.roster.borrow_mut().record_accepted(now, run, accepted);
        let endpoint = run.endpoint().clone();
        match &reply.departure {
            departure::Notice::None => {}
            departure::Notice::Leaving => {
                let event = self.roster.borrow_mut().record_departure(now, run);
                self.log_departure(event, ANSWER, request);
            }
            departure::Notice::Invalid(text) => self.log_invalid(
                request,
                run,
                &format!("{text:?} does not say whether it is leaving"),
            ),
        }
        match &reply.backoff {
            backoff::Notice::None => {}
            backoff::Notice::After(period) => {
                let spread = rand::rng().random();
                let began = {
                    let mut roster = self.roster.borrow_mut();
                    roster.record_backoff(now, run, *period, spread)
                };
                if began {
                    self.board.endpoint_backed_off();
                    event::ENDPOINT_BACKOFF.emit(format_args!(
                        "endpoint={endpoint} state=began seconds={period} request={request}"
                    ));
                }
            }
            backoff::Notice::Invalid(error) => {
                self.log_invalid(request, run, &error.to_string());
            }
        }
    }

    /// Logs the first statement of an endpoint that cannot be read.
    fn log_invalid(&self, request: &str, run: &Run, reason: &str) {
        let is_first = {
            let mut roster = self.roster.borrow_mut();
            roster.record_invalid_statement(self.now(), run)
        };
        if is_first {
            event::ENDPOINT_STATEMENT.emit(format_args!(
                "endpoint={} reason={reason:?} request={request}",
                run.endpoint()
            ));
        }
    }

    /// How long an endpoint that says that it is leaving may still be sent requests that no other can
    /// run.
    pub(crate) fn departure_limit(&self) -> Duration {
        let drain = self.settings().bounds.drain.duration();
        drain.saturating_sub(DEPARTURE_MARGIN)
    }

    /// Whether a request that was meant for an endpoint must not be sent to it any more.
    pub(crate) fn is_withheld(&self, endpoint: &id::Endpoint) -> bool {
        let (now, limit) = (self.now(), self.departure_limit());
        self.roster.borrow().is_withheld(now, endpoint, limit)
    }

    /// Merges the departures that another instance reports; `relayed` if it reports to few others.
    pub fn merge_departures(&self, reports: &[Count<Millis>], relayed: bool) {
        let events = {
            let mut roster = self.roster.borrow_mut();
            roster.merge_departures(self.now(), reports, relayed)
        };
        for event in events {
            self.log_departure(Some(event), PEER, "-");
        }
    }

    fn log_departure(&self, event: Option<Event>, source: &'static str, request: &str) {
        if let Some(Event::Leaving(endpoint)) = event {
            self.board.endpoint_departed(source);
            event::ENDPOINT.emit(format_args!(
                "endpoint={endpoint} state=leaving source={source} request={request}"
            ));
        }
    }

    /// How long the answers of an endpoint said that it is leaving before its registration did, for
    /// the log; empty if they did not.
    pub(crate) fn describe_lead(&self, endpoint: &id::Endpoint) -> String {
        let roster = self.roster.borrow();
        let lead = roster
            .node(endpoint)
            .and_then(|node| node.departure_lead(self.now()));
        lead.map_or_else(String::new, |lead| {
            format!(
                " answered_before_ms={} avoided={}",
                lead.age.as_millis(),
                lead.avoided
            )
        })
    }

    /// Logs the periods that have ended in which endpoints wanted no requests.
    pub fn log_ended_backoffs(&self) {
        let ended = {
            let mut roster = self.roster.borrow_mut();
            roster.take_ended_backoffs(self.now())
        };
        for report in ended {
            event::ENDPOINT_BACKOFF.emit(format_args!(
                "endpoint={} state=ended ms={} rejected={} avoided={}",
                report.endpoint,
                report.lasted.as_millis(),
                report.rejected,
                report.avoided,
            ));
        }
    }
}
