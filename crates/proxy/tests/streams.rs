//! Event streams: forwarded immediately, aborted when the server breaks off, and resumed at another server if
//! the route allows.

mod common;

use std::cell::Cell;
use std::rc::Rc;

use common::server::{
    ReceivedRequest, Server, Step, chunk, event, last_chunk, rejected, respond, stream_head,
};
use common::{ProxyHarness, run, wait_until};
use tokio::sync::Notify;

/// The events `from..to`, each in a chunk of its own.
fn events(from: usize, to: usize) -> Vec<Step> {
    (from..to).map(|id| chunk(&event(id))).collect()
}

fn events_text(from: usize, to: usize) -> String {
    (from..to).map(event).collect()
}

/// Starts two servers. The first request that either of them receives is handled by `first`, all others by
/// `later`.
async fn start_two_servers(
    first: impl Fn(&ReceivedRequest) -> Vec<Step> + 'static,
    later: impl Fn(&ReceivedRequest) -> Vec<Step> + 'static,
) -> (Server, Server, ProxyHarness) {
    let first_request_seen = Rc::new(Cell::new(false));
    let script = Rc::new(
        move |request: &ReceivedRequest| {
            if first_request_seen.replace(true) { later(request) } else { first(request) }
        },
    );
    let (a, b) = (script.clone(), script);
    let server_1 = Server::start("i-1", move |_, request| a(request)).await;
    let server_2 = Server::start("i-2", move |_, request| b(request)).await;
    let harness = ProxyHarness::with_servers(&[&server_1, &server_2]).await;
    (server_1, server_2, harness)
}

/// Resumes the stream after the client's last event, up to the tenth event.
fn resume_stream(request: &ReceivedRequest) -> Vec<Step> {
    let last = request.header("last-event-id").map_or(0, |id| id.parse::<usize>().unwrap() + 1);
    [vec![stream_head("second")], events(last, 10), vec![last_chunk()]].concat()
}

#[test]
fn events_are_forwarded_immediately() {
    run(async {
        let release = Rc::new(Notify::new());
        let released = release.clone();
        let server_1 = Server::start("i-1", move |_, _| {
            let released = Step::Wait(released.clone());
            vec![
                stream_head("s"),
                chunk(&event(0)),
                released.clone(),
                chunk(&event(1)),
                released,
                last_chunk(),
            ]
        })
        .await;
        let harness = ProxyHarness::with_servers(&[&server_1]).await;
        for path in ["/flow/x", "/again/x"] {
            let mut client = harness.client().await;
            client.send_request(path, "a1").await;
            let head = client.read_head().await.unwrap();
            assert_eq!((head.status, head.header("x-dunelink-response-seal")), (200, Some("s")));
            assert_eq!(client.read_chunk().await.unwrap(), event(0));
            release.notify_one();
            assert_eq!(client.read_chunk().await.unwrap(), event(1));
            release.notify_one();
            assert_eq!(client.read_chunk().await.unwrap(), "");
            // The connection stays open.
            client.send_request(path, "a2").await;
            assert_eq!(client.read_head().await.unwrap().status, 200);
            client.read_chunk().await.unwrap();
        }
    });
}

#[test]
fn broken_stream_never_looks_complete() {
    run(async {
        for last_data in [event(1), "id: 1\nda".to_owned()] {
            let server_1 = Server::start("i-1", move |_, _| {
                vec![stream_head("s"), chunk(&event(0)), chunk(&last_data), Step::Close]
            })
            .await;
            let harness = ProxyHarness::with_servers(&[&server_1]).await;
            let mut client = harness.client().await;
            let response = client.call("/flow/x", "a1").await;
            assert!(!response.complete && response.status == 200);
            assert_eq!(server_1.count(), 1);
        }
    });
}

/// The head of a response without a length: it ends with its connection.
fn close_delimited_head(fields: &str) -> Step {
    Step::Write(format!(
        "HTTP/1.1 200 OK\r\nX-Dunelink-Request-Id: {{id}}\r\nX-Dunelink-Response-Seal: s\r\n{fields}Connection: close\r\n\r\n"
    ))
}

const EVENT_STREAM: &str = "Content-Type: text/event-stream\r\n";

/// Sends one request to a server that answers with this body, without a length, and closes the connection.
async fn call_close_delimited(path: &str, fields: &'static str, body: &str) -> common::client::Response {
    let body = body.to_owned();
    let server_1 = Server::start("i-1", move |_, _| {
        vec![close_delimited_head(fields), Step::Write(body.clone()), Step::Close]
    })
    .await;
    let harness = ProxyHarness::with_servers(&[&server_1]).await;
    let mut client = harness.client().await;
    client.send_request(path, "a1").await;
    client.read_response().await
}

