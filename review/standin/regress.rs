//! A machine that reaches no runner of a service hands requests to one that has an older
//! configuration.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Setup;
use crate::http::{Connection, Handler, Request};
use crate::site::{Record, Routes, Site, configuration, entry, head};

/// Runners of each of the two services.
const RUNNERS: usize = 3;
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(20);
/// When, from the start of traffic, the disruption begins, the configuration changes, and both end.
const TROUBLE: Duration = Duration::from_secs(3);
const CHANGE: Duration = Duration::from_secs(5);
const END: Duration = Duration::from_secs(9);
/// Bound of the rule: `rollback_slack_ms`.
const SLACK: Duration = Duration::from_millis(250);

/// A run: the request, the service, and when it began.
type Run = (String, &'static str, Instant);

pub fn play(setup: &Setup) -> bool {
    let routes = Routes { plain_ms: 1_000 };
    let mut site = Site::new(setup, &routes);
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let cut = Arc::new(AtomicBool::new(false));
    for number in 1..=RUNNERS {
        for service in ["desk", "desk2"] {
            let id = format!("i-{service}-{number}");
            let address = site.runner(&id, service, 6, runner(&id, service, &setup.record, &runs));
            if service == "desk2" {
                // The first instance reaches these runners by way of a proxy.
                let proxy = proxy(address, &cut);
                let told = entry(service, 6, proxy, "ready", "");
                site.store.put_for(
                    &format!("servers/{id}"),
                    &entry(service, 6, address, "ready", ""),
                    &[(1, told)],
                );
            }
        }
    }
    let silent = Arc::new(AtomicBool::new(false));
    let first = site.node("north");
    let second = site.node_with("south", &silent);
    let third = site.node("east");
    thread::sleep(Duration::from_secs(2));
    setup.record.line(&format!(
        "{} takes the requests; {} and {} are the others",
        first.name, second.name, third.name
    ));
    let began = Instant::now();
    let mut sent: Vec<(String, Instant)> = Vec::new();
    let mut requesters = Vec::new();
    let mut changed = false;
    while began.elapsed() < END {
        if setup.trouble && began.elapsed() > TROUBLE && !silent.swap(true, Ordering::Relaxed) {
            cut.store(true, Ordering::Relaxed);
            setup.record.line(&format!(
                "{} gets no answer from the store; {} reaches no runner of desk2",
                second.name, first.name
            ));
        }
        if began.elapsed() > CHANGE && !changed {
            changed = true;
            site.store
                .put("op/config", &configuration(8, "desk2", &routes));
            setup
                .record
                .line("version 8 is confirmed: the route /book/ goes to desk2");
        }
        let id = format!("r-{}", sent.len());
        sent.push((id.clone(), Instant::now()));
        let (front, record) = (first.front, setup.record.clone());
        requesters.push(thread::spawn(move || request(front, &id, &record)));
        thread::sleep(INTERVAL);
    }
    silent.store(false, Ordering::Relaxed);
    for requester in requesters {
        let _ended = requester.join();
    }
    let runs = runs.lock().expect("runs").clone();
    let Some(effect) = runs.iter().find(|run| run.1 == "desk2").map(|run| run.2) else {
        panic!("no request was run by desk2");
    };
    let late = |id: &str| {
        sent.iter()
            .any(|(sent, at)| sent == id && *at > effect + SLACK)
    };
    let old: Vec<&str> = runs
        .iter()
        .filter(|run| run.1 == "desk" && late(&run.0))
        .map(|run| run.0.as_str())
        .collect();
    setup.record.line(&format!(
        "sent more than 250 ms after the first run by desk2, and run by desk: {} {old:?}",
        old.len()
    ));
    !old.is_empty()
}

fn request(front: SocketAddr, id: &str, record: &Record) {
    let text = format!(
        "{}Content-Length: 2\r\n\r\n{{}}",
        head("POST", "/book/x", id, 1_000)
    );
    record.line(&format!("sent {id}"));
    let asked = Connection::open(front).and_then(|mut connection| {
        connection
            .stream
            .set_read_timeout(Some(Duration::from_millis(1_500)))?;
        connection.stream.write_all(text.as_bytes())?;
        connection.response()
    });
    match asked {
        Ok(answer) => record.line(&format!(
            "answered {id}: {} {}",
            answer.status,
            answer.header("coltsfoothall-served-by").unwrap_or("")
        )),
        Err(error) => record.line(&format!("answered {id}: {error}")),
    }
}

/// A sound runner of a plain service.
fn runner(
    id: &str,
    service: &'static str,
    record: &Record,
    runs: &Arc<Mutex<Vec<Run>>>,
) -> Arc<Handler> {
    let (id, record, runs) = (id.to_owned(), record.clone(), Arc::clone(runs));
    Arc::new(move |request: &Request, connection: &mut Connection| {
        let request_id = request
            .header("coltsfoothall-request-id")
            .unwrap_or("-")
            .to_owned();
        let headers = [
            ("Coltsfoothall-Request-Id", request_id.as_str()),
            ("Coltsfoothall-Served-By", &id),
            ("Coltsfoothall-Upstream-Signature", "3e1b.07"),
        ];
        if request.path() == "/healthz" {
            connection.answer(200, &headers[1..2], b"")?;
            return Ok(true);
        }
        if request.header("coltsfoothall-expected-instance") != Some(id.as_str()) {
            connection.answer(421, &headers[1..2], b"")?;
            return Ok(true);
        }
        runs.lock()
            .expect("runs")
            .push((request_id.clone(), service, Instant::now()));
        record.line(&format!("runner {id} runs {request_id}"));
        thread::sleep(Duration::from_millis(30));
        connection.answer(200, &headers, b"done")?;
        Ok(true)
    })
}

/// Forwards connections to a runner until `cut` is set. Then it closes them and refuses new ones.
fn proxy(runner: SocketAddr, cut: &Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    listener.set_nonblocking(true).expect("a listener");
    let cut = Arc::clone(cut);
    thread::spawn(move || {
        let mut open: Vec<TcpStream> = Vec::new();
        while !cut.load(Ordering::Relaxed) {
            let Ok((caller, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ignored = caller.set_nonblocking(false);
            let Ok(server) = TcpStream::connect(runner) else {
                continue;
            };
            for (from, to) in [(&caller, &server), (&server, &caller)] {
                if let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) {
                    thread::spawn(move || copy(from, to));
                }
            }
            open.extend([caller, server]);
        }
        drop(listener);
        for stream in open {
            let _ignored = stream.shutdown(Shutdown::Both);
        }
    });
    address
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 16 << 10];
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ignored = to.shutdown(Shutdown::Both);
}
