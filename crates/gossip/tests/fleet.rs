//! Many gossip nodes in memory: membership, suspicions of servers, and the effect of faults on both.

use dunelink_gossip::sim::{Net, NetworkConditions, address};
use dunelink_gossip::{Input, Liveness, LogEvent, Micros, ServerObservation, max_false_suspicion};

const S: Micros = 1_000_000;
const SERVER: u64 = 7;

fn observation(server: u64, strength: f64, answers: u32) -> ServerObservation {
    ServerObservation { server, suspicion: strength, recent_answers: answers, sample_count: 10 }
}

/// Every node observes all servers as healthy.
fn all_healthy(_: usize, _: Micros) -> Vec<ServerObservation> {
    (0..20).map(|server| observation(server, 0.0, 10)).collect()
}

fn suspicion(net: &Net, node: usize) -> f64 {
    net.nodes[node].suspicions.get(&SERVER).copied().unwrap_or(0.0)
}

/// For each running node, the number of other nodes that it sees as alive.
fn present(net: &Net) -> Vec<usize> {
    let alive = |m: &dunelink_gossip::MemberView| m.liveness == Liveness::Alive;
    let running = net.nodes.iter().filter_map(|node| node.gossip.as_ref());
    running.map(|gossip| gossip.members().iter().filter(|m| alive(m)).count()).collect()
}

fn death_count(net: &Net) -> usize {
    net.nodes
        .iter()
        .flat_map(|node| &node.log_events)
        .filter(|(_, note)| matches!(note, LogEvent::MemberDown(_)))
        .count()
}

fn started_fleet(count: usize, seed: u64) -> Net {
    let mut net = Net::new(count, seed, |_, _| {});
    net.start_all();
    net.run_until(10 * S, &all_healthy);
    assert_eq!(present(&net), vec![count - 1; count], "all nodes know each other");
    net
}

#[test]
fn stall_and_recovery_spread_within_two_seconds() {
    let mut net = started_fleet(5, 1);
    let stalling = |node: usize, now: Micros| {
        let strength = if node < 3 && now < 20 * S { 1.0 } else { 0.0 };
        // The other nodes have sent no requests to this server.
        if node < 3 { vec![observation(SERVER, strength, 0)] } else { Vec::new() }
    };
    net.run_until(12 * S, &stalling);
    assert!((3..5).all(|node| suspicion(&net, node) > 0.99), "three witnesses are enough among five");
    assert!(
        (0..3).all(|node| (0.6..0.7).contains(&suspicion(&net, node))),
        "a node's own observation is not among its witnesses"
    );
    net.run_until(20 * S, &stalling);
    assert!(suspicion(&net, 4) > 0.99, "the suspicion is renewed while the stall lasts");
    net.run_until(22 * S, &stalling);
    assert!((0..5).all(|node| suspicion(&net, node) == 0.0), "recovery spreads as fast");
    assert!(net.nodes.iter().all(|node| node.peak_bytes_per_second <= 16 * 1024));
}

#[test]
fn clock_offset_of_hours_has_no_effect() {
    let mut net = Net::new(5, 15, |_, _| {});
    net.nodes[0].clock_ahead = 7 * 3_600 * S;
    net.start_all();
    net.run_until(10 * S, &all_healthy);
    let stalling =
        |node: usize, _: Micros| if node < 3 { vec![observation(SERVER, 1.0, 0)] } else { Vec::new() };
    net.run_until(12 * S, &stalling);
    assert!(
        (0..5).all(|node| suspicion(&net, node) > 0.6),
        "{:?}",
        (0..5).map(|n| suspicion(&net, n)).collect::<Vec<_>>()
    );
    net.run_until(14 * S, &all_healthy);
    assert!((0..5).all(|node| suspicion(&net, node) == 0.0));
    assert_eq!((present(&net), death_count(&net)), (vec![4; 5], 0));
}

