//! The disk thread: owns the store, makes the replica's writes durable.

use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use dunelink_replication::{HardState, Record, RecoveredState, ReplicaId, WriteFence, decode, encode};
use dunelink_storage::{Disk, FolderDisk, Limits, LogStore, Operation, StorageError};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::identity::StoreMetadata;

/// Pause before the store is opened or wiped again after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Entries of a group of writes are made durable together up to this many bytes.
const GROUP_BYTES: usize = 8 * 1024 * 1024;

/// What the disk thread is asked to do.
#[derive(Debug, Clone)]
pub enum DiskCommand {
    /// Make records durable for the replica of a generation.
    Write {
        /// Number of the identity that the records belong to.
        generation: u64,
        /// Number of the write.
        sequence: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// The store's contents belong to the replica that begins now.
    Adopt {
        /// Number of the identity.
        generation: u64,
        /// Where its store stands.
        translator: RecordTranslator,
    },
    /// Forget everything; from now on the store belongs to this identity.
    Wipe {
        /// Number of the new identity.
        generation: u64,
        /// The new identity.
        id: ReplicaId,
    },
}

/// What the disk thread tells.
#[derive(Debug)]
pub enum DiskEvent {
    /// The store is open; sent once, first.
    Opened(OpenedStore),
    /// A write is durable.
    Written {
        /// Number of the identity that wrote.
        generation: u64,
        /// Number of the write.
        sequence: u64,
        /// Bytes of all files.
        used_bytes: u64,
    },
    /// A write failed.
    WriteFailed {
        /// Number of the identity that wrote.
        generation: u64,
        /// Number of the write.
        sequence: u64,
    },
    /// The disk refuses; told when the reason changes.
    HealthChanged(String),
}

/// What the store held.
#[derive(Debug)]
pub struct OpenedStore {
    /// Identity of the store's contents; none on an empty disk.
    pub metadata: Option<StoreMetadata>,
    /// What the replica goes on from.
    pub recovered: RecoveredState,
    /// Something durable is lost: the contents are of no use any more.
    pub damaged: bool,
    /// What was put right at opening.
    pub notes: Vec<String>,
}

/// Starts the disk thread on a folder.
///
/// # Errors
///
/// The thread can't be started.
pub fn start(
    folder: &Path,
    limits: Limits,
) -> std::io::Result<(Sender<DiskCommand>, UnboundedReceiver<DiskEvent>)> {
    let (orders, inbox) = channel();
    let (events, outbox) = unbounded_channel();
    let folder = folder.to_owned();
    std::thread::Builder::new().name("disk".to_owned()).spawn(move || {
        let Some((store, opened)) = open(&folder, limits, &events) else { return };
        if events.send(DiskEvent::Opened(opened)).is_ok() {
            DiskWorker::new(store, events).run(&inbox);
        }
    })?;
    Ok((orders, outbox))
}

/// Opens the store; tries until it succeeds, since a disk in trouble refuses that too. Nothing if the program ends.
fn open(
    folder: &Path,
    limits: Limits,
    events: &UnboundedSender<DiskEvent>,
) -> Option<(LogStore<FolderDisk>, OpenedStore)> {
    let mut told = String::new();
    loop {
        let disk = FolderDisk::new(folder);
        let opened = match disk {
            Ok(disk) => LogStore::open(disk, limits).map_err(|error| error.to_string()),
            Err(error) => Err(format!("{}: {error}; check `dataDir`", folder.display())),
        };
        match opened {
            Ok((store, recovered)) => return Some((store, decode_recovered(recovered))),
            Err(reason) if reason == told => {}
            Err(reason) => {
                told.clone_from(&reason);
                events.send(DiskEvent::HealthChanged(reason)).ok()?;
            }
        }
        std::thread::sleep(RETRY_PAUSE);
    }
}

/// Decodes what the store held. Contents that don't decode count as damaged.
pub fn decode_recovered(stored: dunelink_storage::RecoveredState) -> OpenedStore {
    let mut damaged = stored.damaged;
    let mut keep = |readable: bool| damaged |= !readable;
    let identity: Option<StoreMetadata> = stored.metadata.as_deref().and_then(|bytes| {
        let identity = decode(bytes).ok();
        keep(identity.is_some());
        identity
    });
    let snapshot = stored.snapshot.as_ref().and_then(|snapshot| {
        let snapshot = decode(&snapshot.bytes).ok();
        keep(snapshot.is_some());
        snapshot
    });
    let entries: Vec<_> = stored.entries.iter().map_while(|entry| decode(&entry.bytes).ok()).collect();
    keep(entries.len() == stored.entries.len());
    let nothing = snapshot.is_none() && entries.is_empty();
    keep(identity.is_some() || nothing);
    let hard_state = identity.map(|identity| identity.hard_state);
    let notes = stored.notes.iter().map(|note| format!("{note:?}")).collect();
    OpenedStore {
        metadata: identity,
        recovered: RecoveredState { hard_state, snapshot, entries },
        damaged,
        notes,
    }
}

/// Turns the replica's records into operations of the store.
#[derive(Debug, Clone)]
pub struct RecordTranslator {
    id: ReplicaId,
    hard_state: HardState,
    /// Last entry that was released.
    released: u64,
    /// Last entry.
    last: u64,
    /// Whether the identity is on the disk.
    named: bool,
}

impl RecordTranslator {
    /// For a store that belongs to `id`, whose last entry is `last`, with none released. The first operations put
    /// the identity on the disk if `named` is false.
    pub fn new(id: ReplicaId, hard_state: HardState, last: u64, named: bool) -> Self {
        Self { id, hard_state, released: 0, last, named }
    }

