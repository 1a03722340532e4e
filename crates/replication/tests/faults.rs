//! Single faults, and the required reaction of the group to each.

mod support;

use dunelink_replication::{Input, Settings};
use support::cluster::Cluster;
use support::disk::DiskMode;
use support::faults::assert_recovers;
use support::{MILLISECOND, SECOND};

const SEEDS: u64 = 10;

fn running_cluster(size: usize, seed: u64) -> (Cluster, usize) {
    let mut cluster = Cluster::new(size, seed);
    let leader = cluster.wait_for_leader(5 * SECOND);
    cluster.run_for(SECOND);
    assert_eq!(cluster.leader(), Some(leader));
    (cluster, leader)
}

fn commit_command(cluster: &mut Cluster, leader: usize) -> u64 {
    let command = cluster.propose(leader);
    cluster.run_until(SECOND, |cluster| cluster.is_acknowledged(command));
    command
}

fn wait_for_new_leader(cluster: &mut Cluster, old: usize, limit: u64) -> u64 {
    cluster.run_until(limit, |cluster| cluster.leader().is_some_and(|leader| leader != old))
}

#[test]
fn acknowledged_command_survives_power_loss_and_a_wiped_disk() {
    for seed in 0..SEEDS {
        for wiped_position in 0..3 {
            let (mut cluster, leader) = running_cluster(3, seed);
            let command = cluster.propose(leader);
            while !cluster.is_acknowledged(command) {
                cluster.run_for(100);
            }
            (0..3).for_each(|position| cluster.crash(position));
            cluster.wipe(wiped_position);
            (0..3)
                .filter(|position| *position != wiped_position)
                .for_each(|position| cluster.start(position));
            assert_recovers(&mut cluster);
            assert!(cluster.checks.applied.values().any(|applied| *applied == command));
            assert_eq!(cluster.machines[wiped_position].member.id.0 % 1_000, 2);
        }
    }
}

#[test]
fn new_machine_replaces_a_lost_voter() {
    for seed in 0..SEEDS {
        for position in 0..3 {
            let (mut cluster, _) = running_cluster(3, seed);
            let new = cluster.replace(position);
            let id = cluster.machines[new].member.id;
            let is_voter = |cluster: &Cluster| {
                cluster.settled_membership().is_some_and(|membership| membership.is_voter(id))
            };
            cluster.run_until(6 * SECOND, is_voter);
            assert_eq!(cluster.settled_membership().map(|membership| membership.voters.len()), Some(3));
            assert_recovers(&mut cluster);
        }
    }
}

#[test]
fn leader_with_a_stalled_disk_hands_over() {
    for seed in 0..SEEDS {
        let (mut cluster, leader) = running_cluster(3, seed);
        cluster.set_disk_mode(leader, DiskMode::Stalled);
        let elapsed = wait_for_new_leader(&mut cluster, leader, 2 * SECOND);
        assert!(elapsed < 1_200 * MILLISECOND, "{elapsed} us");
        let next = cluster.leader().expect("a leader");
        commit_command(&mut cluster, next);
        cluster.run_for(3 * SECOND);
        assert_eq!(cluster.leader(), Some(next));
        cluster.set_disk_mode(leader, DiskMode::Normal);
        assert_recovers(&mut cluster);
    }
}

#[test]
fn leader_with_a_full_disk_hands_over() {
    for seed in 0..SEEDS {
        let (mut cluster, leader) = running_cluster(3, seed);
        cluster.set_disk_mode(leader, DiskMode::Full);
        wait_for_new_leader(&mut cluster, leader, 500 * MILLISECOND);
        cluster.run_for(3 * SECOND);
        let next = cluster.wait_for_leader(MILLISECOND);
        assert_ne!(next, leader);
        commit_command(&mut cluster, next);
        cluster.set_disk_mode(leader, DiskMode::Normal);
        assert_recovers(&mut cluster);
    }
}

#[test]
fn leader_with_a_stalled_disk_stays_without_an_electable_successor() {
    let (mut cluster, leader) = running_cluster(3, 2);
    cluster.crash((leader + 1) % 3);
    cluster.set_disk_mode(leader, DiskMode::Stalled);
    cluster.run_for(4 * SECOND);
    assert_eq!(cluster.leader(), Some(leader), "the leader still serves reads under its lease");
    cluster.start((leader + 1) % 3);
    wait_for_new_leader(&mut cluster, leader, 3 * SECOND);
}

