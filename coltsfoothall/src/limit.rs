//! Admission control: which requests are sent to an endpoint, which wait and which are
//! refused.
//!
//! Work is measured in prompt tokens to be processed plus a fixed amount for each open
//! request. Each service has a budget of open work. A workspace may use its share or a part
//! of the free budget, whichever is larger, so a flood of requests from one workspace
//! leaves room for others. Waiting requests are served by start-time fair queueing over
//! workspaces, interactive before batch, with a fixed part of the work for batch while it
//! waits.
//!
//! A request that cannot be served within its deadline is refused as soon as that is known,
//! with the time after which to retry. This holds for new and for waiting requests: none is
//! kept waiting until its deadline just to be refused.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::catalog::Workspace;
use crate::clock::Time;
use crate::id;
use crate::queue::{Queue, Waiting};
use crate::quota::Quota;
use crate::record::{Cause, Class};
use crate::size::{Millis, Tokens};

/// Limits on open and waiting requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Maximum total number of waiting requests; it bounds memory under a flood.
    pub queue: usize,
    /// Maximum number of waiting requests of one workspace, so that one workspace cannot
    /// fill the queue.
    pub each: usize,
    /// Work that one open request counts as, in addition to its cost.
    pub slot: Tokens,
    /// Part of the free budget that one workspace may use beyond its share, in percent.
    pub greed: u32,
    /// Part of the admitted work that is reserved for batch while it waits, in percent.
    pub batch: u32,
    /// Part of the budget that batch may mean_duration, in percent.
    pub batch_room: u32,
    /// Time constant with which the rate of served work is averaged.
    pub window: Millis,
    /// Minimum retry delay in a refusal.
    pub shortest: Millis,
    /// Maximum retry delay in a refusal.
    pub longest: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            queue: 4_096,
            each: 1_024,
            slot: Tokens(128),
            greed: 100,
            batch: 10,
            batch_room: 60,
            window: Millis(2_000),
            shortest: Millis(100),
            longest: Millis(30_000),
        }
    }
}

/// Identifies a request at the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Number(u64);

/// A request for admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// Its workspace.
    pub workspace: id::Workspace,
    /// Its priority class.
    pub class: Class,
    /// The requested service.
    pub service: id::Service,
    /// Latest useful start time: the caller's deadline minus the expected duration of the
    /// response.
    pub deadline: Time,
    /// Number of prompt tokens that are expected to be processed for it.
    pub cost: Tokens,
}

/// A refusal, with the details for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub cause: Cause,
    /// Whether the request exceeded a limit of its own workspace.
    pub limited: bool,
    /// Time after which to retry.
    pub retry_after: Duration,
}

/// The decision about an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It starts now.
    Admit(Number),
    /// It waits; [`Gate::poll`] returns its outcome.
    Queue(Number),
    /// It is refused.
    Refuse(Refusal),
}

/// The outcome for a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It starts now.
    Ready(Number),
    /// It is refused.
    Refused(Number, Refusal),
}

/// A waiting or open request.
#[derive(Debug)]
struct Entry {
    number: Number,
    workspace: id::Workspace,
    service: id::Service,
    class: Class,
    /// Work that it holds in its queue; `None` while it waits.
    held: Option<Tokens>,
    began: Time,
}

/// Decides which requests are admitted.
#[derive(Debug)]
pub struct Gate {
    settings: Settings,
    quotas: Vec<Quota>,
    queues: Vec<Queue>,
    entries: Vec<Entry>,
    next: u64,
    /// Requests that started while another one was offered; the next poll returns them.
    ready: Vec<Number>,
    /// Moving average of the time for which requests are open.
    mean_duration: Duration,
}

