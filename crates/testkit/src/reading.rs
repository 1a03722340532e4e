//! A request has one reading: what any common server could read otherwise is turned down by every front, and what
//! goes on reaches the server as it came. Tables of targets and of messages, sent byte by byte.

use crate::conformance::{Node, Subject};
use crate::peers::*;

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It reaches a server as it is.
    Goes,
    /// It is turned down with this status, and no server hears of it.
    Down(u16),
}
use Fate::{Down, Goes};

/// Targets of a request of the safe class `view`, beside the unsafe `order`.
pub const TARGETS: [(&str, Fate); 60] = [
    ("/view/7f3a", Goes),
    ("/view", Goes),
    ("/view/", Goes),
    ("/view/7f3a?x=1&y=../order", Goes),
    ("/view/7f3a?", Goes),
    ("/view//7f3a", Goes),
    ("/view/a%2Fb", Goes),
    ("/view/a;v=1", Goes),
    ("/view/100%25", Goes),
    ("/view/%E7%B5%A6%E4%B8%8E", Goes),
    ("/view/a..b/.c", Goes),
    ("/view/{x}|^", Goes),
    ("/view/x?a=[{b:1}]", Goes),
    ("/view/~a:b@c,d=e+f", Goes),
    ("/view/..", Down(400)),
    ("/view/.", Down(400)),
    ("/view/../order/x", Down(400)),
    ("/view/./../order/x", Down(400)),
    ("/./order/x", Down(400)),
    ("/../order/x", Down(400)),
    ("/view/%2e%2e/order/x", Down(400)),
    ("/view/%2E%2E/order/x", Down(400)),
    ("/view/%2e./order/x", Down(400)),
    ("/view/.%2e/order/x", Down(400)),
    ("/view/..%2forder/x", Down(400)),
    ("/view/%2e%2e%2forder%2fx", Down(400)),
    ("/view/%252e%252e/order/x", Down(400)),
    ("/view/%25252e%25252e/order/x", Down(400)),
    ("/view/%25%32%65%2e/order/x", Down(400)),
    ("/view/..;/order/x", Down(400)),
    ("/view/..;a=1/order/x", Down(400)),
    ("/view/..%3b/order/x", Down(400)),
    ("/view/..%00/order/x", Down(400)),
    ("/view/..%20/order/x", Down(400)),
    ("/view/...", Down(400)),
    ("/view/..\\order\\x", Down(400)),
    ("/view\\..\\order", Down(400)),
    ("/view/..%5corder", Down(400)),
    ("/view/%C2%A5..", Down(400)),
    ("/view/%EF%BC%8E%EF%BC%8E/order/x", Down(400)),
    ("/view/..%EF%BC%8Forder", Down(400)),
    ("/view/%c0%ae%c0%ae/order/x", Down(400)),
    ("/view/%c0%af..%c0%aforder", Down(400)),
    ("/view/%E9", Down(400)),
    ("/view/%ff", Down(400)),
    ("/view/a%00", Down(400)),
    ("/view/a%0d%0aX:%20y", Down(400)),
    ("/view/%", Down(400)),
    ("/view/%4", Down(400)),
    ("/view/%zz", Down(400)),
    ("/view/%u002e%u002e/order", Down(400)),
    ("/view/\u{e9}", Down(400)),
    ("/view/x?\u{e9}", Down(400)),
    ("//order/x", Down(400)),
    ("//view/x", Down(400)),
    ("/%76iew/x", Down(400)),
    ("/view;a=1/x", Down(400)),
    ("/view%2fx", Down(400)),
    ("/view%00/x", Down(400)),
    ("/VIEW/x", Down(404)),
];

/// Targets of other forms, and others that do not begin with a class.
pub const FORMS: [(&str, &str, Fate); 9] = [
    ("GET", "http://origin.svc/view/x", Goes),
    ("GET", "http://ORIGIN.svc:80/view/x", Goes),
    ("GET", "http://other.svc/view/x", Down(400)),
    ("GET", "http://origin.svc:81/view/x", Down(400)),
    ("GET", "http://me@origin.svc/view/x", Down(400)),
    ("GET", "ftp://origin.svc/view/x", Down(400)),
    ("OPTIONS", "*", Down(400)),
    ("CONNECT", "origin.svc:443", Down(400)),
    ("GET", "/", Down(404)),
];

