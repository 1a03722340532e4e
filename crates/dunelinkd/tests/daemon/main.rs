//! Features of the daemon alone: framing, many connections, signals, file descriptors, and its exit.

#[path = "../process/mod.rs"]
mod process;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Stdio;
use std::time::{Duration, Instant};

use process::*;
use testkit::peers::*;

#[test]
fn ambiguous_framing_is_rejected_and_closes_connection() {
    let server = Server::new(|_, _| ok("paid"));
    let node = Node::new(&[ready("a", &server)]);
    let hidden = String::from_utf8(order()).unwrap();
    let head = |lines: &str| {
        let text = String::from_utf8(request("GET", "/order/1", "9", lines, "")).unwrap();
        text.replace("GET", "POST")
    };
    let chunked_body = format!("0\r\n\r\n{hidden}");
    let both = format!("Content-Length: {}\r\nTransfer-Encoding: chunked\r\n", chunked_body.len());
    let other = format!("transfer-encoding: chunked\r\nCONTENT-LENGTH: {}\r\n", chunked_body.len());
    let invalid = [
        format!("{}{chunked_body}", head(&both)),
        format!("{}{chunked_body}", head(&other)),
        format!("{}{chunked_body}", head(&both).replace("\r\n", "\n")),
        format!("{}yen{hidden}", head("Content-Length: 3\r\nContent-Length: 4\r\n")),
        format!("{}yen{hidden}", head("Content-Length: -3\r\n")),
        format!("{}yen{hidden}", head("Content-Length: 99999999999999999999\r\n")),
        format!("{}yen{hidden}", head("Transfer-Encoding: gzip\r\n")),
    ];
    for (number, text) in invalid.iter().enumerate() {
        let mut client = node.client();
        let answer = client.ask(text.as_bytes());
        assert!((400..500).contains(&answer.status()), "{number}: {}", answer.first);
        assert!(client.ended(), "{number}: bytes behind an invalid request are not read");
    }
    assert_eq!(server.count(), 0);
    // Behind a valid request it is rejected as well; a chunked body without a length is valid.
    let mut client = node.client();
    client.send(format!("{hidden}{}", invalid[0]).as_bytes());
    assert_eq!((client.answer().status(), client.answer().status()), (200, 400));
    let alone = format!("{}3\r\nyen\r\n0\r\n\r\n", head("Transfer-Encoding: chunked\r\n"));
    assert_eq!(node.client().ask(alone.as_bytes()).status(), 200);
    server.request();
    assert_eq!((&server.request().1.body[..], server.count()), (&b"yen"[..], 2));
}

#[test]
fn defects_hidden_by_hyper_are_rejected() {
    let server = Server::new(|_, _| ok("paid"));
    let node = Node::new(&[ready("a", &server)]);
    let valid = String::from_utf8(order()).unwrap();
    let length = "Content-Length: 3\r\n";
    let invalid = [
        ("a fragment", valid.replace("/order/7f3a", "/order/7f3a#/view")),
        ("a fragment behind a query", valid.replace("/order/7f3a", "/order/7f3a?x#y")),
        ("a length twice", valid.replace(length, &length.repeat(2))),
        ("a length twice, in other words", valid.replace(length, &format!("{length}content-length:03\r\n"))),
        ("no host for the health check", "GET /_health HTTP/1.1\r\n\r\n".into()),
        ("two hosts for it", "GET /_health HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n".into()),
    ];
    for (what, text) in &invalid {
        // Sent alone, behind another request in the same write, and byte by byte.
        let mut client = node.client();
        assert_eq!(client.ask(text.as_bytes()).status(), 400, "{what}");
        assert!(client.ended(), "{what}");
        let mut client = node.client();
        client.send(format!("{valid}{text}").replacen("9b1f", "9b2f", 1).as_bytes());
        assert_eq!((client.answer().status(), client.answer().status()), (200, 400), "{what}");
        let mut client = node.client();
        text.bytes().for_each(|byte| client.send(&[byte]));
        assert_eq!(client.answer().status(), 400, "{what}");
    }
    assert_eq!(server.count(), invalid.len(), "only the valid requests were sent");
}

