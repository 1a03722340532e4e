//! The moments of an end.

use testkit::late::is_open;
use testkit::peers::*;

use super::*;

/// Waits until the node, told to go, ends connections that have nothing open.
fn closes(mut idle: Client) {
    assert!(idle.ended());
}

#[test]
fn half_a_request_is_read_on_and_answered_at_the_end() {
    let server = Server::new(|_, _| ok("slip"));
    let node = node(&[ready("a", &server)], |_| {});
    let (mut idle, mut slow) = (node.client(), node.client());
    assert_eq!(idle.ask(&view()).status(), 200);
    assert_eq!(slow.ask(&view()).status(), 200);
    let text = request("GET", "/view/slow", "9", "", "");
    slow.send(&text[..30]);
    node.process.terminate();
    closes(idle);
    slow.send(&text[30..]);
    let answer = slow.try_answer().expect("what was taken is answered");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
}

#[test]
fn half_a_body_is_read_on_and_answered_at_the_end() {
    let server = Server::new(|_, _| ok("slip"));
    let node = node(&[ready("a", &server)], |_| {});
    let (mut idle, mut slow) = (node.client(), node.client());
    assert_eq!(idle.ask(&view()).status(), 200);
    let text = submit();
    slow.send(&text[..text.len() - 2]);
    node.process.terminate();
    closes(idle);
    slow.send(&text[text.len() - 2..]);
    let answer = slow.try_answer().expect("what was taken is answered");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
}

#[test]
fn the_last_answer_is_not_lost_to_what_its_client_has_sent_meanwhile() {
    let slip = "slip".repeat(15_000);
    let whole = slip.clone();
    let server = Server::new(move |_, _| ok(&slip));
    let node = node(&[ready("a", &server)], |_| {});
    // Its client's socket holds little: most of the answer is still with the node when that closes.
    let mut client = node.client_with_little_room();
    // Where one in chunks ends among the bytes is not followed, so that its answer ends the connection.
    let chunked =
        String::from_utf8(order()).unwrap().replace("Content-Length: 3", "Transfer-Encoding: chunked");
    client.send(chunked.replace("yen", "3\r\nyen\r\n0\r\n\r\n").as_bytes());
    server.request();
    client.send(&view().repeat(4_000));
    wait_for("the node's end of it", || !is_open(node.address, client.stream.local_addr().unwrap()));
    let (head, body) = client.long_answer();
    assert_eq!((head.status(), head.header("connection")), (200, Some("close")));
    assert_eq!(body.as_deref(), Some(whole.as_bytes()), "none of it went with a reset");
    assert_eq!(server.count(), 1);
}

#[test]
fn a_second_sigterm_and_a_sighup_with_it_change_nothing() {
    let server = Server::new(|_, _| ok("slip"));
    let mut node = node(&[ready("a", &server)], |_| {});
    let mut kept = node.client();
    assert_eq!(kept.ask(&view()).status(), 200);
    let same = node.config_with(&node.discovery);
    node.process.terminate();
    node.process.reconfigure(&same);
    node.process.terminate();
    assert_eq!(kept.ask(&view()).status(), 200);
    assert!(node.process.exit().success());
}

#[test]
fn what_has_come_behind_a_request_is_answered_too_at_the_end() {
    let server = Server::new(|count, _| if count == 0 { Act::Wait } else { ok("slip") });
    let node = node(&[ready("a", &server)], |_| {});
    let mut client = node.client();
    let first = request("GET", "/view/1", "1.0", "", "");
    client.send(&[first, view(), submit(), view()[..40].to_vec()].concat());
    server.request();
    let mut idle = node.client();
    assert_eq!(idle.ask(b"GET /_health HTTP/1.1\r\nHost: n\r\n\r\n").status(), 200);
    node.process.terminate();
    // Its answer says that it goes.
    while idle.ask(b"GET /_health HTTP/1.1\r\nHost: n\r\n\r\n").header("connection") != Some("close") {}
    let answers: Vec<u16> = (0..3).map(|_| client.answer().status()).collect();
    assert_eq!(answers, [503, 200, 200], "the first had its time, and those behind it theirs");
    client.send(&view()[40..]);
    // The last of them, which came in two parts, ends the connection.
    assert_eq!(client.answer().header("connection"), Some("close"));
    assert!(client.ended());
}

#[test]
fn what_waits_for_a_descriptor_at_the_end_is_answered_too() {
    let server = Server::new(|_, _| Act::Wait);
    let mut node = Node::with(&[ready("a", &server)], 64);
    // More than there are places for: the last of them wait in the kernel.
    let mut clients: Vec<Client> = (0..60).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&request("GET", "/view/1", "1.5", "", "")));
    server.request();
    node.process.terminate();
    let answers: Vec<u16> =
        clients.iter_mut().filter_map(|client| client.try_answer()).map(|answer| answer.status()).collect();
    // Those that came late are given up with the process, and told so.
    assert!(answers.len() == 60 && answers.iter().all(|status| [503, 504].contains(status)), "{answers:?}");
    drop(clients);
    assert!(node.process.exit().success());
}
