//! Finds the parts of prompts that crash the endpoints which write an answer on them.
//!
//! No two requests with such a part need to be alike, and all instances send them. What tells the
//! part apart is that it stands in every crash that it causes and in no answer. Each instance
//! therefore tells the others two things: which parts had runs at an endpoint that crashed, and
//! which of these parts have had an answer. Any answer clears a part of all crashes before it.
//!
//! A run that has written for [`Settings::proof`] has shown that its parts are harmless, since the
//! crash comes when the endpoint begins to write.

use std::time::Duration;

use crate::batch;
use crate::clock::Time;
use crate::forward::crash::{
    self, Crash, Mark, Notice, Report, Row, Settings, Suspect, Told, Verdict,
};
use crate::forward::inference::{self, Evidence};
use crate::id;
use crate::size::Millis;

/// How long an interrupted run is kept until its endpoint is known to be gone: registrations lapse
/// after three heartbeats, and the store may be unavailable meanwhile.
const RUN_RETENTION: Duration = Duration::from_secs(15);
/// Maximum number of interrupted runs that are kept.
const MAX_RUNS: usize = 4_096;
/// Instances see the crash of an endpoint at most this far apart.
const SAME_CRASH: Duration = Duration::from_secs(1);
/// The connections of an endpoint that crashes break at most this far apart.
const SAME_INSTANT: Duration = Duration::from_millis(100);
/// Maximum number of crashes that are kept for a part.
const MAX_CRASHES: usize = 64;
/// Maximum number of crashed endpoints that are kept.
const MAX_LOST: usize = 1_024;
/// How long crashes of an instance's own runs are told before those that others tell, and how long
/// answers are told after a crash.
const TELL_PERIOD: Duration = Duration::from_secs(3);
/// Maximum number of verdicts in a report.
const MAX_VERDICTS: usize = 8;
/// Maximum number of crashes in a row of a report, of a part that is not the first suspect.
const MAX_NOTICES: usize = 2;

/// A run that was interrupted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Where it ran.
    pub endpoint: id::Endpoint,
    /// Parts of its prompt, sorted.
    pub marks: Vec<Mark>,
    /// Hash of the request's content.
    pub content: u32,
    /// When the first event of its answer arrived.
    pub writing: Option<Time>,
    /// When it was interrupted.
    pub at: Time,
}

/// What was lost with an endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Loss {
    /// Suspects and the number of their runs, sorted by mark.
    pub parts: Vec<(Mark, u32)>,
    /// Runs that had written for too long to be suspects.
    pub harmless: u32,
    /// Whether a suspect is condemned.
    pub condemned: bool,
}

/// Change of what is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// An answer cleared a part of this number of crashes.
    Cleared(Mark, usize),
    /// A part was condemned.
    Condemned(Verdict),
    /// An answer lifted a verdict.
    Lifted(Mark),
}

/// What an instance knows of the parts that had runs at endpoints that crashed.
#[derive(Debug, Clone)]
pub struct Tracker {
    settings: Settings,
    /// Interrupted runs whose endpoint may turn out to have crashed, oldest first.
    runs: Vec<Run>,
    /// Sorted by mark.
    suspects: Vec<Suspect>,
    /// The last answer of this instance to each part, sorted by mark.
    answers: Vec<(Mark, Time)>,
    /// Crashed endpoints with suspects, as they became known.
    lost: Vec<(u32, Time)>,
    /// Those of them that this instance tells: endpoint, time of the crash, and since when it tells.
    told: Vec<(u32, Time, Time)>,
    /// Sorted by mark.
    verdicts: Vec<Verdict>,
    /// The last answer to any request whose prompt has parts, at any instance.
    served: Option<Time>,
}

