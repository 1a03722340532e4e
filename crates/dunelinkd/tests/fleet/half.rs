//! Nodes that have failed in part, nodes that operators put out, and the logs of all as one story.

use std::process::Command;

use dunelink_timeline::{Log, merge};
use serde_json::Value;

use super::views::{ALL, agree, deciding, whole};
use super::*;

/// What a node tells programs of the fleet.
fn status(rig: &Rig, node: usize) -> Option<Value> {
    serde_json::from_str(&rig.ask(node, "fleet?json")?).ok()
}

/// What one node says that another is.
fn stance(rig: &Rig, at: usize, of: usize) -> String {
    let told = status(rig, at).unwrap_or_default();
    let nodes = told["nodes"].as_array().cloned().unwrap_or_default();
    let one = nodes.iter().find(|node| node["name"] == format!("n{of}"));
    one.and_then(|node| node["stance"].as_str()).unwrap_or_default().to_owned()
}

fn command(rig: &Rig, node: usize, words: &[&str]) -> (bool, String) {
    let door = rig.door(node).to_string();
    let program = env!("CARGO_BIN_EXE_dunelink");
    let done = Command::new(program).arg("fleet").args(words).args(["--control", &door]).output().unwrap();
    let told = String::from_utf8_lossy(&done.stdout).into_owned() + &String::from_utf8_lossy(&done.stderr);
    (done.status.success(), told)
}

#[test]
fn a_node_that_reaches_no_server_steps_aside_and_one_way_is_named() {
    let mut plan = deciding(5);
    plan.gossip.push_str("\nstep_aside = 0.5");
    let mut rig = Rig::new(plan);
    whole(&rig, &ALL, 5);
    rig.load(&load(2));
    rig.cause(Fault::OneWay(0, 1));
    rig.wait("the way to be named", || {
        status(&rig, 3).is_some_and(|told| told["one_way"] == serde_json::json!([["n0", "n1"]]))
    });
    rig.cause(Fault::Heal);
    rig.cause(Fault::Servers(2, true));
    rig.wait("n2 to say that it is not ready", || rig.ask(2, "health").is_none());
    // It is the only one, and all know why; it holds its part all the same, and answers whoever asks it.
    assert!([0, 1, 3, 4].iter().all(|node| rig.ask(*node, "health").is_some()));
    rig.wait("the others to see it", || stance(&rig, 4, 2) == "reaches no servers");
    rig.cause(Fault::Servers(2, false));
    rig.wait("it to be ready again", || rig.ask(2, "health").is_some());
    kept(&mut rig, &rules());
}

#[test]
fn operators_put_a_node_out_by_a_view_and_let_it_in_again() {
    let mut rig = Rig::new(deciding(5));
    whole(&rig, &ALL, 5);
    rig.load(&load(1));
    let evict = ["evict", "n3", "--reason", "disk is full", "--for", "10m"];
    let (done, told) = command(&rig, 1, &evict);
    assert!(done && told.contains("n3 is out by epoch 1-"), "{told}");
    rig.wait("one view of four", || agree(&rig, &[0, 1, 2, 4], 4));
    let told = status(&rig, 4).unwrap();
    assert_eq!(told["out"], serde_json::json!([{"name": "n3", "seconds": 600, "reason": "disk is full"}]));
    rig.wait("its part to be the floor", || status(&rig, 3).is_some_and(|told| told["part"] == 0.02));
    // It is the same by whoever asks, and what makes no sense is refused with the reason.
    for (words, why) in [
        (["evict", "n9", "--reason", "x", "--for", "10m"], "expected a name in the ring"),
        (["evict", "n3", "--reason", "x", "--for", "9d"], "a time of 1 second to 7 days"),
    ] {
        let (done, told) = command(&rig, 0, &words);
        assert!(!done && told.contains(why), "{told}");
    }
    let (done, told) = command(&rig, 0, &["restore", "n1"]);
    assert!(!done && told.contains("the node is not evicted"), "{told}");
    let (done, told) = command(&rig, 0, &["restore", "n3"]);
    assert!(done, "{told}");
    whole(&rig, &ALL, 5);
    kept(&mut rig, &rules());
}

#[test]
fn the_logs_of_all_are_one_story_in_which_nothing_is_that_can_not_be() {
    let mut rig = Rig::new(Plan { top: "log = \"json\"".into(), ..deciding(5) });
    whole(&rig, &ALL, 5);
    rig.load(&load(1));
    rig.cause(Fault::Pause(0));
    rig.wait("a view without it", || agree(&rig, &[1, 2, 3, 4], 4));
    rig.cause(Fault::Wake(0));
    rig.cause(Fault::Kill(1));
    rig.wait("a view without the other", || agree(&rig, &[0, 2, 3, 4], 4));
    rig.cause(Fault::Start(1));
    whole(&rig, &ALL, 5);
    rig.rest();
    let lines: Vec<Vec<String>> = ALL.iter().map(|node| rig.record.log(*node)).collect();
    let logs: Vec<Log> = lines.iter().map(|lines| Log::read("?", lines.iter().map(String::as_str))).collect();
    assert!(logs.iter().all(|log| log.unparsed_lines == 0), "{:?}", rig.story());
    let names: Vec<&str> = logs.iter().map(|log| log.name.as_str()).collect();
    assert_eq!(names, ["n0", "n1", "n2", "n3", "n4"]);
    let story = merge(&logs, true);
    assert!(
        story.contradictions.is_empty() && story.clock_offsets.iter().all(Option::is_some),
        "{:?}",
        story.contradictions
    );
    // Each change says why.
    let causes: Vec<&str> = story.events.iter().filter_map(|(_, _, event)| event.field("cause")).collect();
    for cause in ["n0 went out", "n0 came in", "n1 came in", "granted by a majority"] {
        assert!(causes.iter().any(|told| told.contains(cause)), "{cause}: {causes:?}");
    }
    // The same by the command; a clock that is a century off changes nothing.
    let folder = rig.ring().with_file_name("logs");
    std::fs::create_dir_all(&folder).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_dunelink"));
    command.args(["fleet", "timeline", "--fleet"]);
    for (node, lines) in lines.iter().enumerate() {
        let path = folder.join(format!("n{node}.log"));
        let late = |line: &String| match node {
            2 => line.replacen("\"timestamp\":\"20", "\"timestamp\":\"21", 1),
            _ => line.clone(),
        };
        std::fs::write(&path, lines.iter().map(late).collect::<Vec<_>>().join("\n")).unwrap();
        command.arg(path);
    }
    let done = command.output().unwrap();
    let told = String::from_utf8_lossy(&done.stdout);
    assert!(done.status.success(), "{told}{}", String::from_utf8_lossy(&done.stderr));
    assert!(told.contains("# n2: its clock differs by") && !told.contains("!!"), "{told}");
}
