//! The messages that a feed session sends to an agent, and their order.

use bytes::Bytes;
use dunelink_control::feed_session::{FeedSession, TICK_PERIOD_US};
use dunelink_feed::{Configuration, FeedState};
use dunelink_protocol::{ControlMember, FeedMessage, FeedPosition, GrantUpdate, RosterOffset};

/// Time at which sessions start, in microseconds.
const START_US: u64 = 1_000_000;

/// A session of an agent that has no configuration and no roster.
fn session_of_new_agent() -> FeedSession {
    FeedSession::new(&FeedPosition { configuration_version: 0, roster: RosterOffset::default() })
}

/// A configuration of `length` bytes.
fn configuration(version: u64, length: usize) -> Configuration {
    Configuration { version, bytes: Bytes::from(vec![b'x'; length]) }
}

/// All messages that are due at `now`.
fn drain(session: &mut FeedSession, state: &FeedState, now: u64) -> Vec<FeedMessage> {
    std::iter::from_fn(|| session.next_message(state, now)).collect()
}

/// Version and offset of each configuration chunk.
fn configuration_chunks(messages: &[FeedMessage]) -> Vec<(u64, u64)> {
    let chunk = |message: &FeedMessage| match message {
        FeedMessage::Configuration(chunk) => Some((chunk.version, chunk.offset)),
        _ => None,
    };
    messages.iter().filter_map(chunk).collect()
}

#[test]
fn new_agent_gets_heartbeat_then_full_state() {
    let member = ControlMember { internal_address: "192.0.2.1:7680".to_owned(), zone: "east".to_owned() };
    let state = FeedState {
        configuration: Some(configuration(3, 10)),
        members: vec![member.clone()],
        ..FeedState::default()
    };
    let messages = drain(&mut session_of_new_agent(), &state, START_US);
    assert!(matches!(messages[0], FeedMessage::Heartbeat(_)));
    assert!(messages.contains(&FeedMessage::Members(vec![member])));
    assert_eq!(configuration_chunks(&messages), [(3, 0)]);
}

#[test]
fn heartbeats_are_sent_between_configuration_chunks() {
    let state = FeedState { configuration: Some(configuration(3, 1 << 20)), ..FeedState::default() };
    let mut session = session_of_new_agent();
    drain(&mut session, &FeedState::default(), START_US);
    assert!(matches!(session.next_message(&state, START_US + 1), Some(FeedMessage::Configuration(_))));
    assert!(matches!(
        session.next_message(&state, START_US + TICK_PERIOD_US),
        Some(FeedMessage::Heartbeat(_))
    ));
    assert!(matches!(
        session.next_message(&state, START_US + TICK_PERIOD_US + 1),
        Some(FeedMessage::Configuration(_))
    ));
}

#[test]
fn newer_version_replaces_partially_sent_configuration() {
    let mut state = FeedState { configuration: Some(configuration(3, 1 << 20)), ..FeedState::default() };
    let mut session = session_of_new_agent();
    drain(&mut session, &FeedState::default(), START_US);
    let first = session.next_message(&state, START_US);
    state.configuration = Some(configuration(4, 10));
    let remaining = drain(&mut session, &state, START_US);
    assert_eq!(configuration_chunks(&first.into_iter().collect::<Vec<_>>()), [(3, 0)]);
    assert_eq!(configuration_chunks(&remaining), [(4, 0)]);
}

#[test]
fn up_to_date_agent_gets_only_heartbeats() {
    let state = FeedState { configuration: Some(configuration(3, 10)), ..FeedState::default() };
    let mut session = session_of_new_agent();
    drain(&mut session, &state, START_US);
    assert!(drain(&mut session, &state, START_US + 1).is_empty());
    assert_eq!(session.next_tick_due(), START_US + TICK_PERIOD_US);
    let later = drain(&mut session, &state, START_US + TICK_PERIOD_US);
    assert!(matches!(later[..], [FeedMessage::Heartbeat(_)]));
}

#[test]
fn only_the_newest_grants_are_sent() {
    let state = FeedState::default();
    let mut session = session_of_new_agent();
    drain(&mut session, &state, START_US);
    let grant = |version| GrantUpdate {
        valid_ms: 1_500,
        node_count: 3,
        configuration_version: version,
        tenants: Vec::new(),
        throttled: Vec::new(),
        ..GrantUpdate::default()
    };
    session.set_grants(grant(1));
    session.set_grants(grant(2));
    assert_eq!(drain(&mut session, &state, START_US + 1), [FeedMessage::Grants(grant(2))]);
}
