//! The disk thread, which owns the store and makes the replica's writes durable.

use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use dunelink_replication::{HardState, Record, RecoveredState, ReplicaId, WriteFence, decode, encode};
use dunelink_storage::{Disk, FolderDisk, Limits, LogStore, Operation, StorageError};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::identity::StoreMetadata;

/// Interval between attempts to open or wipe the store after a failure.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Writes are grouped up to this many bytes and made durable with one sync.
const MAX_GROUP_BYTES: usize = 8 * 1024 * 1024;

/// A command to the disk thread.
#[derive(Debug, Clone)]
pub enum DiskCommand {
    /// Make records durable for a generation of the replica.
    Write {
        /// Generation of the identity that writes the records.
        generation: u64,
        /// Number of the write.
        sequence: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Assign the store and its contents to an identity.
    Adopt {
        /// Generation of the identity.
        generation: u64,
        /// Translator that starts from the contents of the store.
        translator: RecordTranslator,
    },
    /// Erase the store and assign it to a new identity.
    Wipe {
        /// Generation of the new identity.
        generation: u64,
        /// The new identity.
        id: ReplicaId,
    },
}

/// An event of the disk thread.
#[derive(Debug)]
pub enum DiskEvent {
    /// The store is open. Sent once; always the first event apart from [`DiskEvent::HealthChanged`].
    Opened(OpenedStore),
    /// A write is durable.
    Written {
        /// Generation of the identity that wrote.
        generation: u64,
        /// Number of the write.
        sequence: u64,
        /// Bytes of all files of the store.
        used_bytes: u64,
    },
    /// A write failed.
    WriteFailed {
        /// Generation of the identity that wrote.
        generation: u64,
        /// Number of the write.
        sequence: u64,
    },
    /// The disk fails, with the reason, or works again. Sent when that changes.
    HealthChanged(String),
}

/// Contents of the store as it was opened.
#[derive(Debug)]
pub struct OpenedStore {
    /// Identity, term and vote in the store; `None` on an empty disk.
    pub metadata: Option<StoreMetadata>,
    /// Persistent state from which the replica resumes.
    pub recovered: RecoveredState,
    /// Whether durable data is lost; the contents must then not be used.
    pub damaged: bool,
    /// Repairs made while the store was opened.
    pub notes: Vec<String>,
}

/// Starts the disk thread on a folder; returns the sender of its commands and the receiver of its events.
///
/// # Errors
///
/// The thread cannot be started.
pub fn start(
    folder: &Path,
    limits: Limits,
) -> std::io::Result<(Sender<DiskCommand>, UnboundedReceiver<DiskEvent>)> {
    let (commands, command_receiver) = channel();
    let (events, event_receiver) = unbounded_channel();
    let folder = folder.to_owned();
    std::thread::Builder::new().name("disk".to_owned()).spawn(move || {
        let Some((store, opened)) = open(&folder, limits, &events) else { return };
        if events.send(DiskEvent::Opened(opened)).is_ok() {
            DiskWorker::new(store, events).run(&command_receiver);
        }
    })?;
    Ok((commands, event_receiver))
}

/// Opens the store, and retries on failure since a failing disk may recover. `None` if the program ends.
fn open(
    folder: &Path,
    limits: Limits,
    events: &UnboundedSender<DiskEvent>,
) -> Option<(LogStore<FolderDisk>, OpenedStore)> {
    let mut last_reason = String::new();
    loop {
        let disk = FolderDisk::new(folder);
        let opened = match disk {
            Ok(disk) => LogStore::open(disk, limits).map_err(|error| error.to_string()),
            Err(error) => Err(format!("{}: {error}; check `dataDir`", folder.display())),
        };
        match opened {
            Ok((store, recovered)) => return Some((store, decode_recovered(recovered))),
            Err(reason) if reason == last_reason => {}
            Err(reason) => {
                last_reason.clone_from(&reason);
                events.send(DiskEvent::HealthChanged(reason)).ok()?;
            }
        }
        std::thread::sleep(RETRY_INTERVAL);
    }
}

/// Decodes the contents of the store. Contents that do not decode count as damaged.
pub fn decode_recovered(stored: dunelink_storage::RecoveredState) -> OpenedStore {
    let mut damaged = stored.damaged;
    let mut require = |readable: bool| damaged |= !readable;
    let metadata: Option<StoreMetadata> = stored.metadata.as_deref().and_then(|bytes| {
        let metadata = decode(bytes).ok();
        require(metadata.is_some());
        metadata
    });
    let snapshot = stored.snapshot.as_ref().and_then(|snapshot| {
        let snapshot = decode(&snapshot.bytes).ok();
        require(snapshot.is_some());
        snapshot
    });
    let entries: Vec<_> = stored.entries.iter().map_while(|entry| decode(&entry.bytes).ok()).collect();
    require(entries.len() == stored.entries.len());
    let is_blank = snapshot.is_none() && entries.is_empty();
    require(metadata.is_some() || is_blank);
    let hard_state = metadata.map(|metadata| metadata.hard_state);
    let notes = stored.notes.iter().map(|note| format!("{note:?}")).collect();
    OpenedStore { metadata, recovered: RecoveredState { hard_state, snapshot, entries }, damaged, notes }
}

/// Translates the replica's records into operations of the store.
#[derive(Debug, Clone)]
pub struct RecordTranslator {
    id: ReplicaId,
    hard_state: HardState,
    /// Index of the last entry that a snapshot has replaced; 0 for none.
    released_index: u64,
    /// Index of the last entry; 0 for none.
    last_index: u64,
    /// Whether the identity, term and vote are in the store.
    has_metadata: bool,
}

impl RecordTranslator {
    /// For a store of `id` whose last entry is `last_index`, without a snapshot. If `has_metadata` is false,
    /// the first operations write the identity, term and vote.
    pub fn new(id: ReplicaId, hard_state: HardState, last_index: u64, has_metadata: bool) -> Self {
        Self { id, hard_state, released_index: 0, last_index, has_metadata }
    }

