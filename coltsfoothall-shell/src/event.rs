//! Numbered log events, listed for operators in docs/EVENTS.md.

use std::fmt;

use log::Level;

/// A kind of log event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Event number, never reused for another kind.
    pub code: u16,
    /// Severity.
    pub level: Level,
    /// Short name.
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

/// Escapes control characters, so that a value with a line break cannot forge a log line.
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
        /// All kinds, in ascending order of their numbers.
        pub const ALL: &[Event] = &[$($name),*];
    };
}

// 1xx process, 2xx requests, 3xx endpoints, 4xx membership and slots,
// 5xx configuration, 6xx platform, 7xx operators, 8xx simulators and callers.
events! {
    /// A program has started and accepts connections.
    STARTED = 101 Info "started";
    /// A graceful shutdown began.
    STOPPING = 102 Info "stopping";
    /// A graceful shutdown ended after all answers were complete.
    STOPPED = 103 Info "stopped";
    /// A graceful shutdown reached its time limit before all answers were complete.
    CUT_OFF = 104 Warn "stop_cut_off";
    /// The settings were reloaded and are in force.
    RELOADED = 105 Info "settings_reloaded";
    /// The settings could not be reloaded; the last valid ones stay in force.
    RELOAD_FAILED = 106 Warn "settings_reload_failed";
    /// The output of the log stalled and lines were dropped.
    LOG_DROPPED = 107 Warn "log_dropped";
    /// A graceful shutdown closes connections that carry no request.
    CLOSES_IDLE = 108 Info "stop_closes_idle";
    /// An invariant of the system was found violated; always a bug.
    BROKEN = 190 Error "invariant_broken";
    /// A request was answered by this program itself instead of an endpoint.
    REFUSED = 201 Info "request_refused";
    /// An endpoint aborted a request.
    BROKE_OFF = 202 Info "endpoint_broke_off";
    /// A stream was resumed at another endpoint.
    RESUMED = 203 Info "stream_resumed";
    /// A stream ended before it was complete.
    CUT = 204 Warn "stream_cut";
    /// Number of requests that succeeded; they are not logged one by one.
    SERVED = 205 Info "requests_served";
    /// A request exceeds the rate limit of its workspace.
    OVER_RATE = 206 Info "over_rate";
    /// The first event or the answer of a request missed the latency target of its route.
    LATE = 207 Info "late_answer";
    /// A request was sent to an endpoint; first attempts are sampled.
    CHOSEN = 208 Info "endpoint_chosen";
    /// A request was read after the shutdown signal.
    IN_STOP = 209 Info "read_in_stop";
    /// Endpoints died while they ran requests of this content.
    SUSPECTED = 210 Info "request_suspected";
    /// The retry budget of a service allowed a retry, or refused it.
    RETRY = 211 Info "retry";
    /// A request was handed to another instance, as this one reaches no endpoint that could run it.
    HANDED_OVER = 212 Info "handed_over";
    /// A caller resumes a stream that an earlier request of it began.
    TAKEN_UP = 213 Info "stream_taken_up";
    /// A request is not sent, as a part of its prompt is held to crash endpoints.
    PART_REFUSED = 214 Info "part_refused";
    /// A listener closed connections for others, or refused some, as it held all that it may.
    CROWDED = 215 Warn "connections_turned_away";
    /// Notice arrived that an instance will be reclaimed.
    NOTICE = 301 Warn "reclaim_notice";
    /// An endpoint died.
    ENDPOINT_DIED = 302 Warn "endpoint_died";
    /// An endpoint was added, is leaving or is gone.
    ENDPOINT = 303 Info "endpoint";
    /// The limit that an endpoint names in its answers changed, or cannot be read.
    ENDPOINT_LIMIT = 304 Info "endpoint_limit";
    /// This instance can no longer open connections to an endpoint, or can again.
    ENDPOINT_REACH = 305 Info "endpoint_reach";
    /// This instance can no longer open connections to any endpoint of a service, or can again.
    SERVICE_REACH = 306 Warn "service_reach";
    /// The rejections that an endpoint stands, as its answers say, changed.
    ENDPOINT_BRITTLE = 307 Info "endpoint_brittle";
    /// An answer cleared a part of prompts of the crashes that it was a suspect of.
    PART_CLEARED = 308 Info "part_cleared";
    /// A part of prompts is held to crash endpoints, or no longer.
    PART_CONDEMNED = 309 Warn "part_condemned";
    /// This instance became or ceased to be the steward of a service, which issues its orders.
    STEWARD = 311 Info "steward";
    /// An order was sent to an engine.
    ORDER = 312 Info "order";
    /// An order was refused, or its response was lost.
    ORDER_FAILED = 313 Warn "order_failed";
    /// An instance was started.
    START = 314 Info "instance_started";
    /// A start or stop of an instance was refused, or its response was lost.
    START_FAILED = 315 Warn "instance_start_failed";
    /// An instance was released.
    STOP = 316 Info "instance_stopped";
    /// Endpoints were ordered or released, or the attempt failed.
    ORDERED = 317 Info "endpoints_ordered";
    /// A period in which an endpoint wants no requests from this instance began or ended.
    ENDPOINT_BACKOFF = 318 Info "endpoint_backoff";
    /// What an endpoint says of itself in its answers cannot be read.
    ENDPOINT_STATEMENT = 319 Info "endpoint_statement";
    /// An entry instance joined, is leaving, died or is suspected of having failed.
    MEMBER = 401 Info "member";
    /// A connection to another entry instance failed.
    LINK_FAILED = 402 Warn "link_failed";
    /// The control thread of this instance was stalled.
    STALLED = 403 Warn "own_stall";
    /// This instance became active or went on standby.
    ROLE = 404 Info "role";
    /// The table of versions that begin streams changed.
    VERSIONS = 405 Info "versions";
    /// The slot table was written, or the write failed.
    SLOTS = 411 Info "slots";
    /// A slot could not be copied.
    COPY_FAILED = 412 Warn "copy_failed";
    /// A slot was handed over without using the key-value service.
    YIELDED = 413 Info "slot_yielded";
    /// A request that a lost primary had sent ended with an unknown outcome.
    ORPHAN = 414 Warn "orphan_ended";
    /// A restarted primary asked its backup to take over a slot.
    CEDED = 415 Info "slot_ceded";
    /// The primary of a request ended a call or a stream without an answer.
    OWNER_LOST = 416 Info "owner_lost";
    /// A configuration is in force.
    ADOPTED = 501 Info "config_adopted";
    /// An older configuration was refused.
    OLDER = 502 Warn "config_older_refused";
    /// A configuration was refused because it is invalid.
    BAD_CATALOG = 503 Error "config_bad";
    /// The key-value service had lost the configuration in force; it was restored.
    RESTORED = 504 Warn "config_restored";
    /// A newer configuration is known to exist but is not in force yet.
    BEHIND = 505 Warn "config_behind";
    /// An operator ordered the upgrade of a service to another version.
    UPGRADE_ORDERED = 506 Info "upgrade_ordered";
    /// The upgrade of a service progressed, was completed or was rolled back.
    UPGRADE = 507 Info "upgrade";
    /// An order to upgrade a service cannot be parsed.
    UPGRADE_BAD = 508 Error "upgrade_bad";
    /// The status of an upgrade could not be reported to operators.
    UPGRADE_UNTOLD = 509 Warn "upgrade_untold";
    /// A call of the key-value service failed.
    STORE_FAILED = 601 Warn "store_failed";
    /// The instance list or the notices could not be read.
    LIST_FAILED = 602 Warn "instance_list_failed";
    /// Changes to a part of the store are received again, or no longer.
    STORE = 603 Info "store_followed";
    /// The store was restored from an older copy.
    STORE_ERA = 604 Warn "store_era";
    /// A part of the store could not be listed for some seconds.
    STORE_UNREAD = 605 Warn "store_unread";
    /// This instance became leader or ceased to be.
    LEADER = 611 Info "leader";
    /// The usage of a time window was reported, or the report failed.
    USAGE = 612 Info "usage_reported";
    /// A plan was made.
    PLANNED = 701 Info "plan_made";
    /// The confirmation of a plan was decided, or could not be.
    CONFIRMED = 702 Info "plan_confirmed";
}
