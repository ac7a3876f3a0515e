//! An entry instance that forwards each request from its own memory alone.
//!
//! What outlasts it lies in a store outside; what callers and endpoints say is read and
//! written by a [`border::Border`], so that nothing here knows the names on the wire.
//!
//! Data flows one way: [`listen`] accepts, [`intake`] reads and admits a request,
//! [`attempt`] sends it to an endpoint that the decision library chose, [`relay`] passes
//! the answer back. [`watch`], [`gossip`] and [`duty`] keep [`state`] up to date beside it.

pub mod attempt;
pub mod border;
pub mod duty;
pub mod gossip;
pub mod intake;
pub mod kept;
pub mod listen;
pub mod orders;
pub mod outgoing;
pub mod relay;
pub mod report;
pub mod retries;
pub mod run;
pub mod settings;
pub mod socket;
pub mod state;
pub mod stop;
pub mod time;
pub mod watch;
