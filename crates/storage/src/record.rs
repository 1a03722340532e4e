//! Payload of frames: a sequence of records in CBOR.

use minicbor::bytes::ByteSlice;
use minicbor::{Decode, Decoder, Encode};

use crate::checkpoint::{Checkpoint, SnapshotReference};

/// Reference to the segment before another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct PreviousSegment {
    /// Number of the segment.
    #[n(0)]
    pub(crate) number: u64,
    /// Valid length of the segment in bytes.
    #[n(1)]
    pub(crate) length: u64,
}

/// The only record of the first frame of a segment.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct SegmentHeader {
    /// The previous segment; `None` if no older segment exists.
    #[n(0)]
    pub(crate) previous: Option<PreviousSegment>,
    /// State after the previous segments.
    #[n(1)]
    pub(crate) checkpoint: Checkpoint,
}

/// A record of any later frame: the stored form of an [`Operation`](crate::Operation).
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum Record<'a> {
    /// The new metadata.
    #[n(0)]
    Metadata(#[b(0)] &'a ByteSlice),
    /// Index and contents of the entry.
    #[n(1)]
    Append(#[n(0)] u64, #[b(1)] &'a ByteSlice),
    /// First index to truncate.
    #[n(2)]
    Truncate(#[n(0)] u64),
    /// The new snapshot.
    #[n(3)]
    Snapshot(#[n(0)] SnapshotReference),
    /// Last index to release.
    #[n(4)]
    Release(#[n(0)] u64),
    /// Number of the oldest segment that is still needed; older ones may be removed.
    #[n(5)]
    OldestSegment(#[n(0)] u64),
}

impl Record<'_> {
    /// Appends the record to a payload.
    pub(crate) fn write(&self, payload: &mut Vec<u8>) {
        minicbor::encode(self, payload).expect("writing to a vector does not fail");
    }
}

/// Decodes the records of a payload; `None` if it is malformed.
pub(crate) fn read_records(payload: &[u8]) -> Option<Vec<Record<'_>>> {
    let mut decoder = Decoder::new(payload);
    let mut records = Vec::new();
    while decoder.position() < payload.len() {
        records.push(decoder.decode().ok()?);
    }
    Some(records)
}

/// The number of records in a payload; `None` if it is malformed. Public for tests of the decoder.
#[must_use]
pub fn count_records(payload: &[u8]) -> Option<usize> {
    read_records(payload).map(|records| records.len())
}

/// Decodes the segment header in a payload; `None` if it is malformed.
pub(crate) fn read_header(payload: &[u8]) -> Option<SegmentHeader> {
    minicbor::decode(payload).ok()
}
