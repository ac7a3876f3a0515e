//! Sizes of messages as they are sent, times to read and write them, what a
//! snapshot for traffic costs, and what a request adds to the ledger.
//!
//! `cargo bench -p coltsfoothall-entry --bench message`

use std::fs;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use coltsfoothall::catalog::{Catalog, Revision, Workspace};
use coltsfoothall::clock::Time;
use coltsfoothall::id;
use coltsfoothall::key::{Key, Slot};
use coltsfoothall::ledger::{Begin, Ledger, Life, Settings, Update};
use coltsfoothall::member::{self, Digest, Heartbeat};
use coltsfoothall::record::{Change, Class, End, Finish, Intake, Name, Part, Work};
use coltsfoothall::size::{Bytes, Millis, Price, Rate, Tokens};
use coltsfoothall::slot::{Candidate, Process, SLOT_COUNT, Table};
use coltsfoothall_entry::view::{Peer, Place, Token, View};
use coltsfoothall_wire::caller::{Address, Addresses};
use coltsfoothall_wire::cloud::{Lend, Machine, Machines, Phase};
use coltsfoothall_wire::engine::{self, Event, Events, Load};
use coltsfoothall_wire::{http, peer};
use tokio::time::Instant;

/// Failure domains at the size to design for.
const DOMAINS: usize = 19;
/// Times that each step is measured.
const ROUNDS: usize = 51;
/// Requests in a ledger that is measured.
const REQUESTS: usize = 1000;

fn main() {
    heartbeats();
    for members in [9, 40, 110, 330] {
        tables(members);
    }
    for machines in [39, 430, 3030] {
        lists(machines);
    }
    for (members, endpoints) in [(9, 9), (40, 450), (330, 2700)] {
        snapshot(members, endpoints);
    }
    for workspaces in [5, 100, 1000] {
        config(workspaces);
    }
    reports();
    for (prompt, tokens) in [(200, 8), (200, 64), (200, 244), (8192, 244)] {
        records(prompt, tokens);
    }
}

fn measure(name: &str, mut run: impl FnMut(usize)) {
    let mut times: Vec<u128> = Vec::new();
    for round in 0..ROUNDS {
        let begun = Instant::now();
        run(round);
        times.push(begun.elapsed().as_nanos());
    }
    times.sort_unstable();
    let at = |share: usize| times[(times.len() - 1) * share / 100] as f64 / 1e3;
    println!(
        "{name}_us={:.2} (10th {:.2}, 90th {:.2})",
        at(50),
        at(10),
        at(90)
    );
}

fn resident() -> usize {
    let text = fs::read_to_string("/proc/self/statm").expect("Linux has it");
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse::<usize>().ok());
    pages.expect("its second field is a number") * 4096
}

fn name<T: std::str::FromStr>(kind: &str, number: usize) -> T {
    let parsed = format!("{kind}-{number:05}").parse();
    parsed.unwrap_or_else(|_| unreachable!("the name keeps the rules"))
}

fn digest(number: usize) -> Digest {
    Digest {
        instance: name("entry", number),
        domain: name("domain", number % DOMAINS),
        callers: format!("10.20.{}.{}:8101", number / 250, number % 250),
        peers: format!("10.20.{}.{}:8201", number / 250, number % 250),
        incarnation: u64::MAX >> 1,
        version: 86_400,
        leaving: false,
        load: 30,
        revision: 900,
        slots: 4000,
    }
}

fn heartbeats() {
    for digests in [1, 3, 6, 9] {
        let digests: Vec<Digest> = (0..digests).map(digest).collect();
        let count = digests.len();
        let heartbeat = Heartbeat {
            digests,
            deaths: Vec::new(),
        };
        println!(
            "digests={count} heartbeat_bytes={}",
            peer::encode(&heartbeat).len()
        );
    }
}

fn backed(members: usize) -> Table {
    let candidate = |number| Candidate {
        instance: name("entry", number),
        domain: name("domain", number % DOMAINS),
        leaving: false,
    };
    let all: Vec<Candidate> = (0..members).map(candidate).collect();
    let mut table = Table::first(SLOT_COUNT, &all).expect("there are candidates");
    for number in 0..SLOT_COUNT {
        let slot = Slot(number);
        let entry = table.entry(slot).expect("it is in the table").clone();
        let backup = table.backup_for(slot, &all);
        let life = Life::default();
        let backup = backup.map(|instance| Process { instance, life });
        let next = table.replace_backup(slot, entry.epoch, &entry.primary, backup);
        table = next.expect("the primary asks");
    }
    table
}

