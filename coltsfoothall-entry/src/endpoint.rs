//! Attempts at endpoints: model engines and plain services over HTTP.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use tokio::sync::mpsc::Sender;
use tokio::time::timeout;

use coltsfoothall::record::{Answer, Class, Header, Intake, Part, Work};
use coltsfoothall::step::Input;
use coltsfoothall_shell::event;
use coltsfoothall_wire::caller::DONE;
use coltsfoothall_wire::client::{Client, Error};
use coltsfoothall_wire::engine::{Chunk, Generate, Refusal};
use coltsfoothall_wire::sse::Decoder;
use coltsfoothall_wire::{header, http, limit};

use crate::intake::passed_on;

/// Wait for an engine to take a cancellation, which is only a courtesy.
const CANCEL: Duration = Duration::from_millis(500);

/// Place in an engine's queue of those somebody waits for.
const INTERACTIVE: u8 = 0;
/// Place in an engine's queue of the others.
const BATCH: u8 = 1;

/// An attempt to make.
#[derive(Debug, Clone)]
pub struct Job {
    /// Its number.
    pub attempt: u64,
    /// IP number and port of the endpoint.
    pub address: String,
    /// The request.
    pub intake: Intake,
    /// Text that callers may have.
    pub resume: String,
    /// Tokens in `resume`.
    pub offset: u64,
    /// The slot's epoch, as a fencing number for non-idempotent calls.
    pub fence: u64,
}

/// What runs attempts.
pub trait Runner: Send + Sync + fmt::Debug {
    /// Runs an attempt and reports on it, but for [`Ended::Broke`], which is told
    /// once it is known whether its endpoint died. Dropping it stops reading.
    fn run(&self, job: Job, inputs: Sender<Input>) -> BoxFuture<'_, Ended>;
    /// Tells an endpoint to stop an attempt.
    fn cancel(&self, address: String, attempt: u64) -> BoxFuture<'_, ()>;
}

/// Endpoints over HTTP.
#[derive(Debug, Clone)]
pub struct Remote {
    client: Client,
    /// Longest wait for a sign of life.
    silence: Duration,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// With its whole answer.
    Complete,
    /// Its endpoint refused it before it began.
    Refused,
    /// No connection came up.
    Unsent,
    /// Its connection broke, or its answer makes no sense.
    Broke,
    /// Nobody listens any more, or it was aborted.
    Abandoned,
}

impl Remote {
    /// Endpoints that may be silent for at most `silence`.
    #[must_use]
    pub fn new(client: Client, silence: Duration) -> Self {
        Self { client, silence }
    }

    async fn attempt(&self, job: &Job, inputs: &Sender<Input>) -> Ended {
        let request = match &job.intake.work {
            Work::Completion { .. } => generate(job),
            Work::Call {
                method,
                path,
                headers,
                body,
            } => call(job, method, path, headers, body.clone()),
        };
        let Some(request) = request else {
            return Ended::Unsent;
        };
        match self.client.send("attempt", request, self.silence).await {
            Err(Error::Connect(..)) => Ended::Unsent,
            Err(sent) => broke(job, &sent.to_string()),
            Ok(answer) => match &job.intake.work {
                Work::Completion { .. } => self.stream(job, answer, inputs).await,
                Work::Call { .. } => self.answer(job, answer, inputs).await,
            },
        }
    }

    async fn stream(&self, job: &Job, answer: Response<Incoming>, inputs: &Sender<Input>) -> Ended {
        if !answer.status().is_success() {
            return refusal(job, answer).await;
        }
        let mut body = answer.into_body();
        let mut events = Decoder::new(limit::EVENT);
        loop {
            while let Some(event) = events.next_event() {
                if event.data == DONE {
                    return Ended::Complete;
                }
                let chunk = match http::parse::<Chunk>(event.data.as_bytes()) {
                    Ok(chunk) => chunk,
                    Err(error) => return broke(job, &error.to_string()),
                };
                if inputs.send(input(chunk)).await.is_err() {
                    return Ended::Abandoned;
                }
            }
            if events.overflown() {
                return broke(job, "an event is too long");
            }
            match timeout(self.silence, body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Some(bytes) = frame.data_ref() {
                        events.push(bytes);
                    }
                }
                Ok(None) => return broke(job, "the stream ended without its end marker"),
                Ok(Some(Err(error))) => return broke(job, &error.to_string()),
                Err(_elapsed) => return broke(job, "no sign of life"),
            }
        }
    }

    async fn answer(&self, job: &Job, answer: Response<Incoming>, inputs: &Sender<Input>) -> Ended {
        if declined(&answer) {
            return Ended::Refused;
        }
        let echo = echo(&answer).unwrap_or(job.attempt);
        let status = answer.status().as_u16();
        let headers = passed_on(answer.headers());
        let body = http::read(answer.into_body(), limit::ANSWER);
        let body = match timeout(self.silence, body).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => return broke(job, &error.to_string()),
            Err(_elapsed) => return broke(job, "no sign of life"),
        };
        let answer = Box::new(Answer {
            status,
            headers,
            body,
        });
        match inputs
            .send(Input::Answer {
                attempt: echo,
                answer,
            })
            .await
        {
            Ok(()) => Ended::Complete,
            Err(_closed) => Ended::Abandoned,
        }
    }
}

