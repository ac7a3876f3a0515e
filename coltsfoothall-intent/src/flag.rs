//! The command line.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;
use quick_error::quick_error;

quick_error! {
    /// A token that cannot be sent.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// Empty, or with a blank or a character beyond ASCII.
        Token {
            display("a token is not empty and has neither blanks nor characters beyond ASCII")
        }
    }
}

/// The operators' bearer token; it is never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct Token(String);

impl Token {
    /// The token as it is sent.
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
        let good = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic());
        if good {
            Ok(Self(text.into()))
        } else {
            Err(Error::Token)
        }
    }
}

/// Which entry instances to ask, and how to print.
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
pub struct Reach {
    /// Address of an entry instance, as 10.0.0.1:7000; repeat it for others to try in turn when
    /// one does not answer
    #[bpaf(
        long("entry"),
        argument("ADDR"),
        some("at least one --entry ADDR is needed")
    )]
    pub entries: Vec<SocketAddr>,
    /// The operators' bearer token
    #[bpaf(long, env("COLTSFOOTHALL_TOKEN"), argument("TOKEN"))]
    pub token: Token,
    /// Print JSON instead of text
    #[bpaf(long)]
    pub json: bool,
}

/// What to do.
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
#[bpaf(
    options,
    version,
    generate(flags),
    descr(
        "Create, change and remove services, workspaces, models, adapters and placement preferences of coltsfoothall."
    ),
    footer(
        "Exit codes: 0 done; 1 refused, or a bad intent, or nobody answered: nothing changed by this run; 2 bad command line; 3 the plan is stale; 4 not known whether the plan was accepted: confirm again."
    )
)]
pub enum Command {
    /// Print what an intent would change; nothing changes
    #[bpaf(command)]
    Plan {
        /// Entry instances:
        #[bpaf(external)]
        reach: Reach,
        /// Write the plan to this file, for confirm
        #[bpaf(long, argument("PLAN"))]
        out: Option<PathBuf>,
        /// The intent, a YAML file; - reads the standard input
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Put a plan in force, if nobody changed the configuration since it was made; may be repeated
    #[bpaf(command)]
    Confirm {
        /// Entry instances:
        #[bpaf(external)]
        reach: Reach,
        /// If the plan is stale, write the plan made anew to this file
        #[bpaf(long, argument("PLAN"))]
        out: Option<PathBuf>,
        /// The plan, as written by plan --out
        #[bpaf(positional("PLAN"))]
        file: PathBuf,
    },
    /// Print the configuration in force; tokens are hidden, but for --json
    #[bpaf(command)]
    Show {
        /// Entry instances:
        #[bpaf(external)]
        reach: Reach,
    },
    /// Print instances, endpoints, and where the revision is in force
    #[bpaf(command)]
    Status {
        /// Entry instances:
        #[bpaf(external)]
        reach: Reach,
    },
}
