//! Questions to other instances, at their control addresses.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use coltsfoothall::forward::peer::Profile;
use coltsfoothall_shell::event;
use coltsfoothall_wire::client::Client;

use crate::state::State;

/// Time in which another instance must begin to answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);
/// Path at which an instance shows the configuration in force to operators.
pub const CONFIGURATION_PATH: &str = "/v1/configuration";
/// Path at which it shows the same to other instances, compressed.
pub const COMPRESSED_CONFIGURATION_PATH: &str = "/v1/configuration.gz";
/// Path at which an instance shows the endpoints that it knows.
pub const ENDPOINTS_PATH: &str = "/v1/endpoints";

/// Asks another instance for what it shows under a path.
pub async fn fetch(state: &State, client: &Client, peer: &Profile, path: &str) -> Option<Bytes> {
    let port = state.settings().listen.control?.port();
    let address = SocketAddr::new(peer.front.ip(), port).to_string();
    let step = "ask a peer";
    let answer = client.fetch(step, &address, path, RESPONSE_TIMEOUT).await;
    match answer.and_then(|answer| answer.success(step, &address)) {
        Ok(raw) => Some(raw),
        Err(error) => {
            event::LINK_FAILED.emit(format_args!(
                "peer={} reason={:?}",
                peer.name,
                error.to_string()
            ));
            None
        }
    }
}
