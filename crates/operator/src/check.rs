//! Validates settings files and configurations.

use std::net::SocketAddr;
use std::path::Path;

use dunelink_settings::{BootSettings, FleetConfig};

use crate::error::OperatorError;

/// The result of checking a file that can be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckReport {
    /// One line that summarizes the contents.
    pub summary: String,
    /// What a program would refuse or would have to run without, each with its key and remedy; empty if there
    /// is nothing.
    pub faults: Vec<String>,
}

/// Reads and checks a file. A file that begins with `{` or is named `*.json` is a configuration; any other is
/// a settings file.
///
/// # Errors
///
/// The file cannot be read or parsed; the error names the place of the first fault, what is expected there
/// and the remedy.
pub fn check_file(path: &Path) -> Result<CheckReport, OperatorError> {
    let bytes = std::fs::read(path).map_err(OperatorError::file(path))?;
    let is_json = bytes.iter().find(|byte| !byte.is_ascii_whitespace()) == Some(&b'{');
    if is_json || path.extension().is_some_and(|extension| extension == "json") {
        return check_configuration(path, &bytes);
    }
    let text = String::from_utf8(bytes).map_err(|_| {
        let reason = "the file is not valid UTF-8".to_owned();
        OperatorError::Settings(dunelink_settings::BootSettingsError::Syntax {
            path: path.to_owned(),
            reason,
        })
    })?;
    let boot = BootSettings::parse(&text, path)?;
    Ok(CheckReport { summary: summarize_settings(&boot), faults: settings_faults(&boot) })
}

fn check_configuration(path: &Path, bytes: &[u8]) -> Result<CheckReport, OperatorError> {
    let source_name = path.display().to_string();
    let configuration = FleetConfig::parse(bytes)
        .map_err(|reason| OperatorError::Configuration { place: source_name.clone(), reason })?;
    let summary = format!(
        "configuration {}: {} routes, {} services, {} tenants",
        configuration.version,
        configuration.routes.len(),
        configuration.services.len(),
        configuration.tenants.len(),
    );
    Ok(CheckReport { summary, faults: configuration_faults(&configuration) })
}

fn summarize_settings(boot: &BootSettings) -> String {
    let roles = if boot.serves.is_empty() { "nothing".to_owned() } else { boot.serves.join(" and ") };
    let (first, last) = boot.internal_ports;
    let name = &boot.node_name;
    format!("settings of {name} at {}: serves {roles}, internal ports {first} to {last}", boot.ip)
}

fn settings_faults(boot: &BootSettings) -> Vec<String> {
    let mut faults = Vec::new();
    let mut require = |key: &str, is_missing: bool, why: &str, remedy: &str| {
        if is_missing {
            faults.push(format!("key `{key}`: missing, but {why}; {remedy}"));
        }
    };
    let is_control = boot.serves("control");
    let is_front = boot.serves("front");
    let add_address = "add it as IP:PORT";
    require(
        "listen.control",
        is_control && boot.listen.control.is_none(),
        "the role serves `control`",
        add_address,
    );
    require(
        "dataDir",
        is_control && boot.data_dir.is_none(),
        "the role serves `control`",
        "add a folder on a disk",
    );
    require("listen.front", is_front && boot.listen.front.is_none(), "the role serves `front`", add_address);
    require(
        "listen.readiness",
        is_front && boot.listen.readiness.is_none(),
        "the role serves `front`",
        add_address,
    );
    let seeds_reason = "other machines cannot be found without it";
    require(
        "seeds",
        boot.seeds.is_empty(),
        seeds_reason,
        "add the control addresses of up to three machines",
    );
    let lacks_cloud_api = is_control && boot.cloud_api.is_none();
    require(
        "cloudApi.address",
        lacks_cloud_api,
        "it lists the servers",
        "add the address of the platform's server list",
    );
    faults.extend(foreign_listen_addresses(boot));
    faults
}

/// Listen addresses that do not belong to this machine.
fn foreign_listen_addresses(boot: &BootSettings) -> Vec<String> {
    let listen = &boot.listen;
    let listen_addresses =
        [("front", listen.front), ("readiness", listen.readiness), ("control", listen.control)];
    let is_foreign = |at: &SocketAddr| !at.ip().is_unspecified() && at.ip() != boot.ip;
    let foreign = listen_addresses.into_iter().filter_map(|(key, at)| Some((key, at.filter(is_foreign)?)));
    let text =
        |(key, at)| format!("key `listen.{key}`: {at} differs from `ip` {}; correct one of the two", boot.ip);
    foreign.map(text).collect()
}

fn configuration_faults(configuration: &FleetConfig) -> Vec<String> {
    let unused = configuration.services.iter().enumerate().filter(|(position, _)| {
        let mut targets = configuration.routes.iter().flat_map(|route| &route.targets);
        !targets.any(|target| target.service == *position)
    });
    let unused = unused.map(|(position, service)| {
        let name = &service.name;
        format!("/services/{position}: no route uses `{name}`; remove it or add a route")
    });
    let keyless = configuration.tenants.iter().enumerate();
    let keyless = keyless.filter(|(_, tenant)| tenant.api_keys.is_empty()).map(|(position, tenant)| {
        let name = &tenant.name;
        format!("/tenants/{position}/apiKeys: `{name}` has no key and cannot send requests; add one")
    });
    unused.chain(keyless).collect()
}
