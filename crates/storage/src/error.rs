//! Errors of the store.

use std::io;

use thiserror::Error;

/// Reason why a batch was not applied, or the store can't be opened. After an error of
/// [`LogStore::apply`](crate::LogStore::apply) the store is unchanged, and the batch may be applied again.
#[derive(Debug, Error)]
pub enum StorageError {
    /// A disk operation failed.
    #[error("{action} {file} failed: {source}; check the disk's space and state, then apply the batch again")]
    Disk {
        /// The failed operation.
        action: &'static str,
        /// Name of the file, or a description of the folder.
        file: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The batch would exceed the configured disk limit.
    #[error(
        "disk usage would be {needed} bytes, above the limit of {limit}; take a snapshot and release entries"
    )]
    OverLimit {
        /// Disk usage with the batch, in bytes.
        needed: u64,
        /// Limit for such a batch, in bytes.
        limit: u64,
    },
    /// The batch is too large for one frame.
    #[error("a batch of {bytes} bytes does not fit in one frame; split it")]
    BatchTooLarge {
        /// Length of the encoded batch in bytes.
        bytes: u64,
    },
    /// An appended entry does not follow the last entry.
    #[error("entry {index} does not follow the last entry; append entry {expected}, or truncate first")]
    NotContiguous {
        /// Index of the appended entry.
        index: u64,
        /// Index of the next entry.
        expected: u64,
    },
    /// A truncation begins at a released entry.
    #[error(
        "can't truncate from entry {from}: the first retained entry is {first}; install a snapshot instead"
    )]
    TruncatesReleased {
        /// First index to truncate.
        from: u64,
        /// Index of the first retained entry.
        first: u64,
    },
    /// A release includes entries that the snapshot does not cover.
    #[error("can't release entries through {through}: the snapshot ends at {covered}; take a snapshot first")]
    ReleasesUncovered {
        /// Last index to release.
        through: u64,
        /// Index of the last entry that the current snapshot covers; 0 without a snapshot.
        covered: u64,
    },
    /// The snapshot is older than the current one.
    #[error("a snapshot at index {index} is older than the current one at {newest}; discard it")]
    OlderSnapshot {
        /// Index of the rejected snapshot.
        index: u64,
        /// Index of the current snapshot.
        newest: u64,
    },
    /// A file has a format version that this program does not read.
    #[error(
        "{file} has format version {found}, this program reads {supported}; run the version that wrote it, or \
         empty the data folder and let the replica join as a new member"
    )]
    UnknownVersion {
        /// Name of the file.
        file: String,
        /// Format version of the file.
        found: u16,
        /// Format version that this program reads and writes.
        supported: u16,
    },
}

impl StorageError {
    /// Whether the cause is lack of space: a full disk, an exceeded quota or the configured limit.
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
