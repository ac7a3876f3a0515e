//! One entry instance: it takes callers' requests, passes them to endpoints and
//! brings the answers back.
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
pub mod config;
pub mod control;
pub mod death;
mod demand;
pub mod desk;
pub mod dispatch;
pub mod endpoint;
pub mod feed;
pub mod flag;
pub mod front;
pub mod intake;
mod keeper;
pub mod link;
mod members;
pub mod node;
pub mod operator;
mod order;
pub mod path;
pub mod peer;
pub mod platform;
pub mod relay;
pub mod room;
pub mod run;
pub mod settings;
pub mod source;
mod start;
pub mod steward;
pub mod store;
pub mod view;
