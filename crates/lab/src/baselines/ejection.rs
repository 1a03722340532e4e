//! Round robin with outlier ejection, as public descriptions of Envoy have it: five consecutive failures
//! eject a server for 30 s times its number of ejections, at most a tenth of all servers at a time.

use cherryusher::Outcome;
use rand_pcg::Pcg64;

use super::policy::{SelectionContext, ServerSelector, ServerView};
use super::selectors::RoundRobin;
use crate::Micros;

const CONSECUTIVE_FAILURES: u32 = 5;
const BASE_EJECTION: Micros = 30_000_000;
const MAX_EJECTION: Micros = 300_000_000;
const MAX_EJECTED_FRACTION: f64 = 0.1;

#[derive(Clone, Copy, Default)]
struct Health {
    failures: u32,
    ejections: u64,
    ejected_until: Micros,
}

/// The policy.
#[derive(Default)]
pub(super) struct OutlierEjection {
    round_robin: RoundRobin,
    health: Vec<Health>,
}

impl ServerSelector for OutlierEjection {
    fn list_changed(&mut self, servers: &[ServerView]) {
        self.health.resize(servers.len(), Health::default());
    }

    fn select(&mut self, view: &SelectionContext<'_>, rng: &mut Pcg64) -> usize {
        for _ in 0..view.ready.len() {
            let index = self.round_robin.select(view, rng);
            if self.health[index].ejected_until <= view.now {
                return index;
            }
        }
        self.round_robin.select(view, rng)
    }

    fn attempt_ended(&mut self, now: Micros, server: usize, outcome: Outcome, _: Micros) {
        // At least one server may always be ejected.
        let max_ejected = (self.health.len() as f64 * MAX_EJECTED_FRACTION).max(1.0) as usize;
        let ejected = self.health.iter().filter(|health| health.ejected_until > now).count();
        let Some(health) = self.health.get_mut(server) else { return };
        match outcome {
            Outcome::Served => health.failures = 0,
            Outcome::Cancelled | Outcome::NotSent => {}
            _ => health.failures += 1,
        }
        if health.failures >= CONSECUTIVE_FAILURES && health.ejected_until <= now && ejected < max_ejected {
            health.ejections += 1;
            health.ejected_until = now + (BASE_EJECTION * health.ejections).min(MAX_EJECTION);
            health.failures = 0;
        }
    }
}
