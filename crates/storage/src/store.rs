//! The store: batches in, all of each durable or none.

use crate::checkpoint::{Checkpoint, SnapshotReference};
use crate::disk::Disk;
use crate::error::StorageError;
use crate::frame::{self, FRAME_HEADER_BYTES};
use crate::names;
use crate::operation::{Limits, Operation, RecoveredState};
use crate::plan::{Plan, SnapshotWrite};
use crate::record::{Previous, SegmentHeader};
use crate::recovery;

/// A segment, as the next header will name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Segment {
    /// The number in its name.
    pub(crate) number: u64,
    /// The bytes of it that count.
    pub(crate) length: u64,
    /// The highest entry in it that was not truncated; 0 if there is none.
    pub(crate) highest: u64,
}

/// A file that is not needed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Garbage {
    pub(crate) name: String,
    pub(crate) length: u64,
}

/// A log with snapshots on a disk. One store at a time may use a folder.
#[derive(Debug)]
pub struct LogStore<D> {
    disk: D,
    limits: Limits,
    state: Checkpoint,
    /// Oldest first; the last one is written to.
    segments: Vec<Segment>,
    /// The sequence of the next frame in the last segment.
    next_sequence: u32,
    /// The next free number for a file.
    next_number: u64,
    /// The last segment may hold what no sync covers: the next frame begins a new one.
    must_roll: bool,
    /// Durable snapshots that only a failed frame names. It may be on the disk all the same, so they stay until a
    /// later one is.
    held: Vec<SnapshotReference>,
    /// Files to be removed, now or when the disk allows it.
    garbage: Vec<Garbage>,
}

impl<D: Disk> LogStore<D> {
    /// Opens the folder and returns what it holds. Blocks for some syncs, and for the reading of all that is kept.
    ///
    /// # Errors
    ///
    /// The disk failed (a full disk refuses this too: what is returned must have been made durable), or a file has
    /// an unknown format version. Damage is no error; see [`RecoveredState::damaged`].
    pub fn open(mut disk: D, limits: Limits) -> Result<(Self, RecoveredState), StorageError> {
        let found = recovery::read(&mut disk)?;
        let mut store = Self {
            disk,
            limits,
            state: Checkpoint::empty(0),
            segments: found.replay.segments.clone(),
            next_sequence: 0,
            next_number: found.next_number,
            must_roll: true,
            held: Vec::new(),
            garbage: Vec::new(),
        };
        store.begin(found).map(|recovered| (store, recovered))
    }

    /// Makes a batch durable: all of it, in its order. Blocks for the disk. Batches without a snapshot take one
    /// write and one sync, and two syncs when a segment ends.
    ///
    /// # Errors
    ///
    /// The disk failed or is full, or an operation can't follow. The state is then as before the batch, and it may
    /// be applied again; until some batch succeeds, a reopened store may hold this one all the same.
    pub fn apply(&mut self, batch: &[Operation]) -> Result<(), StorageError> {
        if batch.is_empty() {
            return Ok(());
        }
        self.remove_garbage();
        let plan = Plan::new(self.state.clone(), self.segments.clone(), self.next_number);
        let mut plan = plan.with_held(&self.held);
        plan.batch(batch)?;
        self.check_limit(&plan, self.limits.for_batch(batch))?;
        self.next_number = plan.next_number();
        for snapshot in &plan.snapshots {
            self.write_snapshot(snapshot)?;
        }
        let written: Vec<_> = plan.snapshots.iter().map(|snapshot| snapshot.reference).collect();
        self.hold(&written);
        self.write_plan(plan)
    }

    /// Bytes of all files, those still to be removed included.
    pub fn used_bytes(&self) -> u64 {
        let segments: u64 = self.segments.iter().map(|segment| segment.length).sum();
        let garbage: u64 = self.garbage.iter().map(|file| file.length).sum();
        let snapshots = self.held.iter().chain(&self.state.snapshot);
        segments + garbage + snapshots.map(SnapshotReference::file_bytes).sum::<u64>()
    }

