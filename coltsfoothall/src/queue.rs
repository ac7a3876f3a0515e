//! The requests that wait for one service, and the work that is open there.
//!
//! The queue implements start-time fair queueing: each workspace has a tag that increases
//! by the work it has started, divided by its share. The workspace with the lowest tag is
//! served next.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;
use crate::id;
use crate::limit::{Number, Settings};
use crate::meter::Meter;
use crate::record::Class;
use crate::size::Tokens;

/// Minimum time between two searches for waiting requests that cannot meet their deadline;
/// it bounds the cost of a poll when the queue is long.
const REVIEW_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which a service is assumed to serve its whole budget before its rate has been
/// measured.
const INITIAL_SERVICE_TIME: Duration = Duration::from_secs(2);
/// Limits how many times slower than the initial estimate a service is assumed to be.
const MAX_SLOWDOWN: f64 = 16.0;
/// When a request starts, it counts as at most the budget divided by this number, so that a
/// long prompt does not wait for an idle service.
const MAX_COST_DIVISOR: u64 = 4;
/// Scale of the tags, so that dividing by a share does not lose precision.
const TAG_SCALE: u64 = 1 << 16;

/// A waiting request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiting {
    pub(crate) number: Number,
    /// Latest useful start time.
    pub(crate) deadline: Time,
    pub(crate) cost: Tokens,
}

/// The waiting and open work of one workspace at a service.
#[derive(Debug)]
struct Flow {
    workspace: id::Workspace,
    share: u64,
    /// Work that is open now.
    used: u64,
    /// Moving average of the open work.
    mean: f64,
    /// Tags by class.
    tags: [u64; 2],
    waiting: [VecDeque<Waiting>; 2],
    /// Waiting work by class.
    queued: [u64; 2],
}

/// The waiting and open work of one service.
#[derive(Debug)]
pub(crate) struct Queue {
    pub(crate) service: id::Service,
    pub(crate) budget: u64,
    flows: Vec<Flow>,
    used: u64,
    batch_used: u64,
    /// Tags of the requests that were started last, by class.
    clock: [u64; 2],
    /// Work to which batch is entitled.
    credit: u64,
    waiting: usize,
    meter: Meter,
    reviewed: Time,
    updated: Time,
}

/// A request that starts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Start {
    pub(crate) number: Number,
    /// Work that it holds while it is open.
    pub(crate) held: Tokens,
}

impl Queue {
    pub(crate) fn new(service: id::Service) -> Self {
        Self {
            service,
            budget: 0,
            flows: Vec::new(),
            used: 0,
            batch_used: 0,
            clock: [0; 2],
            credit: 0,
            waiting: 0,
            meter: Meter::default(),
            reviewed: Time::START,
            updated: Time::START,
        }
    }