    /// For a store with these contents.
    pub fn for_store(metadata: StoreMetadata, recovered: &RecoveredState) -> Self {
        let released = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let last = recovered.entries.last().map_or(released, |entry| entry.index.max(released));
        Self { id: metadata.id, hard_state: metadata.hard_state, released, last, named: true }
    }

    /// Appends the operations for some records.
    pub fn translate(&mut self, records: Vec<Record>, operations: &mut Vec<Operation>) {
        if !self.named {
            self.named = true;
            operations.push(self.metadata());
        }
        for record in records {
            self.record(record, operations);
        }
    }

    fn record(&mut self, record: Record, operations: &mut Vec<Operation>) {
        match record {
            Record::HardState(hard_state) => {
                self.hard_state = hard_state;
                operations.push(self.metadata());
            }
            Record::Append(entry) => {
                if entry.index <= self.last {
                    operations.push(Operation::Truncate { from: entry.index });
                }
                self.last = entry.index;
                operations.push(Operation::Append { index: entry.index, bytes: encode(&entry) });
            }
            Record::Truncate { from } => {
                // What was released is committed and stays; a replica without entries truncates from 0.
                let from = from.max(self.released + 1);
                if from <= self.last {
                    operations.push(Operation::Truncate { from });
                    self.last = from - 1;
                }
            }
            Record::Snapshot(snapshot) => {
                let index = snapshot.index;
                operations.push(Operation::Snapshot { index, bytes: encode(&snapshot) });
                if index > 0 {
                    operations.push(Operation::Release { through: index });
                }
                self.released = self.released.max(index);
                self.last = self.last.max(index);
            }
        }
    }

    fn metadata(&self) -> Operation {
        Operation::Metadata(encode(&StoreMetadata { id: self.id, hard_state: self.hard_state }))
    }
}

/// The store and what is written to it.
#[derive(Debug)]
pub struct DiskWorker<D> {
    store: LogStore<D>,
    events: UnboundedSender<DiskEvent>,
    generation: u64,
    translator: Option<RecordTranslator>,
    gate: WriteFence,
    trouble: Option<String>,
}

/// What follows an order.
#[derive(Debug)]
pub enum NextStep {
    /// Whatever is ordered next.
    Idle,
    /// This order, which was taken from the inbox already.
    Next(DiskCommand),
    /// The same order again after a pause, before any other: the disk refused it.
    Retry(DiskCommand),
}

/// A write that waits: its sequence and records.
type Waiting = (u64, Vec<Record>);

impl<D: Disk> DiskWorker<D> {
    /// Works on an open store. Writes fail until an order has said whose the store is.
    pub fn new(store: LogStore<D>, events: UnboundedSender<DiskEvent>) -> Self {
        Self { store, events, generation: 0, translator: None, gate: WriteFence::default(), trouble: None }
    }

