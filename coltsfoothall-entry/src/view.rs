//! A snapshot of the control state for request handling. It is published as a whole.

use std::sync::Arc;

use coltsfoothall::catalog::{Catalog, Kind, Service};
use coltsfoothall::slot::Table;
use coltsfoothall::{id, key};
use coltsfoothall_wire::caller::Addresses;
use coltsfoothall_wire::cloud::Machine;

use crate::busy::Busy;

/// A bearer token and its workspace.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token {
    /// The token.
    pub token: String,
    /// The workspace.
    pub workspace: id::Workspace,
}

/// Another live entry instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The instance's name.
    pub instance: id::Instance,
    /// The instance's failure domain.
    pub domain: id::Domain,
    /// The instance's address for other entry instances.
    pub address: String,
}

/// The location of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// Whether it is a model engine.
    pub engine: bool,
    /// IP address and port.
    pub address: String,
}

/// A snapshot of the control state.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The configuration in force.
    pub catalog: Arc<Catalog>,
    /// Bearer tokens, sorted.
    pub tokens: Vec<Token>,
    /// The locations of all endpoints, sorted by name.
    pub locations: Vec<Location>,
    /// Addresses for callers.
    pub addresses: Option<Addresses>,
    /// The slot table, which names the owners of all slots.
    pub table: Arc<Table>,
    /// The other live entry instances, sorted by name.
    pub peers: Vec<Peer>,
    /// Whether this instance is leaving.
    pub leaving: bool,
    /// Whether this instance watches the key-value service for its failure domain.
    pub watches: bool,
    /// The instance list as last read, sorted by name. The same `Arc` is kept until the list is
    /// read again.
    pub machines: Arc<Vec<Machine>>,
    /// Instances that received a reclaim notice, sorted.
    pub noticed: Vec<id::Instance>,
    /// The number of requests on this instance by service, sorted by service.
    pub busy: Vec<Busy>,
}

impl View {
    /// The workspace of a bearer token.
    #[must_use]
    pub fn workspace(&self, token: &str) -> Option<&id::Workspace> {
        let index = self
            .tokens
            .binary_search_by(|known| known.token.as_str().cmp(token))
            .ok()?;
        Some(&self.tokens[index].workspace)
    }

    /// The service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let services = &self.catalog.services;
        let index = services
            .binary_search_by(|service| service.name.as_str().cmp(name))
            .ok()?;
        Some(&services[index])
    }

    /// The service that runs a model or an adapter, the model, and the adapter.
    #[must_use]
    pub fn runner(&self, name: &str) -> Option<Runner<'_>> {
        self.catalog
            .services
            .iter()
            .find_map(|service| match &service.kind {
                Kind::Model { model, adapters } => {
                    let adapter = adapters.iter().find(|adapter| adapter.as_str() == name);
                    let found = model.as_str() == name || adapter.is_some();
                    found.then_some(Runner {
                        service,
                        model,
                        adapter,
                    })
                }
                Kind::Plain { .. } => None,
            })
    }

    /// Another entry instance by name.
    #[must_use]
    pub fn peer(&self, instance: &id::Instance) -> Option<&Peer> {
        let index = self
            .peers
            .binary_search_by(|peer| peer.instance.cmp(instance))
            .ok()?;
        Some(&self.peers[index])
    }

    /// The location of an endpoint.
    #[must_use]
    pub fn location(&self, endpoint: &id::Endpoint) -> Option<&Location> {
        let index = self
            .locations
            .binary_search_by(|location| location.endpoint.cmp(endpoint))
            .ok()?;
        Some(&self.locations[index])
    }

    /// The slot of a key.
    #[must_use]
    pub fn slot(&self, key: &key::Key) -> key::Slot {
        key.slot(self.table.count())
    }
}

/// The service that runs a model or an adapter.
#[derive(Debug, Clone, Copy)]
pub struct Runner<'a> {
    /// The service.
    pub service: &'a Service,
    /// The model.
    pub model: &'a id::Model,
    /// The adapter, if one was named.
    pub adapter: Option<&'a id::Adapter>,
}
