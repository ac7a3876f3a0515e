//! The limits of all known endpoints, and their exchange between instances.

use crate::batch;
use crate::clock::Time;
use crate::forward::gossip::Count;
use crate::forward::limit::{Candidate, Fleet, Limit, Rate, Report, share};
use crate::forward::node::Node;
use crate::forward::peer::Peers;
use crate::forward::role::Role;
use crate::forward::roster::{Roster, Run};
use crate::id;

impl Roster {
    /// Records the limit that the answer to a run named, or that it named none. Returns whether that
    /// is a change.
    pub fn record_limit(&mut self, now: Time, run: &Run, rate: Option<Rate>) -> bool {
        let Some(node) = self.endpoint_of(run) else {
            return false;
        };
        node.limit_invalid = false;
        if node.limit.is_none() && rate.is_none() {
            return false;
        }
        let limit = node.limit.get_or_insert_with(|| Limit::unknown(now));
        limit.record(now, rate)
    }

    /// Records that the answer to a run named a limit that cannot be read. Returns whether the one
    /// before did not.
    pub fn record_invalid_limit(&mut self, run: &Run) -> bool {
        let node = self.endpoint_of(run);
        node.is_some_and(|node| !std::mem::replace(&mut node.limit_invalid, true))
    }

    /// Merges limits that another instance reports. `relayed` if it reports to few others, so that
    /// this instance passes its changes on like its own.
    pub fn merge_limits(&mut self, now: Time, reports: &[Count<Report>], relayed: bool) {
        for report in reports {
            let Ok(index) = self.index(&report.id) else {
                continue;
            };
            let node = &mut self.nodes[index];
            let Report { rate, age } = report.value;
            if node.entry.born != report.born || (node.limit.is_none() && rate.is_none()) {
                continue;
            }
            let limit = node.limit.get_or_insert_with(|| Limit::unknown(now));
            limit.merge(now, now - age.duration(), rate, relayed);
        }
    }

    /// At most `max` limits, for one of a series of messages: mostly those that this instance saw
    /// change. Over the rounds, all are included.
    #[must_use]
    pub fn limit_reports(&self, now: Time, max: usize, round: usize) -> Vec<Count<Report>> {
        let limited = self.nodes.iter().filter(|node| node.limit.is_some());
        let is_own = |node: &&Node| node.limit.as_ref().is_some_and(|limit| limit.is_own(now));
        let (own, known): (Vec<&Node>, Vec<&Node>) = limited.partition(is_own);
        let own = batch::select(&own, max - max / 4, round);
        let known = batch::select(&known, max - own.len(), round);
        let nodes = own.iter().chain(&known);
        nodes
            .filter_map(|node| Some(node.count(node.limit.as_ref()?.report(now))))
            .collect()
    }

    /// Divides the limits between the instances that may send, and forgets those that ended.
    pub fn share_limits(&mut self, now: Time, me: &id::Instance, fleet: &Fleet) {
        for node in &mut self.nodes {
            node.limit = node.limit.filter(|limit| !limit.is_over(now));
            let Some(limit) = &mut node.limit else {
                continue;
            };
            let entry = &node.entry;
            let part = limit
                .rate()
                .map_or(0.0, |rate| share(rate, &entry.id, &entry.domain, me, fleet));
            limit.set_share(now, part);
        }
    }

    /// Whether any endpoint names a limit or is brittle, or did and was so not long ago.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        let named = |node: &Node| node.limit.is_some() || node.brittle.is_some();
        self.nodes.iter().any(named)
    }
}

impl Peers {
    /// The active instances, among which the limits of endpoints are divided; `own` is this one if
    /// it accepts callers.
    #[must_use]
    pub fn limit_fleet(&self, now: Time, own: Option<Candidate>) -> Fleet {
        let known = self.peers.iter().filter(|peer| peer.is_active());
        let heard = known.clone().filter(|peer| self.is_alive(now, peer));
        let ready = heard.clone().filter(|peer| peer.profile.ready);
        let ready = ready.map(|peer| Candidate {
            name: peer.profile.name.clone(),
            domain: peer.profile.domain.clone(),
        });
        Fleet {
            heard: heard.count() + 1,
            known: known.count() + 1,
            candidates: ready
                .chain(own.filter(|_| self.role == Role::Active))
                .collect(),
        }
    }
}
