//! Arbitrary bytes: both parsers return, and what they accept is consistent.

use std::path::Path;

use bolero::check;
use dunelink_settings::{BootSettings, FleetConfig};

const CONFIG: &[u8] = include_bytes!("fixtures/full.json");
const BOOT: &[u8] = include_bytes!("fixtures/front.toml");

fn check_config(bytes: &[u8]) {
    let Ok(config) = FleetConfig::parse(bytes) else { return };
    assert!(config.version > 0);
    for route in &config.routes {
        assert!(route.timeout_ms > 0 && route.max_attempts > 0);
        let service = route.choose_target(0.5);
        assert!(service < config.services.len());
        assert!(config.route(&route.host, &route.path_prefix).is_some());
    }
    for (position, tenant) in config.tenants.iter().enumerate() {
        for key in tenant.api_keys.iter().filter(|key| !key.is_empty()) {
            assert_eq!(config.tenant_by_key(key), Some(position));
        }
    }
}

fn check_boot(bytes: &[u8]) {
    let Ok(text) = std::str::from_utf8(bytes) else { return };
    let Ok(boot) = BootSettings::parse(text, Path::new("settings.toml")) else { return };
    assert!(boot.agent_feed_port() <= boot.internal_ports.1);
}

/// The document with up to eight bytes overwritten, each at a position given as a fraction of the length.
fn overwritten(document: &[u8], changes: &[(u16, u8)]) -> Vec<u8> {
    let mut bytes = document.to_vec();
    for (position, byte) in changes.iter().take(8) {
        let at = usize::from(*position) * bytes.len() / (usize::from(u16::MAX) + 1);
        bytes[at] = *byte;
    }
    bytes
}

#[test]
fn any_bytes_as_a_configuration() {
    check!().for_each(check_config);
}

#[test]
fn any_bytes_as_settings() {
    check!().for_each(check_boot);
}

#[test]
fn configuration_with_overwritten_bytes() {
    check!().with_type::<Vec<(u16, u8)>>().for_each(|changes| check_config(&overwritten(CONFIG, changes)));
}

#[test]
fn settings_with_overwritten_bytes() {
    check!().with_type::<Vec<(u16, u8)>>().for_each(|changes| check_boot(&overwritten(BOOT, changes)));
}
