//! Bounds repeats by a ratio of a node's own requests.

use std::collections::{HashMap, VecDeque};

use crate::{Micros, RetryBounds, SECOND};

/// Parts of the window in which requests and repeats are counted.
const SLOTS: u64 = 10;
/// Part of the ratio that is used: a repeat sent within one window may arrive within another.
const RATIO_PART: f64 = 0.85;
/// Repeats in a window that a node may make without any ratio, at most.
const FREE_REPEATS: f64 = 2.0;
/// Nodes among which the constant part is divided when there are too many for [`FREE_REPEATS`] each.
const NODES_AT_MOST: f64 = 512.0;

/// Requests and repeats of one service in one part of the window.
#[derive(Debug, Clone, Copy)]
struct Slot {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// Bounds repeats to servers, by service.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: RetryBounds,
    free: f64,
    services: HashMap<String, VecDeque<Slot>>,
}

impl RetryBudget {
    /// A budget in which nothing has been counted.
    pub fn new(bounds: RetryBounds) -> Self {
        let free = FREE_REPEATS.min(bounds.slack / NODES_AT_MOST);
        Self { bounds, free, services: HashMap::new() }
    }

    /// Tells how many nodes share the budget's constant part.
    pub fn set_nodes(&mut self, nodes: u32) {
        // Half of it: a node that restarts has forgotten what it used.
        self.free = FREE_REPEATS.min(self.bounds.slack / 2.0 / f64::from(nodes.max(1)));
    }

    /// Counts a client's request for a service.
    pub fn record_request(&mut self, now: Micros, service: &str) {
        self.slot(now, service).requests += 1;
    }

    /// Whether one more repeat may be sent; it is counted if so.
    pub fn try_retry(&mut self, now: Micros, service: &str) -> bool {
        self.slot(now, service);
        let slots = &self.services[service];
        let requests: u32 = slots.iter().map(|slot| slot.requests).sum();
        let repeats: u32 = slots.iter().map(|slot| slot.repeats).sum();
        let allowed = f64::from(requests) * self.bounds.ratio * RATIO_PART + self.free;
        let may = f64::from(repeats) + 1.0 <= allowed;
        if may {
            self.slot(now, service).repeats += 1;
        }
        may
    }

    /// The slot of this time; slots that have left the window are forgotten.
    fn slot(&mut self, now: Micros, service: &str) -> &mut Slot {
        let length = (self.bounds.window_s.max(0.1) * SECOND) as u64 / SLOTS;
        let number = now / length.max(1);
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), VecDeque::new());
        }
        let slots = self.services.get_mut(service).expect("inserted above");
        while slots.front().is_some_and(|slot| slot.number + SLOTS <= number) {
            slots.pop_front();
        }
        if slots.back().is_none_or(|slot| slot.number != number) {
            slots.push_back(Slot { number, requests: 0, repeats: 0 });
        }
        slots.back_mut().expect("pushed above")
    }
}
