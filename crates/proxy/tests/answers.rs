//! Responses to failing servers: each way to fail, for each kind of route.

mod common;

use common::server::{Server, Step, rejected, respond};
use common::{ProxyHarness, run, wait_until};

/// The steps of a server that fails.
type Failure = fn() -> Vec<Step>;

fn close_connection() -> Vec<Step> {
    vec![Step::Close]
}

fn invalid_response() -> Vec<Step> {
    vec![Step::Write("no answer at all\r\n\r\n".to_owned()), Step::Close]
}

fn truncated_body() -> Vec<Step> {
    let head = "HTTP/1.1 200 OK\r\nX-Dunelink-Request-Id: {id}\r\nX-Dunelink-Response-Seal: s\r\n";
    vec![Step::Write(format!("{head}Content-Length: 10\r\n\r\nhalf")), Step::Close]
}

fn mismatched_request_id() -> Vec<Step> {
    let head = "HTTP/1.1 200 OK\r\nX-Dunelink-Request-Id: other\r\nX-Dunelink-Response-Seal: s\r\n";
    vec![Step::Write(format!("{head}Content-Length: 2\r\n\r\nno"))]
}

fn missing_seal() -> Vec<Step> {
    vec![Step::Write(
        "HTTP/1.1 200 OK\r\nX-Dunelink-Request-Id: {id}\r\nContent-Length: 2\r\n\r\nno".to_owned(),
    )]
}

/// A response that ends with its connection, which is reset.
fn reset_close_delimited() -> Vec<Step> {
    vec![Step::Write(format!("{CLOSE_DELIMITED_HEAD}no")), Step::Reset]
}

/// The head of a response that ends with its connection.
const CLOSE_DELIMITED_HEAD: &str =
    "HTTP/1.1 200 OK\r\nX-Dunelink-Request-Id: {id}\r\nX-Dunelink-Response-Seal: s\r\n\r\n";

fn server_error() -> Vec<Step> {
    respond(500, "", "oops")
}

fn misdirected() -> Vec<Step> {
    respond(421, "", "not me")
}

fn no_response() -> Vec<Step> {
    vec![Step::Hang]
}

/// Sends one request to two servers that both fail this way. Returns its status and how often servers
/// received it.
async fn run_with_both_failing(path: &str, failure: Failure) -> (u16, usize) {
    let server_1 = Server::start("i-1", move |_, _| failure()).await;
    let server_2 = Server::start("i-2", move |_, _| failure()).await;
    let harness = ProxyHarness::with_servers(&[&server_1, &server_2]).await;
    let response = harness.client().await.call(path, "a1").await;
    assert!(response.complete);
    assert_eq!(response.header("x-dunelink-request-id"), Some("a1"));
    (response.status, server_1.count() + server_2.count())
}

/// Sends one request of which only the first attempt fails this way. Returns its status and how often servers
/// received it.
async fn run_with_first_failing(path: &str, failure: Failure) -> (u16, usize) {
    let attempts = std::rc::Rc::new(std::cell::Cell::new(0));
    let script = move |_: usize, _: &common::server::ReceivedRequest| {
        attempts.set(attempts.get() + 1);
        if attempts.get() == 1 { failure() } else { respond(200, "", "fine") }
    };
    let script = std::rc::Rc::new(script);
    let (a, b) = (script.clone(), script);
    let server_1 = Server::start("i-1", move |number, request| a(number, request)).await;
    let server_2 = Server::start("i-2", move |number, request| b(number, request)).await;
    let harness = ProxyHarness::with_servers(&[&server_1, &server_2]).await;
    let response = harness.client().await.call(path, "a1").await;
    (response.status, server_1.count() + server_2.count())
}

#[test]
fn possible_execution_is_never_reported_as_503() {
    run(async {
        for failure in [
            close_connection as Failure,
            invalid_response,
            truncated_body,
            mismatched_request_id,
            missing_seal,
            reset_close_delimited,
        ] {
            assert_eq!(run_with_both_failing("/once/x", failure).await, (502, 1));
            assert_eq!(run_with_both_failing("/safe/x", failure).await, (502, 2));
        }
        assert_eq!(run_with_both_failing("/once/x", server_error).await, (500, 1));
        assert_eq!(run_with_both_failing("/safe/x", server_error).await, (500, 2));
        assert_eq!(run_with_both_failing("/hasty-once/x", no_response).await, (504, 1));
        assert_eq!(run_with_both_failing("/hasty/x", no_response).await, (504, 1));
    });
}

#[test]
fn unexecuted_request_gets_503() {
    run(async {
        for failure in [rejected as Failure, misdirected] {
            for path in ["/once/x", "/safe/x", "/flow/x", "/again/x"] {
                let (status, received) = run_with_both_failing(path, failure).await;
                assert_eq!((status, received), (503, 2), "{path}");
            }
        }
    });
}

#[test]
fn allowed_retry_succeeds_at_other_server() {
    run(async {
        for failure in [
            close_connection as Failure,
            invalid_response,
            truncated_body,
            mismatched_request_id,
            server_error,
            missing_seal,
            reset_close_delimited,
        ] {
            assert_eq!(run_with_first_failing("/safe/x", failure).await, (200, 2));
        }
        for failure in [rejected as Failure, misdirected] {
            for path in ["/safe/x", "/once/x"] {
                assert_eq!(run_with_first_failing(path, failure).await, (200, 2));
            }
        }
    });
}

