//! The configuration at the key-value service: read and watched.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use coltsfoothall::adoption::Source;
use coltsfoothall::catalog::{Catalog, Revision};
use coltsfoothall_shell::event;
use coltsfoothall_wire::http;
use coltsfoothall_wire::store::{Entry, Put};

use crate::message::{Held, Message};
use crate::node::Node;
use crate::store::Error;

/// Key of the configuration.
pub const KEY: &str = "catalog";

/// Longest wait of one watch; it bounds how late a change is seen when the service
/// or the connection to it is lost without a word.
const WATCH: Duration = Duration::from_secs(5);

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
    node.control
        .send(Message::Catalog(Source::Store, found.catalog));
}

/// Keeps reading the configuration while this instance is one that watches.
pub async fn run(node: Arc<Node>) {
    let mut seen = None;
    loop {
        if !node.view().watches && seen.is_some() {
            sleep(PAUSE).await;
            continue;
        }
        match turn(&node, seen.as_ref()).await {
            Ok(next) => seen = next,
            Err(error) => {
                event::STORE_FAILED.emit(format_args!("step=catalog error=\"{error}\""));
                sleep(PAUSE).await;
            }
        }
    }
}

/// What the service showed last.
#[derive(Debug, Clone)]
struct Seen {
    /// Revision of the whole service up to which changes are known.
    revision: u64,
    /// The configuration there, if there is one.
    found: Option<Found>,
}

/// Reads the configuration, or waits for its next change. None if the service has
/// gone back behind what it showed before, so that it has to be read anew.
async fn turn(node: &Node, seen: Option<&Seen>) -> Result<Option<Seen>, Error> {
    let next = match seen {
        None => first(node).await?,
        Some(seen) => change(node, seen).await?,
    };
    if let Some(next) = &next {
        take(node, next.found.as_ref()).await;
    }
    Ok(next)
}

async fn first(node: &Node) -> Result<Option<Seen>, Error> {
    let entry = node.store.get(KEY).await?;
    let revision = entry.as_ref().map_or(0, |entry| entry.revision);
    let found = entry.as_ref().map(parse).transpose()?;
    Ok(Some(Seen { revision, found }))
}

async fn change(node: &Node, seen: &Seen) -> Result<Option<Seen>, Error> {
    let list = node.store.watch(KEY, seen.revision, WATCH).await?;
    if list.revision < seen.revision {
        // It restarted without its state: no change would ever pass the old number.
        return Ok(None);
    }
    // The watch takes a prefix; only the key itself counts.
    let entry = list.entries.iter().find(|entry| entry.key == KEY);
    let newest = list.entries.iter().map(|entry| entry.revision).max();
    let revision = newest.map_or(seen.revision, |newest| newest.max(seen.revision));
    let found = match entry {
        None => seen.found.clone(),
        Some(removed) if removed.version == 0 => None,
        Some(entry) => Some(parse(entry)?),
    };
    Ok(Some(Seen { revision, found }))
}

/// Offers what the service shows; if that is older than what is in force here, the
/// service has lost an accepted write and gets it back.
///
/// The swap names the version that was read, so that it can never undo a newer
/// write, and a late read only makes it fail.
async fn take(node: &Node, found: Option<&Found>) {
    if let Some(found) = found {
        offer(node, found.clone()).await;
    }
    let ask = |reply| Message::Held {
        base: Revision::default(),
        reply,
    };
    let Some(Held { held, .. }) = node.control.ask(ask).await else {
        return;
    };
    let shown = found.map_or(Revision::default(), |found| found.catalog.revision);
    if shown >= held.revision {
        return;
    }
    let value = serde_json::to_string(held.as_ref()).expect("a catalog has no map keys");
    let version = found.map_or(0, |found| found.version);
    let put = Put {
        value,
        version: Some(version),
        lease: None,
    };
    match node.store.put(KEY, put).await {
        Ok(_entry) => event::RESTORED.emit(format_args!("from={shown} to={}", held.revision)),
        // Another instance was faster, or the read was late; the next watch shows it.
        Err(Error::Conflict(_)) => {}
        Err(error) => event::STORE_FAILED.emit(format_args!("step=restore error=\"{error}\"")),
    }
}

fn parse(entry: &Entry) -> Result<Found, Error> {
    let catalog = http::parse::<Catalog>(entry.value.as_bytes());
    let catalog = catalog.map_err(|error| Error::Unknown(format!("catalog: {error}")))?;
    Ok(Found {
        version: entry.version,
        catalog: Arc::new(catalog),
    })
}
