//! Case 9: a sound runner falls silent for a second or so, while the other runner is nearly full.

#[path = "../standin-2/site.rs"]
mod site;

use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use site::{Deployment, Wire, cannot_run, entry, listen, request_head, serve, whole};

/// Instances, as many as on the site.
const INSTANCES: usize = 8;
/// The first version of the configuration.
const FIRST: u64 = 5;
/// Runners, the requests that one runs at once, and the few more that it queues.
const RUNNERS: u64 = 2;
const SLOTS: usize = 16;
const QUEUE: usize = 2;
/// Streams that may be resumed; 32 run at once.
const STREAMS: usize = 28;
/// Events of a stream, and the pause between two.
const EVENTS: u64 = 240;
const PAUSE: Duration = Duration::from_millis(25);
/// How long the first runner is silent.
const SILENCE: Duration = Duration::from_millis(1_200);
/// Short streams at each instance, in some 12 s before the long ones.
const USUAL: usize = 50;
/// The size of all requests, in tokens.
const SIZES: &str = "Coltsfoothall-Model: m\r\nColtsfoothall-Token-Usage: 600,300\r\n";
/// The bound `config_ms`, and 1 s.
const PLANNED: Duration = Duration::from_millis(3_000);
/// How soon a runner notices that a channel was closed.
const NOTICE: Duration = Duration::from_millis(3);

/// The places of a runner.
#[derive(Default)]
struct Places {
    running: usize,
    queued: usize,
}

/// A version of the configuration; later ones have one more route, which nobody uses.
fn config(version: u64) -> String {
    let added = if version > FIRST {
        ",{\"name\":\"new\",\"host\":\"h.example\",\"path_prefix\":\"/new/\",\
         \"kind\":\"idempotent\",\"timeout_ms\":15000,\"target_latency_ms\":800,\
         \"priority\":2,\"service\":\"llm\",\"max_attempts\":1,\"public\":false,\
         \"session_affinity\":false,\"stream_resume\":false}"
    } else {
        ""
    };
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"go\",\"host\":\"h.example\",\
         \"path_prefix\":\"/go/\",\"kind\":\"stream\",\"timeout_ms\":15000,\
         \"target_latency_ms\":800,\"priority\":0,\"service\":\"llm\",\"max_attempts\":2,\
         \"public\":false,\"session_affinity\":true,\"stream_resume\":true,\"gap_aim_ms\":800}}{added}],\
         \"services\":[{{\"name\":\"llm\",\"health_path\":\"/healthz\",\"max_connections\":370,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":{SLOTS},\
         \"kv_capacity\":680000}}}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":5000}},\
         \"tenants\":[{{\"name\":\"film\",\"api_keys\":[\"key-1\"],\"unit\":\"tokens\",\
         \"plain_tokens\":200,\"rate_per_s\":0,\"burst\":0}}]}}"
    )
}

