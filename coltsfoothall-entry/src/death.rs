//! Detects dead endpoints, and collects the evidence that their deaths are against
//! requests.
//!
//! An attempt that breaks may mean a cut connection or a dead endpoint, so its endpoint is
//! probed with a new connection. A refused connection means dead, as the host answers and
//! nobody listens. An accepted connection means alive, unless another process answers there
//! than the one the attempt ran in, or all attempts there broke together, as after a quick
//! restart. No answer at all decides nothing, as it may be this instance that is cut off.
//! Until the probe ends, a request that ran there is not started anywhere else.

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

/// Time within which a connection has to be accepted or refused.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of connection attempts in a probe. An accepted connection is tried again, as a
/// dying process may close its listener last.
const MAX_CONNECTS: u32 = 3;
/// Delay between two connection attempts.
const CONNECT_DELAY: Duration = Duration::from_millis(40);
/// Number of attempts that have to break together to count as a restart of the endpoint.
const RESTART_THRESHOLD: usize = 2;
/// Number of other instances of a failure domain that have to be lost with an endpoint
/// before the domain counts as lost. With fewer, a request that kills several endpoints of
/// a small domain could pass for a lost domain.
const DOMAIN_LOSS_THRESHOLD: usize = 2;
/// Maximum number of other instances of a failure domain that are probed; it bounds the
/// connections.
pub const MAX_PEERS_PROBED: usize = 16;
/// Maximum number of pieces of evidence in a repeat to a peer. Together with the repeat
/// interval it bounds the traffic of evidence while nothing happens.
const MAX_REPEATED: usize = 64;
/// How long after new evidence no suspect request runs isolated. Until all instances have
/// the evidence, the request that is to blame may run beside it on another instance.
const SETTLE_DELAY: Duration = Duration::from_millis(500);
/// Delay between two probes of a dead endpoint.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// The endpoint accepts connections.
    Alive,
    /// The endpoint accepts connections, and this process answers instead of the expected one.
    Restarted(Boot),
    /// The endpoint's host refuses connections.
    Dead {
        /// Whether the other instances of its failure domain are lost too.
        domain: bool,
    },
    /// Nothing answers.
    Silent,
}

/// An endpoint that is being probed.
#[derive(Debug)]
struct Probe {
    endpoint: id::Endpoint,
    /// Attempts that broke there and wait for the result.
    broken: Vec<u64>,
    /// The process that the first of them ran in, if known.
    boot: Option<Boot>,
}

/// A dead endpoint that is still listed.
#[derive(Debug)]
struct Dead {
    endpoint: id::Endpoint,
    /// When it is probed next.
    next: Time,
}

/// A running attempt.
#[derive(Debug)]
struct Run {
    attempt: u64,
    endpoint: id::Endpoint,
    fingerprint: Fingerprint,
    /// The process of the endpoint, as known when the attempt started.
    boot: Option<Boot>,
}

/// What follows from the result of a probe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Conclusion {
    /// The endpoint is alive; these attempts broke for another reason.
    Alive(Vec<u64>),
    /// The endpoint is dead.
    Dead,
}

/// The probes of endpoints, and the evidence against requests.
#[derive(Debug)]
pub struct Detector {
    suspicions: Tracker,
    /// Sorted by endpoint.
    probes: Vec<Probe>,
    /// Sorted by endpoint.
    dead: Vec<Dead>,
    /// Sorted by attempt.
    runs: Vec<Run>,
    /// The process of each endpoint that reports one; sorted by endpoint.
    boots: Vec<(id::Endpoint, Boot)>,
    /// When the latest evidence will have reached all instances.
    settled: Time,
}

impl Default for Detector {
    fn default() -> Self {
        Self {
            suspicions: Tracker::new(Settings::default()),
            probes: Vec::new(),
            dead: Vec::new(),
            runs: Vec::new(),
            boots: Vec::new(),
            settled: Time::START,
        }
    }
}

impl Detector {
    /// Decides how a request may run now.
    #[must_use]
    pub fn verdict(&self, now: Time, fingerprint: Fingerprint) -> Verdict {
        let verdict = self.suspicions.verdict(now, fingerprint);
        let being_probed = |run: &Run| {
            run.fingerprint.content == fingerprint.content && self.is_probed(&run.endpoint)
        };
        let early = verdict == Verdict::Isolated && now < self.settled;
        if early || (verdict < Verdict::Later && self.runs.iter().any(being_probed)) {
            return Verdict::Later;
        }
        verdict
    }

    /// Records the start of an attempt.
    pub fn record_start(
        &mut self,
        now: Time,
        attempt: u64,
        endpoint: &id::Endpoint,
        fingerprint: Fingerprint,
        isolated: bool,
    ) {
        self.suspicions
            .record_start(now, attempt, endpoint.clone(), fingerprint, isolated);
        if let Err(index) = self.find(attempt) {
            let boot = self.boot(endpoint);
            self.runs.insert(
                index,
                Run {
                    attempt,
                    endpoint: endpoint.clone(),
                    fingerprint,
                    boot,
                },
            );
        }
    }