/// Guards against ORDER: a stream without a length that a crashing server cut within an event reached the
/// client as a complete response.
#[test]
fn close_delimited_stream_cut_within_event_is_aborted() {
    run(async {
        for partial in ["id: 1", "id: 1\nda", "id: 1\ndata: piece 1\n", "id: 1\r\ndata: piece 1\r\n"] {
            for fields in [EVENT_STREAM, ""] {
                let response =
                    call_close_delimited("/flow/x", fields, &format!("{}{partial}", event(0))).await;
                assert!(!response.complete && response.status == 200, "{partial:?}");
                assert!(response.body.starts_with(&event(0)), "{partial:?}");
            }
        }
    });
}

/// Guards against MIXED: a response to an HTTP/1.0 client, which ends with its connection, was closed regularly
/// when its server broke off, and so looked complete.
#[test]
fn broken_stream_to_http_1_0_client_is_reset() {
    run(async {
        let server_1 = Server::start("i-1", |_, request| {
            let last_step = if request.head.contains("/flow/whole") { last_chunk() } else { Step::Close };
            vec![stream_head("s"), chunk(&event(0)), last_step]
        })
        .await;
        let harness = ProxyHarness::with_servers(&[&server_1]).await;
        for (path, is_reset) in [("/flow/whole", false), ("/flow/broken", true), ("/again/broken", true)] {
            let mut client = harness.client().await;
            client
                .send(&format!("GET {path} HTTP/1.0\r\nHost: h.example\r\nX-Dunelink-Request-Id: a1\r\n\r\n"))
                .await;
            let (response, end) = client.read_to_end().await;
            assert!(response.contains(&event(0)), "{path}: {response:?}");
            assert_eq!(end.is_err(), is_reset, "{path}");
        }
    });
}

/// Guards against MIXED: on a route that does not stream, an event stream that was cut within an event got a
/// length and looked complete.
#[test]
fn cut_event_stream_on_other_route_is_not_forwarded() {
    run(async {
        let body = format!("{}id: 1\nda", event(0));
        let response = call_close_delimited("/once/x", EVENT_STREAM, &body).await;
        assert_eq!(response.status, 502);
    });
}

#[test]
fn complete_close_delimited_stream_is_forwarded() {
    run(async {
        let long_event = format!("data: {}\n\n", "x".repeat(300 * 1_024));
        let bodies =
            [events_text(0, 3), "data: a\r\n\r\n: bye\r\n".to_owned(), "data: a\r\r".to_owned(), long_event];
        for body in bodies {
            for path in ["/flow/x", "/again/x"] {
                let response = call_close_delimited(path, EVENT_STREAM, &body).await;
                assert!(response.complete && response.body == body, "{path}");
            }
        }
        // Another content type has no events.
        for path in ["/flow/x", "/again/x", "/once/x"] {
            let response = call_close_delimited(path, "Content-Type: application/json\r\n", "{}").await;
            assert!(response.complete && response.body == "{}", "{path}");
        }
    });
}

#[test]
fn close_delimited_stream_cut_within_event_resumes_at_other_server() {
    run(async {
        let first = |_: &ReceivedRequest| {
            let partial = format!("{}id: 2\nda", events_text(0, 2));
            vec![close_delimited_head(EVENT_STREAM), Step::Write(partial), Step::Close]
        };
        let (server_1, server_2, harness) = start_two_servers(first, resume_stream).await;
        let response = harness.client().await.call("/again/x", "a1").await;
        assert!(response.complete && response.body == events_text(0, 10));
        assert_eq!((server_1.count(), server_2.count()), (1, 1));
    });
}

#[test]
fn resumable_stream_resumes_at_other_server() {
    run(async {
        for partial in ["", "id: 4\ndata: pi", "id: 4\ndata: piece 4\n"] {
            let first = move |_: &ReceivedRequest| {
                let mut steps = [vec![stream_head("first")], events(0, 4)].concat();
                if !partial.is_empty() {
                    steps.push(chunk(partial));
                }
                steps.push(Step::Close);
                steps
            };
            let (server_1, server_2, harness) = start_two_servers(first, resume_stream).await;
            let response = harness.client().await.call("/again/x", "a1").await;
            assert!(response.complete);
            assert_eq!(response.header("x-dunelink-response-seal"), Some("first"));
            assert_eq!(response.body, events_text(0, 10));
            assert_eq!((server_1.count(), server_2.count()), (1, 1));
        }
    });
}

