//! Reports about endpoints between instances: open load, failures, and the shared prompt prefixes
//! that were sent to each endpoint.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::forward::node::{Listing, Load, MAX_FAILURES_PER_HEARTBEAT};
use crate::forward::roster::{Event, Roster, Run};
use crate::id;
use crate::size::Millis;

/// A value for an endpoint, valid for one start of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count<T> {
    /// The endpoint.
    pub id: id::Endpoint,
    /// When it started; a report about another start is ignored.
    pub born: Millis,
    /// The reported value.
    pub value: T,
}

/// Another instance and the load that it reported last.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    pub(super) boot: u64,
    rows: Vec<Row>,
}

/// A load that is counted at an endpoint until its instance reports the next one.
#[derive(Debug, Clone)]
struct Row {
    endpoint: id::Endpoint,
    /// Listing that it is counted at, so that it is never subtracted from a later endpoint of the
    /// same name.
    listing: Listing,
    load: Load,
}

/// A shared prefix that was sent to an endpoint.
#[derive(Debug, Clone)]
pub(super) struct Placement {
    at: Time,
    /// Endpoint and chained hash of the prefix.
    count: Count<u64>,
}

/// A prefix that is sent to the same endpoint again is reported again after this time.
pub(super) const PLACEMENT_INTERVAL: Duration = Duration::from_secs(5);
/// Bounds the reported prefixes, at about 30 bytes each, so that a burst does not fill heartbeats.
const MAX_PLACEMENTS: usize = 256;

impl Roster {
    /// Load of this instance at each endpoint where it has open requests.
    #[must_use]
    pub fn own_loads(&self) -> Vec<Count<Load>> {
        let busy = self.nodes.iter().filter(|node| node.own.open > 0);
        busy.map(|node| node.count(node.own)).collect()
    }

    /// Replaces the load that another instance reported before; endpoints without open requests
    /// are left out of a report. The report may be the first sign that an endpoint restarted.
    pub fn merge_loads(&mut self, now: Time, boot: u64, loads: &[Count<Load>]) -> Vec<Event> {
        let restarted = loads
            .iter()
            .filter_map(|count| self.merge_start(now, &count.id, count.born));
        let restarted = restarted.collect();
        let _previous = self.subtract_loads(boot);
        let rows = loads
            .iter()
            .filter_map(|count| self.add_load(count))
            .collect();
        match self.peers.binary_search_by_key(&boot, |peer| peer.boot) {
            Ok(index) => self.peers[index].rows = rows,
            Err(index) => self.peers.insert(index, Peer { boot, rows }),
        }
        restarted
    }

    /// Adds a load that another instance reports, unless it is for another start of the endpoint.
    fn add_load(&mut self, count: &Count<Load>) -> Option<Row> {
        let index = self.index(&count.id).ok()?;
        let node = &mut self.nodes[index];
        if count.born != node.entry.born {
            return None;
        }
        node.others = node.others.plus(count.value);
        Some(Row {
            endpoint: count.id.clone(),
            listing: node.listing,
            load: count.value,
        })
    }

    /// Subtracts the load that an instance reported last. Returns its index, if it reported any.
    fn subtract_loads(&mut self, boot: u64) -> Option<usize> {
        let index = self.peers.binary_search_by_key(&boot, |peer| peer.boot);
        let index = index.ok()?;
        for row in std::mem::take(&mut self.peers[index].rows) {
            let Ok(node) = self.index(&row.endpoint) else {
                continue;
            };
            let node = &mut self.nodes[node];
            if node.listing == row.listing {
                node.others = node.others.minus(row.load);
            }
        }
        Some(index)
    }

    /// Number of loads reported by other instances that are kept here.
    #[must_use]
    pub fn peer_load_count(&self) -> usize {
        self.peers.iter().map(|peer| peer.rows.len()).sum()
    }

    /// Resets an endpoint for which another instance reports a later start.
    fn merge_start(&mut self, now: Time, id: &id::Endpoint, born: Millis) -> Option<Event> {
        let index = self.index(id).ok()?;
        let node = &self.nodes[index];
        if born <= node.entry.born {
            return None;
        }
        let entry = node.restarted(born);
        self.nodes[index] = self.listed(now, entry);
        Some(Event::Restarted(id.clone()))
    }

    /// Records shared prefixes that were sent to an endpoint and have to be reported.
    pub(super) fn record_placements(&mut self, now: Time, run: &Run, chains: &[u64]) {
        let room = MAX_PLACEMENTS.saturating_sub(self.placements.len());
        for chain in chains.iter().take(room) {
            let count = Count {
                id: run.endpoint.clone(),
                born: run.born,
                value: *chain,
            };
            self.placements.push(Placement { at: now, count });
        }
    }

    /// Shared prefixes that this instance sent to endpoints within `span`, to be reported.
    pub fn placements(&mut self, now: Time, span: Duration) -> Vec<Count<u64>> {
        self.placements.retain(|sent| sent.at >= now - span);
        let counts = self.placements.iter().map(|sent| sent.count.clone());
        counts.collect()
    }

    /// Merges the shared prefixes that another instance recently sent to endpoints.
    pub fn merge_placements(&mut self, now: Time, placements: &[Count<u64>]) {
        for count in placements {
            let Ok(index) = self.index(&count.id) else {
                continue;
            };
            let node = &mut self.nodes[index];
            if node.entry.born == count.born {
                node.record_cached(count.value, now);
            }
        }
    }

    /// Failures that this instance has seen since it started, of endpoints that had any.
    #[must_use]
    pub fn failure_counts(&self) -> Vec<Count<u32>> {
        let failing = self.nodes.iter().filter(|node| node.failed > 0);
        failing.map(|node| node.count(node.failed)).collect()
    }

    /// Merges the failures that another instance has seen since it started.
    pub fn merge_failures(&mut self, now: Time, boot: u64, failed: &[Count<u32>]) {
        for report in failed {
            let Ok(index) = self.index(&report.id) else {
                continue;
            };
            let node = &mut self.nodes[index];
            if report.born != node.entry.born {
                continue;
            }
            let count = &report.value;
            let previous = node
                .others_failed
                .iter_mut()
                .find(|(other, _)| *other == boot);
            let more = match previous {
                Some((_, known)) => {
                    let more = count.saturating_sub(*known);
                    *known = (*known).max(*count);
                    more
                }
                None => {
                    node.others_failed.push((boot, *count));
                    *count
                }
            };
            for _ in 0..more.min(MAX_FAILURES_PER_HEARTBEAT) {
                node.record_failure(now);
            }
        }
    }

    /// Removes the load of an instance that is gone.
    pub fn remove_peer(&mut self, boot: u64) {
        if let Some(index) = self.subtract_loads(boot) {
            self.peers.remove(index);
        }
    }
}
