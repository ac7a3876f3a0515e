//! Load of requests that were refused for lack of capacity.
//!
//! Endpoints are ordered for the load that callers offer. What was sent is known from the endpoints'
//! answers; a refused request adds the work that it would have been. A caller that comes back has a
//! new request id and mostly reaches another instance, so instances tell each other the fingerprints
//! of what they refused, and a request counts once. In a large fleet they do so for a fixed sample of
//! all fingerprints, and the sampled requests count for the others.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::batch;
use crate::clock::Time;
use crate::id;
use crate::size::Tokens;

/// Bounds the memory for known requests, at 32 bytes each. At 1,000 refusals a second all requests of
/// the last 15 s are known.
const MAX_KNOWN: usize = 16_384;
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
    /// One fingerprint in as many is sampled as there are multiples of this number of sharers, rounded
    /// up to a power of two: 12,000 refusals a second at 985 instances are then 375 reported
    /// fingerprints.
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
    /// When it was refused here last, or first heard of.
    at: Time,
    /// Whether this instance refused it.
    refused_here: bool,
    /// Whether this instance sent it since, so that its work was taken back.
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
    /// When the credit rose last. It lapses, so that it does not hide the next shortage.
    credited_at: Time,
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
        let oldest = now - self.settings.retention;
        let account = self.account(request.service);
        let work = request.work.saturating_mul(weight);
        if account.credited_at < oldest {
            account.credit = 0;
        }
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
        let account = self.account(request.service);
        account.credit = account
            .credit
            .saturating_add(request.work.saturating_mul(weight));
        account.credited_at = now;
    }

    /// Begins to count a service, so that its total is reported before the first refusal: others
    /// take the first total that they hear for work done before.
    pub fn add(&mut self, service: &id::Service) {
        self.account(service);
    }

    /// Microseconds of endpoints' time that this instance refused since it started, by service.
    #[must_use]
    pub fn totals(&self) -> Vec<(id::Service, u64)> {
        let accounts = self.accounts.iter();
        accounts
            .map(|account| (account.service.clone(), account.refused))
            .collect()
    }

    /// What other instances are told: the totals, and at most `rows` of the requests refused here
    /// within `span`, others in each round.
    #[must_use]
    pub fn report(&self, now: Time, span: Duration, rows: usize, round: usize) -> Report {
        let oldest = now - span;
        let here = self.known.iter().filter(|known| known.refused_here);
        let recent = here.filter(|known| known.at >= oldest);
        let recent: Vec<u64> = recent.map(|known| known.fingerprint).collect();
        Report {
            refused: self.totals(),
            recent: batch::select(&recent, rows, round),
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
        // Samples of powers of two are nested: instances that count the members differently still
        // sample the same requests.
        let weight = u64::from(sharers).div_ceil(each).max(1).next_power_of_two();
        fingerprint.is_multiple_of(weight).then_some(weight)
    }

    /// Remembers a request that this instance or another one refused. Returns whether its work counts
    /// now: it was not known, or its work was taken back.
    fn learn(&mut self, now: Time, fingerprint: u64, here: bool) -> bool {
        let oldest = now - self.settings.retention;
        if let Ok(index) = self.find(fingerprint) {
            let known = &mut self.known[index];
            let is_new = known.at < oldest;
            // Others report a refusal several times; only the first report says something new.
            if !is_new && !here {
                return false;
            }
            known.refused_here = here;
            known.at = now;
            let was_sent = std::mem::take(&mut known.sent);
            return is_new || was_sent;
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
            refused_here: here,
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
                credited_at: Time::START,
                unread_share: self.settings.unread_share,
                events_per_token: self.settings.answer_share / self.settings.tokens_per_event,
            };
            self.accounts.insert(index, account);
            index
        });
        &mut self.accounts[index]
    }
}
