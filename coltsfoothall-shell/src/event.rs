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
        if log::log_enabled!(self.level) {
            let fields = line(&fields.to_string());
            log::log!(self.level, "E{:03} {} {fields}", self.code, self.name);
        }
    }
}

/// The text on one line, so that no value can pass for an event of its own.
fn line(text: &str) -> String {
    let mut line = String::with_capacity(text.len());
    for c in text.chars() {
        if c.is_control() {
            line.extend(c.escape_default());
        } else {
            line.push(c);
        }
    }
    line
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
    /// A planned stop reached its limit before all answers had ended.
    CUT_OFF = 104 Warn "stop_cut_off";
    /// Settings were read again and are in force.
    RELOADED = 105 Info "settings_reloaded";
    /// Settings could not be read again; the last good ones stay in force.
    RELOAD_FAILED = 106 Warn "settings_reload_failed";
    /// The log's output stalled and lines were dropped.
    LOG_DROPPED = 107 Warn "log_dropped";
    /// A planned stop closes connections that carry no request.
    CLOSES_IDLE = 108 Info "stop_closes_idle";
    /// A rule of the system was found broken; always a bug.
    BROKEN = 190 Error "invariant_broken";
    /// A request got an answer of this program's own.
    REFUSED = 201 Info "request_refused";
    /// An endpoint broke a request off.
    BROKE_OFF = 202 Info "endpoint_broke_off";
    /// A stream goes on at another endpoint.
    RESUMED = 203 Info "stream_resumed";
    /// A stream was cut before its end.
    CUT = 204 Warn "stream_cut";
    /// Requests that ended well, counted and not listed.
    SERVED = 205 Info "requests_served";
    /// A request is over its workspace's rate.
    OVER_RATE = 206 Info "over_rate";
    /// The first event or the answer of a request came later than its route's aim.
    LATE = 207 Info "late_answer";
    /// A request goes to an endpoint; first ones are sampled.
    CHOSEN = 208 Info "endpoint_chosen";
    /// A request was read after the signal to stop.
    IN_STOP = 209 Info "read_in_stop";
    /// Notice was heard that an instance will be taken back.
    NOTICE = 301 Warn "reclaim_notice";
    /// An endpoint died.
    ENDPOINT_DIED = 302 Warn "endpoint_died";
    /// An endpoint was added, is leaving or is gone.
    ENDPOINT = 303 Info "endpoint";
    /// This instance began or ended to order as steward of a service.
    STEWARD = 311 Info "steward";
    /// An order goes to an engine.
    ORDER = 312 Info "order";
    /// An order was refused or its answer lost.
    ORDER_FAILED = 313 Warn "order_failed";
    /// An instance was started.
    START = 314 Info "instance_started";
    /// A start or stop was refused or its answer lost.
    START_FAILED = 315 Warn "instance_start_failed";
    /// An instance was given back.
    STOP = 316 Info "instance_stopped";
    /// Endpoints were ordered or given back, or could not be.
    ORDERED = 317 Info "endpoints_ordered";
    /// An entry instance joined, is leaving, died or was doubted.
    MEMBER = 401 Info "member";
    /// A connection to another entry instance failed.
    LINK_FAILED = 402 Warn "link_failed";
    /// The control thread stood still for a while.
    STALLED = 403 Warn "own_stall";
    /// The slot table was written, or could not be.
    SLOTS = 411 Info "slots";
    /// A copy of a slot could not be made.
    COPY_FAILED = 412 Warn "copy_failed";
    /// A slot was handed over without the key-value service.
    YIELDED = 413 Info "slot_yielded";
    /// A request that a lost owner had sent ended as unknown.
    ORPHAN = 414 Warn "orphan_ended";
    /// An owner that began anew asked its backup to take a slot over.
    CEDED = 415 Info "slot_ceded";
    /// The owner of a request ended a call or a stream without a word.
    OWNER_LOST = 416 Info "owner_lost";
    /// A configuration is in force.
    ADOPTED = 501 Info "config_adopted";
    /// An older configuration was refused.
    OLDER = 502 Warn "config_older_refused";
    /// A configuration breaks a rule and was refused.
    BAD_CATALOG = 503 Error "config_bad";
    /// The key-value service had lost the configuration in force and got it back.
    RESTORED = 504 Warn "config_restored";
    /// A newer configuration is known to exist and is still not in force.
    BEHIND = 505 Warn "config_behind";
    /// An operator ordered a service to move to another version.
    UPGRADE_ORDERED = 506 Info "upgrade_ordered";
    /// A service's move went on, was completed or was rolled back.
    UPGRADE = 507 Info "upgrade";
    /// An order to move a service cannot be read.
    UPGRADE_BAD = 508 Error "upgrade_bad";
    /// Operators could not be told of a service's move.
    UPGRADE_UNTOLD = 509 Warn "upgrade_untold";
    /// A call of the key-value service failed.
    STORE_FAILED = 601 Warn "store_failed";
    /// The instance list or the notices could not be read.
    LIST_FAILED = 602 Warn "instance_list_failed";
    /// A part of the store is followed again, or is lost.
    STORE = 603 Info "store_followed";
    /// The store came back from an older copy of itself.
    STORE_ERA = 604 Warn "store_era";
    /// This instance acts for all, or ceased to.
    LEADER = 611 Info "leader";
    /// Usage of a window was reported, or could not be.
    USAGE = 612 Info "usage_reported";
    /// A plan was made.
    PLANNED = 701 Info "plan_made";
    /// A plan's confirmation was settled, or could not be.
    CONFIRMED = 702 Info "plan_confirmed";
}
