//! Servers that read the head of a request and then stop reading, so that the end of its body waits in the
//! proxy's socket, as it does when the network between them is cut.

use tokio::sync::Notify;

use super::server::{Server, Step, respond};
use super::{DEFAULT_LIMITS, Limits, Route, configuration_with_limits, routes, wait_until};

/// Longer than the receive buffer of a connection, and shorter than its send buffer.
pub(crate) const BODY_BYTES: usize = 1 << 20;
const LIMITS: Limits = Limits { max_body_bytes: BODY_BYTES, header_timeout_ms: 10_000, ..DEFAULT_LIMITS };

/// Starts a server that handles its first request with `first` before it reads the body.
pub(crate) async fn start_server(id: &str, first: Vec<Step>) -> Server {
    let server = Server::start(id, move |number, _| match number {
        0 => first.clone(),
        _ => respond(200, "", "fine"),
    })
    .await;
    server.responds_before_body.set(true);
    server
}

/// Returns a configuration with the default routes and an unsafe one with a short timeout.
pub(crate) fn configuration() -> String {
    let short = Route { timeout_ms: 1_000, ..Route::new("/short/", "unsafe") };
    let routes: Vec<Route> = routes().into_iter().chain([short]).collect();
    configuration_with_limits(1, &routes, "", &LIMITS)
}

/// Lets the server read on to the end of its connection. Whether it got the complete first request.
pub(crate) async fn received_completely(server: &Server, release: &Notify) -> bool {
    release.notify_one();
    wait_until(|| server.closed_connections.get() == 1).await;
    !server.received.borrow()[0].body.is_empty()
}
