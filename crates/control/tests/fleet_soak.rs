//! Soak tests of planned operations on the real programs. To run other seeds and sizes manually:
//! `DUNELINK_SOAK_SEEDS=100..150 DUNELINK_SOAK_FRONTS=40 cargo test -p dunelink-control --test fleet_soak`.

mod soak;

use std::ops::Range;
use std::time::Duration;

use soak::SoakSize;

const CONTROL_BINARY: &str = env!("CARGO_BIN_EXE_dunelink-control");
/// Seeds that every test run uses.
const DEFAULT_SEEDS: Range<u64> = 1..7;
/// Front machines in a test run by default.
const DEFAULT_FRONTS: u8 = 4;

fn seeds_from_environment() -> Range<u64> {
    let Ok(text) = std::env::var("DUNELINK_SOAK_SEEDS") else { return DEFAULT_SEEDS };
    let range = text.split_once("..").and_then(|(first, end)| Some(first.parse().ok()?..end.parse().ok()?));
    range.expect("DUNELINK_SOAK_SEEDS must be two numbers with `..` between them")
}

fn fronts_from_environment() -> u8 {
    let text = std::env::var("DUNELINK_SOAK_FRONTS");
    text.map_or(DEFAULT_FRONTS, |text| text.parse().expect("DUNELINK_SOAK_FRONTS must be a number up to 50"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn overlapping_planned_operations_lose_no_request() {
    let size = SoakSize {
        fronts: fronts_from_environment(),
        clients_per_front: 12,
        duration: Duration::from_secs(8),
    };
    let mut failures = Vec::new();
    for seed in seeds_from_environment() {
        failures.extend(soak::run_soak(CONTROL_BINARY, seed, size).await);
    }
    assert!(failures.is_empty(), "{} failures:\n{}", failures.len(), failures.join("\n"));
}
