//! Which revision is in force; it only rises.

use std::sync::Arc;
use std::time::Duration;

use coltsfoothall::adoption::{Config, MAX_PREVIOUS, Need, Outcome, Source, Standing, in_force};
use coltsfoothall::catalog::{Catalog, Revision};
use coltsfoothall::clock::Time;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

fn catalog(revision: u64, plan: &str) -> Arc<Catalog> {
    Arc::new(Catalog {
        revision: Revision(revision),
        plan: Some(plan.parse().expect("a good name")),
        ..Catalog::default()
    })
}

fn peer(age: Option<u64>) -> Source {
    Source::Peer {
        id: "e1".parse().expect("a good name"),
        age: age.map(Duration::from_secs),
    }
}

fn at(seconds: u64) -> Time {
    Time::since_start(Duration::from_secs(seconds))
}

#[test]
fn older_refused() {
    let mut config = Config::new();
    config.offer(&Source::Store, catalog(5, "a"), at(1));
    let outcome = config.offer(&Source::Store, catalog(3, "b"), at(2));
    let (offered, current) = (Revision(3), Revision(5));
    assert_eq!(outcome, Outcome::Older { offered, current });
    assert_eq!((config.revision(), config.older()), (Revision(5), 1));
    // A late read does not vouch for what is in force.
    assert_eq!(config.age(at(3)), Some(Duration::from_secs(2)));
}

#[test]
fn fork_refused() {
    let mut config = Config::new();
    config.offer(&Source::Store, catalog(5, "a"), at(1));
    let outcome = config.offer(&peer(Some(0)), catalog(5, "b"), at(2));
    assert_eq!(
        outcome,
        Outcome::Fork {
            revision: Revision(5)
        }
    );
    assert_eq!(config.forks(), 1);
}

#[test]
fn bad_refused() {
    let mut config = Config::new();
    config.offer(&Source::Store, catalog(1, "a"), at(1));
    let mut bad = Catalog::clone(&catalog(2, "b"));
    let text = "workspaces: [{name: w, tokens: [x], share: 0}]";
    bad.workspaces = text
        .parse::<coltsfoothall::intent::Intent>()
        .unwrap()
        .workspaces;
    let outcome = config.offer(&Source::Store, Arc::new(bad), at(2));
    assert!(matches!(outcome, Outcome::Bad(_)));
    assert_eq!(config.revision(), Revision(1));
}

#[test]
fn fresh_start() {
    let mut config = Config::new();
    assert_eq!(config.standing(at(1)), Standing::Empty);
    assert_eq!(
        config.merge_revision(&peer(None), Revision(7), at(1)),
        Need::Fetch
    );
    config.offer(&peer(None), catalog(7, "a"), at(2));
    assert_eq!(config.standing(at(2)), Standing::Unconfirmed);
    assert_eq!(
        config.merge_revision(&peer(Some(30)), Revision(7), at(60)),
        Need::None
    );
    let age = Duration::from_secs(40);
    assert_eq!(config.standing(at(70)), Standing::Confirmed { age });
}

#[test]
fn outage_age() {
    let mut config = Config::new();
    config.offer(&Source::Store, catalog(7, "a"), at(10));
    let age = Duration::from_secs(90);
    assert_eq!(config.standing(at(100)), Standing::Confirmed { age });
    assert_eq!(
        config.merge_revision(&peer(None), Revision(6), at(100)),
        Need::Send
    );
    assert_eq!(
        config.merge_revision(&peer(Some(1)), Revision(8), at(100)),
        Need::Fetch
    );
    let newest = Revision(8);
    assert_eq!(config.standing(at(100)), Standing::Behind { newest });
    assert_eq!(config.revision(), Revision(7));
}

#[test]
fn few_kept() {
    let mut config = Config::new();
    for revision in 1..=20 {
        config.offer(&Source::Store, catalog(revision, "a"), at(revision));
    }
    assert!(config.at(Revision(20)).is_some());
    assert!(config.at(Revision(20 - MAX_PREVIOUS as u64)).is_some());
    assert!(config.at(Revision(19 - MAX_PREVIOUS as u64)).is_none());
}

#[test]
fn in_force_counted() {
    assert_eq!(
        in_force(Revision(4), &[Revision(4), Revision(3), Revision(5)]),
        2
    );
}

#[test]
fn never_back() {
    for seed in 0..200 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut configs: Vec<Config> = (0..5).map(|_| Config::new()).collect();
        let mut newest = 0;
        for step in 0..300 {
            let now = at(step);
            let who = rng.random_range(0..configs.len());
            let before = configs[who].revision();
            if rng.random_bool(0.4) {
                // The store, with late reads.
                newest += u64::from(rng.random_bool(0.3));
                let revision = newest.saturating_sub(rng.random_range(0..4));
                let value = catalog(revision, &format!("p{revision}"));
                configs[who].offer(&Source::Store, value, now);
            } else {
                let from = rng.random_range(0..configs.len());
                let (heard, age) = (configs[from].revision(), configs[from].age(now));
                let id = format!("e{from}").parse().unwrap();
                let source = Source::Peer { id, age };
                let value = configs[from].current().cloned();
                if configs[who].merge_revision(&source, heard, now) == Need::Fetch {
                    configs[who].offer(&source, value.unwrap(), now);
                    assert!(configs[who].revision() >= heard, "seed {seed}");
                }
            }
            assert!(configs[who].revision() >= before, "seed {seed}");
            assert_eq!(configs[who].forks(), 0, "seed {seed}");
        }
    }
}
