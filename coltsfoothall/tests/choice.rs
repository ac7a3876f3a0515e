//! The choice of an endpoint.

use std::time::Duration;

use coltsfoothall::choice::{Endpoint, Query, Router, Run, Settings};
use coltsfoothall::clock::Time;
use coltsfoothall::id;
use coltsfoothall::load::Report;
use coltsfoothall::prefix::Block;
use coltsfoothall::record::Class;
use coltsfoothall::size::{Price, Tokens};
use coltsfoothall::weight::Risk;
use proptest::prelude::*;

fn endpoint(service: &str, name: &str, domain: &str) -> Endpoint {
    Endpoint {
        id: name.parse().expect("a valid name"),
        service: service.parse().expect("a valid name"),
        models: Vec::new(),
        domain: domain.parse().expect("a valid name"),
        price: Price(1),
        risk: Risk(0),
    }
}

fn router(count: usize, settings: Settings) -> Router {
    let mut router = Router::new(settings);
    let names = (0..count).map(|n| endpoint("reader", &format!("e{n:04}"), "smichov"));
    router.set_endpoints(names.collect());
    router
}

fn at(millis: u64) -> Time {
    Time::START + Duration::from_millis(millis)
}

struct Want {
    service: id::Service,
    domain: id::Domain,
    blocks: Vec<Block>,
    exclude: Vec<id::Endpoint>,
    isolated: bool,
}

fn want(blocks: std::ops::Range<u64>) -> Want {
    Want {
        service: "reader".parse().expect("a valid name"),
        domain: "smichov".parse().expect("a valid name"),
        blocks: blocks.map(Block).collect(),
        exclude: Vec::new(),
        isolated: false,
    }
}

impl Want {
    fn query(&self) -> Query<'_> {
        Query {
            service: &self.service,
            model: None,
            blocks: &self.blocks,
            prompt: Tokens(self.blocks.len() as u64 * 256 + 10),
            max_tokens: Tokens(100),
            class: Class::Interactive,
            domain: &self.domain,
            exclude: &self.exclude,
            isolated: self.isolated,
        }
    }
}

fn send(router: &mut Router, now: Time, want: &Want) -> Run {
    let pick = router
        .choose(now, &want.query())
        .expect("an endpoint may serve");
    router.record_start(now, &pick.endpoint, &want.query())
}

#[test]
fn prefix_stays() {
    let mut router = router(18, Settings::default());
    let mut first = send(&mut router, at(0), &want(0..40));
    router.record_first_token(at(100), &mut first, Some(Tokens(0)));
    let endpoint = first.endpoint.clone();
    router.record_end(at(200), first);
    let pick = router.choose(at(300), &want(0..44).query()).unwrap();
    assert_eq!(pick.endpoint, endpoint);
    assert_eq!(pick.cached, Tokens(40 * 256));
}

#[test]
fn load_spreads() {
    let mut router = router(9, Settings::default());
    let runs: Vec<Run> = (0..90)
        .map(|n| send(&mut router, at(n), &want(n * 100..n * 100 + 4)))
        .collect();
    for n in 0..9 {
        let name: id::Endpoint = format!("e{n:04}").parse().unwrap();
        let open = runs.iter().filter(|run| run.endpoint == name).count();
        assert!((8..=12).contains(&open), "{name} has {open} of 90");
    }
}

#[test]
fn homes_agree() {
    for key in 0..20 {
        let pick = |seed| {
            let settings = Settings {
                all: 0,
                sample: 0,
                homes: 1,
                seed,
                ..Settings::default()
            };
            let mut router = router(450, settings);
            router.choose(at(0), &want(key..key + 9).query()).unwrap()
        };
        assert_eq!(pick(1).endpoint, pick(2).endpoint);
    }
}

