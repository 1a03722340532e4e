//! The store: applies batches of operations atomically and durably.

use crate::checkpoint::{Checkpoint, SnapshotReference};
use crate::disk::Disk;
use crate::error::StorageError;
use crate::frame::{self, FRAME_HEADER_BYTES};
use crate::names;
use crate::operation::{Limits, Operation, RecoveredState};
use crate::plan::{Plan, SnapshotWrite};
use crate::record::{PreviousSegment, SegmentHeader};
use crate::recovery;

/// A segment file, as the header of the next segment will refer to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Segment {
    /// The file number.
    pub(crate) number: u64,
    /// Valid length in bytes.
    pub(crate) length: u64,
    /// Highest index of its entries that were not truncated; 0 if there are none.
    pub(crate) highest_index: u64,
}

/// A file to be removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ObsoleteFile {
    pub(crate) name: String,
    pub(crate) length: u64,
}

/// A log with snapshots on a disk. Only one store at a time may use a folder.
#[derive(Debug)]
pub struct LogStore<D> {
    disk: D,
    limits: Limits,
    state: Checkpoint,
    /// Segments, oldest first; frames are written to the last one.
    segments: Vec<Segment>,
    /// Sequence number of the next frame in the last segment.
    next_sequence: u32,
    /// The next free file number.
    next_number: u64,
    /// Whether the last segment may have unsynced data: the next frame then begins a new segment.
    must_roll: bool,
    /// Durable snapshot files that only a failed frame refers to. That frame may be on the disk nevertheless,
    /// so the files are kept until a later frame is durable.
    unreferenced: Vec<SnapshotReference>,
    /// Files to be removed; failed removals are tried again.
    obsolete: Vec<ObsoleteFile>,
}

impl<D: Disk> LogStore<D> {
    /// Opens the store and returns the recovered state. Blocks while all retained data is read, and for a few
    /// syncs.
    ///
    /// # Errors
    ///
    /// A disk operation failed (also on a full disk, as the recovered state must be made durable), or a file
    /// has an unknown format version. Damage is not an error; see [`RecoveredState::damaged`].
    pub fn open(mut disk: D, limits: Limits) -> Result<(Self, RecoveredState), StorageError> {
        let contents = recovery::read(&mut disk)?;
        let mut store = Self {
            disk,
            limits,
            state: Checkpoint::empty(0),
            segments: contents.replay.segments.clone(),
            next_sequence: 0,
            next_number: contents.next_number,
            must_roll: true,
            unreferenced: Vec::new(),
            obsolete: Vec::new(),
        };
        store.finish_open(contents).map(|recovered| (store, recovered))
    }

    /// Applies all operations of a batch in order and makes them durable. Blocks on the disk. A batch without
    /// a snapshot costs one write and one sync, or two syncs if it begins a new segment.
    ///
    /// # Errors
    ///
    /// A disk operation failed, the disk is full, or an operation is invalid in the current state. The state
    /// is unchanged, and the batch may be applied again; until a later batch succeeds, a reopened store may
    /// nevertheless include this one.
    pub fn apply(&mut self, batch: &[Operation]) -> Result<(), StorageError> {
        if batch.is_empty() {
            return Ok(());
        }
        self.remove_obsolete();
        let plan = Plan::new(self.state.clone(), self.segments.clone(), self.next_number);
        let mut plan = plan.with_unreferenced(&self.unreferenced);
        plan.add_batch(batch)?;
        self.check_limit(&plan, self.limits.for_batch(batch))?;
        self.next_number = plan.next_number();
        for snapshot in &plan.snapshots {
            self.write_snapshot(snapshot)?;
        }
        let written: Vec<_> = plan.snapshots.iter().map(|snapshot| snapshot.reference).collect();
        self.mark_unreferenced(&written);
        self.write_plan(plan)
    }

    /// Length of all files in bytes, including files still to be removed.
    pub fn used_bytes(&self) -> u64 {
        let segments: u64 = self.segments.iter().map(|segment| segment.length).sum();
        let obsolete: u64 = self.obsolete.iter().map(|file| file.length).sum();
        let snapshots = self.unreferenced.iter().chain(&self.state.snapshot);
        segments + obsolete + snapshots.map(SnapshotReference::file_bytes).sum::<u64>()
    }

