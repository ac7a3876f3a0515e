//! Reports the usage of each window to the platform, while this instance leads.

use std::time::Duration;

use bytes::Bytes;
use coltsfoothall::clock::Time;
use coltsfoothall::forward::mark::{Doubt, Evidence, Mark};
use coltsfoothall::forward::usage::{Count, Snapshot};
use coltsfoothall_shell::event;

use crate::adapter::{Error, Keyspace, Leadership, Listing, Write};
use crate::calls::Call;
use crate::report::log_unreadable;
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
/// Key of the mark of what was reported in earlier eras of the store.
const MARK_NAME: &str = "reported";
/// Prefix of the keys of stored reports; the number of the window follows.
const REPORT_PREFIX: &str = "usage/";
/// Difference between the times of two leaders, each of which is that of most instances' clocks.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_millis(500);
/// Minimum number of usage reports that are kept at the store.
const MIN_KEPT_REPORTS: u64 = 6;

/// Reports the usage of each window exactly once.
#[derive(Debug, Default)]
pub struct Reporter {
    /// Whether the counts that the previous leader saved were restored.
    restored: bool,
    /// The windows that may have been reported in earlier eras of the store; none until that is known.
    doubt: Option<Doubt>,
    /// When the counts were last saved.
    saved_at: Time,
}

impl Reporter {
    /// Reads the notes of earlier leaders, until it is known which windows those may have reported.
    async fn take_over(&mut self, state: &State) -> Result<(), Error> {
        if self.doubt.is_some() {
            return Ok(());
        }
        let fence = state.fence();
        state.calls.count(Call::List(Keyspace::Notes));
        let listing = state.adapter.list(Keyspace::Notes).await?;
        if !self.restored {
            restore_counts(state, &listing);
            self.restored = true;
            state.loads_restored.set(state.fence());
        }
        let evidence = evidence(state, &listing);
        let Some(mark) = evidence.mark() else {
            return Ok(());
        };
        if evidence.stored != Some(mark) {
            write_mark(state, mark).await?;
        }
        let windows = stored_windows(state, &listing);
        state.record_attempt(mark.window.max(windows.iter().max().copied()));
        state.reports_read.set(fence);
        self.doubt = Some(Doubt::new(mark, windows));
        Ok(())
    }

