//! What a replica keeps on its disk.

use minicbor::{Decode, Encode};

use crate::Membership;
use crate::members::ReplicaId;

/// Term and vote; the last one written counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct HardState {
    /// Newest term seen.
    #[n(0)]
    pub term: u64,
    /// Whom the replica voted for in that term.
    #[n(1)]
    pub voted_for: Option<ReplicaId>,
}

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Payload {
    /// First entry of a leader; changes nothing.
    #[n(0)]
    Noop,
    /// Command of the host, opaque here.
    #[n(1)]
    Command(
        #[n(0)]
        #[cbor(with = "minicbor::bytes")]
        Vec<u8>,
    ),
    /// Membership in force from this entry on.
    #[n(2)]
    Membership(#[n(0)] Membership),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Entry {
    /// Place in the log, from 1.
    #[n(0)]
    pub index: u64,
    /// Term of the leader that made it.
    #[n(1)]
    pub term: u64,
    /// Content.
    #[n(2)]
    pub payload: Payload,
}

impl Entry {
    /// Bytes that the entry takes, roughly.
    pub fn approximate_bytes(&self) -> usize {
        const OVERHEAD: usize = 32;
        const MEMBER: usize = 96;
        let payload = match &self.payload {
            Payload::Noop => 0,
            Payload::Command(bytes) => bytes.len(),
            Payload::Membership(membership) => membership.all_members().count() * MEMBER,
        };
        OVERHEAD + payload
    }
}

/// State up to an index.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Snapshot {
    /// Last index that the state contains; 0 for the founding membership.
    #[n(0)]
    pub index: u64,
    /// Term of that entry.
    #[n(1)]
    pub term: u64,
    /// Membership in force at that index.
    #[n(2)]
    pub membership: Membership,
    /// State of the host, opaque here.
    #[n(3)]
    #[cbor(with = "minicbor::bytes")]
    pub state: Vec<u8>,
}

/// One change of the stored state.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Record {
    /// Replaces term and vote.
    #[n(0)]
    HardState(#[n(0)] HardState),
    /// Adds an entry right after the last one. One at an index that is already stored replaces it and all later ones.
    #[n(1)]
    Append(#[n(0)] Entry),
    /// Removes the entries from an index on.
    #[n(2)]
    Truncate {
        /// First index that goes, 1 or more.
        #[n(0)]
        from: u64,
    },
    /// Replaces the snapshot. Entries up to its index are no longer needed, later ones stay.
    #[n(3)]
    Snapshot(#[n(0)] Snapshot),
}

/// What was read back from the disk at start; empty on an empty disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// Newest term and vote.
    pub hard_state: Option<HardState>,
    /// Newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries in their order; those that the snapshot contains are skipped.
    pub entries: Vec<Entry>,
}

impl RecoveredState {
    /// Whether the disk held nothing.
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none() && self.snapshot.is_none() && self.entries.is_empty()
    }

    /// Takes in one stored record, in the order of writing.
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
