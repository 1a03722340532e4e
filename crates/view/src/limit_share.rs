//! What part of the fleet's limits a node takes. It follows its lease: without one it keeps a floor, so that it never
//! stops serving, and all sides of any cut together stay within [`MAX_TOTAL_SHARE`] of what the fleet may.

use crate::Micros;

/// What a node without a lease takes, of what is one node's.
pub const MIN_TOTAL_SHARE: f64 = 0.1;
/// What all nodes together take at most, of what the fleet may: those with leases a whole, the others their floors.
pub const MAX_TOTAL_SHARE: f64 = 1.0 + MIN_TOTAL_SHARE;
/// How long between two steps up, and how many steps lead from nothing to a whole part.
const STEP: Micros = 500_000;
const STEPS: f64 = 4.0;

/// The part of one node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitShare {
    part: f64,
    stepped_at: Micros,
}

impl LimitShare {
    /// A node that starts, of so many that there are meant to be: it has the floor.
    pub fn new(configured: usize) -> LimitShare {
        LimitShare { part: MIN_TOTAL_SHARE / configured.max(1) as f64, stepped_at: 0 }
    }

    /// The part to take now: `members` of the view that this node holds a lease under, or nothing where it holds none.
    /// It shrinks at once and grows by steps.
    pub fn update(&mut self, now: Micros, members: Option<usize>, configured: usize) -> f64 {
        let floor = MIN_TOTAL_SHARE / configured.max(1) as f64;
        let target = members.map_or(floor, |members| 1.0 / members.max(1) as f64);
        if target <= self.part {
            self.part = target;
        } else if now.saturating_sub(self.stepped_at) >= STEP {
            self.part = (self.part + target / STEPS).min(target);
            self.stepped_at = now;
        }
        self.part
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_grows_by_steps_and_shrinks_at_once() {
        let mut parts = LimitShare::new(5);
        let told: Vec<f64> = (1..=6).map(|step| parts.update(step * STEP, Some(5), 5)).collect();
        assert!(told.windows(2).all(|pair| pair[1] - pair[0] <= 0.2 / STEPS + 1e-9), "{told:?}");
        assert_eq!(told[5], 0.2);
        assert_eq!(parts.update(7 * STEP, Some(10), 5), 0.1);
        assert_eq!(parts.update(7 * STEP + 1, None, 5), MIN_TOTAL_SHARE / 5.0);
    }
}
