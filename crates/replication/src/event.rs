//! Inputs and outputs of a replica.

use crate::members::{Member, Membership, ReplicaId};
use crate::message::Message;
use crate::record::Record;

/// An event on the host.
#[derive(Clone, Debug)]
pub enum Input {
    /// The time of [`crate::Replica::next_deadline`] has come. A tick at any other time is harmless.
    Tick,
    /// A message was received.
    Received {
        /// Identity of the sender.
        from: ReplicaId,
        /// The message.
        message: Message,
    },
    /// Proposes a command. Its outcome is reported by [`Output::ProposalResult`] with the same id.
    Propose {
        /// Identifier chosen by the host.
        proposal_id: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// A write and all earlier writes are synced.
    Written {
        /// Sequence number of the write.
        sequence: u64,
    },
    /// A write failed, entirely or in part.
    WriteFailed {
        /// Sequence number of the write.
        sequence: u64,
    },
    /// A replica asks to join the group, or reports a new address. Has an effect only on the leader.
    Join(Member),
    /// The process is shutting down: the replica hands over the leadership and does not campaign again.
    PrepareShutdown,
    /// The state requested by [`Output::TakeSnapshot`].
    SnapshotTaken {
        /// `index` of the request.
        index: u64,
        /// State of the host after it applied the entry at `index`.
        state: Vec<u8>,
    },
}

/// An action for the host. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message. Messages may be lost.
    Send {
        /// Receiver. The message must not reach another identity at the same address.
        to: Member,
        /// The message.
        message: Message,
    },
    /// Write and sync records, then report [`Input::Written`] or [`Input::WriteFailed`].
    Write {
        /// Sequence number, increasing with each write.
        sequence: u64,
        /// Records in the order of writing.
        records: Vec<Record>,
    },
    /// Apply a committed command.
    Apply {
        /// Index of the command's entry.
        index: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// Replace the whole state of the host.
    Restore {
        /// Index of the last entry contained in the state.
        index: u64,
        /// The new state.
        state: Vec<u8>,
    },
    /// Outcome of a proposal.
    ProposalResult {
        /// `proposal_id` of the [`Input::Propose`].
        proposal_id: u64,
        /// Index at which the command was committed and applied, or the reason why there is none.
        result: Result<u64, ProposalError>,
    },
    /// Capture the state as of the preceding outputs and pass it in as [`Input::SnapshotTaken`], now or
    /// later.
    TakeSnapshot {
        /// Index of the last entry contained in the state.
        index: u64,
    },
    /// The known leader or its term changed.
    LeaderChanged {
        /// The leader; `None` if unknown.
        leader: Option<Member>,
        /// The current term.
        term: u64,
        /// Whether this replica is the leader.
        is_self: bool,
    },
    /// A new membership is in force.
    MembershipChanged(Membership),
    /// This identity is no longer a member: discard the log and join under a new identity.
    RemovedFromGroup,
}

/// Why a proposal did not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposalError {
    /// Rejected: this replica is not the leader, or is handing over the leadership.
    #[error("this replica is not the leader of the group; send the proposal to the leader")]
    NotLeader,
    /// Rejected: too many bytes are waiting to be committed.
    #[error("too many proposals are waiting to be committed; send it again later")]
    Overloaded,
    /// Accepted, but the leadership was lost: the command may or may not be committed later.
    #[error("the leadership was lost before the outcome was known; read the state before proposing again")]
    OutcomeUnknown,
}
