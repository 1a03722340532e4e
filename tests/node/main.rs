//! The real node over loopback sockets, against scripted peers.

mod peers;

use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use peers::*;

#[test]
fn a_request_goes_on_unchanged_and_connections_are_used_again() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::new(&[ready("a", &server)]);
    let mut client = node.client();
    for id in ["9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42"] {
        rested();
        let answer = client.ask(&identified(id, "GET", "/view/7f3a?x=1", "14.0", "", ""));
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"slip"[..]));
        let (connection, request) = server.request();
        assert_eq!(connection, 0, "a connection that is idle is used again");
        assert_eq!(request.first, "GET /view/7f3a?x=1 HTTP/1.1");
        assert_eq!(request.header("req-id"), Some(id));
        let patience: f64 = request.header("req-deadline").unwrap().parse().unwrap();
        assert!(patience > 0.0 && patience < 14.0, "the server is told how long the node waits");
    }
    let answer = client.ask(&submit());
    assert_eq!(answer.status(), 200);
    let (_, request) = server.request();
    assert_eq!((request.header("idempotency-key"), &request.body[..]), (Some("5c0f6e1a"), &b"hours"[..]));
}

#[test]
fn a_bad_request_is_the_clients_to_mend_and_is_never_sent() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::new(&[ready("a", &server)]);
    let without = |bytes: Vec<u8>, header: &str| {
        let text = String::from_utf8(bytes).unwrap();
        let lines = text.split_inclusive("\r\n").filter(|line| !line.starts_with(header));
        lines.collect::<String>().into_bytes()
    };
    let large = "x".repeat(64 * 1024 + 1);
    let bad = [
        ("malformed", b"NOT HTTP\r\n\r\n".to_vec()),
        ("no id", without(view(), "Req-Id")),
        ("no deadline", without(view(), "Req-Deadline")),
        ("a deadline in words", request("GET", "/view/1", "soon", "", "")),
        ("a deadline without end", request("GET", "/view/1", "inf", "", "")),
        ("a deadline that is no number", request("GET", "/view/1", "NaN", "", "")),
        ("two ids", request("GET", "/view/1", "1", "Req-Id: 2\r\n", "")),
        ("an unknown class", request("GET", "/other/1", "1", "", "")),
        ("no class", request("GET", "/", "1", "", "")),
        ("a safe class posted", request("POST", "/view/1", "1", "", "x")),
        ("a keyed class got", request("GET", "/submit/1", "1", "", "")),
        ("a keyed class without its key", request("POST", "/submit/1", "1", "", "x")),
        ("an unsafe class with a key", request("POST", "/order/1", "1", "Idempotency-Key: 1\r\n", "x")),
        ("a body with a GET", request("GET", "/view/1", "1", "Content-Length: 1\r\n", "x")),
        ("a large body", request("POST", "/order/1", "1", "", &large)),
        ("large headers", request("GET", "/view/1", "1", &format!("X: {large}\r\n"), "")),
    ];
    for (what, bytes) in bad {
        let status = node.client().ask(&bytes).status();
        assert!((400..500).contains(&status) && status != 429, "{what}: {status}");
    }
    assert_eq!(node.client().ask(&view()).status(), 200);
    assert_eq!(server.count(), 1, "only the good one was sent");
}

#[test]
fn a_request_whose_end_is_in_doubt_is_an_error_and_the_end_of_its_connection() {
    let server = Server::new(|_, _| ok("paid"));
    let node = Node::new(&[ready("a", &server)]);
    let hidden = String::from_utf8(order()).unwrap();
    let head = |lines: &str| {
        let text = String::from_utf8(request("GET", "/order/1", "9", lines, "")).unwrap();
        text.replace("GET", "POST")
    };
    let chunk = format!("0\r\n\r\n{hidden}");
    let both = format!("Content-Length: {}\r\nTransfer-Encoding: chunked\r\n", chunk.len());
    let other = format!("transfer-encoding: chunked\r\nCONTENT-LENGTH: {}\r\n", chunk.len());
    let bad = [
        format!("{}{chunk}", head(&both)),
        format!("{}{chunk}", head(&other)),
        format!("{}{chunk}", head(&both).replace("\r\n", "\n")),
        format!("{}yen{hidden}", head("Content-Length: 3\r\nContent-Length: 4\r\n")),
        format!("{}yen{hidden}", head("Content-Length: -3\r\n")),
        format!("{}yen{hidden}", head("Content-Length: 99999999999999999999\r\n")),
        format!("{}yen{hidden}", head("Transfer-Encoding: gzip\r\n")),
    ];
    for (number, text) in bad.iter().enumerate() {
        let mut client = node.client();
        let answer = client.ask(text.as_bytes());
        assert!((400..500).contains(&answer.status()), "{number}: {}", answer.first);
        assert!(client.ended(), "{number}: what follows is not read");
    }
    assert_eq!(server.count(), 0);
    // Behind a good one it fares no better, and chunks alone are fine.
    let mut client = node.client();
    client.send(format!("{hidden}{}", bad[0]).as_bytes());
    assert_eq!((client.answer().status(), client.answer().status()), (200, 400));
    let alone = format!("{}3\r\nyen\r\n0\r\n\r\n", head("Transfer-Encoding: chunked\r\n"));
    assert_eq!(node.client().ask(alone.as_bytes()).status(), 200);
    server.request();
    assert_eq!((&server.request().1.body[..], server.count()), (&b"yen"[..], 2));
}

