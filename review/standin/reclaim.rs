//! A runner that may be taken back is killed after its notice, in the middle of streams that end with
//! their channel.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::Setup;
use crate::http::{Connection, Request, serve};
use crate::process;
use crate::site::{Record, Routes, Site, head, wait_for};

/// Model runners, of which the first is taken back.
const RUNNERS: usize = 3;
/// Events of a stream, and the time between two.
const EVENTS: u32 = 60;
const GAP: Duration = Duration::from_millis(130);
/// While answers without a length come, one of this many has none and ends with its channel. They come
/// from the runner that is taken back alone, for 5 s, until its notice.
const UNFRAMED_EVERY: u32 = 20;
const UNFRAMED: Duration = Duration::from_secs(5);
/// When the notice comes, from the start of traffic.
const NOTICE_AT: Duration = Duration::from_secs(10);
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(60);
/// Time between the notice and the end of the runner.
const NOTICE: Duration = Duration::from_millis(2_500);

/// A runner in a process of its own; it is killed when this is dropped.
struct Process {
    child: Child,
    address: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        process::kill(&mut self.child);
    }
}

pub fn play(setup: &Setup) -> bool {
    let routes = Routes { plain_ms: 1_000 };
    let mut site = Site::new(setup, &routes);
    let mut runners = Vec::new();
    for number in 1..=RUNNERS {
        let id = format!("i-reader-{number}");
        let runner = start(&id, setup);
        site.register_with(&id, "reader", 64, runner.address, "ready", spot(number, ""));
        runners.push(runner);
    }
    let nodes = [site.node("north"), site.node("south")];
    let broken = Arc::new(Mutex::new(Vec::new()));
    let began = Instant::now();
    let mut notice = None;
    let (mut begun, mut ended) = (false, false);
    let mut requesters = Vec::new();
    let mut number = 0;
    while began.elapsed() < Duration::from_secs(16) {
        let (front, record, broken) = (
            nodes[number % 2].front,
            setup.record.clone(),
            Arc::clone(&broken),
        );
        requesters.push(thread::spawn(move || {
            request(front, number, &record, &broken)
        }));
        number += 1;
        thread::sleep(INTERVAL);
        if began.elapsed() > NOTICE_AT - UNFRAMED && !begun {
            begun = true;
            switch(runners[0].address, "on");
            setup
                .record
                .line("runner i-reader-1 sends one answer of twenty without a length");
        }
        if began.elapsed() > NOTICE_AT && !ended {
            ended = true;
            switch(runners[0].address, "off");
            setup
                .record
                .line("runner i-reader-1 sends all answers with a length");
        }
        if setup.trouble && notice.is_none() && began.elapsed() > NOTICE_AT {
            notice = Some(Instant::now());
            site.register_with(
                "i-reader-1",
                "reader",
                64,
                runners[0].address,
                "draining",
                spot(1, r#","leaves_ms":2500"#),
            );
        }
        if notice.is_some_and(|notice| notice.elapsed() > NOTICE) && runners.len() == RUNNERS {
            drop(runners.remove(0));
            setup.record.line("runner i-reader-1 is gone (SIGKILL)");
            site.store.delete("servers/i-reader-1");
        }
    }
    for requester in requesters {
        let _ended = requester.join();
    }
    let broken = broken.lock().expect("streams").clone();
    setup.record.line(&format!(
        "{number} requests; streams that look complete without their last event: {broken:?}"
    ));
    !broken.is_empty()
}

/// The further fields of a runner's entry: the first one may be taken back.
fn spot(number: usize, more: &'static str) -> &'static str {
    match (number, more) {
        (1, "") => r#","spot":true"#,
        (1, _) => r#","spot":true,"leaves_ms":2500"#,
        _ => "",
    }
}

/// Starts a runner in a process of its own, on a free port.
fn start(id: &str, setup: &Setup) -> Process {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let program = std::env::current_exe().expect("this program");
    let mut command = Command::new(program);
    let begun = setup.record.start_ms().to_string();
    command
        .args(["runner", id, &address.to_string()])
        .arg(&setup.file)
        .arg(begun)
        .stdin(Stdio::null());
    let child = process::start(&mut command);
    let process = Process {
        child: child.expect("the runner starts"),
        address,
    };
    wait_for("the runner listens", Duration::from_secs(5), || {
        Connection::open(address).is_ok()
    });
    process
}

/// Lets a runner send answers without a length, or no more.
fn switch(runner: SocketAddr, how: &str) {
    let text = format!("POST /stand-in/unframed-{how} HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    let mut connection = Connection::open(runner).expect("the runner listens");
    connection
        .stream
        .write_all(text.as_bytes())
        .expect("the runner reads");
    connection.response().expect("the runner answers");
}

/// Reads a stream to its end, and notes it if it looks complete though it is not.
fn request(front: SocketAddr, number: usize, record: &Record, broken: &Mutex<Vec<String>>) {
    let id = format!("r-{number}");
    let text = format!(
        "{}Coltsfoothall-Model: m\r\nColtsfoothall-Token-Usage: 6610,380\r\nColtsfoothall-Prompt-Prefix: {:x}:6610\r\nContent-Length: 2\r\n\r\n{{}}",
        head("POST", "/opinion/x", &id, 15_000),
        number + 4096
    );
    record.line(&format!("sent {id}"));
    let asked = Connection::open(front).and_then(|mut connection| {
        connection
            .stream
            .set_read_timeout(Some(Duration::from_secs(16)))?;
        connection.stream.write_all(text.as_bytes())?;
        connection.response()
    });
    match asked {
        Ok(answer) if answer.status == 200 => {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let events = text.matches("id: ").count();
            let runner = answer
                .header("coltsfoothall-served-by")
                .unwrap_or("-")
                .to_owned();
            record.line(&format!(
                "answered {id}: 200 from {runner}, a complete stream of {events} events"
            ));
            if !text.ends_with(&format!("id: {EVENTS}\ndata: piece-{EVENTS}\n\n")) {
                broken
                    .lock()
                    .expect("streams")
                    .push(format!("{id} ({events} events, {runner})"));
            }
        }
        Ok(answer) => record.line(&format!("answered {id}: {}", answer.status)),
        Err(error) => record.line(&format!("answered {id}: the stream broke off ({error})")),
    }
}

/// The process of a runner: a sound model runner that serves until it is killed. `rest` holds its
/// address, the file of the record, and when that began, in milliseconds since 1970.
pub fn runner(id: &str, rest: &[String]) -> ExitCode {
    let [address, file, begun] = rest else {
        return ExitCode::from(2);
    };
    let id = id.to_owned();
    let start = SystemTime::UNIX_EPOCH + Duration::from_millis(begun.parse().unwrap_or(0));
    let record = Record::join(&PathBuf::from(file), start).expect("the record is there");
    let listener = TcpListener::bind(address).expect("the port is free");
    let (count, unframed) = (AtomicU32::new(1), AtomicBool::new(false));
    serve(
        listener,
        Arc::new(move |request: &Request, connection: &mut Connection| {
            if request.path() == "/healthz" {
                connection.answer(200, &[("Coltsfoothall-Served-By", &id)], b"")?;
                return Ok(true);
            }
            if let Some(how) = request.path().strip_prefix("/stand-in/unframed-") {
                unframed.store(how == "on", Ordering::Relaxed);
                connection.answer(200, &[], b"")?;
                return Ok(true);
            }
            let request_id = request.header("coltsfoothall-request-id").unwrap_or("-");
            let framed = !unframed.load(Ordering::Relaxed)
                || !count
                    .fetch_add(1, Ordering::Relaxed)
                    .is_multiple_of(UNFRAMED_EVERY);
            let how = if framed {
                "in chunks"
            } else {
                "without a length"
            };
            record.line(&format!("runner {id} runs {request_id}, answers {how}"));
            let framing = if framed {
                "Transfer-Encoding: chunked"
            } else {
                "Connection: close"
            };
            let text = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{framing}\r\nColtsfoothall-Request-Id: {request_id}\r\nColtsfoothall-Served-By: {id}\r\nColtsfoothall-Upstream-Signature: 3e1b.07\r\n\r\n"
            );
            connection.stream.write_all(text.as_bytes())?;
            for event in 1..=EVENTS {
                thread::sleep(GAP);
                let data = format!("id: {event}\ndata: piece-{event}\n\n");
                let data = if framed {
                    format!("{:x}\r\n{data}\r\n", data.len())
                } else {
                    data
                };
                connection.stream.write_all(data.as_bytes())?;
            }
            if framed {
                connection.stream.write_all(b"0\r\n\r\n")?;
            }
            Ok(framed)
        }),
    );
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}