    /// Carries out orders until the sender is gone.
    pub fn run(mut self, inbox: &Receiver<DiskCommand>) {
        let mut next = None;
        while let Some(order) = next.take().or_else(|| inbox.recv().ok()) {
            next = match self.carry_out(order, inbox) {
                NextStep::Idle => None,
                NextStep::Next(order) => Some(order),
                NextStep::Retry(order) => {
                    std::thread::sleep(RETRY_PAUSE);
                    Some(order)
                }
            };
        }
    }

    /// Carries out one order, and the writes that wait behind it if it is a write.
    pub fn carry_out(&mut self, order: DiskCommand, inbox: &Receiver<DiskCommand>) -> NextStep {
        match order {
            DiskCommand::Adopt { generation, translator } => self.begin(generation, translator),
            DiskCommand::Wipe { generation, id } => return self.wipe(generation, id),
            DiskCommand::Write { generation, sequence, records } => {
                let mut group = vec![(sequence, records)];
                let next = gather(generation, &mut group, inbox);
                self.write(generation, group);
                return next.map_or(NextStep::Idle, NextStep::Next);
            }
        }
        NextStep::Idle
    }

    fn begin(&mut self, generation: u64, translator: RecordTranslator) {
        self.generation = generation;
        self.translator = Some(translator);
        self.gate = WriteFence::default();
    }

    /// An identity that was given up must not come back: the order stays the next one until the disk allows it.
    fn wipe(&mut self, generation: u64, id: ReplicaId) -> NextStep {
        if let Err(error) = self.store.wipe() {
            self.note(Some(&error));
            return NextStep::Retry(DiskCommand::Wipe { generation, id });
        }
        self.begin(generation, RecordTranslator::new(id, HardState::default(), 0, false));
        NextStep::Idle
    }

    fn write(&mut self, generation: u64, group: Vec<Waiting>) {
        let accepted: Vec<Waiting> =
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
                self.note(None);
                let used_bytes = self.store.used_bytes();
                self.tell(DiskEvent::Written { generation, sequence: last, used_bytes });
            }
            Err(error) => {
                *translator = before;
                self.gate.record_failure(last);
                self.note(Some(&error));
                for sequence in sequences {
                    self.tell(DiskEvent::WriteFailed { generation, sequence });
                }
            }
        }
    }

    /// Whether a write may be carried out; one that may not is answered here.
    fn accepts(&mut self, generation: u64, sequence: u64) -> bool {
        let accepted = generation == self.generation && self.gate.accepts(sequence);
        if !accepted {
            self.tell(DiskEvent::WriteFailed { generation, sequence });
        }
        accepted
    }

    /// Tells of trouble when its kind changes.
    fn note(&mut self, error: Option<&StorageError>) {
        let reason = error.map(ToString::to_string);
        let changed = reason.is_some() != self.trouble.is_some();
        self.trouble.clone_from(&reason);
        if changed {
            self.tell(DiskEvent::HealthChanged(
                reason.unwrap_or_else(|| "the disk takes writes again".to_owned()),
            ));
        }
    }

    fn tell(&self, event: DiskEvent) {
        // Without a receiver the program is about to end.
        let _ = self.events.send(event);
    }
}

/// Adds the writes that wait already, so that one sync serves all of them. Gives back an order that is not one of
/// them.
fn gather(generation: u64, group: &mut Vec<Waiting>, inbox: &Receiver<DiskCommand>) -> Option<DiskCommand> {
    let mut bytes = group.iter().map(|(_, records)| size_of_records(records)).sum::<usize>();
    while bytes < GROUP_BYTES {
        match inbox.try_recv().ok()? {
            DiskCommand::Write { generation: same, sequence, records } if same == generation => {
                bytes += size_of_records(&records);
                group.push((sequence, records));
            }
            other => return Some(other),
        }
    }
    None
}

fn size_of_records(records: &[Record]) -> usize {
    let size = |record: &Record| match record {
        Record::Append(entry) => entry.approximate_bytes(),
        Record::Snapshot(snapshot) => snapshot.state.len(),
        Record::HardState(_) | Record::Truncate { .. } => 0,
    };
    records.iter().map(size).sum()
}
