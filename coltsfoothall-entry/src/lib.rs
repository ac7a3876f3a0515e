//! An entry instance: it accepts callers' requests, forwards them to endpoints and returns
//! the answers.
//!
//! [`run::run`] starts one from its settings:
//!
//! ```
//! use coltsfoothall_entry::settings::Settings;
//!
//! let settings = Settings { threads: 1, ..Settings::default() };
//! assert_eq!(settings.threads, 1);
//! ```

pub mod answer;
mod attempt;
pub mod busy;
mod claim;
pub mod config;
pub mod control;
pub mod death;
mod demand;
pub mod dispatch;
mod ending;
pub mod endpoint;
pub mod feed;
mod fetch;
pub mod front;
pub mod intake;
mod inventory;
pub mod isolation;
mod lease;
pub mod link;
mod members;
pub mod message;
mod meter;
pub mod node;
mod open;
pub mod operator;
mod order;
pub mod owned;
pub mod path;
pub mod peer;
pub mod pick;
pub mod platform;
mod probe;
mod queue;
mod refusal;
pub mod relay;
mod resend;
mod retries;
mod round;
pub mod run;
pub mod settings;
mod slots;
pub mod source;
mod start;
mod status;
pub mod steward;
pub mod store;
pub mod view;
