//! The platform provides settings in two forms: as nested JSON to a real node, and as lines to a simulated
//! one. Both must have the same result.

use cherryusher::Settings;
use cherryusher_drill::wire::parse_settings;
use serde_json::{Value, json};

/// Writes nested settings as the `path=value` lines of the simulator's protocol.
fn write_lines(value: &Value, path: &str, out: &mut String) {
    let child = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(key, v)| write_lines(v, &child(key), out)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            out.push_str(&format!("{}={}\n", child("count"), items.len()));
            items.iter().enumerate().for_each(|(i, v)| write_lines(v, &child(&i.to_string()), out));
        }
        Value::Array(items) => {
            let names: Vec<&str> = items.iter().filter_map(Value::as_str).collect();
            out.push_str(&format!("{path}={}\n", names.join(",")));
        }
        Value::String(text) => out.push_str(&format!("{path}={text}\n")),
        Value::Null => {}
        other => out.push_str(&format!("{path}={other}\n")),
    }
}

/// The settings of the decision module, parsed from each of the two forms.
fn parse_both(settings: &Value) -> (Settings, Settings) {
    let mut text = String::new();
    write_lines(settings, "", &mut text);
    let mut config = testkit::peers::config(([127, 0, 0, 1], 1).into(), &[], 1024);
    config["settings"] = settings.clone();
    let config = dunelink::Config::from_platform(&config.to_string()).unwrap();
    (parse_settings(text.as_bytes()).unwrap(), config.settings())
}

#[test]
fn full_settings_are_equal_in_both_forms() {
    let (simulated, real) = parse_both(&testkit::peers::settings());
    assert_eq!(simulated, real);
}

#[test]
fn other_variants_are_equal_in_both_forms() {
    let settings = json!({"balancers": 7, "rank": 3, "zone": 2, "zones": ["a", "b"], "skus": "one",
        "discovery": "subscribe", "weights": "live", "step_us": 2500.5,
        "allowed": {"max_attempts": 4, "cancelling": 1, "second_copies": 0, "retry_after": false,
            "max_retry_after_us": 9},
        "obligations": {"ask_every_us": 3_000_000, "cold_from": 0.25},
        "domain": {"warm_keys": true}, "prices": {"cross_zone": 0.25}, "over_share_worth": 0.5,
        "services": [
            {"name": "a", "idempotency": "token", "dedup_scope": "zone", "window_us": 5},
            {"name": "b", "idempotency": "token", "dedup_scope": "all", "deadline_us": 7000, "aim_stretch": 2.0},
            {"name": "c"}]});
    let (simulated, real) = parse_both(&settings);
    assert_eq!(simulated, real);
}

#[test]
fn defaults_are_equal_in_both_forms() {
    let (simulated, real) = parse_both(&json!({"services": [{"name": "a", "idempotency": "pure"}]}));
    assert_eq!(simulated, real);
}
