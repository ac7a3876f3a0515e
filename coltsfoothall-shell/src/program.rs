//! Command line and start-up of a program that is configured by a settings file.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::settings::{self, Check};

#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Flags {
    /// Settings file (YAML)
    #[bpaf(short, long, argument("FILE"))]
    settings: PathBuf,
    /// Check the settings, print them with all defaults, and exit
    check_settings: bool,
}

/// Parses the command line, loads the settings and calls `start`. With `--check-settings` it
/// prints the settings instead. Errors go to standard error, prefixed with `name`.
pub fn run<S: DeserializeOwned + Check + Serialize>(
    name: &str,
    about: &'static str,
    start: fn(PathBuf, S) -> Result<(), String>,
) -> ExitCode {
    let flags = flags().descr(about).run();
    match execute(flags, start) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{name}: {message}");
            ExitCode::FAILURE
        }
    }
}

fn execute<S: DeserializeOwned + Check + Serialize>(
    flags: Flags,
    start: fn(PathBuf, S) -> Result<(), String>,
) -> Result<(), String> {
    if flags.check_settings {
        let text = settings::describe::<S>(&flags.settings);
        println!("{}", text.map_err(|error| error.to_string())?);
        return Ok(());
    }
    let settings = settings::load(&flags.settings).map_err(|error| error.to_string())?;
    start(flags.settings, settings)
}
