//! The version at which a stream begins, and at which it goes on, whatever instances know and lose.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::assignment::{self, Demand, Editor};
use coltsfoothall::forward::choice::{Query, Settings, Unavailable};
use coltsfoothall::forward::handover::Terms;
use coltsfoothall::forward::history::{Era, Position};
use coltsfoothall::forward::node::Entry;
use coltsfoothall::forward::roster::Roster;
use coltsfoothall::forward::stream::{self, Group, Tracker, View};
use coltsfoothall::forward::upgrade::Versions;
use coltsfoothall::forward::version::{Binding, Label, Present, Table};
use coltsfoothall::id;
use coltsfoothall::size::{Millis, Tokens};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const TRUST: Duration = Duration::from_millis(3_000);
const LIFETIME: Duration = Duration::from_millis(4_000);
/// Ids that are tried where all of them have to hold.
const IDS: u64 = 1_000;

fn at(millis: u64) -> Time {
    Time::START + Duration::from_millis(millis)
}

fn service() -> id::Service {
    "reader".parse().unwrap()
}

fn label(version: &str) -> Label {
    Some(version.parse().unwrap())
}

/// A hash of the id of a request.
fn hash(number: u64) -> u64 {
    number.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

fn present(version: &str, capacity: u32) -> Present {
    Present {
        version: label(version),
        capacity,
        since: at(0),
    }
}

fn view<'a>(service: &'a id::Service, present: &'a [Present], covered: bool) -> View<'a> {
    View {
        service,
        present,
        upgraded: false,
        covered,
    }
}

fn demand(capacities: &[(&str, u32)]) -> Demand {
    let versions = capacities
        .iter()
        .map(|(version, capacity)| present(version, *capacity));
    Demand {
        service: service(),
        versions: versions.collect(),
        lifetime: LIFETIME,
        settles: false,
    }
}

fn editor() -> Editor {
    let settings = assignment::Settings {
        trust: TRUST,
        ..assignment::Settings::default()
    };
    Editor::new(at(0), Table::default(), settings)
}

fn tracker() -> Tracker {
    Tracker::new(stream::Settings {
        trust: TRUST,
        ..stream::Settings::default()
    })
}

/// Writes tables, all known to everyone at once, until no other follows.
fn settle(editor: &mut Editor, from: u64, demand: &Demand) -> u64 {
    let mut now = from;
    for _ in 0..200 {
        if let Some(table) = editor.next(at(now), std::slice::from_ref(demand), true) {
            editor.written(at(now), table);
        }
        now += 100;
    }
    now
}

/// A table of two versions that every slot tells.
fn two_versions() -> (Table, u64) {
    let mut editor = editor();
    let now = settle(&mut editor, 0, &demand(&[("v1", 16), ("v1.1", 48)]));
    (editor.table().clone(), now)
}

fn informed(table: &Table, now: u64) -> Tracker {
    let mut tracker = tracker();
    tracker.apply(at(now), at(now), Some(table.clone()));
    tracker
}

/// Guards against a stream that begins or goes on at another version than the one of its request's
/// id: after all instances died, the next try at one that has just started.
#[test]
fn loss_of_all_told() {
    let (table, now) = two_versions();
    let (before, after) = (informed(&table, now), informed(&table, now));
    let (service, present) = (service(), [present("v1", 8), present("v1.1", 8)]);
    let view = view(&service, &present, false);
    let mut first = 0;
    for number in 0..IDS {
        let began = before.begin(at(now), hash(number), view);
        assert!(matches!(began, Binding::Only(_)));
        assert_eq!(after.resume(at(now), Some(hash(number)), view), began);
        first += u64::from(began == Binding::Only(label("v1")));
    }
    // A quarter of the capacity.
    assert!((200..300).contains(&first), "{first} of {IDS} at v1");
}

/// Guards against a caller's next try that goes on anywhere: the instance knows what it began.
#[test]
fn next_try_told() {
    let (service, present) = (service(), [present("v1", 8), present("v1.1", 8)]);
    let view = view(&service, &present, false);
    let mut tracker = tracker();
    tracker.apply(at(0), at(0), None);
    assert_eq!(tracker.begin(at(0), 7, view), Binding::Free);
    tracker.record_start(at(0), 7, &service, &label("v1.1"));
    let bound = Binding::Only(label("v1.1"));
    assert_eq!(tracker.resume(at(100), Some(7), view), bound);
    // The third try names the same request.
    assert_eq!(tracker.resume(at(200), Some(7), view), bound);
    assert_eq!(tracker.resume(at(200), Some(8), view), Binding::Unknown);
    // Another stream of the same id.
    tracker.record_start(at(300), 7, &service, &label("v1"));
    let bound = Binding::Only(label("v1"));
    assert_eq!(tracker.resume(at(300), Some(7), view), bound);
    assert_eq!(tracker.resume(at(200), None, view), Binding::Unknown);
}

/// Guards against a stream that goes on anywhere after the instance that began it died: it told
/// others.
#[test]
fn death_told() {
    let (service, present) = (service(), [present("v1", 8), present("v1.1", 8)]);
    let view = view(&service, &present, false);
    let (mut dead, mut alive) = (tracker(), tracker());
    for tracker in [&mut dead, &mut alive] {
        tracker.apply(at(0), at(0), None);
    }
    dead.record_start(at(10), 7, &service, &label("v1"));
    alive.merge(
        at(20),
        dead.report(at(20), Duration::from_millis(200), 64, false),
    );
    let bound = Binding::Only(label("v1"));
    assert_eq!(alive.resume(at(500), Some(7), view), bound);
}

/// Guards against an endpoint of another version in the same answer: the choice keeps to one.
#[test]
fn answer_keeps_to_one() {
    let mut roster = Roster::new(Settings::default());
    for (number, version) in ["v1", "v1.1", "v1.1"].into_iter().enumerate() {
        let entry = Entry {
            id: format!("i-{number}").parse().unwrap(),
            born: Millis(0),
            service: service(),
            version: label(version),
            address: "127.0.0.1:9".parse().unwrap(),
            domain: "north".parse().unwrap(),
            slots: 8,
            leaving: false,
            leaves: None,
            reclaimable: false,
            position: Position {
                era: Era(0),
                revision: 1,
            },
        };
        roster.registered(at(0), entry);
    }
    let (service, domain) = (service(), "north".parse().unwrap());
    let versions = Versions::Exactly(label("v1"));
    let first: id::Endpoint = "i-0".parse().unwrap();
    let failed = [first.clone()];
    let query = |exclude| Query {
        service: &service,
        parts: &[],
        prompt: Tokens(0),
        answer: Tokens(0),
        domain: &domain,
        exclude,
        memory: None,
        versions: &versions,
        target: None,
    };
    assert_eq!(roster.choose(at(0), &query(&[])).unwrap().endpoint, first);
    assert_eq!(
        roster.choose(at(0), &query(&failed)),
        Err(Unavailable::Absent)
    );
}

/// Guards against an instance that is handed a stream and does not hear at which version it runs.
#[test]
fn hop_told() {
    for version in [None, Some(label("v1.1")), Some(None)] {
        let terms = Terms {
            attempts: 2,
            counted: true,
            version,
        };
        assert_eq!(terms.to_string().parse(), Ok(terms));
    }
    for text in ["2 counted v1", "2 counted =v 1", "2 counted =v1 more", "2"] {
        assert!(text.parse::<Terms>().is_err(), "{text}");
    }
}

/// With one version, a stream goes on wherever it began, also at an instance that knows no table.
#[test]
fn one_version_told() {
    let (service, present) = (service(), [present("v1", 8)]);
    let view = view(&service, &present, false);
    let mut fresh = tracker();
    assert_eq!(fresh.begin(at(0), 7, view), Binding::Free);
    fresh.apply(at(0), at(0), None);
    let only = Binding::Only(label("v1"));
    assert_eq!(fresh.resume(at(0), None, view), only);
    let mut editor = editor();
    settle(&mut editor, 0, &demand(&[("v1", 8)]));
    assert_eq!(editor.table().generation, 1, "one write for one version");
    let tracker = informed(editor.table(), 20_000);
    assert_eq!(tracker.begin(at(20_000), 7, view), only);
    assert_eq!(tracker.resume(at(20_000), Some(7), view), only);
}

/// Guards against a stream that goes on at the only version that is left when an upgrade has taken the
/// row away: the other one, which began it, may have left since.
#[test]
fn dropped_row_not_guessed() {
    let mut editor = editor();
    settle(&mut editor, 0, &demand(&[("v1", 8)]));
    for now in [20_000, 20_100] {
        let table = editor.next(at(now), &[], true).unwrap();
        editor.written(at(now), table);
    }
    assert!(editor.table().rows.is_empty());
    let informed = informed(editor.table(), 21_000);
    let (service, present) = (service(), [present("v1.1", 8)]);
    let dropped = view(&service, &present, true);
    assert_eq!(
        informed.resume(at(21_000), Some(7), dropped),
        Binding::Unknown
    );
    let late = at(21_000) + TRUST + Duration::from_millis(1);
    let cut_off = view(&service, &present, false);
    assert_eq!(informed.begin(late, 7, cut_off), Binding::Unknown);
    let mut fresh = tracker();
    fresh.apply(at(0), at(0), None);
    let upgraded = View {
        upgraded: true,
        ..dropped
    };
    assert_eq!(fresh.resume(at(0), Some(7), upgraded), Binding::Unknown);
}

/// Guards against a table of an older copy of the store that tells where streams began: slots may have
/// moved since. Where they begin it tells, and an instance that lives on confirms it.
#[test]
fn outdated_table_not_told() {
    let (table, now) = two_versions();
    let (service, present) = (service(), [present("v1", 8), present("v1.1", 8)]);
    let view = view(&service, &present, true);
    let mut tracker = tracker();
    assert!(tracker.apply_outdated(at(now), table.clone()));
    let begins = tracker.begin(at(now), 7, view);
    assert!(matches!(begins, Binding::Only(_)));
    assert_eq!(tracker.resume(at(now), Some(7), view), Binding::Unknown);
    let mut lives = informed(&table, now);
    tracker.merge(at(now), lives.report(at(now), TRUST, 1, false));
    assert_eq!(tracker.resume(at(now), Some(7), view), begins);

    let settings = assignment::Settings::default();
    let editor = Editor::new(at(now), table.clone(), settings);
    let reissued = editor.reissue(false);
    assert_eq!(reissued.generation, table.generation + 1);
    assert_eq!(reissued.row(&service).unwrap().began(7), None);
    assert_eq!(editor.reissue(true).rows, table.rows);
}

/// Guards against streams that go on nowhere after the loss of all instances, as the table does not tell
/// their version: the leader has stored it.
#[test]
fn stored_streams_told() {
    let (service, present) = (service(), [present("v1", 8), present("v1.1", 8)]);
    let view = view(&service, &present, false);
    let mut before = tracker();
    for number in 0..IDS {
        let version = label(["v1", "v1.1"][(number % 2) as usize]);
        before.record_start(at(number), hash(number), &service, &version);
    }
    let newest = before.untold(at(IDS), Duration::from_millis(IDS), 300);
    let hashes = newest.iter().map(|one| one.hashes.len());
    assert_eq!(hashes.collect::<Vec<usize>>(), [150, 150]);
    let mut after = tracker();
    after.restore(at(0), newest);
    let told = |number: u64| after.resume(at(0), Some(hash(number)), view);
    assert_eq!(told(IDS - 1), Binding::Only(label("v1.1")));
    assert_eq!(told(IDS - 2), Binding::Only(label("v1")));
    assert_eq!(told(0), Binding::Unknown);
    let recent = before.untold(at(2 * IDS), Duration::from_millis(IDS), 300);
    assert!(recent.is_empty(), "they can last no longer");
}

/// Guards against an instance that is cut off from the store and all others, and goes on with a
/// table that others have replaced.
#[test]
fn stale_table_not_used() {
    let (table, now) = two_versions();
    let tracker = informed(&table, now);
    let (service, present) = (service(), [present("v1", 8), present("v1.1", 8)]);
    let late = at(now) + TRUST + Duration::from_millis(1);
    let cut_off = view(&service, &present, false);
    assert_eq!(tracker.begin(late, 7, cut_off), Binding::Unknown);
    assert_eq!(tracker.resume(late, Some(7), cut_off), Binding::Unknown);
    // If the store alone is away, all others are still heard, and none has another table.
    let covered = view(&service, &present, true);
    assert!(matches!(tracker.begin(late, 7, covered), Binding::Only(_)));
    assert!(matches!(
        tracker.resume(late, Some(7), covered),
        Binding::Only(_)
    ));
}

/// Guards against a table that is trusted for longer than others wait before they move its slots, as
/// the clock of this instance did not count the time for which its machine was suspended.
#[test]
fn suspended_table_not_used() {
    let (table, now) = two_versions();
    let mut tracker = informed(&table, now);
    let (service, present) = (service(), [present("v1", 8), present("v1.1", 8)]);
    let now = at(now + 100);
    let cut_off = view(&service, &present, false);
    assert!(matches!(
        tracker.resume(now, Some(7), cut_off),
        Binding::Only(_)
    ));
    tracker.suspended(TRUST);
    assert_eq!(tracker.resume(now, Some(7), cut_off), Binding::Unknown);
}

/// Guards against a stream that goes on at the version which an instance knew before it stood still or
/// was cut off, while others began it at one that has replaced that version.
#[test]
fn replaced_version_not_guessed() {
    let mut tracker = tracker();
    tracker.apply(at(0), at(0), None);
    let (service, present) = (service(), [present("v1", 8)]);
    let view = view(&service, &present, true);
    let first = Binding::Only(label("v1"));
    assert_eq!(tracker.resume(at(100), Some(7), view), first);
    tracker.record_start(at(100), 9, &service, &label("v1"));
    tracker.missed(at(6_000));
    assert_eq!(tracker.resume(at(6_010), Some(7), view), Binding::Unknown);
    assert_eq!(
        tracker.resume(at(6_010), Some(9), view),
        first,
        "it is known"
    );
    let later = at(6_010) + stream::Settings::default().retention;
    assert_eq!(tracker.resume(later, Some(7), view), first);
}

/// Guards against a table that an instance trusts which stood still or was cut off: others do not wait
/// for it before they give the slots of a version without endpoints away.
#[test]
fn missed_table_not_used() {
    let (table, now) = two_versions();
    let mut tracker = informed(&table, now);
    let (service, present) = (service(), [present("v1", 8), present("v1.1", 8)]);
    let now = at(now + 100);
    let (alone, covered) = (
        view(&service, &present, false),
        view(&service, &present, true),
    );
    assert!(matches!(
        tracker.resume(now, Some(7), alone),
        Binding::Only(_)
    ));
    tracker.missed(now);
    assert_eq!(tracker.resume(now, Some(7), alone), Binding::Unknown);
    assert!(matches!(
        tracker.resume(now, Some(7), covered),
        Binding::Only(_)
    ));
    tracker.confirm(now);
    assert!(matches!(
        tracker.resume(now, Some(7), alone),
        Binding::Only(_)
    ));
}

/// Guards against a slot that tells a version while some instances begin its streams at another.
#[test]
fn moves_announced() {
    let mut editor = editor();
    let now = settle(&mut editor, 0, &demand(&[("v1", 64)]));
    let both = [demand(&[("v1", 32), ("v1.1", 32)])];
    let announced = editor.next(at(now), &both, true).unwrap();
    let row = announced.row(&service()).unwrap();
    assert_eq!(row.count(0), 64, "no stream begins at the new version yet");
    assert_eq!(row.announced.len(), 32);
    editor.written(at(now), announced);
    assert_eq!(editor.next(at(now + 100), &both, false), None);
    let moved = editor.next(at(now + 200), &both, true).unwrap();
    let row = moved.row(&service()).unwrap();
    assert_eq!((row.count(0), row.count(1)), (32, 32));
    let telling = (0..64).filter(|slot| row.began(*slot).is_some()).count();
    assert_eq!(telling, 32, "the slots that moved do not tell");
    editor.written(at(now + 200), moved);
    let hold = (TRUST + LIFETIME).as_millis() as u64;
    assert_eq!(editor.next(at(now + 100 + hold), &both, true), None);
    let settled = editor.next(at(now + 200 + hold), &both, true).unwrap();
    assert!(settled.row(&service()).unwrap().is_settled());
}

/// Guards against streams that begin at a version whose endpoints are gone.
#[test]
fn gone_version_left() {
    let (table, now) = two_versions();
    let settings = assignment::Settings {
        trust: TRUST,
        ..assignment::Settings::default()
    };
    let editor = Editor::new(at(now), table, settings);
    let mut editor = editor;
    let rest = [demand(&[("v1.1", 48)])];
    let announced = editor.next(at(now), &rest, false).unwrap();
    editor.written(at(now), announced);
    let row = editor.table().row(&service()).unwrap();
    assert!((0..64).all(|slot| row.began(slot) != Some(&label("v1"))));
    // Instances that do not know yet may send streams there as long as they still serve.
    assert_eq!(editor.next(at(now + DRAIN_MS), &rest, false), None);
    let later = editor.next(at(now + DRAIN_MS + 500), &rest, false);
    let known = editor.next(at(now + 100), &rest, true);
    for left in [later, known] {
        let left = left.unwrap();
        let row = left.row(&service()).unwrap();
        assert!((0..64).all(|slot| row.begins(slot) == &label("v1.1")));
    }
}

/// Guards against streams that begin at a version out of reach, and against moving them at once:
/// other instances may reach it.
#[test]
fn unreachable_version_left() {
    let mut editor = editor();
    let now = settle(&mut editor, 0, &demand(&[("v1", 16), ("v1.1", 48)]));
    let out_of_reach = [demand(&[("v1", 0), ("v1.1", 48)])];
    let announced = editor.next(at(now), &out_of_reach, false).unwrap();
    let row = announced.row(&service()).unwrap();
    assert_eq!((row.count(0), row.announced.len()), (16, 16));
    editor.written(at(now), announced);
    let moved = editor.next(at(now + 100), &out_of_reach, true).unwrap();
    assert_eq!(moved.row(&service()).unwrap().count(0), 0);
    // A leader that reaches nothing knows nothing of what others reach.
    editor.written(at(now + 100), moved);
    let cut_off = [demand(&[("v1", 0), ("v1.1", 0)])];
    assert_eq!(editor.next(at(now + 200), &cut_off, true), None);
}

/// Milliseconds for which endpoints serve after they have left.
const DRAIN_MS: u64 = 2_000;
/// Seeds of the simulated fleet.
const SEEDS: u64 = 20;
/// Instances of the simulated fleet.
const INSTANCES: usize = 5;

/// An instance of the simulated fleet.
struct Instance {
    tracker: Tracker,
    /// The versions that it knows, and which of their starts.
    present: Vec<Present>,
    starts: Vec<u64>,
    /// Until when it is cut off from the store and from the others.
    cut_until: u64,
    /// When it last heard each of the others.
    heard: Vec<u64>,
}

impl Instance {
    fn new(cut_until: u64) -> Self {
        Self {
            tracker: tracker(),
            present: Vec::new(),
            starts: Vec::new(),
            cut_until,
            heard: vec![0; INSTANCES],
        }
    }

    /// Whether it knows the endpoints of a version as they are.
    fn knows(&self, server: &Server) -> bool {
        let mut known = self.present.iter().zip(&self.starts);
        known.any(|(one, start)| one.version == server.version && *start == server.start)
    }
}

/// Reads the table of the store, which may have been restored from an older copy.
fn read(tracker: &mut Tracker, now: Time, stored: &Option<Table>, outdated: bool) {
    match stored {
        Some(table) if outdated => drop(tracker.apply_outdated(now, table.clone())),
        stored => drop(tracker.apply(now, now, stored.clone())),
    }
}

/// The endpoints of a version.
struct Server {
    version: Label,
    capacity: u32,
    /// Differs between the times at which the version has endpoints.
    start: u64,
}

/// A stream that has begun.
struct Stream {
    hash: u64,
    version: Label,
    at: u64,
}

/// A fleet whose datagrams get lost, whose instances are cut off and restart, one or all at once,
/// and whose leader changes, while the versions of the endpoints change.
struct Fleet {
    random: Pcg64,
    now: u64,
    instances: Vec<Instance>,
    stored: Option<Table>,
    /// The streams that the leader has stored.
    saved: Vec<Group>,
    /// What the store held before, and whether it is restored from that at times.
    copies: Vec<(u64, Option<Table>, Vec<Group>)>,
    restored: bool,
    /// Whether the table that the store holds was written before it was restored.
    outdated: bool,
    /// Number of versions that keep endpoints at least.
    min_versions: usize,
    editor: Option<(usize, Editor)>,
    servers: Vec<Server>,
    /// Endpoints that have left and still serve, and until when.
    leaving: Vec<(Server, u64)>,
    streams: Vec<Stream>,
    next_id: u64,
    begun: [u64; 2],
    taken_up: [u64; 2],
    /// Whether an upgrade decides where requests go, and whether there was one.
    upgrading: bool,
    upgraded: bool,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let instances = (0..INSTANCES).map(|_| Instance::new(0));
        let servers = [("v1", 40), ("v2", 24)].map(|(version, capacity)| Server {
            version: label(version),
            capacity,
            start: 0,
        });
        Self {
            random: Pcg64::seed_from_u64(seed),
            now: 0,
            instances: instances.collect(),
            stored: None,
            saved: Vec::new(),
            copies: Vec::new(),
            restored: false,
            outdated: false,
            min_versions: 2,
            editor: None,
            servers: servers.into(),
            leaving: Vec::new(),
            streams: Vec::new(),
            next_id: 0,
            begun: [0; 2],
            taken_up: [0; 2],
            upgrading: false,
            upgraded: false,
        }
    }

    fn play(&mut self, steps: u64) {
        for _ in 0..steps {
            self.now += 50;
            self.disturb();
            self.observe();
            self.lead();
            self.gossip();
            for _ in 0..4 {
                self.begin();
                self.take_up();
            }
        }
    }

    fn is_cut(&self, number: usize) -> bool {
        self.now < self.instances[number].cut_until
    }

    /// Whether an instance hears all others.
    fn is_covered(&self, number: usize) -> bool {
        let heard = self.instances[number].heard.iter().enumerate();
        heard
            .filter(|(other, _)| *other != number)
            .all(|(_, heard)| *heard > 0 && self.now - heard < 1_200)
    }

    /// Whether an instance can send a stream to a version.
    fn is_served(&self, number: usize, version: &Label) -> bool {
        let leaving = self.leaving.iter().filter(|(_, until)| *until > self.now);
        let mut servers = self.servers.iter().chain(leaving.map(|(server, _)| server));
        servers.any(|one| one.version == *version && self.instances[number].knows(one))
    }

    fn disturb(&mut self) {
        let count = self.instances.len();
        if self.random.random_bool(0.01) {
            let number = self.random.random_range(0..count);
            self.instances[number].cut_until = self.now + self.random.random_range(200..20_000);
        }
        if self.random.random_bool(0.01) {
            let number = self.random.random_range(0..count);
            self.restart(number);
        }
        if self.restored {
            self.restore();
        }
        if self.random.random_bool(0.002) {
            (0..count).for_each(|number| self.restart(number));
        }
        if self.random.random_bool(0.003) {
            self.upgrading = !self.upgrading;
            self.upgraded = true;
        }
        if self.random.random_bool(0.01) {
            let version = ["v1", "v2", "v3"].choose(&mut self.random).unwrap();
            let (version, capacity) = (label(version), self.random.random_range(0..64));
            let known = self.servers.iter_mut().find(|one| one.version == version);
            match known {
                Some(server) => server.capacity = capacity,
                None => self.servers.push(Server {
                    version,
                    capacity,
                    start: self.now,
                }),
            }
            let now = self.now;
            self.leaving.retain(|(_, until)| *until > now);
            let stay = |server: &&Server| server.capacity > 8;
            if self.servers.iter().filter(stay).count() >= self.min_versions {
                let left = self.servers.extract_if(.., |server| server.capacity <= 8);
                self.leaving
                    .extend(left.map(|server| (server, now + DRAIN_MS)));
            }
            self.servers
                .sort_unstable_by(|a, b| a.version.cmp(&b.version));
        }
    }

    /// At times, the store comes back from a copy that is up to 3 s old; the leader begins anew, and all
    /// instances die in every other case.
    fn restore(&mut self) {
        let oldest = self.now.saturating_sub(3_000);
        self.copies.retain(|(at, ..)| *at >= oldest);
        let copy = (self.now, self.stored.clone(), self.saved.clone());
        self.copies.push(copy);
        if self.random.random_bool(0.004) {
            let copy = self.copies.choose(&mut self.random).unwrap().clone();
            (_, self.stored, self.saved) = copy;
            self.copies.clear();
            self.outdated = true;
            self.editor = None;
            if self.random.random_bool(0.5) {
                (0..INSTANCES).for_each(|number| self.restart(number));
            }
        }
    }

    fn restart(&mut self, number: usize) {
        if self
            .editor
            .as_ref()
            .is_some_and(|(leader, _)| *leader == number)
        {
            self.editor = None;
        }
        let cut_until = self.instances[number].cut_until;
        self.instances[number] = Instance::new(cut_until);
    }

    /// Instances that reach the store learn which versions there are; those that have started read
    /// the table.
    fn observe(&mut self) {
        for number in 0..self.instances.len() {
            if self.is_cut(number) || self.random.random_bool(0.7) {
                continue;
            }
            let now = at(self.now);
            let instance = &mut self.instances[number];
            let present = self.servers.iter().map(|server| {
                let mut known = instance.present.iter().zip(&instance.starts);
                let known = known
                    .find(|(one, start)| one.version == server.version && **start == server.start);
                Present {
                    version: server.version.clone(),
                    capacity: server.capacity,
                    since: known.map_or(now, |(one, _)| one.since),
                }
            });
            instance.present = present.collect();
            instance.starts = self.servers.iter().map(|server| server.start).collect();
            if !instance.tracker.is_known() {
                read(&mut instance.tracker, now, &self.stored, self.outdated);
                instance.tracker.restore(now, self.saved.clone());
            }
        }
    }

    fn lead(&mut self) {
        let now = at(self.now);
        if self
            .editor
            .as_ref()
            .is_some_and(|(leader, _)| self.is_cut(*leader))
        {
            self.editor = None;
        }
        if self.editor.is_none() {
            let able = (0..self.instances.len()).filter(|number| !self.is_cut(*number));
            let able: Vec<usize> = able.collect();
            // An election takes a while.
            if let Some(leader) = able.choose(&mut self.random).copied()
                && self.random.random_bool(0.1)
            {
                let settings = assignment::Settings {
                    trust: TRUST,
                    ..assignment::Settings::default()
                };
                let tracker = &mut self.instances[leader].tracker;
                read(tracker, now, &self.stored, self.outdated);
                tracker.restore(now, self.saved.clone());
                let mut editor = Editor::new(now, tracker.table().clone(), settings);
                if self.outdated && self.stored.is_some() {
                    let table = editor.reissue(tracker.is_known());
                    self.stored = Some(table.clone());
                    tracker.apply(now, now, Some(table.clone()));
                    editor.written(now, table);
                }
                self.outdated = false;
                self.editor = Some((leader, editor));
            }
            return;
        }
        let Some((leader, mut editor)) = self.editor.take() else {
            return;
        };
        self.instances[leader].tracker.confirm(now);
        let demand = Demand {
            service: service(),
            versions: self.instances[leader].present.clone(),
            lifetime: LIFETIME,
            settles: self.upgraded,
        };
        let demands: &[Demand] = if self.upgrading { &[] } else { &[demand] };
        let generation = editor.table().generation;
        let all_know = (0..self.instances.len()).all(|number| {
            !self.is_cut(number) && self.instances[number].tracker.table().generation == generation
        });
        if let Some(table) = editor.next(now, demands, all_know) {
            self.stored = Some(table.clone());
            self.instances[leader]
                .tracker
                .apply(now, now, Some(table.clone()));
            editor.written(now, table);
        }
        if self.random.random_bool(0.1) {
            self.saved = self.instances[leader].tracker.untold(now, LIFETIME, 1_000);
        }
        self.editor = Some((leader, editor));
    }

    fn gossip(&mut self) {
        for from in 0..self.instances.len() {
            let whole = self.random.random_bool(0.1);
            let now = at(self.now);
            let span = Duration::from_millis(300);
            let report = self.instances[from].tracker.report(now, span, 64, whole);
            for to in 0..self.instances.len() {
                let lost = self.random.random_bool(0.3);
                if to != from && !lost && !self.is_cut(from) && !self.is_cut(to) {
                    self.instances[to].tracker.merge(now, report.clone());
                    self.instances[to].heard[from] = self.now;
                }
            }
        }
    }

    fn begin(&mut self) {
        let number = self.random.random_range(0..self.instances.len());
        let (service, covered) = (service(), self.is_covered(number));
        let instance = &mut self.instances[number];
        if instance.present.is_empty() {
            return;
        }
        let hash = hash(self.next_id);
        self.next_id += 1;
        let view = View {
            upgraded: self.upgraded,
            ..view(&service, &instance.present, covered)
        };
        let version = match instance.tracker.begin(at(self.now), hash, view) {
            Binding::Free => {
                let any = instance.present.choose(&mut self.random);
                any.map(|one| one.version.clone())
            }
            Binding::Only(version) => Some(version),
            Binding::Unknown => None,
        };
        self.begun[0] += 1;
        // A version without an endpoint begins nothing.
        if let Some(version) = version.filter(|version| self.is_served(number, version)) {
            let tracker = &mut self.instances[number].tracker;
            tracker.record_start(at(self.now), hash, &service, &version);
            self.begun[1] += 1;
            self.streams.push(Stream {
                hash,
                version,
                at: self.now,
            });
        }
    }

    fn take_up(&mut self) {
        let oldest = self.now.saturating_sub(LIFETIME.as_millis() as u64);
        self.streams.retain(|stream| stream.at >= oldest);
        let number = self.random.random_range(0..self.instances.len());
        let instance = &self.instances[number];
        let Some(stream) = self.streams.choose(&mut self.random) else {
            return;
        };
        let service = service();
        let view = View {
            upgraded: self.upgraded,
            ..view(&service, &instance.present, self.is_covered(number))
        };
        let bound = instance
            .tracker
            .resume(at(self.now), Some(stream.hash), view);
        self.taken_up[0] += 1;
        match bound {
            Binding::Only(version) => {
                assert!(
                    !self.is_served(number, &version) || version == stream.version,
                    "at {} ms instance {number} goes on at {version:?} with a stream of {:?} that began at {} ms",
                    self.now,
                    stream.version,
                    stream.at
                );
                self.taken_up[1] += u64::from(version == stream.version);
            }
            Binding::Unknown => {}
            Binding::Free => panic!("a stream that is taken up goes on anywhere"),
        }
    }
}

/// Guards against any way in which instances that are cut off, restart or lose messages send a
/// stream on at another version, and against refusing them instead: at least half as large a share
/// goes on as of new ones begins.
#[test]
fn none_crosses() {
    play_fleets(2, false);
}

/// Guards against a stream that goes on at the only version that is left, which did not begin it.
#[test]
fn none_crosses_to_last() {
    play_fleets(1, false);
}

/// Guards against a table of an older copy of the store, by which a slot is told that has moved since.
#[test]
fn none_crosses_by_copy() {
    play_fleets(2, true);
}

fn play_fleets(min_versions: usize, restored: bool) {
    let (mut begun, mut taken_up) = ([0; 2], [0; 2]);
    for seed in 0..SEEDS {
        let mut fleet = Fleet {
            min_versions,
            restored,
            ..Fleet::new(seed)
        };
        fleet.play(2_000);
        for index in 0..2 {
            begun[index] += fleet.begun[index];
            taken_up[index] += fleet.taken_up[index];
        }
    }
    let share = |[all, served]: [u64; 2]| served as f64 / all as f64;
    println!("begun {begun:?}, taken up {taken_up:?}");
    assert!(share(taken_up) >= share(begun) / 2.0);
}
