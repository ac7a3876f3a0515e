//! A stream stalls at a slow runner and goes on at another one, whose answer is lost.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Setup;
use crate::http::{Connection, Handler, Request};
use crate::site::{KEY, Record, Routes, Site, head};

/// Model runners; at a time one of them turns slow, and the next four lose answers.
const RUNNERS: usize = 7;
const LOSING: usize = 4;
/// How often that comes, each time at other runners.
const ROUNDS: usize = 3;
/// How much longer the slow runner's work takes.
const SLOWNESS: u32 = 5;
/// Of ten requests that a losing runner runs, the answers of this many are lost.
const LOST_OF_TEN: usize = 3;
/// How long the disruption lasts each time.
const TROUBLE: Duration = Duration::from_secs(6);
/// Calm traffic before each of them.
const CALM: Duration = Duration::from_secs(12);
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(6);
/// Events of an answer, and the work that the first and each later one takes.
const EVENTS: u32 = 5;
const FIRST: Duration = Duration::from_millis(80);
const GAP: Duration = Duration::from_millis(250);
/// How long two runners may work on one request.
const ALLOWED: Duration = Duration::from_millis(400);

/// One run of a request.
#[derive(Debug, Clone)]
struct Run {
    request: String,
    runner: String,
    began: Instant,
    ended: Option<Instant>,
}

struct World {
    record: Record,
    runs: Mutex<Vec<Run>>,
    /// The runner that is slow, and since when.
    trouble: Mutex<Option<(usize, Instant)>>,
}

impl World {
    /// How many runners after the slow one this one comes; none while there is no disruption.
    fn place(&self, runner: usize) -> Option<usize> {
        let trouble = *self.trouble.lock().expect("trouble");
        let (slow, _) = trouble.filter(|(_, began)| began.elapsed() < TROUBLE)?;
        Some((runner + RUNNERS - slow) % RUNNERS)
    }

    fn begin(&self, request: &str, runner: &str) -> usize {
        let mut runs = self.runs.lock().expect("runs");
        runs.push(Run {
            request: request.to_owned(),
            runner: runner.to_owned(),
            began: Instant::now(),
            ended: None,
        });
        runs.len() - 1
    }

    fn end(&self, run: usize, how: &str) {
        let mut runs = self.runs.lock().expect("runs");
        runs[run].ended = Some(Instant::now());
        self.record.line(&format!(
            "runner {} ends {}: {how}",
            runs[run].runner, runs[run].request
        ));
    }
}

pub fn play(setup: &Setup) -> bool {
    let routes = Routes { plain_ms: 1_000 };
    let mut site = Site::new(setup, &routes);
    let world = Arc::new(World {
        record: setup.record.clone(),
        runs: Mutex::default(),
        trouble: Mutex::default(),
    });
    for number in 1..=RUNNERS {
        let id = format!("i-reader-{number}");
        site.runner(&id, "reader", 64, runner(&id, number, &world));
    }
    let nodes = [site.node("north"), site.node("south")];
    let mut number = 0;
    let mut requesters = Vec::new();
    for round in 1..=ROUNDS {
        let began = Instant::now();
        let mut begun = false;
        while began.elapsed() < CALM + TROUBLE {
            if setup.trouble && !begun && began.elapsed() >= CALM {
                begun = true;
                setup.record.line(&format!(
                    "runner i-reader-{round} turns slow, and the next {LOSING} lose answers"
                ));
                *world.trouble.lock().expect("trouble") = Some((round, Instant::now()));
            }
            requesters.push(request(&nodes[number % 2], number, &world));
            number += 1;
            thread::sleep(INTERVAL);
        }
    }
    for requester in requesters {
        let _ended = requester.join();
    }
    thread::sleep(Duration::from_secs(1));
    let runs = world.runs.lock().expect("runs").clone();
    let mut broken = 0;
    for (index, run) in runs.iter().enumerate() {
        let later = runs[index + 1..]
            .iter()
            .filter(|other| other.request == run.request && other.runner != run.runner);
        for other in later {
            let overlap = run
                .ended
                .unwrap_or_else(Instant::now)
                .saturating_duration_since(other.began);
            if overlap > ALLOWED {
                broken += 1;
                setup.record.line(&format!(
                    "{} went on at {}, and {} still worked on it for {} ms",
                    run.request,
                    other.runner,
                    run.runner,
                    overlap.as_millis()
                ));
            }
        }
    }
    setup.record.line(&format!(
        "{} requests, {} runs, {broken} at two runners for over {} ms",
        number,
        runs.len(),
        ALLOWED.as_millis()
    ));
    broken > 0
}

