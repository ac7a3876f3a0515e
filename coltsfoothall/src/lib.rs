//! The decision logic of coltsfoothall, without sockets, tasks or files.
//!
//! Each state machine takes the current time and one typed input, enforces its own
//! invariants and returns typed actions. The programs that embed this crate perform the
//! I/O.
//!
//! ```
//! use coltsfoothall::key::Key;
//!
//! let key: Key = "booking-17".parse()?;
//! assert_eq!(key.slot(64), key.slot(64));
//! # Ok::<(), coltsfoothall::id::Error>(())
//! ```

pub mod adoption;
pub mod attempt;
pub mod backoff;
pub mod batch;
mod branch;
pub mod budget;
pub mod candidate;
pub mod catalog;
pub mod choice;
pub mod clock;
pub mod confirm;
pub mod copy;
mod death;
mod denial;
mod digest;
pub mod duty;
pub mod effect;
pub mod fingerprint;
pub mod fleet;
pub mod forward;
pub mod handoff;
pub mod id;
pub mod index;
mod instances;
pub mod intent;
pub mod key;
pub mod ledger;
pub mod limit;
pub mod load;
pub mod log;
pub mod member;
pub mod meter;
pub mod object;
pub mod order;
mod pending;
pub mod plan;
pub mod pool;
pub mod prefix;
pub mod progress;
pub mod queue;
pub mod quota;
pub mod record;
pub mod replica;
pub mod request;
pub mod retry;
pub mod rollout;
pub mod rule;
mod safety;
pub mod settle;
pub mod share;
pub mod size;
pub mod slot;
pub mod stall;
pub mod start;
mod status;
pub mod step;
pub mod steward;
pub mod suspicion;
pub mod takeover;
pub mod transfer;
pub mod weight;
