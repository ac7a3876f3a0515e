//! What an instance knows of the versions that began streams: the table of all instances, and the
//! streams that it, or another instance that told it, has begun.

use std::cmp::Reverse;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::forward::version::{Binding, Label, Present, Row, Table};
use crate::id;
use crate::size::Millis;

/// Bounds of what is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// How long the table is trusted after a leader was last known to have no newer one.
    pub trust: Duration,
    /// How long the beginning of a stream is remembered.
    pub retention: Duration,
    /// Maximum number of beginnings that are remembered, at about 100 bytes each.
    pub max_starts: usize,
    /// How long a new table is sent to others in each heartbeat.
    pub spread_period: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            trust: Duration::from_secs(6),
            retention: Duration::from_secs(60),
            max_starts: 8_192,
            spread_period: Duration::from_millis(1_500),
        }
    }
}

/// The service of a request as this instance sees it.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The service.
    pub service: &'a id::Service,
    /// Versions of its endpoints, sorted.
    pub present: &'a [Present],
    /// Whether there is an order to upgrade it, complete or not.
    pub upgraded: bool,
    /// Whether all members are heard, so that none can have a newer table.
    pub covered: bool,
}

/// The version that began a stream, as one instance tells others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// Hash of the id of the request that began it.
    pub hash: u64,
    /// The service.
    pub service: id::Service,
    /// The version.
    pub version: Label,
}

/// Streams that one version of a service began, in the form that is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// The service.
    pub service: id::Service,
    /// The version.
    pub version: Label,
    /// Hashes of the ids of the requests that began them, sorted.
    pub hashes: Vec<u64>,
}

/// What an instance tells others in a heartbeat.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Generation of its table; none before it knows whether there is one.
    pub generation: Option<u64>,
    /// How long ago a leader had no newer one.
    pub confirmed: Option<Millis>,
    /// The table, while others may lack it.
    pub table: Option<Table>,
    /// Streams that began where the table does not tell.
    pub starts: Vec<Told>,
}

/// The version that began a stream.
#[derive(Debug, Clone)]
struct Start {
    told: Told,
    at: Time,
    /// When others have to be told, as the table does not tell.
    tell_at: Option<Time>,
}

/// What an instance knows of the versions that began streams.
#[derive(Debug, Clone)]
pub struct Tracker {
    settings: Settings,
    table: Table,
    /// Whether it is known which table there is, if any, and that none of its changes is lost.
    known: bool,
    /// The newest generation that is known to exist.
    newest: u64,
    /// When a leader last had no newer table than this instance.
    confirmed_at: Option<Time>,
    /// Until when the table is sent in each heartbeat.
    spread_until: Time,
    /// When this instance last may have missed what others told of beginnings.
    missed_at: Option<Time>,
    /// Sorted by hash.
    starts: Vec<Start>,
}

