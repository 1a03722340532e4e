//! Configurations from TOML and from the platform: parsing, defaults, round trips and error messages.

use std::path::PathBuf;
use std::time::Duration;

use dunelink::config::{Class, Dedup, DedupGroup, Effect, IfAbsent, RosterConfig, Tenant};
use dunelink::{Config, Server, ServerState, Update};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;
use testkit::corpus;

const MINIMAL: &str = "[[classes]]\nname = \"view\"\neffect = \"safe\"\ndeadline = \"2s\"\n";

fn deploy_file(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "..", "..", "deploy", name].iter().collect()
}

#[test]
fn example_file_is_valid_and_complete() {
    let text = std::fs::read_to_string(deploy_file("dunelink.toml")).unwrap();
    let config = Config::from_toml(&text).unwrap();
    assert_eq!(config.classes.len(), 4);
    // Settings that are commented out must be valid too.
    let uncommented: String = text
        .lines()
        .map(|line| match line.strip_prefix("#= ") {
            Some(setting) => format!("{setting}\n"),
            None => format!("{line}\n"),
        })
        .collect();
    let complete = Config::from_toml(&uncommented).unwrap();
    // Every key that a configuration can have must be in the file.
    let written = complete.to_toml().unwrap();
    for line in written.lines() {
        if let Some((key, _)) = line.split_once(" = ") {
            assert!(text.contains(key.trim()), "the example file does not mention {key}");
        }
    }
    assert!(complete.seed.is_some() && complete.limits.server_connections.is_some());
}

#[test]
fn minimal_file_uses_defaults() {
    let config = Config::from_toml(MINIMAL).unwrap();
    assert_eq!(config.limits.body, 65_536);
    assert_eq!((config.intake.id, config.intake.deadline), (IfAbsent::Default, IfAbsent::Default));
    assert_eq!(config.classes[0].aim(), Duration::from_secs(2));
    assert_eq!(config.roster, RosterConfig::Host);
}

#[test]
fn toml_errors_name_line_key_and_expectation() {
    let with_suffix = |suffix: &str| format!("{MINIMAL}{suffix}");
    let cases = [
        ("rank = 1\n".to_string() + MINIMAL, "line 1: rank: unknown field `rank`, expected one of"),
        (
            with_suffix("[limits]\nsokets = 3\n"),
            "line 6: limits.sokets: unknown field `sokets`, expected one of",
        ),
        (
            with_suffix("[limits]\n\nsockets = \"many\"\n"),
            "line 7: limits.sockets: invalid type: string \"many\"",
        ),
        (with_suffix("deadline = \"3s\"\n"), "line 5: duplicate key"),
        (MINIMAL.replace("\"2s\"", "\"2 parsecs\""), "line 4: classes[0].deadline: invalid value"),
        (MINIMAL.replace("\"2s\"", "2"), "line 4: classes[0].deadline: invalid type: integer `2`"),
        (MINIMAL.replace("\"2s\"", "\"0s\""), "line 4: classes[0].deadline: expected a time above 0"),
        (
            MINIMAL.replace("safe", "harmless"),
            "line 3: classes[0].effect: unknown variant `harmless`, expected",
        ),
        (MINIMAL.replace("safe", "keyed"), "line 1: classes[0].dedup: expected { group"),
        (with_suffix(MINIMAL), "line 6: classes[1].name: expected a name that no other class has"),
        (
            with_suffix(&MINIMAL.replace("view", "VIEW")),
            "line 6: classes[1].name: expected a name that no other class has, in whatever case",
        ),
        (MINIMAL.replace("view", "a;b"), "line 2: classes[0].name: expected letters, digits and "),
        (MINIMAL.replace("view", ".."), "line 2: classes[0].name: expected letters, digits and "),
        (
            with_suffix("[fleet]\nnodes = 2\nrank = 2\n"),
            "line 7: fleet.rank: expected a number below fleet.nodes",
        ),
        (
            with_suffix("[fleet]\nzone = \"x\"\n"),
            "line 6: fleet.zone: expected one of the names in fleet.zones",
        ),
        (
            with_suffix("[[tenants]]\nname = \"a\"\nquota_per_s = -1.0\nshare = 1.0\n"),
            "line 7: tenants[0].quota_per_s:",
        ),
        (with_suffix("[[tenants]]\nname = \"a\"\n"), "line 5: tenants[0]: missing field `quota_per_s`"),
        (with_suffix("[roster]\nfrom = \"watch\"\n"), "line 5: roster: missing field `address`"),
        (
            with_suffix("[roster]\nfrom = \"stars\"\n"),
            "line 6: roster.from: unknown variant `stars`, expected one of",
        ),
        (with_suffix("[attempts]\nmost = 0\n"), "line 6: attempts.most: expected at least 1"),
        (
            "seed = \"xyz\"\n".to_string() + MINIMAL,
            "line 1: seed: invalid value: string \"xyz\", expected up to 16",
        ),
        ("name = \"x\n".to_string() + MINIMAL, "line 1: "),
        (String::new(), "classes: expected at least one [[classes]] entry"),
    ];
    for (text, expected) in cases {
        let error = Config::from_toml(&text).unwrap_err().to_string();
        assert!(error.starts_with(expected), "\n{text}\nfails with: {error}\nexpected:   {expected}");
        assert_eq!(error.lines().count(), 1, "{error}");
    }
}

