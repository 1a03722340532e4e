//! The allocator's state of one tenant at one node.

use std::collections::VecDeque;

use dunelink_protocol::TenantDemand;

/// Units issued to a node in advance, in seconds of its demand.
const LOOKAHEAD_S: f64 = 0.5;
/// Maximum number of unacknowledged grants that are stored separately for a node.
const MAX_OUTSTANDING_GRANTS: usize = 16;
/// Requests by which a node may exceed its ceiling while less than one request is issued to it in advance:
/// several may arrive at random between two reports.
pub(crate) const SPARSE_OVERDRAFT_REQUESTS: f64 = 3.0;

/// The supply of a tenant's bucket for the nodes with demand.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BucketSupply {
    /// Units in the bucket, divided by the number of nodes.
    pub(crate) spare_per_node: f64,
    /// Whether `spare_per_node` covers a request.
    pub(crate) covers_each_node: bool,
    /// Whether not even a full bucket would cover a request per node.
    pub(crate) is_oversubscribed: bool,
}

/// What one round of grants issued to a node.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct IssuedGrant {
    /// Number of the round.
    pub(crate) round: u64,
    /// The total of admitted units that the node may reach.
    pub(crate) ceiling: f64,
    /// Units by which the node may exceed the ceiling. They stay in the bucket until they are used.
    pub(crate) credit: f64,
    /// Units per second at which the node may continue without further grants.
    pub(crate) rate_per_s: f64,
}

/// Grants that may be in force at a node: the last one that it acknowledged, and all later ones.
#[derive(Debug, Default, Clone)]
struct OutstandingGrants(VecDeque<IssuedGrant>);

impl OutstandingGrants {
    fn push(&mut self, grant: IssuedGrant) {
        if self.0.len() >= MAX_OUTSTANDING_GRANTS {
            // The node has not acknowledged for so long that it will soon count as silent. The two oldest
            // grants are merged into one that covers both.
            let oldest = self.0.pop_front().unwrap_or_default();
            if let Some(next) = self.0.front_mut() {
                next.ceiling = next.ceiling.max(oldest.ceiling);
                next.credit = next.credit.max(oldest.credit);
                next.rate_per_s = next.rate_per_s.max(oldest.rate_per_s);
            }
        }
        self.0.push_back(grant);
    }

    /// The node has applied the grants of this round: earlier ones are void.
    fn acknowledge(&mut self, round: u64) {
        while self.0.len() > 1 && self.0.front().is_some_and(|grant| grant.round < round) {
            self.0.pop_front();
        }
    }
}

/// What one node reported of one tenant, and what was issued to it.
#[derive(Debug, Default, Clone)]
pub(crate) struct NodeTenant {
    pub(crate) incarnation: u64,
    /// Whether the node's last report contained the tenant.
    pub(crate) is_reported: bool,
    /// Demand in units per second.
    pub(crate) rate_per_s: f64,
    pub(crate) mean_request_units: f64,
    /// Units admitted, as last reported.
    pub(crate) admitted: f64,
    /// The part of `admitted` that was inherited with the node's history.
    inherited_admitted: f64,
    /// The highest total of admitted units that the node may reach. These units have been taken out of the
    /// bucket.
    ceiling: f64,
    /// Grants that may be in force. Their credit stays in the bucket until it is used.
    outstanding: OutstandingGrants,
    /// Units reserved for the node since it became silent.
    pub(crate) reserved: f64,
}

impl NodeTenant {
    /// The state as a new leader takes it over: everything that the node may still admit counts as issued.
    pub(crate) fn from_takeover(demand: &TenantDemand) -> Self {
        let mut state = Self { incarnation: demand.incarnation, ..Self::default() };
        state.update_demand(demand);
        state.inherited_admitted = demand.admitted;
        state.ceiling = demand.admitted + demand.available;
        let (ceiling, rate_per_s) = (state.ceiling, demand.granted_rate_per_s);
        state.outstanding.push(IssuedGrant { round: 0, ceiling, credit: demand.borrowed, rate_per_s });
        state
    }

    /// Records a report that was made after the node applied the grants of `round`. Returns the units that
    /// the node has used or may use beyond what was issued to it and reserved for it; negative if it has
    /// applied a lower ceiling.
    pub(crate) fn observe_report(&mut self, demand: &TenantDemand, round: u64) -> f64 {
        let mut written_off = 0.0;
        if self.incarnation != demand.incarnation {
            // What was issued and offered as credit to the previous incarnation counts as spent.
            written_off = self.credit();
            *self = Self { incarnation: demand.incarnation, ..Self::default() };
        }
        self.update_demand(demand);
        self.outstanding.acknowledge(round);
        let committed = self.admitted + demand.available;
        let excess = (committed - self.ceiling).max(0.0);
        let released = self.lower_ceiling(committed);
        (excess - std::mem::take(&mut self.reserved)).max(0.0) + written_off - released
    }

