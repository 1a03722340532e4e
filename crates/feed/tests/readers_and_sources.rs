//! A source and a reader in memory: the data reaches the reader, ages keep growing, and versions never
//! decrease.

use bytes::Bytes;
use dunelink_feed::{
    CHUNK_BYTES, Change, Configuration, FeedReader, FeedSource, FeedState, Freshness, NEVER_CONFIRMED_MS,
};
use dunelink_protocol::{
    ConfigurationChunk, FeedMessage, FeedPosition, GrantUpdate, Heartbeat, RosterOffset, RosterUpdate,
    ServerEntry, ServerSuspicion,
};

const NOW: u64 = 10_000_000;
const MS: u64 = 1_000;
const PERIOD: u64 = 200 * MS;

fn heartbeat(confirmed_age_ms: u64, configuration_version: u64, roster_age_ms: u64) -> Heartbeat {
    Heartbeat { confirmed_age_ms, configuration_version, roster: RosterOffset::default(), roster_age_ms }
}

fn configuration(version: u64, length: usize) -> Configuration {
    Configuration { version, bytes: Bytes::from(vec![version as u8; length]) }
}

fn state_with(configuration: Configuration) -> FeedState {
    FeedState { configuration: Some(configuration), ..FeedState::default() }
}

fn server(id: &str) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        service: "s".into(),
        address: "10.0.0.1:80".into(),
        zone: "z".into(),
        slots: 4,
        ready: true,
        cold_remaining_ms: 0,
        software_version: "v1".into(),
        weights_version: None,
    }
}

fn full_roster(epoch: u64, sequence: u64, id: &str) -> RosterUpdate {
    let offset = RosterOffset { epoch, sequence };
    RosterUpdate { base: None, offset, changed: vec![server(id)], removed: Vec::new() }
}

/// All messages that are due, in order.
fn due_messages(source: &mut FeedSource, state: &FeedState, now: u64) -> Vec<FeedMessage> {
    std::iter::from_fn(|| source.next_message(state, PERIOD, now)).collect()
}

fn kinds(messages: &[FeedMessage]) -> Vec<&'static str> {
    let kind = |message: &FeedMessage| match message {
        FeedMessage::Configuration(_) => "configuration",
        FeedMessage::Roster(_) => "roster",
        FeedMessage::Heartbeat(_) => "heartbeat",
        FeedMessage::Grants(_) => "grants",
        FeedMessage::Members(_) => "members",
        FeedMessage::Suspicions(_) => "suspicions",
        FeedMessage::Loads(_) => "loads",
    };
    messages.iter().map(kind).collect()
}

#[test]
fn empty_reader_gets_all_data_then_heartbeats() {
    let mut state = state_with(configuration(4, CHUNK_BYTES + 1));
    state.roster.apply(full_roster(1, 0, "a"), NOW).expect("valid update");
    state.suspicions.set(vec![ServerSuspicion { server: "a".into(), failed_share: 0.5, reporters: 2 }], NOW);
    let mut source = FeedSource::for_empty_reader();
    let sent = due_messages(&mut source, &state, NOW);
    assert_eq!(kinds(&sent), ["configuration", "configuration", "roster", "suspicions", "heartbeat"]);
    let mut copy = FeedState::default();
    let mut reader = FeedReader::new();
    for message in sent {
        reader.apply(&mut copy, message, NOW).expect("well-formed");
    }
    assert_eq!(copy.configuration, state.configuration);
    assert_eq!(copy.position(), state.position());
    assert_eq!(due_messages(&mut source, &state, NOW + PERIOD - 1), []);
    assert_eq!(kinds(&due_messages(&mut source, &state, NOW + PERIOD)), ["heartbeat"]);
}

#[test]
fn reader_gets_only_newer_data() {
    let mut state = state_with(configuration(4, 10));
    state.roster.apply(full_roster(1, 0, "a"), NOW).expect("valid update");
    let position = state.position();
    let base = Some(position.roster);
    let offset = RosterOffset { epoch: 1, sequence: 1 };
    state.roster.apply(RosterUpdate { base, offset, ..full_roster(1, 1, "b") }, NOW).expect("valid update");
    let sent = due_messages(&mut FeedSource::new(&position), &state, NOW);
    assert_eq!(kinds(&sent), ["roster", "heartbeat"]);
    let FeedMessage::Roster(update) = &sent[0] else { panic!("not a roster") };
    assert_eq!((update.base, update.changed.len()), (base, 1));
    let ahead = FeedPosition { configuration_version: 9, roster: RosterOffset { epoch: 3, sequence: 0 } };
    assert_eq!(kinds(&due_messages(&mut FeedSource::new(&ahead), &state, NOW)), ["heartbeat"]);
}

