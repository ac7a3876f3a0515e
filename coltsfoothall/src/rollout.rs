//! The rollout of a model version and its adapters over the engines of a service.
//!
//! Orders describe the desired state, so they are idempotent and may be sent again at any
//! time. Weights come from a store with a limited rate, and an engine that loads another
//! version cannot serve meanwhile. Loads are therefore ordered: engines without a model
//! first, then adapters on serving engines, then engines with an old version, as long as
//! the number of engines that the load requires keeps serving. An engine with an old
//! version is drained first, and it loads only after it has been idle for as long as its
//! new role takes to reach every entry instance.

use std::time::Duration;

use quick_error::quick_error;

use crate::clock::Time;
use crate::id;
use crate::order::{Engine, Loaded, Order, Role, Wanted};
use crate::share;
use crate::size::Bytes;

/// Maximum number of times that the initial backoff between two attempts on one engine
/// doubles.
const MAX_DOUBLINGS: u32 = 6;

/// Timing of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Share of the weight store's rate.
    pub share: share::Settings,
    /// How long a drained engine must be reported idle before it loads.
    pub settle: Duration,
    /// Time after which an order is sent again if the engine has not been reported in the
    /// desired state.
    pub repeat: Duration,
    /// Time that a load may take in addition to its size divided by the rate.
    pub slack: Duration,
    /// Initial backoff after a load has timed out.
    pub backoff: Duration,
    /// Role of serving engines.
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
    /// An invariant that an order would have violated. The order is not sent.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Broken {
        /// The engine still has open requests.
        Busy(endpoint: id::Endpoint, open: u32) {
            display("endpoint {endpoint} was about to load a model with {open} requests open")
        }
    }
}

/// Progress of a rollout.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// Number of engines that accept requests.
    pub serving: usize,
    /// Number of engines that have everything that is wanted.
    pub current: usize,
    /// Number of loads in progress.
    pub loading: usize,
    /// Number of engines that are draining before a load.
    pub draining: usize,
    /// Number of loads that have timed out since the rollout was created.
    pub timeouts: u64,
    /// Whether an additional engine is needed to continue the version change.
    pub surge: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// No change is in progress.
    Idle,
    /// The engine is draining. Holds the time since which it has been reported as draining
    /// and idle.
    Drain(Option<Time>),
    /// The engine is loading. Holds the time at which the load times out.
    Load(Time),
}

#[derive(Debug, Clone)]
struct Task {
    endpoint: id::Endpoint,
    step: Step,
    /// The model of the last load. The wanted model may have changed since.
    goal: Option<Loaded>,
    sent_at: Option<Time>,
    failures: u32,
    retry_at: Time,
}

/// A rollout over the engines of one service.
#[derive(Debug, Clone)]
pub struct Rollout {
    settings: Settings,
    bucket: share::Bucket,
    tasks: Vec<Task>,
    progress: Progress,
    broken: Option<Broken>,
}

impl Rollout {
    /// Creates a rollout without loads. Loads that are already in progress are adopted when
    /// they are reported.
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

    /// Progress at the last tick.
    #[must_use]
    pub fn progress(&self) -> Progress {
        self.progress
    }

    /// The first order that was withheld because it would have violated an invariant.
    #[must_use]
    pub fn broken(&self) -> Option<&Broken> {
        self.broken.as_ref()
    }

    /// Returns the orders to send now. `engines` must be sorted by endpoint.
    pub fn tick(&mut self, now: Time, wanted: &Wanted, engines: &[Engine]) -> Vec<Order> {
        self.update(now, wanted, engines);
        self.keep_serving(wanted, engines);
        self.begin_loads(now, wanted, engines);
        self.begin_drains(now, wanted, engines);
        self.update_progress(wanted, engines);
        self.send(now, wanted, engines)
    }

    fn task(&mut self, endpoint: &id::Endpoint) -> &mut Task {
        let found = self.tasks.binary_search_by(|t| t.endpoint.cmp(endpoint));
        let index = found.unwrap_or_else(|index| {
            let task = Task {
                endpoint: endpoint.clone(),
                step: Step::Idle,
                goal: None,
                sent_at: None,
                failures: 0,
                retry_at: Time::START,
            };
            self.tasks.insert(index, task);
            index
        });
        &mut self.tasks[index]
    }

    fn step_of(&self, endpoint: &id::Endpoint) -> Step {
        let found = self.tasks.binary_search_by(|t| t.endpoint.cmp(endpoint));
        found.map_or(Step::Idle, |index| self.tasks[index].step)
    }

    /// Updates the tasks from the reported state of the engines.
    fn update(&mut self, now: Time, wanted: &Wanted, engines: &[Engine]) {
        self.tasks
            .retain(|task| find(engines, &task.endpoint).is_some_and(|e| !e.leaving));
        for engine in engines.iter().filter(|engine| !engine.leaving) {
            let step = self.step_of(&engine.endpoint);
            let next = self.next(now, wanted, engine, step);
            let timed_out = matches!(step, Step::Load(until) if until <= now);
            let failed = timed_out && !engine.is_current(wanted);
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
            Step::Load(_) if engine.is_current(wanted) => Step::Idle,
            Step::Load(until) if until <= now => Step::Idle,
            // It may already serve the model that was wanted before, so it is drained
            // before it loads again.
            Step::Load(_) if engine.loading.is_none() && self.is_stale(wanted, engine) => {
                Step::Idle
            }
            Step::Load(until) => Step::Load(until),
            Step::Drain(_) if engine.runs(wanted) => Step::Idle,
            Step::Drain(since) => Step::Drain(idle.then_some(since.unwrap_or(now))),
            Step::Idle if engine.loading.is_some() && self.is_due(now, engine) => {
                self.adopt(now, wanted, engine)
            }
            Step::Idle if engine.role == Role::Drain && !engine.runs(wanted) => {
                Step::Drain(idle.then_some(now))
            }
            Step::Idle => Step::Idle,
        }
    }

