//! Random fault schedules over groups of three and five machines.

mod support;

use support::faults::run_schedule;

const SEEDS: u64 = 200;
const STEPS: u32 = 60;

fn run(size: usize, seeds: std::ops::Range<u64>) {
    let chosen = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok());
    let seeds = chosen.map_or(seeds, |seed| seed..seed + 1);
    for seed in seeds {
        let outcome = std::panic::catch_unwind(|| run_schedule(size, seed, STEPS).checks.acknowledged.len());
        assert!(outcome.is_ok(), "size {size}, seed {seed}");
    }
}

#[test]
fn three_machines() {
    run(3, 0..SEEDS / 2);
}

#[test]
fn three_machines_more() {
    run(3, SEEDS / 2..SEEDS);
}

#[test]
fn five_machines() {
    run(5, 0..SEEDS / 2);
}

#[test]
fn five_machines_more() {
    run(5, SEEDS / 2..SEEDS);
}
