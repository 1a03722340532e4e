//! The number of nodes that share the load, and this node's rank among them.
//!
//! The rank is the position of the node's name in the ring: it does not depend on which nodes are up, so that
//! no node's slice moves when another node goes. The number of nodes follows the members: it grows
//! immediately, since smaller shares never add up to too much; it shrinks only after fewer members have been
//! present for some time, and in steps. It never falls below half of the recent maximum, nor below half of
//! the configured number. So, in a partition, each node takes at most twice its share, and both sides
//! together take at most twice the fleet's limits, however many nodes are cut off from each other.

use crate::Micros;

/// How long fewer members have to be present before the others take over their shares.
const SHRINK_DELAY: Micros = 5_000_000;
/// The least time between two decreases.
const SHRINK_INTERVAL: Micros = 1_000_000;
/// How long a maximum of present members counts.
const MAXIMUM_LIFETIME: Micros = 3_600_000_000;

/// This node's position in the fleet, which determines its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetPosition {
    /// The number of nodes that share the load.
    pub nodes: u32,
    /// This node's rank: below the number of names in the ring, but not necessarily below `nodes`.
    pub rank: u32,
}

pub(crate) struct FleetSize {
    configured: u32,
    nodes_in_use: u32,
    maximum: u32,
    maximum_at: Micros,
    fewer_since: Option<Micros>,
    shrunk_at: Micros,
}

impl FleetSize {
    pub(crate) fn new(configured: u32) -> FleetSize {
        let maximum = configured.max(1);
        FleetSize {
            configured: maximum,
            nodes_in_use: maximum,
            maximum,
            maximum_at: 0,
            fewer_since: None,
            shrunk_at: 0,
        }
    }

    /// The number of nodes to use, given the number of nodes that are present.
    pub(crate) fn update(&mut self, now: Micros, present: u32) -> u32 {
        if present >= self.maximum {
            (self.maximum, self.maximum_at) = (present, now);
        } else if now.saturating_sub(self.maximum_at) > MAXIMUM_LIFETIME {
            (self.maximum, self.maximum_at) = (present.max(self.configured), now);
        }
        let minimum = self.maximum.max(self.configured).div_ceil(2);
        let target = present.max(minimum);
        if target >= self.nodes_in_use {
            self.nodes_in_use = target;
            self.fewer_since = None;
            return self.nodes_in_use;
        }
        let since = *self.fewer_since.get_or_insert(now);
        if now.saturating_sub(since) >= SHRINK_DELAY && now.saturating_sub(self.shrunk_at) >= SHRINK_INTERVAL
        {
            let step = (self.nodes_in_use / 10).max(1);
            self.nodes_in_use = self.nodes_in_use.saturating_sub(step).max(target);
            self.shrunk_at = now;
        }
        self.nodes_in_use
    }

    /// This node was paused, which shows nothing about the others: the waiting time is extended.
    pub(crate) fn extend_delay(&mut self, by: Micros) {
        self.fewer_since = self.fewer_since.map(|at| at + by);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn grows_immediately_and_shrinks_late_in_steps() {
        let mut fleet_size = FleetSize::new(40);
        assert_eq!(fleet_size.update(0, 40), 40);
        let sizes: Vec<u32> = (0..40).map(|s| fleet_size.update(s * 500_000, 30)).collect();
        assert!(sizes[..10].iter().all(|n| *n == 40), "unchanged for 5 s: {sizes:?}");
        assert!(sizes.windows(2).all(|w| w[0] - w[1] <= w[0] / 10), "{sizes:?}");
        assert_eq!(sizes[39], 30);
        assert_eq!(fleet_size.update(20_000_000, 41), 41, "a new member counts immediately");
    }

    #[test]
    fn partition_sides_take_at_most_twice_the_limits() {
        for first_side in 1..=19_u32 {
            let (mut first, mut second) = (FleetSize::new(20), FleetSize::new(20));
            for s in 0..600 {
                let now = s * 1_000_000;
                let (first, second) = (first.update(now, first_side), second.update(now, 20 - first_side));
                let taken =
                    f64::from(first_side) / f64::from(first) + f64::from(20 - first_side) / f64::from(second);
                assert!(taken <= 2.0 + 1e-9, "{first_side} after {s} s: {taken}");
            }
        }
    }
}
