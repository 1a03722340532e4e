//! What is applied comes back.

use dunelink_storage::simulated::SimulatedDisk;
use dunelink_storage::{Limits, LogStore, Operation, StoredEntry, StoredSnapshot};

fn append(index: u64, bytes: &[u8]) -> Operation {
    Operation::Append { index, bytes: bytes.to_vec() }
}

#[test]
fn batches_come_back_after_a_reopening() {
    let disk = SimulatedDisk::new();
    let (mut store, found) = LogStore::open(disk.clone(), Limits::default()).unwrap();
    assert_eq!(found.metadata, None);
    assert!(found.entries.is_empty() && !found.damaged && found.notes.is_empty());
    store.apply(&[Operation::Metadata(b"term 1".to_vec()), append(1, b"a"), append(2, b"b")]).unwrap();
    store.apply(&[Operation::Truncate { from: 2 }, append(2, b"c")]).unwrap();
    drop(store);
    for _ in 0..3 {
        let (_, found) = LogStore::open(disk.clone(), Limits::default()).unwrap();
        assert_eq!(found.metadata.as_deref(), Some(&b"term 1"[..]));
        let entries = vec![
            StoredEntry { index: 1, bytes: b"a".to_vec() },
            StoredEntry { index: 2, bytes: b"c".to_vec() },
        ];
        assert_eq!(found.entries, entries);
        assert!(!found.damaged);
    }
}

#[test]
fn a_batch_of_entries_and_metadata_takes_one_sync() {
    let disk = SimulatedDisk::new();
    let (mut store, _) = LogStore::open(disk.clone(), Limits::default()).unwrap();
    let before = (disk.sync_count(), disk.operation_count());
    store.apply(&[append(1, b"a"), Operation::Metadata(b"m".to_vec()), append(2, b"b")]).unwrap();
    assert_eq!((disk.sync_count(), disk.operation_count()), (before.0 + 1, before.1 + 2));
}

#[test]
fn a_snapshot_beyond_the_log_replaces_it() {
    let disk = SimulatedDisk::new();
    let (mut store, _) = LogStore::open(disk.clone(), Limits::default()).unwrap();
    store.apply(&[append(1, b"a"), append(2, b"b")]).unwrap();
    store.apply(&[Operation::Snapshot { index: 50, bytes: b"state".to_vec() }]).unwrap();
    store.apply(&[append(51, b"z")]).unwrap();
    let (_, found) = LogStore::open(disk, Limits::default()).unwrap();
    assert_eq!(found.snapshot, Some(StoredSnapshot { index: 50, bytes: b"state".to_vec() }));
    assert_eq!(found.entries, vec![StoredEntry { index: 51, bytes: b"z".to_vec() }]);
}

#[test]
fn entries_appended_and_released_in_the_last_batch_leave_the_next_index_as_it_was() {
    let disk = SimulatedDisk::new();
    let (mut store, _) = LogStore::open(disk.clone(), Limits::default()).unwrap();
    store.apply(&[append(1, b"a")]).unwrap();
    let snapshot = Operation::Snapshot { index: 3, bytes: b"state".to_vec() };
    store.apply(&[append(2, b"b"), append(3, b"c"), snapshot, Operation::Release { through: 3 }]).unwrap();
    let (mut store, _) = LogStore::open(disk, Limits::default()).unwrap();
    store.apply(&[append(4, b"d")]).unwrap();
}
