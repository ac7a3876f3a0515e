//! Relays an endpoint's response to the caller.
//!
//! A plain response is buffered completely before it is sent. A stream is relayed event by event,
//! and only complete events are sent. An interrupted stream resumes at another endpoint if the kind
//! of its route allows that; otherwise the caller's connection is aborted, so that the stream does
//! not look complete.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use coltsfoothall::forward::config::Kind;
use coltsfoothall::forward::roster::End;
use coltsfoothall::forward::version::{self, Binding, Label};
use coltsfoothall_shell::event;
use coltsfoothall_wire::body::{self, Account, Memory};
use coltsfoothall_wire::http::is_final;
use coltsfoothall_wire::sse::Splitter;
use futures_util::stream;
use http::{Extensions, Response};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};

use crate::attempt::{Checkout, Job, Sent, Share};
use crate::binding;
use crate::dispatch::{self, Trail};
use crate::origin::Began;
use crate::outgoing::{self, Outgoing};
use crate::pool::Target;
use crate::probe;
use crate::reach;
use crate::refusal::{self, Refusal};
use crate::retries::Reason;
use crate::state::State;

/// Largest response that is buffered.
const MAX_BUFFERED_BYTES: usize = 8 << 20;

/// Size up to which an event that is not complete yet does not count as memory of answers.
const MAX_UNCOUNTED_BYTES: usize = 64 << 10;
/// Memory that an event takes while it grows, as a multiple of its size: its buffer doubles.
const EVENT_MEMORY_FACTOR: usize = 2;

/// Largest event of a stream. An event is buffered until it is complete, as a plain response is.
const MAX_EVENT_BYTES: usize = MAX_BUFFERED_BYTES;

/// Time without an event after which an endpoint counts as stalled. Callers accept gaps of 0.8 s,
/// and batches with long prompts come close to that.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Why an answer without length is not whole.
const ENDED_BY_CRASH: &str = "its endpoint crashed at its end";
const ENDED_BEFORE_REQUEST: &str = "it ended before its request was sent";

/// A failed attempt that may be repeated at another endpoint.
#[derive(Debug)]
pub struct Failure {
    /// The refusal for the caller if this is the last attempt.
    pub refusal: Refusal,
    /// The endpoint's own response, if any; it takes precedence over the refusal.
    pub answer: Option<Response<Outgoing>>,
}

impl Failure {
    fn broken(reason: &'static str) -> Self {
        Self {
            refusal: refusal::bad_gateway(reason),
            answer: None,
        }
    }
}

/// Builds the caller's response from that of an endpoint.
///
/// # Errors
/// The response is incomplete or not the endpoint's own; another endpoint may succeed.
pub async fn answer(
    state: &Rc<State>,
    job: &Rc<Job>,
    sent: Sent,
    trail: &mut Trail,
) -> Result<Response<Outgoing>, Failure> {
    let status = sent.response.status();
    let endpoint = sent.share.target.clone();
    if !is_final(status) || (status.is_success() && !sent.is_own_success()) {
        sent.share.count_run(job);
        sent.share.end(End::Failed);
        trail.exclude(endpoint);
        return Err(Failure::broken("the answer is not the endpoint's own"));
    }
    if status.is_success() && job.route.kind.streams() {
        return stream(state, job, sent, trail).await;
    }
    let framed = sent.is_framed();
    let (response, _reply, mut share, checkout) = sent.split();
    let (head, content) = response.into_parts();
    let memory = answers(state);
    let read = body::read(&memory, || state.now(), content, MAX_BUFFERED_BYTES).await;
    let cut = match &read {
        Ok(_) if !framed => cut_off(state, &endpoint, &checkout).await,
        Ok(_) | Err(_) => None,
    };
    let read = match (read, cut) {
        (Ok(content), None) => Ok(content),
        (Ok(_), Some(reason)) => Err((End::Broken, reason)),
        (Err(body::Error::Broken), _) => Err((End::Broken, "the connection broke off")),
        (Err(body::Error::Large), _) => Err((End::Failed, "it is too large")),
        (Err(body::Error::Evicted), _) => Err((End::Failed, refusal::NO_ANSWER_MEMORY)),
    };
    share.count_run(job);
    share.record_first_event();
    match read {
        Ok(content) => {
            checkout.release(state);
            let failed = status.is_server_error();
            let departs = extensions(&share);
            share.record_answer(failed);
            if status.is_success() {
                share.record_harmless();
            }
            share.end(if failed { End::Failed } else { End::Whole });
            let headers = state.adapter.response_headers(&head.headers);
            let mut answer = outgoing::answer(status, headers, Outgoing::parts(content));
            answer.extensions_mut().extend(departs);
            if !failed {
                log_late(state, job, &endpoint);
                if status.is_success() {
                    state.record_duration(&job.route, job.received_at);
                }
                return Ok(answer);
            }
            trail.exclude(endpoint);
            Err(Failure {
                refusal: refusal::bad_gateway("the endpoint failed"),
                answer: Some(answer),
            })
        }
        Err((end, reason)) => {
            share.end(end);
            event::BROKE_OFF.emit(format_args!(
                "request={} endpoint={endpoint} reason={reason:?}",
                job.id()
            ));
            trail.exclude(endpoint);
            Err(Failure::broken("the answer is not whole"))
        }
    }
}

