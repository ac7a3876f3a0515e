//! Command line.

use std::path::PathBuf;

use bpaf::Bpaf;

/// One entry instance of coltsfoothall: callers connect to it, it passes their
/// requests to endpoints and brings the answers back.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Flags {
    /// Settings file (YAML)
    #[bpaf(short, long, argument("FILE"))]
    pub settings: PathBuf,
    /// Check the settings, print them with all defaults, and exit
    pub check_settings: bool,
}
