//! Divides tenants' quotas among the nodes that reported demand; runs at the leader only.

use std::collections::BTreeMap;

use dunelink_protocol::{GrantUpdate, TenantDemand, TenantGrant};

use crate::bounds::FLOOR_PART;
use crate::{MILLISECOND, Micros, QuotaBounds, TenantQuota};

/// For how long a grant holds, in milliseconds.
const VALID_MS: u64 = 1_500;
/// After this long without a report a node may be cut off: its floor is set aside for it.
const SILENT_AFTER: Micros = 700 * MILLISECOND;
/// For how long a silent node's grant is kept for it, and how long a new leader grants nothing: an old grant may have
/// been delivered late.
const KEPT_FOR: Micros = (VALID_MS + 300) * MILLISECOND;
/// After this long all nodes in touch have reported to a new leader: their number, and so their floors, are known.
const SETTLES_AFTER: Micros = 400 * MILLISECOND;
/// For how long a silent node counts for the floors: it may be cut off and serve on.
const COUNTED_FOR: Micros = 30 * 1_000 * MILLISECOND;
/// Part of the rate that is divided evenly, so that a node without demand can take its first requests.
const EVEN_PART: f64 = 0.2;

/// What one node reported.
#[derive(Debug, Default)]
struct NodeDemand {
    reported_at: Micros,
    /// Units a second by tenant.
    rates: BTreeMap<String, f64>,
    /// Units a second granted last, by tenant.
    granted: BTreeMap<String, f64>,
}

/// Divides tenants' quotas by demand. A new leader makes a new one.
#[derive(Debug)]
pub struct Allocator {
    bounds: QuotaBounds,
    /// Until then not all nodes have reported.
    settled_at: Micros,
    /// Until then grants of the leader before may still hold.
    begins_at: Micros,
    nodes: BTreeMap<String, NodeDemand>,
}

impl Allocator {
    /// An allocator that gives out no grants until all of the one before it have run out.
    pub fn new(bounds: QuotaBounds, now: Micros) -> Self {
        Self { bounds, settled_at: now + SETTLES_AFTER, begins_at: now + KEPT_FOR, nodes: BTreeMap::new() }
    }

    /// Takes in what a node asked for; an empty report is a sign of life.
    pub fn report(&mut self, now: Micros, node: &str, demand: &[TenantDemand]) {
        let rates = demand.iter().filter(|d| d.rate_per_s.is_finite() && d.rate_per_s > 0.0);
        let entry = self.nodes.entry(node.to_owned()).or_default();
        entry.rates = rates.map(|d| (d.tenant.clone(), d.rate_per_s)).collect();
        entry.reported_at = now;
    }

    /// The parts of all nodes that reported lately. While grants of another leader may hold they name no tenant and
    /// tell the number of nodes alone, from which a node without a grant knows its floors.
    pub fn allocate(
        &mut self,
        now: Micros,
        quotas: &[TenantQuota],
        configuration_version: u64,
    ) -> Vec<(String, GrantUpdate)> {
        self.nodes.retain(|_, node| node.reported_at + COUNTED_FOR > now);
        if now < self.settled_at {
            return Vec::new();
        }
        if now < self.begins_at {
            return self.floors_only(now, configuration_version);
        }
        let limited: Vec<_> = quotas.iter().filter(|quota| quota.rate_per_s > 0.0).collect();
        let divisions: Vec<_> = limited.iter().map(|quota| self.division(now, quota)).collect();
        let nodes = self.nodes.len() as u32;
        let mut updates = Vec::new();
        for (name, node) in self.nodes.iter_mut().filter(|(_, node)| !node.is_silent(now)) {
            let parts = limited.iter().zip(&divisions);
            let tenants: Vec<_> = parts.map(|(quota, division)| division.part(quota, node)).collect();
            node.granted = tenants.iter().map(|grant| (grant.tenant.clone(), grant.rate_per_s)).collect();
            updates.push((
                name.clone(),
                GrantUpdate { valid_ms: VALID_MS, nodes, configuration_version, tenants },
            ));
        }
        updates
    }

    fn floors_only(&self, now: Micros, configuration_version: u64) -> Vec<(String, GrantUpdate)> {
        let nodes = self.nodes.len() as u32;
        let update = GrantUpdate { valid_ms: 0, nodes, configuration_version, tenants: Vec::new() };
        let in_touch = self.nodes.iter().filter(|(_, node)| !node.is_silent(now));
        in_touch.map(|(name, _)| (name.clone(), update.clone())).collect()
    }

    /// What of a quota is left for the nodes in touch, and how it is divided.
    fn division(&self, now: Micros, quota: &TenantQuota) -> Division {
        let nodes = self.nodes.len().max(1) as f64;
        let floor = quota.rate_per_s * FLOOR_PART / nodes;
        let silent = self.nodes.values().filter(|node| node.is_silent(now));
        let set_aside: f64 = silent.map(|node| node.set_aside(now, quota, floor)).sum();
        let in_touch = self.nodes.values().filter(|node| !node.is_silent(now));
        let even = quota.rate_per_s * EVEN_PART / nodes;
        let weight = in_touch.map(|node| node.demand(quota) + even).sum();
        let rate_per_s = (quota.rate_per_s - set_aside).max(0.0);
        Division { rate_per_s, weight, even, burst: self.bounds.allowance(quota) / nodes }
    }
}

/// How one quota is divided among the nodes in touch.
struct Division {
    rate_per_s: f64,
    /// Sum of the nodes' demands and even parts.
    weight: f64,
    even: f64,
    burst: f64,
}

impl Division {
    fn part(&self, quota: &TenantQuota, node: &NodeDemand) -> TenantGrant {
        let rate_per_s = self.rate_per_s * (node.demand(quota) + self.even) / self.weight;
        TenantGrant { tenant: quota.name.clone(), rate_per_s, burst: self.burst }
    }
}

impl NodeDemand {
    fn is_silent(&self, now: Micros) -> bool {
        self.reported_at + SILENT_AFTER <= now
    }

    fn demand(&self, quota: &TenantQuota) -> f64 {
        self.rates.get(&quota.name).copied().unwrap_or(0.0)
    }

    /// What a silent node may be using: its last grant while that may hold, and its floor from then on.
    fn set_aside(&self, now: Micros, quota: &TenantQuota, floor: f64) -> f64 {
        let granted = self.granted.get(&quota.name).copied().unwrap_or(0.0);
        if self.reported_at + KEPT_FOR > now { granted.max(floor) } else { floor }
    }
}
