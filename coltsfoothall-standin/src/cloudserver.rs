//! HTTP side of the cloud API and the instance list.
//!
//! Besides the calls of [`coltsfoothall_wire::cloud`] there is `POST /reclaim`
//! with a [`Reclaim`], answered with the notices given, which works in an
//! outage too.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use coltsfoothall::clock::Time;
use coltsfoothall_wire::cloud::{Offers, Refused, Start};
use coltsfoothall_wire::serve::{self, Answer, Body, Handler};
use coltsfoothall_wire::{http, limit};

use crate::cloud::{Cloud, Error, MEMORY, Reclaim, Settings};
use crate::fault::{self, Gate};
use crate::kvserver::WAIT;
use crate::query;

/// The service behind its port.
#[derive(Debug)]
pub struct Server {
    cloud: Mutex<Cloud>,
    newest: watch::Sender<u64>,
    gate: Gate,
    start: Instant,
}

/// Serves until `stop`.
pub async fn run(listener: TcpListener, settings: Settings, stop: CancellationToken) {
    let server = Server {
        cloud: Mutex::new(Cloud::new(settings)),
        newest: watch::Sender::new(0),
        gate: Gate::new(stop.clone()),
        start: Instant::now(),
    };
    serve::run(listener, Arc::new(server), stop).await;
}

impl Server {
    fn lock(&self) -> MutexGuard<'_, Cloud> {
        self.cloud.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Time {
        Time::since_start(self.start.elapsed())
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        match request.uri().path() {
            fault::PATH => return self.gate.control(request).await,
            "/reclaim" => return self.reclaim(request).await,
            _ => {}
        }
        if let Some(outage) = self.gate.enter().await {
            return outage;
        }
        let writes = matches!(*request.method(), Method::POST | Method::DELETE);
        let answer = self.apply(request).await;
        let lost = writes && answer.status().is_success() && self.gate.lost(None);
        self.gate.leave().await;
        if lost {
            return serve::hang_up();
        }
        answer
    }

    async fn apply(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path();
        match (request.method(), path) {
            (&Method::GET, "/v1/offers") => {
                let offers = self.lock().offers().to_vec();
                serve::json(200, &Offers { offers })
            }
            (&Method::GET, "/v1/instances") => self.list(),
            (&Method::GET, "/v1/notices") => self.notices(&request).await,
            (&Method::POST, "/v1/instances") => self.start(request).await,
            (&Method::DELETE, _) => self.stop(path),
            _ => serve::empty(404),
        }
    }

    fn list(&self) -> Response<Body> {
        let cloud = self.lock();
        let lag = self.gate.fault().list_lag_ms.unwrap_or(cloud.lag());
        let machines = cloud.list(self.now(), lag.duration().min(MEMORY));
        serve::json(200, &machines)
    }

    async fn start(&self, request: Request<Incoming>) -> Response<Body> {
        match http::read_json::<Start, _>(request.into_body(), limit::INTENT).await {
            Ok(start) => self.try_start(&start),
            Err(error) => fault::malformed(&error),
        }
    }

    /// A repeated start is answered also while starts are refused.
    fn try_start(&self, start: &Start) -> Response<Body> {
        let mut cloud = self.lock();
        let now = self.now();
        let fresh = matches!(cloud.repeat(now, start), Ok(None));
        if fresh && self.gate.refused() {
            return refuse("starts are refused for now");
        }
        match cloud.start(now, start) {
            Ok(machine) => serve::json(200, &machine),
            Err(error) => refuse(&error.to_string()),
        }
    }

    fn stop(&self, path: &str) -> Response<Body> {
        let name = path.strip_prefix("/v1/instances/");
        let Some(Ok(id)) = name.map(str::parse) else {
            return serve::empty(404);
        };
        match self.lock().stop(self.now(), &id) {
            Ok(()) => serve::empty(204),
            Err(Error::Unknown(_) | Error::Offer(..) | Error::Pool(..) | Error::Token(_)) => {
                serve::empty(404)
            }
        }
    }

    async fn reclaim(&self, request: Request<Incoming>) -> Response<Body> {
        match http::read_json::<Reclaim, _>(request.into_body(), limit::INTENT).await {
            Ok(reclaim) => {
                let given = self.lock().reclaim(self.now(), &reclaim);
                self.newest.send_replace(given.newest);
                serve::json(200, &given)
            }
            Err(error) => fault::malformed(&error),
        }
    }

    /// Waits for a notice after the caller's last; an outage ends the wait.
    async fn notices(&self, request: &Request<Incoming>) -> Response<Body> {
        let after = query::number(request.uri(), "after").unwrap_or(0);
        let wait = query::number(request.uri(), "wait_ms").unwrap_or(0);
        let mut newest = self.newest.subscribe();
        let mut faults = self.gate.follow();
        let end = tokio::time::sleep(Duration::from_millis(wait).min(WAIT));
        let mut end = std::pin::pin!(end);
        loop {
            let mut notices = self.lock().notices(self.now(), after);
            if !notices.notices.is_empty() && !self.gate.hears() {
                notices.notices.clear();
            }
            if !notices.notices.is_empty() || end.is_elapsed() || self.gate.ending() {
                return serve::json(200, &notices);
            }
            tokio::select! {
                _changed = newest.changed() => {}
                () = self.gate.changed(&mut faults) => {}
                () = end.as_mut() => {}
            }
            if let Some(outage) = self.gate.enter().await {
                return outage;
            }
        }
    }
}

fn refuse(message: &str) -> Response<Body> {
    let message = message.into();
    serve::json(409, &Refused { message })
}

impl Handler for Server {
    fn call(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> Answer {
        Box::pin(async move { self.answer(request).await })
    }
}
