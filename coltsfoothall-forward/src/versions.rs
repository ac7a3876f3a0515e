//! The table of the versions that begin streams: reads it, and keeps it while this instance leads.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use coltsfoothall::clock::Time;
use coltsfoothall::forward::assignment::{self, Demand, Editor};
use coltsfoothall::forward::config::{Config, Kind};
use coltsfoothall::forward::history::{Era, Fence};
use coltsfoothall::forward::stream::Group;
use coltsfoothall::forward::upgrade::Stage;
use coltsfoothall::forward::version::{self, Present, Row, Table};
use coltsfoothall::id;
use coltsfoothall_shell::event;
use serde::{Deserialize, Serialize};

use crate::adapter::{Error, Keyspace, Listing, Write};
use crate::calls::Call;
use crate::report::log_unreadable;
use crate::state::State;

/// Interval between two tries to read the table for the first time.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Factor of the drain time after which endpoints that have left are taken to serve no more.
const DRAIN_FACTOR: f64 = 1.25;
/// Interval at which the leader looks whether the table has to change.
const TICK_INTERVAL: Duration = Duration::from_millis(300);
/// Number of tables that the store keeps: a write that takes effect late must not follow a later
/// one that is gone.
const KEPT_TABLES: u64 = 4;
/// Tries of its caller for which a stream may last, each of them as long as its route allows.
const TRIES: u32 = 2;
/// Key of the streams whose version the table does not tell.
const STARTS_NAME: &str = "starts";
/// Interval between two writes of them; if all instances are lost at once, at most the streams of one
/// interval are lost.
const SAVE_INTERVAL: Duration = Duration::from_millis(600);
/// Maximum number of streams that are stored, at about 20 bytes each.
const MAX_SAVED_STARTS: usize = 2_048;

/// A value of the keyspace. Older versions of the program read streams as a table without rows, which
/// changes nothing.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Value {
    #[serde(flatten)]
    table: Table,
    /// Era of the store in which the table was written.
    #[serde(default)]
    era: Era,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    starts: Vec<Group>,
}

/// How long a table is trusted that no leader has confirmed, given the term of a leader's lease: the
/// next leader confirms it well within this time.
#[must_use]
pub fn trust(lease: Duration) -> Duration {
    lease * 3 + Duration::from_secs(2)
}

/// Number of services with streams that may be resumed whose slots do not all tell where those
/// began.
#[must_use]
pub fn count_unsettled(state: &State) -> u64 {
    let Some(configuration) = state.configuration() else {
        return 0;
    };
    let streams = state.streams.borrow();
    let lifetimes = lifetimes(&configuration.config);
    let unsettled = lifetimes.iter().filter(|(service, _)| {
        let row = streams.table().row(service);
        !row.is_some_and(Row::is_settled)
    });
    unsettled.count() as u64
}

/// Services with streams that may be resumed, sorted, and how long one may last over all tries of
/// its caller.
fn lifetimes(config: &Config) -> Vec<(id::Service, Duration)> {
    let mut lifetimes: Vec<(id::Service, Duration)> = Vec::new();
    for route in config.routes() {
        if route.kind != Kind::Resumable {
            continue;
        }
        let lifetime = route.timeout.duration() * TRIES;
        for target in &route.targets {
            match lifetimes.binary_search_by(|(service, _)| service.cmp(&target.service)) {
                Ok(index) => lifetimes[index].1 = lifetimes[index].1.max(lifetime),
                Err(index) => lifetimes.insert(index, (target.service.clone(), lifetime)),
            }
        }
    }
    lifetimes
}

