//! Settings of the platform's stand-ins, read from YAML.

use std::path::{Path, PathBuf};

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::{cloud, kvserver, weights};

quick_error! {
    /// Settings that cannot be read.
    #[derive(Debug)]
    pub enum Error {
        /// The file cannot be read.
        File(path: PathBuf, error: std::io::Error) {
            display("cannot read settings {}: {error}", path.display())
            source(error)
        }
        /// It holds no settings.
        Yaml(message: String) {
            display("cannot understand settings: {message}")
        }
    }
}

/// All settings; what is left out has its default.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The key-value service.
    pub kv: kvserver::Settings,
    /// The cloud API and the instance list.
    pub cloud: cloud::Settings,
    /// The weight store.
    pub weights: weights::Settings,
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    /// The file cannot be read or holds no settings.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text =
            std::fs::read_to_string(path).map_err(|error| Error::File(path.into(), error))?;
        Self::scan(&text)
    }

    /// Reads settings from YAML.
    ///
    /// # Errors
    /// The text holds no settings.
    pub fn scan(text: &str) -> Result<Self, Error> {
        serde_saphyr::from_str(text).map_err(|error| Error::Yaml(error.to_string()))
    }
}
