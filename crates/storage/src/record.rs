//! What frames hold: records in CBOR, one after the other.

use minicbor::bytes::ByteSlice;
use minicbor::{Decode, Decoder, Encode};

use crate::checkpoint::{Checkpoint, SnapshotReference};

/// The segment before another, and how much of it counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Previous {
    /// Its number.
    #[n(0)]
    pub(crate) number: u64,
    /// The bytes of it that count.
    #[n(1)]
    pub(crate) length: u64,
}

/// The only record of a segment's first frame.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct SegmentHeader {
    /// The segment before it.
    #[n(0)]
    pub(crate) previous: Option<Previous>,
    /// The state after the segments before it.
    #[n(1)]
    pub(crate) checkpoint: Checkpoint,
}

/// A record of any later frame.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum Record<'a> {
    #[n(0)]
    Metadata(#[b(0)] &'a ByteSlice),
    #[n(1)]
    Append(#[n(0)] u64, #[b(1)] &'a ByteSlice),
    #[n(2)]
    Truncate(#[n(0)] u64),
    #[n(3)]
    Snapshot(#[n(0)] SnapshotReference),
    #[n(4)]
    Release(#[n(0)] u64),
    #[n(5)]
    Floor(#[n(0)] u64),
}

impl Record<'_> {
    /// Adds the record to a payload.
    pub(crate) fn write(&self, payload: &mut Vec<u8>) {
        minicbor::encode(self, payload).expect("a vector takes all bytes");
    }
}

/// The records of a payload; none if it does not decode.
pub(crate) fn read_records(payload: &[u8]) -> Option<Vec<Record<'_>>> {
    let mut decoder = Decoder::new(payload);
    let mut records = Vec::new();
    while decoder.position() < payload.len() {
        records.push(decoder.decode().ok()?);
    }
    Some(records)
}

/// The number of records in a payload, for tests of the decoder; none if it does not decode.
#[must_use]
pub fn count_records(payload: &[u8]) -> Option<usize> {
    read_records(payload).map(|records| records.len())
}

/// The header in a payload; none if it does not decode.
pub(crate) fn read_header(payload: &[u8]) -> Option<SegmentHeader> {
    minicbor::decode(payload).ok()
}
