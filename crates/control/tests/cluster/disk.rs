//! A simulated disk whose syncs can be made no-ops.

use std::io;

use dunelink_storage::simulated::SimulatedDisk;
use dunelink_storage::{Disk, FileEntry};

#[derive(Clone, Debug)]
pub(crate) struct MachineDisk {
    pub(crate) inner: SimulatedDisk,
    pub(crate) skip_file_syncs: bool,
    pub(crate) skip_folder_syncs: bool,
}

impl Disk for MachineDisk {
    fn list(&mut self) -> io::Result<Vec<FileEntry>> {
        self.inner.list()
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.inner.create(name)
    }

    fn read(&mut self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        self.inner.read(name, offset, length)
    }

    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.inner.write(name, offset, bytes)
    }

    fn set_len(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.inner.set_len(name, length)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.inner.remove(name)
    }

    fn sync_file(&mut self, name: &str) -> io::Result<()> {
        if self.skip_file_syncs { Ok(()) } else { self.inner.sync_file(name) }
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        if self.skip_folder_syncs { Ok(()) } else { self.inner.sync_folder() }
    }
}
