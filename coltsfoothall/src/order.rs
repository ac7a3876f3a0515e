//! Orders to model engines, and the state that engines report.
//!
//! An order describes the desired state, so it is idempotent and may be sent again at any
//! time.

use serde::{Deserialize, Serialize};

use crate::id;
use crate::size::Bytes;

/// The requests that an engine accepts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// All requests.
    #[default]
    Mixed,
    /// Preferably long prompts.
    Prefill,
    /// No new requests.
    Drain,
}

/// A version of a model or adapter.
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
    /// The model or adapter.
    pub loaded: Loaded,
    /// Their size.
    pub size: Bytes,
}

/// What all engines of a service should have loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wanted {
    /// The model.
    pub model: Weights,
    /// The adapters, sorted by name.
    pub adapters: Vec<Weights>,
    /// Number of engines that the load requires; a version change keeps at least this many
    /// serving.
    pub needed: usize,
}

/// The last reported state of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Its name.
    pub endpoint: id::Endpoint,
    /// The loaded model, if any.
    pub model: Option<Loaded>,
    /// The loaded adapters, sorted.
    pub adapters: Vec<Loaded>,
    /// The model or adapter that is being loaded, if any.
    pub loading: Option<Loaded>,
    /// Its role.
    pub role: Role,
    /// Number of requests open on it, from all entry instances.
    pub open: u32,
    /// Whether it has received a reclaim notice; it is sent no orders.
    pub leaving: bool,
}

/// The desired state of one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The engine.
    pub endpoint: id::Endpoint,
    /// The model to run.
    pub model: Loaded,
    /// The adapters to load, sorted.
    pub adapters: Vec<Loaded>,
    /// The role to assume.
    pub role: Role,
}

impl Engine {
    /// Whether it accepts requests. Loading an adapter does not prevent that.
    #[must_use]
    pub fn serves(&self) -> bool {
        let reloads = match (&self.model, &self.loading) {
            (Some(model), Some(loading)) => model.name == loading.name,
            (Some(_), None) => false,
            (None, _) => true,
        };
        !reloads && !self.leaving && self.role != Role::Drain
    }

    /// Whether it runs the wanted version of the wanted model.
    #[must_use]
    pub fn runs(&self, wanted: &Wanted) -> bool {
        self.model.as_ref() == Some(&wanted.model.loaded)
    }

    /// Whether it has everything that is wanted loaded.
    #[must_use]
    pub fn is_current(&self, wanted: &Wanted) -> bool {
        let names = wanted.adapters.iter().map(|adapter| &adapter.loaded);
        self.loading.is_none() && self.runs(wanted) && names.eq(self.adapters.iter())
    }

    /// Number of bytes that it must load to have everything that is wanted.
    #[must_use]
    pub fn missing(&self, wanted: &Wanted) -> Bytes {
        let loads_model = !self.runs(wanted);
        let lacks = |w: &&Weights| loads_model || self.adapters.binary_search(&w.loaded).is_err();
        let model = if loads_model {
            wanted.model.size
        } else {
            Bytes(0)
        };
        let adapters = wanted.adapters.iter().filter(lacks).map(|w| w.size);
        adapters.fold(model, Bytes::plus)
    }

    /// Priority of a load; lower values are loaded first.
    pub(crate) fn urgency(&self, wanted: &Wanted) -> u8 {
        match &self.model {
            None => 0,
            Some(_) if self.runs(wanted) => 1,
            Some(_) => 2,
        }
    }
}

impl Order {
    /// An order to load everything that is wanted.
    pub(crate) fn load(wanted: &Wanted, engine: &Engine, role: Role) -> Self {
        Self {
            endpoint: engine.endpoint.clone(),
            model: wanted.model.loaded.clone(),
            adapters: wanted.adapters.iter().map(|w| w.loaded.clone()).collect(),
            role,
        }
    }

    /// An order to keep what the engine has loaded but change its role; `None` if it
    /// already has that role.
    pub(crate) fn change_role(engine: &Engine, role: Role) -> Option<Self> {
        let model = engine.model.clone()?;
        (engine.role != role).then(|| Self {
            endpoint: engine.endpoint.clone(),
            model,
            adapters: engine.adapters.clone(),
            role,
        })
    }
}
