//! The engine: pending calls, list requests from the leader, and delivery of grants to agents.

use std::net::SocketAddr;
use std::time::Duration;

use dunelink_control::change_queue::Reply;
use dunelink_control::engine::Engine;
use dunelink_control::message::{Envelope, PeerMessage};
use dunelink_control::node::{Node, NodeSettings};
use dunelink_control::peer_links::PeerLinks;
use dunelink_grants::QuotaBounds;
use dunelink_protocol::{Hello, LinkKind};
use dunelink_replication::{Member, Message, RecoveredState, ReplicaId, Settings};
use dunelink_runtime::Clock;
use tokio::task::LocalSet;

fn member(number: u8) -> Member {
    let address = |port| SocketAddr::from(([127, 0, 0, number], port));
    Member {
        id: ReplicaId(number.into()),
        internal_address: address(9),
        control_address: address(19),
        zone: String::new(),
    }
}

/// An engine whose disk writes and messages are discarded.
fn engine() -> Engine {
    let clock = Clock::start();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let quota = QuotaBounds { window_s: 8.0, overshoot: 0.1, slack: 0.0 };
    let settings = NodeSettings { replication: Settings::default(), quota, seeds: Vec::new() };
    let node = Node::new(settings, member(1), None, RecoveredState::default(), 1, clock.now(), log.clone());
    let (disk, _commands) = std::sync::mpsc::channel();
    let hello = Hello {
        protocol_version: 1,
        link: LinkKind::Replica,
        node: "core-1".to_owned(),
        ip: "127.0.0.1".to_owned(),
        zone: String::new(),
    };
    Engine::new(clock, log, node, disk, PeerLinks::new(hello))
}

/// Delivers a message from machine 2, which is the leader after its heartbeat.
fn receive_from_leader(engine: &Engine, message: PeerMessage) {
    let envelope = Envelope { from: ReplicaId(2), to: Some(ReplicaId(1)), message };
    engine.update(|node, now, effects| node.handle_message(now, envelope, effects));
}

fn leader_heartbeat() -> PeerMessage {
    let leader = member(2);
    PeerMessage::Replication(Message::Heartbeat {
        term: 1,
        round: 1,
        commit_index: 0,
        leader_holds_lease: true,
        leader,
    })
}

fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn newest_list_request_is_served() {
    block_on(async {
        let engine = engine();
        receive_from_leader(&engine, leader_heartbeat());
        receive_from_leader(&engine, PeerMessage::ListRequest(1));
        receive_from_leader(&engine, PeerMessage::ListRequest(2));
        let (request, to) = engine.next_list_request().await;
        assert_eq!((request, to.id), (2, ReplicaId(2)));
        receive_from_leader(&engine, PeerMessage::ListRequest(3));
        assert_eq!(engine.next_list_request().await.0, 3);
    });
}

#[test]
fn list_request_before_leadership_is_ignored() {
    block_on(async {
        let engine = engine();
        receive_from_leader(&engine, PeerMessage::ListRequest(1));
        receive_from_leader(&engine, leader_heartbeat());
        receive_from_leader(&engine, PeerMessage::ListRequest(2));
        assert_eq!(engine.next_list_request().await.0, 2);
    });
}

#[test]
fn call_times_out_and_late_reply_is_dropped() {
    block_on(async {
        let engine = engine();
        let mut expired_call = 0;
        let reply = engine.call(Duration::ZERO, |_, _, call, _| expired_call = call).await;
        assert_eq!(reply, None);
        assert!(expired_call > 0);
        let reply = engine
            .call(Duration::from_secs(1), |_, _, call, effects| {
                effects.push(dunelink_control::node::Effect::Reply {
                    call: expired_call,
                    reply: Reply::NoConfiguration,
                });
                effects.push(dunelink_control::node::Effect::Reply { call, reply: Reply::Accepted });
            })
            .await;
        assert_eq!(reply, Some(Reply::Accepted));
    });
}

#[test]
fn grants_reach_only_connected_agents_of_their_node() {
    block_on(async {
        let engine = engine();
        let registration = engine.register("front-1".to_owned());
        let other_registration = engine.register("front-2".to_owned());
        let update = dunelink_protocol::GrantUpdate {
            valid_ms: 1_500,
            node_count: 2,
            configuration_version: 3,
            tenants: Vec::new(),
            throttled: Vec::new(),
            ..dunelink_protocol::GrantUpdate::default()
        };
        engine.update(|_, _, effects| {
            effects.push(dunelink_control::node::Effect::Grants {
                node: "front-1".to_owned(),
                update: update.clone(),
            });
        });
        registration.mailbox.wakeup.notified().await;
        assert_eq!(registration.mailbox.take_grants(), Some(update));
        assert_eq!(other_registration.mailbox.take_grants(), None);
        drop(registration);
        assert_eq!(engine.agent_count(), 1);
    });
}
