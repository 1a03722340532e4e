//! Random fault schedules.

use dunelink_replication::Input;

use super::cluster::Cluster;
use super::disk::DiskMode;
use super::{MILLISECOND, SECOND};

/// Injects random faults, then ends all faults and checks that the group recovers and agrees.
pub fn run_schedule(size: usize, seed: u64, steps: u32) -> Cluster {
    let mut cluster = run_faults(size, seed, steps);
    end_faults(&mut cluster);
    assert_recovers(&mut cluster);
    cluster
}

/// Injects `steps` random faults with random pauses.
fn run_faults(size: usize, seed: u64, steps: u32) -> Cluster {
    let mut cluster = Cluster::new(size, seed);
    cluster.settings.snapshot_every_entries = 40;
    cluster.settings.keep_entries = 10;
    cluster.settings.max_append_bytes = 16 * 1024;
    cluster.max_command_padding = if seed.is_multiple_of(3) { 40_000 } else { 200 };
    cluster.network.in_order = !seed.is_multiple_of(4);
    for position in 0..size {
        cluster.restart(position);
    }
    if seed % 2 == 1 {
        cluster.add_machine();
    }
    for _ in 0..steps {
        inject_fault(&mut cluster);
        let wait = cluster.random.u64(20 * MILLISECOND..900 * MILLISECOND);
        cluster.run_for(wait);
    }
    cluster
}

/// Injects one random fault, or ends some faults.
fn inject_fault(cluster: &mut Cluster) {
    let present: Vec<usize> =
        (0..cluster.machines.len()).filter(|position| !cluster.machines[*position].removed).collect();
    let position = present[cluster.random.usize(0..present.len())];
    let leader = cluster.leader().unwrap_or(position);
    let position = if cluster.random.bool() { leader } else { position };
    match cluster.random.u32(0..28) {
        0 => cluster.crash(position),
        1 | 2 => cluster.restart(position),
        3 => present.iter().for_each(|position| cluster.restart(*position)),
        4 | 5 => {
            let duration = cluster.random.u64(50 * MILLISECOND..3 * SECOND);
            cluster.pause(position, duration);
        }
        6 | 7 => cluster.isolate(position),
        8 | 9 => {
            let to = present[cluster.random.usize(0..present.len())];
            cluster.network.cut(position, to);
        }
        10 => present.iter().for_each(|to| cluster.network.cut(position, *to)),
        11 => present.iter().for_each(|from| cluster.network.cut(*from, position)),
        12 => cluster.network.loss_percent = cluster.random.u32(0..40),
        13 => cluster.set_disk_mode(position, DiskMode::Stalled),
        14 => cluster.set_disk_mode(position, DiskMode::Full),
        15 | 16 => present.iter().for_each(|position| cluster.set_disk_mode(*position, DiskMode::Normal)),
        17 if cluster.voter_disks_are_intact() => cluster.wipe(position),
        18 if cluster.voter_disks_are_intact() => drop(cluster.replace(position)),
        19 => cluster.handle(position, Input::PrepareShutdown),
        _ => {
            cluster.network.heal();
            start_all(cluster);
        }
    }
}

fn start_all(cluster: &mut Cluster) {
    for position in 0..cluster.machines.len() {
        if cluster.machines[position].replica.is_none() && !cluster.machines[position].removed {
            cluster.start(position);
        }
    }
}

/// Ends all faults.
pub fn end_faults(cluster: &mut Cluster) {
    cluster.network.heal();
    cluster.network.in_order = true;
    for position in 0..cluster.machines.len() {
        if !cluster.machines[position].removed {
            cluster.set_disk_mode(position, DiskMode::Normal);
            cluster.restart(position);
        }
    }
}

/// Asserts that the group elects a leader, regains its number of voters, and that all machines reach the same
/// state.
pub fn assert_recovers(cluster: &mut Cluster) {
    cluster.wait_for_leader(10 * SECOND);
    cluster.run_until(20 * SECOND, Cluster::voter_disks_are_intact);
    let leader = cluster.wait_for_leader(SECOND);
    let command = cluster.propose(leader);
    cluster.run_until(5 * SECOND, |cluster| cluster.is_acknowledged(command));
    cluster.proposal_interval = None;
    cluster.run_until(10 * SECOND, |cluster| {
        let mut machines = cluster.machines.iter().filter(|machine| !machine.removed);
        machines.all(|machine| machine.state == cluster.checks.applied)
    });
    for machine in cluster.machines.iter().filter(|machine| !machine.removed) {
        cluster.checks.assert_has_acknowledged(machine);
    }
}
