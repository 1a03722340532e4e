//! The route of a request: fixed cases, and comparison with a linear search through all routes.

use bolero::check;
use dunelink_settings::{FleetConfig, Route};

const FULL: &str = include_str!("fixtures/full.json");

fn route_name<'a>(config: &'a FleetConfig, host: &str, path: &str) -> Option<&'a str> {
    config.route(host, path).map(|route| route.name.as_str())
}

#[test]
fn finds_the_longest_prefix_of_the_host() {
    let config = FleetConfig::parse(FULL.as_bytes()).expect("valid");
    assert_eq!(route_name(&config, "talk.example", "/chat/1"), Some("chat"));
    assert_eq!(route_name(&config, "talk.example", "/chat/"), Some("chat"));
    assert_eq!(route_name(&config, "talk.example", "/chat/draft/1"), Some("draft"));
    assert_eq!(route_name(&config, "talk.example", "/chat/draft"), Some("chat"));
    assert_eq!(route_name(&config, "talk.example", "/chat/drafts/1"), Some("chat"));
    assert_eq!(route_name(&config, "look.example", "/anything/at/all"), Some("look"));
}

#[test]
fn finds_no_route_for_other_paths_and_hosts() {
    let config = FleetConfig::parse(FULL.as_bytes()).expect("valid");
    for (host, path) in [
        ("talk.example", "/chat"),
        ("talk.example", "/"),
        ("talk.example", ""),
        ("talk.example", "/CHAT/1"),
        ("talk.example", "chat/1"),
        ("other.example", "/chat/1"),
        ("look.example", "*"),
        ("", "/chat/1"),
        ("talk.example", "/x?a=/chat/"),
    ] {
        assert_eq!(route_name(&config, host, path), None, "{host} {path}");
    }
}

#[test]
fn ignores_case_and_port_of_the_host_and_the_query() {
    let config = FleetConfig::parse(FULL.as_bytes()).expect("valid");
    assert_eq!(route_name(&config, "TALK.example:8080", "/chat/1"), Some("chat"));
    assert_eq!(route_name(&config, "talk.example:", "/chat/1"), Some("chat"));
    assert_eq!(route_name(&config, "talk.example", "/chat/?next=/chat/draft/"), Some("chat"));
}

#[test]
fn keeps_the_colons_of_an_ipv6_address() {
    let text = r#"{"version":1,"services":[{"name":"a"}],
        "routes":[{"host":"[2001:db8::1]","pathPrefix":"/","timeoutMs":1,"service":"a"}]}"#;
    let config = FleetConfig::parse(text.as_bytes()).expect("valid");
    assert!(config.route("[2001:DB8::1]:80", "/").is_some());
    assert!(config.route("[2001:db8::1]", "/").is_some());
}

#[test]
fn finds_each_of_thousands_of_routes() {
    let routes: Vec<String> = (0..5_000).map(numbered_route_json).collect();
    let text = format!(r#"{{"version":1,"services":[{{"name":"a"}}],"routes":[{}]}}"#, routes.join(","));
    let config = FleetConfig::parse(text.as_bytes()).expect("valid");
    for number in 0..5_000 {
        let found = config.route(&format!("h{}.example", number % 7), &format!("/r{number}/x"));
        assert_eq!(found.map(|route| route.name.as_str()), Some(format!("n{number}").as_str()));
    }
}

fn numbered_route_json(number: u32) -> String {
    let host = number % 7;
    format!(
        r#"{{"name":"n{number}","host":"h{host}.example","pathPrefix":"/r{number}/","timeoutMs":1,"service":"a"}}"#
    )
}

/// Reference implementation: checks all routes one by one.
fn linear_search<'a>(config: &'a FleetConfig, host: &str, path: &str) -> Option<&'a Route> {
    let matches_request =
        |route: &&Route| route.host == host.to_ascii_lowercase() && path.starts_with(&route.path_prefix);
    config.routes.iter().filter(matches_request).max_by_key(|route| route.path_prefix.len())
}

/// A path of the letters `a` and `b` and slashes; each element of `bits` selects one step.
fn path_of(bits: &[u8], end: &str) -> String {
    let steps: String = bits.iter().map(|step| ["a", "b", "/", "a/"][usize::from(step % 4)]).collect();
    format!("/{steps}{end}")
}

fn host_of(number: u8) -> &'static str {
    ["x.example", "Y.example", "z"][usize::from(number % 3)]
}

#[test]
fn index_matches_linear_search() {
    type Locations = Vec<(u8, Vec<u8>)>;
    check!().with_type::<(Locations, Locations)>().for_each(|(locations, requests)| {
        let mut seen = std::collections::BTreeSet::new();
        let locations = locations.iter().map(|(host, bits)| (host_of(*host), path_of(bits, "/")));
        let locations: Vec<_> = locations.filter(|location| seen.insert(location.clone())).collect();
        let routes: Vec<String> = locations.iter().map(|(host, prefix)| route_json(host, prefix)).collect();
        let text = format!(r#"{{"version":1,"services":[{{"name":"a"}}],"routes":[{}]}}"#, routes.join(","));
        let config = FleetConfig::parse(text.as_bytes()).expect("valid");
        for (host, bits) in requests {
            let path = path_of(bits, "");
            assert_eq!(
                config.route(host_of(*host), &path),
                linear_search(&config, host_of(*host), &path),
                "{path}"
            );
        }
        for (host, prefix) in &locations {
            assert_eq!(config.route(host, prefix).map(|route| &route.path_prefix), Some(prefix));
        }
    });
}

fn route_json(host: &str, prefix: &str) -> String {
    format!(r#"{{"host":"{host}","pathPrefix":"{prefix}","timeoutMs":1,"service":"a"}}"#)
}
