//! Reads the platform's instance list and reclaim notices, and the reports of endpoints.

use std::sync::Arc;
use std::time::Duration;

use futures_util::{StreamExt, stream};
use tokio::time::{Instant, interval, sleep};

use coltsfoothall::id;
use coltsfoothall::index;
use coltsfoothall::load::Report;
use coltsfoothall_shell::event;
use coltsfoothall_wire::client::Error;
use coltsfoothall_wire::cloud::{Machines, Notices};
use coltsfoothall_wire::engine::{Change, Events, Load};

use crate::message::Message;
use crate::node::Node;

/// Timeout of a read of the instance list or of a report.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum wait of one call for notices.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of concurrent reads of reports. It is more than one, so that an engine
/// that does not answer holds up no other, and small, so that a large fleet needs few
/// connections.
const MAX_CONCURRENT_READS: usize = 32;
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Reads the instance list periodically.
pub async fn list(node: Arc<Node>) {
    let mut ticks = interval(node.settings.times.list.duration());
    let cloud = node.settings.cloud.to_string();
    loop {
        ticks.tick().await;
        let read = node
            .client
            .get::<Machines>("list", &cloud, "/v1/instances", READ_TIMEOUT)
            .await;
        match read {
            Ok(list) => node.control.send(Message::Machines(list.machines)),
            Err(error) => event::LIST_FAILED.emit(format_args!("error=\"{error}\"")),
        }
    }
}

/// Waits for reclaim notices in a loop.
pub async fn notices(node: Arc<Node>) {
    let cloud = node.settings.cloud.to_string();
    let mut after = 0;
    loop {
        let path = format!(
            "/v1/notices?after={after}&wait_ms={}",
            WATCH_TIMEOUT.as_millis()
        );
        let timeout = WATCH_TIMEOUT + READ_TIMEOUT;
        match node
            .client
            .get::<Notices>("notices", &cloud, &path, timeout)
            .await
        {
            Ok(notices) => {
                after = notices.newest;
                for notice in notices.notices {
                    event::NOTICE.emit(format_args!(
                        "instance={} left_ms={} heard=platform",
                        notice.instance, notice.left_ms.0
                    ));
                    node.control.send(Message::Notice(notice.instance));
                }
            }
            Err(error) => {
                event::LIST_FAILED.emit(format_args!("error=\"{error}\""));
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// The position in an engine's cache events.
#[derive(Debug)]
struct Reader {
    endpoint: id::Endpoint,
    address: String,
    after: u64,
}

/// Reads load and cache events of all engines periodically.
pub async fn reports(node: Arc<Node>) {
    let period = node.settings.times.report.duration();
    let mut readers: Vec<Reader> = Vec::new();
    loop {
        let started = Instant::now();
        update_readers(&node, &mut readers);
        let reads =
            stream::iter(&mut readers).for_each_concurrent(MAX_CONCURRENT_READS, |reader| {
                let node = Arc::clone(&node);
                async move {
                    // For an engine that does not report, routing relies on this instance's own
                    // requests alone.
                    let _silent = read(&node, reader).await;
                }
            });
        reads.await;
        sleep(period.saturating_sub(started.elapsed())).await;
    }
}

fn update_readers(node: &Node, readers: &mut Vec<Reader>) {
    let view = node.view();
    readers.retain(|reader| {
        view.location(&reader.endpoint)
            .is_some_and(|location| location.engine)
    });
    for location in view.locations.iter().filter(|location| location.engine) {
        if let Err(index) =
            readers.binary_search_by(|reader| reader.endpoint.cmp(&location.endpoint))
        {
            let reader = Reader {
                endpoint: location.endpoint.clone(),
                address: location.address.clone(),
                after: 0,
            };
            readers.insert(index, reader);
        }
    }
}

async fn read(node: &Node, reader: &mut Reader) -> Result<(), Error> {
    let load = node
        .client
        .get::<Load>("load", &reader.address, "/v1/load", READ_TIMEOUT)
        .await?;
    let report = Report {
        running: load.running,
        waiting: load.waiting,
        prefill: load.prefill,
        cached: load.cached,
        capacity: load.capacity,
    };
    node.control
        .send(Message::Load(reader.endpoint.clone(), report, load.boot));
    let path = format!("/v1/cache/events?after={}", reader.after);
    let events = node
        .client
        .get::<Events>("cache", &reader.address, &path, READ_TIMEOUT)
        .await?;
    reader.after = events.newest;
    if !events.events.is_empty() {
        let events = events.events.into_iter().map(|event| index::Event {
            seq: event.seq,
            change: match event.change {
                Change::Stored(block) => index::Change::Stored(block),
                Change::Evicted(block) => index::Change::Evicted(block),
                Change::Cleared => index::Change::Cleared,
            },
        });
        let message = Message::Cache(reader.endpoint.clone(), events.collect());
        node.control.send(message);
    }
    Ok(())
}
