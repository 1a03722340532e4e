//! What clients send, what servers get of it, and what is refused without asking a server.

mod common;

use common::server::{Server, answer};
use common::{System, configuration, routes, run, until};
use dunelink_protocol::{FeedMessage, GrantUpdate, TenantGrant};
use dunelink_proxy::node::Node;

const TENANTS: &str = r#"{"name":"acme","apiKeys":["k1","k2"],"unit":"token_stream","plainTokens":200,"ratePerS":1000,"burst":1000}"#;

fn granted(node: &Node, ceiling: f64) -> FeedMessage {
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
fn a_server_gets_the_request_as_it_was_sent() {
    run(async {
        let one = Server::start("i-1", |_, _| answer(200, "", "fine")).await;
        let system = System::with(&[&one]).await;
        let mut client = system.client().await;
        let fields = "X-Note: 7\r\nConnection: keep-alive, x-hop\r\nX-Hop: 1\r\nX-Dunelink-Tenant: forged\r\nX-Dunelink-Expect-Instance: forged\r\nAuthorization: Bearer k\r\n";
        client.ask_with("/once/a%20b?q=1&r=%2F", "a1", fields).await;
        assert_eq!(client.answer().await.status, 200);
        let received = one.received.borrow()[0].clone();
        assert!(received.head.starts_with("POST /once/a%20b?q=1&r=%2F HTTP/1.1\r\n"));
        assert_eq!(received.body, b"body");
        assert_eq!(received.header("host"), Some("h.example"));
        assert_eq!(received.header("x-note"), Some("7"));
        assert_eq!(received.header("x-dunelink-request-id"), Some("a1"));
        assert_eq!(received.header("x-dunelink-expect-instance"), Some("i-1"));
        for name in ["x-hop", "x-dunelink-tenant", "authorization"] {
            assert_eq!(received.header(name), None, "{name}");
        }
        // The route holds requests for two seconds at most.
        let left: u64 = received.header("x-dunelink-deadline-ms").unwrap().parse().unwrap();
        assert!((1_000..=2_000).contains(&left), "{left}");
    });
}

#[test]
fn bodies_in_chunks_and_kept_connections_work() {
    run(async {
        let one =
            Server::start("i-1", |_, request| answer(200, "", &String::from_utf8_lossy(&request.body))).await;
        let system = System::with(&[&one]).await;
        let mut client = system.client().await;
        for number in 0..10 {
            client
                .send(&format!("POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Dunelink-Request-Id: a{number}\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"))
                .await;
            client.send("2\r\nde\r\n0\r\n\r\n").await;
            assert_eq!(client.answer().await.body, "abcde");
        }
        // Idle connections to the server are used again.
        assert_eq!(one.connections.get(), 1);
    });
}

#[test]
fn requests_that_are_none_are_refused() {
    run(async {
        let one = Server::start("i-1", |_, _| answer(200, "", "fine")).await;
        let system = System::with(&[&one]).await;
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
            let mut client = system.client().await;
            client.send(&text).await;
            assert_eq!(client.answer().await.status, status, "{text}");
        }
        assert_eq!(one.count(), 0);
    });
}

#[test]
fn keys_name_tenants_and_are_not_shown() {
    run(async {
        let one = Server::start("i-1", |_, _| answer(200, "", "fine")).await;
        let system = System::with(&[&one]).await;
        system.agent.configure(&configuration(2, &routes(), TENANTS));
        system.agent.send(granted(&system.node, 1_000.0));
        let node = system.node.clone();
        until(|| node.version() == 2).await;
        for (fields, status) in [
            ("", 401),
            ("Authorization: Bearer other\r\n", 401),
            ("Authorization: Basic k1\r\n", 401),
            (
                "Authorization: Bearer k1\r\nX-Dunelink-Tenant: forged\r\nX-Dunelink-Token-Counts: 1,1\r\n",
                200,
            ),
        ] {
            let mut client = system.client().await;
            client.ask_with("/safe/x", "a1", fields).await;
            assert_eq!(client.answer().await.status, status, "{fields}");
        }
        let received = one.received.borrow()[0].clone();
        assert_eq!(received.header("x-dunelink-tenant"), Some("acme"));
        assert_eq!(received.header("authorization"), None);
    });
}

#[test]
fn what_is_over_the_quota_is_told_when_to_come_back() {
    run(async {
        let one = Server::start("i-1", |_, _| answer(200, "", "fine")).await;
        let system = System::with(&[&one]).await;
        system.agent.configure(&configuration(2, &routes(), TENANTS));
        system.agent.send(granted(&system.node, 1_000.0));
        let node = system.node.clone();
        until(|| node.version() == 2).await;
        let mut served = 0;
        let refused = loop {
            let mut client = system.client().await;
            let fields = "Authorization: Bearer k1\r\nX-Dunelink-Token-Counts: 90,10\r\n";
            client.ask_with("/safe/x", "a1", fields).await;
            let answered = client.answer().await;
            if answered.status != 200 {
                break answered;
            }
            served += 1;
        };
        assert_eq!(refused.status, 429);
        let after: f64 = refused.header("retry-after").unwrap().parse().unwrap();
        assert!(after > 0.0 && served < 50);
        assert_eq!(one.count(), served);
        until(|| system.agent.reports.borrow().iter().any(|report| !report.demand.tenants.is_empty())).await;
    });
}

/// A configuration whose service runs a model, if `engine` says so, and whose tenants have these priorities.
fn ranked(version: u64, engine: bool, tenants: [u32; 2]) -> String {
    let tenants = [("acme", "k1", tenants[0]), ("blue", "k2", tenants[1])];
    let tenants = tenants.map(|(name, key, priority)| {
        format!(r#"{{"name":"{name}","apiKeys":["{key}"],"priority":{priority}}}"#)
    });
    let plain = configuration(version, &routes(), &tenants.join(","));
    let with = r#""maxConns":64,"engine":{"slots":8,"kvTokens":1000,"stride":6,"models":[{"name":"m"}]}"#;
    if engine { plain.replace(r#""maxConns":64"#, with) } else { plain }
}

#[test]
fn model_servers_are_told_how_urgent_a_request_is_where_requests_differ() {
    run(async {
        let one = Server::start("i-1", |_, _| answer(200, "", "fine")).await;
        let system = System::with(&[&one]).await;
        let node = system.node.clone();
        // Routes have priority 0, which stands for no tenant here.
        let told = [
            (ranked(2, true, [3, 12]), [Some("3"), Some("9")]),
            (ranked(3, true, [0, 0]), [None, None]),
            (ranked(4, false, [3, 12]), [None, None]),
        ];
        for (number, (configuration, told)) in told.into_iter().enumerate() {
            system.agent.configure(&configuration);
            until(|| node.version() == number as u64 + 2).await;
            for (key, told) in ["k1", "k2"].into_iter().zip(told) {
                let mut client = system.client().await;
                client.ask_with("/safe/x", "a1", &format!("Authorization: Bearer {key}\r\n")).await;
                assert_eq!(client.answer().await.status, 200);
                let received = one.received.borrow().last().cloned().unwrap();
                assert_eq!(received.header("priority"), told, "{number}, {key}");
            }
        }
    });
}
