//! Fetches from peers what they have in a newer version, for the control thread.

use std::sync::Arc;

use coltsfoothall::adoption::Source;
use coltsfoothall::id;
use coltsfoothall::size::Millis;

use crate::link;
use crate::message::Message;
use crate::node::Node;

/// Fetches a peer's configuration and sends it to the control thread.
pub fn config(node: Arc<Node>, from: id::Instance) {
    tokio::spawn(async move {
        let Ok(client) = node.links.client(&from).await else {
            return;
        };
        if let Ok(Some(config)) = client.config(link::context(link::CALL_TIMEOUT)).await {
            let age = config.age.map(Millis::duration);
            let source = Source::Peer { id: from, age };
            node.control
                .send(Message::Catalog(source, Arc::new(config.catalog)));
        }
    });
}

/// Fetches a peer's slot table and sends it to the control thread.
pub fn slot_table(node: Arc<Node>, from: id::Instance) {
    tokio::spawn(async move {
        let Ok(client) = node.links.client(&from).await else {
            return;
        };
        if let Ok(table) = client.table(link::context(link::CALL_TIMEOUT)).await {
            node.control.send(Message::Table(Arc::new(table)));
        }
    });
}