    /// Removes all data atomically: after a power loss either all or none of it is left.
    ///
    /// # Errors
    ///
    /// A disk operation failed; the data is unchanged, and the wipe may be tried again.
    pub fn wipe(&mut self) -> Result<(), StorageError> {
        let old_segments = std::mem::take(&mut self.segments);
        let empty = Checkpoint::empty(self.next_number);
        if let Err(error) = self.roll(&empty, &[]) {
            self.segments = old_segments;
            return Err(error);
        }
        self.discard_segments(&old_segments);
        self.set_state(empty);
        self.remove_obsolete();
        Ok(())
    }

    /// The disk that the store writes to.
    pub fn disk(&self) -> &D {
        &self.disk
    }

    /// Begins a new segment with the recovered state and last frame, and removes obsolete files.
    fn finish_open(&mut self, contents: recovery::FolderContents) -> Result<RecoveredState, StorageError> {
        for file in &contents.removable {
            // Failed removals are tried again below.
            let _ = self.disk.remove(&file.name);
        }
        let mut plan = Plan::new(contents.header.clone(), self.segments.clone(), self.next_number);
        let number = self.next_number;
        plan.segments.push(Segment { number, length: 0, highest_index: 0 });
        let rewritten_from = contents.replay.rewritten_from;
        for entry in contents.recovered.entries.iter().filter(|entry| entry.index >= rewritten_from) {
            plan.append(entry.index, &entry.bytes)?;
        }
        let dropped = plan.remove_unneeded_segments();
        self.roll(&contents.header, &plan.payload)?;
        self.commit(plan, &dropped);
        self.obsolete.extend(contents.removable);
        self.obsolete.extend(contents.superseded);
        self.remove_obsolete();
        self.truncate_tails(&contents.segments_with_tail);
        Ok(contents.recovered)
    }

    /// Truncates segments to their valid length, to free space.
    fn truncate_tails(&mut self, segments_with_tail: &[u64]) {
        for segment in &self.segments {
            if segments_with_tail.contains(&segment.number) {
                // A failure only wastes space: the newest header states the valid length.
                let _ = self.disk.set_len(&names::segment_file(segment.number), segment.length);
            }
        }
    }

    fn check_limit(&self, plan: &Plan<'_>, limit: u64) -> Result<(), StorageError> {
        let metadata = self.state.metadata.as_ref().map_or(0, |bytes| bytes.len() as u64);
        let needed = self.used_bytes() + plan.added_bytes() + metadata + LIMIT_OVERHEAD_BYTES;
        if needed > limit {
            return Err(StorageError::OverLimit { needed, limit });
        }
        Ok(())
    }

    fn write_snapshot(&mut self, snapshot: &SnapshotWrite<'_>) -> Result<(), StorageError> {
        let name = names::snapshot_file(snapshot.reference.number);
        // The file is obsolete until a frame refers to it.
        self.obsolete.push(ObsoleteFile { name: name.clone(), length: snapshot.file_bytes() });
        self.write_new_file(&name, &[&frame::prefix(), snapshot.bytes])
    }

    /// Keeps durable snapshot files that the next frame will refer to.
    fn mark_unreferenced(&mut self, written: &[SnapshotReference]) {
        for reference in written {
            let name = names::snapshot_file(reference.number);
            self.obsolete.retain(|file| file.name != name);
            self.unreferenced.push(*reference);
        }
    }

    fn write_new_file(&mut self, name: &str, parts: &[&[u8]]) -> Result<(), StorageError> {
        self.disk.create(name).map_err(StorageError::disk("making", name))?;
        let mut offset = 0;
        for part in parts {
            self.disk.write(name, offset, part).map_err(StorageError::disk("writing", name))?;
            offset += part.len() as u64;
        }
        self.disk.sync_file(name).map_err(StorageError::disk("syncing", name))?;
        self.disk.sync_folder().map_err(StorageError::disk("syncing", "the data folder"))
    }

    fn write_plan(&mut self, mut plan: Plan<'_>) -> Result<(), StorageError> {
        let frame_bytes = (FRAME_HEADER_BYTES + plan.payload.len()) as u64;
        let begins_segment = self.must_roll || self.exceeds_segment_limit(frame_bytes);
        if begins_segment {
            move_to_new_segment(&mut plan, &self.segments, self.next_number);
        }
        let dropped = plan.remove_unneeded_segments();
        if begins_segment {
            self.roll(&self.state.clone(), &plan.payload)?;
        } else {
            self.append_frame(&plan.payload)?;
        }
        self.commit(plan, &dropped);
        self.remove_obsolete();
        Ok(())
    }

    fn exceeds_segment_limit(&self, frame_bytes: u64) -> bool {
        let length = self.segments.last().map_or(0, |segment| segment.length);
        self.next_sequence == u32::MAX || length + frame_bytes > self.limits.segment_bytes
    }

