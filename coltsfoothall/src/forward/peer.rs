//! Entry instances that are heard, and the true time by their clocks.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::batch;
use crate::clock::Time;
use crate::forward::rate_limit::Coverage;
use crate::id;
use crate::size::Megabits;

/// Most heartbeats that one instance sends at once. 64 of 1.4 kB each overran the queue
/// of a link of 10 Mbit/s: those sent last, always the same, were lost, and half of a
/// fleet of 64 did not hear each other.
pub const MAX_HEARTBEATS_PER_BATCH: usize = 16;

/// Bounds of what is believed of other instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Time between two turns.
    pub turn: Duration,
    /// An instance not heard for so long is left out of addresses: ten heartbeats in a
    /// small fleet.
    pub silent: Duration,
    /// An instance not heard for so long, and not registered, is forgotten.
    pub forget: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            turn: Duration::from_millis(100),
            silent: Duration::from_millis(1_200),
            forget: Duration::from_secs(4),
        }
    }
}

/// An instance as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// Its name.
    pub name: id::Instance,
    /// Number of its boot, drawn at random.
    pub boot: u64,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Where callers reach it.
    pub front: SocketAddr,
    /// Where other instances reach it.
    pub peer: SocketAddr,
    /// Whether it takes callers.
    pub ready: bool,
    /// Version of its configuration.
    pub version: u64,
    /// Its time of day, since 1970.
    pub clock: Duration,
    /// What its link carries; zero where it does not say.
    #[serde(default)]
    pub link: Megabits,
}

#[derive(Debug, Clone)]
struct Peer {
    profile: Profile,
    /// When it was first told of.
    since: Time,
    heard: Option<Time>,
    /// Its time of day less this instance's running time.
    skew: Duration,
    registered: bool,
}

/// The other entry instances.
#[derive(Debug, Clone)]
pub struct Peers {
    settings: Settings,
    me: id::Instance,
    /// Sorted by name.
    peers: Vec<Peer>,
}

impl Peers {
    /// No other instance known yet.
    #[must_use]
    pub fn new(me: id::Instance, settings: Settings) -> Self {
        Self {
            settings,
            me,
            peers: Vec::new(),
        }
    }

    /// An instance was heard. Returns the boot that it replaces, if it started anew.
    pub fn heard(&mut self, now: Time, profile: Profile) -> Option<u64> {
        if profile.name == self.me {
            return None;
        }
        let skew = profile.clock.saturating_sub(now.since(Time::START));
        match self.place(&profile.name) {
            Ok(place) => {
                let peer = &mut self.peers[place];
                let old = peer.profile.boot;
                let new = profile.boot;
                peer.profile = profile;
                peer.heard = Some(now);
                peer.skew = skew;
                (old != new).then_some(old)
            }
            Err(place) => {
                let peer = Peer {
                    profile,
                    since: now,
                    heard: Some(now),
                    skew,
                    registered: false,
                };
                self.peers.insert(place, peer);
                None
            }
        }
    }

    /// Another instance told of one; it is told heartbeats, and counts once it is heard.
    pub fn introduced(&mut self, now: Time, profile: Profile) {
        if profile.name == self.me {
            return;
        }
        if let Err(place) = self.place(&profile.name) {
            let peer = Peer {
                profile,
                since: now,
                heard: None,
                skew: Duration::ZERO,
                registered: false,
            };
            self.peers.insert(place, peer);
        }
    }

    /// An instance is registered at the store; it counts as a member until it is withdrawn.
    pub fn registered(&mut self, profile: Profile) {
        if profile.name == self.me {
            return;
        }
        match self.place(&profile.name) {
            Ok(place) => {
                let peer = &mut self.peers[place];
                peer.registered = true;
                if peer.heard.is_none() {
                    peer.profile = profile;
                }
            }
            Err(place) => {
                let peer = Peer {
                    profile,
                    since: Time::START,
                    heard: None,
                    skew: Duration::ZERO,
                    registered: true,
                };
                self.peers.insert(place, peer);
            }
        }
    }

    /// An instance's registration is gone.
    pub fn withdrawn(&mut self, name: &id::Instance) {
        if let Ok(place) = self.place(name) {
            self.peers[place].registered = false;
        }
    }

    /// Forgets who is neither registered nor heard. Returns their boots.
    pub fn expire(&mut self, now: Time) -> Vec<u64> {
        let forget = self.settings.forget;
        let lost = |peer: &Peer| {
            let last = peer.heard.unwrap_or(peer.since);
            now.since(last) > forget && !peer.registered
        };
        let boots = self.peers.iter().filter(|peer| lost(peer));
        let boots = boots.map(|peer| peer.profile.boot).collect();
        self.peers.retain(|peer| !lost(peer));
        boots
    }

