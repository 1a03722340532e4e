//! Why the store refused or failed.

use std::io;

use thiserror::Error;

/// Why a batch is not durable, or the store can't be opened. After an error of `apply` the store is as before the
/// batch, and the batch may be applied again.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The disk failed.
    #[error("{action} {file} failed: {source}; check the disk's space and state, then apply the batch again")]
    Disk {
        /// What was tried.
        action: &'static str,
        /// The file, or the folder.
        file: String,
        /// What the operating system said.
        source: io::Error,
    },
    /// The batch would take the files above the configured limit.
    #[error(
        "{needed} bytes of disk would be in use, {limit} are allowed; take a snapshot and release entries"
    )]
    OverLimit {
        /// Bytes in use with the batch.
        needed: u64,
        /// Bytes allowed for such a batch.
        limit: u64,
    },
    /// A batch is too large for one frame.
    #[error("a batch of {bytes} bytes does not fit in one frame; split it")]
    BatchTooLarge {
        /// Its length in bytes.
        bytes: u64,
    },
    /// An entry does not follow the last one.
    #[error("entry {index} does not follow; append entry {expected}, or truncate first")]
    NotContiguous {
        /// The index given.
        index: u64,
        /// The index that would follow.
        expected: u64,
    },
    /// A truncation reaches into entries that were released.
    #[error("can't truncate from entry {from}: the first entry kept is {first}; install a snapshot instead")]
    TruncatesReleased {
        /// The index given.
        from: u64,
        /// The first entry kept.
        first: u64,
    },
    /// Entries were released that no snapshot covers.
    #[error("can't release entries through {through}: the snapshot covers {covered}; take a snapshot first")]
    ReleasesUncovered {
        /// The index given.
        through: u64,
        /// The last entry covered by the snapshot in use; 0 without one.
        covered: u64,
    },
    /// A snapshot is older than the one in use.
    #[error("a snapshot at {index} is older than the one in use at {newest}; drop it")]
    OlderSnapshot {
        /// The index given.
        index: u64,
        /// The index of the one in use.
        newest: u64,
    },
    /// A file was written by another version of the program.
    #[error(
        "{file} has format version {found}, this program reads {supported}; run the version that wrote it, or \
         empty the data folder and let the replica join anew"
    )]
    UnknownVersion {
        /// The file.
        file: String,
        /// Its version.
        found: u16,
        /// The version that this program reads and writes.
        supported: u16,
    },
}

impl StorageError {
    /// True if there was no space: the disk is full, or the limit reached.
    #[must_use]
    pub fn is_full(&self) -> bool {
        match self {
            Self::Disk { source, .. } => {
                matches!(source.kind(), io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded)
            }
            Self::OverLimit { .. } => true,
            _ => false,
        }
    }

    pub(crate) fn disk(action: &'static str, file: &str) -> impl FnOnce(io::Error) -> Self {
        let file = file.to_owned();
        move |source| Self::Disk { action, file, source }
    }
}
