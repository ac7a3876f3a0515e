//! Processor time of entry processes for each request and each relayed token,
//! and first tokens through them beside an engine asked directly.
//!
//! `cargo bench -p coltsfoothall-entry --bench relay`, after
//! `cargo build --release --workspace --bins`. A number sets the runs.

#![expect(clippy::unwrap_used, reason = "a failed step ends the bench")]

#[expect(dead_code, reason = "each bench uses a part of it")]
mod measure;
#[path = "../tests/system/mod.rs"]
mod system;

use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use coltsfoothall_call::ask::{Ask, Origin, Work};
use coltsfoothall_call::caller::{Caller, Settings};
use coltsfoothall_wire::caller::Prompt;
use coltsfoothall_wire::engine::Generate;
use coltsfoothall_wire::http;
use http_body_util::BodyExt;
use hyper::{Method, Request};
use measure::{cpu, id, spread};
use system::{MODEL, Shape, System, TOKEN};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Callers with connections of their own.
const CALLERS: usize = 8;
/// Requests open at once.
const OPEN: usize = 192;
/// Tokens of an answer, and answers in a run.
const SIZES: [(u64, u64); 3] = [(8, 3000), (64, 1200), (256, 500)];
/// First tokens compared in a run.
const PAIRS: u64 = 150;
/// Time over which an idle system is watched, to take its cost off.
const IDLE: Duration = Duration::from_secs(4);

/// Seed of the next caller: callers of one system must not make up the same keys.
static SEED: AtomicU64 = AtomicU64::new(17);

/// A system and how its callers name requests.
#[derive(Debug, Clone)]
struct Case {
    name: &'static str,
    entries: usize,
    origin: Origin,
}

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .unwrap();
    let runs = measure::sizes(&[3])[0];
    let cases = [
        Case {
            name: "alone",
            entries: 1,
            origin: Origin::Own,
        },
        Case {
            name: "backup",
            entries: 3,
            origin: Origin::Minted,
        },
        Case {
            name: "backup_hop",
            entries: 3,
            origin: Origin::Own,
        },
    ];
    for case in cases {
        runtime.block_on(measured(&case, runs));
    }
    runtime.block_on(saturated(runs));
}

fn engine(step_us: u64) -> String {
    format!("batch: {{step_us: {step_us}, step_each_us: 0, prefill_rate: 1000000, batch: 64}}\n")
}

async fn start(entries: usize, step_us: u64, threads: usize) -> System {
    let shape = Shape {
        entries,
        engines: 8,
        services: 0,
        engine: engine(step_us),
        ..Shape::default()
    };
    let mut system = System::parts(shape);
    for at in 0..entries {
        let file = system
            .folder
            .join(format!("{}.yaml", system.entries[at].name));
        let text = fs::read_to_string(&file).unwrap();
        fs::write(
            &file,
            text.replace("threads: 2", &format!("threads: {threads}")),
        )
        .unwrap();
        system.start_entry(at);
    }
    system.confirm(system::INTENT).await;
    system.until_in_force(1).await;
    system.until_backed().await;
    sleep(Duration::from_secs(2)).await;
    system
}

async fn measured(case: &Case, runs: usize) {
    let mut rows: Vec<[Vec<f64>; 3]> = SIZES.iter().map(|_| Default::default()).collect();
    let (mut direct, mut through, mut added) = (Vec::new(), Vec::new(), Vec::new());
    for _run in 0..runs {
        let system = start(case.entries, 10_000, 2).await;
        let (plain, entry) = pairs(&system, case).await;
        added.push(entry - plain);
        direct.push(plain);
        through.push(entry);
        let idle = idle(&system).await;
        for (row, (tokens, count)) in rows.iter_mut().zip(SIZES) {
            let load = Load {
                tokens,
                count,
                open: OPEN,
                origin: case.origin.clone(),
            };
            let taken = load.run(&system).await;
            let busy = taken.cpu as f64 - idle * taken.seconds;
            row[0].push(busy / count as f64);
            row[1].push(count as f64 / taken.seconds);
            row[2].push((count * tokens) as f64 / taken.seconds);
        }
        system.assert_sound().await;
    }
    println!("case={} {}", case.name, measure::load());
    println!("case={} first_direct_us={}", case.name, spread(direct));
    println!("case={} first_through_us={}", case.name, spread(through));
    println!("case={} first_added_us={}", case.name, spread(added));
    for ([cpu, requests, tokens], (size, _)) in rows.into_iter().zip(SIZES) {
        println!(
            "case={} tokens={size} cpu_us_per_request={}",
            case.name,
            spread(cpu)
        );
        println!(
            "case={} tokens={size} requests_per_s={}",
            case.name,
            spread(requests)
        );
        println!(
            "case={} tokens={size} tokens_per_s={}",
            case.name,
            spread(tokens)
        );
    }
}

