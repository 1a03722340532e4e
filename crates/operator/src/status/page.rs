//! The status page of one control machine, as it is sent.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The page. Fields that are not known are ignored.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct StatusPage {
    /// The replica groups that the machine is in.
    pub groups: Vec<Group>,
    /// The configuration in force there.
    pub configuration: Configuration,
    /// The list of servers held there.
    #[serde(rename = "roster")]
    pub server_list: ServerListState,
    /// The agents connected there.
    #[serde(rename = "readers")]
    pub agents: Vec<AgentConnection>,
    /// Agents that were connected there and are not any more.
    #[serde(default, rename = "absentReaders")]
    pub disconnected_agents: Vec<DisconnectedAgent>,
    /// Connections opened to other control machines.
    #[serde(rename = "links")]
    pub control_connections: u64,
}

impl StatusPage {
    /// The group of the configuration.
    pub fn group(&self) -> Option<&Group> {
        self.groups.first()
    }
}

/// One replica group, as the machine sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Group {
    /// Its name.
    pub name: String,
    /// Identity of the replica on this machine.
    pub id: String,
    /// `leader`, `follower`, `candidate` or `learner`.
    pub role: String,
    /// Control address of the leader, if one is known.
    pub leader: Option<SocketAddr>,
    /// Whether this machine leads and no other can.
    pub holds_lease: bool,
    /// Newest term seen.
    pub term: u64,
    /// Last entry of the log.
    pub last_index: u64,
    /// Last entry that is durable here.
    pub synced_index: u64,
    /// Last entry known to be committed.
    pub commit_index: u64,
    /// Last entry that the snapshot contains.
    pub snapshot_index: u64,
    /// Bytes of the log in memory.
    pub log_bytes: u64,
    /// Bytes of all files on the disk.
    pub disk_bytes: u64,
    /// Whether the disk takes writes.
    pub disk_healthy: bool,
    /// Voters and learners.
    pub members: Vec<Member>,
}

/// A member of a group. What is known of others is known to the leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Member {
    /// Its identity.
    pub id: String,
    /// Its control address.
    pub control: SocketAddr,
    /// Its zone; empty if it is not known.
    pub zone: String,
    /// Whether it votes.
    pub voter: bool,
    /// Entries that it is behind the leader's log.
    pub lag_entries: Option<u64>,
    /// Time since it was last heard, in milliseconds.
    #[serde(rename = "heardMs")]
    pub last_contact_ms: Option<u64>,
    /// Whether its disk takes writes.
    pub disk_healthy: Option<bool>,
}

/// The configuration in force.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Configuration {
    /// Its version; 0 before the first.
    pub version: u64,
    /// Length of its JSON in bytes.
    pub bytes: u64,
}

/// The list of servers.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ServerListState {
    /// Servers in it.
    pub servers: u64,
    /// Term of the leader that read it.
    #[serde(rename = "epoch")]
    pub term: u64,
    /// Its position in that term.
    #[serde(rename = "sequence")]
    pub position: u64,
    /// Time since it was confirmed, in milliseconds.
    pub age_ms: Option<u64>,
}

/// An agent that is connected.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct AgentConnection {
    /// Name of its machine.
    pub node: String,
    /// Version of the configuration that it was sent.
    pub version: u64,
    /// Term of the list of servers that it was sent.
    #[serde(rename = "rosterEpoch")]
    pub server_list_term: u64,
    /// Position in it.
    #[serde(rename = "rosterSequence")]
    pub server_list_position: u64,
}

/// An agent that left.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct DisconnectedAgent {
    /// Name of its machine.
    pub node: String,
    /// Time since it left, in milliseconds.
    pub since_ms: u64,
}
