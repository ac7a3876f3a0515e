//! Orders to model engines, and what engines say of themselves.
//!
//! An order names the state to be in, so it may be sent again at any time.

use serde::{Deserialize, Serialize};

use crate::id;
use crate::size::Bytes;

/// Work that an engine takes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// All requests.
    #[default]
    Mixed,
    /// Long prompts first.
    Prefill,
    /// Nothing new.
    Drain,
}

/// A model or adapter at a version.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Loaded {
    /// Name of the model or adapter.
    pub name: String,
    /// Its version.
    pub version: u32,
}

/// Weights to load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Weights {
    /// What they are.
    pub loaded: Loaded,
    /// Their size.
    pub size: Bytes,
}

/// What all engines of the service should hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wanted {
    /// The model.
    pub model: Weights,
    /// The adapters, sorted by name.
    pub adapters: Vec<Weights>,
    /// Engines that the load needs; version changes leave as many serving.
    pub needed: usize,
}

/// An engine as it was last heard of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Its name.
    pub endpoint: id::Endpoint,
    /// The model that runs, if one is loaded.
    pub model: Option<Loaded>,
    /// Adapters held, sorted.
    pub adapters: Vec<Loaded>,
    /// What is being loaded, if anything.
    pub loading: Option<Loaded>,
    /// Its role.
    pub role: Role,
    /// Requests open on it, from all entry instances.
    pub open: u32,
    /// Whether it was given notice; it gets no orders.
    pub leaving: bool,
}

/// The state that an engine is ordered to be in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The engine.
    pub endpoint: id::Endpoint,
    /// The model to run.
    pub model: Loaded,
    /// Adapters to hold, sorted.
    pub adapters: Vec<Loaded>,
    /// Role to take.
    pub role: Role,
}

impl Engine {
    /// Whether it takes requests; loading an adapter doesn't keep it from that.
    #[must_use]
    pub fn serves(&self) -> bool {
        let reloads = match (&self.model, &self.loading) {
            (Some(model), Some(loading)) => model.name == loading.name,
            (Some(_), None) => false,
            (None, _) => true,
        };
        !reloads && !self.leaving && self.role != Role::Drain
    }

    /// Whether it has the wanted model at the wanted version.
    #[must_use]
    pub fn runs(&self, wanted: &Wanted) -> bool {
        self.model.as_ref() == Some(&wanted.model.loaded)
    }

    /// Whether it holds all that is wanted.
    #[must_use]
    pub fn is_current(&self, wanted: &Wanted) -> bool {
        let names = wanted.adapters.iter().map(|adapter| &adapter.loaded);
        self.loading.is_none() && self.runs(wanted) && names.eq(self.adapters.iter())
    }

    /// Bytes that it must read to hold all that is wanted.
    #[must_use]
    pub fn missing(&self, wanted: &Wanted) -> Bytes {
        let fresh = !self.runs(wanted);
        let lacks = |w: &&Weights| fresh || self.adapters.binary_search(&w.loaded).is_err();
        let model = if fresh { wanted.model.size } else { Bytes(0) };
        let adapters = wanted.adapters.iter().filter(lacks).map(|w| w.size);
        adapters.fold(model, Bytes::plus)
    }

    /// Order of loads; lower goes first.
    pub(crate) fn urgency(&self, wanted: &Wanted) -> u8 {
        match &self.model {
            None => 0,
            Some(_) if self.runs(wanted) => 1,
            Some(_) => 2,
        }
    }
}

impl Order {
    /// All that is wanted.
    pub(crate) fn load(wanted: &Wanted, engine: &Engine, role: Role) -> Self {
        Self {
            endpoint: engine.endpoint.clone(),
            model: wanted.model.loaded.clone(),
            adapters: wanted.adapters.iter().map(|w| w.loaded.clone()).collect(),
            role,
        }
    }

    /// What the engine holds already, in another role.
    pub(crate) fn stay(engine: &Engine, role: Role) -> Option<Self> {
        let model = engine.model.clone()?;
        (engine.role != role).then(|| Self {
            endpoint: engine.endpoint.clone(),
            model,
            adapters: engine.adapters.clone(),
            role,
        })
    }
}
