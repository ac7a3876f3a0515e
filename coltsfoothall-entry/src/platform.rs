//! The platform's instance list and reclaim notices, and what endpoints report.

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

/// Longest wait for the instance list or a report.
const WITHIN: Duration = Duration::from_secs(2);
/// Longest wait of one call for notices.
const WATCH: Duration = Duration::from_secs(20);
/// Reads of reports at once; more than one, so that an engine that does not
/// answer holds up no other, and few, so that a large fleet opens few connections.
const READS: usize = 32;
/// Wait after a failed call.
const PAUSE: Duration = Duration::from_millis(500);

/// Keeps reading the instance list.
pub async fn list(node: Arc<Node>) {
    let mut turn = interval(node.settings.times.list.duration());
    let cloud = node.settings.cloud.to_string();
    loop {
        turn.tick().await;
        let read = node
            .client
            .get::<Machines>("list", &cloud, "/v1/instances", WITHIN)
            .await;
        match read {
            Ok(list) => node.control.send(Message::Machines(list.machines)),
            Err(error) => event::LIST_FAILED.emit(format_args!("error=\"{error}\"")),
        }
    }
}

/// Keeps waiting for reclaim notices.
pub async fn notices(node: Arc<Node>) {
    let cloud = node.settings.cloud.to_string();
    let mut after = 0;
    loop {
        let path = format!("/v1/notices?after={after}&wait_ms={}", WATCH.as_millis());
        let within = WATCH + WITHIN;
        match node
            .client
            .get::<Notices>("notices", &cloud, &path, within)
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
                sleep(PAUSE).await;
            }
        }
    }
}

/// Where reading an engine's reports stands.
#[derive(Debug)]
struct Reader {
    endpoint: id::Endpoint,
    address: String,
    after: u64,
}

/// Keeps reading load and cache events of the engines that this instance uses.
pub async fn reports(node: Arc<Node>) {
    let every = node.settings.times.report.duration();
    let mut readers: Vec<Reader> = Vec::new();
    loop {
        let began = Instant::now();
        renew(&node, &mut readers);
        let reads = stream::iter(&mut readers).for_each_concurrent(READS, |reader| {
            let node = Arc::clone(&node);
            async move {
                // An engine that does not report is judged by own requests alone.
                let _silent = read(&node, reader).await;
            }
        });
        reads.await;
        sleep(every.saturating_sub(began.elapsed())).await;
    }
}

fn renew(node: &Node, readers: &mut Vec<Reader>) {
    let view = node.view();
    readers.retain(|reader| {
        view.location(&reader.endpoint)
            .is_some_and(|location| location.engine)
    });
    for location in view.locations.iter().filter(|location| location.engine) {
        if let Err(at) = readers.binary_search_by(|have| have.endpoint.cmp(&location.endpoint)) {
            let reader = Reader {
                endpoint: location.endpoint.clone(),
                address: location.address.clone(),
                after: 0,
            };
            readers.insert(at, reader);
        }
    }
}

async fn read(node: &Node, reader: &mut Reader) -> Result<(), Error> {
    let load = node
        .client
        .get::<Load>("load", &reader.address, "/v1/load", WITHIN)
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
        .get::<Events>("cache", &reader.address, &path, WITHIN)
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
