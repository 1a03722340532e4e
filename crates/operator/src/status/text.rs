//! Formats the state of the fleet as human-readable text.

use std::fmt::Write as _;

use super::page::{AgentConnection, Group, Member, StatusPage};
use super::{FleetStatus, Machine, findings};

/// The complete state, with one section per part.
pub fn text(fleet: &FleetStatus) -> String {
    let mut out = String::new();
    // Writing to a string cannot fail.
    let _ = write(&mut out, fleet);
    out
}

fn write(out: &mut String, fleet: &FleetStatus) -> std::fmt::Result {
    if let Some(page) = fleet.preferred_page() {
        write_overview(out, page, fleet.newest_version())?;
        if let Some(group) = page.group() {
            write_members(out, group)?;
        }
    }
    write_machines(out, fleet)?;
    write_agents(out, fleet)?;
    let problems = findings(fleet);
    if problems.is_empty() {
        return writeln!(out, "\nno problems found");
    }
    writeln!(out, "\nproblems")?;
    problems.iter().try_for_each(|finding| writeln!(out, "  {}: {}", finding.subject, finding.problem))
}

fn write_overview(out: &mut String, page: &StatusPage, version: u64) -> std::fmt::Result {
    let group = page.group();
    let leader = group.and_then(|group| group.leader).map_or_else(|| "none".to_owned(), |at| at.to_string());
    let term = group.map_or(0, |group| group.term);
    let commit_index = group.map_or(0, |group| group.commit_index);
    let server_list = &page.server_list;
    let age = server_list.age_ms.map_or_else(|| "never read".to_owned(), |age| format!("{age} ms old"));
    writeln!(out, "leader {leader}, term {term}, committed {commit_index}")?;
    writeln!(out, "configuration {version}, {} bytes", page.configuration.bytes)?;
    writeln!(
        out,
        "servers {}, list at {}.{}, {age}",
        server_list.servers, server_list.term, server_list.position
    )
}

fn write_members(out: &mut String, group: &Group) -> std::fmt::Result {
    writeln!(
        out,
        "\nmembers of {}, as seen by its leader or by the first machine that responded",
        group.name
    )?;
    writeln!(out, "  {:<22} {:<10} {:<14} {:>6} {:>9}", "control", "zone", "role", "lag", "silent ms")?;
    group.members.iter().try_for_each(|member| writeln!(out, "{}", member_line(member, group)))
}

fn member_line(member: &Member, group: &Group) -> String {
    let number = |value: Option<u64>| value.map_or_else(|| "-".to_owned(), |value| value.to_string());
    let role = if member.voter { "voter" } else { "learner" };
    let own = if member.id == group.id { " (itself)" } else { "" };
    let (control, zone) = (member.control.to_string(), &member.zone);
    let (lag, heard) = (number(member.lag_entries), number(member.last_contact_ms));
    format!("  {control:<22} {zone:<10} {:<14} {lag:>6} {heard:>9}", format!("{role}{own}"))
}

fn write_machines(out: &mut String, fleet: &FleetStatus) -> std::fmt::Result {
    writeln!(out, "\ncontrol machines")?;
    let header = ("control", "role", "term", "synced", "commit", "snapshot", "disk bytes", "version");
    let (a, b, c, d, e, f, g, h) = header;
    writeln!(out, "  {a:<22} {b:<10} {c:>6} {d:>8} {e:>8} {f:>8} {g:>10} {h:>8}  disk")?;
    fleet.machines.iter().try_for_each(|machine| writeln!(out, "{}", machine_line(machine)))
}

fn machine_line(machine: &Machine) -> String {
    let control = machine.control.to_string();
    let Some((page, group)) = machine.page.as_ref().and_then(|page| Some((page, page.group()?))) else {
        let reason = machine.failure.as_deref().unwrap_or("not in a replica group");
        return format!("  {control:<22} no response: {reason}");
    };
    let disk = if group.disk_healthy { "healthy" } else { "refuses writes" };
    format!(
        "  {control:<22} {:<10} {:>6} {:>8} {:>8} {:>8} {:>10} {:>8}  {disk}",
        group.role,
        group.term,
        group.synced_index,
        group.commit_index,
        group.snapshot_index,
        group.disk_bytes,
        page.configuration.version,
    )
}

fn write_agents(out: &mut String, fleet: &FleetStatus) -> std::fmt::Result {
    writeln!(out, "\nagents, and the versions sent to them")?;
    writeln!(out, "  {:<20} {:<22} {:>8} {:>12}", "node", "connected to", "version", "server list")?;
    let mut lines: Vec<(&AgentConnection, String)> = Vec::new();
    for machine in &fleet.machines {
        let connections = machine.page.iter().flat_map(|page| &page.agents);
        lines.extend(connections.map(|connection| (connection, machine.control.to_string())));
    }
    lines.sort_by(|left, right| left.0.node.cmp(&right.0.node));
    lines.iter().try_for_each(|(connection, control)| {
        let list = format!("{}.{}", connection.server_list_term, connection.server_list_position);
        writeln!(out, "  {:<20} {control:<22} {:>8} {list:>12}", connection.node, connection.version)
    })
}