#[test]
fn stream_broken_before_first_event_restarts() {
    run(async {
        let (server_1, server_2, harness) =
            start_two_servers(|_| vec![stream_head("first"), Step::Close], resume_stream).await;
        let response = harness.client().await.call("/again/x", "a1").await;
        assert!(response.complete);
        assert_eq!(response.body, events_text(0, 10));
        assert_eq!(server_1.count() + server_2.count(), 2);
    });
}

#[test]
fn client_resumes_stream_with_last_event_id() {
    run(async {
        let server_1 = Server::start("i-1", |_, request| resume_stream(request)).await;
        let harness = ProxyHarness::with_servers(&[&server_1]).await;
        let mut client = harness.client().await;
        client.send_request_with("/again/x", "a1", "Last-Event-Id: 6\r\n").await;
        assert_eq!(client.read_response().await.body, events_text(7, 10));
    });
}

#[test]
fn stream_without_resuming_server_is_aborted() {
    run(async {
        let first =
            |_: &ReceivedRequest| [vec![stream_head("first")], events(0, 3), vec![Step::Close]].concat();
        for later in [rejected as fn() -> Vec<Step>, || respond(500, "", "no"), || vec![Step::Close]] {
            let (server_1, server_2, harness) = start_two_servers(first, move |_| later()).await;
            let response = harness.client().await.call("/again/x", "a1").await;
            assert!(!response.complete && response.body == events_text(0, 3));
            assert!(server_1.count() + server_2.count() <= 3);
        }
    });
}

/// Guards against MIXED: a failure that is too long to be buffered is relayed to clients, but does not continue
/// the stream of another server.
#[test]
fn long_failure_of_resuming_server_does_not_continue_stream() {
    run(async {
        let (_server_1, _server_2, harness) = start_two_servers(
            |_| vec![stream_head("first"), chunk(&event(0)), Step::Reset],
            |_| respond(500, "", &"failure".repeat(50_000)),
        )
        .await;
        let response = harness.client().await.call("/again/x", "a1").await;
        assert_eq!((response.status, response.complete), (200, false));
        assert_eq!(response.body, event(0));
    });
}

#[test]
fn client_disconnect_cancels_attempt() {
    run(async {
        let server_1 = Server::start("i-1", |_, request| match request.head.contains("/flow/") {
            true => vec![stream_head("s"), chunk(&event(0)), Step::Hang],
            false => vec![Step::Hang],
        })
        .await;
        let harness = ProxyHarness::with_servers(&[&server_1]).await;
        let mut client = harness.client().await;
        client.send_request("/flow/x", "a1").await;
        client.read_head().await.unwrap();
        client.read_chunk().await.unwrap();
        drop(client);
        wait_until(|| server_1.closed_connections.get() == 1).await;
        let mut client = harness.client().await;
        client.send_request("/safe/x", "a2").await;
        wait_until(|| server_1.count() == 2).await;
        drop(client);
        wait_until(|| server_1.closed_connections.get() == 2).await;
        assert_eq!(harness.node.open_request_count(), 0);
        assert_eq!(harness.node.router.borrow().attempts_in_flight(), 0);
    });
}

#[test]
fn stream_is_aborted_at_deadline() {
    run(async {
        let server_1 =
            Server::start("i-1", |_, _| vec![stream_head("s"), chunk(&event(0)), Step::Hang]).await;
        let harness = ProxyHarness::with_servers(&[&server_1]).await;
        let mut client = harness.client().await;
        let fields = "X-Note: 1\r\n";
        client
            .send(&format!("GET /again/x HTTP/1.1\r\nHost: h.example\r\nX-Dunelink-Request-Id: a\r\nX-Dunelink-Deadline-Ms: 150\r\n{fields}\r\n"))
            .await;
        let response = client.read_response().await;
        assert!(!response.complete && response.body == event(0));
        assert_eq!(server_1.count(), 1);
    });
}

#[test]
fn long_response_keeps_content_length() {
    run(async {
        let body = "x".repeat(700_000);
        let expected = body.clone();
        let server_1 = Server::start("i-1", move |_, _| respond(200, "", &body)).await;
        let harness = ProxyHarness::with_servers(&[&server_1]).await;
        let mut client = harness.client().await;
        let response = client.call("/safe/x", "a1").await;
        assert!(response.complete && response.body == expected);
        assert_eq!(client.call("/safe/x", "a2").await.body.len(), 700_000);
        assert_eq!(server_1.connections.get(), 1);
    });
}
