//! Status of a replica, for operators.

use crate::Micros;
use crate::members::{Member, Membership, ReplicaId};

/// Current role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Replicates the leader's log and votes.
    Follower,
    /// Replicates the leader's log but does not vote.
    Learner,
    /// Campaigns for votes.
    Candidate,
    /// Leads the group.
    Leader,
}

/// A peer as seen by the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// Identity of the peer.
    pub id: ReplicaId,
    /// Last index known to be synced on the peer.
    pub match_index: u64,
    /// Time since the leader last received a message from the peer; `None` if never.
    pub since_last_message: Option<Micros>,
    /// Whether the peer's writes succeed without stalling, as it last reported.
    pub disk_healthy: bool,
}

/// Status of a replica at a point in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// This replica.
    pub me: Member,
    /// Current role.
    pub role: Role,
    /// Current term.
    pub term: u64,
    /// The leader; `None` if unknown.
    pub leader: Option<Member>,
    /// Whether this replica holds the leader lease.
    pub holds_lease: bool,
    /// Index of the last entry.
    pub last_index: u64,
    /// Last index that is synced on the local disk.
    pub synced_index: u64,
    /// Last index that is committed and applied.
    pub commit_index: u64,
    /// Index of the latest snapshot; 0 if there is none.
    pub snapshot_index: u64,
    /// Approximate size of the log entries in memory, in bytes.
    pub log_bytes: usize,
    /// Whether local writes succeed without stalling.
    pub disk_healthy: bool,
    /// Membership in force, committed or not.
    pub membership: Membership,
    /// Peers; empty unless this replica leads.
    pub peers: Vec<PeerStatus>,
}
