//! Divides tenants' quotas among the nodes that reported demand; runs at the leader only.
//!
//! Each tenant has one bucket for the fleet, filled at its rate. Nodes may let pass what was issued to them out of it.
//! What is issued is told as a *ceiling* on the sum that a node has let pass since its start, so that a grant that is
//! lost, late or repeated does no harm. A new leader first asks the nodes what passed in the window: see [`Takeover`].

use std::collections::{BTreeMap, BTreeSet};

use dunelink_protocol::{GrantUpdate, NodeDemand, TenantDemand, TenantGrant, ThrottledTenant};

use crate::account::{Account, Granted, Supply};
use crate::bounds::{FLOOR_PART, LAPSE, OVERDRAFT_PART};
use crate::bucket::{Bucket, Inherited};
use crate::takeover::{Inheritance, Takeover};
use crate::{MILLISECOND, Micros, QuotaBounds, SECOND, TenantQuota};

/// For how long a grant holds, in milliseconds.
const VALID_MS: u64 = 1_500;
/// After this long without a report a node may be cut off: what it may use meanwhile is set aside for it.
const SILENT_AFTER: Micros = 700 * MILLISECOND;
/// For how long after a report a grant may hold that answers it, with what clocks may drift.
const KEPT_FOR: Micros = VALID_MS * MILLISECOND * 102 / 100;
/// For how long a silent node counts for the floors: it may be cut off and serve on.
const COUNTED_FOR: Micros = 30 * 1_000 * MILLISECOND;
/// Part of a bucket's level that is lent, where that is a request for each node.
const LENT_PART: f64 = 0.95;
/// In how many seconds a bucket's debt is paid back: short, as the demand told lags behind one that rises.
const DEBT_TIME_S: f64 = 0.4;
/// In how many seconds a bucket's level is spent by what passes beyond ceilings.
const LEVEL_TIME_S: f64 = 2.0;

/// What is known of one node.
#[derive(Debug, Default)]
struct Node {
    reported_at: Micros,
    /// How old the proxy was when it made its last report, in milliseconds.
    age_ms: u64,
    /// Whether it has refused to hear older leaders, and what it held then is counted.
    is_settled: bool,
    accounts: BTreeMap<String, Account>,
}

/// Divides tenants' quotas by demand. A new leader makes a new one.
#[derive(Debug)]
pub struct Allocator {
    bounds: QuotaBounds,
    term: u64,
    began_at: Micros,
    /// Until what passed before is known.
    takeover: Option<Takeover>,
    /// What was inherited, while nodes are missing that leaders before this one knew of.
    incomplete: Option<Inheritance>,
    inherited_all: bool,
    settled_at: Micros,
    /// Nodes that leaders before this one knew of.
    nodes_told: u32,
    nodes: BTreeMap<String, Node>,
    buckets: BTreeMap<String, Bucket>,
    /// Number of the last grants. It also tells which node is the first to be issued to.
    round: u64,
}

impl Allocator {
    /// The allocator of the leader of `term`. It grants nothing until the nodes have told what passed before.
    pub fn new(bounds: QuotaBounds, term: u64, now: Micros) -> Self {
        Self {
            bounds,
            term,
            began_at: now,
            takeover: Some(Takeover::begin(now)),
            incomplete: None,
            inherited_all: false,
            settled_at: now,
            nodes_told: 0,
            nodes: BTreeMap::new(),
            buckets: BTreeMap::new(),
            round: 0,
        }
    }

    /// Takes in what a node asked for and let pass; an empty report is a sign of life.
    pub fn observe_report(&mut self, now: Micros, name: &str, demand: &NodeDemand) {
        let node = self.nodes.entry(name.to_owned()).or_default();
        node.reported_at = now;
        if demand.uptime_ms > 0 {
            node.age_ms = demand.uptime_ms;
        }
        for account in node.accounts.values_mut() {
            (account.is_told, account.rate_per_s) = (false, 0.0);
        }
        if let Some(takeover) = &mut self.takeover {
            return takeover.report(self.term, name, demand);
        }
        let hears_this_term = demand.term == self.term;
        let is_sign_of_life = demand.tenants.is_empty();
        if !hears_this_term && !is_sign_of_life {
            // Another start of the proxy, or one that older leaders may still reach.
            node.is_settled = false;
        }
        if !hears_this_term || !node.is_settled && !demand.has_history {
            return;
        }
        let started_at = now.saturating_sub(demand.uptime_ms.saturating_mul(MILLISECOND));
        // Where not all was inherited, what nodes held at the beginning counts as spent already.
        let is_charged = node.is_settled || self.inherited_all || started_at > self.began_at;
        let is_late = !std::mem::replace(&mut node.is_settled, true);
        for told in demand.tenants.iter().filter(|told| is_sane(told)) {
            let beyond = node.take(told, demand.round, is_charged);
            if let Some(bucket) = self.buckets.get_mut(&told.tenant) {
                bucket.level -= beyond;
                if is_late {
                    bucket.heard_late(told.granted_rate_per_s);
                }
            }
        }
        if let Some(inheritance) = self.incomplete.as_mut().filter(|_| is_late) {
            inheritance.add_late(demand);
        }
    }

