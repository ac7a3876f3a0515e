//! The rollout of a model's version and adapters over a service's engines.
//!
//! An order names the state to be in, so it may be sent again at any time.
//! The weights come from a store with a limited rate, and an engine that
//! loads another version serves nothing meanwhile. Hence the order of work:
//! engines without a model first, then adapters on engines that serve, then
//! engines with an old version, one after another as far as the number that
//! the load needs is kept. An engine with an old version is drained first and
//! loads only once it has been idle for as long as its new role takes to
//! reach every entry instance.

use std::time::Duration;

use quick_error::quick_error;

use crate::clock::Time;
use crate::id;
use crate::order::{Engine, Loaded, Order, Role, Wanted};
use crate::share;
use crate::size::Bytes;

/// Longest backoff between two tries at one engine, as a power of two of the first.
const MAX_DOUBLINGS: u32 = 6;

/// Times of orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Part of the weight store.
    pub share: share::Settings,
    /// How long a drained engine must be seen idle before it loads.
    pub settle: Duration,
    /// Time from one sending of an order to the next, while it isn't seen obeyed.
    pub repeat: Duration,
    /// Time that a load may take beyond its size over the rate.
    pub slack: Duration,
    /// First backoff after a load that timed out.
    pub backoff: Duration,
    /// Role of engines that serve.
    pub role: Role,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            share: share::Settings::default(),
            settle: Duration::from_secs(3),
            repeat: Duration::from_secs(5),
            slack: Duration::from_secs(60),
            backoff: Duration::from_secs(30),
            role: Role::Mixed,
        }
    }
}

quick_error! {
    /// A rule that an order would have broken; it is held back.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Broken {
        /// The engine still serves.
        Busy(endpoint: id::Endpoint, open: u32) {
            display("endpoint {endpoint} was to load with {open} requests open")
        }
    }
}

/// How far the engines are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// Engines that take requests.
    pub serving: usize,
    /// Engines that hold all that is wanted.
    pub current: usize,
    /// Loads that run.
    pub loading: usize,
    /// Engines on the way to a load.
    pub draining: usize,
    /// Loads that timed out, since the start.
    pub timeouts: u64,
    /// Whether one engine more is needed for the version change to go on.
    pub surge: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Nothing is asked of the engine.
    Rest,
    /// It is to take nothing new; since when it has been seen so and idle.
    Drain(Option<Time>),
    /// It loads; until when.
    Load(Time),
}

#[derive(Debug, Clone)]
struct Task {
    endpoint: id::Endpoint,
    step: Step,
    /// The model that the last load was for; what is wanted may have changed since.
    goal: Option<Loaded>,
    sent_at: Option<Time>,
    failures: u32,
    retry_at: Time,
}

/// The rollout of what is wanted over a service's engines.
#[derive(Debug, Clone)]
pub struct Rollout {
    settings: Settings,
    bucket: share::Bucket,
    tasks: Vec<Task>,
    progress: Progress,
    broken: Option<Broken>,
}

