//! Time and memory of the control state for each member, endpoint, slot and
//! workspace, at several sizes up to the one to design for.
//!
//! `cargo bench -p coltsfoothall --bench control`

use std::fs;
use std::hint::black_box;
use std::time::{Duration, Instant};

use coltsfoothall::catalog::{Catalog, Revision, Workspace};
use coltsfoothall::choice::{Endpoint, Query, Router, Settings};
use coltsfoothall::clock::Time;
use coltsfoothall::duty::{Context, duties};
use coltsfoothall::id;
use coltsfoothall::index::{Change, Event};
use coltsfoothall::key::Slot;
use coltsfoothall::ledger::{self, Ledger, Life};
use coltsfoothall::load::Report;
use coltsfoothall::member::{self, Digest, Heartbeat};
use coltsfoothall::prefix::Block;
use coltsfoothall::record::Class;
use coltsfoothall::size::{Price, Rate, Tokens};
use coltsfoothall::slot::{Candidate, Process, SLOT_COUNT, Table};
use coltsfoothall::stall::{self, Monitor};
use coltsfoothall::weight::Risk;

/// Failure domains at the size to design for.
const DOMAINS: usize = 19;
/// Times that each step is measured.
const ROUNDS: usize = 101;
/// Objects that are made at once where memory is read.
const COPIES: usize = 20;
/// Blocks that an endpoint's cache holds: 400,000 tokens.
const CACHE: u64 = 1562;

fn main() {
    for workspaces in [5, 100, 1000] {
        catalog(workspaces);
    }
    for members in [9, 40, 110, 330] {
        membership(members);
        slots(members);
    }
    for members in [38, 114, 330] {
        domain_loss(members);
    }
    for endpoints in [9, 90, 450, 2700] {
        endpoints_of(endpoints);
    }
}

/// Prints the median time and the spread.
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

/// Resident bytes of this process.
fn resident() -> usize {
    let text = fs::read_to_string("/proc/self/statm").expect("Linux has it");
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse::<usize>().ok());
    pages.expect("its second field is a number") * 4096
}

/// Prints the resident bytes of one of many equal objects.
fn weigh<T>(name: &str, mut make: impl FnMut() -> T) {
    let warm: Vec<T> = (0..2).map(|_| make()).collect();
    let before = resident();
    let held: Vec<T> = (0..COPIES).map(|_| make()).collect();
    let bytes = resident().saturating_sub(before) / COPIES;
    println!("{name}_bytes={bytes}");
    // Memory that was given back would be used again and not be seen the next time.
    std::mem::forget((warm, held));
}

fn name<T: std::str::FromStr>(kind: &str, number: usize) -> T {
    let parsed = format!("{kind}-{number:05}").parse();
    parsed.unwrap_or_else(|_| unreachable!("the name keeps the rules"))
}

fn at(millis: u64) -> Time {
    Time::since_start(Duration::from_millis(millis))
}

fn digest(number: usize, version: u64) -> Digest {
    Digest {
        instance: name("entry", number),
        domain: name("domain", number % DOMAINS),
        callers: format!("10.20.{}.{}:8101", number / 250, number % 250),
        peers: format!("10.20.{}.{}:8201", number / 250, number % 250),
        incarnation: 7,
        version,
        leaving: false,
        load: 30,
        revision: 900,
        slots: 4000,
    }
}

fn table_of(members: usize) -> member::Table {
    let mut table = member::Table::new(digest(0, 1), member::Settings::default());
    let digests = (1..members).map(|number| digest(number, 1)).collect();
    table.merge(
        at(10),
        Heartbeat {
            digests,
            deaths: Vec::new(),
        },
    );
    table
}

fn membership(members: usize) {
    weigh(&format!("members={members} table"), || table_of(members));
    let mut table = table_of(members);
    let mut watch = Monitor::new(at(0), stall::Settings::default());
    measure(&format!("members={members} heartbeat"), |round| {
        black_box(table.heartbeat(at(20 + round as u64)));
    });
    measure(&format!("members={members} merge_of_9"), |round| {
        let version = 2 + round as u64;
        let some = (0..9).map(|n| digest(1 + (round * 9 + n) % (members - 1), version));
        let heartbeat = Heartbeat {
            digests: some.collect(),
            deaths: Vec::new(),
        };
        black_box(table.merge(at(30 + round as u64), heartbeat));
    });
    measure(&format!("members={members} expire"), |round| {
        let now = at(200 + round as u64);
        watch.record_message(now);
        watch.tick(now);
        black_box(table.expire(now, &watch));
    });
    measure(&format!("members={members} addresses"), |_| {
        black_box(table.addresses(at(400)));
    });
    measure(&format!("members={members} candidates"), |_| {
        black_box(table.candidates());
    });
}

