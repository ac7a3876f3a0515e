//! The task that runs one open request at its owner, around [`Request`].

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

/// Capacity of the queue of answer pieces. A faster endpoint waits.
const PIECE_QUEUE_LEN: usize = 256;

/// How long an interactive request continues without a follower. A caller that lost its
/// connection reconnects well within this time.
const UNFOLLOWED_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which a request is checked for followers.
const FOLLOWER_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Delay before a change that found the ledger full is tried again.
const RECORD_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A change that waits for room in the ledger, with its sequence number.
#[derive(Debug)]
struct Waiting {
    seq: u64,
    change: Change,
}

/// The origin of a relay's request.
#[derive(Debug)]
pub enum Origin {
    /// The request was just accepted.
    New {
        /// The request.
        intake: Box<Intake>,
        /// Its admission.
        number: Option<Number>,
    },
    /// The request has a record from another owner.
    Resumed(Box<Record>),
}

impl Origin {
    /// The request.
    #[must_use]
    pub fn intake(&self) -> &Intake {
        match self {
            Self::New { intake, .. } => intake,
            Self::Resumed(record) => &record.intake,
        }
    }
}

/// A running attempt.
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
    /// Its admission.
    number: Option<Number>,
    running: Vec<Running>,
    /// When to check again for followers.
    follower_check: Instant,
    /// Changes that found the ledger full, in order.
    waiting: VecDeque<Waiting>,
}

/// Starts a relay. Inputs from the control thread and the ledger go to the sender that it
/// returns.
pub fn spawn(
    node: Arc<Node>,
    slot: Slot,
    origin: Origin,
    feed: Arc<Feed>,
) -> UnboundedSender<Input> {
    let (signals, signal_inputs) = mpsc::unbounded_channel();
    let (pieces, piece_inputs) = mpsc::channel(PIECE_QUEUE_LEN);
    let now = node.now();
    let (request, number) = match origin {
        Origin::New { intake, number } => (Request::new(*intake, now, Settings::default()), number),
        Origin::Resumed(record) => (Request::resume(*record, now, Settings::default()), None),
    };
    feed.release(request.record(), request.released());
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
        follower_check: Instant::now() + FOLLOWER_CHECK_INTERVAL,
        waiting: VecDeque::new(),
    };
    traffic.spawn(relay.run(signal_inputs, piece_inputs));
    signals
}

impl Relay {
    async fn run(
        mut self,
        mut signal_inputs: UnboundedReceiver<Input>,
        mut piece_inputs: Receiver<Input>,
    ) {
        self.handle(Input::Begin);
        while !self.request.over() || !self.waiting.is_empty() {
            let wake = self.next_wake();
            let none_waiting = self.waiting.is_empty();
            let input = tokio::select! {
                // Inputs about copies and endpoints take precedence over pieces of answers.
                biased;
                Some(input) = signal_inputs.recv() => input,
                // No pieces are taken while changes wait. This makes the endpoint wait too, so that
                // few changes pile up.
                Some(input) = piece_inputs.recv(), if none_waiting => input,
                () = sleep_until(wake) => self.on_timer(),
            };
            self.handle(input);
            if self.request.over() && self.request.end().is_none() {
                // The slot was sealed: its records belong to another owner now.
                self.waiting.clear();
            }
            self.record_waiting();
        }
        self.stop_all();
        if let Some(number) = self.number {
            self.node.control.send(Message::Release(number));
        }
        if self.request.end().is_none() {
            self.feed.close_moved();
        }
        let name = &self.request.record().intake.name;
        self.node
            .requests
            .remove_relay(&self.node, self.slot, name, &self.feed);
    }

    fn next_wake(&self) -> Instant {
        let due = self
            .request
            .wake()
            .map(|at| self.node.start + at.since(Time::START));
        let wake = due.map_or(self.follower_check, |due| due.min(self.follower_check));
        if self.waiting.is_empty() {
            return wake;
        }
        wake.min(Instant::now() + RECORD_RETRY_DELAY)
    }

