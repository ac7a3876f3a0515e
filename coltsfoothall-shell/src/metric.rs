//! Metrics of an entry instance, exposed for scraping over HTTP.
//!
//! Label cardinality is bounded: workspaces by [`WORKSPACES`], all others by enumerations.

use std::fmt;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use coltsfoothall::id::{Service, Workspace};
use coltsfoothall::record::Class;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use quick_error::quick_error;

/// Maximum number of workspaces with their own label; bounds the number of time series.
pub const WORKSPACES: usize = 64;
/// Shared label of all workspaces beyond [`WORKSPACES`].
pub const OTHER: &str = "other";

/// Scope of the instruments, and the prefix of their names.
const SCOPE: &str = "coltsfoothall";

/// Bucket bounds in seconds for the time to the complete answer.
const LATENCY_BOUNDS_SECONDS: &[f64] = &[
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0,
];
/// Bucket bounds in seconds for the time to the first token, finer around 0.51 s.
const FIRST_TOKEN_BOUNDS_SECONDS: &[f64] = &[
    0.05, 0.1, 0.2, 0.3, 0.4, 0.45, 0.51, 0.57, 0.65, 0.8, 1.0, 1.5, 2.5, 5.0, 10.0, 30.0,
];
/// Bucket bounds in seconds for the time between tokens, finer around 33 ms.
const BETWEEN_TOKENS_BOUNDS_SECONDS: &[f64] = &[
    0.005, 0.01, 0.015, 0.02, 0.025, 0.029, 0.033, 0.037, 0.042, 0.05, 0.075, 0.1, 0.25, 0.5, 1.0,
    5.0,
];
/// Bucket bounds in seconds for the retry times of refused requests.
const RETRY_AFTER_BOUNDS_SECONDS: &[f64] = &[0.15, 0.3, 0.5, 1.0, 2.0, 3.0, 5.0, 7.5, 10.0];

quick_error! {
    /// The metrics could not be set up or rendered.
    #[derive(Debug)]
    pub enum Error {
        /// The exporter cannot be started.
        Exporter(message: String) {
            display("metrics: cannot start the exporter: {message}")
        }
        /// The metrics cannot be encoded as text.
        Encode(message: String) {
            display("metrics: cannot encode them as text: {message}")
        }
    }
}

/// Labels of a request, created once per request.
#[derive(Debug, Clone)]
pub struct Labels([KeyValue; 2]);

/// How a request ended, for the request counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct End {
    /// Stable code of the error, or `ok`.
    pub code: &'static str,
    /// `done`, `not_run` or `unknown`.
    pub outcome: &'static str,
}

