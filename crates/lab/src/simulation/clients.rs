//! Who asks: when requests come, of what class, from whom, with how much work. All of it is drawn in the order in which
//! they come, whatever becomes of them, so that all policies meet the same.

use rand::Rng;
use rand_pcg::Pcg64;

use super::chance::{ByWeight, For, exponential, generator, work};
use crate::Micros;
use crate::experiment::{Arrivals, Experiment, micros};

/// So many come in a burst.
const BURST: u32 = 10;
/// While nothing comes, the curve is looked at this often.
const LOOK: Micros = 10_000;

/// What a client wants.
#[derive(Clone, Debug)]
pub(crate) struct Want {
    pub(crate) start: Micros,
    pub(crate) class: usize,
    pub(crate) tenant: Option<u32>,
    pub(crate) node: usize,
    /// How long a server of speed 1 works on it.
    pub(crate) work: f64,
    pub(crate) worth: f64,
    pub(crate) tries: u32,
    /// Whether its client heeds `Retry-After`.
    pub(crate) heeds: bool,
    /// The closed-loop client that wants it.
    pub(crate) client: Option<u32>,
}

/// The clients.
pub(crate) struct Clients<'a> {
    e: &'a Experiment,
    rng: Pcg64,
    classes: ByWeight,
    tenants: ByWeight,
    /// What each tenant has left of its share, and when that was so.
    shares: Vec<(f64, Micros)>,
    /// How many more come in this burst.
    more: u32,
}

impl<'a> Clients<'a> {
    pub(crate) fn new(e: &'a Experiment, seed: u64) -> Clients<'a> {
        let skew = e.tenants.skew;
        Clients {
            e,
            rng: generator(seed, For::Arrivals, 0),
            classes: ByWeight::new(e.classes.iter().map(|class| class.part)),
            tenants: ByWeight::new((1..=e.tenants.count).map(|k| f64::from(k).powf(-skew))),
            shares: vec![(f64::INFINITY, 0); e.tenants.count as usize],
            more: 0,
        }
    }

    /// The multiple of the rate by the curve.
    fn curve(&self, now: Micros) -> f64 {
        let (at, curve) = (now as f64 / 1e6, &self.e.clients.curve);
        let next = curve.partition_point(|(point, _)| *point <= at);
        match (next.checked_sub(1).map(|before| curve[before]), curve.get(next)) {
            (Some((from, low)), Some((to, high))) => low + (high - low) * (at - from) / (to - from),
            (Some((_, value)), None) => value,
            (None, Some((_, value))) => *value,
            (None, None) => 1.0,
        }
    }

    /// How long until the next one comes, if the rate is so many times what it is; and whether it does.
    pub(crate) fn next(&mut self, now: Micros, times: f64) -> (Micros, bool) {
        if self.more > 0 {
            self.more -= 1;
            return (0, true);
        }
        let rate = self.e.clients.rate * self.curve(now) * times / 1e6;
        if rate <= 1e-12 {
            return (LOOK, false);
        }
        let span = match self.e.clients.arrivals {
            Arrivals::Poisson => exponential(&mut self.rng, 1.0 / rate),
            Arrivals::Even => 1.0 / rate,
            Arrivals::Bursts => {
                self.more = BURST - 1;
                exponential(&mut self.rng, f64::from(BURST) / rate)
            }
        };
        (span.round() as Micros, true)
    }

    /// How long a closed-loop client thinks.
    pub(crate) fn thinks(&mut self) -> Micros {
        exponential(&mut self.rng, micros(self.e.clients.think) as f64).round() as Micros
    }

    /// Whether a tenant is within its share, which this takes from.
    fn in_share(&mut self, now: Micros, tenant: u32) -> bool {
        let quota = self.e.quota_per_s();
        let Some((left, at)) = self.shares.get_mut(tenant as usize) else { return true };
        // A second's worth may be saved up, one request at least.
        *left = (*left + quota * (now - *at) as f64 / 1e6).min(quota.max(1.0));
        *at = now;
        let within = *left >= 1.0;
        *left -= f64::from(u8::from(within));
        within
    }

    /// What is wanted now.
    pub(crate) fn want(&mut self, now: Micros, client: Option<u32>) -> Want {
        let class = self.classes.draw(&mut self.rng);
        let tenant = (self.e.tenants.count > 0).then(|| self.tenants.draw(&mut self.rng) as u32);
        let node = self.rng.random_range(0..self.e.nodes.count) as usize;
        let drawn = work(&mut self.rng, &self.e.servers.shape) * micros(self.e.servers.time) as f64;
        let heeds = self.rng.random::<f64>() < self.e.clients.heed;
        let within = tenant.is_none_or(|tenant| self.in_share(now, tenant));
        let of_class = &self.e.classes[class];
        Want {
            start: now,
            class,
            tenant,
            node,
            work: drawn * of_class.work,
            worth: of_class.worth * if within { 1.0 } else { self.e.tenants.over_share_worth },
            tries: 0,
            heeds,
            client,
        }
    }
}
