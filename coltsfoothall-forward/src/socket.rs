//! Options of connections, so that a peer that vanished is noticed.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time in which a connection to an endpoint or peer must come up: the longest hop is a
/// few milliseconds, and a lost opening packet is sent again only after a second.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Bytes unacknowledged for so long mean that the peer is gone.
const ACK_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A silent connection is probed after so long.
const KEEPALIVE_DELAY: Duration = Duration::from_secs(1);
/// Time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer that end a connection.
const MAX_KEEPALIVE_PROBES: u32 = 2;

/// Sets the options on a connection, either side.
///
/// # Errors
/// The system refuses an option.
pub fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_DELAY)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(MAX_KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// Connects to an address.
///
/// # Errors
/// Nothing listens there, or no connection came up in time.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
    tune(&stream)?;
    Ok(stream)
}
