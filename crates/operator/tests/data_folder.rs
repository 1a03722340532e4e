//! `dunelink-fleet log` and `snapshot`: what a data folder holds, what is damaged, and nothing changed.

mod support;

use std::collections::BTreeMap;
use std::path::Path;

use dunelink_control::identity::StoreMetadata;
use dunelink_control::state::{Command, ConfigurationState, Digest};
use dunelink_replication::{Entry, HardState, Member, Membership, Payload, ReplicaId, Snapshot, encode};
use dunelink_storage::{FolderDisk, Limits, LogStore, Operation};
use support::{Folder, fleet};
use testkit::system::scene::{KEY, first_configuration};

const BODY_BYTES: usize = 2_000;
/// Bytes between two that are changed, one at a time.
const STEP: usize = 41;
const ID: ReplicaId = ReplicaId(7);
const LIMITS: Limits = Limits { segment_bytes: 10_000, disk_bytes: 1 << 20 };

fn command(base: u64, version: u64) -> Vec<u8> {
    let mut body = first_configuration().version(version).value().to_string().into_bytes();
    body.resize(BODY_BYTES, b' ');
    encode(&Command::Replace { base, version, digest: Digest::of(base, &body), body })
}

fn membership() -> Membership {
    let member = |last: u8| Member {
        id: ReplicaId(last.into()),
        internal_address: format!("10.0.0.{last}:7680").parse().unwrap(),
        control_address: format!("10.0.0.{last}:8665").parse().unwrap(),
        zone: String::new(),
    };
    Membership::of_voters(vec![member(7), member(8), member(9)])
}

