//! Lets requests pass within a node's part of each tenant's quota.

use std::collections::HashMap;

use dunelink_protocol::{GrantUpdate, TenantDemand};

use crate::bounds::FLOOR_PART;
use crate::{MILLISECOND, Micros, QuotaBounds, SECOND, TenantQuota};

/// Nodes assumed before the first grant tells their number.
const NODES_ASSUMED: u32 = 64;
/// Part of its depth that a bucket holds when the node starts. Nodes that restart must not bring full buckets: what they
/// bring and what they used before is covered by the time in which they were down.
const FILLED_AT_START: f64 = 0.4;
/// Time constant of the demand's average.
const DEMAND_TIME: Micros = 3_000 * MILLISECOND;
/// Within this time a bucket that is not full is to be filled again: nodes that let a peak pass are granted more for a
/// while, those with full buckets less.
const REFILL_TIME_S: f64 = 1.0;
/// Demand below this many units a second is left out of reports.
const LEAST_DEMAND: f64 = 0.5;
/// Bounds of the time told to a client that is over its quota.
const RETRY_AFTER_LEAST: Micros = 100 * MILLISECOND;
const RETRY_AFTER_MOST: Micros = 5_000 * MILLISECOND;

/// A request is over its tenant's quota; it may come back after this many microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryAfter(pub Micros);

/// One tenant's part at this node.
#[derive(Debug)]
struct Bucket {
    quota: TenantQuota,
    granted_rate: f64,
    granted_until: Micros,
    /// Units that may pass now; below zero after a request larger than what was left.
    level: f64,
    refilled_at: Micros,
    /// Whether the first grant has come: the bucket's start is set by then.
    started: bool,
    demand: Demand,
}

/// Units asked for, averaged over [`DEMAND_TIME`].
#[derive(Debug, Default)]
struct Demand {
    rate_per_s: f64,
    counted_at: Micros,
}

/// Lets requests pass within this node's floor and grants.
#[derive(Debug)]
pub struct QuotaGate {
    bounds: QuotaBounds,
    nodes: u32,
    buckets: HashMap<String, Bucket>,
}

impl QuotaGate {
    /// A gate without tenants: everything passes until [`Self::set_tenants`].
    pub fn new(bounds: QuotaBounds) -> Self {
        Self { bounds, nodes: NODES_ASSUMED, buckets: HashMap::new() }
    }

    /// Takes over the tenants of a configuration. Levels of those that stay are kept, within their new depth.
    pub fn set_tenants(&mut self, now: Micros, tenants: &[TenantQuota]) {
        let mut before = std::mem::take(&mut self.buckets);
        for quota in tenants.iter().filter(|quota| quota.rate_per_s > 0.0) {
            let mut bucket = before.remove(&quota.name).unwrap_or_else(|| Bucket::new(now, quota.clone()));
            bucket.refill(now, &self.bounds, self.nodes);
            if bucket.quota != *quota {
                // What was granted of the old quota must not count for a lower one.
                let ratio = (quota.rate_per_s / bucket.quota.rate_per_s).min(1.0);
                bucket.granted_rate *= ratio;
                bucket.quota = quota.clone();
            }
            bucket.level = bucket.level.min(bucket.depth(&self.bounds, self.nodes));
            self.buckets.insert(quota.name.clone(), bucket);
        }
    }

    /// Takes in grants.
    pub fn apply(&mut self, now: Micros, update: &GrantUpdate) {
        for bucket in self.buckets.values_mut() {
            bucket.refill(now, &self.bounds, self.nodes);
        }
        self.nodes = update.nodes.max(1);
        for grant in &update.tenants {
            let Some(bucket) = self.buckets.get_mut(&grant.tenant) else { continue };
            if !grant.rate_per_s.is_finite() {
                continue;
            }
            bucket.granted_rate = grant.rate_per_s.clamp(0.0, bucket.quota.rate_per_s);
            bucket.granted_until = now + update.valid_ms * MILLISECOND;
        }
        for bucket in self.buckets.values_mut() {
            let depth = bucket.depth(&self.bounds, self.nodes);
            if !bucket.started {
                bucket.started = true;
                bucket.level = bucket.level.max(depth * FILLED_AT_START);
            }
            bucket.level = bucket.level.min(depth);
        }
    }

