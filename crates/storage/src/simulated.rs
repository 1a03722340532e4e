//! A disk in memory for tests: it keeps apart what is synced and what is not, loses power, fills up and fails.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::disk::{Disk, FileEntry};

/// What a loss of power does to one operation that no sync covered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashOutcome {
    /// It is there.
    Kept,
    /// It is gone.
    Lost,
    /// Of a write, only so many of its first bytes are there; any other operation is gone.
    Torn(usize),
}

/// How an operation fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The disk refuses writes, new files and longer lengths, until it is told otherwise.
    Full,
    /// One operation fails. A failed write leaves its first half; a failed sync drops the writes that it should
    /// have covered from what later syncs cover, while reads still show them.
    Error,
    /// One operation is done and reported as failed.
    LateError,
    /// From here on every operation fails. A write that is cut off may be there, as any other without a sync.
    PowerLoss,
}

/// A disk in memory. Clones share the same contents.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Clone, Debug, Default)]
struct Inner {
    files: BTreeMap<u64, SimulatedFile>,
    synced_names: BTreeMap<String, u64>,
    names: BTreeMap<String, u64>,
    pending: Vec<Pending>,
    next_file: u64,
    operations: u64,
    syncs: u64,
    fault: Option<(u64, Fault)>,
    full: bool,
    off: bool,
    late: bool,
    capacity: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct SimulatedFile {
    synced: Vec<u8>,
    current: Vec<u8>,
}

#[derive(Clone, Debug)]
enum Pending {
    Write { file: u64, offset: u64, bytes: Vec<u8> },
    SetLen { file: u64, length: u64 },
    Create { name: String, file: u64 },
    Remove { name: String },
}

impl Pending {
    fn file(&self) -> Option<u64> {
        match self {
            Self::Write { file, .. } | Self::SetLen { file, .. } => Some(*file),
            Self::Create { .. } | Self::Remove { .. } => None,
        }
    }
}

impl SimulatedDisk {
    /// An empty disk without limit.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A disk of its own with the same contents and no fault ahead; synced and unsynced stay apart.
    #[must_use]
    pub fn fork(&self) -> Self {
        let mut inner = self.lock().clone();
        inner.fault = None;
        inner.off = false;
        inner.full = false;
        Self { inner: Arc::new(Mutex::new(inner)) }
    }

    /// Lets an operation fail: the one with this number, counted by [`operation_count`](Self::operation_count) from 0.
    pub fn fail_at(&self, operation: u64, fault: Fault) {
        self.lock().fault = Some((operation, fault));
    }

    /// Makes the disk refuse what needs space, or ends that.
    pub fn set_full(&self, full: bool) {
        self.lock().full = full;
    }

    /// Limits the bytes of all files together.
    pub fn set_capacity(&self, bytes: u64) {
        self.lock().capacity = Some(bytes);
    }

    /// Operations so far that change or sync something.
    #[must_use]
    pub fn operation_count(&self) -> u64 {
        self.lock().operations
    }

    /// Syncs so far, of files and of the folder.
    #[must_use]
    pub fn sync_count(&self) -> u64 {
        self.lock().syncs
    }

    /// Operations that no sync covers.
    #[must_use]
    pub fn unsynced_count(&self) -> usize {
        self.lock().pending.len()
    }

    /// The length of the unsynced write with this place among the pending operations; none for other operations.
    #[must_use]
    pub fn unsynced_write_length(&self, place: usize) -> Option<usize> {
        match self.lock().pending.get(place) {
            Some(Pending::Write { bytes, .. }) => Some(bytes.len()),
            _ => None,
        }
    }

    /// Power is lost and comes back: `fate` decides on each operation that no sync covered, in their order.
    pub fn lose_power(&self, mut fate: impl FnMut(usize) -> CrashOutcome) {
        let mut inner = self.lock();
        let pending = std::mem::take(&mut inner.pending);
        inner.names = inner.synced_names.clone();
        for (place, operation) in pending.into_iter().enumerate() {
            match fate(place) {
                CrashOutcome::Kept => inner.settle(&operation, None),
                CrashOutcome::Torn(bytes) => inner.settle(&operation, Some(bytes)),
                CrashOutcome::Lost => {}
            }
        }
        inner.synced_names = inner.names.clone();
        for file in inner.files.values_mut() {
            file.current = file.synced.clone();
        }
        inner.off = false;
    }

