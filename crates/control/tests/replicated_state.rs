//! The replicated configuration state: which changes are applied, and what a snapshot preserves.

use dunelink_control::state::{ApplyOutcome, Command, ConfigurationState, Digest, MAX_DIGESTS};
use dunelink_replication::encode;

/// An encoded command that replaces version `base`.
fn replace(base: u64, version: u64, body: &[u8]) -> Vec<u8> {
    encode(&Command::Replace { base, version, digest: Digest::of(base, body), body: body.to_vec() })
}

fn apply(state: &mut ConfigurationState, command: &[u8]) -> ApplyOutcome {
    state.apply(command).expect("the command decodes").1
}

#[test]
fn change_on_current_version_is_applied() {
    let mut state = ConfigurationState::default();
    assert_eq!(apply(&mut state, &replace(0, 3, b"three")), ApplyOutcome::Applied);
    assert_eq!((state.version(), &state.body()[..]), (3, &b"three"[..]));
}

#[test]
fn retry_is_recognized_after_newer_versions() {
    let mut state = ConfigurationState::default();
    let first = replace(0, 3, b"three");
    apply(&mut state, &first);
    apply(&mut state, &replace(3, 4, b"four"));
    assert_eq!(apply(&mut state, &first), ApplyOutcome::AlreadyApplied);
    assert_eq!(state.version(), 4);
}

#[test]
fn second_change_on_one_base_conflicts() {
    let mut state = ConfigurationState::default();
    apply(&mut state, &replace(0, 3, b"three"));
    assert_eq!(apply(&mut state, &replace(3, 5, b"one")), ApplyOutcome::Applied);
    assert_eq!(apply(&mut state, &replace(3, 5, b"other")), ApplyOutcome::Conflict);
    assert_eq!(&state.body()[..], b"one");
}

#[test]
fn same_body_on_another_base_is_another_change() {
    let mut state = ConfigurationState::default();
    apply(&mut state, &replace(0, 3, b"three"));
    assert_eq!(apply(&mut state, &replace(3, 3, b"three")), ApplyOutcome::Conflict);
}

#[test]
fn snapshot_keeps_configuration_and_applied_changes() {
    let mut state = ConfigurationState::default();
    let first = replace(0, 3, b"three");
    apply(&mut state, &first);
    apply(&mut state, &replace(3, 9, b"nine"));
    let mut restored = ConfigurationState::restore(&state.snapshot()).expect("the snapshot decodes");
    assert_eq!((restored.version(), restored.body()), (9, state.body()));
    assert_eq!(apply(&mut restored, &first), ApplyOutcome::AlreadyApplied);
    assert_eq!(restored.snapshot(), state.snapshot());
}

#[test]
fn empty_snapshot_is_the_initial_state() {
    let state = ConfigurationState::restore(b"").expect("no bytes are valid");
    assert_eq!(state.version(), 0);
}

#[test]
fn oldest_digest_is_evicted_first() {
    let mut state = ConfigurationState::default();
    for version in 1..=MAX_DIGESTS as u64 + 1 {
        apply(&mut state, &replace(version - 1, version, &version.to_le_bytes()));
    }
    assert!(!state.was_applied(&Digest::of(0, &1_u64.to_le_bytes())));
    assert!(state.was_applied(&Digest::of(1, &2_u64.to_le_bytes())));
}

#[test]
fn undecodable_bytes_change_nothing() {
    let mut state = ConfigurationState::default();
    apply(&mut state, &replace(0, 3, b"three"));
    assert!(state.apply(b"\xff\x00").is_err());
    assert!(ConfigurationState::restore(b"\xff").is_err());
    assert_eq!(state.version(), 3);
}