impl Gate {
    /// Creates a gate without workspaces and with no budget for any service.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            quotas: Vec::new(),
            queues: Vec::new(),
            entries: Vec::new(),
            next: 0,
            ready: Vec::new(),
            mean_duration: Duration::from_secs(1),
        }
    }

    /// Sets the current workspaces. Requests of a workspace that was removed end as usual.
    pub fn set_workspaces(&mut self, workspaces: &[Workspace]) {
        let old = std::mem::take(&mut self.quotas);
        for workspace in workspaces {
            let previous = old.iter().find(|other| other.workspace == workspace.name);
            self.quotas.push(Quota::new(workspace, previous));
        }
        self.quotas.sort_by(|a, b| a.workspace.cmp(&b.workspace));
        for queue in &mut self.queues {
            queue.clear_shares();
            for quota in &self.quotas {
                queue.set_share(&quota.workspace, quota.share);
            }
        }
    }

    /// Sets the work that may be open at a service; see
    /// [`Router::budget`](crate::choice::Router::budget).
    pub fn set_budget(&mut self, service: &id::Service, budget: Tokens) {
        self.queue(service).budget = budget.0;
    }

    /// Offers a new request.
    pub fn offer(&mut self, now: Time, ticket: &Ticket) -> Decision {
        if let Err(refusal) = self.check(now, ticket) {
            return Decision::Refuse(refusal);
        }
        let number = self.enqueue(now, ticket);
        self.pump(now, &ticket.service);
        match self.ready.iter().position(|other| *other == number) {
            Some(index) => {
                self.ready.remove(index);
                Decision::Admit(number)
            }
            None => Decision::Queue(number),
        }
    }

    /// Records that a request's prompt has been processed, so only its open stream counts
    /// from now on.
    pub fn record_prefill(&mut self, now: Time, number: Number) {
        let slot = self.settings.slot;
        let Ok(index) = self.find(number) else { return };
        let entry = &mut self.entries[index];
        let Some(held) = entry.held else { return };
        entry.held = Some(held.min(slot));
        let (workspace, service, class) = entry.key();
        let excess = held.minus(slot);
        self.queue(&service).release(&workspace, class, excess);
        self.pump(now, &service);
    }

    /// Records that a request has ended, or that its caller has disconnected while it
    /// waited.
    pub fn record_end(&mut self, now: Time, number: Number) {
        let Ok(index) = self.find(number) else { return };
        let entry = self.entries.remove(index);
        self.ready.retain(|other| *other != number);
        let (workspace, service, class) = entry.key();
        let queue = self.queue(&service);
        match entry.held {
            Some(held) => {
                queue.release(&workspace, class, held);
                self.mean_duration = (self.mean_duration * 15 + now.since(entry.began)) / 16;
            }
            None => {
                queue.withdraw(&workspace, class, number);
            }
        }
        self.release_quota(&workspace);
    }

    /// Returns the outcomes of waiting requests since the last poll.
    pub fn poll(&mut self, now: Time) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        let mut late = Vec::new();
        for index in 0..self.queues.len() {
            self.queues[index].review(now, &mut late);
            let service = self.queues[index].service.clone();
            self.pump(now, &service);
        }
        for number in late {
            outcomes.push(self.refuse(number));
        }
        let ready = std::mem::take(&mut self.ready);
        outcomes.extend(ready.into_iter().map(Outcome::Ready));
        outcomes
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queues.iter().map(Queue::waiting).sum()
    }

    /// Number of waiting or open requests.
    #[must_use]
    pub fn open(&self) -> usize {
        self.entries.len()
    }

    fn check(&mut self, now: Time, ticket: &Ticket) -> Result<(), Refusal> {
        let mean_duration = self.mean_duration;
        let settings = self.settings.clone();
        let refuse = |cause, after: Duration| {
            let shortest = settings.shortest.duration();
            let longest = settings.longest.duration().max(shortest);
            Err(Refusal {
                cause,
                limited: false,
                retry_after: after.clamp(shortest, longest),
            })
        };
        if ticket.deadline < now {
            return refuse(Cause::Deadline, settings.shortest.duration());
        }
        let waiting = self.waiting();
        let queue = self.queue(&ticket.service);
        let wait = queue.wait(&ticket.workspace, ticket.class);
        let own_waiting = queue.waiting_of(&ticket.workspace);
        if queue.budget == 0 {
            return refuse(Cause::NoEndpoint, settings.longest.duration() / 8);
        }
        if waiting >= settings.queue || own_waiting >= settings.each || now + wait > ticket.deadline
        {
            return refuse(Cause::Overloaded, wait);
        }
        let Ok(index) = self.quota(&ticket.workspace) else {
            return Ok(());
        };
        let limited = |refused: Result<(), Refusal>| {
            refused.map_err(|refusal| Refusal {
                limited: true,
                ..refusal
            })
        };
        let quota = &mut self.quotas[index];
        if quota.max_open > 0 && quota.open >= quota.max_open {
            return limited(refuse(Cause::Overloaded, mean_duration / quota.max_open));
        }
        match quota.take(now) {
            Ok(()) => Ok(()),
            Err(after) => limited(refuse(Cause::Overloaded, after)),
        }
    }

    fn enqueue(&mut self, now: Time, ticket: &Ticket) -> Number {
        let number = Number(self.next);
        self.next += 1;
        let waiting = Waiting {
            number,
            deadline: ticket.deadline,
            cost: ticket.cost.plus(self.settings.slot),
        };
        self.queue(&ticket.service)
            .push(&ticket.workspace, ticket.class, waiting);
        self.entries.push(Entry {
            number,
            workspace: ticket.workspace.clone(),
            service: ticket.service.clone(),
            class: ticket.class,
            held: None,
            began: now,
        });
        if let Ok(index) = self.quota(&ticket.workspace) {
            self.quotas[index].open += 1;
        }
        number
    }

    fn pump(&mut self, now: Time, service: &id::Service) {
        let mut starts = Vec::new();
        let settings = self.settings.clone();
        self.queue(service).pump(now, &settings, &mut starts);
        for start in starts {
            let index = self
                .find(start.number)
                .expect("a waiting request stays among the entries until it ends");
            self.entries[index].held = Some(start.held);
            self.entries[index].began = now;
            self.ready.push(start.number);
        }
    }

    fn refuse(&mut self, number: Number) -> Outcome {
        let mut retry_after = self.settings.shortest.duration();
        if let Ok(index) = self.find(number) {
            let entry = self.entries.remove(index);
            let (workspace, service, class) = entry.key();
            retry_after = self.queue(&service).wait(&workspace, class);
            self.release_quota(&workspace);
        }
        let shortest = self.settings.shortest.duration();
        let longest = self.settings.longest.duration().max(shortest);
        let refusal = Refusal {
            limited: false,
            cause: Cause::Overloaded,
            retry_after: retry_after.clamp(shortest, longest),
        };
        Outcome::Refused(number, refusal)
    }

    fn release_quota(&mut self, workspace: &id::Workspace) {
        if let Ok(index) = self.quota(workspace) {
            let quota = &mut self.quotas[index];
            quota.open = quota.open.saturating_sub(1);
        }
    }

    fn quota(&self, workspace: &id::Workspace) -> Result<usize, usize> {
        self.quotas
            .binary_search_by(|quota| quota.workspace.cmp(workspace))
    }

    fn find(&self, number: Number) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&number, |entry| entry.number)
    }

    fn queue(&mut self, service: &id::Service) -> &mut Queue {
        let index = self
            .queues
            .binary_search_by(|queue| queue.service.cmp(service));
        let index = index.unwrap_or_else(|index| {
            let mut queue = Queue::new(service.clone());
            for quota in &self.quotas {
                queue.set_share(&quota.workspace, quota.share);
            }
            self.queues.insert(index, queue);
            index
        });
        &mut self.queues[index]
    }
}

impl Entry {
    fn key(&self) -> (id::Workspace, id::Service, Class) {
        (self.workspace.clone(), self.service.clone(), self.class)
    }
}