#[test]
fn false_suspicions_stay_within_bound_and_lose_credit() {
    for (false_witnesses, nodes) in [(1, 5), (2, 5), (1, 2), (3, 12)] {
        let mut net = started_fleet(nodes, 2);
        let false_reports = move |node: usize, now: Micros| match node {
            _ if node < false_witnesses => {
                (0..20).map(|s| observation(s, if s < 4 || s == SERVER { 1.0 } else { 0.0 }, 9)).collect()
            }
            // The last node has no observations of its own to contradict them.
            _ if node == nodes - 1 => Vec::new(),
            _ => all_healthy(node, now),
        };
        let mut largest = 0.0_f64;
        for tenth in 100..400 {
            net.run_until(tenth * S / 10, &false_reports);
            for node in false_witnesses..nodes {
                let suspicion = net.nodes[node].suspicions.values().copied().fold(0.0, f64::max);
                largest = largest.max(suspicion);
                assert!(
                    suspicion <= max_false_suspicion(false_witnesses, nodes) + 1e-9,
                    "{false_witnesses} of {nodes}: {suspicion}"
                );
            }
        }
        assert!(largest > 0.0, "the false suspicions have spread");
        if nodes > 2 {
            assert!(
                suspicion(&net, false_witnesses) < 0.05,
                "own observations: {}",
                suspicion(&net, false_witnesses)
            );
        }
    }
}

#[test]
fn loss_duplication_and_reordering_keep_members_alive() {
    let mut net = started_fleet(10, 3);
    net.conditions = NetworkConditions { loss: 0.3, duplication: 0.2, delay: (300, 40_000) };
    net.run_until(130 * S, &all_healthy);
    assert_eq!(death_count(&net), 0);
    assert!(net.nodes.iter().all(|node| node.peak_bytes_per_second <= 16 * 1024));
    let stalling =
        |node: usize, _: Micros| if node < 8 { vec![observation(SERVER, 1.0, 0)] } else { Vec::new() };
    net.run_until(133 * S, &stalling);
    assert!(suspicion(&net, 9) > 0.5, "{}", suspicion(&net, 9));
}

#[test]
fn one_way_link_loss_keeps_members_alive() {
    let mut net = started_fleet(5, 4);
    net.is_cut = Box::new(|from, to| from == 0 && to == 1);
    net.run_until(60 * S, &all_healthy);
    assert_eq!((present(&net), death_count(&net)), (vec![4; 5], 0));
}

#[test]
fn partition_stays_within_limits_and_heals() {
    let mut net = started_fleet(12, 5);
    net.is_cut = Box::new(|from, to| (from < 4) != (to < 4));
    for second in 11..71 {
        net.run_until(second * S, &all_healthy);
        let total_share: f64 =
            net.nodes.iter().map(|node| 1.0 / f64::from(node.position.unwrap().nodes)).sum();
        assert!(total_share <= 2.0 + 1e-9, "the shares add up to {total_share} after {second} s");
    }
    assert_eq!(present(&net), [vec![3; 4], vec![7; 8]].concat());
    net.is_cut = Box::new(|_, _| false);
    net.run_until(100 * S, &all_healthy);
    assert_eq!(present(&net), vec![11; 12]);
    assert!(net.nodes.iter().all(|node| node.position.unwrap().nodes == 12));
}

#[test]
fn paused_node_declares_no_member_dead() {
    let mut net = started_fleet(6, 6);
    net.pause(2, 10 * S);
    net.run_until(20 * S + S / 10, &all_healthy);
    assert_eq!(present(&net)[2], 5, "right after the pause");
    net.run_until(40 * S, &all_healthy);
    assert_eq!(present(&net), vec![5; 6]);
    let notes = &net.nodes[2].log_events;
    assert!(notes.iter().any(|(_, note)| matches!(note, LogEvent::ProcessPaused(_))), "{notes:?}");
    assert!(!notes.iter().any(|(_, note)| matches!(note, LogEvent::MemberDown(_))), "{notes:?}");
}

