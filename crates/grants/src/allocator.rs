//! Divides tenants' quotas among the nodes that reported demand; runs at the leader only.
//!
//! Each tenant has one token bucket for the whole fleet, filled at its rate. Nodes may admit the units that
//! were issued to them from the bucket. Issued units are expressed as a *ceiling* on the total that a node
//! has admitted since its start, so that a grant that is lost, late or duplicated does no harm. A new leader
//! first asks the nodes what they admitted in the last window: see [`Takeover`].

use std::collections::{BTreeMap, BTreeSet};

use dunelink_protocol::{GrantUpdate, NodeDemand, TenantDemand, TenantGrant, ThrottledTenant};

use crate::bounds::{FLOOR_SHARE, OVERDRAFT_SHARE, RATE_LAPSE_US};
use crate::bucket::{Bucket, InheritedUsage};
use crate::departed::DepartedUsage;
use crate::node_tenant::{BucketSupply, IssuedGrant, NodeTenant};
use crate::takeover::{InheritedState, Takeover};
use crate::{MILLISECOND, Micros, QuotaBounds, SECOND, TenantQuota};

/// How long a grant is valid, in milliseconds.
const GRANT_VALID_MS: u64 = 1_500;
/// A node without a report for this long may be partitioned, and what it may use is reserved for it; in
/// microseconds.
const SILENCE_TIMEOUT_US: Micros = 700 * MILLISECOND;
/// The longest time after a report for which a grant that answers it may be valid, allowing for clock drift;
/// in microseconds.
const MAX_GRANT_LIFETIME_US: Micros = GRANT_VALID_MS * MILLISECOND * 102 / 100;
/// How long a silent node counts for the division of the floors, in microseconds: it may be partitioned and
/// still serve.
const NODE_RETENTION_US: Micros = 30 * 1_000 * MILLISECOND;
/// Share of a bucket's level that is offered to the nodes as credit if it covers a request per node.
const CREDIT_SHARE: f64 = 0.95;
/// Time in which a bucket's debt is repaid, in seconds. Short, because the reported demand lags behind a
/// rising one.
const DEBT_REPAYMENT_S: f64 = 0.4;
/// Time in which a bucket's level is spent by admissions beyond ceilings, in seconds.
const SPARE_SPENDING_S: f64 = 2.0;

/// State of one node.
#[derive(Debug, Default)]
struct Node {
    reported_at: Micros,
    /// Uptime of the proxy process at its last report, in milliseconds.
    uptime_ms: u64,
    /// Whether the node rejects earlier leaders, and what it could admit at that point has been accounted
    /// for.
    is_synced: bool,
    tenants: BTreeMap<String, NodeTenant>,
}

/// Divides tenants' quotas by demand. Each new leader creates a new allocator.
#[derive(Debug)]
pub struct Allocator {
    bounds: QuotaBounds,
    term: u64,
    started_at: Micros,
    /// The collection of histories; `None` once it has finished.
    takeover: Option<Takeover>,
    /// The inherited state, while nodes are missing that earlier leaders knew.
    incomplete_takeover: Option<InheritedState>,
    inherited_complete: bool,
    takeover_completed_at: Micros,
    /// Number of nodes that earlier leaders knew.
    inherited_node_count: u32,
    nodes: BTreeMap<String, Node>,
    /// Buckets by tenant, also of those that left the configuration within the last window.
    buckets: BTreeMap<String, Bucket>,
    /// What nodes reported at the takeover of tenants that the configuration did not have.
    departed_usage: DepartedUsage,
    /// Number of the last round of grants. Also selects the node that is issued to first.
    round: u64,
}

impl Allocator {
    /// Creates the allocator for the leader of `term`. It grants nothing until the nodes have reported their
    /// histories.
    pub fn new(bounds: QuotaBounds, term: u64, now: Micros) -> Self {
        Self {
            bounds,
            term,
            started_at: now,
            takeover: Some(Takeover::start(now)),
            incomplete_takeover: None,
            inherited_complete: false,
            takeover_completed_at: now,
            inherited_node_count: 0,
            nodes: BTreeMap::new(),
            buckets: BTreeMap::new(),
            departed_usage: DepartedUsage::default(),
            round: 0,
        }
    }

