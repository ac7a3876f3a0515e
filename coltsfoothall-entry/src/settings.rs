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
    /// Name of this instance at the platform.
    pub instance: id::Instance,
    /// Failure domain that it is in.
    pub domain: id::Domain,
    /// Region that it is in.
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
    /// Bearer token of operators.
    pub operator_token: String,
    /// Bearer token between entry instances.
    pub peer_token: String,
    /// Traffic threads.
    pub threads: usize,
    /// Where log lines go.
    pub log: Log,
    /// Times.
    pub times: Times,
    /// Stewards: orders to engines, starts and stops of instances.
    pub stewards: steward::Settings,
}

/// Times that set how fast the instance notices and acts.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Times {
    /// Between two heartbeats.
    pub heartbeat: Millis,
    /// Without a heartbeat until an instance is suspected.
    pub suspect: Millis,
    /// Longest wait for a call to the key-value service.
    pub store: Millis,
    /// Longest wait for a backup's acknowledgement.
    pub backup: Millis,
    /// Longest wait for an endpoint's first sign of life.
    pub endpoint: Millis,
    /// Between two reads of the instance list.
    pub list: Millis,
    /// Between two reads of an endpoint's load and cache events.
    pub report: Millis,
    /// How long callers keep an answer with addresses.
    pub addresses: Millis,
    /// Deadline of a request that names none.
    pub deadline: Millis,
    /// Longest planned stop.
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
            instance: "entry-1".parse().expect("the name keeps the rules"),
            domain: "domain-1".parse().expect("the name keeps the rules"),
            region: "region-1".parse().expect("the name keeps the rules"),
            callers: local(8101),
            peers: local(8201),
            metrics: local(8301),
            store: local(7100),
            cloud: local(7101),
            weights: local(7102),
            operator_token: String::new(),
            peer_token: String::new(),
            threads: 2,
            log: Log::default(),
            times: Times::default(),
            stewards: steward::Settings::default(),
        }
    }
}

/// Most traffic threads; more would only pile up memory on a small instance.
const THREADS: usize = 64;

impl Check for Settings {
    fn check(&self) -> Result<(), Fault> {
        check_token("operator_token", &self.operator_token)?;
        check_token("peer_token", &self.peer_token)?;
        if self.threads == 0 || self.threads > THREADS {
            return Err(Fault::new(
                "threads",
                format!("must be from 1 to {THREADS}"),
            ));
        }
        self.stewards.check()?;
        self.times.check()
    }
}

/// A token goes into a header as it stands.
fn check_token(name: &str, token: &str) -> Result<(), Fault> {
    if token.is_empty() {
        return Err(Fault::new(name, "must not be empty"));
    }
    if !token.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(Fault::new(name, "has a blank or a character beyond ASCII"));
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
                "must be at least two heartbeats",
            ));
        }
        if self.lease.0 < 2 * self.store.0 {
            return Err(Fault::new(
                "times.lease",
                "must be at least two store waits",
            ));
        }
        Ok(())
    }
}
