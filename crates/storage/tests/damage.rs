//! Torn tails are cut, damage is told, unknown versions are refused.

mod model;
#[path = "model/script.rs"]
mod script;

use dunelink_storage::simulated::{CrashOutcome, Fault, SimulatedDisk};
use dunelink_storage::{Limits, LogStore, Operation, RecoveredState, RecoveryNote, StorageError};
use model::Model;
use script::script;

const LIMITS: Limits = Limits { segment_bytes: 600, disk_bytes: 1 << 20 };
/// Where the version of the format is in a file, in bytes.
const VERSION_AT: usize = 6;

fn open(disk: &SimulatedDisk) -> RecoveredState {
    LogStore::open(disk.clone(), LIMITS).unwrap().1
}

fn applied(batches: &[Vec<Operation>], limits: Limits) -> (SimulatedDisk, Vec<Model>) {
    let disk = SimulatedDisk::new();
    let (mut store, _) = LogStore::open(disk.clone(), limits).unwrap();
    let mut models = vec![Model::default()];
    for batch in batches {
        store.apply(batch).unwrap();
        models.push(models.last().unwrap().after(batch));
    }
    drop(store);
    disk.lose_power(|_| CrashOutcome::Kept);
    (disk, models)
}

fn small_batches() -> Vec<Vec<Operation>> {
    let append = |index: u64| Operation::Append { index, bytes: vec![index as u8; 30] };
    vec![
        vec![Operation::Metadata(b"term 1".to_vec()), append(1)],
        vec![append(2)],
        vec![Operation::Metadata(b"term 2".to_vec()), append(3)],
    ]
}

fn newest_segment(disk: &SimulatedDisk) -> String {
    disk.names().into_iter().rfind(|name| name.starts_with("segment-")).unwrap()
}

#[test]
fn a_tail_torn_at_any_byte_is_cut_to_a_batch() {
    let (disk, models) = applied(&small_batches(), Limits::default());
    let name = newest_segment(&disk);
    let whole = disk.contents(&name).unwrap();
    let mut seen = 0;
    for length in 0..whole.len() {
        for filler in [None, Some(0), Some(0xff)] {
            let torn = disk.fork();
            let mut bytes = whole[..length].to_vec();
            if let Some(filler) = filler {
                bytes.resize(whole.len(), filler);
            }
            torn.write_durably(&name, &bytes);
            let found = open(&torn);
            assert!(!found.damaged, "{length}: {:?}", found.notes);
            let place = models.iter().rposition(|model| model.is(&found)).expect("a state between batches");
            assert!(filler.is_some() || place >= seen, "{length}: {place} after {seen}");
            seen = seen.max(place);
            torn.lose_power(|_| CrashOutcome::Lost);
            assert!(models[place].is(&open(&torn)), "{length}");
        }
    }
    assert_eq!(seen, models.len() - 2);
}

#[test]
fn a_torn_tail_is_noted() {
    let (disk, _) = applied(&small_batches(), Limits::default());
    let name = newest_segment(&disk);
    let mut bytes = disk.contents(&name).unwrap();
    let kept = bytes.len() as u64;
    bytes.extend_from_slice(&[7; 9]);
    disk.write_durably(&name, &bytes);
    assert_eq!(open(&disk).notes[0], RecoveryNote::TornTail { file: name, kept, dropped: 9 });
}

/// Flips each bit of each file. What is returned is a state between batches, and damage is told unless the flip is
/// in the last frame, where it can't be told from a write that was cut short.
#[test]
fn a_flipped_bit_is_told_or_cuts_the_last_batch() {
    let (disk, models) = applied(&script(), LIMITS);
    let last = models.len() - 1;
    for name in disk.names() {
        let whole = disk.contents(&name).unwrap();
        for bit in 0..whole.len() * 8 {
            let flipped = disk.fork();
            let mut bytes = whole.clone();
            bytes[bit / 8] ^= 1 << (bit % 8);
            flipped.write_durably(&name, &bytes);
            let found = open(&flipped);
            let place = models.iter().rposition(|model| model.is(&found));
            let is_right = found.damaged || place.is_some_and(|place| place + 1 >= last);
            assert!(is_right, "bit {bit} of {name}: {place:?} of {last}, {:?}", found.notes);
            assert_eq!(found.damaged, open(&flipped).damaged, "told again at the next opening");
        }
    }
}

#[test]
fn a_missing_file_is_told() {
    let (disk, _) = applied(&script()[..10], LIMITS);
    let names = disk.names();
    assert!(names.len() > 4, "{names:?}");
    for name in &names[..names.len() - 2] {
        let missing = disk.fork();
        missing.remove_durably(name);
        let found = open(&missing);
        assert!(found.damaged, "{name}");
        assert!(found.notes.contains(&RecoveryNote::MissingFile { file: name.clone() }), "{:?}", found.notes);
        assert_eq!(found.metadata.as_deref(), Some(&b"term 3"[..]));
    }
}

