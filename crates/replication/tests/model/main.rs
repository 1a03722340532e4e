//! Model checking of the shipped state machine with small groups: bounded exhaustive search and long random
//! walks.
//!
//! `MODEL_SECONDS` makes each test of random walks run for that many seconds, from a random first seed.
//! `MODEL_DEPTH` sets the depth of the exhaustive search. `SEED` sets the first seed of the walks.

mod checks;
mod replacement;
mod search;
mod walk;
mod world;

use replacement::{Departure, Others, lose_disk_after_each_event};
use search::search;
use walk::{Scenario, walk};
use world::World;

/// Depth of the exhaustive search unless `MODEL_DEPTH` is set.
const DEFAULT_DEPTH: usize = 6;
/// Number of simulated replacements in which a disk is lost after each event.
const REPLACEMENT_RUNS: u64 = 60;
/// Walks that start with a new group.
const LONG_WALK: Scenario = Scenario {
    name: "",
    initial_world: || World::new_group(3, 0),
    events: 1_200,
    is_short: false,
    fault_free_events: 0,
    is_partitioned: false,
};
/// Walks that start shortly before a rare situation.
const SHORT_WALK: Scenario = Scenario { events: 160, is_short: true, fault_free_events: 60, ..LONG_WALK };

fn depth() -> usize {
    std::env::var("MODEL_DEPTH").ok().and_then(|depth| depth.parse().ok()).unwrap_or(DEFAULT_DEPTH)
}

/// Runs walks from many seeds. Their progress is counted, so that a model in which nothing happens fails.
fn walk_all(walks: u64, scenario: Scenario) {
    let seconds: Option<u64> = std::env::var("MODEL_SECONDS").ok().and_then(|seconds| seconds.parse().ok());
    let started_at = std::time::Instant::now();
    let mut totals = walk::WalkTotals::default();
    let chosen_seed: Option<u64> = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok());
    let mut seed =
        chosen_seed.unwrap_or_else(|| if seconds.is_some() { fastrand::u64(1 << 32..) } else { 0 });
    let end_seed = seed + walks;
    while seconds.map_or(seed < end_seed, |seconds| started_at.elapsed().as_secs() < seconds) {
        let outcome = std::panic::catch_unwind(|| walk(scenario, seed));
        match outcome {
            Ok(walk_totals) => totals.add(&walk_totals),
            Err(_) => panic!("{}: at seed {seed}", scenario.name),
        }
        seed += 1;
    }
    println!("{}: {totals:?}", scenario.name);
    totals.assert_enough(!scenario.is_short);
}

#[test]
fn search_after_an_election() {
    search("after an election", World::with_leader(3), depth());
}

#[test]
fn search_as_a_learner_replaces_a_lost_voter() {
    search("a lost voter and a learner", World::with_lost_voter(), depth());
}

#[test]
fn search_after_the_loss_of_the_leader() {
    search("the leader lost", World::with_lost_leader(), depth());
}

fn check_disk_losses(departure: Departure) {
    for others in [Others::KeepRunning, Others::LosePower] {
        let losses: usize =
            (0..REPLACEMENT_RUNS).map(|seed| lose_disk_after_each_event(departure, others, seed)).sum();
        println!("{departure:?}, {others:?}: {losses} losses in {REPLACEMENT_RUNS} replacements");
        assert!(losses as u64 > 30 * REPLACEMENT_RUNS, "the replacements had too few events");
    }
}

#[test]
fn disk_loss_while_a_lost_voter_is_replaced() {
    check_disk_losses(Departure::Fails);
}

#[test]
fn disk_loss_while_a_voter_shutting_down_is_replaced() {
    check_disk_losses(Departure::ShutsDown);
}

#[test]
fn disk_loss_while_a_leader_shutting_down_is_replaced() {
    check_disk_losses(Departure::LeaderShutsDown);
}

#[test]
fn walks_of_three_voters() {
    walk_all(400, Scenario { name: "three", initial_world: || World::new_group(3, 0), ..LONG_WALK });
}

#[test]
fn walks_of_three_voters_and_a_joining_machine() {
    walk_all(
        400,
        Scenario {
            name: "three and a joining machine",
            initial_world: || World::new_group(3, 1),
            ..LONG_WALK
        },
    );
}

#[test]
fn walks_of_five_voters() {
    walk_all(400, Scenario { name: "five", initial_world: || World::new_group(5, 0), ..LONG_WALK });
}

#[test]
fn walks_from_divergent_log_tails() {
    walk_all(
        3_000,
        Scenario { name: "divergent tails", initial_world: World::with_divergent_tails, ..SHORT_WALK },
    );
}

#[test]
fn walks_from_a_delayed_vote_request() {
    let scenario =
        Scenario { name: "a delayed vote request", initial_world: World::with_delayed_vote, ..SHORT_WALK };
    walk_all(8_000, Scenario { fault_free_events: 120, ..scenario });
}

#[test]
fn walks_from_a_leader_partitioned_with_a_learner() {
    walk_all(
        3_000,
        Scenario {
            name: "a partitioned leader",
            initial_world: World::partitioned,
            is_partitioned: true,
            ..SHORT_WALK
        },
    );
}
