//! Messages between replicas.

use minicbor::{Decode, Encode};

use crate::Membership;
use crate::members::{Member, ReplicaId};
use crate::record::Entry;

/// What a sequence of [`Message::Chunk`]s carries.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum TransferHeader {
    /// State of a snapshot.
    #[n(0)]
    Snapshot {
        /// Last index that the state contains.
        #[n(0)]
        index: u64,
        /// Term of that entry.
        #[n(1)]
        term: u64,
        /// Membership at that index.
        #[n(2)]
        membership: Membership,
    },
    /// Command of one entry that is too large for one message.
    #[n(1)]
    Command {
        /// Index of the entry.
        #[n(0)]
        index: u64,
        /// Term of the entry.
        #[n(1)]
        term: u64,
        /// Term of the entry before it.
        #[n(2)]
        prev_term: u64,
    },
}

impl TransferHeader {
    /// Index that the follower reaches with it.
    pub fn index(&self) -> u64 {
        match self {
            Self::Snapshot { index, .. } | Self::Command { index, .. } => *index,
        }
    }
}

/// One message; `term` is the sender's unless said otherwise.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Message {
    /// Asks whether a vote would be given; changes nothing at the receiver.
    #[n(0)]
    PreVoteRequest {
        /// Term that the sender would stand in.
        #[n(0)]
        term: u64,
        /// Index of its last entry.
        #[n(1)]
        last_index: u64,
        /// Term of its last entry.
        #[n(2)]
        last_term: u64,
        /// The sender.
        #[n(3)]
        candidate: Member,
    },
    /// Answer to [`Message::PreVoteRequest`].
    #[n(1)]
    PreVoteReply {
        /// Term of the receiver of the question.
        #[n(0)]
        term: u64,
        /// Term that was asked for.
        #[n(1)]
        requested_term: u64,
        /// Whether the vote would be given.
        #[n(2)]
        granted: bool,
    },
    /// Asks for a vote.
    #[n(2)]
    VoteRequest {
        /// Term that the sender stands in.
        #[n(0)]
        term: u64,
        /// Index of its last entry.
        #[n(1)]
        last_index: u64,
        /// Term of its last entry.
        #[n(2)]
        last_term: u64,
        /// The sender.
        #[n(3)]
        candidate: Member,
        /// The leader of the term before gave up its lease for this candidate.
        #[n(4)]
        handover: bool,
    },
    /// Answer to [`Message::VoteRequest`], after the vote is synced.
    #[n(3)]
    VoteReply {
        /// Term of the vote.
        #[n(0)]
        term: u64,
        /// Whether the vote was given.
        #[n(1)]
        granted: bool,
    },
    /// Leader to member: renews the lease.
    #[n(4)]
    Heartbeat {
        /// Term of the leader.
        #[n(0)]
        term: u64,
        /// Number of the round, echoed in the answer.
        #[n(1)]
        round: u64,
        /// Committed index.
        #[n(2)]
        commit_index: u64,
        /// Whether the leader held its lease when it sent this.
        #[n(3)]
        leader_holds_lease: bool,
        /// The leader.
        #[n(4)]
        leader: Member,
    },
    /// Answer to [`Message::Heartbeat`]; waits for no entry to be synced.
    #[n(5)]
    HeartbeatReply {
        /// Term of the follower.
        #[n(0)]
        term: u64,
        /// Round of the heartbeat.
        #[n(1)]
        round: u64,
        /// Whether the follower's disk takes writes in time.
        #[n(2)]
        disk_healthy: bool,
        /// Whether the follower's process is about to end.
        #[n(3)]
        shutting_down: bool,
    },
    /// Entries after `prev_index`.
    #[n(6)]
    Append {
        /// Term of the leader.
        #[n(0)]
        term: u64,
        /// Index before the first entry.
        #[n(1)]
        prev_index: u64,
        /// Term of the entry there.
        #[n(2)]
        prev_term: u64,
        /// Entries, maybe none.
        #[n(3)]
        entries: Vec<Entry>,
        /// Committed index.
        #[n(4)]
        commit_index: u64,
    },
    /// All entries up to `match_index` are synced and equal to the leader's.
    #[n(7)]
    AppendAccepted {
        /// Term of the follower.
        #[n(0)]
        term: u64,
        /// Last index that is synced and equal.
        #[n(1)]
        match_index: u64,
    },
    /// The entry before the sent ones differs or is missing.
    #[n(8)]
    AppendRejected {
        /// Term of the follower.
        #[n(0)]
        term: u64,
        /// Index that was compared.
        #[n(1)]
        prev_index: u64,
        /// Last index of the follower that may be equal.
        #[n(2)]
        hint_index: u64,
        /// Term of the follower's entry at `hint_index`.
        #[n(3)]
        hint_term: u64,
        /// The follower knows no membership and needs a snapshot first.
        #[n(4)]
        needs_snapshot: bool,
    },
    /// Tells the committed index between heartbeats; not answered.
    #[n(9)]
    CommitUpdate {
        /// Term of the leader.
        #[n(0)]
        term: u64,
        /// Committed index.
        #[n(1)]
        commit_index: u64,
    },
    /// Part of a snapshot or of a large command.
    #[n(10)]
    Chunk {
        /// Term of the leader.
        #[n(0)]
        term: u64,
        /// What the parts make.
        #[n(1)]
        header: TransferHeader,
        /// Place of this part.
        #[n(2)]
        offset: u64,
        /// Length of the whole.
        #[n(3)]
        total_bytes: u64,
        /// This part.
        #[n(4)]
        #[cbor(with = "minicbor::bytes")]
        bytes: Vec<u8>,
    },
    /// How much of a blob has arrived, before it is complete.
    #[n(11)]
    ChunkReply {
        /// Term of the follower.
        #[n(0)]
        term: u64,
        /// Index of the blob.
        #[n(1)]
        index: u64,
        /// Bytes that have arrived.
        #[n(2)]
        received_bytes: u64,
    },
    /// The leader gave up its lease; the receiver stands at once.
    #[n(12)]
    TimeoutNow {
        /// Term of the leader that gave up.
        #[n(0)]
        term: u64,
    },
    /// A replica that hears no leader asks whether it is still a member.
    #[n(13)]
    MembershipQuery {
        /// Index of its last entry.
        #[n(0)]
        last_index: u64,
        /// The sender.
        #[n(1)]
        member: Member,
    },
    /// The identity is no longer a member.
    #[n(14)]
    NotMember {
        /// The identity.
        #[n(0)]
        id: ReplicaId,
    },
}

