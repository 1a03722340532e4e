//! The platform's format of server lists, in its configuration and on the lines of its watch stream.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::server_list::{Server, ServerState, Update};

/// A list or changes to one: a line of the watch stream, or the initial list in the configuration.
#[derive(Default, Deserialize)]
pub(crate) struct PlatformList {
    rev: u64,
    /// Whether this is the complete list rather than changes to it.
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
    /// Parses a line of the platform's watch stream.
    ///
    /// # Errors
    ///
    /// The line is not JSON of that form. Unknown keys are ignored.
    pub fn from_watch_line(line: &[u8]) -> Result<Update, serde_json::Error> {
        serde_json::from_slice::<PlatformList>(line).map(Update::from)
    }
}
