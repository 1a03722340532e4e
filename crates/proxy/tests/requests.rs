//! Request validation and forwarding, and rejections without asking a server.

mod common;

use common::server::{Server, respond};
use common::{ProxyHarness, configuration, routes, run, wait_until};
use dunelink_protocol::{FeedMessage, GrantUpdate, TenantGrant};
use dunelink_proxy::node::Node;

const TENANTS: &str = r#"{"name":"acme","apiKeys":["k1","k2"],"unit":"token_stream","plainTokens":200,"ratePerS":1000,"burst":1000}"#;

fn grant_message(node: &Node, ceiling: f64) -> FeedMessage {
    let incarnation = node.incarnation();
    let tenant = "acme".to_owned();
    let tenants = vec![TenantGrant {
        tenant,
        ceiling,
        overdraft: 0.0,
        reserved: 0.0,
        rate_per_s: ceiling,
        incarnation,
        pass_share: 0.0,
        acknowledged: 0.0,
    }];
    FeedMessage::Grants(GrantUpdate {
        valid_ms: 60_000,
        node_count: 1,
        configuration_version: 2,
        tenants,
        throttled: Vec::new(),
        ..GrantUpdate::default()
    })
}

#[test]
fn request_is_forwarded_unchanged() {
    run(async {
        let server = Server::start("i-1", |_, _| respond(200, "", "fine")).await;
        let harness = ProxyHarness::with_servers(&[&server]).await;
        let mut client = harness.client().await;
        let fields = "X-Note: 7\r\nConnection: keep-alive, x-hop\r\nX-Hop: 1\r\nX-Dunelink-Tenant: forged\r\nX-Dunelink-Expect-Instance: forged\r\nAuthorization: Bearer k\r\n";
        client.send_request_with("/once/a%20b?q=1&r=%2F", "a1", fields).await;
        assert_eq!(client.read_response().await.status, 200);
        let received = server.received.borrow()[0].clone();
        assert!(received.head.starts_with("POST /once/a%20b?q=1&r=%2F HTTP/1.1\r\n"));
        assert_eq!(received.body, b"body");
        assert_eq!(received.header("host"), Some("h.example"));
        assert_eq!(received.header("x-note"), Some("7"));
        assert_eq!(received.header("x-dunelink-request-id"), Some("a1"));
        assert_eq!(received.header("x-dunelink-expect-instance"), Some("i-1"));
        for name in ["x-hop", "x-dunelink-tenant", "authorization"] {
            assert_eq!(received.header(name), None, "{name}");
        }
        // The route limits requests to two seconds.
        let remaining_ms: u64 = received.header("x-dunelink-deadline-ms").unwrap().parse().unwrap();
        assert!((1_000..=2_000).contains(&remaining_ms), "{remaining_ms}");
    });
}

#[test]
fn chunked_bodies_and_keep_alive_work() {
    run(async {
        let server =
            Server::start("i-1", |_, request| respond(200, "", &String::from_utf8_lossy(&request.body)))
                .await;
        let harness = ProxyHarness::with_servers(&[&server]).await;
        let mut client = harness.client().await;
        for number in 0..10 {
            client
                .send(&format!("POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Dunelink-Request-Id: a{number}\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"))
                .await;
            client.send("2\r\nde\r\n0\r\n\r\n").await;
            assert_eq!(client.read_response().await.body, "abcde");
        }
        // Idle connections to the server are reused.
        assert_eq!(server.connections.get(), 1);
    });
}

