//! Divides tenants' quotas among the nodes that reported demand; runs at the leader only.
//!
//! Each tenant has one bucket for the fleet, filled at its rate. Nodes may let pass what was issued to them out of it.
//! What is issued is told as a *ceiling* on the sum that a node has let pass since its start, so that a grant that is
//! lost, late or repeated does no harm.

use std::collections::{BTreeMap, BTreeSet};

use dunelink_protocol::{GrantUpdate, HeldTenant, TenantDemand, TenantGrant};

use crate::bounds::{FLOOR_PART, LAPSE};
use crate::{MILLISECOND, Micros, QuotaBounds, SECOND, TenantQuota};

/// For how long a grant holds, in milliseconds.
const VALID_MS: u64 = 1_500;
/// After this long without a report a node may be cut off: its floor is set aside for it.
const SILENT_AFTER: Micros = 700 * MILLISECOND;
/// For how long what was issued to a silent node counts as out: its last grant may have been delivered late.
const KEPT_FOR: Micros = (VALID_MS + 300) * MILLISECOND;
/// After this long all nodes in touch have reported to a new leader, which may issue then: its ceilings take the place
/// of the old leader's.
const SETTLES_AFTER: Micros = 300 * MILLISECOND;
/// For how long a silent node counts for the floors: it may be cut off and serve on.
const COUNTED_FOR: Micros = 30 * 1_000 * MILLISECOND;
/// What is issued ahead to a node, in seconds of its demand.
const AHEAD_S: f64 = 0.5;
/// Requests by which a node may exceed its ceiling while less than one is issued to it ahead: chance brings several
/// between two reports.
const SPARSE_REQUESTS: f64 = 3.0;
/// Part of the bucket's level by which all nodes together may exceed their ceilings.
const OVERDRAFT_PART: f64 = 0.8;
/// In how many seconds a bucket's debt is paid back: short, as the demand told lags behind one that rises.
const DEBT_TIME_S: f64 = 0.4;
/// In how many seconds a bucket's level is spent by what passes beyond ceilings.
const LEVEL_TIME_S: f64 = 2.0;
/// Part of the bucket's depth that may be out at nodes, issued and not used: the rest is for those that ask next.
const SAVED_PART: f64 = 1.0;
/// Part of the bucket that a new leader, which doesn't know what passed before, begins with.
const FILLED_AT_START: f64 = 0.3;

/// What one node reported of one tenant, and what was issued to it.
#[derive(Debug, Default, Clone)]
struct Account {
    incarnation: u64,
    /// Whether the node's last report told of the tenant.
    is_told: bool,
    /// Units a second asked for.
    rate_per_s: f64,
    request_units: f64,
    /// Units let pass, as last reported.
    passed: f64,
    /// Units up to which it may go on.
    ceiling: f64,
    /// Units a second granted last.
    granted_rate: f64,
}

/// What is known of one node.
#[derive(Debug, Default)]
struct Node {
    reported_at: Micros,
    accounts: BTreeMap<String, Account>,
}

/// A tenant's bucket for the whole fleet.
#[derive(Debug)]
struct Bucket {
    /// Units not issued yet; below zero after nodes have exceeded their ceilings.
    level: f64,
    filled_at: Micros,
}

/// Divides tenants' quotas by demand. A new leader makes a new one.
#[derive(Debug)]
pub struct Allocator {
    bounds: QuotaBounds,
    /// Until then not all nodes have reported.
    settled_at: Micros,
    nodes: BTreeMap<String, Node>,
    buckets: BTreeMap<String, Bucket>,
    /// Which node is the first to be issued to.
    turn: usize,
}

impl Allocator {
    /// An allocator that gives out no grants until the nodes in touch have reported.
    pub fn new(bounds: QuotaBounds, now: Micros) -> Self {
        Self {
            bounds,
            settled_at: now + SETTLES_AFTER,
            nodes: BTreeMap::new(),
            buckets: BTreeMap::new(),
            turn: 0,
        }
    }

    /// Takes in what a node asked for and let pass; an empty report is a sign of life.
    pub fn report(&mut self, now: Micros, name: &str, demand: &[TenantDemand]) {
        let node = self.nodes.entry(name.to_owned()).or_default();
        let was_silent = node.is_silent(now);
        node.reported_at = now;
        for account in node.accounts.values_mut() {
            (account.is_told, account.rate_per_s) = (false, 0.0);
        }
        for told in demand.iter().filter(|told| is_sane(told)) {
            let account = node.accounts.entry(told.tenant.clone()).or_default();
            let exceeded = account.take(told, was_silent);
            if let Some(bucket) = self.buckets.get_mut(&told.tenant) {
                bucket.level -= exceeded;
            }
        }
    }

