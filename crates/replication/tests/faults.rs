//! Single faults and what the group must do about each.

mod support;

use dunelink_replication::{Input, Settings};
use support::cluster::Cluster;
use support::disk::Mode;
use support::faults::assert_works;
use support::{MILLISECOND, SECOND};

const SEEDS: u64 = 10;

fn running(size: usize, seed: u64) -> (Cluster, usize) {
    let mut cluster = Cluster::new(size, seed);
    let leader = cluster.wait_for_leader(5 * SECOND);
    cluster.run_for(SECOND);
    assert_eq!(cluster.leader(), Some(leader));
    (cluster, leader)
}

fn acknowledged(cluster: &mut Cluster, leader: usize) -> u64 {
    let command = cluster.propose(leader);
    cluster.run_until(SECOND, |cluster| cluster.is_acknowledged(command));
    command
}

fn new_leader(cluster: &mut Cluster, old: usize, limit: u64) -> u64 {
    cluster.run_until(limit, |cluster| cluster.leader().is_some_and(|leader| leader != old))
}

#[test]
fn wiped_right_after_acknowledgement_and_power_lost_everywhere() {
    for seed in 0..SEEDS {
        for wiped in 0..3 {
            let (mut cluster, leader) = running(3, seed);
            let command = cluster.propose(leader);
            while !cluster.is_acknowledged(command) {
                cluster.run_for(100);
            }
            (0..3).for_each(|place| cluster.crash(place));
            cluster.wipe(wiped);
            (0..3).filter(|place| *place != wiped).for_each(|place| cluster.start(place));
            assert_works(&mut cluster);
            assert!(cluster.checks.applied.values().any(|applied| *applied == command));
            assert_eq!(cluster.machines[wiped].member.id.0 % 1_000, 2);
        }
    }
}

#[test]
fn replaced_machine_gives_way_to_the_new_one() {
    for seed in 0..SEEDS {
        for place in 0..3 {
            let (mut cluster, _) = running(3, seed);
            let new = cluster.replace(place);
            let id = cluster.machines[new].member.id;
            let is_voter = |cluster: &Cluster| {
                cluster.settled_membership().is_some_and(|membership| membership.is_voter(id))
            };
            cluster.run_until(6 * SECOND, is_voter);
            assert_eq!(cluster.settled_membership().map(|membership| membership.voters.len()), Some(3));
            assert_works(&mut cluster);
        }
    }
}

#[test]
fn leader_with_a_stalled_disk_hands_over() {
    for seed in 0..SEEDS {
        let (mut cluster, leader) = running(3, seed);
        cluster.set_disk(leader, Mode::Stalled);
        let needed = new_leader(&mut cluster, leader, 2 * SECOND);
        assert!(needed < 1_200 * MILLISECOND, "{needed} us");
        let next = cluster.leader().expect("a leader");
        acknowledged(&mut cluster, next);
        cluster.run_for(3 * SECOND);
        assert_eq!(cluster.leader(), Some(next));
        cluster.set_disk(leader, Mode::Normal);
        assert_works(&mut cluster);
    }
}

#[test]
fn leader_with_a_full_disk_hands_over_and_follows_without_it() {
    for seed in 0..SEEDS {
        let (mut cluster, leader) = running(3, seed);
        cluster.set_disk(leader, Mode::Full);
        new_leader(&mut cluster, leader, 500 * MILLISECOND);
        cluster.run_for(3 * SECOND);
        let next = cluster.wait_for_leader(MILLISECOND);
        assert_ne!(next, leader);
        acknowledged(&mut cluster, next);
        cluster.set_disk(leader, Mode::Normal);
        assert_works(&mut cluster);
    }
}

#[test]
fn leader_with_a_stalled_disk_stays_if_the_others_can_elect_none() {
    let (mut cluster, leader) = running(3, 2);
    cluster.crash((leader + 1) % 3);
    cluster.set_disk(leader, Mode::Stalled);
    cluster.run_for(4 * SECOND);
    assert_eq!(cluster.leader(), Some(leader), "reads under the lease go on");
    cluster.start((leader + 1) % 3);
    new_leader(&mut cluster, leader, 3 * SECOND);
}