#[test]
fn followers_commit_while_the_leaders_disk_stalls() {
    let (mut cluster, leader) = running_cluster(3, 1);
    cluster.proposal_interval = None;
    cluster.run_for(100 * MILLISECOND);
    cluster.set_disk_mode(leader, DiskMode::Stalled);
    let command = cluster.propose(leader);
    cluster.run_until(200 * MILLISECOND, |cluster| cluster.is_acknowledged(command));
    assert_eq!(cluster.leader(), Some(leader));
}

#[test]
fn stalled_followers_acknowledge_nothing() {
    let (mut cluster, leader) = running_cluster(3, 1);
    cluster.proposal_interval = None;
    cluster.run_for(100 * MILLISECOND);
    (0..3)
        .filter(|position| *position != leader)
        .for_each(|position| cluster.set_disk_mode(position, DiskMode::Stalled));
    let command = cluster.propose(leader);
    cluster.run_for(3 * SECOND);
    assert!(!cluster.is_acknowledged(command));
    assert_eq!(cluster.leader(), Some(leader), "the lease does not depend on the followers' disks");
    (0..3).for_each(|position| cluster.set_disk_mode(position, DiskMode::Normal));
    cluster.run_until(4 * SECOND, |cluster| cluster.is_acknowledged(command));
}

#[test]
fn leader_without_outgoing_links_is_replaced() {
    for seed in 0..SEEDS {
        let (mut cluster, leader) = running_cluster(3, seed);
        (0..3).for_each(|to| cluster.network.cut(leader, to));
        wait_for_new_leader(&mut cluster, leader, 3 * SECOND);
        cluster.run_for(SECOND);
        assert!(!cluster.replica(leader).is_leader());
        cluster.network.heal();
        assert_recovers(&mut cluster);
    }
}

#[test]
fn leader_without_incoming_links_steps_down() {
    for seed in 0..SEEDS {
        let (mut cluster, leader) = running_cluster(3, seed);
        (0..3).for_each(|from| cluster.network.cut(from, leader));
        let command = cluster.propose(leader);
        wait_for_new_leader(&mut cluster, leader, 5 * SECOND);
        assert!(!cluster.replica(leader).is_leader());
        assert!(!cluster.is_acknowledged(command) && cluster.failed_proposals > 0);
        cluster.run_for(3 * SECOND);
        let next = cluster.leader().expect("a leader");
        assert_ne!(next, leader);
        let term = cluster.replica(next).term();
        cluster.network.heal();
        assert_recovers(&mut cluster);
        assert_eq!(
            cluster.replica(next).term(),
            term,
            "the old leader disrupted the group after the partition"
        );
    }
}

#[test]
fn group_recovers_from_a_restart_of_all_machines() {
    for seed in 0..SEEDS {
        for size in [1, 3, 5] {
            let (mut cluster, leader) = running_cluster(size, seed);
            let command = commit_command(&mut cluster, leader);
            for _ in 0..3 {
                (0..size).for_each(|position| cluster.crash(position));
                cluster.run_for(50 * MILLISECOND);
                (0..size).for_each(|position| cluster.start(position));
                let leader = cluster.wait_for_leader(3 * SECOND);
                assert!(cluster.machines[leader].state.values().any(|applied| *applied == command));
            }
            assert_recovers(&mut cluster);
        }
    }
}

#[test]
fn resumed_leader_has_lost_its_lease() {
    for seed in 0..SEEDS {
        let (mut cluster, leader) = running_cluster(3, seed);
        cluster.pause(leader, 3 * SECOND);
        wait_for_new_leader(&mut cluster, leader, 2 * SECOND);
        let next = cluster.leader().expect("a leader");
        commit_command(&mut cluster, next);
        cluster.run_for(3 * SECOND);
        assert_eq!(cluster.leader(), Some(next));
        assert!(!cluster.replica(leader).is_leader());
        assert_recovers(&mut cluster);
    }
}