#[test]
fn graphql_rules_reject_unsafe_class_mappings() {
    let minimal = r#"
[[classes]]
name = "read"
effect = "safe"
deadline = "2s"
[[classes]]
name = "submit"
effect = "keyed"
deadline = "2s"
dedup = { group = "all", window = "2s" }
[[classes]]
name = "pay"
effect = "unsafe"
deadline = "2s"
[graphql]
path = "/api/graphql"
query = "read"
mutation = "pay"
"#;
    assert!(Config::from_toml(minimal).is_ok());
    let with_operation = |kind: &str, class: &str, suffix: &str| {
        format!("{minimal}[[graphql.operations]]\ntype = \"{kind}\"\nclass = \"{class}\"\n{suffix}")
    };
    assert!(Config::from_toml(&with_operation("mutation", "submit", "fields = [\"submit\"]\n")).is_ok());
    for (text, expected) in [
        (
            minimal.replace("query = \"read\"", "query = \"pay\""),
            "line 17: graphql.query: expected a class whose",
        ),
        (
            minimal.replace("mutation = \"pay\"", "mutation = \"submit\""),
            "line 18: graphql.mutation: expected a class",
        ),
        (
            minimal.replace("query = \"read\"", "query = \"reed\""),
            "line 17: graphql.query: expected the name of one",
        ),
        (
            minimal.replace("/api/graphql", "/Pay/graphql"),
            "line 16: graphql.path: expected a path that does not begin",
        ),
        (
            minimal.replace("/api/graphql", "/_health"),
            "line 16: graphql.path: expected a path that does not begin",
        ),
        (minimal.replace("/api/graphql", "graphql"), "line 16: graphql.path: expected a path such as"),
        (minimal.replace("/api/graphql", "/api/../x"), "line 16: graphql.path: expected a path such as"),
        (
            with_operation("mutation", "submit", ""),
            "line 19: graphql.operations[0].fields: expected the root fields",
        ),
        (
            with_operation("mutation", "read", "fields = [\"a\"]\n"),
            "line 21: graphql.operations[0].class: expected a class",
        ),
        (
            with_operation("query", "submit", ""),
            "line 21: graphql.operations[0].class: expected a class whose",
        ),
        (with_operation("subscription", "read", ""), "line 20: graphql.operations[0].type: unknown variant"),
        (
            minimal.to_string() + "parameters = [\"Query\"]\n",
            "line 19: graphql.parameters[0]: expected letters",
        ),
        (
            minimal.to_string() + "[graphql.limits]\ndepth = 65\n",
            "line 20: graphql.limits.depth: expected at most 64",
        ),
    ] {
        let error = Config::from_toml(&text).unwrap_err().to_string();
        assert!(error.starts_with(expected), "\n{text}\nfails with: {error}\nexpected:   {expected}");
    }
}

#[test]
fn errors_name_the_file() {
    let path = std::env::temp_dir().join(format!("dunelink-config-{}.toml", std::process::id()));
    let missing = Config::read_toml(&path).unwrap_err().to_string();
    assert!(missing.starts_with(&format!("{}: can't be read: ", path.display())), "{missing}");
    std::fs::write(&path, format!("{MINIMAL}x = 1\n")).unwrap();
    let invalid = Config::read_toml(&path).unwrap_err().to_string();
    std::fs::remove_file(&path).unwrap();
    assert!(
        invalid.starts_with(&format!("{}:5: classes[0].x: unknown field `x`", path.display())),
        "{invalid}"
    );
}

fn platform_json() -> serde_json::Value {
    testkit::peers::config(([127, 0, 0, 1], 8500).into(), &[], 1024)
}

