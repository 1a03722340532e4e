//! Partially failed nodes, nodes evicted by operators, and the merged logs of all nodes.

use std::process::Command;

use dunelink_timeline::{Log, merge};
use serde_json::Value;

use super::views::{ALL, agree_on_view, plan_with_electors, wait_for_full_shares};
use super::*;

/// The state of the fleet as a node reports it in JSON.
fn status(rig: &Rig, node: usize) -> Option<Value> {
    serde_json::from_str(&rig.ask(node, "fleet?json")?).ok()
}

/// The stance that one node reports of another.
fn stance(rig: &Rig, observer: usize, of: usize) -> String {
    let reported = status(rig, observer).unwrap_or_default();
    let nodes = reported["nodes"].as_array().cloned().unwrap_or_default();
    let node = nodes.iter().find(|node| node["name"] == format!("n{of}"));
    node.and_then(|node| node["stance"].as_str()).unwrap_or_default().to_owned()
}

fn command(rig: &Rig, node: usize, arguments: &[&str]) -> (bool, String) {
    let admin = rig.door(node).to_string();
    let program = env!("CARGO_BIN_EXE_dunelink");
    let result =
        Command::new(program).arg("fleet").args(arguments).args(["--control", &admin]).output().unwrap();
    let output =
        String::from_utf8_lossy(&result.stdout).into_owned() + &String::from_utf8_lossy(&result.stderr);
    (result.status.success(), output)
}

#[test]
fn node_without_servers_withdraws_and_one_way_link_is_reported() {
    let mut plan = plan_with_electors(5);
    plan.gossip.push_str("\nstep_aside = 0.5");
    let mut rig = Rig::new(plan);
    wait_for_full_shares(&rig, &ALL, 5);
    rig.load(&load(2));
    rig.cause(Fault::OneWay(0, 1));
    rig.wait("the one-way link to be reported", || {
        status(&rig, 3).is_some_and(|reported| reported["one_way"] == serde_json::json!([["n0", "n1"]]))
    });
    rig.cause(Fault::Heal);
    rig.cause(Fault::Servers(2, true));
    rig.wait("n2 to be not ready", || rig.ask(2, "health").is_none());
    // It is the only node that is not ready, and all others know the reason; it keeps its share, and answers
    // requests that reach it.
    assert!([0, 1, 3, 4].iter().all(|node| rig.ask(*node, "health").is_some()));
    rig.wait("the others to report it", || stance(&rig, 4, 2) == "reaches no servers");
    rig.cause(Fault::Servers(2, false));
    rig.wait("n2 to be ready again", || rig.ask(2, "health").is_some());
    assert_rules_hold(&mut rig, &rules());
}

#[test]
fn operators_evict_and_restore_node() {
    let mut rig = Rig::new(plan_with_electors(5));
    wait_for_full_shares(&rig, &ALL, 5);
    rig.load(&load(1));
    let evict = ["evict", "n3", "--reason", "disk is full", "--for", "10m"];
    let (succeeded, output) = command(&rig, 1, &evict);
    assert!(succeeded && output.contains("n3 is out by epoch 1-"), "{output}");
    rig.wait("one view of four", || agree_on_view(&rig, &[0, 1, 2, 4], 4));
    let reported = status(&rig, 4).unwrap();
    assert_eq!(
        reported["out"],
        serde_json::json!([{"name": "n3", "seconds": 600, "reason": "disk is full"}])
    );
    rig.wait("the share of n3 to be the minimum", || {
        status(&rig, 3).is_some_and(|reported| reported["part"] == 0.02)
    });
    // Every elector accepts commands; invalid ones are refused with the reason.
    for (arguments, reason) in [
        (["evict", "n9", "--reason", "x", "--for", "10m"], "expected a name in the ring"),
        (["evict", "n3", "--reason", "x", "--for", "9d"], "a time of 1 second to 7 days"),
    ] {
        let (succeeded, output) = command(&rig, 0, &arguments);
        assert!(!succeeded && output.contains(reason), "{output}");
    }
    let (succeeded, output) = command(&rig, 0, &["restore", "n1"]);
    assert!(!succeeded && output.contains("the node is not evicted"), "{output}");
    let (succeeded, output) = command(&rig, 0, &["restore", "n3"]);
    assert!(succeeded, "{output}");
    wait_for_full_shares(&rig, &ALL, 5);
    assert_rules_hold(&mut rig, &rules());
}

#[test]
fn merged_logs_have_no_contradictions() {
    let mut rig = Rig::new(Plan { top: "log = \"json\"".into(), ..plan_with_electors(5) });
    wait_for_full_shares(&rig, &ALL, 5);
    rig.load(&load(1));
    rig.cause(Fault::Pause(0));
    rig.wait("a view without it", || agree_on_view(&rig, &[1, 2, 3, 4], 4));
    rig.cause(Fault::Wake(0));
    rig.cause(Fault::Kill(1));
    rig.wait("a view without the other", || agree_on_view(&rig, &[0, 2, 3, 4], 4));
    rig.cause(Fault::Start(1));
    wait_for_full_shares(&rig, &ALL, 5);
    rig.rest();
    let lines: Vec<Vec<String>> = ALL.iter().map(|node| rig.record.log(*node)).collect();
    let logs: Vec<Log> = lines.iter().map(|lines| Log::read("?", lines.iter().map(String::as_str))).collect();
    assert!(logs.iter().all(|log| log.unparsed_lines == 0), "{:?}", rig.story());
    let names: Vec<&str> = logs.iter().map(|log| log.name.as_str()).collect();
    assert_eq!(names, ["n0", "n1", "n2", "n3", "n4"]);
    let merged = merge(&logs, true);
    assert!(
        merged.contradictions.is_empty() && merged.clock_offsets.iter().all(Option::is_some),
        "{:?}",
        merged.contradictions
    );
    // Each change is logged with its cause.
    let causes: Vec<&str> = merged.events.iter().filter_map(|(_, _, event)| event.field("cause")).collect();
    for cause in ["n0 went out", "n0 came in", "n1 came in", "granted by a majority"] {
        assert!(causes.iter().any(|logged| logged.contains(cause)), "{cause}: {causes:?}");
    }
    // The command finds the same; a clock that is off by a century makes no difference.
    let folder = rig.ring().with_file_name("logs");
    std::fs::create_dir_all(&folder).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_dunelink"));
    command.args(["fleet", "timeline", "--fleet"]);
    for (node, lines) in lines.iter().enumerate() {
        let path = folder.join(format!("n{node}.log"));
        let shift_clock = |line: &String| match node {
            2 => line.replacen("\"timestamp\":\"20", "\"timestamp\":\"21", 1),
            _ => line.clone(),
        };
        std::fs::write(&path, lines.iter().map(shift_clock).collect::<Vec<_>>().join("\n")).unwrap();
        command.arg(path);
    }
    let result = command.output().unwrap();
    let output = String::from_utf8_lossy(&result.stdout);
    assert!(result.status.success(), "{output}{}", String::from_utf8_lossy(&result.stderr));
    assert!(output.contains("# n2: its clock differs by") && !output.contains("!!"), "{output}");
}
