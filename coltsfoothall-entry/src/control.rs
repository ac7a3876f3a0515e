//! The control thread, which alone owns the state that decisions are based on.
//!
//! Tasks that serve requests send it messages, and never wait for it while they hold a
//! lock. What all of them read is published as a [`View`].

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

use crate::dispatch::Dispatch;
use crate::fetch;
use crate::inventory::Inventory;
use crate::members::Members;
use crate::message::{Configs, Inbox, Message};
use crate::node::Node;
use crate::resend::Resend;
use crate::round::Round;
use crate::slots::Slots;
use crate::view::View;

/// Interval at which waiting requests are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval of the checks of members and slots. The lag of this timer shows that this
/// process itself stalled.
pub const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Number of ticks between two repeats of evidence to a peer.
const TICKS_PER_EVIDENCE_REPEAT: u64 = 25;
/// Number of ticks between two repeats of notices to some peers.
const TICKS_PER_NOTICE_REPEAT: u64 = 5;
/// Number of times that an instance asks a peer for all evidence after its start.
const MAX_EVIDENCE_REQUESTS: u32 = 3;

/// Number of open requests at which an instance counts as fully loaded.
const FULL_LOAD_REQUESTS: usize = 2000;

/// The state that decisions are based on.
pub(crate) struct Control {
    pub(crate) node: Arc<Node>,
    pub(crate) views: watch::Sender<Arc<View>>,
    pub(crate) config: Config,
    pub(crate) dispatch: Dispatch,
    pub(crate) members: Members,
    pub(crate) slots: Slots,
    resend: Resend,
    pub(crate) inventory: Inventory,
    /// Number of ticks so far; some work is done only every few ticks.
    ticks: u64,
    /// Number of times that a peer was asked for all evidence.
    evidence_requests: u32,
    pub(crate) leaving: bool,
}

