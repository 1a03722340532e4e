//! Inspects the data folder of a control machine without changing it.
//!
//! The process of the machine should be stopped: in a folder in use, the last frame may appear truncated.

use std::path::Path;

use bytes::Bytes;
use dunelink_control::identity::StoreMetadata;
use dunelink_control::state::{Command, ConfigurationState};
use dunelink_replication::{Entry, Membership, Payload, Snapshot, decode};
use dunelink_storage::{FileReport, Inspection, ReadOnlyFolder, RecoveryNote, inspect};

use crate::error::OperatorError;

/// The contents of a data folder.
#[derive(Debug, Clone)]
pub struct DataFolder {
    /// Identity, term and vote; `None` on an empty disk, or if they cannot be decoded.
    pub identity: Option<StoreMetadata>,
    /// The log entries, by ascending index.
    pub entries: Vec<LogEntrySummary>,
    /// The snapshot in use; `None` if there is none, or if it cannot be decoded.
    pub snapshot: Option<SnapshotSummary>,
    /// The log segments and snapshot files.
    pub files: Vec<FileReport>,
    /// Descriptions of all damage, each with its place; empty if all checksums are valid and all contents can
    /// be decoded.
    pub damage: Vec<String>,
    /// Descriptions of what the next start repairs without data loss.
    pub notes: Vec<String>,
}

/// A log entry, summarized for display.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntrySummary {
    /// Index in the log.
    pub index: u64,
    /// Term of the leader that appended it; `None` if the entry cannot be decoded.
    pub term: Option<u64>,
    /// Kind and contents, as text.
    pub kind: String,
    /// Size on disk in bytes.
    pub bytes: u64,
}

/// The snapshot in use, summarized for display.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotSummary {
    /// Index of the last entry that it covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Control addresses of voters and learners; learners are marked.
    pub members: Vec<String>,
    /// Version of the configuration in it; 0 if there is none.
    pub version: u64,
    /// Size of that configuration in bytes.
    pub configuration_bytes: u64,
    /// Size on disk in bytes.
    pub bytes: u64,
}

/// Reads a data folder without changing it.
///
/// # Errors
///
/// The folder cannot be read, or was written by another version of the program.
pub fn read(path: &Path) -> Result<DataFolder, OperatorError> {
    inspect_folder(path).map(DataFolder::from_inspection)
}

/// The newest configuration in the log and snapshot of a data folder, and whether the folder is damaged. The
/// configuration may never have been acknowledged: one replica alone cannot tell which entries are committed.
///
/// # Errors
///
/// The folder cannot be read, or contains no configuration.
pub fn newest_configuration(path: &Path) -> Result<(Bytes, bool), OperatorError> {
    let Inspection { recovered, .. } = inspect_folder(path)?;
    let snapshot = recovered.snapshot.as_ref().and_then(|stored| decode::<Snapshot>(&stored.bytes).ok());
    let snapshot_index = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
    let restored = snapshot.and_then(|snapshot| ConfigurationState::restore(&snapshot.state).ok());
    let mut state = restored.unwrap_or_default();
    let later_entries = recovered.entries.iter().filter(|stored| stored.index > snapshot_index);
    for entry in later_entries.filter_map(|stored| decode::<Entry>(&stored.bytes).ok()) {
        if let Payload::Command(command) = entry.payload {
            // Control machines also ignore a command that they cannot decode.
            let _ = state.apply(&command);
        }
    }
    match state.version() {
        0 => Err(OperatorError::EmptyFolder { path: path.to_owned() }),
        _ => Ok((state.body().clone(), recovered.damaged)),
    }
}

fn inspect_folder(path: &Path) -> Result<Inspection, OperatorError> {
    let mut folder = ReadOnlyFolder::new(path).map_err(OperatorError::file(path))?;
    inspect(&mut folder).map_err(|source| OperatorError::Storage { path: path.to_owned(), source })
}

