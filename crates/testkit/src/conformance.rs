//! What every front of a node has to do, once for all of them: the same answers, and the same counts of what was
//! served, refused and failed. Cases talk to a [`Subject`] over loopback sockets, against scripted peers.
//!
//! What only the daemon has (framing, crowds of connections, signals, its exit) is tested there, by name.

use std::collections::{HashMap, HashSet};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::Value;

pub use crate::long::*;
use crate::peers::*;
pub use crate::reading::*;

/// A node with some front that listens on loopback.
pub trait Subject {
    /// Starts it by a configuration in the platform's form.
    fn start(config: &Value) -> Self;
    /// Starts it by the same with more of a node's own settings in TOML, and with every HTTP answer a server's.
    fn start_with(config: &Value, more: &str) -> Self;
    /// Where its front listens.
    fn address(&self) -> SocketAddr;
    /// Ends it, and tells what it counted.
    fn end(&mut self) -> Answers;
}

/// A subject with its discovery. When it goes, its own counts must be those of its clients.
pub struct Node<S: Subject> {
    /// Where it looks for its list of servers.
    pub discovery: TcpListener,
    answers: Arc<Mutex<Answers>>,
    /// Whether what its clients count by status is what it counts.
    counts: bool,
    subject: S,
}

impl<S: Subject> Node<S> {
    /// A node that knows these servers.
    pub fn new(targets: &[Value]) -> Node<S> {
        Node::of(targets, true, S::start)
    }

    /// The same, with more of a node's own settings. What is served then need not be a 200.
    pub fn with(targets: &[Value], more: &str) -> Node<S> {
        Node::of(targets, false, |config| S::start_with(config, more))
    }

    fn of(targets: &[Value], counts: bool, start: impl FnOnce(&Value) -> S) -> Node<S> {
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let subject = start(&config(discovery.local_addr().unwrap(), targets, 1024));
        Node { discovery, answers: Arc::default(), counts, subject }
    }

    /// Where its front listens.
    pub fn address(&self) -> SocketAddr {
        self.subject.address()
    }

    /// A client's connection to it.
    pub fn client(&self) -> Client {
        Client::connect(self.subject.address(), self.answers.clone())
    }
}

impl<S: Subject> Drop for Node<S> {
    fn drop(&mut self) {
        let counted = self.subject.end();
        if self.counts && !std::thread::panicking() {
            assert_eq!(counted, *self.answers.lock().unwrap(), "the node counts what its clients saw");
        }
    }
}

