//! Complete commands against a simulated entry instance over loopback.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use coltsfoothall::catalog::Catalog;
use coltsfoothall::confirm::{Action, Attempt, Event};
use coltsfoothall::plan::Plan;
use coltsfoothall_intent::exit::Exit;
use coltsfoothall_intent::flag::flags;
use coltsfoothall_intent::output::Confirmation;
use coltsfoothall_intent::run::{Report, run};
use coltsfoothall_wire::fault::{Body, Code, Fault};
use coltsfoothall_wire::{http, limit, operator};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// Fault of the simulated entry instance.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
enum Failure {
    #[default]
    Nothing,
    /// It closes the connection without an answer, after a confirmation took effect.
    ClosesConnection,
    /// It cannot reach the key-value service.
    StoreDown,
    /// It refuses all calls as unavailable, because it is leaving.
    Leaving,
}

#[derive(Debug, Default)]
struct Store {
    catalog: Catalog,
    plans: u32,
}

fn confirm(store: &mut Store, plan: Plan, failure: Failure) -> Bytes {
    let in_force = Arc::new(Catalog::default());
    let mut attempt = Attempt::new(plan, in_force, None);
    let mut action = attempt.start();
    loop {
        let event = match action {
            Action::Settle(verdict) => return http::json(&verdict),
            Action::Read if failure == Failure::StoreDown => Event::Down,
            Action::Read => Event::Found {
                version: store.catalog.revision.0,
                catalog: Box::new(store.catalog.clone()),
            },
            Action::Swap { value, .. } => {
                store.catalog = Catalog::clone(&value);
                Event::Swapped
            }
        };
        action = attempt.step(event);
    }
}

fn answer(store: &mut Store, path: &str, body: &[u8], failure: Failure) -> Result<Bytes, Fault> {
    match path {
        _ if failure == Failure::Leaving => Err(Fault::new(Code::Unavailable, "leaving")),
        operator::CATALOG => Ok(http::json(&store.catalog)),
        operator::PLAN => {
            let text = std::str::from_utf8(body).expect("good test data");
            let intent = text
                .parse()
                .map_err(|error| Fault::new(Code::BadRequest, error))?;
            store.plans += 1;
            let id = format!("p{}", store.plans).parse().expect("good test data");
            let plan = Plan::make(&store.catalog, intent, id);
            let plan =
                plan.map_err(|error| Fault::field(&error.field().unwrap_or_default(), &error))?;
            Ok(http::json(&plan))
        }
        operator::CONFIRM => Ok(confirm(
            store,
            http::parse(body).expect("good test data"),
            failure,
        )),
        _ => Err(Fault::new(Code::NotFound, "no such path")),
    }
}

