//! The share of the fleet's limits that a node takes. The share follows the node's lease: without a lease the
//! node keeps a small minimum, so that it never stops serving. In any network partition, the shares of all
//! sides together stay within [`MAX_TOTAL_SHARE`] of the fleet's limits.

use crate::Micros;

/// The share of all nodes without a lease together, as a fraction of the fleet's limits; each node takes its
/// equal part of it.
pub const MIN_TOTAL_SHARE: f64 = 0.1;
/// An upper bound for the sum of all nodes' shares: the nodes with leases take the whole, all others the
/// minimum.
pub const MAX_TOTAL_SHARE: f64 = 1.0 + MIN_TOTAL_SHARE;
/// The least time between two increases, and the number of increases from nothing to a full share.
const INCREASE_INTERVAL: Micros = 500_000;
const INCREASES: f64 = 4.0;

/// The share of one node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitShare {
    share: f64,
    increased_at: Micros,
}

impl LimitShare {
    /// A node that starts, in a fleet of `configured` nodes: it takes the minimum.
    pub fn new(configured: usize) -> LimitShare {
        LimitShare { share: MIN_TOTAL_SHARE / configured.max(1) as f64, increased_at: 0 }
    }

    /// The share to take now. `members` is the number of members of the view that this node holds a lease
    /// under, `None` without a lease. The share shrinks immediately and grows in steps.
    pub fn update(&mut self, now: Micros, members: Option<usize>, configured: usize) -> f64 {
        let minimum = MIN_TOTAL_SHARE / configured.max(1) as f64;
        let target = members.map_or(minimum, |members| 1.0 / members.max(1) as f64);
        if target <= self.share {
            self.share = target;
        } else if now.saturating_sub(self.increased_at) >= INCREASE_INTERVAL {
            self.share = (self.share + target / INCREASES).min(target);
            self.increased_at = now;
        }
        self.share
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn grows_in_steps_and_shrinks_at_once() {
        let mut limit = LimitShare::new(5);
        let shares: Vec<f64> =
            (1..=6).map(|step| limit.update(step * INCREASE_INTERVAL, Some(5), 5)).collect();
        assert!(shares.windows(2).all(|pair| pair[1] - pair[0] <= 0.2 / INCREASES + 1e-9), "{shares:?}");
        assert_eq!(shares[5], 0.2);
        assert_eq!(limit.update(7 * INCREASE_INTERVAL, Some(10), 5), 0.1);
        assert_eq!(limit.update(7 * INCREASE_INTERVAL + 1, None, 5), MIN_TOTAL_SHARE / 5.0);
    }
}
