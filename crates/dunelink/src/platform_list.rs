//! The platform's form of a list of servers: in its configuration, and on the lines of its watch.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::server_list::{Server, ServerState, Update};

/// What discovery says on one line, and the configuration of the list as it was last held.
#[derive(Default, Deserialize)]
pub(crate) struct PlatformList {
    rev: u64,
    /// Whether it is the whole list, not changes.
    all: bool,
    targets: Vec<PlatformServer>,
}

#[derive(Deserialize)]
struct PlatformServer {
    uid: String,
    endpoint: SocketAddr,
    #[serde(default)]
    az: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    pod_group: u16,
    state: ServerState,
    #[serde(default)]
    capacity_hint: f64,
    #[serde(default)]
    boot_ms: u64,
}

impl From<PlatformList> for Update {
    fn from(list: PlatformList) -> Update {
        let server = |target: PlatformServer| Server {
            uid: target.uid,
            endpoint: target.endpoint,
            state: target.state,
            zone: target.az,
            kind: target.model,
            cell: target.pod_group,
            weight: target.capacity_hint.max(0.0),
            started_ms: target.boot_ms,
        };
        Update { rev: list.rev, whole: list.all, servers: list.targets.into_iter().map(server).collect() }
    }
}

impl Update {
    /// Reads a line of the platform's watch.
    ///
    /// # Errors
    ///
    /// It is not JSON of that form; keys beyond it are passed over.
    pub fn from_watch_line(line: &[u8]) -> Result<Update, serde_json::Error> {
        serde_json::from_slice::<PlatformList>(line).map(Update::from)
    }
}
