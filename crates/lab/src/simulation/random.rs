//! Random numbers from one algorithm, with a separate generator for each purpose, so that draws for one
//! purpose don't change those for another.

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal};
use rand_pcg::Pcg64;

use crate::experiment::WorkDistribution;

/// The purpose of a generator.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RngPurpose {
    /// The times of calls, their class, tenant, node and work.
    Arrivals = 1,
    /// Delays and failures of the network and servers.
    Network = 2,
    /// Delays and losses of the server list.
    List = 3,
    /// The targets of faults.
    Faults = 4,
    /// Clients' retries.
    Clients = 5,
    /// The policies' own draws.
    Policies = 6,
    /// Keys for gossip.
    Gossip = 7,
}

/// Returns the generator for a purpose; `number` separates several generators of one purpose.
pub(crate) fn generator(seed: u64, purpose: RngPurpose, number: u64) -> Pcg64 {
    let mix = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)
        ^ ((purpose as u64) << 48)
        ^ number.wrapping_mul(0xd1b5_4a32_d192_ed03);
    Pcg64::seed_from_u64(mix)
}

/// Draws from an exponential distribution with this mean.
pub(crate) fn exponential(rng: &mut Pcg64, mean: f64) -> f64 {
    let unit: f64 = Exp1.sample(rng);
    unit * mean
}

/// Draws the work of a request, relative to the mean.
pub(crate) fn relative_work(rng: &mut Pcg64, shape: &WorkDistribution) -> f64 {
    match shape {
        WorkDistribution::Even => 1.0,
        WorkDistribution::Exponential => exponential(rng, 1.0),
        // The parameters are such that the mean is 1.
        WorkDistribution::Lognormal { sigma } => {
            LogNormal::new(-sigma * sigma / 2.0, *sigma).map_or(1.0, |lognormal| lognormal.sample(rng))
        }
        WorkDistribution::Bimodal { part, times } => {
            let small = 1.0 / (1.0 - part + part * times);
            if rng.random::<f64>() < *part { small * times } else { small }
        }
        WorkDistribution::Pareto { alpha } => {
            let minimum = (alpha - 1.0) / alpha;
            minimum / (1.0 - rng.random::<f64>()).powf(1.0 / alpha)
        }
        WorkDistribution::Recorded { counts } => {
            let total: f64 = counts.iter().map(|(_, count)| count).sum();
            let mean = counts.iter().map(|(length, count)| length * count).sum::<f64>() / total;
            let mut remaining = rng.random::<f64>() * total;
            let mut drawn = 0.0;
            for (length, count) in counts {
                drawn = *length;
                remaining -= count;
                if remaining < 0.0 {
                    break;
                }
            }
            drawn / mean
        }
    }
}

/// Draws indices by weight; holds the running sums of the weights.
#[derive(Clone, Debug)]
pub(crate) struct WeightedSampler(Vec<f64>);

impl WeightedSampler {
    /// Creates a sampler with these weights.
    pub(crate) fn new(weights: impl Iterator<Item = f64>) -> WeightedSampler {
        let sums = weights.scan(0.0, |sum, weight| {
            *sum += weight;
            Some(*sum)
        });
        WeightedSampler(sums.collect())
    }

    /// Draws an index.
    pub(crate) fn draw(&self, rng: &mut Pcg64) -> usize {
        let total = self.0.last().copied().unwrap_or(0.0);
        let drawn = rng.random::<f64>() * total;
        self.0.partition_point(|sum| *sum <= drawn).min(self.0.len().saturating_sub(1))
    }
}
