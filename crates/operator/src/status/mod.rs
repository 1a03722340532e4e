//! The state of the whole fleet, put together from the status pages of its control machines.

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

const STATUS: &str = "/api/status";
/// Control machines that are asked at most.
const MAX_MACHINES: usize = 64;

/// One control machine: its page, or why there is none.
#[derive(Debug, Clone, Serialize)]
pub struct Machine {
    /// Its control address.
    pub control: SocketAddr,
    /// Its page; none if it did not answer.
    pub page: Option<StatusPage>,
    /// Why it did not answer.
    pub failure: Option<String>,
}

/// What the control machines tell.
#[derive(Debug, Clone, Serialize)]
pub struct FleetStatus {
    /// The machines named and the members that they name, by address.
    pub machines: Vec<Machine>,
}

impl FleetStatus {
    /// The page of the machine that holds the leader lease, else of any that answered.
    pub fn preferred_page(&self) -> Option<&StatusPage> {
        let pages = || self.machines.iter().filter_map(|machine| machine.page.as_ref());
        let leads = |page: &&StatusPage| page.group().is_some_and(|group| group.holds_lease);
        pages().find(leads).or_else(|| pages().next())
    }

    /// The newest version in force that any machine tells.
    pub fn newest_version(&self) -> u64 {
        let pages = self.machines.iter().filter_map(|machine| machine.page.as_ref());
        pages.map(|page| page.configuration.version).max().unwrap_or(0)
    }
}

/// Asks these machines, and the members that they name.
///
/// # Errors
///
/// No address is given, or no machine answers.
pub async fn collect(machines: &[SocketAddr]) -> Result<FleetStatus, OperatorError> {
    if machines.is_empty() {
        return Err(OperatorError::NoControlAddress);
    }
    let mut asked = BTreeSet::new();
    let mut waiting: Vec<SocketAddr> = machines.to_vec();
    let mut found = Vec::new();
    while let Some(control) = waiting.pop() {
        if found.len() >= MAX_MACHINES || !asked.insert(control) {
            continue;
        }
        let machine = ask(control).await?;
        let groups = machine.page.iter().flat_map(|page| &page.groups);
        waiting.extend(groups.flat_map(|group| &group.members).map(|member| member.control));
        found.push(machine);
    }
    found.sort_by_key(|machine| machine.control);
    if found.iter().any(|machine| machine.page.is_some()) {
        return Ok(FleetStatus { machines: found });
    }
    let failure = |machine: &Machine| {
        let reason = machine.failure.as_deref().unwrap_or_default();
        format!("{}: {reason}", machine.control)
    };
    let tried: Vec<String> = found.iter().map(failure).collect();
    Err(OperatorError::NoResponse { tried: tried.join("; ") })
}

async fn ask(control: SocketAddr) -> Result<Machine, OperatorError> {
    let reply = match send_once(control, &Call::read(STATUS)).await {
        Ok(reply) if reply.status.is_success() => reply,
        Ok(reply) => {
            return Ok(Machine { control, page: None, failure: Some(reply.status.to_string()) });
        }
        Err(reason) => return Ok(Machine { control, page: None, failure: Some(reason) }),
    };
    match sonic_rs::from_slice(&reply.body) {
        Ok(page) => Ok(Machine { control, page: Some(page), failure: None }),
        Err(error) => {
            let reason = error.to_string();
            Err(OperatorError::InvalidResponse { place: control.to_string(), path: STATUS, reason })
        }
    }
}
