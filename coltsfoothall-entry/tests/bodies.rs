//! Clients that send large bodies and stop short of their end.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod system;

use std::time::Duration;

use coltsfoothall_wire::caller::Prompt;
use system::{MODEL, Shape, System, TOKEN};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Memory of the smallest machine, in kB.
const MEMORY_KB: u64 = 160_000;
/// Largest body that callers may send.
const BODY: usize = 4 << 20;
/// Bytes that are written at once.
const PIECE: usize = 64 << 10;
const CLIENTS: usize = 100;
/// Time after which a client that gets nowhere stops sending.
const PATIENCE: Duration = Duration::from_secs(12);

/// Sends all but the last piece of a body, and returns the open connection.
async fn short(address: String, chunked: bool) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let framing = if chunked {
        "transfer-encoding: chunked".to_owned()
    } else {
        format!("content-length: {BODY}")
    };
    let head = format!(
        "POST /v1/services/desk/x HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {TOKEN}\r\n{framing}\r\n\r\n"
    );
    let mut piece = vec![b'x'; PIECE];
    if chunked {
        piece = [format!("{PIECE:x}\r\n").as_bytes(), &piece, b"\r\n"].concat();
    }
    let _refused = timeout(PATIENCE, async {
        stream.write_all(head.as_bytes()).await?;
        for _ in 1..BODY / PIECE {
            stream.write_all(&piece).await?;
        }
        stream.read_u8().await
    })
    .await;
    stream
}

/// The largest resident memory of a process, in kB; none if it has ended.
fn peak_kb(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn short_bodies() {
    let system = System::start(Shape::default()).await;
    let address = system.entries[0].address.clone();
    let mut clients = JoinSet::new();
    for number in 0..CLIENTS {
        clients.spawn(short(address.clone(), number % 2 == 0));
    }
    let crowd = clients.join_all().await;
    let caller = system.caller_of(&[0], 7);
    let prompt = Prompt {
        model: MODEL.into(),
        prompt: "an ordinary cue".into(),
        max_tokens: 20,
        stream: true,
    };
    let outcome = caller.complete(&prompt).await.unwrap();
    assert_eq!(outcome.tokens, 20);
    drop(crowd);
    let process = system.entries[0].process.as_ref().unwrap().id();
    let peak = peak_kb(process).expect("the process lives");
    assert!(peak < MEMORY_KB, "{peak} kB");
}
