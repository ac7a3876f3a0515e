//! The leader's part in where streams begin: it assigns the slots of each service to the versions
//! of its endpoints, in proportion to their capacity, and moves as few as possible.
//!
//! A slot moves in two steps. It is announced first, and moves once every instance knows that, or
//! has not been confirmed for so long that it no longer trusts its table. If its version has no
//! endpoint left, it is enough that those which have left serve no more.

use std::time::Duration;

use crate::clock::Time;
use crate::forward::version::{Label, Move, Present, Row, SLOTS, Table};
use crate::id;

/// Bounds of the assignment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// How long instances trust a table that nobody confirms.
    pub trust: Duration,
    /// How long endpoints may serve after they have left.
    pub drain: Duration,
    /// Share by which the slots of a version may differ from its share of the capacity.
    pub tolerance: f64,
    /// Number of slots by which they may differ.
    pub slack: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            trust: Duration::from_secs(6),
            drain: Duration::from_millis(2_500),
            tolerance: 0.3,
            slack: 4,
        }
    }
}

/// A service whose streams may be resumed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// The service.
    pub service: id::Service,
    /// The versions that may begin streams, sorted.
    pub versions: Vec<Present>,
    /// How long a stream may last, over all tries of its caller.
    pub lifetime: Duration,
    /// Whether streams may have begun at any version before there is a row.
    pub settles: bool,
}

/// What keeps slots from telling where their streams began.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Cause {
    /// The row is new, or about to be dropped.
    Settling,
    /// Moves are announced.
    Announced,
    /// A slot had another version.
    Former { slot: u8, version: Label },
}

/// A cause, and since when it holds.
#[derive(Debug, Clone)]
struct Held {
    service: id::Service,
    cause: Cause,
    since: Time,
}

/// Assigns slots to versions.
#[derive(Debug, Clone)]
pub struct Editor {
    settings: Settings,
    table: Table,
    held: Vec<Held>,
}

impl Editor {
    /// Continues from the newest table, whose moves count from now.
    #[must_use]
    pub fn new(now: Time, table: Table, settings: Settings) -> Self {
        let mut editor = Self {
            settings,
            table: Table::default(),
            held: Vec::new(),
        };
        editor.written(now, table);
        editor
    }

    /// The table that was written last.
    #[must_use]
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// The same table under the next generation, for a store that lost changes of it. If those are not
    /// known, the rows of several versions tell nothing until the streams of lost slots have ended.
    #[must_use]
    pub fn reissue(&self, changes_known: bool) -> Table {
        let mut table = self.table.clone();
        table.generation += 1;
        for row in &mut table.rows {
            row.settling |= !changes_known && row.versions.len() > 1;
        }
        table
    }

    /// Records that a table was written.
    pub fn written(&mut self, now: Time, table: Table) {
        let mut held = Vec::new();
        for row in &table.rows {
            let before = self.table.row(&row.service);
            for cause in causes(row) {
                let known = self.held(&row.service, &cause);
                let known = known.filter(|_| !is_new(&cause, row, before));
                held.push(Held {
                    service: row.service.clone(),
                    since: known.map_or(now, |known| known.since),
                    cause,
                });
            }
        }
        self.held = held;
        self.table = table;
    }

    fn held(&self, service: &id::Service, cause: &Cause) -> Option<&Held> {
        let same = |held: &&Held| held.service == *service && held.cause == *cause;
        self.held.iter().find(same)
    }

    /// How long a cause has held.
    fn age(&self, now: Time, service: &id::Service, cause: &Cause) -> Duration {
        let held = self.held(service, cause);
        held.map_or(Duration::ZERO, |held| now.since(held.since))
    }

    /// The next table, if there has to be another. `all_know` tells whether all instances know the
    /// table that was written last.
    #[must_use]
    pub fn next(&self, now: Time, demands: &[Demand], all_know: bool) -> Option<Table> {
        let mut rows: Vec<Row> = Vec::new();
        for demand in demands {
            match self.table.row(&demand.service) {
                Some(row) => rows.push(self.advance(now, row, demand, all_know)),
                None => rows.extend(create(demand)),
            }
        }
        let is_left = |row: &&Row| demands.iter().all(|demand| demand.service != row.service);
        let left = self.table.rows.iter().filter(is_left);
        rows.extend(left.filter_map(|row| self.leave(now, row, all_know)));
        rows.sort_unstable_by(|a, b| a.service.cmp(&b.service));
        let changed = rows != self.table.rows;
        changed.then(|| Table {
            generation: self.table.generation + 1,
            rows,
        })
    }

