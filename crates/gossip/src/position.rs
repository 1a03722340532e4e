//! The number of nodes that share the work, and this node's place among them.
//!
//! The place is the name's place in the ring: it stays whoever is up, so that slices do not move when another
//! node goes. The number follows who is there: up at once, since smaller parts never add up to too much; down
//! only when fewer have been there for some time, and by steps. It never falls below half of the most that
//! were there lately, nor below half of what is configured. So in a partition each node takes at most twice
//! its part, and both sides together take at most twice what all nodes may: the max_false_suspicion is
//! stated, and as many nodes as are cut off from each other can't break it.

use crate::Micros;

/// For how long fewer nodes have to be there before the others take over their parts.
const HOLD: Micros = 5_000_000;
/// The least time between two steps down.
const STEP: Micros = 1_000_000;
/// For how long the most that were there count.
const LATELY: Micros = 3_600_000_000;

/// What a node takes its part of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetPosition {
    /// How many nodes share the work.
    pub nodes: u32,
    /// This node's place; below the number of names in the ring, whatever `nodes` is.
    pub rank: u32,
}

pub(crate) struct Places {
    configured: u32,
    now_nodes: u32,
    most: u32,
    most_at: Micros,
    fewer_since: Option<Micros>,
    stepped_at: Micros,
}

impl Places {
    pub(crate) fn new(configured: u32) -> Places {
        let most = configured.max(1);
        Places { configured: most, now_nodes: most, most, most_at: 0, fewer_since: None, stepped_at: 0 }
    }

    /// How many nodes to reckon with, now that so many are there.
    pub(crate) fn update(&mut self, now: Micros, present: u32) -> u32 {
        if present >= self.most {
            (self.most, self.most_at) = (present, now);
        } else if now.saturating_sub(self.most_at) > LATELY {
            (self.most, self.most_at) = (present.max(self.configured), now);
        }
        let least = self.most.max(self.configured).div_ceil(2);
        let target = present.max(least);
        if target >= self.now_nodes {
            self.now_nodes = target;
            self.fewer_since = None;
            return self.now_nodes;
        }
        let since = *self.fewer_since.get_or_insert(now);
        if now.saturating_sub(since) >= HOLD && now.saturating_sub(self.stepped_at) >= STEP {
            let step = (self.now_nodes / 10).max(1);
            self.now_nodes = self.now_nodes.saturating_sub(step).max(target);
            self.stepped_at = now;
        }
        self.now_nodes
    }

    /// The node's own pause tells nothing of the others.
    pub(crate) fn shift(&mut self, by: Micros) {
        self.fewer_since = self.fewer_since.map(|at| at + by);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parts_grow_late_and_by_steps_and_shrink_at_once() {
        let mut places = Places::new(40);
        assert_eq!(places.update(0, 40), 40);
        let told: Vec<u32> = (0..40).map(|s| places.update(s * 500_000, 30)).collect();
        assert!(told[..10].iter().all(|n| *n == 40), "held for 5 s: {told:?}");
        assert!(told.windows(2).all(|w| w[0] - w[1] <= w[0] / 10), "{told:?}");
        assert_eq!(told[39], 30);
        assert_eq!(places.update(20_000_000, 41), 41, "who comes is counted at once");
    }

    #[test]
    fn both_sides_of_a_partition_take_at_most_twice_what_all_may() {
        for cut in 1..=19_u32 {
            let (mut one, mut two) = (Places::new(20), Places::new(20));
            for s in 0..600 {
                let now = s * 1_000_000;
                let (one, two) = (one.update(now, cut), two.update(now, 20 - cut));
                let taken = f64::from(cut) / f64::from(one) + f64::from(20 - cut) / f64::from(two);
                assert!(taken <= 2.0 + 1e-9, "{cut} after {s} s: {taken}");
            }
        }
    }
}