    /// Records a node's demand and admissions. An empty report is a heartbeat.
    pub fn observe_report(&mut self, now: Micros, name: &str, report: &NodeDemand) {
        let node = self.nodes.entry(name.to_owned()).or_default();
        node.reported_at = now;
        if report.uptime_ms > 0 {
            node.uptime_ms = report.uptime_ms;
        }
        for state in node.tenants.values_mut() {
            (state.is_reported, state.rate_per_s) = (false, 0.0);
        }
        if let Some(takeover) = &mut self.takeover {
            return takeover.observe_report(self.term, name, report);
        }
        let is_current_term = report.term == self.term;
        let is_heartbeat = report.tenants.is_empty();
        if !is_current_term && !is_heartbeat {
            // The proxy has restarted, or earlier leaders may still reach it.
            node.is_synced = false;
        }
        if !is_current_term || !node.is_synced && !report.has_history {
            return;
        }
        let process_started_at = now.saturating_sub(report.uptime_ms.saturating_mul(MILLISECOND));
        // If the inherited state is incomplete, what nodes could admit at the takeover counts as spent
        // already.
        let charges_holdings =
            node.is_synced || self.inherited_complete || process_started_at > self.started_at;
        let is_first_sync = !std::mem::replace(&mut node.is_synced, true);
        for demand in report.tenants.iter().filter(|demand| is_valid(demand)) {
            let excess = node.observe_tenant(demand, report.round, charges_holdings);
            if let Some(bucket) = self.buckets.get_mut(&demand.tenant) {
                bucket.level -= excess;
                if is_first_sync {
                    bucket.record_late_sync(demand.granted_rate_per_s);
                }
            }
        }
        if let Some(inherited_state) = self.incomplete_takeover.as_mut().filter(|_| is_first_sync) {
            inherited_state.add_late_report(report);
        }
    }

    /// The message that asks a node what it admitted in the last window, before any node has reported.
    pub fn history_request(&self) -> GrantUpdate {
        GrantUpdate { requests_history: true, ..self.empty_update(0, 0) }
    }

    /// A grant update without tenants.
    fn empty_update(&self, nodes: u32, configuration_version: u64) -> GrantUpdate {
        GrantUpdate {
            valid_ms: GRANT_VALID_MS,
            node_count: nodes,
            configuration_version,
            tenants: Vec::new(),
            throttled: Vec::new(),
            term: self.term,
            round: self.round,
            report_uptime_ms: 0,
            requests_history: false,
        }
    }

    /// Grants for all nodes that reported recently, and history requests to those that have not reported
    /// their history to this leader.
    pub fn allocate(
        &mut self,
        now: Micros,
        quotas: &[TenantQuota],
        configuration_version: u64,
    ) -> Vec<(String, GrantUpdate)> {
        self.nodes.retain(|_, node| node.reported_at + NODE_RETENTION_US > now);
        let limited_quotas: Vec<_> = quotas.iter().filter(|quota| quota.rate_per_s > 0.0).collect();
        let reporting_count = self.nodes.len();
        if let Some(inherited_state) =
            self.takeover.as_mut().and_then(|takeover| takeover.finish(now, reporting_count))
        {
            self.take_over(now, &limited_quotas, inherited_state);
        }
        self.complete_takeover(now, &limited_quotas);
        self.round += 1;
        let empty_update = self.empty_update(self.node_count(now), configuration_version);
        let grants = if self.takeover.is_none() {
            self.grant_all(now, &limited_quotas, &empty_update)
        } else {
            Vec::new()
        };
        let unsynced = self.nodes.iter().filter(|(_, node)| !node.is_synced && !node.is_silent(now));
        let history_requests = unsynced.map(|(name, node)| {
            let report_uptime_ms = node.uptime_ms;
            (name.clone(), GrantUpdate { requests_history: true, report_uptime_ms, ..empty_update.clone() })
        });
        grants.into_iter().chain(history_requests).collect()
    }

