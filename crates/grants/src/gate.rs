//! Admits requests within a node's share of each tenant's quota.

use std::collections::HashMap;

use dunelink_protocol::{GrantUpdate, NodeDemand, TenantDemand, TenantGrant};

use crate::bounds::{FLOOR_SHARE, RATE_LAPSE_US};
use crate::history::{self, AdmissionHistory};
use crate::node_tenant::SPARSE_OVERDRAFT_REQUESTS;
use crate::{MILLISECOND, Micros, QuotaBounds, SECOND, TenantQuota};

/// Number of nodes assumed before the first grant.
const INITIAL_NODE_COUNT: u32 = 64;
/// Share of a node's part of the bucket depth that it may accumulate from its floor. Small, because a
/// restarted node does not know what it used before.
const FLOOR_DEPTH_SHARE: f64 = 0.25;
/// Time constant of the moving average of the demand, in microseconds.
const DEMAND_TIME_CONSTANT_US: Micros = 700 * MILLISECOND;
/// A demand of fewer units per second is left out of reports.
const MIN_REPORTED_DEMAND_PER_S: f64 = 0.01;
/// Up to this number of tenants, all are reported, including those without demand.
const MAX_TENANTS_ALL_REPORTED: usize = 64;
/// Number of requests that a node may accumulate from its floor.
const MAX_SAVED_REQUESTS: f64 = 2.0;
/// Weight of one request in the moving average of the request size.
const REQUEST_SIZE_STEP: f64 = 0.02;
/// Minimum and maximum retry time for a client whose tenant is over its quota, in microseconds.
const MIN_RETRY_AFTER_US: Micros = 100 * MILLISECOND;
const MAX_RETRY_AFTER_US: Micros = 5_000 * MILLISECOND;
/// Maximum retry time while this node lacks a grant but the tenant is not over its quota, in microseconds.
/// The leader, or a new one, issues units within about this time after it receives a report.
const MAX_UNGRANTED_RETRY_AFTER_US: Micros = 500 * MILLISECOND;

/// A request exceeds its tenant's quota. The client may retry after this many microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryAfter(pub Micros);

/// The effect of a grant update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// None: the update is from an earlier leader, or a history request that was already answered.
    Ignored,
    /// A new leader requests the history, which the next report will contain.
    HistoryRequested,
    /// The grants are in force.
    Applied,
}

/// Upper bound of a grant's validity, in milliseconds.
const MAX_GRANT_VALID_MS: u64 = 60_000;
/// Upper bound of the uptime in a grant update, in milliseconds. No process runs for longer.
const MAX_UPTIME_MS: u64 = 1 << 42;
/// A grant older than this is no longer fresh, in microseconds: the leader may have failed. The node then
/// admits beyond its ceiling only what all nodes may use without coordination, and continues at the last
/// granted rate.
const GRANT_FRESH_US: Micros = 400 * MILLISECOND;
/// Step of the sequence that selects which requests beyond a ceiling are admitted: the fractional part of the
/// golden ratio, whose multiples modulo 1 are evenly distributed.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// What the allocator granted for one tenant.
#[derive(Debug, Default, Clone, Copy)]
struct Grant {
    /// The end of its freshness: see [`GRANT_FRESH_US`].
    fresh_until: Micros,
    /// The end of its validity; 0 before the first grant.
    valid_until: Micros,
    /// The total of admitted units that this node may reach.
    ceiling: f64,
    /// Units by which the ceiling may be exceeded while the grant is fresh.
    overdraft: f64,
    /// The same in requests of the mean size, in addition.
    overdraft_requests: f64,
    /// Units beyond the ceiling that are kept for this node alone.
    credit: f64,
    /// Units per second that accrue when the grant is no longer fresh.
    rate_per_s: f64,
    /// Share of the requests beyond the ceiling that are admitted, 0 to 1.
    pass_share: f64,
    /// Whether the tenant's demand over all nodes exceeds its quota.
    is_over_quota: bool,
}