fn tables(members: usize) {
    let table = backed(members);
    let bytes = peer::encode(&table);
    println!("members={members} slot_table_peer_bytes={}", bytes.len());
    println!(
        "members={members} slot_table_store_bytes={}",
        http::json(&table).len()
    );
    measure(&format!("members={members} slot_table_decode"), |_| {
        black_box(peer::decode::<Table>(&bytes).is_ok());
    });
}

fn machine(number: usize) -> Machine {
    Machine {
        id: name("runner", number),
        service: name("service", 0),
        domain: name("domain", number % DOMAINS),
        class: name("class", 0),
        lend: Lend::Reclaimable,
        price: Price(1_000_000),
        address: format!("10.20.{}.{}:9000", number / 250, number % 250),
        phase: Phase::Live,
    }
}

fn lists(machines: usize) {
    let list = Machines {
        machines: (0..machines).map(machine).collect(),
    };
    let bytes = http::json(&list);
    println!("machines={machines} list_bytes={}", bytes.len());
    measure(&format!("machines={machines} list_parse"), |_| {
        black_box(http::parse::<Machines>(&bytes).is_ok());
    });
}

/// What is published to traffic with each heartbeat and each list.
fn snapshot(members: usize, endpoints: usize) {
    let mut table = member::Table::new(digest(0), member::Settings::default());
    let digests = (1..members).map(digest).collect();
    table.merge(
        Time::START,
        Heartbeat {
            digests,
            deaths: Vec::new(),
        },
    );
    let machines: Vec<Machine> = (0..endpoints).map(machine).collect();
    let catalog = Arc::new(catalog(100));
    let slots = Arc::new(backed(members));
    let make = || view(&table, &machines, &catalog, &slots);
    measure(
        &format!("members={members} endpoints={endpoints} snapshot"),
        |_| {
            black_box(make());
        },
    );
    let before = resident();
    let held: Vec<Arc<View>> = (0..10).map(|_| make()).collect();
    let bytes = resident().saturating_sub(before) / held.len();
    println!("members={members} endpoints={endpoints} snapshot_bytes={bytes}");
}

fn view(
    table: &member::Table,
    machines: &[Machine],
    catalog: &Arc<Catalog>,
    slots: &Arc<Table>,
) -> Arc<View> {
    let mut tokens: Vec<Token> = Vec::new();
    for workspace in &catalog.workspaces {
        let token = |token: &String| Token {
            token: token.clone(),
            workspace: workspace.name.clone(),
        };
        tokens.extend(workspace.tokens.iter().map(token));
    }
    tokens.sort();
    let place = |machine: &Machine| {
        let endpoint = machine.id.as_str().parse().ok()?;
        Some(Place {
            endpoint,
            engine: true,
            address: machine.address.clone(),
        })
    };
    let peers = table.live().map(|member| Peer {
        instance: member.digest.instance.clone(),
        domain: member.digest.domain.clone(),
        address: member.digest.peers.clone(),
    });
    let known = table.addresses(Time::START);
    let addresses = known.addresses.into_iter().map(|address| Address {
        address: address.address,
        domain: address.domain,
        weight: address.weight,
    });
    Arc::new(View {
        catalog: Arc::clone(catalog),
        tokens,
        places: machines.iter().filter_map(place).collect(),
        addresses: Some(Addresses {
            addresses: addresses.collect(),
            ttl_ms: known.ttl,
        }),
        table: Arc::clone(slots),
        peers: peers.collect(),
        watches: table.is_watcher(),
        ..View::default()
    })
}

fn catalog(workspaces: usize) -> Catalog {
    let workspace = |number| Workspace {
        name: name("workspace", number),
        tokens: vec![format!(
            "token-{number:05}-0123456789abcdef0123456789abcdef"
        )],
        share: 1,
        open: 200,
        rate: Rate(50),
    };
    let workspaces = (0..workspaces).map(workspace).collect();
    let mut catalog = Catalog {
        revision: Revision(900),
        workspaces,
        ..Catalog::default()
    };
    for number in 0..64 {
        catalog.advance(name("plan", number));
    }
    catalog
}

fn config(workspaces: usize) {
    let catalog = catalog(workspaces);
    let bytes = peer::encode(&catalog);
    println!("workspaces={workspaces} config_peer_bytes={}", bytes.len());
    println!(
        "workspaces={workspaces} config_store_bytes={}",
        http::json(&catalog).len()
    );
    measure(&format!("workspaces={workspaces} config_decode"), |_| {
        black_box(peer::decode::<Catalog>(&bytes).is_ok());
    });
}

