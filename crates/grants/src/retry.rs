//! Limits retries to a ratio of a node's own requests.

use std::collections::{HashMap, VecDeque};

use crate::{Micros, RetryBounds, SECOND};

/// Number of intervals into which the window is divided for counting.
const INTERVAL_COUNT: u64 = 10;
/// Share of the ratio that is used. The rest is a margin: a retry sent within one window may arrive within
/// another.
const USED_RATIO_SHARE: f64 = 0.85;
/// Maximum number of retries in a window that a node may make regardless of the ratio.
const MAX_BASE_RETRIES: f64 = 2.0;
/// Assumed number of nodes among which the constant part is divided before their number is known.
const ASSUMED_MAX_NODES: f64 = 512.0;

/// Requests and retries of one service in one interval of the window.
#[derive(Debug, Clone, Copy)]
struct Interval {
    index: u64,
    requests: u32,
    retries: u32,
}

/// Limits retries to servers, separately for each service.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: RetryBounds,
    base_retries: f64,
    services: HashMap<String, VecDeque<Interval>>,
}

impl RetryBudget {
    /// Creates a budget without any requests or retries.
    pub fn new(bounds: RetryBounds) -> Self {
        let base_retries = MAX_BASE_RETRIES.min(bounds.slack / ASSUMED_MAX_NODES);
        Self { bounds, base_retries, services: HashMap::new() }
    }

    /// Sets the number of nodes that share the constant part of the budget.
    pub fn set_nodes(&mut self, nodes: u32) {
        // Half of the constant part: a restarted node does not know which retries it made before.
        self.base_retries = MAX_BASE_RETRIES.min(self.bounds.slack / 2.0 / f64::from(nodes.max(1)));
    }

    /// Counts a client's request to a service.
    pub fn record_request(&mut self, now: Micros, service: &str) {
        self.current_interval(now, service).requests += 1;
    }

    /// Whether one more retry may be sent. If so, it is counted.
    pub fn try_retry(&mut self, now: Micros, service: &str) -> bool {
        self.current_interval(now, service);
        let intervals = &self.services[service];
        let requests: u32 = intervals.iter().map(|interval| interval.requests).sum();
        let retries: u32 = intervals.iter().map(|interval| interval.retries).sum();
        let allowed = f64::from(requests) * self.bounds.ratio * USED_RATIO_SHARE + self.base_retries;
        let is_allowed = f64::from(retries) + 1.0 <= allowed;
        if is_allowed {
            self.current_interval(now, service).retries += 1;
        }
        is_allowed
    }

    /// The interval that contains `now`. Removes the intervals that have left the window.
    fn current_interval(&mut self, now: Micros, service: &str) -> &mut Interval {
        let length = (self.bounds.window_s.max(0.1) * SECOND) as u64 / INTERVAL_COUNT;
        let index = now / length.max(1);
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), VecDeque::new());
        }
        let intervals = self.services.get_mut(service).expect("inserted above");
        while intervals.front().is_some_and(|interval| interval.index + INTERVAL_COUNT <= index) {
            intervals.pop_front();
        }
        if intervals.back().is_none_or(|interval| interval.index != index) {
            intervals.push_back(Interval { index, requests: 0, retries: 0 });
        }
        intervals.back_mut().expect("pushed above")
    }
}
