//! A service moves to another version, over all instances and in virtual time.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::history::{Era, Position};
use coltsfoothall::forward::upgrade::{Book, Order, Settings, Stage, Told, Versions, View};
use coltsfoothall::id;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// What the users promise: the part of a service's requests that a bad version may get.
const EXPOSED: f64 = 0.1;
/// Requests beside that part.
const SLACK: u64 = 50;
/// Time after its fiftieth bad answer from which on a bad version must get none.
const ROLLED_BACK: Duration = Duration::from_secs(5);
/// Routes of the service: how often each is asked in ten requests, and the part that the
/// baseline fails.
const ROUTES: [(&str, usize, f64); 3] = [
    ("letters", 6, 0.01),
    ("notes", 3, 0.02),
    ("status", 1, 0.14),
];
const TICK: Duration = Duration::from_millis(20);
/// Time between two turns of heartbeats, and instances that hear one.
const TURN: u64 = 100;
const TOGETHER: usize = 16;

fn at(millis: u64) -> Time {
    Time::START + Duration::from_millis(millis)
}

fn service() -> id::Service {
    "reader".parse().unwrap()
}

fn version(name: &str) -> id::Version {
    name.parse().unwrap()
}

fn old() -> id::Version {
    version("v1")
}

fn new() -> id::Version {
    version("v2")
}

fn place(revision: u64) -> Position {
    let era = Era(1);
    Position { era, revision }
}

fn order(limit: u64, revision: u64) -> Order {
    Order {
        service: service(),
        target: version("v2"),
        limit: Duration::from_secs(limit),
        position: place(revision),
    }
}

/// What is wrong with the candidate.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    Nothing,
    /// It fails this part of its requests.
    Fails(f64),
    /// This part of its answers takes five times as long.
    Slow(f64),
    /// It fails a third, on one route only.
    OneRoute(usize),
    /// It fails half, from that second on.
    From(u64),
    /// It fails half once it gets more than that many requests a second.
    Loaded(u64),
}

/// A fleet of instances before the endpoints of both versions.
struct Fleet {
    books: Vec<Book>,
    /// Instances that neither hear nor are heard.
    silent: usize,
    rng: StdRng,
    fault: Fault,
    asked: u64,
    exposed: u64,
    bad: u64,
    fiftieth: Option<Time>,
    last: Option<Time>,
    this_second: (u64, u64),
}

impl Fleet {
    fn new(count: usize, silent: usize, fault: Fault, seed: u64) -> Self {
        let book = |number| Book::new(Settings::default(), seed ^ number << 32);
        let mut books: Vec<Book> = (0..count as u64).map(book).collect();
        for book in &mut books {
            assert!(book.ordered(at(0), order(12, 5)));
            book.present(&service(), Some(&old()));
        }
        Self {
            books,
            silent,
            rng: StdRng::seed_from_u64(seed),
            fault,
            asked: 0,
            exposed: 0,
            bad: 0,
            fiftieth: None,
            last: None,
            this_second: (0, 0),
        }
    }

    /// Whether the candidate spoils an answer, and how slow it is.
    fn spoils(&mut self, now: Time, route: usize) -> (bool, u32) {
        let seconds = now.since(Time::START).as_secs();
        let part = match self.fault {
            Fault::Nothing => 0.0,
            Fault::Fails(part) => part,
            Fault::Slow(part) => {
                return (false, if self.rng.random_bool(part) { 5 } else { 1 });
            }
            Fault::OneRoute(bad) => f64::from(u8::from(bad == route)) / 3.0,
            Fault::From(second) => f64::from(u8::from(seconds >= second)) / 2.0,
            Fault::Loaded(rate) => {
                if self.this_second.0 != seconds {
                    self.this_second = (seconds, 0);
                }
                self.this_second.1 += 1;
                f64::from(u8::from(self.this_second.1 > rate)) / 2.0
            }
        };
        (self.rng.random_bool(part), 1)
    }

    fn request(&mut self, now: Time, instance: usize) {
        let drawn = self.rng.random_range(0..10);
        let mut rest = drawn;
        let route = ROUTES.iter().position(|(_, weight, _)| {
            let found = rest < *weight;
            rest = rest.saturating_sub(*weight);
            found
        });
        let route = route.unwrap();
        let (name, _, usual) = ROUTES[route];
        let versions = self.books[instance].versions(&service(), name);
        let is_candidate = versions[0].has(Some(&new()));
        let run = version(if is_candidate { "v2" } else { "v1" });
        self.books[instance].sent(&service(), name, Some(&run));
        let mut failed = self.rng.random_bool(usual);
        // Times of the baseline differ by a factor of three either way.
        let spread: f64 = self.rng.random_range(-1.0..1.0);
        let mut took = Duration::from_millis(100).mul_f64(3_f64.powf(spread));
        let in_touch = instance >= self.silent;
        self.asked += 1;
        if is_candidate {
            let (spoilt, times) = self.spoils(now, route);
            failed |= spoilt;
            took *= times;
            if in_touch {
                self.exposed += 1;
                self.last = Some(now);
            }
            if spoilt || times > 1 {
                self.bad += 1;
                if self.bad == 50 {
                    self.fiftieth = Some(now);
                }
            }
        }
        self.books[instance].answered(&service(), name, Some(&run), took, failed);
    }