    /// Number of nodes that may admit requests.
    fn node_count(&self, now: Micros) -> u32 {
        let inherited = if now < self.started_at + NODE_RETENTION_US { self.inherited_node_count } else { 0 };
        inherited.max(self.nodes.len() as u32)
    }

    /// Starts with the inherited state. Everything that may have been spent unseen counts as spent.
    fn take_over(
        &mut self,
        now: Micros,
        limited_quotas: &[&TenantQuota],
        mut inherited_state: InheritedState,
    ) {
        self.takeover = None;
        self.takeover_completed_at = now;
        self.inherited_node_count = inherited_state.known_node_count;
        self.inherited_complete = inherited_state.is_complete;
        for (name, report) in std::mem::take(&mut inherited_state.reports) {
            let Some(node) = self.nodes.get_mut(&name) else { continue };
            node.is_synced = true;
            for demand in report.tenants.iter().filter(|demand| is_valid(demand)) {
                node.observe_tenant(demand, 0, false);
            }
        }
        let no_usage = InheritedUsage::default();
        for quota in limited_quotas {
            let usage = inherited_state.tenants.get(&quota.name).unwrap_or(&no_usage);
            let (span, is_complete) = (inherited_state.history_span, self.inherited_complete);
            let level = usage.inherited_level(quota, &self.bounds, span, is_complete);
            let missing_rate_per_s = (quota.rate_per_s - usage.granted_rate_per_s).max(0.0);
            self.buckets.insert(quota.name.clone(), Bucket::from_takeover(level, missing_rate_per_s, now));
        }
        let mut departed = inherited_state.tenants.clone();
        departed.retain(|name, _| !self.buckets.contains_key(name));
        self.departed_usage = DepartedUsage::new(departed, inherited_state.history_span, now);
        self.incomplete_takeover =
            Some(inherited_state).filter(|inherited_state| !inherited_state.is_complete);
    }

    /// Corrects the bucket levels once all missing nodes have reported, as their real usage is then known.
    fn complete_takeover(&mut self, now: Micros, limited_quotas: &[&TenantQuota]) {
        let window_elapsed = now >= self.takeover_completed_at + self.window();
        let Some(inherited_state) = &mut self.incomplete_takeover else { return };
        let synced_count = self.nodes.values().filter(|node| node.is_synced).count();
        let is_complete =
            synced_count == self.nodes.len() && synced_count >= inherited_state.known_node_count as usize;
        if is_complete {
            let youngest_ms = self.nodes.values().map(|node| node.uptime_ms).min().unwrap_or(0);
            let history_span = youngest_ms.saturating_mul(MILLISECOND);
            for quota in limited_quotas {
                let Some(bucket) = self.buckets.get_mut(&quota.name) else { continue };
                let states = || self.nodes.values().filter_map(|node| node.tenants.get(&quota.name));
                let admitted_since = states().map(NodeTenant::admitted_since_takeover).sum();
                let unused = states().map(NodeTenant::unused_units).sum();
                let usage = inherited_state.tenants.entry(quota.name.clone()).or_default();
                usage.update(admitted_since, unused);
                bucket.level = bucket.level.max(usage.level(quota, &self.bounds, history_span));
            }
            self.inherited_complete = true;
        }
        if is_complete || window_elapsed {
            self.incomplete_takeover = None;
        }
    }

