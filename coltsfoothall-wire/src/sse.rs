//! Server-sent events: the subset of the format that answers use.

use std::fmt::Write;

/// A server-sent event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Event {
    /// Value of the `id` field, if present.
    pub id: Option<String>,
    /// Values of the `data` fields, joined by line feeds.
    pub data: String,
}

impl Event {
    /// Encodes the event, including the empty line that ends it.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut text = String::with_capacity(self.data.len() + 32);
        if let Some(id) = &self.id {
            writeln!(text, "id: {id}").expect("writing to a string cannot fail");
        }
        for line in self.data.split('\n') {
            writeln!(text, "data: {line}").expect("writing to a string cannot fail");
        }
        text.push('\n');
        text
    }
}

/// Returns the length of the first complete event, including the empty line that ends it.
fn event_len(bytes: &[u8]) -> Option<usize> {
    let mut start = 0;
    while let Some(line) = bytes[start..].iter().position(|b| *b == b'\n') {
        let blank = matches!(&bytes[start..start + line], b"" | b"\r");
        start += line + 1;
        if blank {
            return Some(start);
        }
    }
    None
}

/// Parses one complete event; unknown fields are ignored.
fn parse_event(bytes: &[u8]) -> Event {
    let text = String::from_utf8_lossy(bytes);
    let mut event = Event::default();
    let mut first = true;
    for line in text.lines() {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "id" => event.id = Some(value.into()),
            "data" => {
                if !first {
                    event.data.push('\n');
                }
                event.data.push_str(value);
                first = false;
            }
            _ => {}
        }
    }
    event
}

/// Decodes events from a stream of bytes.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: Vec<u8>,
    limit: usize,
}

impl Decoder {
    /// Creates a decoder for events of at most `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            buffer: Vec::new(),
            limit,
        }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next complete event that carries data from the buffer and returns it.
    pub fn next_event(&mut self) -> Option<Event> {
        while let Some(end) = event_len(&self.buffer) {
            let event = parse_event(&self.buffer[..end]);
            self.buffer.drain(..end);
            if !event.data.is_empty() {
                return Some(event);
            }
        }
        None
    }

    /// Whether an incomplete event exceeds the limit.
    #[must_use]
    pub fn overflown(&self) -> bool {
        self.buffer.len() > self.limit
    }
}

/// Start of the line that holds an event's id.
const ID_PREFIX: &[u8] = b"id:";

/// Splits a stream at event boundaries, so that complete events are forwarded byte for byte. Each
/// byte is searched once, however many parts an event arrives in.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: Vec<u8>,
    /// Where the last line of the buffer starts.
    line: usize,
    last: Option<String>,
    events: u64,
}

impl Splitter {
    /// Appends received bytes; returns the bytes of all events that are now complete.
    pub fn push(&mut self, bytes: bytes::Bytes) -> Option<bytes::Bytes> {
        let mut buffer = std::mem::take(&mut self.buffer);
        let mut line = std::mem::take(&mut self.line);
        let mut searched = buffer.len();
        let is_first = buffer.is_empty();
        if !is_first {
            buffer.extend_from_slice(&bytes);
        }
        let all: &[u8] = if is_first { &bytes } else { &buffer };
        let mut end = 0;
        while let Some(length) = all[searched..].iter().position(|b| *b == b'\n') {
            let line_end = searched + length;
            searched = line_end + 1;
            if matches!(&all[line..line_end], b"" | b"\r") {
                self.record_event(&all[end..searched]);
                end = searched;
            }
            line = searched;
        }
        self.line = line - end;
        if end == 0 {
            if is_first {
                buffer.extend_from_slice(&bytes);
            }
            self.buffer = buffer;
            return None;
        }
        let bytes = if is_first {
            bytes
        } else {
            bytes::Bytes::from(buffer)
        };
        self.buffer.extend_from_slice(&bytes[end..]);
        Some(bytes.slice(..end))
    }

    /// Id of the last complete event that had one.
    #[must_use]
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Number of complete events so far.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Whether an incomplete event is buffered.
    #[must_use]
    pub fn is_within(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Number of bytes of an incomplete event that are buffered.
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Drops an incomplete event whose remaining bytes will not arrive.
    pub fn discard(&mut self) {
        self.buffer = Vec::new();
        self.line = 0;
    }

    fn record_event(&mut self, event: &[u8]) {
        self.events += 1;
        let line = event
            .split(|b| *b == b'\n')
            .find(|line| line.starts_with(ID_PREFIX));
        if let Some(line) = line {
            let id = String::from_utf8_lossy(&line[ID_PREFIX.len()..]);
            self.last = Some(id.trim().into());
        }
    }
}
