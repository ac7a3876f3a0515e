//! The plain service over a real port.

#![expect(
    clippy::unwrap_used,
    reason = "helpers of tests fail loudly like the tests"
)]

use std::time::Duration;

use bytes::Bytes;
use coltsfoothall_standin::service::{Counts, Fault, Run, Settings, run};
use coltsfoothall_wire::client::{Client, Error};
use coltsfoothall_wire::{header, http};
use http_body_util::Full;
use hyper::{Method, Request};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

const WITHIN: Duration = Duration::from_secs(20);

struct Setup {
    client: Client,
    peer: String,
}

impl Setup {
    async fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let peer = listener.local_addr().unwrap().to_string();
        let name = "s1".parse().unwrap();
        tokio::spawn(run(
            listener,
            name,
            Settings::default(),
            CancellationToken::new(),
        ));
        let client = Client::new();
        Self { client, peer }
    }

    async fn fault(&self, fault: Fault) {
        let body = http::json(&fault);
        let sent = self
            .client
            .call("fault", Method::POST, &self.peer, "/fault", body, WITHIN);
        sent.await.unwrap();
    }

    /// Runs a request; its status, headers told apart, and body.
    async fn book(&self, key: &str, within: Duration) -> Result<hyper::Response<Bytes>, Error> {
        let request = Request::post(format!("http://{}/book", self.peer))
            .header(header::REQUEST, key)
            .header(header::ATTEMPT, "7")
            .body(Full::new(Bytes::from("seat 4")))
            .unwrap();
        let (parts, body) = self
            .client
            .send("book", request, within)
            .await?
            .into_parts();
        Ok(hyper::Response::from_parts(
            parts,
            http::read(body, 4096).await.unwrap(),
        ))
    }

    async fn counts(&self) -> Counts {
        self.client
            .get("counts", &self.peer, "/counts", WITHIN)
            .await
            .unwrap()
    }
}

#[tokio::test]
async fn echoes_and_counts() {
    let setup = Setup::new().await;
    for number in 1..=2 {
        let answer = setup.book("a", WITHIN).await.unwrap();
        assert_eq!(answer.headers()[header::ATTEMPT], "7");
        let run: Run = http::parse(answer.body()).unwrap();
        let expected = Run {
            service: "s1".into(),
            path: "/book".into(),
            run: number,
            echo: "seat 4".into(),
        };
        assert_eq!(run, expected);
    }
    let counts = setup.counts().await;
    assert_eq!((counts.of("a"), counts.of("b"), counts.runs), (2, 0, 2));
    assert_eq!(counts.keys[0].attempt, "7");
}

#[tokio::test]
async fn faults_in_turn() {
    let setup = Setup::new().await;
    let fault = Fault {
        refuse: 1,
        reset_before: 1,
        reset_after: 1,
        hang: 1,
    };
    setup.fault(fault).await;
    let refused = setup.book("refused", WITHIN).await.unwrap();
    assert_eq!(refused.status(), 503);
    assert_eq!(refused.headers()[header::STARTED], "false");
    let before = setup.book("before", WITHIN).await;
    assert!(matches!(before, Err(Error::Broken(..))), "{before:?}");
    let after = setup.book("after", WITHIN).await;
    assert!(matches!(after, Err(Error::Broken(..))), "{after:?}");
    let hung = setup.book("hung", Duration::from_millis(300)).await;
    assert!(matches!(hung, Err(Error::Timeout(..))), "{hung:?}");
    assert_eq!(setup.book("whole", WITHIN).await.unwrap().status(), 200);
    let counts = setup.counts().await;
    let runs = ["refused", "before", "after", "hung", "whole"].map(|key| counts.of(key));
    assert_eq!(runs, [0, 0, 1, 1, 1]);
    assert_eq!(counts.refused, 1);
}
