//! The status page: a JSON document for people and tools.

use dunelink_replication::Role;
use sonic_rs::{Value, json};

use crate::engine::Engine;
use crate::node::Node;

/// Microseconds in a millisecond.
const MILLISECOND: u64 = 1_000;

/// The status of this machine, as JSON.
pub fn page(engine: &Engine) -> Vec<u8> {
    let agents: Vec<Value> = engine
        .connected_agents()
        .into_iter()
        .map(|(node, (version, epoch, sequence))| {
            json!({"node": node, "version": version, "rosterEpoch": epoch, "rosterSequence": sequence})
        })
        .collect();
    let disconnected: Vec<Value> = engine
        .disconnected_agents()
        .into_iter()
        .map(|(node, elapsed)| json!({"node": node, "sinceMs": elapsed / MILLISECOND}))
        .collect();
    let page = engine.inspect(|node, now| {
        json!({
            "groups": [group(node, now, engine.disk_bytes())],
            "configuration": configuration(node),
            "roster": roster(node, now),
            "readers": agents,
            "absentReaders": disconnected,
            "links": engine.link_count(),
        })
    });
    sonic_rs::to_vec(&page).unwrap_or_default()
}

/// History of the applied versions as JSON, oldest first, without the content of configurations.
pub fn history(engine: &Engine) -> Vec<u8> {
    let versions: Vec<Value> = engine.inspect(|node, _| {
        let history = node.state().history();
        history
            .map(|applied| json!({"version": applied.version, "base": applied.base, "bytes": applied.bytes}))
            .collect()
    });
    sonic_rs::to_vec(&json!({"versions": versions})).unwrap_or_default()
}

fn group(node: &Node, now: u64, disk_bytes: u64) -> Value {
    let status = node.replica().status(now);
    let members: Vec<Value> = status
        .membership
        .all_members()
        .map(|member| {
            let peer = status.peers.iter().find(|peer| peer.id == member.id);
            let lag_entries = peer.map(|peer| status.last_index.saturating_sub(peer.match_index));
            let contact_age_ms = peer.and_then(|peer| peer.since_last_message).map(|age| age / MILLISECOND);
            json!({
                "id": member.id.to_string(),
                "control": member.control_address.to_string(),
                "zone": member.zone.as_str(),
                "voter": status.membership.is_voter(member.id),
                "lagEntries": lag_entries,
                "heardMs": contact_age_ms,
                "diskHealthy": peer.map(|peer| peer.disk_healthy),
            })
        })
        .collect();
    json!({
        "name": "configuration",
        "id": status.me.id.to_string(),
        "role": role(status.role),
        "leader": status.leader.as_ref().map(|leader| leader.control_address.to_string()),
        "holdsLease": status.holds_lease,
        "term": status.term,
        "lastIndex": status.last_index,
        "syncedIndex": status.synced_index,
        "commitIndex": status.commit_index,
        "snapshotIndex": status.snapshot_index,
        "logBytes": status.log_bytes as u64,
        "diskBytes": disk_bytes,
        "diskHealthy": status.disk_healthy,
        "members": members,
    })
}

fn configuration(node: &Node) -> Value {
    json!({"version": node.state().version(), "bytes": node.state().body().len() as u64})
}

fn roster(node: &Node, now: u64) -> Value {
    let offset = node.feed().roster.offset().unwrap_or_default();
    json!({
        "servers": node.feed().roster.len() as u64,
        "epoch": offset.epoch,
        "sequence": offset.sequence,
        "ageMs": node.feed().freshness.roster_age_ms(now),
    })
}

fn role(role: Role) -> &'static str {
    match role {
        Role::Follower => "follower",
        Role::Learner => "learner",
        Role::Candidate => "candidate",
        Role::Leader => "leader",
    }
}
