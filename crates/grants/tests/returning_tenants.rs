//! Tenants that leave the configuration and return keep their quota in every window.

mod support;

use support::{Fleet, SECOND};

/// Few and many nodes, small and large tenants.
const FLEETS: [(usize, f64); 4] = [(2, 170_347.0), (6, 29_000.0), (8, 400_000.0), (58, 290_000.0)];
/// Demand of a tenant that sends far more than its quota, as a multiple of its rate.
const HIGH_DEMAND: f64 = 5.8;
const MILLISECOND: u64 = 1_000;
/// Interval between changes of the configuration.
const CHANGE_INTERVAL: u64 = 900 * MILLISECOND;
/// Number of times that the tenant leaves and returns.
const RETURNS: usize = 6;
/// Maximum delay with which a node applies a change.
const MAX_DELAY: u64 = 500 * MILLISECOND;

/// Changes the configuration at the leader, and at each node after a random delay.
fn change(fleet: &mut Fleet, has_tenants: bool, interval: u64) {
    fleet.configure_leader(has_tenants);
    let end = fleet.now + interval;
    let mut delays: Vec<(u64, usize)> = (0..fleet.gates.len())
        .map(|node| (fleet.now + fleet.random.u64(..MAX_DELAY.min(interval)), node))
        .collect();
    delays.sort_unstable();
    for (at, node) in delays {
        fleet.run_until(at, HIGH_DEMAND, |_| true);
        fleet.configure_node(node, has_tenants);
    }
    fleet.run_until(end, HIGH_DEMAND, |_| true);
}

/// Guards against QUOTA: a tenant that left the configuration and returned was granted anew what it had used
/// before.
#[test]
fn tenant_that_leaves_and_returns_keeps_its_quota() {
    for (nodes, rate) in FLEETS {
        for seed in 0..8 {
            let mut fleet = Fleet::with_one_tenant(seed, nodes, rate);
            fleet.run_for(8, HIGH_DEMAND, |_| true);
            for _ in 0..RETURNS {
                change(&mut fleet, false, CHANGE_INTERVAL);
                change(&mut fleet, true, CHANGE_INTERVAL);
            }
            fleet.run_for(8, HIGH_DEMAND, |_| true);
            let share = fleet.worst_window_share(0);
            assert!(share <= 1.0, "{share} of the quota at {nodes} nodes with {rate} a second, seed {seed}");
        }
    }
}

/// Absences of any length, with new leaders and restarted nodes between and during them.
#[test]
fn returns_keep_the_quota_under_new_leaders_and_restarts() {
    for (nodes, rate) in FLEETS {
        for seed in 100..115 {
            let mut fleet = Fleet::with_one_tenant(seed, nodes, rate);
            fleet.run_for(8, HIGH_DEMAND, |_| true);
            for _ in 0..RETURNS {
                for has_tenants in [false, true] {
                    let interval = fleet.random.u64(200..12_000) * MILLISECOND;
                    match fleet.random.u32(..4) {
                        0 => drop(fleet.elect_leader()),
                        1 if !has_tenants => {
                            let node = fleet.random.usize(..nodes);
                            fleet.restart(node);
                        }
                        _ => {}
                    }
                    change(&mut fleet, has_tenants, interval);
                }
            }
            fleet.run_for(8, HIGH_DEMAND, |_| true);
            let share = fleet.worst_window_share(0);
            assert!(share <= 1.0, "{share} of the quota at {nodes} nodes with {rate} a second, seed {seed}");
        }
    }
}

/// A tenant that was away for longer than the window gets its full quota as it returns.
#[test]
fn tenant_that_returns_after_a_window_gets_its_quota() {
    let (nodes, rate) = FLEETS[2];
    let mut fleet = Fleet::with_one_tenant(1, nodes, rate);
    fleet.run_for(8, HIGH_DEMAND, |_| true);
    change(&mut fleet, false, 10 * SECOND);
    change(&mut fleet, true, CHANGE_INTERVAL);
    let returned_at = fleet.now;
    fleet.run_for(8, HIGH_DEMAND, |_| true);
    let admitted = fleet.admitted_units_after(0, returned_at);
    assert!(admitted >= 8.0 * rate * 0.9, "only {admitted} units");
    fleet.assert_within_quota(0);
}
