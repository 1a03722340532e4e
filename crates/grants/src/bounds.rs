//! The limits that the deployment sets, and the shares into which they are divided.

use crate::{MILLISECOND, Micros};

/// Limits for enforcing quotas, from the settings file.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Length of the sliding window in which a quota is checked, in seconds.
    pub window_s: f64,
    /// Share by which the sum over all nodes may exceed the quota in a window.
    pub overshoot: f64,
    /// Units by which the sum may exceed the quota in addition.
    pub slack: f64,
}

/// Limits for retries, from the settings file.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Number of retries allowed per request.
    pub ratio: f64,
    /// Length of the sliding window in which retries are checked, in seconds.
    pub window_s: f64,
    /// Additional retries that all nodes together may make in a window.
    pub slack: f64,
}

/// A tenant's quota, from the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct TenantQuota {
    /// Name of the tenant.
    pub name: String,
    /// Units per second over all nodes; 0 for no limit.
    pub rate_per_s: f64,
    /// Units that may be used at once beyond the rate, over all nodes.
    pub burst: f64,
}

/// Share of the rate that is divided evenly as floors. The rest is divided by demand.
pub(crate) const FLOOR_SHARE: f64 = 0.5;
/// Share of the bucket's level by which all nodes together may exceed their ceilings.
pub(crate) const OVERDRAFT_SHARE: f64 = 0.8;
/// How long a node keeps the last granted rate after its grant expired, in microseconds, so that a change of
/// leader does not affect clients.
pub(crate) const RATE_LAPSE_US: Micros = 2_500 * MILLISECOND;
/// Share of the allowance beyond the rate that is used. The rest is a margin: requests sent within one window
/// may arrive within a shorter one, and a request is admitted as a whole.
const USED_SHARE: f64 = 0.9;

impl QuotaBounds {
    /// Depth of a tenant's bucket for the whole fleet, in units: what all nodes together may admit beyond
    /// `rate_per_s` times any time span.
    pub(crate) fn depth(&self, quota: &TenantQuota) -> f64 {
        let over_rate = quota.rate_per_s * self.window_s * self.overshoot;
        let over_burst = quota.burst * (1.0 + self.overshoot);
        (over_rate + over_burst + self.slack) * USED_SHARE
    }

    /// Units that the limits allow beyond the rate and [`Self::depth`].
    pub(crate) fn margin(&self, quota: &TenantQuota) -> f64 {
        self.depth(quota) * (1.0 - USED_SHARE) / USED_SHARE
    }

    /// Units that a new leader may issue although the bucket may have been empty when all nodes restarted:
    /// what the limits allow beyond the rate and [`Self::depth`].
    pub(crate) fn reserve(&self, quota: &TenantQuota) -> f64 {
        self.margin(quota)
    }
}
