//! A node's view of itself, for its host.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::counts::Counts;
use crate::server_list::server_id;

/// The state of a node, all its shards together.
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
    /// The servers to which it may send, sorted by name. Draining and gone servers are not included.
    pub servers: Vec<ServerView>,
    /// Requests that have no final answer yet.
    pub open: usize,
    /// Requests of which any state is kept: open ones, and answered ones with an attempt still in flight.
    pub tracked: usize,
    /// Open requests in the queue for a server with free capacity.
    pub queued: usize,
    /// Attempts in flight.
    pub in_flight: usize,
    /// Open connections to servers, idle ones included.
    pub connections: usize,
    /// Servers in the list, draining ones included.
    pub listed: usize,
    /// Ready servers that the node currently ejects as outliers; with several shards, the largest number of
    /// any shard.
    pub ejected: usize,
    /// How requests ended.
    pub counts: Counts,
}

impl Snapshot {
    /// Adds the snapshot of another shard.
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
        // Each shard has the complete list.
        (self.listed, self.ejected) = (self.listed.max(other.listed), self.ejected.max(other.ejected));
        self.counts = self.counts.plus(other.counts);
    }
}

/// A server as the node sees it.
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
    /// The address on which it listens.
    pub endpoint: SocketAddr,
    /// This node's attempts in flight at it.
    pub in_flight: usize,
    /// This node's idle connections to it.
    pub idle: usize,
}

impl ServerView {
    /// The number that identifies it between nodes.
    pub fn id(&self) -> u64 {
        server_id(&self.uid)
    }
}
