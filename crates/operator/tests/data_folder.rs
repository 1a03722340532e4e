//! `dunelink-fleet log`, `snapshot` and `config read --from`: they show the contents and damage of a data
//! folder without changing it.

mod support;

use std::collections::BTreeMap;
use std::path::Path;

use dunelink_control::identity::StoreMetadata;
use dunelink_control::state::{Command, ConfigurationState, Digest};
use dunelink_replication::{Entry, HardState, Member, Membership, Payload, ReplicaId, Snapshot, encode};
use dunelink_storage::{FolderDisk, Limits, LogStore, Operation};
use support::{TemporaryFolder, run_command};
use testkit::system::scene::{KEY, first_configuration};

const CONFIGURATION_BYTES: usize = 2_000;
/// Distance in bytes between the bytes that are flipped one at a time.
const FLIP_DISTANCE_BYTES: usize = 41;
const REPLICA_ID: ReplicaId = ReplicaId(7);
const LIMITS: Limits = Limits { segment_bytes: 10_000, disk_bytes: 1 << 20 };

fn command(base: u64, version: u64) -> Vec<u8> {
    let mut body = first_configuration().version(version).value().to_string().into_bytes();
    body.resize(CONFIGURATION_BYTES, b' ');
    encode(&Command::Replace { base, version, digest: Digest::of(base, &body), body })
}

fn membership() -> Membership {
    let member = |host: u8| Member {
        id: ReplicaId(host.into()),
        internal_address: format!("10.0.0.{host}:7680").parse().unwrap(),
        control_address: format!("10.0.0.{host}:8665").parse().unwrap(),
        zone: String::new(),
    };
    Membership::of_voters(vec![member(7), member(8), member(9)])
}

/// Writes the data folder of a replica with a snapshot at index 4 and the entries 5 to 12.
fn write_data_folder(path: &Path) {
    let disk = FolderDisk::new(path).unwrap();
    let (mut store, _) = LogStore::open(disk, LIMITS).unwrap();
    let mut write = |operations: Vec<Operation>| store.apply(&operations).unwrap();
    let hard_state = HardState { term: 2, voted_for: Some(REPLICA_ID) };
    write(vec![Operation::Metadata(encode(&StoreMetadata { id: REPLICA_ID, hard_state }))]);
    let mut state = ConfigurationState::default();
    for index in 1..=12 {
        let bytes = command(index - 1, index);
        state.apply(&bytes).unwrap();
        let payload = if index == 1 { Payload::Noop } else { Payload::Command(bytes) };
        write(vec![Operation::Append { index, bytes: encode(&Entry { index, term: 2, payload }) }]);
        if index == 4 {
            let state = state.snapshot();
            let bytes = encode(&Snapshot { index, term: 2, membership: membership(), state });
            write(vec![Operation::Snapshot { index, bytes }, Operation::Release { through: index }]);
        }
    }
}

fn read_files(path: &Path) -> BTreeMap<String, Vec<u8>> {
    let files = std::fs::read_dir(path).unwrap().map(|file| file.unwrap().path());
    files.map(|file| (file.display().to_string(), std::fs::read(&file).unwrap())).collect()
}

fn path_text(folder: &TemporaryFolder) -> &str {
    folder.path().to_str().unwrap()
}

/// The files with this name suffix, oldest first.
fn files_with_suffix(folder: &TemporaryFolder, suffix: &str) -> Vec<String> {
    read_files(folder.path()).into_keys().filter(|name| name.ends_with(suffix)).collect()
}

fn flip_bit(file: &str, at: usize) {
    let mut bytes = std::fs::read(file).unwrap();
    bytes[at] ^= 1;
    std::fs::write(file, bytes).unwrap();
}

#[test]
fn intact_folder_is_shown_and_not_changed() {
    let folder = TemporaryFolder::new();
    write_data_folder(folder.path());
    let before = read_files(folder.path());
    let result = run_command(&["log", "show", path_text(&folder)]);
    assert_eq!(result.code, 0, "{result:?}");
    assert!(result.stdout.contains("replica 0000000000000007, term 2"), "{result:?}");
    let entries = result.stdout.lines().filter(|line| line.contains("configuration")).count();
    assert_eq!(entries, 8, "{}", result.stdout);
    assert!(result.stdout.contains("configuration 12 based on 11, 2000 bytes"), "{result:?}");
    let verified = run_command(&["log", "verify", path_text(&folder)]);
    assert_eq!(verified.code, 0, "{verified:?}");
    assert!(
        verified.stdout.contains("entries 5 to 12") && verified.stdout.contains("checksums valid"),
        "{verified:?}"
    );
    for action in ["show", "verify"] {
        let snapshot = run_command(&["snapshot", action, path_text(&folder)]);
        assert_eq!(snapshot.code, 0, "{snapshot:?}");
        for part in ["index 4, term 2", "configuration 4, 2000 bytes", "10.0.0.9:8665"] {
            assert!(snapshot.stdout.contains(part), "{part} in {snapshot:?}");
        }
    }
    assert_eq!(read_files(folder.path()), before);
}

