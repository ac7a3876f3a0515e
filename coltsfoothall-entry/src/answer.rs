//! Answers as callers read them: streamed parts, whole JSON, or a service's own.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};

use coltsfoothall::key::Key;
use coltsfoothall::prefix;
use coltsfoothall::record::{Answer, Class, End, Finish, Intake, Name, Work};
use coltsfoothall::size::Tokens;
use coltsfoothall_wire::caller::{Choice, Completion, DONE, Part, Usage};
use coltsfoothall_wire::fault::{Body as FaultBody, Fault};
use coltsfoothall_wire::peer::Piece;
use coltsfoothall_wire::serve::{self, Body};
use coltsfoothall_wire::sse::Event;
use coltsfoothall_wire::{header, http};

use crate::ending::fault;
use crate::meter::Meter;
use crate::node::Node;
use crate::source::Source;

/// How an answer is written, and under which labels it is measured.
#[derive(Debug, Clone)]
pub struct Shape {
    name: Name,
    class: Class,
    /// Known for completions: their model and the tokens of their prompt.
    prompt: Option<Prompt>,
    stream: bool,
}

#[derive(Debug, Clone)]
struct Prompt {
    model: String,
    tokens: Tokens,
}

impl Shape {
    /// A completion's answer.
    #[must_use]
    pub fn completion(intake: &Intake, stream: bool) -> Self {
        let prompt = match &intake.work {
            Work::Completion {
                model,
                adapter,
                prompt,
                ..
            } => Some(Prompt {
                model: adapter
                    .as_ref()
                    .map_or(model.as_str(), |a| a.as_str())
                    .to_owned(),
                tokens: prefix::tokens(prompt),
            }),
            Work::Call { .. } => None,
        };
        Self {
            name: intake.name.clone(),
            class: intake.class,
            prompt,
            stream,
        }
    }

    /// A plain service's answer.
    #[must_use]
    pub fn call(intake: &Intake) -> Self {
        Self {
            name: intake.name.clone(),
            class: intake.class,
            prompt: None,
            stream: false,
        }
    }

    /// The answer of a request that is already known: streamed, if it is a completion.
    #[must_use]
    pub fn resumed(name: &Name) -> Self {
        Self {
            name: name.clone(),
            class: Class::default(),
            prompt: None,
            stream: true,
        }
    }
}

/// Writes an answer from its pieces, measured from now.
///
/// # Errors
/// The request was refused, or ended without a whole answer, before any of it was written.
pub async fn write(
    node: &Arc<Node>,
    source: Source,
    shape: Shape,
) -> Result<Response<Body>, Fault> {
    let labels = node.labels(&shape.name, shape.class);
    let answer = pieces(node, source, &shape).await;
    if let Err(fault) = &answer {
        node.count_end(&labels, Some(fault));
    }
    answer
}

async fn pieces(
    node: &Arc<Node>,
    mut source: Source,
    shape: &Shape,
) -> Result<Response<Body>, Fault> {
    let meter = Meter::new(Arc::clone(node), node.labels(&shape.name, shape.class));
    let first = source.next().await;
    let mut response = match first {
        Piece::Text {
            tokens,
            text,
            finish,
        } => {
            let piece = Text {
                tokens,
                text,
                finish,
            };
            if shape.stream {
                streamed(source, shape, piece, meter)
            } else {
                whole(source, shape, piece, meter).await?
            }
        }
        Piece::Answer(answer) => {
            let answer = settle(&mut source, answer, &shape.name.key).await?;
            meter.end();
            plain(*answer)
        }
        Piece::End { end: End::Done, .. } if shape.prompt.is_some() || shape.stream => {
            // The caller resumed behind the last piece.
            streamed_end()
        }
        other => return Err(fault(other, &shape.name.key)),
    };
    name(&mut response, &shape.name.key);
    Ok(response)
}

/// Waits for the end behind a plain service's answer: only then is the outcome settled.
async fn settle(
    source: &mut Source,
    mut answer: Box<Answer>,
    key: &Key,
) -> Result<Box<Answer>, Fault> {
    loop {
        match source.next().await {
            Piece::End { end: End::Done, .. } => return Ok(answer),
            // The owner changed in between, and the new one begins with the answer.
            Piece::Answer(again) => answer = again,
            other => return Err(fault(other, key)),
        }
    }
}

