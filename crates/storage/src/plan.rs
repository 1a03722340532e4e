//! Computes the effects of a batch before anything is written.

use minicbor::bytes::{ByteSlice, ByteVec};

use crate::checkpoint::{Checkpoint, SnapshotReference};
use crate::error::StorageError;
use crate::operation::Operation;
use crate::record::Record;
use crate::store::Segment;

/// A snapshot file to write before the frame that refers to it.
#[derive(Debug)]
pub(crate) struct SnapshotWrite<'a> {
    pub(crate) reference: SnapshotReference,
    pub(crate) bytes: &'a [u8],
}

impl SnapshotWrite<'_> {
    /// Length of the file in bytes.
    pub(crate) fn file_bytes(&self) -> u64 {
        self.reference.file_bytes()
    }
}

/// Effects of a batch.
#[derive(Debug)]
pub(crate) struct Plan<'a> {
    /// State after the batch.
    pub(crate) state: Checkpoint,
    /// Segments after the batch; the frame is written to the last one.
    pub(crate) segments: Vec<Segment>,
    /// Snapshot files to write before the frame.
    pub(crate) snapshots: Vec<SnapshotWrite<'a>>,
    /// Encoded records of the frame.
    pub(crate) payload: Vec<u8>,
    /// The next free file number.
    next_number: u64,
    /// Durable snapshot files that no durable frame refers to.
    unreferenced: Vec<SnapshotReference>,
}

impl<'a> Plan<'a> {
    /// Creates a plan without changes to the current state and segments; the frame is written to the last
    /// segment.
    pub(crate) fn new(state: Checkpoint, segments: Vec<Segment>, next_number: u64) -> Self {
        Self {
            state,
            segments,
            snapshots: Vec::new(),
            payload: Vec::new(),
            next_number,
            unreferenced: Vec::new(),
        }
    }

    /// Lets the batch reuse snapshot files left by a failed attempt, instead of writing them again.
    pub(crate) fn with_unreferenced(mut self, snapshots: &[SnapshotReference]) -> Self {
        self.unreferenced = snapshots.to_vec();
        self
    }

    /// Adds all operations of a batch.
    pub(crate) fn add_batch(&mut self, batch: &'a [Operation]) -> Result<(), StorageError> {
        let contents_length: usize = batch.iter().map(contents_bytes).sum();
        self.payload.reserve(contents_length + batch.len() * RECORD_OVERHEAD_BYTES);
        batch.iter().try_for_each(|operation| self.add_operation(operation))
    }

    fn add_operation(&mut self, operation: &'a Operation) -> Result<(), StorageError> {
        match operation {
            Operation::Metadata(bytes) => self.set_metadata(bytes),
            Operation::Append { index, bytes } => self.append(*index, bytes)?,
            Operation::Truncate { from } => self.truncate(*from)?,
            Operation::Snapshot { index, bytes } => self.set_snapshot(*index, bytes)?,
            Operation::Release { through } => self.release(*through)?,
        }
        Ok(())
    }

    fn set_metadata(&mut self, bytes: &[u8]) {
        self.state.metadata = Some(ByteVec::from(bytes.to_vec()));
        Record::Metadata(<&ByteSlice>::from(bytes)).write(&mut self.payload);
    }

    /// Appends an entry.
    pub(crate) fn append(&mut self, index: u64, bytes: &[u8]) -> Result<(), StorageError> {
        self.state.append(index)?;
        if let Some(segment) = self.segments.last_mut() {
            segment.highest_index = segment.highest_index.max(index);
        }
        Record::Append(index, <&ByteSlice>::from(bytes)).write(&mut self.payload);
        Ok(())
    }

    fn truncate(&mut self, from: u64) -> Result<(), StorageError> {
        self.state.truncate(from)?;
        for segment in &mut self.segments {
            segment.highest_index = segment.highest_index.min(self.state.last);
        }
        Record::Truncate(from).write(&mut self.payload);
        Ok(())
    }

    fn set_snapshot(&mut self, index: u64, bytes: &'a [u8]) -> Result<(), StorageError> {
        let number = self.next_number;
        let length = bytes.len() as u64;
        let new = SnapshotReference { number, index, length, checksum: crc32fast::hash(bytes) };
        let reused = self.unreferenced.iter().copied().find(|snapshot| snapshot.has_same_contents(&new));
        let reference = reused.unwrap_or(new);
        self.state.set_snapshot(reference)?;
        if reused.is_none() {
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

    /// Removes and returns the oldest segments without retained entries. The segment that the frame is
    /// written to stays.
    pub(crate) fn remove_unneeded_segments(&mut self) -> Vec<Segment> {
        let closed = self.segments.len().saturating_sub(1);
        let first = self.state.first;
        let unneeded =
            self.segments[..closed].iter().take_while(|segment| segment.highest_index < first).count();
        let dropped = self.segments.drain(..unneeded).collect();
        let oldest_segment = self.segments.first().map_or(0, |segment| segment.number);
        if oldest_segment > self.state.oldest_segment {
            self.state.oldest_segment = oldest_segment;
            Record::OldestSegment(oldest_segment).write(&mut self.payload);
        }
        dropped
    }

    /// The next free file number.
    pub(crate) fn next_number(&self) -> u64 {
        self.next_number
    }

    /// Disk space that the batch adds, in bytes, without frame headers.
    pub(crate) fn added_bytes(&self) -> u64 {
        let snapshots: u64 = self.snapshots.iter().map(SnapshotWrite::file_bytes).sum();
        snapshots + self.payload.len() as u64
    }
}

/// Maximum length of an encoded record beyond its contents, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 24;

fn contents_bytes(operation: &Operation) -> usize {
    match operation {
        Operation::Metadata(bytes) | Operation::Append { bytes, .. } => bytes.len(),
        Operation::Truncate { .. } | Operation::Snapshot { .. } | Operation::Release { .. } => 0,
    }
}
