//! Many nodes in memory: who is there, what they know of servers, and what trouble does to that.

use dunelink_gossip::sim::{Net, NetworkConditions, address};
use dunelink_gossip::{Input, Liveness, LogEvent, Micros, ServerObservation, max_false_suspicion};

const S: Micros = 1_000_000;
const SERVER: u64 = 7;

fn seen(server: u64, strength: f64, answers: u32) -> ServerObservation {
    ServerObservation { server, suspicion: strength, recent_answers: answers, sample_count: 10 }
}

/// All see all servers healthy.
fn well(_: usize, _: Micros) -> Vec<ServerObservation> {
    (0..20).map(|server| seen(server, 0.0, 10)).collect()
}

fn doubt(net: &Net, node: usize) -> f64 {
    net.nodes[node].suspicions.get(&SERVER).copied().unwrap_or(0.0)
}

/// How many others each node that runs holds to be there.
fn present(net: &Net) -> Vec<usize> {
    let alive = |m: &dunelink_gossip::MemberView| m.liveness == Liveness::Alive;
    let running = net.nodes.iter().filter_map(|node| node.gossip.as_ref());
    running.map(|gossip| gossip.members().iter().filter(|m| alive(m)).count()).collect()
}

fn downs(net: &Net) -> usize {
    net.nodes
        .iter()
        .flat_map(|node| &node.log_events)
        .filter(|(_, note)| matches!(note, LogEvent::MemberDown(_)))
        .count()
}

fn started(count: usize, seed: u64) -> Net {
    let mut net = Net::new(count, seed, |_, _| {});
    net.start_all();
    net.run_until(10 * S, &well);
    assert_eq!(present(&net), vec![count - 1; count], "all have found each other");
    net
}

#[test]
fn a_stall_is_known_to_all_within_two_seconds_and_so_is_its_end() {
    let mut net = started(5, 1);
    let stalls = |node: usize, now: Micros| {
        let strength = if node < 3 && now < 20 * S { 1.0 } else { 0.0 };
        // The others have sent nothing there.
        if node < 3 { vec![seen(SERVER, strength, 0)] } else { Vec::new() }
    };
    net.run_until(12 * S, &stalls);
    assert!((3..5).all(|node| doubt(&net, node) > 0.99), "three witnesses are enough among five");
    assert!((0..3).all(|node| (0.6..0.7).contains(&doubt(&net, node))), "a node is no witness for itself");
    net.run_until(20 * S, &stalls);
    assert!(doubt(&net, 4) > 0.99, "it is said again while it lasts");
    net.run_until(22 * S, &stalls);
    assert!((0..5).all(|node| doubt(&net, node) == 0.0), "recovery spreads as fast");
    assert!(net.nodes.iter().all(|node| node.peak_bytes_per_second <= 16 * 1024));
}

#[test]
fn a_clock_that_is_hours_off_changes_nothing() {
    let mut net = Net::new(5, 15, |_, _| {});
    net.nodes[0].clock_ahead = 7 * 3_600 * S;
    net.start_all();
    net.run_until(10 * S, &well);
    let stalls = |node: usize, _: Micros| if node < 3 { vec![seen(SERVER, 1.0, 0)] } else { Vec::new() };
    net.run_until(12 * S, &stalls);
    assert!(
        (0..5).all(|node| doubt(&net, node) > 0.6),
        "{:?}",
        (0..5).map(|n| doubt(&net, n)).collect::<Vec<_>>()
    );
    net.run_until(14 * S, &well);
    assert!((0..5).all(|node| doubt(&net, node) == 0.0));
    assert_eq!((present(&net), downs(&net)), (vec![4; 5], 0));
}

#[test]
fn liars_cast_no_more_doubt_than_their_bound_and_are_soon_not_believed() {
    for (liars, nodes) in [(1, 5), (2, 5), (1, 2), (3, 12)] {
        let mut net = started(nodes, 2);
        let lies = move |node: usize, now: Micros| match node {
            _ if node < liars => {
                (0..20).map(|s| seen(s, if s < 4 || s == SERVER { 1.0 } else { 0.0 }, 9)).collect()
            }
            // The last one has no measurement of its own to hold against them.
            _ if node == nodes - 1 => Vec::new(),
            _ => well(node, now),
        };
        let mut worst = 0.0_f64;
        for tenth in 100..400 {
            net.run_until(tenth * S / 10, &lies);
            for node in liars..nodes {
                let doubt = net.nodes[node].suspicions.values().copied().fold(0.0, f64::max);
                worst = worst.max(doubt);
                assert!(doubt <= max_false_suspicion(liars, nodes) + 1e-9, "{liars} of {nodes}: {doubt}");
            }
        }
        assert!(worst > 0.0, "the lies have reached them");
        if nodes > 2 {
            assert!(doubt(&net, liars) < 0.05, "own measurements: {}", doubt(&net, liars));
        }
    }
}

