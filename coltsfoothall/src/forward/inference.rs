//! Infers which parts of prompts crash endpoints from the crashes that they are suspects of.
//!
//! A part is condemned if it explains its crashes better than any other part, and nothing else does:
//!
//! - It had no answer since the first of them, while others had. If nobody had one, it has to stand
//!   in many of all crashes, and every other part in as many must have had answers before.
//! - Its crashes are of several endpoints, under several contents, and at different times. Retries of
//!   one request and the loss of a rack cause crashes in which an innocent part stands alone, too.
//! - It stands in a share of all crashes since its first; a rare part whose runs were at the wrong
//!   place does not.
//! - No other part stands in more of the same crashes. Crashes of a condemned part count against no
//!   other.

use std::time::Duration;

use crate::clock::Time;
use crate::forward::crash::{Crash, Mark, Settings, Suspect, Verdict};

/// Smallest share of the crashes at different times in percent that a part has to stand in, by the number of its own,
/// from [`Settings::crashes`] on.
const MIN_SHARES: [usize; 4] = [40, 20, 12, 8];
/// Share of all crashes in percent from which on [`Settings::many_crashes`] at once condemn a part.
const MOST: usize = 75;

/// The same where no request had an answer since the first of its crashes.
const MANY: usize = 40;

/// Number of times that answers must have had to be heard before parts are condemned together: one of
/// them is likely to be innocent.
const SETTLES_TOGETHER: u32 = 3;

/// What is known of all crashes.
#[derive(Debug, Clone, Copy)]
pub struct Evidence<'a> {
    /// The current time.
    pub now: Time,
    /// How long answers take to be heard from all instances.
    pub settle: Duration,
    /// The last answer to any request whose prompt has parts.
    pub served: Option<Time>,
    /// Sorted by mark.
    pub suspects: &'a [Suspect],
    /// Crashed endpoints with suspects.
    pub lost: &'a [(u32, Time)],
    /// Sorted by mark.
    pub verdicts: &'a [Verdict],
}

/// A part that is not condemned, and its crashes that no condemned part explains.
struct Candidate<'a> {
    suspect: &'a Suspect,
    crashes: Vec<&'a Crash>,
}

impl Candidate<'_> {
    fn contents(&self) -> usize {
        let mut contents: Vec<u32> = self.crashes.iter().map(|crash| crash.content).collect();
        contents.sort_unstable();
        contents.dedup();
        contents.len()
    }

    fn times(&self) -> Vec<Time> {
        self.crashes.iter().map(|crash| crash.at).collect()
    }

    fn shares_crash(&self, other: &Self) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| {
            let mut others = other.crashes.iter();
            others.any(|other| other.endpoint == crash.endpoint)
        })
    }

    /// Whether no answer to it is known.
    fn is_new(&self) -> bool {
        self.suspect.answered.is_none()
    }
}

/// Number of crashes that each came at least `gap` after the one counted before it.
fn count_apart(mut times: Vec<Time>, gap: Duration) -> usize {
    times.sort_unstable();
    let mut last = None;
    let counted = times.into_iter().filter(|at| {
        let counts = last.is_none_or(|last| at.since(last) >= gap);
        if counts {
            last = Some(*at);
        }
        counts
    });
    counted.count()
}

/// The parts that are to be condemned next, with the crashes that count; none if the crashes do not
/// tell.
#[must_use]
pub fn infer(evidence: &Evidence<'_>, settings: &Settings) -> Vec<Verdict> {
    let explained = explained(evidence.suspects, evidence.verdicts);
    let mut explained: Vec<u32> = explained.map(|crash| crash.endpoint).collect();
    explained.sort_unstable();
    explained.dedup();
    let candidates = candidates(evidence, &explained);
    let lost = evidence
        .lost
        .iter()
        .filter(|(endpoint, _)| explained.binary_search(endpoint).is_err());
    let lost: Vec<&(u32, Time)> = lost.collect();
    let found = candidates.iter().find(|candidate| {
        is_likely(candidate, &candidates, &lost, evidence, settings)
            && !has_rival(candidate, &candidates, settings)
    });
    let Some(found) = found else {
        return Vec::new();
    };
    let condemned = candidates.iter().filter(|other| {
        other.suspect.mark == found.suspect.mark || is_inseparable(found, other, settings)
    });
    let condemned: Vec<Verdict> = condemned
        .map(|candidate| verdict(candidate, evidence.now))
        .collect();
    let age = evidence.now.since(found.suspect.known);
    if condemned.len() > 1 && age < evidence.settle * SETTLES_TOGETHER {
        return Vec::new();
    }
    condemned
}

/// Crashes that condemned parts explain.
pub fn explained<'a>(
    suspects: &'a [Suspect],
    verdicts: &'a [Verdict],
) -> impl Iterator<Item = &'a Crash> {
    let condemned = suspects
        .iter()
        .filter(|suspect| find(verdicts, suspect.mark).is_some());
    condemned.flat_map(|suspect| &suspect.crashes)
}

