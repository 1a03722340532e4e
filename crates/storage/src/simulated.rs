//! An in-memory disk for tests: it tracks which operations are synced, and simulates power loss, a full disk
//! and faults.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::disk::{Disk, FileEntry};

/// Effect of a power loss on one unsynced operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashOutcome {
    /// The operation is on the disk.
    Kept,
    /// The operation is lost.
    Lost,
    /// Only this many of the first bytes of a write are on the disk; any other operation is lost.
    Torn(usize),
}

/// Kind of an injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// From this operation on the disk is full: writes and new files fail, until [`SimulatedDisk::set_full`]
    /// ends that.
    Full,
    /// The operation fails. A failed write writes its first half. After a failed sync, the writes that it
    /// should have covered are visible to reads but are not covered by later syncs.
    Error,
    /// The operation is done but reported as failed.
    LateError,
    /// From this operation on every operation fails. An interrupted write counts as any other unsynced write.
    PowerLoss,
}

/// An in-memory disk. Clones share the contents.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk {
    state: Arc<Mutex<DiskState>>,
}

#[derive(Clone, Debug, Default)]
struct DiskState {
    /// Files by number.
    files: BTreeMap<u64, SimulatedFile>,
    /// Numbers of files by name, as of the last sync of the folder.
    synced_names: BTreeMap<String, u64>,
    /// Numbers of files by name, as visible to reads.
    names: BTreeMap<String, u64>,
    unsynced: Vec<UnsyncedOperation>,
    next_file: u64,
    operation_count: u64,
    sync_count: u64,
    /// The injected fault, with the number of the operation that it applies to.
    fault: Option<(u64, Fault)>,
    is_full: bool,
    is_off: bool,
    /// Whether the current operation is reported as failed once it is done.
    fails_late: bool,
    /// Limit for all files together, in bytes.
    capacity: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct SimulatedFile {
    synced: Vec<u8>,
    current: Vec<u8>,
}

#[derive(Clone, Debug)]
enum UnsyncedOperation {
    Write { file: u64, offset: u64, bytes: Vec<u8> },
    SetLen { file: u64, length: u64 },
    Create { name: String, file: u64 },
    Remove { name: String },
}

impl UnsyncedOperation {
    fn file(&self) -> Option<u64> {
        match self {
            Self::Write { file, .. } | Self::SetLen { file, .. } => Some(*file),
            Self::Create { .. } | Self::Remove { .. } => None,
        }
    }
}

impl SimulatedDisk {
    /// An empty disk of unlimited size.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// An independent copy of the disk, with its synced and unsynced contents and without faults.
    #[must_use]
    pub fn fork(&self) -> Self {
        let mut state = self.lock().clone();
        state.fault = None;
        state.is_off = false;
        state.is_full = false;
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Injects a fault into the operation with this number, counted from 0 by
    /// [`operation_count`](Self::operation_count).
    pub fn fail_at(&self, operation: u64, fault: Fault) {
        self.lock().fault = Some((operation, fault));
    }

    /// Makes the disk full, so that operations that need space fail, or ends that.
    pub fn set_full(&self, full: bool) {
        self.lock().is_full = full;
    }

    /// Limits the length of all files together, in bytes.
    pub fn set_capacity(&self, bytes: u64) {
        self.lock().capacity = Some(bytes);
    }

    /// Number of operations so far that change or sync the disk.
    #[must_use]
    pub fn operation_count(&self) -> u64 {
        self.lock().operation_count
    }

    /// Number of syncs so far, of files and of the folder.
    #[must_use]
    pub fn sync_count(&self) -> u64 {
        self.lock().sync_count
    }

    /// Number of unsynced operations.
    #[must_use]
    pub fn unsynced_count(&self) -> usize {
        self.lock().unsynced.len()
    }

    /// Length in bytes of the unsynced operation at `index` if it is a write; `None` for other operations.
    #[must_use]
    pub fn unsynced_write_length(&self, index: usize) -> Option<usize> {
        match self.lock().unsynced.get(index) {
            Some(UnsyncedOperation::Write { bytes, .. }) => Some(bytes.len()),
            _ => None,
        }
    }

    /// Simulates a power loss and restart: `outcome` decides on each unsynced operation, by its index.
    pub fn lose_power(&self, mut outcome: impl FnMut(usize) -> CrashOutcome) {
        let mut state = self.lock();
        let unsynced = std::mem::take(&mut state.unsynced);
        state.names = state.synced_names.clone();
        for (index, operation) in unsynced.into_iter().enumerate() {
            match outcome(index) {
                CrashOutcome::Kept => state.persist(&operation, None),
                CrashOutcome::Torn(bytes) => state.persist(&operation, Some(bytes)),
                CrashOutcome::Lost => {}
            }
        }
        state.synced_names = state.names.clone();
        for file in state.files.values_mut() {
            file.current = file.synced.clone();
        }
        state.is_off = false;
    }

    /// Contents of a file, as visible to reads.
    #[must_use]
    pub fn contents(&self, name: &str) -> Option<Vec<u8>> {
        let state = self.lock();
        let number = state.names.get(name)?;
        state.files.get(number).map(|file| file.current.clone())
    }

    /// Replaces a file durably.
    pub fn write_durably(&self, name: &str, bytes: &[u8]) {
        let mut state = self.lock();
        let number = state.next_file;
        state.next_file += 1;
        state.files.insert(number, SimulatedFile { synced: bytes.to_vec(), current: bytes.to_vec() });
        state.names.insert(name.to_owned(), number);
        state.synced_names.insert(name.to_owned(), number);
    }

    /// Removes a file durably.
    pub fn remove_durably(&self, name: &str) {
        let mut state = self.lock();
        state.names.remove(name);
        state.synced_names.remove(name);
    }

    /// Sorted names of all files.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        self.lock().names.keys().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, DiskState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl DiskState {
    /// Counts an operation and returns its fault if it has to fail before it is done.
    fn begin_operation(&mut self) -> io::Result<Option<Fault>> {
        if self.is_off {
            return Err(no_power_error());
        }
        let number = self.operation_count;
        self.operation_count += 1;
        let fault = self.fault.filter(|(at, _)| *at == number).map(|(_, fault)| fault);
        match fault {
            Some(Fault::Full) => self.is_full = true,
            Some(Fault::PowerLoss) => self.is_off = true,
            Some(Fault::LateError) => self.fails_late = true,
            _ => {}
        }
        Ok(fault.filter(|fault| matches!(fault, Fault::Error | Fault::PowerLoss)))
    }

    /// Result of an operation that was done.
    fn end_operation(&mut self) -> io::Result<()> {
        if std::mem::take(&mut self.fails_late) { Err(injected_error()) } else { Ok(()) }
    }

    fn file_number(&self, name: &str) -> io::Result<u64> {
        self.names.get(name).copied().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn current_contents(&mut self, number: u64) -> &mut Vec<u8> {
        &mut self.files.entry(number).or_default().current
    }

    fn used_bytes(&self) -> u64 {
        let lengths = self.names.values().filter_map(|number| self.files.get(number));
        lengths.map(|file| file.current.len() as u64).sum()
    }

    /// Number of bytes of a write at the offset that fit on the disk.
    fn fitting_bytes(&self, number: u64, offset: u64, bytes: usize) -> usize {
        if self.is_full {
            return 0;
        }
        let Some(capacity) = self.capacity else { return bytes };
        let length = self.files.get(&number).map_or(0, |file| file.current.len() as u64);
        let available = capacity.saturating_sub(self.used_bytes()) + length.saturating_sub(offset);
        bytes.min(usize::try_from(available).unwrap_or(usize::MAX))
    }

    fn write(&mut self, number: u64, offset: u64, bytes: &[u8]) {
        write_into(self.current_contents(number), offset, bytes);
        self.unsynced.push(UnsyncedOperation::Write { file: number, offset, bytes: bytes.to_vec() });
    }

    /// Applies an operation to the durable state; of a torn write only the first `torn` bytes.
    fn persist(&mut self, operation: &UnsyncedOperation, torn: Option<usize>) {
        match (operation, torn) {
            (UnsyncedOperation::Write { file, offset, bytes }, _) => {
                let kept = torn.unwrap_or(bytes.len()).min(bytes.len());
                write_into(&mut self.files.entry(*file).or_default().synced, *offset, &bytes[..kept]);
            }
            (_, Some(_)) => {}
            (UnsyncedOperation::SetLen { file, length }, None) => {
                self.files.entry(*file).or_default().synced.resize(*length as usize, 0);
            }
            (UnsyncedOperation::Create { name, file }, None) => {
                self.names.insert(name.clone(), *file);
            }
            (UnsyncedOperation::Remove { name }, None) => {
                self.names.remove(name);
            }
        }
    }

    /// Removes and returns the unsynced operations on a file, or on the folder for `None`.
    fn take_unsynced(&mut self, file: Option<u64>) -> Vec<UnsyncedOperation> {
        let (covered, rest) =
            std::mem::take(&mut self.unsynced).into_iter().partition(|operation| operation.file() == file);
        self.unsynced = rest;
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

fn no_power_error() -> io::Error {
    io::Error::other("the simulated machine has no power")
}

fn injected_error() -> io::Error {
    io::Error::other("an injected fault of the simulated disk")
}

fn fault_error(fault: Fault) -> io::Error {
    if fault == Fault::PowerLoss { no_power_error() } else { injected_error() }
}

impl Disk for SimulatedDisk {
    fn list(&mut self) -> io::Result<Vec<FileEntry>> {
        let state = self.lock();
        if state.is_off {
            return Err(no_power_error());
        }
        let length = |number: &u64| state.files.get(number).map_or(0, |file| file.current.len() as u64);
        Ok(state
            .names
            .iter()
            .map(|(name, number)| FileEntry { name: name.clone(), length: length(number) })
            .collect())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.lock();
        if let Some(fault) = state.begin_operation()? {
            return Err(fault_error(fault));
        }
        if state.names.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        if state.is_full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let number = state.next_file;
        state.next_file += 1;
        state.files.insert(number, SimulatedFile::default());
        state.names.insert(name.to_owned(), number);
        state.unsynced.push(UnsyncedOperation::Create { name: name.to_owned(), file: number });
        state.end_operation()
    }

    fn read(&mut self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let mut state = self.lock();
        if state.is_off {
            return Err(no_power_error());
        }
        let number = state.file_number(name)?;
        let contents = state.current_contents(number);
        let start = (offset as usize).min(contents.len());
        let end = start.saturating_add(length).min(contents.len());
        Ok(contents[start..end].to_vec())
    }

    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.lock();
        let fault = state.begin_operation()?;
        let number = state.file_number(name)?;
        match fault {
            Some(Fault::Error) => {
                state.write(number, offset, &bytes[..bytes.len() / 2]);
                return Err(injected_error());
            }
            Some(fault) => {
                state.write(number, offset, bytes);
                return Err(fault_error(fault));
            }
            None => {}
        }
        let fitting = state.fitting_bytes(number, offset, bytes.len());
        state.write(number, offset, &bytes[..fitting]);
        if fitting < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        state.end_operation()
    }

    fn set_len(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut state = self.lock();
        if let Some(fault) = state.begin_operation()? {
            return Err(fault_error(fault));
        }
        let number = state.file_number(name)?;
        state.current_contents(number).resize(length as usize, 0);
        state.unsynced.push(UnsyncedOperation::SetLen { file: number, length });
        state.end_operation()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.lock();
        if let Some(fault) = state.begin_operation()? {
            return Err(fault_error(fault));
        }
        if state.names.remove(name).is_none() {
            return Err(io::ErrorKind::NotFound.into());
        }
        state.unsynced.push(UnsyncedOperation::Remove { name: name.to_owned() });
        state.end_operation()
    }

    fn sync_file(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.lock();
        let fault = state.begin_operation()?;
        let number = state.file_number(name)?;
        match fault {
            Some(Fault::Error) => {
                // The writes stay visible to reads but are not on the disk; no later sync covers them.
                state.take_unsynced(Some(number));
                return Err(injected_error());
            }
            Some(fault) => return Err(fault_error(fault)),
            None => {}
        }
        state.sync_count += 1;
        for operation in state.take_unsynced(Some(number)) {
            state.persist(&operation, None);
        }
        state.end_operation()
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.lock();
        if let Some(fault) = state.begin_operation()? {
            return Err(fault_error(fault));
        }
        state.sync_count += 1;
        state.take_unsynced(None);
        state.synced_names = state.names.clone();
        state.end_operation()
    }
}
