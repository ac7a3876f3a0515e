//! One open request at its owner: a task around [`Request`].

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc::{self, Receiver, Sender, UnboundedReceiver, UnboundedSender};
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

use coltsfoothall::clock::Time;
use coltsfoothall::id;
use coltsfoothall::key::Slot;
use coltsfoothall::limit::Number;
use coltsfoothall::prefix;
use coltsfoothall::record::{Change, Class, End, Intake, Record, Work};
use coltsfoothall::request::{Request, Settings};
use coltsfoothall::size::Tokens;
use coltsfoothall::step::{Action, Dropped, Input};

use crate::endpoint::{Ended, Job};
use crate::feed::Feed;
use crate::message::Message;
use crate::node::Node;
use crate::pick::Pick;

/// Pieces of answers that wait for the relay; an endpoint that is faster waits.
const PIECES: usize = 256;

/// How long an interactive request goes on with nobody following it. A caller
/// that lost its connection comes back well within.
const UNFOLLOWED: Duration = Duration::from_secs(20);

/// Between two looks at whether somebody follows.
const LOOK: Duration = Duration::from_secs(5);

/// Between two tries of a change that found the ledger full.
const RETRY: Duration = Duration::from_millis(20);

/// A change that waits for room in the ledger, with its number.
#[derive(Debug)]
struct Held {
    seq: u64,
    change: Change,
}

/// How a relay begins.
#[derive(Debug)]
pub enum Begun {
    /// With a request that was just accepted.
    New {
        /// The request.
        intake: Box<Intake>,
        /// Its place at the gate.
        number: Option<Number>,
    },
    /// With the record of another owner.
    Resumed(Box<Record>),
}

impl Begun {
    /// The request.
    #[must_use]
    pub fn intake(&self) -> &Intake {
        match self {
            Self::New { intake, .. } => intake,
            Self::Resumed(record) => &record.intake,
        }
    }
}

/// An attempt under way.
#[derive(Debug)]
struct Running {
    attempt: u64,
    stop: CancellationToken,
    started: bool,
}

struct Relay {
    node: Arc<Node>,
    slot: Slot,
    request: Request,
    feed: Arc<Feed>,
    signals: UnboundedSender<Input>,
    pieces: Sender<Input>,
    /// Its place at the gate.
    number: Option<Number>,
    running: Vec<Running>,
    /// When to look again whether somebody follows.
    look: Instant,
    /// Changes that found the ledger full, in order.
    held: VecDeque<Held>,
}

/// Starts a relay; inputs from control and ledger go to what it returns.
pub fn spawn(node: Arc<Node>, slot: Slot, begun: Begun, feed: Arc<Feed>) -> UnboundedSender<Input> {
    let (signals, heard) = mpsc::unbounded_channel();
    let (pieces, arrived) = mpsc::channel(PIECES);
    let now = node.now();
    let (request, number) = match begun {
        Begun::New { intake, number } => (Request::new(*intake, now, Settings::default()), number),
        Begun::Resumed(record) => (Request::resume(*record, now, Settings::default()), None),
    };
    feed.show(request.record(), request.released());
    let traffic = node.traffic.clone();
    let relay = Relay {
        node,
        slot,
        request,
        feed,
        signals: signals.clone(),
        pieces,
        number,
        running: Vec::new(),
        look: Instant::now() + LOOK,
        held: VecDeque::new(),
    };
    traffic.spawn(relay.run(heard, arrived));
    signals
}

