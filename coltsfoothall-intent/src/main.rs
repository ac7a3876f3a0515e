//! `coltsfoothall-intent`, the operators' program.

use std::process::ExitCode;

use coltsfoothall_intent::exit::Exit;
use coltsfoothall_intent::{flag, run};

/// Columns of the help text.
const WIDTH: usize = 100;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let command = match flag::flags().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(WIDTH);
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
