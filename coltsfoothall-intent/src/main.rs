//! `coltsfoothall-intent`, the command-line client for operators.

use std::process::ExitCode;

use coltsfoothall_intent::exit::Exit;
use coltsfoothall_intent::{flag, run};

/// Width of the help text in columns.
const HELP_COLUMNS: usize = 100;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let command = match flag::flags().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(HELP_COLUMNS);
            return Exit::of_parser(&failure).into();
        }
    };
    let report = run::run(command).await;
    if !report.out.is_empty() {
        print!("{}", report.out);
    }
    if !report.err.is_empty() {
        eprint!("{}", report.err);
    }
    report.exit.into()
}