    /// For a store with these contents.
    pub fn for_store(metadata: StoreMetadata, recovered: &RecoveredState) -> Self {
        let released_index = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let last_index =
            recovered.entries.last().map_or(released_index, |entry| entry.index.max(released_index));
        Self {
            id: metadata.id,
            hard_state: metadata.hard_state,
            released_index,
            last_index,
            has_metadata: true,
        }
    }

    /// Appends the operations for these records.
    pub fn translate(&mut self, records: Vec<Record>, operations: &mut Vec<Operation>) {
        if !self.has_metadata {
            self.has_metadata = true;
            operations.push(self.metadata_operation());
        }
        for record in records {
            self.translate_record(record, operations);
        }
    }

    fn translate_record(&mut self, record: Record, operations: &mut Vec<Operation>) {
        match record {
            Record::HardState(hard_state) => {
                self.hard_state = hard_state;
                operations.push(self.metadata_operation());
            }
            Record::Append(entry) => {
                if entry.index <= self.last_index {
                    operations.push(Operation::Truncate { from: entry.index });
                }
                self.last_index = entry.index;
                operations.push(Operation::Append { index: entry.index, bytes: encode(&entry) });
            }
            Record::Truncate { from } => {
                // Released entries are committed and stay; a replica without entries truncates from index 0.
                let from = from.max(self.released_index + 1);
                if from <= self.last_index {
                    operations.push(Operation::Truncate { from });
                    self.last_index = from - 1;
                }
            }
            Record::Snapshot(snapshot) => {
                let index = snapshot.index;
                operations.push(Operation::Snapshot { index, bytes: encode(&snapshot) });
                if index > 0 {
                    operations.push(Operation::Release { through: index });
                }
                self.released_index = self.released_index.max(index);
                self.last_index = self.last_index.max(index);
            }
        }
    }

    fn metadata_operation(&self) -> Operation {
        Operation::Metadata(encode(&StoreMetadata { id: self.id, hard_state: self.hard_state }))
    }
}

/// The worker of the disk thread: the store and the identity that writes to it.
#[derive(Debug)]
pub struct DiskWorker<D> {
    store: LogStore<D>,
    events: UnboundedSender<DiskEvent>,
    /// Generation of the identity that owns the store.
    generation: u64,
    /// `None` until the store is assigned to an identity.
    translator: Option<RecordTranslator>,
    gate: WriteFence,
    /// Error of the last operation; `None` if it succeeded.
    last_error: Option<String>,
}

/// What the disk thread does after a command.
#[derive(Debug)]
pub enum NextStep {
    /// Wait for a command.
    Idle,
    /// Carry out this command, which has already been received.
    Next(DiskCommand),
    /// Carry out the same command again after a pause and before any other: the disk has refused it.
    Retry(DiskCommand),
}

/// A write: its sequence number and records.
type PendingWrite = (u64, Vec<Record>);

impl<D: Disk> DiskWorker<D> {
    /// A worker on an open store. Writes are refused until a command has assigned the store to an identity.
    pub fn new(store: LogStore<D>, events: UnboundedSender<DiskEvent>) -> Self {
        Self { store, events, generation: 0, translator: None, gate: WriteFence::default(), last_error: None }
    }

