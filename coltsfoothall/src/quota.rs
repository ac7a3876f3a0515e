//! Limits of one workspace: requests open at once, and new ones a second.

use std::time::Duration;

use crate::catalog::Workspace;
use crate::clock::Time;
use crate::id;

/// Limits of one workspace, all services together.
#[derive(Debug)]
pub(crate) struct Quota {
    pub(crate) workspace: id::Workspace,
    pub(crate) share: u32,
    pub(crate) most_open: u32,
    rate: f64,
    /// New requests that may come at once.
    saved: f64,
    saved_at: Time,
    /// Requests that wait or are open.
    pub(crate) open: u32,
}

impl Quota {
    /// The limits of a workspace, with what is known of it from before.
    pub(crate) fn new(workspace: &Workspace, had: Option<&Self>) -> Self {
        let rate = workspace.rate.0 as f64;
        // A rate that is new starts full.
        let limited = had.filter(|had| had.rate > 0.0);
        Self {
            workspace: workspace.name.clone(),
            share: workspace.share,
            most_open: workspace.open,
            rate,
            saved: limited.map_or(rate, |had| had.saved.min(rate)),
            saved_at: had.map_or(Time::START, |had| had.saved_at),
            open: had.map_or(0, |had| had.open),
        }
    }

    /// Takes one new request from the rate, which saves up one second.
    pub(crate) fn take(&mut self, now: Time) -> Result<(), Duration> {
        if self.rate <= 0.0 {
            return Ok(());
        }
        let gained = now.since(self.saved_at).as_secs_f64() * self.rate;
        self.saved = (self.saved + gained).min(self.rate.max(1.0));
        self.saved_at = now;
        if self.saved < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.saved) / self.rate));
        }
        self.saved -= 1.0;
        Ok(())
    }
}
