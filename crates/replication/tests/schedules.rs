//! Random fault schedules over groups of three and five machines.

mod support;

use support::faults::run_schedule;

/// Number of seeds per group size.
const SEEDS: u64 = 200;
/// Number of faults per schedule.
const STEPS: u32 = 60;

fn run_schedules(size: usize, seeds: std::ops::Range<u64>) {
    let chosen_seeds = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok());
    let seeds = chosen_seeds.map_or(seeds, |seed| seed..seed + 1);
    for seed in seeds {
        let outcome = std::panic::catch_unwind(|| run_schedule(size, seed, STEPS).checks.acknowledged.len());
        assert!(outcome.is_ok(), "the schedule of {size} machines with seed {seed} fails");
    }
}

#[test]
fn three_machines_first_half() {
    run_schedules(3, 0..SEEDS / 2);
}

#[test]
fn three_machines_second_half() {
    run_schedules(3, SEEDS / 2..SEEDS);
}

#[test]
fn five_machines_first_half() {
    run_schedules(5, 0..SEEDS / 2);
}

#[test]
fn five_machines_second_half() {
    run_schedules(5, SEEDS / 2..SEEDS);
}
