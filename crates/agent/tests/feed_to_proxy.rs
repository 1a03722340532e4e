//! What a control machine feeds reaches the proxy; what the proxy reports reaches the control machine.

mod site;

use dunelink_protocol::{
    AgentMessage, FeedMessage, GrantUpdate, NodeDemand, ProxyMessage, ProxyReport, RosterOffset,
    RosterUpdate, TenantDemand, TenantGrant,
};
use site::{Control, Running, chunk, server, soon, tick, whole_roster};

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
    let control = Control::first().await;
    let agent = Running::start(&[&control]);
    let mut proxy = agent.proxy().await;
    let mut served = control.accept().await;
    assert_eq!(served.hello.node, "front");
    assert_eq!(served.subscribe.configuration_version, 0);
    served.send(chunk(3, "three")).await;
    assert_eq!(proxy.configuration().await.bytes, b"three");
    served.send(whole_roster(1, 0, &["a"])).await;
    assert_eq!(proxy.roster().await.changed, [server("a")]);
    let base = RosterOffset { epoch: 1, sequence: 0 };
    let offset = RosterOffset { epoch: 1, sequence: 1 };
    let change =
        RosterUpdate { base: Some(base), offset, changed: vec![server("b")], removed: vec!["a".into()] };
    served.send(FeedMessage::Roster(change.clone())).await;
    assert_eq!(proxy.roster().await, change);
    served.send(FeedMessage::Heartbeat(tick(3, 10))).await;
    let told = proxy.tick(|told| told.confirmed_age_ms < 1_000).await;
    assert_eq!((told.configuration_version, told.roster), (3, offset));
}

#[tokio::test]
async fn without_a_configuration_the_proxy_gets_signs_of_life_only() {
    let control = Control::first().await;
    let agent = Running::start(&[&control]);
    let mut proxy = agent.proxy().await;
    let FeedMessage::Heartbeat(told) = proxy.next().await else { panic!("a sign of life comes first") };
    assert_eq!(told.configuration_version, 0);
    assert_eq!(told.confirmed_age_ms, u64::MAX / 2);
}

#[tokio::test]
async fn a_proxy_that_reconnects_gets_the_newest() {
    let control = Control::first().await;
    let agent = Running::start(&[&control]);
    let mut served = control.accept().await;
    let mut first = agent.proxy().await;
    served.send(chunk(3, "three")).await;
    served.send(whole_roster(1, 0, &["a"])).await;
    assert_eq!(first.configuration().await.version, 3);
    first.roster().await;
    drop(first);
    let mut second = agent.proxy().await;
    assert_eq!(second.configuration().await.bytes, b"three");
    assert_eq!(second.roster().await.changed, [server("a")]);
    served.send(chunk(5, "five")).await;
    assert_eq!(second.configuration().await.version, 5);
}

#[tokio::test]
async fn the_newest_connection_of_the_proxy_replaces_the_one_before() {
    let control = Control::first().await;
    let agent = Running::start(&[&control]);
    let mut first = agent.proxy().await;
    first.next().await;
    let mut second = agent.proxy().await;
    second.next().await;
    let closed = async { while first.reader.read::<FeedMessage>().await.is_ok() {} };
    soon(closed).await;
    second.next().await;
}

#[tokio::test]
async fn reports_are_passed_up() {
    let control = Control::first().await;
    let agent = Running::start(&[&control]);
    let mut served = control.accept().await;
    let mut proxy = agent.proxy().await;
    assert_eq!(served.next().await, AgentMessage::Report(ProxyReport::default()), "a sign of life");
    soon(proxy.writer.write(&ProxyMessage::Report(report(7.0)))).await.expect("written");
    let passed = async {
        loop {
            match served.next().await {
                AgentMessage::Report(passed) if passed == report(7.0) => return,
                _ => {}
            }
        }
    };
    soon(passed).await;
}

#[tokio::test]
async fn grants_are_passed_down_with_what_is_left_of_them() {
    let control = Control::first().await;
    let agent = Running::start(&[&control]);
    let mut served = control.accept().await;
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
    served.send(FeedMessage::Grants(grants.clone())).await;
    served.send(chunk(1, "one")).await;
    let mut proxy = agent.proxy().await;
    let passed = proxy
        .until(|message| match message {
            FeedMessage::Grants(passed) => Some(passed),
            _ => None,
        })
        .await;
    assert_eq!(passed.tenants, grants.tenants);
    assert!(passed.valid_ms <= grants.valid_ms);
}
