//! Metrics of an entry instance, for a scrape over HTTP.
//!
//! Label sets are bounded: workspaces by [`WORKSPACES`], all else by enumerations.

use std::fmt;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use coltsfoothall::id::Workspace;
use coltsfoothall::record::Class;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use quick_error::quick_error;

/// Workspaces with a label of their own; it stops label sets from growing without end.
pub const WORKSPACES: usize = 64;
/// Label of all workspaces past [`WORKSPACES`].
pub const OTHER: &str = "other";

/// Name of the scope that the instruments belong to.
const SCOPE: &str = "coltsfoothall";

/// Bounds in seconds for whole requests.
const LATENCY: &[f64] = &[
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0,
];
/// Bounds in seconds for first tokens, close together around 0.51 s.
const FIRST: &[f64] = &[
    0.05, 0.1, 0.2, 0.3, 0.4, 0.45, 0.51, 0.57, 0.65, 0.8, 1.0, 1.5, 2.5, 5.0, 10.0, 30.0,
];
/// Bounds in seconds for the time between tokens, close together around 33 ms.
const BETWEEN: &[f64] = &[
    0.005, 0.01, 0.015, 0.02, 0.025, 0.029, 0.033, 0.037, 0.042, 0.05, 0.075, 0.1, 0.25, 0.5, 1.0,
    5.0,
];

quick_error! {
    /// Metrics that cannot be set up or written.
    #[derive(Debug)]
    pub enum Error {
        /// The exporter refuses.
        Exporter(message: String) {
            display("metrics: cannot start the exporter: {message}")
        }
        /// The metrics cannot be written as text.
        Encode(message: String) {
            display("metrics: cannot write them: {message}")
        }
    }
}

/// Whose request is measured; made once for each request.
#[derive(Debug, Clone)]
pub struct Labels([KeyValue; 2]);

/// How a request ended, for its counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct End {
    /// Stable code of the error, or `ok`.
    pub code: &'static str,
    /// `done`, `not_run` or `unknown`.
    pub outcome: &'static str,
}

/// Direction of bytes between entry instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flow {
    /// Received.
    In,
    /// Sent.
    Out,
}

/// All instruments of an entry instance, and the registry that a scrape reads.
pub struct Board {
    registry: Registry,
    provider: SdkMeterProvider,
    workspaces: Mutex<Vec<Workspace>>,
    latency: Histogram<f64>,
    first: Histogram<f64>,
    between: Histogram<f64>,
    requests: Counter<u64>,
    retries: Counter<u64>,
    recomputed: Counter<u64>,
    dropped: Counter<u64>,
    endpoints: Gauge<u64>,
    members: Gauge<u64>,
    revision: Gauge<u64>,
    behind: Gauge<u64>,
    slots: Gauge<u64>,
    queued: Gauge<u64>,
    broken: Counter<u64>,
    store: Counter<u64>,
    peer: Counter<u64>,
}

impl fmt::Debug for Board {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Board").finish_non_exhaustive()
    }
}

