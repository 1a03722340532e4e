//! The decoder accepts arbitrary bytes without panics.

use dunelink_storage::simulated::SimulatedDisk;
use dunelink_storage::{Limits, LogStore, Operation, count_records, read_frame};

const ITERATIONS: usize = 2000;

#[test]
fn arbitrary_frames_do_not_panic() {
    bolero::check!().with_iterations(ITERATIONS).for_each(|bytes: &[u8]| {
        if let Ok(frame) = read_frame(bytes) {
            assert!(frame.length() <= bytes.len());
        }
        let _ = count_records(bytes);
    });
}

#[test]
fn arbitrary_segment_contents_can_be_opened() {
    bolero::check!().with_iterations(ITERATIONS).for_each(|bytes: &[u8]| {
        let disk = SimulatedDisk::new();
        let (mut store, _) = LogStore::open(disk.clone(), Limits::default()).unwrap();
        store.apply(&[Operation::Append { index: 1, bytes: vec![1] }]).unwrap();
        drop(store);
        let name = disk.names().pop().unwrap();
        let mut contents = disk.contents(&name).unwrap();
        // The first byte selects how much of the valid segment is kept before the arbitrary bytes.
        let kept = bytes.first().map_or(0, |byte| usize::from(*byte) % (contents.len() + 1));
        contents.truncate(kept);
        contents.extend_from_slice(bytes.get(1..).unwrap_or_default());
        disk.write_durably(&name, &contents);
        let (mut store, recovered) = LogStore::open(disk.clone(), Limits::default()).unwrap();
        let next = recovered.entries.len() as u64 + 1;
        store.apply(&[Operation::Append { index: next, bytes: vec![2] }]).unwrap();
    });
}