fn main() -> ExitCode {
    let trouble = site::with_trouble();
    let mut deployment = Deployment::new(9);
    let record = deployment.record.clone();
    deployment.store.put("op/config", &config(FIRST));
    // Until when the first runner is silent.
    let silent: Arc<Mutex<Option<Instant>>> = Arc::default();
    for number in 1..=RUNNERS {
        let (listener, address) = listen();
        let (record, silent) = (record.clone(), Arc::clone(&silent));
        let places: Arc<Mutex<Places>> = Arc::default();
        serve(listener, move |request, wire| {
            let id = request.header("coltsfoothall-request-id").to_owned();
            let echo = ("coltsfoothall-request-id", id.as_str());
            if request.header("coltsfoothall-expected-instance") != format!("i-{number}") {
                return wire.send(&whole(421, &[echo], b"")).is_ok();
            }
            let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
            let place = {
                let mut places = places.lock().unwrap();
                if places.running < SLOTS {
                    places.running += 1;
                    Some(true)
                } else if places.queued < QUEUE {
                    places.queued += 1;
                    Some(false)
                } else {
                    None
                }
            };
            let Some(runs) = place else {
                record.line(&format!("runner i-{number} is full, and rejects {id}"));
                let headers = [echo, ("coltsfoothall-not-executed", "1")];
                return wire.send(&whole(503, &headers, b"full")).is_ok();
            };
            if !runs {
                record.line(&format!("runner i-{number} queues {id}"));
                loop {
                    thread::sleep(NOTICE);
                    let mut places = places.lock().unwrap();
                    if wire.is_closed() {
                        places.queued -= 1;
                        return false;
                    }
                    if places.running < SLOTS {
                        places.queued -= 1;
                        places.running += 1;
                        break;
                    }
                }
            }
            record.line(&format!("runner i-{number} begins {id} after event {after}"));
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{}: {id}\r\n\
                 coltsfoothall-upstream-signature: i-{number}\r\ntransfer-encoding: chunked\r\n\r\n",
                echo.0
            );
            let events = if request.target.ends_with("/short") { 4 } else { EVENTS };
            let is_silent = || {
                let until = *silent.lock().unwrap();
                number == 1 && until.is_some_and(|until| Instant::now() < until)
            };
            let stream = |wire: &mut Wire| {
                if wire.send(head.as_bytes()).is_err() {
                    return false;
                }
                for event in after + 1..=events {
                    let text = format!("id: {event}\ndata: piece {event}\n\n");
                    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                    if wire.send(chunk.as_bytes()).is_err() {
                        return false;
                    }
                    let until = Instant::now() + PAUSE;
                    while Instant::now() < until || is_silent() {
                        if wire.is_closed() {
                            return false;
                        }
                        thread::sleep(NOTICE);
                    }
                }
                wire.send(b"0\r\n\r\n").is_ok()
            };
            let is_whole = stream(wire);
            places.lock().unwrap().running -= 1;
            let how = if is_whole { "completes" } else { "loses the channel of" };
            record.line(&format!("runner i-{number} {how} {id}"));
            is_whole
        });
        let row = entry("llm", address, "ready", 1, 1);
        let row = row.replace("\"slots\":6", &format!("\"slots\":{SLOTS}"));
        deployment.store.put(&format!("servers/i-{number}"), &row);
    }
    if !deployment.start(INSTANCES) {
        return cannot_run(&record, "the instances didn't become ready");
    }
    let fronts = deployment.fronts();
    // Usual traffic: short streams, 5 a second at each instance.
    let usual: Vec<_> = fronts
        .iter()
        .map(|front| {
            let front = *front;
            thread::spawn(move || {
                let mut cut = 0;
                for number in 0..USUAL {
                    let more = format!(
                        "{SIZES}Coltsfoothall-Prompt-Prefix: f{number:x}:600\r\nContent-Length: 2\r\n\r\nhi"
                    );
                    let id = format!("usual-{front}-{number}");
                    if let Ok(mut wire) = Wire::open(front, Duration::from_secs(20)) {
                        let head = request_head("POST", "/go/short", &id, &more);
                        let reply = wire.send(head.as_bytes()).and_then(|()| wire.response());
                        cut += usize::from(reply.is_err());
                    }
                    thread::sleep(Duration::from_millis(200));
                }
                cut
            })
        })
        .collect();
    // Requests that each instance cut at other times.
    let mut others: Vec<usize> = usual.into_iter().map(|one| one.join().unwrap_or(1)).collect();
    let mut requesters = Vec::new();
    for number in 0..STREAMS {
        let instance = number % fronts.len();
        let (front, record) = (fronts[instance], record.clone());
        requesters.push(thread::spawn(move || {
            let id = format!("stream-{number}");
            let prefix = format!("Coltsfoothall-Prompt-Prefix: {:x}:600\r\n", number + 1);
            let more = format!("{SIZES}{prefix}Content-Length: 2\r\n\r\nhi");
            record.line(&format!("requester sends {id} to front-{}", instance + 1));
            let mut wire = Wire::open(front, Duration::from_secs(20)).ok()?;
            wire.send(request_head("POST", "/go/opinion", &id, &more).as_bytes()).ok()?;
            let head = wire.response_head().ok()?;
            let (receipt, status) = (head.header("coltsfoothall-upstream-signature"), head.status);
            let body = wire.rest(&head);
            let ended = Instant::now();
            let text = body.as_ref().map_or_else(ToString::to_string, |_| "its end".into());
            record.line(&format!("requester gets {status} of {receipt} for {id}, then {text}"));
            Some((id, instance, status, (!body.is_ok()).then_some(ended)))
        }));
        thread::sleep(Duration::from_millis(60));
    }
    thread::sleep(Duration::from_millis(600));
    // Planned work: a route is added.
    record.line("the operator writes a version with one more route");
    deployment.store.put("op/config", &config(FIRST + 2));
    let confirmed = Instant::now();
    if trouble {
        record.line("runner i-1 falls silent");
        *silent.lock().unwrap() = Some(Instant::now() + SILENCE);
        thread::sleep(SILENCE);
        record.line("runner i-1 goes on");
    }
    let answers: Vec<_> = requesters
        .into_iter()
        .filter_map(|one| one.join().ok().flatten())
        .collect();
    let cut: Vec<_> = answers
        .iter()
        .filter_map(|(id, instance, status, cut)| {
            let at = cut.filter(|_| *status == 200)?;
            Some((id, instance, at.saturating_duration_since(confirmed)))
        })
        .collect();
    let refused = answers.iter().filter(|(_, _, status, _)| *status != 200).count();
    println!("{STREAMS} streams, {} cut, {refused} refused", cut.len());
    if answers.len() < STREAMS || refused > 0 || !deployment.all_run() {
        return cannot_run(&record, "not all streams began, or an instance ended");
    }
    for (_, instance, _) in cut.iter().filter(|(_, _, after)| *after > PLANNED) {
        others[**instance] += 1;
    }
    // The rule allows a third as many cuts at other times. Here none are allowed.
    let planned = cut
        .iter()
        .filter(|(_, instance, after)| *after <= PLANNED && others[**instance] == 0);
    let broken: Vec<String> = planned
        .map(|(id, instance, after)| {
            format!(
                "LOST: {id} was passed on by front-{}, and its channel ended without a complete \
                 answer, {} ms after a version was confirmed",
                *instance + 1,
                after.as_millis()
            )
        })
        .collect();
    site::verdict(&record, &broken)
}
