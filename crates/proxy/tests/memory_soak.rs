//! A seeded soak of the memory of a proxy process: clients and servers that hold as much as they can, while the
//! process is stopped and continued, shut down and restarted, and configured anew. To run other seeds and sizes
//! by hand: `DUNELINK_SOAK_SEEDS=100..150 DUNELINK_SOAK_CLIENTS=400 cargo test -p dunelink-proxy --test memory_soak`.

mod common;
mod soak;

use std::ops::Range;

use testkit::{number_from_environment, seeds_from_environment};

/// Seeds that every test run uses.
const DEFAULT_SEEDS: Range<u64> = 1..9;
/// Clients that a test run has by default.
const DEFAULT_CLIENTS: usize = 150;

#[test]
fn memory_stays_within_the_limit_whatever_arrives() {
    let mut failures = Vec::new();
    for seed in seeds_from_environment("DUNELINK_SOAK_SEEDS", DEFAULT_SEEDS) {
        common::run(async {
            failures.extend(
                soak::run_soak(seed, number_from_environment("DUNELINK_SOAK_CLIENTS", DEFAULT_CLIENTS)).await,
            );
        });
    }
    assert!(failures.is_empty(), "{} failures:\n{}", failures.len(), failures.join("\n"));
}