#[test]
fn a_majority_of_followers_commits_while_the_leaders_disk_stalls() {
    let (mut cluster, leader) = running(3, 1);
    cluster.propose_every = None;
    cluster.run_for(100 * MILLISECOND);
    cluster.set_disk(leader, Mode::Stalled);
    let command = cluster.propose(leader);
    cluster.run_until(200 * MILLISECOND, |cluster| cluster.is_acknowledged(command));
    assert_eq!(cluster.leader(), Some(leader));
}

#[test]
fn followers_with_stalled_disks_acknowledge_nothing() {
    let (mut cluster, leader) = running(3, 1);
    cluster.propose_every = None;
    cluster.run_for(100 * MILLISECOND);
    (0..3).filter(|place| *place != leader).for_each(|place| cluster.set_disk(place, Mode::Stalled));
    let command = cluster.propose(leader);
    cluster.run_for(3 * SECOND);
    assert!(!cluster.is_acknowledged(command));
    assert_eq!(cluster.leader(), Some(leader), "the lease needs no disk");
    (0..3).for_each(|place| cluster.set_disk(place, Mode::Normal));
    cluster.run_until(4 * SECOND, |cluster| cluster.is_acknowledged(command));
}

#[test]
fn leader_that_is_not_heard_is_replaced() {
    for seed in 0..SEEDS {
        let (mut cluster, leader) = running(3, seed);
        (0..3).for_each(|to| cluster.network.cut(leader, to));
        new_leader(&mut cluster, leader, 3 * SECOND);
        cluster.run_for(SECOND);
        assert!(!cluster.replica(leader).is_leader());
        cluster.network.heal();
        assert_works(&mut cluster);
    }
}

#[test]
fn leader_that_hears_nothing_steps_down() {
    for seed in 0..SEEDS {
        let (mut cluster, leader) = running(3, seed);
        (0..3).for_each(|from| cluster.network.cut(from, leader));
        let command = cluster.propose(leader);
        new_leader(&mut cluster, leader, 5 * SECOND);
        assert!(!cluster.replica(leader).is_leader());
        assert!(!cluster.is_acknowledged(command) && cluster.uncertain > 0);
        cluster.run_for(3 * SECOND);
        let next = cluster.leader().expect("a leader");
        assert_ne!(next, leader);
        let term = cluster.replica(next).term();
        cluster.network.heal();
        assert_works(&mut cluster);
        assert_eq!(cluster.replica(next).term(), term, "the one that could not hear disturbed the group");
    }
}

#[test]
fn restart_of_all() {
    for seed in 0..SEEDS {
        for size in [1, 3, 5] {
            let (mut cluster, leader) = running(size, seed);
            let command = acknowledged(&mut cluster, leader);
            for _ in 0..3 {
                (0..size).for_each(|place| cluster.crash(place));
                cluster.run_for(50 * MILLISECOND);
                (0..size).for_each(|place| cluster.start(place));
                let leader = cluster.wait_for_leader(3 * SECOND);
                assert!(cluster.machines[leader].state.values().any(|applied| *applied == command));
            }
            assert_works(&mut cluster);
        }
    }
}

#[test]
fn frozen_leader_wakes_without_the_lease() {
    for seed in 0..SEEDS {
        let (mut cluster, leader) = running(3, seed);
        cluster.pause(leader, 3 * SECOND);
        new_leader(&mut cluster, leader, 2 * SECOND);
        let next = cluster.leader().expect("a leader");
        acknowledged(&mut cluster, next);
        cluster.run_for(3 * SECOND);
        assert_eq!(cluster.leader(), Some(next));
        assert!(!cluster.replica(leader).is_leader());
        assert_works(&mut cluster);
    }
}

