//! The project's policy: the library's router and gate, one of each for every
//! entry instance.

use std::time::Duration;

use coltsfoothall::catalog;
use coltsfoothall::choice::{self, Endpoint, Query, Router, Run};
use coltsfoothall::clock::Time;
use coltsfoothall::id;
use coltsfoothall::index::Event;
use coltsfoothall::limit::{self, Decision, Gate, Number, Outcome, Ticket};
use coltsfoothall::load::Report;
use coltsfoothall::size::{Rate, Tokens};
use coltsfoothall::weight::Risk;

use crate::policy::{Answer, Call, Member, Policy};
use crate::scenario::Scenario;
use crate::workload::Request;

/// Time that one token of an answer is expected to take at most.
const TOKEN: Duration = Duration::from_millis(33);

/// Settings of the policy, and what of it is left out for comparison.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// The choice.
    pub choice: choice::Settings,
    /// The gate.
    pub limit: limit::Settings,
    /// Everything is let on at once.
    pub no_gate: bool,
    /// Cache events are not read.
    pub no_events: bool,
    /// Load reports are not read.
    pub no_reports: bool,
}

/// The policy.
#[derive(Debug)]
pub struct Own {
    settings: Settings,
    service: id::Service,
    workspaces: Vec<id::Workspace>,
    entries: Vec<Entry>,
    /// By request number.
    open: Vec<Open>,
}

#[derive(Debug)]
struct Entry {
    domain: id::Domain,
    router: Router,
    gate: Gate,
    /// Requests by their number at the gate, which rises.
    waiting: Vec<(Number, usize)>,
}

#[derive(Debug, Default)]
struct Open {
    run: Option<Run>,
    number: Option<Number>,
}

impl Own {
    /// The policy for a scenario and a number of requests.
    #[must_use]
    pub fn new(scenario: &Scenario, settings: Settings, requests: usize, seed: u64) -> Self {
        let customers: Vec<catalog::Workspace> = scenario
            .workspaces
            .iter()
            .map(|workspace| catalog::Workspace {
                name: workspace.name.clone(),
                tokens: Vec::new(),
                share: workspace.share,
                open: 0,
                rate: Rate(0),
            })
            .collect();
        let entry = |number: usize| {
            let choice = choice::Settings {
                entries: scenario.entries as u32,
                seed: seed ^ (number as u64) << 32,
                ..settings.choice.clone()
            };
            let mut gate = Gate::new(settings.limit.clone());
            gate.set_workspaces(&customers);
            Entry {
                domain: scenario.domains[number % scenario.domains.len()]
                    .name
                    .clone(),
                router: Router::new(choice),
                gate,
                waiting: Vec::new(),
            }
        };
        Self {
            service: scenario.service.clone(),
            workspaces: customers.iter().map(|have| have.name.clone()).collect(),
            entries: (0..scenario.entries).map(entry).collect(),
            open: (0..requests).map(|_| Open::default()).collect(),
            settings,
        }
    }

    fn send(&mut self, now: Time, at: usize, call: Call<'_>) -> Option<usize> {
        let entry = &mut self.entries[at];
        let exclude: Vec<id::Endpoint> = call.exclude.iter().map(|engine| name(*engine)).collect();
        let query = query(&self.service, &entry.domain, &exclude, call);
        let pick = entry.router.choose(now, &query)?;
        let run = entry.router.record_start(now, &pick.endpoint, &query);
        self.open[call.number].run = Some(run);
        Some(engine(&pick.endpoint))
    }

    fn expect(&mut self, now: Time, at: usize, call: Call<'_>) -> Tokens {
        let entry = &mut self.entries[at];
        let query = query(&self.service, &entry.domain, &[], call);
        let pick = entry.router.choose(now, &query);
        pick.map_or(query.prompt, |pick| query.prompt.minus(pick.cached))
    }

    fn set_room(&mut self, now: Time, at: usize) {
        let entry = &mut self.entries[at];
        let budget = entry.router.budget(now, &self.service);
        entry.gate.set_budget(&self.service, budget);
    }
}

fn query<'a>(
    service: &'a id::Service,
    domain: &'a id::Domain,
    exclude: &'a [id::Endpoint],
    call: Call<'a>,
) -> Query<'a> {
    Query {
        service,
        model: None,
        blocks: &call.request.blocks,
        prompt: call.request.prompt.plus(Tokens(call.made)),
        max_tokens: Tokens(call.request.max_tokens - call.made.min(call.request.max_tokens)),
        class: call.request.class,
        domain,
        exclude,
        isolated: false,
    }
}