fn reports() {
    let (cached, capacity) = (Tokens(300_000), Tokens(400_000));
    let load = Load {
        running: 9,
        waiting: 1,
        prefill: Tokens(900),
        cached,
        capacity,
        boot: None,
    };
    println!("load_bytes={}", http::json(&load).len());
    for count in [0, 16, 256] {
        let event = |seq: u64| {
            let block = coltsfoothall::prefix::Block(seq.wrapping_mul(0x9e37_79b9_7f4a_7c15));
            Event {
                seq,
                change: engine::Change::Stored(block),
            }
        };
        let events = Events {
            events: (0..count).map(event).collect(),
            newest: count,
        };
        let bytes = http::json(&events);
        println!("events={count} events_bytes={}", bytes.len());
        measure(&format!("events={count} events_parse"), |_| {
            black_box(http::parse::<Events>(&bytes).is_ok());
        });
    }
}

/// A ledger that owns slot 0, whose backup is another instance.
fn owner() -> Ledger {
    let me: id::Instance = name("entry", 0);
    let wide = Settings {
        bytes: Bytes(1 << 40),
        max_unacked: usize::MAX,
        ..Settings::default()
    };
    let mut ledger = Ledger::new(me.clone(), wide);
    let candidate = |number| Candidate {
        instance: name("entry", number),
        domain: name("domain", number),
        leaving: false,
    };
    let first = Table::first(1, &[candidate(0)]).expect("there is a candidate");
    let slot = Slot(0);
    let epoch = first.entry(slot).expect("it is in the table").epoch;
    let claimed = first.claim(slot, epoch, &me).expect("it is at that epoch");
    let entry = claimed.entry(slot).expect("it is in the table").clone();
    ledger
        .propose(slot, first.version, entry)
        .expect("nobody keeps the slot");
    ledger.observe(Time::START, &claimed);
    ledger
}

/// What a request adds to its owner's memory, to the link to a backup and to a
/// whole copy.
fn records(prompt: usize, tokens: u64) {
    let label = format!("prompt={prompt} tokens={tokens}");
    let mut ledger = owner();
    let (mut bytes, mut changes) = (0, 0);
    for number in 0..REQUESTS {
        for update in run(&mut ledger, number, prompt, tokens) {
            bytes += peer::encode(&update).len();
            changes += 1;
        }
    }
    println!(
        "{label} ledger_counted_bytes={}",
        ledger.bytes().0 as usize / REQUESTS
    );
    println!(
        "{label} backup_bytes={} changes={}",
        bytes / REQUESTS,
        changes / REQUESTS
    );
    let now = Time::since_start(Duration::from_secs(1));
    let chunks = ledger
        .export(now, Slot(0), &name("entry", 1))
        .unwrap_or_default();
    let copy: usize = chunks.iter().map(|chunk| peer::encode(chunk).len()).sum();
    println!(
        "{label} copy_bytes={} pieces={}",
        copy / REQUESTS,
        chunks.len()
    );
}

/// The changes of one request with a token in each part.
fn run(ledger: &mut Ledger, number: usize, prompt: usize, tokens: u64) -> Vec<Update> {
    let key: Key = format!("key-{number:016}")
        .parse()
        .expect("the key keeps the rules");
    let named = Name {
        workspace: name("workspace", 0),
        key,
    };
    let work = Work::Completion {
        model: name("model", 0),
        adapter: None,
        prompt: "x".repeat(prompt),
        max_tokens: tokens,
    };
    let intake = Intake {
        name: named.clone(),
        service: name("service", 0),
        work,
        idempotent: true,
        class: Class::Interactive,
        deadline: Millis(300_000),
    };
    let (now, slot) = (Time::START, Slot(0));
    let begun = ledger.begin(now, intake, slot).expect("no rule is broken");
    let Begin::New(step) = begun else {
        panic!("the request is new: {begun:?}")
    };
    let mut updates = vec![step.update];
    let mut changes = vec![Change::Sent {
        attempt: number as u64,
        endpoint: name("runner", 0),
    }];
    for offset in 0..tokens {
        let finish = (offset + 1 == tokens).then_some(Finish::Length);
        changes.push(Change::Part(Part {
            offset,
            tokens: 1,
            text: " word".into(),
            finish,
        }));
    }
    changes.push(Change::End(End::Done));
    for change in changes {
        let step = ledger.change(now, slot, named.clone(), change);
        updates.push(step.expect("no rule is broken").update);
    }
    updates
}
