//! Endpoints for requests that run alone, because an endpoint died of one of them.
//!
//! Each entry instance has its own part of a service's endpoints for this, so
//! that two instances do not run suspects beside each other. There it takes
//! those without work of its own or, as far as their reports tell, of others;
//! if none is free it keeps its own new work away from one.

use std::time::Duration;

use coltsfoothall::choice::Endpoint;
use coltsfoothall::clock::Time;
use coltsfoothall::id;

/// How long an endpoint is kept free after the last request that asked for it.
const KEEP: Duration = Duration::from_secs(1);
/// How long others' work, as reports tell, keeps an endpoint from being taken;
/// it keeps a busy fleet from holding a suspect until its deadline.
const PATIENCE: Duration = Duration::from_secs(2);

/// Time after which a request that finds nothing in this instance's part counts anew.
const FORGET: Duration = Duration::from_secs(10);

/// An endpoint.
#[derive(Debug, Clone)]
struct Candidate {
    service: id::Service,
    endpoint: id::Endpoint,
    /// Others' requests there, as last reported.
    others: usize,
}

/// An endpoint that is kept free.
#[derive(Debug)]
struct Reserve {
    endpoint: id::Endpoint,
    since: Time,
    until: Time,
}

/// The endpoints of all services, and this instance's part of them.
#[derive(Debug, Default)]
pub struct Endpoints {
    /// Sorted by service, then endpoint.
    candidates: Vec<Candidate>,
    rank: usize,
    count: usize,
    reserve: Option<Reserve>,
    /// Since when a request finds nothing in this instance's part.
    none: Option<Time>,
}

impl Endpoints {
    /// Takes the list of endpoints.
    pub fn set(&mut self, endpoints: &[Endpoint]) {
        let old = std::mem::take(&mut self.candidates);
        for endpoint in endpoints {
            let had = old
                .iter()
                .find(|candidate| candidate.endpoint == endpoint.id);
            self.candidates.push(Candidate {
                service: endpoint.service.clone(),
                endpoint: endpoint.id.clone(),
                others: had.map_or(0, |candidate| candidate.others),
            });
        }
        self.candidates
            .sort_by(|a, b| (&a.service, &a.endpoint).cmp(&(&b.service, &b.endpoint)));
    }

    /// Sets this instance's place among all entry instances, and their number.
    pub fn set_rank(&mut self, rank: usize, count: usize) {
        self.rank = rank;
        self.count = count;
    }

    /// Whether an endpoint is listed.
    #[must_use]
    pub fn has(&self, endpoint: &id::Endpoint) -> bool {
        self.service(endpoint).is_some()
    }

    /// The service of an endpoint.
    #[must_use]
    pub fn service(&self, endpoint: &id::Endpoint) -> Option<&id::Service> {
        let candidate = self
            .candidates
            .iter()
            .find(|candidate| candidate.endpoint == *endpoint);
        candidate.map(|candidate| &candidate.service)
    }

    /// Others have so many requests at an endpoint.
    pub fn note(&mut self, _now: Time, endpoint: &id::Endpoint, others: usize) {
        let candidate = self
            .candidates
            .iter_mut()
            .find(|candidate| candidate.endpoint == *endpoint);
        if let Some(candidate) = candidate {
            candidate.others = others;
        }
    }

    /// The endpoint that is kept free.
    #[must_use]
    pub fn reserved(&self, now: Time) -> Option<&id::Endpoint> {
        let reserve = self.reserve.as_ref().filter(|reserve| now < reserve.until);
        reserve.map(|reserve| &reserve.endpoint)
    }

    /// Adds the endpoints of a service where a request cannot run alone, and
    /// keeps one free if there is no other; `open` tells own requests.
    pub fn unfit(
        &mut self,
        now: Time,
        service: &id::Service,
        open: &dyn Fn(&id::Endpoint) -> usize,
        exclude: &mut Vec<id::Endpoint>,
    ) {
        let kept = self.reserved(now).cloned();
        let waited = self.reserve.as_ref().filter(|reserve| now < reserve.until);
        let urgent = waited.filter(|reserve| now.since(reserve.since) >= PATIENCE);
        let urgent = urgent.map(|reserve| reserve.endpoint.clone());
        let mut spare: Option<(usize, id::Endpoint)> = None;
        let mut free = false;
        let candidates = self
            .candidates
            .iter()
            .filter(|candidate| candidate.service == *service);
        // Numbered before any is left out, so that instances agree on the parts.
        let candidates = candidates
            .enumerate()
            .filter(|(_, candidate)| !exclude.contains(&candidate.endpoint));
        let candidates: Vec<(usize, Candidate)> = candidates
            .map(|(at, candidate)| (at, candidate.clone()))
            .collect();
        let (rank, count) = (self.rank, self.count.max(1));
        let mine = |at: usize| at % count == rank;
        let none = !candidates.iter().any(|(at, _)| mine(*at)) && self.stranded(now);
        for (at, candidate) in candidates {
            let mine = none || mine(at);
            let own = open(&candidate.endpoint);
            let empty =
                own == 0 && (candidate.others == 0 || urgent.as_ref() == Some(&candidate.endpoint));
            if mine && empty {
                free = true;
                continue;
            }
            // The one that is kept free already comes first.
            let rank = if kept.as_ref() == Some(&candidate.endpoint) {
                0
            } else {
                own + 1
            };
            if mine && spare.as_ref().is_none_or(|(least, _)| rank < *least) {
                spare = Some((rank, candidate.endpoint.clone()));
            }
            exclude.push(candidate.endpoint.clone());
        }
        match (free, spare) {
            (false, Some((_, endpoint))) => self.keep_free(now, endpoint),
            _ => self.reserve = None,
        }
    }

    /// Whether a request has waited long enough for this instance's part. Until
    /// then the others' parts may run the request that is to blame.
    fn stranded(&mut self, now: Time) -> bool {
        let since = self
            .none
            .filter(|since| now.since(*since) < FORGET)
            .unwrap_or(now);
        self.none = Some(since);
        now.since(since) >= PATIENCE
    }

    /// Keeps an endpoint free, the same one as before while that lasts.
    fn keep_free(&mut self, now: Time, endpoint: id::Endpoint) {
        let until = now + KEEP;
        match &mut self.reserve {
            Some(reserve) if now < reserve.until && reserve.endpoint == endpoint => {
                reserve.until = until;
            }
            _ => {
                self.reserve = Some(Reserve {
                    endpoint,
                    since: now,
                    until,
                })
            }
        }
    }
}
