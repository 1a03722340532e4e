//! Valid configurations: every field, every default, and unusual input that is accepted.

use dunelink_settings::{ClientLimits, FleetConfig, QuotaUnit, Route, RouteKind, SplitTarget};

const FULL: &str = include_str!("fixtures/full.json");
const MINIMAL: &str = r#"{"version":1,"routes":[],"services":[]}"#;

fn parse(text: &str) -> FleetConfig {
    FleetConfig::parse(text.as_bytes()).unwrap_or_else(|error| panic!("{error}: {text}"))
}

/// A configuration with one route that has `fields` in addition to its host, prefix and timeout.
fn parse_with_route(fields: &str) -> FleetConfig {
    parse(&format!(
        r#"{{"version":1,"services":[{{"name":"a"}},{{"name":"b"}},{{"name":"c"}}],
            "routes":[{{"host":"h","pathPrefix":"/p/","timeoutMs":100,{fields}}}]}}"#
    ))
}

fn targets(route: &Route) -> Vec<(usize, u32)> {
    route.targets.iter().map(|target| (target.service, target.weight)).collect()
}

#[test]
fn reads_every_field_of_a_route() {
    let config = parse(FULL);
    assert_eq!(config.version, 12);
    let expected = Route {
        name: "chat".into(),
        host: "talk.example".into(),
        path_prefix: "/chat/".into(),
        kind: RouteKind::Streaming,
        timeout_ms: 9000,
        target_latency_ms: 450,
        priority: 0,
        targets: vec![SplitTarget { service: 0, weight: 1 }],
        max_attempts: 3,
        public: false,
        sticky: true,
        resumable: true,
        target_event_gap_ms: Some(550),
    };
    assert_eq!(config.routes[0], expected);
    assert_eq!(targets(&config.routes[1]), [(0, 70), (1, 30)]);
    assert_eq!((config.routes[1].target_event_gap_ms, config.routes[1].public), (None, true));
}

