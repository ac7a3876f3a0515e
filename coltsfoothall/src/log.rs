//! Numbers of a request's changes, and which of them the backup holds.

/// The changes of one request at one owner, by number.
#[derive(Debug, Clone, Default)]
pub struct Log {
    recorded: u64,
    acked: u64,
    unreplicated: bool,
    /// Changes that brought tokens and are not held yet, rising.
    unheld: Vec<Unheld>,
    tokens: u64,
}

#[derive(Debug, Clone, Copy)]
struct Unheld {
    seq: u64,
    tokens: u64,
}

impl Log {
    /// A log whose first `tokens` tokens are held already.
    #[must_use]
    pub fn new(tokens: u64) -> Self {
        Self {
            tokens,
            ..Self::default()
        }
    }

    /// Numbers a change after which the answer has `tokens` tokens.
    pub fn add(&mut self, tokens: u64) -> u64 {
        self.recorded += 1;
        let seq = self.recorded;
        self.unheld.push(Unheld { seq, tokens });
        if self.unreplicated {
            self.hold(seq);
        }
        seq
    }

    /// Notes that the backup holds the changes up to `seq`; false if there are fewer.
    pub fn ack(&mut self, seq: u64) -> bool {
        if seq > self.recorded {
            return false;
        }
        self.hold(seq);
        true
    }

    /// Notes whether there is no backup; without one, all changes count as held.
    pub fn set_unreplicated(&mut self, unreplicated: bool) {
        self.unreplicated = unreplicated;
        if unreplicated {
            self.hold(self.recorded);
        }
    }

    fn hold(&mut self, seq: u64) {
        self.acked = self.acked.max(seq);
        let held = self.unheld.partition_point(|unheld| unheld.seq <= seq);
        for unheld in self.unheld.drain(..held) {
            self.tokens = unheld.tokens;
        }
    }

    /// Whether the change `seq` is held.
    #[must_use]
    pub fn holds(&self, seq: u64) -> bool {
        seq <= self.acked
    }

    /// Whether there is no backup.
    #[must_use]
    pub fn unreplicated(&self) -> bool {
        self.unreplicated
    }

    /// Number of the last change.
    #[must_use]
    pub fn recorded(&self) -> u64 {
        self.recorded
    }

    /// Tokens of the answer that are held.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}
