//! The agent's feed, the reports to the agent, and readiness.

mod common;

use std::time::Duration;

use common::server::{Server, Step, respond};
use common::{ProxyHarness, configuration, routes, run, wait_until};
use dunelink_protocol::{
    ConfigurationChunk, FeedMessage, Heartbeat, LinkKind, RosterOffset, ServerSuspicion,
};
use dunelink_proxy::request_failure::RequestFailure;

#[test]
fn readiness_starts_with_confirmation_and_lasts() {
    run(async {
        let server_1 = Server::start("i-1", |_, _| respond(200, "", "fine")).await;
        let harness = ProxyHarness::unconfigured().await;
        let node = harness.node.clone();
        assert_eq!(harness.readiness_status().await, 503);
        let rejection = harness.client().await.call("/safe/x", "a1").await;
        assert!(rejection.status == 503 && rejection.header("retry-after").is_some());
        harness.agent.send_configuration(&configuration(1, &routes(), ""));
        harness.agent.set_servers(&[&server_1]);
        // The agent has had no contact with the control nodes for too long, or knows a newer version.
        harness.agent.send_heartbeat(5_000, 1);
        harness.agent.send_heartbeat(0, 2);
        wait_until(|| node.configuration_version() == 1).await;
        assert_eq!(harness.client().await.call("/safe/x", "a1").await.status, 200);
        assert_eq!(harness.readiness_status().await, 503);
        wait_until(|| node.clock.uptime() > Duration::from_millis(10)).await;
        harness.agent.send_heartbeat(10, 1);
        wait_until(|| node.is_ready()).await;
        assert_eq!(harness.readiness_status().await, 200);
        harness.agent.send_heartbeat(9_000, 1);
        harness.agent.send_heartbeat(0, 2);
        assert_eq!(harness.readiness_status().await, 200);
        assert_eq!(harness.agent.hellos.borrow()[0].link, LinkKind::Proxy);
    });
}

#[test]
fn unconfigured_retry_after_is_expected_configuration_time() {
    let retry_after_ms = |uptime_ms, remaining_ms| {
        let remaining = Duration::from_millis(remaining_ms);
        let failure = RequestFailure::not_configured(Duration::from_millis(uptime_ms)).capped_for(remaining);
        let RequestFailure::NotExecuted { retry_after } = failure else { panic!("{failure:?}") };
        retry_after.as_millis()
    };
    // The whole fleet may just have started.
    assert_eq!(retry_after_ms(0, 12_000), 1_500);
    assert_eq!(retry_after_ms(400, 12_000), 1_100);
    assert_eq!(retry_after_ms(60_000, 12_000), 300);
    // The value is limited to 0.3 of the client's remaining time.
    assert_eq!(retry_after_ms(0, 1_500), 450);
}

#[test]
fn unconfigured_retry_after_fits_client_timeout() {
    run(async {
        let harness = ProxyHarness::unconfigured().await;
        let rejection = harness.client().await.call("/safe/x", "a1").await;
        let retry_after: f64 = rejection.header("retry-after").unwrap().parse().unwrap();
        // The upper bound is 0.3 of the client's timeout of 3 s.
        assert!(rejection.status == 503 && (0.3..=0.9).contains(&retry_after), "{retry_after} s");
    });
}

