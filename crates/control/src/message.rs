//! Messages between control machines.

use dunelink_protocol::{
    FleetLoads, GrantUpdate, NodeDemand, NodeLoads, RosterOffset, RosterUpdate, ServerEntry,
    ServerObservation, ServerSuspicion,
};
use dunelink_replication::{Member, Message, ReplicaId};
use minicbor::{Decode, Encode};

/// A message with its sender and receiver.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Envelope {
    /// Identity of the sender.
    #[n(0)]
    pub from: ReplicaId,
    /// Identity of the receiver; `None` if the sender knows only an address.
    #[n(1)]
    pub to: Option<ReplicaId>,
    /// The message.
    #[n(2)]
    pub message: PeerMessage,
}

/// A message between control machines.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum PeerMessage {
    /// A message of the replication protocol.
    #[n(0)]
    Replication(#[n(0)] Message),
    /// A machine asks to become a member.
    #[n(1)]
    JoinRequest(#[n(0)] Member),
    /// Reply to [`PeerMessage::JoinRequest`]: the members and the leader as the sender knows them.
    #[n(2)]
    Members(#[n(0)] KnownMembers),
    /// Reports of the agents connected to the sender since its last message; sent to the leader.
    #[n(3)]
    Reports(#[n(0)] Vec<NodeReport>),
    /// Grants for agents connected to the receiver; sent by the leader.
    #[n(4)]
    Grants(#[n(0)] Vec<NodeGrants>),
    /// Position of the leader's roster of servers and its changes; sent by the leader.
    #[n(5)]
    Roster(#[n(0)] RosterAnnouncement),
    /// Position of the sender's roster; the leader replies with the changes since then.
    #[n(6)]
    RosterRequest(#[n(0)] RosterOffset),
    /// Servers that several nodes find failing; sent by the leader.
    #[n(7)]
    Suspicions(#[n(0)] Vec<ServerSuspicion>),
    /// Asks the receiver to read the platform's list once, with a request number; sent by a leader that
    /// cannot reach the platform.
    #[n(8)]
    ListRequest(#[n(0)] u64),
    /// Reply to [`PeerMessage::ListRequest`].
    #[n(9)]
    ListResponse(#[n(0)] ListResponse),
    /// Requests of the whole fleet in flight at each server; sent by the leader.
    #[n(10)]
    Loads(#[n(0)] FleetLoads),
    /// A new leader's request for the requests that each proxy admitted in the quota window; passed on to the
    /// agents connected to the receiver.
    #[n(11)]
    HistoryRequest(#[n(0)] GrantUpdate),
}

/// The members of the group as one control machine knows them.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct KnownMembers {
    /// All members.
    #[n(0)]
    pub members: Vec<Member>,
    /// The leader, if known.
    #[n(1)]
    pub leader: Option<Member>,
}

/// Report of one node.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct NodeReport {
    /// Name of the node.
    #[n(0)]
    pub node: String,
    /// Newest demand of the node.
    #[n(1)]
    pub demand: NodeDemand,
    /// Request outcomes by server, added up since the last message.
    #[n(2)]
    pub observations: Vec<ServerObservation>,
    /// Requests of the node in flight at each server.
    #[n(3)]
    pub loads: NodeLoads,
}

/// Grants for one node.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct NodeGrants {
    /// Name of the node.
    #[n(0)]
    pub node: String,
    /// Grants of the node.
    #[n(1)]
    pub update: GrantUpdate,
}

/// Position of the leader's roster, with changes for a receiver that lags.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct RosterAnnouncement {
    /// Position of the leader's roster.
    #[n(0)]
    pub offset: RosterOffset,
    /// Time since the platform's list was read, in milliseconds.
    #[n(1)]
    pub age_ms: u64,
    /// Changes up to `offset`, or the complete roster; `None` if there is no change.
    #[n(2)]
    pub update: Option<RosterUpdate>,
}

/// List that a member has read for the leader.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct ListResponse {
    /// Number of the request, as in [`PeerMessage::ListRequest`].
    #[n(0)]
    pub request: u64,
    /// The list; `None` if it could not be read.
    #[n(1)]
    pub servers: Option<Vec<ServerEntry>>,
}

/// Messages with more items than this go over the bulk connection.
const MAX_URGENT_ITEMS: usize = 32;

impl PeerMessage {
    /// Whether the message goes over the bulk connection, so that urgent messages never wait behind it.
    /// Messages of one kind keep to one connection, which keeps them in order; for reports, grants and
    /// suspicions their number decides.
    pub fn is_bulk(&self) -> bool {
        match self {
            Self::Replication(Message::Append { .. } | Message::Chunk { .. }) => true,
            Self::Replication(_) | Self::JoinRequest(_) | Self::Members(_) | Self::ListRequest(_) => false,
            Self::Loads(_) | Self::HistoryRequest(_) => false,
            Self::Roster(_) | Self::RosterRequest(_) | Self::ListResponse(_) => true,
            Self::Reports(reports) => reports.len() > MAX_URGENT_ITEMS,
            Self::Grants(grants) => grants.len() > MAX_URGENT_ITEMS,
            Self::Suspicions(suspicions) => suspicions.len() > MAX_URGENT_ITEMS,
        }
    }
}
