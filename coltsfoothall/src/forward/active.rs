//! The division of a large fleet into active instances and those on standby, as one instance sees
//! it.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::batch;
use crate::clock::Time;
use crate::forward::peer::{MAX_HEARTBEATS_PER_BATCH, Peer, Peers, Profile, Status};
use crate::forward::role::{self, CONTACTS, Candidate, MAX_ACTIVE_FLEET, Role};
use crate::id;
use crate::size::Megabits;

/// How long an instance on standby waits for a digest before it reads the members itself.
const DIGEST_TIMEOUT: Duration = Duration::from_secs(3);
/// How long an active instance that is not selected stays active: others may not have selected
/// their new ones yet, and callers keep its address for a while.
const SPARE_PERIOD: Duration = Duration::from_secs(6);
/// How long an instance that was selected and did not report is left out of the selection.
const FAILED_PERIOD: Duration = Duration::from_secs(6);
/// How long an active instance that is silent is sent heartbeats, and counts as one that may grant
/// units.
const MESH_RETENTION: Duration = Duration::from_secs(10);
/// How long the whole fleet stays active after the last heartbeat of an instance that knows no
/// roles.
const LEGACY_PERIOD: Duration = Duration::from_secs(10);

/// Weight of the newest figure in the moving average of an instance's requests a second.
const RATE_WEIGHT: f64 = 0.1;
/// Time between two selections of the active instances.
const SELECTION_INTERVAL: Duration = Duration::from_millis(400);
/// Turns between two heartbeats of an instance on standby that knows no active instance of its
/// failure domain.
const SEARCH_TURNS: usize = 3;
/// Turns between two heartbeats to the seeds.
const SEED_TURNS: usize = 5;

/// What an instance knows of itself when it selects the active ones.
#[derive(Debug, Clone, Copy)]
pub struct Own<'a> {
    /// Its failure domain.
    pub domain: &'a id::Domain,
    /// Capacity of its link.
    pub link: Megabits,
    /// Requests a second that it serves.
    pub rate: f64,
    /// Whether it must stay active, because it is the leader.
    pub leads: bool,
}

/// The active instances, as told to those on standby.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Active instances that were heard recently.
    pub active: Vec<Profile>,
    /// Instances that are to become active.
    pub selected: Vec<id::Instance>,
}

/// Recipients of one turn.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Turn {
    /// Those that are sent a heartbeat.
    pub heartbeats: Vec<SocketAddr>,
    /// Those that are sent a digest.
    pub digests: Vec<SocketAddr>,
}

impl Peers {
    /// What this instance does.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// Records what an instance reports beside its profile; none if it knows no roles.
    pub fn record_status(&mut self, now: Time, name: &id::Instance, status: Option<Status>) {
        if status.is_none() {
            self.legacy = Some(now);
        }
        let Ok(index) = self.index(name) else {
            return;
        };
        let peer = &mut self.peers[index];
        let status = status.unwrap_or_default();
        let more = status.requests.saturating_sub(peer.status.requests);
        if let Some(before) = peer.status_at.replace(now)
            && before < now
        {
            let rate = more as f64 / now.since(before).as_secs_f64();
            peer.rate += RATE_WEIGHT * (rate - peer.rate);
        }
        peer.status = status;
        peer.failed = None;
    }

    /// Records the digest of an active instance.
    pub fn record_digest(&mut self, now: Time, digest: Digest) {
        let mut named = digest.selected.contains(&self.me);
        for profile in digest.active {
            if profile.name == self.me {
                named = true;
                continue;
            }
            let index = match self.index(&profile.name) {
                Ok(index) => index,
                Err(index) => {
                    self.peers.insert(index, Peer::new(profile.clone(), now));
                    index
                }
            };
            let peer = &mut self.peers[index];
            if peer.last_seen.is_none() {
                peer.profile = profile;
            }
            peer.status.role = Role::Active;
            peer.vouched = Some(now);
        }
        self.digest = Some((now, named));
    }

    /// Decides what this instance does, and selects the active instances if it is one of them.
    /// Returns its role if that has changed.
    pub fn update(&mut self, now: Time, own: Own<'_>) -> Option<Role> {
        let role = match self.role {
            Role::Standby => self.role_on_standby(now),
            Role::Active => self.role_while_active(now, own),
        };
        if role == self.role {
            return None;
        }
        self.role = role;
        self.spare_since = None;
        if role == Role::Standby {
            // The time until the first digest counts as well.
            self.digest = Some((now, false));
            self.selection = None;
            self.mesh = 0;
            self.peers.retain(|peer| peer.selected.is_some());
            for peer in &mut self.peers {
                peer.registered = false;
                peer.selected = None;
                // Until the first digest the selected ones count as alive.
                peer.vouched = Some(now);
            }
        }
        Some(role)
    }

