//! Every decision of coltsfoothall, free of sockets, tasks and files.
//!
//! Aggregates take the time and one typed input, keep their own rules and
//! return typed actions. The programs around them only move bytes.
//!
//! ```
//! use coltsfoothall::key::Key;
//!
//! let key: Key = "booking-17".parse()?;
//! assert_eq!(key.slot(64), key.slot(64));
//! # Ok::<(), coltsfoothall::id::Error>(())
//! ```

pub mod catalog;
pub mod clock;
pub mod id;
pub mod key;
pub mod prefix;
pub mod record;
pub mod size;
