//! The program of an entry instance.

use std::path::PathBuf;
use std::process::ExitCode;

use coltsfoothall_entry::run;
use coltsfoothall_entry::settings::Settings;
use coltsfoothall_shell::{journal, program};

const ABOUT: &str = "One entry instance of coltsfoothall: it accepts callers' requests, \
                     forwards them to endpoints and returns the answers.";

fn main() -> ExitCode {
    program::run("coltsfoothall-entry", ABOUT, start)
}

fn start(_file: PathBuf, settings: Settings) -> Result<(), String> {
    journal::start(&settings.log).map_err(|error| error.to_string())?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .enable_all()
        .build()
        .map_err(|error| format!("cannot start threads: {error}"))?;
    runtime
        .block_on(run::run(settings))
        .map_err(|error| error.to_string())
}