/// Asks with these bytes on a connection of its own; notes what became of it if that is not its fate.
fn check<S: Subject>(
    node: &Node<S>,
    server: &Server,
    wrong: &mut Vec<String>,
    what: &str,
    bytes: &[u8],
    fate: Fate,
) {
    let before = server.count();
    let status = node.client().ask(bytes).status();
    let reached = server.count() - before;
    let (wanted, more) = match fate {
        Goes => (200, 1),
        Down(status) => (status, 0),
    };
    // What a server reads is what was said, not another path.
    let own = String::from_utf8_lossy(bytes).lines().next().unwrap_or_default().replacen(
        "http://origin.svc/",
        "/",
        1,
    );
    let own = own.replacen("http://ORIGIN.svc:80/", "/", 1);
    let said: Vec<String> = (0..reached).map(|_| server.request().1.first).collect();
    if !said.iter().all(|said| *said == own) {
        wrong.push(format!("{what}: the server read {said:?}"));
    }
    if (status, reached) != (wanted, more) {
        wrong.push(format!("{what}: {status} and {reached} sent, not {wanted} and {more}"));
    }
}

/// A target that a server could read otherwise is turned down, and any other goes on as it is.
pub fn a_target_that_a_server_could_read_otherwise_is_turned_down<S: Subject>() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::<S>::new(&[ready("a", &server)]);
    let mut wrong = Vec::new();
    for (target, fate) in TARGETS {
        check(&node, &server, &mut wrong, target, &request("GET", target, "9", "", ""), fate);
    }
    for (method, target, fate) in FORMS {
        check(&node, &server, &mut wrong, target, &request(method, target, "9", "", ""), fate);
    }
    assert!(wrong.is_empty(), "{}: {wrong:#?}", wrong.len());
}

/// A request's lines without some, and with others.
fn edited(bytes: Vec<u8>, without: &str, more: &str) -> Vec<u8> {
    let text = String::from_utf8(bytes).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    let kept = head.split("\r\n").filter(|line| without.is_empty() || !line.starts_with(without));
    let lines: Vec<&str> = kept.chain(more.split("\r\n").filter(|line| !line.is_empty())).collect();
    format!("{}\r\n\r\n{body}", lines.join("\r\n")).into_bytes()
}

