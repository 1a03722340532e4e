//! Entries of server lists, shared by configuration, rosters and views. This module depends on no other of
//! the crate.

use std::net::SocketAddr;

use cherryusher::ServerId;
use serde::{Deserialize, Serialize};

/// The state of a server in a list.
///
/// ```
/// use dunelink::{Server, ServerState};
///
/// let server = Server::new("s-1", ([127, 0, 0, 1], 9001).into());
/// assert_eq!(server.state, ServerState::Ready);
/// assert_eq!(server.with_state(ServerState::Draining).state, ServerState::Draining);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    /// It accepts requests.
    #[default]
    Ready,
    /// It finishes its requests and gets no new ones.
    Draining,
    /// It no longer exists.
    Gone,
}

/// A server in a list.
///
/// ```
/// use dunelink::Server;
///
/// let server = Server { cell: 3, weight: 2.0, ..Server::new("s-1", ([127, 0, 0, 1], 9001).into()) };
/// // Pools are built from the name alone, so that every node builds the same ones.
/// assert_eq!(server.id(), Server::new("s-1", ([10, 0, 0, 7], 80).into()).id());
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Its name, the same at every node and after a restart: pools are built from it.
    pub uid: String,
    /// The address on which it listens.
    pub endpoint: SocketAddr,
    /// Its state; ready if not given.
    #[serde(default)]
    pub state: ServerState,
    /// Its zone; empty if unknown.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub zone: String,
    /// The kind of machine; empty if unknown.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub kind: String,
    /// Its cell: servers of one cell share their record of idempotency keys.
    #[serde(default)]
    pub cell: u16,
    /// Its capacity relative to other servers; 0 if unknown.
    #[serde(default)]
    pub weight: f64,
    /// When it last started, in milliseconds of Unix time; 0 for long ago. A server counts as cold for a
    /// while after its start.
    #[serde(default)]
    pub started_ms: u64,
}

impl Server {
    /// A ready server of unknown size that started long ago.
    pub fn new(uid: impl Into<String>, endpoint: SocketAddr) -> Server {
        Server {
            uid: uid.into(),
            endpoint,
            state: ServerState::Ready,
            zone: String::new(),
            kind: String::new(),
            cell: 0,
            weight: 0.0,
            started_ms: 0,
        }
    }

    /// The same server in another state.
    pub fn with_state(mut self, state: ServerState) -> Server {
        self.state = state;
        self
    }

    /// The number by which the decision module identifies the server: a stable hash of its name, because
    /// every node, also after a restart, must build the same pools.
    pub fn id(&self) -> ServerId {
        server_id(&self.uid)
    }
}

pub(crate) fn server_id(uid: &str) -> ServerId {
    xxhash_rust::xxh3::xxh3_64(uid.as_bytes())
}

/// A list of servers, or changes to it.
///
/// ```
/// use dunelink::{Server, ServerState, Update};
///
/// let server = Server::new("s-1", ([127, 0, 0, 1], 9001).into());
/// let list = Update::whole([server.clone()]);
/// let change = Update::changes([server.with_state(ServerState::Gone)]);
/// assert!(list.whole && !change.whole);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Update {
    /// The version of the list.
    #[serde(default)]
    pub rev: u64,
    /// Whether this is the complete list, in which a missing server is gone; otherwise these are changes.
    #[serde(default)]
    pub whole: bool,
    /// The servers of the list, or those that changed.
    #[serde(default)]
    pub servers: Vec<Server>,
}

impl Update {
    /// A complete list, with version 0.
    pub fn whole(servers: impl IntoIterator<Item = Server>) -> Update {
        Update { rev: 0, whole: true, servers: servers.into_iter().collect() }
    }

    /// Changes to a list, with version 0.
    pub fn changes(servers: impl IntoIterator<Item = Server>) -> Update {
        Update { rev: 0, whole: false, servers: servers.into_iter().collect() }
    }
}
