//! Endpoints for requests that run isolated, because an endpoint died while one of them
//! ran.
//!
//! Each entry instance has its own share of a service's endpoints for this, so that two
//! instances do not run suspect requests beside each other. Within its share it uses
//! endpoints without requests of its own or, as far as reports tell, of other instances. If
//! there is none, it reserves one: it keeps its own new requests away from it.

use std::time::Duration;

use coltsfoothall::choice::Endpoint;
use coltsfoothall::clock::Time;
use coltsfoothall::id;

/// How long an endpoint stays reserved after the last request that asked for it.
const RESERVE_TTL: Duration = Duration::from_secs(1);
/// How long the reported requests of other instances keep an endpoint from being used.
/// Without this limit, a suspect request in a busy fleet could wait until its deadline.
const OTHERS_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which the wait for an endpoint in this instance's share starts anew.
const STRANDED_TTL: Duration = Duration::from_secs(10);

/// An endpoint of a service.
#[derive(Debug, Clone)]
struct Candidate {
    service: id::Service,
    endpoint: id::Endpoint,
    /// Requests of other instances there, as last reported.
    others: usize,
}

/// An endpoint that is reserved for isolated requests.
#[derive(Debug)]
struct Reserve {
    endpoint: id::Endpoint,
    since: Time,
    until: Time,
}

/// The endpoints of all services, and this instance's share of them.
#[derive(Debug, Default)]
pub struct Endpoints {
    /// Sorted by service, then endpoint.
    candidates: Vec<Candidate>,
    rank: usize,
    count: usize,
    reserve: Option<Reserve>,
    /// Since when this instance's share has had no endpoint for a request.
    stranded_since: Option<Time>,
}

impl Endpoints {
    /// Replaces the list of endpoints.
    pub fn set_endpoints(&mut self, endpoints: &[Endpoint]) {
        let old = std::mem::take(&mut self.candidates);
        for endpoint in endpoints {
            let known = old
                .iter()
                .find(|candidate| candidate.endpoint == endpoint.id);
            self.candidates.push(Candidate {
                service: endpoint.service.clone(),
                endpoint: endpoint.id.clone(),
                others: known.map_or(0, |candidate| candidate.others),
            });
        }
        self.candidates
            .sort_by(|a, b| (&a.service, &a.endpoint).cmp(&(&b.service, &b.endpoint)));
    }

    /// Sets the rank of this instance among all live entry instances, and their number.
    pub fn set_rank(&mut self, rank: usize, count: usize) {
        self.rank = rank;
        self.count = count;
    }

    /// Whether an endpoint is listed.
    #[must_use]
    pub fn contains(&self, endpoint: &id::Endpoint) -> bool {
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

    /// Sets the number of requests that other instances have at an endpoint.
    pub fn set_others(&mut self, _now: Time, endpoint: &id::Endpoint, others: usize) {
        let candidate = self
            .candidates
            .iter_mut()
            .find(|candidate| candidate.endpoint == *endpoint);
        if let Some(candidate) = candidate {
            candidate.others = others;
        }
    }

    /// The reserved endpoint.
    #[must_use]
    pub fn reserved(&self, now: Time) -> Option<&id::Endpoint> {
        let reserve = self.reserve.as_ref().filter(|reserve| now < reserve.until);
        reserve.map(|reserve| &reserve.endpoint)
    }

    /// Adds to `exclude` the endpoints of a service where a request cannot run isolated, and
    /// reserves one if no endpoint is left. `open` gives the number of this instance's requests
    /// at an endpoint.
    pub fn exclude_unfit(
        &mut self,
        now: Time,
        service: &id::Service,
        open: &dyn Fn(&id::Endpoint) -> usize,
        exclude: &mut Vec<id::Endpoint>,
    ) {
        let reserved = self.reserved(now).cloned();
        let reserve = self.reserve.as_ref().filter(|reserve| now < reserve.until);
        let overdue = reserve.filter(|reserve| now.since(reserve.since) >= OTHERS_TIMEOUT);
        let overdue = overdue.map(|reserve| reserve.endpoint.clone());
        let mut spare: Option<(usize, id::Endpoint)> = None;
        let mut free = false;
        let candidates = self
            .candidates
            .iter()
            .filter(|candidate| candidate.service == *service);
        // Enumerated before any is excluded, so that all instances agree on the shares.
        let candidates = candidates
            .enumerate()
            .filter(|(_, candidate)| !exclude.contains(&candidate.endpoint));
        let candidates: Vec<(usize, Candidate)> = candidates
            .map(|(index, candidate)| (index, candidate.clone()))
            .collect();
        let (rank, count) = (self.rank, self.count.max(1));
        let in_share = |index: usize| index % count == rank;
        let any_share = !candidates.iter().any(|(index, _)| in_share(*index)) && self.stranded(now);
        for (index, candidate) in candidates {
            let in_share = any_share || in_share(index);
            let own = open(&candidate.endpoint);
            let empty = own == 0
                && (candidate.others == 0 || overdue.as_ref() == Some(&candidate.endpoint));
            if in_share && empty {
                free = true;
                continue;
            }
            // The endpoint that is reserved already comes first.
            let priority = if reserved.as_ref() == Some(&candidate.endpoint) {
                0
            } else {
                own + 1
            };
            if in_share && spare.as_ref().is_none_or(|(lowest, _)| priority < *lowest) {
                spare = Some((priority, candidate.endpoint.clone()));
            }
            exclude.push(candidate.endpoint.clone());
        }
        match (free, spare) {
            (false, Some((_, endpoint))) => self.reserve(now, endpoint),
            _ => self.reserve = None,
        }
    }

    /// Whether a request has waited long enough for an endpoint in this instance's share. Until
    /// then another instance may run the request that is to blame in its own share.
    fn stranded(&mut self, now: Time) -> bool {
        let since = self
            .stranded_since
            .filter(|since| now.since(*since) < STRANDED_TTL)
            .unwrap_or(now);
        self.stranded_since = Some(since);
        now.since(since) >= OTHERS_TIMEOUT
    }

    /// Reserves an endpoint, or extends the reservation that it has.
    fn reserve(&mut self, now: Time, endpoint: id::Endpoint) {
        let until = now + RESERVE_TTL;
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