#[test]
fn fills_in_the_defaults_of_a_route() {
    let route = &parse(FULL).routes[2];
    assert_eq!(route.target_latency_ms, route.timeout_ms);
    assert_eq!((route.priority, route.max_attempts), (0, 1));
    assert!(!route.public && !route.sticky && !route.resumable);
    assert_eq!(parse_with_route(r#""service":"a""#).routes[0].name, "h/p/");
}

#[test]
fn reads_services_and_engines() {
    let config = parse(FULL);
    let large = &config.services[0];
    assert_eq!((large.name.as_str(), large.health_path.as_str(), large.max_conns), ("large", "/up", 210));
    let engine = large.engine.as_ref().expect("the service has an engine");
    assert_eq!(
        (engine.slots, engine.kv_tokens, engine.kv_token_bytes, engine.max_tokens_per_event),
        (32, 250_000, 4096, 5)
    );
    assert_eq!(engine.link_mbps, 40_000.5);
    assert_eq!(engine.models, ["first", "second"]);
    let plain = &config.services[1];
    assert_eq!((plain.health_path.as_str(), plain.max_conns), ("/health", 64));
    assert_eq!(plain.engine, None);
}

#[test]
fn reads_limits_and_their_defaults() {
    let limits = parse(FULL).limits;
    assert_eq!((limits.max_header_bytes, limits.max_body_bytes), (8192, 100_000));
    assert_eq!((limits.header_timeout_ms, limits.idle_timeout_ms), (2500, 9000));
    assert_eq!(parse(MINIMAL).limits, ClientLimits::default());
}

#[test]
fn reads_tenants_and_finds_them_by_api_key() {
    let config = parse(FULL);
    let gold = &config.tenants[0];
    assert_eq!((gold.priority, gold.unit, gold.default_request_tokens), (Some(2), QuotaUnit::Tokens, 150));
    assert_eq!((gold.rate_per_s, gold.burst), (1200.5, 4000.0));
    let open = &config.tenants[1];
    assert_eq!((open.priority, open.unit, open.rate_per_s), (None, QuotaUnit::Requests, 0.0));
    assert_eq!(config.tenant_by_key("key-two"), Some(0));
    assert_eq!(config.tenant_by_key("key-three"), Some(1));
    assert_eq!(config.tenant_by_key("key-four"), None);
    assert_eq!(config.tenant_by_key("KEY-TWO"), None);
    assert_eq!(config.tenant_by_key(""), None);
    assert!(config.requires_api_keys() && !parse(MINIMAL).requires_api_keys());
}

#[test]
fn idempotency_follows_kind_and_resumable() {
    let config = parse(FULL);
    let idempotent: Vec<bool> = config.routes.iter().map(Route::is_idempotent).collect();
    assert_eq!(idempotent, [true, false, false, true]);
    let resumable_but_unsafe = parse_with_route(r#""service":"a","kind":"unsafe","resumable":true"#);
    assert!(!resumable_but_unsafe.routes[0].is_idempotent());
}

#[test]
fn unknown_or_missing_kind_is_unsafe() {
    assert_eq!(parse_with_route(r#""service":"a","kind":"other""#).routes[0].kind, RouteKind::Unsafe);
    assert_eq!(parse_with_route(r#""service":"a""#).routes[0].kind, RouteKind::Unsafe);
}

#[test]
fn null_counts_as_missing() {
    let fields = r#""service":"a","trafficSplit":null,"priority":null,"kind":null,"maxAttempts":null"#;
    assert_eq!(targets(&parse_with_route(fields).routes[0]), [(0, 1)]);
    let config = parse(r#"{"version":1,"routes":[],"services":[],"tenants":null,"limits":null}"#);
    assert!(config.tenants.is_empty());
}

#[test]
fn split_takes_precedence_over_service() {
    let both = parse_with_route(r#""service":"c","trafficSplit":[{"service":"b","weight":4}]"#);
    assert_eq!(targets(&both.routes[0]), [(1, 4)]);
    let empty = parse_with_route(r#""service":"c","trafficSplit":[]"#);
    assert_eq!(targets(&empty.routes[0]), [(2, 1)]);
}

#[test]
fn accepts_integers_written_as_floats() {
    let config = parse(r#"{"version":7.0,"routes":[],"services":[{"name":"a","maxConns":1e2}]}"#);
    assert_eq!((config.version, config.services[0].max_conns), (7, 100));
}

#[test]
fn accepts_the_largest_version() {
    let config = parse(r#"{"version":18446744073709551615,"routes":[],"services":[]}"#);
    assert_eq!(config.version, u64::MAX);
}

#[test]
fn rounds_fractions_of_a_millisecond_up() {
    let config = parse(
        r#"{"version":1,"services":[{"name":"a"}],
            "routes":[{"host":"h","pathPrefix":"/","timeoutMs":0.2,"service":"a"}]}"#,
    );
    assert_eq!(config.routes[0].timeout_ms, 1);
}

#[test]
fn accepts_any_field_order_whitespace_and_escapes() {
    let config = parse(
        " {\n\t\"services\" : [ { \"name\" : \"a\\u0062\\\"\" } ] , \"routes\" : [ { \"service\" : \"ab\\\"\" ,
          \"timeoutMs\" : 5 , \"pathPrefix\" : \"\\/x\\/\" , \"h\\u006fst\" : \"H\" } ] , \"version\" : 3 } \r\n",
    );
    assert_eq!(config.services[0].name, "ab\"");
    assert_eq!((config.routes[0].host.as_str(), config.routes[0].path_prefix.as_str()), ("h", "/x/"));
}

#[test]
fn keeps_non_ascii_strings() {
    let config = parse(r#"{"version":1,"routes":[],"services":[{"name":"größe 東\ud83d\ude00"}]}"#);
    assert_eq!(config.services[0].name, "größe 東😀");
}

#[test]
fn routes_may_share_a_host_a_prefix_or_a_name() {
    let config = parse(
        r#"{"version":1,"services":[{"name":"a"}],"routes":[
            {"name":"n","host":"h","pathPrefix":"/p/","timeoutMs":1,"service":"a"},
            {"name":"n","host":"h","pathPrefix":"/p/q/","timeoutMs":1,"service":"a"},
            {"name":"n","host":"g","pathPrefix":"/p/","timeoutMs":1,"service":"a"},
            {"name":"n","host":"h","pathPrefix":"/P/","timeoutMs":1,"service":"a"}]}"#,
    );
    assert_eq!(config.routes.len(), 4);
}

#[test]
fn weight_may_be_zero_or_fractional() {
    let split = r#""trafficSplit":[{"service":"a","weight":0},{"service":"b","weight":2}]"#;
    assert_eq!(targets(&parse_with_route(split).routes[0]), [(0, 0), (1, 2)]);
    let split = r#""trafficSplit":[{"service":"a","weight":0.25},{"service":"b","weight":0.75}]"#;
    assert_eq!(targets(&parse_with_route(split).routes[0]), [(0, 250_000), (1, 750_000)]);
    let split = r#""trafficSplit":[{"service":"a","weight":1e300},{"service":"b","weight":1}]"#;
    assert_eq!(targets(&parse_with_route(split).routes[0]), [(0, 1_000_000), (1, 1)]);
}

#[test]
fn debug_output_hides_api_keys() {
    let shown = format!("{:?}", parse(FULL).tenants);
    assert!(!shown.contains("key-one") && shown.contains("gold"), "{shown}");
}

#[test]
fn chooses_targets_by_weight() {
    let split = r#""trafficSplit":[{"service":"a","weight":1},{"service":"b","weight":0},{"service":"c","weight":3}]"#;
    let config = parse_with_route(split);
    let route = &config.routes[0];
    assert_eq!(route.choose_target(0.0), 0);
    assert_eq!(route.choose_target(0.2499), 0);
    assert_eq!(route.choose_target(0.25), 2);
    assert_eq!(route.choose_target(0.9999), 2);
    let chosen = (0..1000).filter(|step| route.choose_target(f64::from(*step) / 1000.0) == 0).count();
    assert_eq!(chosen, 250);
}

#[test]
fn out_of_range_points_choose_a_target_with_weight() {
    let split = r#""trafficSplit":[{"service":"a","weight":0},{"service":"b","weight":1},{"service":"c","weight":0}]"#;
    let config = parse_with_route(split);
    for point in [-1.0, 1.0, 7.5, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert_eq!(config.routes[0].choose_target(point), 1, "{point}");
    }
}
