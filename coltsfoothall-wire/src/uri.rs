//! Paths and queries of URIs whose parts hold any text.

use std::borrow::Cow;
use std::fmt;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};

/// Bytes that are escaped: all but letters, digits and `-._~:/`. A blank becomes `%20`, which servers
/// decode alike whether or not they take a `+` for one.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b':')
    .remove(b'/');
/// Bytes that are escaped within one segment of a path.
const ESCAPED_IN_SEGMENT: &AsciiSet = &ESCAPED.add(b'/');

/// A path, with a query if it has parameters.
///
/// ```
/// use coltsfoothall_wire::uri::Target;
///
/// let target = Target::new("/v1/list").with("after", "50% & more");
/// assert_eq!(target.as_str(), "/v1/list?after=50%25%20%26%20more");
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    text: String,
    has_query: bool,
}

impl Target {
    /// A path that needs no escapes.
    #[must_use]
    pub fn new(path: &str) -> Self {
        Self {
            text: path.to_owned(),
            has_query: false,
        }
    }

    /// Appends text that may span several segments to the path.
    #[must_use]
    pub fn join(mut self, path: &str) -> Self {
        self.text.push('/');
        self.text.extend(utf8_percent_encode(path, ESCAPED));
        self
    }

    /// Appends one segment to the path.
    #[must_use]
    pub fn segment(mut self, segment: &str) -> Self {
        self.text.push('/');
        self.text
            .extend(utf8_percent_encode(segment, ESCAPED_IN_SEGMENT));
        self
    }

    /// Appends a parameter to the query; `name` needs no escapes.
    #[must_use]
    pub fn with(mut self, name: &str, value: &str) -> Self {
        let separator = if self.has_query { '&' } else { '?' };
        self.has_query = true;
        self.text.push(separator);
        self.text.push_str(name);
        self.text.push('=');
        self.text.extend(utf8_percent_encode(value, ESCAPED));
        self
    }

    /// The path and the query.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

/// Decodes a part of a path. Invalid escapes stay as they are.
#[must_use]
pub fn decode(text: &str) -> Cow<'_, str> {
    percent_decode_str(text).decode_utf8_lossy()
}

/// The decoded value of a parameter of a query, if it is there. As in a form, a `+` is a blank.
#[must_use]
pub fn parameter(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    Some(decode(&value.replace('+', " ")).into_owned())
}
