//! Looks at a folder without changing anything in it.

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

/// What a folder holds, as an opening would find it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Inspection {
    /// What an opening would return.
    pub recovered: RecoveredState,
    /// The files of the store, by the number in their names.
    pub files: Vec<FileReport>,
}

/// One file of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileReport {
    /// Its name.
    pub name: String,
    /// Its length in bytes.
    pub length: u64,
    /// Whether it begins with the format version that is read here.
    pub is_readable: bool,
    /// For a segment: frames with right checksums from its start on.
    pub frames: u32,
    /// For a segment: records in those frames, the header apart.
    pub records: u64,
    /// Bytes up to the end of the last such frame; for a snapshot its length.
    pub valid_bytes: u64,
    /// Whether it is a snapshot, and if so whether it is the one in use.
    pub snapshot: Option<SnapshotUse>,
}

/// What a snapshot's file is to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotUse {
    /// The snapshot in use; its checksum is right.
    InUse,
    /// Another one, or one that can't be used.
    NotUsed,
}

/// Reads a folder as an opening does, and writes nothing. The disk is read while it may be in use: the last frame may
/// then be cut short.
///
/// # Errors
///
/// The disk failed, or a file has an unknown format version. Damage is no error; see [`RecoveredState::damaged`].
pub fn inspect<D: Disk>(disk: &mut D) -> Result<Inspection, StorageError> {
    let found = recovery::read(disk)?;
    let in_use = found.replay.state.snapshot.filter(|_| found.recovered.snapshot.is_some());
    let mut files = disk.list().map_err(StorageError::disk("listing", "the data folder"))?;
    files.sort_by_key(|file| names::parse(&file.name).map(FileKind::number));
    let mut reports = Vec::new();
    for file in files {
        match names::parse(&file.name) {
            Some(FileKind::Segment(number)) => reports.push(segment(disk, number, &file)?),
            Some(FileKind::Snapshot(number)) => {
                let is_in_use = in_use.is_some_and(|reference| reference.number == number);
                reports.push(snapshot(disk, &file, is_in_use)?);
            }
            None => {}
        }
    }
    Ok(Inspection { recovered: found.recovered, files: reports })
}

fn segment<D: Disk>(disk: &mut D, number: u64, file: &FileEntry) -> Result<FileReport, StorageError> {
    let bytes = disk.read(&file.name, 0, file.length as usize);
    let bytes = bytes.map_err(StorageError::disk("reading", &file.name))?;
    let mut report = report(file, frame::check_prefix(&file.name, &bytes)?);
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

fn snapshot<D: Disk>(disk: &mut D, file: &FileEntry, is_in_use: bool) -> Result<FileReport, StorageError> {
    let bytes = disk.read(&file.name, 0, PREFIX_BYTES);
    let bytes = bytes.map_err(StorageError::disk("reading", &file.name))?;
    let mut report = report(file, frame::check_prefix(&file.name, &bytes)?);
    report.valid_bytes = file.length;
    report.snapshot = Some(if is_in_use { SnapshotUse::InUse } else { SnapshotUse::NotUsed });
    Ok(report)
}

fn report(file: &FileEntry, is_readable: bool) -> FileReport {
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

/// A folder of the file system that is only read: every change is refused.
#[derive(Debug)]
pub struct ReadOnlyFolder {
    folder: FolderDisk,
}

impl ReadOnlyFolder {
    /// The folder at `path`, which must be there.
    ///
    /// # Errors
    ///
    /// It is missing, is no folder or can't be read.
    pub fn new(path: impl Into<PathBuf>) -> io::Result<Self> {
        let path = path.into();
        fs::read_dir(&path)?;
        FolderDisk::new(path).map(|folder| Self { folder })
    }
}

fn refused<T>() -> io::Result<T> {
    Err(io::Error::new(io::ErrorKind::ReadOnlyFilesystem, "the folder is open for reading only"))
}

impl Disk for ReadOnlyFolder {
    fn list(&mut self) -> io::Result<Vec<FileEntry>> {
        self.folder.list()
    }

    fn create(&mut self, _name: &str) -> io::Result<()> {
        refused()
    }

    fn read(&mut self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        self.folder.read(name, offset, length)
    }

    fn write(&mut self, _name: &str, _offset: u64, _bytes: &[u8]) -> io::Result<()> {
        refused()
    }

    fn set_len(&mut self, _name: &str, _length: u64) -> io::Result<()> {
        refused()
    }

    fn remove(&mut self, _name: &str) -> io::Result<()> {
        refused()
    }

    fn sync_file(&mut self, _name: &str) -> io::Result<()> {
        refused()
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        refused()
    }
}