impl DataFolder {
    fn from_inspection(inspection: Inspection) -> Self {
        let Inspection { recovered, files } = inspection;
        let mut damage = Vec::new();
        let mut notes = Vec::new();
        for note in &recovered.notes {
            let (is_damage, text) = describe_note(note);
            if is_damage { damage.push(text) } else { notes.push(text) }
        }
        if recovered.damaged && damage.is_empty() {
            damage.push("an earlier start found damage, and the disk has not been emptied since".to_owned());
        }
        let identity = recovered.metadata.as_deref().map(decode::<StoreMetadata>);
        if matches!(identity, Some(Err(_))) {
            damage.push("identity, term and vote cannot be decoded".to_owned());
        }
        let snapshot = recovered.snapshot.as_ref().map(|stored| summarize_snapshot(&stored.bytes));
        if let Some(Err(reason)) = &snapshot {
            damage.push(format!("the snapshot cannot be decoded: {reason}"));
        }
        let entries: Vec<LogEntrySummary> =
            recovered.entries.iter().map(|stored| summarize_entry(stored.index, &stored.bytes)).collect();
        let undecodable = entries.iter().filter(|entry| entry.term.is_none());
        damage.extend(undecodable.map(|entry| format!("entry {} cannot be decoded", entry.index)));
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

/// Whether a note reports damage, and its text.
fn describe_note(note: &RecoveryNote) -> (bool, String) {
    match note {
        RecoveryNote::TornTail { file, kept, dropped } => {
            let text = format!(
                "{file}: the last write was truncated; {kept} bytes are kept, {dropped} are discarded"
            );
            (false, text)
        }
        RecoveryNote::Leftover { file } => (false, format!("{file}: not needed, removed at the next start")),
        RecoveryNote::DamagedSegment { file, offset } => {
            (true, format!("{file}: damaged from byte {offset} on; the entries from there on are lost"))
        }
        RecoveryNote::MissingFile { file } => (true, format!("{file}: missing")),
        RecoveryNote::DamagedSnapshot { file } => (true, format!("{file}: the snapshot is damaged")),
    }
}

fn summarize_entry(index: u64, bytes: &[u8]) -> LogEntrySummary {
    let size = bytes.len() as u64;
    match decode::<Entry>(bytes) {
        Ok(entry) => LogEntrySummary {
            index,
            term: Some(entry.term),
            kind: describe_payload(&entry.payload),
            bytes: size,
        },
        Err(_) => LogEntrySummary { index, term: None, kind: "unreadable".to_owned(), bytes: size },
    }
}

fn describe_payload(payload: &Payload) -> String {
    match payload {
        Payload::Noop => "no-op of a new leader".to_owned(),
        Payload::Membership(membership) => format!("members {}", member_addresses(membership).join(", ")),
        Payload::Command(bytes) => match decode::<Command>(bytes) {
            Ok(Command::Replace { base, version, body, .. }) => {
                format!("configuration {version} based on {base}, {} bytes", body.len())
            }
            Err(_) => "command in an unknown format".to_owned(),
        },
    }
}

fn summarize_snapshot(bytes: &[u8]) -> Result<SnapshotSummary, String> {
    let snapshot: Snapshot = decode(bytes).map_err(|error| error.to_string())?;
    let state = ConfigurationState::restore(&snapshot.state).map_err(|error| error.to_string())?;
    Ok(SnapshotSummary {
        index: snapshot.index,
        term: snapshot.term,
        members: member_addresses(&snapshot.membership),
        version: state.version(),
        configuration_bytes: state.body().len() as u64,
        bytes: bytes.len() as u64,
    })
}

fn member_addresses(membership: &Membership) -> Vec<String> {
    let text = |member: &dunelink_replication::Member| {
        let suffix = if membership.is_voter(member.id) { "" } else { " (learner)" };
        format!("{}{suffix}", member.control_address)
    };
    membership.all_members().map(text).collect()
}
