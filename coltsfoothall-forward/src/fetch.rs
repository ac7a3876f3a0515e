//! Requests to the control addresses of other instances.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use coltsfoothall::forward::peer::Profile;
use coltsfoothall_shell::event;
use coltsfoothall_wire::client::Client;

use crate::state::State;

/// Time in which another instance must begin to respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);
/// Path at which an instance serves its configuration to operators.
pub const CONFIGURATION_PATH: &str = "/v1/configuration";
/// Path at which an instance serves its configuration to other instances, compressed.
pub const COMPRESSED_CONFIGURATION_PATH: &str = "/v1/configuration.gz";
/// Path at which an instance serves the registrations that it knows.
pub const ENDPOINTS_PATH: &str = "/v1/endpoints";

/// Fetches a path of another instance.
pub async fn fetch(state: &State, client: &Client, peer: &Profile, path: &str) -> Option<Bytes> {
    let port = state.settings().listen.control?.port();
    let address = SocketAddr::new(peer.front.ip(), port).to_string();
    let step = "ask a peer";
    let answer = client.fetch(step, &address, path, RESPONSE_TIMEOUT).await;
    match answer.and_then(|answer| answer.success(step, &address)) {
        Ok(body) => Some(body),
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
