//! Decision logic of an entry instance that forwards requests and keeps their state only in its
//! own memory.
//!
//! Requests are not replicated to other entry instances: a request ends with the connection that
//! brought it. Instances agree through an external store, and exchange by heartbeats whatever
//! changes too fast for the store.

pub mod active;
pub mod admission;
pub mod assignment;
pub mod backoff;
pub mod body;
pub mod brittle;
pub mod capacity;
pub mod choice;
pub mod config;
pub mod crash;
pub mod culprit;
pub mod demand;
pub mod departure;
pub mod duration;
pub mod egress;
pub mod forecast;
pub mod gossip;
pub mod handover;
pub mod history;
pub mod inference;
pub mod lag;
pub mod latency;
pub mod leader;
pub mod limit;
pub mod limits;
pub mod mark;
pub mod node;
pub mod occupancy;
pub mod order;
pub mod peer;
pub mod poll;
pub mod rate_limit;
pub mod reach;
pub mod reader;
pub mod retry;
pub mod retry_after;
pub mod role;
pub mod roster;
pub mod statement;
pub mod stop;
pub mod stream;
pub mod upgrade;
pub mod usage;
pub mod verdict;
pub mod version;
