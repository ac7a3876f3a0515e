//! Deaths of endpoints, and the evidence that they are against requests.
//!
//! An attempt that breaks may mean a cut connection or a dead endpoint. Its
//! endpoint is put on trial: a connection to it is tried. Refused means dead, as
//! its host answers and nobody listens. A connection that comes up means alive,
//! unless another process answers there than the attempt ran in, or all attempts
//! there broke together, as after a quick restart. No
//! answer at all decides nothing: this instance may be the one that is cut off.
//! Until then a request that ran there is started nowhere else.

use coltsfoothall::clock::Time;
use coltsfoothall::fingerprint::{Evidence, Fingerprint, Mark};
use coltsfoothall::id;
use coltsfoothall::suspicion::{Settings, Tracker, Verdict};
use std::net::SocketAddr;
use std::time::Duration;

use coltsfoothall_wire::client::Client;
use coltsfoothall_wire::engine::{Boot, Load};
use futures_util::future::join_all;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Time in which a connection has to come up or be refused.
const CONNECT: Duration = Duration::from_millis(300);
/// Tries of a connection; a dying process may close its listener last.
const TRIES: u32 = 3;
/// Between two tries.
const PAUSE: Duration = Duration::from_millis(40);
/// Attempts that break together and so show a restart.
const TOGETHER: usize = 2;
/// Others of a failure domain that have to be lost with an endpoint before the
/// domain counts as lost; it keeps a request that runs at several endpoints of
/// a small domain from passing for a lost domain.
const DOMAIN: usize = 2;
/// Most others of a failure domain that are tried; it bounds the connections.
pub const MATES: usize = 16;
/// Most evidence in a repeat to a peer; with the time between two it bounds
/// what evidence costs at rest.
const REPEAT: usize = 64;
/// Time after new evidence in which no suspect runs alone: until all instances
/// have the evidence, the request that is to blame may join it elsewhere.
const SETTLE: Duration = Duration::from_millis(500);
/// Between two tries of an endpoint that is dead.
const AGAIN: Duration = Duration::from_secs(1);

/// What a trial found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Found {
    /// It takes connections.
    Alive,
    /// It takes connections, and this process answers, not the one that is known.
    Restarted(Boot),
    /// Its host refuses connections.
    Dead {
        /// Whether all others of its failure domain refuse them too.
        domain: bool,
    },
    /// Nothing answers.
    Silent,
}

/// An endpoint that may be dead.
#[derive(Debug)]
struct Trial {
    endpoint: id::Endpoint,
    /// Attempts that broke there and wait for the finding.
    broken: Vec<u64>,
    /// The process that the first of them ran in.
    boot: Option<Boot>,
}

/// A dead endpoint that is still listed.
#[derive(Debug)]
struct Dead {
    endpoint: id::Endpoint,
    /// When it is tried next.
    next: Time,
}

/// A request that runs.
#[derive(Debug)]
struct Run {
    attempt: u64,
    endpoint: id::Endpoint,
    fingerprint: Fingerprint,
    /// The process of the endpoint as it was known when the attempt began.
    boot: Option<Boot>,
}

/// What follows from a finding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ruling {
    /// It lives; these attempts broke by themselves.
    Lives(Vec<u64>),
    /// It is dead.
    Dead,
}

/// Trials of endpoints, and the docket of requests.
#[derive(Debug)]
pub struct Judge {
    docket: Tracker,
    /// Sorted by endpoint.
    trials: Vec<Trial>,
    /// Sorted by endpoint.
    dead: Vec<Dead>,
    /// Sorted by attempt.
    runs: Vec<Run>,
    /// The process of each endpoint that tells it; sorted by endpoint.
    boots: Vec<(id::Endpoint, Boot)>,
    /// When the last evidence has reached all instances.
    settled: Time,
}

impl Default for Judge {
    fn default() -> Self {
        Self {
            docket: Tracker::new(Settings::default()),
            trials: Vec::new(),
            dead: Vec::new(),
            runs: Vec::new(),
            boots: Vec::new(),
            settled: Time::START,
        }
    }
}

impl Judge {
    /// How a request may run now.
    #[must_use]
    pub fn verdict(&self, now: Time, fingerprint: Fingerprint) -> Verdict {
        let verdict = self.docket.verdict(now, fingerprint);
        let tried =
            |run: &Run| run.fingerprint.content == fingerprint.content && self.tries(&run.endpoint);
        let early = verdict == Verdict::Isolated && now < self.settled;
        if early || (verdict < Verdict::Later && self.runs.iter().any(tried)) {
            return Verdict::Later;
        }
        verdict
    }

