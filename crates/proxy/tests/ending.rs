//! The end of the process.

mod common;

use std::rc::Rc;

use common::client::request_head;
use common::server::{Server, Step, chunk, event, last_chunk, respond, stream_head};
use common::{ProxyHarness, run, wait_until};
use tokio::sync::Notify;

/// A client's time that is over after the process's end: its grace is four seconds.
const OUTLASTING_TIMEOUT_MS: u32 = 9_000;
/// Seconds for which the platform may still send clients.
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
            // The platform sends clients for a while yet.
            let mut late = harness.client().await;
            let response = late.call("/safe/x", "a3").await;
            assert_eq!((response.status, response.header("connection")), (200, Some("close")));
            assert!(late.is_closed().await);
            // Nothing is asked on this one: it is closed.
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
            "nobody is left to answer a request on a connection taken now"
        );
    });
}

/// A stream that began before the process was told to end leaves a connection whose client knows nothing of that. What
/// comes on it after the platform has stopped sending clients is served only if it can't outlast the process.
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
            // Before the last client is sent: it is served, and its answer ends the connection.
            early.notify_one();
            assert_eq!(before.read_chunk().await.unwrap(), "");
            let response = before.call("/long/x", "d4").await;
            assert_eq!((response.status, response.header("connection")), (200, Some("close")));
            assert!(before.is_closed().await);
            while harness.accepts_connections().await {}
            // After it: what may last for longer than the process is sent to no server.
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

/// From the signal on, also while the platform still sends clients: a request whose time is over after the process's
/// end is sent to no server, on whatever connection it comes, and whenever its first byte came.
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

/// A request that was on its way to a server when the signal came is answered for as long as the process may run.
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

/// Connects and asks until nobody listens any more; gives how many answers came whole from a server. Towards the end a
/// request may outlast the process: it is refused, and all that come later are.
async fn send_until_listener_closes(harness: &ProxyHarness, number: usize) -> usize {
    let (mut served, mut rejected) = (0, 0);
    while let Some(mut client) = harness.try_client().await {
        let id = format!("c{number}-{}", served + rejected);
        // A connection that is closed before its request was read lost nothing.
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
        // What a server got was answered.
        assert_eq!(server.count(), served);
        // The grace is four seconds; clients were sent for half of it.
        let took = started_at.elapsed();
        assert!(took < std::time::Duration::from_millis(3_600), "{took:?}");
    });
}