impl Runner for Remote {
    fn run(&self, job: Job, inputs: Sender<Input>) -> BoxFuture<'_, Ended> {
        Box::pin(async move {
            let attempt = job.attempt;
            let ended = self.attempt(&job, &inputs).await;
            let input = match ended {
                Ended::Complete => Input::Ended { attempt },
                Ended::Refused => Input::Refused { attempt },
                Ended::Unsent => Input::Unsent { attempt },
                Ended::Broke | Ended::Abandoned => return ended,
            };
            // A request that has ended meanwhile needs to hear nothing more.
            let _heard = inputs.send(input).await;
            ended
        })
    }

    fn cancel(&self, address: String, attempt: u64) -> BoxFuture<'_, ()> {
        Box::pin(async move {
            let path = format!("/v1/attempts/{attempt}");
            let call = self.client.call(
                "cancel",
                Method::DELETE,
                &address,
                &path,
                Bytes::new(),
                CANCEL,
            );
            // The attempt's answer is dropped whether or not the engine hears this.
            let _courtesy = call.await;
        })
    }
}

fn input(chunk: Chunk) -> Input {
    let part = Part {
        offset: chunk.offset,
        tokens: chunk.tokens,
        text: chunk.text,
        finish: chunk.finish,
    };
    Input::Chunk {
        attempt: chunk.attempt,
        part,
        cached: chunk.cached,
    }
}

fn generate(job: &Job) -> Option<Request<Full<Bytes>>> {
    let Work::Completion {
        model,
        adapter,
        prompt,
        max_tokens,
    } = &job.intake.work
    else {
        return None;
    };
    let generate = Generate {
        attempt: job.attempt,
        model: model.clone(),
        adapter: adapter.clone(),
        prompt: prompt.clone(),
        resume: job.resume.clone(),
        offset: job.offset,
        max_tokens: *max_tokens,
        priority: match job.intake.class {
            Class::Interactive => INTERACTIVE,
            Class::Batch => BATCH,
        },
    };
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{}/v1/completions", job.address))
        .header(hyper::header::CONTENT_TYPE, "application/json");
    request.body(http::json_body(&generate)).ok()
}

fn call(
    job: &Job,
    method: &str,
    path: &str,
    headers: &[Header],
    body: Bytes,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", job.address))
        .header(header::ATTEMPT, job.attempt)
        .header(header::REQUEST, job.intake.name.key.as_str())
        .header(header::FENCE, job.fence);
    for header in headers {
        request = request.header(&header.name, &header.value);
    }
    request.body(Full::new(body)).ok()
}

/// Whether an endpoint says that it began nothing.
fn declined<B>(answer: &Response<B>) -> bool {
    let said = answer.headers().get(header::STARTED);
    answer.status().as_u16() == 503 && said.is_some_and(|value| value == "false")
}

/// The number of the attempt that the answer names, if it names one.
fn echo<B>(answer: &Response<B>) -> Option<u64> {
    answer
        .headers()
        .get(header::ATTEMPT)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

async fn refusal(job: &Job, answer: Response<Incoming>) -> Ended {
    let status = answer.status();
    match http::read_json::<Refusal, _>(answer.into_body(), limit::EVENT).await {
        Ok(Refusal { started: false, .. }) => Ended::Refused,
        Ok(refusal) => broke(
            job,
            &format!("{status} after it began: {}", refusal.message),
        ),
        Err(error) => broke(job, &format!("{status}: {error}")),
    }
}

/// An attempt broke for this reason.
fn broke(job: &Job, reason: &str) -> Ended {
    event::BROKE_OFF.emit(format_args!(
        "request={} attempt={} address={} reason={reason:?}",
        job.intake.name.key, job.attempt, job.address
    ));
    Ended::Broke
}