impl Grant {
    /// The grant for a tenant that this node has reported.
    fn from_update(now: Micros, valid_until: Micros, grant: &TenantGrant) -> Self {
        Self {
            fresh_until: valid_until.min(now + GRANT_FRESH_US),
            valid_until,
            ceiling: grant.ceiling,
            overdraft: grant.overdraft,
            overdraft_requests: 0.0,
            credit: grant.reserved,
            rate_per_s: grant.rate_per_s,
            pass_share: grant.pass_share,
            is_over_quota: grant.pass_share < 1.0,
        }
    }

    /// The grant for a tenant that this node need not report: its next requests are admitted, as many as may
    /// arrive at random before the node reports them.
    fn for_unreported(&self, now: Micros, valid_until: Micros, pass_share: f64) -> Self {
        Self {
            fresh_until: valid_until.min(now + GRANT_FRESH_US),
            valid_until,
            ceiling: self.ceiling,
            overdraft: 0.0,
            overdraft_requests: SPARSE_OVERDRAFT_REQUESTS,
            credit: 0.0,
            rate_per_s: 0.0,
            pass_share,
            is_over_quota: pass_share < 1.0,
        }
    }

    /// Units by which the ceiling may be exceeded, for requests of this size.
    fn overdraft(&self, request_units: f64) -> f64 {
        self.overdraft + self.overdraft_requests * request_units
    }

    /// The grant that remains in force after a new leader requested the history: `ceiling`, and the unused
    /// credit that the earlier leader granted and that is reported to the new one. If the credit is less than
    /// a request, requests are admitted by probability as before.
    fn after_history_request(
        now: Micros,
        ceiling: f64,
        credit: f64,
        request_units: f64,
        previous: &Self,
    ) -> Self {
        let is_probabilistic = previous.is_probabilistic(request_units);
        Self {
            fresh_until: now + GRANT_FRESH_US,
            valid_until: previous.valid_until,
            ceiling,
            overdraft: if is_probabilistic { credit.max(request_units) } else { credit },
            overdraft_requests: 0.0,
            credit,
            rate_per_s: previous.rate_per_s,
            pass_share: if is_probabilistic { credit / request_units.max(1.0) } else { 0.0 },
            is_over_quota: previous.is_over_quota,
        }
    }

    /// Whether the credit is less than a request, so that requests beyond the ceiling are admitted by
    /// probability.
    fn is_probabilistic(&self, request_units: f64) -> bool {
        self.overdraft > self.credit && self.credit < request_units
    }

    /// The time until which the granted rate applies without renewal.
    fn rate_lapses_at(&self) -> Micros {
        if self.valid_until == 0 { 0 } else { self.valid_until + RATE_LAPSE_US }
    }
}

/// State of one tenant at this node.
#[derive(Debug)]
struct TenantState {
    /// Differs from that of each other state that a node has had for the tenant: totals of admitted units are
    /// only comparable within one.
    incarnation: u64,
    quota: TenantQuota,
    grant: Grant,
    /// Units admitted since the process started.
    admitted: f64,
    /// Admitted units that a leader has confirmed to have counted.
    acknowledged: f64,
    /// Units admitted in the last window.
    history: AdmissionHistory,
    /// Units that may be admitted without a grant, from the floor. Negative after a request larger than the
    /// remainder.
    floor_level: f64,
    floor_filled_at: Micros,
    /// Moving average of the request size, in units.
    mean_request_units: f64,
    demand: Demand,
    /// The last value of the sequence that selects which requests beyond the ceiling are admitted; between 0
    /// and 1.
    admission_sequence: f64,
}

/// Moving average of the demand, with the time constant [`DEMAND_TIME_CONSTANT_US`].
#[derive(Debug, Default)]
struct Demand {
    rate_per_s: f64,
    updated_at: Micros,
}

/// Admits requests within this node's grants, and within its floors while it has none.
#[derive(Debug)]
pub struct QuotaGate {
    bounds: QuotaBounds,
    incarnation: u64,
    /// The highest term of a leader that sent an update. Updates of earlier terms are rejected.
    term: u64,
    /// Number of the last round of grants that was applied.
    round: u64,
    /// Whether the leader of `term` still requests the history of the last window.
    history_requested: bool,
    /// When the process started.
    started_at: Micros,
    nodes: u32,
    /// Whether a leader has sent the value of `nodes`.
    has_node_count: bool,
    /// See [`Self::take_shortage`].
    has_shortage: bool,
    tenants: HashMap<String, TenantState>,
    /// Tenants that left the configuration within the last window. They may return, and what they used then
    /// still counts.
    departed: HashMap<String, DepartedTenant>,
    /// Number of tenant states created so far.
    created_states: u64,
}

