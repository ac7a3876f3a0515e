//! The configuration in force: routes, services, workspaces and limits.

use std::sync::Arc;
use std::time::Duration;

use crate::id;
use crate::size::{Millis, Tokens};

/// Whether a request may be retried, and whether its answer is a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    Once,
    /// A stream of events that an endpoint can resume after a given event.
    Resumable,
    /// A stream of events that runs at most once.
    Stream,
}

impl Kind {
    /// Whether a request that may already have run can be sent to another endpoint.
    #[must_use]
    pub fn repeats(self) -> bool {
        match self {
            Self::Idempotent | Self::Resumable => true,
            Self::Once | Self::Stream => false,
        }
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn streams(self) -> bool {
        match self {
            Self::Resumable | Self::Stream => true,
            Self::Idempotent | Self::Once => false,
        }
    }
}

/// A service that a route may choose, with its weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: id::Service,
    /// Share of the requests, relative to the other targets.
    pub weight: u32,
}

/// How the requests of one host and path prefix are routed and handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name in logs.
    pub name: String,
    /// Host in the request.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be retried.
    pub kind: Kind,
    /// Time limit of the final answer.
    pub timeout: Millis,
    /// Target latency: an answer within it has its full value.
    pub target_latency: Millis,
    /// Priority; 0 is the most urgent.
    pub rank: u8,
    /// Services to choose from.
    pub targets: Vec<Target>,
    /// Upper bound of the endpoints that may run one request.
    pub attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
}

impl Route {
    /// The service for a request. The random number `draw` selects among several by weight.
    #[must_use]
    pub fn target(&self, draw: u64) -> Option<&id::Service> {
        let all: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        if all == 0 {
            return self.targets.first().map(|target| &target.service);
        }
        let mut rest = draw % all;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if rest < weight {
                return Some(&target.service);
            }
            rest -= weight;
        }
        None
    }
}

/// Capacity of the engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests in a batch.
    pub slots: u32,
    /// Capacity of its memory.
    pub memory: Tokens,
}

/// Price per second of one on-demand instance in a failure domain.
#[derive(Debug, Clone, PartialEq)]
pub struct Cost {
    /// The failure domain.
    pub domain: id::Domain,
    /// Relative price.
    pub price: f64,
}

/// How many endpoints of a service may be ordered.
#[derive(Debug, Clone, PartialEq)]
pub struct Scaling {
    /// Smallest number in a failure domain.
    pub min_per_domain: u32,
    /// Largest number in a failure domain, reclaimable ones included.
    pub max_per_domain: u32,
    /// Time from an order until the endpoint serves.
    pub boot: Duration,
    /// Price of a reclaimable endpoint relative to an on-demand one; set if there are any.
    pub reclaimable: Option<f64>,
    /// Prices, sorted by failure domain.
    pub costs: Vec<Cost>,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: id::Service,
    /// Connections that one of its endpoints accepts in total.
    pub connections: u32,
    /// Set for model engines.
    pub engine: Option<Engine>,
    /// Set if its endpoints can be ordered.
    pub scaling: Option<Scaling>,
}

/// Unit of a rate limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Unit {
    /// Requests.
    #[default]
    Requests,
    /// Tokens of the prompt and of the requested answer.
    Tokens,
}

/// A workspace with its limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: id::Workspace,
    /// API keys of its callers.
    pub keys: Vec<String>,
    /// Priority of all its requests; the route's applies if it is not set.
    pub rank: Option<u8>,
    /// Unit of its rate.
    pub unit: Unit,
    /// Cost of a request without a token count.
    pub plain: Tokens,
    /// Units per second over all entry instances; 0 means unlimited.
    pub rate: f64,
    /// Units that may be granted at once.
    pub burst: f64,
}

/// Size and time limits on requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Upper bound of a request's head, in bytes.
    pub head: usize,
    /// Upper bound of a request's body, in bytes.
    pub body: usize,
    /// Time limit for a complete head.
    pub head_wait: Duration,
    /// Time limit of an idle connection.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        // These apply only until the first configuration is known.
        Self {
            head: 16 << 10,
            body: 4 << 20,
            head_wait: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}

/// An API key and the index of its workspace.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    text: String,
    workspace: usize,
}

/// One version of the configuration, indexed for lookups by requests.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// Version; only a higher one replaces it.
    pub version: u64,
    /// Limits on requests.
    pub limits: Limits,
    routes: Vec<Arc<Route>>,
    services: Vec<Service>,
    workspaces: Vec<Workspace>,
    keys: Vec<Key>,
}

impl Config {
    /// Builds the indexes of a configuration.
    #[must_use]
    pub fn new(
        version: u64,
        limits: Limits,
        mut routes: Vec<Route>,
        mut services: Vec<Service>,
        mut workspaces: Vec<Workspace>,
    ) -> Self {
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        services.sort_by(|a, b| a.name.cmp(&b.name));
        workspaces.sort_by(|a, b| a.name.cmp(&b.name));
        let mut keys: Vec<Key> = Vec::new();
        for (index, workspace) in workspaces.iter_mut().enumerate() {
            for text in std::mem::take(&mut workspace.keys) {
                keys.push(Key {
                    text,
                    workspace: index,
                });
            }
        }
        keys.sort();
        Self {
            version,
            limits,
            routes: routes.into_iter().map(Arc::new).collect(),
            services,
            workspaces,
            keys,
        }
    }

    /// The route with the longest prefix of `path` at `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let ends = path.bytes().enumerate().rev().filter(|(_, b)| *b == b'/');
        ends.map(|(end, _)| &path[..=end]).find_map(|prefix| {
            let found = self.routes.binary_search_by(|route| {
                (route.host.as_str(), route.prefix.as_str()).cmp(&(host, prefix))
            });
            found.ok().map(|index| &self.routes[index])
        })
    }

    /// All routes, sorted by host and prefix.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.iter().map(Arc::as_ref)
    }

    /// The shortest target latency among the routes to a service.
    #[must_use]
    pub fn shortest_target(&self, service: &id::Service) -> Option<Millis> {
        let has = |route: &&Route| route.targets.iter().any(|to| to.service == *service);
        let latencies = self.routes().filter(has).map(|route| route.target_latency);
        latencies.min()
    }

    /// The workspace that an API key belongs to.
    #[must_use]
    pub fn workspace_by_key(&self, key: &str) -> Option<&Workspace> {
        let found = self.keys.binary_search_by(|row| row.text.as_str().cmp(key));
        found
            .ok()
            .map(|index| &self.workspaces[self.keys[index].workspace])
    }

    /// A service by name.
    #[must_use]
    pub fn service(&self, name: &id::Service) -> Option<&Service> {
        let found = self
            .services
            .binary_search_by(|service| service.name.cmp(name));
        found.ok().map(|index| &self.services[index])
    }

    /// All services, sorted by name.
    #[must_use]
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// All workspaces, sorted by name.
    #[must_use]
    pub fn workspaces(&self) -> &[Workspace] {
        &self.workspaces
    }
}