/// The memory that all answers share while they are received, and until their callers have them.
fn answers(state: &State) -> Memory {
    let memory = state.answers.clone();
    memory.resize_for_answers(state.settings().memory(), MAX_BUFFERED_BYTES);
    memory
}

/// Why an answer that ended with its connection is not whole, if it is not. An endpoint that resets the
/// connection of a request that is still being sent may end the answer in good order before that.
async fn cut_off(
    state: &Rc<State>,
    endpoint: &Target,
    checkout: &Checkout,
) -> Option<&'static str> {
    if !checkout.is_request_sent() {
        return Some(ENDED_BEFORE_REQUEST);
    }
    let has_outlived = probe::has_outlived(state, endpoint).await;
    (!has_outlived).then_some(ENDED_BY_CRASH)
}

/// What the response tells the instance that handed the request over.
fn extensions(share: &Share) -> Extensions {
    let mut extensions = Extensions::new();
    if let Some(departs) = share.departs() {
        extensions.insert(departs);
    }
    extensions
}

/// Logs a response that took longer than the target of its route.
fn log_late(state: &State, job: &Job, endpoint: &Target) {
    let took = state.now().since(job.received_at);
    if took > job.route.target_latency.duration() {
        event::LATE.emit(format_args!(
            "request={} endpoint={endpoint} route={} service={} aim_ms={} took_ms={} taken={:.2}",
            job.id(),
            job.route.name,
            job.service,
            job.route.target_latency.0,
            took.as_millis(),
            state.roster.borrow().utilization(&job.service),
        ));
    }
}

/// A stream that is being relayed.
struct Relay {
    state: Rc<State>,
    job: Rc<Job>,
    trail: Trail,
    content: Incoming,
    /// Whether the response says where its body ends.
    framed: bool,
    share: Option<Share>,
    checkout: Option<Checkout>,
    splitter: Splitter,
    /// Memory of a large event that is not complete yet.
    account: Option<Account>,
    /// Number of events already credited to an endpoint.
    counted: u64,
    ended: bool,
    /// The version that sent its first event, if it is known.
    began: Option<Label>,
}

/// How the version that goes on with a stream relates to the one that began it, as a metric label.
fn relation(began: Option<&Label>, version: Option<&Label>) -> &'static str {
    match (began, version) {
        (Some(began), Some(version)) if began == version => "same",
        (Some(_), Some(_)) => "other",
        (None, _) | (_, None) => "unknown",
    }
}

/// A version for the log, `-` if the endpoint reports none, and `?` if it is not known.
fn name(version: Option<&Label>) -> &str {
    version.map_or("?", |version| version::name(version.as_ref()))
}

/// The next part of a stream.
enum Next {
    Events(Bytes),
    End,
    Broken(String),
}

async fn stream(
    state: &Rc<State>,
    job: &Rc<Job>,
    sent: Sent,
    trail: &mut Trail,
) -> Result<Response<Outgoing>, Failure> {
    let endpoint = sent.share.target.clone();
    let framed = sent.is_framed();
    let (response, _reply, share, checkout) = sent.split();
    let (head, content) = response.into_parts();
    let mut relay = Relay {
        framed,
        state: Rc::clone(state),
        job: Rc::clone(job),
        trail: Trail::new(job),
        content,
        share: Some(share),
        checkout: Some(checkout),
        splitter: Splitter::default(),
        account: None,
        counted: 0,
        ended: false,
        began: None,
    };
    relay.began = relay.version().cloned();
    // Until the first event is sent, the request can still move to another endpoint.
    let first = match relay.read().await {
        Next::Events(bytes) => Some(bytes),
        Next::End => None,
        Next::Broken(reason) => {
            relay.finish(End::Broken);
            event::BROKE_OFF.emit(format_args!(
                "request={} endpoint={endpoint} version={} reason={reason:?} events=0",
                job.id(),
                name(relay.began.as_ref()),
            ));
            trail.exclude(endpoint);
            return Err(Failure::broken(
                "the stream broke off before its first event",
            ));
        }
    };
    log_late(state, job, &endpoint);
    if let Some(share) = &mut relay.share {
        share.count_run(job);
        share.record_first_event();
        share.record_answer(false);
    }
    std::mem::swap(&mut relay.trail, trail);
    relay.bind();
    if first.is_none() {
        relay.close();
    }
    let headers = state.adapter.response_headers(&head.headers);
    let began = relay.began.clone();
    let departs = relay.share.as_ref().map(extensions).unwrap_or_default();
    let chunks = stream::unfold((relay, first), |(mut relay, first)| async move {
        let chunk = match first {
            Some(bytes) => Ok(bytes),
            None => relay.next_chunk().await?,
        };
        Some((chunk, (relay, None)))
    });
    let mut answer = outgoing::answer(head.status, headers, Outgoing::chunks(Box::pin(chunks)));
    answer.extensions_mut().extend(departs);
    if let Some(version) = began {
        answer.extensions_mut().insert(Began(version));
    }
    Ok(answer)
}

