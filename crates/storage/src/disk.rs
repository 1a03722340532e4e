//! The disk interface of the store: one folder of files without subfolders.

use std::io;

/// A file in the folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileEntry {
    /// File name without the folder.
    pub name: String,
    /// Length of the file in bytes.
    pub length: u64,
}

/// One folder on a disk. Every call may block on disk I/O.
pub trait Disk {
    /// Lists all files in the folder, in any order.
    fn list(&mut self) -> io::Result<Vec<FileEntry>>;

    /// Creates an empty file; an error if the name exists.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Reads up to `length` bytes from `offset` on; fewer at the end of the file.
    fn read(&mut self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>>;

    /// Writes all of `bytes` at `offset`. After an error, any part of them may have been written.
    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Truncates or extends the file.
    fn set_len(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Removes the file. The removal is durable once the folder is synced.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Returns once contents and length of the file are durable. After an error, none of the writes since the
    /// last successful sync can be relied upon, even if a later sync succeeds.
    fn sync_file(&mut self, name: &str) -> io::Result<()>;

    /// Returns once creations and removals of files in the folder are durable.
    fn sync_folder(&mut self) -> io::Result<()>;
}