#[test]
fn loss_doubling_and_overtaking_take_nobody_out() {
    let mut net = started(10, 3);
    net.conditions = NetworkConditions { loss: 0.3, duplication: 0.2, delay: (300, 40_000) };
    net.run_until(130 * S, &well);
    assert_eq!(downs(&net), 0);
    assert!(net.nodes.iter().all(|node| node.peak_bytes_per_second <= 16 * 1024));
    let stalls = |node: usize, _: Micros| if node < 8 { vec![seen(SERVER, 1.0, 0)] } else { Vec::new() };
    net.run_until(133 * S, &stalls);
    assert!(doubt(&net, 9) > 0.5, "{}", doubt(&net, 9));
}

#[test]
fn a_way_that_is_cut_in_one_direction_takes_nobody_out() {
    let mut net = started(5, 4);
    net.is_cut = Box::new(|from, to| from == 0 && to == 1);
    net.run_until(60 * S, &well);
    assert_eq!((present(&net), downs(&net)), (vec![4; 5], 0));
}

#[test]
fn both_sides_of_a_partition_go_on_within_their_bound_and_find_each_other_again() {
    let mut net = started(12, 5);
    net.is_cut = Box::new(|from, to| (from < 4) != (to < 4));
    for second in 11..71 {
        net.run_until(second * S, &well);
        let taken: f64 = net.nodes.iter().map(|node| 1.0 / f64::from(node.position.unwrap().nodes)).sum();
        assert!(taken <= 2.0 + 1e-9, "all take {taken} times what they may after {second} s");
    }
    assert_eq!(present(&net), [vec![3; 4], vec![7; 8]].concat());
    net.is_cut = Box::new(|_, _| false);
    net.run_until(100 * S, &well);
    assert_eq!(present(&net), vec![11; 12]);
    assert!(net.nodes.iter().all(|node| node.position.unwrap().nodes == 12));
}

#[test]
fn a_node_that_stood_still_believes_nobody_dead() {
    let mut net = started(6, 6);
    net.pause(2, 10 * S);
    net.run_until(20 * S + S / 10, &well);
    assert_eq!(present(&net)[2], 5, "right after it woke");
    net.run_until(40 * S, &well);
    assert_eq!(present(&net), vec![5; 6]);
    let notes = &net.nodes[2].log_events;
    assert!(notes.iter().any(|(_, note)| matches!(note, LogEvent::ProcessPaused(_))), "{notes:?}");
    assert!(!notes.iter().any(|(_, note)| matches!(note, LogEvent::MemberDown(_))), "{notes:?}");
}

#[test]
fn one_that_is_killed_is_missed_and_its_part_goes_over_by_steps() {
    let mut net = started(5, 7);
    net.kill(1);
    net.run_until(25 * S, &well);
    assert_eq!(present(&net), vec![3; 4]);
    let of = |net: &Net, node: usize| net.nodes[node].position.unwrap();
    net.run_until(40 * S, &well);
    assert_eq!([0, 2, 3, 4].map(|node| of(&net, node).nodes), [4; 4]);
    assert_eq!([0, 2, 3, 4].map(|node| of(&net, node).rank), [0, 2, 3, 4], "places stay");
    net.start(1);
    net.run_until(45 * S, &well);
    assert_eq!((present(&net), of(&net, 0).nodes), (vec![4; 5], 5));
}

#[test]
fn a_restart_that_is_announced_keeps_its_part_and_one_for_good_does_not() {
    let mut net = started(4, 8);
    net.input(1, Input::Leave { restarts: true });
    net.input(2, Input::Leave { restarts: false });
    net.run_until(net.now + S / 10, &well);
    net.kill(1);
    net.kill(2);
    net.run_until(40 * S, &well);
    assert_eq!(net.nodes[0].position.unwrap().nodes, 3, "the one that restarts is counted");
    assert_eq!(downs(&net), 0, "both had said so");
    net.start(1);
    net.run_until(45 * S, &well);
    assert_eq!(present(&net), vec![2; 3]);
}

