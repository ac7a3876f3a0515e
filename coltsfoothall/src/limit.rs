//! Which requests go on to an endpoint, which wait and which are given up.
//!
//! Work is counted in prompt tokens to be read plus a fixed amount for each
//! open request. Each service has room for so much of it. A workspace may take
//! at most its share, or a part of the room that is still free, whichever is
//! more: so one that floods leaves room for the next small one. Waiting
//! requests are served by start-time fair queueing over workspaces, interactive
//! before batch, with a fixed part of the work for batch while it waits.
//!
//! A request that cannot be served within its deadline is refused at once with
//! the time after which it is worth coming back, whether it just arrived or
//! has waited; none is held until its deadline.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::catalog::Workspace;
use crate::clock::Time;
use crate::id;
use crate::queue::{Queue, Waiting};
use crate::quota::Quota;
use crate::record::{Cause, Class};
use crate::size::{Millis, Tokens};

/// Bounds on what is open and what waits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Most requests that wait in all; it bounds memory under a flood.
    pub queue: usize,
    /// Most requests of one workspace that wait; it keeps one workspace from
    /// filling the queue.
    pub each: usize,
    /// Work that one open request counts as beside its cost.
    pub slot: Tokens,
    /// Part of the free room that one workspace may take beyond its share, in
    /// percent.
    pub greed: u32,
    /// Part of the admitted work that batch gets while it waits, in percent.
    pub batch: u32,
    /// Part of the room that batch may hold, in percent.
    pub batch_room: u32,
    /// Time over which the rate of served work is averaged.
    pub window: Millis,
    /// Shortest time that a refusal asks to stay away.
    pub shortest: Millis,
    /// Longest time that a refusal asks to stay away.
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

/// Names a request at the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Number(u64);

/// A request that asks to go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// Its workspace.
    pub workspace: id::Workspace,
    /// How urgent it is.
    pub class: Class,
    /// The service that it goes to.
    pub service: id::Service,
    /// Latest time at which it helps to begin: the caller's deadline less the
    /// time that the answer is expected to take.
    pub deadline: Time,
    /// Prompt tokens that are expected to be read for it.
    pub cost: Tokens,
}

/// A refusal and what to tell the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub cause: Cause,
    /// It is the workspace's own limit that is reached.
    pub limited: bool,
    /// When it is worth coming back.
    pub retry_after: Duration,
}

/// What becomes of an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It goes on now.
    Admit(Number),
    /// It waits for [`Gate::poll`].
    Queue(Number),
    /// It is given up.
    Refuse(Refusal),
}

/// What became of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It goes on now.
    Ready(Number),
    /// It is given up.
    Refused(Number, Refusal),
}

/// A request that waits or is open.
#[derive(Debug)]
struct Entry {
    number: Number,
    workspace: id::Workspace,
    service: id::Service,
    class: Class,
    /// Work that it holds in its queue; nothing while it waits.
    held: Option<Tokens>,
    began: Time,
}

/// Decides which requests go on.
#[derive(Debug)]
pub struct Gate {
    settings: Settings,
    quotas: Vec<Quota>,
    queues: Vec<Queue>,
    entries: Vec<Entry>,
    next: u64,
    /// Let on while another request was offered; handed out by the next poll.
    ready: Vec<Number>,
    /// Mean time that requests are open.
    hold: Duration,
}