#[test]
fn damage_in_the_middle_keeps_the_entries_before_it_and_the_latest_metadata() {
    let (disk, _) = applied(&small_batches(), Limits::default());
    let name = newest_segment(&disk);
    let mut bytes = disk.contents(&name).unwrap();
    let second = bytes.windows(30).position(|window| window == [2; 30]).unwrap();
    bytes[second] ^= 1;
    disk.write_durably(&name, &bytes);
    let (mut store, found) = LogStore::open(disk.clone(), LIMITS).unwrap();
    assert!(found.damaged);
    assert!(matches!(&found.notes[0], RecoveryNote::DamagedSegment { file, .. } if *file == name));
    let indices: Vec<_> = found.entries.iter().map(|entry| entry.index).collect();
    assert_eq!(indices, [1]);
    store.wipe().unwrap();
    drop(store);
    disk.lose_power(|_| CrashOutcome::Lost);
    // The removal of the segment before the wipe was not synced.
    let leftover = RecoveryNote::Leftover { file: "segment-0000000000000002.log".to_owned() };
    assert_eq!(open(&disk), RecoveredState { notes: vec![leftover], ..RecoveredState::default() });
    assert_eq!(open(&disk), RecoveredState::default());
}

#[test]
fn damage_is_still_told_after_power_loss_at_any_operation_of_the_opening() {
    let (disk, _) = applied(&script()[..7], LIMITS);
    let name = disk.names()[1].clone();
    let mut bytes = disk.contents(&name).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 4;
    disk.write_durably(&name, &bytes);
    let start = disk.operation_count();
    for operation in 0..20 {
        for fate in [CrashOutcome::Lost, CrashOutcome::Kept, CrashOutcome::Torn(20)] {
            let fork = disk.fork();
            fork.fail_at(start + operation, Fault::PowerLoss);
            let _ = LogStore::open(fork.clone(), LIMITS);
            fork.lose_power(|_| fate);
            assert!(open(&fork.fork()).damaged, "operation {operation}, {fate:?}");
        }
    }
}

#[test]
fn a_wipe_is_whole_or_nothing_at_any_operation() {
    let (disk, models) = applied(&script()[..9], LIMITS);
    let whole = models.last().unwrap();
    for operation in 0..20 {
        for choice in 0_u32..64 {
            let fork = disk.fork();
            let (mut store, _) = LogStore::open(fork.clone(), LIMITS).unwrap();
            fork.fail_at(fork.operation_count() + operation, Fault::PowerLoss);
            let wiped = store.wipe().is_ok();
            fork.lose_power(|place| {
                if choice >> (place % 6) & 1 == 1 { CrashOutcome::Kept } else { CrashOutcome::Lost }
            });
            let found = open(&fork.fork());
            assert!(!found.damaged, "operation {operation}: {:?}", found.notes);
            assert!(Model::default().is(&found) || (!wiped && whole.is(&found)), "operation {operation}");
        }
    }
}

#[test]
fn an_unknown_format_version_is_refused_with_a_remedy() {
    let (disk, _) = applied(&script()[..10], LIMITS);
    let names = disk.names();
    for name in &names {
        let newer = disk.fork();
        let mut bytes = newer.contents(name).unwrap();
        bytes[VERSION_AT] = 9;
        let checksum = crc32fast::hash(&bytes[..8]);
        bytes[8..12].copy_from_slice(&checksum.to_le_bytes());
        newer.write_durably(name, &bytes);
        let error = LogStore::open(newer, LIMITS).map(|_| ()).unwrap_err();
        assert!(matches!(error, StorageError::UnknownVersion { found: 9, supported: 1, .. }), "{error}");
        assert!(error.to_string().contains("run the version that wrote it"));
    }
}

/// A removed segment that is back after a loss of power is not part of the log.
#[test]
fn removed_files_that_come_back_are_left_out() {
    let script = script();
    let disk = SimulatedDisk::new();
    let (mut store, _) = LogStore::open(disk.clone(), LIMITS).unwrap();
    let mut ever = std::collections::BTreeMap::new();
    let mut model = Model::default();
    for batch in &script {
        store.apply(batch).unwrap();
        model = model.after(batch);
        ever.extend(disk.names().into_iter().map(|name| (name.clone(), disk.contents(&name).unwrap())));
    }
    drop(store);
    disk.lose_power(|_| CrashOutcome::Kept);
    let kept = disk.names();
    let removed: Vec<_> = ever.into_iter().filter(|(name, _)| !kept.contains(name)).collect();
    assert!(removed.len() >= 4);
    for choice in 0_u32..1 << removed.len().min(8) {
        let fork = disk.fork();
        for (place, (name, bytes)) in removed.iter().enumerate() {
            if choice >> (place % 8) & 1 == 1 {
                fork.write_durably(name, bytes);
            }
        }
        let found = open(&fork);
        assert!(model.is(&found) && !found.damaged, "{choice:b}: {:?}", found.notes);
        assert!(removed.iter().all(|(name, _)| !fork.names().contains(name)));
    }
}
