//! The other entry instances, as known from heartbeats and the store, and the time of day by the
//! median of their clocks.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::batch;
use crate::clock::Time;
use crate::forward::rate_limit::Coverage;
use crate::forward::role::Role;
use crate::id;
use crate::size::Megabits;

/// Upper bound of the heartbeats that one instance sends at once. 64 heartbeats of 1.4 kB each
/// overran the queue of a 10 Mbit/s link: the last ones, always to the same instances, were lost,
/// and half of a fleet of 64 received no heartbeats from each other.
pub const MAX_HEARTBEATS_PER_BATCH: usize = 16;

/// Maximum number of rows of each list in a heartbeat, divided by the number of batches that cover
/// the fleet. After a crash of 20 endpoints the evidence alone took tens of kB in each heartbeat,
/// more than links of 10 Mbit/s carry, and a fleet of 60 lost contact.
const MAX_ROWS: usize = 64;

/// Maximum number of rows of each list in a heartbeat if `sharers` instances exchange their state.
#[must_use]
pub fn max_rows(sharers: usize) -> usize {
    (MAX_ROWS / batch::count(sharers, MAX_HEARTBEATS_PER_BATCH)).max(1)
}

/// Longest way of a heartbeat that is not held up.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_millis(300);
/// How long after a pause of this instance a heartbeat counts only if it was sent after the pause: that
/// of several lost heartbeats.
const PAUSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Intervals and timeouts of heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Time between two batches of heartbeats.
    pub heartbeat_interval: Duration,
    /// An instance without a heartbeat for this long is left out of addresses: over ten heartbeats
    /// in a small fleet.
    pub silence_timeout: Duration,
    /// An instance without a heartbeat for this long that is not registered is removed.
    pub removal_timeout: Duration,
    /// Time between two heartbeats of an instance on standby, and between two digests that it is
    /// sent by each of its contacts.
    pub standby_interval: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(100),
            silence_timeout: Duration::from_millis(1_200),
            removal_timeout: Duration::from_secs(4),
            standby_interval: Duration::from_secs(1),
        }
    }
}

/// Self-description of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// Its name.
    pub name: id::Instance,
    /// Random number of this start of the process.
    pub boot: u64,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for other instances.
    pub peer: SocketAddr,
    /// Whether it accepts callers.
    pub ready: bool,
    /// Version of its configuration.
    pub version: u64,
    /// Its time of day, since 1970.
    pub clock: Duration,
    /// Capacity of its link; zero if it is not reported.
    #[serde(default)]
    pub link: Megabits,
}

/// What an instance reports about itself beside its profile.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// What it does.
    pub role: Role,
    /// Requests of callers since it started.
    pub requests: u64,
    /// Whether it is on standby and knows no active instance of its failure domain.
    #[serde(default)]
    pub searching: bool,
}

/// What tells heartbeats that were sent after a pause of this instance from those that waited for it.
#[derive(Debug, Clone, Copy)]
struct Pause {
    /// Least difference between the sender's time of day and the uptime of this instance.
    min_skew: Duration,
    /// When any heartbeat counts again, as the sender's clock may have been set back.
    until: Time,
}

/// Another instance.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    pub(super) profile: Profile,
    /// When another instance first reported it.
    since: Time,
    pub(super) last_seen: Option<Time>,
    /// Its time of day less the uptime of this instance.
    skew: Duration,
    /// The last pause of this instance, until a heartbeat that was sent after it arrives.
    pause: Option<Pause>,
    pub(super) registered: bool,
    pub(super) status: Status,
    /// When it last reported its status.
    pub(super) status_at: Option<Time>,
    /// Requests a second between its last two heartbeats.
    pub(super) rate: f64,
    /// When an active instance last reported it as active and alive.
    pub(super) vouched: Option<Time>,
    /// Since when it is selected as active; heartbeats of it are expected since then.
    pub(super) selected: Option<Time>,
    /// When it was selected and did not report.
    pub(super) failed: Option<Time>,
    /// Services of which it reaches no endpoint, sorted; none if it does not report them.
    pub(super) lost: Option<Vec<id::Service>>,
    /// Generation of the table of versions that it has.
    pub(super) generation: u64,
}

