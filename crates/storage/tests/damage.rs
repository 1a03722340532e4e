//! Torn tails are truncated, damage is reported, and unknown format versions are refused.

mod model;
#[path = "model/script.rs"]
mod script;

use dunelink_storage::simulated::{CrashOutcome, Fault, SimulatedDisk};
use dunelink_storage::{Limits, LogStore, Operation, RecoveredState, RecoveryNote, StorageError};
use model::Model;
use script::script;

const LIMITS: Limits = Limits { segment_bytes: 600, disk_bytes: 1 << 20 };
/// Offset of the format version in a file, in bytes.
const VERSION_OFFSET: usize = 6;

fn open(disk: &SimulatedDisk) -> RecoveredState {
    LogStore::open(disk.clone(), LIMITS).unwrap().1
}

/// A disk with the batches applied, and the models before the first and after each batch.
fn disk_with(batches: &[Vec<Operation>], limits: Limits) -> (SimulatedDisk, Vec<Model>) {
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
fn tail_torn_at_any_byte_is_truncated_to_a_batch() {
    let (disk, models) = disk_with(&small_batches(), Limits::default());
    let name = newest_segment(&disk);
    let intact = disk.contents(&name).unwrap();
    let mut last_index = 0;
    for length in 0..intact.len() {
        for filler in [None, Some(0), Some(0xff)] {
            let torn = disk.fork();
            let mut bytes = intact[..length].to_vec();
            if let Some(filler) = filler {
                bytes.resize(intact.len(), filler);
            }
            torn.write_durably(&name, &bytes);
            let recovered = open(&torn);
            assert!(!recovered.damaged, "{length}: {:?}", recovered.notes);
            let index =
                models.iter().rposition(|model| model.matches(&recovered)).expect("the state after a batch");
            assert!(filler.is_some() || index >= last_index, "{length}: {index} after {last_index}");
            last_index = last_index.max(index);
            torn.lose_power(|_| CrashOutcome::Lost);
            assert!(models[index].matches(&open(&torn)), "{length}");
        }
    }
    assert_eq!(last_index, models.len() - 2);
}

#[test]
fn torn_tail_is_reported() {
    let (disk, _) = disk_with(&small_batches(), Limits::default());
    let name = newest_segment(&disk);
    let mut bytes = disk.contents(&name).unwrap();
    let kept = bytes.len() as u64;
    bytes.extend_from_slice(&[7; 9]);
    disk.write_durably(&name, &bytes);
    assert_eq!(open(&disk).notes[0], RecoveryNote::TornTail { file: name, kept, dropped: 9 });
}

/// Flips each bit of each file. Damage is reported unless the bit is in the last frame, where it can't be
/// distinguished from an interrupted write; the state after the last or the last but one batch is then
/// recovered.
#[test]
fn flipped_bit_is_reported_or_drops_the_last_batch() {
    let (disk, models) = disk_with(&script(), LIMITS);
    let last = models.len() - 1;
    for name in disk.names() {
        let intact = disk.contents(&name).unwrap();
        for bit in 0..intact.len() * 8 {
            let flipped = disk.fork();
            let mut bytes = intact.clone();
            bytes[bit / 8] ^= 1 << (bit % 8);
            flipped.write_durably(&name, &bytes);
            let recovered = open(&flipped);
            let index = models.iter().rposition(|model| model.matches(&recovered));
            let is_expected = recovered.damaged || index.is_some_and(|index| index + 1 >= last);
            assert!(is_expected, "bit {bit} of {name}: {index:?} of {last}, {:?}", recovered.notes);
            assert_eq!(recovered.damaged, open(&flipped).damaged, "reported again at the next opening");
        }
    }
}

#[test]
fn missing_file_is_reported() {
    let (disk, _) = disk_with(&script()[..10], LIMITS);
    let names = disk.names();
    assert!(names.len() > 4, "{names:?}");
    for name in &names[..names.len() - 2] {
        let missing = disk.fork();
        missing.remove_durably(name);
        let recovered = open(&missing);
        assert!(recovered.damaged, "{name}");
        assert!(
            recovered.notes.contains(&RecoveryNote::MissingFile { file: name.clone() }),
            "{:?}",
            recovered.notes
        );
        assert_eq!(recovered.metadata.as_deref(), Some(&b"term 3"[..]));
    }
}

#[test]
fn damaged_frame_keeps_entries_before_it() {
    let (disk, _) = disk_with(&small_batches(), Limits::default());
    let name = newest_segment(&disk);
    let mut bytes = disk.contents(&name).unwrap();
    let second = bytes.windows(30).position(|window| window == [2; 30]).unwrap();
    bytes[second] ^= 1;
    disk.write_durably(&name, &bytes);
    let (mut store, recovered) = LogStore::open(disk.clone(), LIMITS).unwrap();
    assert!(recovered.damaged);
    assert!(matches!(&recovered.notes[0], RecoveryNote::DamagedSegment { file, .. } if *file == name));
    let indices: Vec<_> = recovered.entries.iter().map(|entry| entry.index).collect();
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
fn damage_is_reported_after_power_loss_while_opening() {
    let (disk, _) = disk_with(&script()[..7], LIMITS);
    let name = disk.names()[1].clone();
    let mut bytes = disk.contents(&name).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 4;
    disk.write_durably(&name, &bytes);
    let start = disk.operation_count();
    for operation in 0..20 {
        for outcome in [CrashOutcome::Lost, CrashOutcome::Kept, CrashOutcome::Torn(20)] {
            let fork = disk.fork();
            fork.fail_at(start + operation, Fault::PowerLoss);
            let _ = LogStore::open(fork.clone(), LIMITS);
            fork.lose_power(|_| outcome);
            assert!(open(&fork.fork()).damaged, "operation {operation}, {outcome:?}");
        }
    }
}

#[test]
fn wipe_is_atomic() {
    let (disk, models) = disk_with(&script()[..9], LIMITS);
    let before_wipe = models.last().unwrap();
    for operation in 0..20 {
        for choice in 0_u32..64 {
            let fork = disk.fork();
            let (mut store, _) = LogStore::open(fork.clone(), LIMITS).unwrap();
            fork.fail_at(fork.operation_count() + operation, Fault::PowerLoss);
            let wiped = store.wipe().is_ok();
            fork.lose_power(|index| {
                if choice >> (index % 6) & 1 == 1 { CrashOutcome::Kept } else { CrashOutcome::Lost }
            });
            let recovered = open(&fork.fork());
            assert!(!recovered.damaged, "operation {operation}: {:?}", recovered.notes);
            assert!(
                Model::default().matches(&recovered) || (!wiped && before_wipe.matches(&recovered)),
                "operation {operation}"
            );
        }
    }
}

#[test]
fn unknown_format_version_is_refused_with_a_remedy() {
    let (disk, _) = disk_with(&script()[..10], LIMITS);
    let names = disk.names();
    for name in &names {
        let newer = disk.fork();
        let mut bytes = newer.contents(name).unwrap();
        bytes[VERSION_OFFSET] = 9;
        let checksum = crc32fast::hash(&bytes[..8]);
        bytes[8..12].copy_from_slice(&checksum.to_le_bytes());
        newer.write_durably(name, &bytes);
        let error = LogStore::open(newer, LIMITS).map(|_| ()).unwrap_err();
        assert!(matches!(error, StorageError::UnknownVersion { found: 9, supported: 1, .. }), "{error}");
        assert!(error.to_string().contains("run the version that wrote it"));
    }
}

/// The removal of a file is not synced, so that the file may reappear after a power loss.
#[test]
fn reappearing_removed_files_are_ignored() {
    let script = script();
    let disk = SimulatedDisk::new();
    let (mut store, _) = LogStore::open(disk.clone(), LIMITS).unwrap();
    let mut all_files = std::collections::BTreeMap::new();
    let mut model = Model::default();
    for batch in &script {
        store.apply(batch).unwrap();
        model = model.after(batch);
        all_files.extend(disk.names().into_iter().map(|name| (name.clone(), disk.contents(&name).unwrap())));
    }
    drop(store);
    disk.lose_power(|_| CrashOutcome::Kept);
    let present = disk.names();
    let removed: Vec<_> = all_files.into_iter().filter(|(name, _)| !present.contains(name)).collect();
    assert!(removed.len() >= 4);
    for choice in 0_u32..1 << removed.len().min(8) {
        let fork = disk.fork();
        for (index, (name, bytes)) in removed.iter().enumerate() {
            if choice >> (index % 8) & 1 == 1 {
                fork.write_durably(name, bytes);
            }
        }
        let recovered = open(&fork);
        assert!(model.matches(&recovered) && !recovered.damaged, "{choice:b}: {:?}", recovered.notes);
        assert!(removed.iter().all(|(name, _)| !fork.names().contains(name)));
    }
}
