//! A non-blocking log appender.
//!
//! Lines pass through a bounded queue to a writer thread. When the target stalls, the queue
//! fills; further lines are dropped and counted, and the count is logged as a separate line
//! once the target accepts writes again.

use std::fmt;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::Duration;

use log::Record;
use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::writer::simple::SimpleWriter;

/// Capacity of the queue in lines: one second at the highest observed rate, at about 200 bytes
/// per line.
pub const LINES: usize = 1024;
/// Interval at which [`Output::wait`] checks whether the queue has been written.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Counters shared by the callers and the writer thread.
#[derive(Debug, Default)]
struct Counts {
    waiting: AtomicUsize,
    dropped: AtomicU64,
}

/// An appender that writes in a thread of its own.
pub struct Output {
    encoder: Box<dyn Encode>,
    lines: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
}

impl fmt::Debug for Output {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Output")
            .field("counts", &self.counts)
            .finish_non_exhaustive()
    }
}

impl Output {
    /// Starts the writer thread for `target`.
    pub fn new(encoder: Box<dyn Encode>, target: Box<dyn Write + Send>) -> Self {
        let (lines, queue) = sync_channel(LINES);
        let counts = Arc::new(Counts::default());
        let shared = Arc::clone(&counts);
        // The thread is never joined, since a stalled target would block the join; it ends with
        // the process.
        drop(thread::spawn(move || write_all(&queue, target, &shared)));
        Self {
            encoder,
            lines,
            counts,
        }
    }

    /// Number of dropped lines that have not been reported in the log yet.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.counts.dropped.load(Ordering::Relaxed)
    }

    /// Waits until all queued lines are written, for at most `within`.
    pub fn wait(&self, within: Duration) {
        let polls = within.as_millis() / POLL_INTERVAL.as_millis().max(1);
        for _ in 0..polls {
            if self.counts.waiting.load(Ordering::Relaxed) == 0 {
                return;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

fn write_all(queue: &Receiver<Vec<u8>>, mut target: Box<dyn Write + Send>, counts: &Counts) {
    while let Ok(line) = queue.recv() {
        let dropped = counts.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 && writeln!(target, "WARN E107 log_dropped lines={dropped}").is_err() {
            counts.dropped.fetch_add(dropped, Ordering::Relaxed);
        }
        // A failed write is only counted: this log is the only place to report it.
        let written = target.write_all(&line).and_then(|()| target.flush());
        if written.is_err() {
            counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
        counts.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Append for Output {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::new());
        self.encoder.encode(&mut line, record)?;
        self.counts.waiting.fetch_add(1, Ordering::Relaxed);
        match self.lines.try_send(line.0) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.counts.waiting.fetch_sub(1, Ordering::Relaxed);
                self.counts.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    fn flush(&self) {
        self.wait(FLUSH_TIMEOUT);
    }
}

/// Longest time that a program waits at exit for its last log lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