    /// An attempt starts.
    pub fn started(
        &mut self,
        now: Time,
        attempt: u64,
        endpoint: &id::Endpoint,
        fingerprint: Fingerprint,
        alone: bool,
    ) {
        self.docket
            .record_start(now, attempt, endpoint.clone(), fingerprint, alone);
        if let Err(at) = self.find(attempt) {
            let boot = self.boot(endpoint);
            self.runs.insert(
                at,
                Run {
                    attempt,
                    endpoint: endpoint.clone(),
                    fingerprint,
                    boot,
                },
            );
        }
    }

    /// An attempt ended by itself, `whole` if with its whole answer.
    pub fn ended(&mut self, now: Time, attempt: u64, whole: bool) {
        self.docket.record_end(now, attempt, whole);
        if let Ok(at) = self.find(attempt) {
            self.runs.remove(at);
        }
    }

    /// Puts an endpoint on trial, for the attempt that broke there if one did.
    /// True if it was not on trial.
    pub fn accuse(&mut self, endpoint: &id::Endpoint, broken: Option<u64>) -> bool {
        match self
            .trials
            .binary_search_by(|trial| trial.endpoint.cmp(endpoint))
        {
            Ok(at) => {
                self.trials[at].broken.extend(broken);
                false
            }
            Err(at) => {
                let ran = broken.and_then(|attempt| self.find(attempt).ok());
                let boot = ran.map_or_else(|| self.boot(endpoint), |ran| self.runs[ran].boot);
                self.trials.insert(
                    at,
                    Trial {
                        endpoint: endpoint.clone(),
                        broken: broken.into_iter().collect(),
                        boot,
                    },
                );
                true
            }
        }
    }

    /// Takes in what a trial found; `open` attempts still run there.
    pub fn rule(
        &mut self,
        now: Time,
        endpoint: &id::Endpoint,
        found: Found,
        open: usize,
    ) -> Ruling {
        let place = self
            .trials
            .binary_search_by(|trial| trial.endpoint.cmp(endpoint));
        let broken = place
            .map(|at| self.trials.remove(at).broken)
            .unwrap_or_default();
        let together = broken.len() >= TOGETHER && open == 0;
        match found {
            Found::Dead { .. } => return Ruling::Dead,
            Found::Restarted(boot) => {
                self.saw(endpoint, boot);
                return Ruling::Dead;
            }
            Found::Alive if together => return Ruling::Dead,
            Found::Alive | Found::Silent => {}
        }
        for attempt in &broken {
            self.ended(now, *attempt, false);
        }
        if found == Found::Alive {
            self.revive(endpoint);
        }
        Ruling::Lives(broken)
    }

    /// An endpoint tells which process it is.
    pub fn saw(&mut self, endpoint: &id::Endpoint, boot: Boot) {
        match self.boots.binary_search_by(|(have, _)| have.cmp(endpoint)) {
            Ok(at) => self.boots[at].1 = boot,
            Err(at) => self.boots.insert(at, (endpoint.clone(), boot)),
        }
    }

    /// The process that attempts ran in at an endpoint on trial, if it told.
    #[must_use]
    pub fn tried_boot(&self, endpoint: &id::Endpoint) -> Option<Boot> {
        let found = self
            .trials
            .binary_search_by(|trial| trial.endpoint.cmp(endpoint));
        found.ok().and_then(|at| self.trials[at].boot)
    }

    /// An endpoint is dead. Returns the marks to tell peers of.
    pub fn died(&mut self, now: Time, endpoint: &id::Endpoint, announced: bool) -> Vec<Mark> {
        if let Err(at) = self
            .dead
            .binary_search_by(|dead| dead.endpoint.cmp(endpoint))
        {
            self.dead.insert(
                at,
                Dead {
                    endpoint: endpoint.clone(),
                    next: now + AGAIN,
                },
            );
        }
        self.runs.retain(|run| run.endpoint != *endpoint);
        let marks = self.docket.record_death(now, endpoint, announced);
        if !marks.is_empty() {
            self.settled = now + SETTLE;
        }
        marks
    }

    /// Whether an endpoint is known to be dead.
    #[must_use]
    pub fn is_dead(&self, endpoint: &id::Endpoint) -> bool {
        self.dead
            .binary_search_by(|dead| dead.endpoint.cmp(endpoint))
            .is_ok()
    }

    /// Endpoints known to be dead, sorted.
    pub fn dead(&self) -> impl Iterator<Item = &id::Endpoint> {
        self.dead.iter().map(|dead| &dead.endpoint)
    }

    /// Endpoints on trial, sorted.
    pub fn tried(&self) -> impl Iterator<Item = &id::Endpoint> {
        self.trials.iter().map(|trial| &trial.endpoint)
    }

    /// Forgets dead endpoints that are no longer listed.
    pub fn keep(&mut self, listed: impl Fn(&id::Endpoint) -> bool) {
        self.dead.retain(|dead| listed(&dead.endpoint));
        self.boots.retain(|(endpoint, _)| listed(endpoint));
    }

