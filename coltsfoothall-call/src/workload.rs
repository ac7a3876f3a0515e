//! The requests of a run, drawn from a scenario with a seed.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use coltsfoothall::clock::Time;
use coltsfoothall::prefix::{BLOCK_TOKENS, Block};
use coltsfoothall::record::Class;
use coltsfoothall::size::Tokens;

use crate::scenario::{Condition, Flow, Scenario};

/// Most requests on one document.
const MOST_ASKS: u32 = 200;

/// A request.
#[derive(Debug, Clone)]
pub struct Request {
    /// When it arrives at its entry instance.
    pub at: Time,
    /// The entry instance.
    pub entry: usize,
    /// Place of its workspace in the scenario.
    pub workspace: usize,
    /// How urgent it is.
    pub class: Class,
    /// Blocks of the prompt.
    pub blocks: Vec<Block>,
    /// Blocks that other requests may share.
    pub shared: usize,
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Tokens of the answer.
    pub answer: u64,
    /// Longest answer that it asks for.
    pub max_tokens: u64,
    /// When its answer is of no more use.
    pub deadline: Time,
}

/// Draws the requests of a run, in order of arrival.
#[must_use]
pub fn draw(scenario: &Scenario, condition: Condition, seed: u64) -> Vec<Request> {
    let mut requests = Vec::new();
    for (workspace, customer) in scenario.workspaces.iter().enumerate() {
        for (number, flow) in customer.flows.iter().enumerate() {
            let stream = (workspace * 16 + number) as u64;
            let mut source = Source {
                scenario,
                condition,
                flow,
                large: customer.large,
                workspace,
                stream,
                documents: 0,
                requests: 0,
                random: Pcg64Mcg::seed_from_u64(seed << 8 | stream),
            };
            source.draw(&mut requests);
        }
    }
    requests.sort_by_key(|request| request.at);
    requests
}

/// Draws the requests of one flow.
struct Source<'a> {
    scenario: &'a Scenario,
    condition: Condition,
    flow: &'a Flow,
    large: bool,
    workspace: usize,
    stream: u64,
    documents: u64,
    requests: u64,
    random: Pcg64Mcg,
}

/// A document that requests are about.
struct Document {
    number: u64,
    blocks: u64,
}

impl Source<'_> {
    fn draw(&mut self, requests: &mut Vec<Request>) {
        let standing: Vec<Document> = (0..self.flow.standing).map(|_| self.document()).collect();
        let part = if standing.is_empty() {
            0.0
        } else {
            f64::from(self.flow.standing_part) / 100.0
        };
        self.draw_standing(&standing, self.flow.rate * part, requests);
        self.draw_passing(self.flow.rate * (1.0 - part), requests);
    }

    fn draw_standing(&mut self, standing: &[Document], rate: f64, requests: &mut Vec<Request>) {
        let mut at = 0.0;
        loop {
            at += self.gap(rate, at);
            if at >= self.length() {
                return;
            }
            // The first of them are asked about more often.
            let place = self.random.random::<f64>().powi(2) * standing.len() as f64;
            requests.push(self.request(at, &standing[place as usize]));
        }
    }

    fn draw_passing(&mut self, rate: f64, requests: &mut Vec<Request>) {
        let every = self.flow.every.duration().as_secs_f64();
        // Documents from before the run are still asked about when it begins.
        let before = every * self.flow.asks * 2.0;
        let mut at = -before;
        loop {
            at += self.gap(rate / self.flow.asks, at);
            if at >= self.length() {
                return;
            }
            let document = self.document();
            let mut ask = at;
            for _ in 0..self.asks() {
                if (0.0..self.length()).contains(&ask) {
                    requests.push(self.request(ask, &document));
                }
                ask += self.exponential(every);
            }
        }
    }

    /// Time to the next arrival at a rate, which the condition changes.
    fn gap(&mut self, rate: f64, at: f64) -> f64 {
        let factor = self
            .condition
            .factor(self.large, at.max(0.0) / self.length());
        let rate = rate * factor;
        if rate <= 0.0 {
            return f64::INFINITY;
        }
        self.exponential(1.0 / rate)
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.random.random::<f64>()).ln()
    }

    /// Number of requests on a document, at least one.
    fn asks(&mut self) -> u32 {
        let more = self.exponential((self.flow.asks - 1.0).max(0.0));
        1 + (more.round() as u32).min(MOST_ASKS)
    }

    fn document(&mut self) -> Document {
        self.documents += 1;
        let tokens = self.between(self.flow.document);
        Document {
            number: self.documents,
            blocks: tokens / BLOCK_TOKENS.0,
        }
    }

    /// A length, spread evenly by ratio.
    fn between(&mut self, ends: [u64; 2]) -> u64 {
        let [low, high] = ends.map(|end| (end.max(1) as f64).ln());
        let part = self.random.random::<f64>();
        (low + (high - low) * part).exp().round() as u64
    }

    fn length(&self) -> f64 {
        self.scenario.length.duration().as_secs_f64()
    }

    fn request(&mut self, at: f64, document: &Document) -> Request {
        self.requests += 1;
        let question = self.between(self.flow.question);
        let answer = self.between(self.flow.answer);
        let preamble = self.flow.preamble.0 / BLOCK_TOKENS.0;
        let shared = preamble + document.blocks;
        let mut chain = Chain(self.stream);
        let mut blocks: Vec<Block> = (0..preamble).map(|n| chain.next(n)).collect();
        blocks.extend((0..document.blocks).map(|n| chain.next(document.number << 20 | n)));
        let own = question / BLOCK_TOKENS.0;
        blocks.extend((0..own).map(|n| chain.next(self.requests << 40 | n)));
        let at = Time::since_start(Duration::from_secs_f64(at));
        Request {
            at,
            entry: self.random.random_range(0..self.scenario.entries),
            workspace: self.workspace,
            class: self.flow.class,
            blocks,
            shared: shared as usize,
            prompt: Tokens(shared * BLOCK_TOKENS.0 + question),
            answer,
            max_tokens: self.flow.answer[1],
            deadline: at + self.flow.deadline.duration(),
        }
    }
}

/// Hashes blocks as a chain, as prompts are.
struct Chain(u64);

impl Chain {
    fn next(&mut self, content: u64) -> Block {
        self.0 = xxh3_64_with_seed(&content.to_le_bytes(), self.0);
        Block(self.0)
    }
}

/// Fewest prompt tokens that the engines must read: what no other request
/// shares, and each shared block once for each cache that must hold it, which
/// is one for each batch that its requests fill on average.
#[must_use]
pub fn least(scenario: &Scenario, requests: &[Request]) -> Tokens {
    let mut uses: Vec<(Block, u64)> = Vec::new();
    let mut own = 0;
    for request in requests {
        let shared = &request.blocks[..request.shared];
        uses.extend(shared.iter().map(|block| (*block, request.answer)));
        own += request.prompt.0 - request.shared as u64 * BLOCK_TOKENS.0;
    }
    uses.sort_unstable();
    let engine = &scenario.engine;
    let step = engine.step_us + engine.step_each_us * engine.batch as u64 / 2;
    let batch = scenario.length.0 as f64 * 1e3 * engine.batch as f64;
    let same = uses.chunk_by(|a, b| a.0 == b.0);
    let caches = same.map(|uses| {
        let busy: u64 = uses.iter().map(|(_, answer)| answer * step).sum();
        ((busy as f64 / batch).ceil() as u64).max(1)
    });
    Tokens(own + caches.sum::<u64>() * BLOCK_TOKENS.0)
}
