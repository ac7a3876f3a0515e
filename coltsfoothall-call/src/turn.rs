//! One connection of a request: what is sent, and how the answer is read.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use tokio::time::{Instant, timeout};

use coltsfoothall::size::Millis;
use coltsfoothall_wire::caller::{Class, Completion};
use coltsfoothall_wire::fault::Fault;
use coltsfoothall_wire::sse::Decoder;
use coltsfoothall_wire::{header, http, limit};

use crate::answer::Step;
use crate::ask::Work;
use crate::caller::fault;
use crate::check::Wrong;
use crate::run::Run;

/// Why a connection brought no whole answer.
#[derive(Debug)]
pub(crate) enum Break {
    /// Nothing was sent.
    Unsent(String),
    /// It was sent, and no answer began.
    Silent(String),
    /// An answer began and broke off.
    Cut(String),
    /// An error was answered.
    Fault(Box<Fault>),
    /// The answer is wrong.
    Wrong(Wrong),
}

/// A plain service's answer.
#[derive(Debug, Default)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) body: Bytes,
}

impl Run<'_> {
    /// One connection: sends the request, or asks for the rest of its answer.
    pub(crate) async fn turn(
        &mut self,
        address: &str,
        hear: &mut (dyn FnMut(&str) + Send),
    ) -> Result<(), Break> {
        let resumed = self.known;
        let request = self.request(address)?;
        let within = self.caller.settings().head.min(self.left());
        let step = if resumed { "resume" } else { "request" };
        let answer = match self.caller.send(step, request, within).await {
            Ok(answer) => answer,
            Err(error) if error.unsent() => return Err(Break::Unsent(error.to_string())),
            Err(error) => return Err(Break::Silent(error.to_string())),
        };
        if !answer.status().is_success() {
            return self.refusal(answer).await;
        }
        self.known = true;
        if !is_stream(answer.headers()) {
            return self.whole(answer, hear).await;
        }
        if resumed {
            self.text.resume();
        } else {
            self.text.repeat();
        }
        self.stream(answer, hear).await
    }

    fn request(&self, address: &str) -> Result<Request<Full<Bytes>>, Break> {
        let class = match self.ask.class {
            Class::Interactive => "interactive",
            Class::Batch => "batch",
        };
        let path = format!("/v1/requests/{}", self.key);
        let (method, path, body) = if self.known {
            (Method::GET, path, Bytes::new())
        } else {
            (self.ask.method(), self.ask.path(), self.ask.body())
        };
        let left = Millis::from(self.left()).0.max(1);
        let mut request = self
            .caller
            .request(method, address, &path)
            .header(header::KEY, self.key.as_str())
            .header(header::CLASS, class)
            .header(header::DEADLINE, left);
        if let Some(idempotent) = self.ask.idempotent {
            request = request.header(header::IDEMPOTENT, idempotent.to_string());
        }
        if self.known && self.text.tokens() > 0 {
            request = request.header(header::LAST_EVENT, self.text.tokens());
        }
        request
            .body(Full::new(body))
            .map_err(|error| Break::Wrong(Wrong::Form(format!("request: {error}"))))
    }

    /// Reads an answer that is no success: an error, or a plain service's own answer.
    async fn refusal(&mut self, answer: Response<Incoming>) -> Result<(), Break> {
        let status = answer.status();
        let after = retry_after(answer.headers());
        let body = match timeout(self.left(), http::read(answer.into_body(), limit::ANSWER)).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => return Err(Break::Silent(error.to_string())),
            Err(_elapsed) => return Err(Break::Silent("the error did not come in time".into())),
        };
        match (fault(&body), &self.ask.work) {
            (Some(fault), _) => {
                let retry_after_ms = fault.retry_after_ms.or(after);
                Err(Break::Fault(Box::new(Fault {
                    retry_after_ms,
                    ..fault
                })))
            }
            (None, Work::Call { .. }) => {
                self.reply = reply(status, body);
                Ok(())
            }
            (None, Work::Completion(_)) => {
                let text = String::from_utf8_lossy(&body).into_owned();
                let wrong = Wrong::Form(format!("status {status} with no typed error: {text}"));
                Err(Break::Wrong(wrong))
            }
        }
    }

    /// Reads an answer that comes in one piece.
    async fn whole(
        &mut self,
        answer: Response<Incoming>,
        hear: &mut (dyn FnMut(&str) + Send),
    ) -> Result<(), Break> {
        let status = answer.status();
        let body = match timeout(self.left(), http::read(answer.into_body(), limit::ANSWER)).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => return Err(Break::Cut(error.to_string())),
            Err(_elapsed) => return Err(Break::Cut("the body did not come in time".into())),
        };
        if matches!(self.ask.work, Work::Call { .. }) {
            self.reply = reply(status, body);
            return Ok(());
        }
        let completion: Completion = http::parse(&body)
            .map_err(|error| Break::Wrong(Wrong::Form(format!("completion: {error}"))))?;
        let heard = self.text.as_str().len();
        let tokens = self
            .text
            .whole(&self.key, &completion)
            .map_err(Break::Wrong)?;
        hear(&self.text.as_str()[heard..]);
        self.grown(tokens);
        Ok(())
    }

    /// Reads an answer that comes in parts.
    async fn stream(
        &mut self,
        answer: Response<Incoming>,
        hear: &mut (dyn FnMut(&str) + Send),
    ) -> Result<(), Break> {
        let mut body = answer.into_body();
        let mut decoder = Decoder::new(limit::EVENT);
        loop {
            while let Some(event) = decoder.next_event() {
                let heard = self.text.as_str().len();
                match self.text.take(&self.key, &event).map_err(Break::Wrong)? {
                    Step::Grown { tokens } => self.grown(tokens),
                    Step::Done => return Ok(()),
                    Step::Fault(fault) => return Err(Break::Fault(fault)),
                }
                hear(&self.text.as_str()[heard..]);
            }
            if decoder.overflown() {
                return Err(Break::Wrong(Wrong::Form("event is over its limit".into())));
            }
            let within = self.caller.settings().silence.min(self.left());
            match timeout(within, body.frame()).await {
                Err(_elapsed) => return Err(Break::Cut("no part came in time".into())),
                Ok(None) => return Err(Break::Cut("the stream ended before its end".into())),
                Ok(Some(Err(error))) => return Err(Break::Cut(error.to_string())),
                Ok(Some(Ok(frame))) => {
                    if let Some(data) = frame.data_ref() {
                        decoder.push(data);
                    }
                }
            }
        }
    }

    /// Notes when tokens came.
    fn grown(&mut self, tokens: u64) {
        let now = Instant::now();
        let count = usize::try_from(tokens).unwrap_or(usize::MAX);
        if count == 0 {
            return;
        }
        self.failures = 0;
        if self.times.first.is_none() {
            self.times.first = Some(now - self.begun);
        } else {
            let each = (now - self.last) / u32::try_from(count).unwrap_or(u32::MAX);
            self.times.between.extend(std::iter::repeat_n(each, count));
        }
        self.last = now;
    }
}

fn reply(status: StatusCode, body: Bytes) -> Reply {
    Reply {
        status: status.as_u16(),
        body,
    }
}

fn is_stream(headers: &HeaderMap) -> bool {
    let kind = headers
        .get(CONTENT_TYPE)
        .and_then(|kind| kind.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

/// `Retry-After` in whole seconds.
fn retry_after(headers: &HeaderMap) -> Option<Millis> {
    let seconds: u64 = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Some(Millis(seconds.saturating_mul(1000)))
}
