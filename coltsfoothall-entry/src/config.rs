//! The configuration at the key-value service: read and watched.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use coltsfoothall::adoption::Source;
use coltsfoothall::catalog::Catalog;
use coltsfoothall_shell::event;
use coltsfoothall_wire::http;
use coltsfoothall_wire::store::Entry;

use crate::control::Message;
use crate::node::Node;
use crate::store::Error;

/// Key of the configuration.
pub const KEY: &str = "catalog";

/// Longest wait of one watch.
const WATCH: Duration = Duration::from_secs(20);

/// Wait after a failed call; it keeps an outage from becoming a storm of calls.
const PAUSE: Duration = Duration::from_millis(1000);

/// A configuration as it was found.
#[derive(Debug, Clone)]
pub struct Found {
    /// Version of the key.
    pub version: u64,
    /// The value.
    pub catalog: Arc<Catalog>,
}

/// Reads the configuration.
///
/// # Errors
/// The service does not answer, or its value cannot be read.
pub async fn read(node: &Node) -> Result<Option<Found>, Error> {
    match node.store.get(KEY).await? {
        Some(entry) => parse(&entry).map(Some),
        None => Ok(None),
    }
}

/// Offers a configuration that came from the service.
pub async fn offer(node: &Node, found: Found) {
    node.control.send(Message::Catalog(Source::Store, found.catalog));
}

/// Keeps reading the configuration while this instance is one that watches.
pub async fn run(node: Arc<Node>) {
    let mut after = None;
    loop {
        if !node.view().watches && after.is_some() {
            sleep(PAUSE).await;
            continue;
        }
        match turn(&node, after).await {
            Ok(revision) => after = Some(revision),
            Err(error) => {
                event::STORE_FAILED.emit(format_args!("step=catalog error=\"{error}\""));
                sleep(PAUSE).await;
            }
        }
    }
}

async fn turn(node: &Node, after: Option<u64>) -> Result<u64, Error> {
    let Some(after) = after else {
        if let Some(entry) = node.store.get(KEY).await? {
            let revision = entry.revision;
            offer(node, parse(&entry)?).await;
            return Ok(revision);
        }
        return Ok(0);
    };
    let list = node.store.watch(KEY, after, WATCH).await?;
    let mut newest = after;
    for entry in &list.entries {
        newest = newest.max(entry.revision);
        if entry.version > 0 {
            offer(node, parse(entry)?).await;
        }
    }
    Ok(newest)
}

fn parse(entry: &Entry) -> Result<Found, Error> {
    let catalog = http::parse::<Catalog>(entry.value.as_bytes());
    let catalog = catalog.map_err(|error| Error::Unknown(format!("catalog: {error}")))?;
    Ok(Found { version: entry.version, catalog: Arc::new(catalog) })
}