    /// The row of a service whose streams are about to begin at any version; none once every
    /// instance knows that the row does not tell where they began.
    fn leave(&self, now: Time, row: &Row, all_know: bool) -> Option<Row> {
        if !row.settling {
            return Some(Row {
                settling: true,
                announced: Vec::new(),
                ..row.clone()
            });
        }
        let known =
            all_know || self.age(now, &row.service, &Cause::Settling) >= self.settings.trust;
        (!known).then(|| row.clone())
    }

    fn advance(&self, now: Time, row: &Row, demand: &Demand, all_know: bool) -> Row {
        if demand.versions.iter().all(|one| one.capacity == 0) {
            return row.clone();
        }
        let mut next = row.clone();
        let hold = self.settings.trust + demand.lifetime;
        if row.settling {
            next.settling = self.age(now, &row.service, &Cause::Settling) < hold;
        }
        let found = index_versions(&mut next, demand);
        let capacities: Vec<u32> = found.iter().map(|one| one.unwrap_or_default()).collect();
        let announced_for = self.age(now, &row.service, &Cause::Announced);
        apply_announced(&mut next, &capacities, |from| {
            let wait = match found[from] {
                Some(_) => self.settings.trust,
                None => self.settings.drain,
            };
            all_know || announced_for >= wait
        });
        self.announce(&mut next, &found, &capacities);
        self.forget(now, row, &mut next, hold);
        next
    }

    /// Announces moves if the slots of a version differ too much from its share of the capacity, or
    /// if it has no endpoint. Other moves wait until none is announced.
    fn announce(&self, row: &mut Row, found: &[Option<u32>], capacities: &[u32]) {
        let targets = targets(capacities);
        let mut counts = counts(row, targets.len());
        let differs = targets.iter().zip(&counts).any(|(target, count)| {
            let allowed = (*target as f64 * self.settings.tolerance) as usize;
            (*count == 0) != (*target == 0)
                || count.abs_diff(*target) > allowed.max(self.settings.slack)
        });
        let rebalances = row.announced.is_empty() && differs;
        for slot in 0..SLOTS as u8 {
            let from = usize::from(row.slots[usize::from(slot)]);
            let leaves = found[from].is_none() || (rebalances && counts[from] > targets[from]);
            if !leaves || row.announced.iter().any(|one| one.slot == slot) {
                continue;
            }
            let Some(to) = neediest(&counts, &targets) else {
                return;
            };
            counts[from] -= 1;
            counts[to] += 1;
            row.announced.push(Move {
                slot,
                version: to as u8,
            });
        }
    }

    /// Forgets former versions that no stream of can last, all of a row at once to save writes.
    fn forget(&self, now: Time, row: &Row, next: &mut Row, hold: Duration) {
        let is_old = |one: &Move| {
            let cause = former(next, *one);
            row.former.contains(one) && self.age(now, &row.service, &cause) >= hold
        };
        let kept: Vec<Move> = next
            .former
            .iter()
            .filter(|one| !is_old(one))
            .copied()
            .collect();
        let changed = next.slots != row.slots || next.announced != row.announced;
        if kept.is_empty() || changed {
            next.former = kept;
        }
        drop_unused(next);
    }
}

/// What keeps the slots of a row from telling.
fn causes(row: &Row) -> Vec<Cause> {
    let mut causes: Vec<Cause> = row.former.iter().map(|one| former(row, *one)).collect();
    if row.settling {
        causes.push(Cause::Settling);
    }
    if !row.announced.is_empty() {
        causes.push(Cause::Announced);
    }
    causes
}

fn former(row: &Row, one: Move) -> Cause {
    Cause::Former {
        slot: one.slot,
        version: row.versions[usize::from(one.version)].clone(),
    }
}

/// Whether a cause holds anew since the row before: further moves are announced, or a slot has moved
/// away from the same version again.
fn is_new(cause: &Cause, row: &Row, before: Option<&Row>) -> bool {
    let Some(before) = before else {
        return true;
    };
    match cause {
        Cause::Settling => false,
        Cause::Announced => {
            let told: Vec<(u8, &Label)> = moves(before).collect();
            moves(row).any(|one| !told.contains(&one))
        }
        Cause::Former { slot, version } => before.version_of(*slot) == version,
    }
}

/// The slots that are announced to move, and where to.
fn moves(row: &Row) -> impl Iterator<Item = (u8, &Label)> {
    let announced = row.announced.iter();
    announced.map(|one| (one.slot, &row.versions[usize::from(one.version)]))
}

