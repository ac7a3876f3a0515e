//! Measures one answer: the time to its first token, the gaps between tokens, and its end.

use std::sync::Arc;

use tokio::time::Instant;

use coltsfoothall_shell::metric::Labels;
use coltsfoothall_wire::fault::Fault;

use crate::node::Node;

/// Measures one answer.
#[derive(Debug)]
pub struct Meter {
    node: Arc<Node>,
    labels: Labels,
    started: Instant,
    last_token: Option<Instant>,
    tokens: u64,
}

impl Meter {
    /// Creates a meter; latency is measured from now.
    pub fn new(node: Arc<Node>, labels: Labels) -> Self {
        Self {
            node,
            labels,
            started: Instant::now(),
            last_token: None,
            tokens: 0,
        }
    }

    /// Records that the answer has this many tokens now.
    pub fn record_tokens(&mut self, tokens: u64) {
        let now = Instant::now();
        match self.last_token {
            None => self
                .node
                .board
                .first_token(&self.labels, now - self.started),
            Some(last) if tokens > self.tokens => {
                let gap = (now - last) / u32::try_from(tokens - self.tokens).unwrap_or(u32::MAX);
                self.node.board.between_tokens(&self.labels, gap);
            }
            Some(_) => {}
        }
        self.last_token = Some(now);
        self.tokens = tokens;
    }

    /// Records a complete answer.
    pub fn record_end(&self) {
        self.node
            .measure_end(&self.labels, Instant::now() - self.started);
    }

    /// Records an incomplete answer.
    pub fn record_fault(&self, fault: &Fault) {
        self.node.count_end(&self.labels, Some(fault));
    }
}
