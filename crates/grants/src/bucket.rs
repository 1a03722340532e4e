//! A tenant's token bucket for the whole fleet, and how a new leader determines its level.

use dunelink_protocol::TenantDemand;

use crate::bounds::OVERDRAFT_SHARE;
use crate::history::INTERVAL_US;
use crate::{MILLISECOND, Micros, QuotaBounds, SECOND, TenantQuota};

/// Initial fill level, as a share of the depth, of the bucket of a tenant whose limit was set during this
/// leader's term.
const INITIAL_FILL_SHARE: f64 = 0.3;

/// Units that may still be issued. Filled at the tenant's rate.
#[derive(Debug)]
pub(crate) struct Bucket {
    /// Units not issued yet. Negative after nodes exceeded their ceilings.
    pub(crate) level: f64,
    filled_at: Micros,
    /// Units per second reserved for silent and missing nodes at the last filling.
    pub(crate) reserved_per_s: f64,
    /// Units per second that may have been granted to nodes that the leader has not heard from since its
    /// start.
    pub(crate) missing_rate_per_s: f64,
    /// Whether the tenant has left the configuration.
    is_departed: bool,
    /// The time until which the nodes may not have reported the demand of a tenant that returned.
    demand_known_at: Micros,
    /// The last demand of all nodes that was known, in units per second.
    last_demand: f64,
}

/// Time in which the nodes report the demand of a tenant that returned to the configuration.
const DEMAND_REPORT_TIME_US: Micros = 1_000 * MILLISECOND;

impl Bucket {
    /// The bucket of a tenant that had no limit before.
    pub(crate) fn for_new_limit(depth: f64, now: Micros) -> Self {
        Self::from_takeover(depth * INITIAL_FILL_SHARE, 0.0, now)
    }

    /// The bucket of a tenant as a new leader takes it over.
    pub(crate) fn from_takeover(level: f64, missing_rate_per_s: f64, now: Micros) -> Self {
        Self {
            level,
            filled_at: now,
            reserved_per_s: 0.0,
            missing_rate_per_s,
            is_departed: false,
            demand_known_at: 0,
            last_demand: 0.0,
        }
    }

    /// Records that the configuration lacks the tenant.
    pub(crate) fn set_departed(&mut self) {
        self.is_departed = true;
    }

    /// Whether the configuration lacks the tenant.
    pub(crate) fn is_departed(&self) -> bool {
        self.is_departed
    }

    /// Returns the demand to count with, in units per second, when the nodes report `reported`. After a return
    /// it is at least the demand that was known before.
    pub(crate) fn expected_demand(&mut self, now: Micros, reported: f64) -> f64 {
        if now < self.demand_known_at {
            return reported.max(self.last_demand);
        }
        self.last_demand = reported;
        reported
    }

    /// When the bucket was last filled.
    pub(crate) fn filled_at(&self) -> Micros {
        self.filled_at
    }

    /// Records that a missing node has reported: its granted rate is known from its reports from now on.
    pub(crate) fn record_late_sync(&mut self, granted_rate_per_s: f64) {
        self.missing_rate_per_s = (self.missing_rate_per_s - granted_rate_per_s).max(0.0);
    }

    /// Fills the bucket at the tenant's rate less `reserved_per_s`.
    pub(crate) fn fill(&mut self, now: Micros, rate_per_s: f64, depth: f64, reserved_per_s: f64) {
        let span_s = now.saturating_sub(self.filled_at) as f64 / SECOND;
        self.level = (self.level + (rate_per_s - reserved_per_s).max(0.0) * span_s).min(depth);
        self.filled_at = now;
        if std::mem::take(&mut self.is_departed) {
            self.demand_known_at = now + DEMAND_REPORT_TIME_US;
        }
        self.reserved_per_s = reserved_per_s;
    }
}

/// What all nodes admitted for one tenant, and what they may still admit.
#[derive(Debug, Default, Clone)]
pub(crate) struct InheritedUsage {
    /// Units admitted in each interval of the window, the newest first.
    admitted: Vec<f64>,
    /// Units that nodes may still admit.
    unused: f64,
    /// Units that nodes may admit beyond `unused`, which are still in the bucket.
    pub(crate) credit: f64,
    /// Units per second at which the nodes' allowance grows without new grants.
    pub(crate) granted_rate_per_s: f64,
    /// The largest request size that any node reported, in units.
    largest_request: f64,
    /// Number of nodes that reported.
    node_count: f64,
}

impl InheritedUsage {
    /// Adds the report of one node.
    pub(crate) fn add(&mut self, demand: &TenantDemand) {
        let history = &demand.history;
        if self.admitted.len() < history.len() {
            self.admitted.resize(history.len(), 0.0);
        }
        for (sum, units) in self.admitted.iter_mut().zip(history) {
            *sum += units;
        }
        self.unused += demand.available;
        self.credit += demand.borrowed;
        self.granted_rate_per_s += demand.granted_rate_per_s;
        self.largest_request = self.largest_request.max(demand.mean_request_units);
        self.node_count += 1.0;
    }

    /// Adds what the nodes admitted since their reports, and replaces the units that they may still admit.
    pub(crate) fn update(&mut self, admitted_since: f64, unused: f64) {
        // Counted in the newest interval, so that it is part of every span of the window.
        match self.admitted.first_mut() {
            Some(newest) => *newest += admitted_since,
            None => self.admitted.push(admitted_since),
        }
        self.unused = unused;
    }

    /// The level of the bucket at the takeover. `is_complete` tells whether all nodes have reported.
    pub(crate) fn inherited_level(
        &self,
        quota: &TenantQuota,
        bounds: &QuotaBounds,
        history_span: Micros,
        is_complete: bool,
    ) -> f64 {
        let level = self.level(quota, bounds, history_span);
        // Credit that was offered from a bucket was in it.
        if is_complete { level } else { level.min(self.credit) }
    }

    /// The highest level at which, in every span of the window, the nodes have admitted no more than the
    /// bucket's depth plus what its rate filled in during that span. Units that nodes may still admit count
    /// as used. Nothing is known about the time before `history_span`: the bucket may have been empty then.
    pub(crate) fn level(&self, quota: &TenantQuota, bounds: &QuotaBounds, history_span: Micros) -> f64 {
        let depth = bounds.depth(quota);
        let interval_s = INTERVAL_US as f64 / SECOND;
        let mut level = depth;
        let mut admitted_units = 0.0;
        for (age, units) in self.admitted.iter().enumerate() {
            admitted_units += units;
            // Intervals start at different times at each node: an interval may just have begun.
            let filled = quota.rate_per_s * interval_s * age as f64;
            level = level.min(depth + filled - admitted_units);
            if history_span <= INTERVAL_US * age as Micros {
                // Units may have been admitted in the unknown beginning of the last interval.
                break;
            }
        }
        if (history_span as f64) < bounds.window_s * SECOND {
            // If a full bucket holds less than one request per node, random admissions exceed it anyway.
            let is_oversubscribed = depth * OVERDRAFT_SHARE < self.largest_request * self.node_count;
            let reserve = if is_oversubscribed { 0.0 } else { bounds.reserve(quota) };
            level = level.min(quota.rate_per_s * history_span as f64 / SECOND + reserve - admitted_units);
        }
        (level - self.unused).max(-depth)
    }
}
