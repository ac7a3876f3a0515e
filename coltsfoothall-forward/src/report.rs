//! What operators are told of requests: metrics, and log lines that sum up.

use coltsfoothall::clock::Time;
use coltsfoothall::id;
use coltsfoothall::record::Class;
use coltsfoothall_shell::event;
use coltsfoothall_shell::metric::{End, Labels};

use crate::state::State;

/// Rank from which a request is batch work in the metrics.
const MIN_BATCH_RANK: u8 = 5;

impl State {
    /// Labels of a request for its metrics. A request is interactive here unless its rank
    /// is the last of three.
    #[must_use]
    pub fn labels(&self, workspace: &id::Workspace, rank: u8) -> Labels {
        let class = if rank < MIN_BATCH_RANK {
            Class::Interactive
        } else {
            Class::Batch
        };
        self.board.labels(workspace, class)
    }

    /// A request ended with this status.
    pub fn record_ended(&self, labels: &Labels, status: u16, begun: Time) {
        let (code, outcome) = match status {
            200..=299 => ("ok", "done"),
            429 => ("over_rate", "not_run"),
            503 => ("refused", "not_run"),
            502 => ("broken_off", "unknown"),
            504 => ("late", "unknown"),
            400..=499 => ("bad_request", "not_run"),
            _ => ("endpoint_failed", "done"),
        };
        self.board.latency(labels, self.now().since(begun));
        self.board.ended(labels, End { code, outcome });
    }

    /// A request ended well; such ones are counted in the log and not listed.
    pub fn count_served(&self) {
        self.served.set(self.served.get() + 1);
    }

    /// Logs how many requests ended well since the last time, and what is known now.
    pub fn log_summary(&self) {
        let served = self.served.take();
        let reach = self.reach();
        event::SERVED.emit(format_args!(
            "served={served} open={} version={} endpoints={} members={} heard={} store_calls={}",
            self.open.get(),
            self.version(),
            self.roster.borrow().nodes().len(),
            reach.members,
            reach.heard,
            self.calls
        ));
    }

    /// Sets the gauges from what is known now.
    pub fn update_gauges(&self) {
        let roster = self.roster.borrow();
        let leaving = roster.nodes().iter().filter(|node| node.entry.leaving);
        let leaving = leaving.count() as u64;
        self.board.endpoints("leaving", leaving);
        self.board
            .endpoints("ready", roster.nodes().len() as u64 - leaving);
        self.board.members(u64::from(self.reach().members));
        self.board.revision(self.version());
        let behind = self.adoption.lag.borrow().age(self.now());
        self.board.behind(behind.unwrap_or_default());
    }
}
