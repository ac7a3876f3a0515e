//! What the control thread tells of itself: the snapshot for traffic, and the
//! status for operators.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use coltsfoothall::adoption::in_force;
use coltsfoothall::catalog::{Catalog, Revision};
use coltsfoothall::id;
use coltsfoothall::size::Millis;
use coltsfoothall_wire::caller::Addresses;
use coltsfoothall_wire::cloud::Machine;
use coltsfoothall_wire::operator::{Endpoint, Status};

use crate::control::Control;
use crate::view::{Token, View};

impl Control {
    /// Publishes what traffic reads.
    pub fn publish(&self) {
        let catalog = self.config.current().cloned().unwrap_or_default();
        let tokens = tokens(&catalog);
        let places = self.census.places(&catalog);
        let view = View {
            catalog,
            tokens,
            places,
            addresses: self.addresses(),
            table: Arc::clone(self.slots.table()),
            peers: self.members.peers(),
            leaving: self.leaving,
            watches: self.members.watches(),
            machines: Arc::clone(self.census.machines()),
            noticed: self.census.noticed(),
            busy: self.dispatch.busy(self.census.machines()),
        };
        self.views.send_replace(Arc::new(view));
    }

    /// Addresses for callers; none before there is a configuration.
    fn addresses(&self) -> Option<Addresses> {
        self.config.current()?;
        Some(self.members.addresses(self.node.now()))
    }

    /// What this instance knows, for operators.
    pub fn status(&self) -> Status {
        let settings = &self.node.settings;
        let now = self.node.now();
        let revision = self.config.revision();
        let members = self.members.status(now, revision);
        let held: Vec<Revision> = members.iter().map(|member| member.revision).collect();
        let broken = self.node.broken.load(Ordering::Relaxed);
        Status {
            instance: settings.instance.clone(),
            revision,
            age_ms: self.config.age(now).map(Millis::from),
            in_force: u32::try_from(in_force(revision, &held)).unwrap_or(u32::MAX),
            members,
            endpoints: self
                .census
                .endpoints()
                .filter_map(|m| self.endpoint_status(m))
                .collect(),
            open: u32::try_from(self.node.desk.count()).unwrap_or(u32::MAX),
            broken,
        }
    }

    fn endpoint_status(&self, machine: &Machine) -> Option<Endpoint> {
        let id: id::Endpoint = machine.id.as_str().parse().ok()?;
        let open = u32::try_from(self.dispatch.open_at(&id)).unwrap_or(u32::MAX);
        Some(Endpoint {
            id,
            service: machine.service.clone(),
            domain: machine.domain.clone(),
            state: self.census.state(machine).into(),
            open,
        })
    }
}

fn tokens(catalog: &Catalog) -> Vec<Token> {
    let mut tokens: Vec<Token> = Vec::new();
    for workspace in &catalog.workspaces {
        for token in &workspace.tokens {
            tokens.push(Token {
                token: token.clone(),
                workspace: workspace.name.clone(),
            });
        }
    }
    tokens.sort();
    tokens
}