#[test]
fn removed_replica_rejoins_under_a_new_identity() {
    for seed in 0..SEEDS {
        let (mut cluster, leader) = running_cluster(3, seed);
        let spare = cluster.add_machine();
        cluster.run_for(2 * SECOND);
        let isolated = (0..3).find(|position| *position != leader).expect("a follower");
        let id = cluster.machines[isolated].member.id;
        cluster.isolate(isolated);
        let swapped = cluster.machines[spare].member.id;
        let is_voter = |cluster: &Cluster| {
            cluster.settled_membership().is_some_and(|membership| membership.is_voter(swapped))
        };
        let elapsed = cluster.run_until(3 * SECOND, is_voter);
        assert!(elapsed < 2 * SECOND, "{elapsed} us");
        cluster.run_for(SECOND);
        let term = cluster.replica(leader).term();
        cluster.network.heal();
        cluster.run_until(3 * SECOND, |cluster| cluster.machines[isolated].removal_count == 1);
        cluster.run_for(2 * SECOND);
        assert_eq!(cluster.leader(), Some(leader));
        assert_eq!(cluster.replica(leader).term(), term);
        let membership = cluster.wait_for_settled_membership(SECOND);
        assert!(!membership.contains(id) && membership.is_learner(cluster.machines[isolated].member.id));
    }
}

#[test]
fn followers_forward_the_query_of_a_removed_replica() {
    let (mut cluster, leader) = running_cluster(3, 3);
    cluster.add_machine();
    cluster.run_for(2 * SECOND);
    let isolated = (0..3).find(|position| *position != leader).expect("a follower");
    cluster.isolate(isolated);
    cluster.run_for(4 * SECOND);
    cluster.network.heal();
    // The removed replica cannot reach the leader, only a follower that it knows.
    cluster.network.cut(isolated, leader);
    cluster.run_until(4 * SECOND, |cluster| cluster.machines[isolated].removal_count == 1);
}

#[test]
fn planned_handover_is_fast_and_lossless() {
    for seed in 0..SEEDS {
        let (mut cluster, leader) = running_cluster(3, seed);
        cluster.handle(leader, Input::PrepareShutdown);
        let elapsed = wait_for_new_leader(&mut cluster, leader, SECOND);
        assert!(elapsed < 400 * MILLISECOND, "{elapsed} us");
        cluster.run_for(5 * SECOND);
        assert_ne!(cluster.leader(), Some(leader));
        cluster.restart(leader);
        assert_recovers(&mut cluster);
    }
}

#[test]
fn single_initial_voter_and_two_joining_machines_form_a_group() {
    for seed in 0..SEEDS {
        let settings = Settings { target_voters: 3, ..Settings::default() };
        let mut cluster = Cluster::with_settings(1, seed, settings);
        cluster.add_machine();
        cluster.add_machine();
        cluster.run_until(4 * SECOND, Cluster::voter_disks_are_intact);
        assert_recovers(&mut cluster);
    }
}

#[test]
fn learner_of_the_same_zone_replaces_a_lost_voter() {
    for seed in 0..SEEDS {
        let (mut cluster, leader) = running_cluster(3, seed);
        // Machines whose positions differ by three are in the same zone.
        for _ in 0..3 {
            cluster.add_machine();
        }
        cluster.run_for(2 * SECOND);
        let isolated = (leader + 1) % 3;
        let expected = cluster.machines[isolated + 3].member.id;
        cluster.crash(isolated);
        cluster.run_for(3 * SECOND);
        let membership = cluster.wait_for_settled_membership(SECOND);
        assert!(membership.is_voter(expected), "{membership:?}");
        assert_eq!(membership.voters.len(), 3);
    }
}

#[test]
fn large_snapshot_over_slow_links_keeps_the_leader() {
    let settings = Settings { snapshot_every_entries: 20, keep_entries: 1, ..Settings::default() };
    let mut cluster = Cluster::with_settings(3, 2, settings);
    cluster.state_padding = 4_000_000;
    cluster.wait_for_leader(5 * SECOND);
    cluster.run_for(2 * SECOND);
    cluster.network.bytes_per_second = Some(1_250_000);
    cluster.proposal_interval = Some(500 * MILLISECOND);
    let leader = cluster.wait_for_leader(SECOND);
    let spare = cluster.add_machine();
    let applied = cluster.checks.applied.len();
    let elapsed = cluster.run_until(6 * SECOND, |cluster| cluster.machines[spare].state.len() >= applied);
    assert!(elapsed > 3 * SECOND, "the link cannot transfer 4 MB in less than 3.2 s");
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.checks.lease_holder_count, 1);
}

