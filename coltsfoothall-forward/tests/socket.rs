//! What ends a connection whose peer has fallen silent, on real sockets.

#![cfg(target_os = "linux")]
#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::io::ErrorKind;
use std::time::Duration;

use coltsfoothall_forward::socket;
use socket2::{SockFilter, SockRef};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time in which the connection must have ended, several times what it takes.
const END_TIMEOUT: Duration = Duration::from_secs(30);
/// Keepalive probes that are allowed by their count: they take longer than [`END_TIMEOUT`].
const MANY_PROBES: u32 = 100;
/// Socket filter that drops all that arrives, also acknowledgements.
const DROP_ALL: SockFilter = SockFilter::new(0x06, 0, 0, 0);

/// A connection, and its other end, which is silent from now on.
async fn silent_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (opened, accepted) = tokio::join!(
        socket::connect(listener.local_addr().unwrap()),
        listener.accept()
    );
    let (accepted, _) = accepted.unwrap();
    SockRef::from(&accepted).attach_filter(&[DROP_ALL]).unwrap();
    (opened.unwrap(), accepted)
}

async fn wait_end(stream: &mut TcpStream) -> ErrorKind {
    let read = timeout(END_TIMEOUT, stream.read_u8()).await.unwrap();
    read.unwrap_err().kind()
}

/// Guards against idle connections that stay open to a peer that is gone, whatever the number of
/// keepalive probes.
#[tokio::test]
async fn idle_ends() {
    let (mut stream, _silent) = silent_pair().await;
    SockRef::from(&stream)
        .set_tcp_keepalive(&socket2::TcpKeepalive::new().with_retries(MANY_PROBES))
        .unwrap();
    assert_eq!(wait_end(&mut stream).await, ErrorKind::TimedOut);
}

/// Guards against requests that wait for a peer that does not acknowledge them.
#[tokio::test]
async fn unacknowledged_ends() {
    let (mut stream, _silent) = silent_pair().await;
    stream.write_all(b"x").await.unwrap();
    assert_eq!(wait_end(&mut stream).await, ErrorKind::TimedOut);
}