/// Microseconds a second that all entry processes take while no request comes.
async fn idle(system: &System) -> f64 {
    let (begin, before) = (Instant::now(), total(system));
    sleep(IDLE).await;
    (total(system) - before) as f64 / begin.elapsed().as_secs_f64()
}

fn total(system: &System) -> u64 {
    system.entries.iter().map(|entry| cpu(id(entry))).sum()
}

/// Requests to be made, a new one for each that ended.
#[derive(Debug, Clone)]
struct Load {
    tokens: u64,
    count: u64,
    open: usize,
    origin: Origin,
}

#[derive(Debug)]
struct Taken {
    cpu: u64,
    seconds: f64,
}

impl Load {
    async fn run(&self, system: &System) -> Taken {
        let entries: Vec<String> = system.entries.iter().map(|e| e.address.clone()).collect();
        let callers: Vec<Arc<Caller>> = (0..CALLERS).map(|_| caller(&entries)).collect();
        let next = Arc::new(AtomicU64::new(0));
        let (begin, before) = (Instant::now(), total(system));
        let mut workers = JoinSet::new();
        for worker in 0..self.open {
            let caller = Arc::clone(&callers[worker % CALLERS]);
            workers.spawn(self.clone().work(caller, Arc::clone(&next)));
        }
        while let Some(worker) = workers.join_next().await {
            worker.unwrap();
        }
        let seconds = begin.elapsed().as_secs_f64();
        Taken {
            cpu: total(system) - before,
            seconds,
        }
    }

    async fn work(self, caller: Arc<Caller>, next: Arc<AtomicU64>) {
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            if number >= self.count {
                return;
            }
            let ask = ask(number, self.tokens, self.origin.clone());
            let outcome = caller.ask(&ask).await.unwrap();
            assert_eq!(outcome.tokens, self.tokens);
        }
    }
}

fn caller(entries: &[String]) -> Arc<Caller> {
    let settings = Settings {
        entries: entries.to_vec(),
        token: TOKEN.into(),
        seed: SEED.fetch_add(1, Ordering::Relaxed),
        ..Settings::default()
    };
    Arc::new(Caller::new(settings))
}

/// A request whose prompt of 200 bytes nobody has seen.
fn ask(number: u64, max_tokens: u64, origin: Origin) -> Ask {
    let prompt = format!("{number:<200}");
    let prompt = Prompt {
        model: MODEL.into(),
        prompt,
        max_tokens,
        stream: true,
    };
    Ask {
        origin,
        ..Ask::new(Work::Completion(prompt))
    }
}

/// Median first token of an engine asked directly and through an entry
/// instance, in turns, one at a time, in microseconds.
async fn pairs(system: &System, case: &Case) -> (f64, f64) {
    let entries: Vec<String> = system.entries.iter().map(|e| e.address.clone()).collect();
    let caller = caller(&entries);
    let (mut direct, mut through) = (Vec::new(), Vec::new());
    for number in 0..PAIRS {
        let engine = &system.engines[number as usize % system.engines.len()].address;
        direct.push(ask_engine(system, engine, number).await);
        let outcome = caller
            .ask(&ask(1_000_000 + number, 1, case.origin.clone()))
            .await
            .unwrap();
        through.push(outcome.times.first.unwrap().as_micros() as f64);
    }
    (median(direct), median(through))
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

async fn ask_engine(system: &System, engine: &str, number: u64) -> f64 {
    let generate = Generate {
        attempt: u64::MAX - number,
        model: MODEL.parse().unwrap(),
        adapter: None,
        prompt: format!("{:<200}", 2_000_000 + number),
        resume: String::new(),
        offset: 0,
        max_tokens: 1,
        priority: 0,
    };
    let begin = Instant::now();
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{engine}/v1/completions"))
        .body(http::json_body(&generate))
        .unwrap();
    let within = Duration::from_secs(5);
    let mut body = system
        .client
        .send("direct", request, within)
        .await
        .unwrap()
        .into_body();
    let _first = body.frame().await.unwrap().unwrap();
    let first = begin.elapsed().as_micros() as f64;
    while let Some(frame) = body.frame().await {
        let _rest = frame.unwrap();
    }
    first
}

/// What one traffic thread carries at most.
async fn saturated(runs: usize) {
    let (mut requests, mut tokens, mut cores) = (Vec::new(), Vec::new(), Vec::new());
    let load = Load {
        tokens: 244,
        count: 1500,
        open: 320,
        origin: Origin::Own,
    };
    for _run in 0..runs {
        let system = start(1, 2_000, 1).await;
        let taken = load.run(&system).await;
        requests.push(load.count as f64 / taken.seconds);
        tokens.push((load.count * load.tokens) as f64 / taken.seconds);
        cores.push(taken.cpu as f64 / taken.seconds / 10_000.0);
    }
    println!("saturated {}", measure::load());
    println!("saturated requests_per_s={}", spread(requests));
    println!("saturated tokens_per_s={}", spread(tokens));
    println!("saturated core_percent={}", spread(cores));
}