/// Makes a test of each case, for a subject.
#[macro_export]
macro_rules! conformance {
    ($subject:ty) => {
        $crate::conformance!(spread $subject);
        $crate::conformance!($subject;
            a_request_goes_on_unchanged_and_connections_are_used_again,
            what_must_not_run_twice_avoids_kept_connections_once_one_broke,
            a_long_answer_is_passed_on_whole_whatever_its_form,
            idle_connections_to_a_server_that_fell_silent_are_not_trusted
        );
    };
    // For a subject that spreads its calls over several engines: all but those cases that count on two of a client's
    // calls meeting the same connections to servers.
    (spread $subject:ty) => {
        $crate::conformance!($subject;
            a_bad_request_is_the_clients_to_mend_and_is_never_sent,
            an_id_belongs_to_one_open_request_at_a_time,
            an_unknown_tenant_counts_as_none,
            a_request_whose_time_is_up_is_answered_and_not_sent,
            a_silent_server_does_not_keep_the_answer_past_the_deadline,
            an_unsafe_request_that_may_have_run_is_not_sent_again_nor_refused,
            an_unsafe_request_that_never_ran_goes_elsewhere,
            a_refused_connection_proves_that_nothing_ran,
            a_keyed_request_goes_again_only_within_its_pod,
            a_key_goes_on_whatever_the_client_says_of_its_connection,
            an_idle_connection_that_the_server_closed_is_not_used,
            half_an_answer_is_not_passed_on,
            an_answer_that_does_not_say_where_it_ends_may_be_half_of_one,
            an_answer_that_comes_to_no_end_is_a_failed_attempt_soon,
            hints_and_load_reports_do_not_spoil_an_answer,
            what_comes_behind_an_answer_is_not_the_next_ones,
            a_connection_rests_before_its_next_request,
            a_client_that_leaves_takes_its_attempt_along,
            nothing_new_goes_to_a_server_that_drains_and_idle_connections_to_it_end,
            a_server_that_moves_is_met_at_its_new_address,
            a_server_that_started_anew_has_forgotten_its_connections,
            a_watch_that_ends_or_speaks_garbage_is_begun_anew_from_where_it_was,
            what_was_never_sent_is_refused_early_and_told_to_come_back_later,
            a_target_that_a_server_could_read_otherwise_is_turned_down,
            a_field_that_gives_a_request_another_meaning_is_turned_down,
            a_wrong_method_is_told_the_right_one,
            what_goes_on_is_the_request_without_its_hop,
            what_comes_back_is_the_answer_without_its_hop,
            only_a_servers_clear_word_proves_that_nothing_ran,
            a_long_answer_is_not_held_back_nor_cut_off,
            a_short_answer_may_come_slowly,
            a_long_answer_that_breaks_off_does_not_look_whole,
            a_slow_reader_holds_its_server_back,
            a_long_request_is_passed_on_whole_whatever_its_form,
            a_long_requests_time_counts_from_its_last_byte,
            a_long_request_that_breaks_off_has_not_run,
            a_long_request_goes_elsewhere_until_some_of_it_is_gone,
            a_long_request_that_can_not_be_served_is_answered_at_once,
            any_split_of_a_message_means_the_same
        );
    };
    ($subject:ty; $($case:ident),*) => {
        $(
            #[test]
            fn $case() {
                $crate::conformance::$case::<$subject>();
            }
        )*
    };
}

/// A request goes on unchanged and connections are used again.
pub fn a_request_goes_on_unchanged_and_connections_are_used_again<S: Subject>() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::<S>::new(&[ready("a", &server)]);
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

/// A bad request is the clients to mend and is never sent.
pub fn a_bad_request_is_the_clients_to_mend_and_is_never_sent<S: Subject>() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::<S>::new(&[ready("a", &server)]);
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
        ("a large body with a GET", request("GET", "/view/1", "1", "Content-Length: 65537\r\n", &large)),
        ("large headers", request("GET", "/view/1", "1", &format!("X: {large}\r\n"), "")),
    ];
    for (what, bytes) in bad {
        let status = node.client().ask(&bytes).status();
        assert!((400..500).contains(&status) && status != 429, "{what}: {status}");
    }
    assert_eq!(node.client().ask(&view()).status(), 200);
    assert_eq!(server.count(), 1, "only the good one was sent");
}

/// An id belongs to one open request at a time.
pub fn an_id_belongs_to_one_open_request_at_a_time<S: Subject>() {
    let server = Server::new(|count, _| if count == 0 { Act::Wait } else { ok("slip") });
    let node = Node::<S>::new(&[ready("a", &server)]);
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

/// An unknown tenant counts as none.
pub fn an_unknown_tenant_counts_as_none<S: Subject>() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::<S>::new(&[ready("a", &server)]);
    let text = String::from_utf8(view()).unwrap().replace("acme", "stranger");
    assert_eq!(node.client().ask(text.as_bytes()).status(), 200);
}

/// A request whose time is up is answered and not sent.
pub fn a_request_whose_time_is_up_is_answered_and_not_sent<S: Subject>() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::<S>::new(&[ready("a", &server)]);
    for deadline in ["0", "-1.5", "0.001"] {
        assert_eq!(node.client().ask(&request("GET", "/view/1", deadline, "", "")).status(), 503);
    }
    assert_eq!(server.count(), 0);
}

/// A silent server does not keep the answer past the deadline.
pub fn a_silent_server_does_not_keep_the_answer_past_the_deadline<S: Subject>() {
    let server = Server::new(|_, _| Act::Wait);
    let node = Node::<S>::new(&[ready("a", &server)]);
    // A repeat of the safe one is harmless; nothing can be promised of the unsafe one.
    assert_eq!(node.client().ask(&request("GET", "/view/1", "2", "", "")).status(), 503);
    assert_eq!(node.client().ask(&request("POST", "/order/1", "2", "", "yen")).status(), 504);
}

