//! Requests that crash the endpoints which run them, known by content.
//!
//! A key does not help: callers send such a request again under a new one. So
//! each death of an endpoint is evidence against all contents that ran there.
//! A death that was announced says nothing; the caller of [`Tracker::record_death`]
//! also leaves out the loss of a whole failure domain.
//!
//! | evidence | verdict |
//! | --- | --- |
//! | none | [`Verdict::Free`] |
//! | one death with others in the batch | [`Verdict::Isolated`]: it runs where nothing else runs, one copy at a time |
//! | two such deaths, the second run begun after the first death was known, or one death alone | [`Verdict::Poisonous`] |
//!
//! Deaths of copies that ran at the same time count as one, so that a common
//! request is not condemned by two endpoints that die together. A content that
//! finishes is cleared of the deaths so far; one that died alone is not.
//!
//! Small variations share a [`Mark::Kin`]: workspace, service, model and head
//! of the prompt. Many innocent prompts of a workspace may share it too, so it
//! needs more: two batch deaths or one alone isolate the kin, three alone
//! condemn it until they expire. It reaches no other workspace.
//!
//! # Bound on endpoints lost
//! Let F entry instances learn of a death after at most G, and let a run take
//! at least D from its start until its death is known. Equal content, whatever
//! its keys, costs at most
//!
//! - the C copies that run when the first death is known, and then
//! - for each instance, those it starts before it hears of that death, at most
//!   G/D for one caller that waits for each answer, and one more alone.
//!
//! One caller that sends again after each death so costs 2 + min(2(F - 1),
//! ceil(G/D)) endpoints; C copies at once cost C + F if none begins between the
//! first death and its arrival. With variations, the kin costs two for each of
//! the first variations until it is condemned. Evidence is kept [`Settings::retention`]
//! after the death, so the cost comes again once in that time at most.
//! A full tracker forgets the oldest evidence first.
//!
//! Not bounded: variations without a common head, and non-idempotent variations
//! sent once each whose kin is cleared by innocent ones in between.

use std::time::Duration;

use crate::batch;
use crate::clock::Time;
pub use crate::fingerprint::{Evidence, Fingerprint, Mark, Notice};
use crate::id;

/// Batch deaths that condemn a content, and that isolate a kin.
const BATCH_DEATHS: usize = 2;
/// Deaths alone that condemn a kin.
const KIN_DEATHS: usize = 3;
/// Most deaths kept for one mark; it stops a mass loss from filling messages.
const MAX_DEATHS: usize = 4;

/// Bounds on what is kept.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// How long a death counts.
    pub retention: Duration,
    /// Most marks with evidence; it stops a mass loss from filling memory and messages.
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
    /// Only where nothing else runs, and nothing may join it.
    Isolated,
    /// Not now: a copy of it runs alone, whose outcome decides.
    Later,
    /// Never; its final answer is given at once.
    Poisonous,
}

/// An endpoint's death as evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Death {
    /// The attempt that ran there, unique in the fleet.
    attempt: u64,
    began: Time,
    at: Time,
    isolated: bool,
}

#[derive(Debug, Clone)]
struct Entry {
    mark: Mark,
    /// By time, then attempt.
    deaths: Vec<Death>,
    /// Batch deaths up to here are void.
    cleared: Option<Time>,
}

/// An attempt that runs.
#[derive(Debug, Clone)]
struct Run {
    attempt: u64,
    endpoint: id::Endpoint,
    fingerprint: Fingerprint,
    began: Time,
    isolated: bool,
}

/// Evidence against contents, and the attempts of this instance that run.
#[derive(Debug, Clone)]
pub struct Tracker {
    settings: Settings,
    /// Sorted by mark.
    entries: Vec<Entry>,
    /// Sorted by attempt.
    runs: Vec<Run>,
}

