//! `dunelink-fleet demo`, from start to end.

mod support;

use support::{FLEET_COMMAND, run_command};
use testkit::system::programs::Programs;

#[test]
fn short_demo_shows_all_steps_and_a_summary() {
    // Builds the programs into the folder of the command, as in an installation.
    Programs::beside(FLEET_COMMAND);
    let result = run_command(&["demo", "--seconds", "8", "--rate", "20"]);
    assert_eq!(result.code, 0, "{result:?}");
    let expected = [
        "configuration 4 applied",
        "killed; server i-0 drains",
        "server i-0 stopped",
        " restarted",
        "a new leader was observed",
        "requests at the draining server after its drain time: 0",
    ];
    for part in expected {
        assert!(result.stdout.contains(part), "{part} in {}", result.stdout);
    }
    let line = result.stdout.lines().find(|line| line.starts_with("served ")).expect("no summary line");
    let served: u64 = line[7..].split(',').next().unwrap().parse().unwrap();
    assert!(served > 100, "{line}");
}
