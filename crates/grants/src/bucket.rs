//! A tenant's bucket for the whole fleet, and how a new leader finds its level.

use dunelink_protocol::TenantDemand;

use crate::bounds::OVERDRAFT_PART;
use crate::history::PART;
use crate::{Micros, QuotaBounds, SECOND, TenantQuota};

/// Part of the bucket that a tenant begins with whose limit came while the leader was in office.
const FILLED_AT_START: f64 = 0.3;

/// Units that may still be issued, filled at the tenant's rate.
#[derive(Debug)]
pub(crate) struct Bucket {
    /// Units not issued yet; below zero after nodes have exceeded their ceilings.
    pub(crate) level: f64,
    filled_at: Micros,
    /// Units a second kept back for silent nodes, as of the last filling.
    pub(crate) set_aside_per_s: f64,
    /// Units a second that nodes may have been granted of which the leader has not heard since it began.
    pub(crate) unheard_per_s: f64,
}

impl Bucket {
    /// The bucket of a tenant that had no limit before.
    pub(crate) fn begin(depth: f64, now: Micros) -> Self {
        Self { level: depth * FILLED_AT_START, filled_at: now, set_aside_per_s: 0.0, unheard_per_s: 0.0 }
    }

    /// The bucket as a new leader finds it.
    pub(crate) fn taken_over(level: f64, unheard_per_s: f64, now: Micros) -> Self {
        Self { level, filled_at: now, set_aside_per_s: 0.0, unheard_per_s }
    }

    /// When it was filled last.
    pub(crate) fn filled_at(&self) -> Micros {
        self.filled_at
    }

    /// A node was heard late: what it may have been granted is told with its report from now on.
    pub(crate) fn heard_late(&mut self, granted_rate: f64) {
        self.unheard_per_s = (self.unheard_per_s - granted_rate).max(0.0);
    }

    /// Fills it at its rate but for `set_aside_per_s`.
    pub(crate) fn fill(&mut self, now: Micros, rate_per_s: f64, depth: f64, set_aside_per_s: f64) {
        let span_s = now.saturating_sub(self.filled_at) as f64 / SECOND;
        self.level = (self.level + (rate_per_s - set_aside_per_s).max(0.0) * span_s).min(depth);
        self.filled_at = now;
        self.set_aside_per_s = set_aside_per_s;
    }
}

/// What nodes let pass and may let pass of one tenant, added up.
#[derive(Debug, Default, Clone)]
pub(crate) struct Inherited {
    /// Units let pass in each part of the window, the newest first.
    passed: Vec<f64>,
    /// Units that nodes may still let pass.
    held: f64,
    /// Units that nodes may let pass beyond that, which are still in the bucket.
    pub(crate) lent: f64,
    /// Units a second at which that rises.
    pub(crate) granted_rate: f64,
    /// Units of the largest request that any node tells.
    largest: f64,
    /// Nodes that told.
    nodes: f64,
}

impl Inherited {
    /// Adds what one node tells.
    pub(crate) fn add(&mut self, told: &TenantDemand) {
        let history = &told.history;
        if self.passed.len() < history.len() {
            self.passed.resize(history.len(), 0.0);
        }
        for (sum, units) in self.passed.iter_mut().zip(history) {
            *sum += units;
        }
        self.held += told.available;
        self.lent += told.borrowed;
        self.granted_rate += told.granted_rate_per_s;
        self.largest = self.largest.max(told.mean_request_units);
        self.nodes += 1.0;
    }

    /// Takes what nodes let pass since they told, and what they hold now.
    pub(crate) fn update(&mut self, passed_since: f64, held: f64) {
        // Counted as if it had passed just now: in every span of the window.
        match self.passed.first_mut() {
            Some(newest) => *newest += passed_since,
            None => self.passed.push(passed_since),
        }
        self.held = held;
    }

    /// The highest level at which no span of the window holds more than the bucket's depth and what its rate has filled
    /// in that span, with what nodes hold counted as used. What lies more than `known_for` back is not known: the bucket
    /// may have been empty then.
    pub(crate) fn level(&self, quota: &TenantQuota, bounds: &QuotaBounds, known_for: Micros) -> f64 {
        let depth = bounds.depth(quota);
        let part_s = PART as f64 / SECOND;
        let mut level = depth;
        let mut passed = 0.0;
        for (age, units) in self.passed.iter().enumerate() {
            passed += units;
            // Parts begin at other moments at each node: a part may have lasted for no time yet.
            let filled = quota.rate_per_s * part_s * age as f64;
            level = level.min(depth + filled - passed);
            if known_for <= PART * age as Micros {
                // Of the last part that is known, a beginning may have passed before.
                break;
            }
        }
        if (known_for as f64) < bounds.window_s * SECOND {
            // Where a full bucket holds no request for each node, chance goes beyond it anyway.
            let is_crowded = depth * OVERDRAFT_PART < self.largest * self.nodes;
            let reserve = if is_crowded { 0.0 } else { bounds.reserve(quota) };
            level = level.min(quota.rate_per_s * known_for as f64 / SECOND + reserve - passed);
        }
        (level - self.held).max(-depth)
    }
}
