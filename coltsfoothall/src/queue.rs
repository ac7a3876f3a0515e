//! Requests that wait for room at one service, and the work that is open there.
//!
//! Start-time fair queueing: each workspace has a tag that rises with the work
//! it was given, divided by its share; the lowest tag goes next.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;
use crate::id;
use crate::limit::{Number, Settings};
use crate::meter::Meter;
use crate::record::Class;
use crate::size::Tokens;

/// Shortest time between two looks for waiting requests that cannot make it;
/// it bounds what a long queue costs a poll.
const REVIEW: Duration = Duration::from_millis(20);
/// Time in which a queue is taken to serve its room before that was measured.
const FIRST_GUESS: Duration = Duration::from_secs(2);
/// A queue is taken to be at most so many times slower than first guessed.
const SLOWEST: f64 = 16.0;
/// A request counts as at most this part of the room when it is let on, so
/// that a long prompt does not wait for an idle service.
const LARGEST: u64 = 4;
/// Scale of the tags, so that shares divide without loss.
const TAG: u64 = 1 << 16;

/// A request that waits.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiting {
    pub(crate) number: Number,
    /// Latest time at which it helps to begin.
    pub(crate) deadline: Time,
    pub(crate) cost: Tokens,
}

/// What one workspace has at a service.
#[derive(Debug)]
struct Flow {
    workspace: id::Workspace,
    share: u64,
    /// Work open now.
    used: u64,
    /// Running mean of the work open.
    mean: f64,
    /// Tags of the classes.
    tags: [u64; 2],
    waiting: [VecDeque<Waiting>; 2],
    /// Work that waits.
    behind: [u64; 2],
}

/// One service's waiting and open work.
#[derive(Debug)]
pub(crate) struct Queue {
    pub(crate) service: id::Service,
    pub(crate) budget: u64,
    flows: Vec<Flow>,
    used: u64,
    batch_used: u64,
    /// Tags of the requests that went last.
    clock: [u64; 2],
    /// Work owed to batch.
    credit: u64,
    waits: usize,
    meter: Meter,
    reviewed: Time,
    followed: Time,
}

