//! What is stored, without the contents of entries and snapshots.

use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};

use crate::error::StorageError;
use crate::frame::PREFIX_BYTES;

/// The file of a snapshot, as named by a frame that was written after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct SnapshotReference {
    /// The number in its name.
    #[n(0)]
    pub(crate) number: u64,
    /// The last entry that it covers.
    #[n(1)]
    pub(crate) index: u64,
    /// The length of its contents, in bytes.
    #[n(2)]
    pub(crate) length: u64,
    /// The checksum of its contents.
    #[n(3)]
    pub(crate) checksum: u32,
}

impl SnapshotReference {
    /// The length of its file, in bytes.
    pub(crate) fn file_bytes(&self) -> u64 {
        PREFIX_BYTES as u64 + self.length
    }

    /// True if the other one is of the same contents, whatever its file.
    pub(crate) fn has_contents_of(&self, other: &Self) -> bool {
        let Self { number: _, index, length, checksum } = *other;
        (self.index, self.length, self.checksum) == (index, length, checksum)
    }
}

/// The state at one place in the log; each segment's header holds one.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Checkpoint {
    /// The first entry kept.
    #[n(0)]
    pub(crate) first: u64,
    /// The last entry; one below `first` if there is none.
    #[n(1)]
    pub(crate) last: u64,
    /// The lowest number of a segment that is still needed.
    #[n(2)]
    pub(crate) floor: u64,
    /// Something durable was lost, and the store was not wiped since.
    #[n(3)]
    pub(crate) damaged: bool,
    /// The latest metadata.
    #[n(4)]
    pub(crate) metadata: Option<ByteVec>,
    /// The snapshot in use.
    #[n(5)]
    pub(crate) snapshot: Option<SnapshotReference>,
}

impl Checkpoint {
    /// Nothing is stored.
    pub(crate) fn empty(floor: u64) -> Self {
        Self { first: 1, last: 0, floor, damaged: false, metadata: None, snapshot: None }
    }

    /// The last entry covered by the snapshot; 0 without one.
    pub(crate) fn covered(&self) -> u64 {
        self.snapshot.map_or(0, |snapshot| snapshot.index)
    }

    pub(crate) fn append(&mut self, index: u64) -> Result<(), StorageError> {
        let expected = self.last + 1;
        if index != expected {
            return Err(StorageError::NotContiguous { index, expected });
        }
        self.last = index;
        Ok(())
    }

    pub(crate) fn truncate(&mut self, from: u64) -> Result<(), StorageError> {
        if from < self.first {
            return Err(StorageError::TruncatesReleased { from, first: self.first });
        }
        self.last = self.last.min(from - 1);
        Ok(())
    }

    pub(crate) fn release(&mut self, through: u64) -> Result<(), StorageError> {
        let covered = self.covered();
        if through > covered {
            return Err(StorageError::ReleasesUncovered { through, covered });
        }
        self.first = self.first.max(through.min(self.last) + 1);
        Ok(())
    }

    pub(crate) fn set_snapshot(&mut self, snapshot: SnapshotReference) -> Result<(), StorageError> {
        let newest = self.covered();
        if snapshot.index < newest {
            return Err(StorageError::OlderSnapshot { index: snapshot.index, newest });
        }
        if snapshot.index > self.last {
            self.first = snapshot.index + 1;
            self.last = snapshot.index;
        }
        self.snapshot = Some(snapshot);
        Ok(())
    }
}
