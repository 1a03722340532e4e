//! Batches for the tests that inject a fault at every disk operation.

use dunelink_storage::Operation;

/// Batches with every kind of operation, over several segments.
pub(crate) fn script() -> Vec<Vec<Operation>> {
    let append = |index: u64, size: usize| Operation::Append { index, bytes: vec![index as u8; size] };
    let metadata = |text: &str| Operation::Metadata(text.as_bytes().to_vec());
    let snapshot = |index: u64, size: usize| Operation::Snapshot { index, bytes: vec![index as u8; size] };
    vec![
        vec![metadata("term 1")],
        vec![append(1, 40), append(2, 60)],
        vec![append(3, 200)],
        vec![metadata("term 2"), Operation::Truncate { from: 3 }, append(3, 150)],
        vec![append(4, 300)],
        vec![Operation::Truncate { from: 2 }, append(2, 10), append(3, 20), append(4, 30)],
        vec![append(5, 400), append(6, 500)],
        vec![snapshot(4, 500), Operation::Release { through: 3 }],
        vec![append(7, 100)],
        vec![Operation::Truncate { from: 7 }, append(7, 90), metadata("term 3")],
        vec![snapshot(7, 200)],
        vec![Operation::Release { through: 6 }],
        vec![append(8, 700)],
        vec![metadata("term 4")],
        vec![snapshot(30, 300), append(31, 20)],
        vec![append(32, 500), append(33, 100)],
        vec![Operation::Truncate { from: 33 }],
        vec![snapshot(32, 10), Operation::Release { through: 32 }, append(33, 5)],
    ]
}
