//! Difficult faults, one per test: the sum of the traffic shares stays within its bound at every sample, no
//! lease is held by two nodes, the rules hold, and all nodes agree soon after the faults end.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

use dunelink_timeline::{Log, merge};

use super::views::{
    ALL, LEASE_S, agree_on_view, plan_with_electors, statuses, total_share, wait_for_full_shares,
};
use super::*;

/// A sequence of faults, each with the seconds since the fault before it.
type Script = Vec<(f64, Fault)>;

fn cut(sides: &[&[usize]]) -> Fault {
    Fault::Cut(sides.iter().map(|side| side.to_vec()).collect())
}

/// Each node reaches only its two neighbours.
fn ring(nodes: usize) -> Script {
    let not_neighbours = |a: usize, b: usize| a != b && (a + 1) % nodes != b && (b + 1) % nodes != a;
    let pairs =
        (0..nodes).flat_map(|a| (0..nodes).map(move |b| (a, b))).filter(|(a, b)| not_neighbours(*a, *b));
    pairs.map(|(a, b)| (0.0, Fault::OneWay(a, b))).collect()
}

/// A node that is disconnected and reconnected in turn, every 700 ms.
fn flapping(node: usize, others: &[usize]) -> Script {
    (0..14).map(|step| (0.7, if step % 2 == 0 { cut(&[&[node], others]) } else { Fault::Heal })).collect()
}

fn packet_loss(loss: f64) -> Fault {
    let delay = (Duration::ZERO, Duration::from_millis(30));
    Fault::Weather(testkit::rig::paths::Weather { loss, doubled: 0.1, delay, cut: false })
}

fn play(nodes: usize, script: &[(f64, Fault)], duration_s: f64) {
    let mut plan = plan_with_electors(nodes.min(5));
    plan.nodes = nodes;
    let mut rig = Rig::new(plan);
    let all_nodes: Vec<usize> = (0..nodes).collect();
    wait_for_full_shares(&rig, &all_nodes, nodes);
    rig.load(&load(1));
    let mut max_share = 0.0_f64;
    let sample_shares = |rig: &Rig, span: f64, max_share: &mut f64| {
        let until = rig.record.now() + seconds(span);
        while rig.record.now() < until {
            let up: Vec<usize> = (0..nodes).filter(|node| rig.runs(*node)).collect();
            *max_share = max_share.max(total_share(&statuses(rig, &up)));
            std::thread::sleep(Duration::from_millis(100));
        }
    };
    for (after, fault) in script {
        sample_shares(&rig, *after, &mut max_share);
        rig.cause(fault.clone());
    }
    sample_shares(&rig, duration_s, &mut max_share);
    rig.cause(Fault::Heal);
    let healed = rig.record.now();
    rig.wait("one view of all", || agree_on_view(&rig, &all_nodes, nodes));
    let elapsed = rig.record.now() - healed;
    sample_shares(&rig, LEASE_S, &mut max_share);
    assert_rules_hold(&mut rig, &rules());
    let lines: Vec<Vec<String>> = all_nodes.iter().map(|node| rig.record.log(*node)).collect();
    let logs: Vec<Log> = lines.iter().map(|log| Log::read("?", log.iter().map(String::as_str))).collect();
    let contradictions = merge(&logs, false).contradictions;
    println!(
        "{nodes} nodes: shares {max_share:.3} at most, all agree after {elapsed:.1?}; {contradictions:?}"
    );
    assert!(
        max_share <= 1.1 + 1e-6 && contradictions.is_empty(),
        "{max_share}, {contradictions:?}\n{}",
        rig.story()
    );
    assert!(elapsed < seconds(5.0) + SLACK, "{elapsed:?}\n{}", rig.story());
}

#[test]
#[ignore = "takes up to a minute"]
fn partition_without_majority() {
    play(5, &[(0.0, cut(&[&[0, 1], &[2, 3], &[4]]))], 10.0);
}

#[test]
#[ignore = "takes up to a minute"]
fn ring_topology() {
    play(5, &ring(5), 10.0);
}

#[test]
#[ignore = "takes up to a minute"]
fn flapping_link() {
    play(5, &flapping(1, &[0, 2, 3, 4]), 1.0);
}

#[test]
#[ignore = "takes up to a minute"]
fn overlapping_partitions() {
    play(
        5,
        &[(0.0, cut(&[&[0, 1], &[2, 3, 4]])), (5.0, Fault::Heal), (0.2, cut(&[&[0, 2], &[1, 3, 4]]))],
        6.0,
    );
}

#[test]
#[ignore = "takes up to a minute"]
fn elector_restart_during_partition() {
    let during = [(0.0, cut(&[&[0, 1], &[2, 3, 4]])), (3.0, Fault::Kill(4)), (2.0, Fault::Start(4))];
    play(5, &during, 8.0);
}

