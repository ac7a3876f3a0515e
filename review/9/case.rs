//! Case 9: requesters pause while they read an answer, around planned work on the instances.

#[path = "../standin-2/site.rs"]
mod site;

use std::io::Read;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use site::{Deployment, Wire, cannot_run, entry, listen, request_head, serve, whole};

/// Runners of the service.
const RUNNERS: u64 = 3;
/// Requesters, each with a channel that it keeps; three of each instance.
const REQUESTERS: u64 = 9;
/// The instances with planned work: one gets SIGHUP before the large requests are sent, and one
/// SIGTERM when they have been passed on.
const HUP: usize = 0;
const TERM: usize = 1;
/// Size of a large answer.
const LARGE: usize = 1_000_000;
/// How long a requester doesn't read in the middle of it. It waits 15 s for the answer.
const PAUSE: Duration = Duration::from_millis(4_000);
fn main() -> ExitCode {
    let trouble = site::with_trouble();
    let mut deployment = Deployment::new(9);
    let record = deployment.record.clone();
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    for number in 1..=RUNNERS {
        let (listener, address) = listen();
        let (runs, record) = (Arc::clone(&runs), record.clone());
        serve(listener, move |request, wire| {
            let id = request.header("coltsfoothall-request-id").to_owned();
            let echo = ("coltsfoothall-request-id", id.as_str());
            if request.header("coltsfoothall-expected-instance") != format!("i-{number}") {
                return wire.send(&whole(421, &[echo], b"")).is_ok();
            }
            record.line(&format!("runner i-{number} runs {id}"));
            let large = request.target.ends_with("/large");
            let body = vec![b'x'; if large { LARGE } else { 800 }];
            let headers = [echo, ("coltsfoothall-upstream-signature", "receipt")];
            let sent = wire.send(&whole(200, &headers, &body)).is_ok();
            if sent {
                runs.lock().unwrap().push(id.clone());
                record.line(&format!("runner i-{number} has answered {id} whole"));
            }
            sent
        });
        let key = format!("servers/i-{number}");
        deployment.store.put(&key, &entry("desk", address, "ready", 1, 1));
    }
    if !deployment.start(3) {
        return cannot_run(&record, "the instances didn't become ready");
    }
    let fronts = deployment.fronts();
    record.line("front-1 gets SIGHUP");
    deployment.nodes[HUP].signal("-HUP");
    let mut requesters = Vec::new();
    for number in 0..REQUESTERS {
        let instance = number as usize % fronts.len();
        let front = fronts[instance];
        let record = record.clone();
        requesters.push(thread::spawn(move || {
            let mut wire = Wire::open(front, Duration::from_secs(15)).ok()?;
            let id = format!("short-{number}");
            let head = request_head("POST", "/once/short", &id, "Content-Length: 2\r\n\r\nhi");
            wire.send(head.as_bytes()).ok()?;
            let status = wire.response().ok()?.status;
            record.line(&format!("requester gets {status} for {id}, and keeps the channel"));
            let id = format!("large-{number}");
            let head = request_head("POST", "/once/large", &id, "Content-Length: 2\r\n\r\nhi");
            record.line(&format!("requester sends {id} to front-{}", instance + 1));
            wire.send(head.as_bytes()).ok()?;
            let status = wire.response_head().ok()?.status;
            if trouble {
                record.line(&format!("requester has the head of {id}, {status}, and pauses"));
                thread::sleep(PAUSE);
            }
            let (mut got, mut bytes) = (wire.buffered(), vec![0; 64 << 10]);
            let end = loop {
                match wire.stream.read(&mut bytes) {
                    Ok(0) => break "the end of the channel".to_owned(),
                    Ok(read) => got += read,
                    Err(error) => break error.to_string(),
                }
                if got >= LARGE {
                    break "the whole answer".into();
                }
            };
            record.line(&format!("requester gets {got} of {LARGE} bytes of {id}, then {end}"));
            Some((id, instance, got))
        }));
    }
    thread::sleep(Duration::from_millis(500));
    record.line("front-2 gets SIGTERM");
    deployment.nodes[TERM].signal("-TERM");
    let answers: Vec<Option<(String, usize, usize)>> = requesters
        .into_iter()
        .map(|one| one.join().ok().flatten())
        .collect();
    if answers.iter().any(Option::is_none) {
        return cannot_run(&record, "a requester got no head of its large answer");
    }
    let runs = runs.lock().unwrap();
    let answers = answers.into_iter().flatten();
    let lost: Vec<_> = answers.filter(|(id, _, got)| *got < LARGE && runs.contains(id)).collect();
    println!("{REQUESTERS} large answers, {} of them lost", lost.len());
    let planned = |instance: usize| match instance {
        HUP => Some("SIGHUP"),
        TERM => Some("SIGTERM"),
        _ => None,
    };
    let broken: Vec<String> = lost
        .iter()
        .filter_map(|(id, instance, got)| {
            let signal = planned(*instance)?;
            Some(format!(
                "LOST: {id} was answered whole by its runner; front-{} had got {signal}, and the \
                 channel ended after {got} bytes",
                instance + 1
            ))
        })
        .collect();
    site::verdict(&record, &broken)
}
