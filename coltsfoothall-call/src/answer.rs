//! The text of an answer, put together from parts across connections.

use coltsfoothall::key::Key;
use coltsfoothall_wire::caller::{Completion, DONE, Finish, Part};
use coltsfoothall_wire::fault::{Body, Fault};
use coltsfoothall_wire::http;
use coltsfoothall_wire::sse::Event;

use crate::check::Wrong;

/// What an event did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// It brought `tokens` tokens that were not there before.
    Grown {
        /// Count of tokens.
        tokens: u64,
    },
    /// It was the end of the stream.
    Done,
    /// It was an error that ends the stream.
    Fault(Box<Fault>),
}

/// An answer under way. What has been received never changes.
#[derive(Debug, Default)]
pub struct Text {
    text: String,
    /// Tokens in `text`: the id of the last event.
    tokens: u64,
    finish: Option<Finish>,
    /// Where the present stream stands in `text`; before its end while a stream repeats it.
    at: usize,
    /// Tokens up to `at`, by the present stream's ids.
    at_tokens: u64,
}

impl Text {
    /// All text so far.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Tokens so far.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Why it ended, once its last part is there.
    #[must_use]
    pub fn finish(&self) -> Option<Finish> {
        self.finish
    }

    /// A new stream starts behind all that was received.
    pub fn resume(&mut self) {
        self.at = self.text.len();
        self.at_tokens = self.tokens;
    }

    /// A new stream starts with the first token; it must repeat what was received.
    pub fn repeat(&mut self) {
        self.at = 0;
        self.at_tokens = 0;
    }

    /// Takes the next event of the present stream.
    ///
    /// # Errors
    /// The event breaks a promise; the answer is not to be used.
    pub fn take(&mut self, key: &Key, event: &Event) -> Result<Step, Wrong> {
        if event.data == DONE {
            return self.end();
        }
        let part: Part = match http::parse(event.data.as_bytes()) {
            Ok(part) => part,
            Err(error) => return fault(&event.data, &error),
        };
        if part.id != *key {
            return Err(Wrong::Crossed(format!(
                "request {key}, part of {}",
                part.id
            )));
        }
        let id = event.id.as_deref().unwrap_or_default();
        let id: u64 = id
            .parse()
            .map_err(|_number| Wrong::Form(format!("event id {id:?} is not a count")))?;
        let [choice] = &part.choices[..] else {
            return Err(Wrong::Form(format!("{} choices", part.choices.len())));
        };
        let tokens = self.add(id, &choice.text, choice.finish_reason)?;
        Ok(Step::Grown { tokens })
    }

    /// Takes a whole answer.
    ///
    /// # Errors
    /// It is another request's, not whole, or differs from what was received.
    pub fn whole(&mut self, key: &Key, completion: &Completion) -> Result<u64, Wrong> {
        if completion.id != *key {
            let message = format!("request {key}, answer of {}", completion.id);
            return Err(Wrong::Crossed(message));
        }
        let [choice] = &completion.choices[..] else {
            return Err(Wrong::Form(format!("{} choices", completion.choices.len())));
        };
        self.repeat();
        let tokens = completion.usage.completion_tokens.0;
        let grown = self.add(tokens, &choice.text, choice.finish_reason)?;
        self.end()?;
        Ok(grown)
    }

    fn add(&mut self, id: u64, text: &str, finish: Option<Finish>) -> Result<u64, Wrong> {
        // Only a last part may bring no token.
        let rises = id > self.at_tokens || (id == self.at_tokens && finish.is_some());
        if !rises {
            return Err(Wrong::Order(format!(
                "event {id} after event {}",
                self.at_tokens
            )));
        }
        if self.finish.is_some() && id > self.tokens {
            return Err(Wrong::Order(format!("event {id} after the last part")));
        }
        let known = &self.text[self.at..];
        let shared = known.len().min(text.len());
        if known.as_bytes()[..shared] != text.as_bytes()[..shared] {
            return Err(Wrong::Changed(format!(
                "event {id} differs from what was received"
            )));
        }
        let fresh = text.get(shared..).unwrap_or_default();
        let longer = !fresh.is_empty();
        if longer && id <= self.tokens {
            return Err(Wrong::Changed(format!(
                "event {id} has more text than before"
            )));
        }
        self.text.push_str(fresh);
        self.at += text.len();
        self.at_tokens = id;
        self.finish = finish.or(self.finish);
        let grown = id.saturating_sub(self.tokens);
        self.tokens = self.tokens.max(id);
        Ok(grown)
    }

    fn end(&self) -> Result<Step, Wrong> {
        if self.finish.is_none() {
            return Err(Wrong::Cut(format!(
                "end after {} tokens, no last part",
                self.tokens
            )));
        }
        if self.at < self.text.len() {
            return Err(Wrong::Changed("a repeated stream ended earlier".into()));
        }
        Ok(Step::Done)
    }
}

/// An event that is no part may be an error.
fn fault(data: &str, part: &http::Error) -> Result<Step, Wrong> {
    match http::parse::<Body>(data.as_bytes()) {
        Ok(body) => Ok(Step::Fault(Box::new(body.error))),
        Err(_neither) => Err(Wrong::Form(format!("event is no part: {part}"))),
    }
}