/// Terms and indices beyond this come from no healthy replica; it keeps sums from overflowing.
const MAX_NUMBER: u64 = 1 << 60;

impl Message {
    /// Whether the numbers are within what a group can reach.
    pub(crate) fn is_plausible(&self) -> bool {
        match self {
            Self::PreVoteRequest { term, last_index, .. } | Self::VoteRequest { term, last_index, .. } => {
                within(*term) && within(*last_index)
            }
            Self::PreVoteReply { term, .. }
            | Self::VoteReply { term, .. }
            | Self::Heartbeat { term, .. }
            | Self::HeartbeatReply { term, .. }
            | Self::ChunkReply { term, .. }
            | Self::TimeoutNow { term }
            | Self::CommitUpdate { term, .. } => within(*term),
            Self::Append { term, prev_index, entries, .. } => {
                let follows = |(place, entry): (usize, &Entry)| entry.index == prev_index + 1 + place as u64;
                within(*term) && within(*prev_index) && entries.iter().enumerate().all(follows)
            }
            Self::AppendAccepted { term, match_index } => within(*term) && within(*match_index),
            Self::AppendRejected { term, hint_index, .. } => within(*term) && within(*hint_index),
            Self::Chunk { term, header, .. } => {
                let first = u64::from(matches!(header, TransferHeader::Command { .. }));
                within(*term) && within(header.index()) && header.index() >= first
            }
            Self::MembershipQuery { .. } | Self::NotMember { .. } => true,
        }
    }

    pub(crate) fn is_same_kind(&self, other: &Self) -> bool {
        std::mem::discriminant(self) == std::mem::discriminant(other)
    }

    /// Takes the place of an older message of the same kind that was not yet sent.
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

fn within(number: u64) -> bool {
    number <= MAX_NUMBER
}