#[test]
fn platform_file_maps_to_config() {
    let target = testkit::peers::target("s-1", ([127, 0, 0, 1], 9001).into(), 3, "draining");
    let mut json = testkit::peers::config(([127, 0, 0, 1], 8500).into(), &[target], 777);
    json["settings"]["prices"] = json!({"wholly": "unknown"});
    json["news"] = json!([1, 2]);
    let config = Config::from_platform(&json.to_string()).unwrap();
    assert_eq!((config.name.as_str(), config.seed), ("n0", Some(0x8c1f_30d2_7a5b_e964)));
    assert_eq!((config.limits.sockets, config.limits.connections()), (777, 753));
    assert_eq!(config.intake.id, IfAbsent::Refuse);
    assert_eq!(config.attempts.retry_after, Duration::from_secs(2));
    assert_eq!(config.fleet.zone, "sapporo-a");
    let address = ([127, 0, 0, 1], 8500).into();
    assert_eq!(config.roster, RosterConfig::Watch { address, ask_every: None });
    let dedup = Dedup { group: DedupGroup::Cell, window: Duration::from_secs(10) };
    assert_eq!((config.classes[1].effect, config.classes[1].dedup), (Effect::Keyed, Some(dedup)));
    assert_eq!((config.known.rev, config.known.whole), (41, true));
    let server = &config.known.servers[0];
    assert_eq!((&*server.uid, server.cell, server.state), ("s-1", 3, ServerState::Draining));
    // An operator can start from the TOML form of the platform's configuration.
    assert_eq!(Config::from_toml(&config.to_toml().unwrap()).unwrap(), config);
}

#[test]
fn platform_errors_name_line_and_key() {
    let changed = |change: &dyn Fn(&mut serde_json::Value)| {
        let mut json = platform_json();
        change(&mut json);
        serde_json::to_string_pretty(&json).unwrap()
    };
    let line_number = |text: &str, occurrence: usize, needle: &str| {
        text.lines().enumerate().filter(|(_, line)| line.contains(needle)).nth(occurrence).unwrap().0 + 1
    };
    let zero = changed(&|json| json["settings"]["services"][1]["deadline_us"] = 0.into());
    let cases = [
        (
            zero.clone(),
            format!(
                "line {}: settings.services[1].deadline_us: expected a time",
                line_number(&zero, 1, "\"deadline_us\"")
            ),
        ),
        (
            changed(&|json| json["settings"]["rank"] = 9.into()),
            "settings.rank: expected a number below".into(),
        ),
        (changed(&|json| json["listen"] = "here".into()), "listen: invalid".into()),
        (changed(&|json| json["control"] = "there".into()), "control: invalid".into()),
        (
            changed(&|json| json["settings"]["allowed"]["cancelling"] = 2.into()),
            "settings.allowed.cancelling: invalid value: integer `2`, expected true, false, 1 or 0".into(),
        ),
        (
            changed(&|json| json["settings"]["services"][0]["idempotency"] = "pur".into()),
            "settings.services[0].idempotency: unknown variant `pur`, expected one of".into(),
        ),
        (
            changed(&|json| drop(json.as_object_mut().unwrap().remove("settings"))),
            "missing field `settings`".into(),
        ),
        (platform_json().to_string() + "x", "line 1: expected nothing behind the object".into()),
        ("{".into(), "line 1: EOF".into()),
    ];
    for (text, expected) in cases {
        let error = Config::from_platform(&text).unwrap_err().to_string();
        assert!(error.contains(&expected), "{error}\nexpected: {expected}");
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(error.starts_with("line "), "{error}");
    }
}

#[test]
fn fuzz_corpora_parse_without_panic() {
    let mut valid_counts = [0; 3];
    for text in corpus("config_toml") {
        if let Ok(config) = Config::from_toml(&String::from_utf8_lossy(&text)) {
            assert_eq!(Config::from_toml(&config.to_toml().unwrap()).unwrap(), config);
            valid_counts[0] += 1;
        }
    }
    for text in corpus("config_platform") {
        if let Ok(config) = Config::from_platform(&String::from_utf8_lossy(&text)) {
            config.settings().check().unwrap();
            valid_counts[1] += 1;
        }
    }
    for line in corpus("watch_line") {
        if let Ok(update) = Update::from_watch_line(&line) {
            assert!(update.servers.iter().all(|server| server.weight >= 0.0));
            valid_counts[2] += 1;
        }
    }
    assert!(
        valid_counts.iter().all(|count| *count > 0),
        "every corpus must contain a valid input: {valid_counts:?}"
    );
}

fn duration() -> impl Strategy<Value = Duration> {
    (1..4_000_000_000_u64).prop_map(Duration::from_micros)
}

fn number() -> impl Strategy<Value = f64> {
    prop_oneof![Just(0.0), 0.0..1000.0, Just(1e-9), Just(1e12)]
}

