//! What travels towards the data plane: configuration, roster of servers, grants, signs of life.

use minicbor::{Decode, Encode};

use crate::FleetLoads;

/// A message towards an agent or a proxy.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum FeedMessage {
    /// A part of the newest configuration.
    #[n(0)]
    Configuration(#[n(0)] ConfigurationChunk),
    /// The roster of servers, whole or changed.
    #[n(1)]
    Roster(#[n(0)] RosterUpdate),
    /// Sign of life.
    #[n(2)]
    Heartbeat(#[n(0)] Heartbeat),
    /// What this node may use of budgets that all nodes share.
    #[n(3)]
    Grants(#[n(0)] GrantUpdate),
    /// The control machines as now known.
    #[n(4)]
    Members(#[n(0)] Vec<ControlMember>),
    /// Servers that several nodes found failing.
    #[n(5)]
    Suspicions(#[n(0)] Vec<ServerSuspicion>),
    /// Requests of the fleet at servers.
    #[n(6)]
    Loads(#[n(0)] FleetLoads),
}

/// A part of a configuration. Parts of one version come in order; the last one ends at `total_bytes`.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationChunk {
    /// Version of the configuration.
    #[n(0)]
    pub version: u64,
    /// Length of the whole configuration in bytes.
    #[n(1)]
    pub total_bytes: u64,
    /// Where this part begins.
    #[n(2)]
    pub offset: u64,
    /// The part's bytes: the operator's JSON as it was accepted.
    #[cbor(n(3), with = "minicbor::bytes")]
    pub bytes: Vec<u8>,
}

/// A position in the roster's change feed. Positions of one epoch are ordered by sequence; a new epoch begins with
/// a whole roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Encode, Decode)]
pub struct RosterOffset {
    /// Term of the leader that read the list.
    #[n(0)]
    pub epoch: u64,
    /// Number of changes since the epoch began.
    #[n(1)]
    pub sequence: u64,
}

/// The roster of servers, whole or as changes that follow `base`.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct RosterUpdate {
    /// Where the reader has to stand for these changes; absent for a whole roster.
    #[n(0)]
    pub base: Option<RosterOffset>,
    /// Where the reader stands afterwards.
    #[n(1)]
    pub offset: RosterOffset,
    /// New and changed servers.
    #[n(2)]
    pub changed: Vec<ServerEntry>,
    /// Ids of servers that are gone.
    #[n(3)]
    pub removed: Vec<String>,
}

/// A server as the platform's list tells of it.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ServerEntry {
    /// Incarnation of the server: new with each start.
    #[n(0)]
    pub id: String,
    /// Name of its service.
    #[n(1)]
    pub service: String,
    /// Address and port.
    #[n(2)]
    pub address: String,
    /// Zone it is in.
    #[n(3)]
    pub zone: String,
    /// How many requests it works on at once.
    #[n(4)]
    pub slots: u32,
    /// Whether new requests may be sent to it; false while it drains.
    #[n(5)]
    pub ready: bool,
    /// For how long it stays slow after its start, in milliseconds from when the list was read.
    #[n(6)]
    pub cold_remaining_ms: u64,
    /// Version of its software.
    #[n(7)]
    pub software_version: String,
    /// Version of the model's weights, if the list tells it.
    #[n(8)]
    pub weights_version: Option<u64>,
}

/// Sign of life of the sender, with how far what it feeds can be trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct Heartbeat {
    /// Age in milliseconds of the sender's last proof that its state is current: 0 at a leader that holds its
    /// lease, otherwise the time since such a leader was heard.
    #[n(0)]
    pub confirmed_age_ms: u64,
    /// Version of the newest configuration the sender knows to be committed; 0 for none.
    #[n(1)]
    pub configuration_version: u64,
    /// Where the sender's roster stands.
    #[n(2)]
    pub roster: RosterOffset,
    /// Age in milliseconds of the roster: time since the platform's list was last read.
    #[n(3)]
    pub roster_age_ms: u64,
}

/// Parts of shared budgets, valid for a short time. A node whose grants have run out falls back to its floor.
#[derive(Debug, Clone, PartialEq, Default, Encode, Decode)]
pub struct GrantUpdate {
    /// For how long the grants hold, in milliseconds, counted from when the node made the report that they answer.
    #[n(0)]
    pub valid_ms: u64,
    /// Proxies that the budgets are divided among: the floor of each is one part in this many.
    #[n(1)]
    pub node_count: u32,
    /// Version of the configuration that the grants were computed for.
    #[n(2)]
    pub configuration_version: u64,
    /// One entry for each tenant that the node has told of. Of all others it may let a few requests pass before it tells
    /// of them.
    #[n(3)]
    pub tenants: Vec<TenantGrant>,
    /// Tenants that ask for more than their quota in the whole fleet.
    #[n(4)]
    pub throttled: Vec<ThrottledTenant>,
    /// Term of the leader that grants. A node that has seen a newer one refuses the grants.
    #[n(5)]
    pub term: u64,
    /// Number of the grants within the term, rising; the node tells which it has taken.
    #[n(7)]
    pub round: u64,
    /// [`NodeDemand::uptime_ms`](crate::NodeDemand::uptime_ms) of the last report that the leader has taken in.
    #[n(8)]
    pub report_uptime_ms: u64,
    /// A new leader asks for what passed in the window; nothing is granted by this message.
    #[n(6)]
    pub requests_history: bool,
}

/// A tenant that asks for more than its quota.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct ThrottledTenant {
    /// Name of the tenant.
    #[n(0)]
    pub tenant: String,
    /// Part of its requests that may pass, 0 to 1.
    #[n(1)]
    pub pass_share: f64,
}

/// A node's part of one tenant's quota.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct TenantGrant {
    /// Name of the tenant.
    #[n(0)]
    pub tenant: String,
    /// The sum of units (tokens or requests) let pass since the proxy's start up to which it may go on.
    #[n(1)]
    pub ceiling: f64,
    /// Units by which this node may exceed the ceiling while grants come. Beyond `reserved` only as many requests pass as
    /// `pass_share` says.
    #[n(2)]
    pub overdraft: f64,
    /// Units a second that the ceiling rises by at present demand.
    #[n(3)]
    pub rate_per_s: f64,
    /// The start of the proxy that the ceiling was computed for; it means nothing to another.
    #[n(4)]
    pub incarnation: u64,
    /// Part of the requests beyond the ceiling that may pass, 0 to 1, so that the sum over all nodes keeps the quota
    /// while grants come.
    #[n(5)]
    pub pass_share: f64,
    /// Units kept for this node alone, though not issued to it: what it may use beyond its ceiling without harm, also
    /// once no more grants come.
    #[n(6)]
    pub reserved: f64,
    /// What the node let pass since its start as far as the leader has taken it in, in units.
    #[n(7)]
    pub acknowledged: f64,
}

/// A control machine.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ControlMember {
    /// Address for internal connections.
    #[n(0)]
    pub internal_address: String,
    /// Zone it is in.
    #[n(1)]
    pub zone: String,
}

/// A server that fails requests, by what several nodes have reported.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct ServerSuspicion {
    /// Id of the server.
    #[n(0)]
    pub server: String,
    /// Part of the lately reported requests that failed, 0 to 1.
    #[n(1)]
    pub failed_share: f32,
    /// Nodes that reported failures.
    #[n(2)]
    pub reporters: u32,
}