    fn gossip(&mut self, now: Time, turn: usize) {
        let count = self.books.len();
        let told: Vec<Vec<Told>> = self.books.iter().map(|book| book.told(now)).collect();
        for (speaker, told) in told.iter().enumerate().skip(self.silent) {
            for step in 0..TOGETHER.min(count) {
                let listener = (speaker + 1 + turn * TOGETHER + step) % count;
                if listener != speaker && listener >= self.silent {
                    self.books[listener].hear(now, speaker as u64, told.clone());
                }
            }
        }
    }

    /// Plays so many seconds at a rate; the instance after the silent ones acts for all.
    fn play(&mut self, seconds: u64, rate: u64) {
        let leader = self.silent;
        let others: Vec<u64> = (leader as u64 + 1..self.books.len() as u64).collect();
        let per_tick = rate * TICK.as_millis() as u64 / 1_000;
        for tick in 0..seconds * 1_000 / TICK.as_millis() as u64 {
            let millis = tick * TICK.as_millis() as u64;
            let now = at(millis);
            for _ in 0..per_tick {
                let instance = self.rng.random_range(0..self.books.len());
                self.request(now, instance);
            }
            if millis.is_multiple_of(TURN) {
                self.gossip(now, (millis / TURN) as usize);
                for book in &mut self.books {
                    book.judge(now);
                }
                let boots = others.clone();
                let view = View { boots, open: 0 };
                self.books[leader].advance(now, &service(), &view);
            }
        }
    }

    fn stages(&self) -> Vec<Stage> {
        let sound = self.books[self.silent..].iter();
        sound
            .map(|book| book.stage(&service()).unwrap().1)
            .collect()
    }

    fn all_are(&self, stage: Stage) -> bool {
        self.stages().iter().all(|have| *have == stage)
    }

    /// What is promised of a bad version.
    fn check_bad(&self, seed: u64) {
        let about = format!("seed {seed}, {:?}", self.fault);
        assert!(
            self.all_are(Stage::RolledBack),
            "{about}: {:?}",
            self.stages()
        );
        let most = (self.asked as f64 * EXPOSED) as u64 + SLACK;
        assert!(self.exposed <= most, "{about}: {} of {most}", self.exposed);
        if let (Some(fiftieth), Some(last)) = (self.fiftieth, self.last) {
            let after = last.since(fiftieth);
            assert!(after <= ROLLED_BACK, "{about}: {after:?}");
        }
    }
}

/// Seeds played; `SEEDS=200..1200` in the environment plays others.
fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("SEEDS") else {
        return 0..10;
    };
    let (from, to) = text.split_once("..").unwrap();
    from.parse().unwrap()..to.parse().unwrap()
}

fn fault(rng: &mut StdRng) -> Fault {
    match rng.random_range(0..4) {
        0 => Fault::Fails(rng.random_range(0.25..0.9)),
        1 => Fault::Slow(rng.random_range(0.3..0.9)),
        2 => Fault::OneRoute(rng.random_range(0..2)),
        _ => Fault::From(rng.random_range(0..6)),
    }
}

/// Whatever is wrong with a version until it is judged, it gets no more than its part, and none
/// soon after it showed what it is; a tenth of the instances is silent.
#[test]
fn bad_ones_back() {
    for seed in seeds() {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = if seed % 5 == 0 { 300 } else { 82 };
        let mut fleet = Fleet::new(count, count / 10, fault(&mut rng), seed);
        fleet.play(14, 500);
        fleet.check_bad(seed);
    }
}

/// A sound version serves all at the end, though both fail a part of their requests; at most one
/// in a hundred is taken for a bad one.
#[test]
fn good_ones_through() {
    let mut failed = Vec::new();
    for seed in seeds() {
        let count = if seed % 2 == 0 { 9 } else { 82 };
        let mut fleet = Fleet::new(count, 0, Fault::Nothing, seed);
        fleet.play(14, 500);
        if !fleet.all_are(Stage::Complete) {
            failed.push((seed, fleet.stages()[0]));
        }
    }
    let most = seeds().count() / 100;
    assert!(failed.len() <= most, "{failed:?}");
}

/// A version that only fails with more than its first part is found while it moves.
#[test]
fn bad_under_load() {
    for seed in 0..8 {
        let mut fleet = Fleet::new(82, 0, Fault::Loaded(60), seed);
        fleet.play(14, 500);
        fleet.check_bad(seed);
    }
}

