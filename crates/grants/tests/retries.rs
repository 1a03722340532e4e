//! Repeats stay within the ratio in every sliding window.

use dunelink_grants::{RetryBounds, RetryBudget};

const SECOND: u64 = 1_000_000;
const BOUNDS: RetryBounds = RetryBounds { ratio: 0.2, window_s: 10.0, slack: 56.0 };

#[test]
fn repeats_keep_the_ratio_in_every_window() {
    let mut budget = RetryBudget::new(BOUNDS);
    budget.set_nodes(8);
    let mut repeats = Vec::new();
    for i in 0..6_000_u64 {
        let now = i * SECOND / 100;
        budget.record_request(now, "records");
        if budget.try_retry(now, "records") {
            repeats.push(now);
        }
    }
    for end in (0..60).map(|second| second * SECOND) {
        let inside = repeats.iter().filter(|at| **at <= end && **at + 10 * SECOND > end).count();
        assert!(inside as f64 <= 1_000.0 * BOUNDS.ratio + 2.0 + 20.0, "{inside} repeats in a window");
    }
    assert!(repeats.len() > 900, "only {} repeats", repeats.len());
}

#[test]
fn services_do_not_share_and_a_quiet_node_has_its_constant_part() {
    let mut budget = RetryBudget::new(BOUNDS);
    budget.set_nodes(8);
    let first: usize = (0..10).filter(|_| budget.try_retry(SECOND, "a")).count();
    let second: usize = (0..10).filter(|_| budget.try_retry(SECOND, "b")).count();
    assert_eq!((first, second), (2, 2));
    assert!(budget.try_retry(20 * SECOND, "a"), "the window has passed");
}
