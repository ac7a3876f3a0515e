//! Microseconds a choice, with the bookkeeping of a request around it, at three
//! sizes of a service. Run with `cargo bench -p coltsfoothall --bench choice`.

use std::hint::black_box;
use std::time::{Duration, Instant};

use coltsfoothall::choice::{Endpoint, Query, Router, Run, Settings};
use coltsfoothall::clock::Time;
use coltsfoothall::id;
use coltsfoothall::prefix::Block;
use coltsfoothall::record::Class;
use coltsfoothall::size::{Price, Tokens};
use coltsfoothall::weight::Risk;

/// Endpoints of the service.
const SIZES: [usize; 3] = [9, 450, 2_700];
/// Requests that are timed.
const REQUESTS: u64 = 20_000;
/// Blocks of a prompt: 16,384 tokens.
const BLOCKS: u64 = 64;
/// Documents that the requests are about.
const DOCUMENTS: u64 = 2_000;
/// Requests that are open at any time.
const OPEN: usize = 200;

fn main() {
    println!("| endpoints | choose, us | began, first and ended, us | beliefs |");
    println!("| --- | --- | --- | --- |");
    for size in SIZES {
        let figures = measure(size);
        println!("{figures}");
    }
}

fn measure(size: usize) -> String {
    let service: id::Service = "reader".parse().expect("a valid name");
    let domain: id::Domain = "d0".parse().expect("a valid name");
    let mut router = Router::new(Settings::default());
    router.set_endpoints((0..size).map(|n| endpoint(&service, n)).collect());
    let mut open: Vec<Run> = Vec::new();
    let mut choosing = Duration::ZERO;
    let mut keeping = Duration::ZERO;
    for n in 0..REQUESTS * 2 {
        let now = Time::START + Duration::from_millis(n);
        let blocks = prompt(n);
        let query = query(&service, &domain, &blocks);
        let start = Instant::now();
        let pick = router.choose(now, black_box(&query));
        let chosen = start.elapsed();
        let Some(pick) = pick else { continue };
        let start = Instant::now();
        let mut run = router.record_start(now, &pick.endpoint, &query);
        router.record_first_token(now, &mut run, Some(pick.cached));
        open.push(run);
        if open.len() > OPEN {
            router.record_end(now, open.swap_remove(n as usize % OPEN));
        }
        let kept = start.elapsed();
        // The first half fills the index.
        if n >= REQUESTS {
            choosing += chosen;
            keeping += kept;
        }
    }
    let each = |span: Duration| span.as_secs_f64() * 1e6 / REQUESTS as f64;
    let beliefs = router.index_entries();
    format!(
        "| {size} | {:.1} | {:.1} | {beliefs} |",
        each(choosing),
        each(keeping)
    )
}

fn endpoint(service: &id::Service, number: usize) -> Endpoint {
    Endpoint {
        id: format!("e{number:05}").parse().expect("a valid name"),
        service: service.clone(),
        models: Vec::new(),
        domain: format!("d{}", number % 3).parse().expect("a valid name"),
        price: Price(1),
        risk: Risk(0),
    }
}

/// A prompt of a document, with a question of two blocks at the end.
fn prompt(number: u64) -> Vec<Block> {
    let document = number.wrapping_mul(0x9E37_79B9_7F4A_7C15) % DOCUMENTS;
    let hash = |n: u64| Block(n.wrapping_mul(0xD6E8_FEB8_6659_FD93).rotate_left(29));
    let shared = (0..BLOCKS - 2).map(|n| hash(document * BLOCKS + n + 1));
    let own = (0..2).map(|n| hash((1 << 40) + number * 2 + n));
    shared.chain(own).collect()
}

fn query<'a>(service: &'a id::Service, domain: &'a id::Domain, blocks: &'a [Block]) -> Query<'a> {
    Query {
        service,
        model: None,
        blocks,
        prompt: Tokens(BLOCKS * 256),
        max_tokens: Tokens(200),
        class: Class::Interactive,
        domain,
        exclude: &[],
        isolated: false,
    }
}
