//! State of a model engine: batch, streams, orders, and what it reports late.

use rand::Rng;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use coltsfoothall::clock::Time;
use coltsfoothall::id;
use coltsfoothall::prefix::{self, Block};
use coltsfoothall_wire::engine::{
    Attempt, Boot, Chunk, Events, Generate, Load, Loaded, Order, Role, State,
};

use crate::batch::{Batch, Error, Job, Output};
use crate::denial::Denial;
use crate::report::{Counts, Log};
use crate::setting::{Fencing, Settings};
use crate::stream::{Stream, digest, last, token};

/// Exit code of an engine that a request crashed.
const CRASHED: i32 = 70;

/// A load of a model or adapter under way.
#[derive(Debug)]
struct Loading {
    until: Time,
    order: Order,
}

/// A model engine.
#[derive(Debug)]
pub struct Model {
    name: String,
    /// The model that it starts with.
    model: id::Model,
    /// This run of the process.
    boot: Boot,
    settings: Settings,
    batch: Batch,
    state: State,
    loading: Option<Loading>,
    /// Sorted by attempt.
    streams: Vec<Stream>,
    log: Log,
    counts: Counts,
    draining: bool,
}

impl Model {
    /// An idle engine with its model loaded.
    #[must_use]
    pub fn new(name: &str, model: &id::Model, settings: Settings) -> Self {
        let mut adapters = settings.adapters.clone();
        adapters.sort_unstable();
        let loaded = Loaded {
            name: model.as_str().into(),
            version: settings.version,
        };
        Self {
            name: name.into(),
            model: model.clone(),
            boot: Boot(rand::rng().random()),
            batch: Batch::new(settings.batch),
            state: State {
                model: Some(loaded),
                adapters,
                ..State::default()
            },
            loading: None,
            streams: Vec::new(),
            log: Log::new(&settings),
            counts: Counts::default(),
            draining: false,
            settings,
        }
    }

    /// Takes a request and gives the end of its stream.
    ///
    /// # Errors
    /// The engine does not take it; nothing was begun.
    pub fn submit(
        &mut self,
        now: Time,
        request: Generate,
    ) -> Result<UnboundedReceiver<Chunk>, Denial> {
        let taken = self.admit(now, request);
        match &taken {
            Ok(_stream) => self.counts.attempts += 1,
            Err(_denial) => self.counts.refused += 1,
        }
        self.observe(now);
        taken
    }

    /// Ends a request; what was read of it stays in the cache.
    pub fn cancel(&mut self, now: Time, attempt: Attempt) {
        let Ok(index) = self.find(attempt) else {
            return;
        };
        self.streams.remove(index);
        self.batch.cancel(attempt);
        self.counts.cancelled += 1;
        self.observe(now);
    }

    /// When the engine has something to do next.
    #[must_use]
    pub fn next_at(&self) -> Option<Time> {
        let load = self.loading.as_ref().map(|loading| loading.until);
        [self.batch.next_at(), load].into_iter().flatten().min()
    }

    /// Does what is due.
    pub fn advance(&mut self, now: Time) {
        while self.batch.next_at().is_some_and(|at| at <= now) {
            for output in self.batch.step(now) {
                self.emit(output);
            }
        }
        if let Some(done) = self.loading.take_if(|loading| loading.until <= now) {
            self.loaded(done.order);
        }
        self.observe(now);
    }

    /// Takes an order.
    ///
    /// # Errors
    /// The order's fencing number is old, and this engine looks at it.
    pub fn order(&mut self, now: Time, order: Order) -> Result<State, Denial> {
        if self.settings.fencing == Fencing::Checked && order.fence < self.state.fence {
            self.counts.orders_refused += 1;
            let mut denial = Denial::new(409, "order has an old fencing number");
            denial.refusal.fence = Some(self.state.fence);
            return Err(denial);
        }
        self.counts.orders_taken += 1;
        self.state.fence = self.state.fence.max(order.fence);
        self.state.role = order.role;
        self.batch.prefer_long(order.role == Role::Prefill);
        self.load_for(now, order);
        Ok(self.state())
    }