fn candidates(members: usize) -> Vec<Candidate> {
    let candidate = |number| Candidate {
        instance: name("entry", number),
        domain: name("domain", number % DOMAINS),
        leaving: false,
    };
    (0..members).map(candidate).collect()
}

/// A table in which each slot has an owner and a backup.
fn backed(all: &[Candidate]) -> Table {
    let mut table = Table::first(SLOT_COUNT, all).expect("there are candidates");
    for number in 0..SLOT_COUNT {
        let slot = Slot(number);
        let backup = table.backup_for(slot, all);
        let entry = table.entry(slot).expect("it is in the table").clone();
        let life = Life::default();
        let backup = backup.map(|instance| Process { instance, life });
        let next = table.replace_backup(slot, entry.epoch, &entry.primary, backup);
        table = next.expect("the primary asks");
    }
    table
}

fn slots(members: usize) {
    let all = candidates(members);
    let table = backed(&all);
    let text = serde_json::to_string(&table).expect("a table has no map keys");
    println!("members={members} slot_table_json_bytes={}", text.len());
    let owning = all
        .iter()
        .filter(|one| table.primaries(&one.instance) > 0)
        .count();
    println!("members={members} members_that_own_a_slot={owning}");
    measure(&format!("members={members} slot_table_parse"), |_| {
        let read: Result<Table, _> = serde_json::from_str(black_box(&text));
        black_box(read.is_ok());
    });
    measure(&format!("members={members} slot_table_change"), |round| {
        let slot = Slot(round as u16 % SLOT_COUNT);
        let entry = table.entry(slot).expect("it is in the table");
        black_box(table.claim(slot, entry.epoch, &entry.primary).is_ok());
    });
    let me = &all[members - 1].instance;
    let ledger = Ledger::new(me.clone(), ledger::Settings::default());
    let context = Context {
        me,
        table: &table,
        ledger: &ledger,
        live: &all,
        missing: &[],
        leaving: false,
        service: true,
        settled: true,
    };
    measure(&format!("members={members} duties"), |_| {
        black_box(duties(black_box(&context)));
    });
    measure(&format!("members={members} backup_for"), |round| {
        black_box(table.backup_for(Slot(round as u16 % SLOT_COUNT), &all));
    });
}

/// What the loss of the fullest failure domain leaves to do.
fn domain_loss(members: usize) {
    let all = candidates(members);
    let table = backed(&all);
    let lost: id::Domain = name("domain", 0);
    let gone = |instance: &id::Instance| {
        all.iter()
            .any(|one| one.instance == *instance && one.domain == lost)
    };
    let (mut takeovers, mut backups, mut both) = (0, 0, 0);
    for (_, entry) in table.iter() {
        let owner = gone(&entry.primary);
        let backup = entry.backup.as_ref().is_some_and(gone);
        both += usize::from(owner && backup);
        takeovers += usize::from(owner && !backup);
        backups += usize::from(!owner && backup);
    }
    let left = all.iter().filter(|one| one.domain == lost).count();
    println!(
        "members={members} domain_lost={left} takeovers={takeovers} backups_lost={backups} \
         both_lost={both} copies={}",
        takeovers + backups
    );
}

fn endpoint(number: usize) -> Endpoint {
    Endpoint {
        id: name("runner", number),
        service: name("service", 0),
        models: Vec::new(),
        domain: name("domain", number % DOMAINS),
        price: Price(1_000_000 + (number as u64 % 7) * 10_000),
        risk: Risk::default(),
    }
}

fn router(count: usize) -> Router {
    let mut router = Router::new(Settings {
        entries: 330,
        ..Settings::default()
    });
    router.set_endpoints((0..count).map(endpoint).collect());
    router
}

