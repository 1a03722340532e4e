//! Settings files: every key, every default and every error.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use dunelink_settings::boot::DEFAULT_PATH;
use dunelink_settings::{BootSettings, BootSettingsError, ContractBounds, FaultTolerance};

const FRONT: &str = include_str!("fixtures/front.toml");
const CORE: &str = include_str!("fixtures/core.toml");
const MINIMAL: &str = "nodeName = \"a\"\nip = \"192.0.2.1\"\ninternalPorts = [6100, 6102]\n";

fn parse(text: &str) -> Result<BootSettings, BootSettingsError> {
    BootSettings::parse(text, Path::new("settings.toml"))
}

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

#[test]
fn reads_every_key_of_a_front_machine() {
    let boot = parse(FRONT).expect("valid");
    assert_eq!(boot.node_name, "front-north-4");
    assert_eq!(boot.role, "forwarder");
    assert_eq!(boot.machine_class, "front");
    assert!(boot.serves("front") && !boot.serves("control"));
    assert_eq!(boot.ip.to_string(), "192.0.2.14");
    assert_eq!((boot.zone.as_str(), boot.region.as_str()), ("north", "lake"));
    assert_eq!(boot.internal_ports, (6100, 6115));
    assert_eq!(boot.seeds, [address("192.0.2.31:6200"), address("192.0.2.47:6200")]);
    assert!(boot.bootstrap);
    assert!(!boot.counts_for_quorum);
    assert_eq!(boot.data_dir, None);
    assert_eq!(boot.heartbeat_ms, 900);
    assert!(boot.has_contract("quota") && !boot.has_contract("stream"));
    assert_eq!(boot.zones["south"], "hill");
    assert_eq!(boot.listen.front, Some(address("192.0.2.14:6300")));
    assert_eq!(boot.listen.readiness, Some(address("192.0.2.14:6301")));
    assert_eq!(boot.listen.control, None);
    assert_eq!(boot.fault_tolerance, FaultTolerance { machines: 2, zones: 1, regions: 0 });
}

#[test]
fn reads_limits_and_cloud_api() {
    let boot = parse(FRONT).expect("valid");
    assert_eq!((boot.limits.cpu_share, boot.limits.cores), (0.4, 2.0));
    assert_eq!((boot.limits.memory_mb, boot.limits.max_fds, boot.limits.disk_mb), (300, 2000, 0));
    assert_eq!(boot.limits.link_mbps, 100.0);
    let cloud = boot.cloud_api.expect("the file has the table");
    assert_eq!(cloud.address, address("192.0.2.200:6400"));
    assert_eq!((cloud.rate_per_s, cloud.lag_ms), (12.5, 700));
}

#[test]
fn reads_every_bound() {
    let expected = ContractBounds {
        seed_lag_s: 1.0,
        reuse_after_s: 4.0,
        contact_ms: 2100.0,
        ack_ms: 2200.0,
        catch_up_s: 5.0,
        drain_ms: 2300.0,
        grace_s: 6.0,
        loss_slack_ms: 110.0,
        config_ms: 2400.0,
        rollback_slack_ms: 120.0,
        max_skew_ms: 2500.0,
        revocation: true,
        revoke_ms: 2600.0,
        retry_ratio: 0.3,
        retry_window_s: 7.0,
        retry_slack: 31.0,
        quota_window_s: 9.0,
        quota_overshoot: 0.05,
        quota_slack: 900.0,
        recovery_s: 11.0,
        event_delivery_ms: 90.0,
        prefix_reuse_s: 6.5,
    };
    assert_eq!(parse(FRONT).expect("valid").bounds, expected);
}

#[test]
fn derives_the_ports() {
    let front = parse(FRONT).expect("valid");
    assert_eq!(front.control_port(), Some(6200), "from the seeds");
    assert_eq!((front.internal_port(), front.agent_feed_port()), (6100, 6102));
    let core = parse(CORE).expect("valid");
    assert_eq!(core.control_port(), Some(6200), "its own");
    assert_eq!(parse(MINIMAL).expect("valid").control_port(), None);
}

#[test]
fn region_defaults_to_that_of_the_zone() {
    let core = parse(CORE).expect("valid");
    assert_eq!(core.region, "hill");
    assert_eq!(core.data_dir, Some(PathBuf::from("data/keeper")));
    assert!(core.counts_for_quorum);
}

#[test]
fn fills_in_defaults() {
    let boot = parse(MINIMAL).expect("three keys are enough");
    assert_eq!(boot.bounds, ContractBounds::default());
    assert_eq!(boot.bounds.retry_slack, 0.0, "a missing key permits nothing extra");
    assert_eq!(boot.heartbeat_ms, 1_000);
    assert_eq!((boot.limits.cpu_share, boot.limits.cores), (1.0, 1.0));
    assert_eq!(boot.fault_tolerance, FaultTolerance::default());
    assert_eq!(boot.cloud_api, None);
    assert!(boot.seeds.is_empty() && !boot.bootstrap);
}

