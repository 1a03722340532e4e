//! The clients' calls: their times, class, tenant and work. They are drawn in order of arrival and
//! independently of their outcome, so that all policies handle the same calls.

use rand::Rng;
use rand_pcg::Pcg64;

use super::random::{RngPurpose, WeightedSampler, exponential, generator, relative_work};
use crate::Micros;
use crate::experiment::{Arrivals, Experiment, micros};

/// The number of calls in a burst.
const BURST_SIZE: u32 = 10;
/// While the arrival rate is 0, it is checked at this interval.
const IDLE_CHECK_INTERVAL: Micros = 10_000;

/// What a client wants done. Each try is a request of its own.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) start: Micros,
    pub(crate) class: usize,
    pub(crate) tenant: Option<u32>,
    pub(crate) node: usize,
    /// The work in microseconds at a server of speed 1.
    pub(crate) work: f64,
    pub(crate) worth: f64,
    pub(crate) tries: u32,
    /// Whether the client waits as long as `Retry-After` says.
    pub(crate) obeys_retry_after: bool,
    /// The closed-loop client; `None` for open-loop calls.
    pub(crate) client: Option<u32>,
}

/// Draws the calls of all clients.
pub(crate) struct Clients<'a> {
    experiment: &'a Experiment,
    rng: Pcg64,
    classes: WeightedSampler,
    tenants: WeightedSampler,
    /// Each tenant's token bucket: the tokens left, and when they were counted.
    quotas: Vec<(f64, Micros)>,
    /// The number of calls left in the current burst.
    burst_remaining: u32,
}

impl<'a> Clients<'a> {
    pub(crate) fn new(experiment: &'a Experiment, seed: u64) -> Clients<'a> {
        let skew = experiment.tenants.skew;
        Clients {
            experiment,
            rng: generator(seed, RngPurpose::Arrivals, 0),
            classes: WeightedSampler::new(experiment.classes.iter().map(|class| class.part)),
            tenants: WeightedSampler::new((1..=experiment.tenants.count).map(|k| f64::from(k).powf(-skew))),
            quotas: vec![(f64::INFINITY, 0); experiment.tenants.count as usize],
            burst_remaining: 0,
        }
    }

    /// The factor of the arrival rate at a time, by the configured curve.
    fn curve_factor(&self, now: Micros) -> f64 {
        let (at, curve) = (now as f64 / 1e6, &self.experiment.clients.curve);
        let next = curve.partition_point(|(point, _)| *point <= at);
        match (next.checked_sub(1).map(|previous| curve[previous]), curve.get(next)) {
            (Some((from, low)), Some((to, high))) => low + (high - low) * (at - from) / (to - from),
            (Some((_, value)), None) => value,
            (None, Some((_, value))) => *value,
            (None, None) => 1.0,
        }
    }

    /// The time until the next arrival, at this multiple of the rate, and whether there is one: `false` means
    /// to check the rate again then.
    pub(crate) fn next(&mut self, now: Micros, times: f64) -> (Micros, bool) {
        if self.burst_remaining > 0 {
            self.burst_remaining -= 1;
            return (0, true);
        }
        let rate = self.experiment.clients.rate * self.curve_factor(now) * times / 1e6;
        if rate <= 1e-12 {
            return (IDLE_CHECK_INTERVAL, false);
        }
        let span = match self.experiment.clients.arrivals {
            Arrivals::Poisson => exponential(&mut self.rng, 1.0 / rate),
            Arrivals::Even => 1.0 / rate,
            Arrivals::Bursts => {
                self.burst_remaining = BURST_SIZE - 1;
                exponential(&mut self.rng, f64::from(BURST_SIZE) / rate)
            }
        };
        (span.round() as Micros, true)
    }

    /// Draws the think time of a closed-loop client.
    pub(crate) fn think_time(&mut self) -> Micros {
        exponential(&mut self.rng, micros(self.experiment.clients.think) as f64).round() as Micros
    }

    /// Takes a token of the tenant's quota, and returns whether there was one.
    fn take_quota(&mut self, now: Micros, tenant: u32) -> bool {
        let quota = self.experiment.quota_per_s();
        let Some((tokens, counted_at)) = self.quotas.get_mut(tenant as usize) else { return true };
        // The bucket holds one second of the quota, and at least one request.
        *tokens = (*tokens + quota * (now - *counted_at) as f64 / 1e6).min(quota.max(1.0));
        *counted_at = now;
        let in_quota = *tokens >= 1.0;
        *tokens -= f64::from(u8::from(in_quota));
        in_quota
    }

    /// Draws a call that starts now.
    pub(crate) fn draw_call(&mut self, now: Micros, client: Option<u32>) -> Call {
        let class = self.classes.draw(&mut self.rng);
        let tenant = (self.experiment.tenants.count > 0).then(|| self.tenants.draw(&mut self.rng) as u32);
        let node = self.rng.random_range(0..self.experiment.nodes.count) as usize;
        let drawn_work = relative_work(&mut self.rng, &self.experiment.servers.shape)
            * micros(self.experiment.servers.time) as f64;
        let obeys_retry_after = self.rng.random::<f64>() < self.experiment.clients.heed;
        let in_quota = tenant.is_none_or(|tenant| self.take_quota(now, tenant));
        let of_class = &self.experiment.classes[class];
        Call {
            start: now,
            class,
            tenant,
            node,
            work: drawn_work * of_class.work,
            worth: of_class.worth * if in_quota { 1.0 } else { self.experiment.tenants.over_share_worth },
            tries: 0,
            obeys_retry_after,
            client,
        }
    }
}
