//! Settings of a model engine.

use serde::{Deserialize, Serialize};

use coltsfoothall::size::{Bytes, Millis};
use coltsfoothall_wire::engine::Loaded;

use crate::batch;

/// What an engine does with fencing numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// It refuses an order with an older number than it has seen.
    #[default]
    Checked,
    /// It takes every order.
    Ignored,
}

/// Settings of an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Speed and size.
    pub batch: batch::Settings,
    /// Version of the model that it starts with.
    pub version: u32,
    /// Adapters that it starts with.
    pub adapters: Vec<Loaded>,
    /// Age of the load that it reports.
    pub load_lag_ms: Millis,
    /// Age at which cache events come out.
    pub event_lag_ms: Millis,
    /// Share of cache events that are lost, 0 to 1.
    pub event_loss: f64,
    /// Seed of the losses.
    pub seed: u64,
    /// What is done with fencing numbers.
    pub fencing: Fencing,
    /// Size of a model, which has to be loaded.
    pub model_size: Bytes,
    /// Size of an adapter.
    pub adapter_size: Bytes,
    /// Bytes loaded in a second.
    pub load_rate: Bytes,
    /// Size of an exported block.
    pub block_size: Bytes,
    /// Whether the port stays open when a request crashes the engine, as under a supervisor
    /// that holds the socket and starts the process again at once.
    pub keeps_port: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            batch: batch::Settings::default(),
            version: 1,
            adapters: Vec::new(),
            load_lag_ms: Millis(200),
            event_lag_ms: Millis(100),
            event_loss: 0.0,
            seed: 1,
            fencing: Fencing::Checked,
            model_size: Bytes(8_000_000_000),
            adapter_size: Bytes(100_000_000),
            load_rate: Bytes(4_000_000_000),
            block_size: Bytes(4096),
            keeps_port: false,
        }
    }
}
