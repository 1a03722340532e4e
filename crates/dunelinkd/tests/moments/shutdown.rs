//! Interleavings at shutdown.

use testkit::late::is_open;
use testkit::peers::*;

use super::*;

/// Waits until the node that was told to shut down closes its idle connections.
fn wait_for_close(mut idle: Client) {
    assert!(idle.ended());
}

#[test]
fn partial_request_is_completed_at_shutdown() {
    let server = Server::new(|_, _| ok("slip"));
    let node = node(&[ready("a", &server)], |_| {});
    let (mut idle, mut slow) = (node.client(), node.client());
    assert_eq!(idle.ask(&view()).status(), 200);
    assert_eq!(slow.ask(&view()).status(), 200);
    let text = request("GET", "/view/slow", "9", "", "");
    slow.send(&text[..30]);
    node.process.terminate();
    wait_for_close(idle);
    slow.send(&text[30..]);
    let answer = slow.try_answer().expect("an accepted request is answered");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
}

#[test]
fn partial_body_is_completed_at_shutdown() {
    let server = Server::new(|_, _| ok("slip"));
    let node = node(&[ready("a", &server)], |_| {});
    let (mut idle, mut slow) = (node.client(), node.client());
    assert_eq!(idle.ask(&view()).status(), 200);
    let text = submit();
    slow.send(&text[..text.len() - 2]);
    node.process.terminate();
    wait_for_close(idle);
    slow.send(&text[text.len() - 2..]);
    let answer = slow.try_answer().expect("an accepted request is answered");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
}

#[test]
fn last_answer_survives_unread_requests() {
    let slip = "slip".repeat(15_000);
    let expected_body = slip.clone();
    let server = Server::new(move |_, _| ok(&slip));
    let node = node(&[ready("a", &server)], |_| {});
    // The client's receive buffer is small: most of the answer is still in the node when it closes the
    // connection.
    let mut client = node.client_with_small_buffer();
    // The end of a chunked request is not located in the stream, so its answer closes the connection.
    let chunked =
        String::from_utf8(order()).unwrap().replace("Content-Length: 3", "Transfer-Encoding: chunked");
    client.send(chunked.replace("yen", "3\r\nyen\r\n0\r\n\r\n").as_bytes());
    server.request();
    client.send(&view().repeat(4_000));
    wait_for("the node to close its side", || !is_open(node.address, client.stream.local_addr().unwrap()));
    let (head, body) = client.long_answer();
    assert_eq!((head.status(), head.header("connection")), (200, Some("close")));
    assert_eq!(body.as_deref(), Some(expected_body.as_bytes()), "no part of the answer is lost to a reset");
    assert_eq!(server.count(), 1);
}

#[test]
fn repeated_sigterm_and_sighup_change_nothing() {
    let server = Server::new(|_, _| ok("slip"));
    let mut node = node(&[ready("a", &server)], |_| {});
    let mut kept_alive = node.client();
    assert_eq!(kept_alive.ask(&view()).status(), 200);
    let same_config = node.config_with(&node.discovery);
    node.process.terminate();
    node.process.reconfigure(&same_config);
    node.process.terminate();
    assert_eq!(kept_alive.ask(&view()).status(), 200);
    assert!(node.process.exit().success());
}

#[test]
fn pipelined_requests_are_answered_at_shutdown() {
    let server = Server::new(|count, _| if count == 0 { Act::Wait } else { ok("slip") });
    let node = node(&[ready("a", &server)], |_| {});
    let mut client = node.client();
    let first = request("GET", "/view/1", "1.0", "", "");
    client.send(&[first, view(), submit(), view()[..40].to_vec()].concat());
    server.request();
    let mut idle = node.client();
    assert_eq!(idle.ask(b"GET /_health HTTP/1.1\r\nHost: n\r\n\r\n").status(), 200);
    node.process.terminate();
    // The answer announces that the connection closes.
    while idle.ask(b"GET /_health HTTP/1.1\r\nHost: n\r\n\r\n").header("connection") != Some("close") {}
    let answers: Vec<u16> = (0..3).map(|_| client.answer().status()).collect();
    assert_eq!(answers, [503, 200, 200], "each request has its own time limit");
    client.send(&view()[40..]);
    // The answer to the last request, which was sent in two parts, closes the connection.
    assert_eq!(client.answer().header("connection"), Some("close"));
    assert!(client.ended());
}

#[test]
fn queued_connections_are_answered_at_shutdown() {
    let server = Server::new(|_, _| Act::Wait);
    let mut node = Node::with_socket_limit(&[ready("a", &server)], 64);
    // More clients than the node has connections for: the last of them wait in the kernel.
    let mut clients: Vec<Client> = (0..60).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&request("GET", "/view/1", "1.5", "", "")));
    server.request();
    node.process.terminate();
    let answers: Vec<u16> =
        clients.iter_mut().filter_map(|client| client.try_answer()).map(|answer| answer.status()).collect();
    // Requests that were accepted late fail at the end of the process, and are answered so.
    assert!(answers.len() == 60 && answers.iter().all(|status| [503, 504].contains(status)), "{answers:?}");
    drop(clients);
    assert!(node.process.exit().success());
}