#[test]
fn removed_replica_learns_so_and_comes_back_under_a_new_identity() {
    for seed in 0..SEEDS {
        let (mut cluster, leader) = running(3, seed);
        let spare = cluster.add_machine();
        cluster.run_for(2 * SECOND);
        let lost = (0..3).find(|place| *place != leader).expect("a follower");
        let id = cluster.machines[lost].member.id;
        cluster.isolate(lost);
        let swapped = cluster.machines[spare].member.id;
        let is_voter = |cluster: &Cluster| {
            cluster.settled_membership().is_some_and(|membership| membership.is_voter(swapped))
        };
        let needed = cluster.run_until(3 * SECOND, is_voter);
        assert!(needed < 2 * SECOND, "{needed} us");
        cluster.run_for(SECOND);
        let term = cluster.replica(leader).term();
        cluster.network.heal();
        cluster.run_until(3 * SECOND, |cluster| cluster.machines[lost].was_removed == 1);
        cluster.run_for(2 * SECOND);
        assert_eq!(cluster.leader(), Some(leader));
        assert_eq!(cluster.replica(leader).term(), term);
        let membership = cluster.wait_for_settled(SECOND);
        assert!(!membership.contains(id) && membership.is_learner(cluster.machines[lost].member.id));
    }
}

#[test]
fn removed_replica_learns_so_from_followers_too() {
    let (mut cluster, leader) = running(3, 3);
    cluster.add_machine();
    cluster.run_for(2 * SECOND);
    let lost = (0..3).find(|place| *place != leader).expect("a follower");
    cluster.isolate(lost);
    cluster.run_for(4 * SECOND);
    cluster.network.heal();
    // All that the removed one knows of the group but one follower is out of its reach.
    cluster.network.cut(lost, leader);
    cluster.run_until(4 * SECOND, |cluster| cluster.machines[lost].was_removed == 1);
}

#[test]
fn planned_handover_is_quick_and_loses_nothing() {
    for seed in 0..SEEDS {
        let (mut cluster, leader) = running(3, seed);
        cluster.handle(leader, Input::PrepareShutdown);
        let needed = new_leader(&mut cluster, leader, SECOND);
        assert!(needed < 400 * MILLISECOND, "{needed} us");
        cluster.run_for(5 * SECOND);
        assert_ne!(cluster.leader(), Some(leader));
        cluster.restart(leader);
        assert_works(&mut cluster);
    }
}

#[test]
fn one_founder_and_two_that_join() {
    for seed in 0..SEEDS {
        let settings = Settings { target_voters: 3, ..Settings::default() };
        let mut cluster = Cluster::with_settings(1, seed, settings);
        cluster.add_machine();
        cluster.add_machine();
        cluster.run_until(4 * SECOND, Cluster::disks_are_whole);
        assert_works(&mut cluster);
    }
}

#[test]
fn a_lost_voter_gives_way_to_a_learner_of_its_zone() {
    for seed in 0..SEEDS {
        let (mut cluster, leader) = running(3, seed);
        // Places that differ by three are in the same zone.
        for _ in 0..3 {
            cluster.add_machine();
        }
        cluster.run_for(2 * SECOND);
        let lost = (leader + 1) % 3;
        let expected = cluster.machines[lost + 3].member.id;
        cluster.crash(lost);
        cluster.run_for(3 * SECOND);
        let membership = cluster.wait_for_settled(SECOND);
        assert!(membership.is_voter(expected), "{membership:?}");
        assert_eq!(membership.voters.len(), 3);
    }
}

#[test]
fn learner_gets_a_large_state_over_slow_links_while_the_leader_stays() {
    let settings = Settings { snapshot_every_entries: 20, keep_entries: 1, ..Settings::default() };
    let mut cluster = Cluster::with_settings(3, 2, settings);
    cluster.state_padding = 4_000_000;
    cluster.wait_for_leader(5 * SECOND);
    cluster.run_for(2 * SECOND);
    cluster.network.bandwidth = Some(1_250_000);
    cluster.propose_every = Some(500 * MILLISECOND);
    let leader = cluster.wait_for_leader(SECOND);
    let spare = cluster.add_machine();
    let applied = cluster.checks.applied.len();
    let needed = cluster.run_until(6 * SECOND, |cluster| cluster.machines[spare].state.len() >= applied);
    assert!(needed > 3 * SECOND, "the link bears 4 MB in no less than 3.2 s");
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.checks.holders, 1);
}

