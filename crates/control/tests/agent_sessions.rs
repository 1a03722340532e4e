//! What an agent is sent, and in which order.

use bytes::Bytes;
use dunelink_control::feed_session::{FeedSession, TICK_PERIOD_US};
use dunelink_feed::{Configuration, FeedState};
use dunelink_protocol::{ControlMember, FeedMessage, FeedPosition, GrantUpdate, RosterOffset};

const START: u64 = 1_000_000;

fn empty_handed() -> FeedSession {
    FeedSession::new(&FeedPosition { configuration_version: 0, roster: RosterOffset::default() })
}

fn configuration(version: u64, length: usize) -> Configuration {
    Configuration { version, bytes: Bytes::from(vec![b'x'; length]) }
}

/// All messages that are due at `now`.
fn drain(session: &mut FeedSession, state: &FeedState, now: u64) -> Vec<FeedMessage> {
    std::iter::from_fn(|| session.next_message(state, now)).collect()
}

fn chunks(messages: &[FeedMessage]) -> Vec<(u64, u64)> {
    let chunk = |message: &FeedMessage| match message {
        FeedMessage::Configuration(chunk) => Some((chunk.version, chunk.offset)),
        _ => None,
    };
    messages.iter().filter_map(chunk).collect()
}

#[test]
fn a_new_agent_gets_a_sign_of_life_first_and_then_everything() {
    let member = ControlMember { internal_address: "192.0.2.1:7680".to_owned(), zone: "east".to_owned() };
    let state = FeedState {
        configuration: Some(configuration(3, 10)),
        members: vec![member.clone()],
        ..FeedState::default()
    };
    let messages = drain(&mut empty_handed(), &state, START);
    assert!(matches!(messages[0], FeedMessage::Heartbeat(_)));
    assert!(messages.contains(&FeedMessage::Members(vec![member])));
    assert_eq!(chunks(&messages), [(3, 0)]);
}

#[test]
fn signs_of_life_come_between_the_parts_of_a_configuration() {
    let state = FeedState { configuration: Some(configuration(3, 1 << 20)), ..FeedState::default() };
    let mut session = empty_handed();
    drain(&mut session, &FeedState::default(), START);
    assert!(matches!(session.next_message(&state, START + 1), Some(FeedMessage::Configuration(_))));
    assert!(matches!(session.next_message(&state, START + TICK_PERIOD_US), Some(FeedMessage::Heartbeat(_))));
    assert!(matches!(
        session.next_message(&state, START + TICK_PERIOD_US + 1),
        Some(FeedMessage::Configuration(_))
    ));
}

#[test]
fn a_newer_version_takes_the_place_of_one_that_is_being_sent() {
    let mut state = FeedState { configuration: Some(configuration(3, 1 << 20)), ..FeedState::default() };
    let mut session = empty_handed();
    drain(&mut session, &FeedState::default(), START);
    let first = session.next_message(&state, START);
    state.configuration = Some(configuration(4, 10));
    let rest = drain(&mut session, &state, START);
    assert_eq!(chunks(&first.into_iter().collect::<Vec<_>>()), [(3, 0)]);
    assert_eq!(chunks(&rest), [(4, 0)]);
}

#[test]
fn an_agent_that_has_everything_gets_signs_of_life_alone() {
    let state = FeedState { configuration: Some(configuration(3, 10)), ..FeedState::default() };
    let mut session = empty_handed();
    drain(&mut session, &state, START);
    assert!(drain(&mut session, &state, START + 1).is_empty());
    assert_eq!(session.next_tick_due(), START + TICK_PERIOD_US);
    let later = drain(&mut session, &state, START + TICK_PERIOD_US);
    assert!(matches!(later[..], [FeedMessage::Heartbeat(_)]));
}

#[test]
fn only_the_newest_grants_are_sent() {
    let state = FeedState::default();
    let mut session = empty_handed();
    drain(&mut session, &state, START);
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
    assert_eq!(drain(&mut session, &state, START + 1), [FeedMessage::Grants(grant(2))]);
}
