//! The disk thread: translation of replica records to store operations, and recovery from the store.

use dunelink_control::disk::{
    DiskCommand, DiskEvent, OpenedStore, RecordTranslator, decode_recovered, start,
};
use dunelink_control::identity::StoreMetadata;
use dunelink_replication::{Entry, HardState, Membership, Payload, Record, ReplicaId, Snapshot, encode};
use dunelink_storage::{Limits, Operation, StoredEntry};
use tokio::sync::mpsc::UnboundedReceiver;

const ID: ReplicaId = ReplicaId(7);

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, payload: Payload::Command(vec![index as u8]) }
}

fn snapshot(index: u64) -> Snapshot {
    Snapshot { index, term: 1, membership: Membership::default(), state: vec![1, 2, 3] }
}

/// Store operations for `records`.
fn translate(translator: &mut RecordTranslator, records: Vec<Record>) -> Vec<Operation> {
    let mut operations = Vec::new();
    translator.translate(records, &mut operations);
    operations
}

/// A temporary folder of one test, removed at its end.
struct TestFolder(std::path::PathBuf);

impl TestFolder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("control-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Self(path)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Waits until the store is open and returns its contents.
fn wait_until_opened(events: &mut UnboundedReceiver<DiskEvent>) -> OpenedStore {
    match events.blocking_recv() {
        Some(DiskEvent::Opened(wait_until_opened)) => wait_until_opened,
        other => panic!("the store does not open: {other:?}"),
    }
}

/// Waits for the outcome of the next write: its sequence, and whether it is durable.
fn next_write_outcome(events: &mut UnboundedReceiver<DiskEvent>) -> (u64, bool) {
    loop {
        match events.blocking_recv() {
            Some(DiskEvent::Written { sequence, .. }) => return (sequence, true),
            Some(DiskEvent::WriteFailed { sequence, .. }) => return (sequence, false),
            Some(_) => {}
            None => panic!("the disk thread has ended"),
        }
    }
}

/// The command that adopts an empty store for the replica `id`.
fn adopt_empty_store(id: ReplicaId) -> DiskCommand {
    let translator = RecordTranslator::new(id, HardState::default(), 0, false);
    DiskCommand::Adopt { generation: 1, translator }
}

fn write(generation: u64, sequence: u64, records: Vec<Record>) -> DiskCommand {
    DiskCommand::Write { generation, sequence, records }
}

#[test]
fn first_write_stores_the_identity() {
    let mut translator = RecordTranslator::new(ID, HardState::default(), 0, false);
    let operations = translate(&mut translator, vec![Record::Append(entry(1, 1))]);
    assert!(matches!(operations[..], [Operation::Metadata(_), Operation::Append { index: 1, .. }]));
    let operations = translate(&mut translator, vec![Record::Append(entry(2, 1))]);
    assert!(matches!(operations[..], [Operation::Append { index: 2, .. }]));
}

#[test]
fn entry_at_a_stored_index_truncates_first() {
    let mut translator = RecordTranslator::new(ID, HardState::default(), 5, true);
    let operations = translate(&mut translator, vec![Record::Append(entry(4, 2))]);
    assert!(matches!(operations[..], [Operation::Truncate { from: 4 }, Operation::Append { index: 4, .. }]));
}

#[test]
fn truncation_keeps_entries_released_by_a_snapshot() {
    let mut translator = RecordTranslator::new(ID, HardState::default(), 5, true);
    translate(&mut translator, vec![Record::Snapshot(snapshot(3))]);
    let operations = translate(&mut translator, vec![Record::Truncate { from: 0 }]);
    assert_eq!(operations, [Operation::Truncate { from: 4 }]);
    assert!(translate(&mut translator, vec![Record::Truncate { from: 0 }]).is_empty());
}

#[test]
fn founding_snapshot_releases_no_entries() {
    let mut translator = RecordTranslator::new(ID, HardState::default(), 0, true);
    let operations = translate(&mut translator, vec![Record::Snapshot(snapshot(0))]);
    assert!(matches!(operations[..], [Operation::Snapshot { index: 0, .. }]));
}

#[test]
fn written_records_are_recovered() {
    let folder = TestFolder::new("back");
    let (commands, mut events) = start(&folder.0, Limits::default()).expect("the disk thread starts");
    assert!(wait_until_opened(&mut events).metadata.is_none());
    let hard_state = HardState { term: 4, voted_for: Some(ID) };
    let records = vec![
        Record::Snapshot(snapshot(0)),
        Record::HardState(hard_state),
        Record::Append(entry(1, 3)),
        Record::Append(entry(2, 4)),
    ];
    commands.send(adopt_empty_store(ID)).expect("the disk thread runs");
    commands.send(write(1, 1, records)).expect("the disk thread runs");
    assert_eq!(next_write_outcome(&mut events), (1, true));
    drop(commands);
    while events.blocking_recv().is_some() {}

    let (_commands, mut events) = start(&folder.0, Limits::default()).expect("the disk thread starts");
    let recovered_store = wait_until_opened(&mut events);
    assert_eq!(recovered_store.metadata, Some(StoreMetadata { id: ID, hard_state }));
    assert_eq!(recovered_store.recovered.entries, [entry(1, 3), entry(2, 4)]);
    assert_eq!(recovered_store.recovered.snapshot, Some(snapshot(0)));
    assert!(!recovered_store.damaged);
}

#[test]
fn wipe_discards_store_and_writes_of_the_old_identity() {
    let folder = TestFolder::new("wipe");
    let (commands, mut events) = start(&folder.0, Limits::default()).expect("the disk thread starts");
    wait_until_opened(&mut events);
    commands.send(adopt_empty_store(ID)).expect("the disk thread runs");
    commands.send(write(1, 1, vec![Record::Append(entry(1, 1))])).expect("the disk thread runs");
    assert_eq!(next_write_outcome(&mut events), (1, true));
    commands.send(DiskCommand::Wipe { generation: 2, id: ReplicaId(8) }).expect("the disk thread runs");
    commands.send(write(1, 2, vec![Record::Append(entry(2, 1))])).expect("the disk thread runs");
    assert_eq!(next_write_outcome(&mut events), (2, false));
    commands.send(write(2, 1, vec![Record::Append(entry(1, 9))])).expect("the disk thread runs");
    assert_eq!(next_write_outcome(&mut events), (1, true));
    drop(commands);
    while events.blocking_recv().is_some() {}

    let (_commands, mut events) = start(&folder.0, Limits::default()).expect("the disk thread starts");
    let recovered_store = wait_until_opened(&mut events);
    assert_eq!(recovered_store.metadata.map(|identity| identity.id), Some(ReplicaId(8)));
    assert_eq!(recovered_store.recovered.entries, [entry(1, 9)]);
}

#[test]
fn store_without_identity_or_undecodable_is_damaged() {
    let entries = vec![StoredEntry { index: 1, bytes: encode(&entry(1, 1)) }];
    let without_identity = dunelink_storage::RecoveredState { entries, ..Default::default() };
    assert!(decode_recovered(without_identity).damaged);
    let undecodable = dunelink_storage::RecoveredState { metadata: Some(vec![0xff]), ..Default::default() };
    assert!(decode_recovered(undecodable).damaged);
    assert!(!decode_recovered(dunelink_storage::RecoveredState::default()).damaged);
}
