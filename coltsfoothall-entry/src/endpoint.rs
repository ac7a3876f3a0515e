//! Runs attempts at endpoints, which are model engines or plain services, over HTTP.

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

use crate::intake::forwarded_headers;

/// Timeout of a cancellation at an engine. A cancellation is best effort.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// Priority at an engine of interactive requests.
const INTERACTIVE_PRIORITY: u8 = 0;
/// Priority at an engine of batch requests.
const BATCH_PRIORITY: u8 = 1;

/// An attempt to run.
#[derive(Debug, Clone)]
pub struct Job {
    /// The attempt's number.
    pub attempt: u64,
    /// IP address and port of the endpoint.
    pub address: String,
    /// The request.
    pub intake: Intake,
    /// Text that callers may already have, from which the attempt resumes.
    pub resume: String,
    /// Number of tokens in `resume`.
    pub offset: u64,
    /// The slot's epoch, as a fencing token for non-idempotent calls.
    pub fence: u64,
}

/// Runs attempts at endpoints.
pub trait Runner: Send + Sync + fmt::Debug {
    /// Runs an attempt and sends its progress and its end to `inputs`, except for
    /// [`Ended::Broke`]: that is reported once it is known whether the endpoint died. Dropping
    /// the future stops reading.
    fn run(&self, job: Job, inputs: Sender<Input>) -> BoxFuture<'_, Ended>;
    /// Asks an endpoint to stop an attempt.
    fn cancel(&self, address: String, attempt: u64) -> BoxFuture<'_, ()>;
}

/// Runs attempts over HTTP.
#[derive(Debug, Clone)]
pub struct Remote {
    client: Client,
    /// Timeout of a response head, of each part of a stream, and of the body of an answer.
    read_timeout: Duration,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// With a complete answer.
    Complete,
    /// The endpoint refused it before it began.
    Refused,
    /// No connection could be opened.
    Unsent,
    /// The connection broke, or the answer is invalid.
    Broke,
    /// It was cancelled, or nobody receives its progress any more.
    Abandoned,
}

impl Remote {
    /// Creates a runner with the timeout of each wait for an endpoint.
    #[must_use]
    pub fn new(client: Client, read_timeout: Duration) -> Self {
        Self {
            client,
            read_timeout,
        }
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
        match self
            .client
            .send("attempt", request, self.read_timeout)
            .await
        {
            Err(Error::Connect(..)) => Ended::Unsent,
            Err(error) => log_broke(job, &error.to_string()),
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
                    Err(error) => return log_broke(job, &error.to_string()),
                };
                if inputs.send(input(chunk)).await.is_err() {
                    return Ended::Abandoned;
                }
            }
            if events.overflown() {
                return log_broke(job, "an event exceeds the size limit");
            }
            match timeout(self.read_timeout, body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Some(bytes) = frame.data_ref() {
                        events.push(bytes);
                    }
                }
                Ok(None) => return log_broke(job, "the stream ended without its end marker"),
                Ok(Some(Err(error))) => return log_broke(job, &error.to_string()),
                Err(_elapsed) => return log_broke(job, "no data within the time limit"),
            }
        }
    }

    async fn answer(&self, job: &Job, answer: Response<Incoming>, inputs: &Sender<Input>) -> Ended {
        if not_started(&answer) {
            return Ended::Refused;
        }
        if !http::is_final(answer.status()) {
            return log_broke(
                job,
                &format!("{} is no status of an answer", answer.status()),
            );
        }
        let named = attempt_number(&answer).unwrap_or(job.attempt);
        let status = answer.status().as_u16();
        let headers = forwarded_headers(answer.headers());
        let body = http::read(answer.into_body(), limit::ANSWER);
        let body = match timeout(self.read_timeout, body).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => return log_broke(job, &error.to_string()),
            Err(_elapsed) => return log_broke(job, "no data within the time limit"),
        };
        let answer = Box::new(Answer {
            status,
            headers,
            body,
        });
        match inputs
            .send(Input::Answer {
                attempt: named,
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
            // A request that has ended meanwhile needs no input.
            let _ended = inputs.send(input).await;
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
                CANCEL_TIMEOUT,
            );
            // The attempt's answer is discarded whether or not the engine receives this.
            let _ignored = call.await;
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
            Class::Interactive => INTERACTIVE_PRIORITY,
            Class::Batch => BATCH_PRIORITY,
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

/// Whether an endpoint reports that it began nothing.
fn not_started<B>(answer: &Response<B>) -> bool {
    let started = answer.headers().get(header::STARTED);
    answer.status().as_u16() == 503 && started.is_some_and(|value| value == "false")
}

/// The attempt number that the answer names, if it names one.
fn attempt_number<B>(answer: &Response<B>) -> Option<u64> {
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
        Ok(refusal) => log_broke(
            job,
            &format!("{status} after the attempt began: {}", refusal.message),
        ),
        Err(error) => log_broke(job, &format!("{status}: {error}")),
    }
}

/// Logs why an attempt broke, and returns this end.
fn log_broke(job: &Job, reason: &str) -> Ended {
    event::BROKE_OFF.emit(format_args!(
        "request={} attempt={} address={} reason={reason:?}",
        job.intake.name.key, job.attempt, job.address
    ));
    Ended::Broke
}
