//! Checks that an answer is whole and belongs to its request.
//!
//! The engine stand-in writes each token as ` {digest}.{index}.{instance}`, with
//! the digest of the prompt; the plain service's stand-in echoes the body it got.

use quick_error::quick_error;
use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

use coltsfoothall_wire::http;

quick_error! {
    /// An answer that breaks a promise of the system.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Wrong {
        /// It carries another request's key or text.
        Crossed(message: String) {
            display("part of another answer: {message}")
        }
        /// Tokens are missing, repeated or out of order.
        Order(message: String) {
            display("out of order: {message}")
        }
        /// It ended before its end.
        Cut(message: String) {
            display("cut: {message}")
        }
        /// What was received before came differently afterwards.
        Changed(message: String) {
            display("changed: {message}")
        }
        /// It cannot be read.
        Form(message: String) {
            display("malformed: {message}")
        }
        /// It is said that the request did not run, but parts of its answer came.
        Ran(message: String) {
            display("ran after all: {message}")
        }
    }
}

/// Digest that all tokens of the prompt's answer carry.
#[must_use]
pub fn digest(prompt: &str) -> String {
    // The low half, as the engine stand-in has it.
    format!("{:08x}", xxh3_64(prompt.as_bytes()) as u32)
}

/// Counts the tokens of an engine stand-in's answer.
///
/// # Errors
/// A token is another prompt's, missing or repeated.
pub fn tokens(prompt: &str, text: &str) -> Result<u64, Wrong> {
    let digest = digest(prompt);
    let mut count = 0;
    let Some(text) = text.strip_prefix(' ') else {
        return if text.is_empty() {
            Ok(0)
        } else {
            Err(form(text))
        };
    };
    for token in text.split(' ') {
        token_at(&digest, count, token)?;
        count += 1;
    }
    Ok(count)
}

fn token_at(digest: &str, index: u64, token: &str) -> Result<(), Wrong> {
    let mut parts = token.splitn(3, '.');
    let (Some(own), Some(place), Some(instance)) = (parts.next(), parts.next(), parts.next())
    else {
        return Err(form(token));
    };
    let place: u64 = place.parse().map_err(|_number| form(token))?;
    if own != digest {
        return Err(Wrong::Crossed(format!("token {token:?}, digest {digest}")));
    }
    if place != index {
        return Err(Wrong::Order(format!("token {token:?} at index {index}")));
    }
    if instance.is_empty() {
        Err(form(token))
    } else {
        Ok(())
    }
}

fn form(text: &str) -> Wrong {
    let start: String = text.chars().take(80).collect();
    Wrong::Form(format!("{start:?} is no token of the engine stand-in"))
}

/// The part of a plain service's answer that is checked.
#[derive(Debug, Deserialize)]
struct Run {
    path: String,
    echo: String,
}

/// Checks that a plain service's answer echoes the path and the body.
///
/// # Errors
/// It is another call's, or it cannot be read.
pub fn echo(path: &str, body: &str, answer: &[u8]) -> Result<(), Wrong> {
    let run: Run = http::parse(answer).map_err(|error| Wrong::Form(error.to_string()))?;
    if run.echo != body {
        return Err(Wrong::Crossed(format!(
            "body {body:?} came back as {:?}",
            run.echo
        )));
    }
    if run.path.trim_start_matches('/') != path.trim_start_matches('/') {
        return Err(Wrong::Crossed(format!(
            "path {path:?} came back as {:?}",
            run.path
        )));
    }
    Ok(())
}