#[test]
fn a_body_far_too_large_is_refused_in_a_way_that_its_sender_hears() {
    let server = Server::new(|_, _| ok("paid"));
    let node = Node::new(&[ready("a", &server)]);
    let text = String::from_utf8(order()).unwrap();
    let plain = text.replace("Content-Length: 3", "Content-Length: 60000000");
    let chunks =
        text.replace("Content-Length: 3", "Transfer-Encoding: chunked").replace("\r\nyen", "\r\n800000\r\n");
    for (head, most) in [(plain.replace("\r\nyen", "\r\n"), 600_000), (chunks, 600_000)] {
        let mut client = node.client();
        // It sends on although the answer is there.
        client.stream.write_all(head.as_bytes()).unwrap();
        client.stream.write_all(&vec![b'x'; most]).unwrap();
        assert_eq!(client.answer().status(), 413);
        assert!(client.ended());
    }
    assert_eq!(server.count(), 0);
}

#[test]
fn a_client_that_sends_no_whole_request_is_not_waited_for() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::new(&[ready("a", &server)]);
    let began = Instant::now();
    let (mut silent, mut slow, mut half, mut once) =
        (node.client(), node.client(), node.client(), node.client());
    slow.send(b"GET /view/1 HTTP/1.1\r\nHost: o");
    half.send(&order()[..order().len() - 1]);
    assert_eq!(once.ask(&view()).status(), 200);
    assert_eq!(half.answer().status(), 408);
    assert!(silent.ended() && slow.ended() && half.ended() && once.ended());
    assert!(began.elapsed() < Duration::from_secs(10), "long before the class's deadline");
    assert_eq!(server.count(), 1);
}

#[test]
fn an_id_belongs_to_one_open_request_at_a_time() {
    let server = Server::new(|count, _| if count == 0 { Act::Wait } else { ok("slip") });
    let node = Node::new(&[ready("a", &server)]);
    let same = identified("9b1f03aa5c7e2d41", "GET", "/view/1", "14", "", "");
    let mut first = node.client();
    first.send(&same);
    let (connection, _) = server.request();
    assert_eq!(node.client().ask(&same).status(), 409);
    assert_eq!(server.count(), 1);
    // Once its client has left, the id is free again.
    drop(first);
    assert_eq!(server.ended(), connection);
    assert_eq!(node.client().ask(&same).status(), 200);
}

#[test]
fn an_unknown_tenant_counts_as_none() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::new(&[ready("a", &server)]);
    let text = String::from_utf8(view()).unwrap().replace("acme", "stranger");
    assert_eq!(node.client().ask(text.as_bytes()).status(), 200);
}

#[test]
fn a_request_whose_time_is_up_is_answered_and_not_sent() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::new(&[ready("a", &server)]);
    for deadline in ["0", "-1.5", "0.001"] {
        assert_eq!(node.client().ask(&request("GET", "/view/1", deadline, "", "")).status(), 503);
    }
    assert_eq!(server.count(), 0);
}

#[test]
fn a_silent_server_does_not_keep_the_answer_past_the_deadline() {
    let server = Server::new(|_, _| Act::Wait);
    let node = Node::new(&[ready("a", &server)]);
    // A repeat of the safe one is harmless; nothing can be promised of the unsafe one.
    assert_eq!(node.client().ask(&request("GET", "/view/1", "2", "", "")).status(), 503);
    assert_eq!(node.client().ask(&request("POST", "/order/1", "2", "", "yen")).status(), 504);
}

