//! The addresses that a caller knows: kept for their time to live, picked by weight.

use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;

use coltsfoothall_wire::caller::{Address, Addresses};

/// Time for which an address that failed is left out.
const AVOID: Duration = Duration::from_secs(2);
/// Most addresses avoided at once; it bounds the list in long runs.
const AVOIDED: usize = 256;
/// Shortest time to keep an answer; it stops a bad one from making callers ask without end.
const TTL_MIN: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Avoided {
    address: String,
    until: Instant,
}

/// Addresses given at the start, and those learnt from the system.
#[derive(Debug)]
pub struct Book {
    given: Vec<String>,
    learnt: Vec<Address>,
    until: Option<Instant>,
    avoided: Vec<Avoided>,
}

impl Book {
    /// A book that knows only the addresses given.
    #[must_use]
    pub fn new(given: Vec<String>) -> Self {
        Self {
            given,
            learnt: Vec::new(),
            until: None,
            avoided: Vec::new(),
        }
    }

    /// Whether the answer learnt last may still be used.
    #[must_use]
    pub fn fresh(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// The addresses learnt last.
    #[must_use]
    pub fn learnt(&self) -> &[Address] {
        &self.learnt
    }

    /// Keeps an answer of the system for its time to live.
    pub fn learn(&mut self, answer: Addresses, now: Instant) {
        // An empty answer would leave nowhere to go.
        if answer.addresses.is_empty() {
            return;
        }
        self.learnt = answer.addresses;
        self.until = Some(now + answer.ttl_ms.duration().max(TTL_MIN));
    }

    /// Leaves an address out for a while, and asks again before the next request.
    pub fn avoid(&mut self, address: &str, now: Instant) {
        self.until = None;
        self.avoided
            .retain(|a| now < a.until && a.address != address);
        self.avoided.truncate(AVOIDED - 1);
        let until = now + AVOID;
        self.avoided.push(Avoided {
            address: address.into(),
            until,
        });
    }

    fn avoids(&self, address: &str, now: Instant) -> bool {
        self.avoided
            .iter()
            .any(|a| now < a.until && a.address == address)
    }

    /// Addresses to ask for addresses, best first.
    pub fn sources(&self, now: Instant, rng: &mut Pcg64Mcg) -> Vec<String> {
        let mut sources: Vec<String> = self.given.clone();
        let learnt = self.learnt.iter().map(|known| known.address.clone());
        sources.extend(learnt);
        sources.sort();
        sources.dedup();
        sources.shuffle(rng);
        // The sort is stable: avoided ones go last, else the order stays random.
        sources.sort_by_key(|address| self.avoids(address, now));
        sources
    }

    /// The address for the next request, by weight.
    pub fn pick(&self, now: Instant, rng: &mut Pcg64Mcg) -> Option<String> {
        let usable = |known: &&Address| known.weight > 0 && !self.avoids(&known.address, now);
        let open: Vec<&Address> = self.learnt.iter().filter(usable).collect();
        let total: u64 = open.iter().map(|known| u64::from(known.weight)).sum();
        if total == 0 {
            return self.sources(now, rng).into_iter().next();
        }
        let mut place = rng.random_range(0..total);
        for known in open {
            let weight = u64::from(known.weight);
            if place < weight {
                return Some(known.address.clone());
            }
            place -= weight;
        }
        None
    }
}
