//! Any bytes may be read from a disk.

use dunelink_storage::simulated::SimulatedDisk;
use dunelink_storage::{Limits, LogStore, Operation, count_records, read_frame};

const ITERATIONS: usize = 2000;

#[test]
fn any_bytes_are_read_as_frames_and_records() {
    bolero::check!().with_iterations(ITERATIONS).for_each(|bytes: &[u8]| {
        if let Ok(frame) = read_frame(bytes) {
            assert!(frame.length() <= bytes.len());
        }
        let _ = count_records(bytes);
    });
}

#[test]
fn any_bytes_in_a_segment_are_opened() {
    bolero::check!().with_iterations(ITERATIONS).for_each(|bytes: &[u8]| {
        let disk = SimulatedDisk::new();
        let (mut store, _) = LogStore::open(disk.clone(), Limits::default()).unwrap();
        store.apply(&[Operation::Append { index: 1, bytes: vec![1] }]).unwrap();
        drop(store);
        let name = disk.names().pop().unwrap();
        let mut contents = disk.contents(&name).unwrap();
        // The first byte chooses how much of the valid segment stays before the others.
        let kept = bytes.first().map_or(0, |byte| usize::from(*byte) % (contents.len() + 1));
        contents.truncate(kept);
        contents.extend_from_slice(bytes.get(1..).unwrap_or_default());
        disk.write_durably(&name, &contents);
        let (mut store, found) = LogStore::open(disk.clone(), Limits::default()).unwrap();
        let next = found.entries.len() as u64 + 1;
        store.apply(&[Operation::Append { index: next, bytes: vec![2] }]).unwrap();
    });
}