impl Policy for Own {
    fn members(&mut self, entry: usize, members: &[Member]) {
        let endpoint = |member: &Member| Endpoint {
            id: name(member.engine),
            service: self.service.clone(),
            models: Vec::new(),
            domain: member.domain.clone(),
            price: member.price,
            risk: Risk(member.risk),
        };
        let endpoints = members.iter().map(endpoint).collect();
        self.entries[entry].router.set_endpoints(endpoints);
    }

    fn leaving(&mut self, entry: usize, engine: usize) {
        self.entries[entry].router.mark_leaving(&name(engine));
    }

    fn offer(&mut self, now: Time, entry: usize, call: Call<'_>) -> Answer {
        if !self.settings.no_gate {
            self.set_room(now, entry);
            let writing = TOKEN * call.request.max_tokens as u32;
            let ticket = Ticket {
                workspace: self.workspaces[call.request.workspace].clone(),
                class: call.request.class,
                service: self.service.clone(),
                deadline: call.request.deadline - writing,
                cost: self.expect(now, entry, call),
            };
            match self.entries[entry].gate.offer(now, &ticket) {
                Decision::Admit(number) => self.open[call.number].number = Some(number),
                Decision::Queue(number) => {
                    self.open[call.number].number = Some(number);
                    self.entries[entry].waiting.push((number, call.number));
                    return Answer::Wait;
                }
                Decision::Refuse(refusal) => return Answer::Refuse(refusal.retry_after),
            }
        }
        match self.send(now, entry, call) {
            Some(engine) => Answer::Send(engine),
            None => Answer::Refuse(self.settings.limit.longest.duration()),
        }
    }

    fn carry(&mut self, now: Time, entry: usize, call: Call<'_>) -> Option<usize> {
        self.send(now, entry, call)
    }

    fn first(&mut self, now: Time, entry: usize, number: usize, cached: Tokens) {
        let entry = &mut self.entries[entry];
        let open = &mut self.open[number];
        if let Some(run) = &mut open.run {
            entry.router.record_first_token(now, run, Some(cached));
        }
        if let Some(number) = open.number {
            entry.gate.record_prefill(now, number);
        }
    }

    fn left(&mut self, now: Time, entry: usize, number: usize) {
        if let Some(run) = self.open[number].run.take() {
            self.entries[entry].router.record_end(now, run);
        }
    }

    fn ended(&mut self, now: Time, entry: usize, number: usize) {
        if let Some(number) = self.open[number].number.take() {
            let entry = &mut self.entries[entry];
            entry.gate.record_end(now, number);
            entry.waiting.retain(|(have, _)| *have != number);
        }
    }

    fn report(&mut self, now: Time, entry: usize, engine: usize, report: &Report) {
        if !self.settings.no_reports {
            let router = &mut self.entries[entry].router;
            router.record_report(now, &name(engine), report);
        }
    }

    fn events(&mut self, _now: Time, entry: usize, engine: usize, events: &[Event]) {
        if !self.settings.no_events {
            let router = &mut self.entries[entry].router;
            router.record_cache_events(&name(engine), events);
        }
    }

    fn poll(&mut self, now: Time, entry: usize, requests: &[Request]) -> Vec<(usize, Answer)> {
        if self.entries[entry].waiting.is_empty() {
            return Vec::new();
        }
        self.set_room(now, entry);
        let mut answers = Vec::new();
        for outcome in self.entries[entry].gate.poll(now) {
            let (gate, refusal) = match outcome {
                Outcome::Ready(gate) => (gate, None),
                Outcome::Refused(gate, refusal) => (gate, Some(refusal)),
            };
            let waiting = &mut self.entries[entry].waiting;
            let Ok(place) = waiting.binary_search_by_key(&gate, |(have, _)| *have) else {
                continue;
            };
            let (_, number) = waiting.remove(place);
            if let Some(refusal) = refusal {
                self.open[number].number = None;
                answers.push((number, Answer::Refuse(refusal.retry_after)));
                continue;
            }
            let call = Call {
                number,
                request: &requests[number],
                made: 0,
                exclude: &[],
            };
            let answer = match self.send(now, entry, call) {
                Some(engine) => Answer::Send(engine),
                None => Answer::Refuse(self.settings.limit.longest.duration()),
            };
            answers.push((number, answer));
        }
        answers
    }
}

fn name(engine: usize) -> id::Endpoint {
    format!("engine-{engine:06}")
        .parse()
        .expect("a number makes a valid name")
}

fn engine(name: &id::Endpoint) -> usize {
    name.as_str()["engine-".len()..]
        .parse()
        .expect("all endpoints were named by `name`")
}
