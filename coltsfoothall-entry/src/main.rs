//! The program of an entry instance.

use std::process::ExitCode;

use coltsfoothall_entry::flag::{Flags, flags};
use coltsfoothall_entry::run;
use coltsfoothall_entry::settings::Settings;
use coltsfoothall_shell::{journal, settings};

fn main() -> ExitCode {
    match start(&flags().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("coltsfoothall-entry: {message}");
            ExitCode::FAILURE
        }
    }
}

fn start(flags: &Flags) -> Result<(), String> {
    if flags.check_settings {
        let text = settings::describe::<Settings>(&flags.settings);
        println!("{}", text.map_err(|error| error.to_string())?);
        return Ok(());
    }
    let settings: Settings = settings::load(&flags.settings).map_err(|error| error.to_string())?;
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
