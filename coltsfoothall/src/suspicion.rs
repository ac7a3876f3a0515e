//! Detects requests that crash the endpoints running them, by content.
//!
//! A key does not identify such a request, because callers resend it under a new one. Each death
//! of an endpoint is therefore evidence against all contents that were running there. An
//! announced death is no evidence; the caller of [`Tracker::record_death`] also excludes the loss
//! of a whole failure domain.
//!
//! | evidence | verdict |
//! | --- | --- |
//! | none | [`Verdict::Free`] |
//! | one death while other requests ran there | [`Verdict::Isolated`]: it runs where nothing else runs, one copy at a time |
//! | two such deaths, the second run started after the first one had ended, or one death while isolated | [`Verdict::Poisonous`] |
//!
//! A run has ended when it was seen to be interrupted, or else when the death of its endpoint was
//! known.
//!
//! Deaths of copies that ran at the same time count as one, so that a common request is not
//! condemned by two endpoints that die together. A content that completes is cleared of the
//! deaths so far, except for a death while isolated.
//!
//! Small variations of a request share a [`Mark::Kin`]: workspace, service, model and the start
//! of the prompt. Many innocent prompts of a workspace may share it too, so more evidence is
//! required: two batch deaths or one while isolated isolate the kin, three while isolated condemn
//! it until they expire. It never affects another workspace.
//!
//! # Bound on endpoints lost
//! Let F entry instances learn of a death after at most G, and let a run take at least D from its
//! start until its death is known. Equal content, under any keys, costs at most
//!
//! - the C copies that run when the first death is known, and then
//! - for each instance, those it starts before it learns of that death, at most G/D for one
//!   caller that waits for each answer, and one more that is isolated.
//!
//! One caller that resends after each death therefore costs 2 + min(2(F - 1), ceil(G/D))
//! endpoints; C copies at once cost C + F if none starts between the first death and the arrival
//! of its report. With variations, the kin costs two for each of the first variations until it is
//! condemned. Evidence is kept for [`Settings::retention`] after the death, so the cost recurs at
//! most once in that time. A full tracker drops the oldest evidence first.
//!
//! Not bounded: variations without a common start, and non-idempotent variations sent once each
//! whose kin is cleared by innocent requests in between.

use std::time::Duration;

use crate::batch;
use crate::clock::Time;
use crate::death::{self, Death};
pub use crate::fingerprint::{Evidence, Fingerprint, Mark, Notice};
use crate::id;

/// Number of batch deaths that condemn a content, and that isolate a kin.
const BATCH_DEATHS: usize = 2;
/// Number of deaths while isolated that condemn a kin.
const KIN_DEATHS: usize = 3;
/// Upper bound on the deaths kept for one mark; it prevents a mass loss from filling messages.
const MAX_DEATHS: usize = 4;
/// How long the deaths of an instance's own runs go before those that others reported.
const OWN_PERIOD: Duration = Duration::from_secs(2);

/// Bounds on the evidence that is kept.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// How long a death counts.
    pub retention: Duration,
    /// Upper bound on the marks with evidence; it prevents a mass loss from filling memory and
    /// messages.
    pub max_marks: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(900),
            max_marks: 1024,
        }
    }
}

/// How a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// Anywhere.
    Free,
    /// Only on an endpoint where nothing else runs, and nothing may join it.
    Isolated,
    /// Not now: a copy of it is running in isolation, and its outcome decides.
    Later,
    /// Never; the request is rejected at once.
    Poisonous,
}

#[derive(Debug, Clone)]
struct Entry {
    mark: Mark,
    /// Sorted by time, then attempt.
    deaths: Vec<Death>,
    /// Batch deaths up to this time do not count.
    cleared: Option<Time>,
    /// When a run last died of this instance, or of one that reports to it and few others.
    own: Option<Time>,
}

/// A running attempt.
#[derive(Debug, Clone)]
struct Run {
    attempt: u64,
    endpoint: id::Endpoint,
    fingerprint: Fingerprint,
    began: Time,
    /// When it was interrupted, if it was.
    interrupted: Option<Time>,
    isolated: bool,
}

/// Evidence against contents, and the running attempts of this instance.
#[derive(Debug, Clone)]
pub struct Tracker {
    settings: Settings,
    /// Sorted by mark.
    entries: Vec<Entry>,
    /// Sorted by attempt.
    runs: Vec<Run>,
}

