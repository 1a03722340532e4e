//! Applies the records of segments, oldest first.

use std::collections::VecDeque;

use minicbor::bytes::ByteVec;

use crate::checkpoint::Checkpoint;
use crate::frame::{self, Frame, FrameFault, PREFIX_BYTES};
use crate::operation::StoredEntry;
use crate::record::{self, Previous, Record, SegmentHeader};
use crate::store::Segment;

/// Why the reading of a segment ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// All of it is valid.
    Whole,
    /// What follows was cut short while it was written.
    Torn,
    /// What follows is damaged.
    Damaged,
}

/// The state while segments are read.
#[derive(Debug)]
pub(crate) struct Replay {
    pub(crate) state: Checkpoint,
    pub(crate) entries: VecDeque<StoredEntry>,
    /// The segments read, each up to the start of its last frame or to its sealed length.
    pub(crate) segments: Vec<Segment>,
    /// The lowest index appended by the last frame.
    pub(crate) carried_from: u64,
    /// Where the frame that was written with the header begins, in the newest segment read.
    opening_offset: u64,
}

impl Replay {
    pub(crate) fn new() -> Self {
        Self {
            state: Checkpoint::empty(0),
            entries: VecDeque::new(),
            segments: Vec::new(),
            carried_from: u64::MAX,
            opening_offset: 0,
        }
    }

    /// Reads one segment, of which `bytes` count. Returns where the valid part ends, and why.
    pub(crate) fn segment(&mut self, number: u64, bytes: &[u8]) -> (usize, End) {
        let mut offset = PREFIX_BYTES;
        let mut sequence = 0;
        while offset < bytes.len() {
            let Some(length) = self.next_frame(number, sequence, &bytes[offset..], offset) else {
                return (offset, end_at(&bytes[offset..], number, sequence));
            };
            offset += length;
            sequence += 1;
        }
        if sequence < MINIMUM_FRAMES {
            return (offset, End::Torn);
        }
        (offset, End::Whole)
    }

    fn next_frame(&mut self, number: u64, sequence: u32, bytes: &[u8], offset: usize) -> Option<usize> {
        let frame = frame::read_frame(bytes).ok().filter(|frame| belongs(frame, number, sequence))?;
        if sequence == 0 {
            self.begin(number, record::read_header(frame.payload)?);
            self.opening_offset = (offset + frame.length()) as u64;
        } else {
            let records = record::read_records(frame.payload)?;
            self.frame(offset as u64, &records)?;
        }
        Some(frame.length())
    }

    fn begin(&mut self, number: u64, header: SegmentHeader) {
        if let (Some(last), Some(previous)) = (self.segments.last_mut(), header.previous) {
            last.length = previous.length;
        }
        let floor = self.state.floor.max(header.checkpoint.floor);
        self.state = Checkpoint { floor, ..header.checkpoint };
        self.drop_after_last();
        self.segments.push(Segment { number, length: 0, highest: 0 });
        self.carried_from = u64::MAX;
    }

    /// Applies one frame; none if a record can't follow, which a store never writes.
    fn frame(&mut self, offset: u64, records: &[Record<'_>]) -> Option<()> {
        self.carried_from = u64::MAX;
        for record in records {
            self.record(record)?;
        }
        self.segments.last_mut()?.length = offset;
        Some(())
    }

    fn record(&mut self, record: &Record<'_>) -> Option<()> {
        match record {
            Record::Metadata(bytes) => self.state.metadata = Some(ByteVec::from(bytes.to_vec())),
            Record::Append(index, bytes) => self.append(*index, bytes)?,
            Record::Truncate(from) => self.state.truncate(*from).ok()?,
            Record::Snapshot(reference) => self.state.set_snapshot(*reference).ok()?,
            Record::Release(through) => self.state.release(*through).ok()?,
            Record::Floor(floor) => self.state.floor = *floor,
        }
        self.drop_after_last();
        self.drop_before_first();
        Some(())
    }

    fn append(&mut self, index: u64, bytes: &[u8]) -> Option<()> {
        self.state.append(index).ok()?;
        self.entries.push_back(StoredEntry { index, bytes: bytes.to_vec() });
        self.carried_from = self.carried_from.min(index);
        let segment = self.segments.last_mut()?;
        segment.highest = segment.highest.max(index);
        Some(())
    }

    fn drop_after_last(&mut self) {
        let last = self.state.last;
        while self.entries.back().is_some_and(|entry| entry.index > last) {
            self.entries.pop_back();
        }
        for segment in &mut self.segments {
            segment.highest = segment.highest.min(last);
        }
    }

    fn drop_before_first(&mut self) {
        while self.entries.front().is_some_and(|entry| entry.index < self.state.first) {
            self.entries.pop_front();
        }
    }

    /// True if every entry that the state speaks of is there.
    pub(crate) fn is_complete(&mut self) -> bool {
        self.drop_before_first();
        let count = (self.state.last + 1).saturating_sub(self.state.first);
        self.entries.len() as u64 == count
    }

    /// True if a segment was read with its header and the frame written with it.
    pub(crate) fn is_begun(&self) -> bool {
        self.segments.last().is_some_and(|last| last.length > 0)
    }

    /// Leaves the last frame to a new segment, which repeats it. A segment with nothing else is left out.
    pub(crate) fn seal(&mut self) {
        if self.segments.last().is_some_and(|last| last.length <= self.opening_offset) {
            self.segments.pop();
        }
    }
}

/// A segment counts from its header and the frame written with it on.
pub(crate) const MINIMUM_FRAMES: u32 = 2;

fn belongs(frame: &Frame<'_>, number: u64, sequence: u32) -> bool {
    frame.segment == number && frame.sequence == sequence
}

fn end_at(bytes: &[u8], number: u64, sequence: u32) -> End {
    let skip = match frame::read_frame(bytes) {
        // Valid and not acceptable: no cut write leaves that.
        Ok(_) => return End::Damaged,
        Err(FrameFault::Payload(length)) => length,
        Err(FrameFault::Header) => 1,
    };
    // The header and the frame after it are one write.
    let after = sequence.max(MINIMUM_FRAMES - 1);
    let rest = bytes.get(skip..).unwrap_or_default();
    if frame::has_later_frame(rest, number, after) { End::Damaged } else { End::Torn }
}

/// The header of a segment, from the first bytes of its file.
pub(crate) fn header_of(number: u64, bytes: &[u8]) -> Option<SegmentHeader> {
    let frame = frame::read_frame(bytes.get(PREFIX_BYTES..)?).ok()?;
    if !belongs(&frame, number, 0) {
        return None;
    }
    record::read_header(frame.payload)
}

/// The segment that a header names before it, if it is still needed.
pub(crate) fn needed_previous(header: &SegmentHeader, floor: u64) -> Option<Previous> {
    header.previous.filter(|previous| previous.number >= floor)
}