#[test]
fn all_restart_together() {
    let mut net = started(40, 9);
    (0..40).for_each(|node| net.kill(node));
    net.run_until(11 * S, &well);
    net.start_all();
    net.run_until(41 * S, &well);
    assert_eq!(present(&net), vec![39; 40]);
    assert!(net.nodes.iter().all(|node| node.peak_bytes_per_second <= 16 * 1024));
}

#[test]
fn many_that_know_only_the_same_few_find_each_other_within_a_low_ceiling() {
    let mut net = Net::new(60, 14, |_, settings| settings.max_bytes_per_second = 8192);
    net.start_all();
    net.run_until(45 * S, &well);
    assert_eq!(present(&net), vec![59; 60]);
    assert!(net.nodes.iter().all(|node| node.peak_bytes_per_second <= 8192));
}

#[test]
fn what_was_recorded_is_not_taken_again() {
    let mut net = Net::new(3, 10, |_, _| {});
    net.recorded = Some(Vec::new());
    net.start_all();
    net.run_until(10 * S, &well);
    let recorded = net.recorded.take().unwrap();
    // Yesterday's packets, to processes that run on, and to one that is new.
    net.kill(2);
    net.start(2);
    net.run_until(15 * S, &well);
    let figures = |net: &Net, node: usize| net.nodes[node].gossip.as_ref().unwrap().counters();
    let quiet = 1_000;
    let mut last = Vec::new();
    for node in 0..3 {
        let before = figures(&net, node);
        for (from, _, bytes) in recorded.iter().filter(|(_, to, _)| *to == node).take(60) {
            let mut out = Vec::new();
            let now = net.now + quiet;
            net.nodes[node].gossip.as_mut().unwrap().handle(
                now,
                Input::Packet(address(*from), bytes),
                &mut out,
            );
        }
        let after = figures(&net, node);
        assert_eq!(before.accepted, after.accepted, "node {node}");
        last.push(after.replayed - before.replayed);
    }
    assert!(last.iter().all(|replayed| *replayed > 5), "{last:?}");
}

