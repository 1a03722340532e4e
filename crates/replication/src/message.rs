//! Messages between replicas.

use minicbor::{Decode, Encode};

use crate::Membership;
use crate::members::{Member, ReplicaId};
use crate::record::Entry;

/// Describes the content of a transfer, a snapshot or a large command sent as a series of
/// [`Message::Chunk`]s.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum TransferHeader {
    /// The state of a snapshot.
    #[n(0)]
    Snapshot {
        /// Index of the last entry contained in the state.
        #[n(0)]
        index: u64,
        /// Term of the entry at `index`.
        #[n(1)]
        term: u64,
        /// Membership in force at `index`.
        #[n(2)]
        membership: Membership,
    },
    /// The command of one entry that is too large for a single message.
    #[n(1)]
    Command {
        /// Index of the entry.
        #[n(0)]
        index: u64,
        /// Term of the entry.
        #[n(1)]
        term: u64,
        /// Term of the preceding entry.
        #[n(2)]
        prev_term: u64,
    },
}

impl TransferHeader {
    /// Index up to which the follower's log extends once the transfer is complete.
    pub fn index(&self) -> u64 {
        match self {
            Self::Snapshot { index, .. } | Self::Command { index, .. } => *index,
        }
    }
}

/// A message between two replicas. `term` is the sender's current term unless stated otherwise.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Message {
    /// Asks whether the receiver would grant a vote, without changing its state.
    #[n(0)]
    PreVoteRequest {
        /// Term in which the sender would campaign.
        #[n(0)]
        term: u64,
        /// Index of the sender's last entry.
        #[n(1)]
        last_index: u64,
        /// Term of the sender's last entry.
        #[n(2)]
        last_term: u64,
        /// The sender.
        #[n(3)]
        candidate: Member,
    },
    /// Reply to [`Message::PreVoteRequest`].
    #[n(1)]
    PreVoteReply {
        /// Current term of the replying replica.
        #[n(0)]
        term: u64,
        /// `term` of the request.
        #[n(1)]
        requested_term: u64,
        /// Whether the vote would be granted.
        #[n(2)]
        granted: bool,
    },
    /// Requests a vote.
    #[n(2)]
    VoteRequest {
        /// Term in which the sender campaigns.
        #[n(0)]
        term: u64,
        /// Index of the sender's last entry.
        #[n(1)]
        last_index: u64,
        /// Term of the sender's last entry.
        #[n(2)]
        last_term: u64,
        /// The sender.
        #[n(3)]
        candidate: Member,
        /// Whether the previous leader gave up its lease in favour of this candidate.
        #[n(4)]
        handover: bool,
    },
    /// Reply to [`Message::VoteRequest`], sent once the vote is synced.
    #[n(3)]
    VoteReply {
        /// Term of the vote.
        #[n(0)]
        term: u64,
        /// Whether the vote was granted.
        #[n(1)]
        granted: bool,
    },
    /// Sent by the leader to each peer to renew its lease.
    #[n(4)]
    Heartbeat {
        /// Term of the leader.
        #[n(0)]
        term: u64,
        /// Number of the heartbeat round, echoed in the reply.
        #[n(1)]
        round: u64,
        /// Commit index of the leader.
        #[n(2)]
        commit_index: u64,
        /// Whether the leader held its lease at the time of sending.
        #[n(3)]
        leader_holds_lease: bool,
        /// The leader.
        #[n(4)]
        leader: Member,
    },
    /// Reply to [`Message::Heartbeat`]. It does not wait for log entries to be synced.
    #[n(5)]
    HeartbeatReply {
        /// Term of the follower.
        #[n(0)]
        term: u64,
        /// `round` of the heartbeat; 0 in reply to a message of a leader of an older term.
        #[n(1)]
        round: u64,
        /// Whether the follower's writes succeed without stalling.
        #[n(2)]
        disk_healthy: bool,
        /// Whether the follower's process is shutting down.
        #[n(3)]
        shutting_down: bool,
    },
    /// Log entries that follow `prev_index`.
    #[n(6)]
    Append {
        /// Term of the leader.
        #[n(0)]
        term: u64,
        /// Index of the entry that precedes `entries`.
        #[n(1)]
        prev_index: u64,
        /// Term of the entry at `prev_index`.
        #[n(2)]
        prev_term: u64,
        /// Consecutive entries, possibly none.
        #[n(3)]
        entries: Vec<Entry>,
        /// Commit index of the leader.
        #[n(4)]
        commit_index: u64,
    },
    /// Reports that all entries up to `match_index` are synced and match the leader's log.
    #[n(7)]
    AppendAccepted {
        /// Term of the follower.
        #[n(0)]
        term: u64,
        /// Last index that is synced and matches the leader's log.
        #[n(1)]
        match_index: u64,
    },
    /// Rejects a [`Message::Append`] because the entry at `prev_index` is missing or has another term.
    #[n(8)]
    AppendRejected {
        /// Term of the follower.
        #[n(0)]
        term: u64,
        /// `prev_index` of the rejected message.
        #[n(1)]
        prev_index: u64,
        /// Last index at which the follower's log may match the leader's.
        #[n(2)]
        hint_index: u64,
        /// Term of the follower's entry at `hint_index`.
        #[n(3)]
        hint_term: u64,
        /// Whether the follower knows no membership and needs a snapshot first.
        #[n(4)]
        needs_snapshot: bool,
    },
    /// Announces the commit index between heartbeats. There is no reply.
    #[n(9)]
    CommitUpdate {
        /// Term of the leader.
        #[n(0)]
        term: u64,
        /// Commit index of the leader.
        #[n(1)]
        commit_index: u64,
    },
    /// One chunk of a snapshot or of a large command.
    #[n(10)]
    Chunk {
        /// Term of the leader.
        #[n(0)]
        term: u64,
        /// The transfer that the chunk belongs to.
        #[n(1)]
        header: TransferHeader,
        /// Offset of this chunk in the content, in bytes.
        #[n(2)]
        offset: u64,
        /// Length of the whole content.
        #[n(3)]
        total_bytes: u64,
        /// Content of this chunk.
        #[n(4)]
        #[cbor(with = "minicbor::bytes")]
        bytes: Vec<u8>,
    },
    /// Reports the progress of an incomplete transfer.
    #[n(11)]
    ChunkReply {
        /// Term of the follower.
        #[n(0)]
        term: u64,
        /// Index of the transfer.
        #[n(1)]
        index: u64,
        /// Number of consecutive bytes received from the start of the content.
        #[n(2)]
        received_bytes: u64,
    },
    /// The leader gave up its lease; the receiver starts an election at once.
    #[n(12)]
    TimeoutNow {
        /// Term of the leader that gave up its lease.
        #[n(0)]
        term: u64,
    },
    /// Asks whether the sender is still a member. Sent by a replica that has no leader.
    #[n(13)]
    MembershipQuery {
        /// Index of the last entry of the replica that sends or forwards the query.
        #[n(0)]
        last_index: u64,
        /// The replica that asks. A follower forwards its query to the leader.
        #[n(1)]
        member: Member,
    },
    /// Reply to [`Message::MembershipQuery`]: the identity is not a member of the group.
    #[n(14)]
    NotMember {
        /// The identity that is not a member.
        #[n(0)]
        id: ReplicaId,
    },
}

