//! A disk backed by a folder of the file system, with blocking reads and writes.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::PathBuf;

use crate::disk::{Disk, FileEntry};

/// A folder of the file system. The file that was written last stays open, so that an append costs one write
/// and one sync.
#[derive(Debug)]
pub struct FolderDisk {
    folder: PathBuf,
    writer: Option<Writer>,
}

#[derive(Debug)]
struct Writer {
    name: String,
    file: File,
    position: u64,
}

impl FolderDisk {
    /// Opens the folder at `path`, and creates it if it does not exist. The parent folder must exist.
    ///
    /// # Errors
    ///
    /// The folder does not exist and can't be created.
    pub fn new(path: impl Into<PathBuf>) -> io::Result<Self> {
        let folder = path.into();
        if !folder.is_dir() {
            fs::create_dir(&folder)?;
        }
        Ok(Self { folder, writer: None })
    }

    fn writer(&mut self, name: &str) -> io::Result<&mut Writer> {
        if self.writer.as_ref().is_none_or(|writer| writer.name != name) {
            let file = OpenOptions::new().write(true).open(self.folder.join(name))?;
            self.writer = Some(Writer { name: name.to_owned(), file, position: 0 });
        }
        self.writer.as_mut().ok_or_else(|| io::Error::other("the file opened for writing is missing"))
    }

    fn close_writer(&mut self, name: &str) {
        if self.writer.as_ref().is_some_and(|writer| writer.name == name) {
            self.writer = None;
        }
    }
}

impl Writer {
    fn write(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        if self.position != offset {
            self.file.seek(SeekFrom::Start(offset))?;
        }
        self.file.write_all(bytes)?;
        self.position = offset + bytes.len() as u64;
        Ok(())
    }
}

impl Disk for FolderDisk {
    fn list(&mut self) -> io::Result<Vec<FileEntry>> {
        let mut files = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            let file_metadata = entry.metadata()?;
            let Ok(name) = entry.file_name().into_string() else { continue };
            if file_metadata.is_file() {
                files.push(FileEntry { name, length: file_metadata.len() });
            }
        }
        Ok(files)
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let file = OpenOptions::new().write(true).create_new(true).open(self.folder.join(name))?;
        self.writer = Some(Writer { name: name.to_owned(), file, position: 0 });
        Ok(())
    }

    fn read(&mut self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let mut file = File::open(self.folder.join(name))?;
        if offset > 0 {
            file.seek(SeekFrom::Start(offset))?;
        }
        let mut bytes = Vec::with_capacity(length);
        file.take(length as u64).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let written = self.writer(name)?.write(offset, bytes);
        if written.is_err() {
            // The position of the file handle is unknown after a partial write.
            self.close_writer(name);
        }
        written
    }

    fn set_len(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.writer(name)?.file.set_len(length)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.close_writer(name);
        fs::remove_file(self.folder.join(name))
    }

    fn sync_file(&mut self, name: &str) -> io::Result<()> {
        self.writer(name)?.file.sync_data()
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }
}