    /// The state it is in.
    #[must_use]
    pub fn state(&self) -> State {
        self.state.clone()
    }

    /// The load as reported, some time old.
    #[must_use]
    pub fn load(&self, now: Time) -> Load {
        let idle = Load {
            capacity: self.batch.cache.capacity(),
            ..Load::default()
        };
        Load {
            boot: Some(self.boot),
            ..self.log.load(now).unwrap_or(idle)
        }
    }

    /// Cache events after a number, those that are old enough and not lost.
    #[must_use]
    pub fn events(&self, now: Time, after: u64) -> Events {
        self.log.events(now, after)
    }

    /// A block as opaque bytes, if it is held.
    #[must_use]
    pub fn export(&self, block: Block) -> Option<Vec<u8>> {
        self.batch.cache.has(block).then(|| self.image(block))
    }

    /// Takes a block that an engine of the same kind exported.
    ///
    /// # Errors
    /// The bytes are not those of the block.
    pub fn import(&mut self, now: Time, block: Block, bytes: &[u8]) -> Result<(), Denial> {
        if bytes != self.image(block) {
            return Err(Denial::new(400, "bytes are not those of the block"));
        }
        self.batch.cache.store(&[block]);
        self.observe(now);
        Ok(())
    }

    /// What it has done.
    #[must_use]
    pub fn counts(&self) -> Counts {
        Counts {
            computed: self.batch.computed(),
            saved: self.batch.saved(),
            ..self.counts.clone()
        }
    }

    /// Holds all work until a time.
    pub fn stall(&mut self, until: Time) {
        self.batch.stall(until);
    }

    /// Takes nothing new from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Counts a request that was refused on demand.
    pub fn refuse(&mut self) -> Denial {
        self.counts.refused += 1;
        Denial::new(503, "refused on demand")
    }

    fn admit(&mut self, now: Time, request: Generate) -> Result<UnboundedReceiver<Chunk>, Denial> {
        self.check(&request)?;
        let (limit, finish) = last(&request);
        let (sender, receiver) = unbounded_channel();
        let seed = prefix::seed(&request.model, request.adapter.as_ref());
        let text = format!("{}{}", request.prompt, request.resume);
        if request.offset >= limit {
            let nothing_left = Chunk {
                attempt: request.attempt,
                offset: request.offset,
                tokens: 0,
                text: String::new(),
                finish: Some(finish),
                cached: None,
            };
            // The receiver is in hand, so the chunk arrives.
            let _sent = sender.send(nothing_left);
            self.counts.ran(request.attempt, digest(&request.prompt));
            return Ok(receiver);
        }
        let job = Job {
            attempt: request.attempt,
            priority: request.priority,
            prompt: prefix::tokens(&text),
            blocks: prefix::blocks(seed, &text),
            tokens: limit - request.offset,
        };
        self.batch.submit(now, job).map_err(|error| match error {
            Error::Full(_) => Denial::new(503, error.to_string()),
            Error::Duplicate(_) => Denial::new(409, error.to_string()),
        })?;
        self.counts.ran(request.attempt, digest(&request.prompt));
        let stream = Stream {
            attempt: request.attempt,
            sender,
            digest: digest(&request.prompt),
            next: request.offset,
            finish,
            crash: request.prompt.contains("crash-engine"),
            seed,
            text,
        };
        let place = self.find(stream.attempt).unwrap_or_else(|place| place);
        self.streams.insert(place, stream);
        Ok(receiver)
    }

    fn check(&self, request: &Generate) -> Result<(), Denial> {
        if self.draining || self.state.role == Role::Drain {
            return Err(Denial::new(503, "engine takes nothing new"));
        }
        let model = self.state.model.as_ref();
        if model.is_none() && self.state.loading.is_some() {
            return Err(Denial::new(503, "engine is loading its model"));
        }
        if model.is_none_or(|loaded| loaded.name != request.model.as_str()) {
            let message = format!("model {} is not loaded", request.model);
            return Err(Denial::new(404, message));
        }
        match &request.adapter {
            Some(adapter) if !self.holds(adapter) => {
                let message = format!("adapter {adapter} is not loaded");
                Err(Denial::new(404, message))
            }
            _ => Ok(()),
        }
    }

