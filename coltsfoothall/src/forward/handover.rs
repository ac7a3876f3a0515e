//! Requests that an instance hands to another one, as it reaches no endpoint that could run them.
//!
//! A request is handed over at most once: the recipient runs it at an endpoint or refuses it. The
//! sender has charged it to its workspace; the recipient counts its runs and retries.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;

use crate::clock::Time;
use crate::forward::peer::{Peer, Peers, Profile};
use crate::forward::version::Label;
use crate::id;

quick_error! {
    /// Terms that cannot be parsed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// Not the form in which terms are written.
        Form(text: String) {
            display("{text:?} is not \"ATTEMPTS counted\" or \"ATTEMPTS new\", nor one of them and \"=VERSION\"")
        }
    }
}

/// What the recipient of a request has to keep to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Terms {
    /// Number of times that the request may still run.
    pub attempts: u32,
    /// Whether the sender has counted its first attempt towards the retry budget.
    pub counted: bool,
    /// The only version that may run it, if the sender knows one.
    pub version: Option<Label>,
}

impl fmt::Display for Terms {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = if self.counted { "counted" } else { "new" };
        write!(f, "{} {state}", self.attempts)?;
        match &self.version {
            Some(version) => write!(f, " {}", write_label(version)),
            None => Ok(()),
        }
    }
}

/// Writes a version as `=VERSION`, and `=` for that of endpoints that report none.
#[must_use]
pub fn write_label(version: &Label) -> String {
    version
        .as_ref()
        .map_or_else(|| "=".into(), |version| format!("={version}"))
}

/// Parses what [`write_label`] writes.
#[must_use]
pub fn parse_label(text: &str) -> Option<Label> {
    match text.strip_prefix('=')? {
        "" => Some(None),
        version => version.parse().ok().map(Some),
    }
}

impl FromStr for Terms {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let form = || Error::Form(text.into());
        let mut parts = text.split(' ');
        let attempts = parts.next().ok_or_else(form)?;
        let counted = match parts.next() {
            Some("counted") => true,
            Some("new") => false,
            Some(_) | None => return Err(form()),
        };
        let version = parts
            .next()
            .map(|label| parse_label(label).ok_or_else(form));
        if parts.next().is_some() {
            return Err(form());
        }
        Ok(Self {
            attempts: attempts.parse().map_err(|_number| form())?,
            counted,
            version: version.transpose()?,
        })
    }
}

impl Peer {
    fn reaches(&self, service: &id::Service) -> bool {
        let lost = self.lost.as_ref();
        lost.is_some_and(|lost| lost.binary_search(service).is_err())
    }

    fn has_lost(&self, service: &id::Service) -> bool {
        let lost = self.lost.as_ref();
        lost.is_some_and(|lost| lost.binary_search(service).is_ok())
    }
}

impl Peers {
    /// Records the services that an instance reports as lost to it, sorted; none from an older
    /// version, which takes no requests of other instances.
    pub fn record_lost(&mut self, name: &id::Instance, lost: Option<Vec<id::Service>>) {
        if let Ok(index) = self.index(name) {
            self.peers[index].lost = lost;
        }
    }

    /// Instances that accept requests and reach a service, those in `exclude` left out.
    ///
    /// Only those of the failure domain are returned if they are as many as the instances of the
    /// domain that do not reach the service, this one included: traffic between domains is paid
    /// for, but a few instances cannot serve the callers of many.
    #[must_use]
    pub fn reaching(
        &self,
        now: Time,
        service: &id::Service,
        domain: &id::Domain,
        exclude: &[id::Instance],
    ) -> Vec<&Profile> {
        let is_local = |peer: &&Peer| peer.profile.domain == *domain;
        let able = self.active(now).filter(|peer| {
            peer.profile.ready && peer.reaches(service) && !exclude.contains(&peer.profile.name)
        });
        let local = able.clone().filter(is_local);
        let cut_off = self
            .active(now)
            .filter(is_local)
            .filter(|peer| peer.has_lost(service));
        if local.clone().count() > cut_off.count() {
            local.map(|peer| &peer.profile).collect()
        } else {
            able.map(|peer| &peer.profile).collect()
        }
    }
}