/// Cache events of an endpoint: blocks of its own and blocks that many share.
fn events(endpoint: usize, from: u64, count: u64) -> Vec<Event> {
    let block = |seq: u64| match seq % 8 {
        0 => Block(seq.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        _ => Block((endpoint as u64 * CACHE * 16 + seq).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
    };
    (from..from + count)
        .map(|seq| Event {
            seq,
            change: Change::Stored(block(seq)),
        })
        .collect()
}

fn endpoints_of(count: usize) {
    let before = resident();
    let mut router = Box::new(router(count));
    let empty = resident().saturating_sub(before);
    for number in 0..count {
        let events = events(number, 1, CACHE);
        black_box(router.record_cache_events(&name("runner", number), &events));
    }
    let full = resident().saturating_sub(before);
    println!(
        "endpoints={count} router_empty_bytes={empty} router_full_bytes={full} beliefs={} \
         blocks_reported={}",
        router.index_entries(),
        count as u64 * CACHE
    );
    measure(&format!("endpoints={count} set_endpoints"), |_| {
        router.set_endpoints((0..count).map(endpoint).collect());
    });
    let report = Report {
        running: 9,
        waiting: 1,
        prefill: Tokens(900),
        cached: Tokens(300_000),
        capacity: Tokens(400_000),
    };
    measure(&format!("endpoints={count} report"), |round| {
        router.record_report(at(round as u64), &name("runner", round % count), &report);
    });
    measure(&format!("endpoints={count} cache_events_of_16"), |round| {
        let events = events(round % count, CACHE + 1 + round as u64 * 16, 16);
        black_box(router.record_cache_events(&name("runner", round % count), &events));
    });
    choices(count, &mut router);
    std::mem::forget(router);
}

fn choices(count: usize, router: &mut Router) {
    let (service, domain) = (name("service", 0), name("domain", 0));
    let shared: Vec<Block> = events(0, 1, 256).iter().map(stored).collect();
    let lengths = [("short", 1), ("long", 16)];
    for (label, blocks) in lengths {
        let query = Query {
            service: &service,
            model: None,
            blocks: &shared[7..7 + blocks],
            prompt: Tokens(blocks as u64 * 256),
            max_tokens: Tokens(244),
            class: Class::Interactive,
            domain: &domain,
            exclude: &[],
            isolated: false,
        };
        measure(&format!("endpoints={count} choose_{label}"), |round| {
            black_box(router.choose(at(1000 + round as u64), &query));
        });
        measure(
            &format!("endpoints={count} choose_began_ended_{label}"),
            |round| {
                let now = at(2000 + round as u64);
                if let Some(pick) = router.choose(now, &query) {
                    let run = router.record_start(now, &pick.endpoint, &query);
                    router.record_end(now, run);
                }
            },
        );
    }
    measure(&format!("endpoints={count} room"), |round| {
        black_box(router.budget(at(3000 + round as u64), &service));
    });
}

fn stored(event: &Event) -> Block {
    match event.change {
        Change::Stored(block) | Change::Evicted(block) => block,
        Change::Cleared => Block(0),
    }
}

fn catalog(workspaces: usize) {
    let workspace = |number| Workspace {
        name: name("workspace", number),
        tokens: vec![format!(
            "token-{number:05}-0123456789abcdef0123456789abcdef"
        )],
        share: 1 + number as u32 % 5,
        open: 200,
        rate: Rate(50),
    };
    let all = (0..workspaces).map(workspace).collect();
    let mut catalog = Catalog {
        revision: Revision(900),
        workspaces: all,
        ..Catalog::default()
    };
    for number in 0..64 {
        catalog.advance(name("plan", number));
    }
    let text = serde_json::to_string(&catalog).expect("a catalog has no map keys");
    println!("workspaces={workspaces} catalog_json_bytes={}", text.len());
    measure(&format!("workspaces={workspaces} catalog_parse"), |_| {
        let read: Result<Catalog, _> = serde_json::from_str(black_box(&text));
        black_box(read.is_ok());
    });
    measure(&format!("workspaces={workspaces} catalog_write"), |_| {
        black_box(serde_json::to_string(&catalog).is_ok());
    });
    measure(&format!("workspaces={workspaces} catalog_check"), |_| {
        black_box(catalog.check().is_ok());
    });
    weigh(&format!("workspaces={workspaces} catalog"), || {
        catalog.clone()
    });
}