/// An unsafe request that may have run is not sent again nor refused.
pub fn an_unsafe_request_that_may_have_run_is_not_sent_again_nor_refused<S: Subject>() {
    let acts = [
        Act::SayAndClose(Vec::new()),
        Act::SayAndClose(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_vec()),
        Act::SayAndClose(b"garbage\r\n\r\n".to_vec()),
        Act::Say(answer(500, "", "")),
        // Only a server that says so has not run it.
        Act::Say(answer(503, "", "")),
        Act::Say(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx".to_vec()),
    ];
    for act in acts {
        let server = Server::new(move |_, _| act.clone());
        let other = Server::new(|_, _| Act::SayAndClose(Vec::new()));
        let node = Node::<S>::new(&[ready("a", &server), ready("b", &other)]);
        assert_eq!(node.client().ask(&order()).status(), 502);
        assert_eq!(server.count() + other.count(), 1);
    }
}

/// An unsafe request that never ran goes elsewhere.
pub fn an_unsafe_request_that_never_ran_goes_elsewhere<S: Subject>() {
    let turns = Arc::new(AtomicUsize::new(0));
    let server = |turns: Arc<AtomicUsize>| {
        Server::new(move |_, _| match turns.fetch_add(1, Ordering::SeqCst) {
            0 => Act::Say(answer(503, "Srv-Declined: 1\r\n", "")),
            _ => ok("paid"),
        })
    };
    let (one, two) = (server(turns.clone()), server(turns));
    let node = Node::<S>::new(&[ready("a", &one), ready("b", &two), target("c", nobody(), 1, "ready")]);
    let answer = node.client().ask(&order());
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"paid"[..]));
}

/// A refused connection proves that nothing ran.
pub fn a_refused_connection_proves_that_nothing_ran<S: Subject>() {
    let node = Node::<S>::new(&[target("a", nobody(), 1, "ready")]);
    assert_eq!(node.client().ask(&request("POST", "/order/1", "2", "", "yen")).status(), 503);
}

/// A keyed request goes again only within its pod.
pub fn a_keyed_request_goes_again_only_within_its_pod<S: Subject>() {
    let turns = Arc::new(AtomicUsize::new(0));
    let server = |turns: Arc<AtomicUsize>| {
        Server::new(move |_, _| match turns.fetch_add(1, Ordering::SeqCst) {
            0 => Act::SayAndClose(Vec::new()),
            _ => ok("noted"),
        })
    };
    let servers: Vec<Server> = (0..4).map(|_| server(turns.clone())).collect();
    let entry = |(i, s): (usize, &Server)| target(&format!("s-{i}"), s.address, i as u16 / 2, "ready");
    let node = Node::<S>::new(&servers.iter().enumerate().map(entry).collect::<Vec<_>>());
    assert_eq!(node.client().ask(&submit()).status(), 200);
    let pods = [0, 1].map(|pod| servers[2 * pod].count() + servers[2 * pod + 1].count());
    assert!(pods == [2, 0] || pods == [0, 2], "{pods:?}");
}

/// A key goes on whatever the client says of its connection.
pub fn a_key_goes_on_whatever_the_client_says_of_its_connection<S: Subject>() {
    let server = Server::new(|_, _| ok("noted"));
    let node = Node::<S>::new(&[ready("a", &server)]);
    let more =
        "Idempotency-Key: 5c0f\r\nConnection: keep-alive, Idempotency-Key, Req-Id, X-Hop\r\nX-Hop: 1\r\n";
    assert_eq!(node.client().ask(&request("POST", "/submit/1", "9", more, "x")).status(), 200);
    let (_, request) = server.request();
    assert_eq!(request.header("idempotency-key"), Some("5c0f"));
    assert!(request.header("req-id").is_some());
    assert_eq!(request.header("x-hop"), None);
}

