//! Start of the endpoint programs: settings and errors.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use quick_error::quick_error;
use serde::de::DeserializeOwned;

quick_error! {
    /// Why a program cannot start or go on.
    #[derive(Debug)]
    pub enum Error {
        /// The settings cannot be read.
        File(path: PathBuf, error: std::io::Error) {
            display("settings {}: {error}", path.display())
        }
        /// The settings are not what was asked for.
        Settings(path: PathBuf, message: String) {
            display("settings {}: {message}", path.display())
        }
        /// The address cannot be listened at.
        Listen(address: SocketAddr, error: std::io::Error) {
            display("listen at {address}: {error}")
        }
        /// The stop signal cannot be waited for.
        Signal(error: std::io::Error) {
            display("wait for SIGTERM: {error}")
        }
        /// The task that serves failed.
        Task(error: tokio::task::JoinError) {
            display("serve: {error}")
        }
    }
}

/// Reads a YAML file of settings, the defaults where none is named.
///
/// # Errors
/// The file cannot be read or has other fields.
pub fn settings<T: Default + DeserializeOwned>(path: Option<&Path>) -> Result<T, Error> {
    let Some(path) = path else {
        return Ok(T::default());
    };
    let text = std::fs::read_to_string(path).map_err(|error| Error::File(path.into(), error))?;
    serde_saphyr::from_str(&text).map_err(|error| Error::Settings(path.into(), error.to_string()))
}
