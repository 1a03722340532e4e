//! Who is not in touch, and why.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::FleetStatus;
use super::page::{Group, Member, StatusPage};

/// Silence after which a member counts as not in touch, in milliseconds.
const SILENT_MS: u64 = 3_000;
/// Entries from which a member's lag is told.
const LAGGING_ENTRIES: u64 = 64;
/// Age from which the list of servers is told to be old, in milliseconds.
const OLD_ROSTER_MS: u64 = 5_000;

/// Something that needs a look.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The machine or agent; `fleet` for all.
    #[serde(rename = "who")]
    pub subject: String,
    /// What is wrong, and what to do.
    #[serde(rename = "why")]
    pub problem: String,
}

fn finding(subject: impl ToString, problem: impl Into<String>) -> Finding {
    Finding { subject: subject.to_string(), problem: problem.into() }
}

/// All that needs a look; empty if everything is in touch.
pub fn findings(fleet: &FleetStatus) -> Vec<Finding> {
    let mut found = Vec::new();
    found.extend(silent_machines(fleet));
    found.extend(leadership(fleet));
    found.extend(disks(fleet));
    found.extend(members(fleet));
    found.extend(agents(fleet));
    found.extend(roster(fleet));
    found
}

fn pages(fleet: &FleetStatus) -> impl Iterator<Item = (String, &StatusPage)> {
    let page = |machine: &'_ super::Machine| machine.control.to_string();
    fleet.machines.iter().filter_map(move |machine| Some((page(machine), machine.page.as_ref()?)))
}

fn silent_machines(fleet: &FleetStatus) -> Vec<Finding> {
    let why = |reason: &String| {
        format!("does not answer ({reason}); see whether dunelink-control runs there and can be reached")
    };
    let silent =
        fleet.machines.iter().filter_map(|machine| Some((machine.control, machine.failure.as_ref()?)));
    silent.map(|(control, reason)| finding(control, why(reason))).collect()
}

fn leadership(fleet: &FleetStatus) -> Vec<Finding> {
    let holders =
        pages(fleet).filter(|(_, page)| page.group().is_some_and(|group| group.holds_lease)).count();
    if holders == 0 {
        let why = "no machine that answers holds the leader lease: orders wait; over half of the voters must run and \
                   reach one another";
        return vec![finding("fleet", why)];
    }
    let leaders: BTreeSet<_> =
        pages(fleet).filter_map(|(_, page)| page.group()?.leader).map(|leader| leader.to_string()).collect();
    if leaders.len() <= 1 {
        return Vec::new();
    }
    let names: Vec<String> = leaders.into_iter().collect();
    vec![finding(
        "fleet",
        format!("machines name different leaders ({}); ask again in a second", names.join(", ")),
    )]
}

fn disks(fleet: &FleetStatus) -> Vec<Finding> {
    let why = "its disk refuses writes: free space or replace the disk; its process need not be restarted";
    let unhealthy = |page: &StatusPage| page.groups.iter().any(|group| !group.disk_healthy);
    pages(fleet).filter(|(_, page)| unhealthy(page)).map(|(control, _)| finding(control, why)).collect()
}

fn leading_group(fleet: &FleetStatus) -> Option<&Group> {
    fleet.preferred_page()?.group().filter(|group| group.holds_lease)
}

fn members(fleet: &FleetStatus) -> Vec<Finding> {
    let Some(group) = leading_group(fleet) else { return Vec::new() };
    let mut found = Vec::new();
    for member in group.members.iter().filter(|member| member.id != group.id) {
        found.extend(member_trouble(member).map(|why| finding(member.control, why)));
    }
    found
}

fn member_trouble(member: &Member) -> Option<String> {
    match member.last_contact_ms {
        None => return Some("never heard by the leader since its election; see whether it runs".to_owned()),
        Some(age) if age > SILENT_MS => {
            return Some(format!(
                "not heard by the leader for {age} ms; see the links between core machines"
            ));
        }
        Some(_) => {}
    }
    if member.disk_healthy == Some(false) {
        return Some(
            "tells the leader that its disk refuses writes; free space or replace the disk".to_owned(),
        );
    }
    let lag = member.lag_entries.filter(|lag| *lag >= LAGGING_ENTRIES)?;
    Some(format!("{lag} entries behind the leader; it catches up by itself while its link and disk are well"))
}

/// Agents that are connected nowhere, and those that were sent an older configuration than the newest.
fn agents(fleet: &FleetStatus) -> Vec<Finding> {
    let readers = || pages(fleet).flat_map(|(_, page)| &page.agents);
    let connected: BTreeSet<&str> = readers().map(|reader| reader.node.as_str()).collect();
    let mut left: BTreeMap<&str, u64> = BTreeMap::new();
    for leaver in pages(fleet).flat_map(|(_, page)| &page.disconnected_agents) {
        let since = left.entry(&leaver.node).or_insert(leaver.since_ms);
        *since = leaver.since_ms.min(*since);
    }
    let absent = left.into_iter().filter(|(node, _)| !connected.contains(node)).map(|(node, since)| {
        let why = format!(
            "its agent left {since} ms ago and is connected to no machine that answers; see its process and its \
             links to the core"
        );
        finding(node, why)
    });
    let newest = fleet.newest_version();
    let behind = readers().filter(|reader| reader.version < newest).map(|reader| {
        let why = format!(
            "its agent was sent version {} of {newest}; it is being sent, or its link is slow",
            reader.version
        );
        finding(&reader.node, why)
    });
    absent.chain(behind).collect()
}

fn roster(fleet: &FleetStatus) -> Vec<Finding> {
    let Some(page) = fleet.preferred_page() else { return Vec::new() };
    let advice = "the platform's list is not being read; see `cloudApi.address` and the leader's log";
    match page.server_list.age_ms {
        None => vec![finding("fleet", format!("the list of servers was never read: {advice}"))],
        Some(age) if age > OLD_ROSTER_MS => {
            vec![finding("fleet", format!("the list of servers is {age} ms old: {advice}"))]
        }
        Some(_) => Vec::new(),
    }
}