impl Board {
    /// Instruments of one instance, all at zero.
    ///
    /// # Errors
    /// The exporter refuses.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_scope_info()
            .without_target_info()
            .build()
            .map_err(|error| Error::Exporter(error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(SCOPE);
        Ok(Self {
            registry,
            workspaces: Mutex::default(),
            latency: seconds(
                &meter,
                "request.latency",
                "Time to the whole answer",
                LATENCY,
            ),
            first: seconds(
                &meter,
                "request.first_token",
                "Time to the first token",
                FIRST,
            ),
            between: seconds(
                &meter,
                "request.between_tokens",
                "Time between tokens",
                BETWEEN,
            ),
            requests: count(&meter, "requests", "Requests ended, by code and outcome"),
            retries: count(&meter, "retries", "Attempts after a request's first"),
            recomputed: count(&meter, "recomputed_tokens", "Tokens computed a second time"),
            dropped: count(
                &meter,
                "dropped_pieces",
                "Pieces of answers dropped, by reason",
            ),
            endpoints: level(&meter, "endpoints", "Endpoints, by state"),
            members: level(&meter, "members", "Entry instances that are members"),
            revision: level(&meter, "revision", "Revision of the configuration in force"),
            behind: level(
                &meter,
                "configuration_behind_milliseconds",
                "How long a newer configuration is known to exist",
            ),
            slots: level(&meter, "slots", "Slots that this instance owns"),
            queued: level(&meter, "queued", "Requests that wait for an endpoint"),
            broken: count(&meter, "broken_rules", "Invariants found broken, by rule"),
            store: count(
                &meter,
                "store_calls",
                "Calls of the key-value service, by result",
            ),
            peer: count(&meter, "peer_bytes", "Bytes between entry instances"),
            provider,
        })
    }

    /// Labels of a request; workspaces past the bound share one.
    #[must_use]
    pub fn labels(&self, workspace: &Workspace, class: Class) -> Labels {
        let workspace = if self.admit(workspace) {
            KeyValue::new("workspace", workspace.as_str().to_owned())
        } else {
            KeyValue::new("workspace", OTHER)
        };
        let class = match class {
            Class::Interactive => "interactive",
            Class::Batch => "batch",
        };
        Labels([workspace, KeyValue::new("class", class)])
    }

    /// Whether the workspace has a label of its own, giving it one if there is room.
    fn admit(&self, workspace: &Workspace) -> bool {
        let mut known = self
            .workspaces
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match known.binary_search(workspace) {
            Ok(_found) => true,
            Err(_full) if known.len() >= WORKSPACES => false,
            Err(place) => {
                known.insert(place, workspace.clone());
                true
            }
        }
    }

    /// A request's whole answer took `span`.
    pub fn latency(&self, labels: &Labels, span: Duration) {
        self.latency.record(span.as_secs_f64(), &labels.0);
    }

    /// A request's first token took `span`.
    pub fn first_token(&self, labels: &Labels, span: Duration) {
        self.first.record(span.as_secs_f64(), &labels.0);
    }

    /// A token came `span` after the one before it.
    pub fn between_tokens(&self, labels: &Labels, span: Duration) {
        self.between.record(span.as_secs_f64(), &labels.0);
    }

    /// A request ended.
    pub fn ended(&self, labels: &Labels, end: End) {
        let [workspace, class] = labels.0.clone();
        let code = KeyValue::new("code", end.code);
        let outcome = KeyValue::new("outcome", end.outcome);
        self.requests.add(1, &[workspace, class, code, outcome]);
    }

    /// A request was tried again.
    pub fn retried(&self, labels: &Labels) {
        self.retries.add(1, &labels.0);
    }

    /// Tokens were computed a second time.
    pub fn recomputed(&self, labels: &Labels, tokens: u64) {
        self.recomputed.add(tokens, &labels.0);
    }

    /// A piece of an endpoint's answer was dropped for `reason`, the name of an enumeration's value.
    pub fn dropped(&self, reason: &'static str) {
        self.dropped.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Count of endpoints in `state`, the name of an enumeration's value.
    pub fn endpoints(&self, state: &'static str, count: u64) {
        self.endpoints
            .record(count, &[KeyValue::new("state", state)]);
    }

    /// Count of entry instances that are members.
    pub fn members(&self, count: u64) {
        self.members.record(count, &[]);
    }

    /// Revision of the configuration in force.
    pub fn revision(&self, revision: u64) {
        self.revision.record(revision, &[]);
    }

    /// How long a newer configuration than the one in force has been known to exist.
    pub fn behind(&self, age: Duration) {
        let millis = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        self.behind.record(millis, &[]);
    }

    /// Count of slots that this instance owns.
    pub fn slots(&self, count: u64) {
        self.slots.record(count, &[]);
    }

    /// Count of requests that wait for an endpoint.
    pub fn queued(&self, count: u64) {
        self.queued.record(count, &[]);
    }

    /// A rule of the system was found broken.
    pub fn broken(&self, rule: &'static str) {
        self.broken.add(1, &[KeyValue::new("rule", rule)]);
    }

    /// A call of the key-value service ended with `result`, the name of an enumeration's value.
    pub fn store_call(&self, result: &'static str) {
        self.store.add(1, &[KeyValue::new("result", result)]);
    }

    /// Bytes went to or came from another entry instance.
    pub fn peer_bytes(&self, flow: Flow, bytes: u64) {
        let flow = match flow {
            Flow::In => "in",
            Flow::Out => "out",
        };
        self.peer.add(bytes, &[KeyValue::new("flow", flow)]);
    }

    /// An instrument of the same registry for a program's own counts.
    #[must_use]
    pub fn counter(&self, name: &'static str, about: &'static str) -> Counter<u64> {
        count(&self.provider.meter(SCOPE), name, about)
    }

    /// All metrics as text for a scrape.
    ///
    /// # Errors
    /// The metrics cannot be written, which is a bug.
    pub fn render(&self) -> Result<String, Error> {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .map_err(|error| Error::Encode(error.to_string()))
    }
}

fn full(name: &str) -> String {
    format!("{SCOPE}.{name}")
}

fn seconds(meter: &Meter, name: &str, about: &'static str, bounds: &[f64]) -> Histogram<f64> {
    meter
        .f64_histogram(full(name))
        .with_description(about)
        .with_unit("s")
        .with_boundaries(bounds.to_vec())
        .build()
}

fn count(meter: &Meter, name: &str, about: &'static str) -> Counter<u64> {
    meter
        .u64_counter(full(name))
        .with_description(about)
        .build()
}

fn level(meter: &Meter, name: &str, about: &'static str) -> Gauge<u64> {
    meter.u64_gauge(full(name)).with_description(about).build()
}
