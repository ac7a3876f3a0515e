//! The control thread: it alone owns the state that decisions rest on.
//!
//! Traffic sends messages and never waits for the thread while it holds
//! anything; what all of traffic reads is published as a [`View`].

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};

use coltsfoothall::adoption::{Config, Need, Outcome, Source, in_force};
use coltsfoothall::catalog::{Catalog, Kind, Revision};
use coltsfoothall::choice::Endpoint as Choice;
use coltsfoothall::clock::Time;
use coltsfoothall::id;
use coltsfoothall::index;
use coltsfoothall::key::Slot;
use coltsfoothall::limit::{Number, Refusal, Ticket};
use coltsfoothall::load::Report;
use coltsfoothall::member::Heartbeat;
use coltsfoothall::print::Evidence;
use coltsfoothall::retry::Verdict;
use coltsfoothall::size::{Millis, Tokens};
use coltsfoothall::slot::Table;
use coltsfoothall::step::Input;
use coltsfoothall::takeover::Handoff;
use coltsfoothall_shell::event;
use coltsfoothall_wire::caller::Addresses;
use coltsfoothall_wire::cloud::{Machine, Phase};
use coltsfoothall_wire::operator::{Endpoint, Status};
use coltsfoothall_wire::peer;

pub use crate::dispatch::Pick;

use crate::death::{self, Found};
use crate::dispatch::Dispatch;
use crate::endpoint::Ended;
use crate::keeper::{Round, Slots};
use crate::link;
use crate::members::{ENTRY, Members};
use crate::node::Node;
use crate::view::{Place, Token, View};

/// Between two looks at what waits.
const TICK: Duration = Duration::from_millis(20);

/// Between two looks at members and slots; the lag of this timer tells an own stall.
pub const LOOK: Duration = Duration::from_millis(200);

/// Peers that new evidence is told to, which tell it on.
const FAN: usize = 6;
/// Looks between two repeats of evidence to a peer.
const REPEAT: u64 = 25;
/// How long notices are repeated to peers.
const RETELL: Duration = Duration::from_secs(10);
/// How long a notice is kept for an instance that is not listed; lists lag less.
const UNLISTED: Duration = Duration::from_secs(120);
/// Looks between two repeats of notices to some peers.
const TELL: u64 = 5;
/// Peers that an instance asks for evidence after its start.
const ASKED: u32 = 3;

/// Open requests that make an instance fully loaded.
const OPEN: usize = 2000;

/// A message to the control thread.
#[derive(Debug)]
pub enum Message {
    /// May a new request be taken in?
    Admit {
        /// What it asks for.
        ticket: Ticket,
        /// Its place at the gate, or the refusal.
        reply: oneshot::Sender<Result<Number, Refusal>>,
    },
    /// Choose an endpoint.
    Pick {
        /// For whom.
        pick: Pick,
        /// Gets the choice.
        reply: UnboundedSender<Input>,
    },
    /// May a failed request be tried again?
    Retry {
        /// Its service.
        service: id::Service,
        /// Attempts so far.
        attempts: u32,
        /// Gets the answer.
        reply: UnboundedSender<Input>,
    },
    /// The first piece of an attempt's answer came.
    First {
        /// The attempt.
        attempt: u64,
        /// Tokens that came from the endpoint's cache.
        cached: Tokens,
        /// Tokens that were resumed.
        resumed: u64,
    },
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: u64,
        /// How.
        ended: Ended,
    },
    /// A trial of an endpoint ended.
    Tried(id::Endpoint, Found),
    /// A peer tells evidence against requests, or asks for all.
    Evidence {
        /// What it tells.
        told: Vec<Evidence>,
        /// Gets all evidence if nothing is told.
        reply: oneshot::Sender<Vec<Evidence>>,
    },
    /// A request is over.
    Over(Number),
    /// The instance list was read.
    Machines(Vec<Machine>),
    /// An instance was given notice.
    Notice(id::Instance),
    /// An endpoint reported its load.
    Load(id::Endpoint, Report),
    /// An endpoint's cache events came.
    Cache(id::Endpoint, Vec<index::Event>),
    /// A configuration was read.
    Catalog(Source, Arc<Catalog>),
    /// The configuration that is in force, and the one of a revision.
    Held {
        /// The revision that is asked for.
        base: Revision,
        /// Gets both.
        reply: oneshot::Sender<Held>,
    },
    /// The slot table was read or written.
    Table(Arc<Table>),
    /// The slot table should be read.
    ReadTable,
    /// What a round of duties for the slots came to.
    Round(Round),
    /// A heartbeat of a peer came.
    Beat {
        /// The heartbeat.
        heartbeat: Heartbeat,
        /// Gets this instance's own.
        reply: oneshot::Sender<Heartbeat>,
    },
    /// A peer answered a heartbeat.
    Heard(Heartbeat),
    /// The configuration in force, for a peer.
    Config(oneshot::Sender<Option<peer::Config>>),
    /// An owner lets this instance act as owner of a slot.
    Handoff {
        /// Its word.
        handoff: Handoff,
        /// Gets whether it was taken.
        reply: oneshot::Sender<bool>,
    },
    /// A peer has no copy of a slot that it should keep.
    CopyLost {
        /// The slot.
        slot: Slot,
        /// The peer.
        at: id::Instance,
    },
    /// A peer cannot be reached for longer than changes may wait.
    Unreached(id::Instance),
    /// What this instance knows.
    Status(oneshot::Sender<Status>),
    /// This instance is leaving.
    Leave,
}