/// The first row of a service.
fn create(demand: &Demand) -> Option<Row> {
    let capacities = demand.versions.iter().map(|one| one.capacity.max(1));
    let targets = targets(&capacities.collect::<Vec<u32>>());
    let mut slots = Vec::with_capacity(SLOTS);
    for (version, target) in targets.iter().enumerate() {
        slots.extend(std::iter::repeat_n(version as u8, *target));
    }
    (slots.len() == SLOTS).then(|| Row {
        service: demand.service.clone(),
        versions: demand
            .versions
            .iter()
            .map(|one| one.version.clone())
            .collect(),
        slots,
        announced: Vec::new(),
        former: Vec::new(),
        settling: demand.settles || demand.versions.len() > 1,
    })
}

/// Adds the versions of a demand to a row, and returns the capacity of each version of the row;
/// none if it has no endpoint.
fn index_versions(row: &mut Row, demand: &Demand) -> Vec<Option<u32>> {
    for one in &demand.versions {
        if !row.versions.contains(&one.version) {
            row.versions.push(one.version.clone());
        }
    }
    let capacity = |version: &Label| {
        let found = demand.versions.iter().find(|one| one.version == *version);
        found.map(|present| present.capacity)
    };
    row.versions.iter().map(capacity).collect()
}

/// Number of slots of each version, in proportion to its capacity, and one at least if it has any.
fn targets(capacities: &[u32]) -> Vec<usize> {
    let all: u64 = capacities.iter().map(|many| u64::from(*many)).sum();
    if all == 0 {
        return vec![0; capacities.len()];
    }
    let exact = |many: u32| f64::from(many) * SLOTS as f64 / all as f64;
    let mut targets: Vec<usize> = capacities
        .iter()
        .map(|many| (exact(*many) as usize).max(usize::from(*many > 0)))
        .collect();
    loop {
        let given: usize = targets.iter().sum();
        if given == SLOTS {
            return targets;
        }
        let excess = |index: &usize| targets[*index] as f64 - exact(capacities[*index]);
        let open = (0..targets.len()).filter(|index| capacities[*index] > 0);
        let by_excess = |a: &usize, b: &usize| excess(a).total_cmp(&excess(b));
        let changed = if given < SLOTS {
            open.min_by(by_excess)
        } else {
            open.filter(|index| targets[*index] > 1).max_by(by_excess)
        };
        match changed {
            Some(index) if given < SLOTS => targets[index] += 1,
            Some(index) => targets[index] -= 1,
            // More versions than slots.
            None => return targets,
        }
    }
}

/// The version that lacks most slots.
fn neediest(counts: &[usize], targets: &[usize]) -> Option<usize> {
    let lack = |index: &usize| targets[*index].saturating_sub(counts[*index]);
    let most = (0..targets.len()).max_by_key(lack)?;
    (lack(&most) > 0).then_some(most)
}

/// Slots of each version once the announced moves are done.
fn counts(row: &Row, versions: usize) -> Vec<usize> {
    let mut counts: Vec<usize> = (0..versions).map(|version| row.count(version)).collect();
    for one in &row.announced {
        counts[usize::from(row.slots[usize::from(one.slot)])] -= 1;
        counts[usize::from(one.version)] += 1;
    }
    counts
}

/// Moves the announced slots whose version may be left, unless the new one has no endpoint in reach
/// any more.
fn apply_announced(row: &mut Row, capacities: &[u32], may_leave: impl Fn(usize) -> bool) {
    let announced = std::mem::take(&mut row.announced);
    for one in announced {
        let from = usize::from(row.slots[usize::from(one.slot)]);
        if !may_leave(from) {
            row.announced.push(one);
        } else if capacities[usize::from(one.version)] > 0 {
            move_slot(row, one);
        }
    }
}

fn move_slot(row: &mut Row, one: Move) {
    let slot = usize::from(one.slot);
    let earlier = Move {
        version: row.slots[slot],
        ..one
    };
    row.slots[slot] = one.version;
    if let Err(index) = row.former.binary_search(&earlier) {
        row.former.insert(index, earlier);
    }
}

/// Removes the versions that a row names no more.
fn drop_unused(row: &mut Row) {
    let moves = || row.announced.iter().chain(&row.former);
    let is_used = |version: usize| {
        row.count(version) > 0 || moves().any(|one| usize::from(one.version) == version)
    };
    let used: Vec<bool> = (0..row.versions.len()).map(is_used).collect();
    let renamed = |version: u8| {
        let before = &used[..usize::from(version)];
        before.iter().filter(|used| **used).count() as u8
    };
    for slot in &mut row.slots {
        *slot = renamed(*slot);
    }
    for one in row.announced.iter_mut().chain(&mut row.former) {
        one.version = renamed(one.version);
    }
    let mut used = used.iter();
    row.versions
        .retain(|_| used.next().copied().unwrap_or(true));
    row.announced.sort_unstable();
    row.former.sort_unstable();
}
