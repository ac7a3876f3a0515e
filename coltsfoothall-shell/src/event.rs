//! Numbered log events. docs/EVENTS.md lists them for operators.

use std::fmt;

use log::Level;

/// One kind of log event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Its number, never used again for another kind.
    pub code: u16,
    /// Its level.
    pub level: Level,
    /// Its short name.
    pub name: &'static str,
}

impl Event {
    /// Logs one event with its `key=value` fields.
    pub fn emit(self, fields: fmt::Arguments<'_>) {
        log::log!(self.level, "E{:03} {} {fields}", self.code, self.name);
    }
}

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $code:literal $level:ident $text:literal;)*) => {
        $($(#[$doc])* pub const $name: Event =
            Event { code: $code, level: Level::$level, name: $text };)*
        /// Every kind, in the order of their numbers.
        pub const ALL: &[Event] = &[$($name),*];
    };
}

// 1xx process, 2xx requests, 3xx endpoints, 4xx membership and slots,
// 5xx configuration, 6xx platform, 7xx operators, 8xx stand-ins and callers.
events! {
    /// A program has started and listens.
    STARTED = 101 Info "started";
    /// A planned stop began.
    STOPPING = 102 Info "stopping";
    /// A planned stop ended with nothing cut off.
    STOPPED = 103 Info "stopped";
    /// A rule of the system was found broken; always a bug.
    BROKEN = 190 Error "invariant_broken";
}
