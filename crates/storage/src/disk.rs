//! What the store needs of a disk: one folder of files without subfolders.

use std::io;

/// A file in the folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileEntry {
    /// Its name, without the folder.
    pub name: String,
    /// Its length in bytes.
    pub length: u64,
}

/// One folder on a disk. Every call may block for as long as the disk does.
pub trait Disk {
    /// All files in the folder, in any order.
    fn list(&mut self) -> io::Result<Vec<FileEntry>>;

    /// Makes an empty file; an error if the name is taken.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Up to `length` bytes from `offset` on; fewer where the file ends.
    fn read(&mut self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>>;

    /// Writes all of `bytes` at `offset`. After an error any part of them may have been written.
    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Cuts or extends the file.
    fn set_len(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Removes the file. The removal lasts once the folder is synced.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Returns when the contents and the length of the file last. After an error none of the writes since the last
    /// good sync may be relied upon, even if a later sync succeeds.
    fn sync_file(&mut self, name: &str) -> io::Result<()>;

    /// Returns when the names in the folder last.
    fn sync_folder(&mut self) -> io::Result<()>;
}