    /// Lets a request of `units` pass, or tells when it may come back.
    ///
    /// A request larger than the bucket's depth passes when the bucket is full; its tenant waits the longer.
    ///
    /// # Errors
    ///
    /// The tenant is over its quota at this node.
    pub fn admit(&mut self, now: Micros, tenant: &str, units: f64) -> Result<(), RetryAfter> {
        let Some(bucket) = self.buckets.get_mut(tenant) else { return Ok(()) };
        bucket.demand.add(now, units);
        bucket.refill(now, &self.bounds, self.nodes);
        let needed = units.min(bucket.depth(&self.bounds, self.nodes));
        if bucket.level >= needed {
            bucket.level -= units;
            return Ok(());
        }
        let wait = (needed - bucket.level) / bucket.rate(now, self.nodes).max(1.0) * SECOND;
        Err(RetryAfter((wait as Micros).clamp(RETRY_AFTER_LEAST, RETRY_AFTER_MOST)))
    }

    /// Gives back the units of a request that was let pass but never reached a server.
    pub fn refund(&mut self, tenant: &str, units: f64) {
        let Some(bucket) = self.buckets.get_mut(tenant) else { return };
        bucket.level = (bucket.level + units).min(bucket.depth(&self.bounds, self.nodes));
    }

    /// Demand by tenant, for the next report: what is asked for, and what the buckets lack.
    pub fn demand(&mut self, now: Micros) -> Vec<TenantDemand> {
        let mut demand = Vec::new();
        for (name, bucket) in &mut self.buckets {
            bucket.refill(now, &self.bounds, self.nodes);
            let missing = bucket.depth(&self.bounds, self.nodes) - bucket.level;
            let asked = bucket.demand.rate(now);
            let rate_per_s = asked + missing.min(asked) / REFILL_TIME_S;
            if rate_per_s >= LEAST_DEMAND {
                demand.push(TenantDemand { tenant: name.clone(), rate_per_s });
            }
        }
        demand
    }
}

impl Bucket {
    fn new(now: Micros, quota: TenantQuota) -> Self {
        let demand = Demand { rate_per_s: 0.0, counted_at: now };
        Self {
            quota,
            granted_rate: 0.0,
            granted_until: 0,
            level: 0.0,
            refilled_at: now,
            started: false,
            demand,
        }
    }

    fn floor(&self, nodes: u32) -> f64 {
        self.quota.rate_per_s * FLOOR_PART / f64::from(nodes)
    }

    /// Units a second at this time.
    fn rate(&self, now: Micros, nodes: u32) -> f64 {
        if now < self.granted_until { self.granted_rate } else { self.floor(nodes) }
    }

    fn depth(&self, bounds: &QuotaBounds, nodes: u32) -> f64 {
        bounds.allowance(&self.quota) / f64::from(nodes)
    }

    /// Adds what has accrued: at the granted rate until the grant's end, at the floor from there on.
    fn refill(&mut self, now: Micros, bounds: &QuotaBounds, nodes: u32) {
        let floor = self.floor(nodes);
        let granted_end = self.granted_until.clamp(self.refilled_at, now.max(self.refilled_at));
        let granted = (granted_end - self.refilled_at) as f64 / SECOND * self.granted_rate;
        let rest = now.saturating_sub(granted_end) as f64 / SECOND * floor;
        self.level = (self.level + granted + rest).min(self.depth(bounds, nodes));
        self.refilled_at = now.max(self.refilled_at);
    }
}

impl Demand {
    /// The average now: it decays while nothing is asked.
    fn rate(&self, now: Micros) -> f64 {
        let passed = now.saturating_sub(self.counted_at) as f64 / DEMAND_TIME as f64;
        self.rate_per_s * (-passed).exp()
    }

    fn add(&mut self, now: Micros, units: f64) {
        let time_s = DEMAND_TIME as f64 / SECOND;
        self.rate_per_s = self.rate(now) + units / time_s;
        self.counted_at = now;
    }
}
