//! Endpoints that fall over if they have to reject too many requests.
//!
//! A brittle endpoint names in its answers the rejections a second that it stands from all instances
//! together. Whether it has room is known only from loads that are up to a round of heartbeats old,
//! so each request to an endpoint that may be full is a *risk* until the endpoint accepts or rejects
//! it. As with limits, few instances may take risks, and each has an allowance of its own: it has no
//! more requests at risk than rejections left.
//!
//! Let the bound be N rejections a second. At most max(1, N/2) instances have an allowance. Each
//! saves up to N/2 divided by their number, at least one, and gains half of N divided by their number
//! in a second, so that all together cause at most N rejections in any second.

use std::time::Duration;

use crate::batch;
use crate::clock::Time;
use crate::forward::gossip::Count;
use crate::forward::limit::{Fleet, Limit, Rate, Report, count_senders, is_sender};
use crate::forward::node::Node;
use crate::forward::roster::{Roster, Run};
use crate::id;

/// Time after a rejection in which this instance sends nothing more without an allowance.
const WARY_PERIOD: Duration = Duration::from_secs(1);

/// The rejections that a brittle endpoint stands, and the part of them that is left to this
/// instance.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bound {
    /// What is known of the endpoint's answers.
    known: Limit,
    /// Rejections a second that this instance may cause.
    share: f64,
    /// Rejections that it may cause now, as of `updated`.
    level: f64,
    updated: Time,
    /// Requests of this instance that the endpoint has neither accepted nor rejected.
    at_risk: u32,
    /// When the endpoint last rejected a request of this instance.
    rejected_at: Option<Time>,
    /// Number of instances that may send to the endpoint.
    instances: usize,
}

impl Bound {
    fn unknown(now: Time) -> Self {
        Self {
            known: Limit::unknown(now),
            share: 0.0,
            level: 0.0,
            updated: now,
            at_risk: 0,
            rejected_at: None,
            instances: usize::MAX,
        }
    }

    /// Whether the endpoint is brittle.
    pub(super) fn is_brittle(&self) -> bool {
        self.known.rate().is_some()
    }

    /// Whether this instance may send a request to the endpoint, which has `open` of `slots` taken.
    pub(super) fn allows(&self, now: Time, open: u32, slots: u32) -> bool {
        !self.is_brittle()
            || self.has_room(now, open, slots)
            || self.level(now) >= f64::from(self.at_risk) + 1.0
    }

    /// Whether there is room even if half of the instances sent a request at once.
    fn has_room(&self, now: Time, open: u32, slots: u32) -> bool {
        let wary = self
            .rejected_at
            .is_some_and(|rejected_at| now.since(rejected_at) < WARY_PERIOD);
        let room = slots.saturating_sub(open.saturating_add(self.at_risk));
        !wary && (room as usize).saturating_mul(2) >= self.instances
    }

    pub(super) fn begin(&mut self) {
        self.at_risk += 1;
    }

    /// Ends the risk of a request.
    pub(super) fn settle(&mut self, now: Time, rejected: bool) {
        self.at_risk = self.at_risk.saturating_sub(1);
        if rejected {
            self.level = self.level(now) - 1.0;
            self.updated = now;
            self.rejected_at = Some(now);
        }
    }

    fn set_share(&mut self, now: Time, share: f64, instances: usize) {
        // A new holder of an allowance begins with nothing saved.
        self.level = if self.share > 0.0 {
            self.level(now)
        } else {
            0.0
        };
        self.updated = now;
        self.share = share;
        self.instances = instances;
    }

    fn level(&self, now: Time) -> f64 {
        let gained = self.share * now.since(self.updated).as_secs_f64();
        (self.level + gained).min(self.share.max(1.0))
    }
}

/// Rejections a second that the instance `me` may cause at an endpoint.
fn share(bound: Rate, node: &Node, me: &id::Instance, fleet: &Fleet) -> f64 {
    let half = bound.per_second() / 2.0;
    if fleet.is_cut_off() {
        return half / fleet.known as f64;
    }
    let senders = count_senders(half, fleet);
    let entry = &node.entry;
    if is_sender(senders, &entry.id, &entry.domain, me, fleet) {
        half / senders as f64
    } else {
        0.0
    }
}

impl Roster {
    /// Records the rejections that the answer to a run says its endpoint stands, none if it says
    /// nothing of it, and whether the endpoint rejected the run. Returns whether the bound is a
    /// change.
    pub fn record_brittle(
        &mut self,
        now: Time,
        run: &mut Run,
        bound: Option<Rate>,
        rejected: bool,
    ) -> bool {
        self.settle(now, run, rejected);
        run.at_risk = false;
        let Some(node) = self.endpoint_of(run) else {
            return false;
        };
        if node.brittle.is_none() && bound.is_none() {
            return false;
        }
        let brittle = node.brittle.get_or_insert_with(|| Bound::unknown(now));
        brittle.known.record(now, bound)
    }

    /// Ends the risk of a run.
    pub(super) fn settle(&mut self, now: Time, run: &Run, rejected: bool) {
        if !run.at_risk {
            return;
        }
        if let Some(brittle) = self.endpoint_of(run).and_then(|node| node.brittle.as_mut()) {
            brittle.settle(now, rejected);
        }
    }

    /// Merges the bounds that another instance reports. `relayed` if it reports to few others.
    pub fn merge_brittle(&mut self, now: Time, reports: &[Count<Report>], relayed: bool) {
        for report in reports {
            let Ok(index) = self.index(&report.id) else {
                continue;
            };
            let node = &mut self.nodes[index];
            let Report { rate, age } = report.value;
            if node.entry.born != report.born || (node.brittle.is_none() && rate.is_none()) {
                continue;
            }
            let brittle = node.brittle.get_or_insert_with(|| Bound::unknown(now));
            let as_of = now - age.duration();
            brittle.known.merge(now, as_of, rate, relayed);
        }
    }

    /// At most `max` bounds, for one of a series of messages: those first that this instance saw
    /// change. Over the rounds, all are included.
    #[must_use]
    pub fn brittle_reports(&self, now: Time, max: usize, round: usize) -> Vec<Count<Report>> {
        let brittle = self.nodes.iter().filter_map(|node| {
            let known = node.brittle.as_ref()?.known;
            Some((known.is_own(now), node.count(known.report(now))))
        });
        let (own, others): (Vec<_>, Vec<_>) = brittle.partition(|(own, _)| *own);
        let own = batch::select(&own, max - max / 4, round);
        let others = batch::select(&others, max - own.len(), round);
        let all = own.into_iter().chain(others);
        all.map(|(_, count)| count).collect()
    }

    /// Divides the bounds between the instances, and forgets those that ended.
    pub fn share_brittle(&mut self, now: Time, me: &id::Instance, fleet: &Fleet) {
        for node in &mut self.nodes {
            let Some(brittle) = &node.brittle else {
                continue;
            };
            if brittle.known.is_over(now) {
                node.brittle = None;
                continue;
            }
            let bound = brittle.known.rate();
            let share = bound.map_or(0.0, |bound| share(bound, node, me, fleet));
            if let Some(brittle) = &mut node.brittle {
                brittle.set_share(now, share, fleet.candidates.len().max(fleet.known));
            }
        }
    }
}
