//! Records that a replica stores on disk.

use minicbor::{Decode, Encode};

use crate::Membership;
use crate::members::ReplicaId;

/// Current term and vote. The record written last is the valid one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct HardState {
    /// Highest term seen.
    #[n(0)]
    pub term: u64,
    /// Candidate that received this replica's vote in `term`; `None` if it has not voted.
    #[n(1)]
    pub voted_for: Option<ReplicaId>,
}

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Payload {
    /// No operation. A new leader appends it as the first entry of its term.
    #[n(0)]
    Noop,
    /// Command of the host, opaque to this crate.
    #[n(1)]
    Command(
        #[n(0)]
        #[cbor(with = "minicbor::bytes")]
        Vec<u8>,
    ),
    /// Membership that takes effect when this entry is appended.
    #[n(2)]
    Membership(#[n(0)] Membership),
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Entry {
    /// Index in the log, starting at 1.
    #[n(0)]
    pub index: u64,
    /// Term of the leader that created the entry.
    #[n(1)]
    pub term: u64,
    /// Content of the entry.
    #[n(2)]
    pub payload: Payload,
}

impl Entry {
    /// Approximate size of the entry in bytes, in memory and on the wire.
    pub fn approximate_bytes(&self) -> usize {
        const ENTRY_OVERHEAD_BYTES: usize = 32;
        const MEMBER_BYTES: usize = 96;
        let payload = match &self.payload {
            Payload::Noop => 0,
            Payload::Command(bytes) => bytes.len(),
            Payload::Membership(membership) => membership.all_members().count() * MEMBER_BYTES,
        };
        ENTRY_OVERHEAD_BYTES + payload
    }
}

/// State of the host and membership as of a log index.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Snapshot {
    /// Index of the last entry contained in the state; 0 for the initial membership.
    #[n(0)]
    pub index: u64,
    /// Term of the entry at `index`.
    #[n(1)]
    pub term: u64,
    /// Membership in force at `index`.
    #[n(2)]
    pub membership: Membership,
    /// State of the host, opaque to this crate.
    #[n(3)]
    #[cbor(with = "minicbor::bytes")]
    pub state: Vec<u8>,
}

/// A change of the stored state.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Record {
    /// Replaces the term and the vote.
    #[n(0)]
    HardState(#[n(0)] HardState),
    /// Appends an entry after the last one. If its index is already stored, it replaces that entry and all
    /// later ones.
    #[n(1)]
    Append(#[n(0)] Entry),
    /// Removes all entries at and after an index.
    #[n(2)]
    Truncate {
        /// First index to remove, at least 1.
        #[n(0)]
        from: u64,
    },
    /// Replaces the snapshot. Entries up to its index are no longer needed; later entries remain.
    #[n(3)]
    Snapshot(#[n(0)] Snapshot),
}

/// State read from the disk at startup; empty if the disk is empty.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// Latest term and vote.
    pub hard_state: Option<HardState>,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries in index order. Entries that the snapshot covers are ignored.
    pub entries: Vec<Entry>,
}

impl RecoveredState {
    /// Whether the disk was empty.
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none() && self.snapshot.is_none() && self.entries.is_empty()
    }

    /// Applies one stored record. Records are replayed in the order in which they were written.
    pub fn replay(&mut self, record: Record) {
        match record {
            Record::HardState(state) => self.hard_state = Some(state),
            Record::Append(entry) => {
                self.entries.retain(|kept| kept.index < entry.index);
                self.entries.push(entry);
            }
            Record::Truncate { from } => self.entries.retain(|kept| kept.index < from),
            Record::Snapshot(snapshot) => {
                self.entries.retain(|kept| kept.index > snapshot.index);
                self.snapshot = Some(snapshot);
            }
        }
    }
}