#[test]
fn flipped_log_byte_is_reported_with_its_place() {
    let folder = TemporaryFolder::new();
    write_data_folder(folder.path());
    let segments = files_with_suffix(&folder, ".log");
    assert!(segments.len() >= 2, "expected at least two segments: {segments:?}");
    let damaged = &segments[segments.len() - 2];
    flip_bit(damaged, std::fs::metadata(damaged).unwrap().len() as usize / 2);
    let before = read_files(folder.path());
    for action in ["show", "verify"] {
        let result = run_command(&["log", action, path_text(&folder)]);
        assert_eq!(result.code, 1, "{result:?}");
        let name = Path::new(damaged).file_name().unwrap().to_str().unwrap();
        assert!(result.stdout.contains(&format!("damage: {name}: damaged from byte")), "{result:?}");
        assert!(result.stdout.contains("remedy: "), "{result:?}");
    }
    assert_eq!(read_files(folder.path()), before);
}

#[test]
fn flipped_snapshot_byte_is_reported() {
    let folder = TemporaryFolder::new();
    write_data_folder(folder.path());
    let snapshots = files_with_suffix(&folder, ".bin");
    flip_bit(snapshots.last().unwrap(), 100);
    let result = run_command(&["snapshot", "verify", path_text(&folder)]);
    assert_eq!(result.code, 1, "{result:?}");
    assert!(result.stdout.contains("the snapshot is damaged"), "{result:?}");
}

#[test]
fn truncated_last_write_is_not_damage() {
    let folder = TemporaryFolder::new();
    write_data_folder(folder.path());
    let newest = files_with_suffix(&folder, ".log").pop().unwrap();
    let bytes = std::fs::read(&newest).unwrap();
    std::fs::write(&newest, &bytes[..bytes.len() - 5]).unwrap();
    let result = run_command(&["log", "verify", path_text(&folder)]);
    assert_eq!(result.code, 0, "{result:?}");
    assert!(result.stdout.contains("truncated"), "{result:?}");
}

#[test]
fn empty_folder_is_shown_as_empty() {
    let folder = TemporaryFolder::new();
    let result = run_command(&["log", "show", path_text(&folder)]);
    assert_eq!(result.code, 0, "{result:?}");
    assert!(result.stdout.contains("the disk is empty"), "{result:?}");
    let result = run_command(&["snapshot", "show", path_text(&folder)]);
    assert!(result.stdout.contains("no snapshot"), "{result:?}");
}

#[test]
fn newest_configuration_is_read_from_a_folder() {
    let folder = TemporaryFolder::new();
    write_data_folder(folder.path());
    let before = read_files(folder.path());
    let read = run_command(&["config", "read", "--from", path_text(&folder), "--with-keys"]);
    assert_eq!(read.code, 0, "{read:?}");
    assert_eq!(read.stdout.trim(), first_configuration().version(12).value().to_string());
    let hidden = run_command(&["config", "read", "--from", path_text(&folder)]);
    assert!(hidden.code == 0 && !hidden.stdout.contains(KEY), "{hidden:?}");
    assert_eq!(read_files(folder.path()), before);
    let empty = TemporaryFolder::new();
    assert_eq!(run_command(&["config", "read", "--from", path_text(&empty)]).code, 2);
}

#[test]
fn every_flipped_byte_is_detected() {
    let folder = TemporaryFolder::new();
    write_data_folder(folder.path());
    let intact = dunelink_operator::data_folder::read(folder.path()).unwrap();
    assert!(intact.damage.is_empty() && intact.notes.is_empty(), "{intact:?}");
    for (name, bytes) in read_files(folder.path()) {
        for at in (0..bytes.len()).step_by(FLIP_DISTANCE_BYTES) {
            flip_bit(&name, at);
            let inspected = dunelink_operator::data_folder::read(folder.path()).unwrap();
            assert!(!inspected.damage.is_empty() || !inspected.notes.is_empty(), "byte {at} of {name}");
            flip_bit(&name, at);
        }
    }
}