    /// The contents of a file, as reads show them.
    #[must_use]
    pub fn contents(&self, name: &str) -> Option<Vec<u8>> {
        let inner = self.lock();
        let number = inner.names.get(name)?;
        inner.files.get(number).map(|file| file.current.clone())
    }

    /// Replaces a file, synced and named for good.
    pub fn write_durably(&self, name: &str, bytes: &[u8]) {
        let mut inner = self.lock();
        let number = inner.next_file;
        inner.next_file += 1;
        inner.files.insert(number, SimulatedFile { synced: bytes.to_vec(), current: bytes.to_vec() });
        inner.names.insert(name.to_owned(), number);
        inner.synced_names.insert(name.to_owned(), number);
    }

    /// Removes a file for good.
    pub fn remove_durably(&self, name: &str) {
        let mut inner = self.lock();
        inner.names.remove(name);
        inner.synced_names.remove(name);
    }

    /// Names of all files, sorted.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        self.lock().names.keys().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Counts an operation. Some if it is to fail before it is done.
    fn begin(&mut self) -> io::Result<Option<Fault>> {
        if self.off {
            return Err(no_power());
        }
        let number = self.operations;
        self.operations += 1;
        let fault = self.fault.filter(|(at, _)| *at == number).map(|(_, fault)| fault);
        match fault {
            Some(Fault::Full) => self.full = true,
            Some(Fault::PowerLoss) => self.off = true,
            Some(Fault::LateError) => self.late = true,
            _ => {}
        }
        Ok(fault.filter(|fault| matches!(fault, Fault::Error | Fault::PowerLoss)))
    }

    /// Reports an operation that was done.
    fn end(&mut self) -> io::Result<()> {
        if std::mem::take(&mut self.late) { Err(injected()) } else { Ok(()) }
    }

    fn number(&self, name: &str) -> io::Result<u64> {
        self.names.get(name).copied().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn current(&mut self, number: u64) -> &mut Vec<u8> {
        &mut self.files.entry(number).or_default().current
    }

    fn used(&self) -> u64 {
        let lengths = self.names.values().filter_map(|number| self.files.get(number));
        lengths.map(|file| file.current.len() as u64).sum()
    }

    /// How many of the bytes at the offset fit.
    fn fitting(&self, number: u64, offset: u64, bytes: usize) -> usize {
        if self.full {
            return 0;
        }
        let Some(capacity) = self.capacity else { return bytes };
        let length = self.files.get(&number).map_or(0, |file| file.current.len() as u64);
        let room = capacity.saturating_sub(self.used()) + length.saturating_sub(offset);
        bytes.min(usize::try_from(room).unwrap_or(usize::MAX))
    }

    fn write(&mut self, number: u64, offset: u64, bytes: &[u8]) {
        write_into(self.current(number), offset, bytes);
        self.pending.push(Pending::Write { file: number, offset, bytes: bytes.to_vec() });
    }

    /// Applies an operation to what lasts.
    fn settle(&mut self, operation: &Pending, torn: Option<usize>) {
        match (operation, torn) {
            (Pending::Write { file, offset, bytes }, _) => {
                let kept = torn.unwrap_or(bytes.len()).min(bytes.len());
                write_into(&mut self.files.entry(*file).or_default().synced, *offset, &bytes[..kept]);
            }
            (_, Some(_)) => {}
            (Pending::SetLen { file, length }, None) => {
                self.files.entry(*file).or_default().synced.resize(*length as usize, 0);
            }
            (Pending::Create { name, file }, None) => {
                self.names.insert(name.clone(), *file);
            }
            (Pending::Remove { name }, None) => {
                self.names.remove(name);
            }
        }
    }

    fn take_pending(&mut self, of: Option<u64>) -> Vec<Pending> {
        let (covered, rest) =
            std::mem::take(&mut self.pending).into_iter().partition(|operation| operation.file() == of);
        self.pending = rest;
        covered
    }
}

fn write_into(contents: &mut Vec<u8>, offset: u64, bytes: &[u8]) {
    if bytes.is_empty() {
        return;
    }
    let start = offset as usize;
    let end = start + bytes.len();
    if contents.len() < end {
        contents.resize(end, 0);
    }
    contents[start..end].copy_from_slice(bytes);
}

fn no_power() -> io::Error {
    io::Error::other("the simulated machine has no power")
}

fn injected() -> io::Error {
    io::Error::other("an injected fault of the simulated disk")
}

fn fail(fault: Fault) -> io::Error {
    if fault == Fault::PowerLoss { no_power() } else { injected() }
}

impl Disk for SimulatedDisk {
    fn list(&mut self) -> io::Result<Vec<FileEntry>> {
        let inner = self.lock();
        if inner.off {
            return Err(no_power());
        }
        let length = |number: &u64| inner.files.get(number).map_or(0, |file| file.current.len() as u64);
        Ok(inner
            .names
            .iter()
            .map(|(name, number)| FileEntry { name: name.clone(), length: length(number) })
            .collect())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.lock();
        if let Some(fault) = inner.begin()? {
            return Err(fail(fault));
        }
        if inner.names.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        if inner.full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let number = inner.next_file;
        inner.next_file += 1;
        inner.files.insert(number, SimulatedFile::default());
        inner.names.insert(name.to_owned(), number);
        inner.pending.push(Pending::Create { name: name.to_owned(), file: number });
        inner.end()
    }

