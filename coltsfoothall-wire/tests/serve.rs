//! Stopping a server while callers that do not know of the stop still send requests: every request
//! sent before idle connections are closed gets an answer.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfoothall_wire::serve::{self, Answer, Handler, Stop};
use hyper::Request;
use hyper::body::Incoming;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: here\r\n\r\n";
/// Far longer than an answer on loopback takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

struct Hello;

impl Handler for Hello {
    fn call(self: Arc<Self>, _request: Request<Incoming>, _peer: SocketAddr) -> Answer {
        Box::pin(async { serve::empty(200) })
    }
}

/// A server whose two stop signals can be sent separately.
struct Server {
    address: SocketAddr,
    stop: Stop,
    task: JoinHandle<()>,
}

impl Server {
    fn start(listener: TcpListener, stop: Stop) -> Self {
        let address = listener.local_addr().unwrap();
        let task = tokio::spawn(serve::run_until(listener, Arc::new(Hello), stop.clone()));
        Self {
            address,
            stop,
            task,
        }
    }
}

async fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// Sends a request and returns the head of the answer in lower case; empty if none arrives.
async fn ask(stream: &mut TcpStream) -> String {
    if stream.write_all(REQUEST).await.is_err() {
        return String::new();
    }
    let mut head = vec![0; 1024];
    let read = timeout(TEST_TIMEOUT, stream.read(&mut head)).await.unwrap();
    String::from_utf8_lossy(&head[..read.unwrap_or(0)]).to_ascii_lowercase()
}

/// Connections that wait in the backlog when the server is stopped are still accepted and
/// answered. Closing the listener would reset them.
#[tokio::test]
async fn not_accepted_yet() {
    let listener = listen().await;
    let address = listener.local_addr().unwrap();
    let mut callers = Vec::new();
    for _ in 0..32 {
        callers.push(TcpStream::connect(address).await.unwrap());
    }
    let stop = Stop::default();
    stop.last.cancel();
    let server = Server::start(listener, stop);
    for stream in &mut callers {
        let head = ask(stream).await;
        assert!(head.starts_with("http/1.1 200"), "{head:?}");
        assert!(head.contains("connection: close"), "{head:?}");
    }
    timeout(TEST_TIMEOUT, server.task).await.unwrap().unwrap();
}

/// A caller that sends a request on a kept-alive connection after the stop, before it can know of
/// the stop, gets an answer with `connection: close`.
#[tokio::test]
async fn kept_open() {
    let server = Server::start(listen().await, Stop::default());
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    assert!(ask(&mut stream).await.starts_with("http/1.1 200"));
    server.stop.last.cancel();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let head = ask(&mut stream).await;
    assert!(head.starts_with("http/1.1 200"), "{head:?}");
    assert!(head.contains("connection: close"), "{head:?}");
    timeout(TEST_TIMEOUT, server.task).await.unwrap().unwrap();
}

/// Idle connections keep the server running until `Stop::idle` closes them.
#[tokio::test]
async fn idle_closed() {
    let server = Server::start(listen().await, Stop::default());
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    assert!(ask(&mut stream).await.starts_with("http/1.1 200"));
    server.stop.last.cancel();
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(!server.task.is_finished());
    server.stop.idle.cancel();
    timeout(TEST_TIMEOUT, server.task).await.unwrap().unwrap();
}

/// One token for both steps closes idle connections at once, for programs whose callers need no
/// advance notice.
#[tokio::test]
async fn stopped_at_once() {
    let token = CancellationToken::new();
    let server = Server::start(listen().await, Stop::from(token.clone()));
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    assert!(ask(&mut stream).await.starts_with("http/1.1 200"));
    token.cancel();
    timeout(TEST_TIMEOUT, server.task).await.unwrap().unwrap();
}
