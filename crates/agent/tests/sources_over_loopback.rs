//! Selection of control machines over loopback: the agent moves from one that is isolated or down to another.

mod harness;

use dunelink_protocol::{ControlMember, FeedMessage};
use harness::{
    AgentConnection, ControlStub, RunningAgent, chunk, heartbeat, within_deadline, write_settings,
};

/// The machine that the agent connects to first, with that connection, and the other machine.
async fn accept_first(one: ControlStub, other: ControlStub) -> (ControlStub, AgentConnection, ControlStub) {
    let first_connected = tokio::select! {
        connection = one.accept() => Ok(connection),
        connection = other.accept() => Err(connection),
    };
    match first_connected {
        Ok(connection) => (one, connection, other),
        Err(connection) => (other, connection, one),
    }
}

fn members(machines: &[&ControlStub]) -> FeedMessage {
    let member = |control: &&ControlStub| ControlMember {
        internal_address: control.address.to_string(),
        zone: "z".into(),
    };
    FeedMessage::Members(machines.iter().map(member).collect())
}

#[tokio::test]
async fn agent_leaves_machine_without_leader_contact() {
    let one = ControlStub::at_free_port().await;
    let other = ControlStub::at_port_of(&one).await;
    let agent = RunningAgent::start(&[&one, &other]);
    let mut proxy = agent.proxy().await;
    let (_isolated, connection, healthy) = accept_first(one, other).await;
    let first_heartbeats = connection.send_heartbeats(heartbeat(1, 5_000));
    let mut healthy_connection = healthy.accept().await;
    healthy_connection.send(chunk(2, "two")).await;
    let _heartbeats = healthy_connection.send_heartbeats(heartbeat(2, 0));
    assert_eq!(proxy.configuration().await.version, 2);
    proxy
        .next_heartbeat(|received| received.confirmed_age_ms < 1_000 && received.configuration_version == 2)
        .await;
    within_deadline(first_heartbeats).await.expect("the first connection is closed");
}

#[tokio::test]
async fn agent_leaves_silent_machine() {
    let one = ControlStub::at_free_port().await;
    let other = ControlStub::at_port_of(&one).await;
    let _agent = RunningAgent::start(&[&one, &other]);
    let (_silent, connection, healthy) = accept_first(one, other).await;
    let _heartbeats = healthy.accept().await.send_heartbeats(heartbeat(1, 0));
    connection.until_closed().await;
}

#[tokio::test]
async fn learned_members_are_tried_after_the_source_ends() {
    let seed = ControlStub::at_free_port().await;
    let learned = ControlStub::at_port_of(&seed).await;
    let _agent = RunningAgent::start(&[&seed]);
    let mut connection = seed.accept().await;
    connection.send(FeedMessage::Heartbeat(heartbeat(1, 0))).await;
    connection.send(members(&[&learned])).await;
    drop(connection);
    drop(seed);
    learned.accept().await;
}

#[tokio::test]
async fn subscription_states_the_received_version() {
    let control = ControlStub::at_free_port().await;
    let agent = RunningAgent::start(&[&control]);
    let mut proxy = agent.proxy().await;
    let mut connection = control.accept().await;
    connection.send(chunk(4, "four")).await;
    assert_eq!(proxy.configuration().await.version, 4);
    drop(connection);
    let again = control.accept().await;
    assert_eq!(again.subscribe.configuration_version, 4);
}

#[tokio::test]
async fn new_seeds_are_used_after_a_reload() {
    let old = ControlStub::at_free_port().await;
    let new = ControlStub::at_port_of(&old).await;
    let agent = RunningAgent::start(&[&old]);
    let connection = old.accept().await;
    write_settings(&agent.settings, agent.ip, agent.port, &[new.address]);
    agent.reload.notify_one();
    new.accept().await;
    drop(connection);
}

#[tokio::test]
async fn new_seeds_are_used_without_a_signal() {
    let old = ControlStub::at_free_port().await;
    let new = ControlStub::at_port_of(&old).await;
    let agent = RunningAgent::start(&[&old]);
    let _served = old.accept().await;
    write_settings(&agent.settings, agent.ip, agent.port, &[new.address, old.address]);
    new.accept().await;
}

#[tokio::test]
async fn restart_with_other_seeds_feeds_the_running_proxy() {
    let old = ControlStub::at_free_port().await;
    let new = ControlStub::at_port_of(&old).await;
    let agent = RunningAgent::start(&[&old]);
    let mut connection = old.accept().await;
    let mut proxy = agent.proxy().await;
    connection.send(chunk(4, "four")).await;
    assert_eq!(proxy.configuration().await.version, 4);
    let (ip, port, settings) = (agent.ip, agent.port, agent.settings.clone());
    agent.kill().await;
    write_settings(&settings, ip, port, &[new.address]);
    let agent = RunningAgent::restart(ip, port, settings);
    let mut connection = new.accept().await;
    assert_eq!(connection.subscribe.configuration_version, 0);
    let mut proxy = agent.proxy().await;
    connection.send(chunk(6, "six")).await;
    assert_eq!(proxy.configuration().await.version, 6);
}
