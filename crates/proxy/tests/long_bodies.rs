//! Requests whose body is longer than what the socket to a server takes in at once: the end of the body still
//! waits at the proxy while the server works.

mod common;

use std::rc::Rc;

use common::server::{ReceivedRequest, Server, Step, respond};
use common::{
    DEFAULT_LIMITS, Limits, ProxyHarness, Route, configuration_with_limits, routes, run, wait_until,
};
use tokio::sync::Notify;

/// Longer than the send and receive buffers of a connection together.
const LONG_BODY_BYTES: usize = 16 << 20;
const LIMITS: Limits =
    Limits { max_body_bytes: LONG_BODY_BYTES, header_timeout_ms: 10_000, ..DEFAULT_LIMITS };

/// Starts a proxy that accepts long bodies in front of these servers, which handle a request as soon as they
/// have its head.
async fn start_proxy(servers: &[&Server]) -> ProxyHarness {
    servers.iter().for_each(|server| server.responds_before_body.set(true));
    let two_attempts = Route { max_attempts: 2, timeout_ms: 10_000, ..Route::new("/two/", "safe") };
    let routes: Vec<Route> = routes().into_iter().chain([two_attempts]).collect();
    let harness =
        ProxyHarness::with_configuration(&configuration_with_limits(1, &routes, "", &LIMITS), servers).await;
    let node = harness.node.clone();
    wait_until(|| node.router.borrow().status(0).len() == servers.len()).await;
    harness
}

/// Starts two servers that handle a request as soon as they have its head, and a proxy in front of them.
async fn start_two_early_servers(
    script: impl Fn(&ReceivedRequest) -> Vec<Step> + 'static,
) -> (Server, Server, ProxyHarness) {
    let script = Rc::new(script);
    let (a, b) = (script.clone(), script);
    let server_1 = Server::start("i-1", move |_, request| a(request)).await;
    let server_2 = Server::start("i-2", move |_, request| b(request)).await;
    let harness = start_proxy(&[&server_1, &server_2]).await;
    (server_1, server_2, harness)
}

/// Sends a request with a long body. Returns the status of its response.
async fn call_with_long_body(harness: &ProxyHarness, path: &str, id: &str) -> u16 {
    let mut client = harness.client().await;
    client.send_request_with_body(path, id, &"b".repeat(LONG_BODY_BYTES)).await;
    client.read_response().await.status
}

/// Guards against TWICE: an unsafe request ran at a second server when the first had begun to work on it and
/// its connection was reset before the end of the body was written.
#[test]
fn unsafe_request_with_partly_written_body_is_not_repeated() {
    run(async {
        let (server_1, server_2, harness) = start_two_early_servers(|_| vec![Step::Reset]).await;
        for (number, path) in ["/once/x", "/flow/x"].into_iter().enumerate() {
            let status = call_with_long_body(&harness, path, &format!("a{number}")).await;
            assert_eq!((status, server_1.count() + server_2.count()), (502, number + 1), "{path}");
        }
    });
}

/// Guards against REFUSED: an unsafe request got 503, the promise that it does not run, although a server was
/// working on it at its deadline.
#[test]
fn unsafe_request_with_partly_written_body_times_out_without_promise() {
    run(async {
        let release = Rc::new(Notify::new());
        let stalled = release.clone();
        let (server_1, server_2, harness) =
            start_two_early_servers(move |_| vec![Step::StopReading(stalled.clone())]).await;
        let status = call_with_long_body(&harness, "/once/x", "a1").await;
        assert_eq!((status, server_1.count() + server_2.count()), (504, 1));
        release.notify_one();
    });
}

/// A request that may run twice still goes on at the other server.
#[test]
fn idempotent_request_with_partly_written_body_is_repeated() {
    run(async {
        let is_first = std::cell::Cell::new(true);
        let (server_1, server_2, harness) = start_two_early_servers(move |_| match is_first.replace(false) {
            true => vec![Step::Reset],
            false => respond(200, "", "fine"),
        })
        .await;
        let status = call_with_long_body(&harness, "/long/x", "a1").await;
        assert_eq!((status, server_1.count() + server_2.count()), (200, 2));
    });
}

/// Guards against BUDGET: repeats of a request whose body was partly written were not counted, so it reached
/// more servers than its route allows.
#[test]
fn partly_written_request_reaches_at_most_max_attempts_servers() {
    run(async {
        let mut servers = Vec::new();
        for id in ["i-1", "i-2", "i-3"] {
            servers.push(Server::start(id, |_, _| vec![Step::Reset]).await);
        }
        let harness = start_proxy(&servers.iter().collect::<Vec<_>>()).await;
        let status = call_with_long_body(&harness, "/two/x", "a1").await;
        let received: usize = servers.iter().map(Server::count).sum();
        assert_eq!((status, received), (502, 2));
    });
}