/// The part that a version gets on trial holds for each instance and route alone but for one
/// request, and for all of them together, however few requests each has.
#[test]
fn part_held() {
    for (instances, requests) in [(1, 1_000), (82, 50), (300, 10), (1_000, 5)] {
        let mut all = 0;
        for seed in 0..instances {
            let mut book = Book::new(Settings::default(), seed);
            book.ordered(at(0), order(12, 5));
            book.present(&service(), Some(&old()));
            let mut exposed = 0;
            for asked in 1..=requests {
                let run = match &book.versions(&service(), "letters")[0] {
                    Versions::Only(only) => only.clone(),
                    _ => old(),
                };
                exposed += u64::from(run == new());
                book.sent(&service(), "letters", Some(&run));
                let most = (asked as f64 * EXPOSED) as u64 + 1;
                assert!(exposed <= most, "{exposed} of {asked}");
            }
            all += exposed;
        }
        let asked = (instances * requests) as f64;
        assert!(all as f64 <= asked * EXPOSED, "{all} of {asked}");
        assert!(all as f64 >= asked * 0.06, "{all} of {asked}");
    }
}

/// A candidate that starts late gets no more at once than what is due.
#[test]
fn start_not_flooded() {
    let mut book = Book::new(Settings::default(), 1);
    book.ordered(at(0), order(12, 5));
    book.present(&service(), Some(&old()));
    for _ in 0..1_000 {
        book.sent(&service(), "letters", Some(&old()));
    }
    let mut at_once = 0;
    while book.versions(&service(), "letters")[0].has(Some(&new())) {
        book.sent(&service(), "letters", Some(&new()));
        at_once += 1;
    }
    assert_eq!(at_once, 2);
}

#[test]
fn later_order_holds() {
    let mut book = Book::new(Settings::default(), 1);
    assert!(book.ordered(at(0), order(12, 5)));
    assert!(!book.ordered(at(1), order(12, 5)), "the same one");
    assert!(!book.ordered(at(1), order(12, 4)), "an older one");
    book.settled(at(2), &service(), Stage::RolledBack);
    let again = Order {
        target: version("v3"),
        ..order(12, 6)
    };
    assert!(book.ordered(at(3), again.clone()));
    assert_eq!(book.stage(&service()), Some((&again, Stage::Trial)));
}

/// What stands at the store is final.
#[test]
fn final_stays() {
    let mut book = Book::new(Settings::default(), 1);
    book.ordered(at(0), order(12, 5));
    book.settled(at(1), &service(), Stage::Complete);
    book.settled(at(2), &service(), Stage::RolledBack);
    assert_eq!(book.stage(&service()).unwrap().1, Stage::Complete);
    let view = View::default();
    assert_eq!(book.advance(at(60_000), &service(), &view), None);
}

/// A version that never starts is given up at the limit.
#[test]
fn nobody_came() {
    let mut book = Book::new(Settings::default(), 1);
    book.ordered(at(0), order(12, 5));
    book.present(&service(), Some(&old()));
    let view = View::default();
    assert_eq!(book.advance(at(11_999), &service(), &view), None);
    let change = book.advance(at(12_000), &service(), &view).unwrap();
    assert_eq!(change.stage, Stage::RolledBack);
    assert!(!book.versions(&service(), "letters")[0].has(Some(&new())));
}

/// It is complete only when each instance has moved and nothing is open at the old endpoints.
#[test]
fn complete_when_moved() {
    let mut book = Book::new(Settings::default(), 1);
    book.ordered(at(0), order(12, 5));
    book.present(&service(), Some(&old()));
    for _ in 0..100 {
        let took = Duration::from_millis(100);
        book.answered(&service(), "letters", Some(&new()), took, false);
    }
    let mut other = book.clone();
    let busy = View {
        boots: vec![7],
        open: 1,
    };
    let mut now = at(7_200);
    for _ in 0..10 {
        book.advance(now, &service(), &busy);
        now = now + Duration::from_millis(700);
    }
    let moving = book.stage(&service()).unwrap().1;
    assert!(matches!(moving, Stage::Moving { .. }), "{moving:?}");
    let free = View { open: 0, ..busy };
    assert_eq!(
        book.advance(now, &service(), &free),
        None,
        "one has not moved"
    );
    other.hear(now, 1, book.told(now));
    book.hear(now, 7, other.told(now));
    let change = book.advance(now, &service(), &free).unwrap();
    assert_eq!(change.stage, Stage::Complete);
}

/// A target that serves already and alone is complete once it has shown itself.
#[test]
fn already_there() {
    let mut book = Book::new(Settings::default(), 1);
    book.ordered(at(0), order(12, 5));
    book.present(&service(), Some(&new()));
    assert_eq!(book.versions(&service(), "letters"), [Versions::Any]);
    for _ in 0..30 {
        let took = Duration::from_millis(100);
        book.answered(&service(), "letters", Some(&new()), took, false);
    }
    let change = book
        .advance(at(1_000), &service(), &View::default())
        .unwrap();
    assert_eq!(change.stage, Stage::Complete);
}