#[test]
fn an_unsafe_request_that_may_have_run_is_not_sent_again_nor_refused() {
    let acts = [
        Act::SayAndClose(Vec::new()),
        Act::SayAndClose(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_vec()),
        Act::SayAndClose(b"garbage\r\n\r\n".to_vec()),
        Act::Say(answer(500, "", "")),
        // Only a server that says so has not run it.
        Act::Say(answer(503, "", "")),
        Act::Say(answer(200, "", &"x".repeat(64 * 1024 + 1))),
    ];
    for act in acts {
        let server = Server::new(move |_, _| act.clone());
        let other = Server::new(|_, _| Act::SayAndClose(Vec::new()));
        let node = Node::new(&[ready("a", &server), ready("b", &other)]);
        assert_eq!(node.client().ask(&order()).status(), 502);
        assert_eq!(server.count() + other.count(), 1);
    }
}

#[test]
fn an_unsafe_request_that_never_ran_goes_elsewhere() {
    let turns = Arc::new(AtomicUsize::new(0));
    let server = |turns: Arc<AtomicUsize>| {
        Server::new(move |_, _| match turns.fetch_add(1, Ordering::SeqCst) {
            0 => Act::Say(answer(503, "Srv-Declined: 1\r\n", "")),
            _ => ok("paid"),
        })
    };
    let (one, two) = (server(turns.clone()), server(turns));
    let node = Node::new(&[ready("a", &one), ready("b", &two), target("c", nobody(), 1, "ready")]);
    let answer = node.client().ask(&order());
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"paid"[..]));
}

#[test]
fn a_refused_connection_proves_that_nothing_ran() {
    let node = Node::new(&[target("a", nobody(), 1, "ready")]);
    assert_eq!(node.client().ask(&request("POST", "/order/1", "2", "", "yen")).status(), 503);
}

#[test]
fn a_keyed_request_goes_again_only_within_its_pod() {
    let turns = Arc::new(AtomicUsize::new(0));
    let server = |turns: Arc<AtomicUsize>| {
        Server::new(move |_, _| match turns.fetch_add(1, Ordering::SeqCst) {
            0 => Act::SayAndClose(Vec::new()),
            _ => ok("noted"),
        })
    };
    let servers: Vec<Server> = (0..4).map(|_| server(turns.clone())).collect();
    let entry = |(i, s): (usize, &Server)| target(&format!("s-{i}"), s.address, i as u16 / 2, "ready");
    let node = Node::new(&servers.iter().enumerate().map(entry).collect::<Vec<_>>());
    assert_eq!(node.client().ask(&submit()).status(), 200);
    let pods = [0, 1].map(|pod| servers[2 * pod].count() + servers[2 * pod + 1].count());
    assert!(pods == [2, 0] || pods == [0, 2], "{pods:?}");
}

#[test]
fn a_key_goes_on_whatever_the_client_says_of_its_connection() {
    let server = Server::new(|_, _| ok("noted"));
    let node = Node::new(&[ready("a", &server)]);
    let more =
        "Idempotency-Key: 5c0f\r\nConnection: keep-alive, Idempotency-Key, Req-Id, X-Hop\r\nX-Hop: 1\r\n";
    assert_eq!(node.client().ask(&request("POST", "/submit/1", "9", more, "x")).status(), 200);
    let (_, request) = server.request();
    assert_eq!(request.header("idempotency-key"), Some("5c0f"));
    assert!(request.header("req-id").is_some());
    assert_eq!(request.header("x-hop"), None);
}

#[test]
fn an_idle_connection_that_the_server_closed_is_not_used() {
    let server = Server::new(|_, _| Act::SayAndClose(answer(200, "", "paid")));
    let node = Node::new(&[ready("a", &server)]);
    for number in 0..3 {
        assert_eq!(node.client().ask(&order()).status(), 200);
        assert_eq!(server.request().0, number);
        assert_eq!(server.ended(), number);
    }
}

#[test]
fn half_an_answer_is_not_passed_on() {
    let turns = AtomicUsize::new(0);
    let server = Server::new(move |_, _| match turns.fetch_add(1, Ordering::SeqCst) {
        0 => Act::SayAndClose(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_vec()),
        _ => ok("whole"),
    });
    let node = Node::new(&[ready("a", &server)]);
    assert_eq!(node.client().ask(&view()).body, b"whole");
}