#[test]
fn unusual_valid_requests_are_served() {
    let server = Server::new(|_, _| ok("paid"));
    let node = Node::new(&[ready("a", &server)]);
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    let old = text(view()).replace("HTTP/1.1", "HTTP/1.0").replace("Host: origin.svc\r\n", "");
    let upgrade =
        "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n";
    let valid = [
        ("empty lines first", format!("\r\n\r\n{}", text(view()))),
        ("bare line feeds", text(view()).replace("\r\n", "\n")),
        ("other letter case", text(view()).replace("Req-Id", "REQ-ID").replace("Host", "hOST")),
        ("an upgrade that is ignored", text(request("GET", "/view/1", "9", upgrade, ""))),
        (
            "an HTTP/1.0 client that keeps its connection",
            old.replace("\r\n\r\n", "\r\nConnection: keep-alive\r\n\r\n"),
        ),
        ("an HTTP/1.0 client", old.clone()),
    ];
    for (what, text) in &valid {
        let mut client = node.client();
        assert_eq!(client.ask(text.as_bytes()).status(), 200, "{what}");
        if *what == "an HTTP/1.0 client" {
            assert!(client.ended());
        } else {
            assert_eq!(client.ask(&view()).status(), 200, "{what}: and the next request");
        }
    }
    // `Expect: 100-continue` is answered first, except for a client of HTTP/1.0, which doesn't know that
    // answer.
    let expects = text(order()).replace("\r\n\r\nyen", "\r\nExpect: 100-continue\r\n\r\n");
    let mut client = node.client();
    assert_eq!(client.ask(expects.as_bytes()).status(), 100);
    assert_eq!(client.ask(b"yen").status(), 200);
    let asks = expects.replace("HTTP/1.1", "HTTP/1.0");
    assert_eq!(node.client().ask(format!("{asks}yen").as_bytes()).status(), 200);
    let coded = old.replace("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    let mut client = node.client();
    assert_eq!(client.ask(coded.as_bytes()).status(), 400, "HTTP/1.0 has no transfer codings");
    assert!(client.ended());
}

#[test]
fn sender_of_oversized_body_receives_413() {
    let server = Server::new(|_, _| ok("paid"));
    let config = format!(
        "name = \"own\"\nlisten = \"127.0.0.1:0\"\n[limits]\nstream = 100000\n[roster]\nfrom = \"fixed\"\n\
         servers = [{{ uid = \"a\", endpoint = \"{}\" }}]\n\
         [[classes]]\nname = \"order\"\neffect = \"unsafe\"\ndeadline = \"20s\"\n",
        server.address
    );
    let mut command = program();
    command.args(["run", "--config", &write_as("toml", &config)]);
    let node = Process::start(command, "");
    let text = String::from_utf8(order()).unwrap();
    let plain = text.replace("Content-Length: 3", "Content-Length: 60000000");
    let chunks =
        text.replace("Content-Length: 3", "Transfer-Encoding: chunked").replace("\r\nyen", "\r\n800000\r\n");
    for (head, sent_bytes) in [(plain.replace("\r\nyen", "\r\n"), 600_000), (chunks, 600_000)] {
        let mut client = Client::connect(node.address, Default::default());
        // The client goes on sending although the answer has been sent.
        client.stream.write_all(head.as_bytes()).unwrap();
        client.stream.write_all(&vec![b'x'; sent_bytes]).unwrap();
        assert_eq!(client.answer().status(), 413);
        assert!(client.ended());
    }
    assert_eq!(server.count(), 0);
}

#[test]
fn incomplete_requests_time_out() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::new(&[ready("a", &server)]);
    let start = Instant::now();
    let (mut silent, mut slow, mut incomplete_body, mut idle_after_request) =
        (node.client(), node.client(), node.client(), node.client());
    slow.send(b"GET /view/1 HTTP/1.1\r\nHost: o");
    incomplete_body.send(&order()[..order().len() - 1]);
    assert_eq!(idle_after_request.ask(&view()).status(), 200);
    assert_eq!(incomplete_body.answer().status(), 408);
    assert!(silent.ended() && slow.ended() && incomplete_body.ended() && idle_after_request.ended());
    assert!(
        start.elapsed() < Duration::from_secs(10),
        "connections end long before the deadline of the class"
    );
    assert_eq!(server.count(), 1);
}

