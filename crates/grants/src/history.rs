//! What a node admitted in each interval of the window, so that a new leader can add it up.

use std::collections::VecDeque;

use dunelink_protocol::report::HISTORY_INTERVAL_MS;

use crate::{MILLISECOND, Micros, QuotaBounds, SECOND};

/// Length of an interval, in microseconds.
pub(crate) const INTERVAL_US: Micros = HISTORY_INTERVAL_MS * MILLISECOND;

/// Number of intervals to store for a window. The oldest one may partly lie outside it.
pub(crate) fn interval_count(bounds: &QuotaBounds) -> usize {
    (bounds.window_s * SECOND / INTERVAL_US as f64).ceil().max(1.0) as usize + 1
}

/// Units admitted by interval, as pairs of interval number and units. Intervals without any are omitted.
#[derive(Debug, Default, Clone)]
pub(crate) struct AdmissionHistory(VecDeque<(u64, f64)>);

impl AdmissionHistory {
    /// Adds units admitted at `now`. Keeps the last `interval_count` intervals.
    pub(crate) fn add(&mut self, now: Micros, units: f64, interval_count: usize) {
        let interval = now / INTERVAL_US;
        while self.0.front().is_some_and(|(oldest, _)| oldest + interval_count as u64 <= interval) {
            self.0.pop_front();
        }
        match self.0.back_mut() {
            Some((newest, sum)) if *newest == interval => *sum += units,
            _ => self.0.push_back((interval, units)),
        }
    }

    /// Units admitted in each of the last `interval_count` intervals, the newest first. Empty if there are
    /// none.
    pub(crate) fn recent(&self, now: Micros, interval_count: usize) -> Vec<f64> {
        let current = now / INTERVAL_US;
        let mut units_by_age = vec![0.0; interval_count];
        for (interval, units) in &self.0 {
            let age = current.saturating_sub(*interval) as usize;
            if age < interval_count {
                units_by_age[age] += units;
            }
        }
        if units_by_age.iter().any(|units| *units > 0.0) { units_by_age } else { Vec::new() }
    }
}