#[test]
fn an_answer_that_does_not_say_where_it_ends_may_be_half_of_one() {
    let heads = [
        "HTTP/1.1 200 OK\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n",
    ];
    for head in heads {
        let server = Server::new(move |count, _| match count {
            0 => Act::SayAndClose(head.into()),
            _ => ok("whole"),
        });
        let node = Node::new(&[ready("a", &server)]);
        assert_eq!(node.client().ask(&view()).body, b"whole", "{head}");
    }
}

#[test]
fn an_answer_that_comes_to_no_end_is_a_failed_attempt_soon() {
    let stuck: [&[u8]; 6] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\nX-Pad: 1\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxx",
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        b"HTT",
    ];
    for bytes in stuck {
        let server = Server::new(move |_, _| Act::Say(bytes.to_vec()));
        let node = Node::new(&[ready("a", &server)]);
        let began = Instant::now();
        assert_eq!(node.client().ask(&order()).status(), 502, "{}", String::from_utf8_lossy(bytes));
        assert!(began.elapsed() < Duration::from_secs(10), "long before its deadline");
        assert_eq!((server.ended(), server.count()), (0, 1));
    }
}

#[test]
fn hints_and_load_reports_do_not_spoil_an_answer() {
    let hints = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n".to_vec();
    let server = Server::new(move |_, _| {
        let answer = answer(200, "Srv-Load: TEXT inflight=\u{fffd}, =,=%%\r\n", "paid");
        Act::SayMore(hints.clone(), Duration::from_secs(1), answer)
    });
    let node = Node::new(&[ready("a", &server)]);
    assert_eq!(node.client().ask(&order()).body, b"paid");
}

#[test]
fn what_comes_behind_an_answer_is_not_the_next_ones() {
    let server = Server::new(|count, _| {
        let stale = answer(200, "", "stale");
        Act::SayMore(answer(200, "", &count.to_string()), Duration::from_millis(2), stale)
    });
    let node = Node::new(&[ready("a", &server)]);
    let mut client = node.client();
    for count in 0..20 {
        assert_eq!(client.ask(&order()).body, count.to_string().into_bytes());
    }
}

#[test]
fn a_client_that_leaves_takes_its_attempt_along() {
    let server = Server::new(|_, _| Act::Wait);
    let node = Node::new(&[ready("a", &server)]);
    let mut client = node.client();
    client.send(&view());
    let (connection, _) = server.request();
    drop(client);
    assert_eq!(server.ended(), connection);
}

#[test]
fn nothing_new_goes_to_a_server_that_drains_and_idle_connections_to_it_end() {
    let (one, two) = (Server::new(|_, _| ok("one")), Server::new(|_, _| ok("two")));
    let node = Node::new(&[ready("a", &one), target("b", two.address, 1, "draining")]);
    let mut watch = Watch::accept(&node.discovery);
    assert_eq!(watch.request.first, "GET /catalog/members?watch=1&from=41 HTTP/1.1");
    assert_eq!(node.client().ask(&view()).body, b"one");
    watch.changes(42, &[target("a", one.address, 1, "draining"), ready("b", &two)]);
    assert_eq!(one.ended(), 0);
    let before = one.count();
    let mut connections = HashSet::new();
    for _ in 0..10 {
        assert_eq!(node.client().ask(&view()).body, b"two");
        connections.insert(two.request().0);
    }
    assert_eq!(one.count(), before);
    // A whole list that leaves a server out means that it is gone.
    watch.line(&serde_json::json!({"rev": 50, "all": true, "targets": [ready("a", &one)]}).to_string());
    for _ in connections {
        two.ended();
    }
    assert_eq!(node.client().ask(&view()).body, b"one");
}

#[test]
fn a_server_that_moves_is_met_at_its_new_address() {
    let (old, new) = (Server::new(|_, _| ok("old")), Server::new(|_, _| ok("new")));
    let node = Node::new(&[ready("a", &old)]);
    let mut watch = Watch::accept(&node.discovery);
    assert_eq!(node.client().ask(&view()).body, b"old");
    watch.changes(42, &[ready("a", &new)]);
    assert_eq!(old.ended(), 0);
    assert_eq!(node.client().ask(&view()).body, b"new");
}

#[test]
fn a_server_that_started_anew_has_forgotten_its_connections() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::new(&[ready("a", &server)]);
    let mut watch = Watch::accept(&node.discovery);
    assert_eq!(node.client().ask(&view()).status(), 200);
    let mut again = ready("a", &server);
    again["boot_ms"] = 1.into();
    watch.changes(42, &[again]);
    assert_eq!(server.ended(), 0);
    assert_eq!(node.client().ask(&view()).status(), 200);
}