/// An idle connection that the server closed is not used.
pub fn an_idle_connection_that_the_server_closed_is_not_used<S: Subject>() {
    let server = Server::new(|_, _| Act::SayAndClose(answer(200, "", "paid")));
    let node = Node::<S>::new(&[ready("a", &server)]);
    for number in 0..3 {
        assert_eq!(node.client().ask(&order()).status(), 200);
        assert_eq!(server.request().0, number);
        assert_eq!(server.ended(), number);
    }
}

/// Half an answer is not passed on.
pub fn half_an_answer_is_not_passed_on<S: Subject>() {
    let turns = AtomicUsize::new(0);
    let server = Server::new(move |_, _| match turns.fetch_add(1, Ordering::SeqCst) {
        0 => Act::SayAndClose(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_vec()),
        _ => ok("whole"),
    });
    let node = Node::<S>::new(&[ready("a", &server)]);
    assert_eq!(node.client().ask(&view()).body, b"whole");
}

/// An answer that does not say where it ends may be half of one.
pub fn an_answer_that_does_not_say_where_it_ends_may_be_half_of_one<S: Subject>() {
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
        let node = Node::<S>::new(&[ready("a", &server)]);
        assert_eq!(node.client().ask(&view()).body, b"whole", "{head}");
    }
}

/// An answer that comes to no end is a failed attempt soon.
pub fn an_answer_that_comes_to_no_end_is_a_failed_attempt_soon<S: Subject>() {
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
        let node = Node::<S>::new(&[ready("a", &server)]);
        let began = Instant::now();
        assert_eq!(node.client().ask(&order()).status(), 502, "{}", String::from_utf8_lossy(bytes));
        assert!(began.elapsed() < Duration::from_secs(10), "long before its deadline");
        assert_eq!((server.ended(), server.count()), (0, 1));
    }
}

/// Hints and load reports do not spoil an answer.
pub fn hints_and_load_reports_do_not_spoil_an_answer<S: Subject>() {
    let hints = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n".to_vec();
    let server = Server::new(move |_, _| {
        let answer = answer(200, "Srv-Load: TEXT inflight=\u{fffd}, =,=%%\r\n", "paid");
        Act::SayMore(hints.clone(), Duration::from_secs(1), answer)
    });
    let node = Node::<S>::new(&[ready("a", &server)]);
    assert_eq!(node.client().ask(&order()).body, b"paid");
}

/// What comes behind an answer is not the next ones.
pub fn what_comes_behind_an_answer_is_not_the_next_ones<S: Subject>() {
    // Told once what comes behind has been written: a busy machine may take longer over that than connections rest.
    let (tell, told) = channel();
    let tell = Mutex::new(tell);
    let server = Server::new(move |count, _| {
        let tell = tell.lock().unwrap().clone();
        Act::Write(Arc::new(move |stream| {
            drop(stream.write_all(&answer(200, "", &count.to_string())));
            std::thread::sleep(Duration::from_millis(2));
            drop(stream.write_all(&answer(200, "", "stale")));
            let _ = tell.send(());
        }))
    });
    let node = Node::<S>::new(&[ready("a", &server)]);
    let mut client = node.client();
    for count in 0..20 {
        assert_eq!(client.ask(&order()).body, count.to_string().into_bytes());
        told.recv_timeout(WITHIN).expect("what comes behind");
    }
}

/// A connection rests before its next request, so that what comes behind an answer shows.
pub fn a_connection_rests_before_its_next_request<S: Subject>() {
    let (answered, rests) = (Mutex::new(HashMap::new()), Arc::new(Mutex::new(Vec::new())));
    let seen = rests.clone();
    let server = Server::on(move |connection, _| {
        let mut answered = answered.lock().unwrap();
        seen.lock().unwrap().extend(answered.get(&connection).map(Instant::elapsed));
        answered.insert(connection, Instant::now());
        ok("slip")
    });
    let node = Node::<S>::new(&[ready("a", &server)]);
    let mut client = node.client();
    (0..40).for_each(|_| assert_eq!(client.ask(&view()).status(), 200));
    rested();
    assert_eq!(client.ask(&view()).status(), 200);
    let rests = rests.lock().unwrap();
    assert!(!rests.is_empty() && rests.iter().all(|rest| *rest >= Duration::from_millis(5)), "{rests:?}");
}