impl Relay {
    async fn run(mut self, mut heard: UnboundedReceiver<Input>, mut arrived: Receiver<Input>) {
        self.handle(Input::Begin);
        while !self.request.over() || !self.held.is_empty() {
            let wake = self.wake();
            let idle = self.held.is_empty();
            let input = tokio::select! {
                // News of the copies and of endpoints go before pieces of answers.
                biased;
                Some(input) = heard.recv() => input,
                // The endpoint waits while changes wait, so these stay few.
                Some(input) = arrived.recv(), if idle => input,
                () = sleep_until(wake) => self.tick(),
            };
            self.handle(input);
            if self.request.over() && self.request.end().is_none() {
                // Sealed: the records are another owner's now.
                self.held.clear();
            }
            self.retry();
        }
        self.stop_all();
        if let Some(number) = self.number {
            self.node.control.send(Message::Over(number));
        }
        if self.request.end().is_none() {
            self.feed.moved();
        }
        let name = &self.request.record().intake.name;
        self.node.desk.end(&self.node, self.slot, name, &self.feed);
    }

    fn wake(&self) -> Instant {
        let due = self
            .request
            .wake()
            .map(|at| self.node.start + at.since(Time::START));
        let wake = due.map_or(self.look, |due| due.min(self.look));
        if self.held.is_empty() {
            return wake;
        }
        wake.min(Instant::now() + RETRY)
    }

    /// What the passing of time means.
    fn tick(&mut self) -> Input {
        let now = Instant::now();
        if now < self.look {
            return Input::Tick;
        }
        self.look = now + LOOK;
        let alone = self
            .feed
            .unfollowed()
            .is_some_and(|span| span >= UNFOLLOWED);
        if alone && self.stoppable() {
            Input::Cancel
        } else {
            Input::Tick
        }
    }

    /// Whether stopping it saves work. A call that may not be repeated runs on
    /// at its service, and its caller may still come back for the answer.
    fn stoppable(&self) -> bool {
        let record = self.request.record();
        let interactive = record.intake.class == Class::Interactive;
        interactive && (record.intake.idempotent || !record.begun())
    }

    fn handle(&mut self, input: Input) {
        let mut next = Some(input);
        while let Some(input) = next.take() {
            let mut actions = Vec::new();
            if let Err(broken) = self.request.handle(self.node.now(), input, &mut actions) {
                self.node.broken("request", &broken);
            }
            for action in actions {
                if let Some(input) = self.act(action) {
                    // Settled at once; it must not overtake what is queued for it.
                    if self.signals.send(input).is_err() {
                        return;
                    }
                }
            }
        }
    }

    fn act(&mut self, action: Action) -> Option<Input> {
        match action {
            Action::Record { seq, change } => return self.record(seq, change),
            Action::Pick { exclude } => self.pick(exclude),
            Action::Retry => self.node.control.send(Message::Retry {
                service: self.request.record().intake.service.clone(),
                attempts: self.request.record().attempts,
                reply: self.signals.clone(),
            }),
            Action::Start {
                attempt,
                endpoint,
                resume,
                offset,
            } => {
                self.start(attempt, &endpoint, resume, offset);
            }
            Action::Abort { attempt } => self.abort(attempt),
            Action::Release { tokens } => self.feed.show(self.request.record(), tokens),
            Action::Finish { end, retry_after } => self.finish(end, retry_after),
            Action::Cached {
                attempt,
                cached,
                resumed,
            } => {
                self.count_recomputed(cached, resumed);
                self.node.control.send(Message::First { attempt, cached });
            }
            Action::Count(dropped) => self.node.board.dropped(name(dropped)),
        }
        None
    }

    fn record(&mut self, seq: u64, change: Change) -> Option<Input> {
        if matches!(change, Change::Accept(_)) {
            // The ledger made this change when it took the request in.
            return None;
        }
        if !self.held.is_empty() {
            self.held.push_back(Held { seq, change });
            return None;
        }
        let name = &self.request.record().intake.name;
        let recorded = self.node.desk.record(&self.node, name, seq, change);
        recorded.unwrap_or_else(|change| {
            self.held.push_front(Held { seq, change });
            None
        })
    }

