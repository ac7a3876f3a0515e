//! Exit codes, part of the interface.

use std::process::ExitCode;

use bpaf::ParseFailure;
use coltsfoothall::confirm::Verdict;

/// How the program ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// 0: it is done.
    Done,
    /// 1: it was refused or could not be asked for; this run changed nothing.
    Refused,
    /// 2: the command line is wrong.
    Usage,
    /// 3: the plan is stale; another was accepted on its base.
    Stale,
    /// 4: whether the plan was accepted is not known; `confirm` again.
    Unknown,
}

impl Exit {
    /// The code.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Stale => 3,
            Self::Unknown => 4,
        }
    }

    /// The end after a command line that was not run: help is no failure.
    #[must_use]
    pub fn of_parser(failure: &ParseFailure) -> Self {
        match failure {
            ParseFailure::Stdout(..) | ParseFailure::Completion(_) => Self::Done,
            ParseFailure::Stderr(_) => Self::Usage,
        }
    }

    /// The end after a verdict; `lost` says that an entry instance asked
    /// earlier in this run may have begun to write.
    #[must_use]
    pub fn of_verdict(verdict: &Verdict, lost: bool) -> Self {
        match verdict {
            Verdict::Accepted(_) => Self::Done,
            Verdict::Stale { .. } => Self::Stale,
            Verdict::Refused { .. } => Self::Refused,
            Verdict::Untried { .. } if !lost => Self::Refused,
            Verdict::Untried { .. } | Verdict::Unsettled { .. } | Verdict::Expired { .. } => {
                Self::Unknown
            }
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        exit.code().into()
    }
}
