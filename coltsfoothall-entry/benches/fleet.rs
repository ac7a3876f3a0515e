//! What an idle fleet of entry processes costs each of them, what starting it
//! costs the key-value service, and how soon a confirmed revision is in force.
//!
//! `cargo bench -p coltsfoothall-entry --bench fleet -- 3 9 20 40`, after
//! `cargo build --release --workspace --bins`. `HEARTBEAT=1000` sets the heartbeat.

#![expect(clippy::unwrap_used, reason = "a failed step ends the bench")]

mod measure;
#[path = "../tests/system/mod.rs"]
mod system;

use std::fs;
use std::time::Duration;

use coltsfoothall_standin::kvserver::Counts;
use coltsfoothall_wire::operator::Verdict;
use measure::{carried, cpu, cpu_thread, flows, id, memory, spread, wire};
use system::{Shape, System};
use tokio::time::{Instant, sleep};

/// Time for connections and news to settle.
const CALM: Duration = Duration::from_secs(6);
/// Time over which idle processes are watched.
const WATCH: Duration = Duration::from_secs(10);
/// Looks at the idle fleet.
const LOOKS: usize = 3;
/// Revisions that are confirmed and timed.
const REVISIONS: u64 = 5;
/// Heartbeat in milliseconds if nothing is said.
const HEARTBEAT: u64 = 250;

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .unwrap();
    let heartbeat = std::env::var("HEARTBEAT")
        .ok()
        .and_then(|text| text.parse().ok());
    let heartbeat = heartbeat.unwrap_or(HEARTBEAT);
    for entries in measure::sizes(&[3, 9, 20, 40]) {
        runtime.block_on(fleet(entries, heartbeat));
    }
}

async fn fleet(entries: usize, heartbeat: u64) {
    let system = start(entries, heartbeat).await;
    let begin = Instant::now();
    let starting: Counts = system.get(&system.store, "/v1/counts").await;
    println!(
        "entries={entries} heartbeat_ms={heartbeat} {} start: gets={} puts={} conflicts={} \
         watches={}",
        measure::load(),
        starting.gets,
        starting.puts,
        starting.conflicts,
        starting.watches
    );
    sleep(CALM).await;
    idle(&system).await;
    config(&system, entries).await;
    system.assert_sound().await;
    println!(
        "entries={entries} ran_s={} {}",
        begin.elapsed().as_secs(),
        measure::load()
    );
}

async fn start(entries: usize, heartbeat: u64) -> System {
    let mut system = System::parts(Shape {
        entries,
        ..Shape::default()
    });
    for at in 0..entries {
        let file = system
            .folder
            .join(format!("{}.yaml", system.entries[at].name));
        let text = fs::read_to_string(&file).unwrap();
        let suspect = heartbeat * 6;
        let text = text.replace("heartbeat: 250", &format!("heartbeat: {heartbeat}"));
        let text = text.replace("suspect: 1500", &format!("suspect: {suspect}"));
        fs::write(&file, text).unwrap();
        system.start_entry(at);
    }
    system.confirm(system::INTENT).await;
    system.until_in_force(1).await;
    system.until_backed().await;
    system
}

