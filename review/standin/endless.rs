//! Model runners in trouble send bytes without end where the events of its streams are due.

use std::collections::HashSet;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Setup;
use crate::http::{Connection, Handler, Request};
use crate::site::{Record, Routes, Site, head};

/// Model runners, the first two of which are in trouble.
const RUNNERS: usize = 6;
const TROUBLED: usize = 2;
/// Time between two requests, sent to the two instances by turns: four fifths of the runners' slots
/// are taken.
const INTERVAL: Duration = Duration::from_millis(8);
/// How long a sound run takes, and the number of its events.
const EVENTS: u32 = 12;
const GAP: Duration = Duration::from_millis(200);
/// Bytes that a runner in trouble sends on each channel, and how often: 1 MB a second, so that
/// all its 64 channels take half of a link of 1,000 Mbit/s.
const PIECE: usize = 100_000;
const PIECE_GAP: Duration = Duration::from_millis(100);
/// Calm traffic, and how long the trouble lasts.
const CALM: Duration = Duration::from_secs(5);
const TROUBLE: Duration = Duration::from_secs(35);
/// Memory of a machine; the platform kills a process that exceeds it, and starts it again.
const MEMORY_MB: u64 = 260;
/// Requests whose kept channel a machine may close without an answer.
const ALLOWED: usize = 3;

/// What is known of the requests.
#[derive(Default)]
struct Book {
    /// Requests that a sound runner runs or ran.
    sound: Mutex<HashSet<String>>,
    /// Requests on a channel that had carried another one, and that ended without an answer.
    closed: Mutex<Vec<(usize, String)>>,
    /// Idle channels to each instance.
    idle: [Mutex<Vec<Connection>>; 2],
}