/// Starts a simulated entry instance that uses `store`.
async fn entry(store: &Arc<Mutex<Store>>, failure: Failure) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("good test data");
    let address = listener.local_addr().expect("good test data");
    let store = Arc::clone(store);
    tokio::spawn(async move {
        while let Ok((stream, _peer)) = listener.accept().await {
            let store = Arc::clone(&store);
            let service = service_fn(move |request: Request<Incoming>| {
                let store = Arc::clone(&store);
                async move { serve(&store, request, failure).await }
            });
            let connection = hyper::server::conn::http1::Builder::new();
            tokio::spawn(connection.serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

async fn serve(
    store: &Mutex<Store>,
    request: Request<Incoming>,
    failure: Failure,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let (head, body) = request.into_parts();
    let body = http::read(body, limit::FRAME)
        .await
        .expect("good test data");
    let result = if head.headers["authorization"] == "Bearer t" {
        answer(
            &mut store.lock().expect("no test panics with the lock"),
            head.uri.path(),
            &body,
            failure,
        )
    } else {
        Err(Fault::new(Code::Unauthorized, "no operator has this token"))
    };
    if failure == Failure::ClosesConnection {
        return Err(std::io::Error::other("connection closed"));
    }
    let answer = match result {
        Ok(bytes) => Response::new(Full::new(bytes)),
        Err(error) => Response::builder()
            .status(error.code.status())
            .body(http::json_body(&Body { error }))
            .expect("good test data"),
    };
    Ok(answer)
}

/// Writes a file in the scratch directory; each test uses its own name.
fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("good test data");
    path
}

async fn command(words: &str, entries: &[SocketAddr], token: &str) -> Report {
    let mut line: Vec<String> = words.split_whitespace().map(String::from).collect();
    for entry in entries {
        line.extend(["--entry".into(), entry.to_string()]);
    }
    line.extend(["--token".into(), token.into()]);
    let words: Vec<&str> = line.iter().map(String::as_str).collect();
    run(flags().run_inner(words.as_slice()).expect("good test data")).await
}

async fn plan(name: &str, text: &str, entries: &[SocketAddr]) -> (Report, PathBuf) {
    let intent = file(&format!("{name}.yaml"), text);
    let out = intent.with_extension("json");
    let words = format!("plan {} --out {}", intent.display(), out.display());
    (command(&words, entries, "t").await, out)
}

const MODEL: &str = "models: [{name: roster, version: 3}]";

#[tokio::test]
async fn plan_then_confirm() {
    let store = Arc::default();
    let entries = [entry(&store, Failure::Nothing).await];
    let (report, out) = plan("calm", MODEL, &entries).await;
    assert_eq!(report.exit, Exit::Done, "{report:?}");
    assert!(report.out.contains("create model roster"));
    assert_eq!(store.lock().unwrap().catalog.revision.0, 0);
    let confirm = format!("confirm {}", out.display());
    let report = command(&confirm, &entries, "t").await;
    assert_eq!(
        (report.exit, report.out.as_str()),
        (Exit::Done, "accepted as revision 1\n")
    );
    let report = command("show", &entries, "t").await;
    assert!(report.out.starts_with("# revision 1, by plan p1"));
    let (report, _out) = plan("calm-again", MODEL, &entries).await;
    assert!(report.out.contains("nothing to do"));
}

#[tokio::test]
async fn stale_gets_new_plan() {
    let store = Arc::default();
    let entries = [entry(&store, Failure::Nothing).await];
    let (_report, one) = plan("stale-one", MODEL, &entries).await;
    let (_report, two) = plan(
        "stale-two",
        "models: [{name: rights, version: 1}]",
        &entries,
    )
    .await;
    command(&format!("confirm {}", one.display()), &entries, "t").await;
    let confirm = format!("confirm {} --out {}", two.display(), two.display());
    let report = command(&confirm, &entries, "t").await;
    assert_eq!(report.exit, Exit::Stale);
    assert!(report.out.contains("create model roster"), "{}", report.out);
    assert!(
        report.out.contains("plan p3 on revision 1"),
        "{}",
        report.out
    );
    let report = command(&format!("{confirm} --json"), &entries, "t").await;
    let Confirmation { anew, .. } = serde_json::from_str(&report.out).unwrap();
    assert_eq!((report.exit, anew), (Exit::Done, None));
    assert_eq!(store.lock().unwrap().catalog.models.len(), 2);
}

#[tokio::test]
async fn lost_answer_settled() {
    let store = Arc::default();
    let good = entry(&store, Failure::Nothing).await;
    let broken = entry(&store, Failure::ClosesConnection).await;
    let down = entry(&store, Failure::StoreDown).await;
    let (_report, out) = plan("lost", MODEL, &[good]).await;
    let confirm = format!("confirm {}", out.display());
    let report = command(&confirm, &[broken], "t").await;
    assert_eq!(report.exit, Exit::Unknown, "{report:?}");
    // "Refused" by an instance that cannot reach the store must not replace "not known": the
    // first instance may have written.
    let report = command(&confirm, &[broken, down], "t").await;
    assert_eq!(report.exit, Exit::Unknown, "{report:?}");
    let report = command(&confirm, &[broken, good], "t").await;
    assert_eq!(
        (report.exit, report.out.as_str()),
        (Exit::Done, "accepted as revision 1\n")
    );
    assert_eq!(store.lock().unwrap().catalog.revision.0, 1);
}

#[tokio::test]
async fn store_down() {
    let store = Arc::default();
    let good = entry(&store, Failure::Nothing).await;
    let down = entry(&store, Failure::StoreDown).await;
    let (_report, out) = plan("down", MODEL, &[good]).await;
    let report = command(&format!("confirm {}", out.display()), &[down], "t").await;
    assert_eq!(report.exit, Exit::Refused);
    assert!(report.out.contains("wrote nothing"));
}

#[tokio::test]
async fn next_instance_tried() {
    let store = Arc::default();
    let nobody = TcpListener::bind("127.0.0.1:0")
        .await
        .unwrap()
        .local_addr()
        .unwrap();
    let leaving = entry(&store, Failure::Leaving).await;
    let good = entry(&store, Failure::Nothing).await;
    let report = command("show", &[nobody, leaving, good], "t").await;
    assert_eq!(report.exit, Exit::Done, "{report:?}");
    let report = command("show", &[nobody, leaving], "t").await;
    assert_eq!(report.exit, Exit::Refused);
    assert!(report.err.contains("leaving") && report.err.contains("cannot connect"));
}

#[tokio::test]
async fn refusals_reported() {
    let store = Arc::default();
    let entries = [entry(&store, Failure::Nothing).await];
    let (report, _out) = plan("bad-field", "modles: []", &entries).await;
    assert_eq!(report.exit, Exit::Refused);
    assert!(report.err.contains("bad-field.yaml") && report.err.contains("modles"));
    let (report, _out) = plan("bad-name", "placements: [{service: none}]", &entries).await;
    assert_eq!(report.exit, Exit::Refused);
    assert!(
        report.err.contains("placement.none.service"),
        "{}",
        report.err
    );
    let report = command("show", &entries, "wrong").await;
    assert!(report.err.contains("no operator has this token"));
    let junk = file("junk.json", "{}");
    let report = command(&format!("confirm {}", junk.display()), &entries, "t").await;
    assert_eq!(report.exit, Exit::Refused);
    assert!(report.err.contains("not a plan"));
}
