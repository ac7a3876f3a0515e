//! The part of an answer that has been released to callers, and its followers.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use coltsfoothall::record::{Answer, End, Finish, Mark, Record};
use coltsfoothall::size::Millis;
use coltsfoothall_wire::peer::Piece;

/// How a feed was closed.
#[derive(Debug, Clone, Copy)]
enum Closed {
    End {
        end: End,
        retry_after_ms: Option<Millis>,
    },
    Moved,
}

#[derive(Debug)]
struct State {
    text: String,
    marks: Vec<Mark>,
    finish: Option<Finish>,
    answer: Option<Box<Answer>>,
    closed: Option<Closed>,
    /// When the last follower left, or when the feed was created.
    last_followed: Instant,
}

impl Default for State {
    fn default() -> Self {
        Self {
            text: String::new(),
            marks: Vec::new(),
            finish: None,
            answer: None,
            closed: None,
            last_followed: Instant::now(),
        }
    }
}

/// The released part of one answer.
#[derive(Debug)]
pub struct Feed {
    state: Mutex<State>,
    changed: watch::Sender<()>,
    followers: AtomicU32,
}

impl Default for Feed {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            changed: watch::channel(()).0,
            followers: AtomicU32::new(0),
        }
    }
}

impl Feed {
    /// Creates the feed of a record that has ended.
    #[must_use]
    pub fn ended(record: &Record, end: End) -> Arc<Self> {
        let feed = Self::default();
        feed.close(record, end, None);
        Arc::new(feed)
    }

    /// Releases a record's answer up to `tokens` tokens.
    pub fn release(&self, record: &Record, tokens: u64) {
        let mut state = self.state();
        let released = state.marks.len();
        let until = record.marks.partition_point(|mark| mark.tokens <= tokens);
        if until > released {
            let from = state.text.len();
            let end = record.marks[until - 1].bytes;
            state.text.push_str(&record.text[from..end]);
            state
                .marks
                .extend_from_slice(&record.marks[released..until]);
        }
        drop(state);
        self.changed.send_replace(());
    }

    /// Releases the end of a record, which its backup holds. Only the first end counts.
    pub fn close(&self, record: &Record, end: End, retry_after: Option<Duration>) {
        self.release(record, record.tokens());
        let mut state = self.state();
        if state.closed.is_none() {
            state.finish = record.finish;
            state.answer.clone_from(&record.answer);
            let retry_after_ms = retry_after.map(Millis::from);
            state.closed = Some(Closed::End {
                end,
                retry_after_ms,
            });
        }
        drop(state);
        self.changed.send_replace(());
    }

    /// Closes the feed, because another entry instance owns the request now.
    pub fn close_moved(&self) {
        self.state().closed.get_or_insert(Closed::Moved);
        self.changed.send_replace(());
    }

    /// Whether the feed is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.state().closed.is_some()
    }

    /// How long the feed has had no follower; `None` while it has one.
    #[must_use]
    pub fn unfollowed_for(&self) -> Option<Duration> {
        let state = self.state();
        let followed = self.followers.load(Ordering::Relaxed) > 0;
        (!followed).then(|| state.last_followed.elapsed())
    }

    /// Whether a piece ends at this offset, so that a caller can resume there.
    #[must_use]
    pub fn resumable(&self, tokens: u64) -> bool {
        let state = self.state();
        tokens == 0
            || state
                .marks
                .binary_search_by_key(&tokens, |mark| mark.tokens)
                .is_ok()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // No holder of the lock panics half way through a change.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads a feed from an offset on.
#[derive(Debug)]
pub struct Follower {
    feed: Arc<Feed>,
    changed: watch::Receiver<()>,
    tokens: u64,
    answer_sent: bool,
    finish_sent: bool,
}

impl Follower {
    /// Creates a follower that has the first `tokens` tokens already.
    #[must_use]
    pub fn new(feed: Arc<Feed>, tokens: u64) -> Self {
        feed.followers.fetch_add(1, Ordering::Relaxed);
        let changed = feed.changed.subscribe();
        Self {
            feed,
            changed,
            tokens,
            answer_sent: false,
            finish_sent: false,
        }
    }

    /// Waits for the next piece.
    pub async fn next(&mut self) -> Piece {
        loop {
            self.changed.mark_unchanged();
            if let Some(piece) = self.try_next() {
                return piece;
            }
            if self.changed.changed().await.is_err() {
                return Piece::Moved;
            }
        }
    }

    fn try_next(&mut self) -> Option<Piece> {
        let feed = Arc::clone(&self.feed);
        let state = feed.state();
        let seen = state
            .marks
            .partition_point(|mark| mark.tokens <= self.tokens);
        let has_text = state.marks.len() > seen;
        if has_text || (state.finish.is_some() && !self.finish_sent) {
            let from = seen
                .checked_sub(1)
                .map_or(0, |last| state.marks[last].bytes);
            self.tokens = state.marks.last().map_or(self.tokens, |mark| mark.tokens);
            self.finish_sent = state.finish.is_some();
            return Some(Piece::Text {
                tokens: self.tokens,
                text: state.text[from..].to_owned(),
                finish: state.finish,
            });
        }
        if let (Some(answer), false) = (&state.answer, self.answer_sent) {
            self.answer_sent = true;
            return Some(Piece::Answer(answer.clone()));
        }
        match state.closed {
            Some(Closed::End {
                end,
                retry_after_ms,
            }) => Some(Piece::End {
                end,
                retry_after_ms,
            }),
            Some(Closed::Moved) => Some(Piece::Moved),
            None => None,
        }
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.feed.state().last_followed = Instant::now();
        self.feed.followers.fetch_sub(1, Ordering::Relaxed);
    }
}
