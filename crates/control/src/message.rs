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
    /// Identity that the message is for; absent where the sender knows only an address.
    #[n(1)]
    pub to: Option<ReplicaId>,
    /// The message.
    #[n(2)]
    pub message: PeerMessage,
}

/// A message between control machines.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum PeerMessage {
    /// Of the replicated log.
    #[n(0)]
    Replication(#[n(0)] Message),
    /// A machine wants to become a member.
    #[n(1)]
    JoinRequest(#[n(0)] Member),
    /// Answer to [`PeerMessage::JoinRequest`]: whom to ask.
    #[n(2)]
    Members(#[n(0)] KnownMembers),
    /// What the agents at the sender have reported since the last message; to the leader.
    #[n(3)]
    Reports(#[n(0)] Vec<NodeReport>),
    /// Grants for the agents at the receiver; from the leader.
    #[n(4)]
    Grants(#[n(0)] Vec<NodeGrants>),
    /// The roster of servers, from the leader.
    #[n(5)]
    Roster(#[n(0)] RosterAnnouncement),
    /// Where the sender's roster stands; the leader sends what it lacks.
    #[n(6)]
    RosterRequest(#[n(0)] RosterOffset),
    /// Servers that fail, from the leader.
    #[n(7)]
    Suspicions(#[n(0)] Vec<ServerSuspicion>),
    /// The leader can't reach the platform: read the list once, now.
    #[n(8)]
    ListRequest(#[n(0)] u64),
    /// Answer to [`PeerMessage::ListRequest`].
    #[n(9)]
    ListResponse(#[n(0)] ListResponse),
    /// Requests of the fleet at servers, from the leader.
    #[n(10)]
    Loads(#[n(0)] FleetLoads),
    /// A new leader asks all proxies what passed in the window, through the agents at the receiver.
    #[n(11)]
    HistoryRequest(#[n(0)] GrantUpdate),
}

/// The members that a control machine knows.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct KnownMembers {
    /// All members.
    #[n(0)]
    pub members: Vec<Member>,
    /// The leader, if known.
    #[n(1)]
    pub leader: Option<Member>,
}

/// What one node reported.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct NodeReport {
    /// Name of the node.
    #[n(0)]
    pub node: String,
    /// Its newest demand.
    #[n(1)]
    pub demand: NodeDemand,
    /// What it saw of servers, summed up since the last message.
    #[n(2)]
    pub observations: Vec<ServerObservation>,
    /// Its requests at servers.
    #[n(3)]
    pub loads: NodeLoads,
}

/// Grants for one node.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct NodeGrants {
    /// Name of the node.
    #[n(0)]
    pub node: String,
    /// Its grants.
    #[n(1)]
    pub update: GrantUpdate,
}

/// How the leader's roster stands, with changes if the receiver lacks some.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct RosterAnnouncement {
    /// Where the leader's roster stands.
    #[n(0)]
    pub offset: RosterOffset,
    /// Age of the roster in milliseconds.
    #[n(1)]
    pub age_ms: u64,
    /// Changes, or the whole roster.
    #[n(2)]
    pub update: Option<RosterUpdate>,
}

/// Outcome of a reading of the list on behalf of the leader.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct ListResponse {
    /// Number of the request.
    #[n(0)]
    pub request: u64,
    /// The list; absent if it could not be read.
    #[n(1)]
    pub servers: Option<Vec<ServerEntry>>,
}

/// Sends larger than this go over the bulk connection, in bytes.
const URGENT_ITEMS: usize = 32;

impl PeerMessage {
    /// Whether the message goes over the bulk connection, so that urgent ones never wait behind it. Messages of one
    /// kind keep to one connection, which keeps them in order.
    pub fn is_bulk(&self) -> bool {
        match self {
            Self::Replication(Message::Append { .. } | Message::Chunk { .. }) => true,
            Self::Replication(_) | Self::JoinRequest(_) | Self::Members(_) | Self::ListRequest(_) => false,
            Self::Loads(_) | Self::HistoryRequest(_) => false,
            Self::Roster(_) | Self::RosterRequest(_) | Self::ListResponse(_) => true,
            Self::Reports(reports) => reports.len() > URGENT_ITEMS,
            Self::Grants(grants) => grants.len() > URGENT_ITEMS,
            Self::Suspicions(suspicions) => suspicions.len() > URGENT_ITEMS,
        }
    }
}