    /// Records the end of an attempt for another reason than the death of its endpoint.
    /// `complete` tells whether its answer is complete.
    pub fn record_end(&mut self, now: Time, attempt: u64, complete: bool) {
        self.suspicions.record_end(now, attempt, complete);
        if let Ok(index) = self.find(attempt) {
            self.runs.remove(index);
        }
    }

    /// Starts a probe of an endpoint, for the attempt that broke there if one did. Returns
    /// false if the endpoint is being probed already.
    pub fn start_probe(&mut self, endpoint: &id::Endpoint, broken: Option<u64>) -> bool {
        match self
            .probes
            .binary_search_by(|probe| probe.endpoint.cmp(endpoint))
        {
            Ok(index) => {
                self.probes[index].broken.extend(broken);
                false
            }
            Err(index) => {
                let run = broken.and_then(|attempt| self.find(attempt).ok());
                let boot = run.map_or_else(|| self.boot(endpoint), |run| self.runs[run].boot);
                self.probes.insert(
                    index,
                    Probe {
                        endpoint: endpoint.clone(),
                        broken: broken.into_iter().collect(),
                        boot,
                    },
                );
                true
            }
        }
    }

    /// Records the result of a probe. `open` is the number of attempts that still run at the
    /// endpoint.
    pub fn record_finding(
        &mut self,
        now: Time,
        endpoint: &id::Endpoint,
        finding: Finding,
        open: usize,
    ) -> Conclusion {
        let index = self
            .probes
            .binary_search_by(|probe| probe.endpoint.cmp(endpoint));
        let broken = index
            .map(|index| self.probes.remove(index).broken)
            .unwrap_or_default();
        let together = broken.len() >= RESTART_THRESHOLD && open == 0;
        match finding {
            Finding::Dead { .. } => return Conclusion::Dead,
            Finding::Restarted(boot) => {
                self.record_boot(endpoint, boot);
                return Conclusion::Dead;
            }
            Finding::Alive if together => return Conclusion::Dead,
            Finding::Alive | Finding::Silent => {}
        }
        for attempt in &broken {
            self.record_end(now, *attempt, false);
        }
        if finding == Finding::Alive {
            self.revive(endpoint);
        }
        Conclusion::Alive(broken)
    }

    /// Records the process that an endpoint reports.
    pub fn record_boot(&mut self, endpoint: &id::Endpoint, boot: Boot) {
        match self
            .boots
            .binary_search_by(|(known, _)| known.cmp(endpoint))
        {
            Ok(index) => self.boots[index].1 = boot,
            Err(index) => self.boots.insert(index, (endpoint.clone(), boot)),
        }
    }

    /// The process that the broken attempts at a probed endpoint ran in, if known.
    #[must_use]
    pub fn probed_boot(&self, endpoint: &id::Endpoint) -> Option<Boot> {
        let index = self
            .probes
            .binary_search_by(|probe| probe.endpoint.cmp(endpoint));
        index.ok().and_then(|index| self.probes[index].boot)
    }