#[test]
fn sighup_moves_watch_to_new_address() {
    let (one, two) = (Server::new(|_, _| Act::Wait), Server::new(|_, _| ok("two")));
    let node = Node::new(&[ready("a", &one)]);
    let mut watch = Watch::accept(&node.discovery);
    watch.changes(57, &[]);
    let mut waiting = node.client();
    waiting.send(&request("POST", "/order/1", "9", "", "yen"));
    one.request();
    // This file is not valid: the node keeps its previous configuration.
    node.process.reconfigure("{\"name\": 3}");
    watch.changes(58, &[target("a", one.address, 1, "draining"), ready("b", &two)]);
    while node.client().ask(&view()).status() != 200 {}
    // The first request is still open: it keeps its server and its client.
    let elsewhere = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    node.process.reconfigure(&node.config_with(&elsewhere));
    let mut moved = Watch::accept(&elsewhere);
    assert_eq!(moved.request.first, "GET /catalog/members?watch=1&from=58 HTTP/1.1");
    assert_eq!(node.client().ask(&view()).body, b"two", "the list is kept");
    moved.changes(59, &[target("b", two.address, 1, "gone")]);
    two.ended();
    assert_eq!(waiting.answer().status(), 504);
}

/// A list service that is shared by a hundred nodes answers their calls in turn: the first call waits, and is
/// not given up for a second one, which would have to wait behind it.
#[test]
fn call_to_busy_list_service_is_not_repeated() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::subscribing(&[]);
    let mut watch = Watch::accept_in_turn(&node.discovery, Duration::from_millis(1500));
    watch.changes(42, &[ready("a", &server)]);
    let served = || node.client().ask(&view()).status() == 200;
    wait_for("the requested list", served);
    node.discovery.set_nonblocking(true).unwrap();
    assert!(node.discovery.accept().is_err(), "no second call");
}

#[test]
fn idle_clients_do_not_block_others() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::with_socket_limit(&[ready("a", &server)], 64);
    let idle_clients: Vec<Client> = (0..200).map(|_| node.client()).collect();
    // Requests may be refused until idle connections have been closed, but they are answered, and finally
    // served.
    let served = (0..1000).any(|_| node.client().ask(&view()).status() == 200);
    assert!(served);
    drop(idle_clients);
}

#[test]
fn new_connection_is_kept_until_first_request() {
    let server = Server::new(|_, _| Act::Wait);
    let node = Node::with_socket_limit(&[ready("a", &server)], 64);
    // As many busy clients as the node serves, and some more: there is no other idle connection to close.
    let mut clients: Vec<Client> = (0..30).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&request("GET", "/view/1", "3", "", "")));
    let mut new_clients: Vec<Client> = (0..8).map(|_| node.client()).collect();
    new_clients.iter_mut().for_each(|client| client.send(&request("GET", "/view/1", "9", "", "")));
    for client in clients.iter_mut().chain(&mut new_clients) {
        assert_eq!(client.answer().status(), 503);
    }
}

#[test]
fn connections_close_with_answers_under_load() {
    let server = Server::new(|_, _| Act::Wait);
    let node = Node::with_socket_limit(&[ready("a", &server)], 128);
    let mut clients: Vec<Client> = (0..40).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&request("GET", "/view/1", "9", "", "")));
    // There is room for half as many again; but a connection without a request would take the place of
    // another client.
    let mut more = node.client();
    assert_eq!(more.ask(b"GET /_health HTTP/1.1\r\nHost: n\r\n\r\n").header("connection"), Some("close"));
    assert!(more.ended());
}

#[test]
fn partial_request_survives_many_connections() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::with_socket_limit(&[ready("a", &server)], 128);
    let mut slow = node.client();
    assert_eq!(slow.ask(&view()).body, b"slip");
    let text = request("GET", "/view/slow", "9", "", "");
    slow.send(&text[..30]);
    rested();
    rested();
    let _other_clients: Vec<Client> = (0..50).map(|_| node.client()).collect();
    // This client was accepted after the others, so connections have been closed for them by now.
    let health = b"GET /_health HTTP/1.1\r\nHost: n\r\n\r\n";
    assert_eq!(node.client().ask(health).status(), 200);
    slow.send(&text[30..]);
    assert_eq!(slow.answer().body, b"slip");
}

#[test]
fn node_survives_descriptor_exhaustion() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::with_descriptor_limit(&[ready("a", &server)], 48);
    let idle_clients: Vec<Client> = (0..100).map(|_| node.client()).collect();
    assert!((0..1000).any(|_| node.client().ask(&view()).status() == 200));
    drop(idle_clients);
}