/// The state of a tenant that left the configuration.
#[derive(Debug)]
struct DepartedTenant {
    state: TenantState,
    departed_at: Micros,
}

impl QuotaGate {
    /// Creates a gate without tenants, which admits everything until [`Self::set_tenants`]. `incarnation`
    /// must differ at each start of the process, which is at `now`: it distinguishes grants for this process
    /// from those for an earlier one.
    pub fn new(bounds: QuotaBounds, incarnation: u64, now: Micros) -> Self {
        Self {
            bounds,
            incarnation,
            term: 0,
            round: 0,
            history_requested: false,
            started_at: now,
            nodes: INITIAL_NODE_COUNT,
            has_node_count: false,
            has_shortage: false,
            tenants: HashMap::new(),
            departed: HashMap::new(),
            created_states: 0,
        }
    }

    /// Replaces the tenants by those of a configuration. Tenants that remain, or that return within a window,
    /// keep their state.
    pub fn set_tenants(&mut self, now: Micros, tenants: &[TenantQuota]) {
        let window = (self.bounds.window_s * SECOND) as Micros;
        self.departed.retain(|_, tenant| tenant.departed_at + window > now);
        let mut previous = std::mem::take(&mut self.tenants);
        for quota in tenants.iter().filter(|quota| quota.rate_per_s > 0.0) {
            let returned = self.departed.remove(&quota.name).map(|tenant| tenant.state);
            let known = previous.remove(&quota.name).or(returned);
            let mut state = known.unwrap_or_else(|| self.create_state(now, quota));
            state.fill_floor(now, &self.bounds, self.nodes);
            state.quota = quota.clone();
            self.tenants.insert(quota.name.clone(), state);
        }
        let departed = previous.into_iter();
        self.departed
            .extend(departed.map(|(name, state)| (name, DepartedTenant { state, departed_at: now })));
    }

    fn create_state(&mut self, now: Micros, quota: &TenantQuota) -> TenantState {
        let incarnation = self.incarnation.wrapping_add(self.created_states);
        self.created_states += 1;
        TenantState::new(now, quota.clone(), incarnation)
    }

    /// The states of the tenants and of those that left the configuration.
    fn all_states_mut(&mut self) -> impl Iterator<Item = (&String, &mut TenantState)> {
        let departed = self.departed.iter_mut().map(|(name, tenant)| (name, &mut tenant.state));
        self.tenants.iter_mut().chain(departed)
    }

    fn fill_floors(&mut self, now: Micros) {
        let (bounds, nodes) = (self.bounds, self.nodes);
        self.all_states_mut().for_each(|(_, state)| state.fill_floor(now, &bounds, nodes));
    }

    /// Applies grants, or a new leader's request for the history.
    pub fn apply(&mut self, now: Micros, update: &GrantUpdate) -> ApplyOutcome {
        if update.term < self.term {
            return ApplyOutcome::Ignored;
        }
        self.fill_floors(now);
        let is_first_request = update.requests_history && update.term > self.term;
        (self.term, self.round, self.history_requested) =
            (update.term, update.round, update.requests_history);
        if is_first_request {
            self.all_states_mut().for_each(|(_, state)| state.freeze_for_history(now));
            return ApplyOutcome::HistoryRequested;
        }
        if update.requests_history {
            return ApplyOutcome::Ignored;
        }
        self.nodes = update.node_count.max(1);
        self.has_node_count = true;
        let valid_until = self.grant_expiry(now, update);
        let granted = update.tenants.iter().filter(|grant| is_valid(grant));
        let granted: HashMap<&str, &TenantGrant> =
            granted.map(|grant| (grant.tenant.as_str(), grant)).collect();
        let throttled = update.throttled.iter().map(|limited| (limited.tenant.as_str(), limited.pass_share));
        let throttled: HashMap<&str, f64> = throttled.collect();
        for (name, state) in self.all_states_mut() {
            let grant = granted.get(name.as_str());
            if let Some(grant) = grant.filter(|grant| grant.incarnation == state.incarnation) {
                // The floor's units were reported as usable, so the ceiling now includes them.
                state.floor_level = state.floor_level.min(0.0);
                state.acknowledged = grant.acknowledged;
                state.grant = Grant::from_update(now, valid_until, grant);
            } else {
                let pass_share = throttled.get(name.as_str()).copied().unwrap_or(1.0);
                state.grant = state.grant.for_unreported(now, valid_until, pass_share);
            }
        }
        ApplyOutcome::Applied
    }