    fn role_on_standby(&self, now: Time) -> Role {
        match self.digest {
            Some((at, false)) if now.since(at) <= DIGEST_TIMEOUT => Role::Standby,
            Some(_) | None => Role::Active,
        }
    }

    fn role_while_active(&mut self, now: Time, own: Own<'_>) -> Role {
        if !self.is_divided(now) {
            self.spare_since = None;
            return Role::Active;
        }
        let is_due = |at: Time| now.since(at) >= SELECTION_INTERVAL;
        if self.selection.is_none_or(|(at, _)| is_due(at)) {
            self.selection = Some((now, self.select(now, own)));
        }
        let is_selected = self.selection.is_some_and(|(_, selected)| selected);
        if is_selected || own.leads {
            self.spare_since = None;
            return Role::Active;
        }
        let since = *self.spare_since.get_or_insert(now);
        let period = if own.rate > 0.0 {
            SPARE_PERIOD
        } else if std::mem::replace(&mut self.was_spare, true) {
            self.settings.silence_timeout
        } else {
            // It has just started, and nobody takes it for active.
            Duration::ZERO
        };
        if now.since(since) < period {
            Role::Active
        } else {
            Role::Standby
        }
    }

    /// Whether the fleet is so large that only some of its members are active.
    #[must_use]
    pub fn is_divided(&self, now: Time) -> bool {
        let is_legacy = self
            .legacy
            .is_some_and(|heard| now.since(heard) <= LEGACY_PERIOD);
        match self.role {
            Role::Standby => true,
            Role::Active => !is_legacy && self.peers.len() >= MAX_ACTIVE_FLEET,
        }
    }

    /// Selects the active instances of all failure domains. Returns whether this one is among them.
    fn select(&mut self, now: Time, own: Own<'_>) -> bool {
        self.record_failures(now);
        let mut domains: Vec<id::Domain> = self
            .peers
            .iter()
            .map(|peer| peer.profile.domain.clone())
            .collect();
        domains.push(own.domain.clone());
        domains.sort_unstable();
        domains.dedup();
        let mut selected = Vec::new();
        for domain in &domains {
            selected.extend(self.select_in(now, domain, own));
        }
        selected.sort_unstable();
        for peer in &mut self.peers {
            if selected.binary_search(&peer.profile.name).is_ok() {
                peer.selected.get_or_insert(now);
            } else {
                peer.selected = None;
            }
        }
        self.mesh = self.mesh(now).count();
        selected.binary_search(&self.me).is_ok()
    }

    fn select_in(&self, now: Time, domain: &id::Domain, own: Own<'_>) -> Vec<id::Instance> {
        let local = self.peers.iter().filter(|peer| {
            peer.profile.domain == *domain
                && peer.failed.is_none()
                && (peer.registered || (peer.profile.ready && self.is_alive(now, peer)))
        });
        let mut rate: f64 = local.clone().map(|peer| peer.rate).sum();
        let mut candidates: Vec<Candidate<'_>> = local
            .map(|peer| Candidate {
                name: &peer.profile.name,
                link: peer.profile.link,
            })
            .collect();
        if domain == own.domain {
            rate += own.rate;
            candidates.push(Candidate {
                name: &self.me,
                link: own.link,
            });
        }
        let count = role::select(&mut candidates, rate);
        candidates[..count]
            .iter()
            .map(|candidate| candidate.name.clone())
            .collect()
    }

    /// Leaves out instances that were selected and did not report in time.
    fn record_failures(&mut self, now: Time) {
        let timeout = self.active_timeout(now);
        for peer in &mut self.peers {
            if peer.failed.is_some_and(|at| now.since(at) > FAILED_PERIOD) {
                peer.failed = None;
                peer.selected = None;
            }
            let expected = peer.selected.max(peer.last_seen);
            if peer.selected.is_some() && expected.is_some_and(|at| now.since(at) > timeout) {
                peer.failed.get_or_insert(now);
            }
        }
    }

    /// Addresses of the instances that an active instance exchanges its state with.
    #[must_use]
    pub fn targets(&self, now: Time) -> Vec<SocketAddr> {
        if !self.is_divided(now) {
            return self.addresses();
        }
        self.mesh(now).map(|peer| peer.profile.peer).collect()
    }