#[test]
fn empty_values_count_as_missing() {
    let text = format!("{MINIMAL}dataDir = \"\"\n[listen]\ncontrol = \"\"\n[cloudApi]\nduties = []\n");
    let boot = parse(&text).expect("valid");
    assert_eq!((boot.data_dir, boot.listen.control, boot.cloud_api), (None, None, None));
}

#[test]
fn names_each_missing_key() {
    for key in ["nodeName", "ip", "internalPorts"] {
        let text: String =
            MINIMAL.lines().filter(|line| !line.starts_with(key)).map(|line| format!("{line}\n")).collect();
        let error = parse(&text).expect_err(key);
        assert!(matches!(error, BootSettingsError::MissingKey { .. }), "{error}");
        assert_eq!(error.key(), Some(key));
        assert!(error.to_string().starts_with("settings.toml: key `"), "{error}");
    }
}

/// Keys with invalid values.
const INVALID_VALUES: &[(&str, &str)] = &[
    ("nodeName", "\"\""),
    ("nodeName", "7"),
    ("role", "[]"),
    ("machineClass", "1"),
    ("serves", "\"front\""),
    ("serves", "[1]"),
    ("ip", "\"front-1\""),
    ("ip", "7"),
    ("zone", "true"),
    ("region", "2"),
    ("internalPorts", "[6100]"),
    ("internalPorts", "[6100, 6101]"),
    ("internalPorts", "[6115, 6100]"),
    ("internalPorts", "[0, 10]"),
    ("internalPorts", "[65535, 65535]"),
    ("internalPorts", "[6100, 70000]"),
    ("internalPorts", "\"6100-6115\""),
    ("seeds", "[\"192.0.2.1\"]"),
    ("seeds", "\"192.0.2.1:1\""),
    ("bootstrap", "\"true\""),
    ("countsForQuorum", "1"),
    ("dataDir", "false"),
    ("heartbeatMs", "-1"),
    ("heartbeatMs", "1.5"),
    ("contracts", "{}"),
    ("zones", "[]"),
    ("zones.north", "1"),
    ("listen", "\"192.0.2.1:1\""),
    ("listen.front", "\"192.0.2.1\""),
    ("listen.readiness", "8080"),
    ("listen.control", "\":8080\""),
    ("limits.cpuShare", "-0.5"),
    ("limits.cores", "\"1\""),
    ("limits.memoryMb", "0.5"),
    ("limits.maxFds", "-4"),
    ("limits.linkMbps", "nan"),
    ("limits.diskMb", "\"all\""),
    ("faultTolerance.machines", "1.5"),
    ("faultTolerance.zones", "-1"),
    ("faultTolerance.regions", "true"),
    ("bounds.contactMs", "\"3000\""),
    ("bounds.retryRatio", "-0.1"),
    ("bounds.quotaSlack", "inf"),
    ("bounds.revocation", "0"),
    ("bounds.again_s", "[]"),
    ("cloudApi", "3"),
    ("cloudApi.address", "\"list\""),
    ("cloudApi.ratePerS", "\"44\""),
    ("cloudApi.lagMs", "-800"),
];

#[test]
fn names_each_invalid_key_and_the_remedy() {
    for (key, value) in INVALID_VALUES {
        let other_lines: String = MINIMAL
            .lines()
            .filter(|line| !line.starts_with(&format!("{key} ")))
            .map(|line| format!("{line}\n"))
            .collect();
        let error = parse(&format!("{other_lines}{key} = {value}\n")).expect_err(key);
        assert!(matches!(error, BootSettingsError::InvalidValue { .. }), "{key} = {value}: {error}");
        assert_eq!(error.key(), Some(*key), "{key} = {value}");
        let message = error.to_string();
        assert!(message.contains("settings.toml") && message.contains("change it to"), "{message}");
    }
}

#[test]
fn truncates_the_value_in_a_message() {
    let text = format!("{MINIMAL}bootstrap = \"{}\"\n", "x".repeat(10_000));
    assert!(parse(&text).expect_err("wrong type").to_string().len() < 200);
}

#[test]
fn names_the_line_of_a_syntax_error() {
    let error = parse("nodeName = \"a\"\nip = \n").expect_err("value is missing");
    assert!(matches!(error, BootSettingsError::Syntax { .. }));
    assert!(error.to_string().contains("line 2"), "{error}");
}

#[test]
fn unreadable_file_names_the_variable() {
    let error = BootSettingsError::Unreadable {
        path: PathBuf::from(DEFAULT_PATH),
        variable: dunelink_settings::boot::PATH_VARIABLE,
        source: std::io::ErrorKind::NotFound.into(),
    };
    let message = error.to_string();
    assert!(message.contains(DEFAULT_PATH) && message.contains("DUNELINK_BOOT"), "{message}");
}
