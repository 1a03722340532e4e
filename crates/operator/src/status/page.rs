//! The status page of one control machine, as returned by `/api/status`.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A status page. Unknown fields are ignored.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct StatusPage {
    /// The replica groups of which the machine is a member.
    pub groups: Vec<Group>,
    /// The configuration in force on the machine.
    pub configuration: Configuration,
    /// State of the server list on the machine.
    #[serde(rename = "roster")]
    pub server_list: ServerListState,
    /// The agents connected to the machine.
    #[serde(rename = "readers")]
    pub agents: Vec<AgentConnection>,
    /// Agents that were connected to the machine and disconnected.
    #[serde(default, rename = "absentReaders")]
    pub disconnected_agents: Vec<DisconnectedAgent>,
    /// Number of connections opened to other control machines.
    #[serde(rename = "links")]
    pub control_connections: u64,
}

impl StatusPage {
    /// The replica group of the configuration; `None` if the machine is in no group.
    pub fn group(&self) -> Option<&Group> {
        self.groups.first()
    }
}

/// One replica group, from the machine's point of view.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Group {
    /// Name of the group.
    pub name: String,
    /// Identity of the replica on this machine.
    pub id: String,
    /// `leader`, `follower`, `candidate` or `learner`.
    pub role: String,
    /// Control address of the leader; `None` if it is unknown.
    pub leader: Option<SocketAddr>,
    /// Whether this machine holds the leader lease, so that no other machine can lead.
    pub holds_lease: bool,
    /// Highest known term.
    pub term: u64,
    /// Index of the last log entry.
    pub last_index: u64,
    /// Index of the last entry that is durable on this machine.
    pub synced_index: u64,
    /// Index of the last entry known to be committed.
    pub commit_index: u64,
    /// Index of the last entry that the snapshot covers.
    pub snapshot_index: u64,
    /// Size of the log in memory, in bytes.
    pub log_bytes: u64,
    /// Size of all files on disk, in bytes.
    pub disk_bytes: u64,
    /// Whether the disk accepts writes.
    pub disk_healthy: bool,
    /// All voters and learners.
    pub members: Vec<Member>,
}

/// A member of a group. Lag, contact and disk state of other members are known to the leader only.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Member {
    /// Identity of its replica.
    pub id: String,
    /// Control address.
    pub control: SocketAddr,
    /// Zone; empty if it is unknown.
    pub zone: String,
    /// Whether it is a voter; otherwise it is a learner.
    pub voter: bool,
    /// Number of entries by which it lags behind the leader's log; `None` if unknown.
    pub lag_entries: Option<u64>,
    /// Time since the leader last received a message from it, in milliseconds; `None` if it never did or is
    /// unknown.
    #[serde(rename = "heardMs")]
    pub last_contact_ms: Option<u64>,
    /// Whether its disk accepts writes; `None` if unknown.
    pub disk_healthy: Option<bool>,
}

/// The configuration in force.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Configuration {
    /// Version; 0 before the first configuration.
    pub version: u64,
    /// Size of its JSON in bytes.
    pub bytes: u64,
}

/// State of the server list.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ServerListState {
    /// Number of servers in the list.
    pub servers: u64,
    /// Term of the leader that read the list.
    #[serde(rename = "epoch")]
    pub term: u64,
    /// Position of the list among those read in that term.
    #[serde(rename = "sequence")]
    pub position: u64,
    /// Time since the list was last confirmed, in milliseconds; `None` if it was never read.
    pub age_ms: Option<u64>,
}

/// A connected agent.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct AgentConnection {
    /// Name of the agent's node.
    pub node: String,
    /// Version of the configuration that was last sent to it.
    pub version: u64,
    /// Term of the server list that was last sent to it.
    #[serde(rename = "rosterEpoch")]
    pub server_list_term: u64,
    /// Position of that list in its term.
    #[serde(rename = "rosterSequence")]
    pub server_list_position: u64,
}

/// An agent that has disconnected.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct DisconnectedAgent {
    /// Name of the agent's node.
    pub node: String,
    /// Time since it disconnected, in milliseconds.
    pub since_ms: u64,
}
