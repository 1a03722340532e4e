//! Configurations: what people write, what the platform writes, and what is said about mistakes in either.

use std::path::PathBuf;
use std::time::Duration;

use dunelink::config::{Class, Dedup, DedupGroup, Effect, IfAbsent, RosterConfig, Tenant};
use dunelink::{Config, Server, ServerState, Update};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;
use testkit::corpus;

const LEAST: &str = "[[classes]]\nname = \"view\"\neffect = \"safe\"\ndeadline = \"2s\"\n";

fn deploy(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "..", "..", "deploy", name].iter().collect()
}

#[test]
fn the_example_file_can_be_used_and_says_all_there_is() {
    let text = std::fs::read_to_string(deploy("dunelink.toml")).unwrap();
    let config = Config::from_toml(&text).unwrap();
    assert_eq!(config.classes.len(), 4);
    // What it only mentions can be used too.
    let switched_on: String = text
        .lines()
        .map(|line| match line.strip_prefix("#= ") {
            Some(setting) => format!("{setting}\n"),
            None => format!("{line}\n"),
        })
        .collect();
    let whole = Config::from_toml(&switched_on).unwrap();
    // Every key that a configuration can have is in it.
    let written = whole.to_toml().unwrap();
    for line in written.lines() {
        if let Some((key, _)) = line.split_once(" = ") {
            assert!(text.contains(key.trim()), "the example does not mention {key}");
        }
    }
    assert!(whole.seed.is_some() && whole.limits.server_connections.is_some());
}

#[test]
fn a_small_file_has_defaults_for_all_else() {
    let config = Config::from_toml(LEAST).unwrap();
    assert_eq!(config.limits.body, 65_536);
    assert_eq!((config.intake.id, config.intake.deadline), (IfAbsent::Default, IfAbsent::Default));
    assert_eq!(config.classes[0].aim(), Duration::from_secs(2));
    assert_eq!(config.roster, RosterConfig::Host);
}

#[test]
fn mistakes_in_a_file_name_line_key_and_what_was_expected() {
    let with = |more: &str| format!("{LEAST}{more}");
    let cases = [
        ("rank = 1\n".to_string() + LEAST, "line 1: rank: unknown field `rank`, expected one of"),
        (with("[limits]\nsokets = 3\n"), "line 6: limits.sokets: unknown field `sokets`, expected one of"),
        (with("[limits]\n\nsockets = \"many\"\n"), "line 7: limits.sockets: invalid type: string \"many\""),
        (with("deadline = \"3s\"\n"), "line 5: duplicate key"),
        (LEAST.replace("\"2s\"", "\"2 parsecs\""), "line 4: classes[0].deadline: invalid value"),
        (LEAST.replace("\"2s\"", "2"), "line 4: classes[0].deadline: invalid type: integer `2`"),
        (LEAST.replace("\"2s\"", "\"0s\""), "line 4: classes[0].deadline: expected a time above 0"),
        (
            LEAST.replace("safe", "harmless"),
            "line 3: classes[0].effect: unknown variant `harmless`, expected",
        ),
        (LEAST.replace("safe", "keyed"), "line 1: classes[0].dedup: expected { group"),
        (with(LEAST), "line 6: classes[1].name: expected a name that no other class has"),
        (
            with(&LEAST.replace("view", "VIEW")),
            "line 6: classes[1].name: expected a name that no other class has, in whatever case",
        ),
        (LEAST.replace("view", "a;b"), "line 2: classes[0].name: expected letters, digits and "),
        (LEAST.replace("view", ".."), "line 2: classes[0].name: expected letters, digits and "),
        (with("[fleet]\nnodes = 2\nrank = 2\n"), "line 7: fleet.rank: expected a number below fleet.nodes"),
        (with("[fleet]\nzone = \"x\"\n"), "line 6: fleet.zone: expected one of the names in fleet.zones"),
        (
            with("[[tenants]]\nname = \"a\"\nquota_per_s = -1.0\nshare = 1.0\n"),
            "line 7: tenants[0].quota_per_s:",
        ),
        (with("[[tenants]]\nname = \"a\"\n"), "line 5: tenants[0]: missing field `quota_per_s`"),
        (with("[roster]\nfrom = \"watch\"\n"), "line 5: roster: missing field `address`"),
        (
            with("[roster]\nfrom = \"stars\"\n"),
            "line 6: roster.from: unknown variant `stars`, expected one of",
        ),
        (with("[attempts]\nmost = 0\n"), "line 6: attempts.most: expected at least 1"),
        (
            "seed = \"xyz\"\n".to_string() + LEAST,
            "line 1: seed: invalid value: string \"xyz\", expected up to 16",
        ),
        ("name = \"x\n".to_string() + LEAST, "line 1: "),
        (String::new(), "classes: expected at least one [[classes]] entry"),
    ];
    for (text, expected) in cases {
        let error = Config::from_toml(&text).unwrap_err().to_string();
        assert!(error.starts_with(expected), "\n{text}\nsays: {error}\nnot:  {expected}");
        assert_eq!(error.lines().count(), 1, "{error}");
    }
}

