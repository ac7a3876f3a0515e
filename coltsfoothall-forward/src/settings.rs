//! Settings of a forwarding instance.

use std::net::SocketAddr;

use coltsfoothall::forward::{reader, retry};
use coltsfoothall::id;
use coltsfoothall::size::{Bytes, Megabits, Millis};
use coltsfoothall_shell::journal::Log;
use coltsfoothall_shell::settings::{Check, Fault};
use serde::{Deserialize, Serialize};

/// Shortest history of the store that watches can work with.
const MIN_HISTORY: Millis = Millis(1_000);

/// Memory of the smallest machine that instances run on.
const DEFAULT_MEMORY_MB: f64 = 160.0;
/// Memory without which an instance cannot run.
const MIN_MEMORY_MB: f64 = 32.0;

/// Descriptors without which an instance cannot run.
const MIN_DESCRIPTORS: usize = 64;

/// Where an instance listens.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Listen {
    /// Callers.
    pub front: Option<SocketAddr>,
    /// Readiness checks.
    pub readiness: Option<SocketAddr>,
    /// Requests for the addresses of instances.
    pub directory: Option<SocketAddr>,
    /// Requests of other instances and operators, and metrics.
    pub control: Option<SocketAddr>,
}

/// Limits on which the operators' service guarantees depend.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Time from the stop signal until the process is killed.
    pub grace: Millis,
    /// How long callers may keep addresses.
    pub addresses: Millis,
    /// Term of the leader's lease.
    pub lease: Millis,
    /// Retries as a share of first attempts.
    pub retry_ratio: f64,
    /// Additional retries in one window, over all instances.
    pub retry_slack: f64,
    /// Span in which retries are counted.
    pub retry_window: Millis,
    /// Length of a usage window.
    pub usage_window: Millis,
    /// Time after a window's end in which its report is due.
    pub usage_due: Millis,
    /// Time after which a leaving endpoint must get no more requests.
    pub drain: Millis,
}

impl Bounds {
    /// What all instances together may retry.
    #[must_use]
    pub fn retries(&self) -> retry::Settings {
        retry::Settings {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window: self.retry_window.duration(),
        }
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            grace: Millis(8_000),
            addresses: Millis(1_000),
            lease: Millis(3_000),
            retry_ratio: 0.2,
            retry_slack: 20.0,
            retry_window: Millis(10_000),
            usage_window: Millis(5_000),
            usage_due: Millis(10_000),
            drain: Millis(2_000),
        }
    }
}

/// Behavior under overload that is in force only where the settings name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Feature {
    /// Endpoints are ordered for the load that callers offer, refused requests included.
    OfferedLoad,
    /// Endpoints are ordered for the load that is expected once they have started.
    Forecast,
    /// Requests wait in the queues of engines whose slots are taken.
    Queueing,
    /// Refused callers are told when there will be room.
    RetryAfter,
}

/// Settings of a forwarding instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance.
    pub instance: Option<id::Instance>,
    /// Its failure domain.
    pub domain: Option<id::Domain>,
    /// Where it listens.
    pub listen: Listen,
    /// Port for datagrams between instances, the same on all.
    pub peer_port: u16,
    /// Control addresses of instances through which others are discovered.
    pub seeds: Vec<SocketAddr>,
    /// The store.
    pub store: Option<SocketAddr>,
    /// How long the store keeps the history of its changes.
    pub store_history: Millis,
    /// The interface for usage reports and orders.
    pub cloud: Option<SocketAddr>,
    /// Duties that the leader carries out.
    pub duties: Vec<String>,
    /// Largest fleet in which each instance reads the registrations of endpoints from the store; in
    /// a larger one a few instances of each failure domain read for the others.
    pub read_alone: usize,
    /// Whether the whole fleet starts for the first time, so that no member is registered yet.
    pub first_start: bool,
    /// Bandwidth of the machine's link in Mbit/s; zero if unknown. The instances with the fastest
    /// links read for others.
    pub link: f64,
    /// Memory of the machine, in MB, of which the bodies of requests and answers take a part.
    pub memory: f64,
    /// Descriptors that the process may open, of which the connections of each listener take a part;
    /// zero for the limit that the operating system names.
    pub descriptors: usize,
    /// Limits on which the operators' service guarantees depend.
    pub bounds: Bounds,
    /// Behavior under overload that is in force.
    pub overload: Vec<Feature>,
    /// The log.
    pub log: Log,
}

impl Settings {
    /// Whether a behavior under overload is in force.
    #[must_use]
    pub fn has(&self, feature: Feature) -> bool {
        self.overload.contains(&feature)
    }

    /// Bandwidth of the machine's link, rounded down to Mbit/s.
    #[must_use]
    pub fn link(&self) -> Megabits {
        Megabits(self.link as u64)
    }

    /// Memory of the machine.
    #[must_use]
    pub fn memory(&self) -> Bytes {
        Bytes((self.memory * 1e6) as u64)
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            instance: None,
            domain: None,
            listen: Listen::default(),
            peer_port: 7500,
            seeds: Vec::new(),
            store: None,
            store_history: Millis(20_000),
            cloud: None,
            duties: Vec::new(),
            read_alone: reader::MAX_DIRECT_MEMBERS,
            first_start: false,
            link: 0.0,
            memory: DEFAULT_MEMORY_MB,
            descriptors: 0,
            bounds: Bounds::default(),
            overload: Vec::new(),
            log: Log::default(),
        }
    }
}

impl Check for Settings {
    fn check(&self) -> Result<(), Fault> {
        let missing = |field: &str| Err(Fault::new(field, "is missing"));
        if self.instance.is_none() {
            return missing("instance");
        }
        if self.domain.is_none() {
            return missing("domain");
        }
        if self.listen.front.is_none() {
            return missing("listen.front");
        }
        if self.store.is_none() {
            return missing("store");
        }
        if self.store_history.0 < MIN_HISTORY.0 {
            return Err(Fault::new(
                "store_history",
                "is under 1000 ms, less than a watch needs",
            ));
        }
        if !self.link.is_finite() || self.link < 0.0 {
            return Err(Fault::new("link", "is not a number of Mbit/s"));
        }
        if !self.memory.is_finite() || self.memory < MIN_MEMORY_MB {
            return Err(Fault::new(
                "memory",
                "is not a number of MB, or under 32, less than an instance needs",
            ));
        }
        if self.descriptors != 0 && self.descriptors < MIN_DESCRIPTORS {
            return Err(Fault::new(
                "descriptors",
                "is under 64, less than an instance needs",
            ));
        }
        if !(0.0..=1.0).contains(&self.bounds.retry_ratio) {
            return Err(Fault::new("bounds.retry_ratio", "is not within 0 to 1"));
        }
        if !self.bounds.retry_slack.is_finite() || self.bounds.retry_slack < 0.0 {
            return Err(Fault::new(
                "bounds.retry_slack",
                "is not a number of retries",
            ));
        }
        if self.bounds.retry_window.0 == 0 {
            return Err(Fault::new("bounds.retry_window", "is zero"));
        }
        if self.bounds.usage_window.0 == 0 {
            return Err(Fault::new("bounds.usage_window", "is zero"));
        }
        if self.bounds.drain.0 == 0 {
            return Err(Fault::new("bounds.drain", "is zero"));
        }
        if self.bounds.lease.0 < 1_000 {
            return Err(Fault::new(
                "bounds.lease",
                "is under 1000 ms, the least the store takes",
            ));
        }
        self.log.check().map_err(|fault| fault.within("log"))
    }
}
