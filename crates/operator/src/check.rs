//! Says whether a settings file or a configuration can be used.

use std::net::SocketAddr;
use std::path::Path;

use dunelink_settings::{BootSettings, FleetConfig};

use crate::error::OperatorError;

/// What a file is and what was found in it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckReport {
    /// One line on a file that can be used.
    pub summary: String,
    /// What a program would refuse or do without, each with its key and remedy; empty if all is well.
    pub faults: Vec<String>,
}

/// Reads a file and checks it. A text that begins with `{` is a configuration, any other a settings file.
///
/// # Errors
///
/// The file can't be read, or its first fault: place, what belongs there and the remedy.
pub fn check_file(path: &Path) -> Result<CheckReport, OperatorError> {
    let bytes = std::fs::read(path).map_err(OperatorError::file(path))?;
    let is_json = bytes.iter().find(|byte| !byte.is_ascii_whitespace()) == Some(&b'{');
    if is_json || path.extension().is_some_and(|kind| kind == "json") {
        return check_configuration(path, &bytes);
    }
    let text = String::from_utf8(bytes).map_err(|_| {
        let reason = "a byte that is not UTF-8".to_owned();
        OperatorError::Settings(dunelink_settings::BootSettingsError::Syntax {
            path: path.to_owned(),
            reason,
        })
    })?;
    let boot = BootSettings::parse(&text, path)?;
    Ok(CheckReport { summary: summary_of_settings(&boot), faults: faults_of_settings(&boot) })
}

fn check_configuration(path: &Path, bytes: &[u8]) -> Result<CheckReport, OperatorError> {
    let place = path.display().to_string();
    let configuration = FleetConfig::parse(bytes)
        .map_err(|reason| OperatorError::Configuration { place: place.clone(), reason })?;
    let summary = format!(
        "configuration {}: {} routes, {} services, {} tenants",
        configuration.version,
        configuration.routes.len(),
        configuration.services.len(),
        configuration.tenants.len(),
    );
    Ok(CheckReport { summary, faults: faults_of_configuration(&configuration) })
}

fn summary_of_settings(boot: &BootSettings) -> String {
    let serves = if boot.serves.is_empty() { "nothing".to_owned() } else { boot.serves.join(" and ") };
    let (first, last) = boot.internal_ports;
    let name = &boot.node_name;
    format!("settings of {name} at {}: serves {serves}, internal ports {first} to {last}", boot.ip)
}

fn faults_of_settings(boot: &BootSettings) -> Vec<String> {
    let mut faults = Vec::new();
    let mut needs = |key: &str, missing: bool, why: &str, remedy: &str| {
        if missing {
            faults.push(format!("key `{key}`: missing, but {why}; {remedy}"));
        }
    };
    let control = boot.serves("control");
    let front = boot.serves("front");
    let address = "add it as IP:PORT";
    needs("listen.control", control && boot.listen.control.is_none(), "the role serves `control`", address);
    needs(
        "dataDir",
        control && boot.data_dir.is_none(),
        "the role serves `control`",
        "add a folder on a disk",
    );
    needs("listen.front", front && boot.listen.front.is_none(), "the role serves `front`", address);
    needs("listen.readiness", front && boot.listen.readiness.is_none(), "the role serves `front`", address);
    let seeds = "no other machine is found without it";
    needs("seeds", boot.seeds.is_empty(), seeds, "add the control addresses of up to three machines");
    let no_list = control && boot.cloud_api.is_none();
    needs("cloudApi.address", no_list, "servers are found by it", "add the address of the platform's list");
    faults.extend(foreign_addresses(boot));
    faults
}

/// Addresses to listen at that belong to another machine.
fn foreign_addresses(boot: &BootSettings) -> Vec<String> {
    let listen = &boot.listen;
    let all = [("front", listen.front), ("readiness", listen.readiness), ("control", listen.control)];
    let is_foreign = |at: &SocketAddr| !at.ip().is_unspecified() && at.ip() != boot.ip;
    let foreign = all.into_iter().filter_map(|(key, at)| Some((key, at.filter(is_foreign)?)));
    let text =
        |(key, at)| format!("key `listen.{key}`: {at} is not at `ip` {}; correct one of the two", boot.ip);
    foreign.map(text).collect()
}

fn faults_of_configuration(configuration: &FleetConfig) -> Vec<String> {
    let unused = configuration.services.iter().enumerate().filter(|(position, _)| {
        let mut targets = configuration.routes.iter().flat_map(|route| &route.targets);
        !targets.any(|target| target.service == *position)
    });
    let unused = unused.map(|(position, service)| {
        let name = &service.name;
        format!("/services/{position}: no route leads to `{name}`; remove it or add a route")
    });
    let keyless = configuration.tenants.iter().enumerate();
    let keyless = keyless.filter(|(_, tenant)| tenant.api_keys.is_empty()).map(|(position, tenant)| {
        let name = &tenant.name;
        format!("/tenants/{position}/apiKeys: `{name}` has no key and can send nothing; add one")
    });
    unused.chain(keyless).collect()
}
