//! Reads configurations from the fleet, puts them in force, lists those that were.

use std::net::SocketAddr;
use std::path::Path;

use bytes::Bytes;
use dunelink_settings::FleetConfig;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use sonic_rs::{JsonContainerTrait, JsonValueMutTrait, JsonValueTrait, Value};

use crate::api::{Call, send_once, send_to_any};
use crate::error::OperatorError;

/// Stands in place of each API key where keys are hidden.
pub const HIDDEN_KEY: &str = "(hidden)";

/// A configuration as it was taken, and as it is read.
#[derive(Debug, Clone)]
pub struct LoadedConfiguration {
    /// The operator's JSON, byte for byte.
    pub body: Bytes,
    /// The same, read.
    pub parsed: FleetConfig,
}

impl LoadedConfiguration {
    /// The JSON with each API key replaced by [`HIDDEN_KEY`].
    ///
    /// # Errors
    ///
    /// The JSON can't be read.
    pub fn without_keys(&self) -> Result<String, OperatorError> {
        let unreadable = |error: sonic_rs::Error| answer("the configuration", READ, error.to_string());
        let mut document: Value = sonic_rs::from_slice(&self.body).map_err(unreadable)?;
        let tenants = document.get_mut("tenants").and_then(|tenants| tenants.as_array_mut());
        for tenant in tenants.into_iter().flat_map(|tenants| tenants.iter_mut()) {
            let keys = tenant.get("apiKeys").and_then(|keys| keys.as_array()).map_or(0, |keys| keys.len());
            if let Some(tenant) = tenant.as_object_mut().filter(|_| keys > 0) {
                tenant.insert("apiKeys", sonic_rs::json!(vec![HIDDEN_KEY; keys]));
            }
        }
        sonic_rs::to_string_pretty(&document).map_err(unreadable)
    }
}

const READ: &str = "/api/Config.Read";
const HISTORY: &str = "/api/history";

fn answer(place: &str, path: &'static str, reason: String) -> OperatorError {
    OperatorError::InvalidResponse { place: place.to_owned(), path, reason }
}

/// A configuration in a file, checked.
///
/// # Errors
///
/// The file can't be read or is no valid configuration.
pub fn from_file(path: &Path) -> Result<LoadedConfiguration, OperatorError> {
    let body = Bytes::from(std::fs::read(path).map_err(OperatorError::file(path))?);
    held(body, &path.display().to_string())
}

fn held(body: Bytes, place: &str) -> Result<LoadedConfiguration, OperatorError> {
    let parsed = FleetConfig::parse(&body);
    let parsed = parsed.map_err(|reason| OperatorError::Configuration { place: place.to_owned(), reason })?;
    Ok(LoadedConfiguration { body, parsed })
}

/// The newest configuration in a stopped control machine's data folder, and whether that is damaged.
///
/// # Errors
///
/// As [`crate::data_folder::newest_configuration`], or it can't be read.
pub fn from_folder(path: &Path) -> Result<(LoadedConfiguration, bool), OperatorError> {
    let (body, is_damaged) = crate::data_folder::newest_configuration(path)?;
    Ok((held(body, &path.display().to_string())?, is_damaged))
}

/// The newest configuration of the fleet.
///
/// # Errors
///
/// Nobody answers clearly, there is no configuration yet, or it can't be read.
pub async fn newest(machines: &[SocketAddr]) -> Result<LoadedConfiguration, OperatorError> {
    let reply = send_to_any(machines, &Call::read(READ)).await?;
    match reply.status {
        StatusCode::OK => held(reply.body, &reply.machine.to_string()),
        StatusCode::NOT_FOUND => Err(OperatorError::NoConfiguration),
        status => Err(OperatorError::Refused { status: status.as_u16(), reason: reply.text() }),
    }
}

/// How a configuration was put in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AppliedConfiguration {
    /// The version that it was built on.
    pub base: u64,
    /// Its version, which is in force now or was before.
    pub version: u64,
}

/// Puts the configuration in a file in force on top of a version; without one, on top of the newest.
///
/// # Errors
///
/// The file is not valid or has hidden keys, nobody answers clearly, or the fleet refuses: another version is current.
pub async fn put(
    machines: &[SocketAddr],
    path: &Path,
    base: Option<u64>,
) -> Result<AppliedConfiguration, OperatorError> {
    let LoadedConfiguration { body, parsed } = from_file(path)?;
    let has_hidden = parsed.tenants.iter().any(|tenant| tenant.api_keys.iter().any(|key| key == HIDDEN_KEY));
    if has_hidden {
        return Err(OperatorError::HiddenKeys { path: path.to_owned() });
    }
    let base = match base {
        Some(base) => base,
        None => match newest(machines).await {
            Ok(current) => current.parsed.version,
            Err(OperatorError::NoConfiguration) => 0,
            Err(error) => return Err(error),
        },
    };
    let reply = send_to_any(machines, &Call::replace(base, body)).await?;
    if reply.status.is_success() {
        return Ok(AppliedConfiguration { base, version: parsed.version });
    }
    Err(OperatorError::Refused { status: reply.status.as_u16(), reason: reply.text() })
}

/// A version that was put in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The version.
    pub version: u64,
    /// The version that it was built on.
    pub base: u64,
    /// Length of its JSON in bytes.
    pub bytes: u64,
}

#[derive(Deserialize)]
struct History {
    versions: Vec<HistoryEntry>,
}

/// The versions that were put in force, oldest first, from the machine that knows the newest of those that answer.
///
/// # Errors
///
/// No machine answers, or an answer can't be read.
pub async fn history(machines: &[SocketAddr]) -> Result<Vec<HistoryEntry>, OperatorError> {
    let mut best: Option<Vec<HistoryEntry>> = None;
    let mut failures = Vec::new();
    for machine in machines {
        let reply = match send_once(*machine, &Call::read(HISTORY)).await {
            Ok(reply) if reply.status.is_success() => reply,
            Ok(reply) => {
                failures.push(format!("{machine}: {}", reply.status));
                continue;
            }
            Err(reason) => {
                failures.push(format!("{machine}: {reason}"));
                continue;
            }
        };
        let read: Result<History, _> = sonic_rs::from_slice(&reply.body);
        let read = read.map_err(|error| answer(&machine.to_string(), HISTORY, error.to_string()))?;
        let newest = |versions: &Vec<HistoryEntry>| versions.last().map_or(0, |taken| taken.version);
        if best.as_ref().is_none_or(|best| newest(best) < newest(&read.versions)) {
            best = Some(read.versions);
        }
    }
    match best {
        Some(versions) => Ok(versions),
        None if machines.is_empty() => Err(OperatorError::NoControlAddress),
        None => Err(OperatorError::NoResponse { tried: failures.join("; ") }),
    }
}
