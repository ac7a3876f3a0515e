//! Counts of started requests by workspace and time window.
//!
//! Every instance counts its own requests and reports the counts to all others, so that they
//! outlast the instance. Windows follow the fleet's common time of day.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id;

/// Rounds in which all reported windows are due at least once.
const REPORT_ROUNDS: usize = 8;
/// Windows that are kept. The usage of older ones has been reported by then.
const MAX_WINDOWS: u64 = 8;

/// Count of one workspace and window by one start of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Number of the window.
    pub window: u64,
    /// The workspace.
    pub workspace: id::Workspace,
    /// Requests that were started.
    pub runs: u64,
}

/// Counts of all starts of instances, in the form that is stored. Each workspace's name is written
/// once, to keep the snapshot small: it is written often, and holds a count for each workspace and
/// instance.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Sorted.
    workspaces: Vec<id::Workspace>,
    /// Each window with the counts of each boot number.
    windows: Vec<(u64, Vec<Boot>)>,
}

/// A boot number and its runs.
type Boot = (u64, Row);

/// Runs of one boot number. Most instances of a large fleet serve few workspaces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
enum Row {
    /// Index of a workspace of the snapshot, and its runs.
    Sparse(Vec<(u32, u64)>),
    /// Runs of all workspaces of the snapshot, as older versions of the program write them.
    Dense(Vec<u64>),
}

impl Row {
    fn entries(&self) -> Vec<(usize, u64)> {
        match self {
            Self::Sparse(entries) => {
                let entries = entries.iter();
                entries
                    .map(|(index, runs)| (*index as usize, *runs))
                    .collect()
            }
            Self::Dense(runs) => runs.iter().copied().enumerate().collect(),
        }
    }
}

/// Runs by workspace, sorted.
type Runs = Vec<(id::Workspace, u64)>;

#[derive(Debug, Clone)]
struct Window {
    number: u64,
    /// Sorted by boot.
    boots: Vec<(u64, Runs)>,
}

impl Window {
    fn runs(&mut self, boot: u64) -> &mut Runs {
        let found = self.boots.binary_search_by_key(&boot, |(boot, _)| *boot);
        let index = found.unwrap_or_else(|index| {
            self.boots.insert(index, (boot, Runs::new()));
            index
        });
        &mut self.boots[index].1
    }
}

/// Counts of all instances, as far as they are known here.
#[derive(Debug, Clone)]
pub struct Counter {
    boot: u64,
    length: Duration,
    /// Sorted by number.
    windows: Vec<Window>,
}

impl Counter {
    /// Creates an empty counter of the instance with this boot number.
    #[must_use]
    pub fn new(boot: u64, length: Duration) -> Self {
        Self {
            boot,
            length,
            windows: Vec::new(),
        }
    }

    /// Number of the window that contains a time since 1970.
    #[must_use]
    pub fn window(&self, since_1970: Duration) -> u64 {
        (since_1970.as_millis() / self.length.as_millis().max(1)) as u64
    }

    /// Time since 1970 at which a window ends.
    #[must_use]
    pub fn end(&self, window: u64) -> Duration {
        Duration::from_millis((window + 1).saturating_mul(self.length.as_millis() as u64))
    }

    /// The last window that ended at least `delay` before a time since 1970.
    #[must_use]
    pub fn last_ended(&self, since_1970: Duration, delay: Duration) -> Option<u64> {
        self.window(since_1970.saturating_sub(delay)).checked_sub(1)
    }

    /// Counts a request of `workspace` that this instance started.
    pub fn record_start(&mut self, window: u64, workspace: &id::Workspace) {
        let boot = self.boot;
        self.update(window, workspace, boot, |runs| runs + 1);
        self.windows
            .retain(|counted| counted.number + MAX_WINDOWS > window);
    }

    /// Merges the counts that another instance reports; a lower one than before is outdated.
    pub fn merge_counts(&mut self, boot: u64, counts: &[Count]) {
        for count in counts {
            self.update(count.window, &count.workspace, boot, |runs| {
                runs.max(count.runs)
            });
        }
    }

