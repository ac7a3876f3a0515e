//! What traffic sees of the control state: a snapshot that is published whole.

use std::sync::Arc;

use coltsfoothall::catalog::{Catalog, Kind, Service};
use coltsfoothall::slot::Table;
use coltsfoothall::{id, key};
use coltsfoothall_wire::caller::Addresses;
use coltsfoothall_wire::cloud::Machine;

use crate::busy::Busy;

/// A bearer token and the workspace that holds it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token {
    /// The token.
    pub token: String,
    /// The workspace.
    pub workspace: id::Workspace,
}

/// Another entry instance that can be reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub instance: id::Instance,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Its address for entry instances.
    pub address: String,
}

/// Where an endpoint listens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// Whether it is a model engine.
    pub engine: bool,
    /// IP number and port.
    pub address: String,
}

/// A snapshot of the control state.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The configuration in force.
    pub catalog: Arc<Catalog>,
    /// Bearer tokens, sorted.
    pub tokens: Vec<Token>,
    /// Where endpoints listen, sorted by name.
    pub locations: Vec<Location>,
    /// Addresses for callers.
    pub addresses: Option<Addresses>,
    /// Who owns which slot.
    pub table: Arc<Table>,
    /// Other entry instances, sorted by name.
    pub peers: Vec<Peer>,
    /// Whether this instance is leaving.
    pub leaving: bool,
    /// Whether this instance watches the key-value service for its failure domain.
    pub watches: bool,
    /// The instance list as it was last read, sorted by name; the same `Arc` until it is read again.
    pub machines: Arc<Vec<Machine>>,
    /// Instances that were given notice, sorted.
    pub noticed: Vec<id::Instance>,
    /// Requests on this instance, sorted by service.
    pub busy: Vec<Busy>,
}

impl View {
    /// The workspace that a bearer token belongs to.
    #[must_use]
    pub fn workspace(&self, token: &str) -> Option<&id::Workspace> {
        let at = self
            .tokens
            .binary_search_by(|held| held.token.as_str().cmp(token))
            .ok()?;
        Some(&self.tokens[at].workspace)
    }

    /// The service of that name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let services = &self.catalog.services;
        let at = services
            .binary_search_by(|held| held.name.as_str().cmp(name))
            .ok()?;
        Some(&services[at])
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
        let at = self
            .peers
            .binary_search_by(|peer| peer.instance.cmp(instance))
            .ok()?;
        Some(&self.peers[at])
    }

    /// Where an endpoint listens.
    #[must_use]
    pub fn location(&self, endpoint: &id::Endpoint) -> Option<&Location> {
        let at = self
            .locations
            .binary_search_by(|location| location.endpoint.cmp(endpoint))
            .ok()?;
        Some(&self.locations[at])
    }

    /// A key's slot.
    #[must_use]
    pub fn slot(&self, key: &key::Key) -> key::Slot {
        key.slot(self.table.count())
    }
}

/// What serves a model or an adapter.
#[derive(Debug, Clone, Copy)]
pub struct Runner<'a> {
    /// The service.
    pub service: &'a Service,
    /// The model.
    pub model: &'a id::Model,
    /// The adapter, if one was named.
    pub adapter: Option<&'a id::Adapter>,
}