impl Relay {
    /// Reads until complete events are available, or the stream ends or is interrupted.
    async fn read(&mut self) -> Next {
        loop {
            let Some(frame) = self.next_frame().await else {
                return Next::Broken(refusal::NO_ANSWER_MEMORY.into());
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    if let Some(events) = self.splitter.push(bytes) {
                        if let Some(share) = &mut self.share {
                            share.record_writing();
                        }
                        return Next::Events(match self.account.take() {
                            Some(account) => account.finish(events),
                            None => events,
                        });
                    }
                    if let Err(reason) = self.count_event() {
                        return Next::Broken(reason);
                    }
                }
                Some(Err(error)) => return Next::Broken(error.to_string()),
                None if self.splitter.is_within() => {
                    return Next::Broken("it ended within an event".into());
                }
                None => {
                    return match self.cut_off().await {
                        Some(reason) => Next::Broken(reason.into()),
                        None => Next::End,
                    };
                }
            }
        }
    }

    /// The next frame of the content; none if the event that it belongs to lost its memory.
    async fn next_frame(&mut self) -> Option<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = self.content.frame();
        match &self.account {
            None => Some(frame.await),
            Some(account) => tokio::select! {
                biased;
                () = account.evicted() => None,
                frame = frame => Some(frame),
            },
        }
    }

    /// Takes memory for the event that is not complete yet, unless it is small.
    fn count_event(&mut self) -> Result<(), String> {
        let buffered = self.splitter.buffered();
        if buffered > MAX_EVENT_BYTES {
            return Err(format!("an event is over {MAX_EVENT_BYTES} bytes"));
        }
        if buffered <= MAX_UNCOUNTED_BYTES {
            return Ok(());
        }
        let now = self.state.now();
        let account = match &mut self.account {
            Some(account) => account,
            None => self.account.insert(answers(&self.state).open(now)),
        };
        let grown = account.grow(now, buffered * EVENT_MEMORY_FACTOR);
        grown.map_err(|_evicted| refusal::NO_ANSWER_MEMORY.into())
    }

    /// Why a stream that ended with its connection is not whole, if it is not.
    async fn cut_off(&self) -> Option<&'static str> {
        match (&self.share, &self.checkout) {
            (Some(share), Some(checkout)) if !self.framed => {
                cut_off(&self.state, &share.target, checkout).await
            }
            (Some(_) | None, Some(_) | None) => None,
        }
    }

    /// The next events for the caller, unless shutdown aborts the stream first.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, io::Error>> {
        let aborting = self.state.abort.clone();
        tokio::select! {
            chunk = self.read_or_resume() => chunk,
            () = aborting.cancelled() => Some(Err(self.abort(refusal::SHUTTING_DOWN))),
        }
    }

    /// The next events for the caller, from another endpoint if this one fails; none when the
    /// stream is complete.
    async fn read_or_resume(&mut self) -> Option<Result<Bytes, io::Error>> {
        if self.ended {
            return None;
        }
        let due = self.state.clock.instant(self.job.due);
        loop {
            let stall = self.stall_deadline();
            let endpoint = self.share.as_ref().map(|share| share.target.clone());
            let version = self.version().cloned();
            let (reason, can_resume) =
                match tokio::time::timeout_at(stall.min(due), self.read()).await {
                    Ok(Next::Events(bytes)) => return Some(Ok(bytes)),
                    Ok(Next::End) => {
                        self.close();
                        return None;
                    }
                    Ok(Next::Broken(reason)) => {
                        self.finish(End::Broken);
                        let can_resume = self.trail.binding != Binding::Unknown
                            && dispatch::may_repeat(
                                &self.state,
                                &self.job,
                                &self.trail,
                                Reason::Interrupted,
                            );
                        (reason, can_resume)
                    }
                    Err(_elapsed) if tokio::time::Instant::now() < due => {
                        if let Some(Target::Endpoint(endpoint)) = &endpoint {
                            reach::check_silent(&self.state, endpoint);
                        }
                        if !self.can_take_over() {
                            continue;
                        }
                        self.finish(End::Broken);
                        if let Some(endpoint) = endpoint.clone() {
                            self.trail.exclude(endpoint);
                        }
                        ("no event came".into(), true)
                    }
                    Err(_elapsed) => return Some(Err(self.abort("its time is over"))),
                };
            event::BROKE_OFF.emit(format_args!(
                "request={} endpoint={} version={} reason={reason:?} events={}",
                self.job.id(),
                endpoint.map_or_else(|| "-".into(), |endpoint| endpoint.to_string()),
                name(version.as_ref()),
                self.splitter.events()
            ));
            if !can_resume {
                return Some(Err(self.abort("nobody goes on with it")));
            }
            match tokio::time::timeout_at(due, self.resume()).await {
                Ok(Ok(())) => {}
                Ok(Err(_refusal)) => {
                    return Some(Err(self.abort("nobody goes on with it")));
                }
                Err(_elapsed) => return Some(Err(self.abort("its time is over"))),
            }
        }
    }

    /// When this endpoint counts as stalled; the request's deadline if no other endpoint may
    /// resume.
    fn stall_deadline(&self) -> tokio::time::Instant {
        let now = tokio::time::Instant::now();
        let last = self.trail.runs >= self.job.attempts;
        if last || !self.job.route.kind.repeats() {
            return self.state.clock.instant(self.job.due);
        }
        now + STALL_TIMEOUT
    }

    /// Whether another endpoint can take over from this one, which is stalled.
    fn can_take_over(&self) -> bool {
        match self.share.as_ref().map(|share| &share.target) {
            Some(Target::Endpoint(endpoint)) => {
                dispatch::take_over(&self.state, &self.job, &self.trail, endpoint)
            }
            Some(Target::Instance(_)) | None => false,
        }
    }

    /// Resumes the stream after its last event at another endpoint.
    async fn resume(&mut self) -> Result<(), Refusal> {
        self.splitter.discard();
        self.account = None;
        let after = self.splitter.last().map(ToOwned::to_owned);
        let state = Rc::clone(&self.state);
        let sent = dispatch::next(&state, &self.job, &mut self.trail, after.as_deref()).await?;
        if !sent.is_own_success() {
            return Err(refusal::bad_gateway("the next endpoint failed"));
        }
        let version = sent.share.version();
        event::RESUMED.emit(format_args!(
            "request={} endpoint={} version={} began={} after={}",
            self.job.id(),
            sent.share.target,
            name(version),
            name(self.began.as_ref()),
            after.as_deref().unwrap_or("-")
        ));
        let relation = relation(self.began.as_ref(), version);
        state.board.stream_resumed("instance", relation);
        self.framed = sent.is_framed();
        let (response, _reply, share, checkout) = sent.split();
        self.content = response.into_body();
        self.share = Some(share);
        self.checkout = Some(checkout);
        Ok(())
    }

    /// Ends a complete stream, and returns the connection to the pool.
    fn close(&mut self) {
        self.ended = true;
        if let Some(share) = &mut self.share {
            share.record_harmless();
        }
        self.finish(End::Whole);
        self.state
            .record_duration(&self.job.route, self.job.received_at);
        if let Some(checkout) = self.checkout.take() {
            checkout.release(&self.state);
        }
    }

    /// Aborts the caller's connection, so that the stream does not look complete.
    fn abort(&mut self, reason: &'static str) -> io::Error {
        self.ended = true;
        self.finish(End::Abandoned);
        self.state
            .record_duration(&self.job.route, self.job.received_at);
        event::CUT.emit(format_args!(
            "request={} reason={reason:?} began={} events={} ms={}",
            self.job.id(),
            name(self.began.as_ref()),
            self.splitter.events(),
            self.state.now().since(self.job.received_at).as_millis()
        ));
        io::Error::other(reason)
    }

    /// The version of the endpoint that sends the stream now.
    fn version(&self) -> Option<&Label> {
        self.share.as_ref().and_then(Share::version)
    }

    /// Binds the stream to the version that sends its first event, if it may be resumed.
    fn bind(&mut self) {
        if self.job.route.kind != Kind::Resumable {
            return;
        }
        self.trail.binding = match &self.began {
            Some(version) => {
                binding::record_start(&self.state, &self.job.call, &self.job.service, version);
                Binding::Only(version.clone())
            }
            None => Binding::Unknown,
        };
    }

    fn finish(&mut self, end: End) {
        if let Some(share) = self.share.take() {
            let events = self.splitter.events();
            share.record_events(events - self.counted);
            self.counted = events;
            share.end(end);
        }
    }
}