#[test]
fn a_packet_that_was_changed_or_signed_by_another_key_leaves_no_trace() {
    let mut net = started(2, 11);
    net.recorded = Some(Vec::new());
    net.run_until(11 * S, &well);
    let (from, to, bytes) = net.recorded.take().unwrap().into_iter().next_back().unwrap();
    let members = net.nodes[to].gossip.as_ref().unwrap().members();
    for at in 0..bytes.len() {
        let mut bytes = bytes.clone();
        bytes[at] ^= 1 << (at % 8);
        // Time passes, so that not the flood's limit turns them away.
        net.run_until(net.now + S / 50, &well);
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
fn keys_are_rotated_with_an_overlap() {
    use dunelink_gossip::{KeyRing, Secret};
    let mut net = started(3, 12);
    let (old, new) = (net.secret(0), Secret::from_seed([9; 32]));
    let others = || format!("n1 {}\nn2 {}\n", net.secret(1).public_hex(), net.secret(2).public_hex());
    let both = format!("n0 {}\nn0 {}\n{}", old.public_hex(), new.public_hex(), others());
    let only = format!("n0 {}\n{}", new.public_hex(), others());
    let ring = |text: &str| KeyRing::parse(text).unwrap();
    for node in 0..3 {
        net.input(node, Input::Keys(ring(&both), net.secret(node)));
    }
    net.run_until(20 * S, &well);
    net.input(0, Input::Keys(ring(&both), Secret::from_seed([9; 32])));
    net.run_until(30 * S, &well);
    for node in 0..3 {
        let secret = if node == 0 { Secret::from_seed([9; 32]) } else { net.secret(node) };
        net.input(node, Input::Keys(ring(&only), secret));
    }
    net.run_until(60 * S, &well);
    assert_eq!((present(&net), downs(&net)), (vec![2; 3], 0));
    // One that goes on with the old key is not heard any more.
    net.input(0, Input::Keys(ring(&both), net.secret(0)));
    net.run_until(90 * S, &well);
    assert_eq!(present(&net)[1..], [1, 1]);
}

#[test]
fn two_processes_of_one_name_are_told_of() {
    let mut net = Net::new(3, 13, |node, settings| {
        settings.name = if node == 1 { "n0".into() } else { settings.name.clone() };
    });
    net.start(0);
    net.start(2);
    // The second has the first one's secret too.
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
    net.run_until(40 * S, &well);
    let shared =
        |node: usize| net.nodes[node].log_events.iter().any(|(_, note)| *note == LogEvent::DuplicateName);
    assert!(shared(0) || shared(1));
}

/// Kills nodes one by one; how long until all others know, sorted.
fn until_dead(net: &mut Net, victims: &[usize]) -> Vec<Micros> {
    let mut took = Vec::new();
    for victim in victims {
        let name = format!("n{victim}");
        net.kill(*victim);
        let began = net.now;
        let dead = |net: &Net| {
            let others = net.nodes.iter().filter_map(|node| node.gossip.as_ref());
            let of = |gossip: &dunelink_gossip::Gossip| gossip.members().into_iter().find(|m| m.name == name);
            others.map(of).all(|seen| seen.is_some_and(|m| m.liveness == Liveness::Dead))
        };
        while !dead(net) && net.now - began < 10 * S {
            net.run_until(net.now + S / 20, &well);
        }
        took.push(net.now - began);
        net.start(*victim);
        net.run_until(net.now + 4 * S, &well);
    }
    took.sort_unstable();
    took
}

/// Detection, and what a node that joins knows 3 s later.
fn is_missed(nodes: usize, victims: &[usize]) {
    let mut net = Net::new(nodes, 16, |_, _| {});
    net.conditions = NetworkConditions { loss: 0.01, ..NetworkConditions::default() };
    net.start_all();
    net.run_until(30 * S, &well);
    let took = until_dead(&mut net, victims);
    println!("{nodes} nodes: dead for all after {took:?} us");
    assert!(took[took.len() / 2] <= 2 * S, "median: {took:?}");
    assert!(took[took.len() - 1] <= 4 * S, "worst: {took:?}");
    net.kill(1);
    net.run_until(net.now + 5 * S, &well);
    net.start(1);
    net.run_until(net.now + 3 * S, &well);
    assert_eq!(net.nodes[1].gossip.as_ref().unwrap().members().len(), nodes - 1);
}

#[test]
fn a_killed_node_is_known_dead_to_all_in_two_seconds_and_one_that_joins_knows_all_in_three() {
    is_missed(5, &(0..31).map(|kill| (kill * 7 + 3) % 5).collect::<Vec<_>>());
    is_missed(50, &[7, 19, 3, 48, 22]);
}

#[test]
#[ignore = "takes some minutes"]
fn the_same_with_300_nodes() {
    is_missed(300, &[7, 119, 203, 48, 22, 299, 150]);
}

#[test]
fn a_twentieth_of_all_packets_lost_takes_no_healthy_node_out() {
    let mut net = started(10, 17);
    net.conditions = NetworkConditions { loss: 0.05, ..NetworkConditions::default() };
    // A hundred node minutes; the thousand are played by `dunelink-bench gossip`.
    net.run_until(610 * S, &well);
    assert_eq!(downs(&net), 0);
}

/// How long many that start at once, and know the same few, need to find each other.
fn found_after(count: usize, seed: u64, most: Micros) -> Micros {
    let mut net = Net::new(count, seed, |_, _| {});
    net.conditions = NetworkConditions { loss: 0.01, ..NetworkConditions::default() };
    net.start_all();
    let began = net.now;
    while present(&net) != vec![count - 1; count] {
        assert!(net.now - began < most, "{count} nodes, seed {seed}: {:?}", present(&net));
        net.run_until(net.now + S / 4, &well);
    }
    assert!(net.nodes.iter().all(|node| node.peak_bytes_per_second <= 16 * 1024));
    net.now - began
}

#[test]
fn sixty_find_each_other_from_nothing_in_four_seconds() {
    for seed in 1..=3 {
        found_after(60, seed, 4 * S);
    }
}

/// `cargo test --release -p dunelink-gossip --test fleet -- --ignored`.
#[test]
#[ignore = "takes minutes"]
fn three_hundred_find_each_other_from_nothing_in_ten_seconds_and_a_thousand_in_thirty() {
    for seed in 1..=5 {
        println!("300, seed {seed}: {:.2} s", found_after(300, seed, 10 * S) as f64 / 1e6);
    }
    println!("1000: {:.2} s", found_after(1000, 1, 30 * S) as f64 / 1e6);
}
