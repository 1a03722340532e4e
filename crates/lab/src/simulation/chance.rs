//! Chance, of a fixed kind: one generator for each purpose, so that what one of them draws moves no other.

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal};
use rand_pcg::Pcg64;

use crate::experiment::WorkDistribution;

/// What a generator is for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum For {
    /// When requests come, of what class, from whom, to which node, with how much work.
    Arrivals = 1,
    /// What the network and servers do to attempts.
    Network = 2,
    /// When nodes hear of servers.
    List = 3,
    /// Whom troubles meet.
    Troubles = 4,
    /// What clients do about answers.
    Clients = 5,
    /// What policies draw.
    Policies = 6,
    /// Keys of gossip.
    Gossip = 7,
}

/// The generator of a purpose.
pub(crate) fn generator(seed: u64, purpose: For, number: u64) -> Pcg64 {
    let mix = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)
        ^ ((purpose as u64) << 48)
        ^ number.wrapping_mul(0xd1b5_4a32_d192_ed03);
    Pcg64::seed_from_u64(mix)
}

/// An exponential span of this mean.
pub(crate) fn exponential(rng: &mut Pcg64, mean: f64) -> f64 {
    let one: f64 = Exp1.sample(rng);
    one * mean
}

/// How much work a request is, against the mean.
pub(crate) fn work(rng: &mut Pcg64, shape: &WorkDistribution) -> f64 {
    match shape {
        WorkDistribution::Even => 1.0,
        WorkDistribution::Exponential => exponential(rng, 1.0),
        // The mean of the whole is 1.
        WorkDistribution::Lognormal { sigma } => {
            LogNormal::new(-sigma * sigma / 2.0, *sigma).map_or(1.0, |lognormal| lognormal.sample(rng))
        }
        WorkDistribution::Bimodal { part, times } => {
            let little = 1.0 / (1.0 - part + part * times);
            if rng.random::<f64>() < *part { little * times } else { little }
        }
        WorkDistribution::Pareto { alpha } => {
            let least = (alpha - 1.0) / alpha;
            least / (1.0 - rng.random::<f64>()).powf(1.0 / alpha)
        }
        WorkDistribution::Recorded { counts } => {
            let all: f64 = counts.iter().map(|(_, count)| count).sum();
            let mean = counts.iter().map(|(length, count)| length * count).sum::<f64>() / all;
            let mut left = rng.random::<f64>() * all;
            let mut drawn = 0.0;
            for (length, count) in counts {
                drawn = *length;
                left -= count;
                if left < 0.0 {
                    break;
                }
            }
            drawn / mean
        }
    }
}

/// Draws by weight: the running sums of weights, and where a draw falls.
#[derive(Clone, Debug)]
pub(crate) struct ByWeight(Vec<f64>);

impl ByWeight {
    /// From the weights.
    pub(crate) fn new(weights: impl Iterator<Item = f64>) -> ByWeight {
        let sums = weights.scan(0.0, |sum, weight| {
            *sum += weight;
            Some(*sum)
        });
        ByWeight(sums.collect())
    }

    /// The number of one.
    pub(crate) fn draw(&self, rng: &mut Pcg64) -> usize {
        let all = self.0.last().copied().unwrap_or(0.0);
        let drawn = rng.random::<f64>() * all;
        self.0.partition_point(|sum| *sum <= drawn).min(self.0.len().saturating_sub(1))
    }
}
