//! Clients that disconnect while data that they sent is still unread.

use std::time::{Duration, Instant};

use testkit::peers::*;

use super::*;

/// Much shorter than any deadline here, and much longer than a node needs to react.
const REACTION_LIMIT: Duration = Duration::from_secs(4);

/// A client disconnects after it sent these bytes behind a request that its server has not answered: the
/// attempt has to end at once, and the bytes must not become part of another client's request.
fn check_disconnect(unread: &[u8]) {
    let server = Server::new(|count, _| if count == 0 { Act::Wait } else { ok("slip") });
    let node = node(&[ready("a", &server)], |_| {});
    let mut client = node.client();
    client.send(&view());
    server.request();
    client.send(unread);
    drop(client);
    let start = Instant::now();
    server.ended();
    assert!(start.elapsed() < REACTION_LIMIT, "the attempt ends with its client, not with its deadline");
    // The bytes behind the request are not served either: the next request at the server is another client's.
    let next = identified("9b1f04", "GET", "/view/next", "14.0", "", "");
    assert_eq!(node.client().ask(&next).status(), 200);
    assert_eq!(server.request().1.header("req-id"), Some("9b1f04"));
}

#[test]
fn disconnect_with_partial_second_request_ends_attempt() {
    check_disconnect(b"GET /view/8 HT");
}

#[test]
fn disconnect_with_second_request_ends_attempt() {
    check_disconnect(&view());
}

#[test]
fn disconnect_with_thousands_of_requests_ends_attempt() {
    check_disconnect(&view().repeat(4_000));
}

#[test]
fn reset_ends_attempt() {
    let server = Server::new(|_, _| Act::Wait);
    let node = node(&[ready("a", &server)], |_| {});
    let mut client = node.client();
    client.send(&[view(), view()].concat());
    server.request();
    client.reset();
    let start = Instant::now();
    server.ended();
    assert!(start.elapsed() < REACTION_LIMIT);
    assert_eq!(server.count(), 1);
}

#[test]
fn request_with_partial_body_is_not_sent() {
    let server = Server::new(|_, _| ok("slip"));
    let node = node(&[ready("a", &server)], |_| {});
    let mut client = node.client();
    let request = submit();
    client.send(&request[..request.len() - 2]);
    drop(client);
    assert_eq!(node.client().ask(&view()).status(), 200);
    assert_eq!(server.request().1.first.split(' ').next(), Some("GET"));
}

#[test]
fn pipelined_request_keeps_its_deadline() {
    let server = Server::new(|_, _| Act::Wait);
    let node = node(&[ready("a", &server)], |_| {});
    let mut client = node.client();
    let start = Instant::now();
    client
        .send(&[request("GET", "/view/1", "1.5", "", ""), request("GET", "/view/2", "1.5", "", "")].concat());
    assert_eq!((client.answer().status(), client.answer().status()), (503, 503));
    assert!(start.elapsed() < Duration::from_millis(2500), "both requests wait from their arrival on");
    assert_eq!(server.count(), 1, "a request without time left is not sent");
}
