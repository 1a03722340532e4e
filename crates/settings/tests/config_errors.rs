//! Configurations that have to be refused, with the place that the error names.

use dunelink_settings::{ConfigError, FleetConfig};

const FULL: &str = include_str!("fixtures/full.json");

fn refuse(bytes: &[u8]) -> ConfigError {
    match FleetConfig::parse(bytes) {
        Err(error) => error,
        Ok(_) => panic!("accepted: {}", String::from_utf8_lossy(bytes)),
    }
}

/// The full example with the one occurrence of `from` replaced.
fn changed(from: &str, to: &str) -> String {
    assert_eq!(FULL.matches(from).count(), 1, "{from}");
    FULL.replace(from, to)
}

fn refuse_changed(from: &str, to: &str) -> ConfigError {
    refuse(changed(from, to).as_bytes())
}

#[test]
fn refuses_a_document_cut_at_any_byte() {
    let whole = FULL.trim_end();
    for length in 0..whole.len() {
        let error = refuse(&whole.as_bytes()[..length]);
        assert!(matches!(error, ConfigError::InvalidJson { .. }), "{length}: {error}");
        assert_eq!(error.pointer(), "");
    }
}

#[test]
fn refuses_bytes_after_the_document() {
    for rest in ["}", "x", "{}", ",", "\0", "\u{feff}"] {
        let error = refuse(format!("{FULL}{rest}").as_bytes());
        assert!(matches!(error, ConfigError::InvalidJson { .. }), "{rest:?}: {error}");
    }
}

#[test]
fn refuses_bytes_that_are_not_utf8() {
    let broken = changed("\"gold\"", "\"go\u{1}ld\"").replace('\u{1}', "X");
    let mut bytes = broken.into_bytes();
    let at = bytes.iter().position(|byte| *byte == b'X').expect("put there");
    bytes[at] = 0xff;
    assert!(matches!(refuse(&bytes), ConfigError::InvalidJson { .. }));
}

#[test]
fn refuses_documents_that_are_no_objects() {
    for text in ["[]", "7", "\"text\"", "true"] {
        assert!(matches!(refuse(text.as_bytes()), ConfigError::InvalidValue { .. }), "{text}");
    }
}

#[test]
fn refuses_deep_nesting() {
    for open in ["[", "{\"a\":"] {
        let error = refuse(open.repeat(200_000).as_bytes());
        assert!(matches!(error, ConfigError::TooDeep { .. }), "{error}");
    }
}

#[test]
fn does_not_count_brackets_inside_texts_as_nesting() {
    let name = format!("\\\"{}", "[{".repeat(100));
    FleetConfig::parse(changed("\"gold\"", &format!("\"{name}\"")).as_bytes()).expect("valid");
}

#[test]
fn refuses_an_unknown_service() {
    let error =
        refuse_changed("\"service\": \"large\", \"maxAttempts\"", "\"service\": \"none\", \"maxAttempts\"");
    let expected =
        ConfigError::UnknownService { pointer: "/routes/0/service".into(), service: "none".into() };
    assert_eq!(error, expected);
    let error =
        refuse_changed("{\"service\": \"plain\", \"weight\": 30}", "{\"service\": \"no\", \"weight\": 0}");
    assert_eq!(error.pointer(), "/routes/1/trafficSplit/1/service");
}

#[test]
fn refuses_an_unknown_service_beside_a_split() {
    let error = refuse_changed("\"trafficSplit\"", "\"service\": \"none\", \"trafficSplit\"");
    assert_eq!(error.pointer(), "/routes/1/service");
}

#[test]
fn refuses_two_routes_at_the_same_place() {
    let error = refuse_changed("\"/chat/draft/\"", "\"/chat/\"");
    let expected = ConfigError::DuplicateRoute { pointer: "/routes/1".into(), first: "/routes/0".into() };
    assert_eq!(error, expected, "also where the hosts differ in case");
}

#[test]
fn names_the_first_of_several_routes_at_the_same_place() {
    let text = changed("\"/chat/draft/\"", "\"/chat/\"").replace("\"/pay/\"", "\"/chat/\"");
    assert_eq!(refuse(text.as_bytes()).pointer(), "/routes/1");
}

#[test]
fn refuses_weights_that_sum_to_zero() {
    let text = changed("\"weight\": 70", "\"weight\": 0").replace("\"weight\": 30", "\"weight\": 0.0");
    assert_eq!(
        refuse(text.as_bytes()),
        ConfigError::ZeroWeights { pointer: "/routes/1/trafficSplit".into() }
    );
}

#[test]
fn refuses_an_empty_split_without_a_service() {
    let from = "[{\"service\": \"large\", \"weight\": 70}, {\"service\": \"plain\", \"weight\": 30}]";
    assert!(matches!(refuse_changed(from, "[]"), ConfigError::ZeroWeights { .. }));
}

#[test]
fn refuses_a_timeout_of_zero() {
    for zero in ["0", "0.0", "-0.0"] {
        let error = refuse_changed("\"timeoutMs\": 800", &format!("\"timeoutMs\": {zero}"));
        assert_eq!(error.pointer(), "/routes/2/timeoutMs", "{zero}");
    }
}

#[test]
fn refuses_a_version_that_is_no_whole_number_above_zero() {
    for version in ["0", "-3", "1.5", "\"12\"", "true", "[]", "18446744073709551616", "1e400"] {
        let error = refuse_changed("\"version\": 12", &format!("\"version\": {version}"));
        assert!(error.pointer() == "/version" || matches!(error, ConfigError::InvalidJson { .. }), "{error}");
    }
    for absent in ["\"version\": null", "\"versions\": 12"] {
        let error = refuse_changed("\"version\": 12", absent);
        assert!(matches!(error, ConfigError::MissingField { .. }), "{error}");
    }
}

#[test]
fn refuses_two_tenants_with_one_key() {
    let error = refuse_changed("\"key-three\"", "\"key-two\"");
    let expected = ConfigError::DuplicateApiKey {
        pointer: "/tenants/1/apiKeys/0".into(),
        first: "/tenants/0/apiKeys/1".into(),
    };
    assert_eq!(error, expected);
    assert!(!error.to_string().contains("key-two"));
}

#[test]
fn refuses_a_key_that_one_tenant_has_twice() {
    assert_eq!(refuse_changed("\"key-two\"", "\"key-one\"").pointer(), "/tenants/0/apiKeys/1");
}

#[test]
fn refuses_two_services_with_one_name() {
    let error = refuse_changed("{\"name\": \"plain\"}", "{\"name\": \"plain\"}, {\"name\": \"plain\"}");
    let expected =
        ConfigError::DuplicateService { pointer: "/services/2".into(), first: "/services/1".into() };
    assert_eq!(error, expected);
}

/// What is replaced, by what, and the place that the error names.
const WRONG: &[(&str, &str, &str)] = &[
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
fn names_the_place_of_each_wrong_value() {
    for (from, to, place) in WRONG {
        let error = refuse_changed(from, to);
        assert_eq!(error.pointer(), *place, "{from} -> {to}");
        assert!(error.to_string().starts_with(&format!("{place}: ")), "{error}");
    }
}
