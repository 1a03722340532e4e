//! What travels from the data plane to the control plane: subscriptions, demand, observations.

use minicbor::{Decode, Encode};

use crate::{NodeLoads, RosterOffset};

/// A message from an agent to a control machine.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum AgentMessage {
    /// Asks for the feed from where the agent stands.
    #[n(0)]
    Subscribe(#[n(0)] FeedPosition),
    /// What the proxy beside the agent reported; empty as a sign of life.
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

/// Where an agent stands in what it was fed before.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct FeedPosition {
    /// Version of the configuration it holds; 0 for none.
    #[n(0)]
    pub configuration_version: u64,
    /// Where its roster stands.
    #[n(1)]
    pub roster: RosterOffset,
}

/// What a proxy wants and has seen.
#[derive(Debug, Clone, PartialEq, Default, Encode, Decode)]
pub struct ProxyReport {
    /// What it asks for and has let pass.
    #[n(0)]
    pub demand: NodeDemand,
    /// Outcomes by server; servers without any are left out.
    #[n(1)]
    pub observations: Vec<ServerObservation>,
    /// Its requests at servers.
    #[n(2)]
    pub loads: NodeLoads,
}

/// What one proxy asks for, and how it stands towards the leader that divides the quotas.
#[derive(Debug, Clone, PartialEq, Default, Encode, Decode)]
pub struct NodeDemand {
    /// The newest term whose grants the proxy has taken: it takes none of an older one any more. 0 for none.
    #[n(0)]
    pub term: u64,
    /// Time since the proxy started, in milliseconds. What an earlier start let pass it doesn't know.
    #[n(1)]
    pub uptime_ms: u64,
    /// How many nodes the last grants told of; 0 for none.
    #[n(2)]
    pub node_count: u32,
    /// The number of the last grants that the proxy has taken.
    #[n(5)]
    pub round: u64,
    /// Whether every tenant that had anything pass in the window is told of, with its history.
    #[n(3)]
    pub has_history: bool,
    /// Demand by tenant. Where there are many tenants, those without any are left out once all that passed was counted.
    #[n(4)]
    pub tenants: Vec<TenantDemand>,
}

/// What a tenant's clients asked of one proxy.
#[derive(Debug, Clone, PartialEq, Default, Encode, Decode)]
pub struct TenantDemand {
    /// Name of the tenant.
    #[n(0)]
    pub tenant: String,
    /// Units a second (tokens or requests) asked for lately, whether let pass or not.
    #[n(1)]
    pub rate_per_s: f64,
    /// Units let pass since the proxy started. A sum, so that a lost report loses nothing.
    #[n(2)]
    pub admitted: f64,
    /// Units of a request, an average.
    #[n(3)]
    pub mean_request_units: f64,
    /// Drawn at random by the proxy at its start: `admitted` counts from then.
    #[n(4)]
    pub incarnation: u64,
    /// The part of `admitted` that a leader has told to have taken in.
    #[n(5)]
    pub acknowledged: f64,
    /// Units that the proxy may still let pass without another grant.
    #[n(6)]
    pub available: f64,
    /// Units a second by which `available` rises while no grants come.
    #[n(7)]
    pub granted_rate_per_s: f64,
    /// Units let pass in each part of the window, the newest part first and [`HISTORY_INTERVAL_MS`] long at most. Empty
    /// unless the leader asks.
    #[n(8)]
    pub history: Vec<f64>,
    /// Units beyond `available` that a leader before this one has lent to the proxy out of its bucket. 0 unless the leader
    /// asks.
    #[n(9)]
    pub borrowed: f64,
}

/// Length of a part of [`TenantDemand::history`], in milliseconds.
pub const HISTORY_INTERVAL_MS: u64 = 500;

/// Outcomes of one proxy's requests at a server since its last report.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ServerObservation {
    /// Id of the server.
    #[n(0)]
    pub server: String,
    /// Requests answered.
    #[n(1)]
    pub served: u32,
    /// Requests that failed: broken connections, silence, server errors.
    #[n(2)]
    pub failed: u32,
}

impl ServerObservation {
    /// Adds what was seen of the same server later.
    pub fn add(&mut self, later: &Self) {
        self.served = self.served.saturating_add(later.served);
        self.failed = self.failed.saturating_add(later.failed);
    }
}