/// What each entry process takes while no request comes.
async fn idle(system: &System) {
    let ids: Vec<u32> = system.entries.iter().map(id).collect();
    let peers = ports(system);
    let mut rows: Vec<Vec<f64>> = vec![Vec::new(); 9];
    for _look in 0..LOOKS {
        let begin = Instant::now();
        let counts: Counts = system.get(&system.store, "/v1/counts").await;
        let before: Vec<_> = ids
            .iter()
            .map(|id| (cpu(*id), control(*id), flows(*id)))
            .collect();
        sleep(WATCH).await;
        let seconds = begin.elapsed().as_secs_f64();
        let later: Counts = system.get(&system.store, "/v1/counts").await;
        for (id, (cpu0, control0, flows0)) in ids.iter().zip(&before) {
            let flows1 = flows(*id);
            let ended = |end: &String, port: &String| end.ends_with(port.as_str());
            let any = |port: &String| vec![port.clone()];
            let share = |ports: &[String]| {
                let (bytes, segments) = carried(flows0, &flows1, |flow| {
                    ports
                        .iter()
                        .any(|p| ended(&flow.ends.0, p) || ended(&flow.ends.1, p))
                });
                (
                    bytes as f64 / seconds,
                    wire(bytes, segments) as f64 / seconds,
                )
            };
            let (peer, peer_wire) = share(&peers);
            let (list, _) = share(&any(&port(&system.cloud)));
            let (store, _) = share(&any(&port(&system.store)));
            let engines: Vec<String> = system.engines.iter().map(|e| port(&e.address)).collect();
            let (engine, _) = share(&engines);
            rows[0].push((cpu(*id) - cpu0) as f64 / seconds);
            rows[1].push((control(*id) - control0) as f64 / seconds);
            rows[2].push(peer);
            rows[3].push(peer_wire);
            rows[4].push(list);
            rows[5].push(store);
            rows[6].push(engine);
            rows[7].push(memory(*id) as f64);
        }
        let calls = |counts: &Counts| counts.gets + counts.puts + counts.watches + counts.lists;
        rows[8].push((calls(&later) - calls(&counts)) as f64 / seconds);
    }
    let names = [
        "cpu_us_per_s",
        "control_thread_us_per_s",
        "peer_bytes_per_s",
        "peer_wire_bytes_per_s",
        "list_bytes_per_s",
        "store_bytes_per_s",
        "engine_bytes_per_s",
        "resident_kb",
        "store_calls_per_s_all",
    ];
    for (name, values) in names.iter().zip(rows) {
        println!("entries={} {name}={}", ids.len(), spread(values));
    }
}

fn control(process: u32) -> u64 {
    cpu_thread(process, "control")
}

fn port(address: &str) -> String {
    format!(":{}", address.rsplit_once(':').unwrap().1)
}

/// Ports on which entry instances listen for each other.
fn ports(system: &System) -> Vec<String> {
    let read = |part: &system::Part| {
        let file = system.folder.join(format!("{}.yaml", part.name));
        let text = fs::read_to_string(file).unwrap();
        let line = text.lines().find_map(|line| line.strip_prefix("peers: "));
        port(line.unwrap())
    };
    system.entries.iter().map(read).collect()
}

/// Time from the confirmation until a revision is in force on all.
async fn config(system: &System, entries: usize) {
    let mut times = Vec::new();
    let mut bytes = Vec::new();
    for number in 0..REVISIONS {
        let share = number + 4;
        let intent =
            format!("workspaces:\n  - {{name: film, tokens: [token-film], share: {share}}}\n");
        let Some(plan) = system.plan(0, &intent).await else {
            continue;
        };
        let Some(Verdict::Accepted(revision)) = system.settle(0, &plan).await else {
            continue;
        };
        let begin = Instant::now();
        let mut left = system.running();
        while !left.is_empty() {
            let mut behind = Vec::new();
            for at in left {
                let held = system.status(at).await.map(|status| status.revision);
                if held < Some(revision) {
                    behind.push(at);
                }
            }
            left = behind;
            sleep(Duration::from_millis(5)).await;
        }
        times.push(begin.elapsed().as_secs_f64() * 1000.0);
        let entry: coltsfoothall_wire::store::Entry =
            system.get(&system.store, "/v1/kv/catalog").await;
        bytes.push(entry.value.len() as f64);
        sleep(Duration::from_secs(1)).await;
    }
    println!("entries={entries} in_force_ms={}", spread(times));
    println!("entries={entries} catalog_bytes={}", spread(bytes));
    let entry: coltsfoothall_wire::store::Entry = system.get(&system.store, "/v1/kv/slots").await;
    println!(
        "entries={entries} slot_table_json_bytes={}",
        entry.value.len()
    );
}