    /// The input when a wait ends: a cancellation if the request has been without a follower
    /// for too long, or else a tick.
    fn on_timer(&mut self) -> Input {
        let now = Instant::now();
        if now < self.follower_check {
            return Input::Tick;
        }
        self.follower_check = now + FOLLOWER_CHECK_INTERVAL;
        let abandoned = self
            .feed
            .unfollowed_for()
            .is_some_and(|span| span >= UNFOLLOWED_TIMEOUT);
        if abandoned && self.stoppable() {
            Input::Cancel
        } else {
            Input::Tick
        }
    }

    /// Whether stopping the request saves work. A call that may not be repeated continues at
    /// its service, and its caller may still come back for the answer.
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
                self.node.report_violation("request", &broken);
            }
            for action in actions {
                if let Some(input) = self.run_action(action) {
                    // Settled at once, but queued so that it does not overtake earlier inputs.
                    if self.signals.send(input).is_err() {
                        return;
                    }
                }
            }
        }
    }

    fn run_action(&mut self, action: Action) -> Option<Input> {
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
            Action::Release { tokens } => self.feed.release(self.request.record(), tokens),
            Action::Finish { end, retry_after } => self.finish(end, retry_after),
            Action::Cached {
                attempt,
                cached,
                resumed,
            } => {
                self.count_recomputed(cached, resumed);
                self.node.control.send(Message::First { attempt, cached });
            }
            Action::Count(dropped) => self.node.board.dropped(dropped_name(dropped)),
        }
        None
    }

    fn record(&mut self, seq: u64, change: Change) -> Option<Input> {
        if matches!(change, Change::Accept(_)) {
            // The ledger made this change when it accepted the request.
            return None;
        }
        if !self.waiting.is_empty() {
            self.waiting.push_back(Waiting { seq, change });
            return None;
        }
        let name = &self.request.record().intake.name;
        let recorded = self.node.requests.record(&self.node, name, seq, change);
        recorded.unwrap_or_else(|change| {
            self.waiting.push_front(Waiting { seq, change });
            None
        })
    }

    /// Records the waiting changes in order, as far as there is room now.
    fn record_waiting(&mut self) {
        let mut earlier = std::mem::take(&mut self.waiting);
        while let Some(Waiting { seq, change }) = earlier.pop_front() {
            let input = self.record(seq, change);
            if input.is_some_and(|input| self.signals.send(input).is_err()) {
                return;
            }
            if !self.waiting.is_empty() {
                break;
            }
        }
        self.waiting.append(&mut earlier);
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
                () = stop.cancelled() => Ended::Abandoned,
                ended = node.runner.run(job, pieces) => ended,
            };
            node.control.send(Message::Ended { attempt, ended });
            if ended == Ended::Abandoned && engine {
                node.runner.cancel(address, attempt).await;
            }
        });
    }

    /// The address of an endpoint; empty if it has just left the instance list.
    fn address(&self, endpoint: &id::Endpoint) -> String {
        let view = self.node.view();
        view.location(endpoint)
            .map(|location| location.address.clone())
            .unwrap_or_default()
    }

    /// The slot's epoch, for services that check fencing tokens.
    fn fence(&self) -> u64 {
        let view = self.node.view();
        view.table
            .entry(self.slot)
            .map_or(0, |entry| u64::from(entry.epoch.0))
    }

    fn abort(&mut self, attempt: u64) {
        let Some(index) = self.running.iter().position(|r| r.attempt == attempt) else {
            return;
        };
        let running = self.running.swap_remove(index);
        running.stop.cancel();
        if !running.started {
            self.node.control.send(Message::Ended {
                attempt,
                ended: Ended::Abandoned,
            });
        }
    }

    fn finish(&mut self, end: End, retry_after: Option<Duration>) {
        self.feed.close(self.request.record(), end, retry_after);
    }

    /// Counts the tokens that an attempt after the first had to process again.
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
                    ended: Ended::Abandoned,
                });
            }
        }
    }
}

fn dropped_name(dropped: Dropped) -> &'static str {
    match dropped {
        Dropped::Superseded => "superseded",
        Dropped::Duplicate => "doubled",
        Dropped::Late => "late",
        Dropped::Gap => "gap",
        Dropped::Malformed => "malformed",
    }
}
