//! The replicated state: which orders are taken, and what a snapshot keeps.

use dunelink_control::state::{ApplyOutcome, Command, ConfigurationState, Digest, MAX_DIGESTS};
use dunelink_replication::encode;

fn replace(base: u64, version: u64, body: &[u8]) -> Vec<u8> {
    encode(&Command::Replace { base, version, digest: Digest::of(base, body), body: body.to_vec() })
}

fn verdict(state: &mut ConfigurationState, command: &[u8]) -> ApplyOutcome {
    state.apply(command).expect("the command can be read").1
}

#[test]
fn an_order_on_the_current_version_is_in_force() {
    let mut state = ConfigurationState::default();
    assert_eq!(verdict(&mut state, &replace(0, 3, b"three")), ApplyOutcome::Applied);
    assert_eq!((state.version(), &state.body()[..]), (3, &b"three"[..]));
}

#[test]
fn an_order_that_was_taken_is_taken_again_after_newer_versions() {
    let mut state = ConfigurationState::default();
    let first = replace(0, 3, b"three");
    verdict(&mut state, &first);
    verdict(&mut state, &replace(3, 4, b"four"));
    assert_eq!(verdict(&mut state, &first), ApplyOutcome::AlreadyApplied);
    assert_eq!(state.version(), 4);
}

#[test]
fn of_two_orders_on_one_version_one_wins() {
    let mut state = ConfigurationState::default();
    verdict(&mut state, &replace(0, 3, b"three"));
    assert_eq!(verdict(&mut state, &replace(3, 5, b"one")), ApplyOutcome::Applied);
    assert_eq!(verdict(&mut state, &replace(3, 5, b"other")), ApplyOutcome::Conflict);
    assert_eq!(&state.body()[..], b"one");
}

#[test]
fn the_same_body_on_another_base_is_another_order() {
    let mut state = ConfigurationState::default();
    verdict(&mut state, &replace(0, 3, b"three"));
    assert_eq!(verdict(&mut state, &replace(3, 3, b"three")), ApplyOutcome::Conflict);
}

#[test]
fn a_snapshot_keeps_the_configuration_and_what_was_taken() {
    let mut state = ConfigurationState::default();
    let first = replace(0, 3, b"three");
    verdict(&mut state, &first);
    verdict(&mut state, &replace(3, 9, b"nine"));
    let mut restored = ConfigurationState::restore(&state.snapshot()).expect("the snapshot can be read");
    assert_eq!((restored.version(), restored.body()), (9, state.body()));
    assert_eq!(verdict(&mut restored, &first), ApplyOutcome::AlreadyApplied);
    assert_eq!(restored.snapshot(), state.snapshot());
}

#[test]
fn no_bytes_are_the_state_before_the_first_order() {
    let state = ConfigurationState::restore(b"").expect("no bytes are valid");
    assert_eq!(state.version(), 0);
}

#[test]
fn digests_are_bounded_and_the_oldest_goes_first() {
    let mut state = ConfigurationState::default();
    for version in 1..=MAX_DIGESTS as u64 + 1 {
        verdict(&mut state, &replace(version - 1, version, &version.to_le_bytes()));
    }
    assert!(!state.was_applied(&Digest::of(0, &1_u64.to_le_bytes())));
    assert!(state.was_applied(&Digest::of(1, &2_u64.to_le_bytes())));
}

#[test]
fn bytes_that_are_no_command_change_nothing() {
    let mut state = ConfigurationState::default();
    verdict(&mut state, &replace(0, 3, b"three"));
    assert!(state.apply(b"\xff\x00").is_err());
    assert!(ConfigurationState::restore(b"\xff").is_err());
    assert_eq!(state.version(), 3);
}
