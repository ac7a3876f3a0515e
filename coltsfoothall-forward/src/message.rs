//! Datagrams between instances.
//!
//! Instances of different versions exchange them while a fleet is upgraded. A datagram begins with
//! the heartbeat that all versions know; what later versions add follows it, where older ones do
//! not look.

use coltsfoothall::forward::active::Digest;
use coltsfoothall::forward::crash;
use coltsfoothall::forward::demand;
use coltsfoothall::forward::gossip::Count as Counted;
use coltsfoothall::forward::history::Era;
use coltsfoothall::forward::limit;
use coltsfoothall::forward::node::Load;
use coltsfoothall::forward::peer::{Profile, Status};
use coltsfoothall::forward::rate_limit::Total;
use coltsfoothall::forward::roster::Ended;
use coltsfoothall::forward::stream;
use coltsfoothall::forward::upgrade::{self, Order};
use coltsfoothall::forward::usage::Count;
use coltsfoothall::id;
use coltsfoothall::size::Millis;
use coltsfoothall::suspicion::Evidence;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::relays::Relayed;

/// A heartbeat, with the state of its sender.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub profile: Profile,
    /// Some other active instances.
    pub introduced: Vec<Profile>,
    /// Load of the sender at endpoints where it has open requests.
    pub loads: Vec<Counted<Load>>,
    /// Units that it granted to each workspace.
    pub spent: Vec<Total>,
    /// Runs that it started, by window and workspace.
    pub counts: Vec<Count>,
    /// Endpoints that departed.
    pub ended: Vec<Ended>,
    /// Microseconds of endpoints' time that its requests took.
    pub work: Vec<(id::Service, u64)>,
    /// Failures of endpoints.
    pub failed: Vec<Counted<u32>>,
    /// Shared prompt prefixes that it sent to endpoints.
    pub placed: Vec<Counted<u64>>,
    /// Evidence about requests that crash endpoints.
    pub evidence: Vec<Evidence>,
    /// The newest era of the store.
    #[serde(default)]
    pub era: Option<Era>,
    /// The last usage window that was reported to the platform.
    #[serde(default)]
    pub reported: Option<u64>,
    /// Services that are being upgraded to another version.
    #[serde(default)]
    pub upgrades: Vec<upgrade::Status>,
}

/// What newer versions of the program add to a heartbeat. It follows the heartbeat in the datagram,
/// where older versions do not look.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Extension {
    /// Units refused to workspaces that ask for more than their rate.
    pub refused: Vec<Total>,
    /// Whether the totals of the heartbeat are all that are not zero.
    pub complete: bool,
    /// What the sender does.
    pub status: Status,
    /// The active instances, for those on standby.
    pub digest: Option<Digest>,
    /// Orders to upgrade services, for those on standby.
    pub orders: Vec<Order>,
    /// The recipient that forwards the totals of the sender, which is on standby.
    pub relay: Option<id::Instance>,
    /// Totals of instances on standby, forwarded by the sender.
    pub relayed: Vec<Relayed>,
}

/// What versions after those that send an [`Extension`] add. It follows the extension.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Supplement {
    /// Limits that endpoints name.
    pub limits: Vec<Counted<limit::Report>>,
}

/// What versions after those that send a [`Supplement`] add about endpoints. It follows the
/// supplement.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Reach {
    /// Services of which the sender reaches no endpoint, sorted.
    pub lost: Vec<id::Service>,
    /// Rejections that brittle endpoints stand.
    pub brittle: Vec<Counted<limit::Report>>,
}

/// What versions after those that send a [`Reach`] add about streams. It follows the reach.
pub type Streams = stream::Report;

/// What versions after those that report crashes add about endpoints. It follows the crashes.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Departures {
    /// Endpoints whose answers say that they are leaving, and the time since the first that did.
    pub leaving: Vec<Counted<Millis>>,
}

/// What versions after those that report departures add about refused requests. It follows the
/// departures.
pub type Demand = demand::Report;

/// A datagram between instances.
#[derive(Debug, Clone)]
pub struct Message {
    /// What all versions send.
    pub heartbeat: Heartbeat,
    /// Absent from instances of an older version.
    pub extension: Option<Extension>,
    /// Absent from instances of an older version.
    pub supplement: Option<Supplement>,
    /// Absent from instances of an older version.
    pub reach: Option<Reach>,
    /// Absent from instances of an older version.
    pub streams: Option<Streams>,
    /// Absent from instances of an older version.
    pub crashes: Option<crash::Report>,
    /// Absent from instances of an older version.
    pub departures: Option<Departures>,
    /// Absent from instances of an older version.
    pub demand: Option<Demand>,
}

impl Message {
    /// Encodes a datagram.
    ///
    /// # Errors
    /// The message cannot be serialized, which its types rule out.
    pub fn encode(&self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        let mut bytes = rmp_serde::to_vec(&self.heartbeat)?;
        if let Some(extension) = &self.extension {
            bytes.extend(rmp_serde::to_vec(extension)?);
            if let Some(supplement) = &self.supplement {
                bytes.extend(rmp_serde::to_vec(supplement)?);
                if let Some(reach) = &self.reach {
                    bytes.extend(rmp_serde::to_vec(reach)?);
                    if let Some(streams) = &self.streams {
                        bytes.extend(rmp_serde::to_vec(streams)?);
                        if let Some(crashes) = &self.crashes {
                            bytes.extend(rmp_serde::to_vec(crashes)?);
                            if let Some(departures) = &self.departures {
                                bytes.extend(rmp_serde::to_vec(departures)?);
                                if let Some(demand) = &self.demand {
                                    bytes.extend(rmp_serde::to_vec(demand)?);
                                }
                            }
                        }
                    }
                }
            }
        }
        Ok(bytes)
    }

    /// Decodes a datagram of any version. What follows its known parts is of a later one.
    ///
    /// # Errors
    /// The datagram is no heartbeat.
    pub fn decode(bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        let mut rest = bytes;
        let heartbeat = rmp_serde::from_read(&mut rest)?;
        let extension = next(&mut rest)?;
        let supplement = next(&mut rest)?;
        let reach = next(&mut rest)?;
        let streams = next(&mut rest)?;
        let crashes = next(&mut rest)?;
        let departures = next(&mut rest)?;
        let demand = next(&mut rest)?;
        Ok(Self {
            demand,
            departures,
            crashes,
            reach,
            streams,
            heartbeat,
            extension,
            supplement,
        })
    }
}

/// Decodes the next part of a datagram, if there is one.
fn next<T: DeserializeOwned>(rest: &mut &[u8]) -> Result<Option<T>, rmp_serde::decode::Error> {
    if rest.is_empty() {
        return Ok(None);
    }
    rmp_serde::from_read(rest).map(Some)
}
