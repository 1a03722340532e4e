//! What the decision module is told.

use std::time::Duration;

use cherryusher as policy;

use super::{Class, Config, DedupGroup, Effect, MAX_DEADLINE, RosterConfig};

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

impl Config {
    /// What the decision module is told.
    pub fn settings(&self) -> policy::Settings {
        let group = |group| match group {
            DedupGroup::All => policy::DedupScope::All,
            DedupGroup::Zone => policy::DedupScope::Zone,
            DedupGroup::Cell => policy::DedupScope::Cell,
        };
        let class = |class: &Class| policy::Class {
            target_latency: micros(class.aim()),
            target_latency_per_work: class.aim_stretch,
            deadline: micros(class.deadline.min(MAX_DEADLINE)),
            value: class.worth,
            late_value_fraction: class.late_worth,
            idempotency: match (class.effect, class.dedup) {
                (Effect::Safe, _) => policy::Idempotency::Idempotent,
                (Effect::Unsafe, _) => policy::Idempotency::NonIdempotent,
                (Effect::Keyed, Some(dedup)) => policy::Idempotency::Deduplicated {
                    scope: group(dedup.group),
                    window: micros(dedup.window),
                },
                // Checked before; without a window nothing may go again.
                (Effect::Keyed, None) => {
                    policy::Idempotency::Deduplicated { scope: policy::DedupScope::Cell, window: 0 }
                }
            },
        };
        let f = &self.fleet;
        policy::Settings {
            balancers: f.nodes,
            rank: f.rank,
            zone: f.zones.iter().position(|z| *z == f.zone).and_then(|z| z.try_into().ok()).unwrap_or(0),
            classes: self.classes.iter().map(class).collect(),
            tenants: self
                .tenants
                .iter()
                .map(|t| policy::Tenant { quota_per_s: t.quota_per_s, share: t.share })
                .collect(),
            over_quota_value: self.over_share_worth,
            max_attempts: self.attempts.most,
            cancelling: self.attempts.cancel,
            hedging: self.attempts.hedge,
            key_affinity: f.warm_keys,
            cross_zone_price: f.cross_zone_price,
            live_weights: f.live_weights,
            discovery: match &self.roster {
                RosterConfig::Watch { ask_every: Some(every), .. } => {
                    policy::Discovery::Subscribed { max_retry_interval: micros(*every) }
                }
                _ => policy::Discovery::Pushed,
            },
            cold_capacity: f.cold_from,
            warm_up: micros(f.warm_up),
            overload_factor: f.fall_multiple,
            timer_resolution: micros(f.step),
            max_retry_after: micros(self.attempts.retry_after),
            labels: f.labels,
            min_pool_size: f.pool_min,
        }
    }
}