    /// Dead endpoints that are to be tried again now; they are on trial from here.
    pub fn due(&mut self, now: Time) -> Vec<id::Endpoint> {
        let mut due = Vec::new();
        for dead in self.dead.iter_mut().filter(|dead| dead.next <= now) {
            dead.next = now + AGAIN;
            due.push(dead.endpoint.clone());
        }
        due.retain(|endpoint| self.accuse(endpoint, None));
        due
    }

    /// The evidence against some marks.
    #[must_use]
    pub fn about(&self, now: Time, marks: &[Mark]) -> Vec<Evidence> {
        self.docket.evidence_for(now, marks)
    }

    /// All evidence, for an instance that has none.
    #[must_use]
    pub fn evidence(&self, now: Time) -> Vec<Evidence> {
        self.docket.evidence(now)
    }

    /// The newest evidence, to be repeated to a peer in case it missed some.
    #[must_use]
    pub fn newest(&self, now: Time) -> Vec<Evidence> {
        let mut evidence = self.docket.evidence(now);
        evidence.sort_by_key(|told| told.deaths.iter().map(|death| death.age.0).min());
        evidence.truncate(REPEAT);
        evidence
    }

    /// Takes in what a peer told. Returns what was new, to be told on.
    pub fn merge(&mut self, now: Time, told: &[Evidence]) -> Vec<Evidence> {
        let marks: Vec<Mark> = told.iter().map(|told| told.mark).collect();
        let before = self.docket.evidence_for(now, &marks);
        self.docket.merge(now, told);
        let after = self.docket.evidence_for(now, &marks);
        let new = |after: &Evidence| !before.iter().any(|before| same(before, after));
        let news: Vec<Evidence> = after.into_iter().filter(new).collect();
        if !news.is_empty() {
            self.settled = now + SETTLE;
        }
        news
    }

    /// Drops evidence that has expired.
    pub fn expire(&mut self, now: Time) {
        self.docket.expire(now);
    }

    /// Attempts that run or wait for a finding.
    #[must_use]
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    fn revive(&mut self, endpoint: &id::Endpoint) {
        self.dead.retain(|dead| dead.endpoint != *endpoint);
    }

    fn tries(&self, endpoint: &id::Endpoint) -> bool {
        self.trials
            .binary_search_by(|trial| trial.endpoint.cmp(endpoint))
            .is_ok()
    }

    fn boot(&self, endpoint: &id::Endpoint) -> Option<Boot> {
        let found = self.boots.binary_search_by(|(have, _)| have.cmp(endpoint));
        found.ok().map(|at| self.boots[at].1)
    }

    fn find(&self, attempt: u64) -> Result<usize, usize> {
        self.runs.binary_search_by_key(&attempt, |run| run.attempt)
    }
}

/// Whether two pieces of evidence name the same deaths.
fn same(one: &Evidence, other: &Evidence) -> bool {
    let attempts = |told: &Evidence| -> Vec<u64> {
        let mut attempts: Vec<u64> = told.deaths.iter().map(|death| death.attempt).collect();
        attempts.sort_unstable();
        attempts
    };
    one.mark == other.mark
        && attempts(one) == attempts(other)
        && one.cleared.is_some() == other.cleared.is_some()
}

/// Tries an endpoint, and if it is dead the others of its failure domain. `boot` is the
/// process that attempts there ran in, if it is known.
pub async fn probe(client: &Client, address: &str, boot: Option<Boot>, mates: &[String]) -> Found {
    let mut found = connect(address).await;
    for _ in 1..TRIES {
        if found != Found::Alive {
            break;
        }
        sleep(PAUSE).await;
        found = connect(address).await;
    }
    if found == Found::Alive && boot.is_some() {
        return match answers(client, address).await {
            Some(now) if Some(now) != boot => Found::Restarted(now),
            Some(_) | None => Found::Alive,
        };
    }
    if found != (Found::Dead { domain: false }) {
        return found;
    }
    let mates = join_all(mates.iter().take(MATES).map(|mate| connect(mate))).await;
    let lost = mates.iter().filter(|mate| **mate != Found::Alive).count();
    Found::Dead {
        domain: lost == mates.len() && lost >= DOMAIN,
    }
}

/// The process that answers at an address, if it tells.
async fn answers(client: &Client, address: &str) -> Option<Boot> {
    for _ in 0..TRIES {
        // A kept connection may have ended with the process before.
        if let Ok(load) = client
            .get::<Load>("boot", address, "/v1/load", CONNECT)
            .await
        {
            return load.boot;
        }
    }
    None
}

async fn connect(address: &str) -> Found {
    let Ok(address) = address.parse::<SocketAddr>() else {
        return Found::Silent;
    };
    match timeout(CONNECT, TcpStream::connect(address)).await {
        Ok(Ok(_stream)) => Found::Alive,
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            Found::Dead { domain: false }
        }
        Ok(Err(_)) | Err(_) => Found::Silent,
    }
}
