//! Framing: messages survive a round trip, also when split into single bytes; malformed input does not panic.

use bytes::BytesMut;
use dunelink_protocol::{
    AgentMessage, ConfigurationChunk, FeedMessage, FeedPosition, FrameError, NodeDemand, NodeLoads,
    ProxyReport, RosterOffset, ServerLoad, TenantDemand, decode, encode, server_key,
};

fn chunk() -> FeedMessage {
    let bytes = vec![7; 300];
    FeedMessage::Configuration(ConfigurationChunk { version: 9, total_bytes: 300, offset: 0, bytes })
}

#[test]
fn messages_decode_when_bytes_arrive_one_by_one() {
    let mut sent = BytesMut::new();
    encode(&chunk(), &mut sent);
    encode(&chunk(), &mut sent);
    let mut received = BytesMut::new();
    let mut messages = Vec::new();
    for byte in sent.iter().copied() {
        received.extend_from_slice(&[byte]);
        if let Some(message) = decode::<FeedMessage>(&mut received).expect("well-formed") {
            messages.push(message);
        }
    }
    assert_eq!(messages, [chunk(), chunk()]);
}

#[test]
fn agent_messages_round_trip() {
    let demand = vec![TenantDemand {
        tenant: "a".into(),
        rate_per_s: 12.5,
        admitted: 70.0,
        mean_request_units: 9.0,
        incarnation: 1,
        acknowledged: 0.0,
        ..TenantDemand::default()
    }];
    let report = AgentMessage::Report(ProxyReport {
        demand: NodeDemand { tenants: demand, ..NodeDemand::default() },
        observations: Vec::new(),
        loads: NodeLoads {
            is_full: true,
            servers: vec![ServerLoad {
                server_key: server_key("i-1"),
                in_flight: 3,
                pending_prompt_units: 18,
            }],
        },
    });
    let roster = RosterOffset { epoch: 3, sequence: 4 };
    let subscribe = AgentMessage::Subscribe(FeedPosition { configuration_version: 5, roster });
    let mut buffer = BytesMut::new();
    encode(&report, &mut buffer);
    encode(&subscribe, &mut buffer);
    assert_eq!(decode::<AgentMessage>(&mut buffer).expect("well-formed"), Some(report));
    assert_eq!(decode::<AgentMessage>(&mut buffer).expect("well-formed"), Some(subscribe));
    assert!(buffer.is_empty());
}

#[test]
fn oversized_length_is_refused_before_the_body_arrives() {
    let mut buffer = BytesMut::from(&[0xff, 0xff, 0xff, 0x7f][..]);
    assert!(matches!(decode::<FeedMessage>(&mut buffer), Err(FrameError::TooLarge(_))));
}

#[test]
fn malformed_bytes_do_not_panic() {
    bolero::check!().with_iterations(20_000).for_each(|bytes: &[u8]| {
        let mut buffer = BytesMut::from(bytes);
        while let Ok(Some(_)) = decode::<FeedMessage>(&mut buffer) {}
        let mut buffer = BytesMut::from(bytes);
        while let Ok(Some(_)) = decode::<AgentMessage>(&mut buffer) {}
    });
}
