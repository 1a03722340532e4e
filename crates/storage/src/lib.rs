//! A log in checksummed segments, with snapshots, on a disk that may fail.
//!
//! # Files
//!
//! | file | contents |
//! | --- | --- |
//! | `segment-<number>.log` | a format version, a header frame, then one frame for each batch |
//! | `snapshot-<number>.bin` | a format version, then the bytes of one snapshot |
//!
//! File numbers only increase, so the segment with the highest number is the one being written. A frame has a
//! checksum and is applied completely or not at all. The header frame of a segment repeats the state after
//! the older segments (metadata, range of the entries, current snapshot) and names the previous segment with
//! its valid length.
//!
//! # Invariants that recovery relies on
//!
//! - A batch is one write and one sync, and a frame is written only after the one before it was synced. A
//!   valid frame after an invalid one therefore means damage; an invalid frame at the end means an
//!   interrupted write.
//! - After any disk error the current segment is never written again, and its valid length in the next header
//!   is the length covered by its last successful sync. Data that a failed sync may have dropped is never
//!   relied upon.
//! - Opening rewrites the last frame into a new segment, as the frame may have been read from the page cache
//!   without being durable.
//! - A snapshot is valid once a synced frame refers to it. Files are removed only after the frame that makes
//!   them unneeded. A removed file that reappears after a power loss is not referred to by the newest
//!   segment, and is removed again.

#![forbid(unsafe_code)]

mod checkpoint;
mod disk;
mod error;
mod folder;
mod frame;
mod inspect;
mod names;
mod operation;
mod plan;
mod record;
mod recovery;
mod replay;
pub mod simulated;
mod store;

pub use disk::{Disk, FileEntry};
pub use error::StorageError;
pub use folder::FolderDisk;
pub use frame::{Frame, FrameFault, read_frame};
pub use inspect::{FileReport, Inspection, ReadOnlyFolder, SnapshotUse, inspect};
pub use operation::{Limits, Operation, RecoveredState, RecoveryNote, StoredEntry, StoredSnapshot};
pub use record::count_records;
pub use store::LogStore;
