//! Measures of one answer: its first token, the gaps between tokens, its end.

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
    began: Instant,
    last: Option<Instant>,
    have: u64,
}

impl Meter {
    /// A measurement that begins now.
    pub fn new(node: Arc<Node>, labels: Labels) -> Self {
        Self {
            node,
            labels,
            began: Instant::now(),
            last: None,
            have: 0,
        }
    }

    /// An answer has this many tokens by now.
    pub fn tokens(&mut self, tokens: u64) {
        let now = Instant::now();
        match self.last {
            None => self.node.board.first_token(&self.labels, now - self.began),
            Some(last) if tokens > self.have => {
                let gap = (now - last) / u32::try_from(tokens - self.have).unwrap_or(u32::MAX);
                self.node.board.between_tokens(&self.labels, gap);
            }
            Some(_) => {}
        }
        self.last = Some(now);
        self.have = tokens;
    }

    /// The answer is whole.
    pub fn end(&self) {
        self.node
            .measure_end(&self.labels, Instant::now() - self.began);
    }

    /// The answer ended without being whole.
    pub fn fault(&self, fault: &Fault) {
        self.node.count_end(&self.labels, Some(fault));
    }
}
