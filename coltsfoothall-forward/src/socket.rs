//! Socket options by which the loss of a peer is detected.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Timeout of connecting to an endpoint or peer: the longest hop takes a few milliseconds, and a
/// lost SYN is retransmitted only after a second.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which sent data may stay unacknowledged before the connection is closed. On Linux the
/// same time, and not the number of probes, decides when keepalive gives up: at the first probe that
/// is due once the peer has been silent for so long.
const ACK_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Idle time after which keepalive probes are sent.
const KEEPALIVE_DELAY: Duration = Duration::from_secs(1);
/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Receive buffer of a connection. Linux doubles it for its own records, which count too.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;

/// Sets the options on an accepted or an opened connection.
///
/// # Errors
/// The operating system rejects an option.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_DELAY)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&probes)
}

/// Limits what the kernel receives for a connection of this listener before it is read.
///
/// # Errors
/// The operating system rejects the option.
pub fn limit_unread(listener: &TcpListener) -> io::Result<()> {
    SockRef::from(listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
}

/// Connects to an address.
///
/// # Errors
/// The connection was refused or timed out.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
    set_options(&stream)?;
    Ok(stream)
}
