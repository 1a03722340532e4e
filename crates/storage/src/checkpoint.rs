//! State of the store, without the contents of entries and snapshots.

use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};

use crate::error::StorageError;
use crate::frame::PREFIX_BYTES;

/// Reference to a snapshot file, stored in a frame that is written after the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct SnapshotReference {
    /// The file number.
    #[n(0)]
    pub(crate) number: u64,
    /// Index of the last entry that the snapshot covers.
    #[n(1)]
    pub(crate) index: u64,
    /// Length of the snapshot in bytes, without the file prefix.
    #[n(2)]
    pub(crate) length: u64,
    /// CRC-32 of the snapshot.
    #[n(3)]
    pub(crate) checksum: u32,
}

impl SnapshotReference {
    /// Length of the file in bytes.
    pub(crate) fn file_bytes(&self) -> u64 {
        PREFIX_BYTES as u64 + self.length
    }

    /// Whether both refer to the same snapshot contents, possibly in different files.
    pub(crate) fn has_same_contents(&self, other: &Self) -> bool {
        let Self { number: _, index, length, checksum } = *other;
        (self.index, self.length, self.checksum) == (index, length, checksum)
    }
}

/// State of the store at one position in the log; the header of each segment has one.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Checkpoint {
    /// Index of the first retained entry.
    #[n(0)]
    pub(crate) first: u64,
    /// Index of the last entry; `first - 1` if there are no entries.
    #[n(1)]
    pub(crate) last: u64,
    /// Number of the oldest segment that is still needed.
    #[n(2)]
    pub(crate) oldest_segment: u64,
    /// Whether durable data was lost and the store has not been wiped since.
    #[n(3)]
    pub(crate) damaged: bool,
    /// The latest metadata; `None` if none was written.
    #[n(4)]
    pub(crate) metadata: Option<ByteVec>,
    /// The current snapshot; `None` if there is none.
    #[n(5)]
    pub(crate) snapshot: Option<SnapshotReference>,
}

impl Checkpoint {
    /// The state of an empty store.
    pub(crate) fn empty(oldest_segment: u64) -> Self {
        Self { first: 1, last: 0, oldest_segment, damaged: false, metadata: None, snapshot: None }
    }

    /// Index of the last entry that the snapshot covers; 0 without a snapshot.
    pub(crate) fn snapshot_index(&self) -> u64 {
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
        let covered = self.snapshot_index();
        if through > covered {
            return Err(StorageError::ReleasesUncovered { through, covered });
        }
        self.first = self.first.max(through.min(self.last) + 1);
        Ok(())
    }

    pub(crate) fn set_snapshot(&mut self, snapshot: SnapshotReference) -> Result<(), StorageError> {
        let newest = self.snapshot_index();
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
