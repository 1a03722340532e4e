//! Clients that go, with more of what they sent still unread.

use std::time::{Duration, Instant};

use testkit::peers::*;

use super::*;

/// Long before any deadline here, and long after anything a node has to do.
const SOON: Duration = Duration::from_secs(4);

/// A server that leaves the first request unanswered, and a client that goes with these bytes behind its request.
fn leaves_behind(more: &[u8]) {
    let server = Server::new(|count, _| if count == 0 { Act::Wait } else { ok("slip") });
    let node = node(&[ready("a", &server)], |_| {});
    let mut client = node.client();
    client.send(&view());
    server.request();
    client.send(more);
    drop(client);
    let began = Instant::now();
    server.ended();
    assert!(began.elapsed() < SOON, "its attempt goes with it, not with its deadline");
    // What stood behind it is nobody's either: the next to come is another client's.
    let next = identified("9b1f04", "GET", "/view/next", "14.0", "", "");
    assert_eq!(node.client().ask(&next).status(), 200);
    assert_eq!(server.request().1.header("req-id"), Some("9b1f04"));
}

#[test]
fn a_client_that_goes_with_half_a_request_behind_its_first_takes_its_attempt_along() {
    leaves_behind(b"GET /view/8 HT");
}

#[test]
fn a_client_that_goes_with_a_whole_request_behind_its_first_takes_both_along() {
    leaves_behind(&view());
}

#[test]
fn a_client_that_goes_with_a_flood_behind_its_first_takes_all_of_it_along() {
    leaves_behind(&view().repeat(4_000));
}

#[test]
fn a_client_that_resets_its_connection_takes_its_attempt_along() {
    let server = Server::new(|_, _| Act::Wait);
    let node = node(&[ready("a", &server)], |_| {});
    let mut client = node.client();
    client.send(&[view(), view()].concat());
    server.request();
    client.reset();
    let began = Instant::now();
    server.ended();
    assert!(began.elapsed() < SOON);
    assert_eq!(server.count(), 1);
}

#[test]
fn a_client_that_goes_amid_its_body_leaves_nothing_to_send() {
    let server = Server::new(|_, _| ok("slip"));
    let node = node(&[ready("a", &server)], |_| {});
    let mut client = node.client();
    let whole = submit();
    client.send(&whole[..whole.len() - 2]);
    drop(client);
    assert_eq!(node.client().ask(&view()).status(), 200);
    assert_eq!(server.request().1.first.split(' ').next(), Some("GET"));
}

#[test]
fn a_request_behind_another_has_no_more_time_than_its_client_gives_it() {
    let server = Server::new(|_, _| Act::Wait);
    let node = node(&[ready("a", &server)], |_| {});
    let mut client = node.client();
    let began = Instant::now();
    client
        .send(&[request("GET", "/view/1", "1.5", "", ""), request("GET", "/view/2", "1.5", "", "")].concat());
    assert_eq!((client.answer().status(), client.answer().status()), (503, 503));
    assert!(began.elapsed() < Duration::from_millis(2500), "both have waited since they came");
    assert_eq!(server.count(), 1, "what has no time left is not sent on");
}
