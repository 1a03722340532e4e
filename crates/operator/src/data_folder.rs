//! A look at the data folder of a control machine, without changing it.
//!
//! The process of the machine should not be running: of a folder in use, the last frame may look cut short.

use std::path::Path;

use bytes::Bytes;
use dunelink_control::identity::StoreMetadata;
use dunelink_control::state::{Command, ConfigurationState};
use dunelink_replication::{Entry, Membership, Payload, Snapshot, decode};
use dunelink_storage::{FileReport, Inspection, ReadOnlyFolder, RecoveryNote, inspect};

use crate::error::OperatorError;

/// What a data folder holds.
#[derive(Debug, Clone)]
pub struct DataFolder {
    /// Identity, term and vote; none on an empty disk, or if they can't be read.
    pub identity: Option<StoreMetadata>,
    /// The entries of the log, in their order.
    pub entries: Vec<LogEntrySummary>,
    /// The snapshot in use.
    pub snapshot: Option<SnapshotSummary>,
    /// The files.
    pub files: Vec<FileReport>,
    /// What is damaged, each with its place; empty if all checksums are right and all contents can be read.
    pub damage: Vec<String>,
    /// What an opening would put right without a loss.
    pub notes: Vec<String>,
}

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntrySummary {
    /// Its index.
    pub index: u64,
    /// Term of the leader that made it; none if its contents can't be read.
    pub term: Option<u64>,
    /// What it is, and what it says.
    pub kind: String,
    /// Its length on the disk in bytes.
    pub bytes: u64,
}

/// The snapshot in use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotSummary {
    /// Last entry that it contains.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Voters and learners, by control address.
    pub members: Vec<String>,
    /// Version of the configuration in it; 0 for none.
    pub version: u64,
    /// Length of that configuration in bytes.
    pub configuration_bytes: u64,
    /// Its length on the disk in bytes.
    pub bytes: u64,
}

/// Reads a data folder; nothing in it is changed.
///
/// # Errors
///
/// It can't be read, or was written by another version of the program.
pub fn read(path: &Path) -> Result<DataFolder, OperatorError> {
    look(path).map(DataFolder::of)
}

/// The newest configuration in a data folder, as its log and snapshot have it, and whether the folder is damaged. It
/// may hold one that was never acknowledged: what is committed is known to a majority only.
///
/// # Errors
///
/// The folder can't be read, or holds no configuration.
pub fn newest_configuration(path: &Path) -> Result<(Bytes, bool), OperatorError> {
    let Inspection { recovered, .. } = look(path)?;
    let snapshot = recovered.snapshot.as_ref().and_then(|stored| decode::<Snapshot>(&stored.bytes).ok());
    let covered = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
    let restored = snapshot.and_then(|snapshot| ConfigurationState::restore(&snapshot.state).ok());
    let mut state = restored.unwrap_or_default();
    let later = recovered.entries.iter().filter(|stored| stored.index > covered);
    for entry in later.filter_map(|stored| decode::<Entry>(&stored.bytes).ok()) {
        if let Payload::Command(command) = entry.payload {
            // A command that can't be read changes nothing at a control machine either.
            let _ = state.apply(&command);
        }
    }
    match state.version() {
        0 => Err(OperatorError::EmptyFolder { path: path.to_owned() }),
        _ => Ok((state.body().clone(), recovered.damaged)),
    }
}

fn look(path: &Path) -> Result<Inspection, OperatorError> {
    let mut folder = ReadOnlyFolder::new(path).map_err(OperatorError::file(path))?;
    inspect(&mut folder).map_err(|source| OperatorError::Storage { path: path.to_owned(), source })
}

impl DataFolder {
    fn of(found: Inspection) -> Self {
        let Inspection { recovered, files } = found;
        let mut damage = Vec::new();
        let mut notes = Vec::new();
        for note in &recovered.notes {
            let (is_damage, text) = describe(note);
            if is_damage { damage.push(text) } else { notes.push(text) }
        }
        if recovered.damaged && damage.is_empty() {
            damage.push("an earlier opening found damage, and the disk was not emptied since".to_owned());
        }
        let identity = recovered.metadata.as_deref().map(decode::<StoreMetadata>);
        if matches!(identity, Some(Err(_))) {
            damage.push("identity, term and vote can't be read".to_owned());
        }
        let snapshot = recovered.snapshot.as_ref().map(|stored| snapshot_line(&stored.bytes));
        if let Some(Err(reason)) = &snapshot {
            damage.push(format!("the snapshot's contents can't be read: {reason}"));
        }
        let entries: Vec<LogEntrySummary> =
            recovered.entries.iter().map(|stored| entry_line(stored.index, &stored.bytes)).collect();
        let unreadable = entries.iter().filter(|entry| entry.term.is_none());
        damage.extend(unreadable.map(|entry| format!("entry {}: its contents can't be read", entry.index)));
        Self {
            identity: identity.and_then(Result::ok),
            entries,
            snapshot: snapshot.and_then(Result::ok),
            files,
            damage,
            notes,
        }
    }
}

/// Whether a note tells of damage, and its text.
fn describe(note: &RecoveryNote) -> (bool, String) {
    match note {
        RecoveryNote::TornTail { file, kept, dropped } => {
            let text = format!("{file}: the last write was cut short; {kept} bytes count, {dropped} do not");
            (false, text)
        }
        RecoveryNote::Leftover { file } => (false, format!("{file}: not needed, removed at the next start")),
        RecoveryNote::DamagedSegment { file, offset } => {
            (true, format!("{file}: damaged from byte {offset} on; entries from there on are lost"))
        }
        RecoveryNote::MissingFile { file } => (true, format!("{file}: missing")),
        RecoveryNote::DamagedSnapshot { file } => (true, format!("{file}: the snapshot is damaged")),
    }
}

fn entry_line(index: u64, bytes: &[u8]) -> LogEntrySummary {
    let size = bytes.len() as u64;
    match decode::<Entry>(bytes) {
        Ok(entry) => {
            LogEntrySummary { index, term: Some(entry.term), kind: kind(&entry.payload), bytes: size }
        }
        Err(_) => LogEntrySummary { index, term: None, kind: "unreadable".to_owned(), bytes: size },
    }
}

fn kind(payload: &Payload) -> String {
    match payload {
        Payload::Noop => "first entry of a leader".to_owned(),
        Payload::Membership(membership) => format!("members {}", addresses(membership).join(", ")),
        Payload::Command(bytes) => match decode::<Command>(bytes) {
            Ok(Command::Replace { base, version, body, .. }) => {
                format!("configuration {version} on {base}, {} bytes", body.len())
            }
            Err(_) => "command of another release".to_owned(),
        },
    }
}

fn snapshot_line(bytes: &[u8]) -> Result<SnapshotSummary, String> {
    let snapshot: Snapshot = decode(bytes).map_err(|error| error.to_string())?;
    let state = ConfigurationState::restore(&snapshot.state).map_err(|error| error.to_string())?;
    Ok(SnapshotSummary {
        index: snapshot.index,
        term: snapshot.term,
        members: addresses(&snapshot.membership),
        version: state.version(),
        configuration_bytes: state.body().len() as u64,
        bytes: bytes.len() as u64,
    })
}

fn addresses(membership: &Membership) -> Vec<String> {
    let text = |member: &dunelink_replication::Member| {
        let learner = if membership.is_voter(member.id) { "" } else { " (learner)" };
        format!("{}{learner}", member.control_address)
    };
    membership.all_members().map(text).collect()
}
