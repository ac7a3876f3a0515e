//! Exit codes, which are part of the public interface.

use std::process::ExitCode;

use bpaf::ParseFailure;
use coltsfoothall::confirm::Verdict;

/// Result of the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// 0: the command succeeded.
    Done,
    /// 1: the request was refused or failed; this run changed nothing.
    Refused,
    /// 2: the command line is invalid.
    Usage,
    /// 3: the plan is stale: another one was accepted on the same base revision.
    Stale,
    /// 4: it is unknown whether the plan was accepted; run `confirm` again.
    Unknown,
}

impl Exit {
    /// The numeric exit code.
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

    /// The result for a command line that was not run; printing the help is a success.
    #[must_use]
    pub fn of_parser(failure: &ParseFailure) -> Self {
        match failure {
            ParseFailure::Stdout(..) | ParseFailure::Completion(_) => Self::Done,
            ParseFailure::Stderr(_) => Self::Usage,
        }
    }

    /// The result for a verdict; `lost` means that an entry instance called earlier in this run
    /// may have begun to write.
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
