//! Replays the records of segments, oldest first.

use std::collections::VecDeque;

use minicbor::bytes::ByteVec;

use crate::checkpoint::Checkpoint;
use crate::frame::{self, Frame, FrameFault, PREFIX_BYTES};
use crate::operation::StoredEntry;
use crate::record::{self, PreviousSegment, Record, SegmentHeader};
use crate::store::Segment;

/// Reason why the reading of a segment ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SegmentEnd {
    /// All frames are valid.
    Complete,
    /// The rest is an interrupted write.
    Torn,
    /// The rest is damaged.
    Damaged,
}

/// State reconstructed from the segments read so far.
#[derive(Debug)]
pub(crate) struct Replay {
    pub(crate) state: Checkpoint,
    pub(crate) entries: VecDeque<StoredEntry>,
    /// The segments read. A sealed segment has the length stated in the next header; the length of the last
    /// segment excludes its last frame.
    pub(crate) segments: Vec<Segment>,
    /// Lowest index appended by the last frame, which is rewritten into a new segment; `u64::MAX` if there is
    /// none.
    pub(crate) rewritten_from: u64,
    /// Offset of the first frame after the header in the last segment, in bytes.
    first_frame_offset: u64,
}

impl Replay {
    pub(crate) fn new() -> Self {
        Self {
            state: Checkpoint::empty(0),
            entries: VecDeque::new(),
            segments: Vec::new(),
            rewritten_from: u64::MAX,
            first_frame_offset: 0,
        }
    }

    /// Replays one segment with the given contents. Returns the length of the valid part, and why it ends.
    pub(crate) fn replay_segment(&mut self, number: u64, bytes: &[u8]) -> (usize, SegmentEnd) {
        let mut offset = PREFIX_BYTES;
        let mut sequence = 0;
        while offset < bytes.len() {
            let Some(length) = self.replay_next_frame(number, sequence, &bytes[offset..], offset) else {
                return (offset, classify_end(&bytes[offset..], number, sequence));
            };
            offset += length;
            sequence += 1;
        }
        if sequence < MINIMUM_FRAMES {
            return (offset, SegmentEnd::Torn);
        }
        (offset, SegmentEnd::Complete)
    }

    fn replay_next_frame(
        &mut self,
        number: u64,
        sequence: u32,
        bytes: &[u8],
        offset: usize,
    ) -> Option<usize> {
        let frame = frame::read_frame(bytes).ok().filter(|frame| belongs_to(frame, number, sequence))?;
        if sequence == 0 {
            self.begin_segment(number, record::read_header(frame.payload)?);
            self.first_frame_offset = (offset + frame.length()) as u64;
        } else {
            let records = record::read_records(frame.payload)?;
            self.replay_frame(offset as u64, &records)?;
        }
        Some(frame.length())
    }

    fn begin_segment(&mut self, number: u64, header: SegmentHeader) {
        if let (Some(last), Some(previous)) = (self.segments.last_mut(), header.previous) {
            last.length = previous.length;
        }
        let oldest_segment = self.state.oldest_segment.max(header.checkpoint.oldest_segment);
        self.state = Checkpoint { oldest_segment, ..header.checkpoint };
        self.drop_after_last();
        self.segments.push(Segment { number, length: 0, highest_index: 0 });
        self.rewritten_from = u64::MAX;
    }

    /// Applies one frame; `None` if a record is invalid in the current state, which a store never writes.
    fn replay_frame(&mut self, offset: u64, records: &[Record<'_>]) -> Option<()> {
        self.rewritten_from = u64::MAX;
        for record in records {
            self.replay_record(record)?;
        }
        self.segments.last_mut()?.length = offset;
        Some(())
    }

    fn replay_record(&mut self, record: &Record<'_>) -> Option<()> {
        match record {
            Record::Metadata(bytes) => self.state.metadata = Some(ByteVec::from(bytes.to_vec())),
            Record::Append(index, bytes) => self.append(*index, bytes)?,
            Record::Truncate(from) => self.state.truncate(*from).ok()?,
            Record::Snapshot(reference) => self.state.set_snapshot(*reference).ok()?,
            Record::Release(through) => self.state.release(*through).ok()?,
            Record::OldestSegment(oldest_segment) => self.state.oldest_segment = *oldest_segment,
        }
        self.drop_after_last();
        self.drop_before_first();
        Some(())
    }

    fn append(&mut self, index: u64, bytes: &[u8]) -> Option<()> {
        self.state.append(index).ok()?;
        self.entries.push_back(StoredEntry { index, bytes: bytes.to_vec() });
        self.rewritten_from = self.rewritten_from.min(index);
        let segment = self.segments.last_mut()?;
        segment.highest_index = segment.highest_index.max(index);
        Some(())
    }

    fn drop_after_last(&mut self) {
        let last = self.state.last;
        while self.entries.back().is_some_and(|entry| entry.index > last) {
            self.entries.pop_back();
        }
        for segment in &mut self.segments {
            segment.highest_index = segment.highest_index.min(last);
        }
    }

    fn drop_before_first(&mut self) {
        while self.entries.front().is_some_and(|entry| entry.index < self.state.first) {
            self.entries.pop_front();
        }
    }

    /// Whether all entries of the range in the state are present.
    pub(crate) fn is_complete(&mut self) -> bool {
        self.drop_before_first();
        let count = (self.state.last + 1).saturating_sub(self.state.first);
        self.entries.len() as u64 == count
    }

    /// Whether the last segment has its header and the frame that was written with it.
    pub(crate) fn has_minimum_frames(&self) -> bool {
        self.segments.last().is_some_and(|last| last.length > 0)
    }

    /// Removes the last segment if its only frame after the header is the one that is rewritten into a new
    /// segment.
    pub(crate) fn drop_rewritten_segment(&mut self) {
        if self.segments.last().is_some_and(|last| last.length <= self.first_frame_offset) {
            self.segments.pop();
        }
    }
}

/// Number of frames in the first write of a segment: the header and one more. A segment with fewer is
/// invalid.
pub(crate) const MINIMUM_FRAMES: u32 = 2;

fn belongs_to(frame: &Frame<'_>, number: u64, sequence: u32) -> bool {
    frame.segment == number && frame.sequence == sequence
}

fn classify_end(bytes: &[u8], number: u64, sequence: u32) -> SegmentEnd {
    let skip = match frame::read_frame(bytes) {
        // A valid frame that does not fit here is never the result of an interrupted write.
        Ok(_) => return SegmentEnd::Damaged,
        Err(FrameFault::Payload(length)) => length,
        Err(FrameFault::Header) => 1,
    };
    // The header and the frame after it are written together.
    let after = sequence.max(MINIMUM_FRAMES - 1);
    let rest = bytes.get(skip..).unwrap_or_default();
    if frame::has_later_frame(rest, number, after) { SegmentEnd::Damaged } else { SegmentEnd::Torn }
}

/// Decodes the header of a segment from the first bytes of its file.
pub(crate) fn header_of(number: u64, bytes: &[u8]) -> Option<SegmentHeader> {
    let frame = frame::read_frame(bytes.get(PREFIX_BYTES..)?).ok()?;
    if !belongs_to(&frame, number, 0) {
        return None;
    }
    record::read_header(frame.payload)
}

/// The previous segment according to a header; `None` if it is no longer needed.
pub(crate) fn needed_previous(header: &SegmentHeader, oldest_segment: u64) -> Option<PreviousSegment> {
    header.previous.filter(|previous| previous.number >= oldest_segment)
}
