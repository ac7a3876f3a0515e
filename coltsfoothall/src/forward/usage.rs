//! Requests that began to run, counted by window of true time and workspace.
//!
//! Every instance counts its own and tells all others, so that the counts of one that
//! dies are not lost with it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id;

/// Windows kept; a report is due before an older one could matter.
const KEPT: u64 = 8;

/// A count of one instance's boot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Number of the window.
    pub window: u64,
    /// The workspace.
    pub workspace: id::Workspace,
    /// Requests that began to run.
    pub runs: u64,
}

/// The counts of all boots, as they outlast these boots. Names are written once, since the
/// whole is written again and again: an instance counts for each workspace.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Sorted.
    workspaces: Vec<id::Workspace>,
    /// Each window with its boots.
    windows: Vec<(u64, Vec<Boot>)>,
}

/// A boot and its runs, in the order of the workspaces.
type Boot = (u64, Vec<u64>);

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
        let place = found.unwrap_or_else(|place| {
            self.boots.insert(place, (boot, Runs::new()));
            place
        });
        &mut self.boots[place].1
    }
}

/// The counts of all instances, as far as they are known here.
#[derive(Debug, Clone)]
pub struct Counter {
    boot: u64,
    length: Duration,
    /// Sorted by number.
    windows: Vec<Window>,
}

impl Counter {
    /// An empty book of the instance with this boot number.
    #[must_use]
    pub fn new(boot: u64, length: Duration) -> Self {
        Self {
            boot,
            length,
            windows: Vec::new(),
        }
    }

    /// The window that holds a time since 1970.
    #[must_use]
    pub fn window(&self, since_1970: Duration) -> u64 {
        (since_1970.as_millis() / self.length.as_millis().max(1)) as u64
    }

    /// Time since 1970 at which a window ends.
    #[must_use]
    pub fn end(&self, window: u64) -> Duration {
        Duration::from_millis((window + 1).saturating_mul(self.length.as_millis() as u64))
    }

    /// A request of `workspace` began to run here.
    pub fn record_start(&mut self, window: u64, workspace: &id::Workspace) {
        let boot = self.boot;
        self.raise(window, workspace, boot, |runs| runs + 1);
        self.windows.retain(|have| have.number + KEPT > window);
    }

    /// Takes the counts that another instance tells; a lower one than before is old.
    pub fn merge_counts(&mut self, boot: u64, counts: &[Count]) {
        for count in counts {
            self.raise(count.window, &count.workspace, boot, |runs| {
                runs.max(count.runs)
            });
        }
    }

    /// All that is known from `window` on.
    #[must_use]
    pub fn snapshot(&self, window: u64) -> Snapshot {
        let windows = || self.windows.iter().filter(|have| have.number >= window);
        let runs = windows().flat_map(|window| window.boots.iter().flat_map(|(_, runs)| runs));
        let mut workspaces: Vec<id::Workspace> = runs.map(|(name, _)| name.clone()).collect();
        workspaces.sort_unstable();
        workspaces.dedup();
        let told = |runs: &Runs| {
            let of = |name: &id::Workspace| find(runs, name).map_or(0, |place| runs[place].1);
            workspaces.iter().map(of).collect()
        };
        let boots = |window: &Window| {
            let boots = window.boots.iter();
            boots.map(|(boot, runs)| (*boot, told(runs))).collect()
        };
        let windows = windows().map(|window| (window.number, boots(window)));
        Snapshot {
            windows: windows.collect(),
            workspaces,
        }
    }

    /// Takes over what another instance knew.
    pub fn restore(&mut self, snapshot: &Snapshot) {
        for (window, boots) in &snapshot.windows {
            for (boot, runs) in boots {
                let told = snapshot.workspaces.iter().zip(runs);
                for (workspace, told) in told.filter(|(_, told)| **told > 0) {
                    self.raise(*window, workspace, *boot, |runs| runs.max(*told));
                }
            }
        }
    }

    /// This instance's own counts from `window` on.
    #[must_use]
    pub fn own(&self, window: u64) -> Vec<Count> {
        let mut counts = Vec::new();
        for have in self.windows.iter().filter(|have| have.number >= window) {
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
        let found = self.windows.iter().find(|have| have.number == window);
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

    fn raise(
        &mut self,
        window: u64,
        workspace: &id::Workspace,
        boot: u64,
        change: impl FnOnce(u64) -> u64,
    ) {
        let found = self
            .windows
            .binary_search_by_key(&window, |have| have.number);
        let place = found.unwrap_or_else(|place| {
            let boots = Vec::new();
            let number = window;
            self.windows.insert(place, Window { number, boots });
            place
        });
        let runs = entry(self.windows[place].runs(boot), workspace);
        *runs = change(*runs);
    }
}

fn find(runs: &Runs, workspace: &id::Workspace) -> Result<usize, usize> {
    runs.binary_search_by(|(have, _)| have.cmp(workspace))
}

/// The runs of a workspace; none if it had none yet.
fn entry<'a>(runs: &'a mut Runs, workspace: &id::Workspace) -> &'a mut u64 {
    let place = find(runs, workspace).unwrap_or_else(|place| {
        runs.insert(place, (workspace.clone(), 0));
        place
    });
    &mut runs[place].1
}