impl Peer {
    pub(super) fn new(profile: Profile, since: Time) -> Self {
        Self {
            profile,
            since,
            last_seen: None,
            skew: Duration::ZERO,
            pause: None,
            registered: false,
            status: Status::default(),
            status_at: None,
            rate: 0.0,
            vouched: None,
            selected: None,
            failed: None,
            lost: None,
            generation: 0,
        }
    }

    pub(super) fn is_active(&self) -> bool {
        self.status.role == Role::Active
    }
}

/// The other entry instances.
#[derive(Debug, Clone)]
pub struct Peers {
    pub(super) settings: Settings,
    pub(super) me: id::Instance,
    /// Sorted by name.
    pub(super) peers: Vec<Peer>,
    pub(super) role: Role,
    /// When a digest last named the active instances, and whether this instance was among them.
    pub(super) digest: Option<(Time, bool)>,
    /// When an instance was last heard that takes all members for active.
    pub(super) legacy: Option<Time>,
    /// Since when this instance is active without being selected.
    pub(super) spare_since: Option<Time>,
    /// Whether this instance ever was active without being selected.
    pub(super) was_spare: bool,
    /// When the active instances were last selected, and whether this one was among them.
    pub(super) selection: Option<(Time, bool)>,
    /// Number of instances in the mesh as of the last selection.
    pub(super) mesh: usize,
}

impl Peers {
    /// Creates an empty list for the instance `me`.
    #[must_use]
    pub fn new(me: id::Instance, settings: Settings) -> Self {
        Self {
            settings,
            me,
            peers: Vec::new(),
            role: Role::Active,
            digest: None,
            legacy: None,
            spare_since: None,
            was_spare: false,
            selection: None,
            mesh: 0,
        }
    }

    /// Records a heartbeat of an instance. Returns the previous boot number if it has restarted.
    pub fn receive(&mut self, now: Time, profile: Profile) -> Option<u64> {
        if profile.name == self.me {
            return None;
        }
        let skew = profile.clock.saturating_sub(now.since(Time::START));
        match self.index(&profile.name) {
            Ok(index) => {
                let peer = &mut self.peers[index];
                let old = peer.profile.boot;
                let new = profile.boot;
                peer.profile = profile;
                peer.last_seen = Some(now);
                peer.skew = skew;
                (old != new).then_some(old)
            }
            Err(index) => {
                let peer = Peer {
                    last_seen: Some(now),
                    skew,
                    ..Peer::new(profile, now)
                };
                self.peers.insert(index, peer);
                None
            }
        }
    }

    /// Records that this instance stood still until now. Its clock did not count `uncounted` of that time,
    /// as its machine was suspended. What others sent meanwhile is not known until they are heard again.
    pub fn paused(&mut self, now: Time, uncounted: Duration) {
        for peer in self
            .peers
            .iter_mut()
            .filter(|peer| peer.last_seen.is_some())
        {
            peer.pause = Some(Pause {
                min_skew: (peer.skew + uncounted).saturating_sub(MAX_HEARTBEAT_DELAY),
                until: now + PAUSE_TIMEOUT,
            });
        }
    }

    /// Whether a heartbeat was sent before the last pause of this instance ended.
    #[must_use]
    pub fn is_outdated(&mut self, now: Time, profile: &Profile) -> bool {
        let Ok(index) = self.index(&profile.name) else {
            return false;
        };
        let peer = &mut self.peers[index];
        let skew = profile.clock.saturating_sub(now.since(Time::START));
        let is_outdated = |pause: &Pause| now < pause.until && skew < pause.min_skew;
        peer.pause = peer.pause.filter(is_outdated);
        peer.pause.is_some() && peer.profile.boot == profile.boot
    }

