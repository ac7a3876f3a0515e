//! Splits a list into batches that are sent in turn, so that neither a message nor a burst of
//! messages grows with the size of the fleet or with its failures.

/// Number of batches of at most `max` rows that contain each of `len` rows once.
#[must_use]
pub fn count(len: usize, max: usize) -> usize {
    len.div_ceil(max.max(1)).max(1)
}

/// The rows of one batch; the number of the batch wraps around.
#[must_use]
pub fn select<T: Clone>(rows: &[T], max: usize, batch: usize) -> Vec<T> {
    let batches = count(rows.len(), max);
    let due = rows.iter().skip(batch % batches).step_by(batches);
    due.cloned().collect()
}