#[test]
fn idle_connections_to_a_server_that_fell_silent_are_not_trusted() {
    // Two requests at once leave two idle connections; then the server says nothing more on either.
    let both = Arc::new(std::sync::Barrier::new(2));
    let server = Server::new(move |count, _| match count {
        0 | 1 => {
            both.wait();
            ok("slip")
        }
        _ => Act::Wait,
    });
    let node = Node::new(&[ready("a", &server)]);
    let (mut one, mut two) = (node.client(), node.client());
    one.send(&order());
    two.send(&order());
    assert_eq!((one.answer().status(), two.answer().status()), (200, 200));
    rested();
    assert_eq!(one.ask(&request("POST", "/order/1", "3", "", "yen")).status(), 504);
    one.send(&order());
    let connections: Vec<usize> = (0..4).map(|_| server.request().0).collect();
    assert_eq!(connections[3], 2, "the last request came on a connection of its own: {connections:?}");
}

#[test]
fn what_must_not_run_twice_avoids_kept_connections_once_one_broke() {
    // Kept connections break under their next request; new ones are fine.
    let met = std::sync::Mutex::new(HashSet::new());
    let server = Server::on(move |connection, _| match met.lock().unwrap().insert(connection) {
        true => ok("paid"),
        false => Act::SayAndClose(Vec::new()),
    });
    let node = Node::new(&[ready("a", &server)]);
    let mut client = node.client();
    let mut lost = 0;
    for _ in 0..5 {
        lost += usize::from(client.ask(&order()).status() != 200);
        rested();
    }
    assert_eq!(lost, 1, "the first that broke tells of the others");
}

#[test]
fn a_watch_that_ends_or_speaks_garbage_is_begun_anew_from_where_it_was() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::new(&[]);
    assert_eq!(node.client().ask(b"GET /_health HTTP/1.1\r\nHost: n\r\n\r\n").status(), 503);
    assert_eq!(node.client().ask(&view()).status(), 503);
    let mut watch = Watch::accept(&node.discovery);
    watch.changes(57, &[]);
    drop(watch);
    let mut watch = Watch::accept(&node.discovery);
    assert_eq!(watch.request.first, "GET /catalog/members?watch=1&from=57 HTTP/1.1");
    watch.line("{\"rev\": 58, \"all\"");
    let mut watch = Watch::accept(&node.discovery);
    assert_eq!(watch.request.first, "GET /catalog/members?watch=1&from=57 HTTP/1.1");
    // It then says nothing at all, as a machine that has vanished does.
    watch.line("");
    let mut again = Watch::accept(&node.discovery);
    again.changes(60, &[ready("a", &server)]);
    loop {
        if node.client().ask(b"GET /_health HTTP/1.1\r\nHost: n\r\n\r\n").status() == 200 {
            break;
        }
    }
    assert_eq!(node.client().ask(&view()).status(), 200);
    drop(watch);
}

#[test]
fn after_sighup_the_watch_goes_on_at_the_new_address_and_all_is_served() {
    let (one, two) = (Server::new(|_, _| Act::Wait), Server::new(|_, _| ok("two")));
    let node = Node::new(&[ready("a", &one)]);
    let mut watch = Watch::accept(&node.discovery);
    watch.changes(57, &[]);
    let mut waiting = node.client();
    waiting.send(&request("POST", "/order/1", "9", "", "yen"));
    one.request();
    // Nothing can be made of this file: the node goes on as before.
    node.reconfigure("{\"name\": 3}");
    watch.changes(58, &[target("a", one.address, 1, "draining"), ready("b", &two)]);
    while node.client().ask(&view()).status() != 200 {}
    // The first request is still open: it has lost neither its server nor its client.
    let elsewhere = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    node.reconfigure(&node.config_with(&elsewhere));
    let mut moved = Watch::accept(&elsewhere);
    assert_eq!(moved.request.first, "GET /catalog/members?watch=1&from=58 HTTP/1.1");
    assert_eq!(node.client().ask(&view()).body, b"two", "the list stays");
    moved.changes(59, &[target("b", two.address, 1, "gone")]);
    two.ended();
    assert_eq!(waiting.answer().status(), 504);
}

#[test]
fn what_was_never_sent_is_refused_early_and_told_to_come_back_later() {
    let server = Server::new(|_, _| Act::Wait);
    let node = Node::new(&[ready("a", &server)]);
    // More than the one server has room for: the others are held, and never sent.
    let mut clients: Vec<Client> = (0..8).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&request("GET", "/view/1", "6", "", "")));
    let answers: Vec<Message> = clients.iter_mut().map(|client| client.answer()).collect();
    let told = answers.iter().filter(|a| a.header("retry-after") == Some("2.000")).count();
    assert!(told > 0 && answers.iter().all(|a| a.status() == 503), "{answers:?}");
}

