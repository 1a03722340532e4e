//! Inputs and outputs of a replica.

use crate::members::{Member, Membership, ReplicaId};
use crate::message::Message;
use crate::record::Record;

/// What happened on the host.
#[derive(Clone, Debug)]
pub enum Input {
    /// The time of [`crate::Replica::next_deadline`] has come; harmless at any other time.
    Tick,
    /// A message came in.
    Received {
        /// Identity of the sender.
        from: ReplicaId,
        /// The message.
        message: Message,
    },
    /// A command to commit; answered by [`Output::ProposalResult`] with the same id.
    Propose {
        /// Number chosen by the host.
        proposal_id: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// The write is synced, with all before it.
    Written {
        /// Its sequence.
        sequence: u64,
    },
    /// The write failed, wholly or in part.
    WriteFailed {
        /// Its sequence.
        sequence: u64,
    },
    /// A replica wants to join; does something only on the leader.
    Join(Member),
    /// The process is about to end: hand over the leadership and do not stand again.
    PrepareShutdown,
    /// Answer to [`Output::TakeSnapshot`].
    SnapshotTaken {
        /// Index of the request.
        index: u64,
        /// State of the host after the entry at that index.
        state: Vec<u8>,
    },
}

/// What the host carries out, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message; it may be lost.
    Send {
        /// Receiver; the message is for this identity only.
        to: Member,
        /// The message.
        message: Message,
    },
    /// Write and sync records, then hand in [`Input::Written`] or [`Input::WriteFailed`].
    Write {
        /// Rises with each write.
        sequence: u64,
        /// Records in their order.
        records: Vec<Record>,
    },
    /// A committed command.
    Apply {
        /// Its index.
        index: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// Replace the whole state.
    Restore {
        /// Last index that the state contains.
        index: u64,
        /// The state.
        state: Vec<u8>,
    },
    /// Outcome of a proposal.
    ProposalResult {
        /// Number of the proposal.
        proposal_id: u64,
        /// Index at which it is committed and applied.
        result: Result<u64, ProposalError>,
    },
    /// Take the state as it is after the outputs before this one, and hand it in as [`Input::SnapshotTaken`], now or later.
    TakeSnapshot {
        /// Index that the state contains.
        index: u64,
    },
    /// Another leader, or none, is known.
    LeaderChanged {
        /// The leader.
        leader: Option<Member>,
        /// The term.
        term: u64,
        /// Whether it is this replica.
        is_self: bool,
    },
    /// Another membership is in force.
    MembershipChanged(Membership),
    /// This identity is no longer a member: throw the log away and join under a new one.
    RemovedFromGroup,
}

/// Why a proposal has no index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposalError {
    /// Not taken: this replica does not lead.
    #[error("this replica does not lead the group; send the proposal to the leader")]
    NotLeader,
    /// Not taken: too much is waiting to be committed.
    #[error("too many proposals are waiting to be committed; send it again later")]
    Overloaded,
    /// Taken, and it may or may not be committed later.
    #[error("the leadership was lost before the outcome was known; read the state and decide then")]
    OutcomeUnknown,
}
