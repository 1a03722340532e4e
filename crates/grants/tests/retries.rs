//! Retries stay within the ratio in every sliding window.

use dunelink_grants::{RetryBounds, RetryBudget};

const SECOND: u64 = 1_000_000;
const BOUNDS: RetryBounds = RetryBounds { ratio: 0.2, window_s: 10.0, slack: 56.0 };

#[test]
fn retries_keep_the_ratio_in_every_window() {
    let mut budget = RetryBudget::new(BOUNDS);
    budget.set_nodes(8);
    let mut retries = Vec::new();
    for i in 0..6_000_u64 {
        let now = i * SECOND / 100;
        budget.record_request(now, "records");
        if budget.try_retry(now, "records") {
            retries.push(now);
        }
    }
    for end in (0..60).map(|second| second * SECOND) {
        let retry_count = retries.iter().filter(|at| **at <= end && **at + 10 * SECOND > end).count();
        assert!(
            retry_count as f64 <= 1_000.0 * BOUNDS.ratio + 2.0 + 20.0,
            "{retry_count} retries in a window"
        );
    }
    assert!(retries.len() > 900, "only {} retries", retries.len());
}

#[test]
fn services_have_separate_constant_budgets() {
    let mut budget = RetryBudget::new(BOUNDS);
    budget.set_nodes(8);
    let first: usize = (0..10).filter(|_| budget.try_retry(SECOND, "a")).count();
    let second: usize = (0..10).filter(|_| budget.try_retry(SECOND, "b")).count();
    assert_eq!((first, second), (2, 2));
    assert!(budget.try_retry(20 * SECOND, "a"), "a new window must allow a retry");
}