/// A field that gives a request another meaning is turned down.
pub fn a_field_that_gives_a_request_another_meaning_is_turned_down<S: Subject>() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::<S>::new(&[ready("a", &server)]);
    let mut wrong = Vec::new();
    let chunks = "Transfer-Encoding: chunked\r\nContent-Type: text/plain";
    let table = [
        ("no host", view(), "Host", "", Down(400)),
        ("two hosts", view(), "", "Host: other.svc", Down(400)),
        ("the same host twice", view(), "", "Host: origin.svc", Down(400)),
        ("a host that is none", view(), "Host", "Host: origin.svc/order", Down(400)),
        ("a host with a user", view(), "Host", "Host: me@origin.svc", Down(400)),
        ("a host with a port in words", view(), "Host", "Host: origin.svc:http", Down(400)),
        ("two hosts in one", view(), "Host", "Host: origin.svc, other.svc", Down(400)),
        ("an empty host", view(), "Host", "Host:", Goes),
        ("a host by its number", view(), "Host", "Host: [::1]:8443", Goes),
        ("two owners", view(), "", "Req-Owner: other", Down(400)),
        ("an owner that is no text", view(), "Req-Owner", "Req-Owner: \u{e9}", Down(400)),
        ("two keys", submit(), "", "Idempotency-Key: 5c0f6e1b", Down(400)),
        ("a key twice", submit(), "", "Idempotency-Key: 5c0f6e1a", Down(400)),
        ("two deadlines", view(), "", "Req-Deadline: 3", Down(400)),
        ("two costs", view(), "", "Req-Cost: 3\r\nReq-Cost: 4", Down(400)),
        ("two credentials", view(), "", "Authorization: a\r\nAuthorization: b", Down(400)),
        ("two languages", view(), "", "Accept-Language: ja\r\nAccept-Language: en", Goes),
        ("another's id", view(), "", "Req_Id: 7", Down(400)),
        ("another's owner", view(), "", "req_owner: other", Down(400)),
        ("another's key", submit(), "", "Idempotency_Key: 7", Down(400)),
        ("another length", order(), "", "Content_Length: 0", Down(400)),
        ("a name like no other", view(), "", "x_note: 1", Goes),
        ("another target", view(), "", "X-Original-URL: /order/7f3a", Down(400)),
        ("another target yet", view(), "", "X-Rewrite-Url: /order/7f3a", Down(400)),
        ("its own target", view(), "", "X-Original-URL: /view/7f3a?x=1", Goes),
        ("another method", view(), "", "X-HTTP-Method-Override: POST", Down(400)),
        ("its own method", view(), "", "X-HTTP-Method-Override: GET", Goes),
        ("chunks twice", order(), "Content-Length", "Transfer-Encoding: chunked, chunked", Down(400)),
        (
            "chunks in two lines",
            order(),
            "Content-Length",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
            Down(400),
        ),
        ("chunks in a coding", order(), "Content-Length", "Transfer-Encoding: gzip, chunked", Down(400)),
        ("a coding that is none", order(), "Content-Length", "Transfer-Encoding: identity", Down(400)),
        ("a length that is none", order(), "Content-Length", "Content-Length: 3, 3", Down(400)),
        ("a length with a sign", order(), "Content-Length", "Content-Length: +3", Down(400)),
        ("an expectation", view(), "", "Expect: a-miracle", Down(417)),
        (
            "an upgrade",
            view(),
            "",
            "Connection: upgrade\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__",
            Goes,
        ),
        ("a blank before the colon", view(), "", "X-Note : 1", Down(400)),
        ("a folded line", view(), "", "X-Note: 1\r\n 2", Down(400)),
        ("a body with a safe class", view(), "", "Content-Length: 3", Down(400)),
        ("another version", edited(view(), "GET", ""), "", "", Down(400)),
    ];
    for (what, bytes, without, more, fate) in table {
        let mut bytes = edited(bytes, without, more);
        if what == "a body with a safe class" {
            bytes.extend(b"yen");
        }
        check(&node, &server, &mut wrong, what, &bytes, fate);
    }
    let chunked = [
        edited(request("POST", "/order/1", "9", "", ""), "Content-Length", chunks),
        b"3\r\nyen\r\n0\r\nX-Trailer: 1\r\n\r\n".to_vec(),
    ];
    check(&node, &server, &mut wrong, "chunks with a trailer", &chunked.concat(), Goes);
    assert!(wrong.is_empty(), "{}: {wrong:#?}", wrong.len());
}

/// A method that is not the class's is answered with the one that is (RFC 9110, 15.5.6).
pub fn a_wrong_method_is_told_the_right_one<S: Subject>() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::<S>::new(&[ready("a", &server)]);
    for (method, path, allow) in [
        ("POST", "/view/1", "GET"),
        ("HEAD", "/view/1", "GET"),
        ("TRACE", "/view/1", "GET"),
        ("DELETE", "/order/1", "POST"),
        ("GET", "/submit/1", "POST"),
    ] {
        let mut client = node.client();
        client.send(&request(method, path, "9", "", ""));
        let answer = client.head();
        assert_eq!((answer.status(), answer.header("allow")), (405, Some(allow)), "{method} {path}");
    }
    assert_eq!(server.count(), 0);
}

