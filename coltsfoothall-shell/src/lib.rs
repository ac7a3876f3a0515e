//! Settings, logging, metrics and graceful shutdown, shared by all programs.
//!
//! ```
//! use std::path::Path;
//!
//! use coltsfoothall_shell::journal::{Level, Log};
//! use coltsfoothall_shell::settings;
//!
//! let log: Log = settings::parse(Path::new("entry.yaml"), "level: warn")?;
//! assert_eq!(log.level, Level::Warn);
//! # Ok::<(), settings::Error>(())
//! ```

pub mod bounded;
pub mod event;
pub mod journal;
pub mod metric;
pub mod program;
pub mod settings;
pub mod stop;