    /// Records what waits, in its order, as far as there is room now.
    fn retry(&mut self) {
        let mut waiting = std::mem::take(&mut self.held);
        while let Some(Held { seq, change }) = waiting.pop_front() {
            let input = self.record(seq, change);
            if input.is_some_and(|input| self.signals.send(input).is_err()) {
                return;
            }
            if !self.held.is_empty() {
                break;
            }
        }
        self.held.append(&mut waiting);
    }

    fn pick(&mut self, exclude: Vec<id::Endpoint>) {
        let record = self.request.record();
        let attempt = rand::random();
        let deadline = self.request.deadline();
        let mut pick = Pick::new(&record.intake, &record.text, attempt, exclude, deadline);
        pick.number = self.number;
        self.running.push(Running {
            attempt,
            stop: CancellationToken::new(),
            started: false,
        });
        self.node.control.send(Message::Pick {
            pick,
            reply: self.signals.clone(),
        });
    }

    fn start(&mut self, attempt: u64, endpoint: &id::Endpoint, resume: String, offset: u64) {
        let address = self.address(endpoint);
        let fence = self.fence();
        let Some(running) = self.running.iter_mut().find(|r| r.attempt == attempt) else {
            return;
        };
        running.started = true;
        let job = Job {
            attempt,
            address,
            intake: self.request.record().intake.clone(),
            resume,
            offset,
            fence,
        };
        let node = Arc::clone(&self.node);
        let stop = running.stop.clone();
        let pieces = self.pieces.clone();
        tokio::spawn(async move {
            let address = job.address.clone();
            let engine = matches!(job.intake.work, Work::Completion { .. });
            let ended = tokio::select! {
                () = stop.cancelled() => Ended::Unheard,
                ended = node.runner.run(job, pieces) => ended,
            };
            node.control.send(Message::Ended { attempt, ended });
            if ended == Ended::Unheard && engine {
                node.runner.cancel(address, attempt).await;
            }
        });
    }

    /// Where an endpoint listens; nowhere if it has just left the list.
    fn address(&self, endpoint: &id::Endpoint) -> String {
        let view = self.node.view();
        view.place(endpoint)
            .map(|place| place.address.clone())
            .unwrap_or_default()
    }

    /// The slot's epoch, for services that check fencing numbers.
    fn fence(&self) -> u64 {
        let view = self.node.view();
        view.table
            .entry(self.slot)
            .map_or(0, |entry| u64::from(entry.epoch.0))
    }

    fn abort(&mut self, attempt: u64) {
        let Some(at) = self.running.iter().position(|r| r.attempt == attempt) else {
            return;
        };
        let running = self.running.swap_remove(at);
        running.stop.cancel();
        if !running.started {
            self.node.control.send(Message::Ended {
                attempt,
                ended: Ended::Unheard,
            });
        }
    }

    fn finish(&mut self, end: End, retry_after: Option<Duration>) {
        self.feed.end(self.request.record(), end, retry_after);
    }

    /// Counts what an attempt after the first had to read again.
    fn count_recomputed(&self, cached: Tokens, resumed: u64) {
        let record = self.request.record();
        let Work::Completion { prompt, .. } = &record.intake.work else {
            return;
        };
        if record.attempts < 2 {
            return;
        }
        let read = prefix::tokens(prompt).0 + resumed;
        let labels = self.node.labels(&record.intake.name, record.intake.class);
        self.node
            .board
            .recomputed(&labels, read.saturating_sub(cached.0));
    }

    fn stop_all(&mut self) {
        while let Some(running) = self.running.pop() {
            running.stop.cancel();
            if !running.started {
                self.node.control.send(Message::Ended {
                    attempt: running.attempt,
                    ended: Ended::Unheard,
                });
            }
        }
    }
}

fn name(dropped: Dropped) -> &'static str {
    match dropped {
        Dropped::Superseded => "superseded",
        Dropped::Duplicate => "doubled",
        Dropped::Late => "late",
        Dropped::Gap => "gap",
        Dropped::Malformed => "malformed",
    }
}
