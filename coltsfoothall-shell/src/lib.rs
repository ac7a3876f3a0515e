//! Settings, logs and metrics common to the programs.

pub mod event;