#[test]
fn learner_gets_a_large_state_over_fast_links_in_two_seconds() {
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
fn large_commands_over_slow_links_do_not_cost_the_lease() {
    let mut cluster = Cluster::new(3, 4);
    cluster.network.bandwidth = Some(1_250_000);
    cluster.propose_every = None;
    let leader = cluster.wait_for_leader(5 * SECOND);
    let command = cluster.propose_sized(leader, 4_000_000);
    let mut needed = 0;
    while !cluster.is_acknowledged(command) {
        cluster.run_for(10 * MILLISECOND);
        needed += 10 * MILLISECOND;
        assert_eq!(cluster.leader(), Some(leader));
    }
    assert!(needed < 5 * SECOND, "{needed} us");
    let spare = cluster.add_machine();
    let commit_index = cluster.replica(leader).commit_index();
    cluster.run_until(5 * SECOND, |cluster| cluster.replica(spare).commit_index() >= commit_index);
    assert_eq!(cluster.leader(), Some(leader));
}

#[test]
fn learner_catches_up_within_two_seconds_after_many_entries() {
    for seed in 0..SEEDS {
        let (mut cluster, _) = running(3, seed);
        cluster.propose_every = Some(2 * MILLISECOND);
        cluster.run_for(3 * SECOND);
        let spare = cluster.add_machine();
        let commit_index = cluster.checks.applied.len();
        cluster.run_until(2 * SECOND, |cluster| cluster.machines[spare].state.len() >= commit_index);
        assert!(commit_index > 1_000);
    }
}

#[test]
fn the_log_in_memory_is_bounded() {
    let (mut cluster, leader) = running(3, 6);
    cluster.propose_every = None;
    for _ in 0..20 {
        let command = cluster.propose_sized(leader, 1_000_000);
        cluster.run_until(5 * SECOND, |cluster| cluster.is_acknowledged(command));
        for place in 0..3 {
            let bytes = cluster.replica(place).status(0).log_bytes;
            assert!(bytes < 11_000_000, "{bytes} bytes");
        }
    }
    cluster.isolate((leader + 1) % 3);
    for _ in 0..20 {
        let command = cluster.propose_sized(leader, 1_000_000);
        cluster.run_until(5 * SECOND, |cluster| cluster.is_acknowledged(command));
    }
    cluster.network.heal();
    assert_works(&mut cluster);
}

#[test]
fn an_idle_group_sends_heartbeats_only() {
    let (mut cluster, _) = running(3, 7);
    cluster.propose_every = None;
    cluster.run_for(SECOND);
    let before = cluster.sent;
    cluster.run_for(10 * SECOND);
    let sent = cluster.sent - before;
    assert!(sent <= 10 * 10 * 2 * 2 + 20, "{sent} messages");
}

#[test]
fn contact_is_the_age_of_the_last_lease() {
    let (mut cluster, leader) = running(3, 8);
    let follower = (leader + 1) % 3;
    let contact = |cluster: &Cluster, place: usize| {
        let machine = &cluster.machines[place];
        cluster.replica(place).time_since_leader_contact(machine.clock(cluster.now)).expect("a contact")
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
fn proposals_elsewhere_are_refused() {
    let (mut cluster, leader) = running(3, 9);
    cluster.propose_every = None;
    let before = cluster.uncertain;
    let command = cluster.propose((leader + 1) % 3);
    assert_eq!(cluster.uncertain, before + 1);
    cluster.run_for(SECOND);
    assert!(!cluster.is_acknowledged(command));
}