    fn read(&mut self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let mut inner = self.lock();
        if inner.off {
            return Err(no_power());
        }
        let number = inner.number(name)?;
        let contents = inner.current(number);
        let start = (offset as usize).min(contents.len());
        let end = start.saturating_add(length).min(contents.len());
        Ok(contents[start..end].to_vec())
    }

    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut inner = self.lock();
        let fault = inner.begin()?;
        let number = inner.number(name)?;
        match fault {
            Some(Fault::Error) => {
                inner.write(number, offset, &bytes[..bytes.len() / 2]);
                return Err(injected());
            }
            Some(fault) => {
                inner.write(number, offset, bytes);
                return Err(fail(fault));
            }
            None => {}
        }
        let fitting = inner.fitting(number, offset, bytes.len());
        inner.write(number, offset, &bytes[..fitting]);
        if fitting < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        inner.end()
    }

    fn set_len(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut inner = self.lock();
        if let Some(fault) = inner.begin()? {
            return Err(fail(fault));
        }
        let number = inner.number(name)?;
        inner.current(number).resize(length as usize, 0);
        inner.pending.push(Pending::SetLen { file: number, length });
        inner.end()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.lock();
        if let Some(fault) = inner.begin()? {
            return Err(fail(fault));
        }
        if inner.names.remove(name).is_none() {
            return Err(io::ErrorKind::NotFound.into());
        }
        inner.pending.push(Pending::Remove { name: name.to_owned() });
        inner.end()
    }

    fn sync_file(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.lock();
        let fault = inner.begin()?;
        let number = inner.number(name)?;
        match fault {
            Some(Fault::Error) => {
                // The writes are shown by reads and are not on the disk; no later sync covers them.
                inner.take_pending(Some(number));
                return Err(injected());
            }
            Some(fault) => return Err(fail(fault)),
            None => {}
        }
        inner.syncs += 1;
        for operation in inner.take_pending(Some(number)) {
            inner.settle(&operation, None);
        }
        inner.end()
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut inner = self.lock();
        if let Some(fault) = inner.begin()? {
            return Err(fail(fault));
        }
        inner.syncs += 1;
        inner.take_pending(None);
        inner.synced_names = inner.names.clone();
        inner.end()
    }
}