    /// Whether all members are heard, and were since the last pause of this instance.
    #[must_use]
    pub fn hears_all(&self, now: Time) -> bool {
        let coverage = self.coverage(now);
        let is_current = |peer: &Peer| peer.pause.is_none_or(|pause| now >= pause.until);
        coverage.reporting >= coverage.members && self.peers.iter().all(is_current)
    }

    /// Whether this instance hears none of those that it has heard: it may be cut off.
    #[must_use]
    pub fn hears_none(&self, now: Time) -> bool {
        let mut heard = self
            .peers
            .iter()
            .filter(|peer| peer.last_seen.is_some())
            .peekable();
        heard.peek().is_some() && heard.all(|peer| !self.is_heard(now, peer))
    }

    /// Adds an instance that another one reported. It is sent heartbeats, and counts as alive once
    /// it sends one itself.
    pub fn introduce(&mut self, now: Time, profile: Profile) {
        if profile.name == self.me {
            return;
        }
        if let Err(index) = self.index(&profile.name) {
            self.peers.insert(index, Peer::new(profile, now));
        }
    }

    /// Records that an instance is registered at the store. It counts as a member until its
    /// registration is gone.
    pub fn registered(&mut self, profile: Profile) {
        if profile.name == self.me {
            return;
        }
        match self.index(&profile.name) {
            Ok(index) => {
                let peer = &mut self.peers[index];
                peer.registered = true;
                if peer.profile.boot != profile.boot {
                    peer.failed = None;
                    peer.selected = None;
                }
                if peer.last_seen.is_none() {
                    peer.profile = profile;
                }
            }
            Err(index) => {
                let peer = Peer {
                    registered: true,
                    ..Peer::new(profile, Time::START)
                };
                self.peers.insert(index, peer);
            }
        }
    }

    /// Records that an instance's registration in a failure domain is gone.
    pub fn withdrawn(&mut self, domain: &id::Domain, name: &id::Instance) {
        if let Ok(index) = self.index(name)
            && self.peers[index].profile.domain == *domain
        {
            self.peers[index].registered = false;
        }
    }

    /// Records the generation of the table of versions that an instance has.
    pub fn record_generation(&mut self, name: &id::Instance, generation: u64) {
        if let Ok(index) = self.index(name) {
            self.peers[index].generation = generation;
        }
    }

    /// Whether all members are heard and have this generation of the table of versions.
    #[must_use]
    pub fn all_have(&self, now: Time, generation: u64) -> bool {
        let has = |peer: &Peer| self.is_heard(now, peer) && peer.generation >= generation;
        self.role == Role::Active && self.hears_all(now) && self.peers.iter().all(has)
    }

    /// Removes instances that are neither registered nor alive. Returns their boot numbers.
    pub fn expire(&mut self, now: Time) -> Vec<u64> {
        let removal_timeout = self.settings.removal_timeout;
        let lost = |peer: &Peer| {
            let last = peer.last_seen.max(peer.vouched).unwrap_or(peer.since);
            now.since(last) > removal_timeout && !peer.registered
        };
        let boots = self.peers.iter().filter(|peer| lost(peer));
        let boots = boots.map(|peer| peer.profile.boot).collect();
        self.peers.retain(|peer| !lost(peer));
        boots
    }

    /// Boot numbers of the instances that are not alive, whose open requests no longer count.
    #[must_use]
    pub fn silent(&self, now: Time) -> Vec<u64> {
        let silent = self
            .peers
            .iter()
            .filter(|peer| peer.last_seen.is_some() && !self.is_heard(now, peer));
        silent.map(|peer| peer.profile.boot).collect()
    }

