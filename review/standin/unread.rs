//! Requesters read their answers slowly.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Setup;
use crate::http::{Connection, Handler, Request};
use crate::site::{Record, Routes, Site, head};

/// Requesters at the two instances.
const REQUESTERS: usize = 8;
/// Time limit of the route and of the requesters, in milliseconds.
const LIMIT_MS: u64 = 15_000;
/// Size of the large answer.
const SIZE: usize = 300_000;
/// A requester reads this much at a time, and so often: 32 kB a second, which takes 9.4 s.
const PIECE: usize = 16_000;
const PIECE_GAP: Duration = Duration::from_millis(500);
/// Requests whose kept channel a machine may close without an answer.
const ALLOWED: usize = 3;

pub fn play(setup: &Setup) -> bool {
    let routes = Routes { plain_ms: LIMIT_MS };
    let mut site = Site::new(setup, &routes);
    for number in 1..=3 {
        let id = format!("i-desk-{number}");
        site.runner(&id, "desk", 6, runner(&id, &setup.record));
    }
    let nodes = [site.node("north"), site.node("south")];
    let lost = Arc::new(Mutex::new([0, 0]));
    let mut requesters = Vec::new();
    for number in 0..REQUESTERS {
        let node = number % nodes.len();
        let (front, record, slow, lost) = (
            nodes[node].front,
            setup.record.clone(),
            setup.trouble,
            Arc::clone(&lost),
        );
        requesters.push(thread::spawn(move || {
            if !play_requester(front, number, slow, &record) {
                lost.lock().expect("requests")[node] += 1;
            }
        }));
    }
    for requester in requesters {
        requester.join().expect("a requester");
    }
    let lost = *lost.lock().expect("requests");
    setup.record.line(&format!(
        "requests from kept channels that were passed on to a sound runner and got no complete answer, by instance: {lost:?}"
    ));
    lost.iter().any(|lost| *lost > ALLOWED)
}

/// Sends two requests on one channel. Returns whether the second answer, a large one, is complete.
fn play_requester(front: SocketAddr, number: usize, slow: bool, record: &Record) -> bool {
    let mut connection = Connection::open(front).expect("the instance listens");
    let _ignored = connection
        .stream
        .set_read_timeout(Some(Duration::from_secs(20)));
    let small = format!("small-{number}");
    let text = format!("{}\r\n", head("GET", "/lookup/small", &small, LIMIT_MS));
    record.line(&format!("sent {small}"));
    connection
        .stream
        .write_all(text.as_bytes())
        .expect("the request is sent");
    let answer = connection.response().expect("the first answer");
    record.line(&format!("answered {small}: {}", answer.status));
    let large = format!("large-{number}");
    let text = format!("{}\r\n", head("GET", "/lookup/large", &large, LIMIT_MS));
    connection
        .stream
        .write_all(text.as_bytes())
        .expect("the request is sent");
    record.line(&format!("sent {large} on the same channel"));
    let began = Instant::now();
    let mut got = Vec::new();
    let mut piece = vec![0; PIECE];
    let end = loop {
        match connection.stream.read(&mut piece) {
            Ok(0) => break "the channel was closed".to_owned(),
            Ok(count) => got.extend_from_slice(&piece[..count]),
            Err(error) => break error.to_string(),
        }
        if body_len(&got) >= SIZE {
            break "complete".to_owned();
        }
        if slow {
            thread::sleep(PIECE_GAP);
        }
    };
    let (got, millis) = (body_len(&got), began.elapsed().as_millis());
    record.line(&format!(
        "answered {large}: {got} of {SIZE} bytes in {millis} ms, then: {end}"
    ));
    got >= SIZE
}

/// Bytes of the body among those of a response.
fn body_len(bytes: &[u8]) -> usize {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n");
    end.map_or(0, |end| bytes.len() - end - 4)
}

/// A sound runner of a plain service.
fn runner(id: &str, record: &Record) -> Arc<Handler> {
    let (id, record) = (id.to_owned(), record.clone());
    let large = vec![b'x'; SIZE];
    Arc::new(move |request: &Request, connection: &mut Connection| {
        if request.path() == "/healthz" {
            connection.answer(200, &[("Coltsfoothall-Served-By", &id)], b"")?;
            return Ok(true);
        }
        let request_id = request
            .header("coltsfoothall-request-id")
            .unwrap_or("-")
            .to_owned();
        record.line(&format!("runner {id} runs {request_id}"));
        let body: &[u8] = if request.path().ends_with("large") {
            &large
        } else {
            b"small"
        };
        let headers = [
            ("Coltsfoothall-Request-Id", request_id.as_str()),
            ("Coltsfoothall-Upstream-Signature", "3e1b.07"),
        ];
        connection.answer(200, &headers, body)?;
        record.line(&format!("runner {id} has answered {request_id}"));
        Ok(true)
    })
}
