//! An entry instance that forwards each request from its own memory alone.
//!
//! What outlasts it lies in a store outside; what callers and endpoints say is read and
//! written by a [`adapter::Adapter`], so that nothing here knows the names on the wire.
//!
//! Data flows one way: [`listen`] accepts, [`intake`] reads and admits a request,
//! [`dispatch`] sends it, each [`attempt`] to an endpoint that the decision library chose, and
//! [`relay`] passes the answer back. [`membership`], [`configuration`], [`registrations`], [`gossip`]
//! and [`duty`] keep [`state`] up to date beside it; [`stop`] ends it all.

pub mod adapter;
pub mod adoption;
pub mod attempt;
pub mod calls;
pub mod changelog;
pub mod compression;
pub mod configuration;
pub mod connection;
pub mod dispatch;
pub mod duty;
pub mod fetch;
pub mod follower;
pub mod gossip;
pub mod health;
pub mod intake;
pub mod listen;
pub mod membership;
pub mod orders;
pub mod outgoing;
pub mod pool;
pub mod refusal;
pub mod registrations;
pub mod relay;
pub mod report;
pub mod retries;
pub mod run;
pub mod settings;
pub mod socket;
pub mod state;
pub mod stop;
pub mod time;
pub mod upgrades;
