//! Sends changes again whose acknowledgement does not come.
//!
//! An acknowledgement that arrives after the slot's epoch has risen counts for
//! nothing, and in a quiet slot no later one makes up for it. What is still
//! missing one look later is therefore sent again; a copy that has it says so.

use coltsfoothall::ledger::Lag;

use crate::node::Node;

/// What was missing at the last look.
#[derive(Debug, Default)]
pub struct Resend {
    last: Vec<Lag>,
}

impl Resend {
    /// Sends again what was missing at the last look already.
    pub fn look(&mut self, node: &Node) {
        let owed = node.desk.with_ledger(|ledger| ledger.lags());
        for old in owed.iter().filter(|owed| self.last.contains(owed)) {
            let missing = node
                .desk
                .with_ledger(|ledger| ledger.resend(old.slot, &old.to));
            node.links.send_all(&old.to, missing);
        }
        self.last = owed;
    }
}
