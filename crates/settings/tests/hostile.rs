//! Any bytes at all: both parsers answer, and what they accept can be used.

use std::path::Path;

use bolero::check;
use dunelink_settings::{BootSettings, FleetConfig};

const CONFIG: &[u8] = include_bytes!("fixtures/full.json");
const BOOT: &[u8] = include_bytes!("fixtures/front.toml");

fn use_config(bytes: &[u8]) {
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

fn use_boot(bytes: &[u8]) {
    let Ok(text) = std::str::from_utf8(bytes) else { return };
    let Ok(boot) = BootSettings::parse(text, Path::new("settings.toml")) else { return };
    assert!(boot.agent_feed_port() <= boot.internal_ports.1);
}

/// The document with some of its bytes set, each at a place given as a share of the length.
fn changed(document: &[u8], changes: &[(u16, u8)]) -> Vec<u8> {
    let mut bytes = document.to_vec();
    for (place, byte) in changes.iter().take(8) {
        let at = usize::from(*place) * bytes.len() / (usize::from(u16::MAX) + 1);
        bytes[at] = *byte;
    }
    bytes
}

#[test]
fn reads_any_bytes_as_a_configuration() {
    check!().for_each(use_config);
}

#[test]
fn reads_any_bytes_as_settings() {
    check!().for_each(use_boot);
}

#[test]
fn reads_a_configuration_with_changed_bytes() {
    check!().with_type::<Vec<(u16, u8)>>().for_each(|changes| use_config(&changed(CONFIG, changes)));
}

#[test]
fn reads_settings_with_changed_bytes() {
    check!().with_type::<Vec<(u16, u8)>>().for_each(|changes| use_boot(&changed(BOOT, changes)));
}
