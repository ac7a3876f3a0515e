//! Reports the usage of each window to the platform, while this instance leads.

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::usage::{Count, Snapshot};
use coltsfoothall_shell::event;

use crate::adapter::{Error, Keyspace, Leadership, Write};
use crate::calls::Call;
use crate::state::State;

/// Delay after the end of a window by which all counts of it have arrived from other instances.
const WINDOW_SETTLE_DELAY: Duration = Duration::from_millis(1_200);
/// Interval between snapshots of the usage counts; if all instances are lost at once, at most the
/// counts of one interval are lost.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(800);
/// Key of the snapshot.
const SNAPSHOT_NAME: &str = "runs";
/// Key of the snapshot of older versions of the program, which could not read this one.
const OLD_SNAPSHOT_NAME: &str = "tally";
/// Key of the loads of services.
const LOAD_NAME: &str = "load";
/// Maximum number of usage reports that are kept at the store.
const MAX_KEPT_REPORTS: u64 = 6;

/// Reports the usage of each window exactly once.
#[derive(Debug, Default)]
pub struct Reporter {
    /// Whether the counts that the previous leader saved were restored.
    restored: bool,
    /// When the counts were last saved.
    saved_at: Time,
}

impl Reporter {
    /// Restores the counts that the previous leader saved, and then saves them at intervals, so
    /// that they survive the loss of all instances at once.
    async fn save_counts(&mut self, state: &State) -> Result<(), Error> {
        if !self.restored {
            state.calls.count(Call::List(Keyspace::Notes));
            let listing = state.adapter.list(Keyspace::Notes).await?;
            let load = listing.items.iter().find(|item| item.name == LOAD_NAME);
            if let Some(value) = load.and_then(|item| item.value.as_ref()) {
                state.restore_loads(value);
            }
            let names = [SNAPSHOT_NAME, OLD_SNAPSHOT_NAME];
            let items = listing.items.iter();
            let items = items.filter(|item| names.contains(&item.name.as_str()));
            for value in items.filter_map(|item| item.value.as_ref()) {
                let snapshot: Snapshot = rmp_serde::from_slice(value)
                    .map_err(|error| Error::Format("read usage counts", error.to_string()))?;
                state.usage.borrow_mut().restore(&snapshot);
            }
            self.restored = true;
            state.loads_restored.set(state.fence());
        }
        let now = state.now();
        if now.since(self.saved_at) < SNAPSHOT_INTERVAL {
            return Ok(());
        }
        self.saved_at = now;
        let window = {
            let time = state.true_time();
            state.usage.borrow().window(time)
        };
        let snapshot = state.usage.borrow().snapshot(window.saturating_sub(1));
        let value = rmp_serde::to_vec(&snapshot)
            .map_err(|error| Error::Format("save usage counts", error.to_string()))?;
        let mut puts = vec![(format!("notes/{SNAPSHOT_NAME}"), value.into(), None)];
        if let Some(loads) = state.loads_to_save() {
            puts.push((format!("notes/{LOAD_NAME}"), loads, None));
        }
        let write = Write {
            puts,
            ..Write::default()
        };
        state.calls.count(Call::Write);
        state.adapter.write(write).await.map(drop)
    }

    /// Reports all windows that are due.
    pub async fn tick(&mut self, state: &State) {
        if !state.settings().duties.iter().any(|duty| duty == "usage") {
            return;
        }
        if let Err(error) = self.save_counts(state).await {
            event::STORE_FAILED.emit(format_args!("step=counts reason={error:?}"));
            if !self.restored {
                return;
            }
        }
        let time = state.true_time();
        let (current, length) = {
            let usage = state.usage.borrow();
            (
                usage.window(time),
                state.settings().bounds.usage_window.duration(),
            )
        };
        let due = state.settings().bounds.usage_due.duration();
        let windows = (due.as_millis() / length.as_millis().max(1)) as u64 + 1;
        let first = current.saturating_sub(windows);
        let from = state.reported().map_or(first, |done| (done + 1).max(first));
        for window in from..current {
            let end = state.usage.borrow().end(window);
            if time < end + WINDOW_SETTLE_DELAY {
                return;
            }
            match self.send(state, window).await {
                Ok(()) => state.record_reported(window),
                Err(error) => {
                    event::USAGE.emit(format_args!("window={window} reason={error:?}"));
                    if matches!(error, Error::Conflict(_)) {
                        state.leader.borrow_mut().lost();
                    }
                    return;
                }
            }
        }
    }

    /// Stores the report before sending it. If a leader has already stored one for the window, that
    /// one is sent instead.
    async fn send(&mut self, state: &State, window: u64) -> Result<(), Error> {
        let counts = state.usage.borrow().sum(window);
        let fence = state.fence().ok_or(Error::Conflict("report"))?;
        let counts = store_report(state, window, counts).await?;
        let fence = state
            .fence()
            .filter(|now| *now == fence)
            .ok_or(Error::Conflict("report"))?;
        let leadership = Leadership {
            instance: &state.name,
            fence,
        };
        state
            .adapter
            .report_usage(leadership, window, &counts)
            .await?;
        let runs: u64 = counts.iter().map(|count| count.runs).sum();
        event::USAGE.emit(format_args!("window={window} runs={runs} fence={fence}"));
        Ok(())
    }
}

/// Stores the report on a window. Returns the stored report, which is that of an earlier leader if
/// there was one.
async fn store_report(state: &State, window: u64, counts: Vec<Count>) -> Result<Vec<Count>, Error> {
    let name = format!("usage/{window}");
    let key = format!("notes/{name}");
    let value =
        serde_json::to_vec(&counts).map_err(|error| Error::Format("note", error.to_string()))?;
    let write = Write {
        absent: vec![key.clone()],
        puts: vec![(key, value.into(), None)],
        deletes: vec![format!(
            "notes/usage/{}",
            window.saturating_sub(MAX_KEPT_REPORTS)
        )],
    };
    state.calls.count(Call::Write);
    match state.adapter.write(write).await {
        Ok(_revision) => Ok(counts),
        Err(Error::Conflict(_)) => {
            state.calls.count(Call::List(Keyspace::Notes));
            let listing = state.adapter.list(Keyspace::Notes).await?;
            let item = listing.items.iter().find(|item| item.name == name);
            let value = item.and_then(|item| item.value.as_ref());
            let value = value.ok_or(Error::Missing("note"))?;
            serde_json::from_slice(value).map_err(|error| Error::Format("note", error.to_string()))
        }
        Err(error) => Err(error),
    }
}