    /// The instances that exchange their state with the active ones of a divided fleet.
    pub(super) fn mesh(&self, now: Time) -> impl Iterator<Item = &Peer> + Clone {
        let was_active = move |peer: &Peer| {
            peer.is_active()
                && peer
                    .last_seen
                    .is_some_and(|at| now.since(at) <= MESH_RETENTION)
        };
        let peers = self.peers.iter();
        peers.filter(move |peer| peer.selected.is_some() || was_active(peer))
    }

    /// Number of instances that an active instance exchanges its state with.
    pub(super) fn mesh_size(&self, now: Time) -> usize {
        if self.is_divided(now) {
            self.mesh
        } else {
            self.peers.len()
        }
    }

    /// Active instances that an instance of `domain` on standby reports to: those of its failure
    /// domain, or others while none of these is alive. `number` is that of the turn.
    #[must_use]
    pub fn contacts(&self, now: Time, domain: &id::Domain, number: usize) -> Vec<&Profile> {
        let mut active = self.same_domain(now, domain);
        let mut seed = 0;
        if active.is_empty() {
            // Others each time, as these may be lost as well.
            seed = number as u64;
            let known = self.peers.iter().filter(|peer| {
                peer.profile.domain != *domain
                    && peer
                        .vouched
                        .is_some_and(|at| now.since(at) <= MESH_RETENTION)
            });
            active = known.map(|peer| &peer.profile).collect();
        }
        let me = xxh3_64_with_seed(self.me.as_str().as_bytes(), seed);
        active.sort_by_key(|profile| xxh3_64_with_seed(profile.name.as_str().as_bytes(), me));
        active.truncate(CONTACTS);
        active
    }

    /// Whether this instance of `domain` is on standby and knows no active instance there. It is
    /// sent a digest at once by those that it reports to.
    #[must_use]
    pub fn is_searching(&self, now: Time, domain: &id::Domain) -> bool {
        self.role == Role::Standby && self.same_domain(now, domain).is_empty()
    }

    /// Addresses of the instances on standby that report to this one.
    #[must_use]
    pub fn standbys(&self, now: Time) -> Vec<SocketAddr> {
        let standbys = self
            .peers
            .iter()
            .filter(|peer| !peer.is_active() && self.is_alive(now, peer));
        standbys.map(|peer| peer.profile.peer).collect()
    }

    /// Whom this instance of `domain` sends heartbeats and digests in a turn.
    ///
    /// Seeds are sent heartbeats now and then, so that instances which know nobody find each other
    /// while the store is away.
    #[must_use]
    pub fn turn(
        &self,
        now: Time,
        domain: &id::Domain,
        seeds: &[SocketAddr],
        number: usize,
    ) -> Turn {
        let interval = self.settings.heartbeat_interval;
        let turns = (self.settings.standby_interval.as_millis() / interval.as_millis()) as usize;
        match self.role {
            Role::Active => {
                let mut targets = self.targets(now);
                targets.sort_unstable();
                let mut heartbeats = batch::select(&targets, MAX_HEARTBEATS_PER_BATCH, number);
                if targets.len() < MAX_HEARTBEATS_PER_BATCH || number.is_multiple_of(SEED_TURNS) {
                    heartbeats.extend(seeds);
                    heartbeats.sort_unstable();
                    heartbeats.dedup();
                }
                let standbys = self.standbys(now);
                let digests = batch::select(&standbys, standbys.len().div_ceil(turns), number);
                Turn {
                    heartbeats,
                    digests,
                }
            }
            Role::Standby
                if number.is_multiple_of(turns)
                    || (number.is_multiple_of(SEARCH_TURNS) && self.is_searching(now, domain)) =>
            {
                let contacts = self.contacts(now, domain, number);
                let contacts: Vec<SocketAddr> =
                    contacts.iter().map(|profile| profile.peer).collect();
                Turn {
                    heartbeats: if contacts.is_empty() {
                        seeds.to_vec()
                    } else {
                        contacts
                    },
                    digests: Vec::new(),
                }
            }
            Role::Standby => Turn::default(),
        }
    }

    /// What an active instance with the profile `own` tells those on standby.
    #[must_use]
    pub fn digest(&self, now: Time, own: Profile) -> Digest {
        let mesh = self.mesh(now);
        let (heard, silent): (Vec<&Peer>, Vec<&Peer>) =
            mesh.partition(|peer| peer.is_active() && self.is_heard(now, peer));
        let mut active: Vec<Profile> = heard.iter().map(|peer| peer.profile.clone()).collect();
        active.push(own);
        let selected = silent.iter().filter(|peer| peer.selected.is_some());
        Digest {
            active,
            selected: selected.map(|peer| peer.profile.name.clone()).collect(),
        }
    }
}