/// A request that goes on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Start {
    pub(crate) number: Number,
    /// Work that it holds.
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
            waits: 0,
            meter: Meter::default(),
            reviewed: Time::START,
            followed: Time::START,
        }
    }

    /// Requests that wait.
    pub(crate) fn waits(&self) -> usize {
        self.waits
    }

    /// Requests of a workspace that wait.
    pub(crate) fn waits_of(&self, workspace: &id::Workspace) -> usize {
        self.flow(workspace)
            .map_or(0, |flow| flow.waiting.iter().map(VecDeque::len).sum())
    }

    /// Forgets idle workspaces and takes the others' shares away, to set anew;
    /// what a workspace has open stays.
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

    /// Time that a request of this workspace and class would wait now.
    pub(crate) fn wait(&self, workspace: &id::Workspace, class: Class) -> Duration {
        let behind = self
            .flow(workspace)
            .map_or(0, |flow| flow.behind[class_index(class)]);
        self.span(workspace, class, behind)
    }

    pub(crate) fn push(&mut self, workspace: &id::Workspace, class: Class, waiting: Waiting) {
        let flow = self.flow_mut(workspace);
        flow.behind[class_index(class)] += waiting.cost.0;
        flow.waiting[class_index(class)].push_back(waiting);
        self.waits += 1;
    }

    /// Takes a waiting request out; none if it does not wait.
    pub(crate) fn withdraw(
        &mut self,
        workspace: &id::Workspace,
        class: Class,
        number: Number,
    ) -> Option<Waiting> {
        let flow = self.flow_mut(workspace);
        let queue = &mut flow.waiting[class_index(class)];
        let place = queue.iter().position(|have| have.number == number)?;
        let waiting = queue.remove(place)?;
        flow.behind[class_index(class)] -= waiting.cost.0;
        self.waits -= 1;
        Some(waiting)
    }

    /// Takes back work that was open.
    pub(crate) fn release(&mut self, workspace: &id::Workspace, class: Class, work: Tokens) {
        let flow = self.flow_mut(workspace);
        flow.used = flow.used.saturating_sub(work.0);
        self.used = self.used.saturating_sub(work.0);
        if class == Class::Batch {
            self.batch_used = self.batch_used.saturating_sub(work.0);
        }
        self.meter.served(work);
    }

    /// Lets the next requests go on, as many as there is room for.
    pub(crate) fn pump(&mut self, now: Time, settings: &Settings, ready: &mut Vec<Start>) {
        self.follow(now, settings);
        while let Some(start) = self.next(settings) {
            ready.push(start);
        }
        let window = settings.window.duration();
        self.meter.follow(now, self.waits > 0, window);
    }

    /// Moves the running means on.
    fn follow(&mut self, now: Time, settings: &Settings) {
        let span = now.since(self.followed).as_secs_f64();
        let window = settings.window.duration().as_secs_f64().max(1e-3);
        let share = 1.0 - (-span / window).exp();
        for flow in &mut self.flows {
            flow.mean += (flow.used as f64 - flow.mean) * share;
        }
        self.followed = now;
    }

    /// Takes out the waiting requests that cannot begin within their deadline.
    pub(crate) fn review(&mut self, now: Time, late: &mut Vec<Number>) {
        if now.since(self.reviewed) < REVIEW || self.waits == 0 {
            return;
        }
        self.reviewed = now;
        for class in [Class::Interactive, Class::Batch] {
            for at in 0..self.flows.len() {
                self.review_flow(now, at, class, late);
            }
        }
    }

    fn review_flow(&mut self, now: Time, at: usize, class: Class, late: &mut Vec<Number>) {
        if self.flows[at].waiting[class_index(class)].is_empty() {
            return;
        }
        let workspace = self.flows[at].workspace.clone();
        let token = self.span(&workspace, class, 1_000).as_secs_f64() / 1_000.0;
        let flow = &mut self.flows[at];
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
        flow.behind[class_index(class)] = ahead;
        self.waits -= late.len() - before;
    }

    /// Time in which `work` of a workspace is served, when all who wait share.
    fn span(&self, workspace: &id::Workspace, class: Class, work: u64) -> Duration {
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
        let part = own as f64 / all.max(own) as f64;
        let seconds = work as f64 / (self.speed() * part);
        Duration::from_secs_f64(seconds.min(86_400.0))
    }

    /// Work served a second, as measured or guessed from the room.
    fn speed(&self) -> f64 {
        let guess = self.budget as f64 / FIRST_GUESS.as_secs_f64();
        // Never so slow that all who would wait are refused: then none waits,
        // and that the service works again would not be seen.
        let rate = self.meter.rate().unwrap_or(guess);
        rate.max(guess / SLOWEST).max(1.0)
    }

    /// The next request, if there is room for one.
    fn next(&mut self, settings: &Settings) -> Option<Start> {
        let batch_first = self.credit > 0;
        let order = if batch_first {
            [Class::Batch, Class::Interactive]
        } else {
            [Class::Interactive, Class::Batch]
        };
        let (class, at) = order
            .into_iter()
            .find_map(|class| Some((class, self.lowest(class, settings)?)))?;
        let first = self.flows[at].waiting[class_index(class)].front()?;
        // Smaller requests of others do not pass one that does not fit yet, or
        // a stream of them would keep it out.
        self.fits(first.cost.0)
            .then(|| self.start(class, at, settings))
    }

    /// The workspace with the lowest tag among those within their part.
    fn lowest(&self, class: Class, settings: &Settings) -> Option<usize> {
        let shares: u64 = self.flows.iter().map(|flow| flow.share).sum();
        let mut best: Option<(u64, usize)> = None;
        for (at, flow) in self.flows.iter().enumerate() {
            let Some(first) = flow.waiting[class_index(class)].front() else {
                continue;
            };
            let tag = flow.tags[class_index(class)].max(self.clock[class_index(class)]);
            let lower = best.is_none_or(|(least, _)| tag < least);
            if lower && self.may(flow, shares, class, first.cost.0, settings) {
                best = Some((tag, at));
            }
        }
        best.map(|(_, at)| at)
    }

    /// Whether a request is within its workspace's and its class's part.
    fn may(&self, flow: &Flow, shares: u64, class: Class, cost: u64, settings: &Settings) -> bool {
        let cost = cost.min(self.budget / LARGEST);
        let free = self.budget.saturating_sub(self.used);
        let own = self.budget * flow.share / shares.max(1);
        let spare = free.saturating_mul(u64::from(settings.greed)) / 100;
        // Who uses little on average may go over once, as for a long prompt.
        let burst = flow.mean <= own as f64 / 2.0 && flow.used <= own;
        let fair = burst || flow.used + cost <= own.max(spare);
        let most = self.budget * u64::from(settings.batch_room) / 100;
        let class_fits =
            class == Class::Interactive || self.batch_used == 0 || self.batch_used + cost <= most;
        fair && class_fits
    }

    /// Whether there is room for a request. One is never too large for an idle
    /// service.
    fn fits(&self, cost: u64) -> bool {
        let free = self.budget.saturating_sub(self.used);
        self.budget > 0 && cost.min(self.budget / LARGEST) <= free
    }

    fn start(&mut self, class: Class, at: usize, settings: &Settings) -> Start {
        let clock = &mut self.clock[class_index(class)];
        let flow = &mut self.flows[at];
        let waiting = flow.waiting[class_index(class)]
            .pop_front()
            .expect("`lowest` only returns workspaces with a waiting request");
        let cost = waiting.cost.0;
        let tag = flow.tags[class_index(class)].max(*clock);
        *clock = tag;
        flow.tags[class_index(class)] = tag + cost * TAG / flow.share;
        flow.behind[class_index(class)] -= cost;
        let held = cost.min(self.budget / LARGEST);
        flow.used += held;
        self.used += held;
        self.waits -= 1;
        self.settle(class, cost, held, settings);
        Start {
            number: waiting.number,
            held: Tokens(held),
        }
    }

    /// Keeps account of the part of the work that is owed to batch.
    fn settle(&mut self, class: Class, cost: u64, held: u64, settings: &Settings) {
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
        let place = self.place(workspace).ok()?;
        Some(&self.flows[place])
    }

    fn flow_mut(&mut self, workspace: &id::Workspace) -> &mut Flow {
        let place = self.place(workspace).unwrap_or_else(|place| {
            self.flows.insert(place, Flow::new(workspace.clone()));
            place
        });
        &mut self.flows[place]
    }

    fn place(&self, workspace: &id::Workspace) -> Result<usize, usize> {
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
            behind: [0; 2],
        }
    }
}

/// Place of a class in a queue's pairs.
fn class_index(class: Class) -> usize {
    match class {
        Class::Interactive => 0,
        Class::Batch => 1,
    }
}
