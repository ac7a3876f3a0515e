//! Reads and watches the configuration at the key-value service.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use coltsfoothall::adoption::Source;
use coltsfoothall::catalog::{Catalog, Revision};
use coltsfoothall_shell::event;
use coltsfoothall_wire::http;
use coltsfoothall_wire::store::{Entry, Put};

use crate::message::{Configs, Message};
use crate::node::Node;
use crate::store::Error;

/// Key of the configuration.
pub const KEY: &str = "catalog";

/// Maximum wait of one watch call. It bounds how late a change is seen when the service or
/// the connection to it is lost silently.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a failed call. It keeps an outage from causing a storm of calls.
const RETRY_DELAY: Duration = Duration::from_millis(1000);

/// A configuration as stored at the service.
#[derive(Debug, Clone)]
pub struct Stored {
    /// The version of the key.
    pub version: u64,
    /// The configuration.
    pub catalog: Arc<Catalog>,
}

/// Reads the configuration.
///
/// # Errors
/// The service does not answer, or its value cannot be read.
pub async fn read(node: &Node) -> Result<Option<Stored>, Error> {
    match node.store.get(KEY).await? {
        Some(entry) => parse(&entry).map(Some),
        None => Ok(None),
    }
}

/// Offers a configuration that was read from the service to the control thread.
pub async fn offer(node: &Node, stored: Stored) {
    node.control
        .send(Message::Catalog(Source::Store, stored.catalog));
}

/// Reads the configuration once, then watches it while this instance is the one of its
/// failure domain that watches the service.
pub async fn run(node: Arc<Node>) {
    let mut observed = None;
    loop {
        if !node.view().watches && observed.is_some() {
            sleep(RETRY_DELAY).await;
            continue;
        }
        match read_next(&node, observed.as_ref()).await {
            Ok(next) => observed = next,
            Err(error) => {
                event::STORE_FAILED.emit(format_args!("step=catalog error=\"{error}\""));
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// The state of the service when it was last read.
#[derive(Debug, Clone)]
struct Observed {
    /// The revision of the whole service up to which changes are known.
    revision: u64,
    /// The configuration, if there is one.
    stored: Option<Stored>,
}

/// Reads the configuration, or waits for its next change. Returns `None` if the service's
/// revision went back, so that the configuration has to be read again.
async fn read_next(node: &Node, observed: Option<&Observed>) -> Result<Option<Observed>, Error> {
    let next = match observed {
        None => read_first(node).await?,
        Some(observed) => watch_change(node, observed).await?,
    };
    if let Some(next) = &next {
        reconcile(node, next.stored.as_ref()).await;
    }
    Ok(next)
}

async fn read_first(node: &Node) -> Result<Option<Observed>, Error> {
    let entry = node.store.get(KEY).await?;
    let revision = entry.as_ref().map_or(0, |entry| entry.revision);
    let stored = entry.as_ref().map(parse).transpose()?;
    Ok(Some(Observed { revision, stored }))
}

async fn watch_change(node: &Node, observed: &Observed) -> Result<Option<Observed>, Error> {
    let list = node
        .store
        .watch(KEY, observed.revision, WATCH_TIMEOUT)
        .await?;
    if list.revision < observed.revision {
        // The service restarted without its state: no change would exceed the old revision.
        return Ok(None);
    }
    // A watch covers a prefix, and other keys may share it.
    let entry = list.entries.iter().find(|entry| entry.key == KEY);
    let newest = list.entries.iter().map(|entry| entry.revision).max();
    let revision = newest.map_or(observed.revision, |newest| newest.max(observed.revision));
    let stored = match entry {
        None => observed.stored.clone(),
        Some(removed) if removed.version == 0 => None,
        Some(entry) => Some(parse(entry)?),
    };
    Ok(Some(Observed { revision, stored }))
}

/// Offers the stored configuration to the control thread. If it is older than the one in
/// force here, the service has lost an accepted write, and the one in force is written
/// back.
///
/// The write is conditional on the version that was read: it can never undo a newer write,
/// and a late read only makes it fail.
async fn reconcile(node: &Node, stored: Option<&Stored>) {
    if let Some(stored) = stored {
        offer(node, stored.clone()).await;
    }
    let message = |reply| Message::Configs {
        base: Revision::default(),
        reply,
    };
    let Some(Configs { current, .. }) = node.control.ask(message).await else {
        return;
    };
    let stored_revision = stored.map_or(Revision::default(), |stored| stored.catalog.revision);
    if stored_revision >= current.revision {
        return;
    }
    let value = serde_json::to_string(current.as_ref()).expect("a catalog has no map keys");
    let version = stored.map_or(0, |stored| stored.version);
    let put = Put {
        value,
        version: Some(version),
        lease: None,
    };
    match node.store.put(KEY, put).await {
        Ok(_entry) => event::RESTORED.emit(format_args!(
            "from={stored_revision} to={}",
            current.revision
        )),
        // Another instance was faster, or the read was late; the next watch shows it.
        Err(Error::Conflict(_)) => {}
        Err(error) => event::STORE_FAILED.emit(format_args!("step=restore error=\"{error}\"")),
    }
}

fn parse(entry: &Entry) -> Result<Stored, Error> {
    let catalog = http::parse::<Catalog>(entry.value.as_bytes());
    let catalog = catalog.map_err(|error| Error::Unknown(format!("catalog: {error}")))?;
    Ok(Stored {
        version: entry.version,
        catalog: Arc::new(catalog),
    })
}