#[test]
fn unreachable_server_is_skipped() {
    run(async {
        let live = Server::start("i-1", |_, _| respond(200, "", "fine")).await;
        let dead = Server::start("i-2", |_, _| Vec::new()).await;
        let harness = ProxyHarness::with_servers(&[&live]).await;
        let mut entry = dead.entry();
        // No process listens on this port.
        entry.address = "127.0.0.1:1".to_owned();
        harness.agent.send_roster(vec![live.entry(), entry]);
        harness.agent.send_heartbeat(0, 1);
        for number in 0..20 {
            let path = if number % 2 == 0 { "/once/x" } else { "/flow/x" };
            let response = harness.client().await.call(path, &format!("a{number}")).await;
            assert_eq!(response.status, 200);
        }
        assert_eq!(live.count(), 20);
    });
}

#[test]
fn three_connect_failures_reject_request() {
    run(async {
        let dead = Server::start("i-0", |_, _| Vec::new()).await;
        let harness = ProxyHarness::with_servers(&[&dead]).await;
        let entry = |number: usize| {
            let mut entry = dead.entry();
            entry.id = format!("i-{number}");
            // No process listens on this port.
            entry.address = "127.0.0.1:1".to_owned();
            entry
        };
        harness.agent.send_roster((1..7).map(entry).collect());
        let node = harness.node.clone();
        wait_until(|| node.router.borrow().status(0).len() == 6).await;
        let response = harness.client().await.call("/once/x", "a1").await;
        assert!(response.status == 503 && response.header("retry-after").is_some());
        let failed: u32 =
            harness.node.report().observations.iter().map(|observation| observation.failed).sum();
        let reports = harness.agent.reports.borrow();
        let reported =
            reports.iter().flat_map(|report| &report.observations).map(|observation| observation.failed);
        assert_eq!(failed + reported.sum::<u32>(), 3);
    });
}

#[test]
fn response_is_forwarded_unchanged() {
    run(async {
        let server_1 =
            Server::start("i-1", |_, _| respond(404, "X-Note: 7\r\nConnection: close\r\n", "none here"))
                .await;
        let harness = ProxyHarness::with_servers(&[&server_1]).await;
        let mut client = harness.client().await;
        let response = client.call("/once/x", "a1").await;
        assert_eq!((response.status, response.body.as_str()), (404, "none here"));
        assert_eq!(response.header("x-dunelink-response-seal"), Some("seal-404"));
        assert_eq!(response.header("x-note"), Some("7"));
        assert_eq!(response.header("connection"), None);
        // The client's connection stays open.
        assert_eq!(client.call("/once/x", "a2").await.status, 404);
        assert_eq!(server_1.connections.get(), 2);
    });
}

/// A response without a length ends with its connection, but a reset is not a regular end.
#[test]
fn close_delimited_response_is_forwarded() {
    run(async {
        let server_1 = Server::start("i-1", |number, _| {
            let second = if number == 0 { Step::Close } else { Step::Reset };
            vec![Step::Write(format!("{CLOSE_DELIMITED_HEAD}the whole")), second]
        })
        .await;
        let harness = ProxyHarness::with_servers(&[&server_1]).await;
        let response = harness.client().await.call("/once/x", "e1").await;
        assert_eq!((response.status, response.body.as_str(), response.complete), (200, "the whole", true));
        // The second response ends with a reset.
        let mut client = harness.client().await;
        client.send_request("/once/x", "e2").await;
        let response = client.try_read_response().await;
        assert!(response.is_none_or(|response| response.status == 502 || !response.complete));
    });
}

/// A server that responds before it has read the body takes the next bytes on the connection for the rest of
/// that body, so the connection must not be reused for another request.
#[test]
fn early_response_does_not_corrupt_next_request() {
    run(async {
        let server_1 = Server::start("i-1", |_, _| respond(200, "", "early")).await;
        server_1.responds_before_body.set(true);
        let harness = ProxyHarness::with_servers(&[&server_1]).await;
        let body = "b".repeat(90_000);
        for id in ["f1", "f2", "f3"] {
            let mut client = harness.client().await;
            client
                .send(&format!(
                    "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Dunelink-Request-Id: {id}\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                ))
                .await;
            let response = client.read_response().await;
            assert_eq!((response.status, response.body.as_str()), (200, "early"));
        }
        let bodies: Vec<Vec<u8>> =
            server_1.received.borrow().iter().map(|request| request.body.clone()).collect();
        assert_eq!(bodies.len(), 3);
        // The last body may not have been read yet.
        assert!(bodies.iter().all(|received| received.is_empty() || received == body.as_bytes()));
        assert!(server_1.received.borrow().iter().all(|request| request.head.starts_with("POST /safe/x ")));
    });
}

/// A surplus response of an earlier request takes the place of each response on a reused connection.
#[test]
fn surplus_responses_suspend_connection_reuse() {
    run(async {
        let script = |_: usize, request: &common::server::ReceivedRequest| {
            if request.earlier_on_connection == 0 {
                respond(200, "", "fine")
            } else {
                mismatched_request_id()
            }
        };
        let server_1 = Server::start("i-1", script).await;
        let server_2 = Server::start("i-2", script).await;
        let harness = ProxyHarness::with_servers(&[&server_1, &server_2]).await;
        let mut client = harness.client().await;
        for number in 0..20 {
            client.send_request("/safe/x", &format!("a{number}")).await;
            assert_eq!(client.read_response().await.status, 200, "{number}");
        }
        // Each server has failed at most one attempt.
        assert!(server_1.count() + server_2.count() <= 22, "{} and {}", server_1.count(), server_2.count());
        client.send_request("/once/x", "b1").await;
        assert_eq!(client.read_response().await.status, 200);
    });
}