/// The configuration that is in force, and an earlier one.
#[derive(Debug)]
pub struct Held {
    /// The one in force.
    pub held: Arc<Catalog>,
    /// The one that was asked for, if it is still kept.
    pub base: Option<Arc<Catalog>>,
}

/// Way to the control thread.
#[derive(Debug, Clone)]
pub struct Handle {
    sender: UnboundedSender<Message>,
}

/// What the control thread will receive from its handles.
pub type Inbox = UnboundedReceiver<Message>;

impl Handle {
    /// A handle and the inbox that it fills.
    #[must_use]
    pub fn new() -> (Self, Inbox) {
        let (sender, inbox) = mpsc::unbounded_channel();
        (Self { sender }, inbox)
    }

    /// Sends a message; nothing is done with it once the program is stopping.
    pub fn send(&self, message: Message) {
        let _stopped = self.sender.send(message);
    }

    /// Sends a message and waits for its answer; none once the program is stopping.
    pub async fn ask<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> Message) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.send(message(reply));
        answer.await.ok()
    }
}

/// An instance that was given notice.
#[derive(Debug)]
struct Noticed {
    instance: id::Instance,
    at: Time,
}

/// The state that decisions rest on.
struct Control {
    node: Arc<Node>,
    views: watch::Sender<Arc<View>>,
    config: Config,
    dispatch: Dispatch,
    members: Members,
    slots: Slots,
    /// Sorted by name.
    machines: Arc<Vec<Machine>>,
    /// Instances that were given notice, sorted.
    noticed: Vec<Noticed>,
    /// Looks so far; it spaces what is done less often.
    looks: u64,
    /// Times that peers were asked for all evidence.
    asked: u32,
    leaving: bool,
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
    thread::Builder::new().name("control".into()).spawn(move || {
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
            machines: Arc::default(),
            noticed: Vec::new(),
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
        self.slots.look(now, &self.members, self.leaving);
        self.node.desk.flush_all();
        self.node.desk.with_ledger(|ledger| ledger.retire(now));
        self.look_at_endpoints(now);
        self.gauge();
    }

    fn beat(&mut self) {
        let load = self.load();
        let revision = self.config.revision();
        self.members.beat(self.leaving, load, revision.0, self.slots.version());
        let (place, count) = self.members.place();
        self.dispatch.set_place(place, count);
        // Weights and ages of members change with each heartbeat.
        self.publish();
    }

    /// How busy this instance is, in per cent of what it can have open.
    fn load(&self) -> u32 {
        u32::try_from(self.node.desk.count() * 100 / OPEN).unwrap_or(100).min(100)
    }

    fn gauge(&self) {
        let board = &self.node.board;
        board.members(self.members.count() as u64);
        board.queued(self.dispatch.queued() as u64);
        board.slots(self.node.desk.with_ledger(|ledger| ledger.owned().count()) as u64);
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
        let source = Source::Peer { id: sender.instance.clone(), age: None };
        if self.config.hear(&source, Revision(sender.revision), now) == Need::Fetch {
            fetch_config(Arc::clone(&self.node), sender.instance.clone());
        }
        if sender.slots > self.slots.version() {
            fetch_table(Arc::clone(&self.node), sender.instance);
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
            Message::Retry { service, attempts, reply } => self.retry(&service, attempts, reply),
            Message::First { attempt, cached, .. } => self.dispatch.first(now, attempt, cached),
            Message::Ended { attempt, ended } => {
                if let Some(endpoint) = self.dispatch.ended(now, attempt, ended) {
                    self.try_endpoint(endpoint);
                }
            }
            Message::Tried(endpoint, found) => {
                let found = self.settle(&endpoint, found);
                if self.dispatch.rule(now, &endpoint, found) {
                    self.endpoint_died(&endpoint, found == (Found::Dead { domain: true }));
                }
            }
            Message::Evidence { told, reply } => {
                let answer = self.evidence(&told);
                let _gone = reply.send(answer);
            }
            Message::Over(number) => self.dispatch.over(now, number),
            Message::Machines(machines) => self.set_machines(machines),
            Message::Notice(instance) => self.notice(&instance),
            Message::Load(endpoint, report) => {
                self.dispatch.report(now, &endpoint, &report);
            }
            Message::Cache(endpoint, events) => {
                let _lost = self.dispatch.router().cache_events(&endpoint, &events);
            }
            Message::Catalog(source, catalog) => self.adopt(&source, catalog),
            Message::Held { base, reply } => {
                let held = self.config.held().cloned().unwrap_or_default();
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
                let taken = self.node.desk.with_ledger(|ledger| ledger.accept(handoff));
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
            for noticed in self.noticed.iter().filter(|n| now.since(n.at) < RETELL) {
                self.members.pass_on(&noticed.instance);
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

    /// What a trial found, where no answer of an endpoint that left the instance
    /// list means that it is dead.
    fn settle(&self, endpoint: &id::Endpoint, found: Found) -> Found {
        let listed = self.machines.iter().any(|m| m.id.as_str() == endpoint.as_str());
        match found {
            Found::Silent if !listed => Found::Dead { domain: false },
            Found::Silent | Found::Alive | Found::Dead { .. } => found,
        }
    }

    /// Tries endpoints that run something here and left the instance list.
    fn try_gone(&mut self, old: &[Machine]) {
        for machine in old {
            let listed = self.machines.binary_search_by(|m| m.id.cmp(&machine.id)).is_ok();
            let Ok(endpoint) = machine.id.as_str().parse::<id::Endpoint>() else { continue };
            if listed || self.dispatch.open_at(&endpoint) == 0 {
                continue;
            }
            if self.dispatch.judge().accuse(&endpoint, None) {
                self.try_machine(endpoint, Some(machine));
            }
        }
    }

    fn try_endpoint(&self, endpoint: id::Endpoint) {
        let machine = self.machines.iter().find(|m| m.id.as_str() == endpoint.as_str());
        self.try_machine(endpoint, machine);
    }

    /// Tries an endpoint, and if it is dead the others of its failure domain.
    fn try_machine(&self, endpoint: id::Endpoint, machine: Option<&Machine>) {
        let node = Arc::clone(&self.node);
        let address = machine.map(|m| m.address.clone()).unwrap_or_default();
        let mates = self.mates(machine);
        tokio::spawn(async move {
            let found = death::probe(&address, &mates).await;
            node.control.send(Message::Tried(endpoint, found));
        });
    }

    /// Addresses of the others in a machine's failure domain.
    fn mates(&self, machine: Option<&Machine>) -> Vec<String> {
        let Some(machine) = machine else {
            return Vec::new();
        };
        let mates = self
            .machines
            .iter()
            .filter(|m| m.domain == machine.domain && m.id != machine.id && m.phase == Phase::Live);
        mates.map(|m| m.address.clone()).take(death::MATES).collect()
    }

    /// An endpoint died: its requests go on elsewhere at once, and what ran
    /// there is suspected unless its death was announced.
    fn endpoint_died(&mut self, endpoint: &id::Endpoint, domain: bool) {
        let now = self.node.now();
        let again = self.dispatch.judge().is_dead(endpoint);
        if again && self.dispatch.open_at(endpoint) == 0 {
            // Tried again and still dead; all know.
            self.dispatch.died(now, endpoint, true);
            return;
        }
        let listed = self.machines.iter().find(|m| m.id.as_str() == endpoint.as_str());
        let noticed = self.noticed.iter().any(|n| n.instance.as_str() == endpoint.as_str());
        let left = listed.is_some_and(|machine| machine.phase == Phase::Leaving);
        let announced = domain || noticed || left;
        let marks = self.dispatch.died(now, endpoint, announced);
        event::ENDPOINT_DIED.emit(format_args!(
            "endpoint={endpoint} announced={announced} suspects={}",
            marks.len()
        ));
        self.node.desk.tell_all(&Input::EndpointDied { endpoint: endpoint.clone() });
        if !marks.is_empty() {
            let evidence = self.dispatch.judge().about(now, &marks);
            self.members.tell(&evidence, FAN);
        }
        self.dispatch.poll(now);
    }

    /// Takes in evidence and tells on what is new; nothing told asks for all.
    fn evidence(&mut self, told: &[Evidence]) -> Vec<Evidence> {
        let now = self.node.now();
        if told.is_empty() {
            return self.dispatch.judge().evidence(now);
        }
        let news = self.dispatch.judge().merge(now, told);
        if !news.is_empty() {
            self.members.tell(&news, FAN);
        }
        Vec::new()
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
                if let Some(held) = self.config.held() {
                    self.dispatch.set_workspaces(&held.workspaces);
                    self.node.board.revision(held.revision.0);
                }
                self.publish();
            }
            Outcome::Same => {}
            Outcome::Older { offered, held } => {
                event::OLDER.emit(format_args!("offered={offered} held={held}"));
            }
            Outcome::Fork { revision } => {
                self.node.broken("config_fork", &format_args!("revision {revision}"));
            }
            Outcome::Bad(error) => {
                event::BAD_CATALOG.emit(format_args!("error=\"{error}\""));
            }
        }
    }

    fn set_machines(&mut self, mut machines: Vec<Machine>) {
        machines.sort_by(|a, b| a.id.cmp(&b.id));
        let leaving: Vec<id::Instance> = machines
            .iter()
            .filter(|machine| machine.phase == Phase::Leaving)
            .map(|machine| machine.id.clone())
            .collect();
        let now = self.node.now();
        let old = std::mem::replace(&mut self.machines, Arc::new(machines));
        let listed = |id: &id::Instance| self.machines.binary_search_by(|m| m.id.cmp(id)).is_ok();
        // A notice may come before its instance is listed.
        self.noticed.retain(|n| now.since(n.at) < UNLISTED || listed(&n.instance));
        self.try_gone(&old);
        let endpoints = self.endpoints().filter_map(endpoint);
        let endpoints: Vec<Choice> = endpoints.collect();
        self.dispatch.set_endpoints(endpoints);
        self.members.set_seeds(&self.machines);
        let noticed: Vec<id::Instance> = self.noticed.iter().map(|n| n.instance.clone()).collect();
        for instance in leaving.iter().chain(&noticed) {
            self.leave(instance);
        }
        self.dispatch.poll(self.node.now());
        self.publish();
    }

    fn notice(&mut self, instance: &id::Instance) {
        if *instance == self.node.settings.instance {
            self.node.stop.cancel();
            return;
        }
        let at = self.node.now();
        if let Err(place) = self.noticed.binary_search_by(|n| n.instance.cmp(instance)) {
            self.noticed.insert(place, Noticed { instance: instance.clone(), at });
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
        self.dispatch.router().leaving(&endpoint);
        let input = Input::Leaving { endpoint, finishes: false };
        self.node.desk.tell_all(&input);
    }

    /// Takes in a slot table, from the service or from a peer.
    fn observe(&mut self, table: &Arc<Table>, asked: Option<Time>) {
        let events = self.slots.observe(self.node.now(), table, asked);
        if let Some(events) = events {
            self.publish();
            self.node.desk.adopt(&self.node, events);
        }
    }

    fn round(&mut self, round: Round) {
        self.slots.ended(self.node.now(), &round);
        if let Some(table) = &round.table {
            self.observe(table, Some(round.asked));
        }
    }

    fn own_config(&self) -> Option<peer::Config> {
        let held = self.config.held()?;
        Some(peer::Config {
            from: self.node.settings.instance.clone(),
            age: self.config.age(self.node.now()).map(Millis::from),
            catalog: held.as_ref().clone(),
        })
    }

    fn publish(&self) {
        let catalog = self.config.held().cloned().unwrap_or_default();
        let tokens = tokens(&catalog);
        let places = self.endpoints().filter_map(|m| place(m, &catalog)).collect();
        let view = View {
            catalog,
            tokens,
            places,
            addresses: self.addresses(),
            table: Arc::clone(self.slots.table()),
            peers: self.members.peers(),
            leaving: self.leaving,
            watches: self.members.watches(),
            machines: Arc::clone(&self.machines),
            noticed: self.noticed.iter().map(|n| n.instance.clone()).collect(),
            busy: self.dispatch.busy(&self.machines),
        };
        self.views.send_replace(Arc::new(view));
    }

    /// Addresses for callers; none before there is a configuration.
    fn addresses(&self) -> Option<Addresses> {
        self.config.held()?;
        Some(self.members.addresses(self.node.now()))
    }

    fn status(&self) -> Status {
        let settings = &self.node.settings;
        let now = self.node.now();
        let revision = self.config.revision();
        let members = self.members.status(now, revision);
        let held: Vec<Revision> = members.iter().map(|member| member.revision).collect();
        let broken = self.node.broken.load(std::sync::atomic::Ordering::Relaxed);
        Status {
            instance: settings.instance.clone(),
            revision,
            age_ms: self.config.age(now).map(Millis::from),
            in_force: u32::try_from(in_force(revision, &held)).unwrap_or(u32::MAX),
            members,
            endpoints: self.endpoints().filter_map(|m| self.endpoint_status(m)).collect(),
            open: u32::try_from(self.node.desk.count()).unwrap_or(u32::MAX),
            broken,
        }
    }

    /// Machines that are endpoints.
    fn endpoints(&self) -> impl Iterator<Item = &Machine> {
        self.machines.iter().filter(|machine| machine.service.as_str() != ENTRY)
    }

    fn endpoint_status(&self, machine: &Machine) -> Option<Endpoint> {
        let id: id::Endpoint = machine.id.as_str().parse().ok()?;
        let noticed = self.noticed.binary_search_by(|n| n.instance.cmp(&machine.id)).is_ok();
        let state = match machine.phase {
            Phase::Starting => "starting",
            Phase::Live if noticed => "leaving",
            Phase::Live => "live",
            Phase::Leaving => "leaving",
        };
        let open = u32::try_from(self.dispatch.open_at(&id)).unwrap_or(u32::MAX);
        Some(Endpoint {
            id,
            service: machine.service.clone(),
            domain: machine.domain.clone(),
            state: state.into(),
            open,
        })
    }
}

fn fetch_config(node: Arc<Node>, from: id::Instance) {
    tokio::spawn(async move {
        let Ok(client) = node.links.client(&from).await else {
            return;
        };
        if let Ok(Some(config)) = client.config(link::context(link::CALL)).await {
            let age = config.age.map(Millis::duration);
            let source = Source::Peer { id: from, age };
            node.control.send(Message::Catalog(source, Arc::new(config.catalog)));
        }
    });
}

fn fetch_table(node: Arc<Node>, from: id::Instance) {
    tokio::spawn(async move {
        let Ok(client) = node.links.client(&from).await else {
            return;
        };
        if let Ok(table) = client.table(link::context(link::CALL)).await {
            node.control.send(Message::Table(Arc::new(table)));
        }
    });
}

/// An instance as an endpoint that requests can go to.
fn endpoint(machine: &Machine) -> Option<Choice> {
    if machine.phase == Phase::Starting || machine.address.is_empty() {
        return None;
    }
    Some(Choice {
        id: machine.id.as_str().parse().ok()?,
        service: machine.service.clone(),
        models: Vec::new(),
        domain: machine.domain.clone(),
        price: machine.price,
        risk: coltsfoothall::weight::Risk::default(),
    })
}

fn place(machine: &Machine, catalog: &Catalog) -> Option<Place> {
    let endpoint = machine.id.as_str().parse().ok()?;
    let services = &catalog.services;
    let service = services.iter().find(|service| service.name == machine.service);
    let engine = service.is_some_and(|service| matches!(service.kind, Kind::Model { .. }));
    Some(Place { endpoint, engine, address: machine.address.clone() })
}

fn tokens(catalog: &Catalog) -> Vec<Token> {
    let mut tokens: Vec<Token> = Vec::new();
    for workspace in &catalog.workspaces {
        for token in &workspace.tokens {
            tokens.push(Token { token: token.clone(), workspace: workspace.name.clone() });
        }
    }
    tokens.sort();
    tokens
}