#[test]
fn killed_node_is_detected_and_its_share_taken_over() {
    let mut net = started_fleet(5, 7);
    net.kill(1);
    net.run_until(25 * S, &all_healthy);
    assert_eq!(present(&net), vec![3; 4]);
    let position_of = |net: &Net, node: usize| net.nodes[node].position.unwrap();
    net.run_until(40 * S, &all_healthy);
    assert_eq!([0, 2, 3, 4].map(|node| position_of(&net, node).nodes), [4; 4]);
    assert_eq!([0, 2, 3, 4].map(|node| position_of(&net, node).rank), [0, 2, 3, 4], "ranks stay");
    net.start(1);
    net.run_until(45 * S, &all_healthy);
    assert_eq!((present(&net), position_of(&net, 0).nodes), (vec![4; 5], 5));
}

#[test]
fn announced_restart_keeps_its_share_and_leaving_does_not() {
    let mut net = started_fleet(4, 8);
    net.input(1, Input::Leave { restarts: true });
    net.input(2, Input::Leave { restarts: false });
    net.run_until(net.now + S / 10, &all_healthy);
    net.kill(1);
    net.kill(2);
    net.run_until(40 * S, &all_healthy);
    assert_eq!(net.nodes[0].position.unwrap().nodes, 3, "the restarting node is counted");
    assert_eq!(death_count(&net), 0, "both had announced it");
    net.start(1);
    net.run_until(45 * S, &all_healthy);
    assert_eq!(present(&net), vec![2; 3]);
}

#[test]
fn all_nodes_restart_together() {
    let mut net = started_fleet(40, 9);
    (0..40).for_each(|node| net.kill(node));
    net.run_until(11 * S, &all_healthy);
    net.start_all();
    net.run_until(41 * S, &all_healthy);
    assert_eq!(present(&net), vec![39; 40]);
    assert!(net.nodes.iter().all(|node| node.peak_bytes_per_second <= 16 * 1024));
}

#[test]
fn many_nodes_join_through_few_seeds_within_a_low_rate_limit() {
    let mut net = Net::new(60, 14, |_, settings| settings.max_bytes_per_second = 8192);
    net.start_all();
    net.run_until(45 * S, &all_healthy);
    assert_eq!(present(&net), vec![59; 60]);
    assert!(net.nodes.iter().all(|node| node.peak_bytes_per_second <= 8192));
}

#[test]
fn replayed_packets_are_rejected() {
    let mut net = Net::new(3, 10, |_, _| {});
    net.recorded = Some(Vec::new());
    net.start_all();
    net.run_until(10 * S, &all_healthy);
    let recorded = net.recorded.take().unwrap();
    // The recorded packets go to processes that still run, and to one that has restarted.
    net.kill(2);
    net.start(2);
    net.run_until(15 * S, &all_healthy);
    let counters_of = |net: &Net, node: usize| net.nodes[node].gossip.as_ref().unwrap().counters();
    let gap = 1_000;
    let mut replayed_counts = Vec::new();
    for node in 0..3 {
        let before = counters_of(&net, node);
        for (from, _, bytes) in recorded.iter().filter(|(_, to, _)| *to == node).take(60) {
            let mut out = Vec::new();
            let now = net.now + gap;
            net.nodes[node].gossip.as_mut().unwrap().handle(
                now,
                Input::Packet(address(*from), bytes),
                &mut out,
            );
        }
        let after = counters_of(&net, node);
        assert_eq!(before.accepted, after.accepted, "node {node}");
        replayed_counts.push(after.replayed - before.replayed);
    }
    assert!(replayed_counts.iter().all(|replayed| *replayed > 5), "{replayed_counts:?}");
}

