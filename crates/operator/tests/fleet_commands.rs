//! `dunelink-fleet status` and `config` against a fleet on loopback addresses.

mod support;

use support::{CommandResult, FLEET_COMMAND, TemporaryFolder, run_command};
use testkit::system::scene::{HOST, KEY, POOL, SECOND_KEY, Scene};
use testkit::system::{Fleet, Plan, Route, Value, until};

/// Runs the command on a blocking thread, with the control address of machine `core` as last argument.
async fn run_against(scene: &Fleet, arguments: &[&str], core: usize) -> CommandResult {
    let control = scene.control(core).to_string();
    let arguments: Vec<String> = arguments.iter().map(|word| (*word).to_owned()).collect();
    let run = move || {
        let mut complete: Vec<&str> = arguments.iter().map(String::as_str).collect();
        complete.extend(["--control", &control]);
        run_command(&complete)
    };
    tokio::task::spawn_blocking(run).await.expect("the command panicked")
}

#[tokio::test]
async fn configurations_are_put_read_compared_and_listed() {
    let mut scene = Scene::prepared(FLEET_COMMAND, Plan { cores: 3, fronts: 0 }, 0).await;
    scene.fleet.start_all();
    scene.fleet.led().await;
    let folder = TemporaryFolder::new();
    let read = run_against(&scene.fleet, &["config", "read"], 1).await;
    assert_eq!(read.code, 2, "{read:?}");
    assert!(read.stderr.contains("no configuration yet"), "{read:?}");
    let first = folder.file("first.json", &scene.configuration.value().to_string());
    for core in 0..3 {
        let put = run_against(&scene.fleet, &["config", "put", &first, "--base", "0"], core).await;
        assert_eq!(put.code, 0, "machine {core}, including repeated requests: {put:?}");
    }
    let changed = scene.configuration.clone().version(9).route(Route::new(HOST, "/more/", "safe", POOL));
    let second = folder.file("second.json", &changed.value().to_string());
    let diff = run_against(&scene.fleet, &["config", "diff", &second], 2).await;
    assert_eq!(diff.code, 1, "{diff:?}");
    assert!(diff.stdout.contains("version 3 -> 9, 1 differences"), "{diff:?}");
    assert!(diff.stdout.contains("+ route ficu95.example/more/"), "{diff:?}");
    let put = run_against(&scene.fleet, &["config", "put", &second], 0).await;
    assert_eq!(
        (put.code, put.stdout.as_str()),
        (0, "configuration 9 applied, based on version 3\n"),
        "{put:?}"
    );
    let outdated = scene.configuration.clone().version(12);
    let outdated = folder.file("late.json", &outdated.value().to_string());
    let refused = run_against(&scene.fleet, &["config", "put", &outdated, "--base", "3"], 1).await;
    assert_eq!(refused.code, 1, "{refused:?}");
    assert!(refused.stdout.contains("412") && refused.stdout.contains("version 9 is current"), "{refused:?}");
    let read = run_against(&scene.fleet, &["config", "read"], 0).await;
    assert_eq!(read.code, 0, "{read:?}");
    assert!(!read.stdout.contains(KEY) && !read.stdout.contains(SECOND_KEY), "{}", read.stdout);
    let hidden = folder.file("hidden.json", &read.stdout);
    let refused = run_against(&scene.fleet, &["config", "put", &hidden, "--base", "9"], 0).await;
    assert_eq!(refused.code, 1, "{refused:?}");
    let unredacted = run_against(&scene.fleet, &["config", "read", "--with-keys"], 2).await;
    let document: Value = parse_json(&unredacted.stdout);
    assert_eq!(&document, changed.value());
    let history = run_against(&scene.fleet, &["config", "history"], scene.fleet.led().await).await;
    let lines: Vec<Vec<&str>> =
        history.stdout.lines().skip(1).map(|line| line.split_whitespace().collect()).collect();
    let numbers: Vec<[&str; 2]> = lines.iter().map(|line| [line[0], line[1]]).collect();
    assert_eq!((history.code, numbers), (0, vec![["3", "0"], ["9", "3"]]), "{history:?}");
}

fn parse_json(text: &str) -> Value {
    text.parse().expect("invalid JSON")
}

#[tokio::test]
async fn status_of_the_fleet_is_available_from_any_machine() {
    let mut scene = Scene::small(FLEET_COMMAND).await;
    let healthy_status = || async {
        let result = run_against(&scene.fleet, &["status"], 0).await;
        (result.code == 0).then_some(result.stdout)
    };
    let healthy = until("a healthy fleet", healthy_status).await;
    for part in ["configuration 3", "no problems found", "front-0", "front-1", "servers 2"] {
        assert!(healthy.contains(part), "{part} in {healthy}");
    }
    for core in 0..3 {
        assert!(healthy.contains(&scene.fleet.control(core).to_string()), "{healthy}");
    }
    assert!(!healthy.contains(KEY));
    scene.fleet.agent(0).kill();
    let result =
        until("the killed agent to be reported", || status_with_finding(&scene.fleet, 0, "front-0")).await;
    assert!(!result.stdout.contains(KEY));
    let follower =
        (0..3).find(|core| scene.fleet.control(*core).to_string() != leader_address(&healthy)).unwrap();
    let stopped = scene.fleet.control(follower).to_string();
    scene.fleet.kill_core(follower);
    let other = (follower + 1) % 3;
    until("the killed machine to be reported", || status_with_finding(&scene.fleet, other, &stopped)).await;
}

/// The result of `status --json` if it reports a problem of `subject`.
async fn status_with_finding(fleet: &Fleet, core: usize, subject: &str) -> Option<CommandResult> {
    let result = run_against(fleet, &["status", "--json"], core).await;
    let findings = parse_json(&result.stdout)["findings"].as_array().cloned().unwrap_or_default();
    let is_reported = findings.iter().any(|finding| finding["who"] == subject);
    (is_reported && result.code == 1).then_some(result)
}

/// The leader's address in the text output of `status`.
fn leader_address(text: &str) -> String {
    let rest = text.strip_prefix("leader ").expect("no leader in the status");
    rest.split(',').next().unwrap_or_default().to_owned()
}

#[tokio::test]
async fn unreachable_fleet_is_reported_with_each_reason() {
    let scene = Fleet::new(FLEET_COMMAND, Plan { cores: 1, fronts: 0 }).await;
    let result = run_against(&scene, &["status"], 0).await;
    assert_eq!(result.code, 2, "{result:?}");
    assert!(result.stderr.contains(&scene.control(0).to_string()), "{result:?}");
}