    /// Number of waiting requests.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting
    }

    /// Number of waiting requests of a workspace.
    pub(crate) fn waiting_of(&self, workspace: &id::Workspace) -> usize {
        self.flow(workspace)
            .map_or(0, |flow| flow.waiting.iter().map(VecDeque::len).sum())
    }

    /// Removes idle workspaces and resets the shares of the others so that they can be set
    /// again. The open work of a workspace is kept.
    pub(crate) fn clear_shares(&mut self) {
        self.flows.retain(|flow| flow.used > 0 || !flow.idle());
        for flow in &mut self.flows {
            flow.share = 1;
        }
    }

    /// Sets a workspace's share.
    pub(crate) fn set_share(&mut self, workspace: &id::Workspace, share: u32) {
        self.flow_mut(workspace).share = u64::from(share.max(1));
    }

    /// Expected wait of a new request of this workspace and class.
    pub(crate) fn wait(&self, workspace: &id::Workspace, class: Class) -> Duration {
        let queued = self
            .flow(workspace)
            .map_or(0, |flow| flow.queued[class_index(class)]);
        self.service_time(workspace, class, queued)
    }

    pub(crate) fn push(&mut self, workspace: &id::Workspace, class: Class, waiting: Waiting) {
        let flow = self.flow_mut(workspace);
        flow.queued[class_index(class)] += waiting.cost.0;
        flow.waiting[class_index(class)].push_back(waiting);
        self.waiting += 1;
    }

    /// Removes a waiting request; `None` if it is not waiting.
    pub(crate) fn withdraw(
        &mut self,
        workspace: &id::Workspace,
        class: Class,
        number: Number,
    ) -> Option<Waiting> {
        let flow = self.flow_mut(workspace);
        let queue = &mut flow.waiting[class_index(class)];
        let index = queue.iter().position(|other| other.number == number)?;
        let waiting = queue.remove(index)?;
        flow.queued[class_index(class)] -= waiting.cost.0;
        self.waiting -= 1;
        Some(waiting)
    }

    /// Releases open work.
    pub(crate) fn release(&mut self, workspace: &id::Workspace, class: Class, work: Tokens) {
        let flow = self.flow_mut(workspace);
        flow.used = flow.used.saturating_sub(work.0);
        self.used = self.used.saturating_sub(work.0);
        if class == Class::Batch {
            self.batch_used = self.batch_used.saturating_sub(work.0);
        }
        self.meter.served(work);
    }

    /// Starts as many waiting requests as the budget allows.
    pub(crate) fn pump(&mut self, now: Time, settings: &Settings, ready: &mut Vec<Start>) {
        self.update(now, settings);
        while let Some(start) = self.next(settings) {
            ready.push(start);
        }
        let window = settings.window.duration();
        self.meter.update(now, self.waiting > 0, window);
    }

    /// Updates the moving averages.
    fn update(&mut self, now: Time, settings: &Settings) {
        let span = now.since(self.updated).as_secs_f64();
        let window = settings.window.duration().as_secs_f64().max(1e-3);
        let share = 1.0 - (-span / window).exp();
        for flow in &mut self.flows {
            flow.mean += (flow.used as f64 - flow.mean) * share;
        }
        self.updated = now;
    }

    /// Removes waiting requests that cannot start before their deadline.
    pub(crate) fn review(&mut self, now: Time, late: &mut Vec<Number>) {
        if now.since(self.reviewed) < REVIEW_INTERVAL || self.waiting == 0 {
            return;
        }
        self.reviewed = now;
        for class in [Class::Interactive, Class::Batch] {
            for index in 0..self.flows.len() {
                self.review_flow(now, index, class, late);
            }
        }
    }

    fn review_flow(&mut self, now: Time, index: usize, class: Class, late: &mut Vec<Number>) {
        if self.flows[index].waiting[class_index(class)].is_empty() {
            return;
        }
        let workspace = self.flows[index].workspace.clone();
        let token = self.service_time(&workspace, class, 1_000).as_secs_f64() / 1_000.0;
        let flow = &mut self.flows[index];
        let before = late.len();
        let mut ahead = 0;
        flow.waiting[class_index(class)].retain(|waiting| {
            let begin = now + Duration::from_secs_f64(ahead as f64 * token);
            let fits = begin <= waiting.deadline;
            if fits {
                ahead += waiting.cost.0;
            } else {
                late.push(waiting.number);
            }
            fits
        });
        flow.queued[class_index(class)] = ahead;
        self.waiting -= late.len() - before;
    }

    /// Time in which `work` of a workspace is served if all waiting workspaces get their
    /// share.
    fn service_time(&self, workspace: &id::Workspace, class: Class, work: u64) -> Duration {
        let mut all = 0;
        let mut own = 1;
        for flow in &self.flows {
            let same = flow.workspace == *workspace;
            if same || !flow.waiting[class_index(class)].is_empty() {
                all += flow.share;
            }
            if same {
                own = flow.share;
            }
        }
        let share = own as f64 / all.max(own) as f64;
        let seconds = work as f64 / (self.rate() * share);
        Duration::from_secs_f64(seconds.min(86_400.0))
    }

    /// Work served per second, as measured or else estimated from the budget.
    fn rate(&self) -> f64 {
        let initial = self.budget as f64 / INITIAL_SERVICE_TIME.as_secs_f64();
        // The rate must not be assumed so low that every request that would wait is
        // refused: the rate is measured only while requests wait, so a recovery of the
        // service would go unnoticed.
        let rate = self.meter.rate().unwrap_or(initial);
        rate.max(initial / MAX_SLOWDOWN).max(1.0)
    }

    /// Starts the next request if the budget allows it.
    fn next(&mut self, settings: &Settings) -> Option<Start> {
        let batch_first = self.credit > 0;
        let order = if batch_first {
            [Class::Batch, Class::Interactive]
        } else {
            [Class::Interactive, Class::Batch]
        };
        let (class, index) = order
            .into_iter()
            .find_map(|class| Some((class, self.next_flow(class, settings)?)))?;
        let first = self.flows[index].waiting[class_index(class)].front()?;
        // Smaller requests must not overtake one that does not fit yet, or a stream of them
        // would starve it.
        self.fits(first.cost.0)
            .then(|| self.start(class, index, settings))
    }

    /// The workspace with the lowest tag among those within their limits.
    fn next_flow(&self, class: Class, settings: &Settings) -> Option<usize> {
        let shares: u64 = self.flows.iter().map(|flow| flow.share).sum();
        let mut best: Option<(u64, usize)> = None;
        for (index, flow) in self.flows.iter().enumerate() {
            let Some(first) = flow.waiting[class_index(class)].front() else {
                continue;
            };
            let tag = flow.tags[class_index(class)].max(self.clock[class_index(class)]);
            let is_lower = best.is_none_or(|(least, _)| tag < least);
            if is_lower && self.is_within_limits(flow, shares, class, first.cost.0, settings) {
                best = Some((tag, index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// Whether a request is within the limits of its workspace and its class.
    fn is_within_limits(
        &self,
        flow: &Flow,
        shares: u64,
        class: Class,
        cost: u64,
        settings: &Settings,
    ) -> bool {
        let cost = cost.min(self.budget / MAX_COST_DIVISOR);
        let free = self.budget.saturating_sub(self.used);
        let own = self.budget * flow.share / shares.max(1);
        let spare = free.saturating_mul(u64::from(settings.greed)) / 100;
        // A workspace with low average usage may exceed its share once, for example for a
        // long prompt.
        let burst = flow.mean <= own as f64 / 2.0 && flow.used <= own;
        let fair = burst || flow.used + cost <= own.max(spare);
        let max_batch = self.budget * u64::from(settings.batch_room) / 100;
        let class_fits = class == Class::Interactive
            || self.batch_used == 0
            || self.batch_used + cost <= max_batch;
        fair && class_fits
    }

    /// Whether a request fits into the free budget. No request is too large for an idle
    /// service.
    fn fits(&self, cost: u64) -> bool {
        let free = self.budget.saturating_sub(self.used);
        self.budget > 0 && cost.min(self.budget / MAX_COST_DIVISOR) <= free
    }

    fn start(&mut self, class: Class, index: usize, settings: &Settings) -> Start {
        let clock = &mut self.clock[class_index(class)];
        let flow = &mut self.flows[index];
        let waiting = flow.waiting[class_index(class)]
            .pop_front()
            .expect("`next_flow` only returns workspaces with a waiting request");
        let cost = waiting.cost.0;
        let tag = flow.tags[class_index(class)].max(*clock);
        *clock = tag;
        flow.tags[class_index(class)] = tag + cost * TAG_SCALE / flow.share;
        flow.queued[class_index(class)] -= cost;
        let held = cost.min(self.budget / MAX_COST_DIVISOR);
        flow.used += held;
        self.used += held;
        self.waiting -= 1;
        self.update_credit(class, cost, held, settings);
        Start {
            number: waiting.number,
            held: Tokens(held),
        }
    }

    /// Updates the work to which batch is entitled.
    fn update_credit(&mut self, class: Class, cost: u64, held: u64, settings: &Settings) {
        let batch_waits = self.flows.iter().any(|flow| !flow.waiting[1].is_empty());
        match class {
            Class::Batch => {
                self.batch_used += held;
                self.credit = self.credit.saturating_sub(cost);
            }
            Class::Interactive if batch_waits => {
                self.credit += cost * u64::from(settings.batch) / 100;
            }
            Class::Interactive => self.credit = 0,
        }
    }

    fn flow(&self, workspace: &id::Workspace) -> Option<&Flow> {
        let index = self.find(workspace).ok()?;
        Some(&self.flows[index])
    }

    fn flow_mut(&mut self, workspace: &id::Workspace) -> &mut Flow {
        let index = self.find(workspace).unwrap_or_else(|index| {
            self.flows.insert(index, Flow::new(workspace.clone()));
            index
        });
        &mut self.flows[index]
    }

    fn find(&self, workspace: &id::Workspace) -> Result<usize, usize> {
        self.flows
            .binary_search_by(|flow| flow.workspace.cmp(workspace))
    }
}

impl Flow {
    fn idle(&self) -> bool {
        self.waiting.iter().all(VecDeque::is_empty)
    }

    fn new(workspace: id::Workspace) -> Self {
        Self {
            workspace,
            share: 1,
            used: 0,
            mean: 0.0,
            tags: [0; 2],
            waiting: [VecDeque::new(), VecDeque::new()],
            queued: [0; 2],
        }
    }
}

/// Index of a class in the arrays by class.
fn class_index(class: Class) -> usize {
    match class {
        Class::Interactive => 0,
        Class::Batch => 1,
    }
}
