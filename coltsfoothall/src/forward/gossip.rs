//! What instances tell each other of endpoints: what they have open there, what failed, and
//! which shared parts of prompts they sent there.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::forward::node::{Listing, Load, TOLD};
use crate::forward::roster::{Event, Roster, Run};
use crate::id;
use crate::size::Millis;

/// Something counted at an endpoint since it started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count<T> {
    /// The endpoint.
    pub id: id::Endpoint,
    /// Its start; what is said of another one says nothing of it.
    pub born: Millis,
    /// What was counted.
    pub value: T,
}

/// What another instance told that it has open.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    pub(super) boot: u64,
    rows: Vec<Row>,
}

/// A load that is counted at an endpoint, until its instance tells another one.
#[derive(Debug, Clone)]
struct Row {
    endpoint: id::Endpoint,
    /// Where it is counted: not at what registers under this name later.
    listing: Listing,
    load: Load,
}

/// A shared part that was sent to an endpoint.
#[derive(Debug, Clone)]
pub(super) struct Placed {
    at: Time,
    /// The part, by its chain.
    said: Count<u64>,
}

/// A part that goes to the same endpoint again is told again after this time.
pub(super) const PLACED_AGAIN: Duration = Duration::from_secs(5);
/// Most parts told at once; it stops a flood from filling heartbeats, at about 30 bytes each.
const PLACED: usize = 256;

impl Roster {
    /// What this instance has open at each endpoint where that is not nothing.
    #[must_use]
    pub fn own_loads(&self) -> Vec<Count<Load>> {
        let busy = self.nodes.iter().filter(|node| node.own.open > 0);
        busy.map(|node| node.count(node.own)).collect()
    }

    /// Another instance tells what it has open, endpoints without work left out. Of an
    /// endpoint that started again meanwhile it may be the first to tell.
    pub fn merge_loads(&mut self, now: Time, boot: u64, loads: &[Count<Load>]) -> Vec<Event> {
        let restarted = loads
            .iter()
            .filter_map(|said| self.merge_start(now, &said.id, said.born));
        let restarted = restarted.collect();
        let _had = self.subtract_loads(boot);
        let rows = loads
            .iter()
            .filter_map(|said| self.add_load(said))
            .collect();
        match self.peers.binary_search_by_key(&boot, |peer| peer.boot) {
            Ok(place) => self.peers[place].rows = rows,
            Err(place) => self.peers.insert(place, Peer { boot, rows }),
        }
        restarted
    }

    /// Adds what another instance has open at an endpoint, unless it speaks of another start.
    fn add_load(&mut self, said: &Count<Load>) -> Option<Row> {
        let place = self.place(&said.id).ok()?;
        let node = &mut self.nodes[place];
        if said.born != node.entry.born {
            return None;
        }
        node.others = node.others.plus(said.value);
        Some(Row {
            endpoint: said.id.clone(),
            listing: node.listing,
            load: said.value,
        })
    }

    /// Subtracts what an instance told last. Returns its place, if it told anything.
    fn subtract_loads(&mut self, boot: u64) -> Option<usize> {
        let place = self.peers.binary_search_by_key(&boot, |peer| peer.boot);
        let place = place.ok()?;
        for row in std::mem::take(&mut self.peers[place].rows) {
            let Ok(at) = self.place(&row.endpoint) else {
                continue;
            };
            let node = &mut self.nodes[at];
            if node.listing == row.listing {
                node.others = node.others.minus(row.load);
            }
        }
        Some(place)
    }

    /// Loads that others told and that are held here.
    #[must_use]
    pub fn peer_load_count(&self) -> usize {
        self.peers.iter().map(|peer| peer.rows.len()).sum()
    }

    /// Another instance names the start of an endpoint.
    fn merge_start(&mut self, now: Time, id: &id::Endpoint, born: Millis) -> Option<Event> {
        let place = self.place(id).ok()?;
        let node = &mut self.nodes[place];
        if born <= node.entry.born {
            return None;
        }
        *node = node.reborn(born, self.listings.advance(), now);
        Some(Event::Restarted(id.clone()))
    }

    /// Shared parts were sent to an endpoint, as far as that is news to others.
    pub(super) fn record_placements(&mut self, now: Time, run: &Run, chains: &[u64]) {
        let room = PLACED.saturating_sub(self.placed.len());
        for chain in chains.iter().take(room) {
            let said = Count {
                id: run.endpoint.clone(),
                born: run.born,
                value: *chain,
            };
            self.placed.push(Placed { at: now, said });
        }
    }

    /// Shared parts that were sent from here within `span`, for others to know.
    pub fn placements(&mut self, now: Time, span: Duration) -> Vec<Count<u64>> {
        self.placed.retain(|placed| placed.at >= now - span);
        let said = self.placed.iter().map(|placed| placed.said.clone());
        said.collect()
    }

    /// Another instance tells where it sent shared parts lately.
    pub fn merge_placements(&mut self, now: Time, placed: &[Count<u64>]) {
        for said in placed {
            let Ok(place) = self.place(&said.id) else {
                continue;
            };
            let node = &mut self.nodes[place];
            if node.entry.born == said.born {
                node.remember(said.value, now);
            }
        }
    }

    /// Failures seen here since the boot, where there were any.
    #[must_use]
    pub fn failure_counts(&self) -> Vec<Count<u32>> {
        let failing = self.nodes.iter().filter(|node| node.failed > 0);
        failing.map(|node| node.count(node.failed)).collect()
    }

    /// Another instance tells of the failures that it saw since its boot.
    pub fn merge_failures(&mut self, now: Time, boot: u64, failed: &[Count<u32>]) {
        for said in failed {
            let Ok(place) = self.place(&said.id) else {
                continue;
            };
            let node = &mut self.nodes[place];
            if said.born != node.entry.born {
                continue;
            }
            let count = &said.value;
            let told = node
                .others_failed
                .iter_mut()
                .find(|(have, _)| *have == boot);
            let more = match told {
                Some((_, had)) => {
                    let more = count.saturating_sub(*had);
                    *had = (*had).max(*count);
                    more
                }
                None => {
                    node.others_failed.push((boot, *count));
                    *count
                }
            };
            for _ in 0..more.min(TOLD) {
                node.record_failure(now);
            }
        }
    }

    /// Another instance is gone, and its requests with it.
    pub fn forget(&mut self, boot: u64) {
        if let Some(place) = self.subtract_loads(boot) {
            self.peers.remove(place);
        }
    }
}
