//! Inspection finds the same state as opening, and changes nothing.

use dunelink_storage::simulated::{CrashOutcome, SimulatedDisk};
use dunelink_storage::{Disk, Limits, LogStore, Operation, ReadOnlyFolder, SnapshotUse, inspect};

const LIMITS: Limits = Limits { segment_bytes: 600, disk_bytes: 1 << 20 };

fn append(index: u64) -> Operation {
    Operation::Append { index, bytes: vec![index as u8; 100] }
}

fn filled_disk() -> SimulatedDisk {
    let disk = SimulatedDisk::new();
    let (mut store, _) = LogStore::open(disk.clone(), LIMITS).unwrap();
    store.apply(&[Operation::Metadata(b"term 1".to_vec())]).unwrap();
    (1..=20).for_each(|index| store.apply(&[append(index)]).unwrap());
    let snapshot = Operation::Snapshot { index: 8, bytes: vec![7; 300] };
    store.apply(&[snapshot, Operation::Release { through: 8 }]).unwrap();
    store.apply(&[append(21)]).unwrap();
    drop(store);
    disk.lose_power(|_| CrashOutcome::Kept);
    disk
}

fn contents(disk: &mut SimulatedDisk) -> Vec<(String, Vec<u8>)> {
    let mut files = disk.list().unwrap();
    files.sort_by(|left, right| left.name.cmp(&right.name));
    let read = |file: dunelink_storage::FileEntry| {
        let bytes = disk.clone().read(&file.name, 0, file.length as usize).unwrap();
        (file.name, bytes)
    };
    files.into_iter().map(read).collect()
}

#[test]
fn inspection_matches_opening_and_changes_nothing() {
    let mut disk = filled_disk();
    let before = contents(&mut disk);
    let inspection = inspect(&mut disk).unwrap();
    assert_eq!(contents(&mut disk), before);
    let opened = LogStore::open(disk, LIMITS).unwrap().1;
    assert_eq!(inspection.recovered, opened);
    assert_eq!(inspection.recovered.entries.last().map(|entry| entry.index), Some(21));
    let in_use = |snapshot: &Option<SnapshotUse>| *snapshot == Some(SnapshotUse::InUse);
    assert_eq!(inspection.files.iter().filter(|file| in_use(&file.snapshot)).count(), 1);
    assert_eq!(inspection.files.len(), before.len());
    assert!(inspection.files.iter().all(|file| file.is_readable && file.valid_bytes == file.length));
}

#[test]
fn damaged_file_is_reported() {
    let mut disk = filled_disk();
    let files = disk.list().unwrap();
    let oldest = files.iter().filter(|file| file.name.ends_with(".log")).min_by(|a, b| a.name.cmp(&b.name));
    let name = oldest.unwrap().name.clone();
    let byte = disk.read(&name, 60, 1).unwrap()[0];
    disk.write(&name, 60, &[byte ^ 1]).unwrap();
    let inspection = inspect(&mut disk).unwrap();
    assert!(inspection.recovered.damaged);
    let damaged = inspection.files.iter().find(|file| file.name == name).unwrap();
    assert!(damaged.valid_bytes < damaged.length, "{damaged:?}");
}

#[test]
fn read_only_folder_refuses_changes() {
    let missing = std::env::temp_dir().join(format!("dunelink-no-folder-{}", std::process::id()));
    assert!(ReadOnlyFolder::new(&missing).is_err());
    assert!(!missing.exists());
    let mut folder = ReadOnlyFolder::new(env!("CARGO_MANIFEST_DIR")).unwrap();
    assert!(folder.list().unwrap().iter().any(|file| file.name == "Cargo.toml"));
    assert!(folder.create("new").is_err());
    assert!(folder.write("Cargo.toml", 0, b"x").is_err());
    assert!(folder.set_len("Cargo.toml", 0).is_err());
    assert!(folder.remove("Cargo.toml").is_err());
    assert!(folder.sync_file("Cargo.toml").is_err());
    assert!(folder.sync_folder().is_err());
}