    /// Saves the counts at intervals, so that they survive the loss of all instances at once.
    async fn save_counts(&mut self, state: &State) -> Result<(), Error> {
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
        if let Err(error) = self.take_over(state).await {
            event::STORE_FAILED.emit(format_args!("step=notes reason={error:?}"));
        }
        if !self.restored {
            return;
        }
        if let Err(error) = self.save_counts(state).await {
            event::STORE_FAILED.emit(format_args!("step=counts reason={error:?}"));
        }
        let Some(doubt) = self.doubt.clone() else {
            return;
        };
        let time = state.true_time();
        let current = state.usage.borrow().window(time);
        let first = current.saturating_sub(due_windows(state));
        let from = state.reported().map_or(first, |done| (done + 1).max(first));
        for window in from..current {
            let end = state.usage.borrow().end(window);
            if time < end + WINDOW_SETTLE_DELAY {
                return;
            }
            if doubt.covers(window) {
                let reason = "may have been reported in an earlier era of the store";
                give_up(state, window, reason);
                continue;
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
        let counted = state.usage.borrow().sum(window);
        let fence = state.fence().ok_or(Error::Conflict("report"))?;
        let Some(counts) = store_report(state, window, &counted).await? else {
            give_up(state, window, "the stored report cannot be read");
            return Ok(());
        };
        let fence = state
            .fence()
            .filter(|now| *now == fence)
            .ok_or(Error::Conflict("report"))?;
        state.record_attempt(Some(window));
        let leadership = Leadership {
            instance: &state.name,
            fence,
        };
        state
            .adapter
            .report_usage(leadership, window, &counts)
            .await?;
        event::USAGE.emit(format_args!(
            "window={window} runs={} counted={} fence={fence}",
            total(&counts),
            total(&counted)
        ));
        Ok(())
    }
}

/// Number of past windows that a leader reports if they have not been.
fn due_windows(state: &State) -> u64 {
    let settings = state.settings();
    let due = settings.bounds.usage_due.duration();
    let length = settings.bounds.usage_window.duration();
    (due.as_millis() / length.as_millis().max(1)) as u64 + 1
}

/// The windows whose reports the store holds. A later window than the current one has no report of a
/// leader.
fn stored_windows(state: &State, listing: &Listing) -> Vec<u64> {
    let newest = {
        let time = state.true_time() + MAX_CLOCK_DIFFERENCE;
        state.usage.borrow().window(time)
    };
    let names = listing.items.iter().map(|item| item.name.as_str());
    let numbers = names.filter_map(|name| name.strip_prefix(REPORT_PREFIX));
    let windows = numbers.filter_map(|number| number.parse().ok());
    windows.filter(|window| *window <= newest).collect()
}

/// Restores the counts and the loads that the previous leader saved, as far as they can be read.
fn restore_counts(state: &State, listing: &Listing) {
    let load = listing.items.iter().find(|item| item.name == LOAD_NAME);
    if let Some(value) = load.and_then(|item| item.value.as_ref()) {
        state.restore_loads(value);
    }
    let names = [SNAPSHOT_NAME, OLD_SNAPSHOT_NAME];
    let items = listing.items.iter();
    let items = items.filter(|item| names.contains(&item.name.as_str()));
    for item in items {
        let Some(value) = &item.value else {
            continue;
        };
        match rmp_serde::from_slice::<Snapshot>(value) {
            Ok(snapshot) => state.usage.borrow_mut().restore(&snapshot),
            Err(error) => log_unreadable("read_counts", &item.name, &error),
        }
    }
}

/// Stores the report on a window. Returns the stored report, which is that of an earlier leader if
/// there was one; none if it cannot be read.
async fn store_report(
    state: &State,
    window: u64,
    counts: &[Count],
) -> Result<Option<Vec<Count>>, Error> {
    let name = format!("{REPORT_PREFIX}{window}");
    let key = format!("notes/{name}");
    let value =
        serde_json::to_vec(counts).map_err(|error| Error::Format("note", error.to_string()))?;
    // A leader that knows nothing takes a window without a stored report for one that was not reported.
    let kept = due_windows(state).max(MIN_KEPT_REPORTS);
    let old = window.saturating_sub(kept);
    let write = Write {
        absent: vec![key.clone()],
        puts: vec![(key, value.into(), None)],
        deletes: vec![format!("notes/{REPORT_PREFIX}{old}")],
    };
    state.calls.count(Call::Write);
    match state.adapter.write(write).await {
        Ok(_revision) => Ok(Some(counts.to_vec())),
        Err(Error::Conflict(_)) => {
            state.calls.count(Call::List(Keyspace::Notes));
            let listing = state.adapter.list(Keyspace::Notes).await?;
            let item = listing.items.iter().find(|item| item.name == name);
            let value = item.and_then(|item| item.value.as_ref());
            let value = value.ok_or(Error::Missing("note"))?;
            let report = serde_json::from_slice(value);
            Ok(report
                .inspect_err(|error| log_unreadable("read_report", &name, error))
                .ok())
        }
        Err(error) => Err(error),
    }
}

fn total(counts: &[Count]) -> u64 {
    counts.iter().map(|count| count.runs).sum()
}

/// What is known of the windows that were reported, given all notes of the store.
fn evidence(state: &State, listing: &Listing) -> Evidence {
    let found = listing.items.iter().find(|item| item.name == MARK_NAME);
    let stored = found.and_then(|item| item.value.as_ref());
    // Without a mark, more windows are given up.
    let stored: Option<Mark> = stored.and_then(|value| {
        let mark = serde_json::from_slice(value);
        mark.inspect_err(|error| log_unreadable("read_mark", MARK_NAME, error))
            .ok()
    });
    let age = state.era_age();
    let known_at = state.true_time().saturating_sub(age) + MAX_CLOCK_DIFFERENCE;
    Evidence {
        era: listing.position.era,
        stored,
        own: state.mark.get(),
        reported: state.reported(),
        due: state
            .usage
            .borrow()
            .last_ended(known_at, WINDOW_SETTLE_DELAY),
        age,
    }
}

async fn write_mark(state: &State, mark: Mark) -> Result<(), Error> {
    let value = serde_json::to_vec(&mark)
        .map_err(|error| Error::Format("write mark", error.to_string()))?;
    let write = Write {
        puts: vec![(format!("notes/{MARK_NAME}"), Bytes::from(value), None)],
        ..Write::default()
    };
    state.calls.count(Call::Write);
    state.adapter.write(write).await.map(drop)
}

/// Leaves the mark of what this instance reported before the store was restored, for the leader of
/// the new era.
pub async fn leave_mark(state: &State) {
    let Some(mark) = state.mark.take() else {
        return;
    };
    if state.era() != Some(mark.era) {
        return;
    }
    if let Err(error) = write_mark(state, mark).await {
        event::STORE_FAILED.emit(format_args!("step=mark reason={error:?}"));
        if state.mark.get().is_none() {
            state.mark.set(Some(mark));
        }
    }
}

/// Leaves a window unreported: the platform may have accepted other counts for it.
fn give_up(state: &State, window: u64, reason: &str) {
    event::USAGE.emit(format_args!(
        "window={window} state=given_up reason={reason:?}"
    ));
    state.board.usage_given_up();
    state.record_reported(window);
}
