//! Reads, applies and lists configurations of the fleet.

use std::net::SocketAddr;
use std::path::Path;

use bytes::Bytes;
use dunelink_settings::FleetConfig;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use sonic_rs::{JsonContainerTrait, JsonValueMutTrait, JsonValueTrait, Value};

use crate::api::{Call, send_once, send_to_any};
use crate::error::OperatorError;

/// Placeholder for each API key in output with hidden keys.
pub const HIDDEN_KEY: &str = "(hidden)";

/// A configuration as raw JSON and parsed.
#[derive(Debug, Clone)]
pub struct LoadedConfiguration {
    /// The JSON as the operator wrote it, byte for byte.
    pub body: Bytes,
    /// The parsed `body`.
    pub parsed: FleetConfig,
}

impl LoadedConfiguration {
    /// The JSON with each API key replaced by [`HIDDEN_KEY`].
    ///
    /// # Errors
    ///
    /// The JSON cannot be parsed.
    pub fn without_keys(&self) -> Result<String, OperatorError> {
        let to_error =
            |error: sonic_rs::Error| invalid_response("the configuration", READ_PATH, error.to_string());
        let mut document: Value = sonic_rs::from_slice(&self.body).map_err(to_error)?;
        let tenants = document.get_mut("tenants").and_then(|tenants| tenants.as_array_mut());
        for tenant in tenants.into_iter().flat_map(|tenants| tenants.iter_mut()) {
            let keys = tenant.get("apiKeys").and_then(|keys| keys.as_array()).map_or(0, |keys| keys.len());
            if let Some(tenant) = tenant.as_object_mut().filter(|_| keys > 0) {
                tenant.insert("apiKeys", sonic_rs::json!(vec![HIDDEN_KEY; keys]));
            }
        }
        sonic_rs::to_string_pretty(&document).map_err(to_error)
    }
}

const READ_PATH: &str = "/api/Config.Read";
const HISTORY_PATH: &str = "/api/history";

fn invalid_response(place: &str, path: &'static str, reason: String) -> OperatorError {
    OperatorError::InvalidResponse { place: place.to_owned(), path, reason }
}

/// Reads and validates the configuration in a file.
///
/// # Errors
///
/// The file cannot be read or is not a valid configuration.
pub fn from_file(path: &Path) -> Result<LoadedConfiguration, OperatorError> {
    let body = Bytes::from(std::fs::read(path).map_err(OperatorError::file(path))?);
    parse(body, &path.display().to_string())
}

fn parse(body: Bytes, place: &str) -> Result<LoadedConfiguration, OperatorError> {
    let parsed = FleetConfig::parse(&body);
    let parsed = parsed.map_err(|reason| OperatorError::Configuration { place: place.to_owned(), reason })?;
    Ok(LoadedConfiguration { body, parsed })
}

/// The newest configuration in the data folder of a stopped control machine, and whether the folder is
/// damaged.
///
/// # Errors
///
/// Those of [`crate::data_folder::newest_configuration`], or the configuration cannot be parsed.
pub fn from_folder(path: &Path) -> Result<(LoadedConfiguration, bool), OperatorError> {
    let (body, is_damaged) = crate::data_folder::newest_configuration(path)?;
    Ok((parse(body, &path.display().to_string())?, is_damaged))
}

/// The newest configuration of the fleet.
///
/// # Errors
///
/// No machine gives a definite response, there is no configuration yet, or it cannot be parsed.
pub async fn newest(machines: &[SocketAddr]) -> Result<LoadedConfiguration, OperatorError> {
    let response = send_to_any(machines, &Call::read(READ_PATH)).await?;
    match response.status {
        StatusCode::OK => parse(response.body, &response.machine.to_string()),
        StatusCode::NOT_FOUND => Err(OperatorError::NoConfiguration),
        status => Err(OperatorError::Refused { status: status.as_u16(), reason: response.text() }),
    }
}

/// The result of applying a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AppliedConfiguration {
    /// The version that it is based on.
    pub base: u64,
    /// Its version. It is in force, or was before a newer one replaced it.
    pub version: u64,
}

/// Applies the configuration in a file, based on version `base`, or on the newest if that is `None`.
///
/// # Errors
///
/// The file is invalid or contains hidden keys, no machine gives a definite response, or the fleet refuses
/// because `base` is not the current version.
pub async fn put(
    machines: &[SocketAddr],
    path: &Path,
    base: Option<u64>,
) -> Result<AppliedConfiguration, OperatorError> {
    let LoadedConfiguration { body, parsed } = from_file(path)?;
    let has_hidden_keys =
        parsed.tenants.iter().any(|tenant| tenant.api_keys.iter().any(|key| key == HIDDEN_KEY));
    if has_hidden_keys {
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
    let response = send_to_any(machines, &Call::replace(base, body)).await?;
    if response.status.is_success() {
        return Ok(AppliedConfiguration { base, version: parsed.version });
    }
    Err(OperatorError::Refused { status: response.status.as_u16(), reason: response.text() })
}

/// A version that was applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The version.
    pub version: u64,
    /// The version that it is based on.
    pub base: u64,
    /// Length of its JSON in bytes.
    pub bytes: u64,
}

#[derive(Deserialize)]
struct HistoryResponse {
    versions: Vec<HistoryEntry>,
}

/// The versions that were applied, oldest first, from the responding machine that knows the newest version.
///
/// # Errors
///
/// No machine responds, or a response cannot be parsed.
pub async fn history(machines: &[SocketAddr]) -> Result<Vec<HistoryEntry>, OperatorError> {
    let mut best: Option<Vec<HistoryEntry>> = None;
    let mut failures = Vec::new();
    for machine in machines {
        let response = match send_once(*machine, &Call::read(HISTORY_PATH)).await {
            Ok(response) if response.status.is_success() => response,
            Ok(response) => {
                failures.push(format!("{machine}: {}", response.status));
                continue;
            }
            Err(reason) => {
                failures.push(format!("{machine}: {reason}"));
                continue;
            }
        };
        let parsed: Result<HistoryResponse, _> = sonic_rs::from_slice(&response.body);
        let parsed = parsed
            .map_err(|error| invalid_response(&machine.to_string(), HISTORY_PATH, error.to_string()))?;
        let newest = |versions: &Vec<HistoryEntry>| versions.last().map_or(0, |entry| entry.version);
        if best.as_ref().is_none_or(|best| newest(best) < newest(&parsed.versions)) {
            best = Some(parsed.versions);
        }
    }
    match best {
        Some(versions) => Ok(versions),
        None if machines.is_empty() => Err(OperatorError::NoControlAddress),
        None => Err(OperatorError::NoResponse { tried: failures.join("; ") }),
    }
}
