//! The control thread: it alone owns the state that decisions rest on.
//!
//! Traffic sends messages and never waits for the thread while it holds
//! anything; what all of traffic reads is published as a [`View`].

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

use coltsfoothall::adoption::{Config, Need, Outcome, Source};
use coltsfoothall::catalog::{Catalog, Revision};
use coltsfoothall::clock::Time;
use coltsfoothall::id;
use coltsfoothall::member::Heartbeat;
use coltsfoothall::retry::Verdict;
use coltsfoothall::size::Millis;
use coltsfoothall::slot::Table;
use coltsfoothall::step::Input;
use coltsfoothall_shell::event;
use coltsfoothall_wire::cloud::Machine;
use coltsfoothall_wire::peer;

use crate::census::Census;
use crate::dispatch::Dispatch;
use crate::fetch;
use crate::keeper::Slots;
use crate::members::Members;
use crate::message::{Held, Inbox, Message};
use crate::node::Node;
use crate::resend::Resend;
use crate::round::Round;
use crate::view::View;

/// Between two looks at what waits.
const TICK: Duration = Duration::from_millis(20);

/// Between two looks at members and slots; the lag of this timer tells an own stall.
pub const LOOK: Duration = Duration::from_millis(200);

/// Looks between two repeats of evidence to a peer.
const REPEAT: u64 = 25;
/// Looks between two repeats of notices to some peers.
const TELL: u64 = 5;
/// Peers that an instance asks for evidence after its start.
const ASKED: u32 = 3;

/// Open requests that make an instance fully loaded.
const OPEN: usize = 2000;

/// The state that decisions rest on.
pub(crate) struct Control {
    pub(crate) node: Arc<Node>,
    pub(crate) views: watch::Sender<Arc<View>>,
    pub(crate) config: Config,
    pub(crate) dispatch: Dispatch,
    pub(crate) members: Members,
    pub(crate) slots: Slots,
    resend: Resend,
    pub(crate) census: Census,
    /// Looks so far; it spaces what is done less often.
    looks: u64,
    /// Times that peers were asked for all evidence.
    asked: u32,
    pub(crate) leaving: bool,
}

/// Starts the control thread; it ends when the process does.
///
/// # Errors
/// The thread cannot be started.
pub fn start(
    node: Arc<Node>,
    inbox: Inbox,
    views: watch::Sender<Arc<View>>,
) -> std::io::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            runtime.block_on(Control::new(node, views).run(inbox));
        })?;
    Ok(())
}

impl Control {
    fn new(node: Arc<Node>, views: watch::Sender<Arc<View>>) -> Self {
        let dispatch = Dispatch::new(node.settings.domain.clone(), rand::random());
        Self {
            views,
            config: Config::new(),
            dispatch,
            members: Members::new(Arc::clone(&node)),
            slots: Slots::new(Arc::clone(&node)),
            resend: Resend::default(),
            census: Census::default(),
            looks: 0,
            asked: 0,
            leaving: false,
            node,
        }
    }