/// A client that leaves takes its attempt along.
pub fn a_client_that_leaves_takes_its_attempt_along<S: Subject>() {
    let server = Server::new(|_, _| Act::Wait);
    let node = Node::<S>::new(&[ready("a", &server)]);
    let mut client = node.client();
    client.send(&view());
    let (connection, _) = server.request();
    drop(client);
    assert_eq!(server.ended(), connection);
}

/// Nothing new goes to a server that drains and idle connections to it end.
pub fn nothing_new_goes_to_a_server_that_drains_and_idle_connections_to_it_end<S: Subject>() {
    let (one, two) = (Server::new(|_, _| ok("one")), Server::new(|_, _| ok("two")));
    let node = Node::<S>::new(&[ready("a", &one), target("b", two.address, 1, "draining")]);
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

/// A server that moves is met at its new address.
pub fn a_server_that_moves_is_met_at_its_new_address<S: Subject>() {
    let (old, new) = (Server::new(|_, _| ok("old")), Server::new(|_, _| ok("new")));
    let node = Node::<S>::new(&[ready("a", &old)]);
    let mut watch = Watch::accept(&node.discovery);
    assert_eq!(node.client().ask(&view()).body, b"old");
    watch.changes(42, &[ready("a", &new)]);
    assert_eq!(old.ended(), 0);
    assert_eq!(node.client().ask(&view()).body, b"new");
}

/// A server that started anew has forgotten its connections.
pub fn a_server_that_started_anew_has_forgotten_its_connections<S: Subject>() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::<S>::new(&[ready("a", &server)]);
    let mut watch = Watch::accept(&node.discovery);
    assert_eq!(node.client().ask(&view()).status(), 200);
    let mut again = ready("a", &server);
    again["boot_ms"] = 1.into();
    watch.changes(42, &[again]);
    assert_eq!(server.ended(), 0);
    assert_eq!(node.client().ask(&view()).status(), 200);
}

/// Idle connections to a server that fell silent are not trusted.
pub fn idle_connections_to_a_server_that_fell_silent_are_not_trusted<S: Subject>() {
    // Two requests at once leave two idle connections; then the server says nothing more on either.
    let both = Arc::new(std::sync::Barrier::new(2));
    let server = Server::new(move |count, _| match count {
        0 | 1 => {
            both.wait();
            ok("slip")
        }
        _ => Act::Wait,
    });
    let node = Node::<S>::new(&[ready("a", &server)]);
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

/// What must not run twice avoids kept connections once one broke.
pub fn what_must_not_run_twice_avoids_kept_connections_once_one_broke<S: Subject>() {
    // Kept connections break under their next request; new ones are fine.
    let met = std::sync::Mutex::new(HashSet::new());
    let server = Server::on(move |connection, _| match met.lock().unwrap().insert(connection) {
        true => ok("paid"),
        false => Act::SayAndClose(Vec::new()),
    });
    let node = Node::<S>::new(&[ready("a", &server)]);
    let mut client = node.client();
    let mut lost = 0;
    for _ in 0..5 {
        lost += usize::from(client.ask(&order()).status() != 200);
        rested();
    }
    assert_eq!(lost, 1, "the first that broke tells of the others");
}

/// A watch that ends or speaks garbage is begun anew from where it was.
pub fn a_watch_that_ends_or_speaks_garbage_is_begun_anew_from_where_it_was<S: Subject>() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::<S>::new(&[]);
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

/// What was never sent is refused early and told to come back later.
pub fn what_was_never_sent_is_refused_early_and_told_to_come_back_later<S: Subject>() {
    let server = Server::new(|_, _| Act::Wait);
    let node = Node::<S>::new(&[ready("a", &server)]);
    // More than the one server has room for: the others are held, and never sent.
    let mut clients: Vec<Client> = (0..8).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&request("GET", "/view/1", "6", "", "")));
    let answers: Vec<Message> = clients.iter_mut().map(|client| client.answer()).collect();
    let told = answers.iter().filter(|a| a.header("retry-after") == Some("2.000")).count();
    assert!(told > 0 && answers.iter().all(|a| a.status() == 503), "{answers:?}");
}
