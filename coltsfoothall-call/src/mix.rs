//! Mixes of requests for the load tool, in YAML, and prompts drawn from them.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use coltsfoothall::id;
use coltsfoothall_shell::settings::{Check, Fault};
use coltsfoothall_wire::caller::{Class, Prompt};
use hyper::Method;

use crate::ask::{Ask, Origin, Work};

/// Most words of a prompt; it bounds the load tool's memory.
const WORDS: u32 = 200_000;

/// Whole numbers from one bound to the other, both in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Span {
    /// Least.
    pub min: u32,
    /// Most.
    pub max: u32,
}

impl Span {
    fn draw(self, rng: &mut Pcg64Mcg) -> u32 {
        rng.random_range(self.min..=self.max)
    }

    fn check(self, field: &str, max: u32) -> Result<(), Fault> {
        let good = 0 < self.min && self.min <= self.max && self.max <= max;
        let reason = format!("must be from 1 to {max}, with min no more than max");
        if good {
            Ok(())
        } else {
            Err(Fault::new(field, reason))
        }
    }
}

/// One kind of completion.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Completion {
    /// Share of the requests, against those of the other kinds.
    pub weight: f64,
    /// The model or adapter.
    pub model: String,
    /// Documents that prompts begin with; requests that share one share a prefix.
    pub documents: u32,
    /// Words of a document.
    pub document: Span,
    /// Words of the question behind it.
    pub question: Span,
    /// Most tokens to ask for.
    pub tokens: Span,
    /// How urgent.
    pub class: Class,
    /// Whether to answer in parts.
    pub stream: bool,
    /// Whether the system mints the keys.
    pub mint: bool,
}

impl Default for Completion {
    fn default() -> Self {
        Self {
            weight: 1.0,
            model: String::new(),
            documents: 8,
            document: Span { min: 50, max: 200 },
            question: Span { min: 5, max: 20 },
            tokens: Span { min: 16, max: 64 },
            class: Class::default(),
            stream: true,
            mint: false,
        }
    }
}

/// One kind of plain call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Call {
    /// Share of the requests, against those of the other kinds.
    pub weight: f64,
    /// The service.
    pub service: String,
    /// Path within it.
    pub path: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

impl Default for Call {
    fn default() -> Self {
        Self {
            weight: 1.0,
            service: String::new(),
            path: "/check".into(),
            idempotent: true,
        }
    }
}

/// A mix of requests.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mix {
    /// Kinds of completions.
    pub completions: Vec<Completion>,
    /// Kinds of plain calls.
    pub calls: Vec<Call>,
}

impl Check for Mix {
    fn check(&self) -> Result<(), Fault> {
        for (index, kind) in self.completions.iter().enumerate() {
            let place = format!("completions.{index}");
            kind.check().map_err(|fault| fault.within(&place))?;
        }
        for (index, kind) in self.calls.iter().enumerate() {
            let place = format!("calls.{index}");
            kind.check().map_err(|fault| fault.within(&place))?;
        }
        if self.total() > 0.0 {
            Ok(())
        } else {
            Err(Fault::new(
                "completions",
                "a mix needs a kind with a weight above 0",
            ))
        }
    }
}

impl Check for Completion {
    fn check(&self) -> Result<(), Fault> {
        weight(self.weight)?;
        if self.model.is_empty() {
            return Err(Fault::new("model", "must not be empty"));
        }
        if self.documents == 0 {
            return Err(Fault::new("documents", "must be at least 1"));
        }
        self.document.check("document", WORDS)?;
        self.question.check("question", WORDS)?;
        self.tokens.check("tokens", 32_768)
    }
}

impl Check for Call {
    fn check(&self) -> Result<(), Fault> {
        weight(self.weight)?;
        let name: Result<id::Service, id::Error> = self.service.parse();
        match name {
            Ok(_name) => Ok(()),
            Err(error) => Err(Fault::new("service", error.to_string())),
        }
    }
}

fn weight(weight: f64) -> Result<(), Fault> {
    if weight.is_finite() && weight >= 0.0 {
        Ok(())
    } else {
        Err(Fault::new("weight", "must be 0 or more"))
    }
}

impl Mix {
    fn total(&self) -> f64 {
        let completions: f64 = self.completions.iter().map(|kind| kind.weight).sum();
        let calls: f64 = self.calls.iter().map(|kind| kind.weight).sum();
        completions + calls
    }

    /// Draws the request with this number; no two requests are equal.
    pub fn draw(&self, number: u64, rng: &mut Pcg64Mcg) -> Option<Ask> {
        let mut place = rng.random_range(0.0..1.0) * self.total();
        for kind in &self.completions {
            if place < kind.weight {
                return Some(kind.draw(number, rng));
            }
            place -= kind.weight;
        }
        for kind in &self.calls {
            if place < kind.weight {
                return kind.draw(number);
            }
            place -= kind.weight;
        }
        None
    }
}

impl Completion {
    fn draw(&self, number: u64, rng: &mut Pcg64Mcg) -> Ask {
        let document = rng.random_range(0..self.documents);
        // The same document has the same words in each request.
        let spread = self.document.max - self.document.min + 1;
        let words = self.document.min + document.wrapping_mul(7919) % spread;
        let mut prompt = format!("document {document}");
        for word in 0..words {
            prompt.push_str(&format!(" d{document}w{word}"));
        }
        prompt.push_str(&format!(" question {number}"));
        for _ in 0..self.question.draw(rng) {
            prompt.push_str(&format!(" q{}", rng.random_range(0..10_000)));
        }
        let prompt = Prompt {
            model: self.model.clone(),
            prompt,
            max_tokens: self.tokens.draw(rng).into(),
            stream: self.stream,
        };
        Ask {
            class: self.class,
            origin: if self.mint {
                Origin::Minted
            } else {
                Origin::Own
            },
            ..Ask::from(prompt)
        }
    }
}

impl Call {
    fn draw(&self, number: u64) -> Option<Ask> {
        let work = Work::Call {
            service: self.service.parse().ok()?,
            method: Method::POST,
            path: self.path.clone(),
            body: format!("call {number}").into(),
        };
        Some(Ask {
            idempotent: Some(self.idempotent),
            ..Ask::new(work)
        })
    }
}