    /// Lowers the ceiling to the highest one that may be in force. Returns the units released by that.
    fn lower_ceiling(&mut self, committed: f64) -> f64 {
        let previous = self.ceiling.max(committed);
        self.ceiling = self.outstanding.0.iter().map(|grant| grant.ceiling).fold(committed, f64::max);
        (previous - self.ceiling).max(0.0)
    }

    /// Raises the ceiling by the issued units. If nothing is issued and the node has more unused units than
    /// its target plus a request, a lower ceiling is granted instead. Returns the ceiling to grant.
    pub(crate) fn issue(&mut self, supply: &BucketSupply, issued: f64) -> f64 {
        let slack = if self.is_sparse() { 0.0 } else { self.mean_request_units };
        let max_unused = self.target_units(supply) + slack;
        if issued <= 0.0 && self.unused_units() > max_unused {
            return self.admitted + max_unused;
        }
        self.ceiling = self.ceiling.max(self.admitted) + issued;
        self.ceiling
    }

    /// Units by which the node may exceed its ceiling, as far as is known.
    pub(crate) fn credit(&self) -> f64 {
        self.outstanding.0.iter().map(|grant| grant.credit).fold(0.0, f64::max)
    }

    /// Units per second at which the node may continue without hearing from the leader, as far as is known.
    pub(crate) fn granted_rate_per_s(&self) -> f64 {
        self.outstanding.0.iter().map(|grant| grant.rate_per_s).fold(0.0, f64::max)
    }

    /// Records a grant that is sent to the node.
    pub(crate) fn record_grant(&mut self, grant: IssuedGrant) {
        self.outstanding.push(grant);
    }

    /// The node has become silent: its credit counts as spent until it reports. Returns the credit.
    pub(crate) fn write_off_credit(&mut self) -> f64 {
        let credit = self.credit();
        self.outstanding.0.iter_mut().for_each(|grant| grant.credit = 0.0);
        self.reserved += credit;
        credit
    }

    fn update_demand(&mut self, demand: &TenantDemand) {
        self.is_reported = true;
        self.rate_per_s = demand.rate_per_s;
        self.mean_request_units = demand.mean_request_units;
        self.admitted = demand.admitted;
    }

    /// Units admitted since the node reported its history.
    pub(crate) fn admitted_since_takeover(&self) -> f64 {
        (self.admitted - self.inherited_admitted).max(0.0)
    }

    /// Units issued and not used yet.
    pub(crate) fn unused_units(&self) -> f64 {
        (self.ceiling - self.admitted).max(0.0)
    }

    /// Whether less than one request would be issued in advance. Whole requests issued to many such nodes
    /// would lie unused at some while others need them, so these nodes exceed their ceilings instead.
    fn is_sparse(&self) -> bool {
        self.rate_per_s * LOOKAHEAD_S < self.mean_request_units
    }

    /// Units by which the node may exceed its ceiling with the probability `pass_share`.
    pub(crate) fn probabilistic_overdraft(&self, pass_share: f64, largest_request: f64) -> f64 {
        match (self.is_sparse(), pass_share >= 1.0) {
            (true, _) => largest_request * SPARSE_OVERDRAFT_REQUESTS,
            (false, true) => largest_request,
            (false, false) => 0.0,
        }
    }

    /// Units to be issued for the node to reach its target.
    pub(crate) fn shortfall(&self, supply: &BucketSupply) -> f64 {
        (self.target_units(supply) - self.unused_units()).max(0.0)
    }

    /// Units that the node should have available.
    fn target_units(&self, supply: &BucketSupply) -> f64 {
        if self.rate_per_s <= 0.0 {
            return 0.0;
        }
        match (self.is_sparse(), supply) {
            (true, BucketSupply { covers_each_node: true, spare_per_node, .. }) => {
                (spare_per_node - self.mean_request_units).clamp(0.0, self.mean_request_units)
            }
            (true, BucketSupply { is_oversubscribed: true, .. }) => 0.0,
            (true, _) => self.mean_request_units,
            (false, _) => self.rate_per_s * LOOKAHEAD_S,
        }
    }
}
