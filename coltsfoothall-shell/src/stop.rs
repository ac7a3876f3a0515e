//! Graceful shutdown on a signal.

use std::io;

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Returns a token that is cancelled by the first SIGTERM or SIGINT.
///
/// # Errors
/// The signal handlers cannot be installed, for example outside a Tokio runtime.
pub fn token() -> io::Result<CancellationToken> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let token = CancellationToken::new();
    let stop = token.clone();
    tokio::spawn(async move {
        tokio::select! {
            _closed = term.recv() => {}
            _closed = interrupt.recv() => {}
        }
        stop.cancel();
    });
    Ok(token)
}