    fn is_due(&mut self, now: Time, engine: &Engine) -> bool {
        self.task(&engine.endpoint).retry_at <= now
    }

    /// Whether a different model was wanted when its load began.
    fn is_stale(&mut self, wanted: &Wanted, engine: &Engine) -> bool {
        let goal = &self.task(&engine.endpoint).goal;
        goal.as_ref()
            .is_some_and(|goal| *goal != wanted.model.loaded)
    }

    /// Adopts a load that a previous steward ordered.
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

    /// Stops draining engines if the load requires them after all.
    fn keep_serving(&mut self, wanted: &Wanted, engines: &[Engine]) {
        let returning = engines.iter().filter(|engine| self.returns(engine)).count();
        let mut short = wanted
            .needed
            .saturating_sub(self.serving(engines) + returning);
        for engine in engines.iter().filter(|engine| engine.model.is_some()) {
            let draining = matches!(self.step_of(&engine.endpoint), Step::Drain(_));
            if short > 0 && draining && !engine.leaving {
                let task = self.task(&engine.endpoint);
                task.step = Step::Idle;
                task.sent_at = None;
                short -= 1;
            }
        }
    }

    /// Whether the engine is about to be ordered to serve again.
    fn returns(&self, engine: &Engine) -> bool {
        let is_idle = self.step_of(&engine.endpoint) == Step::Idle;
        is_idle && !engine.leaving && engine.model.is_some() && engine.role == Role::Drain
    }

    /// Number of engines that accept requests and will continue to do so.
    fn serving(&self, engines: &[Engine]) -> usize {
        let continues = |e: &Engine| match self.step_of(&e.endpoint) {
            Step::Idle | Step::Load(_) => true,
            Step::Drain(_) => false,
        };
        engines
            .iter()
            .filter(|e| e.serves() && continues(e))
            .count()
    }

    fn begin_loads(&mut self, now: Time, wanted: &Wanted, engines: &[Engine]) {
        let mut ready: Vec<(u8, &Engine)> = engines
            .iter()
            .filter(|engine| !engine.leaving && self.is_ready(now, wanted, engine))
            .map(|engine| (engine.urgency(wanted), engine))
            .collect();
        ready.sort_by_key(|(urgency, _engine)| *urgency);
        let limit = self.settings.share.max_loads;
        let mut free_loads = limit.saturating_sub(self.loads());
        for (_urgency, engine) in ready {
            if free_loads == 0 || !self.bucket.is_free(now) {
                return;
            }
            let size = engine.missing(wanted);
            self.bucket.charge(now, size);
            let until = self.deadline(now, size);
            let task = self.task(&engine.endpoint);
            task.step = Step::Load(until);
            task.goal = Some(wanted.model.loaded.clone());
            task.sent_at = None;
            free_loads -= 1;
        }
    }

    fn is_ready(&mut self, now: Time, wanted: &Wanted, engine: &Engine) -> bool {
        let settle = self.settings.settle;
        let task = self.task(&engine.endpoint);
        let due = task.retry_at <= now && !engine.is_current(wanted);
        match task.step {
            Step::Idle => due && (engine.model.is_none() || engine.runs(wanted)),
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

    /// Drains engines with an old version: as many as may load at once and can be spared.
    fn begin_drains(&mut self, now: Time, wanted: &Wanted, engines: &[Engine]) {
        let spare = self.serving(engines).saturating_sub(wanted.needed);
        let under_way = self.loads() + self.drains();
        let mut free_loads = self
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
            if free_loads > 0 && task.step == Step::Idle && task.retry_at <= now {
                task.step = Step::Drain(None);
                task.sent_at = None;
                free_loads -= 1;
            }
        }
    }

    fn update_progress(&mut self, wanted: &Wanted, engines: &[Engine]) {
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

    /// Returns the orders that have not taken effect, each at most once per `repeat`.
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
            Step::Drain(_) => Order::change_role(engine, Role::Drain)?,
            Step::Idle => Order::change_role(engine, role)?,
        };
        let changes = engine.model.as_ref().is_some_and(|m| *m != order.model);
        if changes && engine.loading.is_none() && engine.open > 0 {
            let broken = Broken::Busy(engine.endpoint.clone(), engine.open);
            self.broken.get_or_insert(broken);
            return None;
        }
        let in_effect = order.role == engine.role
            && engine.model.as_ref() == Some(&order.model)
            && engine.adapters == order.adapters;
        let task = self.task(&engine.endpoint);
        let unsent = matches!(task.step, Step::Load(_)) && task.sent_at.is_none();
        (!in_effect && (engine.loading.is_none() || unsent)).then_some(order)
    }
}

fn find<'a>(engines: &'a [Engine], endpoint: &id::Endpoint) -> Option<&'a Engine> {
    let index = engines.binary_search_by(|engine| engine.endpoint.cmp(endpoint));
    index.ok().map(|index| &engines[index])
}
