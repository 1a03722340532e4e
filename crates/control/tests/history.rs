//! The history of applied versions: kept in snapshots, bounded, and empty after a snapshot of an older
//! release.

use dunelink_control::state::{AppliedVersion, Command, ConfigurationState, Digest, MAX_HISTORY_VERSIONS};
use dunelink_replication::encode;

fn apply(state: &mut ConfigurationState, base: u64, version: u64) {
    let body = version.to_string().into_bytes();
    let command = Command::Replace { base, version, digest: Digest::of(base, &body), body };
    state.apply(&encode(&command)).unwrap();
}

/// Version and base of each entry of the history.
fn history_versions(state: &ConfigurationState) -> Vec<(u64, u64)> {
    state.history().map(|applied| (applied.version, applied.base)).collect()
}

#[test]
fn history_holds_only_applied_versions() {
    let mut state = ConfigurationState::default();
    apply(&mut state, 0, 3);
    apply(&mut state, 3, 100);
    apply(&mut state, 3, 200);
    apply(&mut state, 3, 100);
    assert_eq!(history_versions(&state), [(3, 0), (100, 3)]);
    assert_eq!(state.history().last(), Some(&AppliedVersion { version: 100, base: 3, bytes: 3 }));
    let restored = ConfigurationState::restore(&state.snapshot()).unwrap();
    assert_eq!(history_versions(&restored), history_versions(&state));
}

#[test]
fn oldest_version_is_evicted_first() {
    let mut state = ConfigurationState::default();
    let last = MAX_HISTORY_VERSIONS as u64 + 5;
    (1..=last).for_each(|version| apply(&mut state, version - 1, version));
    assert_eq!(state.history().len(), MAX_HISTORY_VERSIONS);
    assert_eq!(state.history().next().map(|applied| applied.version), Some(6));
}

#[test]
fn snapshot_without_history_is_restored() {
    let mut bytes = Vec::new();
    let mut encoder = minicbor::Encoder::new(&mut bytes);
    encoder.array(3).unwrap().u64(9).unwrap().bytes(b"{}").unwrap().array(0).unwrap();
    let state = ConfigurationState::restore(&bytes).unwrap();
    assert_eq!((state.version(), history_versions(&state)), (9, Vec::new()));
}
