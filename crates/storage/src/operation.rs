//! Operations on the store, and the state recovered when it is opened.

/// Default for [`Limits::segment_bytes`].
const DEFAULT_SEGMENT_BYTES: u64 = 4 << 20;
/// Default for [`Limits::disk_bytes`]: the disk of a core machine less the space that the machine itself may
/// need.
const DEFAULT_DISK_BYTES: u64 = 112 << 20;
/// One part in this many of the disk is reserved for batches that free space, and for metadata, which must
/// not wait.
const RESERVE_DIVISOR: u64 = 8;

/// Limits on disk usage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum length of a segment in bytes. A batch that would exceed it begins a new segment; a larger
    /// batch has a segment of its own.
    pub segment_bytes: u64,
    /// Maximum length of all files together, in bytes. Batches that append entries and free no space may use
    /// seven eighths of it.
    pub disk_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { segment_bytes: DEFAULT_SEGMENT_BYTES, disk_bytes: DEFAULT_DISK_BYTES }
    }
}

impl Limits {
    /// Disk usage allowed with this batch, in bytes. Appended entries leave a reserve for the snapshot that
    /// later frees space.
    pub(crate) fn for_batch(&self, batch: &[Operation]) -> u64 {
        let appends = batch.iter().any(|operation| matches!(operation, Operation::Append { .. }));
        let frees_space = batch.iter().any(Operation::frees_space);
        if appends && !frees_space {
            self.disk_bytes - self.disk_bytes / RESERVE_DIVISOR
        } else {
            self.disk_bytes
        }
    }
}

/// A change to the stored state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Replaces the metadata (term, vote, identity), which is small.
    Metadata(Vec<u8>),
    /// Appends the next entry.
    Append {
        /// Index of the entry; the first entry of a log has index 1.
        index: u64,
        /// Contents of the entry.
        bytes: Vec<u8>,
    },
    /// Removes the entries from an index on.
    Truncate {
        /// First index to remove.
        from: u64,
    },
    /// Replaces the snapshot. Entries are retained until they are released, unless the snapshot is beyond the
    /// last entry: then all entries are removed, and the next entry is the one after the snapshot.
    Snapshot {
        /// Index of the last entry that the snapshot covers.
        index: u64,
        /// Contents of the snapshot.
        bytes: Vec<u8>,
    },
    /// Releases entries that are no longer needed. Segments without other entries are removed.
    Release {
        /// Last index to release; at most that of the snapshot.
        through: u64,
    },
}

impl Operation {
    fn frees_space(&self) -> bool {
        matches!(self, Self::Snapshot { .. } | Self::Release { .. } | Self::Truncate { .. })
    }
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredEntry {
    /// Index of the entry.
    pub index: u64,
    /// Contents, as passed to the operation.
    pub bytes: Vec<u8>,
}

/// A snapshot of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredSnapshot {
    /// Index of the last entry that the snapshot covers.
    pub index: u64,
    /// Contents, as passed to the operation.
    pub bytes: Vec<u8>,
}

/// State recovered when the store was opened; all of it is durable.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// The latest metadata; `None` if none was written.
    pub metadata: Option<Vec<u8>>,
    /// The current snapshot; `None` if there is none or it is damaged.
    pub snapshot: Option<StoredSnapshot>,
    /// Entries with contiguous indices; there is no gap between the snapshot and the first entry.
    pub entries: Vec<StoredEntry>,
    /// Whether durable data was lost, found now or at an earlier opening without a `wipe` since. The replica
    /// may have lost votes and entries: it must join again under another identity.
    pub damaged: bool,
    /// Repairs and losses, to be logged.
    pub notes: Vec<RecoveryNote>,
}

/// A repair or loss found when the store was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryNote {
    /// The last write to the log was interrupted; it was never acknowledged.
    TornTail {
        /// Name of the file.
        file: String,
        /// Length of the valid part in bytes.
        kept: u64,
        /// Number of bytes discarded.
        dropped: u64,
    },
    /// An unneeded file was removed.
    Leftover {
        /// Name of the file.
        file: String,
    },
    /// Durable data of a segment is damaged; the entries from there on are lost.
    DamagedSegment {
        /// Name of the file.
        file: String,
        /// Offset of the damage in bytes.
        offset: u64,
    },
    /// A file that the store needs is missing.
    MissingFile {
        /// Name of the file.
        file: String,
    },
    /// The current snapshot is damaged.
    DamagedSnapshot {
        /// Name of the file.
        file: String,
    },
}
