//! Soak tests of planned operations on the real programs. To run other seeds and sizes manually:
//! `DUNELINK_SOAK_SEEDS=100..150 DUNELINK_SOAK_FRONTS=40 cargo test -p dunelink-control --test fleet_soak`.

mod soak;

use std::ops::Range;
use std::time::Duration;

use soak::SoakSize;
use testkit::{number_from_environment, seeds_from_environment};

const CONTROL_BINARY: &str = env!("CARGO_BIN_EXE_dunelink-control");
/// Seeds that every test run uses.
const DEFAULT_SEEDS: Range<u64> = 1..7;
/// Front machines in a test run by default.
const DEFAULT_FRONTS: u8 = 4;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn overlapping_planned_operations_lose_no_request() {
    let size = SoakSize {
        fronts: number_from_environment("DUNELINK_SOAK_FRONTS", DEFAULT_FRONTS),
        clients_per_front: 12,
        duration: Duration::from_secs(8),
    };
    let mut failures = Vec::new();
    for seed in seeds_from_environment("DUNELINK_SOAK_SEEDS", DEFAULT_SEEDS) {
        failures.extend(soak::run_soak(CONTROL_BINARY, seed, size).await);
    }
    assert!(failures.is_empty(), "{} failures:\n{}", failures.len(), failures.join("\n"));
}