impl Tracker {
    /// Creates a tracker that knows nothing.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            runs: Vec::new(),
            suspects: Vec::new(),
            answers: Vec::new(),
            lost: Vec::new(),
            told: Vec::new(),
            verdicts: Vec::new(),
            served: None,
        }
    }

    /// Whether a run whose first event arrived at `writing` has shown by `now` that its parts are
    /// harmless.
    #[must_use]
    pub fn is_proven(&self, writing: Option<Time>, now: Time) -> bool {
        writing.is_some_and(|since| now.since(since) >= self.settings.proof)
    }

    /// Records a run that was interrupted. It is evidence if its endpoint turns out to have crashed.
    pub fn record_interrupted(&mut self, run: Run) {
        if run.marks.is_empty() {
            return;
        }
        self.runs
            .retain(|kept| run.at.since(kept.at) < RUN_RETENTION);
        if self.runs.len() >= MAX_RUNS {
            self.runs.remove(0);
        }
        self.runs.push(run);
    }

    /// Records that an endpoint is gone; `announced` if that was expected, so that it is no evidence.
    pub fn record_death(&mut self, now: Time, endpoint: &id::Endpoint, announced: bool) -> Loss {
        let (lost, kept) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.endpoint == *endpoint);
        self.runs = kept;
        let mut loss = Loss::default();
        let lost: Vec<Run> = if announced { Vec::new() } else { lost };
        for run in lost {
            if self.is_proven(run.writing, run.at) {
                loss.harmless += 1;
                continue;
            }
            let crash = Crash {
                endpoint: crash::hash(endpoint),
                content: run.content,
                at: run.at,
            };
            for mark in run.marks {
                self.add(now, mark, crash, true);
                loss.condemned |= self.is_condemned(mark);
                match loss.parts.binary_search_by_key(&mark, |(mark, _)| *mark) {
                    Ok(index) => loss.parts[index].1 += 1,
                    Err(index) => loss.parts.insert(index, (mark, 1)),
                }
            }
        }
        loss
    }

    /// Records that a request with these parts had an answer, or has been written for long enough to
    /// show that they are harmless.
    pub fn record_answer(&mut self, now: Time, marks: &[Mark]) -> Vec<Change> {
        if marks.is_empty() {
            return Vec::new();
        }
        self.served = self.served.max(Some(now));
        for mark in marks {
            match self.answers.binary_search_by_key(mark, |(mark, _)| *mark) {
                Ok(index) => self.answers[index].1 = now,
                Err(index) => self.answers.insert(index, (*mark, now)),
            }
        }
        self.bound_answers();
        let changes = marks.iter().flat_map(|mark| self.clear(*mark, now));
        changes.collect()
    }

    /// Forgets the older half of the answers if there are too many.
    fn bound_answers(&mut self) {
        if self.answers.len() <= self.settings.max_answers {
            return;
        }
        let mut times: Vec<Time> = self.answers.iter().map(|(_, at)| *at).collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.answers.retain(|(_, at)| *at >= median);
    }

    /// Clears a part of the crashes up to its answer at `at`.
    fn clear(&mut self, mark: Mark, at: Time) -> Vec<Change> {
        let mut changes = Vec::new();
        if let Ok(index) = self.find(mark) {
            let suspect = &mut self.suspects[index];
            suspect.answered = suspect.answered.max(Some(at));
            let before = suspect.crashes.len();
            suspect.crashes.retain(|crash| crash.at > at);
            let cleared = before - suspect.crashes.len();
            if cleared > 0 {
                changes.push(Change::Cleared(mark, cleared));
            }
        }
        if let Ok(index) = inference::position(&self.verdicts, mark)
            && at >= self.verdicts[index].first
        {
            self.verdicts.remove(index);
            changes.push(Change::Lifted(mark));
        }
        changes
    }

    /// Condemns parts if the crashes tell. Answers are heard from all instances within `settle`.
    pub fn judge(&mut self, now: Time, settle: Duration) -> Vec<Change> {
        let mut changes = Vec::new();
        loop {
            let found = inference::infer(
                &Evidence {
                    now,
                    settle,
                    served: self.served,
                    suspects: &self.suspects,
                    lost: &self.lost,
                    verdicts: &self.verdicts,
                },
                &self.settings,
            );
            if found.is_empty() {
                return changes;
            }
            for verdict in found {
                self.condemn(verdict);
                changes.push(Change::Condemned(verdict));
            }
        }
    }

    fn condemn(&mut self, verdict: Verdict) {
        match inference::position(&self.verdicts, verdict.mark) {
            Ok(index) => self.verdicts[index] = verdict,
            Err(index) => self.verdicts.insert(index, verdict),
        }
    }

    /// Parts that are condemned, sorted.
    #[must_use]
    pub fn verdicts(&self) -> &[Verdict] {
        &self.verdicts
    }

    /// The verdict that forbids to send a request with these parts, if there is one.
    #[must_use]
    pub fn forbids(&self, marks: &[Mark]) -> Option<&Verdict> {
        let mut found = marks
            .iter()
            .filter_map(|mark| inference::find(&self.verdicts, *mark));
        found.next()
    }

    /// Whether a condemned part explains a crash that interrupted a run at `at`.
    #[must_use]
    pub fn explains(&self, at: Time) -> bool {
        let mut crashes = inference::explained(&self.suspects, &self.verdicts);
        crashes.any(|crash| is_within(crash.at, at, SAME_INSTANT))
    }

    fn is_condemned(&self, mark: Mark) -> bool {
        inference::find(&self.verdicts, mark).is_some()
    }

    /// Whether a request may be sent to see whether the verdict on its part still holds; it then
    /// counts as sent. One instance of the fleet asks this for a part.
    pub fn take_trial(&mut self, now: Time, mark: Mark) -> bool {
        let settings = self.settings;
        let Ok(index) = inference::position(&self.verdicts, mark) else {
            return false;
        };
        let verdict = &mut self.verdicts[index];
        if verdict.trials >= settings.max_trials || now < settings.next_trial(verdict) {
            return false;
        }
        verdict.trials += 1;
        verdict.tried = Some(now);
        true
    }

    /// How long it takes until a request with a condemned part may be tried again.
    #[must_use]
    pub fn retry_after(&self, now: Time, verdict: &Verdict) -> Duration {
        let next = self.settings.next_trial(verdict);
        next.since(now).max(self.settings.trial_delay)
    }

    /// What others are told, in at most `max` rows for crashes and as many for answers. Over the
    /// rounds, all crashes that became known of own runs are told.
    #[must_use]
    pub fn report(&self, now: Time, max: usize, round: usize, informed: bool) -> Report {
        let age = |at: Time| Millis::from(now.since(at));
        let answers: Vec<&Suspect> = self
            .suspects
            .iter()
            .filter(|suspect| suspect.answered.is_some() && now.since(suspect.heard) < TELL_PERIOD)
            .collect();
        let answers = select(answers, max, round);
        let answers = answers
            .iter()
            .filter_map(|suspect| Some((suspect.mark, age(suspect.answered?))));
        let verdicts = batch::select(&self.verdicts, MAX_VERDICTS, round);
        let verdicts = verdicts.iter().map(|verdict| Told {
            mark: verdict.mark,
            age: age(verdict.at),
            first: age(verdict.first),
            crashes: verdict.crashes,
            trials: verdict.trials,
            tried: verdict.tried.map(age),
        });
        let lost: Vec<(u32, Millis)> = self
            .told
            .iter()
            .map(|(endpoint, at, _)| (*endpoint, age(*at)))
            .collect();
        Report {
            informed,
            lost: batch::select(&lost, max, round),
            rows: self.rows(now, max, round),
            answers: answers.collect(),
            served: self.served.map(age),
            verdicts: verdicts.collect(),
        }
    }

    /// Crashes for a report: those of the first suspect, then those of own runs.
    fn rows(&self, now: Time, max: usize, round: usize) -> Vec<Row> {
        let is_own = |suspect: &&Suspect| {
            !suspect.crashes.is_empty() && suspect.own.is_some_and(|at| now.since(at) < TELL_PERIOD)
        };
        let open = self
            .suspects
            .iter()
            .filter(|suspect| !self.is_condemned(suspect.mark));
        let leading = open.max_by_key(|suspect| {
            (
                suspect.answered.is_none() && suspect.crashes.len() > 1,
                suspect.crashes.len(),
            )
        });
        let leading = leading.filter(|suspect| suspect.crashes.len() > 1);
        let mut rows: Vec<Row> = leading
            .iter()
            .map(|suspect| row(now, suspect, max.div_ceil(2)))
            .collect();
        let used = rows.first().map_or(0, |row| row.crashes.len());
        let own: Vec<&Suspect> = self
            .suspects
            .iter()
            .filter(is_own)
            .filter(|suspect| leading.is_none_or(|leading| leading.mark != suspect.mark))
            .collect();
        let own = select(own, ((max - used) / MAX_NOTICES).max(1), round);
        rows.extend(own.iter().map(|suspect| row(now, suspect, MAX_NOTICES)));
        rows
    }

    /// Merges what another instance tells. If it reports to few others (`relayed`), what is new is
    /// told to others as this instance's own.
    pub fn merge(&mut self, now: Time, report: &Report, relayed: bool) -> Vec<Change> {
        let mut changes = Vec::new();
        let served = report.served.map(|age| now - age.duration());
        self.served = self.served.max(served);
        for (mark, age) in &report.answers {
            changes.extend(self.clear(*mark, now - age.duration()));
        }
        for (endpoint, age) in &report.lost {
            let at = now - age.duration();
            self.add_lost(now, *endpoint, at, relayed);
        }
        for row in &report.rows {
            for notice in &row.crashes {
                let crash = Crash {
                    endpoint: notice.endpoint,
                    content: notice.content,
                    at: now - notice.age.duration(),
                };
                self.add(now, row.mark, crash, relayed);
            }
        }
        for told in &report.verdicts {
            changes.extend(self.merge_verdict(now, told));
        }
        changes
    }

    fn merge_verdict(&mut self, now: Time, told: &Told) -> Option<Change> {
        let verdict = Verdict {
            mark: told.mark,
            at: now - told.age.duration(),
            first: now - told.first.duration(),
            crashes: told.crashes,
            trials: told.trials,
            tried: told.tried.map(|age| now - age.duration()),
        };
        if let Ok(index) = inference::position(&self.verdicts, told.mark) {
            let known = &mut self.verdicts[index];
            known.trials = known.trials.max(verdict.trials);
            known.tried = known.tried.max(verdict.tried);
            return None;
        }
        let answered = self.answered(told.mark);
        if answered.is_some_and(|at| at >= verdict.first) {
            self.touch(now, told.mark);
            return None;
        }
        if now.since(verdict.at) >= self.settings.verdict_retention {
            return None;
        }
        self.condemn(verdict);
        Some(Change::Condemned(verdict))
    }

    /// Drops what has expired.
    pub fn expire(&mut self, now: Time) {
        let settings = self.settings;
        for suspect in &mut self.suspects {
            suspect
                .crashes
                .retain(|crash| now.since(crash.at) < settings.retention);
        }
        self.suspects.retain(|suspect| {
            !suspect.crashes.is_empty() || now.since(suspect.heard) < TELL_PERIOD
        });
        self.lost
            .retain(|(_, at)| now.since(*at) < settings.retention);
        self.told
            .retain(|(_, _, since)| now.since(*since) < TELL_PERIOD);
        self.verdicts
            .retain(|verdict| now.since(verdict.at) < settings.verdict_retention);
    }

    /// Number of parts that are suspects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no part is a suspect.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn find(&self, mark: Mark) -> Result<usize, usize> {
        self.suspects
            .binary_search_by_key(&mark, |suspect| suspect.mark)
    }

    /// The last answer to a part, at any instance.
    fn answered(&self, mark: Mark) -> Option<Time> {
        let own = self.answers.binary_search_by_key(&mark, |(mark, _)| *mark);
        let own = own.ok().map(|index| self.answers[index].1);
        let heard = self
            .find(mark)
            .ok()
            .and_then(|index| self.suspects[index].answered);
        own.max(heard)
    }

    /// Adds a crash to what is known against a part, unless an answer has cleared it.
    fn add(&mut self, now: Time, mark: Mark, crash: Crash, own: bool) {
        if now.since(crash.at) >= self.settings.retention {
            return;
        }
        self.add_lost(now, crash.endpoint, crash.at, own);
        let index = self.touch(now, mark);
        let suspect = &mut self.suspects[index];
        if suspect.answered.is_some_and(|at| at >= crash.at) {
            return;
        }
        let is_same = |known: &Crash| {
            known.endpoint == crash.endpoint && is_within(known.at, crash.at, SAME_CRASH)
        };
        if let Some(known) = suspect.crashes.iter().position(is_same) {
            // The content that is the smaller one stands for all, at every instance.
            let known = &mut suspect.crashes[known];
            known.content = known.content.min(crash.content);
            return;
        }
        if suspect.crashes.len() >= MAX_CRASHES {
            return;
        }
        if suspect.crashes.is_empty() {
            suspect.known = now;
        }
        suspect.heard = now;
        suspect.seen = suspect.seen.saturating_add(1);
        if own {
            suspect.own = Some(now);
        }
        let position = suspect.crashes.partition_point(|known| known.at < crash.at);
        suspect.crashes.insert(position, crash);
    }

    fn add_lost(&mut self, now: Time, endpoint: u32, at: Time, own: bool) {
        let is_same =
            |known: &(u32, Time)| known.0 == endpoint && is_within(known.1, at, SAME_CRASH);
        if self.lost.iter().any(is_same) {
            return;
        }
        if self.lost.len() >= MAX_LOST {
            self.lost.remove(0);
        }
        self.lost.push((endpoint, at));
        if own {
            self.told.push((endpoint, at, now));
        }
    }

    /// The index of a suspect, which is added if it is new; its answers are told again.
    fn touch(&mut self, now: Time, mark: Mark) -> usize {
        let answered = self.answered(mark);
        let index = match self.find(mark) {
            Ok(index) => index,
            Err(_) => {
                self.make_room();
                let index = self.find(mark).unwrap_or_else(|index| index);
                self.suspects.insert(
                    index,
                    Suspect {
                        mark,
                        crashes: Vec::new(),
                        answered: None,
                        known: now,
                        heard: now,
                        own: None,
                        seen: 0,
                    },
                );
                index
            }
        };
        let suspect = &mut self.suspects[index];
        suspect.answered = answered;
        if answered.is_some() {
            suspect.heard = now;
        }
        index
    }

    /// If there are too many suspects, drops one with the fewest crashes, the oldest of these.
    fn make_room(&mut self) {
        if self.suspects.len() < self.settings.max_suspects {
            return;
        }
        let open =
            (0..self.suspects.len()).filter(|index| !self.is_condemned(self.suspects[*index].mark));
        let least = open.min_by_key(|index| {
            let suspect = &self.suspects[*index];
            (suspect.crashes.len(), suspect.heard)
        });
        if let Some(index) = least {
            self.suspects.remove(index);
        }
    }
}

/// Whether two times are less than `span` apart.
fn is_within(one: Time, other: Time, span: Duration) -> bool {
    one.since(other).max(other.since(one)) < span
}

/// Those that had most crashes in half of the rows, and the others in turn.
fn select(mut suspects: Vec<&Suspect>, max: usize, round: usize) -> Vec<&Suspect> {
    if suspects.len() <= max {
        return suspects;
    }
    suspects.sort_by_key(|suspect| std::cmp::Reverse(suspect.seen));
    let rest = suspects.split_off(max.div_ceil(2));
    suspects.extend(batch::select(&rest, max - suspects.len(), round));
    suspects
}

/// The row of a suspect with its newest crashes.
fn row(now: Time, suspect: &Suspect, max: usize) -> Row {
    let crashes = suspect.crashes.iter().rev().take(max);
    let notices = crashes.map(|crash| Notice {
        endpoint: crash.endpoint,
        content: crash.content,
        age: now.since(crash.at).into(),
    });
    Row {
        mark: suspect.mark,
        crashes: notices.collect(),
    }
}