#[test]
fn a_crowd_of_idle_clients_does_not_shut_others_out() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::with(&[ready("a", &server)], 64);
    let crowd: Vec<Client> = (0..200).map(|_| node.client()).collect();
    // Refused while room is made, perhaps, but answered; and served once there is room.
    let served = (0..1000).any(|_| node.client().ask(&view()).status() == 200);
    assert!(served);
    drop(crowd);
}

#[test]
fn a_new_connection_is_not_closed_before_its_first_request() {
    let server = Server::new(|_, _| Act::Wait);
    let node = Node::with(&[ready("a", &server)], 64);
    // As many busy clients as get served, and some more: there is no other idle connection to close.
    let mut clients: Vec<Client> = (0..30).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&request("GET", "/view/1", "3", "", "")));
    let mut fresh: Vec<Client> = (0..8).map(|_| node.client()).collect();
    fresh.iter_mut().for_each(|client| client.send(&request("GET", "/view/1", "9", "", "")));
    for client in clients.iter_mut().chain(&mut fresh) {
        assert_eq!(client.answer().status(), 503);
    }
}

#[test]
fn connections_end_with_their_answers_long_before_the_budget_is_full() {
    let server = Server::new(|_, _| Act::Wait);
    let node = Node::with(&[ready("a", &server)], 128);
    let mut clients: Vec<Client> = (0..40).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&request("GET", "/view/1", "9", "", "")));
    // There is room for half as many again; but one that is kept for nothing takes another client's place.
    let mut more = node.client();
    assert_eq!(more.ask(b"GET /_health HTTP/1.1\r\nHost: n\r\n\r\n").header("connection"), Some("close"));
    assert!(more.ended());
}

#[test]
fn a_request_that_comes_in_pieces_is_not_cut_off_by_a_crowd() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::with(&[ready("a", &server)], 128);
    let mut slow = node.client();
    assert_eq!(slow.ask(&view()).body, b"slip");
    let text = request("GET", "/view/slow", "9", "", "");
    slow.send(&text[..30]);
    rested();
    rested();
    let _crowd: Vec<Client> = (0..50).map(|_| node.client()).collect();
    // It was taken in after the crowd, so by now room has been made for that.
    let health = b"GET /_health HTTP/1.1\r\nHost: n\r\n\r\n";
    assert_eq!(node.client().ask(health).status(), 200);
    slow.send(&text[30..]);
    assert_eq!(slow.answer().body, b"slip");
}

#[test]
fn a_node_without_descriptors_lives_on() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::starved(&[ready("a", &server)], 48);
    let crowd: Vec<Client> = (0..100).map(|_| node.client()).collect();
    assert!((0..1000).any(|_| node.client().ask(&view()).status() == 200));
    drop(crowd);
}

#[test]
fn after_sigterm_all_is_still_answered_and_connections_end() {
    let server = Server::new(|count, _| if count == 1 { Act::Wait } else { ok("slip") });
    let mut node = Node::new(&[ready("a", &server)]);
    let (mut kept, mut waiting) = (node.client(), node.client());
    assert_eq!(kept.ask(&view()).status(), 200);
    waiting.send(&order());
    server.request();
    server.request();
    node.terminate();
    // The node is told by now or soon: it serves on, and says when it means to go.
    loop {
        let answer = kept.ask(&view());
        assert_eq!(answer.status(), 200);
        if answer.header("connection") == Some("close") {
            break;
        }
    }
    assert!(kept.ended());
    // The node goes before the order's deadline; no answer at all would be worse than a failure.
    assert_eq!(waiting.answer().status(), 504);
    assert!(node.exit().success());
    assert!(TcpStream::connect(node.address).is_err());
}

#[test]
fn a_bad_configuration_is_one_line_and_an_exit() {
    let nothing = || program().env_remove("GW_CONFIG").spawn().unwrap();
    let absent = || program().env("GW_CONFIG", "/nowhere/config.json").spawn().unwrap();
    for mut child in [nothing(), absent(), start(""), start("{}"), start("{\"name\": 3}")] {
        let mut log = String::new();
        child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
        assert_eq!(log.lines().count(), 1, "{log}");
        assert!(!child.wait().unwrap().success());
    }
}
