//! Numbers the changes of a request and tracks which of them the backup holds.

/// The changes of one request on one primary, by number.
#[derive(Debug, Clone, Default)]
pub struct Log {
    recorded: u64,
    acked: u64,
    unreplicated: bool,
    /// Changes that the backup does not hold yet, ascending.
    pending: Vec<PendingChange>,
    tokens: u64,
}

#[derive(Debug, Clone, Copy)]
struct PendingChange {
    seq: u64,
    tokens: u64,
}

impl Log {
    /// Creates a log whose first `tokens` tokens are already held.
    #[must_use]
    pub fn new(tokens: u64) -> Self {
        Self {
            tokens,
            ..Self::default()
        }
    }

    /// Adds a change after which the answer has `tokens` tokens, and returns its number.
    pub fn add(&mut self, tokens: u64) -> u64 {
        self.recorded += 1;
        let seq = self.recorded;
        self.pending.push(PendingChange { seq, tokens });
        if self.unreplicated {
            self.hold(seq);
        }
        seq
    }

    /// Records that the backup holds the changes up to `seq`; false if no change has that number
    /// yet.
    pub fn ack(&mut self, seq: u64) -> bool {
        if seq > self.recorded {
            return false;
        }
        self.hold(seq);
        true
    }

    /// Sets whether there is no backup; without one, all changes count as held.
    pub fn set_unreplicated(&mut self, unreplicated: bool) {
        self.unreplicated = unreplicated;
        if unreplicated {
            self.hold(self.recorded);
        }
    }

    fn hold(&mut self, seq: u64) {
        self.acked = self.acked.max(seq);
        let held = self.pending.partition_point(|pending| pending.seq <= seq);
        for pending in self.pending.drain(..held) {
            self.tokens = pending.tokens;
        }
    }

    /// Whether the backup holds the change `seq`.
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

    /// Tokens of the answer that the backup holds.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}
