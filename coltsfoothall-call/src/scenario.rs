//! What a policy is measured on: a user's shape, as a YAML file says it.

use std::fs;
use std::path::{Path, PathBuf};

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use coltsfoothall::catalog::Target;
use coltsfoothall::id;
use coltsfoothall::record::Class;
use coltsfoothall::size::{Millis, Price, Tokens};
use coltsfoothall_standin::batch;

quick_error! {
    /// A workload that cannot be taken.
    #[derive(Debug)]
    pub enum Error {
        /// The file cannot be read.
        Read(file: PathBuf, error: std::io::Error) {
            display("{}: reading failed: {error}", file.display())
            source(error)
        }
        /// The file is not a workload.
        Parse(file: PathBuf, error: Box<serde_saphyr::Error>) {
            display("{}: {error}", file.display())
            source(error)
        }
    }
}

/// A user's shape.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name for reports.
    pub name: String,
    /// The service that is measured.
    pub service: id::Service,
    /// Engines of today.
    pub engines: usize,
    /// Entry instances.
    pub entries: usize,
    /// Failure domains with the price of an instance there.
    pub domains: Vec<Domain>,
    /// Speed and size of an engine.
    pub engine: batch::Settings,
    /// Network and platform.
    pub platform: Platform,
    /// The latency target.
    pub target: Target,
    /// Part of the run that is left out of the latencies.
    pub warmup: Millis,
    /// Length of a run.
    pub length: Millis,
    /// Customers and what they ask.
    pub workspaces: Vec<Workspace>,
}

impl Scenario {
    /// Reads a workload file.
    ///
    /// # Errors
    /// Names the file, and the field where it is not a workload.
    pub fn read(file: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(file).map_err(|error| Error::Read(file.into(), error))?;
        let parsed = serde_saphyr::from_str(&text);
        parsed.map_err(|error| Error::Parse(file.into(), Box::new(error)))
    }
}

/// A failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// Its name.
    pub name: id::Domain,
    /// Price of an instance there.
    pub price: Price,
    /// Expected reclaims in a thousand hours.
    pub risk: u64,
}

/// Delays of the network and of what the platform tells.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// One way between a caller and an entry instance, in microseconds.
    pub client_us: u64,
    /// One way between failure domains, in microseconds.
    pub hop_us: u64,
    /// One way within a failure domain, in microseconds.
    pub near_us: u64,
    /// Time between two load reports of an engine.
    pub report_every: Millis,
    /// Age of a load report when it arrives.
    pub report_lag: Millis,
    /// Time between two deliveries of cache events.
    pub events_every: Millis,
    /// Age of cache events when they arrive.
    pub events_lag: Millis,
    /// Time from a reclaim notice to the end of the instance.
    pub notice: Millis,
    /// Latest time after which an entry instance has heard of a notice.
    pub heard: Millis,
    /// Time in which a replacement instance starts.
    pub start: Millis,
    /// Time for which starts are refused, where the condition says so.
    pub refused: Millis,
}

/// A customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Its name.
    pub name: id::Workspace,
    /// Weight of its share.
    pub share: u32,
    /// Whether it is one of the large ones.
    #[serde(default)]
    pub large: bool,
    /// What it asks.
    pub flows: Vec<Flow>,
}

/// Requests of one kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Flow {
    /// How urgent they are.
    pub class: Class,
    /// Requests a second.
    pub rate: f64,
    /// Prompt that all of them begin with.
    pub preamble: Tokens,
    /// Shortest and longest document, the lengths spread evenly by ratio.
    pub document: [u64; 2],
    /// Mean number of requests on one document.
    pub asks: f64,
    /// Mean time between two requests on one document.
    pub every: Millis,
    /// Documents that are asked about all the time.
    #[serde(default)]
    pub standing: usize,
    /// Part of the requests that are about those, in percent.
    #[serde(default)]
    pub standing_part: u32,
    /// Shortest and longest question at the end of the prompt.
    pub question: [u64; 2],
    /// Shortest and longest answer.
    pub answer: [u64; 2],
    /// Time in which the whole answer is of use.
    pub deadline: Millis,
}

/// What goes wrong in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// Nothing.
    Calm,
    /// 1.2 times the load.
    Busy,
    /// A failure domain is reclaimed, then a second one.
    Reclaim,
    /// Load reports lag two seconds more and a third of the cache events is lost.
    Stale,
    /// As [`Condition::Reclaim`], and starts are refused for long.
    Refused,
    /// The large workspaces send four times as much for the middle of the run.
    Flood,
    /// The large workspaces send nothing.
    Alone,
}

impl Condition {
    /// All conditions, in the order of the report.
    pub const ALL: [Self; 7] = [
        Self::Calm,
        Self::Busy,
        Self::Reclaim,
        Self::Stale,
        Self::Refused,
        Self::Flood,
        Self::Alone,
    ];

    /// Name for reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::Busy => "busy",
            Self::Reclaim => "reclaim",
            Self::Stale => "stale",
            Self::Refused => "refused",
            Self::Flood => "flood",
            Self::Alone => "alone",
        }
    }

    /// Factor on a workspace's requests at a part of the run between 0 and 1.
    #[must_use]
    pub fn factor(self, large: bool, part: f64) -> f64 {
        let middle = (0.3..0.8).contains(&part);
        match self {
            Self::Busy => 1.2,
            Self::Flood if large && middle => FLOOD,
            Self::Alone if large => 0.0,
            Self::Calm
            | Self::Reclaim
            | Self::Stale
            | Self::Refused
            | Self::Flood
            | Self::Alone => 1.0,
        }
    }

    /// Whether failure domains are reclaimed.
    #[must_use]
    pub fn reclaims(self) -> bool {
        matches!(self, Self::Reclaim | Self::Refused)
    }
}

/// How much more a large workspace sends in a flood.
const FLOOD: f64 = 4.0;
