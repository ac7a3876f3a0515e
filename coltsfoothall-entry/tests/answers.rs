//! Answers of plain services that are none, or not whole.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use bytes::Bytes;
use coltsfoothall::record::{Class, Intake, Name, Work};
use coltsfoothall::size::Millis;
use coltsfoothall::step::Input;
use coltsfoothall_entry::endpoint::{Ended, Job, Remote, Runner};
use coltsfoothall_wire::client::Client;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const TIMEOUT: Duration = Duration::from_secs(5);
const BODY: usize = 4 << 20;

fn job(address: String) -> Job {
    Job {
        attempt: 7,
        address,
        intake: Intake {
            name: Name {
                workspace: "film".parse().unwrap(),
                key: "key-1".parse().unwrap(),
            },
            service: "clerk-desk".parse().unwrap(),
            work: Work::Call {
                method: "POST".into(),
                path: "/quotes/1".into(),
                headers: Vec::new(),
                body: Bytes::from(vec![b'x'; BODY]),
            },
            idempotent: false,
            class: Class::Interactive,
            deadline: Millis(20_000),
        },
        resume: String::new(),
        offset: 0,
        fence: 1,
    }
}

/// Runs a call at a service that reads `read` bytes of it, sends `answer` and resets the connection.
/// Returns how it ended, and the status that its caller would get.
async fn play(answer: &str, read: usize) -> (Ended, Option<u16>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let answer = answer.to_owned();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.read_exact(&mut vec![0; read]).await.unwrap();
        stream.write_all(answer.as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
        stream.set_zero_linger().unwrap();
    });
    let (inputs, mut heard) = mpsc::channel(16);
    let ended = Remote::new(Client::new(), TIMEOUT)
        .run(job(address), inputs)
        .await;
    let status = match heard.try_recv() {
        Ok(Input::Answer { answer, .. }) => Some(answer.status),
        Ok(_) | Err(_) => None,
    };
    (ended, status)
}

/// Guards against statuses that HTTP does not know, which a service in trouble sends, as answers.
#[tokio::test]
async fn foreign_status() {
    for status in ["000", "099", "101", "199", "600", "999"] {
        let answer = format!("HTTP/1.1 {status} OK\r\ncontent-length: 2\r\n\r\nok");
        assert_eq!(play(&answer, 100).await, (Ended::Broke, None), "{status}");
    }
    let answer = "HTTP/1.1 599 OK\r\ncontent-length: 2\r\n\r\nok";
    assert_eq!(play(answer, 100).await, (Ended::Complete, Some(599)));
}

/// Guards against a part of an answer as a whole one, as the service reset the connection.
#[tokio::test]
async fn cut_answer() {
    for lines in ["", "connection: close\r\n", "content-length: 5000\r\n"] {
        for version in ["HTTP/1.0", "HTTP/1.1"] {
            for read in [1, BODY / 2, BODY - 70_000] {
                let answer = format!("{version} 200 OK\r\n{lines}\r\npart");
                let got = play(&answer, read).await;
                assert_eq!(got, (Ended::Broke, None), "{answer:?} after {read}");
            }
        }
    }
}