    /// Forgets everything, in one step: after a loss of power either all or nothing is there.
    ///
    /// # Errors
    ///
    /// The disk failed; the contents are as before, and it may be tried again.
    pub fn wipe(&mut self) -> Result<(), StorageError> {
        let old = std::mem::take(&mut self.segments);
        let empty = Checkpoint::empty(self.next_number);
        if let Err(error) = self.roll(&empty, &[]) {
            self.segments = old;
            return Err(error);
        }
        self.discard_segments(&old);
        self.set_state(empty);
        self.remove_garbage();
        Ok(())
    }

    /// The disk.
    pub fn disk(&self) -> &D {
        &self.disk
    }

    /// Writes what recovery found into a new segment, and removes what is left over.
    fn begin(&mut self, found: recovery::Found) -> Result<RecoveredState, StorageError> {
        for file in &found.needless {
            // What fails here is tried again below.
            let _ = self.disk.remove(&file.name);
        }
        let mut plan = Plan::new(found.header.clone(), self.segments.clone(), self.next_number);
        let number = self.next_number;
        plan.segments.push(Segment { number, length: 0, highest: 0 });
        let carried_from = found.replay.carried_from;
        for entry in found.recovered.entries.iter().filter(|entry| entry.index >= carried_from) {
            plan.append(entry.index, &entry.bytes)?;
        }
        let dropped = plan.drop_segments();
        self.roll(&found.header, &plan.payload)?;
        self.commit(plan, &dropped);
        self.garbage.extend(found.needless);
        self.garbage.extend(found.superseded);
        self.remove_garbage();
        self.cut_tails(&found.tails);
        Ok(found.recovered)
    }

    /// Cuts what does not count off the older segments, to have the space.
    fn cut_tails(&mut self, tails: &[u64]) {
        for segment in &self.segments {
            if tails.contains(&segment.number) {
                // Only space is lost if this fails: the newest header says how much counts.
                let _ = self.disk.set_len(&names::segment(segment.number), segment.length);
            }
        }
    }

    fn check_limit(&self, plan: &Plan<'_>, limit: u64) -> Result<(), StorageError> {
        let metadata = self.state.metadata.as_ref().map_or(0, |bytes| bytes.len() as u64);
        let needed = self.used_bytes() + plan.added_bytes() + metadata + OVERHEAD_BYTES;
        if needed > limit {
            return Err(StorageError::OverLimit { needed, limit });
        }
        Ok(())
    }

    fn write_snapshot(&mut self, snapshot: &SnapshotWrite<'_>) -> Result<(), StorageError> {
        let name = names::snapshot(snapshot.reference.number);
        // Garbage until a frame names it.
        self.garbage.push(Garbage { name: name.clone(), length: snapshot.file_bytes() });
        self.write_new(&name, &[&frame::prefix(), snapshot.bytes])
    }

    /// The snapshots are durable, and the next thing written is a frame that names them.
    fn hold(&mut self, written: &[SnapshotReference]) {
        for reference in written {
            let name = names::snapshot(reference.number);
            self.garbage.retain(|file| file.name != name);
            self.held.push(*reference);
        }
    }

    fn write_new(&mut self, name: &str, parts: &[&[u8]]) -> Result<(), StorageError> {
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
        let rolls = self.must_roll || self.is_past_limit(frame_bytes);
        if rolls {
            move_to_new_segment(&mut plan, &self.segments, self.next_number);
        }
        let dropped = plan.drop_segments();
        if rolls {
            self.roll(&self.state.clone(), &plan.payload)?;
        } else {
            self.append_frame(&plan.payload)?;
        }
        self.commit(plan, &dropped);
        self.remove_garbage();
        Ok(())
    }

    fn is_past_limit(&self, frame_bytes: u64) -> bool {
        let length = self.segments.last().map_or(0, |segment| segment.length);
        self.next_sequence == u32::MAX || length + frame_bytes > self.limits.segment_bytes
    }

