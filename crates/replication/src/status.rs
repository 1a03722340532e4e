//! View of a replica for operators.

use crate::Micros;
use crate::members::{Member, Membership, ReplicaId};

/// What a replica does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows, votes.
    Follower,
    /// Follows, does not vote.
    Learner,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// One peer as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// The peer.
    pub id: ReplicaId,
    /// Last index known to be synced there.
    pub match_index: u64,
    /// Time since it was last heard; none if never.
    pub since_last_message: Option<Micros>,
    /// Whether it says that its disk takes writes in time.
    pub disk_healthy: bool,
}

/// State of a replica at one time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// This replica.
    pub me: Member,
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<Member>,
    /// Whether it holds the lease.
    pub holds_lease: bool,
    /// Index of the last entry.
    pub last_index: u64,
    /// Last index that is synced here.
    pub synced_index: u64,
    /// Committed and applied index.
    pub commit_index: u64,
    /// Index of the snapshot.
    pub snapshot_index: u64,
    /// Bytes of entries in memory.
    pub log_bytes: usize,
    /// Whether the disk takes writes in time.
    pub disk_healthy: bool,
    /// Membership in force.
    pub membership: Membership,
    /// Peers, on the leader only.
    pub peers: Vec<PeerStatus>,
}