    /// The time until which grants are valid. It is measured from the report that they answer, so that a late
    /// grant is not valid for longer.
    fn grant_expiry(&self, now: Micros, update: &GrantUpdate) -> Micros {
        let valid_us = update.valid_ms.min(MAX_GRANT_VALID_MS) * MILLISECOND;
        let reported_at = self.started_at + update.report_uptime_ms.min(MAX_UPTIME_MS) * MILLISECOND;
        reported_at.min(now) + valid_us
    }

    /// Admits a request of `units`, or returns when the client may retry.
    ///
    /// # Errors
    ///
    /// The tenant is over its quota at this node.
    pub fn admit(&mut self, now: Micros, tenant: &str, units: f64) -> Result<(), RetryAfter> {
        let Some(state) = self.tenants.get_mut(tenant) else { return Ok(()) };
        state.demand.add(now, units);
        state.observe_size(units);
        state.fill_floor(now, &self.bounds, self.nodes);
        let room = state.room(now);
        if room >= state.required_room() || state.may_exceed_ceiling(now, room) {
            state.record_admission(now, units);
            self.has_shortage |= !state.has_room_for_another(now);
            state.history.add(now, units, history::interval_count(&self.bounds));
            return Ok(());
        }
        self.has_shortage |= !state.is_over_quota(now);
        let rate = state.rate(now, self.nodes).max(1.0);
        let wait = (state.required_room() - room) / rate * SECOND;
        Err(RetryAfter((wait as Micros).clamp(MIN_RETRY_AFTER_US, state.max_retry_after(now))))
    }

    /// Whether, since the last call, a tenant within its quota had less left here than a request needs. The
    /// allocator should then get a report soon.
    pub fn take_shortage(&mut self) -> bool {
        std::mem::take(&mut self.has_shortage)
    }

    /// Returns the units of a request that was admitted but never reached a server.
    pub fn refund(&mut self, tenant: &str, units: f64) {
        if let Some(state) = self.tenants.get_mut(tenant) {
            state.admitted = (state.admitted - units).max(0.0);
        }
    }

    /// The demand by tenant for the next report to the leader.
    pub fn demand_report(&mut self, now: Micros) -> NodeDemand {
        self.fill_floors(now);
        let intervals = if self.history_requested { history::interval_count(&self.bounds) } else { 0 };
        let states = self.tenants.iter();
        // A new leader has to know what tenants used that may return.
        let departed = self.departed.iter().filter(|_| self.history_requested);
        let states = states.chain(departed.map(|(name, tenant)| (name, &tenant.state)));
        let reports = states.map(|(name, state)| state.demand_report(now, name, intervals));
        // If there are few tenants, they are reported before they have any demand, so that their first
        // requests find a grant.
        let reports_all = self.tenants.len() <= MAX_TENANTS_ALL_REPORTED;
        let is_included = |demand: &TenantDemand| {
            reports_all
                || demand.rate_per_s >= MIN_REPORTED_DEMAND_PER_S
                || demand.admitted != demand.acknowledged
                || !demand.history.is_empty()
        };
        NodeDemand {
            term: self.term,
            uptime_ms: now.saturating_sub(self.started_at) / MILLISECOND,
            node_count: if self.has_node_count { self.nodes } else { 0 },
            round: self.round,
            has_history: self.history_requested,
            tenants: reports.filter(is_included).collect(),
        }
    }
}