#[test]
fn large_snapshot_over_fast_links_takes_two_seconds() {
    let settings = Settings { snapshot_every_entries: 20, keep_entries: 1, ..Settings::default() };
    let mut cluster = Cluster::with_settings(3, 2, settings);
    cluster.state_padding = 4_000_000;
    cluster.wait_for_leader(5 * SECOND);
    cluster.run_for(2 * SECOND);
    let spare = cluster.add_machine();
    let applied = cluster.checks.applied.len();
    cluster.run_until(2 * SECOND, |cluster| cluster.machines[spare].state.len() >= applied);
}

#[test]
fn large_commands_over_slow_links_keep_the_lease() {
    let mut cluster = Cluster::new(3, 4);
    cluster.network.bytes_per_second = Some(1_250_000);
    cluster.proposal_interval = None;
    let leader = cluster.wait_for_leader(5 * SECOND);
    let command = cluster.propose_sized(leader, 4_000_000);
    let mut elapsed = 0;
    while !cluster.is_acknowledged(command) {
        cluster.run_for(10 * MILLISECOND);
        elapsed += 10 * MILLISECOND;
        assert_eq!(cluster.leader(), Some(leader));
    }
    assert!(elapsed < 5 * SECOND, "{elapsed} us");
    let spare = cluster.add_machine();
    let commit_index = cluster.replica(leader).commit_index();
    cluster.run_until(5 * SECOND, |cluster| cluster.replica(spare).commit_index() >= commit_index);
    assert_eq!(cluster.leader(), Some(leader));
}

#[test]
fn learner_catches_up_with_many_entries_in_two_seconds() {
    for seed in 0..SEEDS {
        let (mut cluster, _) = running_cluster(3, seed);
        cluster.proposal_interval = Some(2 * MILLISECOND);
        cluster.run_for(3 * SECOND);
        let spare = cluster.add_machine();
        let commit_index = cluster.checks.applied.len();
        cluster.run_until(2 * SECOND, |cluster| cluster.machines[spare].state.len() >= commit_index);
        assert!(commit_index > 1_000);
    }
}

#[test]
fn log_in_memory_is_bounded() {
    let (mut cluster, leader) = running_cluster(3, 6);
    cluster.proposal_interval = None;
    for _ in 0..20 {
        let command = cluster.propose_sized(leader, 1_000_000);
        cluster.run_until(5 * SECOND, |cluster| cluster.is_acknowledged(command));
        for position in 0..3 {
            let bytes = cluster.replica(position).status(0).log_bytes;
            assert!(bytes < 11_000_000, "{bytes} bytes");
        }
    }
    cluster.isolate((leader + 1) % 3);
    for _ in 0..20 {
        let command = cluster.propose_sized(leader, 1_000_000);
        cluster.run_until(5 * SECOND, |cluster| cluster.is_acknowledged(command));
    }
    cluster.network.heal();
    assert_recovers(&mut cluster);
}

#[test]
fn idle_group_sends_only_heartbeats() {
    let (mut cluster, _) = running_cluster(3, 7);
    cluster.proposal_interval = None;
    cluster.run_for(SECOND);
    let before = cluster.sent_messages;
    cluster.run_for(10 * SECOND);
    let sent = cluster.sent_messages - before;
    assert!(sent <= 10 * 10 * 2 * 2 + 20, "{sent} messages");
}

#[test]
fn leader_contact_is_the_age_of_the_last_lease() {
    let (mut cluster, leader) = running_cluster(3, 8);
    let follower = (leader + 1) % 3;
    let contact = |cluster: &Cluster, position: usize| {
        let machine = &cluster.machines[position];
        cluster
            .replica(position)
            .time_since_leader_contact(machine.local_time(cluster.now))
            .expect("contact with a lease holder")
    };
    assert_eq!(contact(&cluster, leader), 0);
    assert!(contact(&cluster, follower) < 150 * MILLISECOND);
    (0..3).for_each(|from| cluster.network.cut(from, leader));
    cluster.run_for(650 * MILLISECOND);
    cluster.isolate(follower);
    cluster.run_for(SECOND);
    assert!(contact(&cluster, follower) > 900 * MILLISECOND);
    assert!(contact(&cluster, leader) > 900 * MILLISECOND);
}

#[test]
fn follower_rejects_proposals() {
    let (mut cluster, leader) = running_cluster(3, 9);
    cluster.proposal_interval = None;
    let before = cluster.failed_proposals;
    let command = cluster.propose((leader + 1) % 3);
    assert_eq!(cluster.failed_proposals, before + 1);
    cluster.run_for(SECOND);
    assert!(!cluster.is_acknowledged(command));
}
