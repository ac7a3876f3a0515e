//! A planned stop, asked for by a signal.

use std::io;

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// A token that is cancelled by the first SIGTERM or SIGINT.
///
/// # Errors
/// The signals cannot be listened to, or there is no runtime.
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