/// The name of a class, which is one segment of a path.
fn class_name() -> impl Strategy<Value = String> {
    "[A-Za-z0-9._~!$&'()*,=:@-]{0,12}[a-z]"
}

fn name() -> impl Strategy<Value = String> {
    "[a-z\\\\\"'# é\n=.]{1,8}"
}

fn class() -> impl Strategy<Value = Class> {
    let dedup =
        (prop_oneof![Just(DedupGroup::All), Just(DedupGroup::Zone), Just(DedupGroup::Cell)], duration());
    let effect = prop_oneof![
        Just((Effect::Safe, None)),
        Just((Effect::Unsafe, None)),
        dedup.prop_map(|(group, window)| (Effect::Keyed, Some(Dedup { group, window }))),
    ];
    (class_name(), effect, duration(), prop::option::of(duration()), number(), number(), number()).prop_map(
        |(name, (effect, dedup), deadline, aim, aim_stretch, worth, late_worth)| Class {
            name,
            effect,
            dedup,
            deadline,
            aim,
            aim_stretch,
            worth,
            late_worth,
        },
    )
}

fn server() -> impl Strategy<Value = Server> {
    let state = prop_oneof![Just(ServerState::Ready), Just(ServerState::Draining), Just(ServerState::Gone)];
    (name(), any::<[u8; 4]>(), any::<u16>(), state, name(), any::<u16>(), number(), 0..1_u64 << 60).prop_map(
        |(uid, ip, port, state, zone, cell, weight, started_ms)| Server {
            state,
            zone,
            cell,
            weight,
            started_ms,
            ..Server::new(uid, (ip, port).into())
        },
    )
}

fn config() -> impl Strategy<Value = Config> {
    let unique = |classes: Vec<Class>| {
        let name = |(i, class): (usize, Class)| Class { name: format!("{i}{}", class.name), ..class };
        classes.into_iter().enumerate().map(name).collect::<Vec<_>>()
    };
    let known = (any::<u32>(), any::<bool>(), prop::collection::vec(server(), 0..3))
        .prop_map(|(rev, whole, servers)| Update { rev: rev.into(), whole, servers });
    let tenants = prop::collection::vec((number(), 0.0..1.0), 0..4).prop_map(|list| {
        let tenant = |(i, (quota_per_s, share))| Tenant { name: format!("t-{i}"), quota_per_s, share };
        list.into_iter().enumerate().map(tenant).collect::<Vec<_>>()
    });
    let roster = prop_oneof![
        Just(RosterConfig::Host),
        duration().prop_map(|every| RosterConfig::File { path: "a b/c.toml".into(), every }),
        prop::option::of(duration())
            .prop_map(|ask_every| RosterConfig::Watch { address: ([127, 0, 0, 1], 8500).into(), ask_every }),
        server().prop_map(|server| RosterConfig::Fixed { servers: vec![server] }),
    ];
    let classes = prop::collection::vec(class(), 1..5).prop_map(unique);
    (name(), any::<Option<u64>>(), classes, known, tenants, roster, duration(), 1..9_u32, any::<bool>())
        .prop_map(|(name, seed, classes, known, tenants, roster, time, nodes, cancel)| {
            let mut config = Config { name, seed, classes, known, tenants, roster, ..Config::default() };
            (config.fleet.nodes, config.fleet.rank) = (nodes, nodes - 1);
            (config.fleet.zones, config.fleet.zone) = (vec!["a".into(), "b".into()], "b".into());
            (config.fleet.connect_timeout, config.attempts.retry_after) = (time, time);
            config.attempts.cancel = cancel;
            config
        })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn toml_round_trips(config in config()) {
        let text = config.to_toml().unwrap();
        prop_assert_eq!(Config::from_toml(&text).expect(&text), config);
    }

    #[test]
    fn any_text_never_panics(text in "\\PC{0,200}", at in any::<prop::sample::Index>(), byte in any::<char>()) {
        let _ = Config::from_toml(&text);
        let _ = Config::from_platform(&text);
        // Neither does a valid text with one changed character.
        for (valid, from_platform) in [(MINIMAL.to_string(), false), (platform_json().to_string(), true)] {
            let mut chars: Vec<char> = valid.chars().collect();
            let at = at.index(chars.len());
            chars[at] = byte;
            let text: String = chars.into_iter().collect();
            let read = if from_platform { Config::from_platform(&text) } else { Config::from_toml(&text) };
            if let Err(error) = read {
                prop_assert_eq!(error.to_string().lines().count(), 1);
            }
        }
    }
}
