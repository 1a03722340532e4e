//! The feed of a control machine reaches the proxy, and the proxy's reports reach the control machine.

mod harness;

use dunelink_protocol::{
    AgentMessage, FeedMessage, GrantUpdate, NodeDemand, ProxyMessage, ProxyReport, RosterOffset,
    RosterUpdate, TenantDemand, TenantGrant,
};
use harness::{ControlStub, RunningAgent, chunk, full_roster, heartbeat, server, within_deadline};

fn report(rate_per_s: f64) -> ProxyReport {
    let demand = vec![TenantDemand {
        tenant: "t".into(),
        rate_per_s,
        admitted: 0.0,
        mean_request_units: 1.0,
        incarnation: 1,
        acknowledged: 0.0,
        ..TenantDemand::default()
    }];
    ProxyReport { demand: NodeDemand { tenants: demand, ..NodeDemand::default() }, ..ProxyReport::default() }
}

#[tokio::test]
async fn configuration_and_roster_reach_the_proxy() {
    let control = ControlStub::at_free_port().await;
    let agent = RunningAgent::start(&[&control]);
    let mut proxy = agent.proxy().await;
    let mut connection = control.accept().await;
    assert_eq!(connection.hello.node, "front");
    assert_eq!(connection.subscribe.configuration_version, 0);
    connection.send(chunk(3, "three")).await;
    assert_eq!(proxy.configuration().await.bytes, b"three");
    connection.send(full_roster(1, 0, &["a"])).await;
    assert_eq!(proxy.roster().await.changed, [server("a")]);
    let base = RosterOffset { epoch: 1, sequence: 0 };
    let offset = RosterOffset { epoch: 1, sequence: 1 };
    let change =
        RosterUpdate { base: Some(base), offset, changed: vec![server("b")], removed: vec!["a".into()] };
    connection.send(FeedMessage::Roster(change.clone())).await;
    assert_eq!(proxy.roster().await, change);
    connection.send(FeedMessage::Heartbeat(heartbeat(3, 10))).await;
    let received = proxy.next_heartbeat(|received| received.confirmed_age_ms < 1_000).await;
    assert_eq!((received.configuration_version, received.roster), (3, offset));
}

#[tokio::test]
async fn proxy_receives_heartbeats_without_a_configuration() {
    let control = ControlStub::at_free_port().await;
    let agent = RunningAgent::start(&[&control]);
    let mut proxy = agent.proxy().await;
    let FeedMessage::Heartbeat(received) = proxy.next().await else { panic!("expected a heartbeat first") };
    assert_eq!(received.configuration_version, 0);
    assert_eq!(received.confirmed_age_ms, u64::MAX / 2);
}

#[tokio::test]
async fn reconnecting_proxy_receives_the_newest_data() {
    let control = ControlStub::at_free_port().await;
    let agent = RunningAgent::start(&[&control]);
    let mut connection = control.accept().await;
    let mut first = agent.proxy().await;
    connection.send(chunk(3, "three")).await;
    connection.send(full_roster(1, 0, &["a"])).await;
    assert_eq!(first.configuration().await.version, 3);
    first.roster().await;
    drop(first);
    let mut second = agent.proxy().await;
    assert_eq!(second.configuration().await.bytes, b"three");
    assert_eq!(second.roster().await.changed, [server("a")]);
    connection.send(chunk(5, "five")).await;
    assert_eq!(second.configuration().await.version, 5);
}

#[tokio::test]
async fn new_proxy_connection_replaces_the_previous_one() {
    let control = ControlStub::at_free_port().await;
    let agent = RunningAgent::start(&[&control]);
    let mut first = agent.proxy().await;
    first.next().await;
    let mut second = agent.proxy().await;
    second.next().await;
    let closed = async { while first.reader.read::<FeedMessage>().await.is_ok() {} };
    within_deadline(closed).await;
    second.next().await;
}

#[tokio::test]
async fn reports_are_forwarded_to_the_control_machine() {
    let control = ControlStub::at_free_port().await;
    let agent = RunningAgent::start(&[&control]);
    let mut connection = control.accept().await;
    let mut proxy = agent.proxy().await;
    assert_eq!(connection.next().await, AgentMessage::Report(ProxyReport::default()), "an empty report");
    within_deadline(proxy.writer.write(&ProxyMessage::Report(report(7.0)))).await.expect("written");
    let received = async {
        loop {
            match connection.next().await {
                AgentMessage::Report(received) if received == report(7.0) => return,
                _ => {}
            }
        }
    };
    within_deadline(received).await;
}

#[tokio::test]
async fn grants_are_forwarded_with_remaining_validity() {
    let control = ControlStub::at_free_port().await;
    let agent = RunningAgent::start(&[&control]);
    let mut connection = control.accept().await;
    let tenants = vec![TenantGrant {
        tenant: "t".into(),
        rate_per_s: 5.0,
        ceiling: 9.0,
        overdraft: 2.0,
        reserved: 2.0,
        incarnation: 1,
        pass_share: 0.5,
        acknowledged: 0.0,
    }];
    let grants = GrantUpdate {
        valid_ms: 60_000,
        node_count: 2,
        configuration_version: 1,
        tenants,
        throttled: Vec::new(),
        ..GrantUpdate::default()
    };
    connection.send(FeedMessage::Grants(grants.clone())).await;
    connection.send(chunk(1, "one")).await;
    let mut proxy = agent.proxy().await;
    let received = proxy
        .next_matching(|message| match message {
            FeedMessage::Grants(received) => Some(received),
            _ => None,
        })
        .await;
    assert_eq!(received.tenants, grants.tenants);
    assert!(received.valid_ms <= grants.valid_ms);
}