impl Tracker {
    /// Creates the state of an instance that knows nothing.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            table: Table::default(),
            known: false,
            newest: 0,
            confirmed_at: None,
            spread_until: Time::START,
            missed_at: None,
            starts: Vec::new(),
        }
    }

    /// The newest table that is known.
    #[must_use]
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Whether it is known which table there is.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Applies a table that the store held at the time `at`, or none if it held none. Returns
    /// whether it is newer than the one known.
    pub fn apply(&mut self, now: Time, at: Time, table: Option<Table>) -> bool {
        self.known = true;
        let table = table.unwrap_or_default();
        if !table.is_valid() || table.generation < self.table.generation {
            return false;
        }
        self.confirmed_at = self.confirmed_at.max(Some(at));
        self.adopt(now, table)
    }

    /// Applies a table that the store lost changes of when it was restored from an older copy: slots may
    /// have moved since. It tells where streams begin, but not where they began, until a leader or
    /// another instance confirms it. Returns whether it is newer than the one known.
    pub fn apply_outdated(&mut self, now: Time, table: Table) -> bool {
        let adopted = table.is_valid() && self.adopt(now, table);
        self.known &= !adopted;
        adopted
    }

    /// Sends the table to others for a time, as one lacks it.
    fn spread(&mut self, now: Time) {
        self.spread_until = self.spread_until.max(now + self.settings.spread_period);
    }

    fn adopt(&mut self, now: Time, table: Table) -> bool {
        if table.generation <= self.table.generation {
            return false;
        }
        self.newest = self.newest.max(table.generation);
        self.table = table;
        self.spread(now);
        for start in &mut self.starts {
            let row = self.table.row(&start.told.service);
            let tells = row.and_then(|row| row.began(start.told.hash)).is_some();
            if !tells && start.tell_at.is_none() {
                start.tell_at = Some(now);
            }
        }
        true
    }

    /// Records that this instance may have missed what others told, as it stood still or was cut off:
    /// beginnings, endpoints, and a table that left a version without endpoints. Its own table counts
    /// again once it hears all members or that a leader has no newer one.
    pub fn missed(&mut self, now: Time) {
        self.missed_at = Some(now);
        self.confirmed_at = None;
    }

    /// Records that this machine was suspended, which its clock did not count.
    pub fn suspended(&mut self, uncounted: Duration) {
        self.confirmed_at = self.confirmed_at.map(|at| at - uncounted);
    }

    /// Records that this instance leads: nobody else writes a newer table.
    pub fn confirm(&mut self, now: Time) {
        self.confirmed_at = Some(now);
    }

    /// Whether no newer table can be in force anywhere.
    fn is_current(&self, now: Time, covered: bool) -> bool {
        let trusted = |at| now.since(at) <= self.settings.trust;
        self.newest <= self.table.generation && (covered || self.confirmed_at.is_some_and(trusted))
    }

    /// Where a new stream begins.
    #[must_use]
    pub fn begin(&self, now: Time, hash: u64, view: View<'_>) -> Binding {
        let Some(row) = self.table.row(view.service) else {
            let current = self.is_known() && self.is_current(now, view.covered);
            return if current || (view.present.len() <= 1 && self.is_first(view)) {
                Binding::Free
            } else {
                Binding::Unknown
            };
        };
        if self.is_current(now, view.covered) || is_single(row, view.present) {
            Binding::Only(row.begins(hash).clone())
        } else {
            Binding::Unknown
        }
    }

    /// Where a stream goes on that a caller takes up. `hash` is that of the id of the request that
    /// began it, if the caller names it.
    #[must_use]
    pub fn resume(&self, now: Time, hash: Option<u64>, view: View<'_>) -> Binding {
        if let Some(start) = hash.and_then(|hash| self.start(hash)) {
            return if start.told.service == *view.service {
                Binding::Only(start.told.version.clone())
            } else {
                Binding::Unknown
            };
        }
        let current = self.is_current(now, view.covered);
        let known = match self.table.row(view.service) {
            None => self.only_present(now, view),
            Some(row) if is_single(row, view.present) => row.only().filter(|_| current),
            Some(row) => {
                let began = hash.and_then(|hash| row.began(hash));
                let current = current && self.is_known();
                began.filter(|version| current && self.has_stayed(version, view))
            }
        };
        known.map_or(Binding::Unknown, |version| Binding::Only(version.clone()))
    }

    /// Whether a leader had no newer table since a version was absent last: its slots are given to
    /// others at once, and it may come back.
    fn has_stayed(&self, version: &Label, view: View<'_>) -> bool {
        let present = view.present.iter().find(|one| one.version == *version);
        let since = present.map(|present| present.since);
        view.covered || since.is_none() || self.confirmed_at >= since
    }

    /// The version of a service that has no row, if no other can have begun a stream. Others may have
    /// begun some at a version that came and replaced it while this instance missed both.
    fn only_present<'a>(&self, now: Time, view: View<'a>) -> Option<&'a Label> {
        let retained = |at| now.since(at) <= self.settings.retention;
        match view.present {
            _ if self.missed_at.is_some_and(retained) => None,
            [only] if self.is_known() && self.is_first(view) => Some(&only.version),
            _ => None,
        }
    }

    /// Whether no other version than those present can have begun a stream, as far as is known. A row
    /// that an upgrade took away says nothing: versions that began streams may have left, and others may
    /// have come.
    fn is_first(&self, view: View<'_>) -> bool {
        self.newest == 0 && !view.upgraded
    }

    /// Records the version that sent the first event of a stream.
    pub fn record_start(&mut self, now: Time, hash: u64, service: &id::Service, version: &Label) {
        let row = self.table.row(service);
        let tells = row.and_then(|row| row.began(hash)) == Some(version);
        let told = Told {
            hash,
            service: service.clone(),
            version: version.clone(),
        };
        self.insert(Start {
            told,
            at: now,
            tell_at: (!tells).then_some(now),
        });
    }

    fn insert(&mut self, start: Start) {
        if self.starts.len() >= self.settings.max_starts {
            self.forget(start.at);
        }
        let hash = start.told.hash;
        match self
            .starts
            .binary_search_by_key(&hash, |start| start.told.hash)
        {
            Ok(index) => {
                // A caller may use an id again; the newest stream counts.
                let tell_at = self.starts[index].tell_at.max(start.tell_at);
                self.starts[index] = Start { tell_at, ..start };
            }
            Err(index) => self.starts.insert(index, start),
        }
    }

    /// Removes the beginnings that are old, and the oldest half of them if all are recent.
    fn forget(&mut self, now: Time) {
        let oldest = now - self.settings.retention;
        self.starts.retain(|start| start.at >= oldest);
        if self.starts.len() < self.settings.max_starts {
            return;
        }
        let mut times: Vec<Time> = self.starts.iter().map(|start| start.at).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.starts.retain(|start| start.at > median);
    }

    fn start(&self, hash: u64) -> Option<&Start> {
        let index = self
            .starts
            .binary_search_by_key(&hash, |start| start.told.hash);
        index.ok().map(|index| &self.starts[index])
    }

    /// The streams that began within `max_age` and whose version the table does not tell: the `max`
    /// newest of them, sorted by service and version.
    #[must_use]
    pub fn untold(&self, now: Time, max_age: Duration, max: usize) -> Vec<Group> {
        let oldest = now - max_age;
        let is_untold = |start: &&Start| {
            let row = self.table.row(&start.told.service);
            let told = row.and_then(|row| row.began(start.told.hash));
            start.at >= oldest && told != Some(&start.told.version)
        };
        let mut starts: Vec<&Start> = self.starts.iter().filter(is_untold).collect();
        starts.sort_unstable_by_key(|start| Reverse(start.at));
        starts.truncate(max);
        group(&starts)
    }

    /// Adds the streams that an earlier leader stored, as if they had begun now.
    pub fn restore(&mut self, now: Time, groups: Vec<Group>) {
        for group in groups {
            for hash in group.hashes {
                if self.start(hash).is_some() {
                    continue;
                }
                let told = Told {
                    hash,
                    service: group.service.clone(),
                    version: group.version.clone(),
                };
                self.insert(Start {
                    told,
                    at: now,
                    tell_at: None,
                });
            }
        }
    }

    /// What others are told: the table, if it is new or `whole` is set, and the streams for which it
    /// has not told the version since a time within `span`. Of these, the `rows` newest are told.
    pub fn report(&mut self, now: Time, span: Duration, rows: usize, whole: bool) -> Report {
        let oldest = now - self.settings.retention;
        self.starts.retain(|start| start.at >= oldest);
        let is_due = |start: &&Start| start.tell_at.is_some_and(|at| at >= now - span);
        let mut due: Vec<&Start> = self.starts.iter().filter(is_due).collect();
        due.sort_unstable_by_key(|start| Reverse(start.at));
        let spread = self.table.generation > 0 && (whole || now < self.spread_until);
        Report {
            generation: self.is_known().then_some(self.table.generation),
            confirmed: self.confirmed_at.map(|at| Millis::from(now.since(at))),
            table: spread.then(|| self.table.clone()),
            starts: due
                .iter()
                .take(rows)
                .map(|start| start.told.clone())
                .collect(),
        }
    }

    /// Merges what another instance tells. Returns whether it told a newer table.
    pub fn merge(&mut self, now: Time, report: Report) -> bool {
        let Some(generation) = report.generation else {
            self.spread(now);
            return false;
        };
        self.newest = self.newest.max(generation);
        let table = report.table.filter(Table::is_valid);
        let adopted = table.is_some_and(|table| self.adopt(now, table));
        if self.table.generation == generation {
            self.known = true;
            let confirmed = report.confirmed.map(|age| now - age.duration());
            self.confirmed_at = self.confirmed_at.max(confirmed);
        } else if self.table.generation > generation {
            self.spread(now);
        }
        for told in report.starts {
            self.insert(Start {
                told,
                at: now,
                tell_at: None,
            });
        }
        adopted
    }
}

/// Groups streams by service and version, sorted.
fn group(starts: &[&Start]) -> Vec<Group> {
    let mut groups: Vec<Group> = Vec::new();
    for Start { told, .. } in starts {
        let key = (&told.service, &told.version);
        match groups.binary_search_by(|group| (&group.service, &group.version).cmp(&key)) {
            Ok(index) => groups[index].hashes.push(told.hash),
            Err(index) => groups.insert(
                index,
                Group {
                    service: told.service.clone(),
                    version: told.version.clone(),
                    hashes: vec![told.hash],
                },
            ),
        }
    }
    for group in &mut groups {
        group.hashes.sort_unstable();
    }
    groups
}

/// Whether no version but that of a row is known.
fn is_single(row: &Row, present: &[Present]) -> bool {
    row.only()
        .is_some_and(|only| present.iter().all(|present| present.version == *only))
}
