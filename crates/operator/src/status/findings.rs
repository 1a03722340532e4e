//! Detects problems in the state of the fleet.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::FleetStatus;
use super::page::{Group, Member, StatusPage};

/// Time without contact to the leader after which a member is reported, in milliseconds.
const MAX_CONTACT_AGE_MS: u64 = 3_000;
/// Lag behind the leader's log from which a member is reported, in entries.
const REPORTED_LAG_ENTRIES: u64 = 64;
/// Age above which the server list is reported as outdated, in milliseconds.
const MAX_SERVER_LIST_AGE_MS: u64 = 5_000;

/// A problem that needs attention.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Control address of the machine, node name of the agent, or `fleet`.
    #[serde(rename = "who")]
    pub subject: String,
    /// The problem and its remedy.
    #[serde(rename = "why")]
    pub problem: String,
}

fn finding(subject: impl ToString, problem: impl Into<String>) -> Finding {
    Finding { subject: subject.to_string(), problem: problem.into() }
}

/// All problems; empty if the fleet is healthy.
pub fn findings(fleet: &FleetStatus) -> Vec<Finding> {
    let mut findings = Vec::new();
    findings.extend(unreachable_machines(fleet));
    findings.extend(leadership_problems(fleet));
    findings.extend(disk_problems(fleet));
    findings.extend(member_problems(fleet));
    findings.extend(agent_problems(fleet));
    findings.extend(server_list_problems(fleet));
    findings
}

fn pages(fleet: &FleetStatus) -> impl Iterator<Item = (String, &StatusPage)> {
    let page = |machine: &'_ super::Machine| machine.control.to_string();
    fleet.machines.iter().filter_map(move |machine| Some((page(machine), machine.page.as_ref()?)))
}

fn unreachable_machines(fleet: &FleetStatus) -> Vec<Finding> {
    let problem = |reason: &String| {
        format!("does not respond ({reason}); check that dunelink-control runs there and is reachable")
    };
    let unreachable =
        fleet.machines.iter().filter_map(|machine| Some((machine.control, machine.failure.as_ref()?)));
    unreachable.map(|(control, reason)| finding(control, problem(reason))).collect()
}

fn leadership_problems(fleet: &FleetStatus) -> Vec<Finding> {
    let lease_holders =
        pages(fleet).filter(|(_, page)| page.group().is_some_and(|group| group.holds_lease)).count();
    if lease_holders == 0 {
        let problem = "no responding machine holds the leader lease: changes wait; a majority of the voters \
                   must run and be connected";
        return vec![finding("fleet", problem)];
    }
    let leaders: BTreeSet<_> =
        pages(fleet).filter_map(|(_, page)| page.group()?.leader).map(|leader| leader.to_string()).collect();
    if leaders.len() <= 1 {
        return Vec::new();
    }
    let names: Vec<String> = leaders.into_iter().collect();
    vec![finding(
        "fleet",
        format!("machines report different leaders ({}); retry in a second", names.join(", ")),
    )]
}

fn disk_problems(fleet: &FleetStatus) -> Vec<Finding> {
    let problem =
        "its disk refuses writes: free space or replace the disk; a restart of its process is not needed";
    let unhealthy = |page: &StatusPage| page.groups.iter().any(|group| !group.disk_healthy);
    pages(fleet).filter(|(_, page)| unhealthy(page)).map(|(control, _)| finding(control, problem)).collect()
}

fn leading_group(fleet: &FleetStatus) -> Option<&Group> {
    fleet.preferred_page()?.group().filter(|group| group.holds_lease)
}

fn member_problems(fleet: &FleetStatus) -> Vec<Finding> {
    let Some(group) = leading_group(fleet) else { return Vec::new() };
    let mut findings = Vec::new();
    for member in group.members.iter().filter(|member| member.id != group.id) {
        findings.extend(member_problem(member).map(|problem| finding(member.control, problem)));
    }
    findings
}

fn member_problem(member: &Member) -> Option<String> {
    match member.last_contact_ms {
        None => return Some("no contact to the leader since its election; check its process".to_owned()),
        Some(age) if age > MAX_CONTACT_AGE_MS => {
            return Some(format!(
                "no contact to the leader for {age} ms; check the network between the control machines"
            ));
        }
        Some(_) => {}
    }
    if member.disk_healthy == Some(false) {
        return Some("its disk refuses writes; free space or replace the disk".to_owned());
    }
    let lag = member.lag_entries.filter(|lag| *lag >= REPORTED_LAG_ENTRIES)?;
    Some(format!("{lag} entries behind the leader; it catches up while its network and disk are healthy"))
}

/// Agents without a connection, and agents that were not yet sent the newest configuration.
fn agent_problems(fleet: &FleetStatus) -> Vec<Finding> {
    let connections = || pages(fleet).flat_map(|(_, page)| &page.agents);
    let connected: BTreeSet<&str> = connections().map(|connection| connection.node.as_str()).collect();
    let mut disconnected: BTreeMap<&str, u64> = BTreeMap::new();
    for agent in pages(fleet).flat_map(|(_, page)| &page.disconnected_agents) {
        let since = disconnected.entry(&agent.node).or_insert(agent.since_ms);
        *since = agent.since_ms.min(*since);
    }
    let absent =
        disconnected.into_iter().filter(|(node, _)| !connected.contains(node)).map(|(node, since)| {
            let problem = format!(
                "its agent disconnected {since} ms ago and is connected to no responding machine; check its \
             process and its network to the control machines"
            );
            finding(node, problem)
        });
    let newest = fleet.newest_version();
    let outdated = connections().filter(|connection| connection.version < newest).map(|connection| {
        let problem = format!(
            "its agent was sent version {} of {newest}; the newest is in transfer, or the network is slow",
            connection.version
        );
        finding(&connection.node, problem)
    });
    absent.chain(outdated).collect()
}

fn server_list_problems(fleet: &FleetStatus) -> Vec<Finding> {
    let Some(page) = fleet.preferred_page() else { return Vec::new() };
    let advice =
        "the platform's server list is not being read; check `cloudApi.address` and the leader's log";
    match page.server_list.age_ms {
        None => vec![finding("fleet", format!("the server list was never read: {advice}"))],
        Some(age) if age > MAX_SERVER_LIST_AGE_MS => {
            vec![finding("fleet", format!("the server list is {age} ms old: {advice}"))]
        }
        Some(_) => Vec::new(),
    }
}