fn name(response: &mut Response<Body>, key: &Key) {
    let value = HeaderValue::from_str(key.as_str()).expect("keys hold only plain characters");
    response
        .headers_mut()
        .insert(HeaderName::from_static(header::REQUEST), value);
}

fn plain(answer: Answer) -> Response<Body> {
    let mut response = Response::new(serve::full(answer.body));
    if let Ok(status) = answer.status.try_into() {
        *response.status_mut() = status;
    }
    for header in answer.headers {
        let name = HeaderName::try_from(header.name);
        let value = HeaderValue::try_from(header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

#[derive(Debug)]
struct Text {
    tokens: u64,
    text: String,
    finish: Option<Finish>,
}

/// Gathers a completion and answers it whole.
async fn whole(
    mut source: Source,
    shape: &Shape,
    first: Text,
    mut meter: Meter,
) -> Result<Response<Body>, Fault> {
    let mut all = first;
    meter.tokens(all.tokens);
    loop {
        match source.next().await {
            Piece::Text {
                tokens,
                text,
                finish,
            } => {
                all.text.push_str(&text);
                all.tokens = tokens;
                all.finish = finish;
                meter.tokens(tokens);
            }
            Piece::End { end: End::Done, .. } => break,
            other => return Err(fault(other, &shape.name.key)),
        }
    }
    meter.end();
    let prompt = shape.prompt.clone().unwrap_or(Prompt {
        model: String::new(),
        tokens: Tokens(0),
    });
    let completion = Completion {
        id: shape.name.key.clone(),
        model: prompt.model,
        usage: Usage {
            prompt_tokens: prompt.tokens,
            completion_tokens: Tokens(all.tokens),
        },
        choices: vec![Choice {
            index: 0,
            text: all.text,
            finish_reason: all.finish,
        }],
    };
    Ok(serve::json(200, &completion))
}

/// What a stream writes next.
enum Next {
    Piece(Text),
    Follow,
    End,
}

struct Writer {
    source: Source,
    key: Key,
    meter: Meter,
    next: Next,
}

/// Streams a completion part by part.
fn streamed(source: Source, shape: &Shape, first: Text, meter: Meter) -> Response<Body> {
    let key = shape.name.key.clone();
    let writer = Writer {
        source,
        key,
        meter,
        next: Next::Piece(first),
    };
    let frames = stream::unfold(writer, |mut writer| async move {
        let text = writer.event().await?;
        let frame = Frame::data(Bytes::from(text));
        Some((Ok::<_, Infallible>(frame), writer))
    });
    events(StreamBody::new(frames).boxed_unsync())
}

fn streamed_end() -> Response<Body> {
    let done = Event {
        id: None,
        data: DONE.into(),
    };
    events(serve::full(done.encode()))
}

fn events(body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

impl Writer {
    async fn event(&mut self) -> Option<String> {
        let piece = match std::mem::replace(&mut self.next, Next::Follow) {
            Next::Piece(text) => text,
            Next::End => return None,
            Next::Follow => match self.source.next().await {
                Piece::Text {
                    tokens,
                    text,
                    finish,
                } => Text {
                    tokens,
                    text,
                    finish,
                },
                Piece::End { end: End::Done, .. } => {
                    self.next = Next::End;
                    self.meter.end();
                    return Some(
                        Event {
                            id: None,
                            data: DONE.into(),
                        }
                        .encode(),
                    );
                }
                other => {
                    self.next = Next::End;
                    let fault = fault(other, &self.key);
                    self.meter.fault(&fault);
                    return Some(broken(&fault));
                }
            },
        };
        self.meter.tokens(piece.tokens);
        Some(part(&self.key, piece))
    }
}

fn part(key: &Key, piece: Text) -> String {
    let choice = Choice {
        index: 0,
        text: piece.text,
        finish_reason: piece.finish,
    };
    let part = Part {
        id: key.clone(),
        choices: vec![choice],
    };
    let data = String::from_utf8_lossy(&http::json(&part)).into_owned();
    Event {
        id: Some(piece.tokens.to_string()),
        data,
    }
    .encode()
}

/// The error that ends a stream whose head has been sent already.
fn broken(fault: &Fault) -> String {
    let body = FaultBody {
        error: fault.clone(),
    };
    let data = String::from_utf8_lossy(&http::json(&body)).into_owned();
    Event { id: None, data }.encode()
}