impl Tracker {
    /// A tracker without evidence.
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
        let content = self.grade(now, fingerprint.content);
        let kin = self.grade(now, fingerprint.kin);
        let verdict = content.max(kin);
        let tried = self.runs.iter().any(|run| {
            run.isolated
                && (run.fingerprint.content == fingerprint.content
                    || run.fingerprint.kin == fingerprint.kin)
        });
        if verdict == Verdict::Isolated && tried {
            return Verdict::Later;
        }
        verdict
    }

    /// An attempt starts; `isolated` if it was chosen to run where nothing else runs.
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
            isolated,
        };
        match self.runs.binary_search_by_key(&attempt, |run| run.attempt) {
            Ok(at) => self.runs[at] = run,
            Err(at) => self.runs.insert(at, run),
        }
    }

    /// An attempt ended while its endpoint lives; `whole` if it gave its whole answer.
    pub fn record_end(&mut self, now: Time, attempt: u64, whole: bool) {
        let Ok(at) = self.runs.binary_search_by_key(&attempt, |run| run.attempt) else {
            return;
        };
        let run = self.runs.remove(at);
        if whole {
            self.clear(now, run.fingerprint.content);
            self.clear(now, run.fingerprint.kin);
        }
    }

    /// An endpoint died; `announced` if it had been given notice, or its whole
    /// failure domain is lost. Returns the marks to tell peers of.
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
                at: now,
                isolated: run.isolated && only,
            };
            for mark in [run.fingerprint.content, run.fingerprint.kin] {
                self.add(now, mark, death);
                if let Err(at) = marks.binary_search(&mark) {
                    marks.insert(at, mark);
                }
            }
        }
        marks
    }

    /// The evidence to tell peers, all of it.
    #[must_use]
    pub fn evidence(&self, now: Time) -> Vec<Evidence> {
        self.entries.iter().map(|entry| tell(now, entry)).collect()
    }

    /// At most `most` of the evidence, for one message of many: half of it against marks
    /// with several deaths, as far as there are any, and all of it in its turn.
    #[must_use]
    pub fn evidence_batch(&self, now: Time, most: usize, round: usize) -> Vec<Evidence> {
        let (strong, weak): (Vec<&Entry>, Vec<&Entry>) = self
            .entries
            .iter()
            .partition(|entry| entry.deaths.len() > 1);
        let strong = batch::select(&strong, most.div_ceil(2), round);
        let weak = batch::select(&weak, most.saturating_sub(strong.len()), round);
        let entries = strong.iter().chain(&weak);
        entries.map(|entry| tell(now, entry)).collect()
    }

    /// The evidence against some marks, such as those of [`Tracker::record_death`].
    #[must_use]
    pub fn evidence_for(&self, now: Time, marks: &[Mark]) -> Vec<Evidence> {
        let found = marks.iter().filter_map(|mark| self.find(*mark).ok());
        found.map(|at| tell(now, &self.entries[at])).collect()
    }

    /// Takes in what a peer told. Order and repeats make no difference.
    pub fn merge(&mut self, now: Time, evidence: &[Evidence]) {
        for told in evidence {
            for notice in told.deaths.iter().take(MAX_DEATHS) {
                let death = Death {
                    attempt: notice.attempt,
                    began: now - notice.began.duration(),
                    at: now - notice.age.duration(),
                    isolated: notice.isolated,
                };
                self.add(now, told.mark, death);
            }
            if let Some(age) = told.cleared {
                self.clear(now - age.duration(), told.mark);
            }
        }
    }

    /// Drops what has expired.
    pub fn expire(&mut self, now: Time) {
        let retention = self.settings.retention;
        for entry in &mut self.entries {
            entry.deaths.retain(|death| now.since(death.at) < retention);
        }
        self.entries.retain(|entry| !entry.deaths.is_empty());
    }

    /// Forgets attempts that began before a time and whose end was never learnt.
    pub fn abandon(&mut self, before: Time) {
        self.runs.retain(|run| run.began >= before);
    }

    /// Marks with evidence.
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

    fn grade(&self, now: Time, mark: Mark) -> Verdict {
        let Ok(at) = self.find(mark) else {
            return Verdict::Free;
        };
        let entry = &self.entries[at];
        let live = |death: &&Death| now.since(death.at) < self.settings.retention;
        let isolated = entry
            .deaths
            .iter()
            .filter(live)
            .filter(|d| d.isolated)
            .count();
        let batch = apart(
            entry
                .deaths
                .iter()
                .filter(live)
                .filter(|d| counts(entry, d)),
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

    fn add(&mut self, now: Time, mark: Mark, death: Death) {
        if now.since(death.at) >= self.settings.retention {
            return;
        }
        let at = match self.find(mark) {
            Ok(at) => at,
            Err(_) if self.settings.max_marks == 0 => return,
            Err(_) => {
                self.make_room();
                let at = self.find(mark).unwrap_or_else(|at| at);
                self.entries.insert(
                    at,
                    Entry {
                        mark,
                        deaths: Vec::new(),
                        cleared: None,
                    },
                );
                at
            }
        };
        let deaths = &mut self.entries[at].deaths;
        if deaths.iter().any(|known| known.attempt == death.attempt) {
            return;
        }
        let place = deaths.partition_point(|d| (d.at, d.attempt) < (death.at, death.attempt));
        deaths.insert(place, death);
        if deaths.len() > MAX_DEATHS {
            // A death alone weighs more, so it is kept longest.
            let spare = deaths.iter().position(|death| !death.isolated).unwrap_or(0);
            deaths.remove(spare);
        }
    }

    /// Drops the entry whose last death is the oldest, if there is no room.
    fn make_room(&mut self) {
        if self.entries.len() < self.settings.max_marks {
            return;
        }
        let last = |entry: &Entry| entry.deaths.last().map(|death| death.at);
        let oldest = (0..self.entries.len()).min_by_key(|at| last(&self.entries[*at]));
        if let Some(at) = oldest {
            self.entries.remove(at);
        }
    }

    fn clear(&mut self, at: Time, mark: Mark) {
        if let Ok(found) = self.find(mark) {
            let entry = &mut self.entries[found];
            entry.cleared = entry.cleared.max(Some(at));
        }
    }
}

/// Whether a death in a batch still counts.
fn counts(entry: &Entry, death: &Death) -> bool {
    death.isolated || entry.cleared.is_none_or(|cleared| death.at > cleared)
}

/// Deaths of runs that each began after the death before was known.
fn apart<'a>(deaths: impl Iterator<Item = &'a Death>) -> usize {
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

fn tell(now: Time, entry: &Entry) -> Evidence {
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
