//! Writes answers for callers: as an event stream, as one JSON document, or as a plain
//! service gave them.

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

/// The format of an answer, and the labels of its metrics.
#[derive(Debug, Clone)]
pub struct Format {
    name: Name,
    class: Class,
    /// Model and prompt length; only set for completions.
    prompt: Option<Prompt>,
    stream: bool,
}

#[derive(Debug, Clone)]
struct Prompt {
    model: String,
    tokens: Tokens,
}

impl Format {
    /// The format of a completion's answer.
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

    /// The format of a plain service's answer.
    #[must_use]
    pub fn call(intake: &Intake) -> Self {
        Self {
            name: intake.name.clone(),
            class: intake.class,
            prompt: None,
            stream: false,
        }
    }

    /// The format of the answer to a resumed request. It is streamed if it is a completion.
    #[must_use]
    pub fn resume(name: &Name) -> Self {
        Self {
            name: name.clone(),
            class: Class::default(),
            prompt: None,
            stream: true,
        }
    }
}

/// Writes an answer from its pieces. Latency is measured from this call.
///
/// # Errors
/// The request was refused, or it ended incomplete before any part of the answer was
/// written.
pub async fn write(
    node: &Arc<Node>,
    source: Source,
    format: Format,
) -> Result<Response<Body>, Fault> {
    let labels = node.labels(&format.name, format.class);
    let answer = respond(node, source, &format).await;
    if let Err(fault) = &answer {
        node.count_end(&labels, Some(fault));
    }
    answer
}

async fn respond(
    node: &Arc<Node>,
    mut source: Source,
    format: &Format,
) -> Result<Response<Body>, Fault> {
    let meter = Meter::new(Arc::clone(node), node.labels(&format.name, format.class));
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
            if format.stream {
                stream_completion(source, format, piece, meter)
            } else {
                collect(source, format, piece, meter).await?
            }
        }
        Piece::Answer(answer) => {
            let answer = wait_for_end(&mut source, answer, &format.name.key).await?;
            meter.record_end();
            pass_through(*answer)
        }
        Piece::End { end: End::Done, .. } if format.prompt.is_some() || format.stream => {
            // The caller already has the last piece.
            end_of_stream()
        }
        other => return Err(fault(other, &format.name.key)),
    };
    set_request_header(&mut response, &format.name.key);
    Ok(response)
}

/// Waits for the end that follows a plain service's answer. The outcome is only final then.
async fn wait_for_end(
    source: &mut Source,
    mut answer: Box<Answer>,
    key: &Key,
) -> Result<Box<Answer>, Fault> {
    loop {
        match source.next().await {
            Piece::End { end: End::Done, .. } => return Ok(answer),
            // The owner changed in between, and the new one sends the answer from its beginning.
            Piece::Answer(repeated) => answer = repeated,
            other => return Err(fault(other, key)),
        }
    }
}

fn set_request_header(response: &mut Response<Body>, key: &Key) {
    let value = HeaderValue::from_str(key.as_str()).expect("keys hold only plain characters");
    response
        .headers_mut()
        .insert(HeaderName::from_static(header::REQUEST), value);
}

fn pass_through(answer: Answer) -> Response<Body> {
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

/// Collects a completion and answers with one JSON document.
async fn collect(
    mut source: Source,
    format: &Format,
    first: Text,
    mut meter: Meter,
) -> Result<Response<Body>, Fault> {
    let mut total = first;
    meter.record_tokens(total.tokens);
    loop {
        match source.next().await {
            Piece::Text {
                tokens,
                text,
                finish,
            } => {
                total.text.push_str(&text);
                total.tokens = tokens;
                total.finish = finish;
                meter.record_tokens(tokens);
            }
            Piece::End { end: End::Done, .. } => break,
            other => return Err(fault(other, &format.name.key)),
        }
    }
    meter.record_end();
    let prompt = format.prompt.clone().unwrap_or(Prompt {
        model: String::new(),
        tokens: Tokens(0),
    });
    let completion = Completion {
        id: format.name.key.clone(),
        model: prompt.model,
        usage: Usage {
            prompt_tokens: prompt.tokens,
            completion_tokens: Tokens(total.tokens),
        },
        choices: vec![Choice {
            index: 0,
            text: total.text,
            finish_reason: total.finish,
        }],
    };
    Ok(serve::json(200, &completion))
}

/// The next event of a stream.
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

/// Streams a completion as server-sent events.
fn stream_completion(source: Source, format: &Format, first: Text, meter: Meter) -> Response<Body> {
    let key = format.name.key.clone();
    let writer = Writer {
        source,
        key,
        meter,
        next: Next::Piece(first),
    };
    let frames = stream::unfold(writer, |mut writer| async move {
        let text = writer.next_event().await?;
        let frame = Frame::data(Bytes::from(text));
        Some((Ok::<_, Infallible>(frame), writer))
    });
    event_stream(StreamBody::new(frames).boxed_unsync())
}

fn end_of_stream() -> Response<Body> {
    let done = Event {
        id: None,
        data: DONE.into(),
    };
    event_stream(serve::full(done.encode()))
}

fn event_stream(body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    let content_type = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

impl Writer {
    async fn next_event(&mut self) -> Option<String> {
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
                    self.meter.record_end();
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
                    self.meter.record_fault(&fault);
                    return Some(error_event(&fault));
                }
            },
        };
        self.meter.record_tokens(piece.tokens);
        Some(part_event(&self.key, piece))
    }
}

fn part_event(key: &Key, piece: Text) -> String {
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

/// The error event that ends a stream after its response head has been sent.
fn error_event(fault: &Fault) -> String {
    let body = FaultBody {
        error: fault.clone(),
    };
    let data = String::from_utf8_lossy(&http::json(&body)).into_owned();
    Event { id: None, data }.encode()
}
