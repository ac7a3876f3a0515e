//! What is told to others in turns, so that no message and no burst of messages grows
//! with the fleet or with its troubles.

/// Turns in which all of `len` rows are due once, `max` of them in each.
#[must_use]
pub fn count(len: usize, max: usize) -> usize {
    len.div_ceil(max.max(1)).max(1)
}

/// The rows that are due in a turn.
#[must_use]
pub fn select<T: Clone>(rows: &[T], max: usize, batch: usize) -> Vec<T> {
    let batches = count(rows.len(), max);
    let due = rows.iter().skip(batch % batches).step_by(batches);
    due.cloned().collect()
}
