//! Servers and clients that fall silent without closing their connections.

mod common;

use common::server::{Server, Step, chunk, event, last_chunk, respond, stream_head};
use common::{ProxyHarness, run, wait_until};

/// Longer than the silence timeout of a stream.
const LONGER_THAN_SILENCE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(2_600);

#[test]
fn idempotent_request_leaves_silent_server() {
    run(async {
        let first_request_seen = std::rc::Rc::new(std::cell::Cell::new(false));
        let (a, b) = (first_request_seen.clone(), first_request_seen);
        let server_1 =
            Server::start("i-1", move |_, _| steps_by_order(&a, vec![Step::Hang], respond(200, "", "fine")))
                .await;
        let server_2 =
            Server::start("i-2", move |_, _| steps_by_order(&b, vec![Step::Hang], respond(200, "", "fine")))
                .await;
        let harness = ProxyHarness::with_servers(&[&server_1, &server_2]).await;
        // The target latency is 500 ms, the client's timeout 3 s.
        let response = harness.client().await.call("/long/x", "a1").await;
        assert_eq!((response.status, server_1.count() + server_2.count()), (200, 2));
        assert_eq!(server_1.closed_connections.get() + server_2.closed_connections.get(), 1);
    });
}

fn steps_by_order(
    first_request_seen: &std::cell::Cell<bool>,
    first_steps: Vec<Step>,
    later_steps: Vec<Step>,
) -> Vec<Step> {
    if first_request_seen.replace(true) { later_steps } else { first_steps }
}

#[test]
fn silent_stream_resumes_at_other_server() {
    run(async {
        let first_request_seen = std::rc::Rc::new(std::cell::Cell::new(false));
        let hangs = || vec![stream_head("first"), chunk(&event(0)), chunk("id: 1\nda"), Step::Hang];
        let resumes = || vec![stream_head("second"), chunk(&event(1)), last_chunk()];
        let (a, b) = (first_request_seen.clone(), first_request_seen);
        let server_1 = Server::start("i-1", move |_, _| steps_by_order(&a, hangs(), resumes())).await;
        let server_2 = Server::start("i-2", move |_, _| steps_by_order(&b, hangs(), resumes())).await;
        let harness = ProxyHarness::with_servers(&[&server_1, &server_2]).await;
        let response = harness.client().await.call("/again/x", "a1").await;
        assert!(response.complete);
        assert_eq!(response.body, format!("{}{}", event(0), event(1)));
    });
}

#[test]
fn silence_without_other_server_keeps_stream() {
    run(async {
        let release = std::rc::Rc::new(tokio::sync::Notify::new());
        let released = release.clone();
        let server_1 = Server::start("i-1", move |_, _| {
            vec![
                stream_head("first"),
                chunk(&event(0)),
                Step::Wait(released.clone()),
                chunk(&event(1)),
                last_chunk(),
            ]
        })
        .await;
        let harness = ProxyHarness::with_servers(&[&server_1]).await;
        let mut client = harness.client().await;
        client.send_request("/again/x", "a1").await;
        client.read_head().await.unwrap();
        assert_eq!(client.read_chunk().await.unwrap(), event(0));
        // The silence is noticed, but no other server is available.
        let attempts_in_flight = || harness.node.router.borrow().attempts_in_flight();
        assert_eq!(attempts_in_flight(), 1);
        let silence_noticed_at = tokio::time::Instant::now() + LONGER_THAN_SILENCE_TIMEOUT;
        wait_until(|| tokio::time::Instant::now() > silence_noticed_at).await;
        assert_eq!(attempts_in_flight(), 1);
        release.notify_one();
        assert_eq!(client.read_chunk().await.unwrap(), event(1));
        assert_eq!(client.read_chunk().await.unwrap(), "");
    });
}

/// Longer than the configured header timeout.
const LONGER_THAN_HEADER_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(1_800);

#[test]
fn partial_head_times_out_and_idle_connection_stays() {
    run(async {
        let server_1 = Server::start("i-1", |_, _| respond(200, "", "fine")).await;
        let harness = ProxyHarness::with_servers(&[&server_1]).await;
        let (mut partial, mut unused) = (harness.client().await, harness.client().await);
        partial.send("POST /once/x HTTP/1.1\r\nHost: h.exa").await;
        // The header timeout also applies to a second request on a connection.
        let mut second = harness.client().await;
        assert_eq!(second.call("/once/x", "a1").await.status, 200);
        second.send("POST /onc").await;
        let mut kept = harness.client().await;
        assert_eq!(kept.call("/once/x", "a2").await.status, 200);
        let header_timeout_over = tokio::time::Instant::now() + LONGER_THAN_HEADER_TIMEOUT;
        assert!(partial.is_closed().await && second.is_closed().await);
        wait_until(|| tokio::time::Instant::now() > header_timeout_over).await;
        // Connections without a partial head may stay idle for longer.
        assert_eq!(unused.call("/once/x", "a3").await.status, 200);
        assert_eq!(kept.call("/once/x", "a4").await.status, 200);
        assert_eq!(server_1.count(), 4);
    });
}

#[test]
fn split_head_within_timeout_is_served() {
    run(async {
        let server_1 = Server::start("i-1", |_, _| respond(200, "", "fine")).await;
        let harness = ProxyHarness::with_servers(&[&server_1]).await;
        let mut client = harness.client().await;
        for number in 0..20 {
            client
                .send(&format!(
                    "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Dunelink-Request-Id: b{number}\r\nCont"
                ))
                .await;
            tokio::task::yield_now().await;
            client.send("ent-Length: 4\r\n\r\nbo").await;
            tokio::task::yield_now().await;
            client.send("dy").await;
            assert_eq!(client.read_response().await.status, 200);
        }
    });
}