    /// Addresses that heartbeats are sent to.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.iter().map(|peer| peer.profile.peer).collect()
    }

    /// Profiles of the active instances that are alive, which are also reported to others.
    #[must_use]
    pub fn profiles(&self, now: Time) -> Vec<&Profile> {
        let alive = self.active(now);
        alive.map(|peer| &peer.profile).collect()
    }

    /// Active instances of a failure domain that are alive and accept callers.
    #[must_use]
    pub fn same_domain(&self, now: Time, domain: &id::Domain) -> Vec<&Profile> {
        let local = self
            .active(now)
            .filter(|peer| peer.profile.ready && peer.profile.domain == *domain);
        local.map(|peer| &peer.profile).collect()
    }

    /// Live instances that have the newest configuration, if it is newer than `version`. Only
    /// those of this failure domain are returned if there are enough, as traffic between domains
    /// is paid for.
    #[must_use]
    pub fn with_newer_config(&self, now: Time, version: u64, domain: &id::Domain) -> Vec<&Profile> {
        let profiles = self.active(now).map(|peer| &peer.profile);
        let newest = profiles.clone().map(|profile| profile.version).max();
        let Some(newest) = newest.filter(|newest| *newest > version) else {
            return Vec::new();
        };
        let ahead: Vec<&Profile> = profiles
            .filter(|profile| profile.version == newest)
            .collect();
        let local = ahead.iter().filter(|profile| profile.domain == *domain);
        let local: Vec<&Profile> = local.copied().collect();
        if local.len() < MIN_LOCAL_SOURCES {
            ahead
        } else {
            local
        }
    }

    /// Members that share the rates and how many of them are alive, this instance included.
    #[must_use]
    pub fn coverage(&self, now: Time) -> Coverage {
        let (members, reporting) = match self.role {
            // Active instances deduct what one on standby grants, which is little.
            Role::Standby => (0, 0),
            Role::Active if self.is_divided(now) => {
                let mesh = self.mesh(now);
                let heard = mesh.clone().filter(|peer| self.is_heard(now, peer));
                (mesh.count(), heard.count())
            }
            Role::Active => {
                let heard = self.peers.iter().filter(|peer| self.is_heard(now, peer));
                (self.peers.len(), heard.count())
            }
        };
        Coverage {
            members: members as u32 + 1,
            reporting: reporting as u32 + 1,
        }
    }

    /// Number of instances that share the budgets of the fleet, this one included.
    #[must_use]
    pub fn sharers(&self, now: Time) -> u32 {
        match self.role {
            Role::Standby => self.active(now).count() as u32 + 1,
            Role::Active => self.coverage(now).members,
        }
    }

    /// Addresses for a caller in `domain`; `own` is that of this instance if it accepts callers.
    ///
    /// Only those of the caller's domain are returned if there are two or more: traffic between
    /// domains is paid for, and a single address would leave no alternative when it is lost.
    #[must_use]
    pub fn front_addresses(
        &self,
        now: Time,
        domain: &str,
        own: Option<(SocketAddr, &str)>,
    ) -> Vec<SocketAddr> {
        let ready = self.active(now).filter(|peer| peer.profile.ready);
        let mut all: Vec<(SocketAddr, &str)> = ready
            .map(|peer| (peer.profile.front, peer.profile.domain.as_str()))
            .collect();
        all.extend(own);
        if all.is_empty() {
            // This instance is cut off and stopping: the last known addresses are better than none.
            let known = self.peers.iter().map(|peer| peer.profile.front);
            return known.take(MAX_FRONT_ADDRESSES).collect();
        }
        let local: Vec<SocketAddr> = all
            .iter()
            .filter(|(_, have)| *have == domain)
            .map(|(address, _)| *address)
            .collect();
        if local.len() > 1 {
            return local.into_iter().take(MAX_FRONT_ADDRESSES).collect();
        }
        all.into_iter()
            .map(|(address, _)| address)
            .take(MAX_FRONT_ADDRESSES)
            .collect()
    }

    /// Time since 1970 by the median of the clocks of all live instances, this one included.
    ///
    /// Wrong clocks on a minority of the instances have no effect.
    #[must_use]
    pub fn true_time(&self, now: Time, clock: Duration) -> Duration {
        let running = now.since(Time::START);
        let mut skews: Vec<Duration> = self
            .peers
            .iter()
            .filter(|peer| self.is_heard(now, peer))
            .map(|peer| peer.skew)
            .collect();
        skews.push(clock.saturating_sub(running));
        skews.sort_unstable();
        skews[skews.len() / 2] + running
    }

    /// Number of active instances that are alive and ready and whose names precede this one's.
    #[must_use]
    pub fn rank(&self, now: Time) -> usize {
        let before = self
            .active(now)
            .filter(|peer| peer.profile.ready && peer.profile.name < self.me);
        before.count()
    }

    pub(super) fn active(&self, now: Time) -> impl Iterator<Item = &Peer> + Clone {
        self.peers
            .iter()
            .filter(move |peer| peer.is_active() && self.is_alive(now, peer))
    }

    /// Whether an instance was heard recently, or an active instance has heard it.
    pub(super) fn is_alive(&self, now: Time, peer: &Peer) -> bool {
        let vouched = peer.vouched;
        self.is_heard(now, peer) || vouched.is_some_and(|at| now.since(at) <= self.digest_timeout())
    }

    /// Whether a heartbeat of an instance arrived recently.
    pub(super) fn is_heard(&self, now: Time, peer: &Peer) -> bool {
        let timeout = match (peer.status.role, self.role) {
            (Role::Standby, _) => self
                .settings
                .standby_interval
                .mul_f64(MAX_STANDBY_INTERVALS),
            (Role::Active, Role::Standby) => self.digest_timeout(),
            (Role::Active, Role::Active) => self.active_timeout(now),
        };
        peer.last_seen
            .is_some_and(|last_seen| now.since(last_seen) <= timeout)
    }

    /// How long an active instance that exchanges its state with this one may be silent.
    pub(super) fn active_timeout(&self, now: Time) -> Duration {
        // In a fleet so large that heartbeats are rarer, three of them have to be missed.
        let rounds = batch::count(self.mesh_size(now), MAX_HEARTBEATS_PER_BATCH) as u32;
        self.settings
            .silence_timeout
            .max(self.settings.heartbeat_interval * rounds * 3)
    }

    /// How long an instance counts as alive after a digest.
    fn digest_timeout(&self) -> Duration {
        self.settings.standby_interval.mul_f64(MAX_DIGEST_INTERVALS)
    }

    pub(super) fn index(&self, name: &id::Instance) -> Result<usize, usize> {
        self.peers
            .binary_search_by(|peer| peer.profile.name.cmp(name))
    }
}

/// Number of the first batch of heartbeats that an instance sends.
///
/// All instances start at about the same time and sort their targets alike. If they also began with
/// the same batch, each would be sent the heartbeats of all others at once: 77 of 2.5 kB take
/// 0.15 s of a 10 Mbit/s link, and some were lost.
#[must_use]
pub fn first_batch(name: &id::Instance) -> usize {
    xxh3_64(name.as_str().as_bytes()) as usize % MAX_FIRST_BATCH
}

/// Upper bound of the first batch, above the number of batches of any fleet.
const MAX_FIRST_BATCH: usize = 1 << 16;
/// Number of instances of a failure domain with the newest configuration from which on the others
/// of the domain ask only these.
const MIN_LOCAL_SOURCES: usize = 3;
/// Intervals for which an instance counts as alive after an active instance has reported so: each
/// of its contacts sends a digest in an interval.
pub const MAX_DIGEST_INTERVALS: f64 = 1.25;
/// Intervals for which an instance on standby may be silent.
const MAX_STANDBY_INTERVALS: f64 = 3.5;
/// Bounds the addresses in one answer.
const MAX_FRONT_ADDRESSES: usize = 64;
