//! Command-line options and their parser.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;
use quick_error::quick_error;

quick_error! {
    /// The token is not valid in a header.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// Empty, or contains a character other than visible ASCII.
        Token {
            display("a token must be non-empty and consist of visible ASCII characters")
        }
    }
}

/// Bearer token of an operator; it is never printed, and its debug form is masked.
#[derive(Clone, PartialEq, Eq)]
pub struct Token(String);

impl Token {
    /// The token in clear text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}

impl FromStr for Token {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let valid = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic());
        if valid {
            Ok(Self(text.into()))
        } else {
            Err(Error::Token)
        }
    }
}

/// Entry instances to call, and the output format.
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
pub struct Reach {
    /// Address of an entry instance, for example 10.0.0.1:7000; repeat the option to name further
    /// instances, which are tried in turn when one does not answer
    #[bpaf(
        long("entry"),
        argument("ADDR"),
        some("at least one --entry ADDR is needed")
    )]
    pub entries: Vec<SocketAddr>,
    /// Bearer token of an operator
    #[bpaf(long, env("COLTSFOOTHALL_TOKEN"), argument("TOKEN"))]
    pub token: Token,
    /// Print JSON instead of text
    #[bpaf(long)]
    pub json: bool,
}

/// The command to run.
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
#[bpaf(
    options,
    version,
    generate(flags),
    descr(
        "Create, change and remove services, workspaces, models, adapters and placement preferences of coltsfoothall."
    ),
    footer(
        "Exit codes: 0 done; 1 refused, invalid intent or no answer: this run changed nothing; 2 invalid command line; 3 the plan is stale; 4 unknown whether the plan was accepted: confirm again."
    )
)]
pub enum Command {
    /// Print what an intent would change, without changing anything
    #[bpaf(command)]
    Plan {
        /// Entry instances:
        #[bpaf(external)]
        reach: Reach,
        /// Write the plan to this file, for confirm
        #[bpaf(long, argument("PLAN"))]
        out: Option<PathBuf>,
        /// The intent, a YAML file; - reads standard input
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Put a plan in force, unless the configuration has changed since it was made; safe to repeat
    #[bpaf(command)]
    Confirm {
        /// Entry instances:
        #[bpaf(external)]
        reach: Reach,
        /// If the plan is stale, write a new plan for the same intent to this file
        #[bpaf(long, argument("PLAN"))]
        out: Option<PathBuf>,
        /// The plan, as written by plan --out
        #[bpaf(positional("PLAN"))]
        file: PathBuf,
    },
    /// Print the configuration in force; tokens are masked except with --json
    #[bpaf(command)]
    Show {
        /// Entry instances:
        #[bpaf(external)]
        reach: Reach,
    },
    /// Print entry instances, endpoints and on how many instances the revision is in force
    #[bpaf(command)]
    Status {
        /// Entry instances:
        #[bpaf(external)]
        reach: Reach,
    },
}
