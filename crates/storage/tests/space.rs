//! Disk usage: old segments are removed, a full disk rejects batches, and a rejected batch succeeds once
//! there is space.

use dunelink_storage::simulated::{Fault, SimulatedDisk};
use dunelink_storage::{Limits, LogStore, Operation, StorageError};

const MEGABYTE: usize = 1 << 20;

fn append(index: u64, size: usize) -> Operation {
    Operation::Append { index, bytes: vec![index as u8; size] }
}

#[test]
fn usage_with_large_entries_stays_below_the_core_machine_disk() {
    let disk = SimulatedDisk::new();
    disk.set_capacity(128 << 20);
    let (mut store, _) = LogStore::open(disk.clone(), Limits::default()).unwrap();
    for index in 1..=60 {
        store.apply(&[append(index, 4 * MEGABYTE)]).unwrap();
        if index % 10 == 0 {
            store.apply(&[Operation::Snapshot { index, bytes: vec![1; 4 * MEGABYTE] }]).unwrap();
            store.apply(&[Operation::Release { through: index - 2 }]).unwrap();
        }
        assert!(store.used_bytes() < 70 << 20, "{index}: {}", store.used_bytes());
    }
    drop(store);
    let (store, recovered) = LogStore::open(disk, Limits::default()).unwrap();
    assert_eq!(recovered.entries.iter().map(|entry| entry.index).collect::<Vec<_>>(), [59, 60]);
    assert_eq!(recovered.snapshot.unwrap().index, 60);
    assert!(store.used_bytes() < 20 << 20);
}

#[test]
fn reopening_does_not_accumulate_files() {
    let disk = SimulatedDisk::new();
    let (mut store, _) = LogStore::open(disk.clone(), Limits::default()).unwrap();
    store.apply(&[append(1, 1000)]).unwrap();
    drop(store);
    for _ in 0..50 {
        LogStore::open(disk.clone(), Limits::default()).unwrap();
        assert!(disk.names().len() <= 2, "{:?}", disk.names());
    }
}

#[test]
fn used_bytes_equal_the_file_lengths() {
    let disk = SimulatedDisk::new();
    let limits = Limits { segment_bytes: 500, disk_bytes: 1 << 20 };
    let (mut store, _) = LogStore::open(disk.clone(), limits).unwrap();
    for index in 1..40 {
        store.apply(&[append(index, 100)]).unwrap();
        if index % 7 == 0 {
            let snapshot = Operation::Snapshot { index, bytes: vec![0; 300] };
            store.apply(&[snapshot, Operation::Release { through: index }]).unwrap();
        }
        let on_disk: usize = disk.names().iter().map(|name| disk.contents(name).unwrap().len()).sum();
        assert_eq!(store.used_bytes(), on_disk as u64, "{index}");
    }
}

#[test]
fn entries_leave_a_reserve_for_a_snapshot() {
    let limits = Limits { segment_bytes: 4096, disk_bytes: 64 << 10 };
    let (mut store, _) = LogStore::open(SimulatedDisk::new(), limits).unwrap();
    let mut index = 1;
    let error = loop {
        match store.apply(&[append(index, 1000)]) {
            Ok(()) => index += 1,
            Err(error) => break error,
        }
    };
    assert!(matches!(error, StorageError::OverLimit { .. }) && error.is_full(), "{error}");
    let last_index = index - 1;
    store.apply(&[Operation::Metadata(b"term 7".to_vec())]).unwrap();
    store.apply(&[Operation::Snapshot { index: last_index, bytes: vec![0; 4000] }]).unwrap();
    store.apply(&[Operation::Release { through: last_index }]).unwrap();
    store.apply(&[append(index, 1000)]).unwrap();
    assert!(store.used_bytes() < 16 << 10);
}

#[test]
fn batch_rejected_by_a_full_disk_succeeds_later() {
    let disk = SimulatedDisk::new();
    let (mut store, _) = LogStore::open(disk.clone(), Limits::default()).unwrap();
    store.apply(&[append(1, 10)]).unwrap();
    let used = store.used_bytes();
    disk.set_full(true);
    for _ in 0..20 {
        let error = store.apply(&[append(2, 10)]).unwrap_err();
        assert!(error.is_full(), "{error}");
        assert!(error.to_string().contains("apply the batch again"));
        let snapshot = Operation::Snapshot { index: 1, bytes: vec![0; 100] };
        assert!(store.apply(&[snapshot]).unwrap_err().is_full());
    }
    disk.set_full(false);
    store.apply(&[append(2, 10)]).unwrap();
    assert!(store.used_bytes() < used + 400, "{}", store.used_bytes());
    let (_, recovered) = LogStore::open(disk, Limits::default()).unwrap();
    assert_eq!(recovered.entries.len(), 2);
}

#[test]
fn partly_written_batch_leaves_nothing() {
    let disk = SimulatedDisk::new();
    let (mut store, _) = LogStore::open(disk.clone(), Limits::default()).unwrap();
    store.apply(&[append(1, 10)]).unwrap();
    disk.set_capacity(store.used_bytes() + 500);
    for _ in 0..5 {
        assert!(store.apply(&[append(2, 5000)]).unwrap_err().is_full());
    }
    store.apply(&[append(2, 50)]).unwrap();
    let (_, recovered) = LogStore::open(disk, Limits::default()).unwrap();
    assert_eq!(recovered.entries[1].bytes.len(), 50);
}

#[test]
fn opening_on_a_full_disk_fails_without_loss() {
    let disk = SimulatedDisk::new();
    let (mut store, _) = LogStore::open(disk.clone(), Limits::default()).unwrap();
    store.apply(&[append(1, 10)]).unwrap();
    drop(store);
    disk.set_full(true);
    for _ in 0..3 {
        assert!(LogStore::open(disk.clone(), Limits::default()).unwrap_err().is_full());
    }
    disk.set_full(false);
    let (_, recovered) = LogStore::open(disk, Limits::default()).unwrap();
    assert_eq!(recovered.entries.len(), 1);
}

/// Data that a failed sync should have covered may never reach the disk, even if a later sync of the file
/// succeeds.
#[test]
fn segment_is_not_written_after_a_failed_sync() {
    let disk = SimulatedDisk::new();
    let (mut store, _) = LogStore::open(disk.clone(), Limits::default()).unwrap();
    store.apply(&[append(1, 10)]).unwrap();
    let segment = disk.names().pop().unwrap();
    let before = disk.contents(&segment).unwrap();
    disk.fail_at(disk.operation_count() + 1, Fault::Error);
    store.apply(&[append(2, 20)]).unwrap_err();
    store.apply(&[append(2, 20)]).unwrap();
    store.apply(&[append(3, 30)]).unwrap();
    assert_eq!(disk.contents(&segment).unwrap(), before);
    assert_eq!(disk.names().len(), 2);
}