/// What a server is sent, byte by byte: the client's request without what concerned its connection alone.
pub fn what_goes_on_is_the_request_without_its_hop<S: Subject>() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::<S>::new(&[ready("a", &server)]);
    let hop = "Connection: keep-alive, X-Hop, Authorization, Cookie, Req-Owner, Host, Content-Type\r\nX-Hop: 1\r\n\
        Keep-Alive: timeout=5\r\nProxy-Connection: close\r\nTE: trailers\r\nTrailer: x-sum\r\nUpgrade: h2c\r\n\
        HTTP2-Settings: AAMAAABkAAQAAP__\r\n";
    let own = "Authorization: Bearer 7\r\nCookie: a=1; b=2\r\nContent-Type: text/plain\r\nX-Note: a\r\nX-Note: b\r\n\
        Max-Forwards: 3\r\nVia: 1.0 front\r\nIdempotency-Key: 5c0f\r\n";
    let bytes =
        identified("9b1f03aa5c7e2d41", "POST", "/submit/7f3a?x=%20", "9", &format!("{hop}{own}"), "hours");
    assert_eq!(node.client().ask(&bytes).status(), 200);
    let (_, message) = server.request();
    assert_eq!(message.body, b"hours");
    let text = String::from_utf8(message.raw).unwrap();
    let (first, fields) = text.split_once("\r\n").unwrap();
    assert_eq!(first, "POST /submit/7f3a?x=%20 HTTP/1.1");
    let mut fields: Vec<&str> =
        fields.split("\r\n").filter(|line| !line.is_empty() && !line.starts_with("req-deadline: ")).collect();
    fields.sort_unstable();
    let wanted = [
        "authorization: Bearer 7",
        "content-length: 5",
        "content-type: text/plain",
        "cookie: a=1; b=2",
        "host: origin.svc",
        "idempotency-key: 5c0f",
        "max-forwards: 3",
        "req-id: 9b1f03aa5c7e2d41",
        "req-owner: acme",
        "via: 1.0 front",
        "via: 1.1 dunelink",
        "x-note: a",
        "x-note: b",
    ];
    assert_eq!(fields, wanted);
}

/// What a client is told, byte by byte: the server's answer without what concerned its connection alone, in the
/// node's own version and framing.
pub fn what_comes_back_is_the_answer_without_its_hop<S: Subject>() {
    let answers = [
        "HTTP/1.1 200 OK\r\nConnection: X-Hop, Set-Cookie\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\nUpgrade: h2c\r\n\
         Set-Cookie: a=1\r\nTrailer: x-sum\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nslip\r\n0\r\nX-Sum: 1\r\n\r\n",
        "HTTP/1.0 200 OK\r\nSet-Cookie: a=1\r\nContent-Length: 4\r\n\r\nslip",
        "HTTP/1.1 200 OK\r\nSet-Cookie: a=1\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nslip",
    ];
    for bytes in answers {
        let server = Server::new(move |_, _| Act::SayAndClose(bytes.into()));
        let node = Node::<S>::new(&[ready("a", &server)]);
        let answer = node.client().ask(&view());
        assert_eq!((answer.first.as_str(), &answer.body[..]), ("HTTP/1.1 200 OK", &b"slip"[..]));
        let text = String::from_utf8(answer.raw).unwrap();
        let mut fields: Vec<&str> = text
            .split("\r\n")
            .skip(1)
            .filter(|line| !line.is_empty() && !line.starts_with("date: "))
            .collect();
        fields.sort_unstable();
        assert_eq!(fields, ["content-length: 4", "set-cookie: a=1"], "{bytes}");
    }
}

/// Only a server's clear word proves that nothing ran.
pub fn only_a_servers_clear_word_proves_that_nothing_ran<S: Subject>() {
    let unclear = [
        answer(503, "Srv-Declined: 1\r\nSrv-Declined: 0\r\n", ""),
        answer(503, "Srv-Declined: 1\r\nSrv-Declined: 1\r\n", ""),
        answer(503, "Srv-Declined: 01\r\n", ""),
        answer(503, "Srv_Declined: 1\r\n", ""),
        answer(500, "Srv-Declined: 1\r\n", ""),
        b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npaid\r\n0\r\n\r\n".to_vec(),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked\r\n\r\n4\r\npaid\r\n0\r\n\r\n".to_vec(),
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\npaid!".to_vec(),
        answer(204, "", ""),
        answer(206, "", "paid"),
    ];
    for bytes in unclear {
        let what = String::from_utf8_lossy(&bytes).into_owned();
        let server = Server::new(move |_, _| Act::SayAndClose(bytes.clone()));
        let node = Node::<S>::new(&[ready("a", &server)]);
        assert_eq!(node.client().ask(&order()).status(), 502, "{what}");
        assert_eq!(server.count(), 1, "{what}");
    }
}