    /// Carries out commands until the sender is dropped.
    pub fn run(mut self, commands: &Receiver<DiskCommand>) {
        let mut next = None;
        while let Some(command) = next.take().or_else(|| commands.recv().ok()) {
            next = match self.carry_out(command, commands) {
                NextStep::Idle => None,
                NextStep::Next(command) => Some(command),
                NextStep::Retry(command) => {
                    std::thread::sleep(RETRY_INTERVAL);
                    Some(command)
                }
            };
        }
    }

    /// Carries out one command; a write together with the writes that are queued behind it.
    pub fn carry_out(&mut self, command: DiskCommand, commands: &Receiver<DiskCommand>) -> NextStep {
        match command {
            DiskCommand::Adopt { generation, translator } => self.adopt(generation, translator),
            DiskCommand::Wipe { generation, id } => return self.wipe(generation, id),
            DiskCommand::Write { generation, sequence, records } => {
                let mut group = vec![(sequence, records)];
                let next = collect_queued_writes(generation, &mut group, commands);
                self.write(generation, group);
                return next.map_or(NextStep::Idle, NextStep::Next);
            }
        }
        NextStep::Idle
    }

    fn adopt(&mut self, generation: u64, translator: RecordTranslator) {
        self.generation = generation;
        self.translator = Some(translator);
        self.gate = WriteFence::default();
    }

    /// Erases the store for a new identity. The old identity must not come back, so the command is retried
    /// before any other until the disk allows it.
    fn wipe(&mut self, generation: u64, id: ReplicaId) -> NextStep {
        if let Err(error) = self.store.wipe() {
            self.report_health(Some(&error));
            return NextStep::Retry(DiskCommand::Wipe { generation, id });
        }
        self.adopt(generation, RecordTranslator::new(id, HardState::default(), 0, false));
        NextStep::Idle
    }

    fn write(&mut self, generation: u64, group: Vec<PendingWrite>) {
        let accepted: Vec<PendingWrite> =
            group.into_iter().filter(|(sequence, _)| self.accepts(generation, *sequence)).collect();
        let Some(translator) = &mut self.translator else { return };
        let before = translator.clone();
        let mut operations = Vec::new();
        let mut sequences = Vec::with_capacity(accepted.len());
        for (sequence, records) in accepted {
            sequences.push(sequence);
            translator.translate(records, &mut operations);
        }
        let Some(last) = sequences.last().copied() else { return };
        match self.store.apply(&operations) {
            Ok(()) => {
                self.report_health(None);
                let used_bytes = self.store.used_bytes();
                self.send_event(DiskEvent::Written { generation, sequence: last, used_bytes });
            }
            Err(error) => {
                *translator = before;
                self.gate.record_failure(last);
                self.report_health(Some(&error));
                for sequence in sequences {
                    self.send_event(DiskEvent::WriteFailed { generation, sequence });
                }
            }
        }
    }

    /// Whether a write may be carried out; one that may not is reported as failed.
    fn accepts(&mut self, generation: u64, sequence: u64) -> bool {
        let accepted = generation == self.generation && self.gate.accepts(sequence);
        if !accepted {
            self.send_event(DiskEvent::WriteFailed { generation, sequence });
        }
        accepted
    }

    /// Records the result of an operation and reports it when the disk begins to fail or works again.
    fn report_health(&mut self, error: Option<&StorageError>) {
        let reason = error.map(ToString::to_string);
        let changed = reason.is_some() != self.last_error.is_some();
        self.last_error.clone_from(&reason);
        if changed {
            self.send_event(DiskEvent::HealthChanged(
                reason.unwrap_or_else(|| "the disk accepts writes again".to_owned()),
            ));
        }
    }

    fn send_event(&self, event: DiskEvent) {
        // Without a receiver, the program is about to end.
        let _ = self.events.send(event);
    }
}

/// Adds the queued writes to a group, so that one sync serves all of them. Returns a command that ends the
/// group because it is not such a write.
fn collect_queued_writes(
    generation: u64,
    group: &mut Vec<PendingWrite>,
    commands: &Receiver<DiskCommand>,
) -> Option<DiskCommand> {
    let mut bytes = group.iter().map(|(_, records)| records_size(records)).sum::<usize>();
    while bytes < MAX_GROUP_BYTES {
        match commands.try_recv().ok()? {
            DiskCommand::Write { generation: same, sequence, records } if same == generation => {
                bytes += records_size(&records);
                group.push((sequence, records));
            }
            other => return Some(other),
        }
    }
    None
}

fn records_size(records: &[Record]) -> usize {
    let size = |record: &Record| match record {
        Record::Append(entry) => entry.approximate_bytes(),
        Record::Snapshot(snapshot) => snapshot.state.len(),
        Record::HardState(_) | Record::Truncate { .. } => 0,
    };
    records.iter().map(size).sum()
}
