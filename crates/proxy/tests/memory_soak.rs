//! A seeded soak of the memory of a proxy process: clients and servers that hold as much as they can, while the
//! process is stopped and continued, shut down and restarted, and configured anew. To run other seeds and sizes
//! by hand: `DUNELINK_SOAK_SEEDS=100..150 DUNELINK_SOAK_CLIENTS=400 cargo test -p dunelink-proxy --test memory_soak`.

mod common;
mod soak;

use std::ops::Range;

/// Seeds that every test run uses.
const DEFAULT_SEEDS: Range<u64> = 1..9;
/// Clients that a test run has by default.
const DEFAULT_CLIENTS: usize = 150;

fn seeds_from_environment() -> Range<u64> {
    let Ok(text) = std::env::var("DUNELINK_SOAK_SEEDS") else { return DEFAULT_SEEDS };
    let range = text.split_once("..").and_then(|(first, end)| Some(first.parse().ok()?..end.parse().ok()?));
    range.expect("DUNELINK_SOAK_SEEDS must be two numbers with `..` between them")
}

fn clients_from_environment() -> usize {
    let text = std::env::var("DUNELINK_SOAK_CLIENTS");
    text.map_or(DEFAULT_CLIENTS, |text| text.parse().expect("DUNELINK_SOAK_CLIENTS must be a number"))
}

#[test]
fn memory_stays_within_the_limit_whatever_arrives() {
    let mut failures = Vec::new();
    for seed in seeds_from_environment() {
        common::run(async {
            failures.extend(soak::run_soak(seed, clients_from_environment()).await);
        });
    }
    assert!(failures.is_empty(), "{} failures:\n{}", failures.len(), failures.join("\n"));
}
