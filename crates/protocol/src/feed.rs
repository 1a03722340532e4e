//! Messages towards the data plane: configuration, server roster, quota grants and heartbeats.

use minicbor::{Decode, Encode};

use crate::FleetLoads;

/// A message to an agent or a proxy.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum FeedMessage {
    /// A chunk of the newest configuration.
    #[n(0)]
    Configuration(#[n(0)] ConfigurationChunk),
    /// The full server roster, or changes to it.
    #[n(1)]
    Roster(#[n(0)] RosterUpdate),
    /// Liveness of the sender and freshness of its data.
    #[n(2)]
    Heartbeat(#[n(0)] Heartbeat),
    /// The receiving node's part of the quotas that all nodes share.
    #[n(3)]
    Grants(#[n(0)] GrantUpdate),
    /// All control machines that the sender knows.
    #[n(4)]
    Members(#[n(0)] Vec<ControlMember>),
    /// Servers that several nodes report as failing.
    #[n(5)]
    Suspicions(#[n(0)] Vec<ServerSuspicion>),
    /// Requests that all nodes together have in flight at the servers.
    #[n(6)]
    Loads(#[n(0)] FleetLoads),
}

/// A contiguous part of a configuration. The chunks of one version arrive in order; the last one ends at
/// `total_bytes`.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationChunk {
    /// Version of the configuration.
    #[n(0)]
    pub version: u64,
    /// Length of the complete configuration in bytes.
    #[n(1)]
    pub total_bytes: u64,
    /// Position of the first byte of this chunk in the configuration.
    #[n(2)]
    pub offset: u64,
    /// Bytes of the operator's JSON, unchanged since it was accepted.
    #[cbor(n(3), with = "minicbor::bytes")]
    pub bytes: Vec<u8>,
}

/// A position in the roster's change feed. Positions of one epoch are ordered by sequence; a new epoch begins
/// with a full roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Encode, Decode)]
pub struct RosterOffset {
    /// Term of the leader that read the server list.
    #[n(0)]
    pub epoch: u64,
    /// Number of updates since the epoch began.
    #[n(1)]
    pub sequence: u64,
}

/// The full roster of servers, or the changes that follow `base`.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct RosterUpdate {
    /// Position that the reader must be at to apply these changes; `None` for a full roster.
    #[n(0)]
    pub base: Option<RosterOffset>,
    /// Position of the reader after the update.
    #[n(1)]
    pub offset: RosterOffset,
    /// Servers that are new or changed.
    #[n(2)]
    pub changed: Vec<ServerEntry>,
    /// Ids of removed servers.
    #[n(3)]
    pub removed: Vec<String>,
}

/// A server as described by the platform's server list.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ServerEntry {
    /// Identity of one run of the server: each start has a new id.
    #[n(0)]
    pub id: String,
    /// Name of the service that the server belongs to.
    #[n(1)]
    pub service: String,
    /// IP address and port.
    #[n(2)]
    pub address: String,
    /// Zone of the server.
    #[n(3)]
    pub zone: String,
    /// Number of requests that the server processes concurrently.
    #[n(4)]
    pub slots: u32,
    /// Whether the server accepts new requests; false while it drains.
    #[n(5)]
    pub ready: bool,
    /// Remaining time of the server's slow start, in milliseconds from the time the list was read.
    #[n(6)]
    pub cold_remaining_ms: u64,
    /// Version of the server's software.
    #[n(7)]
    pub software_version: String,
    /// Version of the model's weights; `None` if the list does not state it.
    #[n(8)]
    pub weights_version: Option<u64>,
}

/// Sent periodically to show that the sender is alive, and how fresh the data is that it feeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct Heartbeat {
    /// Time in milliseconds since the sender's state was last confirmed as current: 0 at a leader that holds
    /// its lease, otherwise the time since the last contact with such a leader.
    #[n(0)]
    pub confirmed_age_ms: u64,
    /// Newest version of the configuration that the sender knows to be committed; 0 for none.
    #[n(1)]
    pub configuration_version: u64,
    /// Position of the sender's roster.
    #[n(2)]
    pub roster: RosterOffset,
    /// Time in milliseconds since the roster was last read from the platform's server list.
    #[n(3)]
    pub roster_age_ms: u64,
}

/// The receiving node's parts of shared quotas, valid for a short time. A node whose grants have expired
/// falls back to its floor.
#[derive(Debug, Clone, PartialEq, Default, Encode, Decode)]
pub struct GrantUpdate {
    /// Lifetime of the grants in milliseconds, counted from the time of the node's report that they answer.
    #[n(0)]
    pub valid_ms: u64,
    /// Number of proxies that share the quotas; the floor of each proxy is the quota divided by this number.
    #[n(1)]
    pub node_count: u32,
    /// Version of the configuration that the grants were computed for.
    #[n(2)]
    pub configuration_version: u64,
    /// One grant for each tenant that the node has reported. The node may admit a few requests of any other
    /// tenant before it reports that tenant.
    #[n(3)]
    pub tenants: Vec<TenantGrant>,
    /// Tenants whose demand over all nodes exceeds their quota.
    #[n(4)]
    pub throttled: Vec<ThrottledTenant>,
    /// Term of the granting leader. A node that has seen a newer term rejects the grants.
    #[n(5)]
    pub term: u64,
    /// Sequence number of the update within the term, increasing; the node reports the last one it applied.
    #[n(7)]
    pub round: u64,
    /// [`NodeDemand::uptime_ms`](crate::NodeDemand::uptime_ms) of the node's last report that the leader
    /// processed.
    #[n(8)]
    pub report_uptime_ms: u64,
    /// Whether a new leader requests the history of admitted units; such a message grants nothing.
    #[n(6)]
    pub requests_history: bool,
}

/// A tenant whose demand exceeds its quota.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct ThrottledTenant {
    /// Name of the tenant.
    #[n(0)]
    pub tenant: String,
    /// Fraction of its requests to admit, 0 to 1.
    #[n(1)]
    pub pass_share: f64,
}

/// A node's part of one tenant's quota.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct TenantGrant {
    /// Name of the tenant.
    #[n(0)]
    pub tenant: String,
    /// Total of units (tokens or requests) that the proxy may have admitted since it started.
    #[n(1)]
    pub ceiling: f64,
    /// Units by which this node may exceed the ceiling while it receives grants. Beyond `reserved` only the
    /// fraction `pass_share` of the requests is admitted.
    #[n(2)]
    pub overdraft: f64,
    /// Units per second by which the ceiling rises at the present demand.
    #[n(3)]
    pub rate_per_s: f64,
    /// Incarnation of the proxy that the ceiling was computed for; after a restart the grant does not apply.
    #[n(4)]
    pub incarnation: u64,
    /// Fraction of the requests beyond the ceiling to admit, 0 to 1, chosen so that all nodes together keep
    /// the quota while grants arrive.
    #[n(5)]
    pub pass_share: f64,
    /// Units reserved for this node alone, though not issued to it. The node may exceed its ceiling by them
    /// even after grants have stopped arriving, without exceeding the quota.
    #[n(6)]
    pub reserved: f64,
    /// Units admitted since the node's start that the leader has accounted for.
    #[n(7)]
    pub acknowledged: f64,
}

/// A control machine.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ControlMember {
    /// IP address and port for internal connections.
    #[n(0)]
    pub internal_address: String,
    /// Zone of the machine.
    #[n(1)]
    pub zone: String,
}

/// A server that fails requests, according to the reports of several nodes.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct ServerSuspicion {
    /// Id of the server.
    #[n(0)]
    pub server: String,
    /// Fraction of the recently reported requests that failed, 0 to 1.
    #[n(1)]
    pub failed_share: f32,
    /// Number of nodes that reported failures.
    #[n(2)]
    pub reporters: u32,
}
