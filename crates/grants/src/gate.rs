//! Lets requests pass within a node's part of each tenant's quota.

use std::collections::HashMap;

use dunelink_protocol::{GrantUpdate, NodeDemand, TenantDemand, TenantGrant};

use crate::account::SPARSE_REQUESTS;
use crate::bounds::{FLOOR_PART, LAPSE};
use crate::history::{self, History};
use crate::{MILLISECOND, Micros, QuotaBounds, SECOND, TenantQuota};

/// Nodes assumed before the first grant tells their number.
const NODES_ASSUMED: u32 = 64;
/// Part of a node's part of the depth that it may save up out of its floor. Small: what it used before it restarted is
/// forgotten.
const FLOOR_DEPTH_PART: f64 = 0.25;
/// Time constant of the demand's average.
const DEMAND_TIME: Micros = 700 * MILLISECOND;
/// Demand below this many units a second is left out of reports.
const LEAST_DEMAND: f64 = 0.01;
/// With so many tenants at most all are told of, also those without demand.
const TENANTS_ALL_TOLD: usize = 64;
/// Requests that a node may save up out of its floor.
const SAVED_REQUESTS: f64 = 2.0;
/// How far one request moves the average of their sizes.
const SIZE_STEP: f64 = 0.02;
/// Bounds of the time told to a client that is over its quota.
const RETRY_AFTER_LEAST: Micros = 100 * MILLISECOND;
const RETRY_AFTER_MOST: Micros = 5_000 * MILLISECOND;
/// The most while it is this node that lacks a grant rather than the tenant that is over its quota: the leader, or a new
/// one, issues about so long after it heard.
const RETRY_AFTER_UNGRANTED: Micros = 500 * MILLISECOND;

/// A request is over its tenant's quota; it may come back after this many microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryAfter(pub Micros);

/// What came of an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// Nothing: it is of a leader that is none any more, or a question that was answered.
    Ignored,
    /// A new leader asks what passed: the next report answers.
    HistoryRequested,
    /// The grants are in force.
    Applied,
}

/// Grants that claim to hold for longer than this, in milliseconds, hold for this long.
const VALID_MOST_MS: u64 = 60_000;
/// Ages told in grants beyond this are cut, in milliseconds: they are no process's.
const MAX_AGE_MS: u64 = 1 << 42;
/// Without a new grant for so long the leader may be gone: no more passes beyond a ceiling than all nodes may use
/// without a word between them, and the node goes on at the rate that it was granted last.
const FRESH_FOR: Micros = 400 * MILLISECOND;
/// Steps of the sequence that decides which requests beyond a ceiling pass: the fraction of the golden ratio, whose
/// multiples lie evenly between 0 and 1.
const GOLDEN_STEP: f64 = 0.618_033_988_749_895;

/// What the allocator granted.
#[derive(Debug, Default, Clone, Copy)]
struct Grant {
    fresh_until: Micros,
    until: Micros,
    ceiling: f64,
    overdraft: f64,
    overdraft_requests: f64,
    spare: f64,
    rate_per_s: f64,
    pass_share: f64,
    /// Whether the tenant asks all nodes together for more than it may.
    is_over: bool,
}

impl Grant {
    /// What is granted of a tenant that this node has told of.
    fn told(now: Micros, until: Micros, told: &TenantGrant) -> Self {
        Self {
            fresh_until: until.min(now + FRESH_FOR),
            until,
            ceiling: told.ceiling,
            overdraft: told.overdraft,
            overdraft_requests: 0.0,
            spare: told.reserved,
            rate_per_s: told.rate_per_s,
            pass_share: told.pass_share,
            is_over: told.pass_share < 1.0,
        }
    }

    /// What is granted of a tenant that this node need not tell of: its next requests pass, as many as chance may bring
    /// until it has told of them.
    fn untold(&self, now: Micros, until: Micros, pass_share: f64) -> Self {
        Self {
            fresh_until: until.min(now + FRESH_FOR),
            until,
            ceiling: self.ceiling,
            overdraft: 0.0,
            overdraft_requests: SPARSE_REQUESTS,
            spare: 0.0,
            rate_per_s: 0.0,
            pass_share,
            is_over: pass_share < 1.0,
        }
    }