#[test]
fn sigterm_answers_requests_and_closes_connections() {
    let server = Server::new(|count, _| if count == 1 { Act::Wait } else { ok("slip") });
    let mut node = Node::new(&[ready("a", &server)]);
    let (mut kept_alive, mut waiting) = (node.client(), node.client());
    assert_eq!(kept_alive.ask(&view()).status(), 200);
    waiting.send(&order());
    server.request();
    server.request();
    node.process.terminate();
    // The node gets the signal about now: it still serves, and announces when it closes the connection.
    loop {
        let answer = kept_alive.ask(&view());
        assert_eq!(answer.status(), 200);
        if answer.header("connection") == Some("close") {
            break;
        }
    }
    assert!(kept_alive.ended());
    // The node ends before the deadline of the order; it answers that as failed, and not with a closed
    // connection.
    assert_eq!(waiting.answer().status(), 504);
    assert!(node.process.exit().success());
    assert!(TcpStream::connect(node.address).is_err());
}

#[test]
fn invalid_configuration_is_reported_in_one_line() {
    let unset = || program().env_remove("GW_CONFIG").spawn().unwrap();
    let missing_file = || program().env("GW_CONFIG", "/nowhere/config.json").spawn().unwrap();
    for mut child in [unset(), missing_file(), start(""), start("{}"), start("{\"name\": 3}")] {
        let mut log = String::new();
        child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
        assert_eq!(log.lines().count(), 1, "{log}");
        assert!(!child.wait().unwrap().success());
    }
}

/// Runs a command to its end; returns whether it succeeded, and the text on both of its output streams.
fn run_command(arguments: &[&str]) -> (bool, String, String) {
    let output = program().env_remove("GW_CONFIG").args(arguments).stdout(Stdio::piped()).output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (output.status.success(), text(output.stdout), text(output.stderr))
}

#[test]
fn toml_configuration_is_checked_and_used() {
    let server = Server::new(|_, _| ok("slip"));
    let valid = format!(
        "name = \"own\"\nlisten = \"127.0.0.1:0\"\n[roster]\nfrom = \"fixed\"\n\
         servers = [{{ uid = \"a\", endpoint = \"{}\" }}]\n\
         [[classes]]\nname = \"view\"\neffect = \"safe\"\ndeadline = \"9s\"\n",
        server.address
    );
    let path = write_as("toml", &valid);
    let (succeeded, output, _) = run_command(&["check", &path]);
    assert!(succeeded && output.contains("1 classes"), "{output}");
    let mut command = program();
    command.args(["run", "--config", &path]);
    let mut process = Process::start(command, "");
    let mut client = Client::connect(process.address, Default::default());
    assert_eq!(client.ask(b"GET /view/1 HTTP/1.1\r\nHost: n\r\n\r\n").body, b"slip");
    process.terminate();
    assert!(process.exit().success());
    assert_eq!(process.counted().served, 1);

    std::fs::write(&path, valid.replace("9s", "9 parsecs")).unwrap();
    for arguments in [&["check", &path][..], &["run", "--config", &path]] {
        let (succeeded, _, log) = run_command(arguments);
        assert!(!succeeded && log.lines().count() == 1, "{log}");
        assert!(log.contains(".toml:9: classes[0].deadline: invalid value: string \"9 parsecs\""), "{log}");
    }
    std::fs::write(&path, valid.replace("listen", "#")).unwrap();
    let (succeeded, _, log) = run_command(&["run", "--config", &path]);
    assert!(!succeeded && log.contains("listen: expected an address"), "{log}");
    let (succeeded, _, log) = run_command(&["check", "/nowhere/at.toml"]);
    assert!(!succeeded && log.starts_with("dunelink: /nowhere/at.toml: can't be read"), "{log}");
}

#[test]
fn demo_keeps_rules_and_reports_servers() {
    let (succeeded, output, log) = run_command(&["demo", "--seconds", "4", "--rate", "100"]);
    assert!(succeeded, "{log}\n{output}");
    for part in ["s-3 stalls", "s-5 drains", "s-9 starts cold", "answers by server: s-1 ", "ran twice: 0;"] {
        assert!(output.contains(part), "{output}");
    }
}