    fn append_frame(&mut self, payload: &[u8]) -> Result<(), StorageError> {
        let Some(segment) = self.segments.last().copied() else { return Ok(()) };
        let name = names::segment_file(segment.number);
        let mut bytes = Vec::new();
        frame::write_frame(&mut bytes, segment.number, self.next_sequence, payload)?;
        let written = self
            .disk
            .write(&name, segment.length, &bytes)
            .map_err(StorageError::disk("writing", &name))
            .and_then(|()| self.disk.sync_file(&name).map_err(StorageError::disk("syncing", &name)));
        if let Err(error) = written {
            self.must_roll = true;
            // Frees the space; a failure does no harm, as the next header states the valid length.
            let _ = self.disk.set_len(&name, segment.length);
            return Err(error);
        }
        self.next_sequence += 1;
        self.set_last_length(segment.length + bytes.len() as u64);
        Ok(())
    }

    /// Begins a new segment with a header and one frame.
    fn roll(&mut self, checkpoint: &Checkpoint, payload: &[u8]) -> Result<(), StorageError> {
        let number = self.next_number;
        let previous =
            self.segments.last().map(|last| PreviousSegment { number: last.number, length: last.length });
        let header = SegmentHeader { previous, checkpoint: checkpoint.clone() };
        let mut header_bytes = Vec::new();
        minicbor::encode(&header, &mut header_bytes).expect("writing to a vector does not fail");
        let mut bytes = frame::prefix().to_vec();
        frame::write_frame(&mut bytes, number, 0, &header_bytes)?;
        frame::write_frame(&mut bytes, number, 1, payload)?;
        // The previous segment must not be written from now on: recovery may already prefer the new one.
        self.must_roll = true;
        self.next_number += 1;
        let name = names::segment_file(number);
        let length = bytes.len() as u64;
        if let Err(error) = self.write_new_file(&name, &[&bytes]) {
            self.obsolete.push(ObsoleteFile { name, length });
            self.remove_obsolete();
            return Err(error);
        }
        self.must_roll = false;
        self.next_sequence = 2;
        self.segments.push(Segment { number, length, highest_index: 0 });
        Ok(())
    }

    fn set_last_length(&mut self, length: u64) {
        if let Some(segment) = self.segments.last_mut() {
            segment.length = length;
        }
    }

    /// Updates the state after a batch became durable.
    fn commit(&mut self, plan: Plan<'_>, dropped: &[Segment]) {
        let length = self.segments.last().map_or(0, |segment| segment.length);
        self.segments = plan.segments;
        self.set_last_length(length);
        self.discard_segments(dropped);
        self.set_state(plan.state);
    }

    fn discard_segments(&mut self, segments: &[Segment]) {
        let files = segments.iter().map(|segment| ObsoleteFile {
            name: names::segment_file(segment.number),
            length: segment.length,
        });
        self.obsolete.extend(files);
    }

    /// Sets a durable state; all snapshot files except the one that it refers to become obsolete.
    fn set_state(&mut self, state: Checkpoint) {
        let old = std::mem::replace(&mut self.state, state).snapshot;
        let current = self.state.snapshot.map(|snapshot| snapshot.number);
        let others =
            self.unreferenced.drain(..).chain(old).filter(|snapshot| Some(snapshot.number) != current);
        self.obsolete.extend(others.map(|snapshot| ObsoleteFile {
            name: names::snapshot_file(snapshot.number),
            length: snapshot.file_bytes(),
        }));
    }

    /// Removes obsolete files; failed removals are tried again with the next batch. No sync follows, as a
    /// removed file that reappears is recognized as unneeded.
    fn remove_obsolete(&mut self) {
        let disk = &mut self.disk;
        self.obsolete.retain(|file| match disk.remove(&file.name) {
            Ok(()) => false,
            Err(error) => error.kind() != std::io::ErrorKind::NotFound,
        });
    }
}

/// Allowance for headers of frames and files in the check of the disk limit, in bytes.
const LIMIT_OVERHEAD_BYTES: u64 = 512;

/// Changes the plan so that its frame begins a new segment: the appended entries belong to the new segment
/// instead of the last one.
fn move_to_new_segment(plan: &mut Plan<'_>, before: &[Segment], number: u64) {
    let Some(last) = plan.segments.last_mut() else { return };
    let highest_index = last.highest_index;
    let old_highest = before.last().map_or(0, |segment| segment.highest_index);
    last.highest_index = old_highest.min(plan.state.last);
    plan.segments.push(Segment { number, length: 0, highest_index });
}