    /// All known counts from `window` on.
    #[must_use]
    pub fn snapshot(&self, window: u64) -> Snapshot {
        let windows = || {
            self.windows
                .iter()
                .filter(|counted| counted.number >= window)
        };
        let runs = windows().flat_map(|window| window.boots.iter().flat_map(|(_, runs)| runs));
        let mut workspaces: Vec<id::Workspace> = runs.map(|(name, _)| name.clone()).collect();
        workspaces.sort_unstable();
        workspaces.dedup();
        let entry = |(name, runs): &(id::Workspace, u64)| {
            let index = workspaces.binary_search(name).ok()?;
            Some((index as u32, *runs))
        };
        let row = |runs: &Runs| Row::Sparse(runs.iter().filter_map(entry).collect());
        let boots = |window: &Window| {
            let boots = window.boots.iter();
            boots.map(|(boot, runs)| (*boot, row(runs))).collect()
        };
        let windows = windows().map(|window| (window.number, boots(window)));
        Snapshot {
            windows: windows.collect(),
            workspaces,
        }
    }

    /// Merges a snapshot of another instance.
    pub fn restore(&mut self, snapshot: &Snapshot) {
        for (window, boots) in &snapshot.windows {
            for (boot, row) in boots {
                for (index, count) in row.entries() {
                    let workspace = snapshot.workspaces.get(index);
                    if let Some(workspace) = workspace.filter(|_| count > 0) {
                        self.update(*window, workspace, *boot, |runs| runs.max(count));
                    }
                }
            }
        }
    }

    /// This instance's own counts of the window that is due in a round, in which `current` is the
    /// current window. The one before is reported every other round, as its report to the platform
    /// is due next.
    #[must_use]
    pub fn own_in_round(&self, current: u64, round: usize) -> Vec<Count> {
        let age = match round % REPORT_ROUNDS {
            0 => 0,
            2 => 2,
            4 => 0,
            6 => 3,
            _ => 1,
        };
        let due = current.saturating_sub(age);
        let mut counts = self.own(due);
        counts.retain(|count| count.window == due);
        counts
    }

    /// This instance's own counts from `window` on.
    #[must_use]
    pub fn own(&self, window: u64) -> Vec<Count> {
        let mut counts = Vec::new();
        for have in self
            .windows
            .iter()
            .filter(|counted| counted.number >= window)
        {
            let own = have.boots.iter().find(|(boot, _)| *boot == self.boot);
            let own = own.map_or(&[][..], |(_, runs)| runs);
            counts.extend(own.iter().map(|(workspace, runs)| Count {
                window: have.number,
                workspace: workspace.clone(),
                runs: *runs,
            }));
        }
        counts
    }

    /// The counts of one window over all instances, sorted by workspace.
    #[must_use]
    pub fn sum(&self, window: u64) -> Vec<Count> {
        let mut sums = Runs::new();
        let found = self.windows.iter().find(|counted| counted.number == window);
        for (_, runs) in found.map_or(&[][..], |found| &found.boots) {
            for (workspace, runs) in runs {
                *entry(&mut sums, workspace) += runs;
            }
        }
        let sums = sums.into_iter();
        let sums = sums.map(|(workspace, runs)| Count {
            window,
            workspace,
            runs,
        });
        sums.collect()
    }

    fn update(
        &mut self,
        window: u64,
        workspace: &id::Workspace,
        boot: u64,
        change: impl FnOnce(u64) -> u64,
    ) {
        let found = self
            .windows
            .binary_search_by_key(&window, |counted| counted.number);
        let index = found.unwrap_or_else(|index| {
            let boots = Vec::new();
            let number = window;
            self.windows.insert(index, Window { number, boots });
            index
        });
        let runs = entry(self.windows[index].runs(boot), workspace);
        *runs = change(*runs);
    }
}

fn find(runs: &Runs, workspace: &id::Workspace) -> Result<usize, usize> {
    runs.binary_search_by(|(have, _)| have.cmp(workspace))
}

/// The runs of a workspace, inserted as zero if absent.
fn entry<'a>(runs: &'a mut Runs, workspace: &id::Workspace) -> &'a mut u64 {
    let index = find(runs, workspace).unwrap_or_else(|index| {
        runs.insert(index, (workspace.clone(), 0));
        index
    });
    &mut runs[index].1
}
