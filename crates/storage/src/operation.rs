//! What is stored, and what comes back when the store is opened.

/// The default length of a segment, in bytes.
const SEGMENT_BYTES: u64 = 4 << 20;
/// The default for all files together: the disk of a core machine less what the machine itself may need, in bytes.
const DISK_BYTES: u64 = 112 << 20;
/// The part of the disk kept for batches that make room or that must not wait: one in so many.
const RESERVE_PART: u64 = 8;

/// How much disk the store may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// A segment ends before the batch that would take it above this many bytes. A larger batch has a segment of
    /// its own.
    pub segment_bytes: u64,
    /// All files together, in bytes. Batches with entries may use seven eighths of it.
    pub disk_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { segment_bytes: SEGMENT_BYTES, disk_bytes: DISK_BYTES }
    }
}

impl Limits {
    /// The bytes allowed after this batch: appended entries leave a part for the snapshot that ends the shortage.
    pub(crate) fn for_batch(&self, batch: &[Operation]) -> u64 {
        let appends = batch.iter().any(|operation| matches!(operation, Operation::Append { .. }));
        let makes_room = batch.iter().any(Operation::makes_room);
        if appends && !makes_room {
            self.disk_bytes - self.disk_bytes / RESERVE_PART
        } else {
            self.disk_bytes
        }
    }
}

/// A change of what is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Replaces the metadata (term, vote, identity): small, the latest wins.
    Metadata(Vec<u8>),
    /// Adds the entry that follows the last one.
    Append {
        /// Its index; the first ever is 1.
        index: u64,
        /// Its contents.
        bytes: Vec<u8>,
    },
    /// Drops the entries from this index on.
    Truncate {
        /// The first index dropped.
        from: u64,
    },
    /// Replaces the snapshot. Entries stay until they are released, unless the snapshot lies beyond the last one:
    /// then all of them go, and the next entry is the one after the snapshot.
    Snapshot {
        /// The last entry that it covers.
        index: u64,
        /// Its contents.
        bytes: Vec<u8>,
    },
    /// The entries up to here are not needed any more. Segments that hold nothing else are removed.
    Release {
        /// The last index released; at most that of the snapshot.
        through: u64,
    },
}

impl Operation {
    fn makes_room(&self) -> bool {
        matches!(self, Self::Snapshot { .. } | Self::Release { .. } | Self::Truncate { .. })
    }
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredEntry {
    /// Its index.
    pub index: u64,
    /// Its contents.
    pub bytes: Vec<u8>,
}

/// A snapshot of the state that the log leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredSnapshot {
    /// The last entry that it covers.
    pub index: u64,
    /// Its contents.
    pub bytes: Vec<u8>,
}

/// What was found when the store was opened; all of it is durable.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// The latest metadata; none if the disk was empty.
    pub metadata: Option<Vec<u8>>,
    /// The snapshot in use.
    pub snapshot: Option<StoredSnapshot>,
    /// Contiguous entries; the first is at most the one after the snapshot.
    pub entries: Vec<StoredEntry>,
    /// True if something that had been durable is lost, now or at an earlier opening with no `wipe` since. The
    /// replica may have forgotten votes and entries: it must join anew under another identity.
    pub damaged: bool,
    /// What was put right or is lost, for the log.
    pub notes: Vec<RecoveryNote>,
}

/// Something found and dealt with at opening.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryNote {
    /// A write at the end of the log was cut short; it had never been acknowledged.
    TornTail {
        /// The file.
        file: String,
        /// Bytes kept.
        kept: u64,
        /// Bytes dropped.
        dropped: u64,
    },
    /// A file that is not needed was removed.
    Leftover {
        /// The file.
        file: String,
    },
    /// A segment is damaged in what had been durable; entries from there on are lost.
    DamagedSegment {
        /// The file.
        file: String,
        /// Where the damage begins, in bytes.
        offset: u64,
    },
    /// A file that the log needs is missing.
    MissingFile {
        /// The file.
        file: String,
    },
    /// The snapshot in use is damaged.
    DamagedSnapshot {
        /// The file.
        file: String,
    },
}
