//! Changes between the decision to send an attempt and its first byte.

use std::time::Duration;

use testkit::late::LateServer;
use testkit::peers::*;

use super::*;

/// Longer than an accepted connection takes to deliver a request.
const ARRIVAL_LIMIT: Duration = Duration::from_secs(4);

#[test]
fn attempt_of_disconnected_client_is_not_sent() {
    let mut late = LateServer::default();
    // Attempts that were sent can't be cancelled with this setting; this one was not sent yet.
    let node = node(&[target("a", late.address, 1, "ready")], |config| {
        config["settings"]["allowed"]["cancelling"] = false.into();
    });
    let mut client = node.client();
    client.send(&order());
    late.knocked();
    drop(client);
    let sent = late.let_in(ARRIVAL_LIMIT);
    assert!(sent.is_none(), "{:?}", sent.map(|(_, request)| request.first));
}

#[test]
fn keyed_request_is_not_retried_after_its_window() {
    let mut late = LateServer::default();
    let reset = Server::new(|_, _| Act::SayAndClose(Vec::new()));
    let node = node(&[ready("a", &reset), target("b", late.address, 1, "ready")], |config| {
        config["settings"]["services"][1]["window_us"] = 500_000.into();
    });
    // The first attempt may go to the late server; then no attempt has run.
    let mut client = node.client();
    client.send(&request("POST", "/submit/7f3a", "6.0", "Idempotency-Key: 5c0f6e1a\r\n", "hours"));
    reset.request();
    late.knocked();
    let sent = late.let_in(ARRIVAL_LIMIT);
    assert!(sent.is_none(), "{:?}", sent.map(|(_, request)| request.first));
    assert_eq!(client.answer().status(), 502);
}
