//! Load of requests that were refused for lack of capacity.
//!
//! Endpoints are ordered for the load that callers offer. What was sent is known from the endpoints'
//! answers; a refused request adds the work that it would have been. A caller that comes back has a
//! new request id and mostly reaches another instance, so instances tell each other the fingerprints
//! of what they refused, and a request counts once. In a large fleet they do so for a fixed sample of
//! all fingerprints, and the sampled requests count for the others.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::id;
use crate::size::Tokens;

/// Bounds the memory for known requests, at 32 bytes each.
const MAX_KNOWN: usize = 8_192;
/// Least time between two searches for requests that need no longer be known.
const PURGE_INTERVAL: Duration = Duration::from_secs(1);
/// Weight of the newest request in the moving averages of work.
const WEIGHT: f64 = 0.02;

/// Parameters of a tracker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// How long a request counts as known after its last refusal: callers come back within their
    /// time limit.
    pub retention: Duration,
    /// Sharers for one sampled fingerprint in as many: 12,000 refusals a second at 985 instances
    /// are then 390 reported fingerprints.
    pub sharers_per_sample: u32,
    /// Share of the prompt that is prefilled, assumed before a request was sent.
    pub unread_share: f64,
    /// Share of the answer's upper bound that is written, assumed before an answer has ended.
    pub answer_share: f64,
    /// Tokens of an event, assumed before an answer has ended.
    pub tokens_per_event: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(15),
            sharers_per_sample: 32,
            unread_share: 1.0,
            answer_share: 0.5,
            tokens_per_event: 8.0,
        }
    }
}

/// A request to a service that is or would be work for an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request<'a> {
    /// The service.
    pub service: &'a id::Service,
    /// Hash of its workspace, method, target and body; the same when its caller comes back.
    pub fingerprint: u64,
    /// Microseconds of an endpoint's time that it takes.
    pub work: u64,
}

/// Length of a request's prompt and the upper bound of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Length {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Upper bound of the answer.
    pub answer: Tokens,
}

/// What an instance tells the others.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Microseconds of endpoints' time that it refused since it started, by service.
    pub refused: Vec<(id::Service, u64)>,
    /// Fingerprints of sampled requests that it refused recently.
    pub recent: Vec<u64>,
}

/// Adds up the work that was sent and that was refused, both sorted by service.
#[must_use]
pub fn sum(
    mut sent: Vec<(id::Service, u64)>,
    refused: &[(id::Service, u64)],
) -> Vec<(id::Service, u64)> {
    for (service, work) in refused {
        match sent.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(index) => sent[index].1 = sent[index].1.saturating_add(*work),
            Err(index) => sent.insert(index, (service.clone(), *work)),
        }
    }
    sent
}

/// A sampled request that was refused by any instance.
#[derive(Debug, Clone, Copy)]
struct Known {
    fingerprint: u64,
    /// When it was refused last, or heard of.
    at: Time,
    /// Whether this instance refused it.
    own: bool,
    /// Whether its work was taken back, as it was sent.
    sent: bool,
}

/// Refused work of one service, in microseconds of endpoints' time.
#[derive(Debug, Clone)]
struct Account {
    service: id::Service,
    refused: u64,
    /// Refused work of requests that were sent later. Totals never fall, so it covers later
    /// refusals.
    credit: u64,
    unread_share: f64,
    /// Events for each token of the answer's upper bound.
    events_per_token: f64,
}

/// Refused work, as one instance knows it.
#[derive(Debug, Clone)]
pub struct Tracker {
    settings: Settings,
    /// Sorted by service.
    accounts: Vec<Account>,
    /// Sorted by fingerprint.
    known: Vec<Known>,
    purged_at: Time,
}

impl Default for Tracker {
    fn default() -> Self {
        Self::new(Settings::default())
    }
}