    /// The grants for all reachable nodes whose history is known.
    fn grant_all(
        &mut self,
        now: Micros,
        limited_quotas: &[&TenantQuota],
        empty_update: &GrantUpdate,
    ) -> Vec<(String, GrantUpdate)> {
        let mut tenants: BTreeMap<String, Vec<TenantGrant>> = BTreeMap::new();
        let mut throttled = Vec::new();
        let any_silent = self.nodes.values().any(|node| node.is_silent(now));
        let known = self.known_tenants();
        for quota in limited_quotas {
            self.fill_bucket(now, quota, any_silent);
            if !known.contains(&quota.name) {
                continue;
            }
            let (pass_share, grants) = self.issue_grants(now, quota);
            if pass_share < 1.0 {
                throttled.push(ThrottledTenant { tenant: quota.name.clone(), pass_share });
            }
            for (node, grant) in grants {
                tenants.entry(node).or_default().push(grant);
            }
        }
        self.forget_departed_tenants(now);
        // Nodes with an older configuration do not admit requests of departed tenants beyond what was issued.
        let departed = self.buckets.iter().filter(|(_, bucket)| bucket.is_departed());
        throttled.extend(departed.map(|(name, _)| ThrottledTenant { tenant: name.clone(), pass_share: 0.0 }));
        let reachable = self.nodes.iter().filter(|(_, node)| node.is_synced && !node.is_silent(now));
        reachable
            .map(|(name, node)| {
                let tenants = tenants.remove(name).unwrap_or_default();
                let report_uptime_ms = node.uptime_ms;
                (
                    name.clone(),
                    GrantUpdate {
                        tenants,
                        throttled: throttled.clone(),
                        report_uptime_ms,
                        ..empty_update.clone()
                    },
                )
            })
            .collect()
    }

    /// Forgets the tenants that left the configuration more than a window ago. Until then, one that returns
    /// continues with what it has used.
    fn forget_departed_tenants(&mut self, now: Micros) {
        let window = self.window();
        let bucket_count = self.buckets.len();
        let departed = self.buckets.values_mut().filter(|bucket| bucket.filled_at() < now);
        departed.for_each(Bucket::set_departed);
        self.buckets.retain(|_, bucket| bucket.filled_at() + window > now);
        if self.buckets.len() < bucket_count {
            let buckets = &self.buckets;
            let nodes = self.nodes.values_mut();
            nodes.for_each(|node| node.tenants.retain(|name, _| buckets.contains_key(name)));
        }
    }

    fn window(&self) -> Micros {
        (self.bounds.window_s * SECOND) as Micros
    }

    /// Tenants that any node has reported.
    fn known_tenants(&self) -> BTreeSet<String> {
        let mut known = BTreeSet::new();
        for name in self.nodes.values().flat_map(|node| node.tenants.keys()) {
            if !known.contains(name) {
                known.insert(name.clone());
            }
        }
        known
    }

    /// Fills a tenant's bucket with what its rate leaves after the allowance of silent and missing nodes.
    fn fill_bucket(&mut self, now: Micros, quota: &TenantQuota, any_silent: bool) {
        let depth = self.bounds.depth(quota);
        let count = self.node_count(now);
        let floor_per_s = FLOOR_SHARE * quota.rate_per_s / f64::from(count.max(1));
        let bucket = self.buckets.entry(quota.name.clone()).or_insert_with(|| {
            self.departed_usage.new_bucket(now, quota, &self.bounds, self.inherited_complete)
        });
        let missing_nodes = count.saturating_sub(self.nodes.len() as u32);
        let mut reserved_per_s = f64::from(missing_nodes) * floor_per_s;
        if missing_nodes > 0 && now < self.takeover_completed_at + MAX_GRANT_LIFETIME_US + RATE_LAPSE_US {
            reserved_per_s = reserved_per_s.max(bucket.missing_rate_per_s);
        }
        let filled_at = bucket.filled_at();
        let mut late_reserve = 0.0;
        // There are rarely silent nodes; without any, the nodes need not be checked for each tenant.
        let checked_count = if any_silent { self.nodes.len() } else { 0 };
        for node in self.nodes.values_mut().take(checked_count).filter(|node| node.is_silent(now)) {
            let rate_per_s = node.max_rate_per_s(now, quota, floor_per_s);
            reserved_per_s += rate_per_s;
            late_reserve += node.reserve(now, filled_at, quota, rate_per_s);
        }
        bucket.fill(now, quota.rate_per_s, depth, reserved_per_s);
        bucket.level -= late_reserve;
    }

