//! Invalid configurations, and the location that the error reports.

use dunelink_settings::{ConfigError, FleetConfig};

const FULL: &str = include_str!("fixtures/full.json");

fn parse_error(bytes: &[u8]) -> ConfigError {
    match FleetConfig::parse(bytes) {
        Err(error) => error,
        Ok(_) => panic!("accepted: {}", String::from_utf8_lossy(bytes)),
    }
}

/// The full example with the only occurrence of `from` replaced by `to`.
fn replaced(from: &str, to: &str) -> String {
    assert_eq!(FULL.matches(from).count(), 1, "{from}");
    FULL.replace(from, to)
}

fn parse_error_after(from: &str, to: &str) -> ConfigError {
    parse_error(replaced(from, to).as_bytes())
}

#[test]
fn rejects_a_document_truncated_at_any_byte() {
    let document = FULL.trim_end();
    for length in 0..document.len() {
        let error = parse_error(&document.as_bytes()[..length]);
        assert!(matches!(error, ConfigError::InvalidJson { .. }), "{length}: {error}");
        assert_eq!(error.pointer(), "");
    }
}

#[test]
fn rejects_bytes_after_the_document() {
    for rest in ["}", "x", "{}", ",", "\0", "\u{feff}"] {
        let error = parse_error(format!("{FULL}{rest}").as_bytes());
        assert!(matches!(error, ConfigError::InvalidJson { .. }), "{rest:?}: {error}");
    }
}

#[test]
fn rejects_invalid_utf8() {
    let broken = replaced("\"gold\"", "\"go\u{1}ld\"").replace('\u{1}', "X");
    let mut bytes = broken.into_bytes();
    let at = bytes.iter().position(|byte| *byte == b'X').expect("inserted above");
    bytes[at] = 0xff;
    assert!(matches!(parse_error(&bytes), ConfigError::InvalidJson { .. }));
}

#[test]
fn rejects_documents_that_are_not_objects() {
    for text in ["[]", "7", "\"text\"", "true"] {
        assert!(matches!(parse_error(text.as_bytes()), ConfigError::InvalidValue { .. }), "{text}");
    }
}

#[test]
fn rejects_deep_nesting() {
    for open in ["[", "{\"a\":"] {
        let error = parse_error(open.repeat(200_000).as_bytes());
        assert!(matches!(error, ConfigError::TooDeep { .. }), "{error}");
    }
}

#[test]
fn ignores_brackets_inside_strings() {
    let name = format!("\\\"{}", "[{".repeat(100));
    FleetConfig::parse(replaced("\"gold\"", &format!("\"{name}\"")).as_bytes()).expect("valid");
}

#[test]
fn rejects_an_unknown_service() {
    let error = parse_error_after(
        "\"service\": \"large\", \"maxAttempts\"",
        "\"service\": \"none\", \"maxAttempts\"",
    );
    let expected =
        ConfigError::UnknownService { pointer: "/routes/0/service".into(), service: "none".into() };
    assert_eq!(error, expected);
    let error =
        parse_error_after("{\"service\": \"plain\", \"weight\": 30}", "{\"service\": \"no\", \"weight\": 0}");
    assert_eq!(error.pointer(), "/routes/1/trafficSplit/1/service");
}

#[test]
fn rejects_an_unknown_service_next_to_a_split() {
    let error = parse_error_after("\"trafficSplit\"", "\"service\": \"none\", \"trafficSplit\"");
    assert_eq!(error.pointer(), "/routes/1/service");
}

#[test]
fn rejects_duplicate_routes() {
    let error = parse_error_after("\"/chat/draft/\"", "\"/chat/\"");
    let expected = ConfigError::DuplicateRoute { pointer: "/routes/1".into(), first: "/routes/0".into() };
    assert_eq!(error, expected, "the case of the hosts is ignored");
}

#[test]
fn reports_the_first_duplicate_route() {
    let text = replaced("\"/chat/draft/\"", "\"/chat/\"").replace("\"/pay/\"", "\"/chat/\"");
    assert_eq!(parse_error(text.as_bytes()).pointer(), "/routes/1");
}

#[test]
fn rejects_weights_that_sum_to_zero() {
    let text = replaced("\"weight\": 70", "\"weight\": 0").replace("\"weight\": 30", "\"weight\": 0.0");
    assert_eq!(
        parse_error(text.as_bytes()),
        ConfigError::ZeroWeights { pointer: "/routes/1/trafficSplit".into() }
    );
}

#[test]
fn rejects_an_empty_split_without_a_service() {
    let from = "[{\"service\": \"large\", \"weight\": 70}, {\"service\": \"plain\", \"weight\": 30}]";
    assert!(matches!(parse_error_after(from, "[]"), ConfigError::ZeroWeights { .. }));
}

#[test]
fn rejects_a_timeout_of_zero() {
    for zero in ["0", "0.0", "-0.0"] {
        let error = parse_error_after("\"timeoutMs\": 800", &format!("\"timeoutMs\": {zero}"));
        assert_eq!(error.pointer(), "/routes/2/timeoutMs", "{zero}");
    }
}