#[test]
#[ignore = "takes up to a minute"]
fn simultaneous_restart_of_all() {
    let kills = (0..5).map(|node| (0.0, Fault::Kill(node)));
    let starts = (0..5).map(|node| (0.0, Fault::Start(node)));
    play(5, &kills.chain(starts).collect::<Vec<_>>(), 8.0);
}

#[test]
#[ignore = "takes up to a minute"]
fn packet_loss_of_thirty_percent() {
    play(5, &[(0.0, packet_loss(0.3))], 15.0);
}

#[test]
#[ignore = "takes up to a minute"]
fn staggered_pauses_longer_than_lease() {
    let pauses =
        [(0.0, Fault::Pause(1)), (2.0, Fault::Pause(3)), (4.0, Fault::Wake(1)), (3.0, Fault::Wake(3))];
    play(5, &pauses, 3.0);
}

#[test]
#[ignore = "takes up to a minute"]
fn nine_nodes_with_a_third_cut_off() {
    play(9, &[(0.0, cut(&[&[0, 1, 8], &[2, 3, 4, 5, 6, 7]]))], 10.0);
}

#[test]
#[ignore = "takes up to a minute"]
fn nine_nodes_with_electors_cut_off() {
    play(9, &[(0.0, cut(&[&[0, 1, 2], &[3, 4], &[5, 6, 7, 8]]))], 10.0);
}

#[test]
#[ignore = "takes up to a minute"]
fn repeatedly_paused_node_withdraws() {
    let mut plan = plan_with_electors(5);
    plan.gossip.push_str("\nstep_aside = 0.5");
    let mut rig = Rig::new(plan);
    wait_for_full_shares(&rig, &ALL, 5);
    rig.load(&load(1));
    let mut reported = false;
    for _ in 0..20 {
        rig.cause(Fault::Pause(2));
        std::thread::sleep(seconds(0.3));
        rig.cause(Fault::Wake(2));
        std::thread::sleep(seconds(0.7));
        let output = rig.ask(4, "fleet").unwrap_or_default();
        reported |= output.lines().any(|line| line.starts_with("n2 ") && line.contains("stance=\"stalls\""));
        if reported && rig.ask(2, "health").is_none() {
            break;
        }
    }
    assert!(reported, "{}", rig.story());
    assert!(rig.ask(2, "health").is_none(), "{}", rig.story());
    rig.wait("n2 to be ready again", || rig.ask(2, "health").is_some());
    assert_rules_hold(&mut rig, &rules());
}

/// The second process has the name and the secret of the first one, at other addresses.
#[test]
#[ignore = "takes up to a minute"]
fn two_processes_never_hold_one_name() {
    let mut rig = Rig::new(plan_with_electors(5));
    wait_for_full_shares(&rig, &ALL, 5);
    rig.load_at(0..4, &load(1));
    let ip = rig.address(4).ip();
    let (gossip, front) = rig.place(4);
    let path = rig.config(4);
    let text = std::fs::read_to_string(&path).unwrap();
    let text = [(rig.address(4).to_string(), 18_080), (rig.door(4).to_string(), 18_443)]
        .iter()
        .chain([(gossip.to_string(), 17_946), (front.to_string(), 17_946)].iter())
        .fold(text, |text, (from, port)| text.replace(&format!("\"{from}\""), &format!("\"{ip}:{port}\"")));
    // Its seeds are still the relays of the other nodes.
    let second = path.with_file_name("second.toml");
    std::fs::write(&second, text).unwrap();
    let mut program = Command::new(env!("CARGO_BIN_EXE_dunelink"));
    program.args(["run", "--config"]).arg(&second).stdout(Stdio::null()).stderr(Stdio::piped());
    let mut child = program.spawn().unwrap();
    let output = BufReader::new(child.stderr.take().unwrap());
    let output = std::thread::spawn(move || output.lines().map_while(Result::ok).collect::<Vec<String>>());
    let mut max_share = 0.0_f64;
    for _ in 0..100 {
        max_share = max_share.max(total_share(&statuses(&rig, &ALL)));
        std::thread::sleep(seconds(0.1));
    }
    child.kill().unwrap();
    child.wait().unwrap();
    let second = output.join().unwrap();
    let first = rig.record.log(4);
    let shared = |log: &[String]| log.iter().any(|line| line.contains("another process goes by this name"));
    assert!(shared(&first) || shared(&second), "{second:#?}\n{}", rig.story());
    let log = |lines: &[String]| Log::read("?", lines.iter().map(String::as_str));
    let contradictions = merge(&[log(&first), log(&second)], false).contradictions;
    println!(
        "two processes of one name: shares of the others and the first {max_share:.3}; {contradictions:?}"
    );
    assert!(contradictions.is_empty() && max_share <= 1.1 + 1e-6, "{contradictions:?} {max_share}");
    rig.wait("one view of all", || agree_on_view(&rig, &ALL, 5));
    assert_rules_hold(&mut rig, &rules());
}