    /// Units by which the ceiling may be exceeded, with requests of that size.
    fn overdraft(&self, request_units: f64) -> f64 {
        self.overdraft + self.overdraft_requests * request_units
    }

    /// What is left of a grant once a new leader has asked what passed: `ceiling`, and what the leader before it has lent
    /// out of its bucket, as the new one is told. Where that is less than a request, chance decides as before.
    fn asked(now: Micros, ceiling: f64, spare: f64, request_units: f64, before: &Self) -> Self {
        let is_by_chance = before.is_by_chance(request_units);
        Self {
            fresh_until: now + FRESH_FOR,
            until: before.until,
            ceiling,
            overdraft: if is_by_chance { spare.max(request_units) } else { spare },
            overdraft_requests: 0.0,
            spare,
            rate_per_s: before.rate_per_s,
            pass_share: if is_by_chance { spare / request_units.max(1.0) } else { 0.0 },
            is_over: before.is_over,
        }
    }

    /// Whether less is kept for this node than a request, so that chance decides what passes beyond the ceiling.
    fn is_by_chance(&self, request_units: f64) -> bool {
        self.overdraft > self.spare && self.spare < request_units
    }

    /// Until then its rate holds without a renewal.
    fn lapses_at(&self) -> Micros {
        if self.until == 0 { 0 } else { self.until + LAPSE }
    }
}

/// One tenant's part at this node.
#[derive(Debug)]
struct Account {
    quota: TenantQuota,
    grant: Grant,
    /// Units let pass since the start.
    passed: f64,
    /// Units that a leader has told to have taken in.
    counted: f64,
    /// What passed in the window.
    history: History,
    /// Units that may pass without a grant, out of the floor; below zero after a request larger than what was left.
    floor_level: f64,
    floor_filled_at: Micros,
    /// Units of a request, an average.
    request_units: f64,
    demand: Demand,
    /// Between 0 and 1: the last of the sequence that decides which requests pass beyond the ceiling.
    draw: f64,
}

/// Units asked for, averaged over [`DEMAND_TIME`].
#[derive(Debug, Default)]
struct Demand {
    rate_per_s: f64,
    counted_at: Micros,
}

/// Lets requests pass within this node's grants, and within its floors while it has none.
#[derive(Debug)]
pub struct QuotaGate {
    bounds: QuotaBounds,
    incarnation: u64,
    /// The newest term whose leader was heard; grants of older ones are refused.
    term: u64,
    /// Number of the last grants taken.
    round: u64,
    /// Whether the leader of that term still asks what passed in the window.
    is_asked: bool,
    /// When the process began.
    began_at: Micros,
    nodes: u32,
    /// Whether `nodes` was told by a leader.
    knows_nodes: bool,
    /// See [`Self::take_shortage`].
    is_short: bool,
    accounts: HashMap<String, Account>,
}

impl QuotaGate {
    /// A gate without tenants: everything passes until [`Self::set_tenants`]. `incarnation` has to be another one at
    /// each start of the program, which is at `now`: it tells grants for this start from others.
    pub fn new(bounds: QuotaBounds, incarnation: u64, now: Micros) -> Self {
        Self {
            bounds,
            incarnation,
            term: 0,
            round: 0,
            is_asked: false,
            began_at: now,
            nodes: NODES_ASSUMED,
            knows_nodes: false,
            is_short: false,
            accounts: HashMap::new(),
        }
    }

    /// Takes over the tenants of a configuration. What passed is kept of those that stay.
    pub fn set_tenants(&mut self, now: Micros, tenants: &[TenantQuota]) {
        let mut before = std::mem::take(&mut self.accounts);
        for quota in tenants.iter().filter(|quota| quota.rate_per_s > 0.0) {
            let mut account = before
                .remove(&quota.name)
                .unwrap_or_else(|| Account::new(now, quota.clone(), self.incarnation));
            account.fill_floor(now, &self.bounds, self.nodes);
            account.quota = quota.clone();
            self.accounts.insert(quota.name.clone(), account);
        }
    }