/// Starts the control thread, which runs until the process ends.
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
            inventory: Inventory::default(),
            ticks: 0,
            evidence_requests: 0,
            leaving: false,
            node,
        }
    }

    async fn run(mut self, mut inbox: Inbox) {
        let mut poll = interval(POLL_INTERVAL);
        let mut tick = interval(TICK_INTERVAL);
        let mut heartbeat = interval(self.node.settings.times.heartbeat.duration());
        for timer in [&mut poll, &mut tick, &mut heartbeat] {
            timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        }
        loop {
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                _at = poll.tick() => self.dispatch.poll(self.node.now()),
                _at = tick.tick() => self.tick(),
                _at = heartbeat.tick() => self.send_heartbeats(),
            }
        }
    }

    /// Checks members, slots and endpoints.
    fn tick(&mut self) {
        let now = self.node.now();
        if self.members.expire(now) {
            self.publish();
        }
        self.resend.tick(&self.node);
        self.slots.tick(now, &self.members, self.leaving);
        let events = self.slots.retract_unconfirmed(now);
        self.node.requests.apply(&self.node, events);
        self.node.requests.with_ledger(|ledger| ledger.retire(now));
        self.node.requests.flush_all();
        self.check_endpoints(now);
        self.update_gauges();
    }

    fn send_heartbeats(&mut self) {
        let load = self.load();
        let revision = self.config.revision();
        self.members
            .send_heartbeats(self.leaving, load, revision.0, self.slots.version());
        let (rank, count) = self.members.rank();
        self.dispatch.set_rank(rank, count);
        // Weights and ages of members change with each heartbeat.
        self.publish();
    }

    /// The load of this instance, in per cent of [`FULL_LOAD_REQUESTS`].
    fn load(&self) -> u32 {
        u32::try_from(self.node.requests.count() * 100 / FULL_LOAD_REQUESTS)
            .unwrap_or(100)
            .min(100)
    }

    fn update_gauges(&self) {
        let board = &self.node.board;
        board.members(self.members.count() as u64);
        board.queued(self.dispatch.queued() as u64);
        board.slots(
            self.node
                .requests
                .with_ledger(|ledger| ledger.served_slots().count()) as u64,
        );
    }

    /// Merges a heartbeat of a peer, and fetches from it what is newer there.
    fn merge_heartbeat(&mut self, heartbeat: Heartbeat) {
        let now = self.node.now();
        let Some(sender) = heartbeat.digests.first().cloned() else {
            return;
        };
        if self.members.merge_heartbeat(now, heartbeat) {
            self.publish();
        }
        for instance in self.members.take_restarted() {
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
            fetch::slot_table(Arc::clone(&self.node), sender.instance);
        }
    }

    fn handle(&mut self, message: Message) {
        let now = self.node.now();
        match message {
            Message::Admit { ticket, reply } => {
                let admitted = self.dispatch.admit(now, &ticket);
                if let Err(Ok(number)) = reply.send(admitted) {
                    // The requester has gone away meanwhile.
                    self.dispatch.release(now, number);
                }
            }
            Message::Pick { pick, reply } => self.dispatch.pick(now, pick, reply),
            Message::Retry {
                service,
                attempts,
                reply,
            } => self.retry(&service, attempts, reply),
            Message::First { attempt, cached } => {
                self.dispatch.record_first_piece(now, attempt, cached)
            }
            Message::Ended { attempt, ended } => {
                if let Some(endpoint) = self.dispatch.record_end(now, attempt, ended) {
                    self.probe_endpoint(endpoint);
                }
            }
            Message::ProbeEnded(endpoint, finding) => self.record_probe(now, &endpoint, finding),
            Message::Evidence { evidence, reply } => {
                let answer = self.evidence(&evidence);
                let _gone = reply.send(answer);
            }
            Message::Release(number) => self.dispatch.release(now, number),
            Message::Machines(machines) => self.set_machines(machines),
            Message::Notice(instance) => self.handle_notice(&instance),
            Message::Load(endpoint, report, boot) => {
                if let Some(boot) = boot {
                    self.dispatch.detector().record_boot(&endpoint, boot);
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
            Message::Configs { base, reply } => {
                let current = self.config.current().cloned().unwrap_or_default();
                let base = self.config.at(base).cloned();
                let _gone = reply.send(Configs { current, base });
            }
            Message::Table(table) => self.observe(&table, None),
            Message::ReadTable => self.slots.request_read(),
            Message::RoundEnded(round) => self.end_round(round),
            Message::Heartbeat { heartbeat, reply } => {
                let sender = heartbeat.digests.first().cloned();
                self.merge_heartbeat(heartbeat);
                let _gone = reply.send(self.members.answer(sender.as_ref()));
            }
            Message::HeartbeatAnswer(heartbeat) => self.merge_heartbeat(heartbeat),
            Message::Config(reply) => {
                let _gone = reply.send(self.own_config());
            }
            Message::Handoff { handoff, reply } => {
                let accepted = self
                    .node
                    .requests
                    .with_ledger(|ledger| ledger.accept(now, handoff));
                if accepted {
                    self.node.requests.resume_open(&self.node, handoff.slot);
                }
                let _gone = reply.send(accepted);
            }
            Message::CopyLost { slot, at } => self.slots.copy_lost(slot, at),
            Message::Unreachable(peer) => self.members.log_unreachable(&peer),
            Message::Status(reply) => {
                let _gone = reply.send(self.status());
            }
            Message::Leave => {
                self.leaving = true;
                self.dispatch.leave();
                self.send_heartbeats();
            }
        }
    }

    /// Repeats what peers may have missed, and probes dead endpoints again.
    fn check_endpoints(&mut self, now: Time) {
        self.ticks += 1;
        for endpoint in self.dispatch.detector().due_probes(now) {
            self.probe_endpoint(endpoint);
        }
        if self.ticks.is_multiple_of(TICKS_PER_NOTICE_REPEAT) {
            for instance in self.inventory.recent(now) {
                self.members.forward_notice(instance);
            }
        }
        if self.evidence_requests < MAX_EVIDENCE_REQUESTS && self.members.count() > 1 {
            self.evidence_requests += 1;
            self.members.send_evidence(&[], 1);
        }
        if self.ticks.is_multiple_of(TICKS_PER_EVIDENCE_REPEAT) {
            self.dispatch.detector().expire(now);
            let newest = self.dispatch.detector().newest_evidence(now);
            if !newest.is_empty() {
                self.members.send_evidence(&newest, 1);
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
                if let Some(current) = self.config.current() {
                    self.dispatch.set_workspaces(&current.workspaces);
                    self.node.board.revision(current.revision.0);
                }
                self.publish();
            }
            Outcome::Same => {}
            Outcome::Older { offered, current } => {
                event::OLDER.emit(format_args!("offered={offered} held={current}"));
            }
            Outcome::Fork { revision } => {
                self.node
                    .report_violation("config_fork", &format_args!("revision {revision}"));
            }
            Outcome::Bad(error) => {
                event::BAD_CATALOG.emit(format_args!("error=\"{error}\""));
            }
        }
    }

    fn set_machines(&mut self, machines: Vec<Machine>) {
        let removed = self.inventory.set(self.node.now(), machines);
        self.probe_removed(&removed);
        self.dispatch.set_endpoints(self.inventory.choices());
        self.members.set_seeds(self.inventory.machines());
        for instance in self.inventory.leaving() {
            self.drain(&instance);
        }
        self.dispatch.poll(self.node.now());
        self.publish();
    }

    fn handle_notice(&mut self, instance: &id::Instance) {
        if *instance == self.node.settings.instance {
            self.node.stop.cancel();
            return;
        }
        if self.inventory.add_notice(self.node.now(), instance) {
            self.members.forward_notice(instance);
        }
        self.drain(instance);
        self.publish();
    }

    /// Handles the notice of an instance: it gets no new work, and its requests continue
    /// elsewhere.
    fn drain(&mut self, instance: &id::Instance) {
        let Ok(endpoint) = instance.as_str().parse::<id::Endpoint>() else {
            return;
        };
        self.dispatch.router().mark_leaving(&endpoint);
        let input = Input::Leaving {
            endpoint,
            finishes: false,
        };
        self.node.requests.notify_all(&input);
    }

    /// Applies a slot table that was read from the service or received from a peer. `asked` is
    /// when the service was asked for it.
    fn observe(&mut self, table: &Arc<Table>, asked: Option<Time>) {
        let events = self.slots.observe(self.node.now(), table, asked);
        if let Some(events) = events {
            self.publish();
            self.node.requests.apply(&self.node, events);
        }
        if asked.is_some() {
            // Changes that the read confirmed can be released now, while the read is recent.
            self.node.requests.flush_all();
        }
    }

    fn end_round(&mut self, round: Round) {
        self.slots.record_round(self.node.now(), &round);
        if let Some(table) = &round.table {
            self.observe(table, Some(round.asked));
        }
        // The instances that got a slot fetch the table. Without that, if the owner of a slot dies
        // before the next heartbeat and the service fails as well, no instance would know that it
        // may take the slot over.
        self.members
            .send_heartbeats_to(&round.assigned, self.slots.version());
    }

    fn own_config(&self) -> Option<peer::Config> {
        let current = self.config.current()?;
        Some(peer::Config {
            from: self.node.settings.instance.clone(),
            age: self.config.age(self.node.now()).map(Millis::from),
            catalog: current.as_ref().clone(),
        })
    }
}