#[test]
fn older_configuration_is_ignored() {
    run(async {
        let server_1 = Server::start("i-1", |_, _| respond(200, "", "fine")).await;
        let harness = ProxyHarness::with_servers(&[&server_1]).await;
        let node = harness.node.clone();
        harness.agent.send_configuration(&configuration(7, &routes()[..1], ""));
        wait_until(|| node.configuration_version() == 7).await;
        harness.agent.send_configuration(&configuration(6, &routes(), ""));
        let bytes = b"{".to_vec();
        let gap_chunk = ConfigurationChunk { version: 8, total_bytes: 9, offset: 5, bytes };
        harness.agent.send(FeedMessage::Configuration(gap_chunk));
        // A chunk without its predecessor ends the connection; a new one starts with the complete state.
        wait_until(|| harness.agent.hellos.borrow().len() == 2).await;
        assert_eq!(node.configuration_version(), 7);
        harness.agent.send_configuration(&configuration(6, &routes(), ""));
        harness.agent.send_configuration(&configuration(9, &routes()[..2], ""));
        wait_until(|| node.configuration_version() == 9).await;
        assert_eq!(harness.client().await.call("/once/x", "a1").await.status, 200);
        assert_eq!(harness.client().await.call("/flow/x", "a1").await.status, 404);
    });
}

#[test]
fn unusable_server_gets_no_requests_and_is_disconnected() {
    run(async {
        let server_1 = Server::start("i-1", |_, _| respond(200, "", "one")).await;
        let server_2 = Server::start("i-2", |_, _| respond(200, "", "two")).await;
        let harness = ProxyHarness::with_servers(&[&server_1]).await;
        assert_eq!(harness.client().await.call("/safe/x", "a1").await.body, "one");
        let mut not_ready = server_1.entry();
        not_ready.ready = false;
        harness.agent.send_roster(vec![not_ready, server_2.entry()]);
        wait_until(|| server_1.closed_connections.get() == 1).await;
        assert_eq!(harness.client().await.call("/safe/x", "a2").await.body, "two");
        // A new incarnation at the same address must not get the old incarnation's connections.
        let mut replacement = server_2.entry();
        replacement.id = "i-3".to_owned();
        harness.agent.send_roster(vec![replacement]);
        wait_until(|| server_2.closed_connections.get() == 1).await;
        assert_eq!(harness.client().await.call("/safe/x", "a3").await.body, "two");
        assert_eq!(server_2.received.borrow()[1].header("x-dunelink-expect-instance"), Some("i-3"));
    });
}

#[test]
fn attempt_outcomes_are_reported() {
    run(async {
        let server_1 =
            Server::start("i-1", |n, _| if n == 0 { vec![Step::Close] } else { respond(200, "", "") }).await;
        let harness = ProxyHarness::with_servers(&[&server_1]).await;
        assert_eq!(harness.client().await.call("/once/x", "a1").await.status, 502);
        assert_eq!(harness.client().await.call("/once/x", "a2").await.status, 200);
        let counts = || {
            let reports = harness.agent.reports.borrow();
            let all = reports.iter().flat_map(|report| &report.observations);
            all.fold((0, 0), |sum, observation| (sum.0 + observation.served, sum.1 + observation.failed))
        };
        wait_until(|| counts() == (1, 1)).await;
    });
}

#[test]
fn confirmation_from_before_start_is_ignored() {
    run(async {
        let server_1 = Server::start("i-1", |_, _| respond(200, "", "fine")).await;
        let harness = ProxyHarness::unconfigured().await;
        let node = harness.node.clone();
        harness.agent.send_configuration(&configuration(1, &routes(), ""));
        harness.agent.set_servers(&[&server_1]);
        wait_until(|| node.configuration_version() == 1).await;
        assert_eq!(harness.client().await.call("/safe/x", "a1").await.status, 200);
        let (configuration_version, roster) = (1, RosterOffset::default());
        let age_before_start_ms = node.clock.uptime().as_millis() as u64 + 100;
        node.observe_heartbeat(&Heartbeat {
            confirmed_age_ms: age_before_start_ms,
            configuration_version,
            roster,
            roster_age_ms: 0,
        });
        assert!(!node.is_ready());
        node.observe_heartbeat(&Heartbeat {
            confirmed_age_ms: 0,
            configuration_version,
            roster,
            roster_age_ms: 0,
        });
        assert!(node.is_ready());
    });
}