#[test]
fn newer_configuration_replaces_a_transfer_in_progress() {
    let mut state = state_with(configuration(4, CHUNK_BYTES * 3));
    let mut source = FeedSource::for_empty_reader();
    source.next_message(&state, PERIOD, NOW).expect("the first chunk");
    state.configuration = Some(configuration(5, 10));
    let sent = due_messages(&mut source, &state, NOW);
    let FeedMessage::Configuration(chunk) = &sent[0] else { panic!("not a configuration") };
    assert_eq!((chunk.version, chunk.offset), (5, 0));
    assert_eq!(kinds(&sent), ["configuration", "heartbeat"]);
}

#[test]
fn grants_are_sent_with_their_remaining_lifetime() {
    let mut state = FeedState::default();
    let grants = GrantUpdate {
        valid_ms: 500,
        node_count: 3,
        configuration_version: 1,
        tenants: Vec::new(),
        throttled: Vec::new(),
        ..GrantUpdate::default()
    };
    state.grants.set(grants, NOW);
    let sent = due_messages(&mut FeedSource::for_empty_reader(), &state, NOW + 200 * MS);
    let FeedMessage::Grants(sent) = &sent[0] else { panic!("not grants") };
    assert_eq!((sent.valid_ms, sent.node_count), (300, 3));
    let late = due_messages(&mut FeedSource::for_empty_reader(), &state, NOW + 500 * MS);
    assert_eq!(kinds(&late), ["heartbeat"], "expired grants are not sent");
}

#[test]
fn ages_grow_after_a_heartbeat() {
    let mut state = FeedState::default();
    assert_eq!(state.heartbeat(NOW).confirmed_age_ms, NEVER_CONFIRMED_MS);
    let mut reader = FeedReader::new();
    let received = heartbeat(40, 9, 70);
    assert_eq!(
        reader.apply(&mut state, FeedMessage::Heartbeat(received), NOW),
        Ok(Change::Heartbeat(received))
    );
    let sent = state.heartbeat(NOW + 60 * MS);
    assert_eq!((sent.confirmed_age_ms, sent.configuration_version), (100, 9));
    assert_eq!(sent.roster_age_ms, NEVER_CONFIRMED_MS, "no roster was received yet");
}

#[test]
fn older_confirmation_does_not_replace_a_newer_one() {
    let mut freshness = Freshness::default();
    freshness.update(&heartbeat(10, 5, 20), true, NOW);
    freshness.update(&heartbeat(3_000, 4, 9_000), true, NOW + MS);
    assert_eq!(freshness.confirmed_age_ms(NOW + MS), 11);
    assert_eq!(freshness.roster_age_ms(NOW + MS), 21);
    assert_eq!(freshness.known_version(), 5);
    freshness.update(&heartbeat(NEVER_CONFIRMED_MS, 5, u64::MAX), true, NOW + 2 * MS);
    assert_eq!(freshness.confirmed_age_ms(NOW + 2 * MS), 12);
}

#[test]
fn ages_before_the_clock_origin_are_kept() {
    let mut freshness = Freshness::default();
    freshness.update(&heartbeat(60_000, 1, 60_000), true, MS);
    assert_eq!(freshness.confirmed_age_ms(2 * MS), 60_001);
}

#[test]
fn versions_and_positions_never_decrease() {
    type Event = (u8, u8, u8, u8, bool);
    bolero::check!().with_type::<Vec<Event>>().for_each(|events| {
        let mut state = FeedState::default();
        let mut readers = [FeedReader::new(), FeedReader::new()];
        let mut now = NOW;
        for (kind, a, b, c, second_reader) in events {
            let before = (state.position(), state.heartbeat(now));
            now += u64::from(*c) * MS;
            let message = message(*kind, *a, *b, *c);
            let reader = &mut readers[usize::from(*second_reader)];
            if reader.apply(&mut state, message, now).is_err() {
                *reader = FeedReader::new();
            }
            let after = state.position();
            assert!(after.configuration_version >= before.0.configuration_version);
            assert!(after.roster >= before.0.roster);
            assert!(state.heartbeat(now).configuration_version >= before.1.configuration_version);
            assert!(state.heartbeat(now).confirmed_age_ms <= before.1.confirmed_age_ms + u64::from(*c));
        }
    });
}

fn message(kind: u8, a: u8, b: u8, c: u8) -> FeedMessage {
    let (version, offset) =
        (u64::from(a % 5), RosterOffset { epoch: u64::from(a % 3), sequence: u64::from(b % 5) });
    match kind % 4 {
        0 => FeedMessage::Configuration(ConfigurationChunk {
            version,
            total_bytes: u64::from(b % 4),
            offset: u64::from(c % 4),
            bytes: vec![a; usize::from(c % 3)],
        }),
        1 => FeedMessage::Roster(RosterUpdate { offset, ..full_roster(0, 0, "a") }),
        2 => {
            let base = RosterOffset { epoch: u64::from(c % 3), sequence: u64::from(c % 5) };
            FeedMessage::Roster(RosterUpdate { base: Some(base), offset, ..full_roster(0, 0, "b") })
        }
        _ => FeedMessage::Heartbeat(Heartbeat {
            roster: offset,
            ..heartbeat(u64::from(b) * 10, version, u64::from(c))
        }),
    }
}