#[test]
fn a_graphql_endpoint_makes_light_of_no_effect() {
    let least = r#"
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
    assert!(Config::from_toml(least).is_ok());
    let line = |kind: &str, class: &str, more: &str| {
        format!("{least}[[graphql.operations]]\ntype = \"{kind}\"\nclass = \"{class}\"\n{more}")
    };
    assert!(Config::from_toml(&line("mutation", "submit", "fields = [\"submit\"]\n")).is_ok());
    for (text, expected) in [
        (
            least.replace("query = \"read\"", "query = \"pay\""),
            "line 17: graphql.query: expected a class whose",
        ),
        (
            least.replace("mutation = \"pay\"", "mutation = \"submit\""),
            "line 18: graphql.mutation: expected a class",
        ),
        (
            least.replace("query = \"read\"", "query = \"reed\""),
            "line 17: graphql.query: expected the name of one",
        ),
        (
            least.replace("/api/graphql", "/Pay/graphql"),
            "line 16: graphql.path: expected a path that does not begin",
        ),
        (
            least.replace("/api/graphql", "/_health"),
            "line 16: graphql.path: expected a path that does not begin",
        ),
        (least.replace("/api/graphql", "graphql"), "line 16: graphql.path: expected a path such as"),
        (least.replace("/api/graphql", "/api/../x"), "line 16: graphql.path: expected a path such as"),
        (line("mutation", "submit", ""), "line 19: graphql.operations[0].fields: expected the root fields"),
        (
            line("mutation", "read", "fields = [\"a\"]\n"),
            "line 21: graphql.operations[0].class: expected a class",
        ),
        (line("query", "submit", ""), "line 21: graphql.operations[0].class: expected a class whose"),
        (line("subscription", "read", ""), "line 20: graphql.operations[0].type: unknown variant"),
        (
            least.to_string() + "parameters = [\"Query\"]\n",
            "line 19: graphql.parameters[0]: expected letters",
        ),
        (
            least.to_string() + "[graphql.limits]\ndepth = 65\n",
            "line 20: graphql.limits.depth: expected at most 64",
        ),
    ] {
        let error = Config::from_toml(&text).unwrap_err().to_string();
        assert!(error.starts_with(expected), "\n{text}\nsays: {error}\nnot:  {expected}");
    }
}

#[test]
fn mistakes_name_their_file() {
    let path = std::env::temp_dir().join(format!("dunelink-config-{}.toml", std::process::id()));
    let missing = Config::read_toml(&path).unwrap_err().to_string();
    assert!(missing.starts_with(&format!("{}: can't be read: ", path.display())), "{missing}");
    std::fs::write(&path, format!("{LEAST}x = 1\n")).unwrap();
    let wrong = Config::read_toml(&path).unwrap_err().to_string();
    std::fs::remove_file(&path).unwrap();
    assert!(wrong.starts_with(&format!("{}:5: classes[0].x: unknown field `x`", path.display())), "{wrong}");
}

fn platform() -> serde_json::Value {
    testkit::peers::config(([127, 0, 0, 1], 8500).into(), &[], 1024)
}

#[test]
fn the_platforms_file_maps_onto_the_same_type() {
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
    // And back: an operator can start from what the platform wrote.
    assert_eq!(Config::from_toml(&config.to_toml().unwrap()).unwrap(), config);
}

