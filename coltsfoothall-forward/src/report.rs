//! Metrics and summary log lines for operators.

use coltsfoothall::clock::Time;
use coltsfoothall::id;
use coltsfoothall::record::Class;
use coltsfoothall_shell::event;
use coltsfoothall_shell::metric::{End, Labels};

use crate::state::State;
use crate::versions;

/// Lowest rank that the metrics count as batch work.
const MIN_BATCH_RANK: u8 = 5;

/// Logs a value of the store that cannot be parsed. Its key may hold any text of another writer.
pub fn log_unreadable(step: &str, key: &str, error: &dyn std::error::Error) {
    let reason = error.to_string();
    event::STORE_FAILED.emit(format_args!("step={step} key={key:?} reason={reason:?}"));
}

impl State {
    /// Metric labels of a request. A request counts as interactive unless it has the last of three
    /// ranks.
    #[must_use]
    pub fn labels(&self, workspace: &id::Workspace, rank: u8) -> Labels {
        let class = if rank < MIN_BATCH_RANK {
            Class::Interactive
        } else {
            Class::Batch
        };
        self.board.labels(workspace, class)
    }

    /// Records that a request ended with this status.
    pub fn record_ended(&self, labels: &Labels, status: u16, received_at: Time) {
        let (code, outcome) = match status {
            200..=299 => ("ok", "done"),
            429 => ("over_rate", "not_run"),
            503 => ("refused", "not_run"),
            502 => ("broken_off", "unknown"),
            504 => ("late", "unknown"),
            400..=499 => ("bad_request", "not_run"),
            _ => ("endpoint_failed", "done"),
        };
        self.board.latency(labels, self.now().since(received_at));
        self.board.ended(labels, End { code, outcome });
    }

    /// Counts a successful request. The log shows only the number of these.
    pub fn count_served(&self) {
        self.served.set(self.served.get() + 1);
    }

    /// Logs the number of successful requests since the last summary, and the current state.
    pub fn log_summary(&self) {
        let served = self.served.take();
        let coverage = self.coverage();
        event::SERVED.emit(format_args!(
            "served={served} open={} version={} endpoints={} unreachable={} members={} heard={} bodies_kb={} answers_kb={} connections={} store_calls={}",
            self.open.get(),
            self.version(),
            self.roster.borrow().nodes().len(),
            self.roster.borrow().unreachable().count(),
            coverage.members,
            coverage.reporting,
            self.bodies.take_peak().0 / 1_000,
            self.answers.take_peak().0 / 1_000,
            self.connection_peaks(),
            self.calls
        ));
        self.report_turned_away();
    }

    /// The largest number of connections of each listener since the last call.
    fn connection_peaks(&self) -> String {
        let slots = self.slots.borrow();
        let peaks = slots.iter().map(|slots| slots.take_peak().to_string());
        peaks.collect::<Vec<_>>().join("/")
    }

    /// Logs and counts the connections that were closed for others, or refused.
    fn report_turned_away(&self) {
        for slots in self.slots.borrow().iter() {
            let count = slots.take_turned_away();
            if count > 0 {
                self.board.connections_turned_away(slots.name, count);
                event::CROWDED.emit(format_args!(
                    "listener={:?} turned_away={count} open={}",
                    slots.name,
                    slots.open()
                ));
            }
        }
    }

    /// Updates the gauges from the current state.
    pub fn update_gauges(&self) {
        let avoided = self.roster.borrow_mut().take_avoided();
        self.board.sends_avoided("leaving", avoided.leaving);
        self.board.sends_avoided("backoff", avoided.backoff);
        let roster = self.roster.borrow();
        let now = self.now();
        let backed_off = roster.nodes().iter();
        let backed_off = backed_off.filter(|node| node.is_backed_off(now));
        self.board.endpoints("backoff", backed_off.count() as u64);
        let leaving = roster.nodes().iter().filter(|node| node.is_leaving());
        let leaving = leaving.count() as u64;
        self.board.endpoints("leaving", leaving);
        self.board
            .endpoints("ready", roster.nodes().len() as u64 - leaving);
        self.board
            .endpoints("unreachable", roster.unreachable().count() as u64);
        let lost_services = self.lost_services.borrow().len() as u64;
        self.board.lost_services(lost_services);
        drop(roster);
        self.board
            .services_unsettled(versions::count_unsettled(self));
        self.board.members(u64::from(self.coverage().members));
        self.board.revision(self.version());
        let behind = self.adoption.lag.borrow().age(self.now());
        self.board.behind(behind.unwrap_or_default());
        self.board
            .parts_condemned(self.culprits.borrow().verdicts().len() as u64);
        let (held, reading) = self.bodies.usage();
        self.board.bodies(held.0, reading as u64);
        for slots in self.slots.borrow().iter() {
            self.board.connections(slots.name, slots.open() as u64);
        }
        self.update_retry_gauges();
        let configuration = self.configuration();
        let services = configuration
            .iter()
            .flat_map(|configuration| configuration.config.services());
        for service in services.filter(|service| service.scaling.is_some()) {
            let load = self.load(&service.name);
            self.board
                .offered_load(&service.name, load.map_or(0.0, |load| load.value));
        }
    }
}
