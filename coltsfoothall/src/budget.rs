//! How much work this instance may have open at a service.

use crate::choice::Settings;
use crate::clock::Time;
use crate::id;
use crate::pool::Table;
use crate::size::Tokens;

/// An equal share of what the endpoints take, and half of what the others are
/// believed to leave beyond it: half, since the others see the same slack.
pub(crate) fn of(now: Time, service: &id::Service, table: &Table, settings: &Settings) -> Tokens {
    let each = settings.depth.0 + u64::from(settings.slots) * settings.slot.0;
    let mut total = 0.0;
    let mut others = 0.0;
    let view = table.view(service, &settings.load);
    for node in table.members(service) {
        if !node.leaving && node.suspect <= now {
            let work = node.load.others(now, &view);
            total += each as f64;
            others += work.prefill + work.open * settings.slot.0 as f64;
        }
    }
    let equal = total / f64::from(settings.entries.max(1));
    let slack = (total - others - equal).max(0.0);
    Tokens((equal + slack / 2.0) as u64)
}
