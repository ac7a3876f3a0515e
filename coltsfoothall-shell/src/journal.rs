//! The log: one line per event, with time, level, event number and `key=value` fields.

use std::path::PathBuf;

use log::LevelFilter;
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::pattern::PatternEncoder;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::bounded::Output;
use crate::settings::{Check, Fault};

/// Format of a line: time in UTC, level, message. [`crate::event::Event::emit`] sets the message.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";

/// Crates that are logged at the configured level; all others at `warn` at most.
const OWN_CRATES: [&str; 2] = ["coltsfoothall_entry", "coltsfoothall_shell"];

/// Name of the only appender.
const APPENDER: &str = "journal";

/// Lowest severity that is logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Nothing.
    Off,
    /// Violated invariants and lost work.
    Error,
    /// Conditions that an operator should look into.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Individual decisions.
    Debug,
    /// The most detailed level.
    Trace,
}

impl From<Level> for LevelFilter {
    fn from(level: Level) -> Self {
        match level {
            Level::Off => Self::Off,
            Level::Error => Self::Error,
            Level::Warn => Self::Warn,
            Level::Info => Self::Info,
            Level::Debug => Self::Debug,
            Level::Trace => Self::Trace,
        }
    }
}

/// Standard stream that the log is written to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stream {
    /// Standard error, which keeps the log out of the program's output.
    #[default]
    Stderr,
    /// Standard output, which log collectors read; writes never block the program.
    Stdout,
}

/// Settings of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// Lowest severity that is logged.
    pub level: Level,
    /// File to append to; if unset, the log goes to `stream`.
    pub file: Option<PathBuf>,
    /// Stream to write to when `file` is unset.
    pub stream: Stream,
}

impl Check for Log {
    fn check(&self) -> Result<(), Fault> {
        match &self.file {
            Some(file) if file.as_os_str().is_empty() => Err(Fault::new(
                "file",
                "path is empty; omit the field to log to a standard stream",
            )),
            _ => Ok(()),
        }
    }
}

quick_error! {
    /// The log could not be started.
    #[derive(Debug)]
    pub enum Error {
        /// The file cannot be opened.
        File(file: PathBuf, message: String) {
            display("log: cannot open {}: {message}", file.display())
        }
        /// The logger rejects its configuration, or this process already has one.
        Start(message: String) {
            display("log: cannot start: {message}")
        }
    }
}

/// Starts the log of this process.
///
/// # Errors
/// The file cannot be opened, or the log was already started.
pub fn start(log: &Log) -> Result<(), Error> {
    let appender = Appender::builder().build(APPENDER, appender(log)?);
    let level = LevelFilter::from(log.level);
    // Libraries may log every call, so only their warnings and errors are kept.
    let root = Root::builder()
        .appender(APPENDER)
        .build(level.min(LevelFilter::Warn));
    let own_loggers = OWN_CRATES
        .iter()
        .map(|name| Logger::builder().build(*name, level));
    let config = Config::builder()
        .appender(appender)
        .loggers(own_loggers)
        .build(root)
        .map_err(|error| Error::Start(error.to_string()))?;
    match log4rs::init_config(config) {
        Ok(_handle) => Ok(()),
        Err(error) => Err(Error::Start(error.to_string())),
    }
}

fn appender(log: &Log) -> Result<Box<dyn Append>, Error> {
    let encoder = Box::new(PatternEncoder::new(PATTERN));
    let Some(file) = &log.file else {
        return Ok(match log.stream {
            Stream::Stderr => {
                let console = ConsoleAppender::builder().target(Target::Stderr);
                Box::new(console.encoder(encoder).build())
            }
            Stream::Stdout => Box::new(Output::new(encoder, Box::new(std::io::stdout()))),
        });
    };
    match FileAppender::builder().encoder(encoder).build(file) {
        Ok(appender) => Ok(Box::new(appender)),
        Err(error) => Err(Error::File(file.clone(), error.to_string())),
    }
}
