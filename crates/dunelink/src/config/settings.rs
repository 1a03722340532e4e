//! What the decision module is told.

use std::time::Duration;

use cherryusher as policy;

use super::{Class, Config, Effect, Group, LONGEST, RosterConfig};

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

impl Config {
    /// What the decision module is told.
    pub fn settings(&self) -> policy::Settings {
        let group = |group| match group {
            Group::All => policy::Group::All,
            Group::Zone => policy::Group::Zone,
            Group::Cell => policy::Group::Cell,
        };
        let class = |class: &Class| policy::Class {
            aim: micros(class.aim()),
            aim_stretch: class.aim_stretch,
            deadline: micros(class.deadline.min(LONGEST)),
            worth: class.worth,
            late_worth: class.late_worth,
            effect: match (class.effect, class.dedup) {
                (Effect::Safe, _) => policy::Effect::Safe,
                (Effect::Unsafe, _) => policy::Effect::Unsafe,
                (Effect::Keyed, Some(dedup)) => {
                    policy::Effect::Keyed { group: group(dedup.group), window: micros(dedup.window) }
                }
                // Checked before; without a window nothing may go again.
                (Effect::Keyed, None) => policy::Effect::Keyed { group: policy::Group::Cell, window: 0 },
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
            over_share_worth: self.over_share_worth,
            max_attempts: self.attempts.most,
            cancelling: self.attempts.cancel,
            second_copies: self.attempts.hedge,
            warm_keys: f.warm_keys,
            cross_zone_price: f.cross_zone_price,
            live_weights: f.live_weights,
            discovery: match &self.roster {
                RosterConfig::Watch { ask_every: Some(every), .. } => {
                    policy::Discovery::Asked { every: micros(*every) }
                }
                _ => policy::Discovery::Pushed,
            },
            cold_from: f.cold_from,
            warm_up: micros(f.warm_up),
            fall_multiple: f.fall_multiple,
            step: micros(f.step),
            max_retry_after: micros(self.attempts.retry_after),
            labels: f.labels,
            pool_min: f.pool_min,
        }
    }
}