    /// Distributes the bucket's level: raises the ceilings of the reachable nodes that reported the tenant,
    /// in proportion to their shortfalls. Returns the share of requests beyond ceilings that may be admitted,
    /// and the grants by node.
    fn issue_grants(&mut self, now: Micros, quota: &TenantQuota) -> (f64, Vec<(String, TenantGrant)>) {
        let depth = self.bounds.depth(quota);
        let nodes = self.nodes.len() as f64;
        let Some(bucket) = self.buckets.get_mut(&quota.name) else { return (1.0, Vec::new()) };
        let mut active = Vec::new();
        let mut others = Vec::new();
        for (name, node) in &mut self.nodes {
            let is_reachable = node.is_synced && !node.is_silent(now);
            let Some(state) = node.tenants.get_mut(&quota.name) else { continue };
            let is_active = is_reachable && state.is_reported;
            if is_active { active.push((name, state)) } else { others.push((name, state)) }
        }
        // Issued and unused units are part of what may be admitted beyond the rate.
        let all_states = || active.iter().chain(&others);
        let unused: f64 = all_states().map(|(_, state)| state.unused_units()).sum();
        let mut credit: f64 = all_states().map(|(_, state)| state.credit()).sum();
        // Any node may get the next request, even one that reported no demand.
        let largest_request = active.iter().map(|(_, state)| state.mean_request_units).fold(0.0, f64::max);
        let is_oversubscribed = depth * OVERDRAFT_SHARE < largest_request * nodes;
        let max_level = if is_oversubscribed { depth - self.bounds.margin(quota) } else { depth };
        bucket.level = bucket.level.min(max_level - unused);
        let demand: f64 = active.iter().map(|(_, state)| state.rate_per_s).sum();
        let demand = bucket.expected_demand(now, demand);
        let spare = bucket.level * if is_oversubscribed { OVERDRAFT_SHARE } else { CREDIT_SHARE };
        let count = active.len().max(1) as f64;
        let spare_per_node = spare / count;
        let covers_each_node = spare_per_node >= largest_request;
        // All nodes together may exceed their issued units by no more than the limits allow.
        let max_overdraft = bucket.level + self.bounds.margin(quota);
        let supply = BucketSupply { spare_per_node, covers_each_node, is_oversubscribed };
        let pass_share = if covers_each_node { 1.0 } else { pass_share(quota.rate_per_s, spare, demand) };

        let total_shortfall: f64 = active.iter().map(|(_, state)| state.shortfall(&supply)).sum();
        let mut budget = (bucket.level - credit).max(0.0);
        let share = if total_shortfall > 0.0 { (budget / total_shortfall).min(1.0) } else { 0.0 };
        let rate_per_demand = (quota.rate_per_s - bucket.reserved_per_s).max(0.0) / demand.max(1.0);
        // If the bucket has less than one request per node, some nodes get a whole request, in rotation.
        let offset = self.round as usize % active.len().max(1);
        active.rotate_left(offset);
        let grants = active.iter_mut().map(|(name, state)| {
            let shortfall = state.shortfall(&supply);
            let issued = shortfall.min((shortfall * share).max(state.mean_request_units)).min(budget);
            budget -= issued;
            bucket.level -= issued;
            let ceiling = state.issue(&supply, issued);
            // The credit that other nodes may still have is not available to this one.
            credit -= state.credit();
            let credit_target = if covers_each_node || is_oversubscribed { spare_per_node } else { 0.0 };
            let new_credit = credit_target.min(bucket.level - credit).max(0.0);
            let rate_per_s = rate_per_demand * state.rate_per_s;
            state.record_grant(IssuedGrant { round: self.round, ceiling, credit: new_credit, rate_per_s });
            credit += state.credit();
            let overdraft = state.probabilistic_overdraft(pass_share, largest_request);
            let overdraft = match (is_oversubscribed, pass_share >= 1.0) {
                (true, _) => overdraft,
                (false, true) => overdraft.min(max_overdraft / nodes),
                (false, false) => 0.0,
            };
            let grant = TenantGrant {
                tenant: quota.name.clone(),
                ceiling,
                overdraft: new_credit.max(overdraft),
                rate_per_s,
                incarnation: state.incarnation,
                pass_share,
                reserved: new_credit,
                acknowledged: state.admitted,
            };
            (name.clone(), grant)
        });
        (pass_share, grants.collect())
    }
}

