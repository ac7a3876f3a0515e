//! Measures the choice of endpoints and the limits in virtual time.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;

use coltsfoothall_call::scenario::Scenario;
use coltsfoothall_call::study::{self, Study};

/// Measures the choice of endpoints and the limits, in virtual time, on a
/// workload that a YAML file describes. Prints Markdown tables.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Seeds to run, from 1
    #[bpaf(argument("COUNT"), fallback(5), display_fallback)]
    seeds: u64,
    /// Threads to run them on
    #[bpaf(argument("COUNT"), fallback(4), display_fallback)]
    threads: usize,
    /// Engines, where not those of the workload
    #[bpaf(argument("COUNT"))]
    engines: Option<usize>,
    #[bpaf(external)]
    command: Command,
}

#[derive(Debug, Clone, Bpaf)]
enum Command {
    /// Every policy under every condition
    #[bpaf(command)]
    Compare {
        /// Workload
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Fewest engines with which each policy holds the target on every seed
    #[bpaf(command)]
    Fewest {
        /// Workload
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// The project's policy with one weight or source left out at a time
    #[bpaf(command)]
    Ablate {
        /// Workload
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Times to the first token for each workspace and class, with and without a flood
    #[bpaf(command)]
    Flood {
        /// Workload
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

impl Command {
    fn file(&self) -> &PathBuf {
        match self {
            Self::Compare { file }
            | Self::Fewest { file }
            | Self::Ablate { file }
            | Self::Flood { file } => file,
        }
    }
}

fn main() -> ExitCode {
    let options = options().run();
    let scenario = match Scenario::read(options.command.file()) {
        Ok(scenario) => scenario,
        Err(error) => {
            eprintln!("coltsfoothall-policy: {error}");
            return ExitCode::FAILURE;
        }
    };
    let study = Study {
        engines: options.engines.unwrap_or(scenario.engines),
        scenario,
        seeds: options.seeds.max(1),
        threads: options.threads,
    };
    let table = match options.command {
        Command::Compare { .. } => study::compare(&study),
        Command::Fewest { .. } => study::fewest(&study),
        Command::Ablate { .. } => study::ablate(&study),
        Command::Flood { .. } => study::flood(&study),
    };
    print!("{table}");
    ExitCode::SUCCESS
}