    fn append_frame(&mut self, payload: &[u8]) -> Result<(), StorageError> {
        let Some(segment) = self.segments.last().copied() else { return Ok(()) };
        let name = names::segment(segment.number);
        let mut bytes = Vec::new();
        frame::write_frame(&mut bytes, segment.number, self.next_sequence, payload)?;
        let written = self
            .disk
            .write(&name, segment.length, &bytes)
            .map_err(StorageError::disk("writing", &name))
            .and_then(|()| self.disk.sync_file(&name).map_err(StorageError::disk("syncing", &name)));
        if let Err(error) = written {
            self.must_roll = true;
            // Gives the space back; what counts does not depend on it.
            let _ = self.disk.set_len(&name, segment.length);
            return Err(error);
        }
        self.next_sequence += 1;
        self.set_last_length(segment.length + bytes.len() as u64);
        Ok(())
    }

    /// Begins a segment with a header and one frame.
    fn roll(&mut self, checkpoint: &Checkpoint, payload: &[u8]) -> Result<(), StorageError> {
        let number = self.next_number;
        let previous = self.segments.last().map(|last| Previous { number: last.number, length: last.length });
        let header = SegmentHeader { previous, checkpoint: checkpoint.clone() };
        let mut header_bytes = Vec::new();
        minicbor::encode(&header, &mut header_bytes).expect("a vector takes all bytes");
        let mut bytes = frame::prefix().to_vec();
        frame::write_frame(&mut bytes, number, 0, &header_bytes)?;
        frame::write_frame(&mut bytes, number, 1, payload)?;
        // The older segment must not be written to any more: recovery may prefer the new one from now on.
        self.must_roll = true;
        self.next_number += 1;
        let name = names::segment(number);
        let length = bytes.len() as u64;
        if let Err(error) = self.write_new(&name, &[&bytes]) {
            self.garbage.push(Garbage { name, length });
            self.remove_garbage();
            return Err(error);
        }
        self.must_roll = false;
        self.next_sequence = 2;
        self.segments.push(Segment { number, length, highest: 0 });
        Ok(())
    }

    fn set_last_length(&mut self, length: u64) {
        if let Some(segment) = self.segments.last_mut() {
            segment.length = length;
        }
    }

    /// Takes over the outcome of a batch that is durable.
    fn commit(&mut self, plan: Plan<'_>, dropped: &[Segment]) {
        let length = self.segments.last().map_or(0, |segment| segment.length);
        self.segments = plan.segments;
        self.set_last_length(length);
        self.discard_segments(dropped);
        self.set_state(plan.state);
    }

    fn discard_segments(&mut self, segments: &[Segment]) {
        let files = segments
            .iter()
            .map(|segment| Garbage { name: names::segment(segment.number), length: segment.length });
        self.garbage.extend(files);
    }

    /// Takes over a state that is durable; all snapshots but the one that it names become garbage.
    fn set_state(&mut self, state: Checkpoint) {
        let old = std::mem::replace(&mut self.state, state).snapshot;
        let named = self.state.snapshot.map(|snapshot| snapshot.number);
        let others = self.held.drain(..).chain(old).filter(|snapshot| Some(snapshot.number) != named);
        self.garbage.extend(others.map(|snapshot| Garbage {
            name: names::snapshot(snapshot.number),
            length: snapshot.file_bytes(),
        }));
    }

    /// Removes what it can; a failure is tried again with the next batch. No sync follows: a removed file that
    /// comes back is known to be needless.
    fn remove_garbage(&mut self) {
        let disk = &mut self.disk;
        self.garbage.retain(|file| match disk.remove(&file.name) {
            Ok(()) => false,
            Err(error) => error.kind() != std::io::ErrorKind::NotFound,
        });
    }
}

/// Room for headers of frames and files when the limit is checked, in bytes.
const OVERHEAD_BYTES: u64 = 512;

/// The plan's frame opens a new segment: what it appends counts there, not in the segment that is left.
fn move_to_new_segment(plan: &mut Plan<'_>, before: &[Segment], number: u64) {
    let Some(left) = plan.segments.last_mut() else { return };
    let highest = left.highest;
    let old = before.last().map_or(0, |segment| segment.highest);
    left.highest = old.min(plan.state.last);
    plan.segments.push(Segment { number, length: 0, highest });
}