/// A requester, which reads its stream to the end.
fn request(node: &crate::site::Node, number: usize, world: &Arc<World>) -> thread::JoinHandle<()> {
    let (front, world) = (node.front, Arc::clone(world));
    thread::spawn(move || {
        let id = format!("r-{number}");
        let Ok(mut connection) = Connection::open(front) else {
            return;
        };
        let _ignored = connection
            .stream
            .set_read_timeout(Some(Duration::from_millis(3_500)));
        let head = head("POST", "/summary/x", &id, 3_000);
        let text = format!(
            "{head}Coltsfoothall-Model: m\r\nColtsfoothall-Token-Usage: 1800,25\r\nColtsfoothall-Prompt-Prefix: {:x}:1800\r\nContent-Length: 2\r\n\r\n{{}}",
            number + 4096
        );
        if connection.stream.write_all(text.as_bytes()).is_ok() {
            world.record.line(&format!("sent {id}"));
            match connection.response() {
                Ok(answer) => world.record.line(&format!(
                    "answered {id}: {}, {} bytes",
                    answer.status,
                    answer.body.len()
                )),
                Err(error) => world
                    .record
                    .line(&format!("answered {id}: the stream broke off ({error})")),
            }
        }
    })
}

/// A sound model runner. It sends the head of a response with the first event, and drops a request
/// when its channel closes.
fn runner(id: &str, number: usize, world: &Arc<World>) -> Arc<Handler> {
    let (id, world) = (id.to_owned(), Arc::clone(world));
    let count = Mutex::new(number);
    Arc::new(move |request: &Request, connection: &mut Connection| {
        if request.path() == "/healthz" {
            connection.answer(200, &[("Coltsfoothall-Served-By", &id)], b"")?;
            return Ok(true);
        }
        if request.path() == "/api/report" {
            let report = r#"{"stage":"colocated","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":2,"queued":0,"active":1,"kv_used":1000,"kv_total":684373,"handles":0}"#;
            connection.answer(200, &[], report.as_bytes())?;
            return Ok(true);
        }
        assert!(
            request
                .header("authorization")
                .is_none_or(|value| !value.contains(KEY)),
            "the key was passed on"
        );
        let request_id = request
            .header("coltsfoothall-request-id")
            .unwrap_or("-")
            .to_owned();
        let after: u32 = request
            .header("last-event-id")
            .and_then(|event| event.parse().ok())
            .unwrap_or(0);
        let losing = |place| (1..=LOSING).contains(&place);
        let loses = world.place(number).is_some_and(losing) && {
            let mut count = count.lock().expect("count");
            *count += 7;
            *count % 10 < LOST_OF_TEN
        };
        let run = world.begin(&request_id, &id);
        world.record.line(&format!(
            "runner {id} runs {request_id} after event {after}{}",
            if loses {
                ", its answer will be lost"
            } else {
                ""
            }
        ));
        for event in after + 1..=EVENTS {
            let factor = if world.place(number) == Some(0) {
                SLOWNESS
            } else {
                1
            };
            let work = if event == after + 1 { FIRST } else { GAP } * factor;
            let until = Instant::now() + work;
            while Instant::now() < until {
                if connection.is_closed() {
                    world.end(run, "the channel was closed");
                    return Ok(false);
                }
                thread::sleep(Duration::from_millis(10));
            }
            if loses {
                continue;
            }
            let mut text = String::new();
            if event == after + 1 {
                text.push_str(&format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nColtsfoothall-Request-Id: {request_id}\r\nColtsfoothall-Upstream-Signature: 3e1b.07\r\n\r\n"));
            }
            let data = format!("id: {event}\ndata: piece-{event}\n\n");
            text.push_str(&format!("{:x}\r\n{data}\r\n", data.len()));
            if event == EVENTS {
                text.push_str("0\r\n\r\n");
            }
            if connection.stream.write_all(text.as_bytes()).is_err() {
                world.end(run, "the channel was closed");
                return Ok(false);
            }
        }
        world.end(
            run,
            if loses {
                "done, the answer is lost"
            } else {
                "done"
            },
        );
        if loses {
            // The channel stays silent until the caller closes it.
            while !connection.is_closed() {
                thread::sleep(Duration::from_millis(20));
            }
            return Ok(false);
        }
        Ok(true)
    })
}
