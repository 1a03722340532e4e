//! What a node let pass in the parts of the window, so that a new leader may add it up.

use std::collections::VecDeque;

use dunelink_protocol::report::HISTORY_INTERVAL_MS;

use crate::{MILLISECOND, Micros, QuotaBounds, SECOND};

/// Length of a part, in microseconds.
pub(crate) const PART: Micros = HISTORY_INTERVAL_MS * MILLISECOND;

/// Parts that are kept for a window: what lies in the oldest one may have left it already.
pub(crate) fn parts(bounds: &QuotaBounds) -> usize {
    (bounds.window_s * SECOND / PART as f64).ceil().max(1.0) as usize + 1
}

/// Units let pass by parts of the window; parts without any are left out.
#[derive(Debug, Default, Clone)]
pub(crate) struct History(VecDeque<(u64, f64)>);

impl History {
    /// Adds units let pass at `now`; `keep` parts are kept.
    pub(crate) fn add(&mut self, now: Micros, units: f64, keep: usize) {
        let number = now / PART;
        while self.0.front().is_some_and(|(oldest, _)| oldest + keep as u64 <= number) {
            self.0.pop_front();
        }
        match self.0.back_mut() {
            Some((newest, sum)) if *newest == number => *sum += units,
            _ => self.0.push_back((number, units)),
        }
    }

    /// The last `keep` parts, the newest first; nothing if nothing passed in them.
    pub(crate) fn told(&self, now: Micros, keep: usize) -> Vec<f64> {
        let newest = now / PART;
        let mut told = vec![0.0; keep];
        for (number, units) in &self.0 {
            let age = newest.saturating_sub(*number) as usize;
            if age < keep {
                told[age] += units;
            }
        }
        if told.iter().any(|units| *units > 0.0) { told } else { Vec::new() }
    }
}