impl Gate {
    /// A gate that knows no workspaces and has no room.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            quotas: Vec::new(),
            queues: Vec::new(),
            entries: Vec::new(),
            next: 0,
            ready: Vec::new(),
            hold: Duration::from_secs(1),
        }
    }

    /// Takes the workspaces in force. Requests of one that is gone end as usual.
    pub fn set_workspaces(&mut self, workspaces: &[Workspace]) {
        let old = std::mem::take(&mut self.quotas);
        for workspace in workspaces {
            let had = old.iter().find(|have| have.workspace == workspace.name);
            self.quotas.push(Quota::new(workspace, had));
        }
        self.quotas.sort_by(|a, b| a.workspace.cmp(&b.workspace));
        for queue in &mut self.queues {
            queue.clear_shares();
            for quota in &self.quotas {
                queue.set_share(&quota.workspace, quota.share);
            }
        }
    }

    /// Sets the work that may be open at a service, as the router has it.
    pub fn set_budget(&mut self, service: &id::Service, budget: Tokens) {
        self.queue(service).budget = budget.0;
    }

    /// A request arrives.
    pub fn offer(&mut self, now: Time, ticket: &Ticket) -> Decision {
        if let Err(refusal) = self.check(now, ticket) {
            return Decision::Refuse(refusal);
        }
        let number = self.enter(now, ticket);
        self.pump(now, &ticket.service);
        match self.ready.iter().position(|have| *have == number) {
            Some(place) => {
                self.ready.remove(place);
                Decision::Admit(number)
            }
            None => Decision::Queue(number),
        }
    }

    /// A request's prompt was read, so only its open stream counts from now on.
    pub fn record_prefill(&mut self, now: Time, number: Number) {
        let slot = self.settings.slot;
        let Ok(place) = self.find(number) else { return };
        let entry = &mut self.entries[place];
        let Some(held) = entry.held else { return };
        entry.held = Some(held.min(slot));
        let (workspace, service, class) = entry.key();
        let rest = held.minus(slot);
        self.queue(&service).release(&workspace, class, rest);
        self.pump(now, &service);
    }

    /// A request ended, or its caller left while it waited.
    pub fn record_end(&mut self, now: Time, number: Number) {
        let Ok(place) = self.find(number) else { return };
        let entry = self.entries.remove(place);
        self.ready.retain(|have| *have != number);
        let (workspace, service, class) = entry.key();
        let queue = self.queue(&service);
        match entry.held {
            Some(held) => {
                queue.release(&workspace, class, held);
                self.hold = (self.hold * 15 + now.since(entry.began)) / 16;
            }
            None => {
                queue.withdraw(&workspace, class, number);
            }
        }
        self.leave(&workspace);
    }

    /// Says what became of waiting requests since the last poll.
    pub fn poll(&mut self, now: Time) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        let mut late = Vec::new();
        for at in 0..self.queues.len() {
            self.queues[at].review(now, &mut late);
            let service = self.queues[at].service.clone();
            self.pump(now, &service);
        }
        for number in late {
            outcomes.push(self.give_up(number));
        }
        let ready = std::mem::take(&mut self.ready);
        outcomes.extend(ready.into_iter().map(Outcome::Ready));
        outcomes
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queues.iter().map(Queue::waits).sum()
    }

    /// Requests that wait or are open.
    #[must_use]
    pub fn open(&self) -> usize {
        self.entries.len()
    }

    fn check(&mut self, now: Time, ticket: &Ticket) -> Result<(), Refusal> {
        let hold = self.hold;
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
        let mine = queue.waits_of(&ticket.workspace);
        if queue.budget == 0 {
            return refuse(Cause::NoEndpoint, settings.longest.duration() / 8);
        }
        if waiting >= settings.queue || mine >= settings.each || now + wait > ticket.deadline {
            return refuse(Cause::Overloaded, wait);
        }
        let Ok(at) = self.quota(&ticket.workspace) else {
            return Ok(());
        };
        let limited = |refused: Result<(), Refusal>| {
            refused.map_err(|refusal| Refusal {
                limited: true,
                ..refusal
            })
        };
        let quota = &mut self.quotas[at];
        if quota.most_open > 0 && quota.open >= quota.most_open {
            return limited(refuse(Cause::Overloaded, hold / quota.most_open));
        }
        match quota.take(now) {
            Ok(()) => Ok(()),
            Err(after) => limited(refuse(Cause::Overloaded, after)),
        }
    }

    fn enter(&mut self, now: Time, ticket: &Ticket) -> Number {
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
        if let Ok(at) = self.quota(&ticket.workspace) {
            self.quotas[at].open += 1;
        }
        number
    }

    fn pump(&mut self, now: Time, service: &id::Service) {
        let mut starts = Vec::new();
        let settings = self.settings.clone();
        self.queue(service).pump(now, &settings, &mut starts);
        for start in starts {
            let place = self
                .find(start.number)
                .expect("a waiting request stays among the entries until it ends");
            self.entries[place].held = Some(start.held);
            self.entries[place].began = now;
            self.ready.push(start.number);
        }
    }

    fn give_up(&mut self, number: Number) -> Outcome {
        let mut retry_after = self.settings.shortest.duration();
        if let Ok(place) = self.find(number) {
            let entry = self.entries.remove(place);
            let (workspace, service, class) = entry.key();
            retry_after = self.queue(&service).wait(&workspace, class);
            self.leave(&workspace);
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

    fn leave(&mut self, workspace: &id::Workspace) {
        if let Ok(at) = self.quota(workspace) {
            let quota = &mut self.quotas[at];
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
        let place = self
            .queues
            .binary_search_by(|queue| queue.service.cmp(service));
        let place = place.unwrap_or_else(|place| {
            let mut queue = Queue::new(service.clone());
            for quota in &self.quotas {
                queue.set_share(&quota.workspace, quota.share);
            }
            self.queues.insert(place, queue);
            place
        });
        &mut self.queues[place]
    }
}

impl Entry {
    fn key(&self) -> (id::Workspace, id::Service, Class) {
        (self.workspace.clone(), self.service.clone(), self.class)
    }
}
