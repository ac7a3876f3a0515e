//! Resident memory of entry processes at rest and for open requests, and how
//! many ended requests fit into the ledger before new ones are refused.
//!
//! `cargo bench -p coltsfoothall-entry --bench memory`, after
//! `cargo build --release --workspace --bins`. A number sets the runs.

#![expect(clippy::unwrap_used, reason = "a failed step ends the bench")]

#[expect(dead_code, reason = "each bench uses a part of it")]
mod measure;
#[path = "../tests/system/mod.rs"]
mod system;

use std::fmt::Write as _;
use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use coltsfoothall_call::caller::{Caller, Settings};
use coltsfoothall_wire::caller::Prompt;
use measure::{id, memory, spread};
use system::{DOMAINS, MODEL, Shape, System, TOKEN};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Open requests at which memory is read.
const LEVELS: [usize; 4] = [0, 500, 1000, 2000];
/// Bytes of a prompt.
const PROMPTS: [usize; 2] = [200, 8192];
/// Endpoints in the list for each engine process, so that all requests are admitted.
const ROWS: usize = 300;
/// Callers with connections of their own.
const CALLERS: usize = 16;
/// Requests open at once while the ledger fills.
const OPEN: usize = 96;
/// Time without progress after which a request counts as refused.
const PATIENCE: Duration = Duration::from_secs(8);

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .unwrap();
    let runs = measure::sizes(&[3])[0];
    for entries in [1, 3] {
        for prompt in PROMPTS {
            runtime.block_on(opened(entries, prompt, runs));
        }
    }
    runtime.block_on(filled());
}

async fn start(entries: usize, engine: &str, times: &str) -> System {
    let (engine, times) = (engine.into(), times.into());
    let shape = Shape {
        entries,
        engines: 4,
        services: 0,
        engine,
        times,
        ..Shape::default()
    };
    let mut system = System::parts(shape);
    system.platform.kill();
    let file = system.folder.join("platform.yaml");
    let mut rows = String::from("  machines:\n");
    for at in 0..ROWS * system.engines.len() {
        let (engine, domain) = (&system.engines[at % system.engines.len()], DOMAINS[at % 3]);
        writeln!(
            rows,
            "    - {{id: runner-{at:05}, service: rights-reader, domain: {domain}, \
             class: small, lend: reclaimable, address: \"{}\"}}",
            engine.address
        )
        .unwrap();
    }
    let text = fs::read_to_string(&file).unwrap();
    fs::write(&file, text.replace("  machines:\n", &rows)).unwrap();
    system.start_platform();
    for at in 0..entries {
        system.start_entry(at);
    }
    system.confirm(system::INTENT).await;
    system.until_in_force(1).await;
    system.until_backed().await;
    sleep(Duration::from_secs(2)).await;
    system
}

fn callers(system: &System, patience: Duration) -> Vec<Arc<Caller>> {
    let entries: Vec<String> = system.entries.iter().map(|e| e.address.clone()).collect();
    let one = |seed| {
        let (entries, token) = (entries.clone(), TOKEN.into());
        let silence = Duration::from_secs(60);
        Arc::new(Caller::new(Settings {
            entries,
            token,
            patience,
            silence,
            seed,
            ..Settings::default()
        }))
    };
    (0..CALLERS as u64).map(one).collect()
}

async fn open(system: &System) -> usize {
    let mut open = 0;
    for at in system.running() {
        open += system
            .status(at)
            .await
            .map_or(0, |status| status.open as usize);
    }
    open
}

/// Memory with so many requests open, whose tokens come slowly.
async fn opened(entries: usize, len: usize, runs: usize) {
    let engine = "batch: {step_us: 3000000, step_each_us: 0, prefill_rate: 1000000000, \
                  prefill_step: 1000000000, batch: 4096, queue: 4096}\n";
    let mut rows: Vec<Vec<f64>> = vec![Vec::new(); LEVELS.len()];
    for _run in 0..runs {
        let system = start(entries, engine, "  report: 3600000\n").await;
        let callers = callers(&system, Duration::from_secs(600));
        let mut asking = JoinSet::new();
        for (row, level) in rows.iter_mut().zip(LEVELS) {
            for number in asking.len()..level {
                let caller = Arc::clone(&callers[number % CALLERS]);
                let prompt = format!("{number:<len$}");
                let prompt = Prompt {
                    model: MODEL.into(),
                    prompt,
                    max_tokens: 400,
                    stream: true,
                };
                asking.spawn(async move { caller.complete(&prompt).await.is_ok() });
            }
            system
                .until("requests open", async |system| open(system).await >= level)
                .await;
            sleep(Duration::from_secs(4)).await;
            let all: u64 = system.entries.iter().map(|entry| memory(id(entry))).sum();
            row.push(all as f64);
        }
        asking.abort_all();
    }
    println!("entries={entries} prompt_bytes={len} {}", measure::load());
    for (level, row) in LEVELS.iter().zip(rows) {
        println!(
            "entries={entries} prompt_bytes={len} open={level} resident_kb={}",
            spread(row)
        );
    }
}

/// Ended requests until a new one is refused because the ledger is full.
async fn filled() {
    let engine = "batch: {step_us: 2000, step_each_us: 0, prefill_rate: 1000000000, \
                  prefill_step: 1000000000, batch: 256}\n";
    for len in PROMPTS {
        let system = start(1, engine, "  report: 3600000\n").await;
        let callers = callers(&system, PATIENCE);
        let (done, full) = (
            Arc::new(AtomicU64::new(0)),
            Arc::new(AtomicBool::new(false)),
        );
        let begin = Instant::now();
        let mut workers = JoinSet::new();
        for worker in 0..OPEN {
            let caller = Arc::clone(&callers[worker % CALLERS]);
            let (done, full) = (Arc::clone(&done), Arc::clone(&full));
            workers.spawn(async move {
                for number in 0.. {
                    let prompt = format!("{worker:>4} {number:<len$}");
                    let prompt = Prompt {
                        model: MODEL.into(),
                        prompt,
                        max_tokens: 244,
                        stream: true,
                    };
                    let answer = caller.complete(&prompt).await;
                    if full.load(Ordering::Relaxed) {
                        return None;
                    }
                    if let Err(error) = answer {
                        full.store(true, Ordering::Relaxed);
                        return Some(error.to_string());
                    }
                    done.fetch_add(1, Ordering::Relaxed);
                }
                None
            });
        }
        while let Some(end) = workers.join_next().await {
            if let Some(error) = end.unwrap() {
                println!("filled prompt_bytes={len} first_error=\"{error}\"");
            }
        }
        println!(
            "filled prompt_bytes={len} answers={} seconds={} resident_kb={}",
            done.load(Ordering::Relaxed),
            begin.elapsed().as_secs(),
            memory(id(&system.entries[0]))
        );
    }
}
