//! Weights of the targets of a route.

use super::SplitTarget;

/// Approximate sum of weights that were scaled because of a fraction or a value above the range of `u32`.
const SCALED_SUM: f64 = 1_000_000.0;

/// Converts weights to integers. The weights are finite and at least 0, and one of them is above 0. If all
/// are integers in the range of `u32`, they are kept; otherwise they are scaled to a fixed sum, and a weight
/// above 0 stays above 0.
pub(super) fn integer_weights(weights: &[f64]) -> Vec<u32> {
    let fits = |weight: &f64| weight.fract() == 0.0 && *weight <= f64::from(u32::MAX);
    if weights.iter().all(fits) {
        return weights.iter().map(|weight| *weight as u32).collect();
    }
    let largest = weights.iter().copied().fold(0.0, f64::max);
    let sum: f64 = weights.iter().map(|weight| weight / largest).sum();
    weights.iter().map(|weight| scaled_weight(weight / largest / sum)).collect()
}

/// Position of the service that `point` selects by weight, see
/// [`Route::choose_target`](super::Route::choose_target).
pub(super) fn choose(targets: &[SplitTarget], point: f64) -> usize {
    if let [only] = targets {
        return only.service;
    }
    let sum: f64 = targets.iter().map(|target| f64::from(target.weight)).sum();
    let mut remaining = point.max(0.0) * sum;
    let mut chosen = 0;
    for target in targets.iter().filter(|target| target.weight > 0) {
        chosen = target.service;
        remaining -= f64::from(target.weight);
        if remaining < 0.0 {
            break;
        }
    }
    chosen
}

fn scaled_weight(share: f64) -> u32 {
    if share > 0.0 { (share * SCALED_SUM).round().max(1.0) as u32 } else { 0 }
}
