//! What a node knows of itself, for its host.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::counts::Counts;
use crate::server_list::server_id;

/// How a node stands.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// # use dunelink::{Config, Node, config::{Class, Effect}};
/// # use std::time::Duration;
/// # let classes = vec![Class::new("view", Effect::Safe, Duration::from_secs(1))];
/// # let node = Node::builder(Config { classes, ..Config::default() }).start()?;
/// let now = node.handle().snapshot().await?;
/// assert_eq!((now.servers.len(), now.open, now.queued, now.connections), (0, 0, 0, 0));
/// # Ok(()) }
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The servers that it may send to, by name. One that drains or is gone is not among them.
    pub servers: Vec<ServerView>,
    /// Requests without their final answer.
    pub open: usize,
    /// Requests of which anything is tracked: open ones, and answered ones with an attempt still out.
    pub tracked: usize,
    /// Open requests that wait in the queue for a server with room.
    pub queued: usize,
    /// Attempts out.
    pub in_flight: usize,
    /// Connections to servers, idle ones included.
    pub connections: usize,
    /// Servers in the list, those that drain included.
    pub listed: usize,
    /// Servers that take requests and that the node avoids now; of several shards, the most that one avoids.
    pub ejected: usize,
    /// How requests ended.
    pub counts: Counts,
}

impl Snapshot {
    /// Adds another shard's.
    pub(crate) fn add(&mut self, other: Snapshot) {
        for server in other.servers {
            match self.servers.binary_search_by(|known| known.uid.cmp(&server.uid)) {
                Ok(index) => {
                    self.servers[index].in_flight += server.in_flight;
                    self.servers[index].idle += server.idle;
                }
                Err(index) => self.servers.insert(index, server),
            }
        }
        self.open += other.open;
        self.tracked += other.tracked;
        self.queued += other.queued;
        self.in_flight += other.in_flight;
        self.connections += other.connections;
        // Each shard has the whole list.
        (self.listed, self.ejected) = (self.listed.max(other.listed), self.ejected.max(other.ejected));
        self.counts = self.counts.plus(other.counts);
    }
}

/// A server, as the node sees it.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// # use dunelink::{Config, Node, Server, config::{Class, Effect}, roster::Fixed};
/// # use std::time::Duration;
/// # let classes = vec![Class::new("view", Effect::Safe, Duration::from_secs(1))];
/// let server = Server::new("s-1", ([127, 0, 0, 1], 9001).into());
/// let node = Node::builder(Config { classes, ..Config::default() }).roster(Fixed::new([server])).start()?;
/// let seen = &node.handle().snapshot().await?.servers[0];
/// assert_eq!((&*seen.uid, seen.in_flight, seen.idle), ("s-1", 0, 0));
/// # Ok(()) }
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerView {
    /// Its name in the list.
    pub uid: Arc<str>,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// This node's attempts out on it.
    pub in_flight: usize,
    /// This node's idle connections to it.
    pub idle: usize,
}

impl ServerView {
    /// The number under which nodes speak of it.
    pub fn id(&self) -> u64 {
        server_id(&self.uid)
    }
}