impl Tracker {
    /// Creates a tracker without refusals.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            accounts: Vec::new(),
            known: Vec::new(),
            purged_at: Time::START,
        }
    }

    /// Records the unread tokens of a prompt that is sent.
    pub fn record_prompt(&mut self, service: &id::Service, prompt: Tokens, unread: Tokens) {
        if prompt.0 > 0 {
            let share = (unread.0 as f64 / prompt.0 as f64).min(1.0);
            let average = &mut self.account(service).unread_share;
            *average += WEIGHT * (share - *average);
        }
    }

    /// Records the events of an answer that has ended, whose upper bound was `answer`.
    pub fn record_answer(&mut self, service: &id::Service, answer: Tokens, events: u64) {
        if answer.0 > 0 {
            let share = events as f64 / answer.0 as f64;
            let average = &mut self.account(service).events_per_token;
            *average += WEIGHT * (share - *average);
        }
    }

    /// Estimate of the unread tokens and the events of a request that is refused.
    #[must_use]
    pub fn estimate(&mut self, service: &id::Service, length: Length) -> (Tokens, f64) {
        let account = self.account(service);
        let unread = length.prompt.0 as f64 * account.unread_share;
        let events = length.answer.0 as f64 * account.events_per_token;
        (Tokens(unread as u64), events)
    }

    /// Records that this instance refused a request for lack of capacity. `sharers` is the number of
    /// instances that exchange reports.
    pub fn refused(&mut self, now: Time, request: Request<'_>, sharers: u32) {
        let Some(weight) = self.weight(request.fingerprint, sharers) else {
            return;
        };
        if !self.learn(now, request.fingerprint, true) {
            return;
        }
        let account = self.account(request.service);
        let work = request.work.saturating_mul(weight);
        let covered = work.min(account.credit);
        account.credit -= covered;
        account.refused += work - covered;
    }

    /// Records that this instance sends a request, whose work counts as sent from now on.
    pub fn sent(&mut self, now: Time, request: Request<'_>, sharers: u32) {
        let Some(weight) = self.weight(request.fingerprint, sharers) else {
            return;
        };
        let oldest = now - self.settings.retention;
        let Ok(index) = self.find(request.fingerprint) else {
            return;
        };
        let known = &mut self.known[index];
        if known.at < oldest || std::mem::replace(&mut known.sent, true) {
            return;
        }
        self.account(request.service).credit += request.work.saturating_mul(weight);
    }

    /// Microseconds of endpoints' time that this instance refused since it started, by service.
    #[must_use]
    pub fn totals(&self) -> Vec<(id::Service, u64)> {
        let refusing = self.accounts.iter().filter(|account| account.refused > 0);
        refusing
            .map(|account| (account.service.clone(), account.refused))
            .collect()
    }

    /// What other instances are told: the totals, and at most `rows` of the requests refused here
    /// within `span`, the newest first.
    #[must_use]
    pub fn report(&self, now: Time, span: Duration, rows: usize) -> Report {
        let oldest = now - span;
        let own = self.known.iter().filter(|known| known.own);
        let mut recent: Vec<&Known> = own.filter(|known| known.at >= oldest).collect();
        recent.sort_unstable_by_key(|known| std::cmp::Reverse(known.at));
        recent.truncate(rows);
        Report {
            refused: self.totals(),
            recent: recent.iter().map(|known| known.fingerprint).collect(),
        }
    }

    /// Merges the requests that another instance refused.
    pub fn merge(&mut self, now: Time, recent: &[u64]) {
        for fingerprint in recent {
            let _new = self.learn(now, *fingerprint, false);
        }
    }

    /// How many requests a sampled one counts for; none if the fingerprint is not sampled.
    fn weight(&self, fingerprint: u64, sharers: u32) -> Option<u64> {
        let each = u64::from(self.settings.sharers_per_sample.max(1));
        let weight = u64::from(sharers).div_ceil(each).max(1);
        fingerprint.is_multiple_of(weight).then_some(weight)
    }

    /// Remembers a refused request. Returns whether it was not known.
    fn learn(&mut self, now: Time, fingerprint: u64, own: bool) -> bool {
        let oldest = now - self.settings.retention;
        if let Ok(index) = self.find(fingerprint) {
            let known = &mut self.known[index];
            let is_new = known.at < oldest;
            // A refusal that others report says nothing of when the caller came here.
            if is_new || own {
                known.own = own;
                known.at = now;
            }
            // Sent and refused again: it is one request, but its work was taken back.
            let was_sent = std::mem::take(&mut known.sent);
            return is_new || (own && was_sent);
        }
        if self.known.len() >= MAX_KNOWN && now.since(self.purged_at) >= PURGE_INTERVAL {
            self.purged_at = now;
            self.known.retain(|known| known.at >= oldest);
        }
        if self.known.len() >= MAX_KNOWN {
            // Counting a request twice is better than not counting it.
            return true;
        }
        let index = self.find(fingerprint).unwrap_or_else(|index| index);
        let known = Known {
            fingerprint,
            at: now,
            own,
            sent: false,
        };
        self.known.insert(index, known);
        true
    }

    fn find(&self, fingerprint: u64) -> Result<usize, usize> {
        self.known
            .binary_search_by_key(&fingerprint, |known| known.fingerprint)
    }

    fn account(&mut self, service: &id::Service) -> &mut Account {
        let found = self
            .accounts
            .binary_search_by(|account| account.service.cmp(service));
        let index = found.unwrap_or_else(|index| {
            let account = Account {
                service: service.clone(),
                refused: 0,
                credit: 0,
                unread_share: self.settings.unread_share,
                events_per_token: self.settings.answer_share / self.settings.tokens_per_event,
            };
            self.accounts.insert(index, account);
            index
        });
        &mut self.accounts[index]
    }
}