    /// Takes in grants, or a new leader's question.
    pub fn apply(&mut self, now: Micros, update: &GrantUpdate) -> ApplyOutcome {
        if update.term < self.term {
            return ApplyOutcome::Ignored;
        }
        for account in self.accounts.values_mut() {
            account.fill_floor(now, &self.bounds, self.nodes);
        }
        let is_first_question = update.requests_history && update.term > self.term;
        (self.term, self.round, self.is_asked) = (update.term, update.round, update.requests_history);
        if is_first_question {
            self.accounts.values_mut().for_each(|account| account.answer(now));
            return ApplyOutcome::HistoryRequested;
        }
        if update.requests_history {
            return ApplyOutcome::Ignored;
        }
        self.nodes = update.node_count.max(1);
        self.knows_nodes = true;
        let until = self.until(now, update);
        let told = update.tenants.iter().filter(|told| told.incarnation == self.incarnation && is_sane(told));
        let told: HashMap<&str, &TenantGrant> = told.map(|told| (told.tenant.as_str(), told)).collect();
        let held = update.throttled.iter().map(|held| (held.tenant.as_str(), held.pass_share));
        let held: HashMap<&str, f64> = held.collect();
        for (name, account) in &mut self.accounts {
            if let Some(told) = told.get(name.as_str()) {
                // The floor was told as held: the ceiling takes its place.
                account.floor_level = account.floor_level.min(0.0);
                account.counted = told.acknowledged;
                account.grant = Grant::told(now, until, told);
            } else {
                let pass_share = held.get(name.as_str()).copied().unwrap_or(1.0);
                account.grant = account.grant.untold(now, until, pass_share);
            }
        }
        ApplyOutcome::Applied
    }

    /// Until when grants hold: the time counts from the report that they answer, so that none holds for longer because it
    /// came late.
    fn until(&self, now: Micros, update: &GrantUpdate) -> Micros {
        let valid = update.valid_ms.min(VALID_MOST_MS) * MILLISECOND;
        let asked_at = self.began_at + update.report_uptime_ms.min(MAX_AGE_MS) * MILLISECOND;
        asked_at.min(now) + valid
    }

    /// Lets a request of `units` pass, or tells when it may come back.
    ///
    /// # Errors
    ///
    /// The tenant is over its quota at this node.
    pub fn admit(&mut self, now: Micros, tenant: &str, units: f64) -> Result<(), RetryAfter> {
        let Some(account) = self.accounts.get_mut(tenant) else { return Ok(()) };
        account.demand.add(now, units);
        account.observe_size(units);
        account.fill_floor(now, &self.bounds, self.nodes);
        let room = account.room(now);
        if room >= account.needed() || account.may_exceed(now, room) {
            account.pass(now, units);
            self.is_short |= !account.has_another(now);
            account.history.add(now, units, history::parts(&self.bounds));
            return Ok(());
        }
        self.is_short |= !account.is_over(now);
        let rate = account.rate(now, self.nodes).max(1.0);
        let wait = (account.needed() - room) / rate * SECOND;
        Err(RetryAfter((wait as Micros).clamp(RETRY_AFTER_LEAST, account.retry_after_most(now))))
    }

    /// Whether a tenant within its quota has less left here than a request needs, since this was asked last: the allocator
    /// had better hear of it soon.
    pub fn take_shortage(&mut self) -> bool {
        std::mem::take(&mut self.is_short)
    }

