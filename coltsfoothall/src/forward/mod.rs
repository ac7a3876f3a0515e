//! Decisions of an instance that forwards each request from its own memory alone.
//!
//! Nothing is copied to another entry instance here: a request lives and ends with
//! the connection that brought it. Instances agree through an external store and
//! tell each other what ages too fast for it.

pub mod choice;
pub mod config;
pub mod duration;
pub mod egress;
pub mod gossip;
pub mod history;
pub mod lag;
pub mod latency;
pub mod leader;
pub mod node;
pub mod order;
pub mod peer;
pub mod poll;
pub mod rate_limit;
pub mod reader;
pub mod roster;
pub mod stop;
pub mod upgrade;
pub mod usage;
pub mod verdict;
