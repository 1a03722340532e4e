//! `dunelink-fleet check`, `config diff` with two files, and invalid command lines.

mod support;

use support::{TemporaryFolder, run_command};
use testkit::system::scene::{HOST, POOL, first_configuration};
use testkit::system::{Route, json};

const FRONT_SETTINGS: &str =
    "nodeName = \"front-1\"\nip = \"10.1.0.26\"\ninternalPorts = [7680,7695]\nserves = [\"front\"]
seeds = [\"10.1.0.29:8665\"]\n[listen]\nfront = \"10.1.0.26:8662\"\nreadiness = \"10.1.0.26:8663\"\n";

#[test]
fn valid_settings_are_summarized() {
    let folder = TemporaryFolder::new();
    let result = run_command(&["check", &folder.file("local.toml", FRONT_SETTINGS)]);
    assert_eq!(result.code, 0, "{result:?}");
    assert!(result.stdout.contains("front-1 at 10.1.0.26"), "{result:?}");
}

#[test]
fn invalid_value_is_reported_with_path_key_and_remedy() {
    let folder = TemporaryFolder::new();
    let text = FRONT_SETTINGS.replace("[7680,7695]", "[7680,7681]");
    let path = folder.file("local.toml", &text);
    let result = run_command(&["check", &path]);
    assert_eq!(result.code, 1, "{result:?}");
    for part in [path.as_str(), "`internalPorts`", "change it to two ports"] {
        assert!(result.stdout.contains(part), "{part} in {result:?}");
    }
}

#[test]
fn missing_settings_of_a_role_are_reported() {
    let folder = TemporaryFolder::new();
    let control = FRONT_SETTINGS.replace("\"front\"", "\"control\"");
    let result = run_command(&["check", &folder.file("local.toml", &control)]);
    assert_eq!(result.code, 1, "{result:?}");
    for key in ["`listen.control`", "`dataDir`", "`cloudApi.address`"] {
        assert!(result.stdout.contains(key), "{key} in {result:?}");
    }
    let foreign = FRONT_SETTINGS.replace("10.1.0.26:8662", "10.1.0.27:8662");
    let result = run_command(&["check", &folder.file("foreign.toml", &foreign)]);
    assert_eq!(result.code, 1, "{result:?}");
    assert!(result.stdout.contains("`listen.front`"), "{result:?}");
}

#[test]
fn configuration_is_recognized_by_its_contents() {
    let folder = TemporaryFolder::new();
    let valid = first_configuration();
    let result = run_command(&["check", &folder.file("configuration", &valid.value().to_string())]);
    assert_eq!(result.code, 0, "{result:?}");
    assert!(result.stdout.contains("configuration 3: 4 routes, 1 services, 1 tenants"), "{result:?}");
    let invalid = first_configuration().route(Route::new(HOST, "/lost/", "safe", "nowhere"));
    let result = run_command(&["check", &folder.file("lost.json", &invalid.value().to_string())]);
    assert_eq!(result.code, 1, "{result:?}");
    assert!(result.stdout.contains("/routes/4/service") && result.stdout.contains("nowhere"), "{result:?}");
    let unused = first_configuration().service("idle");
    let result = run_command(&["check", &folder.file("unused.json", &unused.value().to_string())]);
    assert_eq!(result.code, 1, "{result:?}");
    assert!(result.stdout.contains("/services/1"), "{result:?}");
}

#[test]
fn messages_do_not_contain_api_keys() {
    let folder = TemporaryFolder::new();
    let tenants = json!([{"name": "a", "apiKeys": ["topsecret"]}, {"name": "b", "apiKeys": ["topsecret"]}]);
    let duplicate = first_configuration().with("tenants", tenants);
    let result = run_command(&["check", &folder.file("twice.json", &duplicate.value().to_string())]);
    assert_eq!(result.code, 1, "{result:?}");
    assert!(!result.stdout.contains("topsecret") && !result.stderr.contains("topsecret"), "{result:?}");
}

#[test]
fn failed_commands_exit_with_2_and_one_line() {
    let folder = TemporaryFolder::new();
    let missing = folder.path().join("missing.toml");
    let old = folder.file("old.json", &first_configuration().value().to_string());
    let missing = missing.to_str().unwrap();
    let cases: [&[&str]; 11] = [
        &[],
        &["unknown"],
        &["check"],
        &["check", missing],
        &["check", &old, "more"],
        &["status"],
        &["status", "--control", "somewhere"],
        &["config", "put", &old],
        &["config", "unknown"],
        &["log", "show", missing],
        &["demo", "--seconds", "1"],
    ];
    for arguments in cases {
        let result = run_command(arguments);
        assert_eq!(result.code, 2, "{arguments:?}: {result:?}");
        assert_eq!(result.stderr.lines().count(), 1, "{arguments:?}: {result:?}");
        assert!(result.stderr.starts_with("dunelink-fleet: "), "{arguments:?}: {result:?}");
    }
    assert!(!folder.path().join("missing.toml").exists());
    assert_eq!(run_command(&["--help"]).code, 0);
}

#[test]
fn diff_of_two_files_lists_differing_parts() {
    let folder = TemporaryFolder::new();
    let old = folder.file("old.json", &first_configuration().value().to_string());
    let longer = Route::new(HOST, "/view/", "safe", POOL).with("timeoutMs", json!(9000));
    let changed = first_configuration()
        .version(7)
        .without_route("/view/")
        .without_route("/draft/")
        .route(longer)
        .route(Route::new(HOST, "/new/", "unsafe", "second"))
        .service("second")
        .without_tenant("kaje80")
        .tenant("kaje80", &["hwrr6x73d3zji9n73hh2", "brandnewkey"], 0);
    let new = folder.file("new.json", &changed.value().to_string());
    let result = run_command(&["config", "diff", &old, &new]);
    assert_eq!(result.code, 1, "{result:?}");
    let expected = [
        "version 3 -> 7, 5 differences",
        "- route ficu95.example/draft/",
        "+ route ficu95.example/new/",
        "~ route ficu95.example/view/  timeoutMs: 8000 -> 9000",
        "+ service second",
        "~ tenant kaje80  keys: 1 added, 1 removed",
    ];
    for part in expected {
        assert!(result.stdout.contains(part), "{part} in {}", result.stdout);
    }
    assert!(!result.stdout.contains("brandnewkey"), "{}", result.stdout);
    assert_eq!(run_command(&["config", "diff", &old, &old]).code, 0);
}