/// Direction of traffic between entry instances.
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
    retry_decisions: Counter<u64>,
    retry_balance: Gauge<f64>,
    retry_sharers: Gauge<u64>,
    offered_load: Gauge<f64>,
    recomputed: Counter<u64>,
    dropped: Counter<u64>,
    endpoints: Gauge<u64>,
    departures: Counter<u64>,
    backoffs: Counter<u64>,
    usage_given_up: Counter<u64>,
    sends_avoided: Counter<u64>,
    refused_in_backoff: Counter<u64>,
    bodies: Gauge<u64>,
    bodies_reading: Gauge<u64>,
    bodies_refused: Counter<u64>,
    connections: Gauge<u64>,
    connections_turned_away: Counter<u64>,
    retry_after: Histogram<f64>,
    lost_services: Gauge<u64>,
    handed_over: Counter<u64>,
    resumed: Counter<u64>,
    endpoints_lost: Counter<u64>,
    parts_refused: Counter<u64>,
    parts_condemned: Gauge<u64>,
    services_unsettled: Gauge<u64>,
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
    /// Creates the instruments.
    ///
    /// # Errors
    /// The exporter cannot be started.
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
                LATENCY_BOUNDS_SECONDS,
            ),
            first: seconds(
                &meter,
                "request.first_token",
                "Time to the first token",
                FIRST_TOKEN_BOUNDS_SECONDS,
            ),
            between: seconds(
                &meter,
                "request.between_tokens",
                "Time between tokens",
                BETWEEN_TOKENS_BOUNDS_SECONDS,
            ),
            requests: count(&meter, "requests", "Requests ended, by code and outcome"),
            retries: count(&meter, "retries", "Attempts after a request's first"),
            retry_decisions: count(
                &meter,
                "retry_decisions",
                "Retries that the budget allowed or refused, by service",
            ),
            retry_balance: meter
                .f64_gauge(qualified_name("retry_balance"))
                .with_description("Retries left in the budget, by service")
                .build(),
            retry_sharers: level(
                &meter,
                "retry_sharers",
                "Instances that share the retry budgets",
            ),
            offered_load: meter
                .f64_gauge(qualified_name("offered_load"))
                .with_description(
                    "Endpoints that the requests of all callers keep busy, by service; refused \
                     requests count where the settings name offered_load",
                )
                .build(),
            recomputed: count(&meter, "recomputed_tokens", "Tokens computed a second time"),
            dropped: count(
                &meter,
                "dropped_pieces",
                "Pieces of answers dropped, by reason",
            ),
            endpoints: level(&meter, "endpoints", "Endpoints, by state"),
            departures: count(
                &meter,
                "endpoint_departures",
                "Endpoints that are leaving, by who said so first",
            ),
            usage_given_up: count(
                &meter,
                "usage_windows_given_up",
                "Windows whose usage was not reported, as an earlier report may be lost.",
            ),
            backoffs: count(
                &meter,
                "endpoint_backoffs",
                "Periods in which an endpoint wants no requests from this instance",
            ),
            sends_avoided: count(
                &meter,
                "sends_avoided",
                "Requests that were not sent to an endpoint, by what it had said",
            ),
            refused_in_backoff: count(
                &meter,
                "refused_in_backoff",
                "Requests refused as no endpoint wants any from this instance",
            ),
            bodies: level(
                &meter,
                "request_bodies_bytes",
                "Memory that the bodies of requests take",
            ),
            bodies_reading: level(
                &meter,
                "request_bodies_reading",
                "Bodies of requests that are being read",
            ),
            bodies_refused: count(
                &meter,
                "request_bodies_refused",
                "Requests refused before their body was read, by reason",
            ),
            connections: level(&meter, "connections", "Open connections, by listener"),
            connections_turned_away: count(
                &meter,
                "connections_turned_away",
                "Connections closed for others, or refused, by listener",
            ),
            retry_after: seconds(
                &meter,
                "refused.retry_after",
                "Retry times given to requests refused for lack of capacity, by reason",
                RETRY_AFTER_BOUNDS_SECONDS,
            ),
            handed_over: count(
                &meter,
                "handed_over",
                "Requests handed to other instances, by result",
            ),
            resumed: count(
                &meter,
                "streams_resumed",
                "Streams resumed, by who resumed them and the version that goes on",
            ),
            endpoints_lost: count(
                &meter,
                "endpoints_lost",
                "Endpoints that crashed while prompts with parts ran there, by the cause as far as known",
            ),
            parts_refused: count(
                &meter,
                "parts_refused",
                "Requests that were not sent, as a part of their prompt crashes endpoints",
            ),
            parts_condemned: level(
                &meter,
                "parts_condemned",
                "Parts of prompts that are held to crash endpoints",
            ),
            services_unsettled: level(
                &meter,
                "services_unsettled",
                "Services with resumable streams whose ids do not all tell the version",
            ),
            lost_services: level(
                &meter,
                "lost_services",
                "Services of which this instance reaches no endpoint",
            ),
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

    /// Returns the labels of a request; workspaces beyond [`WORKSPACES`] share one label.
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

    /// Whether the workspace has its own label; assigns one if fewer than [`WORKSPACES`] do.
    fn admit(&self, workspace: &Workspace) -> bool {
        let mut known = self
            .workspaces
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match known.binary_search(workspace) {
            Ok(_found) => true,
            Err(_full) if known.len() >= WORKSPACES => false,
            Err(index) => {
                known.insert(index, workspace.clone());
                true
            }
        }
    }

    /// Records the time from a request to its complete answer.
    pub fn latency(&self, labels: &Labels, span: Duration) {
        self.latency.record(span.as_secs_f64(), &labels.0);
    }

    /// Records the time from a request to its first token.
    pub fn first_token(&self, labels: &Labels, span: Duration) {
        self.first.record(span.as_secs_f64(), &labels.0);
    }

    /// Records the time between two successive tokens.
    pub fn between_tokens(&self, labels: &Labels, span: Duration) {
        self.between.record(span.as_secs_f64(), &labels.0);
    }

    /// Counts a request that ended.
    pub fn ended(&self, labels: &Labels, end: End) {
        let [workspace, class] = labels.0.clone();
        let code = KeyValue::new("code", end.code);
        let outcome = KeyValue::new("outcome", end.outcome);
        self.requests.add(1, &[workspace, class, code, outcome]);
    }

    /// Counts a retry.
    pub fn retried(&self, labels: &Labels) {
        self.retries.add(1, &labels.0);
    }

    /// Counts a decision of a service's retry budget. The configuration bounds the number of
    /// services.
    pub fn retry_decided(&self, service: &Service, allowed: bool) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        let result = KeyValue::new("result", if allowed { "allowed" } else { "refused" });
        self.retry_decisions.add(1, &[service, result]);
    }

    /// Sets the retries that are left in a service's budget.
    pub fn retry_balance(&self, service: &Service, balance: f64) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.retry_balance.record(balance, &[service]);
    }

    /// Sets the number of endpoints that the requests of all callers of a service keep busy.
    pub fn offered_load(&self, service: &Service, load: f64) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.offered_load.record(load, &[service]);
    }

    /// Sets the number of instances that share the retry budgets.
    pub fn retry_sharers(&self, count: u64) {
        self.retry_sharers.record(count, &[]);
    }

    /// Counts tokens that were computed a second time.
    pub fn recomputed(&self, labels: &Labels, tokens: u64) {
        self.recomputed.add(tokens, &labels.0);
    }

    /// Counts a dropped piece of an endpoint's answer; `reason` is the name of an enum variant.
    pub fn dropped(&self, reason: &'static str) {
        self.dropped.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Sets the number of endpoints in `state`, the name of an enum variant.
    pub fn endpoints(&self, state: &'static str, count: u64) {
        self.endpoints
            .record(count, &[KeyValue::new("state", state)]);
    }

    /// Counts an endpoint that is leaving; `source` is `registration`, `answer` or `peer`.
    pub fn endpoint_departed(&self, source: &'static str) {
        self.departures.add(1, &[KeyValue::new("source", source)]);
    }

    /// Counts a period in which an endpoint wants no requests.
    pub fn endpoint_backed_off(&self) {
        self.backoffs.add(1, &[]);
    }

    /// Counts a window whose usage is not reported, as an earlier report of it may be lost.
    pub fn usage_given_up(&self) {
        self.usage_given_up.add(1, &[]);
    }

    /// Counts requests that were not sent to an endpoint, as it is `leaving`, or in a `backoff`.
    pub fn sends_avoided(&self, cause: &'static str, count: u64) {
        self.sends_avoided
            .add(count, &[KeyValue::new("cause", cause)]);
    }

    /// Sets the memory that the bodies of requests take, and how many are being read.
    pub fn bodies(&self, bytes: u64, reading: u64) {
        self.bodies.record(bytes, &[]);
        self.bodies_reading.record(reading, &[]);
    }

    /// Counts a request that is refused before its body was read; `reason` is the one that its
    /// caller is told.
    pub fn body_refused(&self, reason: &'static str) {
        self.bodies_refused
            .add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Sets the number of open connections of a listener.
    pub fn connections(&self, listener: &'static str, count: u64) {
        self.connections
            .record(count, &[KeyValue::new("listener", listener)]);
    }

    /// Counts connections that a listener closed for others, or refused.
    pub fn connections_turned_away(&self, listener: &'static str, count: u64) {
        self.connections_turned_away
            .add(count, &[KeyValue::new("listener", listener)]);
    }

    /// Counts a request that is refused as no endpoint wants any from this instance.
    pub fn refused_in_backoff(&self) {
        self.refused_in_backoff.add(1, &[]);
    }

    /// Records the retry time of a request that is refused for lack of capacity; `reason` is the
    /// one that its caller is told.
    pub fn refused_for_capacity(&self, reason: &'static str, retry_after: Duration) {
        let labels = [KeyValue::new("reason", reason)];
        self.retry_after.record(retry_after.as_secs_f64(), &labels);
    }

    /// Counts a request that was handed to another instance.
    pub fn handed_over(&self, result: &'static str) {
        self.handed_over.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a stream that is resumed by its `caller` or by the `instance`. `version` is `same` as
    /// that of its first event, `other`, or `unknown`.
    pub fn stream_resumed(&self, by: &'static str, version: &'static str) {
        let labels = [KeyValue::new("by", by), KeyValue::new("version", version)];
        self.resumed.add(1, &labels);
    }

    /// Counts an endpoint that crashed while prompts with parts ran there; `cause` is `condemned` if one of
    /// them has a part that is condemned, else `suspected` or `unknown`.
    pub fn endpoint_lost(&self, cause: &'static str) {
        self.endpoints_lost.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a request that is not sent, as a part of its prompt is condemned.
    pub fn part_refused(&self) {
        self.parts_refused.add(1, &[]);
    }

    /// Sets the number of parts of prompts that are condemned.
    pub fn parts_condemned(&self, count: u64) {
        self.parts_condemned.record(count, &[]);
    }

    /// Sets the number of services with resumable streams for which the id of a request does not
    /// always tell the version that began its stream.
    pub fn services_unsettled(&self, count: u64) {
        self.services_unsettled.record(count, &[]);
    }

    /// Sets the number of services of which this instance reaches no endpoint.
    pub fn lost_services(&self, count: u64) {
        self.lost_services.record(count, &[]);
    }

    /// Sets the number of entry instances that are members.
    pub fn members(&self, count: u64) {
        self.members.record(count, &[]);
    }

    /// Sets the revision of the configuration in force.
    pub fn revision(&self, revision: u64) {
        self.revision.record(revision, &[]);
    }

    /// Sets the time since a newer configuration than the one in force is known to exist.
    pub fn behind(&self, age: Duration) {
        let millis = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        self.behind.record(millis, &[]);
    }

    /// Sets the number of slots that this instance owns.
    pub fn slots(&self, count: u64) {
        self.slots.record(count, &[]);
    }

    /// Sets the number of requests queued for an endpoint.
    pub fn queued(&self, count: u64) {
        self.queued.record(count, &[]);
    }

    /// Counts a violated invariant.
    pub fn broken(&self, rule: &'static str) {
        self.broken.add(1, &[KeyValue::new("rule", rule)]);
    }

    /// Counts a call to the key-value service; `result` is the name of an enum variant.
    pub fn store_call(&self, result: &'static str) {
        self.store.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts bytes sent to or received from other entry instances.
    pub fn peer_bytes(&self, flow: Flow, bytes: u64) {
        let flow = match flow {
            Flow::In => "in",
            Flow::Out => "out",
        };
        self.peer.add(bytes, &[KeyValue::new("flow", flow)]);
    }

    /// Creates a program-specific counter in the same registry.
    #[must_use]
    pub fn counter(&self, name: &'static str, about: &'static str) -> Counter<u64> {
        count(&self.provider.meter(SCOPE), name, about)
    }

    /// Renders all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// The metrics cannot be encoded, which is a bug.
    pub fn render(&self) -> Result<String, Error> {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .map_err(|error| Error::Encode(error.to_string()))
    }
}

fn qualified_name(name: &str) -> String {
    format!("{SCOPE}.{name}")
}

fn seconds(meter: &Meter, name: &str, about: &'static str, bounds: &[f64]) -> Histogram<f64> {
    meter
        .f64_histogram(qualified_name(name))
        .with_description(about)
        .with_unit("s")
        .with_boundaries(bounds.to_vec())
        .build()
}

fn count(meter: &Meter, name: &str, about: &'static str) -> Counter<u64> {
    meter
        .u64_counter(qualified_name(name))
        .with_description(about)
        .build()
}

fn level(meter: &Meter, name: &str, about: &'static str) -> Gauge<u64> {
    meter
        .u64_gauge(qualified_name(name))
        .with_description(about)
        .build()
}
