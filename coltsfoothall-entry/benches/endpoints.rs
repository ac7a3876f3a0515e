//! What endpoints cost one idle entry process: reading their load and cache
//! events and the instance list.
//!
//! `cargo bench -p coltsfoothall-entry --bench endpoints -- 9 90 450 2700`, after
//! `cargo build --release --workspace --bins`. All endpoints stand behind one
//! address, which answers at once and counts.

#![expect(clippy::unwrap_used, reason = "a failed step ends the bench")]

#[expect(dead_code, reason = "each bench uses a part of it")]
mod measure;
#[path = "../tests/system/mod.rs"]
mod system;

use std::fmt::Write as _;
use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use coltsfoothall::size::Tokens;
use coltsfoothall_wire::engine::{Events, Load};
use coltsfoothall_wire::serve::{self, Answer, Handler};
use hyper::Request;
use hyper::body::Incoming;
use measure::{carried, cpu, cpu_thread, flows, id, memory, spread};
use system::{DOMAINS, Shape, System};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

const CALM: Duration = Duration::from_secs(5);
const WATCH: Duration = Duration::from_secs(8);
const LOOKS: usize = 3;

/// Answers for all endpoints and counts the reads of their load.
#[derive(Debug, Default)]
struct Counter {
    loads: AtomicU64,
}

impl Handler for Counter {
    fn call(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> Answer {
        let load = request.uri().path() == "/v1/load";
        Box::pin(async move {
            if load {
                self.loads.fetch_add(1, Ordering::Relaxed);
                let (cached, capacity) = (Tokens(1), Tokens(400_000));
                return serve::json(
                    200,
                    &Load {
                        cached,
                        capacity,
                        ..Load::default()
                    },
                );
            }
            serve::json(200, &Events::default())
        })
    }
}

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .unwrap();
    for endpoints in measure::sizes(&[9, 90, 450, 2700]) {
        runtime.block_on(measured(endpoints));
    }
}

async fn measured(endpoints: usize) {
    let counter = Arc::new(Counter::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let stop = CancellationToken::new();
    let handler: Arc<dyn Handler> = Arc::clone(&counter) as Arc<dyn Handler>;
    let serving = tokio::spawn(serve::run(listener, handler, stop.clone()));
    let mut shape = Shape {
        entries: 1,
        engines: 0,
        services: 0,
        ..Shape::default()
    };
    shape.list_lag_ms = 0;
    let mut system = System::parts(shape);
    list(&mut system, endpoints, &address);
    system.start_entry(0);
    system.confirm(system::INTENT).await;
    system.until_in_force(1).await;
    system.until_backed().await;
    sleep(CALM).await;
    let process = id(&system.entries[0]);
    let mut rows: Vec<Vec<f64>> = vec![Vec::new(); 6];
    for _look in 0..LOOKS {
        let begin = Instant::now();
        let loads = counter.loads.load(Ordering::Relaxed);
        let (cpu0, control0) = (cpu(process), cpu_thread(process, "control"));
        let flows0 = flows(process);
        sleep(WATCH).await;
        let seconds = begin.elapsed().as_secs_f64();
        let reads = counter.loads.load(Ordering::Relaxed) - loads;
        let flows1 = flows(process);
        let port = |address: &str| format!(":{}", address.rsplit_once(':').unwrap().1);
        let share = |address: &str| {
            let port = port(address);
            carried(&flows0, &flows1, |flow| flow.ends.1.ends_with(&port)).0 as f64 / seconds
        };
        rows[0].push(reads as f64 / seconds);
        rows[1].push((cpu(process) - cpu0) as f64 / seconds);
        rows[2].push((cpu_thread(process, "control") - control0) as f64 / seconds);
        rows[3].push(share(&address));
        rows[4].push(share(&system.cloud));
        rows[5].push(memory(process) as f64);
    }
    let names = [
        "load_reads_per_s",
        "cpu_us_per_s",
        "control_thread_us_per_s",
        "report_bytes_per_s",
        "list_bytes_per_s",
        "resident_kb",
    ];
    println!("endpoints={endpoints} {}", measure::load());
    for (name, values) in names.iter().zip(rows) {
        println!("endpoints={endpoints} {name}={}", spread(values));
    }
    stop.cancel();
    drop(serving);
}

/// Lists endpoints that all listen at one address.
fn list(system: &mut System, endpoints: usize, address: &str) {
    system.platform.kill();
    let file = system.folder.join("platform.yaml");
    let mut rows = String::from("  machines:\n");
    for at in 0..endpoints {
        let domain = DOMAINS[at % DOMAINS.len()];
        writeln!(
            rows,
            "    - {{id: runner-{at:05}, service: rights-reader, domain: {domain}, \
             class: small, lend: reclaimable, address: \"{address}\"}}"
        )
        .unwrap();
    }
    let text = fs::read_to_string(&file).unwrap();
    fs::write(&file, text.replace("  machines:\n", &rows)).unwrap();
    system.start_platform();
}
