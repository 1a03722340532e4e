//! The state of the fleet, collected from the status pages of its control machines.

mod findings;
mod page;
mod text;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Serialize;

pub use findings::{Finding, findings};
pub use page::{
    AgentConnection, Configuration, DisconnectedAgent, Group, Member, ServerListState, StatusPage,
};
pub use text::text;

use crate::api::{Call, send_once};
use crate::error::OperatorError;

const STATUS_PATH: &str = "/api/status";
/// Maximum number of control machines to query.
const MAX_MACHINES: usize = 64;

/// One control machine: its status page, or why there is none.
#[derive(Debug, Clone, Serialize)]
pub struct Machine {
    /// Control address.
    pub control: SocketAddr,
    /// Its status page; `None` if it did not respond.
    pub page: Option<StatusPage>,
    /// Why there is no status page; `None` if there is one.
    pub failure: Option<String>,
}

/// The status of all control machines.
#[derive(Debug, Clone, Serialize)]
pub struct FleetStatus {
    /// The given machines and the group members that they report, by address.
    pub machines: Vec<Machine>,
}

impl FleetStatus {
    /// The page of the machine that holds the leader lease, or else of any machine that responded.
    pub fn preferred_page(&self) -> Option<&StatusPage> {
        let pages = || self.machines.iter().filter_map(|machine| machine.page.as_ref());
        let holds_lease = |page: &&StatusPage| page.group().is_some_and(|group| group.holds_lease);
        pages().find(holds_lease).or_else(|| pages().next())
    }

    /// The newest version in force on any machine; 0 if there is none.
    pub fn newest_version(&self) -> u64 {
        let pages = self.machines.iter().filter_map(|machine| machine.page.as_ref());
        pages.map(|page| page.configuration.version).max().unwrap_or(0)
    }
}

/// Queries the given machines and the group members that they report.
///
/// # Errors
///
/// No address is given, or no machine responds.
pub async fn collect(machines: &[SocketAddr]) -> Result<FleetStatus, OperatorError> {
    if machines.is_empty() {
        return Err(OperatorError::NoControlAddress);
    }
    let mut queried = BTreeSet::new();
    let mut pending: Vec<SocketAddr> = machines.to_vec();
    let mut queried_machines = Vec::new();
    while let Some(control) = pending.pop() {
        if queried_machines.len() >= MAX_MACHINES || !queried.insert(control) {
            continue;
        }
        let machine = query(control).await?;
        let groups = machine.page.iter().flat_map(|page| &page.groups);
        pending.extend(groups.flat_map(|group| &group.members).map(|member| member.control));
        queried_machines.push(machine);
    }
    queried_machines.sort_by_key(|machine| machine.control);
    if queried_machines.iter().any(|machine| machine.page.is_some()) {
        return Ok(FleetStatus { machines: queried_machines });
    }
    let failure = |machine: &Machine| {
        let reason = machine.failure.as_deref().unwrap_or_default();
        format!("{}: {reason}", machine.control)
    };
    let tried: Vec<String> = queried_machines.iter().map(failure).collect();
    Err(OperatorError::NoResponse { tried: tried.join("; ") })
}

async fn query(control: SocketAddr) -> Result<Machine, OperatorError> {
    let response = match send_once(control, &Call::read(STATUS_PATH)).await {
        Ok(response) if response.status.is_success() => response,
        Ok(response) => {
            return Ok(Machine { control, page: None, failure: Some(response.status.to_string()) });
        }
        Err(reason) => return Ok(Machine { control, page: None, failure: Some(reason) }),
    };
    match sonic_rs::from_slice(&response.body) {
        Ok(page) => Ok(Machine { control, page: Some(page), failure: None }),
        Err(error) => {
            let reason = error.to_string();
            Err(OperatorError::InvalidResponse { place: control.to_string(), path: STATUS_PATH, reason })
        }
    }
}
