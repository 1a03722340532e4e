//! Weights of a route's targets.

use super::SplitTarget;

/// Sum that weights with fractions, or above the range of 32 bits, are scaled to.
const SCALED_SUM: f64 = 1_000_000.0;

/// Weights as whole numbers. Whole ones that fit stay as they are; others are scaled to a common sum, and one
/// above 0 stays above 0. The numbers are finite and at least 0.
pub(super) fn whole_weights(weights: &[f64]) -> Vec<u32> {
    let fits = |weight: &f64| weight.fract() == 0.0 && *weight <= f64::from(u32::MAX);
    if weights.iter().all(fits) {
        return weights.iter().map(|weight| *weight as u32).collect();
    }
    let largest = weights.iter().copied().fold(0.0, f64::max);
    let sum: f64 = weights.iter().map(|weight| weight / largest).sum();
    weights.iter().map(|weight| scaled(weight / largest / sum)).collect()
}

/// Position of the service whose share of the weights holds `point`.
pub(super) fn choose(targets: &[SplitTarget], point: f64) -> usize {
    if let [only] = targets {
        return only.service;
    }
    let sum: f64 = targets.iter().map(|target| f64::from(target.weight)).sum();
    let mut left = point.max(0.0) * sum;
    let mut chosen = 0;
    for target in targets.iter().filter(|target| target.weight > 0) {
        chosen = target.service;
        left -= f64::from(target.weight);
        if left < 0.0 {
            break;
        }
    }
    chosen
}

fn scaled(share: f64) -> u32 {
    if share > 0.0 { (share * SCALED_SUM).round().max(1.0) as u32 } else { 0 }
}