impl Node {
    fn is_silent(&self, now: Micros) -> bool {
        self.reported_at + SILENCE_TIMEOUT_US <= now
    }

    /// Records a node's report of one tenant. Returns the units used or usable beyond what was issued. If
    /// `charges_holdings` is false, an unknown incarnation's units count as issued before.
    fn observe_tenant(&mut self, demand: &TenantDemand, round: u64, charges_holdings: bool) -> f64 {
        let known =
            self.tenants.get(&demand.tenant).is_some_and(|known| known.incarnation == demand.incarnation);
        if !known && !charges_holdings {
            self.tenants.insert(demand.tenant.clone(), NodeTenant::from_takeover(demand));
            return 0.0;
        }
        self.tenants.entry(demand.tenant.clone()).or_default().observe_report(demand, round)
    }

    /// Units per second that a silent node may be using: the last granted rate until it lapses, then the
    /// floor.
    fn max_rate_per_s(&self, now: Micros, quota: &TenantQuota, floor_per_s: f64) -> f64 {
        let granted = self.tenants.get(&quota.name).map_or(0.0, NodeTenant::granted_rate_per_s);
        if self.reported_at + MAX_GRANT_LIFETIME_US + RATE_LAPSE_US > now {
            granted.max(floor_per_s)
        } else {
            floor_per_s
        }
    }

    /// Reserves units for a silent node since the bucket was last filled. Returns what the node may have used
    /// between its last report and that filling, when the units were available to others, and its credit.
    fn reserve(&mut self, now: Micros, filled_at: Micros, quota: &TenantQuota, rate_per_s: f64) -> f64 {
        let span_s = |from: Micros, until: Micros| until.saturating_sub(from) as f64 / SECOND;
        let Some(state) = self.tenants.get_mut(&quota.name) else { return 0.0 };
        let late_reserve =
            if state.reserved == 0.0 { rate_per_s * span_s(self.reported_at, filled_at) } else { 0.0 };
        state.reserved += late_reserve + rate_per_s * span_s(filled_at.max(self.reported_at), now);
        late_reserve + state.write_off_credit()
    }
}

/// Share of the demand that may be admitted so that the bucket's level is spent within [`SPARE_SPENDING_S`],
/// or its debt repaid within [`DEBT_REPAYMENT_S`].
fn pass_share(rate_per_s: f64, spare: f64, demand: f64) -> f64 {
    let time_s = if spare > 0.0 { SPARE_SPENDING_S } else { DEBT_REPAYMENT_S };
    ((rate_per_s + spare / time_s) / demand.max(1.0)).clamp(0.0, 1.0)
}

/// Whether the reported figures are finite and not negative, so that they can be added up.
pub(crate) fn is_valid(demand: &TenantDemand) -> bool {
    let amounts =
        [demand.admitted, demand.mean_request_units, demand.acknowledged, demand.available, demand.borrowed];
    let values = amounts.into_iter().chain([demand.rate_per_s, demand.granted_rate_per_s]);
    values.chain(demand.history.iter().copied()).all(|value| value.is_finite() && value >= 0.0)
}