/// A replica's disk with a snapshot at 4 and the entries 5 to 12.
fn fill(path: &Path) {
    let disk = FolderDisk::new(path).unwrap();
    let (mut store, _) = LogStore::open(disk, LIMITS).unwrap();
    let mut write = |operations: Vec<Operation>| store.apply(&operations).unwrap();
    let hard_state = HardState { term: 2, voted_for: Some(ID) };
    write(vec![Operation::Metadata(encode(&StoreMetadata { id: ID, hard_state }))]);
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

fn contents(path: &Path) -> BTreeMap<String, Vec<u8>> {
    let files = std::fs::read_dir(path).unwrap().map(|file| file.unwrap().path());
    files.map(|file| (file.display().to_string(), std::fs::read(&file).unwrap())).collect()
}

fn text(folder: &Folder) -> &str {
    folder.path().to_str().unwrap()
}

/// The files of one kind, oldest first.
fn files(folder: &Folder, kind: &str) -> Vec<String> {
    contents(folder.path()).into_keys().filter(|name| name.ends_with(kind)).collect()
}

fn flip(file: &str, at: usize) {
    let mut bytes = std::fs::read(file).unwrap();
    bytes[at] ^= 1;
    std::fs::write(file, bytes).unwrap();
}

#[test]
fn a_whole_folder_is_shown_and_left_as_it_is() {
    let folder = Folder::new();
    fill(folder.path());
    let before = contents(folder.path());
    let shown = fleet(&["log", "show", text(&folder)]);
    assert_eq!(shown.code, 0, "{shown:?}");
    assert!(shown.out.contains("replica 0000000000000007, term 2"), "{shown:?}");
    let entries = shown.out.lines().filter(|line| line.contains("configuration")).count();
    assert_eq!(entries, 8, "{}", shown.out);
    assert!(shown.out.contains("configuration 12 on 11, 2000 bytes"), "{shown:?}");
    let verified = fleet(&["log", "verify", text(&folder)]);
    assert_eq!(verified.code, 0, "{verified:?}");
    assert!(
        verified.out.contains("entries 5 to 12") && verified.out.contains("checksums right"),
        "{verified:?}"
    );
    for verb in ["show", "verify"] {
        let snapshot = fleet(&["snapshot", verb, text(&folder)]);
        assert_eq!(snapshot.code, 0, "{snapshot:?}");
        for part in ["index 4, term 2", "configuration 4, 2000 bytes", "10.0.0.9:8665"] {
            assert!(snapshot.out.contains(part), "{part} in {snapshot:?}");
        }
    }
    assert_eq!(contents(folder.path()), before);
}

#[test]
fn a_changed_byte_in_the_log_is_damage_at_its_place() {
    let folder = Folder::new();
    fill(folder.path());
    let segments = files(&folder, ".log");
    assert!(segments.len() >= 2, "an older segment and the newest: {segments:?}");
    let damaged = &segments[segments.len() - 2];
    flip(damaged, std::fs::metadata(damaged).unwrap().len() as usize / 2);
    let before = contents(folder.path());
    for verb in ["show", "verify"] {
        let ended = fleet(&["log", verb, text(&folder)]);
        assert_eq!(ended.code, 1, "{ended:?}");
        let name = Path::new(damaged).file_name().unwrap().to_str().unwrap();
        assert!(ended.out.contains(&format!("damage: {name}: damaged from byte")), "{ended:?}");
        assert!(ended.out.contains("remedy: "), "{ended:?}");
    }
    assert_eq!(contents(folder.path()), before);
}

#[test]
fn a_changed_byte_in_the_snapshot_is_damage() {
    let folder = Folder::new();
    fill(folder.path());
    let snapshots = files(&folder, ".bin");
    flip(snapshots.last().unwrap(), 100);
    let ended = fleet(&["snapshot", "verify", text(&folder)]);
    assert_eq!(ended.code, 1, "{ended:?}");
    assert!(ended.out.contains("the snapshot is damaged"), "{ended:?}");
}

#[test]
fn a_last_write_that_was_cut_short_is_no_damage() {
    let folder = Folder::new();
    fill(folder.path());
    let newest = files(&folder, ".log").pop().unwrap();
    let bytes = std::fs::read(&newest).unwrap();
    std::fs::write(&newest, &bytes[..bytes.len() - 5]).unwrap();
    let ended = fleet(&["log", "verify", text(&folder)]);
    assert_eq!(ended.code, 0, "{ended:?}");
    assert!(ended.out.contains("cut short"), "{ended:?}");
}

#[test]
fn an_empty_folder_holds_nothing() {
    let folder = Folder::new();
    let ended = fleet(&["log", "show", text(&folder)]);
    assert_eq!(ended.code, 0, "{ended:?}");
    assert!(ended.out.contains("the disk is empty"), "{ended:?}");
    let ended = fleet(&["snapshot", "show", text(&folder)]);
    assert!(ended.out.contains("no snapshot"), "{ended:?}");
}

#[test]
fn the_newest_configuration_is_read_from_a_folder() {
    let folder = Folder::new();
    fill(folder.path());
    let before = contents(folder.path());
    let read = fleet(&["config", "read", "--from", text(&folder), "--with-keys"]);
    assert_eq!(read.code, 0, "{read:?}");
    assert_eq!(read.out.trim(), first_configuration().version(12).value().to_string());
    let hidden = fleet(&["config", "read", "--from", text(&folder)]);
    assert!(hidden.code == 0 && !hidden.out.contains(KEY), "{hidden:?}");
    assert_eq!(contents(folder.path()), before);
    let empty = Folder::new();
    assert_eq!(fleet(&["config", "read", "--from", text(&empty)]).code, 2);
}

#[test]
fn no_changed_byte_goes_unseen() {
    let folder = Folder::new();
    fill(folder.path());
    let calm = dunelink_operator::data_folder::read(folder.path()).unwrap();
    assert!(calm.damage.is_empty() && calm.notes.is_empty(), "{calm:?}");
    for (name, bytes) in contents(folder.path()) {
        for at in (0..bytes.len()).step_by(STEP) {
            flip(&name, at);
            let seen = dunelink_operator::data_folder::read(folder.path()).unwrap();
            assert!(!seen.damage.is_empty() || !seen.notes.is_empty(), "byte {at} of {name}");
            flip(&name, at);
        }
    }
}
