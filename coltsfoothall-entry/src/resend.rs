//! Sends changes again that are not acknowledged.
//!
//! An acknowledgement that arrives after the slot's epoch has risen does not count, and in
//! a slot without further changes no later one makes up for it. A change that is still
//! unacknowledged one tick later is therefore sent again; a copy that has it acknowledges
//! it again.

use coltsfoothall::ledger::Lag;

use crate::node::Node;

/// The acknowledgements that were missing at the last tick.
#[derive(Debug, Default)]
pub struct Resend {
    last: Vec<Lag>,
}

impl Resend {
    /// Sends again the changes that were already unacknowledged at the last tick.
    pub fn tick(&mut self, node: &Node) {
        let lags = node.requests.with_ledger(|ledger| ledger.lags());
        for lag in lags.iter().filter(|lag| self.last.contains(lag)) {
            let missing = node
                .requests
                .with_ledger(|ledger| ledger.resend(lag.slot, &lag.to));
            node.links.send_all(&lag.to, missing);
        }
        self.last = lags;
    }
}
