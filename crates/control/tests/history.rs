//! Versions that were put in force are remembered: through snapshots, bounded, and without those of older releases.

use dunelink_control::state::{AppliedVersion, Command, ConfigurationState, Digest, MAX_HISTORY_VERSIONS};
use dunelink_replication::encode;

fn apply(state: &mut ConfigurationState, base: u64, version: u64) {
    let body = version.to_string().into_bytes();
    let command = Command::Replace { base, version, digest: Digest::of(base, &body), body };
    state.apply(&encode(&command)).unwrap();
}

fn versions(state: &ConfigurationState) -> Vec<(u64, u64)> {
    state.history().map(|taken| (taken.version, taken.base)).collect()
}

#[test]
fn only_what_came_into_force_is_remembered() {
    let mut state = ConfigurationState::default();
    apply(&mut state, 0, 3);
    apply(&mut state, 3, 100);
    apply(&mut state, 3, 200);
    apply(&mut state, 3, 100);
    assert_eq!(versions(&state), [(3, 0), (100, 3)]);
    assert_eq!(state.history().last(), Some(&AppliedVersion { version: 100, base: 3, bytes: 3 }));
    let restored = ConfigurationState::restore(&state.snapshot()).unwrap();
    assert_eq!(versions(&restored), versions(&state));
}

#[test]
fn the_oldest_goes_first() {
    let mut state = ConfigurationState::default();
    let last = MAX_HISTORY_VERSIONS as u64 + 5;
    (1..=last).for_each(|version| apply(&mut state, version - 1, version));
    assert_eq!(state.history().len(), MAX_HISTORY_VERSIONS);
    assert_eq!(state.history().next().map(|taken| taken.version), Some(6));
}

#[test]
fn a_snapshot_of_a_release_without_history_is_read() {
    let mut bytes = Vec::new();
    let mut encoder = minicbor::Encoder::new(&mut bytes);
    encoder.array(3).unwrap().u64(9).unwrap().bytes(b"{}").unwrap().array(0).unwrap();
    let state = ConfigurationState::restore(&bytes).unwrap();
    assert_eq!((state.version(), versions(&state)), (9, Vec::new()));
}
