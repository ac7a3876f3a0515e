//! Command-line client for operators: plan, confirm, show and status.
//!
//! ```
//! use coltsfoothall_intent::flag::{Command, flags};
//!
//! let line = &["status", "--entry", "127.0.0.1:7000", "--token", "operator-1"];
//! let command = flags().run_inner(line).expect("a valid command line");
//! assert!(matches!(command, Command::Status { .. }));
//! ```

pub mod call;
pub mod exit;
pub mod flag;
pub mod output;
pub mod run;