#[test]
fn leaving_never() {
    let mut router = router(2, Settings::default());
    let name: id::Endpoint = "e0000".parse().unwrap();
    router.mark_leaving(&name);
    let again = (0..2).map(|n| endpoint("reader", &format!("e{n:04}"), "smichov"));
    router.set_endpoints(again.collect());
    for n in 0..50 {
        let run = send(&mut router, at(n), &want(n..n + 3));
        assert_eq!(run.endpoint.as_str(), "e0001");
    }
    router.mark_leaving(&"e0001".parse().unwrap());
    assert!(router.choose(at(60), &want(0..3).query()).is_none());
}

#[test]
fn suspect_last() {
    let mut router = router(2, Settings::default());
    router.mark_suspect(&"e0000".parse().unwrap(), at(1_000));
    let pick = router.choose(at(0), &want(0..3).query()).unwrap();
    assert_eq!(pick.endpoint.as_str(), "e0001");
    router.mark_leaving(&"e0001".parse().unwrap());
    let pick = router.choose(at(0), &want(0..3).query()).unwrap();
    assert_eq!(pick.endpoint.as_str(), "e0000");
}

#[test]
fn excluded_never() {
    let mut router = router(2, Settings::default());
    let mut want = want(0..3);
    want.exclude = vec!["e0000".parse().unwrap(), "e0001".parse().unwrap()];
    assert!(router.choose(at(0), &want.query()).is_none());
}

#[test]
fn alone_means_alone() {
    let mut router = router(2, Settings::default());
    let beside = send(&mut router, at(0), &want(0..3));
    let mut exclusive = want(0..3);
    exclusive.isolated = true;
    let run = send(&mut router, at(1), &exclusive);
    assert_ne!(run.endpoint, beside.endpoint);
    let next = send(&mut router, at(2), &want(0..3));
    assert_eq!(next.endpoint, beside.endpoint);
    assert!(router.choose(at(3), &exclusive.query()).is_none());
    router.record_end(at(4), run);
    router.record_end(at(4), beside);
    router.record_end(at(4), next);
    assert!(router.choose(at(5), &exclusive.query()).is_some());
}

#[test]
fn no_herd() {
    let mut routers: Vec<Router> = (0..8)
        .map(|seed| {
            let settings = Settings {
                seed,
                ..Settings::default()
            };
            router(9, settings)
        })
        .collect();
    let idle: id::Endpoint = "e0004".parse().unwrap();
    for router in &mut routers {
        for n in 0..9 {
            let busy = Report {
                running: if n == 4 { 10 } else { 14 },
                ..Report::default()
            };
            router.record_report(at(0), &format!("e{n:04}").parse().unwrap(), &busy);
        }
    }
    let mut there = 0;
    for n in 0..200 {
        let router = &mut routers[n as usize % 8];
        let run = send(router, at(1), &want(n * 100..n * 100 + 4));
        there += usize::from(run.endpoint == idle);
    }
    assert!(there <= 40, "{there} of 200 went to one idle endpoint");
}

proptest! {
    #[test]
    fn picks_may_serve(
        leaving in proptest::collection::vec(any::<bool>(), 12),
        suspect in proptest::collection::vec(any::<bool>(), 12),
        asks in proptest::collection::vec((0u64..50, any::<bool>()), 1..60),
    ) {
        let mut router = router(12, Settings::default());
        for n in 0..12 {
            let name: id::Endpoint = format!("e{n:04}").parse().unwrap();
            if leaving[n] {
                router.mark_leaving(&name);
            }
            if suspect[n] {
                router.mark_suspect(&name, at(1_000));
            }
        }
        let good = |n: usize| !leaving[n] && !suspect[n];
        for (first, ends) in asks {
            let want = want(first..first + 5);
            let Some(pick) = router.choose(at(0), &want.query()) else {
                prop_assert!(leaving.iter().all(|leaving| *leaving));
                continue;
            };
            let n: usize = pick.endpoint.as_str()[1..].parse().unwrap();
            prop_assert!(!leaving[n]);
            prop_assert!(good(n) || (0..12).all(|n| !good(n)));
            let run = router.record_start(at(0), &pick.endpoint, &want.query());
            if ends {
                router.record_end(at(0), run);
            }
        }
    }
}
