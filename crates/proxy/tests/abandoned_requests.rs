//! Requests that the proxy gives up while part of them is still on its way to the server.
//!
//! The servers read the head of a request and then stop reading, so that the end of its body waits in the
//! proxy's socket, as it does when the network between them is cut.

mod common;

use std::rc::Rc;

use common::server::{Server, Step, event, last_chunk, stream_head};
use common::stalled::{BODY_BYTES, configuration, received_completely, start_server};
use common::{ProxyHarness, run, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::Notify;

async fn start_proxy(servers: &[&Server]) -> ProxyHarness {
    ProxyHarness::with_configuration(&configuration(), servers).await
}

/// Guards against DRAIN: a request that was given up at its deadline still reached the server.
#[test]
fn request_past_its_deadline_is_not_delivered() {
    run(async {
        let release = Rc::new(Notify::new());
        let server = start_server("i-1", vec![Step::StopReading(release.clone())]).await;
        let harness = start_proxy(&[&server]).await;
        let mut client = harness.client().await;
        client.send_request_with_body("/short/x", "a1", &"b".repeat(BODY_BYTES)).await;
        assert_eq!(client.read_response().await.status, 504);
        assert!(!received_completely(&server, &release).await);
    });
}

/// Guards against DRAIN: a request whose client has left still reached the server.
#[test]
fn request_of_client_that_left_is_not_delivered() {
    run(async {
        let release = Rc::new(Notify::new());
        let server = start_server("i-1", vec![Step::StopReading(release.clone())]).await;
        let harness = start_proxy(&[&server]).await;
        let mut client = harness.client().await;
        client.send_request_with_body("/once/x", "a1", &"b".repeat(BODY_BYTES)).await;
        wait_until(|| server.count() == 1).await;
        drop(client);
        wait_until(|| harness.node.open_request_count() == 0).await;
        assert!(!received_completely(&server, &release).await);
    });
}

/// Guards against DRAIN: a stream that went on at another server still reached the silent one.
#[test]
fn request_that_went_on_at_other_server_is_not_delivered() {
    run(async {
        let release = Rc::new(Notify::new());
        let first_request_seen = Rc::new(std::cell::Cell::new(false));
        let mut servers = Vec::new();
        for id in ["i-1", "i-2"] {
            let (stalled, first_request_seen) = (release.clone(), first_request_seen.clone());
            let server = Server::start(id, move |_, _| match first_request_seen.replace(true) {
                false => vec![Step::StopReading(stalled.clone())],
                true => vec![stream_head("s"), common::server::chunk(&event(0)), last_chunk()],
            })
            .await;
            server.responds_before_body.set(true);
            servers.push(server);
        }
        let harness = start_proxy(&servers.iter().collect::<Vec<_>>()).await;
        let mut client = harness.client().await;
        let request = "POST /again/x HTTP/1.1\r\nHost: h.example\r\nX-Dunelink-Request-Id: a1\r\n";
        client.send(&format!("{request}Content-Length: {BODY_BYTES}\r\n\r\n")).await;
        client.send(&"b".repeat(BODY_BYTES)).await;
        assert!(client.read_response().await.complete);
        let has_body = |server: &Server| !server.received.borrow()[0].body.is_empty();
        wait_until(|| servers.iter().any(has_body)).await;
        let silent = servers.iter().find(|server| !has_body(server)).unwrap();
        assert!(!received_completely(silent, &release).await);
    });
}

/// A connection whose responses are complete is closed regularly, without a reset.
#[test]
fn idle_connection_is_closed_without_reset() {
    run(async {
        let server = Server::start("i-1", |_, _| Vec::new()).await;
        let harness = start_proxy(&[&server]).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut entry = server.entry();
        entry.id = "i-2".to_owned();
        entry.address = listener.local_addr().unwrap().to_string();
        harness.agent.send_roster(vec![entry]);
        let node = harness.node.clone();
        wait_until(|| node.router.borrow().status(0).iter().all(|status| status.id == "i-2")).await;
        let mut client = harness.client().await;
        client.send_request("/once/x", "a1").await;
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"body") {
            stream.read_buf(&mut request).await.unwrap();
        }
        let head = "HTTP/1.1 200 OK\r\nX-Dunelink-Request-Id: a1\r\nX-Dunelink-Response-Seal: s\r\n";
        stream.write_all(format!("{head}Content-Length: 4\r\n\r\nfine").as_bytes()).await.unwrap();
        assert_eq!(client.read_response().await.status, 200);
        // The server leaves the roster.
        harness.agent.send_roster(vec![server.entry()]);
        assert_eq!(stream.read_buf(&mut request).await.unwrap(), 0);
    });
}
