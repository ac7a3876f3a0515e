//! An answer as far as callers may see it, and those who follow it.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use coltsfoothall::record::{Answer, End, Finish, Mark, Record};
use coltsfoothall::size::Millis;
use coltsfoothall_wire::peer::Piece;

/// How a feed ended.
#[derive(Debug, Clone, Copy)]
enum Close {
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
    close: Option<Close>,
    /// When the last follower left, or the feed began.
    left: Instant,
}

impl Default for State {
    fn default() -> Self {
        Self {
            text: String::new(),
            marks: Vec::new(),
            finish: None,
            answer: None,
            close: None,
            left: Instant::now(),
        }
    }
}

/// What callers may see of one answer.
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
    /// The feed of a record that has ended.
    #[must_use]
    pub fn ended(record: &Record, end: End) -> Arc<Self> {
        let feed = Self::default();
        feed.end(record, end, None);
        Arc::new(feed)
    }

    /// Shows a record's answer up to `tokens` tokens.
    pub fn show(&self, record: &Record, tokens: u64) {
        let mut state = self.state();
        let have = state.marks.len();
        let until = record.marks.partition_point(|mark| mark.tokens <= tokens);
        if until > have {
            let from = state.text.len();
            let end = record.marks[until - 1].bytes;
            state.text.push_str(&record.text[from..end]);
            state.marks.extend_from_slice(&record.marks[have..until]);
        }
        drop(state);
        self.changed.send_replace(());
    }

    /// Shows the end of a record, which the backup holds; only the first end counts.
    pub fn end(&self, record: &Record, end: End, retry_after: Option<Duration>) {
        self.show(record, record.tokens());
        let mut state = self.state();
        if state.close.is_none() {
            state.finish = record.finish;
            state.answer.clone_from(&record.answer);
            let retry_after_ms = retry_after.map(Millis::from);
            state.close = Some(Close::End {
                end,
                retry_after_ms,
            });
        }
        drop(state);
        self.changed.send_replace(());
    }

    /// Tells followers that another entry instance owns the request now.
    pub fn moved(&self) {
        self.state().close.get_or_insert(Close::Moved);
        self.changed.send_replace(());
    }

    /// Whether the feed has ended.
    #[must_use]
    pub fn closed(&self) -> bool {
        self.state().close.is_some()
    }

    /// For how long nobody has followed; none while somebody does.
    #[must_use]
    pub fn unfollowed(&self) -> Option<Duration> {
        let state = self.state();
        let followed = self.followers.load(Ordering::Relaxed) > 0;
        (!followed).then(|| state.left.elapsed())
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

/// One who follows a feed from an offset.
#[derive(Debug)]
pub struct Follower {
    feed: Arc<Feed>,
    changed: watch::Receiver<()>,
    tokens: u64,
    answered: bool,
    finished: bool,
}

impl Follower {
    /// Follows a feed after `tokens` tokens.
    #[must_use]
    pub fn new(feed: Arc<Feed>, tokens: u64) -> Self {
        feed.followers.fetch_add(1, Ordering::Relaxed);
        let changed = feed.changed.subscribe();
        Self {
            feed,
            changed,
            tokens,
            answered: false,
            finished: false,
        }
    }

    /// The next piece, as soon as there is one.
    pub async fn next(&mut self) -> Piece {
        loop {
            self.changed.mark_unchanged();
            if let Some(piece) = self.ready() {
                return piece;
            }
            if self.changed.changed().await.is_err() {
                return Piece::Moved;
            }
        }
    }

    fn ready(&mut self) -> Option<Piece> {
        let feed = Arc::clone(&self.feed);
        let state = feed.state();
        let seen = state
            .marks
            .partition_point(|mark| mark.tokens <= self.tokens);
        let news = state.marks.len() > seen;
        if news || (state.finish.is_some() && !self.finished) {
            let from = seen
                .checked_sub(1)
                .map_or(0, |last| state.marks[last].bytes);
            self.tokens = state.marks.last().map_or(self.tokens, |mark| mark.tokens);
            self.finished = state.finish.is_some();
            return Some(Piece::Text {
                tokens: self.tokens,
                text: state.text[from..].to_owned(),
                finish: state.finish,
            });
        }
        if let (Some(answer), false) = (&state.answer, self.answered) {
            self.answered = true;
            return Some(Piece::Answer(answer.clone()));
        }
        match state.close {
            Some(Close::End {
                end,
                retry_after_ms,
            }) => Some(Piece::End {
                end,
                retry_after_ms,
            }),
            Some(Close::Moved) => Some(Piece::Moved),
            None => None,
        }
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.feed.state().left = Instant::now();
        self.feed.followers.fetch_sub(1, Ordering::Relaxed);
    }
}
