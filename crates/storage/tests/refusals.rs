//! Operations that are invalid in the current state are refused before anything is written.

use dunelink_storage::simulated::SimulatedDisk;
use dunelink_storage::{Limits, LogStore, Operation, StorageError};

fn append(index: u64) -> Operation {
    Operation::Append { index, bytes: vec![0; 8] }
}

fn snapshot(index: u64) -> Operation {
    Operation::Snapshot { index, bytes: vec![0; 8] }
}

fn refusal(before: &[Operation], refused: &[Operation]) -> StorageError {
    let disk = SimulatedDisk::new();
    let (mut store, _) = LogStore::open(disk.clone(), Limits::default()).unwrap();
    store.apply(before).unwrap();
    let operations = disk.operation_count();
    let error = store.apply(refused).unwrap_err();
    assert_eq!(disk.operation_count(), operations);
    assert!(!error.is_full());
    store.apply(&[Operation::Metadata(b"m".to_vec())]).unwrap();
    error
}

#[test]
fn non_contiguous_entry_is_refused() {
    let error = refusal(&[append(1)], &[append(3)]);
    assert!(matches!(error, StorageError::NotContiguous { index: 3, expected: 2 }));
    let error = refusal(&[append(1), append(2)], &[append(2)]);
    assert!(matches!(error, StorageError::NotContiguous { index: 2, expected: 3 }));
    let error = refusal(&[append(1), snapshot(9)], &[append(2)]);
    assert!(matches!(error, StorageError::NotContiguous { index: 2, expected: 10 }));
}

#[test]
fn truncation_of_released_entries_is_refused() {
    let before = [append(1), append(2), append(3), snapshot(2), Operation::Release { through: 2 }];
    let error = refusal(&before, &[Operation::Truncate { from: 2 }]);
    assert!(matches!(error, StorageError::TruncatesReleased { from: 2, first: 3 }));
}

#[test]
fn release_beyond_the_snapshot_is_refused() {
    let error = refusal(&[append(1), append(2), snapshot(1)], &[Operation::Release { through: 2 }]);
    assert!(matches!(error, StorageError::ReleasesUncovered { through: 2, covered: 1 }));
}

#[test]
fn older_snapshot_is_refused() {
    let error = refusal(&[append(1), append(2), snapshot(2)], &[snapshot(1)]);
    assert!(matches!(error, StorageError::OlderSnapshot { index: 1, newest: 2 }));
}
