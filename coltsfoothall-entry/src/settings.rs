//! Settings of an entry instance.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use coltsfoothall::id;
use coltsfoothall::size::Millis;
use coltsfoothall_shell::journal::Log;
use coltsfoothall_shell::settings::{Check, Fault};

use crate::steward;

/// Settings of an entry instance.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The name of this instance at the platform.
    pub instance: id::Instance,
    /// The instance's failure domain.
    pub domain: id::Domain,
    /// The instance's region.
    pub region: id::Region,
    /// Address for callers and operators.
    pub callers: SocketAddr,
    /// Address for other entry instances.
    pub peers: SocketAddr,
    /// Address for metrics scrapes.
    pub metrics: SocketAddr,
    /// The platform's key-value service.
    pub store: SocketAddr,
    /// The platform's cloud API with its instance list.
    pub cloud: SocketAddr,
    /// The platform's weight store.
    pub weights: SocketAddr,
    /// The operators' bearer token.
    pub operator_token: String,
    /// The bearer token between entry instances.
    pub peer_token: String,
    /// Number of threads that serve requests.
    pub threads: usize,
    /// Memory of the machine in MB, a quarter of which bodies may take while they are read.
    pub memory: f64,
    /// The log's settings.
    pub log: Log,
    /// Intervals and timeouts.
    pub times: Times,
    /// Settings of stewards, which order engines and start and stop instances.
    pub stewards: steward::Settings,
}

/// Intervals and timeouts that determine how fast the instance detects changes and acts.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Times {
    /// Interval between two heartbeats.
    pub heartbeat: Millis,
    /// Time without a heartbeat after which an instance is suspected.
    pub suspect: Millis,
    /// Timeout of a call to the key-value service.
    pub store: Millis,
    /// Maximum wait for a backup's acknowledgement.
    pub backup: Millis,
    /// Timeout of an endpoint's response head, of each further part of a stream, and of the
    /// body of a plain service's answer.
    pub endpoint: Millis,
    /// Interval between two reads of the instance list.
    pub list: Millis,
    /// Interval between two reads of an endpoint's load and cache events.
    pub report: Millis,
    /// How long callers may cache the list of addresses.
    pub addresses: Millis,
    /// Deadline of a request that specifies none.
    pub deadline: Millis,
    /// Maximum duration of a planned stop.
    pub stop: Millis,
    /// Time to live of this instance's lease.
    pub lease: Millis,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            heartbeat: Millis(1000),
            suspect: Millis(3000),
            store: Millis(1000),
            backup: Millis(400),
            endpoint: Millis(20_000),
            list: Millis(1000),
            report: Millis(500),
            addresses: Millis(3000),
            deadline: Millis(300_000),
            stop: Millis(30_000),
            lease: Millis(10_000),
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            instance: "entry-1".parse().expect("the name is valid"),
            domain: "domain-1".parse().expect("the name is valid"),
            region: "region-1".parse().expect("the name is valid"),
            callers: local(8101),
            peers: local(8201),
            metrics: local(8301),
            store: local(7100),
            cloud: local(7101),
            weights: local(7102),
            operator_token: String::new(),
            peer_token: String::new(),
            threads: 2,
            memory: DEFAULT_MEMORY_MB,
            log: Log::default(),
            times: Times::default(),
            stewards: steward::Settings::default(),
        }
    }
}

/// Maximum number of threads that serve requests; more would only use up the memory of a
/// small instance.
const MAX_THREADS: usize = 64;

/// Memory of the smallest machine that instances run on.
const DEFAULT_MEMORY_MB: f64 = 160.0;
/// Memory without which an instance cannot run.
const MIN_MEMORY_MB: f64 = 32.0;

impl Check for Settings {
    fn check(&self) -> Result<(), Fault> {
        check_token("operator_token", &self.operator_token)?;
        check_token("peer_token", &self.peer_token)?;
        if self.threads == 0 || self.threads > MAX_THREADS {
            return Err(Fault::new(
                "threads",
                format!("must be from 1 to {MAX_THREADS}"),
            ));
        }
        if !self.memory.is_finite() || self.memory < MIN_MEMORY_MB {
            return Err(Fault::new(
                "memory",
                "is not a number of MB, or under 32, less than an instance needs",
            ));
        }
        self.stewards.check()?;
        self.times.check()
    }
}

/// Checks a token, which is put into a header without encoding.
fn check_token(name: &str, token: &str) -> Result<(), Fault> {
    if token.is_empty() {
        return Err(Fault::new(name, "must not be empty"));
    }
    if !token.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(Fault::new(name, "must hold only visible ASCII characters"));
    }
    Ok(())
}

impl Check for Times {
    fn check(&self) -> Result<(), Fault> {
        let spans = [
            ("heartbeat", self.heartbeat),
            ("suspect", self.suspect),
            ("store", self.store),
            ("backup", self.backup),
            ("endpoint", self.endpoint),
            ("list", self.list),
            ("report", self.report),
            ("addresses", self.addresses),
            ("deadline", self.deadline),
            ("stop", self.stop),
            ("lease", self.lease),
        ];
        for (name, span) in spans {
            if span.0 == 0 {
                return Err(Fault::new(format!("times.{name}"), "must not be 0"));
            }
        }
        if self.suspect.0 < 2 * self.heartbeat.0 {
            return Err(Fault::new(
                "times.suspect",
                "must be at least twice times.heartbeat",
            ));
        }
        if self.lease.0 < 2 * self.store.0 {
            return Err(Fault::new(
                "times.lease",
                "must be at least twice times.store",
            ));
        }
        Ok(())
    }
}
