//! The configuration in force: routes, services, workspaces and limits.

use std::sync::Arc;
use std::time::Duration;

use crate::id;
use crate::size::{Millis, Tokens};

/// What may be repeated of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    Once,
    /// A stream of events that an endpoint can continue behind a given event.
    Resumable,
    /// A stream of events that runs at most once.
    Stream,
}

impl Kind {
    /// Whether a request that may have run can be sent to another endpoint.
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

/// A service that a route may choose, with its part of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: id::Service,
    /// Its part, relative to the other targets.
    pub weight: u32,
}

/// Where requests of one host and path go, and how they are treated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a caller waits for its final answer.
    pub timeout: Millis,
    /// Time in which an answer is worth most.
    pub aim: Millis,
    /// Urgency, 0 first.
    pub rank: u8,
    /// Services to choose from.
    pub targets: Vec<Target>,
    /// Most endpoints that may run one request.
    pub attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
}

impl Route {
    /// The service for a request; `draw` decides among several by their weights.
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

/// What is known of the engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory: Tokens,
}

/// Price of one instance a second in a failure domain, on demand.
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
    /// Fewest in a failure domain.
    pub least: u32,
    /// Most in a failure domain, reclaimable ones included.
    pub most: u32,
    /// Time from an order until the endpoint serves.
    pub boot: Duration,
    /// Price of a reclaimable one as a part of the other's, where there are any.
    pub reclaimable: Option<f64>,
    /// Prices, sorted by failure domain.
    pub costs: Vec<Cost>,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: id::Service,
    /// Most connections that one of its endpoints takes from all callers.
    pub connections: u32,
    /// Set for model engines.
    pub engine: Option<Engine>,
    /// Set where its endpoints can be ordered.
    pub scaling: Option<Scaling>,
}

/// In what a rate is counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Unit {
    /// Requests.
    #[default]
    Requests,
    /// Tokens read and asked for.
    Tokens,
}

/// A workspace with its limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: id::Workspace,
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Urgency of all its requests; the route's if there is none.
    pub rank: Option<u8>,
    /// In what its rate is counted.
    pub unit: Unit,
    /// What a request without tokens counts as.
    pub plain: Tokens,
    /// Units a second over all entry instances; 0 means no limit.
    pub rate: f64,
    /// Units that may come at once.
    pub burst: f64,
}

/// What callers may send, and how slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub head: usize,
    /// Most bytes of a request's body.
    pub body: usize,
    /// Time for a whole head.
    pub head_wait: Duration,
    /// Time that a connection may be idle.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        // In force only until the first configuration is known.
        Self {
            head: 16 << 10,
            body: 4 << 20,
            head_wait: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}

/// A key and the place of its workspace.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    text: String,
    workspace: usize,
}

/// One version of the configuration, indexed for requests.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// Its version; only a higher one replaces it.
    pub version: u64,
    /// Limits on callers.
    pub limits: Limits,
    routes: Vec<Arc<Route>>,
    services: Vec<Service>,
    workspaces: Vec<Workspace>,
    keys: Vec<Key>,
}

impl Config {
    /// Indexes a configuration.
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
        for (place, workspace) in workspaces.iter_mut().enumerate() {
            for text in std::mem::take(&mut workspace.keys) {
                keys.push(Key {
                    text,
                    workspace: place,
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
            found.ok().map(|place| &self.routes[place])
        })
    }

    /// The workspace that holds a key.
    #[must_use]
    pub fn holder(&self, key: &str) -> Option<&Workspace> {
        let found = self
            .keys
            .binary_search_by(|have| have.text.as_str().cmp(key));
        found
            .ok()
            .map(|place| &self.workspaces[self.keys[place].workspace])
    }

    /// A service by name.
    #[must_use]
    pub fn service(&self, name: &id::Service) -> Option<&Service> {
        let found = self.services.binary_search_by(|have| have.name.cmp(name));
        found.ok().map(|place| &self.services[place])
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