#[test]
fn rejects_versions_other_than_positive_integers() {
    for version in ["0", "-3", "1.5", "\"12\"", "true", "[]", "18446744073709551616", "1e400"] {
        let error = parse_error_after("\"version\": 12", &format!("\"version\": {version}"));
        assert!(error.pointer() == "/version" || matches!(error, ConfigError::InvalidJson { .. }), "{error}");
    }
    for absent in ["\"version\": null", "\"versions\": 12"] {
        let error = parse_error_after("\"version\": 12", absent);
        assert!(matches!(error, ConfigError::MissingField { .. }), "{error}");
    }
}

#[test]
fn rejects_one_key_of_two_tenants() {
    let error = parse_error_after("\"key-three\"", "\"key-two\"");
    let expected = ConfigError::DuplicateApiKey {
        pointer: "/tenants/1/apiKeys/0".into(),
        first: "/tenants/0/apiKeys/1".into(),
    };
    assert_eq!(error, expected);
    assert!(!error.to_string().contains("key-two"));
}

#[test]
fn rejects_a_repeated_key_of_one_tenant() {
    assert_eq!(parse_error_after("\"key-two\"", "\"key-one\"").pointer(), "/tenants/0/apiKeys/1");
}

#[test]
fn rejects_duplicate_service_names() {
    let error = parse_error_after("{\"name\": \"plain\"}", "{\"name\": \"plain\"}, {\"name\": \"plain\"}");
    let expected =
        ConfigError::DuplicateService { pointer: "/services/2".into(), first: "/services/1".into() };
    assert_eq!(error, expected);
}

/// Text to replace, its replacement, and the JSON pointer in the error.
const INVALID_VALUES: &[(&str, &str, &str)] = &[
    ("\"pathPrefix\": \"/pay/\"", "\"pathPrefix\": \"/pay\"", "/routes/2/pathPrefix"),
    ("\"pathPrefix\": \"/pay/\"", "\"pathPrefix\": \"pay/\"", "/routes/2/pathPrefix"),
    ("\"pathPrefix\": \"/pay/\"", "\"pathPrefix\": \"\"", "/routes/2/pathPrefix"),
    ("\"pathPrefix\": \"/pay/\"", "\"pathPrefix\": \"/pay?x=/\"", "/routes/2/pathPrefix"),
    ("\"pathPrefix\": \"/pay/\"", "\"pathPrefix\": \"/pay#/\"", "/routes/2/pathPrefix"),
    ("\"pathPrefix\": \"/pay/\"", "\"pathPrefix\": null", "/routes/2/pathPrefix"),
    ("\"host\": \"look.example\"", "\"host\": 4", "/routes/3/host"),
    ("\"host\": \"look.example\", ", "", "/routes/3/host"),
    ("\"kind\": \"safe\"", "\"kind\": 1", "/routes/3/kind"),
    ("\"timeoutMs\": 800", "\"timeoutMs\": \"800\"", "/routes/2/timeoutMs"),
    ("\"timeoutMs\": 800", "\"timeoutMs\": -800", "/routes/2/timeoutMs"),
    ("\"timeoutMs\": 800,", "", "/routes/2/timeoutMs"),
    ("\"targetLatencyMs\": 450", "\"targetLatencyMs\": {}", "/routes/0/targetLatencyMs"),
    ("\"maxAttempts\": 3", "\"maxAttempts\": 1.5", "/routes/0/maxAttempts"),
    ("\"sticky\": true", "\"sticky\": \"yes\"", "/routes/0/sticky"),
    ("\"weight\": 70", "\"weight\": -70", "/routes/1/trafficSplit/0/weight"),
    ("\"weight\": 70", "\"weight\": \"70\"", "/routes/1/trafficSplit/0/weight"),
    (", \"weight\": 70", "", "/routes/1/trafficSplit/0/weight"),
    ("{\"service\": \"large\", \"weight\": 70}", "{\"weight\": 70}", "/routes/1/trafficSplit/0/service"),
    ("{\"service\": \"large\", \"weight\": 70}", "7", "/routes/1/trafficSplit/0"),
    ("\"service\": \"plain\", \"laterField\"", "\"laterField\"", "/routes/2/service"),
    ("{\"name\": \"plain\"}", "{}", "/services/1/name"),
    ("{\"name\": \"plain\"}", "[]", "/services/1"),
    ("\"maxConns\": 210", "\"maxConns\": \"210\"", "/services/0/maxConns"),
    ("\"slots\": 32", "\"slots\": -1", "/services/0/engine/slots"),
    ("\"second\"", "2", "/services/0/engine/models/1"),
    ("\"maxBodyBytes\": 100000", "\"maxBodyBytes\": []", "/limits/maxBodyBytes"),
    ("\"name\": \"gold\", ", "", "/tenants/0/name"),
    ("[\"key-three\"]", "\"key-three\"", "/tenants/1/apiKeys"),
    ("\"key-three\"", "3", "/tenants/1/apiKeys/0"),
    ("\"ratePerS\": 1200.5", "\"ratePerS\": -1", "/tenants/0/ratePerS"),
    ("\"limits\": {", "\"limits\": [], \"other\": {", "/limits"),
    ("\"services\": [", "\"other\": [", "/services"),
    ("\"routes\": [", "\"other\": [", "/routes"),
];

#[test]
fn reports_the_location_of_each_invalid_value() {
    for (from, to, pointer) in INVALID_VALUES {
        let error = parse_error_after(from, to);
        assert_eq!(error.pointer(), *pointer, "{from} -> {to}");
        assert!(error.to_string().starts_with(&format!("{pointer}: ")), "{error}");
    }
}