#[test]
fn modified_packets_have_no_effect() {
    let mut net = started_fleet(2, 11);
    net.recorded = Some(Vec::new());
    net.run_until(11 * S, &all_healthy);
    let (from, to, bytes) = net.recorded.take().unwrap().into_iter().next_back().unwrap();
    let members = net.nodes[to].gossip.as_ref().unwrap().members();
    for at in 0..bytes.len() {
        let mut bytes = bytes.clone();
        bytes[at] ^= 1 << (at % 8);
        // Time passes between packets, so that the rate limit does not drop them.
        net.run_until(net.now + S / 50, &all_healthy);
        let gossip = net.nodes[to].gossip.as_mut().unwrap();
        let before = gossip.counters();
        let now = net.now;
        gossip.handle(now, Input::Packet(address(from), &bytes), &mut Vec::new());
        let after = gossip.counters();
        assert_eq!(after.accepted, before.accepted, "byte {at}");
        assert!(
            after.malformed + after.unauthenticated + after.replayed
                > before.malformed + before.unauthenticated + before.replayed
        );
    }
    let now: Vec<_> = net.nodes[to].gossip.as_ref().unwrap().members().into_iter().map(|m| m.name).collect();
    assert_eq!(now, members.into_iter().map(|m| m.name).collect::<Vec<_>>());
}

#[test]
fn key_rotation_with_overlap_keeps_members_alive() {
    use dunelink_gossip::{KeyRing, Secret};
    let mut net = started_fleet(3, 12);
    let (old, new) = (net.secret(0), Secret::from_seed([9; 32]));
    let others = || format!("n1 {}\nn2 {}\n", net.secret(1).public_hex(), net.secret(2).public_hex());
    let both_keys = format!("n0 {}\nn0 {}\n{}", old.public_hex(), new.public_hex(), others());
    let new_key_only = format!("n0 {}\n{}", new.public_hex(), others());
    let ring = |text: &str| KeyRing::parse(text).unwrap();
    for node in 0..3 {
        net.input(node, Input::Keys(ring(&both_keys), net.secret(node)));
    }
    net.run_until(20 * S, &all_healthy);
    net.input(0, Input::Keys(ring(&both_keys), Secret::from_seed([9; 32])));
    net.run_until(30 * S, &all_healthy);
    for node in 0..3 {
        let secret = if node == 0 { Secret::from_seed([9; 32]) } else { net.secret(node) };
        net.input(node, Input::Keys(ring(&new_key_only), secret));
    }
    net.run_until(60 * S, &all_healthy);
    assert_eq!((present(&net), death_count(&net)), (vec![2; 3], 0));
    // A node that continues with the old key is not accepted any more.
    net.input(0, Input::Keys(ring(&both_keys), net.secret(0)));
    net.run_until(90 * S, &all_healthy);
    assert_eq!(present(&net)[1..], [1, 1]);
}

#[test]
fn two_processes_of_one_name_are_logged() {
    let mut net = Net::new(3, 13, |node, settings| {
        settings.name = if node == 1 { "n0".into() } else { settings.name.clone() };
    });
    net.start(0);
    net.start(2);
    // The second process has the first one's secret, too.
    let mut settings = dunelink_gossip::Settings {
        name: "n0".into(),
        address: address(1),
        seeds: vec![address(2)],
        probe_period: 500_000,
        max_bytes_per_second: 16 * 1024,
        configured_nodes: 3,
        seed: 99,
        first_statement_number: 5_000,
    };
    settings.seed += 1;
    net.nodes[1].gossip = dunelink_gossip::Gossip::new(settings, net.ring(), net.secret(0), net.now);
    net.input(1, Input::Tick);
    net.run_until(40 * S, &all_healthy);
    let logged_duplicate =
        |node: usize| net.nodes[node].log_events.iter().any(|(_, note)| *note == LogEvent::DuplicateName);
    assert!(logged_duplicate(0) || logged_duplicate(1));
}

