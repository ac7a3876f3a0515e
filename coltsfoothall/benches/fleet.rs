//! Time of one plan, one rollout step and one tick of starts at the size to design for.

use std::hint::black_box;
use std::time::{Duration, Instant};

use coltsfoothall::catalog::Placement;
use coltsfoothall::clock::Time;
use coltsfoothall::fleet::{Capacity, Demand, Kind, Lend, Offer, Plan, plan};
use coltsfoothall::order::{Engine, Loaded, Role, Wanted, Weights};
use coltsfoothall::rollout::{Rollout, Settings};
use coltsfoothall::size::{Bytes, Price};
use coltsfoothall::start::{self, Input, Machine, Phase, Queue};

const ROUNDS: u64 = 101;

/// Prints the median and the longest time.
fn measure(name: &str, mut run: impl FnMut(u64)) {
    let mut times: Vec<Duration> = Vec::new();
    for round in 0..ROUNDS {
        let begun = Instant::now();
        run(round);
        times.push(begun.elapsed());
    }
    times.sort_unstable();
    let (median, longest) = (times[times.len() / 2], times[times.len() - 1]);
    println!(
        "{name}: median {} us, longest {} us",
        median.as_micros(),
        longest.as_micros()
    );
}

fn offers(domains: u64, prices: &[u64]) -> Vec<Offer> {
    let mut offers = Vec::new();
    for domain in 0..domains {
        for (class, price) in (0..).zip(prices) {
            let here = price * (90 + (domain * 37 + class * 11) % 30) / 100;
            let cheap = here * (28 + (domain * 53 + class * 29) % 17) / 100;
            for (lend, price) in [(Lend::Reclaimable, cheap), (Lend::OnDemand, here)] {
                let domain = format!("domain-{domain:02}").parse().expect("a name");
                let class = format!("class-{class}").parse().expect("a name");
                let price = Price(price);
                offers.push(Offer {
                    kind: Kind {
                        domain,
                        class,
                        lend,
                    },
                    price,
                });
            }
        }
    }
    offers
}

fn plans(name: &str, offers: &[Offer], load: u64) -> (Demand, Plan) {
    let capacity = |(class, load): (usize, u64)| Capacity {
        class: format!("class-{class}").parse().expect("a name"),
        load,
    };
    let capacities = [4, 7, 15].into_iter().enumerate().map(capacity).collect();
    let demand = Demand {
        load,
        capacities,
        ..Demand::default()
    };
    let placement = Placement {
        service: "rights-reader".parse().expect("a name"),
        domains: Vec::new(),
        classes: Vec::new(),
        price: Price(0),
        on_demand: 0,
    };
    measure(name, |_round| {
        drop(black_box(plan(&demand, offers, &placement)))
    });
    let plan = plan(&demand, offers, &placement);
    (demand, plan)
}

fn rollout(engines: usize) {
    let loaded = |version| Loaded {
        name: "rights".into(),
        version,
    };
    let engine = |n: usize| Engine {
        endpoint: format!("runner-{n:04}").parse().expect("a name"),
        model: Some(loaded(1)),
        adapters: Vec::new(),
        loading: None,
        role: Role::Mixed,
        open: 3,
        leaving: false,
    };
    let engines: Vec<Engine> = (0..engines).map(engine).collect();
    let model = Weights {
        loaded: loaded(2),
        size: Bytes(20_000_000_000),
    };
    let wanted = Wanted {
        model,
        adapters: Vec::new(),
        needed: 2_400,
    };
    let mut rollout = Rollout::new(Settings::default());
    measure("rollout step, 2,700 engines", |round| {
        let now = Time::since_start(Duration::from_secs(round));
        black_box(rollout.tick(now, &wanted, &engines));
    });
}

fn starts(demand: Demand, offers: Vec<Offer>, plan: Plan) {
    let service = "rights-reader".parse().expect("a name");
    let mut queue = Queue::new(Time::START, start::Settings::default(), service, 1);
    let kinds = plan
        .allocations
        .iter()
        .flat_map(|allocation| (0..allocation.count).map(|_n| &allocation.offer.kind));
    let machine = |(n, kind): (usize, &Kind)| Machine {
        id: format!("i-{n:05}").parse().expect("a name"),
        kind: kind.clone(),
        phase: Phase::Live,
    };
    let machines: Vec<Machine> = kinds.enumerate().map(machine).collect();
    let wanted = start::Wanted {
        allocations: plan.allocations,
        offers,
        capacities: demand.capacities,
    };
    queue.handle(Time::START, Input::Wanted(wanted));
    let name = format!("list and tick of starts, {} instances", machines.len());
    measure(&name, |round| {
        let now = Time::since_start(Duration::from_secs(20 + round));
        queue.handle(now, Input::Listed(machines.clone()));
        black_box(queue.handle(now, Input::Tick));
    });
}

fn main() {
    let prices = [2_400_000, 3_900_000, 7_700_000];
    plans(
        "plan, 18 runners over 3 domains",
        &offers(3, &prices),
        18 * 4,
    );
    let all = offers(19, &prices);
    let (demand, plan) = plans("plan, 2,700 runners over 19 domains", &all, 2_700 * 4);
    rollout(2_700);
    starts(demand, all, plan);
}
