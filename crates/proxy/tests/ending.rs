//! Graceful shutdown of the proxy.

mod common;

use std::rc::Rc;

use common::client::request_head;
use common::server::{Server, Step, chunk, event, last_chunk, respond, stream_head};
use common::{ProxyHarness, run, wait_until};
use tokio::sync::Notify;

/// A client timeout beyond the proxy's exit; the grace period is four seconds.
const OUTLASTING_TIMEOUT_MS: u32 = 9_000;
/// Time during which the platform may still send clients, in seconds.
const TRAFFIC_STOP_S: f64 = 2.0;

#[test]
fn open_requests_complete_during_shutdown() {
    run(async {
        let release = Rc::new(Notify::new());
        let released = release.clone();
        let server = Server::start("i-1", move |_, request| match request.head.contains("/again/") {
            true => vec![
                stream_head("s"),
                chunk(&event(0)),
                Step::Wait(released.clone()),
                chunk(&event(1)),
                last_chunk(),
            ],
            false => respond(200, "", "fine"),
        })
        .await;
        let harness = ProxyHarness::with_servers(&[&server]).await;
        let mut idle = harness.client().await;
        assert_eq!(idle.call("/safe/x", "a1").await.header("connection"), None);
        let mut stream = harness.client().await;
        stream.send_request("/again/x", "a2").await;
        assert_eq!(stream.read_head().await.unwrap().status, 200);
        let joined = tokio::join!(harness.shut_down(), async {
            wait_until(|| harness.node.is_shutting_down()).await;
            assert_eq!(harness.readiness_status().await, 503);
            // The platform still sends clients for some time.
            let mut late = harness.client().await;
            let response = late.call("/safe/x", "a3").await;
            assert_eq!((response.status, response.header("connection")), (200, Some("close")));
            assert!(late.is_closed().await);
            // No request was sent on this connection; the proxy closes it.
            assert!(idle.is_closed().await);
            release.notify_one();
            assert_eq!(stream.read_chunk().await.unwrap(), event(0));
            assert_eq!(stream.read_chunk().await.unwrap(), event(1));
            assert_eq!(stream.read_chunk().await.unwrap(), "");
        });
        let ((), ()) = joined;
        assert_eq!(harness.clients.count(), 0);
    });
}

#[test]
fn listener_closes_before_exit() {
    run(async {
        let server = Server::start("i-1", |_, _| respond(200, "", "fine")).await;
        let harness = ProxyHarness::with_servers(&[&server]).await;
        let mut late = harness.client().await;
        let ((), ()) = tokio::join!(harness.shut_down(), async {
            wait_until(|| harness.node.is_shutting_down()).await;
            assert_eq!(late.call("/safe/x", "b1").await.status, 200);
        });
        assert_eq!(harness.clients.count(), 0);
        assert!(
            !harness.accepts_connections().await,
            "a connection accepted now would be cut off with its request"
        );
    });
}

/// A stream that began before the shutdown leaves a kept-alive connection whose client does not know of the
/// shutdown. A request that arrives on it after the listener has closed is served only if it cannot outlast
/// the process.
#[test]
fn kept_connection_rejects_requests_that_outlast_exit() {
    run(async {
        let [early, late] = [Rc::new(Notify::new()), Rc::new(Notify::new())];
        let released = [early.clone(), late.clone()];
        let server = Server::start("i-1", move |_, request| {
            let released = match request.header("x-dunelink-request-id") {
                Some("d1") => released[0].clone(),
                Some("d2" | "d3") => released[1].clone(),
                _ => return respond(200, "", "fine"),
            };
            vec![stream_head("s"), chunk(&event(0)), Step::Wait(released), last_chunk()]
        })
        .await;
        let harness = ProxyHarness::with_servers(&[&server]).await;
        let mut clients = [harness.client().await, harness.client().await, harness.client().await];
        for (client, id) in clients.iter_mut().zip(["d1", "d2", "d3"]) {
            client.send_request("/again/x", id).await;
            let head = client.read_head().await.unwrap();
            assert_eq!((head.status, head.header("connection")), (200, None));
            assert_eq!(client.read_chunk().await.unwrap(), event(0));
        }
        let [mut before, mut after_close, mut short] = clients;
        let ((), ()) = tokio::join!(harness.shut_down(), async {
            wait_until(|| harness.node.is_shutting_down()).await;
            // Before the listener closes, the request is served, and its response closes the connection.
            early.notify_one();
            assert_eq!(before.read_chunk().await.unwrap(), "");
            let response = before.call("/long/x", "d4").await;
            assert_eq!((response.status, response.header("connection")), (200, Some("close")));
            assert!(before.is_closed().await);
            while harness.accepts_connections().await {}
            // After the listener has closed, a request that may outlast the process is not sent to a server.
            for (client, path, id, status) in
                [(&mut after_close, "/long/x", "d5", 503), (&mut short, "/hasty/x", "d6", 200)]
            {
                late.notify_one();
                assert_eq!(client.read_chunk().await.unwrap(), "");
                let response = client.call(path, id).await;
                assert_eq!((response.status, response.header("connection")), (status, Some("close")));
                assert_eq!(response.header("retry-after").is_some(), status == 503);
                assert!(client.is_closed().await);
            }
        });
        let received = server.received.borrow();
        let sent = |id| received.iter().any(|request| request.header("x-dunelink-request-id") == Some(id));
        assert!(sent("d4") && sent("d6") && !sent("d5"));
        assert_eq!((harness.node.open_request_count(), harness.clients.count()), (0, 0));
    });
}