pub fn play(setup: &Setup) -> bool {
    let routes = Routes { plain_ms: 1_000 };
    let mut site = Site::new(setup, &routes);
    let troubled = Arc::new(AtomicBool::new(false));
    let open = Arc::new(AtomicU32::new(0));
    let book = Arc::new(Book::default());
    for number in 1..=RUNNERS {
        let id = format!("i-reader-{number}");
        let troubled = (number <= TROUBLED).then(|| Arc::clone(&troubled));
        site.runner(
            &id,
            "reader",
            64,
            runner(&id, &setup.record, troubled, &open, &book),
        );
    }
    let mut nodes = [site.node("north"), site.node("south")];
    let began = Instant::now();
    let until = began + CALM + TROUBLE;
    let fronts = nodes.each_ref().map(|node| node.front);
    let (record, kept) = (setup.record.clone(), Arc::clone(&book));
    thread::spawn(move || {
        for number in 0.. {
            if Instant::now() > until {
                return;
            }
            let (record, book, node) = (record.clone(), Arc::clone(&kept), number % 2);
            thread::spawn(move || request(fronts[node], node, number, &record, &book));
            thread::sleep(INTERVAL);
        }
    });
    let mut kills = [0; 2];
    let mut peaks = [0; 2];
    while Instant::now() < until {
        if setup.trouble && began.elapsed() > CALM && !troubled.swap(true, Ordering::Relaxed) {
            setup
                .record
                .line("runners i-reader-1 and i-reader-2 are in trouble");
        }
        for (index, node) in nodes.iter_mut().enumerate() {
            let memory = node.memory_mb("VmRSS");
            peaks[index] = peaks[index].max(memory);
            if memory > MEMORY_MB {
                kills[index] += 1;
                let at_runner = open.load(Ordering::Relaxed);
                setup.record.line(&format!("{} takes {memory} MB, with {at_runner} requests at the runners in trouble: it is killed and started again", node.name));
                node.restart();
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    let sound = book.sound.lock().expect("runs").clone();
    let closed = book.closed.lock().expect("requests").clone();
    let lost = [0, 1].map(|node| {
        closed
            .iter()
            .filter(|(at, id)| *at == node && sound.contains(id))
            .count()
    });
    setup.record.line(&format!(
        "peak memory {peaks:?} MB; processes that ended over their memory {kills:?}"
    ));
    setup.record.line(&format!("requests from kept channels that were passed on to a sound runner and got no answer, by instance: {lost:?}"));
    lost.iter().any(|lost| *lost > ALLOWED)
}

/// Sends a request on a kept channel, if one is idle, and keeps the channel for later ones.
fn request(front: SocketAddr, node: usize, number: usize, record: &Record, book: &Book) {
    let id = format!("r-{node}-{number}");
    let text = format!(
        "{}Coltsfoothall-Model: m\r\nColtsfoothall-Token-Usage: 6610,380\r\nColtsfoothall-Prompt-Prefix: {:x}:6610\r\nContent-Length: 2\r\n\r\n{{}}",
        head("POST", "/opinion/x", &id, 15_000),
        number + 4096
    );
    let idle = book.idle[node]
        .lock()
        .expect("channels")
        .pop()
        .filter(|connection| !connection.is_closed());
    let is_kept = idle.is_some();
    let Some(mut connection) = idle.or_else(|| Connection::open(front).ok()) else {
        record.line(&format!("{id}: no channel"));
        return;
    };
    let _ignored = connection
        .stream
        .set_read_timeout(Some(Duration::from_secs(16)));
    let sent = connection.stream.write_all(text.as_bytes());
    record.line(&format!(
        "sent {id}{}",
        if is_kept { " on a kept channel" } else { "" }
    ));
    match sent.and_then(|()| connection.response()) {
        Ok(answer) => {
            record.line(&format!(
                "answered {id}: {}, {} bytes",
                answer.status,
                answer.body.len()
            ));
            book.idle[node].lock().expect("channels").push(connection);
        }
        Err(error) => {
            record.line(&format!("answered {id}: the channel was closed ({error})"));
            if is_kept {
                book.closed.lock().expect("requests").push((node, id));
            }
        }
    }
}

fn runner(
    id: &str,
    record: &Record,
    troubled: Option<Arc<AtomicBool>>,
    open: &Arc<AtomicU32>,
    book: &Arc<Book>,
) -> Arc<Handler> {
    let (id, record, open, book) = (
        id.to_owned(),
        record.clone(),
        Arc::clone(open),
        Arc::clone(book),
    );
    let slots = AtomicU32::new(0);
    Arc::new(move |request: &Request, connection: &mut Connection| {
        if request.path() == "/healthz" {
            connection.answer(200, &[("Coltsfoothall-Served-By", &id)], b"")?;
            return Ok(true);
        }
        let request_id = request
            .header("coltsfoothall-request-id")
            .unwrap_or("-")
            .to_owned();
        if slots.fetch_add(1, Ordering::Relaxed) >= 64 {
            slots.fetch_sub(1, Ordering::Relaxed);
            connection.answer(
                503,
                &[
                    ("Coltsfoothall-Request-Id", &request_id),
                    ("Coltsfoothall-Not-Executed", "1"),
                ],
                b"",
            )?;
            return Ok(true);
        }
        record.line(&format!("runner {id} runs {request_id}"));
        let kept = if troubled
            .as_ref()
            .is_some_and(|troubled| troubled.load(Ordering::Relaxed))
        {
            open.fetch_add(1, Ordering::Relaxed);
            let _ended = send_endless(connection, &request_id);
            open.fetch_sub(1, Ordering::Relaxed);
            Ok(false)
        } else {
            book.sound.lock().expect("runs").insert(request_id.clone());
            send_events(connection, &request_id)
        };
        slots.fetch_sub(1, Ordering::Relaxed);
        kept
    })
}

fn begin(connection: &mut Connection, id: &str) -> std::io::Result<()> {
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nColtsfoothall-Request-Id: {id}\r\nColtsfoothall-Upstream-Signature: 3e1b.07\r\n\r\n"
    );
    connection.stream.write_all(text.as_bytes())
}

fn send_chunk(connection: &mut Connection, data: &[u8]) -> std::io::Result<()> {
    let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    connection.stream.write_all(&bytes)
}

fn send_events(connection: &mut Connection, id: &str) -> std::io::Result<bool> {
    begin(connection, id)?;
    for event in 1..=EVENTS {
        thread::sleep(GAP);
        send_chunk(
            connection,
            format!("id: {event}\ndata: piece-{event}\n\n").as_bytes(),
        )?;
    }
    connection.stream.write_all(b"0\r\n\r\n")?;
    Ok(true)
}

/// Sends bytes that are no event until the caller closes the channel.
fn send_endless(connection: &mut Connection, id: &str) -> std::io::Result<()> {
    begin(connection, id)?;
    let piece = vec![b'x'; PIECE];
    loop {
        send_chunk(connection, &piece)?;
        thread::sleep(PIECE_GAP);
    }
}