impl Rollout {
    /// A rollout that knows of no loads yet; those under way are taken on as they are seen.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            bucket: share::Bucket::new(settings.share),
            tasks: Vec::new(),
            progress: Progress::default(),
            broken: None,
        }
    }

    /// How far the engines were at the last step.
    #[must_use]
    pub fn progress(&self) -> Progress {
        self.progress
    }

    /// The first order that had to be held back.
    #[must_use]
    pub fn broken(&self) -> Option<&Broken> {
        self.broken.as_ref()
    }

    /// The orders to send now. `engines` is sorted by endpoint.
    pub fn tick(&mut self, now: Time, wanted: &Wanted, engines: &[Engine]) -> Vec<Order> {
        self.follow(now, wanted, engines);
        self.keep_serving(wanted, engines);
        self.begin_loads(now, wanted, engines);
        self.begin_drains(now, wanted, engines);
        self.measure(wanted, engines);
        self.send(now, wanted, engines)
    }

    fn task(&mut self, endpoint: &id::Endpoint) -> &mut Task {
        let found = self.tasks.binary_search_by(|t| t.endpoint.cmp(endpoint));
        let at = found.unwrap_or_else(|at| {
            let task = Task {
                endpoint: endpoint.clone(),
                step: Step::Rest,
                goal: None,
                sent_at: None,
                failures: 0,
                retry_at: Time::START,
            };
            self.tasks.insert(at, task);
            at
        });
        &mut self.tasks[at]
    }

    fn step_of(&self, endpoint: &id::Endpoint) -> Step {
        let found = self.tasks.binary_search_by(|t| t.endpoint.cmp(endpoint));
        found.map_or(Step::Rest, |at| self.tasks[at].step)
    }

    /// Brings the tasks up to date with what the engines say.
    fn follow(&mut self, now: Time, wanted: &Wanted, engines: &[Engine]) {
        self.tasks
            .retain(|task| find(engines, &task.endpoint).is_some_and(|e| !e.leaving));
        for engine in engines.iter().filter(|engine| !engine.leaving) {
            let step = self.step_of(&engine.endpoint);
            let next = self.next(now, wanted, engine, step);
            let late = matches!(step, Step::Load(until) if until <= now);
            let failed = late && !engine.is_current(wanted);
            let backoff = self.settings.backoff;
            self.progress.timeouts += u64::from(failed);
            let task = self.task(&engine.endpoint);
            task.step = next;
            if failed {
                task.failures += 1;
                task.retry_at = now + backoff * 2_u32.pow(task.failures.min(MAX_DOUBLINGS) - 1);
                task.sent_at = None;
            }
            if engine.is_current(wanted) {
                task.failures = 0;
            }
        }
    }

    fn next(&mut self, now: Time, wanted: &Wanted, engine: &Engine, step: Step) -> Step {
        let idle = engine.role == Role::Drain && engine.open == 0;
        match step {
            Step::Load(_) if engine.is_current(wanted) => Step::Rest,
            Step::Load(until) if until <= now => Step::Rest,
            // It may serve the former wish by now, so it is drained before it loads again.
            Step::Load(_) if engine.loading.is_none() && self.is_stale(wanted, engine) => {
                Step::Rest
            }
            Step::Load(until) => Step::Load(until),
            Step::Drain(_) if engine.runs(wanted) => Step::Rest,
            Step::Drain(since) => Step::Drain(idle.then_some(since.unwrap_or(now))),
            Step::Rest if engine.loading.is_some() && self.is_due(now, engine) => {
                self.adopt(now, wanted, engine)
            }
            Step::Rest if engine.role == Role::Drain && !engine.runs(wanted) => {
                Step::Drain(idle.then_some(now))
            }
            Step::Rest => Step::Rest,
        }
    }

    fn is_due(&mut self, now: Time, engine: &Engine) -> bool {
        self.task(&engine.endpoint).retry_at <= now
    }

    /// Whether another model was wanted when its load began.
    fn is_stale(&mut self, wanted: &Wanted, engine: &Engine) -> bool {
        let goal = &self.task(&engine.endpoint).goal;
        goal.as_ref()
            .is_some_and(|goal| *goal != wanted.model.loaded)
    }

    /// Takes on a load that a former steward ordered.
    fn adopt(&mut self, now: Time, wanted: &Wanted, engine: &Engine) -> Step {
        let size = engine.missing(wanted);
        let is_model = |loading: &Loaded| loading.name == wanted.model.loaded.name;
        self.task(&engine.endpoint).goal = engine.loading.clone().filter(is_model);
        self.bucket.charge(now, size);
        Step::Load(self.deadline(now, size))
    }

    fn deadline(&self, now: Time, size: Bytes) -> Time {
        let share = self.settings.share;
        let max_loads = u32::try_from(share.max_loads.max(1)).unwrap_or(u32::MAX);
        now + share.load_time(size) * max_loads + self.settings.slack
    }

    /// Takes engines back from draining where the load needs them after all.
    fn keep_serving(&mut self, wanted: &Wanted, engines: &[Engine]) {
        let returning = engines.iter().filter(|engine| self.returns(engine)).count();
        let mut short = wanted
            .needed
            .saturating_sub(self.serving(engines) + returning);
        for engine in engines.iter().filter(|engine| engine.model.is_some()) {
            let draining = matches!(self.step_of(&engine.endpoint), Step::Drain(_));
            if short > 0 && draining && !engine.leaving {
                let task = self.task(&engine.endpoint);
                task.step = Step::Rest;
                task.sent_at = None;
                short -= 1;
            }
        }
    }

    /// Whether the engine is ordered to serve again.
    fn returns(&self, engine: &Engine) -> bool {
        let rests = self.step_of(&engine.endpoint) == Step::Rest;
        rests && !engine.leaving && engine.model.is_some() && engine.role == Role::Drain
    }

    /// Engines that take requests and will go on doing so.
    fn serving(&self, engines: &[Engine]) -> usize {
        let goes_on = |e: &Engine| match self.step_of(&e.endpoint) {
            Step::Rest | Step::Load(_) => true,
            Step::Drain(_) => false,
        };
        engines.iter().filter(|e| e.serves() && goes_on(e)).count()
    }

    fn begin_loads(&mut self, now: Time, wanted: &Wanted, engines: &[Engine]) {
        let mut ready: Vec<(u8, &Engine)> = engines
            .iter()
            .filter(|engine| !engine.leaving && self.is_ready(now, wanted, engine))
            .map(|engine| (engine.urgency(wanted), engine))
            .collect();
        ready.sort_by_key(|(urgency, _engine)| *urgency);
        let limit = self.settings.share.max_loads;
        let mut room = limit.saturating_sub(self.loads());
        for (_urgency, engine) in ready {
            if room == 0 || !self.bucket.is_free(now) {
                return;
            }
            let size = engine.missing(wanted);
            self.bucket.charge(now, size);
            let until = self.deadline(now, size);
            let task = self.task(&engine.endpoint);
            task.step = Step::Load(until);
            task.goal = Some(wanted.model.loaded.clone());
            task.sent_at = None;
            room -= 1;
        }
    }

    fn is_ready(&mut self, now: Time, wanted: &Wanted, engine: &Engine) -> bool {
        let settle = self.settings.settle;
        let task = self.task(&engine.endpoint);
        let due = task.retry_at <= now && !engine.is_current(wanted);
        match task.step {
            Step::Rest => due && (engine.model.is_none() || engine.runs(wanted)),
            Step::Drain(Some(since)) => due && since + settle <= now,
            Step::Drain(None) | Step::Load(_) => false,
        }
    }

    fn loads(&self) -> usize {
        let loads = |task: &&Task| matches!(task.step, Step::Load(_));
        self.tasks.iter().filter(loads).count()
    }

    fn drains(&self) -> usize {
        let drains = |task: &&Task| matches!(task.step, Step::Drain(_));
        self.tasks.iter().filter(drains).count()
    }

    /// Drains engines with an old version, as many as may load at once and as can be spared.
    fn begin_drains(&mut self, now: Time, wanted: &Wanted, engines: &[Engine]) {
        let spare = self.serving(engines).saturating_sub(wanted.needed);
        let under_way = self.loads() + self.drains();
        let mut room = self
            .settings
            .share
            .max_loads
            .saturating_sub(under_way)
            .min(spare);
        let mut old: Vec<&Engine> = engines
            .iter()
            .filter(|e| !e.leaving && e.model.is_some() && !e.runs(wanted))
            .collect();
        old.sort_by_key(|engine| engine.open);
        for engine in old {
            let task = self.task(&engine.endpoint);
            if room > 0 && task.step == Step::Rest && task.retry_at <= now {
                task.step = Step::Drain(None);
                task.sent_at = None;
                room -= 1;
            }
        }
    }

    fn measure(&mut self, wanted: &Wanted, engines: &[Engine]) {
        let serving = self.serving(engines);
        let old = |e: &Engine| !e.leaving && e.model.is_some() && !e.runs(wanted);
        let under_way = self.loads() + self.drains();
        self.progress = Progress {
            serving,
            current: engines.iter().filter(|e| e.is_current(wanted)).count(),
            loading: self.loads(),
            draining: self.drains(),
            timeouts: self.progress.timeouts,
            surge: under_way == 0 && serving <= wanted.needed && engines.iter().any(old),
        };
    }

    /// Orders that aren't seen obeyed, each at most once in `repeat`.
    fn send(&mut self, now: Time, wanted: &Wanted, engines: &[Engine]) -> Vec<Order> {
        let mut orders = Vec::new();
        for engine in engines.iter().filter(|engine| !engine.leaving) {
            let Some(order) = self.order(wanted, engine) else {
                continue;
            };
            let repeat = self.settings.repeat;
            let task = self.task(&engine.endpoint);
            if task.sent_at.is_some_and(|sent_at| now < sent_at + repeat) {
                continue;
            }
            task.sent_at = Some(now);
            orders.push(order);
        }
        orders
    }

    fn order(&mut self, wanted: &Wanted, engine: &Engine) -> Option<Order> {
        let role = self.settings.role;
        let order = match self.step_of(&engine.endpoint) {
            Step::Load(_) => Order::load(wanted, engine, role),
            Step::Drain(_) => Order::stay(engine, Role::Drain)?,
            Step::Rest => Order::stay(engine, role)?,
        };
        let changes = engine.model.as_ref().is_some_and(|m| *m != order.model);
        if changes && engine.loading.is_none() && engine.open > 0 {
            let broken = Broken::Busy(engine.endpoint.clone(), engine.open);
            self.broken.get_or_insert(broken);
            return None;
        }
        let obeyed = order.role == engine.role
            && engine.model.as_ref() == Some(&order.model)
            && engine.adapters == order.adapters;
        let task = self.task(&engine.endpoint);
        let unsent = matches!(task.step, Step::Load(_)) && task.sent_at.is_none();
        (!obeyed && (engine.loading.is_none() || unsent)).then_some(order)
    }
}

fn find<'a>(engines: &'a [Engine], endpoint: &id::Endpoint) -> Option<&'a Engine> {
    let at = engines.binary_search_by(|engine| engine.endpoint.cmp(endpoint));
    at.ok().map(|at| &engines[at])
}
