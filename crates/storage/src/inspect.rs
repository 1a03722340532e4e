//! Inspection of a data folder without changes to it.

use std::fs;
use std::io;
use std::path::PathBuf;

use crate::disk::{Disk, FileEntry};
use crate::error::StorageError;
use crate::folder::FolderDisk;
use crate::frame::{self, PREFIX_BYTES};
use crate::names::{self, FileKind};
use crate::operation::RecoveredState;
use crate::record;
use crate::recovery;

/// Contents of a folder, as [`LogStore::open`](crate::LogStore::open) would recover them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Inspection {
    /// The state that would be recovered.
    pub recovered: RecoveredState,
    /// The files of the store, ordered by file number.
    pub files: Vec<FileReport>,
}

/// A file of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileReport {
    /// File name.
    pub name: String,
    /// Length of the file in bytes.
    pub length: u64,
    /// Whether the file has a valid prefix with the supported format version.
    pub is_readable: bool,
    /// Number of consecutive valid frames from the start of a segment; 0 for a snapshot.
    pub frames: u32,
    /// Number of records in those frames, without the header; 0 for a snapshot.
    pub records: u64,
    /// End of the last valid frame of a segment, or length of a snapshot file, in bytes.
    pub valid_bytes: u64,
    /// Use of a snapshot file; `None` for a segment.
    pub snapshot: Option<SnapshotUse>,
}

/// Whether the store uses a snapshot file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotUse {
    /// The current snapshot, with a valid checksum.
    InUse,
    /// Any other snapshot, including a damaged one.
    NotUsed,
}

/// Reads a folder as [`LogStore::open`](crate::LogStore::open) does, without writing. If a process is using
/// the folder, the last frame may be incomplete.
///
/// # Errors
///
/// A disk operation failed, or a file has an unknown format version. Damage is not an error; see
/// [`RecoveredState::damaged`].
pub fn inspect<D: Disk>(disk: &mut D) -> Result<Inspection, StorageError> {
    let contents = recovery::read(disk)?;
    let in_use = contents.replay.state.snapshot.filter(|_| contents.recovered.snapshot.is_some());
    let mut files = disk.list().map_err(StorageError::disk("listing", "the data folder"))?;
    files.sort_by_key(|file| names::parse(&file.name).map(FileKind::number));
    let mut reports = Vec::new();
    for file in files {
        match names::parse(&file.name) {
            Some(FileKind::Segment(number)) => reports.push(segment_report(disk, number, &file)?),
            Some(FileKind::Snapshot(number)) => {
                let is_in_use = in_use.is_some_and(|reference| reference.number == number);
                reports.push(snapshot_report(disk, &file, is_in_use)?);
            }
            None => {}
        }
    }
    Ok(Inspection { recovered: contents.recovered, files: reports })
}

fn segment_report<D: Disk>(disk: &mut D, number: u64, file: &FileEntry) -> Result<FileReport, StorageError> {
    let bytes = disk.read(&file.name, 0, file.length as usize);
    let bytes = bytes.map_err(StorageError::disk("reading", &file.name))?;
    let mut report = new_report(file, frame::check_prefix(&file.name, &bytes)?);
    if !report.is_readable {
        return Ok(report);
    }
    let mut offset = PREFIX_BYTES;
    while let Some(rest) = bytes.get(offset..).filter(|rest| !rest.is_empty()) {
        let Ok(frame) = frame::read_frame(rest) else { break };
        if frame.segment != number || frame.sequence != report.frames {
            break;
        }
        if frame.sequence > 0 {
            report.records += record::count_records(frame.payload).unwrap_or(0) as u64;
        }
        report.frames += 1;
        offset += frame.length();
    }
    report.valid_bytes = offset as u64;
    Ok(report)
}

fn snapshot_report<D: Disk>(
    disk: &mut D,
    file: &FileEntry,
    is_in_use: bool,
) -> Result<FileReport, StorageError> {
    let bytes = disk.read(&file.name, 0, PREFIX_BYTES);
    let bytes = bytes.map_err(StorageError::disk("reading", &file.name))?;
    let mut report = new_report(file, frame::check_prefix(&file.name, &bytes)?);
    report.valid_bytes = file.length;
    report.snapshot = Some(if is_in_use { SnapshotUse::InUse } else { SnapshotUse::NotUsed });
    Ok(report)
}

fn new_report(file: &FileEntry, is_readable: bool) -> FileReport {
    FileReport {
        name: file.name.clone(),
        length: file.length,
        is_readable,
        frames: 0,
        records: 0,
        valid_bytes: 0,
        snapshot: None,
    }
}

/// A read-only folder of the file system: every change fails.
#[derive(Debug)]
pub struct ReadOnlyFolder {
    folder: FolderDisk,
}

impl ReadOnlyFolder {
    /// Opens the folder at `path`, which must exist.
    ///
    /// # Errors
    ///
    /// The path does not exist, is not a folder or can't be read.
    pub fn new(path: impl Into<PathBuf>) -> io::Result<Self> {
        let path = path.into();
        fs::read_dir(&path)?;
        FolderDisk::new(path).map(|folder| Self { folder })
    }
}

fn read_only_error<T>() -> io::Result<T> {
    Err(io::Error::new(io::ErrorKind::ReadOnlyFilesystem, "the folder is opened read-only"))
}

impl Disk for ReadOnlyFolder {
    fn list(&mut self) -> io::Result<Vec<FileEntry>> {
        self.folder.list()
    }

    fn create(&mut self, _name: &str) -> io::Result<()> {
        read_only_error()
    }

    fn read(&mut self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        self.folder.read(name, offset, length)
    }

    fn write(&mut self, _name: &str, _offset: u64, _bytes: &[u8]) -> io::Result<()> {
        read_only_error()
    }

    fn set_len(&mut self, _name: &str, _length: u64) -> io::Result<()> {
        read_only_error()
    }

    fn remove(&mut self, _name: &str) -> io::Result<()> {
        read_only_error()
    }

    fn sync_file(&mut self, _name: &str) -> io::Result<()> {
        read_only_error()
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        read_only_error()
    }
}
