//! The choice of control machines, over loopback: one that is cut off or gone is left for another.

mod site;

use dunelink_protocol::{ControlMember, FeedMessage};
use site::{Control, Running, Served, chunk, soon, tick, write_settings};

/// The machine that the agent came to first, and the other one.
async fn first_of(one: Control, other: Control) -> (Control, Served, Control) {
    let came_to_one = tokio::select! {
        served = one.accept() => Ok(served),
        served = other.accept() => Err(served),
    };
    match came_to_one {
        Ok(served) => (one, served, other),
        Err(served) => (other, served, one),
    }
}

fn members(machines: &[&Control]) -> FeedMessage {
    let member = |control: &&Control| ControlMember {
        internal_address: control.address.to_string(),
        zone: "z".into(),
    };
    FeedMessage::Members(machines.iter().map(member).collect())
}

#[tokio::test]
async fn a_machine_that_is_cut_off_from_the_leader_is_left() {
    let one = Control::first().await;
    let other = Control::beside(&one).await;
    let agent = Running::start(&[&one, &other]);
    let mut proxy = agent.proxy().await;
    let (_cut, served, healthy) = first_of(one, other).await;
    let left = served.keep_ticking(tick(1, 5_000));
    let mut found = healthy.accept().await;
    found.send(chunk(2, "two")).await;
    let _alive = found.keep_ticking(tick(2, 0));
    assert_eq!(proxy.configuration().await.version, 2);
    proxy.tick(|told| told.confirmed_age_ms < 1_000 && told.configuration_version == 2).await;
    soon(left).await.expect("the first connection is closed");
}

#[tokio::test]
async fn a_silent_machine_is_left() {
    let one = Control::first().await;
    let other = Control::beside(&one).await;
    let _agent = Running::start(&[&one, &other]);
    let (_silent, served, healthy) = first_of(one, other).await;
    let _alive = healthy.accept().await.keep_ticking(tick(1, 0));
    served.until_closed().await;
}

#[tokio::test]
async fn members_told_by_a_source_are_tried_when_it_ends() {
    let seed = Control::first().await;
    let learned = Control::beside(&seed).await;
    let _agent = Running::start(&[&seed]);
    let mut served = seed.accept().await;
    served.send(FeedMessage::Heartbeat(tick(1, 0))).await;
    served.send(members(&[&learned])).await;
    drop(served);
    drop(seed);
    learned.accept().await;
}

#[tokio::test]
async fn a_subscription_tells_what_is_held() {
    let control = Control::first().await;
    let agent = Running::start(&[&control]);
    let mut proxy = agent.proxy().await;
    let mut served = control.accept().await;
    served.send(chunk(4, "four")).await;
    assert_eq!(proxy.configuration().await.version, 4);
    drop(served);
    let again = control.accept().await;
    assert_eq!(again.subscribe.configuration_version, 4);
}

#[tokio::test]
async fn new_seeds_are_used_after_a_reload() {
    let old = Control::first().await;
    let new = Control::beside(&old).await;
    let agent = Running::start(&[&old]);
    let served = old.accept().await;
    write_settings(&agent.settings, agent.ip, agent.port, &[new.address]);
    agent.reload.notify_one();
    new.accept().await;
    drop(served);
}

#[tokio::test]
async fn new_seeds_are_found_without_a_signal() {
    let old = Control::first().await;
    let new = Control::beside(&old).await;
    let agent = Running::start(&[&old]);
    let _served = old.accept().await;
    write_settings(&agent.settings, agent.ip, agent.port, &[new.address, old.address]);
    new.accept().await;
}

#[tokio::test]
async fn a_restart_with_other_seeds_feeds_a_proxy_that_stayed() {
    let old = Control::first().await;
    let new = Control::beside(&old).await;
    let agent = Running::start(&[&old]);
    let mut served = old.accept().await;
    let mut proxy = agent.proxy().await;
    served.send(chunk(4, "four")).await;
    assert_eq!(proxy.configuration().await.version, 4);
    let (ip, port, settings) = (agent.ip, agent.port, agent.settings.clone());
    agent.kill().await;
    write_settings(&settings, ip, port, &[new.address]);
    let agent = Running::restart(ip, port, settings);
    let mut served = new.accept().await;
    assert_eq!(served.subscribe.configuration_version, 0);
    let mut proxy = agent.proxy().await;
    served.send(chunk(6, "six")).await;
    assert_eq!(proxy.configuration().await.version, 6);
}