    /// The parts of all nodes that reported lately; none at first.
    pub fn allocate(
        &mut self,
        now: Micros,
        quotas: &[TenantQuota],
        configuration_version: u64,
    ) -> Vec<(String, GrantUpdate)> {
        self.forget_silent(now);
        if now < self.settled_at {
            return Vec::new();
        }
        self.turn = self.turn.wrapping_add(1);
        let nodes = self.nodes.len() as u32;
        let limited: Vec<_> = quotas.iter().filter(|quota| quota.rate_per_s > 0.0).collect();
        let mut tenants: BTreeMap<String, Vec<TenantGrant>> = BTreeMap::new();
        let mut held = Vec::new();
        let any_silent = self.nodes.values().any(|node| node.is_silent(now));
        let known = self.known_tenants();
        for quota in &limited {
            self.fill(now, quota, any_silent);
            if !known.contains(&quota.name) {
                continue;
            }
            let (pass_share, grants) = self.issue(now, quota);
            if pass_share < 1.0 {
                held.push(HeldTenant { tenant: quota.name.clone(), pass_share });
            }
            for (node, grant) in grants {
                tenants.entry(node).or_default().push(grant);
            }
        }
        let names: BTreeSet<&str> = limited.iter().map(|quota| quota.name.as_str()).collect();
        self.buckets.retain(|name, _| names.contains(name.as_str()));
        let in_touch = self.nodes.iter().filter(|(_, node)| !node.is_silent(now));
        in_touch
            .map(|(name, _)| {
                let tenants = tenants.remove(name).unwrap_or_default();
                let held = held.clone();
                let update = GrantUpdate { valid_ms: VALID_MS, nodes, configuration_version, tenants, held };
                (name.clone(), update)
            })
            .collect()
    }

    /// Tenants that a node has told of.
    fn known_tenants(&self) -> BTreeSet<String> {
        let mut known = BTreeSet::new();
        for name in self.nodes.values().flat_map(|node| node.accounts.keys()) {
            if !known.contains(name) {
                known.insert(name.clone());
            }
        }
        known
    }

    /// Nodes that were silent for long count no more; what was issued to one whose grants have run out is void.
    fn forget_silent(&mut self, now: Micros) {
        self.nodes.retain(|_, node| node.reported_at + COUNTED_FOR > now);
        for node in self.nodes.values_mut().filter(|node| node.reported_at + KEPT_FOR <= now) {
            for (tenant, account) in &mut node.accounts {
                if let Some(bucket) = self.buckets.get_mut(tenant) {
                    bucket.level += account.unused();
                }
                account.ceiling = account.passed;
            }
        }
    }

    /// Fills a tenant's bucket with what its rate leaves beside the floors of silent nodes.
    fn fill(&mut self, now: Micros, quota: &TenantQuota, any_silent: bool) {
        let depth = self.bounds.depth(quota);
        let floor = FLOOR_PART * quota.rate_per_s / self.nodes.len().max(1) as f64;
        // Almost always none is silent: then no node is looked at for each tenant.
        let looked_at = if any_silent { self.nodes.len() } else { 0 };
        let silent = self.nodes.values().take(looked_at).filter(|node| node.is_silent(now));
        let set_aside: f64 = silent.map(|node| node.set_aside(now, quota, floor)).sum();
        let begin = || Bucket { level: depth * FILLED_AT_START, filled_at: now };
        let bucket = self.buckets.entry(quota.name.clone()).or_insert_with(begin);
        let span_s = now.saturating_sub(bucket.filled_at) as f64 / SECOND;
        bucket.level = (bucket.level + (quota.rate_per_s - set_aside).max(0.0) * span_s).min(depth);
        bucket.filled_at = now;
    }