/// Reads the table and the streams whose version it does not tell. Another instance may tell the table
/// first.
pub async fn read(state: Rc<State>) {
    while let Err(error) = read_once(&state).await {
        event::STORE_FAILED.emit(format_args!("step=read_versions reason={error:?}"));
        if state.streams.borrow().is_known() {
            return;
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}

/// Reads the newest table of the store and the stored streams, and applies them. Returns whether changes
/// of the table may be lost, as it was written before the store was restored from a copy.
async fn read_once(state: &State) -> Result<bool, Error> {
    let called_at = state.now();
    state.calls.count(Call::List(Keyspace::Versions));
    let listing = state.adapter.list(Keyspace::Versions).await?;
    let content = parse(&listing);
    let now = state.now();
    let mut streams = state.streams.borrow_mut();
    streams.restore(now, content.starts);
    let (is_new, is_outdated) = match content.table {
        Some((table, era)) if era < listing.position.era => {
            (streams.apply_outdated(now, table), true)
        }
        Some((table, _era)) => (streams.apply(now, called_at, Some(table)), false),
        None => (streams.apply(now, called_at, None), false),
    };
    drop(streams);
    if is_new {
        log_table(state, if is_outdated { "copy" } else { "store" });
    }
    Ok(is_outdated)
}

/// What the store holds.
#[derive(Debug, Default)]
struct Content {
    /// The newest table, and the era in which it was written.
    table: Option<(Table, Era)>,
    starts: Vec<Group>,
}

/// Parses the values of the keyspace. Those that other writers put there are left out.
fn parse(listing: &Listing) -> Content {
    let mut content = Content::default();
    for item in &listing.items {
        let Some(value) = &item.value else {
            continue;
        };
        let value: Value = match serde_json::from_slice(value) {
            Ok(value) => value,
            Err(error) => {
                log_unreadable("read_versions", &item.name, &error);
                continue;
            }
        };
        let newest = content.table.as_ref().map(|(table, _)| table.generation);
        if item.name == STARTS_NAME {
            content.starts = value.starts;
        } else if newest.is_none_or(|newest| newest < value.table.generation) {
            content.table = Some((value.table, value.era));
        }
    }
    content
}

/// Logs the table in force.
pub fn log_table(state: &State, source: &str) {
    let streams = state.streams.borrow();
    let table = streams.table();
    for row in &table.rows {
        let versions = row.versions.iter().enumerate().map(|(index, version)| {
            let name = version::name(version.as_ref());
            format!("{name}:{}", row.count(index))
        });
        let versions: Vec<String> = versions.collect();
        event::VERSIONS.emit(format_args!(
            "generation={} service={} slots={} announced={} former={} settling={} source={source}",
            table.generation,
            row.service,
            versions.join(","),
            row.announced.len(),
            row.former.len(),
            row.settling,
        ));
    }
}

/// Keeps the table while this instance leads. This task is separate from the other duties, whose
/// calls may take long.
pub async fn keep(state: Rc<State>) {
    let mut assigner: Option<Assigner> = None;
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        let Some(fence) = state.fence() else {
            assigner = None;
            continue;
        };
        let current = assigner.take().filter(|known| known.fence == fence);
        let mut current = current.unwrap_or(Assigner {
            fence,
            editor: None,
            saved_at: Time::START,
            saved: Vec::new(),
        });
        match current.advance(&state).await {
            Ok(()) => {
                if let Err(error) = current.save_starts(&state).await {
                    event::STORE_FAILED.emit(format_args!("step=streams reason={error:?}"));
                }
                assigner = Some(current);
            }
            Err(error) => {
                event::STORE_FAILED.emit(format_args!("step=versions reason={error:?}"));
            }
        }
    }
}

/// Keeps the table under one fencing token.
#[derive(Debug)]
struct Assigner {
    fence: Fence,
    /// None until the store was read.
    editor: Option<Editor>,
    /// When the streams whose version the table does not tell were last stored.
    saved_at: Time,
    /// Those that are stored.
    saved: Vec<Group>,
}

impl Assigner {
    /// Stores the streams whose version the table does not tell, so that they go on after the loss of
    /// all instances at once.
    async fn save_starts(&mut self, state: &State) -> Result<(), Error> {
        let now = state.now();
        let Some(configuration) = state.configuration() else {
            return Ok(());
        };
        let lifetimes = lifetimes(&configuration.config);
        let Some(max_age) = lifetimes.iter().map(|(_, lifetime)| *lifetime).max() else {
            return Ok(());
        };
        let is_due = self.editor.is_some() && now.since(self.saved_at) >= SAVE_INTERVAL;
        if !is_due || count_unsettled(state) == 0 || state.fence() != Some(self.fence) {
            return Ok(());
        }
        self.saved_at = now;
        let starts = {
            let streams = state.streams.borrow();
            streams.untold(now, max_age, MAX_SAVED_STARTS)
        };
        if starts == self.saved {
            return Ok(());
        }
        let value = Value {
            starts: starts.clone(),
            ..Value::default()
        };
        let value = serde_json::to_vec(&value)
            .map_err(|error| Error::Format("write streams", error.to_string()))?;
        let write = Write {
            puts: vec![(format!("versions/{STARTS_NAME}"), Bytes::from(value), None)],
            ..Write::default()
        };
        state.calls.count(Call::Write);
        state.adapter.write(write).await?;
        self.saved = starts;
        Ok(())
    }

    /// Writes the next table, if there has to be one.
    async fn advance(&mut self, state: &State) -> Result<(), Error> {
        let Some(configuration) = state.configuration() else {
            return Ok(());
        };
        let lifetimes = lifetimes(&configuration.config);
        if lifetimes.is_empty() && state.streams.borrow().table().rows.is_empty() {
            return Ok(());
        }
        let demands = demands(state, lifetimes);
        let editor = match &mut self.editor {
            Some(editor) => editor,
            None => {
                let is_outdated = read_once(state).await?;
                let settings = assignment::Settings {
                    trust: trust(state.settings().bounds.lease.duration()),
                    drain: state
                        .settings()
                        .bounds
                        .drain
                        .duration()
                        .mul_f64(DRAIN_FACTOR),
                    ..assignment::Settings::default()
                };
                // This instance may know a newer table than a store that was restored.
                let (table, is_known) = {
                    let streams = state.streams.borrow();
                    (streams.table().clone(), streams.is_known())
                };
                let mut editor = Editor::new(state.now(), table, settings);
                if is_outdated {
                    let table = editor.reissue(is_known);
                    publish(state, &mut editor, table).await?;
                }
                self.editor.insert(editor)
            }
        };
        if state.fence() != Some(self.fence) {
            return Err(Error::Conflict("versions"));
        }
        let now = state.now();
        let generation = editor.table().generation;
        let all_know = state.peers.borrow().all_have(now, generation);
        let Some(table) = editor.next(now, &demands, all_know) else {
            state.streams.borrow_mut().confirm(now);
            return Ok(());
        };
        publish(state, editor, table).await
    }
}

/// Writes a table, and applies it here.
async fn publish(state: &State, editor: &mut Editor, table: Table) -> Result<(), Error> {
    let called_at = state.now();
    write(state, &table).await?;
    editor.written(state.now(), table.clone());
    let mut streams = state.streams.borrow_mut();
    streams.apply(state.now(), called_at, Some(table));
    drop(streams);
    log_table(state, "leader");
    Ok(())
}

async fn write(state: &State, table: &Table) -> Result<(), Error> {
    let value = Value {
        table: table.clone(),
        era: state.era().unwrap_or_default(),
        starts: Vec::new(),
    };
    let value = serde_json::to_vec(&value)
        .map_err(|error| Error::Format("write versions", error.to_string()))?;
    let key = |generation: u64| format!("versions/{generation}");
    let old = table.generation.checked_sub(KEPT_TABLES);
    let write = Write {
        absent: vec![key(table.generation)],
        puts: vec![(key(table.generation), Bytes::from(value), None)],
        deletes: old.map(key).into_iter().collect(),
    };
    state.calls.count(Call::Write);
    state.adapter.write(write).await.map(drop)
}

/// The services whose streams begin by the table.
fn demands(state: &State, lifetimes: Vec<(id::Service, Duration)>) -> Vec<Demand> {
    let upgrades = state.upgrades.borrow();
    let roster = state.roster.borrow();
    let mut demands = Vec::new();
    for (service, lifetime) in lifetimes {
        let stage = upgrades.stage(&service);
        let mut versions = roster.versions(&service);
        match stage {
            // Upgrades send each version its share of the requests.
            Some((_, Stage::Trial | Stage::Moving { .. })) => continue,
            Some((order, Stage::Complete)) => {
                let is_target = |one: &Present| one.version.as_ref() == Some(&order.target);
                if versions.iter().any(is_target) {
                    versions.retain(is_target);
                }
            }
            Some((order, Stage::RolledBack)) => {
                versions.retain(|one| one.version.as_ref() != Some(&order.target));
            }
            None => {}
        }
        demands.push(Demand {
            service,
            versions,
            lifetime,
            settles: stage.is_some(),
        });
    }
    demands
}
