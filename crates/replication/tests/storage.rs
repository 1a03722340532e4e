//! Encoding and replay of records, and the fence behind failed writes.

mod support;

use dunelink_replication::{
    Entry, HardState, Membership, Payload, Record, RecoveredState, ReplicaId, Snapshot, WriteFence, decode,
    encode,
};
use support::machine::member;

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, payload: Payload::Command(vec![index as u8; 3]) }
}

fn snapshot(index: u64) -> Snapshot {
    let membership = Membership::of_voters(vec![member(0, 1), member(1, 1)]);
    Snapshot { index, term: 2, membership, state: vec![1, 2, 3] }
}

#[test]
fn records_round_trip() {
    let joint = Membership {
        voters: vec![member(0, 1)],
        incoming_voters: Some(vec![member(1, 1)]),
        learners: vec![member(2, 3)],
    };
    let records = [
        Record::HardState(HardState { term: 4, voted_for: Some(ReplicaId(7)) }),
        Record::HardState(HardState::default()),
        Record::Append(entry(3, 2)),
        Record::Append(Entry { index: 1, term: 1, payload: Payload::Noop }),
        Record::Append(Entry { index: 2, term: 1, payload: Payload::Membership(joint) }),
        Record::Truncate { from: 9 },
        Record::Snapshot(snapshot(5)),
    ];
    for record in records {
        assert_eq!(decode::<Record>(&encode(&record)).expect("records decode"), record);
    }
}

#[test]
fn command_encoding_is_compact() {
    let command = vec![200; 10_000];
    let record = Record::Append(Entry { index: 1, term: 1, payload: Payload::Command(command) });
    assert!(encode(&record).len() < 10_050);
}

#[test]
fn replay_applies_records_in_order() {
    let mut recovered = RecoveredState::default();
    assert!(recovered.is_empty());
    (1..=5).for_each(|index| recovered.replay(Record::Append(entry(index, 1))));
    recovered.replay(Record::Truncate { from: 5 });
    recovered.replay(Record::Append(entry(3, 2)));
    recovered.replay(Record::Append(entry(4, 2)));
    recovered.replay(Record::HardState(HardState { term: 2, voted_for: None }));
    recovered.replay(Record::Snapshot(snapshot(2)));
    let terms: Vec<(u64, u64)> = recovered.entries.iter().map(|entry| (entry.index, entry.term)).collect();
    assert_eq!(terms, [(3, 2), (4, 2)]);
    assert_eq!(recovered.snapshot, Some(snapshot(2)));
}

#[test]
fn fence_rejects_writes_behind_a_failure() {
    let mut fence = WriteFence::default();
    assert!(fence.accepts(1) && fence.accepts(2));
    fence.record_failure(2);
    assert!(!fence.accepts(3) && !fence.accepts(4));
    assert!(fence.accepts(6));
    assert!(fence.accepts(7));
}
