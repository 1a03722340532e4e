//! What may have changed between the decision to send and the first byte.

use std::time::Duration;

use testkit::late::LateServer;
use testkit::peers::*;

use super::*;

/// Longer than a connection takes that is let in.
const LONG: Duration = Duration::from_secs(4);

#[test]
fn nothing_is_sent_for_a_client_that_went_while_its_connection_came_up() {
    let mut late = LateServer::default();
    // Attempts that are out can't be called off here; this one is not out yet.
    let node = node(&[target("a", late.address, 1, "ready")], |config| {
        config["settings"]["allowed"]["cancelling"] = false.into();
    });
    let mut client = node.client();
    client.send(&order());
    late.knocked();
    drop(client);
    let sent = late.let_in(LONG);
    assert!(sent.is_none(), "{:?}", sent.map(|(_, request)| request.first));
}

#[test]
fn a_keyed_request_is_not_sent_again_once_its_window_has_passed_while_the_connection_came_up() {
    let mut late = LateServer::default();
    let reset = Server::new(|_, _| Act::SayAndClose(Vec::new()));
    let node = node(&[ready("a", &reset), target("b", late.address, 1, "ready")], |config| {
        config["settings"]["services"][1]["window_us"] = 500_000.into();
    });
    // The first attempt may meet the late one: then nothing has run, and the next client's is another try.
    let mut client = node.client();
    client.send(&request("POST", "/submit/7f3a", "6.0", "Idempotency-Key: 5c0f6e1a\r\n", "hours"));
    reset.request();
    late.knocked();
    let sent = late.let_in(LONG);
    assert!(sent.is_none(), "{:?}", sent.map(|(_, request)| request.first));
    assert_eq!(client.answer().status(), 502);
}
