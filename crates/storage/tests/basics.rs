//! Applied batches are recovered.

use dunelink_storage::simulated::SimulatedDisk;
use dunelink_storage::{Limits, LogStore, Operation, StoredEntry, StoredSnapshot};

fn append(index: u64, bytes: &[u8]) -> Operation {
    Operation::Append { index, bytes: bytes.to_vec() }
}

#[test]
fn batches_survive_reopening() {
    let disk = SimulatedDisk::new();
    let (mut store, recovered) = LogStore::open(disk.clone(), Limits::default()).unwrap();
    assert_eq!(recovered.metadata, None);
    assert!(recovered.entries.is_empty() && !recovered.damaged && recovered.notes.is_empty());
    store.apply(&[Operation::Metadata(b"term 1".to_vec()), append(1, b"a"), append(2, b"b")]).unwrap();
    store.apply(&[Operation::Truncate { from: 2 }, append(2, b"c")]).unwrap();
    drop(store);
    for _ in 0..3 {
        let (_, recovered) = LogStore::open(disk.clone(), Limits::default()).unwrap();
        assert_eq!(recovered.metadata.as_deref(), Some(&b"term 1"[..]));
        let entries = vec![
            StoredEntry { index: 1, bytes: b"a".to_vec() },
            StoredEntry { index: 2, bytes: b"c".to_vec() },
        ];
        assert_eq!(recovered.entries, entries);
        assert!(!recovered.damaged);
    }
}

#[test]
fn batch_without_snapshot_takes_one_sync() {
    let disk = SimulatedDisk::new();
    let (mut store, _) = LogStore::open(disk.clone(), Limits::default()).unwrap();
    let before = (disk.sync_count(), disk.operation_count());
    store.apply(&[append(1, b"a"), Operation::Metadata(b"m".to_vec()), append(2, b"b")]).unwrap();
    assert_eq!((disk.sync_count(), disk.operation_count()), (before.0 + 1, before.1 + 2));
}

#[test]
fn snapshot_beyond_the_log_replaces_it() {
    let disk = SimulatedDisk::new();
    let (mut store, _) = LogStore::open(disk.clone(), Limits::default()).unwrap();
    store.apply(&[append(1, b"a"), append(2, b"b")]).unwrap();
    store.apply(&[Operation::Snapshot { index: 50, bytes: b"state".to_vec() }]).unwrap();
    store.apply(&[append(51, b"z")]).unwrap();
    let (_, recovered) = LogStore::open(disk, Limits::default()).unwrap();
    assert_eq!(recovered.snapshot, Some(StoredSnapshot { index: 50, bytes: b"state".to_vec() }));
    assert_eq!(recovered.entries, vec![StoredEntry { index: 51, bytes: b"z".to_vec() }]);
}

#[test]
fn releasing_in_the_appending_batch_keeps_the_next_index() {
    let disk = SimulatedDisk::new();
    let (mut store, _) = LogStore::open(disk.clone(), Limits::default()).unwrap();
    store.apply(&[append(1, b"a")]).unwrap();
    let snapshot = Operation::Snapshot { index: 3, bytes: b"state".to_vec() };
    store.apply(&[append(2, b"b"), append(3, b"c"), snapshot, Operation::Release { through: 3 }]).unwrap();
    let (mut store, _) = LogStore::open(disk, Limits::default()).unwrap();
    store.apply(&[append(4, b"d")]).unwrap();
}