impl TenantState {
    /// Creates the state of a tenant without grants. The admission sequence starts at a different point in
    /// each process.
    fn new(now: Micros, quota: TenantQuota, incarnation: u64) -> Self {
        Self {
            incarnation,
            quota,
            grant: Grant::default(),
            admitted: 0.0,
            acknowledged: 0.0,
            history: AdmissionHistory::default(),
            floor_level: 0.0,
            floor_filled_at: now,
            mean_request_units: 0.0,
            demand: Demand { rate_per_s: 0.0, updated_at: now },
            admission_sequence: incarnation as f64 / u64::MAX as f64,
        }
    }

    /// The report of this tenant, with the last `intervals` intervals of its history.
    fn demand_report(&self, now: Micros, name: &str, intervals: usize) -> TenantDemand {
        TenantDemand {
            tenant: name.to_owned(),
            rate_per_s: self.demand.rate(now),
            admitted: self.admitted,
            mean_request_units: self.mean_request_units,
            incarnation: self.incarnation,
            acknowledged: self.acknowledged,
            available: self.unused_units(),
            granted_rate_per_s: if now < self.grant.rate_lapses_at() { self.grant.rate_per_s } else { 0.0 },
            history: if intervals > 0 { self.history.recent(now, intervals) } else { Vec::new() },
            borrowed: if intervals > 0 { self.unused_credit(now) } else { 0.0 },
        }
    }

    /// Units that may be admitted without another grant, excluding those beyond the ceiling.
    fn unused_units(&self) -> f64 {
        (self.grant.ceiling - self.admitted).max(0.0) + self.floor_level.max(0.0)
    }

    /// Unused units of the credit beyond the ceiling.
    fn unused_credit(&self, now: Micros) -> f64 {
        let credit = if now < self.grant.valid_until { self.grant.credit.max(0.0) } else { 0.0 };
        (self.grant.ceiling + credit - self.admitted).clamp(0.0, credit)
    }

    /// Prepares for a new leader's history request: all unused units become part of the ceiling, and nothing
    /// accrues until the leader has had time to grant.
    fn freeze_for_history(&mut self, now: Micros) {
        let credit = self.unused_credit(now);
        let ceiling = self.admitted + self.unused_units();
        self.grant = Grant::after_history_request(now, ceiling, credit, self.mean_request_units, &self.grant);
        self.floor_level = self.floor_level.min(0.0);
    }

    /// Current rate in units per second.
    fn rate(&self, now: Micros, nodes: u32) -> f64 {
        if now < self.grant.rate_lapses_at() { self.grant.rate_per_s } else { self.floor_rate(nodes) }
    }

    fn floor_rate(&self, nodes: u32) -> f64 {
        self.quota.rate_per_s * FLOOR_SHARE / f64::from(nodes)
    }

    /// Maximum level of the floor: its share of the bucket depth, but at least [`MAX_SAVED_REQUESTS`]
    /// requests, however many nodes there are.
    fn floor_depth(&self, bounds: &QuotaBounds, nodes: u32) -> f64 {
        (bounds.depth(&self.quota) / f64::from(nodes) * FLOOR_DEPTH_SHARE)
            .max(self.mean_request_units * MAX_SAVED_REQUESTS)
    }

    /// Adds to the floor's level what has accrued without a valid grant: at the last granted rate until that
    /// lapses, then at the floor's rate.
    fn fill_floor(&mut self, now: Micros, bounds: &QuotaBounds, nodes: u32) {
        let since = |from: Micros, until: Micros| until.saturating_sub(from) as f64 / SECOND;
        let rate_lapses_at = self.grant.rate_lapses_at();
        let granted_s = since(self.floor_filled_at.max(self.grant.fresh_until), now.min(rate_lapses_at));
        let floor_s = since(self.floor_filled_at.max(rate_lapses_at).max(self.grant.fresh_until), now);
        let accrued = granted_s * self.grant.rate_per_s + floor_s * self.floor_rate(nodes);
        let depth = self.floor_depth(bounds, nodes);
        self.floor_level = (self.floor_level + accrued).min(depth.max(self.floor_level));
        self.floor_filled_at = now.max(self.floor_filled_at);
    }

