//! The disk thread: what the replica's records become in the store, and what is read back.

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

fn translated(translator: &mut RecordTranslator, records: Vec<Record>) -> Vec<Operation> {
    let mut operations = Vec::new();
    translator.translate(records, &mut operations);
    operations
}

/// A folder of its own for each test, gone at the end.
struct Folder(std::path::PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("control-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn opened(events: &mut UnboundedReceiver<DiskEvent>) -> OpenedStore {
    match events.blocking_recv() {
        Some(DiskEvent::Opened(opened)) => opened,
        other => panic!("the store does not open: {other:?}"),
    }
}

/// The outcome of the next write: its sequence, and whether it is durable.
fn outcome(events: &mut UnboundedReceiver<DiskEvent>) -> (u64, bool) {
    loop {
        match events.blocking_recv() {
            Some(DiskEvent::Written { sequence, .. }) => return (sequence, true),
            Some(DiskEvent::WriteFailed { sequence, .. }) => return (sequence, false),
            Some(_) => {}
            None => panic!("the disk thread has ended"),
        }
    }
}

fn begin(id: ReplicaId) -> DiskCommand {
    let translator = RecordTranslator::new(id, HardState::default(), 0, false);
    DiskCommand::Adopt { generation: 1, translator }
}

fn write(generation: u64, sequence: u64, records: Vec<Record>) -> DiskCommand {
    DiskCommand::Write { generation, sequence, records }
}

#[test]
fn the_identity_is_on_the_disk_with_the_first_write() {
    let mut translator = RecordTranslator::new(ID, HardState::default(), 0, false);
    let operations = translated(&mut translator, vec![Record::Append(entry(1, 1))]);
    assert!(matches!(operations[..], [Operation::Metadata(_), Operation::Append { index: 1, .. }]));
    let operations = translated(&mut translator, vec![Record::Append(entry(2, 1))]);
    assert!(matches!(operations[..], [Operation::Append { index: 2, .. }]));
}

#[test]
fn an_entry_at_a_stored_index_replaces_the_later_ones() {
    let mut translator = RecordTranslator::new(ID, HardState::default(), 5, true);
    let operations = translated(&mut translator, vec![Record::Append(entry(4, 2))]);
    assert!(matches!(operations[..], [Operation::Truncate { from: 4 }, Operation::Append { index: 4, .. }]));
}

#[test]
fn a_truncation_spares_what_was_released() {
    let mut translator = RecordTranslator::new(ID, HardState::default(), 5, true);
    translated(&mut translator, vec![Record::Snapshot(snapshot(3))]);
    let operations = translated(&mut translator, vec![Record::Truncate { from: 0 }]);
    assert_eq!(operations, [Operation::Truncate { from: 4 }]);
    assert!(translated(&mut translator, vec![Record::Truncate { from: 0 }]).is_empty());
}

#[test]
fn a_founding_snapshot_releases_nothing() {
    let mut translator = RecordTranslator::new(ID, HardState::default(), 0, true);
    let operations = translated(&mut translator, vec![Record::Snapshot(snapshot(0))]);
    assert!(matches!(operations[..], [Operation::Snapshot { index: 0, .. }]));
}

#[test]
fn what_was_written_is_read_back() {
    let folder = Folder::new("back");
    let (orders, mut events) = start(&folder.0, Limits::default()).expect("the thread starts");
    assert!(opened(&mut events).metadata.is_none());
    let hard_state = HardState { term: 4, voted_for: Some(ID) };
    let records = vec![
        Record::Snapshot(snapshot(0)),
        Record::HardState(hard_state),
        Record::Append(entry(1, 3)),
        Record::Append(entry(2, 4)),
    ];
    orders.send(begin(ID)).expect("the thread runs");
    orders.send(write(1, 1, records)).expect("the thread runs");
    assert_eq!(outcome(&mut events), (1, true));
    drop(orders);
    while events.blocking_recv().is_some() {}

    let (_orders, mut events) = start(&folder.0, Limits::default()).expect("the thread starts");
    let found = opened(&mut events);
    assert_eq!(found.metadata, Some(StoreMetadata { id: ID, hard_state }));
    assert_eq!(found.recovered.entries, [entry(1, 3), entry(2, 4)]);
    assert_eq!(found.recovered.snapshot, Some(snapshot(0)));
    assert!(!found.damaged);
}

#[test]
fn a_wipe_forgets_everything_and_what_the_old_identity_still_writes() {
    let folder = Folder::new("wipe");
    let (orders, mut events) = start(&folder.0, Limits::default()).expect("the thread starts");
    opened(&mut events);
    orders.send(begin(ID)).expect("the thread runs");
    orders.send(write(1, 1, vec![Record::Append(entry(1, 1))])).expect("the thread runs");
    assert_eq!(outcome(&mut events), (1, true));
    orders.send(DiskCommand::Wipe { generation: 2, id: ReplicaId(8) }).expect("the thread runs");
    orders.send(write(1, 2, vec![Record::Append(entry(2, 1))])).expect("the thread runs");
    assert_eq!(outcome(&mut events), (2, false));
    orders.send(write(2, 1, vec![Record::Append(entry(1, 9))])).expect("the thread runs");
    assert_eq!(outcome(&mut events), (1, true));
    drop(orders);
    while events.blocking_recv().is_some() {}

    let (_orders, mut events) = start(&folder.0, Limits::default()).expect("the thread starts");
    let found = opened(&mut events);
    assert_eq!(found.metadata.map(|identity| identity.id), Some(ReplicaId(8)));
    assert_eq!(found.recovered.entries, [entry(1, 9)]);
}

#[test]
fn contents_without_an_identity_or_that_do_not_decode_are_damaged() {
    let entries = vec![StoredEntry { index: 1, bytes: encode(&entry(1, 1)) }];
    let nameless = dunelink_storage::RecoveredState { entries, ..Default::default() };
    assert!(decode_recovered(nameless).damaged);
    let unreadable = dunelink_storage::RecoveredState { metadata: Some(vec![0xff]), ..Default::default() };
    assert!(decode_recovered(unreadable).damaged);
    assert!(!decode_recovered(dunelink_storage::RecoveredState::default()).damaged);
}