    /// Raises the ceilings of the nodes in touch that told of the tenant by what the bucket holds, in proportion to what
    /// each lacks; and gives the part of the requests beyond ceilings that may pass.
    fn issue(&mut self, now: Micros, quota: &TenantQuota) -> (f64, Vec<(String, TenantGrant)>) {
        let depth = self.bounds.depth(quota);
        let Some(bucket) = self.buckets.get_mut(&quota.name) else { return (1.0, Vec::new()) };
        let in_touch = self.nodes.iter_mut().filter(|(_, node)| !node.is_silent(now));
        let accounts = in_touch.filter_map(|(name, node)| Some((name, node.accounts.get_mut(&quota.name)?)));
        let (mut accounts, others): (Vec<_>, Vec<_>) = accounts.partition(|(_, account)| account.is_told);
        let demand: f64 = accounts.iter().map(|(_, account)| account.rate_per_s).sum();
        let largest = accounts.iter().map(|(_, account)| account.request_units).fold(0.0, f64::max);
        let spare = bucket.level * OVERDRAFT_PART;
        let spare_each = spare / accounts.len().max(1) as f64;
        let is_plenty = spare_each >= largest;
        let pass_share = if is_plenty { 1.0 } else { pass_share(quota.rate_per_s, spare, demand) };

        let lacking: f64 = accounts.iter().map(|(_, account)| account.lacks(is_plenty, spare_each)).sum();
        let unused: f64 = accounts.iter().chain(&others).map(|(_, account)| account.unused()).sum();
        let mut budget = (depth * SAVED_PART - unused).min(bucket.level).max(0.0);
        let part = if lacking > 0.0 { (budget / lacking).min(1.0) } else { 0.0 };
        let rate_each = quota.rate_per_s / demand.max(1.0);
        // Where there is less than a request for each, some get a whole one, by turns.
        let turn = self.turn % accounts.len().max(1);
        accounts.rotate_left(turn);
        let grants = accounts.iter_mut().map(|(name, account)| {
            let lacks = account.lacks(is_plenty, spare_each);
            let issued = lacks.min((lacks * part).max(account.request_units)).min(budget);
            budget -= issued;
            bucket.level -= issued;
            account.ceiling = account.ceiling.max(account.passed) + issued;
            account.granted_rate = rate_each * account.rate_per_s;
            let grant = TenantGrant {
                tenant: quota.name.clone(),
                ceiling: account.ceiling,
                overdraft: account.overdraft(pass_share, spare_each, largest),
                rate_per_s: account.granted_rate,
                incarnation: account.incarnation,
                pass_share,
                spare: spare_each.max(0.0),
                counted: account.passed,
            };
            (name.clone(), grant)
        });
        (pass_share, grants.collect())
    }
}

impl Node {
    fn is_silent(&self, now: Micros) -> bool {
        self.reported_at + SILENT_AFTER <= now
    }

    /// Units a second that a silent node may be using: what it was granted last until that lapses, then its floor.
    fn set_aside(&self, now: Micros, quota: &TenantQuota, floor: f64) -> f64 {
        let granted = self.accounts.get(&quota.name).map_or(0.0, |account| account.granted_rate);
        if self.reported_at + KEPT_FOR + LAPSE > now { granted.max(floor) } else { floor }
    }
}

impl Account {
    /// Takes in a report; what passed beyond the ceiling is returned. What a node that was silent let pass came out of
    /// its floor.
    fn take(&mut self, told: &TenantDemand, was_silent: bool) -> f64 {
        if self.incarnation != told.incarnation {
            // What no leader has counted yet counts now.
            let ceiling = told.counted.min(told.passed);
            *self = Self { incarnation: told.incarnation, ceiling, ..Self::default() };
        }
        self.is_told = true;
        self.rate_per_s = told.rate_per_s;
        self.request_units = told.request_units;
        self.passed = told.passed;
        let exceeded = (self.passed - self.ceiling).max(0.0);
        self.ceiling = self.ceiling.max(self.passed);
        if was_silent { 0.0 } else { exceeded }
    }

    /// Units issued and not used yet.
    fn unused(&self) -> f64 {
        (self.ceiling - self.passed).max(0.0)
    }

    /// Whether less than a request would be issued to it ahead. Whole requests issued to many such nodes would wait at
    /// some for what others ask, so they go beyond their ceilings instead.
    fn is_sparse(&self) -> bool {
        self.rate_per_s * AHEAD_S < self.request_units
    }

    /// Units by which a node may exceed its ceiling.
    fn overdraft(&self, pass_share: f64, spare_each: f64, largest: f64) -> f64 {
        match (self.is_sparse(), pass_share >= 1.0) {
            (true, _) => spare_each.max(largest * SPARSE_REQUESTS),
            (false, true) => spare_each.max(largest),
            (false, false) => 0.0,
        }
    }

    /// Units to be issued. `is_plenty` says that the bucket holds a request for each node beyond what was issued, and
    /// `spare_each` how much that is.
    fn lacks(&self, is_plenty: bool, spare_each: f64) -> f64 {
        if self.rate_per_s <= 0.0 {
            return 0.0;
        }
        let wanted = match (self.is_sparse(), is_plenty) {
            (true, true) => (spare_each - self.request_units).clamp(0.0, self.request_units),
            (true, false) => 0.0,
            (false, _) => self.rate_per_s * AHEAD_S,
        };
        (wanted - self.unused()).max(0.0)
    }
}

/// Part of a demand that may pass so that the bucket's level is spent within [`LEVEL_TIME_S`], or its debt paid back
/// within [`DEBT_TIME_S`].
fn pass_share(rate_per_s: f64, spare: f64, demand: f64) -> f64 {
    let time_s = if spare > 0.0 { LEVEL_TIME_S } else { DEBT_TIME_S };
    ((rate_per_s + spare / time_s) / demand.max(1.0)).clamp(0.0, 1.0)
}

fn is_sane(told: &TenantDemand) -> bool {
    let figures = [told.rate_per_s, told.passed, told.request_units, told.counted];
    figures.iter().all(|figure| figure.is_finite() && *figure >= 0.0)
}
