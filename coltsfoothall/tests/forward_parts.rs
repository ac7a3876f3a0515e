//! Placement of shared prompt prefixes by many instances while endpoints join and leave.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::choice::{Part, Query, Settings};
use coltsfoothall::forward::history::{Era, Position};
use coltsfoothall::forward::node::Entry;
use coltsfoothall::forward::roster::{End, Roster};
use coltsfoothall::forward::upgrade::Versions;
use coltsfoothall::id;
use coltsfoothall::size::{Millis, Tokens};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Instances that choose endpoints independently.
const INSTANCES: usize = 6;
/// Shared prefixes in the requests.
const PARTS: u64 = 40;
/// Milliseconds between two heartbeats.
const HEARTBEAT_INTERVAL_MS: u64 = 100;

fn at(millis: u64) -> Time {
    Time::START + Duration::from_millis(millis)
}

fn id(number: u64) -> id::Endpoint {
    format!("e{number}").parse().unwrap()
}

fn position(revision: u64) -> Position {
    let era = Era(0);
    Position { era, revision }
}

fn entry(number: u64, revision: u64) -> Entry {
    Entry {
        id: id(number),
        born: Millis(0),
        service: "reader".parse().unwrap(),
        version: None,
        address: "127.0.0.1:9".parse().unwrap(),
        domain: "north".parse().unwrap(),
        slots: 64,
        leaving: false,
        leaves: None,
        reclaimable: false,
        position: position(revision),
    }
}

fn parts(mark: u64, own: u64) -> Vec<Part> {
    let part = |hash, tokens| Part {
        hash,
        tokens: Tokens(tokens),
    };
    vec![part(1, 500), part(100 + mark, 4_000), part(own, 600)]
}

/// Rosters of the instances, and the prefixes that each endpoint has actually prefilled.
struct Fleet {
    rosters: Vec<Roster>,
    prefilled: Vec<(id::Endpoint, u64)>,
    prefills: u32,
}

impl Fleet {
    fn new(endpoints: u64) -> Self {
        let mut fleet = Self {
            rosters: vec![Roster::new(Settings::default()); INSTANCES],
            prefilled: Vec::new(),
            prefills: 0,
        };
        (0..endpoints).for_each(|number| fleet.add(0, number));
        fleet
    }

    fn add(&mut self, now: u64, number: u64) {
        for roster in &mut self.rosters {
            roster.registered(at(now), entry(number, number + 1));
        }
    }

    fn remove(&mut self, number: u64) {
        for roster in &mut self.rosters {
            roster.removed(at(0), &id(number), position(1_000 + number));
        }
        self.prefilled
            .retain(|(endpoint, _)| *endpoint != id(number));
    }

    fn gossip(&mut self, now: u64, random: &mut Pcg64Mcg) {
        for from in 0..INSTANCES {
            let placed = self.rosters[from]
                .placements(at(now), Duration::from_millis(3 * HEARTBEAT_INTERVAL_MS));
            for to in (0..INSTANCES).filter(|to| *to != from) {
                if random.random_bool(0.95) {
                    self.rosters[to].merge_placements(at(now), &placed);
                }
            }
        }
    }

    /// A request with a shared prefix arrives at a random instance.
    fn request(&mut self, now: u64, mark: u64, random: &mut Pcg64Mcg) {
        let (service, domain) = ("reader".parse().unwrap(), "north".parse().unwrap());
        let parts = parts(mark, random.random());
        let query = Query {
            service: &service,
            parts: &parts,
            prompt: Tokens(5_100),
            answer: Tokens(100),
            domain: &domain,
            exclude: &[],
            memory: Some(Tokens(600_000)),
            versions: &Versions::Any,
            target: None,
        };
        let roster = &mut self.rosters[random.random_range(0..INSTANCES)];
        let pick = roster.choose(at(now), &query).unwrap();
        let mut run = roster.begin(at(now), &pick, &query);
        roster.record_first_event(at(now + 60), &mut run);
        roster.finish(at(now + 60), &run, End::Whole);
        let cached = (pick.endpoint, mark);
        if !self.prefilled.contains(&cached) {
            self.prefilled.push(cached);
            self.prefills += 1;
        }
    }
}

/// Twenty seconds of requests with forty prefixes; `change` is called every millisecond.
fn play(seed: u64, endpoints: u64, mut change: impl FnMut(&mut Fleet, u64)) -> Fleet {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut fleet = Fleet::new(endpoints);
    for now in 0..20_000 {
        if now % 25 == 0 {
            let mark = random.random_range(0..PARTS);
            fleet.request(now, mark, &mut random);
        }
        if now % HEARTBEAT_INTERVAL_MS == 0 {
            fleet.gossip(now, &mut random);
        }
        change(&mut fleet, now);
    }
    fleet
}

/// Endpoints join one after the other: each prefix stays where it was prefilled, although a new
/// endpoint comes first in the rendezvous hash of some prefixes.
#[test]
fn parts_stay() {
    for seed in 0..5 {
        let fleet = play(seed, 4, |fleet, now| {
            if now % 1_500 == 1_499 {
                fleet.add(now, 4 + now / 1_500);
            }
        });
        let (prefills, min_prefills) = (fleet.prefills, PARTS as u32);
        assert!(
            prefills <= min_prefills * 5 / 4,
            "seed {seed}: {prefills} of {min_prefills}"
        );
    }
}

/// When endpoints are reclaimed, only the prefixes they had cached are prefilled again.
#[test]
fn only_lost_parts_prefilled() {
    for seed in 0..5 {
        let mut lost = 0;
        let fleet = play(seed, 8, |fleet, now| {
            if now % 5_000 == 4_999 {
                let before = fleet.prefilled.len();
                fleet.remove(now / 5_000);
                lost += before - fleet.prefilled.len();
                fleet.add(now, 20 + now / 5_000);
            }
        });
        let (prefills, min_prefills) = (fleet.prefills, PARTS as u32 + lost as u32);
        assert!(
            prefills <= min_prefills * 5 / 4,
            "seed {seed}: {prefills} of {min_prefills}"
        );
    }
}