#[test]
fn invalid_requests_are_rejected() {
    run(async {
        let server = Server::start("i-1", |_, _| respond(200, "", "fine")).await;
        let harness = ProxyHarness::with_servers(&[&server]).await;
        let id = "X-Dunelink-Request-Id: a1\r\n";
        for (text, status) in [
            ("GET /safe/x HTTP/1.1\r\nHost: h.example\r\n\r\n".to_owned(), 400),
            (format!("GET /safe/x HTTP/1.1\r\nHost: h.example\r\n{id}{id}\r\n"), 400),
            (format!("GET /safe/x HTTP/1.1\r\n{id}\r\n"), 400),
            (
                format!("GET /safe/x HTTP/1.1\r\nHost: h.example\r\n{id}X-Dunelink-Deadline-Ms: NaN\r\n\r\n"),
                400,
            ),
            (
                format!(
                    "GET /safe/x HTTP/1.1\r\nHost: h.example\r\n{id}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                ),
                400,
            ),
            (format!("GET /none/x HTTP/1.1\r\nHost: h.example\r\n{id}\r\n"), 404),
            (format!("GET /safe/x HTTP/1.1\r\nHost: other.example\r\n{id}\r\n"), 404),
            (format!("GET /safe HTTP/1.1\r\nHost: h.example\r\n{id}\r\n"), 404),
            (format!("POST /safe/x HTTP/1.1\r\nHost: h.example\r\n{id}Content-Length: 100001\r\n\r\n"), 413),
            (
                format!(
                    "GET /safe/x HTTP/1.1\r\nHost: h.example\r\n{id}X-Long: {}\r\n\r\n",
                    "x".repeat(20_000)
                ),
                431,
            ),
            (format!("POST /safe/x HTTP/1.1\r\nHost: h.example\r\n{id}Content-Length: 4\r\n\r\nbo"), 408),
        ] {
            let mut client = harness.client().await;
            client.send(&text).await;
            assert_eq!(client.read_response().await.status, status, "{text}");
        }
        assert_eq!(server.count(), 0);
    });
}

#[test]
fn api_key_selects_tenant_and_is_removed() {
    run(async {
        let server = Server::start("i-1", |_, _| respond(200, "", "fine")).await;
        let harness = ProxyHarness::with_servers(&[&server]).await;
        harness.agent.send_configuration(&configuration(2, &routes(), TENANTS));
        harness.agent.send(grant_message(&harness.node, 1_000.0));
        let node = harness.node.clone();
        wait_until(|| node.configuration_version() == 2).await;
        for (fields, status) in [
            ("", 401),
            ("Authorization: Bearer other\r\n", 401),
            ("Authorization: Basic k1\r\n", 401),
            (
                "Authorization: Bearer k1\r\nX-Dunelink-Tenant: forged\r\nX-Dunelink-Token-Counts: 1,1\r\n",
                200,
            ),
        ] {
            let mut client = harness.client().await;
            client.send_request_with("/safe/x", "a1", fields).await;
            assert_eq!(client.read_response().await.status, status, "{fields}");
        }
        let received = server.received.borrow()[0].clone();
        assert_eq!(received.header("x-dunelink-tenant"), Some("acme"));
        assert_eq!(received.header("authorization"), None);
    });
}

#[test]
fn quota_excess_gets_429_with_retry_after() {
    run(async {
        let server = Server::start("i-1", |_, _| respond(200, "", "fine")).await;
        let harness = ProxyHarness::with_servers(&[&server]).await;
        harness.agent.send_configuration(&configuration(2, &routes(), TENANTS));
        harness.agent.send(grant_message(&harness.node, 1_000.0));
        let node = harness.node.clone();
        wait_until(|| node.configuration_version() == 2).await;
        let mut served = 0;
        let rejection = loop {
            let mut client = harness.client().await;
            let fields = "Authorization: Bearer k1\r\nX-Dunelink-Token-Counts: 90,10\r\n";
            client.send_request_with("/safe/x", "a1", fields).await;
            let response = client.read_response().await;
            if response.status != 200 {
                break response;
            }
            served += 1;
        };
        assert_eq!(rejection.status, 429);
        let retry_after: f64 = rejection.header("retry-after").unwrap().parse().unwrap();
        assert!(retry_after > 0.0 && served < 50);
        assert_eq!(server.count(), served);
        wait_until(|| harness.agent.reports.borrow().iter().any(|report| !report.demand.tenants.is_empty()))
            .await;
    });
}

/// Returns a configuration whose tenants have these priorities; its service runs a model if `engine` is set.
fn configuration_with_priorities(version: u64, engine: bool, tenants: [u32; 2]) -> String {
    let tenants = [("acme", "k1", tenants[0]), ("blue", "k2", tenants[1])];
    let tenants = tenants.map(|(name, key, priority)| {
        format!(r#"{{"name":"{name}","apiKeys":["{key}"],"priority":{priority}}}"#)
    });
    let base = configuration(version, &routes(), &tenants.join(","));
    let engine_fields =
        r#""maxConns":64,"engine":{"slots":8,"kvTokens":1000,"stride":6,"models":[{"name":"m"}]}"#;
    if engine { base.replace(r#""maxConns":64"#, engine_fields) } else { base }
}

#[test]
fn priority_header_is_sent_only_if_priorities_differ() {
    run(async {
        let server = Server::start("i-1", |_, _| respond(200, "", "fine")).await;
        let harness = ProxyHarness::with_servers(&[&server]).await;
        let node = harness.node.clone();
        // All routes have priority 0, but every tenant has a priority of its own, which takes precedence.
        let expected = [
            (configuration_with_priorities(2, true, [3, 12]), [Some("3"), Some("9")]),
            (configuration_with_priorities(3, true, [0, 0]), [None, None]),
            (configuration_with_priorities(4, false, [3, 12]), [None, None]),
        ];
        for (number, (configuration, expected)) in expected.into_iter().enumerate() {
            harness.agent.send_configuration(&configuration);
            wait_until(|| node.configuration_version() == number as u64 + 2).await;
            for (key, expected) in ["k1", "k2"].into_iter().zip(expected) {
                let mut client = harness.client().await;
                client.send_request_with("/safe/x", "a1", &format!("Authorization: Bearer {key}\r\n")).await;
                assert_eq!(client.read_response().await.status, 200);
                let received = server.received.borrow().last().cloned().unwrap();
                assert_eq!(received.header("priority"), expected, "{number}, {key}");
            }
        }
    });
}
