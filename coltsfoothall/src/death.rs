//! Deaths of endpoints as evidence against a content that ran there.

use crate::clock::Time;

/// Death of an endpoint, as evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Death {
    /// The attempt that ran there, unique in the fleet.
    pub(crate) attempt: u64,
    pub(crate) began: Time,
    /// When the run was interrupted, or else when the death was known.
    pub(crate) at: Time,
    pub(crate) isolated: bool,
}

impl Death {
    /// Whether the content has not been cleared of it by a complete answer at `cleared`.
    pub(crate) fn is_valid(&self, cleared: Option<Time>) -> bool {
        self.isolated || cleared.is_none_or(|cleared| self.at > cleared)
    }
}

/// The death that a full list can do without.
///
/// Deaths while isolated are the strongest evidence. Two others are separate if the later run began
/// after the earlier one had ended, so the run that ended first and the one that began last are
/// kept.
pub(crate) fn spare(deaths: &[Death], cleared: Option<Time>) -> usize {
    let batch = |death: &Death| !death.isolated && death.is_valid(cleared);
    let first = deaths.iter().position(batch);
    let last = (0..deaths.len())
        .filter(|index| batch(&deaths[*index]))
        .max_by_key(|index| (deaths[*index].began, deaths[*index].attempt));
    let spare = (0..deaths.len())
        .find(|index| !deaths[*index].isolated && Some(*index) != first && Some(*index) != last);
    spare.or(first).unwrap_or(0)
}

/// Counts the deaths of runs that each started after the previous counted one had ended.
pub(crate) fn count_separate<'a>(deaths: impl Iterator<Item = &'a Death>) -> usize {
    let mut count = 0;
    let mut known = None;
    for death in deaths {
        if known.is_none_or(|known| death.began >= known) {
            count += 1;
            known = Some(death.at);
        }
    }
    count
}
