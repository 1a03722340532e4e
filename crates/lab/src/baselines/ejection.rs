//! Round robin with outlier ejection, as public descriptions of Envoy have it: five failures in a row put a server aside
//! for 30 s times how often that happened, a tenth of all servers at most.

use cherryusher::Outcome;
use rand_pcg::Pcg64;

use super::policy::{SelectionContext, ServerSelector, ServerView};
use super::selectors::RoundRobin;
use crate::Micros;

const IN_A_ROW: u32 = 5;
const BASE: Micros = 30_000_000;
const LONGEST: Micros = 300_000_000;
const PART: f64 = 0.1;

#[derive(Clone, Copy, Default)]
struct Health {
    failures: u32,
    times: u64,
    until: Micros,
}

/// The policy.
#[derive(Default)]
pub(super) struct OutlierEjection {
    turn: RoundRobin,
    health: Vec<Health>,
}

impl ServerSelector for OutlierEjection {
    fn list_changed(&mut self, servers: &[ServerView]) {
        self.health.resize(servers.len(), Health::default());
    }

    fn select(&mut self, view: &SelectionContext<'_>, rng: &mut Pcg64) -> usize {
        for _ in 0..view.ready.len() {
            let place = self.turn.select(view, rng);
            if self.health[place].until <= view.now {
                return place;
            }
        }
        self.turn.select(view, rng)
    }

    fn attempt_ended(&mut self, now: Micros, server: usize, outcome: Outcome, _: Micros) {
        // At least one may always go.
        let most = (self.health.len() as f64 * PART).max(1.0) as usize;
        let aside = self.health.iter().filter(|health| health.until > now).count();
        let Some(health) = self.health.get_mut(server) else { return };
        match outcome {
            Outcome::Served => health.failures = 0,
            Outcome::Cancelled | Outcome::NotSent => {}
            _ => health.failures += 1,
        }
        if health.failures >= IN_A_ROW && health.until <= now && aside < most {
            health.times += 1;
            health.until = now + (BASE * health.times).min(LONGEST);
            health.failures = 0;
        }
    }
}
