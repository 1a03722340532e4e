//! What a batch will change, worked out before anything is written.

use minicbor::bytes::{ByteSlice, ByteVec};

use crate::checkpoint::{Checkpoint, SnapshotReference};
use crate::error::StorageError;
use crate::operation::Operation;
use crate::record::Record;
use crate::store::Segment;

/// A snapshot to be written before the frame that names it.
#[derive(Debug)]
pub(crate) struct SnapshotWrite<'a> {
    pub(crate) reference: SnapshotReference,
    pub(crate) bytes: &'a [u8],
}

impl SnapshotWrite<'_> {
    /// The length of its file, in bytes.
    pub(crate) fn file_bytes(&self) -> u64 {
        self.reference.file_bytes()
    }
}

/// The outcome of a batch.
#[derive(Debug)]
pub(crate) struct Plan<'a> {
    /// The state after it.
    pub(crate) state: Checkpoint,
    /// The segments after it, the one that the frame goes to included.
    pub(crate) segments: Vec<Segment>,
    /// Snapshots to write first.
    pub(crate) snapshots: Vec<SnapshotWrite<'a>>,
    /// The records of the frame.
    pub(crate) payload: Vec<u8>,
    /// The next free number for a file.
    next_number: u64,
    /// Snapshots that are durable and that no frame is known to name.
    held: Vec<SnapshotReference>,
}

impl<'a> Plan<'a> {
    /// Starts from the state and the segments now; the last of these takes the frame.
    pub(crate) fn new(state: Checkpoint, segments: Vec<Segment>, next_number: u64) -> Self {
        Self { state, segments, snapshots: Vec::new(), payload: Vec::new(), next_number, held: Vec::new() }
    }

    /// Lets the batch use snapshots that an earlier try has left, instead of writing them again.
    pub(crate) fn with_held(mut self, held: &[SnapshotReference]) -> Self {
        self.held = held.to_vec();
        self
    }

    /// Adds all operations of a batch.
    pub(crate) fn batch(&mut self, batch: &'a [Operation]) -> Result<(), StorageError> {
        let contents: usize = batch.iter().map(contents_bytes).sum();
        self.payload.reserve(contents + batch.len() * RECORD_OVERHEAD);
        batch.iter().try_for_each(|operation| self.operation(operation))
    }

    fn operation(&mut self, operation: &'a Operation) -> Result<(), StorageError> {
        match operation {
            Operation::Metadata(bytes) => self.metadata(bytes),
            Operation::Append { index, bytes } => self.append(*index, bytes)?,
            Operation::Truncate { from } => self.truncate(*from)?,
            Operation::Snapshot { index, bytes } => self.snapshot(*index, bytes)?,
            Operation::Release { through } => self.release(*through)?,
        }
        Ok(())
    }

    fn metadata(&mut self, bytes: &[u8]) {
        self.state.metadata = Some(ByteVec::from(bytes.to_vec()));
        Record::Metadata(<&ByteSlice>::from(bytes)).write(&mut self.payload);
    }

    /// Adds an entry.
    pub(crate) fn append(&mut self, index: u64, bytes: &[u8]) -> Result<(), StorageError> {
        self.state.append(index)?;
        if let Some(segment) = self.segments.last_mut() {
            segment.highest = segment.highest.max(index);
        }
        Record::Append(index, <&ByteSlice>::from(bytes)).write(&mut self.payload);
        Ok(())
    }

    fn truncate(&mut self, from: u64) -> Result<(), StorageError> {
        self.state.truncate(from)?;
        for segment in &mut self.segments {
            segment.highest = segment.highest.min(self.state.last);
        }
        Record::Truncate(from).write(&mut self.payload);
        Ok(())
    }

    fn snapshot(&mut self, index: u64, bytes: &'a [u8]) -> Result<(), StorageError> {
        let number = self.next_number;
        let length = bytes.len() as u64;
        let new = SnapshotReference { number, index, length, checksum: crc32fast::hash(bytes) };
        let held = self.held.iter().copied().find(|held| held.has_contents_of(&new));
        let reference = held.unwrap_or(new);
        self.state.set_snapshot(reference)?;
        if held.is_none() {
            self.next_number += 1;
            self.snapshots.push(SnapshotWrite { reference, bytes });
        }
        Record::Snapshot(reference).write(&mut self.payload);
        Ok(())
    }

    fn release(&mut self, through: u64) -> Result<(), StorageError> {
        self.state.release(through)?;
        Record::Release(through).write(&mut self.payload);
        Ok(())
    }

    /// Leaves out the oldest segments as far as they hold no entry that is kept; they are returned. The one that
    /// takes the frame stays.
    pub(crate) fn drop_segments(&mut self) -> Vec<Segment> {
        let closed = self.segments.len().saturating_sub(1);
        let first = self.state.first;
        let needless = self.segments[..closed].iter().take_while(|segment| segment.highest < first).count();
        let dropped = self.segments.drain(..needless).collect();
        let floor = self.segments.first().map_or(0, |segment| segment.number);
        if floor > self.state.floor {
            self.state.floor = floor;
            Record::Floor(floor).write(&mut self.payload);
        }
        dropped
    }

    /// The next free number for a file.
    pub(crate) fn next_number(&self) -> u64 {
        self.next_number
    }

    /// The bytes of all files that it adds, without frame headers.
    pub(crate) fn added_bytes(&self) -> u64 {
        let snapshots: u64 = self.snapshots.iter().map(SnapshotWrite::file_bytes).sum();
        snapshots + self.payload.len() as u64
    }
}

/// What the encoding adds to the contents of a record at most, in bytes.
const RECORD_OVERHEAD: usize = 24;

fn contents_bytes(operation: &Operation) -> usize {
    match operation {
        Operation::Metadata(bytes) | Operation::Append { bytes, .. } => bytes.len(),
        Operation::Truncate { .. } | Operation::Snapshot { .. } | Operation::Release { .. } => 0,
    }
}