/// Kills nodes one by one; returns the sorted times until all others saw each as dead.
fn detection_times(net: &mut Net, victims: &[usize]) -> Vec<Micros> {
    let mut times = Vec::new();
    for victim in victims {
        let name = format!("n{victim}");
        net.kill(*victim);
        let began = net.now;
        let seen_dead = |net: &Net| {
            let others = net.nodes.iter().filter_map(|node| node.gossip.as_ref());
            let position_of =
                |gossip: &dunelink_gossip::Gossip| gossip.members().into_iter().find(|m| m.name == name);
            others
                .map(position_of)
                .all(|observation| observation.is_some_and(|m| m.liveness == Liveness::Dead))
        };
        while !seen_dead(net) && net.now - began < 10 * S {
            net.run_until(net.now + S / 20, &all_healthy);
        }
        times.push(net.now - began);
        net.start(*victim);
        net.run_until(net.now + 4 * S, &all_healthy);
    }
    times.sort_unstable();
    times
}

/// Checks how fast killed nodes are detected, and that a joining node knows all members within 3 s.
fn check_detection_and_join(nodes: usize, victims: &[usize]) {
    let mut net = Net::new(nodes, 16, |_, _| {});
    net.conditions = NetworkConditions { loss: 0.01, ..NetworkConditions::default() };
    net.start_all();
    net.run_until(30 * S, &all_healthy);
    let times = detection_times(&mut net, victims);
    println!("{nodes} nodes: seen as dead by all after {times:?} us");
    assert!(times[times.len() / 2] <= 2 * S, "median: {times:?}");
    assert!(times[times.len() - 1] <= 4 * S, "worst: {times:?}");
    net.kill(1);
    net.run_until(net.now + 5 * S, &all_healthy);
    net.start(1);
    net.run_until(net.now + 3 * S, &all_healthy);
    assert_eq!(net.nodes[1].gossip.as_ref().unwrap().members().len(), nodes - 1);
}

#[test]
fn death_is_detected_in_two_seconds_and_joining_takes_three() {
    check_detection_and_join(5, &(0..31).map(|kill| (kill * 7 + 3) % 5).collect::<Vec<_>>());
    check_detection_and_join(50, &[7, 19, 3, 48, 22]);
}

#[test]
#[ignore = "takes some minutes"]
fn detection_and_join_with_300_nodes() {
    check_detection_and_join(300, &[7, 119, 203, 48, 22, 299, 150]);
}

#[test]
fn five_percent_loss_keeps_members_alive() {
    let mut net = started_fleet(10, 17);
    net.conditions = NetworkConditions { loss: 0.05, ..NetworkConditions::default() };
    // One hundred node minutes; `dunelink-bench gossip` runs a thousand.
    net.run_until(610 * S, &all_healthy);
    assert_eq!(death_count(&net), 0);
}

/// How long nodes that start at once and know the same few seeds need to find each other.
fn join_time(count: usize, seed: u64, limit: Micros) -> Micros {
    let mut net = Net::new(count, seed, |_, _| {});
    net.conditions = NetworkConditions { loss: 0.01, ..NetworkConditions::default() };
    net.start_all();
    let began = net.now;
    while present(&net) != vec![count - 1; count] {
        assert!(net.now - began < limit, "{count} nodes, seed {seed}: {:?}", present(&net));
        net.run_until(net.now + S / 4, &all_healthy);
    }
    assert!(net.nodes.iter().all(|node| node.peak_bytes_per_second <= 16 * 1024));
    net.now - began
}

#[test]
fn sixty_nodes_find_each_other_in_four_seconds() {
    for seed in 1..=3 {
        join_time(60, seed, 4 * S);
    }
}

/// `cargo test --release -p dunelink-gossip --test fleet -- --ignored`.
#[test]
#[ignore = "takes minutes"]
fn hundreds_of_nodes_find_each_other_in_time() {
    for seed in 1..=5 {
        println!("300, seed {seed}: {:.2} s", join_time(300, seed, 10 * S) as f64 / 1e6);
    }
    println!("1000: {:.2} s", join_time(1000, 1, 30 * S) as f64 / 1e6);
}
