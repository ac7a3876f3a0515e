//! All instances are killed, and the store comes back from an older copy, after a usage report.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Setup;
use crate::http::{Connection, Handler, Request};
use crate::site::{Record, Routes, Site, head, wait_for};

/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(20);
/// Reports before the disruption.
const REPORTS: usize = 3;
/// Time from the last of them to the disruption.
const DELAY: Duration = Duration::from_millis(700);
/// Age of the copy from which the store comes back.
const AGE: Duration = Duration::from_secs(3);
/// How long the instances and the store are down.
const DOWN: Duration = Duration::from_secs(1);
/// Time in which the rest of the reports come.
const REST: Duration = Duration::from_secs(16);

pub fn play(setup: &Setup) -> bool {
    let mut site = Site::new(setup, &Routes { plain_ms: 1_000 });
    for number in 1..=3 {
        let id = format!("i-desk-{number}");
        site.runner(&id, "desk", 6, runner(&id, &setup.record));
    }
    site.store.keep_copies();
    let mut nodes = [site.node("north"), site.node("south"), site.node("east")];
    let fronts = nodes.each_ref().map(|node| node.front);
    let ended = Arc::new(AtomicBool::new(false));
    let traffic = {
        let (record, ended) = (setup.record.clone(), Arc::clone(&ended));
        thread::spawn(move || {
            for number in 0.. {
                if ended.load(Ordering::Relaxed) {
                    return;
                }
                let (front, record) = (fronts[number % fronts.len()], record.clone());
                thread::spawn(move || request(front, number, &record));
                thread::sleep(INTERVAL);
            }
        })
    };
    let reports = Arc::clone(&site.duties.reports);
    let counted = || {
        let reports = reports.lock().expect("reports");
        reports
            .iter()
            .filter(|(.., counts)| counts.contains("film"))
            .count()
    };
    let within = Duration::from_secs(40);
    wait_for("usage reports", within, || counted() >= REPORTS);
    thread::sleep(DELAY);
    if setup.trouble {
        setup
            .record
            .line("all instances are killed; the store comes back from a copy 3 s old");
        site.store.set_down(true);
        for node in &mut nodes {
            node.kill();
        }
        site.store.restore(AGE);
        thread::sleep(DOWN);
        site.store.set_down(false);
        for node in &mut nodes {
            node.restart();
        }
        setup.record.line("the store and the instances are back");
    }
    thread::sleep(REST);
    ended.store(true, Ordering::Relaxed);
    let _ended = traffic.join();
    let reports = reports.lock().expect("reports").clone();
    let began = reports.first().map_or_else(Instant::now, |report| report.0);
    for (at, window, counts) in &reports {
        let seconds = at.saturating_duration_since(began).as_secs_f64();
        setup.record.line(&format!(
            "accepted at {seconds:.1} s after the first: window {window}, {counts}"
        ));
    }
    let mut broken = false;
    for (index, (_, window, counts)) in reports.iter().enumerate() {
        let other = reports[index + 1..]
            .iter()
            .find(|other| other.1 == *window && other.2 != *counts);
        if let Some((.., other)) = other {
            broken = true;
            setup.record.line(&format!(
                "window {window} was reported as {counts} and as {other}"
            ));
        }
    }
    broken
}

fn request(front: SocketAddr, number: usize, record: &Record) {
    let id = format!("r-{number}");
    let text = format!("{}\r\n", head("GET", "/lookup/x", &id, 1_000));
    record.line(&format!("sent {id}"));
    let asked = Connection::open(front).and_then(|mut connection| {
        connection
            .stream
            .set_read_timeout(Some(Duration::from_millis(1_500)))?;
        connection.stream.write_all(text.as_bytes())?;
        connection.response()
    });
    match asked {
        Ok(answer) => record.line(&format!("answered {id}: {}", answer.status)),
        Err(error) => record.line(&format!("answered {id}: {error}")),
    }
}

/// A sound runner of a plain service.
fn runner(id: &str, record: &Record) -> Arc<Handler> {
    let (id, record) = (id.to_owned(), record.clone());
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
        thread::sleep(Duration::from_millis(30));
        let headers = [
            ("Coltsfoothall-Request-Id", request_id.as_str()),
            ("Coltsfoothall-Upstream-Signature", "3e1b.07"),
        ];
        connection.answer(200, &headers, b"done")?;
        Ok(true)
    })
}
