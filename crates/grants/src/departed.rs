//! What a new leader knows of tenants that had left the configuration when it was elected.

use std::collections::BTreeMap;

use crate::bucket::{Bucket, InheritedUsage};
use crate::{Micros, QuotaBounds, SECOND, TenantQuota};

/// The usage of departed tenants, as the nodes reported it at the takeover. It counts for one window.
#[derive(Debug, Default)]
pub(crate) struct DepartedUsage {
    tenants: BTreeMap<String, InheritedUsage>,
    /// The time span before the takeover for which every node knows what it admitted.
    history_span: Micros,
    taken_over_at: Micros,
}

impl DepartedUsage {
    /// Takes over the usage of these tenants.
    pub(crate) fn new(
        tenants: BTreeMap<String, InheritedUsage>,
        history_span: Micros,
        taken_over_at: Micros,
    ) -> Self {
        Self { tenants, history_span, taken_over_at }
    }

    /// The bucket of a tenant that the configuration did not have before, or that returns after a change of
    /// the leader. `inherited_complete` tells whether all nodes have reported to this leader.
    pub(crate) fn new_bucket(
        &self,
        now: Micros,
        quota: &TenantQuota,
        bounds: &QuotaBounds,
        inherited_complete: bool,
    ) -> Bucket {
        let depth = bounds.depth(quota);
        let since_takeover_s = now.saturating_sub(self.taken_over_at) as f64 / SECOND;
        let usage = self.tenants.get(&quota.name).filter(|_| since_takeover_s < bounds.window_s);
        let Some(usage) = usage else { return Bucket::for_new_limit(depth, now) };
        let level = usage.inherited_level(quota, bounds, self.history_span, inherited_complete);
        let filled = quota.rate_per_s * since_takeover_s;
        Bucket::from_takeover((level + filled).min(depth), 0.0, now)
    }
}