    /// Gives back the units of a request that was let pass but never reached a server.
    pub fn refund(&mut self, tenant: &str, units: f64) {
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.passed = (account.passed - units).max(0.0);
        }
    }

    /// Demand by tenant, for the next report.
    pub fn demand_report(&mut self, now: Micros) -> NodeDemand {
        let (bounds, nodes) = (self.bounds, self.nodes);
        self.accounts.values_mut().for_each(|account| account.fill_floor(now, &bounds, nodes));
        let parts = if self.is_asked { history::parts(&self.bounds) } else { 0 };
        let incarnation = self.incarnation;
        let told = self.accounts.iter().map(|(name, account)| account.told(now, name, incarnation, parts));
        // Few tenants are told of before they ask for anything, so that their first requests find a grant of their own.
        let few = self.accounts.len() <= TENANTS_ALL_TOLD;
        let is_due = |told: &TenantDemand| {
            few || told.rate_per_s >= LEAST_DEMAND
                || told.admitted != told.acknowledged
                || !told.history.is_empty()
        };
        NodeDemand {
            term: self.term,
            uptime_ms: now.saturating_sub(self.began_at) / MILLISECOND,
            node_count: if self.knows_nodes { self.nodes } else { 0 },
            round: self.round,
            has_history: self.is_asked,
            tenants: told.filter(is_due).collect(),
        }
    }
}

impl Account {
    /// An account without grants. The sequence of each start of each node begins elsewhere.
    fn new(now: Micros, quota: TenantQuota, incarnation: u64) -> Self {
        Self {
            quota,
            grant: Grant::default(),
            passed: 0.0,
            counted: 0.0,
            history: History::default(),
            floor_level: 0.0,
            floor_filled_at: now,
            request_units: 0.0,
            demand: Demand { rate_per_s: 0.0, counted_at: now },
            draw: incarnation as f64 / u64::MAX as f64,
        }
    }

    /// What is told of it, with so many parts of its history.
    fn told(&self, now: Micros, name: &str, incarnation: u64, parts: usize) -> TenantDemand {
        TenantDemand {
            tenant: name.to_owned(),
            rate_per_s: self.demand.rate(now),
            admitted: self.passed,
            mean_request_units: self.request_units,
            incarnation,
            acknowledged: self.counted,
            available: self.held(),
            granted_rate_per_s: if now < self.grant.lapses_at() { self.grant.rate_per_s } else { 0.0 },
            history: if parts > 0 { self.history.told(now, parts) } else { Vec::new() },
            borrowed: if parts > 0 { self.lent(now) } else { 0.0 },
        }
    }

    /// Units that may pass without another grant, but for what may pass beyond the ceiling.
    fn held(&self) -> f64 {
        (self.grant.ceiling - self.passed).max(0.0) + self.floor_level.max(0.0)
    }

    /// Units beyond the ceiling that a leader has lent out of its bucket.
    fn lent(&self, now: Micros) -> f64 {
        let spare = if now < self.grant.until { self.grant.spare.max(0.0) } else { 0.0 };
        (self.grant.ceiling + spare - self.passed).clamp(0.0, spare)
    }

    /// A new leader asks what passed: all that is held becomes the ceiling, and nothing accrues until it has had time to
    /// grant.
    fn answer(&mut self, now: Micros) {
        let lent = self.lent(now);
        let ceiling = self.passed + self.held();
        self.grant = Grant::asked(now, ceiling, lent, self.request_units, &self.grant);
        self.floor_level = self.floor_level.min(0.0);
    }

    /// Units a second at this time.
    fn rate(&self, now: Micros, nodes: u32) -> f64 {
        if now < self.grant.lapses_at() { self.grant.rate_per_s } else { self.floor_rate(nodes) }
    }

    fn floor_rate(&self, nodes: u32) -> f64 {
        self.quota.rate_per_s * FLOOR_PART / f64::from(nodes)
    }

    /// The most that the floor's level rises to: two requests, however many nodes there are.
    fn floor_depth(&self, bounds: &QuotaBounds, nodes: u32) -> f64 {
        (bounds.depth(&self.quota) / f64::from(nodes) * FLOOR_DEPTH_PART)
            .max(self.request_units * SAVED_REQUESTS)
    }

