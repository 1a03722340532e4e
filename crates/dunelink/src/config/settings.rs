//! Translation of the configuration into the settings of the decision module.

use std::time::Duration;

use cherryusher as policy;

use super::{Class, Config, DedupGroup, Effect, MAX_DEADLINE, RosterConfig};

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

impl Config {
    /// The settings of the decision module.
    pub fn settings(&self) -> policy::Settings {
        let scope = |group| match group {
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
                    scope: scope(dedup.group),
                    window: micros(dedup.window),
                },
                // Excluded by `check`. Without a window, no attempt may be repeated.
                (Effect::Keyed, None) => {
                    policy::Idempotency::Deduplicated { scope: policy::DedupScope::Cell, window: 0 }
                }
            },
        };
        let fleet = &self.fleet;
        policy::Settings {
            balancers: fleet.nodes,
            rank: fleet.rank,
            zone: fleet
                .zones
                .iter()
                .position(|z| *z == fleet.zone)
                .and_then(|z| z.try_into().ok())
                .unwrap_or(0),
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
            key_affinity: fleet.warm_keys,
            cross_zone_price: fleet.cross_zone_price,
            live_weights: fleet.live_weights,
            discovery: match &self.roster {
                RosterConfig::Watch { ask_every: Some(every), .. } => {
                    policy::Discovery::Subscribed { max_retry_interval: micros(*every) }
                }
                _ => policy::Discovery::Pushed,
            },
            cold_capacity: fleet.cold_from,
            warm_up: micros(fleet.warm_up),
            overload_factor: fleet.fall_multiple,
            timer_resolution: micros(fleet.step),
            max_retry_after: micros(self.attempts.retry_after),
            labels: fleet.labels,
            min_pool_size: fleet.pool_min,
        }
    }
}