    /// Asks a node what passed there in the window, before any has reported.
    pub fn history_request(&self) -> GrantUpdate {
        GrantUpdate { requests_history: true, ..self.blank(0, 0) }
    }

    /// Grants without any tenant.
    fn blank(&self, nodes: u32, configuration_version: u64) -> GrantUpdate {
        GrantUpdate {
            valid_ms: VALID_MS,
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

    /// The parts of all nodes that reported lately; while the leader is new, questions to them.
    pub fn allocate(
        &mut self,
        now: Micros,
        quotas: &[TenantQuota],
        configuration_version: u64,
    ) -> Vec<(String, GrantUpdate)> {
        self.nodes.retain(|_, node| node.reported_at + COUNTED_FOR > now);
        let limited: Vec<_> = quotas.iter().filter(|quota| quota.rate_per_s > 0.0).collect();
        let heard = self.nodes.len();
        if let Some(inheritance) = self.takeover.as_mut().and_then(|new| new.settle(now, heard)) {
            self.take_over(now, &limited, inheritance);
        }
        self.complete(now, &limited);
        self.round += 1;
        let blank = self.blank(self.node_count(now), configuration_version);
        let grants = if self.takeover.is_none() { self.grant_all(now, &limited, &blank) } else { Vec::new() };
        let unsettled = self.nodes.iter().filter(|(_, node)| !node.is_settled && !node.is_silent(now));
        let questions = unsettled.map(|(name, node)| {
            let report_uptime_ms = node.age_ms;
            (name.clone(), GrantUpdate { requests_history: true, report_uptime_ms, ..blank.clone() })
        });
        grants.into_iter().chain(questions).collect()
    }

    /// Nodes that may let requests pass.
    fn node_count(&self, now: Micros) -> u32 {
        let told = if now < self.began_at + COUNTED_FOR { self.nodes_told } else { 0 };
        told.max(self.nodes.len() as u32)
    }

    /// Begins with what was inherited. All that may have been spent out of sight counts as spent.
    fn take_over(&mut self, now: Micros, limited: &[&TenantQuota], mut inheritance: Inheritance) {
        self.takeover = None;
        self.settled_at = now;
        self.nodes_told = inheritance.nodes_told;
        self.inherited_all = inheritance.is_complete;
        for (name, demand) in std::mem::take(&mut inheritance.answers) {
            let Some(node) = self.nodes.get_mut(&name) else { continue };
            node.is_settled = true;
            for told in demand.tenants.iter().filter(|told| is_sane(told)) {
                node.take(told, 0, false);
            }
        }
        let nothing = Inherited::default();
        for quota in limited {
            let inherited = inheritance.tenants.get(&quota.name).unwrap_or(&nothing);
            let level = inherited.level(quota, &self.bounds, inheritance.known_for);
            // What was lent out of a bucket was in it.
            let level = if self.inherited_all { level } else { level.min(inherited.lent) };
            let unheard_per_s = (quota.rate_per_s - inherited.granted_rate).max(0.0);
            self.buckets.insert(quota.name.clone(), Bucket::taken_over(level, unheard_per_s, now));
        }
        self.incomplete = Some(inheritance).filter(|inheritance| !inheritance.is_complete);
    }

    /// Once all missing nodes have told, what counted as spent out of sight is known.
    fn complete(&mut self, now: Micros, limited: &[&TenantQuota]) {
        let Some(inheritance) = &mut self.incomplete else { return };
        let is_over = now >= self.settled_at + (self.bounds.window_s * SECOND) as Micros;
        let settled = self.nodes.values().filter(|node| node.is_settled).count();
        let is_complete = settled == self.nodes.len() && settled >= inheritance.nodes_told as usize;
        if is_complete {
            let youngest_ms = self.nodes.values().map(|node| node.age_ms).min().unwrap_or(0);
            let known_for = youngest_ms.saturating_mul(MILLISECOND);
            for quota in limited {
                let Some(bucket) = self.buckets.get_mut(&quota.name) else { continue };
                let accounts = || self.nodes.values().filter_map(|node| node.accounts.get(&quota.name));
                let passed_since = accounts().map(Account::passed_since_inherited).sum();
                let held = accounts().map(Account::unused).sum();
                let inherited = inheritance.tenants.entry(quota.name.clone()).or_default();
                inherited.update(passed_since, held);
                bucket.level = bucket.level.max(inherited.level(quota, &self.bounds, known_for));
            }
            self.inherited_all = true;
        }
        if is_complete || is_over {
            self.incomplete = None;
        }
    }

    /// The grants of all settled nodes in touch.
    fn grant_all(
        &mut self,
        now: Micros,
        limited: &[&TenantQuota],
        blank: &GrantUpdate,
    ) -> Vec<(String, GrantUpdate)> {
        let mut tenants: BTreeMap<String, Vec<TenantGrant>> = BTreeMap::new();
        let mut held = Vec::new();
        let any_silent = self.nodes.values().any(|node| node.is_silent(now));
        let known = self.known_tenants();
        for quota in limited {
            self.fill(now, quota, any_silent);
            if !known.contains(&quota.name) {
                continue;
            }
            let (pass_share, grants) = self.issue(now, quota);
            if pass_share < 1.0 {
                held.push(ThrottledTenant { tenant: quota.name.clone(), pass_share });
            }
            for (node, grant) in grants {
                tenants.entry(node).or_default().push(grant);
            }
        }
        let names: BTreeSet<&str> = limited.iter().map(|quota| quota.name.as_str()).collect();
        self.buckets.retain(|name, _| names.contains(name.as_str()));
        let in_touch = self.nodes.iter().filter(|(_, node)| node.is_settled && !node.is_silent(now));
        in_touch
            .map(|(name, node)| {
                let tenants = tenants.remove(name).unwrap_or_default();
                let report_uptime_ms = node.age_ms;
                (
                    name.clone(),
                    GrantUpdate { tenants, throttled: held.clone(), report_uptime_ms, ..blank.clone() },
                )
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

    /// Fills a tenant's bucket with what its rate leaves beside what silent and unheard nodes may use.
    fn fill(&mut self, now: Micros, quota: &TenantQuota, any_silent: bool) {
        let depth = self.bounds.depth(quota);
        let count = self.node_count(now);
        let floor = FLOOR_PART * quota.rate_per_s / f64::from(count.max(1));
        let bucket = self.buckets.entry(quota.name.clone()).or_insert_with(|| Bucket::begin(depth, now));
        let unheard = count.saturating_sub(self.nodes.len() as u32);
        let mut set_aside = f64::from(unheard) * floor;
        if unheard > 0 && now < self.settled_at + KEPT_FOR + LAPSE {
            set_aside = set_aside.max(bucket.unheard_per_s);
        }
        let filled_at = bucket.filled_at();
        let mut late = 0.0;
        // Almost always none is silent: then no node is looked at for each tenant.
        let looked_at = if any_silent { self.nodes.len() } else { 0 };
        for node in self.nodes.values_mut().take(looked_at).filter(|node| node.is_silent(now)) {
            let rate = node.may_use(now, quota, floor);
            set_aside += rate;
            late += node.set_aside(now, filled_at, quota, rate);
        }
        bucket.fill(now, quota.rate_per_s, depth, set_aside);
        bucket.level -= late;
    }

    /// Raises the ceilings of the nodes in touch that told of the tenant by what the bucket holds, in proportion to what
    /// each lacks; and gives the part of the requests beyond ceilings that may pass.
    fn issue(&mut self, now: Micros, quota: &TenantQuota) -> (f64, Vec<(String, TenantGrant)>) {
        let depth = self.bounds.depth(quota);
        let nodes = self.nodes.len() as f64;
        let Some(bucket) = self.buckets.get_mut(&quota.name) else { return (1.0, Vec::new()) };
        let mut accounts = Vec::new();
        let mut others = Vec::new();
        for (name, node) in &mut self.nodes {
            let is_in_touch = node.is_settled && !node.is_silent(now);
            let Some(account) = node.accounts.get_mut(&quota.name) else { continue };
            let wants = is_in_touch && account.is_told;
            if wants { accounts.push((name, account)) } else { others.push((name, account)) }
        }
        // What was issued and not used is part of what may pass beyond the rate.
        let everyone = || accounts.iter().chain(&others);
        let unused: f64 = everyone().map(|(_, account)| account.unused()).sum();
        let mut lent: f64 = everyone().map(|(_, account)| account.lent()).sum();
        // Any node may be the next to get a request, also one that told of none.
        let largest = accounts.iter().map(|(_, account)| account.request_units).fold(0.0, f64::max);
        let is_crowded = depth * OVERDRAFT_PART < largest * nodes;
        let most = if is_crowded { depth - self.bounds.margin(quota) } else { depth };
        bucket.level = bucket.level.min(most - unused);
        let demand: f64 = accounts.iter().map(|(_, account)| account.rate_per_s).sum();
        let spare = bucket.level * if is_crowded { OVERDRAFT_PART } else { LENT_PART };
        let count = accounts.len().max(1) as f64;
        let spare_each = spare / count;
        let is_plenty = spare_each >= largest;
        // All nodes together may exceed what was issued by no more than the bounds allow.
        let chance = bucket.level + self.bounds.margin(quota);
        let supply = Supply { spare_each, is_plenty, is_crowded };
        let pass_share = if is_plenty { 1.0 } else { pass_share(quota.rate_per_s, spare, demand) };

        let lacking: f64 = accounts.iter().map(|(_, account)| account.lacks(&supply)).sum();
        let mut budget = (bucket.level - lent).max(0.0);
        let part = if lacking > 0.0 { (budget / lacking).min(1.0) } else { 0.0 };
        let rate_each = (quota.rate_per_s - bucket.set_aside_per_s).max(0.0) / demand.max(1.0);
        // Where there is less than a request for each, some get a whole one, by turns.
        let turn = self.round as usize % accounts.len().max(1);
        accounts.rotate_left(turn);
        let grants = accounts.iter_mut().map(|(name, account)| {
            let lacks = account.lacks(&supply);
            let issued = lacks.min((lacks * part).max(account.request_units)).min(budget);
            budget -= issued;
            bucket.level -= issued;
            let ceiling = account.issue(&supply, issued);
            // What is lent to the others as far as is known stays theirs.
            lent -= account.lent();
            let wanted = if is_plenty || is_crowded { spare_each } else { 0.0 };
            let lend = wanted.min(bucket.level - lent).max(0.0);
            let rate_per_s = rate_each * account.rate_per_s;
            account.grant(Granted { round: self.round, ceiling, lent: lend, rate_per_s });
            lent += account.lent();
            let by_chance = account.chance_overdraft(pass_share, largest);
            let by_chance = match (is_crowded, pass_share >= 1.0) {
                (true, _) => by_chance,
                (false, true) => by_chance.min(chance / nodes),
                (false, false) => 0.0,
            };
            let grant = TenantGrant {
                tenant: quota.name.clone(),
                ceiling,
                overdraft: lend.max(by_chance),
                rate_per_s,
                incarnation: account.incarnation,
                pass_share,
                reserved: lend,
                acknowledged: account.passed,
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

    /// Takes in what it tells of one tenant; what it used or holds beyond what was issued to it is returned. Not charged
    /// is what counts as issued before.
    fn take(&mut self, told: &TenantDemand, round: u64, is_charged: bool) -> f64 {
        let known =
            self.accounts.get(&told.tenant).is_some_and(|known| known.incarnation == told.incarnation);
        if !known && !is_charged {
            self.accounts.insert(told.tenant.clone(), Account::taken_over(told));
            return 0.0;
        }
        self.accounts.entry(told.tenant.clone()).or_default().take(told, round)
    }

    /// Units a second that a silent node may be using: what it was granted last until that lapses, then its floor.
    fn may_use(&self, now: Micros, quota: &TenantQuota, floor: f64) -> f64 {
        let granted = self.accounts.get(&quota.name).map_or(0.0, Account::granted_rate);
        if self.reported_at + KEPT_FOR + LAPSE > now { granted.max(floor) } else { floor }
    }

    /// Notes what is set aside for it since the bucket was filled. What it may have used between its last report and
    /// then is returned: that was filled for others.
    fn set_aside(&mut self, now: Micros, filled_at: Micros, quota: &TenantQuota, rate: f64) -> f64 {
        let span_s = |from: Micros, until: Micros| until.saturating_sub(from) as f64 / SECOND;
        let Some(account) = self.accounts.get_mut(&quota.name) else { return 0.0 };
        let late = if account.set_aside == 0.0 { rate * span_s(self.reported_at, filled_at) } else { 0.0 };
        account.set_aside += late + rate * span_s(filled_at.max(self.reported_at), now);
        late + account.give_up_lent()
    }
}

/// Part of a demand that may pass so that the bucket's level is spent within [`LEVEL_TIME_S`], or its debt paid back
/// within [`DEBT_TIME_S`].
fn pass_share(rate_per_s: f64, spare: f64, demand: f64) -> f64 {
    let time_s = if spare > 0.0 { LEVEL_TIME_S } else { DEBT_TIME_S };
    ((rate_per_s + spare / time_s) / demand.max(1.0)).clamp(0.0, 1.0)
}

/// Whether the figures told can be added up.
pub(crate) fn is_sane(told: &TenantDemand) -> bool {
    let amounts = [told.admitted, told.mean_request_units, told.acknowledged, told.available, told.borrowed];
    let figures = amounts.into_iter().chain([told.rate_per_s, told.granted_rate_per_s]);
    figures.chain(told.history.iter().copied()).all(|figure| figure.is_finite() && figure >= 0.0)
}