    fn holds(&self, adapter: &id::Adapter) -> bool {
        let names = &self.state.adapters;
        names
            .binary_search_by(|a| a.name.as_str().cmp(adapter.as_str()))
            .is_ok()
    }

    fn find(&self, attempt: Attempt) -> Result<usize, usize> {
        self.streams.binary_search_by_key(&attempt, |s| s.attempt)
    }

    /// Hands a token to its stream.
    fn emit(&mut self, output: Output) {
        let Ok(index) = self.find(output.attempt) else {
            return;
        };
        let stream = &mut self.streams[index];
        if stream.crash {
            self.crash();
            return;
        }
        let text = token(stream.digest, stream.next, &self.name);
        stream.text.push_str(&text);
        let chunk = Chunk {
            attempt: output.attempt,
            offset: stream.next,
            tokens: 1,
            text,
            finish: output.done.then_some(stream.finish),
            cached: output.cached,
        };
        stream.next += 1;
        self.counts.tokens += 1;
        // A reader that left cancels its attempt by itself.
        let _left = stream.sender.send(chunk);
        if output.done {
            let ended = self.streams.remove(index);
            // What was made is in the cache like what was read.
            self.batch
                .cache
                .store(&prefix::blocks(ended.seed, &ended.text));
        }
    }

    /// Ends the process, or all that it ran and knew where its port stays open.
    fn crash(&mut self) {
        if !self.settings.keeps_port {
            std::process::exit(CRASHED);
        }
        let counts = Counts {
            crashes: self.counts.crashes + 1,
            ..std::mem::take(&mut self.counts)
        };
        let fresh = Self::new(&self.name, &self.model, self.settings.clone());
        *self = Self { counts, ..fresh };
    }

    /// Begins to load what an order names and the engine does not hold.
    fn load_for(&mut self, now: Time, mut order: Order) {
        order.adapters.sort_unstable();
        let pending = self.loading.as_ref();
        if pending
            .is_some_and(|p| p.order.model == order.model && p.order.adapters == order.adapters)
        {
            return;
        }
        let held = self.state.model.as_ref() == Some(&order.model);
        let adapters = &self.state.adapters;
        let missing = order
            .adapters
            .iter()
            .find(|a| adapters.binary_search(a).is_err());
        let count = order
            .adapters
            .iter()
            .filter(|a| adapters.binary_search(a).is_err())
            .count();
        let mut size = self.settings.adapter_size.0.saturating_mul(count as u64);
        let loading = match (held, missing) {
            (true, None) => {
                self.loading = None;
                self.state.loading = None;
                self.state.adapters = order.adapters;
                return;
            }
            (true, Some(adapter)) => adapter.clone(),
            (false, _) => {
                size = size.saturating_add(self.settings.model_size.0);
                self.state.model = None;
                self.state.adapters.clear();
                order.model.clone()
            }
        };
        self.state.loading = Some(loading);
        let micros = size.saturating_mul(1000) / self.settings.load_rate.0.div_ceil(1000).max(1);
        let until = now + std::time::Duration::from_micros(micros);
        self.loading = Some(Loading { until, order });
    }

    fn loaded(&mut self, order: Order) {
        if self.state.model.as_ref() != Some(&order.model) {
            self.batch.cache.clear();
        }
        self.state.model = Some(order.model);
        self.state.adapters = order.adapters;
        self.state.loading = None;
    }

    /// Notes load and cache events as of now, to be reported later.
    fn observe(&mut self, now: Time) {
        self.log.note_load(now, self.batch.load());
        self.log.note_events(now, &mut self.batch.cache);
    }

    /// The bytes of a block, the same on every engine.
    fn image(&self, block: Block) -> Vec<u8> {
        let len = usize::try_from(self.settings.block_size.0)
            .unwrap_or(0)
            .max(8);
        block
            .0
            .to_le_bytes()
            .into_iter()
            .cycle()
            .take(len)
            .collect()
    }
}
