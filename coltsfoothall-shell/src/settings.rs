//! Settings files in YAML. Errors name the file, the field and the reason.
//!
//! A settings struct derives `Deserialize` with `default` and
//! `deny_unknown_fields` and implements [`Check`] for rules that its types cannot express.

use std::fs;
use std::path::{Path, PathBuf};

use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest settings file in bytes; it keeps a mistyped path from filling memory.
pub const MAX_LEN: u64 = 1 << 20;

/// Separator between a YAML key and its value.
const COLON: char = ':';

/// An invalid field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Dotted path of the field.
    pub field: String,
    /// Why the value is invalid.
    pub reason: String,
}

impl Fault {
    /// Creates a fault for `field`.
    #[must_use]
    pub fn new(field: impl Into<String>, reason: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            reason: reason.into(),
        }
    }

    /// Prefixes the path with `parent`, the field of the enclosing struct.
    #[must_use]
    pub fn within(self, parent: &str) -> Self {
        Self {
            field: format!("{parent}.{}", self.field),
            ..self
        }
    }
}

quick_error! {
    /// The settings could not be loaded.
    #[derive(Debug)]
    pub enum Error {
        /// The file cannot be read.
        Read(file: PathBuf, message: String) {
            display("settings {}: cannot read the file: {message}", file.display())
        }
        /// The file is longer than [`MAX_LEN`].
        Large(file: PathBuf) {
            display("settings {}: file is over {MAX_LEN} bytes", file.display())
        }
        /// A field is unknown, missing or has a bad value.
        Field(file: PathBuf, line: u64, fault: Fault) {
            display(
                "settings {}, line {line}, field {}: {}",
                file.display(),
                fault.field,
                fault.reason
            )
        }
        /// The fields are well-formed but violate a rule of [`Check`].
        Rule(file: PathBuf, fault: Fault) {
            display(
                "settings {}, field {}: {}",
                file.display(),
                fault.field,
                fault.reason
            )
        }
    }
}

/// Validation after parsing.
pub trait Check {
    /// Checks the rules.
    ///
    /// # Errors
    /// The first field that violates a rule.
    fn check(&self) -> Result<(), Fault>;
}

/// Reads and validates the settings in `file`.
///
/// # Errors
/// The file cannot be read or is too large, or a field is invalid; the error names the file and,
/// for an invalid field, the field and the reason.
pub fn load<T: DeserializeOwned + Check>(file: &Path) -> Result<T, Error> {
    let read = |error: std::io::Error| Error::Read(file.into(), error.to_string());
    if fs::metadata(file).map_err(read)?.len() > MAX_LEN {
        return Err(Error::Large(file.into()));
    }
    let text = fs::read_to_string(file).map_err(read)?;
    parse(file, &text)
}

/// Parses and validates settings from `text`; `file` is only used in errors.
///
/// # Errors
/// As [`load`].
pub fn parse<T: DeserializeOwned + Check>(file: &Path, text: &str) -> Result<T, Error> {
    // A file without fields, such as one of comments only, is parsed as an empty mapping, so that
    // all fields take their defaults.
    let blank = text
        .lines()
        .all(|line| scan_key(line).is_none() && is_blank(line));
    let text = if blank { "{}" } else { text };
    let settings: T =
        serde_saphyr::from_str(text).map_err(|error| locate_error(file, text, &error))?;
    match settings.check() {
        Ok(()) => Ok(settings),
        Err(fault) => Err(Error::Rule(file.into(), fault)),
    }
}

/// Output of `--check-settings`: a line that the file is valid, then all effective values.
///
/// # Errors
/// As [`load`].
pub fn describe<T: DeserializeOwned + Check + Serialize>(file: &Path) -> Result<String, Error> {
    let settings: T = load(file)?;
    let values = serde_saphyr::to_string(&settings)
        .map_err(|error| Error::Read(file.into(), error.to_string()))?;
    Ok(format!("# {}: settings are good\n{values}", file.display()))
}

fn is_blank(line: &str) -> bool {
    let line = line.trim_start();
    line.is_empty() || line.starts_with('#')
}

/// Converts a parser error into one that names the field.
fn locate_error(file: &Path, text: &str, error: &serde_saphyr::Error) -> Error {
    let line = error.location().map_or(1, |location| location.line());
    let reason = strip_position(&error.without_snippet().to_string());
    let (line, field) = if let Some(name) = quoted(&reason, "unknown field `") {
        // The parser reports the position of the value before the field.
        let line = find(text, line, name);
        (line, path(text, line))
    } else if let Some(name) = quoted(&reason, "missing field `") {
        // The parser reports the position of the first field of the struct.
        let sibling = path(text, line);
        let parent = sibling.rsplit_once('.').map(|(parent, _)| parent);
        (
            line,
            parent.map_or(name.into(), |parent| format!("{parent}.{name}")),
        )
    } else {
        (line, path(text, line))
    };
    Error::Field(file.into(), line, Fault { field, reason })
}

/// Strips the position that the parser appends to its message.
fn strip_position(message: &str) -> String {
    let message = message.lines().next().unwrap_or_default();
    let end = message.rfind(" at line ").unwrap_or(message.len());
    message[..end].into()
}

/// The name that follows `start` in serde's message, up to the closing backtick.
fn quoted<'a>(message: &'a str, start: &str) -> Option<&'a str> {
    message.split_once(start)?.1.split('`').next()
}

/// The first line at or after `line` that has the key `name`; `line` if there is none.
fn find(text: &str, line: u64, name: &str) -> u64 {
    (1..)
        .zip(text.lines())
        .skip_while(|(number, _)| *number < line)
        .find(|(_, text)| scan_key(text) == Some(name))
        .map_or(line, |(number, _)| number)
}

/// Dotted path of the field on `line`, derived from the indentation of the lines before it.
fn path(text: &str, line: u64) -> String {
    let count = usize::try_from(line).unwrap_or(usize::MAX);
    let mut parts: Vec<&str> = Vec::new();
    let mut indent = usize::MAX;
    let lines: Vec<&str> = text.lines().take(count).collect();
    for line in lines.iter().rev() {
        let Some(key) = scan_key(line) else { continue };
        let depth = line.find(key).unwrap_or_default();
        if depth < indent {
            indent = depth;
            parts.push(key);
        }
    }
    parts.reverse();
    parts.join(".")
}

/// The key at the start of `line`, taken as a line of a block mapping.
fn scan_key(line: &str) -> Option<&str> {
    let line = line.trim_start().trim_start_matches("- ").trim_start();
    let (key, _value) = line.split_once(COLON)?;
    let is_key_char = |c: char| c.is_ascii_alphanumeric() || "_-\"'".contains(c);
    (!key.is_empty() && key.chars().all(is_key_char)).then_some(key)
}
