//! An entry instance that forwards each request using only state that it holds in memory.
//!
//! Durable state lies in an external store. Headers and stored values are parsed and written by an
//! [`adapter::Adapter`], so that this crate does not depend on the names that a platform uses on
//! the wire.
//!
//! Data flows one way: [`listen`] accepts connections, [`intake`] reads and admits a request,
//! [`dispatch`] sends it, each [`attempt`] to an endpoint that the decision library chose, and
//! [`relay`] passes the response to the caller. Background tasks in [`membership`],
//! [`configuration`], [`registrations`], [`gossip`] and [`duty`] keep [`state`] up to date;
//! [`stop`] shuts the instance down.

pub mod adapter;
pub mod adoption;
pub mod attempt;
pub mod binding;
pub mod calls;
pub mod changelog;
pub mod compression;
pub mod configuration;
pub mod connection;
pub mod culprit;
pub mod demand;
pub mod dispatch;
pub mod duty;
pub mod fetch;
pub mod follower;
pub mod gossip;
pub mod handover;
pub mod health;
pub mod intake;
pub mod listen;
pub mod membership;
pub mod message;
pub mod meter;
pub mod orders;
pub mod origin;
pub mod outgoing;
pub mod pool;
pub mod probe;
mod reach;
pub mod refusal;
pub mod registrations;
pub mod relay;
pub mod relays;
pub mod report;
pub mod reporter;
pub mod retries;
pub mod role;
pub mod run;
pub mod settings;
pub mod shortage;
pub mod slots;
pub mod socket;
pub mod state;
pub mod statement;
pub mod stop;
pub mod suspicion;
pub mod time;
pub mod upgrades;
pub mod versions;
