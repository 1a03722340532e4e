//! A source and a reader in memory: what one holds reaches the other; freshness is counted on; nothing goes back.

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

fn tick(confirmed_age_ms: u64, configuration_version: u64, roster_age_ms: u64) -> Heartbeat {
    Heartbeat { confirmed_age_ms, configuration_version, roster: RosterOffset::default(), roster_age_ms }
}

fn configuration(version: u64, length: usize) -> Configuration {
    Configuration { version, bytes: Bytes::from(vec![version as u8; length]) }
}

fn holding(configuration: Configuration) -> FeedState {
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

fn whole_roster(epoch: u64, sequence: u64, id: &str) -> RosterUpdate {
    let offset = RosterOffset { epoch, sequence };
    RosterUpdate { base: None, offset, changed: vec![server(id)], removed: Vec::new() }
}

/// All that is due, in order.
fn drain(source: &mut FeedSource, state: &FeedState, now: u64) -> Vec<FeedMessage> {
    std::iter::from_fn(|| source.next_message(state, PERIOD, now)).collect()
}

fn kinds(messages: &[FeedMessage]) -> Vec<&'static str> {
    let kind = |message: &FeedMessage| match message {
        FeedMessage::Configuration(_) => "configuration",
        FeedMessage::Roster(_) => "roster",
        FeedMessage::Heartbeat(_) => "tick",
        FeedMessage::Grants(_) => "grants",
        FeedMessage::Members(_) => "members",
        FeedMessage::Suspicions(_) => "suspicions",
        FeedMessage::Loads(_) => "loads",
    };
    messages.iter().map(kind).collect()
}

#[test]
fn a_reader_with_nothing_gets_everything_and_then_signs_of_life() {
    let mut state = holding(configuration(4, CHUNK_BYTES + 1));
    state.roster.apply(whole_roster(1, 0, "a"), NOW).expect("fits");
    state.suspicions.set(vec![ServerSuspicion { server: "a".into(), failed_share: 0.5, reporters: 2 }], NOW);
    let mut source = FeedSource::for_empty_reader();
    let sent = drain(&mut source, &state, NOW);
    assert_eq!(kinds(&sent), ["configuration", "configuration", "roster", "suspicions", "tick"]);
    let mut copy = FeedState::default();
    let mut reader = FeedReader::new();
    for message in sent {
        reader.apply(&mut copy, message, NOW).expect("well-formed");
    }
    assert_eq!(copy.configuration, state.configuration);
    assert_eq!(copy.position(), state.position());
    assert_eq!(drain(&mut source, &state, NOW + PERIOD - 1), []);
    assert_eq!(kinds(&drain(&mut source, &state, NOW + PERIOD)), ["tick"]);
}

#[test]
fn a_reader_gets_what_it_lacks_only() {
    let mut state = holding(configuration(4, 10));
    state.roster.apply(whole_roster(1, 0, "a"), NOW).expect("fits");
    let held = state.position();
    let base = Some(held.roster);
    let offset = RosterOffset { epoch: 1, sequence: 1 };
    state.roster.apply(RosterUpdate { base, offset, ..whole_roster(1, 1, "b") }, NOW).expect("fits");
    let sent = drain(&mut FeedSource::new(&held), &state, NOW);
    assert_eq!(kinds(&sent), ["roster", "tick"]);
    let FeedMessage::Roster(update) = &sent[0] else { panic!("a roster") };
    assert_eq!((update.base, update.changed.len()), (base, 1));
    let ahead = FeedPosition { configuration_version: 9, roster: RosterOffset { epoch: 3, sequence: 0 } };
    assert_eq!(kinds(&drain(&mut FeedSource::new(&ahead), &state, NOW)), ["tick"]);
}

#[test]
fn a_newer_configuration_replaces_one_that_is_being_sent() {
    let mut state = holding(configuration(4, CHUNK_BYTES * 3));
    let mut source = FeedSource::for_empty_reader();
    source.next_message(&state, PERIOD, NOW).expect("the first part");
    state.configuration = Some(configuration(5, 10));
    let sent = drain(&mut source, &state, NOW);
    let FeedMessage::Configuration(part) = &sent[0] else { panic!("a configuration") };
    assert_eq!((part.version, part.offset), (5, 0));
    assert_eq!(kinds(&sent), ["configuration", "tick"]);
}

#[test]
fn grants_are_sent_with_what_is_left_of_them() {
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
    let sent = drain(&mut FeedSource::for_empty_reader(), &state, NOW + 200 * MS);
    let FeedMessage::Grants(passed) = &sent[0] else { panic!("grants") };
    assert_eq!((passed.valid_ms, passed.node_count), (300, 3));
    let late = drain(&mut FeedSource::for_empty_reader(), &state, NOW + 500 * MS);
    assert_eq!(kinds(&late), ["tick"], "grants that have run out are not sent");
}

#[test]
fn signs_of_life_are_counted_on() {
    let mut state = FeedState::default();
    assert_eq!(state.heartbeat(NOW).confirmed_age_ms, NEVER_CONFIRMED_MS);
    let mut reader = FeedReader::new();
    let told = tick(40, 9, 70);
    assert_eq!(reader.apply(&mut state, FeedMessage::Heartbeat(told), NOW), Ok(Change::Heartbeat(told)));
    let passed = state.heartbeat(NOW + 60 * MS);
    assert_eq!((passed.confirmed_age_ms, passed.configuration_version), (100, 9));
    assert_eq!(passed.roster_age_ms, NEVER_CONFIRMED_MS, "no roster is held yet");
}

#[test]
fn an_older_proof_never_replaces_a_newer_one() {
    let mut freshness = Freshness::default();
    freshness.update(&tick(10, 5, 20), true, NOW);
    freshness.update(&tick(3_000, 4, 9_000), true, NOW + MS);
    assert_eq!(freshness.confirmed_age_ms(NOW + MS), 11);
    assert_eq!(freshness.roster_age_ms(NOW + MS), 21);
    assert_eq!(freshness.known_version(), 5);
    freshness.update(&tick(NEVER_CONFIRMED_MS, 5, u64::MAX), true, NOW + 2 * MS);
    assert_eq!(freshness.confirmed_age_ms(NOW + 2 * MS), 12);
}

#[test]
fn an_age_from_before_the_clock_began_is_kept() {
    let mut freshness = Freshness::default();
    freshness.update(&tick(60_000, 1, 60_000), true, MS);
    assert_eq!(freshness.confirmed_age_ms(2 * MS), 60_001);
}

#[test]
fn whatever_comes_nothing_goes_back() {
    type Event = (u8, u8, u8, u8, bool);
    bolero::check!().with_type::<Vec<Event>>().for_each(|events| {
        let mut state = FeedState::default();
        let mut readers = [FeedReader::new(), FeedReader::new()];
        let mut now = NOW;
        for (kind, a, b, c, which) in events {
            let before = (state.position(), state.heartbeat(now));
            now += u64::from(*c) * MS;
            let message = message(*kind, *a, *b, *c);
            let reader = &mut readers[usize::from(*which)];
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
        1 => FeedMessage::Roster(RosterUpdate { offset, ..whole_roster(0, 0, "a") }),
        2 => {
            let base = RosterOffset { epoch: u64::from(c % 3), sequence: u64::from(c % 5) };
            FeedMessage::Roster(RosterUpdate { base: Some(base), offset, ..whole_roster(0, 0, "b") })
        }
        _ => FeedMessage::Heartbeat(Heartbeat {
            roster: offset,
            ..tick(u64::from(b) * 10, version, u64::from(c))
        }),
    }
}
