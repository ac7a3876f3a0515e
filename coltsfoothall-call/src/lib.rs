//! A caller of coltsfoothall that behaves as real callers do, and a load tool on top of it.
//!
//! ```
//! use coltsfoothall_call::check;
//!
//! let digest = check::digest("a cue sheet");
//! let text = format!(" {digest}.0.engine-1 {digest}.1.engine-2");
//! assert_eq!(check::tokens("a cue sheet", &text), Ok(2));
//! ```

mod agenda;
mod machine;
mod run;
mod turn;

pub mod answer;
pub mod ask;
pub mod baseline;
pub mod book;
pub mod caller;
pub mod check;
pub mod load;
pub mod mix;
pub mod model;
pub mod own;
pub mod policy;
pub mod report;
pub mod scenario;
pub mod score;
pub mod study;
pub mod tally;
pub mod trial;
pub mod workload;