/// Largest plausible term or index. Messages beyond it are malformed; the bound keeps sums from overflowing.
const MAX_TERM_OR_INDEX: u64 = 1 << 60;

impl Message {
    /// Whether all terms and indices are in the plausible range and entries are numbered consecutively.
    pub(crate) fn is_plausible(&self) -> bool {
        match self {
            Self::PreVoteRequest { term, last_index, .. } | Self::VoteRequest { term, last_index, .. } => {
                is_plausible_number(*term) && is_plausible_number(*last_index)
            }
            Self::PreVoteReply { term, .. }
            | Self::VoteReply { term, .. }
            | Self::Heartbeat { term, .. }
            | Self::HeartbeatReply { term, .. }
            | Self::ChunkReply { term, .. }
            | Self::TimeoutNow { term }
            | Self::CommitUpdate { term, .. } => is_plausible_number(*term),
            Self::Append { term, prev_index, entries, .. } => {
                let is_consecutive =
                    |(offset, entry): (usize, &Entry)| entry.index == prev_index + 1 + offset as u64;
                is_plausible_number(*term)
                    && is_plausible_number(*prev_index)
                    && entries.iter().enumerate().all(is_consecutive)
            }
            Self::AppendAccepted { term, match_index } => {
                is_plausible_number(*term) && is_plausible_number(*match_index)
            }
            Self::AppendRejected { term, hint_index, .. } => {
                is_plausible_number(*term) && is_plausible_number(*hint_index)
            }
            Self::Chunk { term, header, .. } => {
                let first_index = u64::from(matches!(header, TransferHeader::Command { .. }));
                is_plausible_number(*term)
                    && is_plausible_number(header.index())
                    && header.index() >= first_index
            }
            Self::MembershipQuery { .. } | Self::NotMember { .. } => true,
        }
    }

    pub(crate) fn is_same_kind(&self, other: &Self) -> bool {
        std::mem::discriminant(self) == std::mem::discriminant(other)
    }

    /// Replaces this unsent message by a newer one of the same kind.
    pub(crate) fn supersede(&mut self, mut newer: Self) {
        if let (
            Self::AppendAccepted { term, match_index },
            Self::AppendAccepted { term: new_term, match_index: new },
        ) = (&*self, &mut newer)
            && term == new_term
        {
            *new = (*new).max(*match_index);
        }
        *self = newer;
    }
}

fn is_plausible_number(number: u64) -> bool {
    number <= MAX_TERM_OR_INDEX
}
