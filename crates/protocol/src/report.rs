//! Messages from the data plane to the control plane: subscriptions, demand and observations.

use minicbor::{Decode, Encode};

use crate::{NodeLoads, RosterOffset};

/// A message from an agent to a control machine.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum AgentMessage {
    /// Subscribes to the feed from the agent's position on.
    #[n(0)]
    Subscribe(#[n(0)] FeedPosition),
    /// Report of the proxy on the agent's machine; an empty report serves as a heartbeat.
    #[n(1)]
    Report(#[n(0)] ProxyReport),
}

/// A message from a proxy to its agent.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum ProxyMessage {
    /// Demand and observations since the last report.
    #[n(0)]
    Report(#[n(0)] ProxyReport),
}

/// Position of a reader in the feed.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct FeedPosition {
    /// Version of the reader's configuration; 0 for none.
    #[n(0)]
    pub configuration_version: u64,
    /// Position of the reader's roster.
    #[n(1)]
    pub roster: RosterOffset,
}

/// Demand, outcomes and load of one proxy.
#[derive(Debug, Clone, PartialEq, Default, Encode, Decode)]
pub struct ProxyReport {
    /// Units requested and admitted, by tenant.
    #[n(0)]
    pub demand: NodeDemand,
    /// Outcomes of requests by server; servers without requests are left out.
    #[n(1)]
    pub observations: Vec<ServerObservation>,
    /// Requests in flight at the servers.
    #[n(2)]
    pub loads: NodeLoads,
}

/// Demand of one proxy, and which grants of which leader it has applied.
#[derive(Debug, Clone, PartialEq, Default, Encode, Decode)]
pub struct NodeDemand {
    /// Newest term whose grants the proxy has applied; grants of older terms are rejected. 0 for none.
    #[n(0)]
    pub term: u64,
    /// Time since the proxy started, in milliseconds. The proxy does not know what it admitted before.
    #[n(1)]
    pub uptime_ms: u64,
    /// Number of nodes according to the last grants; 0 for none.
    #[n(2)]
    pub node_count: u32,
    /// [`GrantUpdate::round`](crate::GrantUpdate::round) of the last grants that the proxy has applied.
    #[n(5)]
    pub round: u64,
    /// Whether the report has an entry with history for every tenant with units admitted in the window.
    #[n(3)]
    pub has_history: bool,
    /// Demand by tenant. If there are many tenants, those without demand are left out once the leader has
    /// acknowledged all their admitted units.
    #[n(4)]
    pub tenants: Vec<TenantDemand>,
}

/// Demand of one tenant at one proxy.
#[derive(Debug, Clone, PartialEq, Default, Encode, Decode)]
pub struct TenantDemand {
    /// Name of the tenant.
    #[n(0)]
    pub tenant: String,
    /// Recent demand in units (tokens or requests) per second, whether admitted or not.
    #[n(1)]
    pub rate_per_s: f64,
    /// Total of units admitted since the proxy started. A running total, so that a lost report loses nothing.
    #[n(2)]
    pub admitted: f64,
    /// Mean number of units per request.
    #[n(3)]
    pub mean_request_units: f64,
    /// Random number drawn at each start of the proxy; `admitted` counts from that start.
    #[n(4)]
    pub incarnation: u64,
    /// Part of `admitted` that a leader has acknowledged.
    #[n(5)]
    pub acknowledged: f64,
    /// Units that the proxy may still admit without another grant.
    #[n(6)]
    pub available: f64,
    /// Units per second by which `available` rises while no grants arrive.
    #[n(7)]
    pub granted_rate_per_s: f64,
    /// Units admitted in each interval of the window, newest interval first; the newest may be shorter than
    /// [`HISTORY_INTERVAL_MS`]. Empty unless the leader requests it.
    #[n(8)]
    pub history: Vec<f64>,
    /// Units beyond `available` that an earlier leader has lent to the proxy out of the tenant's bucket. 0
    /// unless the leader requests the history.
    #[n(9)]
    pub borrowed: f64,
}

/// Length of an interval of [`TenantDemand::history`], in milliseconds.
pub const HISTORY_INTERVAL_MS: u64 = 500;

/// Outcomes of one proxy's requests at one server since its last report.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ServerObservation {
    /// Id of the server.
    #[n(0)]
    pub server: String,
    /// Number of answered requests.
    #[n(1)]
    pub served: u32,
    /// Number of failed requests: broken connections, timeouts, server errors.
    #[n(2)]
    pub failed: u32,
}

impl ServerObservation {
    /// Adds later outcomes of the same server.
    pub fn add(&mut self, later: &Self) {
        self.served = self.served.saturating_add(later.served);
        self.failed = self.failed.saturating_add(later.failed);
    }
}
