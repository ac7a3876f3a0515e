//! The state that all tasks of an entry instance share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hyper::header::HeaderValue;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use coltsfoothall::clock::Time;
use coltsfoothall::record::Name;
use coltsfoothall_shell::event::BROKEN;
use coltsfoothall_shell::metric::{self, Board, Labels};
use coltsfoothall_wire::body;
use coltsfoothall_wire::client::Client;
use coltsfoothall_wire::fault::{Code, Fault, Outcome};

use crate::endpoint::Runner;
use crate::link::Links;
use crate::message::Handle;
use crate::owned::Requests;
use crate::settings::Settings;
use crate::store::Store;
use crate::view::View;

/// The state that all tasks of an entry instance share.
#[derive(Debug)]
pub struct Node {
    /// The settings.
    pub settings: Settings,
    /// HTTP client for other entry instances, endpoints and the platform.
    pub client: Client,
    /// The platform's key-value service.
    pub store: Box<dyn Store>,
    /// The runtime that serves requests, as opposed to the control thread's.
    pub traffic: tokio::runtime::Handle,
    /// Runs attempts at endpoints.
    pub runner: Box<dyn Runner>,
    /// The requests that this instance owns.
    pub requests: Requests,
    /// Memory for the bodies that are being read.
    pub bodies: body::Memory,
    /// Connections to other entry instances.
    pub links: Links,
    /// The handle to the control thread.
    pub control: Handle,
    /// The metrics.
    pub board: Board,
    /// Start of the process, which is the zero of [`Time`].
    pub start: Instant,
    /// The snapshots of the control state.
    pub views: watch::Receiver<Arc<View>>,
    /// Number of invariant violations found.
    pub violations: AtomicU64,
    /// Cancelled when a planned stop of this instance begins.
    pub stop: CancellationToken,
}

impl Node {
    /// The latest snapshot of the control state.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.views.borrow())
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::since_start(self.start.elapsed())
    }

    /// The authorization header between entry instances.
    #[must_use]
    pub fn peer_bearer(&self) -> HeaderValue {
        let text = format!("Bearer {}", self.settings.peer_token);
        HeaderValue::from_str(&text).expect("the settings check rejects other characters")
    }

    /// Cancels a request, wherever it is owned.
    ///
    /// # Errors
    /// The owner cannot be reached, or knows no such request.
    pub async fn cancel(&self, name: Name) -> Result<(), Fault> {
        let view = self.view();
        let slot = view.slot(&name.key);
        let not_found = || Fault::new(Code::NotFound, format!("no request {} is known", name.key));
        let entry = view.table.entry(slot).ok_or_else(not_found)?;
        if self.requests.cancel(&name) {
            return Ok(());
        }
        for owner in std::iter::once(&entry.primary).chain(&entry.backup) {
            if *owner != self.settings.instance && self.links.cancel(owner, &name).await {
                return Ok(());
            }
        }
        Err(not_found())
    }

    /// Reports a violated invariant in the count, the metrics and the log.
    pub fn report_violation(&self, rule: &'static str, error: &dyn std::fmt::Display) {
        self.violations.fetch_add(1, Ordering::Relaxed);
        self.board.broken(rule);
        BROKEN.emit(format_args!("rule={rule} error=\"{error}\""));
    }

    /// The labels of a request's metrics.
    #[must_use]
    pub fn labels(&self, name: &Name, class: coltsfoothall::record::Class) -> Labels {
        self.board.labels(&name.workspace, class)
    }

    /// Counts the end of a request.
    pub fn count_end(&self, labels: &Labels, fault: Option<&Fault>) {
        let end = match fault {
            None => metric::End {
                code: "ok",
                outcome: "done",
            },
            Some(fault) => metric::End {
                code: code(fault.code),
                outcome: outcome(fault.outcome),
            },
        };
        self.board.ended(labels, end);
    }

    /// Records the latency of a complete answer and counts its end.
    pub fn measure_end(&self, labels: &Labels, span: Duration) {
        self.board.latency(labels, span);
        self.count_end(labels, None);
    }
}

fn code(code: Code) -> &'static str {
    match code {
        Code::BadRequest => "bad_request",
        Code::Unauthorized => "unauthorized",
        Code::NotFound => "not_found",
        Code::TooLarge => "too_large",
        Code::KeyReused => "key_reused",
        Code::Limited => "limited",
        Code::Overloaded => "overloaded",
        Code::NoEndpoint => "no_endpoint",
        Code::NotSafe => "not_safe",
        Code::Unavailable => "unavailable",
        Code::Deadline => "deadline",
        Code::Cancelled => "cancelled",
        Code::Poisonous => "poisonous",
        Code::Failed => "failed",
        Code::LedgerLost => "ledger_lost",
        Code::Stale => "stale",
        Code::StoreDown => "store_down",
        Code::Internal => "internal",
    }
}

fn outcome(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::NotRun => "not_run",
        Outcome::Unknown => "unknown",
    }
}