    /// Adds to the floor's level what has accrued without a valid grant: at the rate granted last until that lapses, at
    /// the floor's from then on.
    fn fill_floor(&mut self, now: Micros, bounds: &QuotaBounds, nodes: u32) {
        let since = |from: Micros, until: Micros| until.saturating_sub(from) as f64 / SECOND;
        let lapses_at = self.grant.lapses_at();
        let at_grant = since(self.floor_filled_at.max(self.grant.fresh_until), now.min(lapses_at));
        let at_floor = since(self.floor_filled_at.max(lapses_at).max(self.grant.fresh_until), now);
        let accrued = at_grant * self.grant.rate_per_s + at_floor * self.floor_rate(nodes);
        let depth = self.floor_depth(bounds, nodes);
        self.floor_level = (self.floor_level + accrued).min(depth.max(self.floor_level));
        self.floor_filled_at = now.max(self.floor_filled_at);
    }

    /// Units that may pass now without exceeding the ceiling.
    fn room(&self, now: Micros) -> f64 {
        let floor = self.floor_level.max(0.0);
        if now < self.grant.until {
            return self.grant.ceiling - self.passed + floor;
        }
        // What was issued stays issued.
        self.floor_level + (self.grant.ceiling - self.passed).max(0.0)
    }

    /// Whether another request would pass without exceeding what is kept for this node.
    fn has_another(&self, now: Micros) -> bool {
        let spare = if now < self.grant.until { self.grant.spare } else { 0.0 };
        self.room(now) + spare >= self.needed()
    }

    /// Whether a request passes beyond the ceiling: as many do as the allocator says, or, once its word is old, as what
    /// is spare for this node allows.
    fn may_exceed(&mut self, now: Micros, room: f64) -> bool {
        let request = self.request_units;
        let (share, overdraft) = match now {
            _ if now < self.grant.fresh_until => (self.grant.pass_share, self.grant.overdraft(request)),
            _ if now < self.grant.until && self.grant.is_by_chance(request) => {
                (self.grant.spare / request.max(1.0), self.grant.spare.max(request))
            }
            _ if now < self.grant.until => (0.0, 0.0),
            _ => return false,
        };
        if now < self.grant.until && room + self.grant.spare >= self.needed() {
            // It is kept for this node.
            return true;
        }
        if room + overdraft < self.needed() {
            return false;
        }
        self.draw = (self.draw + GOLDEN_STEP).fract();
        self.draw < share
    }

    /// Whether the whole tenant is over its quota, as far as is known.
    fn is_over(&self, now: Micros) -> bool {
        self.grant.is_over && now < self.grant.until
    }

    /// The longest time that a refused client is told to stay away.
    fn retry_after_most(&self, now: Micros) -> Micros {
        if self.is_over(now) { RETRY_AFTER_MOST } else { RETRY_AFTER_UNGRANTED }
    }

    /// The room at which a request passes, whatever its own size: else small ones would take what a large one waits
    /// for. What a large one takes beyond that is made up for before the next passes.
    fn needed(&self) -> f64 {
        self.request_units
    }

    /// Counts a request's units as passed. Without a valid grant they come out of what was issued before and then out
    /// of the floor, else out of the floor first: that is not renewed while there are grants. What comes out of the
    /// floor raises the ceiling, because the allocator has set it aside.
    fn pass(&mut self, now: Micros, units: f64) {
        let from_floor = if now < self.grant.until {
            units.min(self.floor_level.max(0.0))
        } else {
            units - units.min((self.grant.ceiling - self.passed).max(0.0))
        };
        self.floor_level -= from_floor;
        self.grant.ceiling += from_floor;
        self.passed += units;
    }

    /// Takes a request's units into their average.
    fn observe_size(&mut self, units: f64) {
        let step = if self.request_units == 0.0 { 1.0 } else { SIZE_STEP };
        self.request_units += (units - self.request_units) * step;
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

fn is_sane(told: &TenantGrant) -> bool {
    let figures =
        [told.ceiling, told.overdraft, told.rate_per_s, told.pass_share, told.reserved, told.acknowledged];
    figures.iter().all(|figure| figure.is_finite())
}
