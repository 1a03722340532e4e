//! Parser for the pages of the platform's list of servers.

use dunelink_protocol::ServerEntry;
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use thiserror::Error;

/// An invalid page; the whole list is read again.
#[derive(Debug, Error)]
pub enum ListError {
    /// The page is not JSON.
    #[error("a page of the server list is not valid JSON: {0}; the list is read again")]
    Malformed(#[from] sonic_rs::Error),
    /// A required field is missing or has another type.
    #[error("a page of the server list lacks the field `{0}`; the list is read again")]
    Missing(&'static str),
}

/// A page of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListPage {
    /// Servers of the page.
    pub servers: Vec<ServerEntry>,
    /// Token of the next page; `None` on the last one.
    pub next_token: Option<String>,
}

/// Parses a page.
///
/// # Errors
///
/// The page is not JSON, or a server lacks its id, service or address.
pub fn parse_page(bytes: &[u8]) -> Result<ListPage, ListError> {
    let page: Value = sonic_rs::from_slice(bytes)?;
    let instances = page.get("instances").and_then(|value| value.as_array());
    let instances = instances.ok_or(ListError::Missing("instances"))?;
    let servers = instances.iter().map(server_entry).collect::<Result<Vec<_>, _>>()?;
    let next_token = page.get("nextToken").as_str().filter(|token| !token.is_empty()).map(str::to_owned);
    Ok(ListPage { servers, next_token })
}

fn server_entry(value: &Value) -> Result<ServerEntry, ListError> {
    let weights = value.pointer(&sonic_rs::pointer!["models", 0, "version"]).as_u64();
    Ok(ServerEntry {
        id: required_text(value, "id")?,
        service: required_text(value, "service")?,
        address: required_text(value, "address")?,
        zone: value.get("zone").as_str().unwrap_or_default().to_owned(),
        slots: value.get("slots").as_u64().map_or(1, |slots| u32::try_from(slots).unwrap_or(u32::MAX)),
        ready: value.get("state").as_str().is_none_or(|state| state == "ready"),
        cold_remaining_ms: value.get("coldRemainingMs").as_f64().unwrap_or(0.0).max(0.0) as u64,
        software_version: value.get("version").as_str().unwrap_or_default().to_owned(),
        weights_version: weights,
    })
}

fn required_text(value: &Value, key: &'static str) -> Result<String, ListError> {
    value.get(key).as_str().map(str::to_owned).ok_or(ListError::Missing(key))
}