    /// Records the death of an endpoint. Returns the marks to report to peers.
    pub fn record_death(
        &mut self,
        now: Time,
        endpoint: &id::Endpoint,
        announced: bool,
    ) -> Vec<Mark> {
        if let Err(index) = self
            .dead
            .binary_search_by(|dead| dead.endpoint.cmp(endpoint))
        {
            self.dead.insert(
                index,
                Dead {
                    endpoint: endpoint.clone(),
                    next: now + PROBE_INTERVAL,
                },
            );
        }
        self.runs.retain(|run| run.endpoint != *endpoint);
        let marks = self.suspicions.record_death(now, endpoint, announced);
        if !marks.is_empty() {
            self.settled = now + SETTLE_DELAY;
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

    /// Endpoints that are being probed, sorted.
    pub fn probed(&self) -> impl Iterator<Item = &id::Endpoint> {
        self.probes.iter().map(|probe| &probe.endpoint)
    }

    /// Removes dead endpoints that are no longer listed.
    pub fn retain(&mut self, listed: impl Fn(&id::Endpoint) -> bool) {
        self.dead.retain(|dead| listed(&dead.endpoint));
        self.boots.retain(|(endpoint, _)| listed(endpoint));
    }

    /// Starts the probes of dead endpoints that are due, and returns these endpoints.
    pub fn due_probes(&mut self, now: Time) -> Vec<id::Endpoint> {
        let mut due = Vec::new();
        for dead in self.dead.iter_mut().filter(|dead| dead.next <= now) {
            dead.next = now + PROBE_INTERVAL;
            due.push(dead.endpoint.clone());
        }
        due.retain(|endpoint| self.start_probe(endpoint, None));
        due
    }

    /// The evidence against the given marks.
    #[must_use]
    pub fn evidence_about(&self, now: Time, marks: &[Mark]) -> Vec<Evidence> {
        self.suspicions.evidence_for(now, marks)
    }

    /// All evidence, for an instance that has none.
    #[must_use]
    pub fn evidence(&self, now: Time) -> Vec<Evidence> {
        self.suspicions.evidence(now)
    }

    /// The newest evidence, to be repeated to a peer that may have missed some.
    #[must_use]
    pub fn newest_evidence(&self, now: Time) -> Vec<Evidence> {
        let mut evidence = self.suspicions.evidence(now);
        evidence.sort_by_key(|evidence| evidence.deaths.iter().map(|death| death.age.0).min());
        evidence.truncate(MAX_REPEATED);
        evidence
    }

    /// Merges the evidence reported by a peer. Returns what was new, to be forwarded.
    pub fn merge(&mut self, now: Time, reported: &[Evidence]) -> Vec<Evidence> {
        let marks: Vec<Mark> = reported.iter().map(|evidence| evidence.mark).collect();
        let before = self.suspicions.evidence_for(now, &marks);
        self.suspicions.merge(now, reported);
        let after = self.suspicions.evidence_for(now, &marks);
        let is_new = |after: &Evidence| !before.iter().any(|before| same_deaths(before, after));
        let added: Vec<Evidence> = after.into_iter().filter(is_new).collect();
        if !added.is_empty() {
            self.settled = now + SETTLE_DELAY;
        }
        added
    }

    /// Removes expired evidence.
    pub fn expire(&mut self, now: Time) {
        self.suspicions.expire(now);
    }

    /// Number of attempts that run or wait for the result of a probe.
    #[must_use]
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    fn revive(&mut self, endpoint: &id::Endpoint) {
        self.dead.retain(|dead| dead.endpoint != *endpoint);
    }

    fn is_probed(&self, endpoint: &id::Endpoint) -> bool {
        self.probes
            .binary_search_by(|probe| probe.endpoint.cmp(endpoint))
            .is_ok()
    }

    fn boot(&self, endpoint: &id::Endpoint) -> Option<Boot> {
        let index = self
            .boots
            .binary_search_by(|(known, _)| known.cmp(endpoint));
        index.ok().map(|index| self.boots[index].1)
    }

    fn find(&self, attempt: u64) -> Result<usize, usize> {
        self.runs.binary_search_by_key(&attempt, |run| run.attempt)
    }
}

/// Whether two pieces of evidence name the same deaths.
fn same_deaths(one: &Evidence, other: &Evidence) -> bool {
    let attempts = |evidence: &Evidence| -> Vec<u64> {
        let mut attempts: Vec<u64> = evidence.deaths.iter().map(|death| death.attempt).collect();
        attempts.sort_unstable();
        attempts
    };
    one.mark == other.mark
        && attempts(one) == attempts(other)
        && one.cleared.is_some() == other.cleared.is_some()
}

/// Probes an endpoint, and if it is dead also other instances of its failure domain. `boot`
/// is the process that attempts there ran in, if known.
pub async fn probe(
    client: &Client,
    address: &str,
    boot: Option<Boot>,
    peers: &[String],
) -> Finding {
    let mut found = connect(address).await;
    for _ in 1..MAX_CONNECTS {
        if found != Finding::Alive {
            break;
        }
        sleep(CONNECT_DELAY).await;
        found = connect(address).await;
    }
    if found == Finding::Alive && boot.is_some() {
        return match answering_process(client, address).await {
            Some(now) if Some(now) != boot => Finding::Restarted(now),
            Some(_) | None => Finding::Alive,
        };
    }
    if found != (Finding::Dead { domain: false }) {
        return found;
    }
    let peers = join_all(
        peers
            .iter()
            .take(MAX_PEERS_PROBED)
            .map(|peer| connect(peer)),
    )
    .await;
    let lost = peers.iter().filter(|peer| **peer != Finding::Alive).count();
    Finding::Dead {
        domain: lost == peers.len() && lost >= DOMAIN_LOSS_THRESHOLD,
    }
}

/// The process that answers at an address, if it reports one.
async fn answering_process(client: &Client, address: &str) -> Option<Boot> {
    for _ in 0..MAX_CONNECTS {
        // A pooled connection may have ended with the previous process.
        if let Ok(load) = client
            .get::<Load>("boot", address, "/v1/load", CONNECT_TIMEOUT)
            .await
        {
            return load.boot;
        }
    }
    None
}

async fn connect(address: &str) -> Finding {
    let Ok(address) = address.parse::<SocketAddr>() else {
        return Finding::Silent;
    };
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_stream)) => Finding::Alive,
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            Finding::Dead { domain: false }
        }
        Ok(Err(_)) | Err(_) => Finding::Silent,
    }
}