#[test]
fn stale_roster_is_ignored_and_gap_reconnects() {
    run(async {
        let server_1 = Server::start("i-1", |_, _| respond(200, "", "one")).await;
        let server_2 = Server::start("i-2", |_, _| respond(200, "", "two")).await;
        let harness = ProxyHarness::with_servers(&[&server_1]).await;
        let hello_count = || harness.agent.hellos.borrow().len();
        let mut not_ready = server_1.entry();
        not_ready.ready = false;
        harness.agent.send_roster_at(5, Some(1), vec![not_ready, server_2.entry()]);
        wait_until(|| harness.node.router.borrow().status(0).len() == 2).await;
        // An older complete roster, and another one with the same sequence number.
        harness.agent.send_roster_at(3, None, vec![server_1.entry()]);
        harness.agent.send_roster_at(5, None, vec![server_1.entry()]);
        harness.agent.send_configuration(&configuration(2, &routes(), ""));
        wait_until(|| harness.node.configuration_version() == 2).await;
        assert_eq!(harness.client().await.call("/safe/x", "a1").await.body, "two");
        assert_eq!(hello_count(), 1);
        harness.agent.send_roster_at(9, Some(8), vec![server_1.entry()]);
        wait_until(|| hello_count() == 2).await;
        assert_eq!(harness.client().await.call("/safe/x", "a2").await.body, "two");
        harness.agent.send_roster_at(9, None, vec![server_1.entry()]);
        wait_until(|| harness.node.router.borrow().status(0).len() == 1).await;
        assert_eq!(harness.client().await.call("/safe/x", "a3").await.body, "one");
    });
}

#[test]
fn suspected_server_is_avoided() {
    run(async {
        let server_1 = Server::start("i-1", |_, _| respond(200, "", "fine")).await;
        let server_2 = Server::start("i-2", |_, _| respond(200, "", "fine")).await;
        let harness = ProxyHarness::with_servers(&[&server_1, &server_2]).await;
        let suspicion = ServerSuspicion { server: server_1.id.clone(), failed_share: 1.0, reporters: 2 };
        harness.agent.send(FeedMessage::Suspicions(vec![suspicion]));
        harness.agent.send_configuration(&configuration(2, &routes(), ""));
        wait_until(|| harness.node.configuration_version() == 2).await;
        for number in 0..20 {
            assert_eq!(harness.client().await.call("/safe/x", &format!("a{number}")).await.status, 200);
        }
        assert_eq!((server_1.count(), server_2.count()), (0, 20));
        // The suspected server is used if there is no other one.
        harness.agent.set_servers(&[&server_1]);
        wait_until(|| harness.node.router.borrow().status(0).len() == 1).await;
        assert_eq!(harness.client().await.call("/safe/x", "b1").await.status, 200);
        assert_eq!(server_1.count(), 1);
    });
}

#[test]
fn retry_after_has_jitter() {
    let retry_after = Duration::from_millis(1_000);
    let mut retry_after_ms: Vec<u128> = Vec::new();
    for _ in 0..200 {
        let RequestFailure::NotExecuted { retry_after } =
            (RequestFailure::NotExecuted { retry_after }).with_jitter()
        else {
            panic!("expected NotExecuted")
        };
        retry_after_ms.push(retry_after.as_millis());
    }
    assert!(retry_after_ms.iter().all(|millis| (850..=1_150).contains(millis)), "{retry_after_ms:?}");
    retry_after_ms.sort_unstable();
    assert!(retry_after_ms[20] < 950 && retry_after_ms[180] > 1_050, "{retry_after_ms:?}");
    // The value is limited to 0.3 of the client's remaining time.
    let capped =
        (RequestFailure::NotExecuted { retry_after }).with_jitter().capped_for(Duration::from_millis(600));
    assert_eq!(capped, RequestFailure::NotExecuted { retry_after: Duration::from_millis(180) });
    assert_eq!(RequestFailure::TimedOut.with_jitter(), RequestFailure::TimedOut);
}