/// From the signal on, even while the platform still sends clients, a request that may outlast the process is
/// not sent to a server, on whichever connection it arrives and whenever its first byte arrived.
#[test]
fn long_requests_are_rejected_after_signal() {
    run(async {
        let server = Server::start("i-1", |_, _| respond(200, "", "fine")).await;
        let harness = ProxyHarness::with_servers(&[&server]).await;
        let mut partial = harness.client().await;
        partial.send(&request_head("/again/x", "e1", OUTLASTING_TIMEOUT_MS, "")).await;
        partial.send("bo").await;
        let mut kept = harness.client().await;
        assert_eq!(kept.call("/safe/x", "e2").await.status, 200);
        wait_until(|| harness.node.open_request_count() == 1).await;
        let ((), ()) = tokio::join!(harness.shut_down(), async {
            wait_until(|| harness.node.is_shutting_down()).await;
            partial.send("dy").await;
            kept.send(&format!("{}body", request_head("/again/x", "e3", OUTLASTING_TIMEOUT_MS, ""))).await;
            let mut new = harness.client().await;
            new.send(&format!("{}body", request_head("/again/x", "e4", OUTLASTING_TIMEOUT_MS, ""))).await;
            for client in [&mut partial, &mut kept, &mut new] {
                let response = client.read_response().await;
                assert_eq!((response.status, response.header("connection")), (503, Some("close")));
                let retry_after: f64 = response.header("retry-after").unwrap().parse().unwrap();
                assert!((0.05..=TRAFFIC_STOP_S * 1.15).contains(&retry_after), "{retry_after}");
                assert!(client.is_closed().await);
            }
            let mut short = harness.client().await;
            assert_eq!(short.call("/safe/x", "e5").await.status, 200);
        });
        let ids: Vec<String> = server
            .received
            .borrow()
            .iter()
            .filter_map(|r| Some(r.header("x-dunelink-request-id")?.to_owned()))
            .collect();
        assert_eq!(ids, ["e2", "e5"]);
        assert_eq!((harness.node.open_request_count(), harness.clients.count()), (0, 0));
    });
}

/// A request that was sent to a server before the signal is completed for as long as the process may run.
#[test]
fn request_sent_before_signal_completes() {
    run(async {
        let release = Rc::new(Notify::new());
        let released = release.clone();
        let server = Server::start("i-1", move |_, _| {
            vec![Step::Wait(released.clone()), stream_head("s"), chunk(&event(0)), last_chunk()]
        })
        .await;
        let harness = ProxyHarness::with_servers(&[&server]).await;
        let mut client = harness.client().await;
        client.send(&format!("{}body", request_head("/again/x", "f1", OUTLASTING_TIMEOUT_MS, ""))).await;
        wait_until(|| server.count() == 1).await;
        let ((), ()) = tokio::join!(harness.shut_down(), async {
            wait_until(|| harness.node.is_shutting_down()).await;
            release.notify_one();
            let response = client.read_response().await;
            assert_eq!((response.status, response.complete), (200, true));
        });
        assert_eq!((harness.node.open_request_count(), harness.clients.count()), (0, 0));
    });
}

/// Connects and sends requests until the listener is closed. Returns the number of complete responses from a
/// server. Towards the end requests may outlast the process: one is rejected, and so are all later ones.
async fn send_until_listener_closes(harness: &ProxyHarness, number: usize) -> usize {
    let (mut served, mut rejected) = (0, 0);
    while let Some(mut client) = harness.try_client().await {
        let id = format!("c{number}-{}", served + rejected);
        // A connection that closes before its request was read has lost nothing.
        if !client.try_send_request("/safe/x", &id).await {
            continue;
        }
        if let Some(response) = client.try_read_response().await {
            assert!(
                response.complete && matches!((response.status, rejected), (200, 0) | (503, _)),
                "{response:?}"
            );
            if response.status == 200 { served += 1 } else { rejected += 1 }
        }
    }
    assert!(served > 0);
    served
}

#[test]
fn reconnecting_clients_do_not_delay_exit() {
    run(async {
        let server = Server::start("i-1", |_, _| respond(200, "", "fine")).await;
        let harness = ProxyHarness::with_servers(&[&server]).await;
        let started_at = tokio::time::Instant::now();
        let sending = async {
            let all: [usize; 4] = std::array::from_fn(|number| number);
            let [a, b, c, d] = all.map(|number| send_until_listener_closes(&harness, number));
            let (a, b, c, d) = tokio::join!(a, b, c, d);
            a + b + c + d
        };
        let (remaining, served) = tokio::join!(
            async {
                harness.shut_down().await;
                (harness.node.open_request_count(), harness.clients.count())
            },
            sending
        );
        assert_eq!(remaining, (0, 0));
        // Each request that a server received got its response.
        assert_eq!(server.count(), served);
        // The grace period is four seconds; connections are accepted for half of it.
        let took = started_at.elapsed();
        assert!(took < std::time::Duration::from_millis(3_600), "{took:?}");
    });
}
