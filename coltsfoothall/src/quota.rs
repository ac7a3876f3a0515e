//! Limits of one workspace: concurrent requests and new requests per second.

use std::time::Duration;

use crate::catalog::Workspace;
use crate::clock::Time;
use crate::id;

/// Limits of one workspace over all services.
#[derive(Debug)]
pub(crate) struct Quota {
    pub(crate) workspace: id::Workspace,
    pub(crate) share: u32,
    pub(crate) max_open: u32,
    rate: f64,
    /// Number of new requests that may arrive at once.
    tokens: f64,
    updated_at: Time,
    /// Number of waiting or open requests.
    pub(crate) open: u32,
}

impl Quota {
    /// Creates the limits of a workspace, keeping the state of its previous limits.
    pub(crate) fn new(workspace: &Workspace, previous: Option<&Self>) -> Self {
        let rate = workspace.rate.0 as f64;
        // A workspace that previous no rate limit starts with a full bucket.
        let limited = previous.filter(|previous| previous.rate > 0.0);
        Self {
            workspace: workspace.name.clone(),
            share: workspace.share,
            max_open: workspace.open,
            rate,
            tokens: limited.map_or(rate, |previous| previous.tokens.min(rate)),
            updated_at: previous.map_or(Time::START, |previous| previous.updated_at),
            open: previous.map_or(0, |previous| previous.open),
        }
    }

    /// Takes one request from the token bucket, which holds up to one second of the rate.
    pub(crate) fn take(&mut self, now: Time) -> Result<(), Duration> {
        if self.rate <= 0.0 {
            return Ok(());
        }
        let gained = now.since(self.updated_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.rate.max(1.0));
        self.updated_at = now;
        if self.tokens < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