    async fn run(mut self, mut inbox: Inbox) {
        let mut tick = interval(TICK);
        let mut look = interval(LOOK);
        let mut beat = interval(self.node.settings.times.heartbeat.duration());
        for timer in [&mut tick, &mut look, &mut beat] {
            timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        }
        loop {
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                _at = tick.tick() => self.dispatch.poll(self.node.now()),
                _at = look.tick() => self.look(),
                _at = beat.tick() => self.beat(),
            }
        }
    }

    /// Looks after members and slots.
    fn look(&mut self) {
        let now = self.node.now();
        if self.members.expire(now) {
            self.publish();
        }
        self.resend.look(&self.node);
        self.slots.look(now, &self.members, self.leaving);
        let taken = self.slots.retract(now);
        self.node.desk.adopt(&self.node, taken);
        self.node.desk.with_ledger(|ledger| ledger.retire(now));
        self.node.desk.flush_all();
        self.look_at_endpoints(now);
        self.gauge();
    }

    fn beat(&mut self) {
        let load = self.load();
        let revision = self.config.revision();
        self.members
            .beat(self.leaving, load, revision.0, self.slots.version());
        let (place, count) = self.members.place();
        self.dispatch.set_place(place, count);
        // Weights and ages of members change with each heartbeat.
        self.publish();
    }

    /// How busy this instance is, in per cent of what it can have open.
    fn load(&self) -> u32 {
        u32::try_from(self.node.desk.count() * 100 / OPEN)
            .unwrap_or(100)
            .min(100)
    }

    fn gauge(&self) {
        let board = &self.node.board;
        board.members(self.members.count() as u64);
        board.queued(self.dispatch.queued() as u64);
        board.slots(
            self.node
                .desk
                .with_ledger(|ledger| ledger.served_slots().count()) as u64,
        );
    }

    /// Takes in what a peer said of itself and others.
    fn hear(&mut self, heartbeat: Heartbeat) {
        let now = self.node.now();
        let Some(sender) = heartbeat.digests.first().cloned() else {
            return;
        };
        if self.members.hear(now, heartbeat) {
            self.publish();
        }
        for instance in self.members.restarted() {
            self.slots.restarted(&instance);
        }
        let source = Source::Peer {
            id: sender.instance.clone(),
            age: None,
        };
        if self
            .config
            .merge_revision(&source, Revision(sender.revision), now)
            == Need::Fetch
        {
            fetch::config(Arc::clone(&self.node), sender.instance.clone());
        }
        if sender.slots > self.slots.version() {
            fetch::table(Arc::clone(&self.node), sender.instance);
        }
    }

    fn handle(&mut self, message: Message) {
        let now = self.node.now();
        match message {
            Message::Admit { ticket, reply } => {
                let admitted = self.dispatch.admit(now, &ticket);
                if let Err(Ok(number)) = reply.send(admitted) {
                    // The caller left meanwhile.
                    self.dispatch.over(now, number);
                }
            }
            Message::Pick { pick, reply } => self.dispatch.pick(now, pick, reply),
            Message::Retry {
                service,
                attempts,
                reply,
            } => self.retry(&service, attempts, reply),
            Message::First { attempt, cached } => self.dispatch.first(now, attempt, cached),
            Message::Ended { attempt, ended } => {
                if let Some(endpoint) = self.dispatch.ended(now, attempt, ended) {
                    self.try_endpoint(endpoint);
                }
            }
            Message::Tried(endpoint, found) => self.tried(now, &endpoint, found),
            Message::Evidence { told, reply } => {
                let answer = self.evidence(&told);
                let _gone = reply.send(answer);
            }
            Message::Over(number) => self.dispatch.over(now, number),
            Message::Machines(machines) => self.set_machines(machines),
            Message::Notice(instance) => self.notice(&instance),
            Message::Load(endpoint, report, boot) => {
                if let Some(boot) = boot {
                    self.dispatch.judge().saw(&endpoint, boot);
                }
                self.dispatch.report(now, &endpoint, &report);
            }
            Message::Cache(endpoint, events) => {
                let _lost = self
                    .dispatch
                    .router()
                    .record_cache_events(&endpoint, &events);
            }
            Message::Catalog(source, catalog) => self.adopt(&source, catalog),
            Message::Held { base, reply } => {
                let held = self.config.current().cloned().unwrap_or_default();
                let base = self.config.at(base).cloned();
                let _gone = reply.send(Held { held, base });
            }
            Message::Table(table) => self.observe(&table, None),
            Message::ReadTable => self.slots.read_soon(),
            Message::Round(round) => self.round(round),
            Message::Beat { heartbeat, reply } => {
                let sender = heartbeat.digests.first().cloned();
                self.hear(heartbeat);
                let _gone = reply.send(self.members.answer(sender.as_ref()));
            }
            Message::Heard(heartbeat) => self.hear(heartbeat),
            Message::Config(reply) => {
                let _gone = reply.send(self.own_config());
            }
            Message::Handoff { handoff, reply } => {
                let taken = self
                    .node
                    .desk
                    .with_ledger(|ledger| ledger.accept(now, handoff));
                if taken {
                    self.node.desk.carry_on(&self.node, handoff.slot);
                }
                let _gone = reply.send(taken);
            }
            Message::CopyLost { slot, at } => self.slots.copy_lost(slot, at),
            Message::Unreached(peer) => self.members.unreached(&peer),
            Message::Status(reply) => {
                let _gone = reply.send(self.status());
            }
            Message::Leave => {
                self.leaving = true;
                self.dispatch.leave();
                self.beat();
            }
        }
    }

    /// Repeats what peers may have missed, and tries dead endpoints again.
    fn look_at_endpoints(&mut self, now: Time) {
        self.looks += 1;
        for endpoint in self.dispatch.judge().due(now) {
            self.try_endpoint(endpoint);
        }
        if self.looks.is_multiple_of(TELL) {
            for instance in self.census.recent(now) {
                self.members.pass_on(instance);
            }
        }
        if self.asked < ASKED && self.members.count() > 1 {
            self.asked += 1;
            self.members.tell(&[], 1);
        }
        if self.looks.is_multiple_of(REPEAT) {
            self.dispatch.judge().expire(now);
            let newest = self.dispatch.judge().newest(now);
            if !newest.is_empty() {
                self.members.tell(&newest, 1);
            }
        }
    }

    fn retry(&mut self, service: &id::Service, attempts: u32, reply: UnboundedSender<Input>) {
        match self.dispatch.retry(self.node.now(), service, attempts) {
            Verdict::Stop(_after) => {
                let _over = reply.send(Input::Budget { granted: false });
            }
            Verdict::After(wait) => {
                tokio::spawn(async move {
                    tokio::time::sleep(wait).await;
                    let _over = reply.send(Input::Budget { granted: true });
                });
            }
        }
    }

    fn adopt(&mut self, source: &Source, catalog: Arc<Catalog>) {
        let now = self.node.now();
        match self.config.offer(source, catalog, now) {
            Outcome::Adopted { from, to } => {
                event::ADOPTED.emit(format_args!("from={from} to={to} source={source:?}"));
                if let Some(held) = self.config.current() {
                    self.dispatch.set_workspaces(&held.workspaces);
                    self.node.board.revision(held.revision.0);
                }
                self.publish();
            }
            Outcome::Same => {}
            Outcome::Older { offered, current } => {
                event::OLDER.emit(format_args!("offered={offered} held={current}"));
            }
            Outcome::Fork { revision } => {
                self.node
                    .broken("config_fork", &format_args!("revision {revision}"));
            }
            Outcome::Bad(error) => {
                event::BAD_CATALOG.emit(format_args!("error=\"{error}\""));
            }
        }
    }

    fn set_machines(&mut self, machines: Vec<Machine>) {
        let gone = self.census.set(self.node.now(), machines);
        self.try_gone(&gone);
        self.dispatch.set_endpoints(self.census.choices());
        self.members.set_seeds(self.census.machines());
        for instance in self.census.leaving() {
            self.leave(&instance);
        }
        self.dispatch.poll(self.node.now());
        self.publish();
    }

    fn notice(&mut self, instance: &id::Instance) {
        if *instance == self.node.settings.instance {
            self.node.stop.cancel();
            return;
        }
        if self.census.note(self.node.now(), instance) {
            self.members.pass_on(instance);
        }
        self.leave(instance);
        self.publish();
    }

    /// An instance was given notice: no new work, and what runs goes on elsewhere.
    fn leave(&mut self, instance: &id::Instance) {
        let Ok(endpoint) = instance.as_str().parse::<id::Endpoint>() else {
            return;
        };
        self.dispatch.router().mark_leaving(&endpoint);
        let input = Input::Leaving {
            endpoint,
            finishes: false,
        };
        self.node.desk.tell_all(&input);
    }

    /// Takes in a slot table, from the service or from a peer.
    fn observe(&mut self, table: &Arc<Table>, asked: Option<Time>) {
        let events = self.slots.observe(self.node.now(), table, asked);
        if let Some(events) = events {
            self.publish();
            self.node.desk.adopt(&self.node, events);
        }
        if asked.is_some() {
            // What the read confirmed leaves at once, while the read is young.
            self.node.desk.flush_all();
        }
    }

    fn round(&mut self, round: Round) {
        self.slots.ended(self.node.now(), &round);
        if let Some(table) = &round.table {
            self.observe(table, Some(round.asked));
        }
        // Those named fetch the table. Without that a slot whose owner dies before
        // the next heartbeat has nobody who knows that it may go on, if the
        // service fails as well.
        self.members.beat_to(&round.named, self.slots.version());
    }

    fn own_config(&self) -> Option<peer::Config> {
        let held = self.config.current()?;
        Some(peer::Config {
            from: self.node.settings.instance.clone(),
            age: self.config.age(self.node.now()).map(Millis::from),
            catalog: held.as_ref().clone(),
        })
    }
}
