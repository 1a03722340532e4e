//! A log in checksummed segments with snapshots beside it, over a disk that may fail.
//!
//! # Files
//!
//! | file | holds |
//! | --- | --- |
//! | `segment-<number>.log` | a format version, a header frame, then one frame for each batch |
//! | `snapshot-<number>.bin` | a format version, then the bytes of one snapshot |
//!
//! Numbers only grow, so the segment with the highest number is the one in use. A frame has a checksum and is
//! taken whole or not at all. The header frame of a segment repeats what the older segments said (metadata, bounds
//! of the entries, the snapshot in use) and names the segment before it with the length up to which that one counts.
//!
//! # Rules that recovery relies on
//!
//! - A batch is one write and one sync, and a frame follows another only when that one has been synced. A valid
//!   frame behind an invalid one is therefore damage; an invalid frame at the end is a write that was cut short.
//! - After any error of the disk the segment in use is left for good, and its length for the next header is what its
//!   last good sync covered. Nothing that a failed sync may have dropped is ever relied upon.
//! - Opening writes the last frame once more into a new segment: it may have been read from memory only.
//! - A snapshot counts once a synced frame names it; files are removed after the frame that makes them needless.
//!   A removed file that comes back is not named by the newest segment, and is removed again.

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