#[test]
fn mistakes_in_the_platforms_file_name_line_and_key_too() {
    let text = |change: &dyn Fn(&mut serde_json::Value)| {
        let mut json = platform();
        change(&mut json);
        serde_json::to_string_pretty(&json).unwrap()
    };
    let line_of = |text: &str, nth: usize, what: &str| {
        text.lines().enumerate().filter(|(_, line)| line.contains(what)).nth(nth).unwrap().0 + 1
    };
    let zero = text(&|json| json["settings"]["services"][1]["deadline_us"] = 0.into());
    let cases = [
        (
            zero.clone(),
            format!(
                "line {}: settings.services[1].deadline_us: expected a time",
                line_of(&zero, 1, "\"deadline_us\"")
            ),
        ),
        (text(&|json| json["settings"]["rank"] = 9.into()), "settings.rank: expected a number below".into()),
        (text(&|json| json["listen"] = "here".into()), "listen: invalid".into()),
        (text(&|json| json["control"] = "there".into()), "control: invalid".into()),
        (
            text(&|json| json["settings"]["allowed"]["cancelling"] = 2.into()),
            "settings.allowed.cancelling: invalid value: integer `2`, expected true, false, 1 or 0".into(),
        ),
        (
            text(&|json| json["settings"]["services"][0]["idempotency"] = "pur".into()),
            "settings.services[0].idempotency: unknown variant `pur`, expected one of".into(),
        ),
        (
            text(&|json| drop(json.as_object_mut().unwrap().remove("settings"))),
            "missing field `settings`".into(),
        ),
        (platform().to_string() + "x", "line 1: expected nothing behind the object".into()),
        ("{".into(), "line 1: EOF".into()),
    ];
    for (text, expected) in cases {
        let error = Config::from_platform(&text).unwrap_err().to_string();
        assert!(error.contains(&expected), "{error}\nnot: {expected}");
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(error.starts_with("line "), "{error}");
    }
}

#[test]
fn what_fuzzing_met_does_no_harm() {
    let mut good = [0; 3];
    for text in corpus("config_toml") {
        if let Ok(config) = Config::from_toml(&String::from_utf8_lossy(&text)) {
            assert_eq!(Config::from_toml(&config.to_toml().unwrap()).unwrap(), config);
            good[0] += 1;
        }
    }
    for text in corpus("config_platform") {
        if let Ok(config) = Config::from_platform(&String::from_utf8_lossy(&text)) {
            config.settings().check().unwrap();
            good[1] += 1;
        }
    }
    for line in corpus("watch_line") {
        if let Ok(update) = Update::from_watch_line(&line) {
            assert!(update.servers.iter().all(|server| server.weight >= 0.0));
            good[2] += 1;
        }
    }
    assert!(good.iter().all(|count| *count > 0), "each corpus has something that can be used: {good:?}");
}

fn duration() -> impl Strategy<Value = Duration> {
    (1..4_000_000_000_u64).prop_map(Duration::from_micros)
}

fn number() -> impl Strategy<Value = f64> {
    prop_oneof![Just(0.0), 0.0..1000.0, Just(1e-9), Just(1e12)]
}

/// The name of a class, which is one part of a path.
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
    fn whatever_is_written_is_read_back(config in config()) {
        let text = config.to_toml().unwrap();
        prop_assert_eq!(Config::from_toml(&text).expect(&text), config);
    }

    #[test]
    fn no_text_does_harm(text in "\\PC{0,200}", at in any::<prop::sample::Index>(), byte in any::<char>()) {
        let _ = Config::from_toml(&text);
        let _ = Config::from_platform(&text);
        // Nor does a good one with a mistake somewhere.
        for (good, platform) in [(LEAST.to_string(), false), (platform().to_string(), true)] {
            let mut chars: Vec<char> = good.chars().collect();
            let at = at.index(chars.len());
            chars[at] = byte;
            let text: String = chars.into_iter().collect();
            let read = if platform { Config::from_platform(&text) } else { Config::from_toml(&text) };
            if let Err(error) = read {
                prop_assert_eq!(error.to_string().lines().count(), 1);
            }
        }
    }
}