    /// Units that may be admitted now without exceeding the ceiling.
    fn room(&self, now: Micros) -> f64 {
        let floor = self.floor_level.max(0.0);
        if now < self.grant.valid_until {
            return self.grant.ceiling - self.admitted + floor;
        }
        // Issued units remain issued after the grant has expired.
        self.floor_level + (self.grant.ceiling - self.admitted).max(0.0)
    }

    /// Whether another request could be admitted within the ceiling and the credit.
    fn has_room_for_another(&self, now: Micros) -> bool {
        let credit = if now < self.grant.valid_until { self.grant.credit } else { 0.0 };
        self.room(now) + credit >= self.required_room()
    }

    /// Whether a request is admitted beyond the ceiling: with a fresh grant, at the share that the allocator
    /// set; with an older one, as this node's credit allows.
    fn may_exceed_ceiling(&mut self, now: Micros, room: f64) -> bool {
        let request = self.mean_request_units;
        let (share, overdraft) = match now {
            _ if now < self.grant.fresh_until => (self.grant.pass_share, self.grant.overdraft(request)),
            _ if now < self.grant.valid_until && self.grant.is_probabilistic(request) => {
                (self.grant.credit / request.max(1.0), self.grant.credit.max(request))
            }
            _ if now < self.grant.valid_until => (0.0, 0.0),
            _ => return false,
        };
        if now < self.grant.valid_until && room + self.grant.credit >= self.required_room() {
            // The credit covers the request.
            return true;
        }
        if room + overdraft < self.required_room() {
            return false;
        }
        self.admission_sequence = (self.admission_sequence + GOLDEN_RATIO_FRACTION).fract();
        self.admission_sequence < share
    }

    /// Whether the tenant as a whole is over its quota, as far as is known.
    fn is_over_quota(&self, now: Micros) -> bool {
        self.grant.is_over_quota && now < self.grant.valid_until
    }

    /// Maximum retry time for a refused client.
    fn max_retry_after(&self, now: Micros) -> Micros {
        if self.is_over_quota(now) { MAX_RETRY_AFTER_US } else { MAX_UNGRANTED_RETRY_AFTER_US }
    }

    /// The room at which a request is admitted, whatever its own size. Otherwise small requests would use up
    /// what a large one waits for. The excess of a large request is made up for before the next request is
    /// admitted.
    fn required_room(&self) -> f64 {
        self.mean_request_units
    }

    /// Counts the units of an admitted request. Without a valid grant they are taken from the issued units
    /// first and then from the floor; with one, from the floor first, which is not refilled while there are
    /// grants. Units taken from the floor raise the ceiling, because the allocator has reserved them.
    fn record_admission(&mut self, now: Micros, units: f64) {
        let from_floor = if now < self.grant.valid_until {
            units.min(self.floor_level.max(0.0))
        } else {
            units - units.min((self.grant.ceiling - self.admitted).max(0.0))
        };
        self.floor_level -= from_floor;
        self.grant.ceiling += from_floor;
        self.admitted += units;
    }

    /// Updates the moving average of the request size.
    fn observe_size(&mut self, units: f64) {
        let step = if self.mean_request_units == 0.0 { 1.0 } else { REQUEST_SIZE_STEP };
        self.mean_request_units += (units - self.mean_request_units) * step;
    }
}

impl Demand {
    /// The current average, which decays while there are no requests.
    fn rate(&self, now: Micros) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at) as f64 / DEMAND_TIME_CONSTANT_US as f64;
        self.rate_per_s * (-elapsed).exp()
    }

    fn add(&mut self, now: Micros, units: f64) {
        let time_s = DEMAND_TIME_CONSTANT_US as f64 / SECOND;
        self.rate_per_s = self.rate(now) + units / time_s;
        self.updated_at = now;
    }
}

fn is_valid(grant: &TenantGrant) -> bool {
    let values = [
        grant.ceiling,
        grant.overdraft,
        grant.rate_per_s,
        grant.pass_share,
        grant.reserved,
        grant.acknowledged,
    ];
    values.iter().all(|value| value.is_finite())
}