    /// Boots of those that are silent now, whose open requests no longer count.
    #[must_use]
    pub fn silent(&self, now: Time) -> Vec<u64> {
        let silent = self.peers.iter().filter(|peer| !self.is_heard(now, peer));
        silent.map(|peer| peer.profile.boot).collect()
    }

    /// Where heartbeats go.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.iter().map(|peer| peer.profile.peer).collect()
    }

    /// Profiles that are told on to others: those heard lately.
    #[must_use]
    pub fn profiles(&self, now: Time) -> Vec<&Profile> {
        let heard = self.peers.iter().filter(|peer| self.is_heard(now, peer));
        heard.map(|peer| &peer.profile).collect()
    }

    /// Those of a failure domain that are heard and take callers.
    #[must_use]
    pub fn near(&self, now: Time, domain: &id::Domain) -> Vec<&Profile> {
        let near = self.peers.iter().filter(|peer| {
            peer.profile.ready && peer.profile.domain == *domain && self.is_heard(now, peer)
        });
        near.map(|peer| &peer.profile).collect()
    }

    /// The heard instances with the newest configuration above `version`: those of this failure
    /// domain where there are some, as bytes between domains are paid for.
    #[must_use]
    pub fn ahead(&self, now: Time, version: u64, domain: &id::Domain) -> Vec<&Profile> {
        let heard = self.peers.iter().filter(|peer| self.is_heard(now, peer));
        let profiles = heard.map(|peer| &peer.profile);
        let newest = profiles.clone().map(|profile| profile.version).max();
        let Some(newest) = newest.filter(|newest| *newest > version) else {
            return Vec::new();
        };
        let ahead: Vec<&Profile> = profiles
            .filter(|profile| profile.version == newest)
            .collect();
        let near = ahead.iter().filter(|profile| profile.domain == *domain);
        let near: Vec<&Profile> = near.copied().collect();
        if near.len() < ENOUGH { ahead } else { near }
    }

    /// Members that share the rates, and those heard, this instance included.
    #[must_use]
    pub fn coverage(&self, now: Time) -> Coverage {
        let heard = self.peers.iter().filter(|peer| self.is_heard(now, peer));
        Coverage {
            members: self.peers.len() as u32 + 1,
            heard: heard.count() as u32 + 1,
        }
    }

    /// Addresses for a caller in `domain`; `own` is this instance's, where it takes callers.
    ///
    /// Those of the caller's domain come alone where there are two or more: bytes between
    /// domains are paid for, and one alone would leave nothing to go to when it is lost.
    #[must_use]
    pub fn fronts(
        &self,
        now: Time,
        domain: &str,
        own: Option<(SocketAddr, &str)>,
    ) -> Vec<SocketAddr> {
        let ready = self
            .peers
            .iter()
            .filter(|peer| peer.profile.ready && self.is_heard(now, peer));
        let mut all: Vec<(SocketAddr, &str)> = ready
            .map(|peer| (peer.profile.front, peer.profile.domain.as_str()))
            .collect();
        all.extend(own);
        if all.is_empty() {
            // Cut off and stopping: whoever was last known is better than nobody.
            let known = self.peers.iter().map(|peer| peer.profile.front);
            return known.take(FRONTS).collect();
        }
        let near: Vec<SocketAddr> = all
            .iter()
            .filter(|(_, have)| *have == domain)
            .map(|(address, _)| *address)
            .collect();
        if near.len() > 1 {
            return near.into_iter().take(FRONTS).collect();
        }
        all.into_iter()
            .map(|(address, _)| address)
            .take(FRONTS)
            .collect()
    }

    /// Time since 1970 by the median of all clocks that are heard, this one included.
    ///
    /// A clock that was set wrong on a minority of instances changes nothing.
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

    /// Whether this instance's name comes before those of all others that are heard and ready.
    #[must_use]
    pub fn rank(&self, now: Time) -> usize {
        let before = self.peers.iter().filter(|peer| {
            peer.profile.ready && self.is_heard(now, peer) && peer.profile.name < self.me
        });
        before.count()
    }

    fn is_heard(&self, now: Time, peer: &Peer) -> bool {
        // Three heartbeats, where the fleet is so large that they come less often.
        let turns = batch::count(self.peers.len(), MAX_HEARTBEATS_PER_BATCH) as u32;
        let silent = self.settings.silent.max(self.settings.turn * turns * 3);
        peer.heard.is_some_and(|heard| now.since(heard) <= silent)
    }

    fn place(&self, name: &id::Instance) -> Result<usize, usize> {
        self.peers
            .binary_search_by(|peer| peer.profile.name.cmp(name))
    }
}

/// Instances of a failure domain that have a configuration, from which on the others of the
/// domain ask these alone.
const ENOUGH: usize = 3;
/// Most addresses that one answer holds.
const FRONTS: usize = 64;