impl Tracker {
    /// Creates a tracker without evidence.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            entries: Vec::new(),
            runs: Vec::new(),
        }
    }

    /// How a request may run now.
    #[must_use]
    pub fn verdict(&self, now: Time, fingerprint: Fingerprint) -> Verdict {
        let content = self.assess(now, fingerprint.content);
        let kin = self.assess(now, fingerprint.kin);
        let verdict = content.max(kin);
        let isolated_now = self.runs.iter().any(|run| {
            run.isolated
                && (run.fingerprint.content == fingerprint.content
                    || run.fingerprint.kin == fingerprint.kin)
        });
        if verdict == Verdict::Isolated && isolated_now {
            return Verdict::Later;
        }
        verdict
    }

    /// Records the start of an attempt; `isolated` if it was placed where nothing else runs.
    pub fn record_start(
        &mut self,
        now: Time,
        attempt: u64,
        endpoint: id::Endpoint,
        fingerprint: Fingerprint,
        isolated: bool,
    ) {
        let run = Run {
            attempt,
            endpoint,
            fingerprint,
            began: now,
            interrupted: None,
            isolated,
        };
        self.insert(run);
    }

    /// Records an attempt that was interrupted now and began earlier. It is evidence if its endpoint
    /// turns out to be dead.
    pub fn record_interrupted(
        &mut self,
        now: Time,
        attempt: u64,
        endpoint: id::Endpoint,
        fingerprint: Fingerprint,
        began: Time,
    ) {
        self.insert(Run {
            attempt,
            endpoint,
            fingerprint,
            began,
            interrupted: Some(now),
            isolated: false,
        });
    }

    fn insert(&mut self, run: Run) {
        let attempt = run.attempt;
        match self.runs.binary_search_by_key(&attempt, |run| run.attempt) {
            Ok(index) => self.runs[index] = run,
            Err(index) => self.runs.insert(index, run),
        }
    }

    /// Records the end of an attempt on a live endpoint; `complete` if it returned its complete
    /// answer.
    pub fn record_end(&mut self, now: Time, attempt: u64, complete: bool) {
        let Ok(index) = self.runs.binary_search_by_key(&attempt, |run| run.attempt) else {
            return;
        };
        let run = self.runs.remove(index);
        if complete {
            self.clear(now, run.fingerprint.content);
            self.clear(now, run.fingerprint.kin);
        }
    }

    /// Records the death of an endpoint; `announced` if it had been given notice, or if its whole
    /// failure domain is lost. Returns the marks whose evidence is to be reported to peers.
    pub fn record_death(
        &mut self,
        now: Time,
        endpoint: &id::Endpoint,
        announced: bool,
    ) -> Vec<Mark> {
        let mut marks = Vec::new();
        let (lost, kept) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.endpoint == *endpoint);
        self.runs = kept;
        let lost: Vec<Run> = lost;
        if announced {
            return marks;
        }
        let only = lost.len() == 1;
        for run in lost {
            let death = Death {
                attempt: run.attempt,
                began: run.began,
                at: run.interrupted.unwrap_or(now),
                isolated: run.isolated && only,
            };
            for mark in [run.fingerprint.content, run.fingerprint.kin] {
                self.add(now, mark, death);
                self.prefer(now, mark);
                if let Err(index) = marks.binary_search(&mark) {
                    marks.insert(index, mark);
                }
            }
        }
        marks
    }

    /// All evidence, for a report to peers.
    #[must_use]
    pub fn evidence(&self, now: Time) -> Vec<Evidence> {
        self.entries
            .iter()
            .map(|entry| evidence_of(now, entry))
            .collect()
    }

    /// At most `max` entries of the evidence, for one of a series of messages: up to half of them
    /// against marks with several deaths, and most of the others of this instance's own recent
    /// runs, which no other instance reports. Over the rounds, all evidence is included.
    #[must_use]
    pub fn evidence_batch(&self, now: Time, max: usize, round: usize) -> Vec<Evidence> {
        let is_recent = |at: Time| now.since(at) < OWN_PERIOD;
        let (strong, single): (Vec<&Entry>, Vec<&Entry>) = self
            .entries
            .iter()
            .partition(|entry| entry.deaths.len() > 1);
        let (own, known): (Vec<&Entry>, Vec<&Entry>) = single
            .into_iter()
            .partition(|entry| entry.own.is_some_and(is_recent));
        let strong = batch::select(&strong, max.div_ceil(2), round);
        let rest = max - strong.len();
        let own = batch::select(&own, rest - rest / 4, round);
        let known = batch::select(&known, rest - own.len(), round);
        let entries = strong.iter().chain(&own).chain(&known);
        entries.map(|entry| evidence_of(now, entry)).collect()
    }

    /// The evidence against the given marks, such as those of [`Tracker::record_death`].
    #[must_use]
    pub fn evidence_for(&self, now: Time, marks: &[Mark]) -> Vec<Evidence> {
        let found = marks.iter().filter_map(|mark| self.find(*mark).ok());
        found
            .map(|index| evidence_of(now, &self.entries[index]))
            .collect()
    }

    /// Merges evidence reported by a peer. The result does not depend on order or repetition.
    pub fn merge(&mut self, now: Time, evidence: &[Evidence]) {
        self.merge_from(now, evidence, false);
    }

    /// Merges evidence of a peer that reports to few others: what is new counts as this instance's
    /// own in reports.
    pub fn merge_relayed(&mut self, now: Time, evidence: &[Evidence]) {
        self.merge_from(now, evidence, true);
    }

    fn merge_from(&mut self, now: Time, evidence: &[Evidence], relayed: bool) {
        for reported in evidence {
            for notice in reported.deaths.iter().take(MAX_DEATHS) {
                let death = Death {
                    attempt: notice.attempt,
                    began: now - notice.began.duration(),
                    at: now - notice.age.duration(),
                    isolated: notice.isolated,
                };
                if self.add(now, reported.mark, death) && relayed {
                    self.prefer(now, reported.mark);
                }
            }
            if let Some(age) = reported.cleared {
                self.clear(now - age.duration(), reported.mark);
            }
        }
    }

    /// Drops expired evidence.
    pub fn expire(&mut self, now: Time) {
        let retention = self.settings.retention;
        for entry in &mut self.entries {
            entry.deaths.retain(|death| now.since(death.at) < retention);
        }
        self.entries.retain(|entry| !entry.deaths.is_empty());
    }

    /// Forgets attempts that were interrupted before a time, and those that started before it and
    /// whose end was never reported.
    pub fn abandon(&mut self, before: Time) {
        self.runs
            .retain(|run| run.interrupted.unwrap_or(run.began) >= before);
    }

    /// Number of marks with evidence.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no evidence.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn find(&self, mark: Mark) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&mark, |entry| entry.mark)
    }

    fn assess(&self, now: Time, mark: Mark) -> Verdict {
        let Ok(index) = self.find(mark) else {
            return Verdict::Free;
        };
        let entry = &self.entries[index];
        let live = |death: &&Death| now.since(death.at) < self.settings.retention;
        let isolated = entry
            .deaths
            .iter()
            .filter(live)
            .filter(|d| d.isolated)
            .count();
        let batch = death::count_separate(
            entry
                .deaths
                .iter()
                .filter(live)
                .filter(|death| death.is_valid(entry.cleared)),
        );
        let (poisonous, suspect) = match mark {
            Mark::Content(_) => (isolated > 0 || batch >= BATCH_DEATHS, batch > 0),
            Mark::Kin(_) => (
                isolated >= KIN_DEATHS,
                isolated > 0 || batch >= BATCH_DEATHS,
            ),
        };
        match (poisonous, suspect) {
            (true, _) => Verdict::Poisonous,
            (false, true) => Verdict::Isolated,
            (false, false) => Verdict::Free,
        }
    }

    /// Notes that this instance is to report a mark before those that others report too.
    fn prefer(&mut self, now: Time, mark: Mark) {
        if let Ok(index) = self.find(mark) {
            self.entries[index].own = Some(now);
        }
    }

    /// Adds a death to the evidence. Returns whether it was not known.
    fn add(&mut self, now: Time, mark: Mark, death: Death) -> bool {
        if now.since(death.at) >= self.settings.retention {
            return false;
        }
        let index = match self.find(mark) {
            Ok(index) => index,
            Err(_) if self.settings.max_marks == 0 => return false,
            Err(_) => {
                self.make_room();
                let index = self.find(mark).unwrap_or_else(|index| index);
                self.entries.insert(
                    index,
                    Entry {
                        mark,
                        deaths: Vec::new(),
                        cleared: None,
                        own: None,
                    },
                );
                index
            }
        };
        let entry = &mut self.entries[index];
        let deaths = &mut entry.deaths;
        if deaths.iter().any(|known| known.attempt == death.attempt) {
            return false;
        }
        let position = deaths.partition_point(|d| (d.at, d.attempt) < (death.at, death.attempt));
        deaths.insert(position, death);
        if deaths.len() > MAX_DEATHS {
            deaths.remove(death::spare(deaths, entry.cleared));
        }
        true
    }

    /// If the tracker is full, drops the entry whose last death is the oldest.
    fn make_room(&mut self) {
        if self.entries.len() < self.settings.max_marks {
            return;
        }
        let last = |entry: &Entry| entry.deaths.last().map(|death| death.at);
        let oldest = (0..self.entries.len()).min_by_key(|index| last(&self.entries[*index]));
        if let Some(index) = oldest {
            self.entries.remove(index);
        }
    }

    fn clear(&mut self, at: Time, mark: Mark) {
        if let Ok(found) = self.find(mark) {
            let entry = &mut self.entries[found];
            entry.cleared = entry.cleared.max(Some(at));
        }
    }
}

fn evidence_of(now: Time, entry: &Entry) -> Evidence {
    let deaths = entry.deaths.iter().map(|death| Notice {
        attempt: death.attempt,
        began: now.since(death.began).into(),
        age: now.since(death.at).into(),
        isolated: death.isolated,
    });
    Evidence {
        mark: entry.mark,
        deaths: deaths.collect(),
        cleared: entry.cleared.map(|cleared| now.since(cleared).into()),
    }
}