/// Index of the verdict on a part, or where it belongs.
///
/// # Errors
/// There is none.
pub fn position(verdicts: &[Verdict], mark: Mark) -> Result<usize, usize> {
    verdicts.binary_search_by_key(&mark, |verdict| verdict.mark)
}

/// The verdict on a part.
#[must_use]
pub fn find(verdicts: &[Verdict], mark: Mark) -> Option<&Verdict> {
    let index = position(verdicts, mark).ok()?;
    Some(&verdicts[index])
}

fn candidates<'a>(evidence: &Evidence<'a>, explained: &[u32]) -> Vec<Candidate<'a>> {
    let suspects = evidence
        .suspects
        .iter()
        .filter(|suspect| find(evidence.verdicts, suspect.mark).is_none());
    let candidates = suspects.map(|suspect| Candidate {
        suspect,
        crashes: suspect
            .crashes
            .iter()
            .filter(|crash| explained.binary_search(&crash.endpoint).is_err())
            .collect(),
    });
    candidates
        .filter(|candidate| !candidate.crashes.is_empty())
        .collect()
}

fn is_likely(
    candidate: &Candidate<'_>,
    candidates: &[Candidate<'_>],
    lost: &[&(u32, Time)],
    evidence: &Evidence<'_>,
    settings: &Settings,
) -> bool {
    if !has_enough(candidate, settings) {
        return false;
    }
    let count = candidate.crashes.len();
    let first = candidate.crashes[0].at;
    // The same crash is seen by several instances, not at the same instant.
    let since: Vec<Time> = lost
        .iter()
        .map(|(_, at)| *at)
        .filter(|at| *at + settings.gap >= first)
        .collect();
    let share_of_all = 100 * count / since.len().max(count);
    // The loss of many endpoints at once is one event, also beside the crashes of a part.
    let apart = count_apart(candidate.times(), settings.gap);
    let share = 100 * apart / count_apart(since, settings.gap).max(apart);
    let rank = (count - settings.crashes).min(MIN_SHARES.len() - 1);
    let spread = apart > 1 || (count >= settings.many_crashes && share_of_all >= MOST);
    let others_served = evidence.served.is_some_and(|served| served >= first);
    // Before the first answer of all every part looks the same.
    let stands_out = evidence.served.is_some() && share >= MANY && is_first(candidate, candidates);
    evidence.now.since(candidate.suspect.known) >= evidence.settle
        && share >= MIN_SHARES[rank]
        && spread
        && (others_served || stands_out)
}

/// Whether a part has so many crashes, under so many contents, that they may condemn it.
fn has_enough(candidate: &Candidate<'_>, settings: &Settings) -> bool {
    let count = candidate.crashes.len();
    let least = if candidate.is_new() {
        settings.crashes
    } else {
        settings.many_crashes
    };
    count >= least && count + candidate.contents() >= settings.evidence
}

/// Whether a part without an answer has more crashes than all others without one.
fn is_first(candidate: &Candidate<'_>, candidates: &[Candidate<'_>]) -> bool {
    let mut others = candidates
        .iter()
        .filter(|other| other.suspect.mark != candidate.suspect.mark);
    candidate.is_new()
        && others.all(|other| !other.is_new() || other.crashes.len() < candidate.crashes.len())
}

/// Whether another part explains the crashes as well or better. Parts that had answers before are no
/// rivals of one that never had any.
fn has_rival(candidate: &Candidate<'_>, candidates: &[Candidate<'_>], settings: &Settings) -> bool {
    let count = candidate.crashes.len();
    candidates.iter().any(|other| {
        let more = other.crashes.len() > count
            || (other.crashes.len() == count && count < settings.many_crashes);
        more && other.suspect.mark != candidate.suspect.mark
            && (other.is_new() || !candidate.is_new())
            && candidate.shares_crash(other)
    })
}

/// Whether a part is a suspect of exactly the same crashes as one that is condemned, and they are
/// too many for a coincidence.
fn is_inseparable(found: &Candidate<'_>, other: &Candidate<'_>, settings: &Settings) -> bool {
    let count = found.crashes.len();
    let endpoints = |candidate: &Candidate<'_>| {
        let mut endpoints: Vec<u32> = candidate
            .crashes
            .iter()
            .map(|crash| crash.endpoint)
            .collect();
        endpoints.sort_unstable();
        endpoints
    };
    count >= settings.many_crashes
        && other.is_new() == found.is_new()
        && endpoints(found) == endpoints(other)
}

fn verdict(candidate: &Candidate<'_>, now: Time) -> Verdict {
    Verdict {
        mark: candidate.suspect.mark,
        at: now,
        first: candidate.crashes[0].at,
        crashes: candidate.crashes.len() as u32,
        trials: 0,
        tried: None,
    }
}
