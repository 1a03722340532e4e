//! Starts and ends nodes.

mod batch;
mod body;
mod endpoint;
mod engine_handle;
mod engine_setup;
mod graphql;
mod handle;
mod received_request;
mod running;
mod shards;
mod single_request;

use std::io;
use std::time::{SystemTime, UNIX_EPOCH};

pub use handle::Handle;
pub use received_request::ReceivedRequest;
pub use running::Node;
pub use shards::{NodeParts, ServerListReader, Shard};
pub use single_request::Completion;

use crate::config::{Config, ConfigError, RosterConfig};
use crate::error::StartError;
use crate::roster::{self, Fixed, Roster, Watch};
use crate::thread::spawn_local_thread;

/// Configures and starts a node.
///
/// ```
/// use dunelink::config::{Class, Effect};
/// use dunelink::{Config, Node, roster};
/// use std::time::Duration;
///
/// let classes = vec![Class::new("view", Effect::Safe, Duration::from_secs(1))];
/// let (list, roster) = roster::channel();
/// let node = Node::builder(Config { classes, ..Config::default() }).roster(roster).start()?;
/// # drop((list, node));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub struct Builder {
    config: Config,
    roster: Option<Box<dyn Roster>>,
}

/// A seed for a configuration without one: it differs between starts and between nodes.
fn seed_from(name: &str) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), now.as_nanos() as u64)
}

impl Builder {
    /// Sets the source of the server list, which takes precedence over the one in the configuration.
    pub fn roster(mut self, roster: impl Roster) -> Builder {
        self.roster = Some(Box::new(roster));
        self
    }

    /// Splits the node into its parts, for a frontend that runs each shard on a thread of its own.
    ///
    /// # Errors
    ///
    /// The configuration is inconsistent.
    pub fn split(self) -> Result<NodeParts, ConfigError> {
        let Builder { config, roster } = self;
        config.validate()?;
        let roster = roster.unwrap_or_else(|| match &config.roster {
            RosterConfig::Host => Box::new(Fixed::new(config.known.servers.clone())),
            RosterConfig::Fixed { servers } => Box::new(Fixed::new(servers.clone())),
            RosterConfig::File { path, every } => Box::new(roster::File::new(path, *every)),
            RosterConfig::Watch { address, .. } => Box::new(Watch::new(*address).0),
        });
        let seed = config.seed.unwrap_or_else(|| seed_from(&config.name));
        shards::split(config, roster, seed)
    }

    /// Starts the node on threads of its own, one for each of `fleet.shards`: whatever the host does to its
    /// executor delays nothing here. Returns when the initial server list has been applied.
    ///
    /// # Errors
    ///
    /// The configuration is inconsistent, or a thread or file descriptor could not be created.
    pub fn start(self) -> Result<Node, StartError> {
        // If a later shard can't start, the node is dropped and ends those that have.
        let NodeParts { node, shards, source, gossip } = self.split()?;
        let (started, start_signals) = std::sync::mpsc::channel();
        let count = shards.len();
        for shard in shards {
            let started = started.clone();
            let name = format!("dunelink {}", shard.config().name);
            spawn_local_thread(name, move || {
                let engine = shard.run();
                let _ = started.send(());
                engine
            })?;
        }
        if let Some(source) = source {
            spawn_local_thread("dunelink roster".into(), move || source.run())?;
        }
        if let Some(gossip) = gossip {
            gossip.start()?;
        }
        for _ in 0..count {
            start_signals.recv().map_err(|_| io::Error::other("a shard's thread ended during startup"))?;
        }
        Ok(node)
    }

    /// Starts the node as tasks of the current `LocalSet`, for a program that gives it the entire thread, as
    /// the daemon does. Blocking that thread delays the node's answers and drains.
    ///
    /// # Errors
    ///
    /// The configuration is inconsistent or asks for several shards, or there is no current tokio runtime.
    ///
    /// # Panics
    ///
    /// Outside a `LocalSet`, as `tokio::task::spawn_local` does.
    pub fn start_local(self) -> Result<Node, StartError> {
        tokio::runtime::Handle::try_current().map_err(io::Error::other)?;
        let NodeParts { node, mut shards, gossip, .. } = self.split()?;
        if let Some(gossip) = gossip {
            gossip.start()?;
        }
        match (shards.pop(), shards.is_empty()) {
            (Some(shard), true) => {
                // The task is not tied to the `Node` value: it still has requests to answer when that is
                // dropped.
                tokio::task::spawn_local(shard.run());
                Ok(node)
            }
            _ => Err(ConfigError::without_key(
                "fleet.shards: expected 1, because a local node runs a single shard",
            )
            .into()),
        }
    }
}

impl Node {
    /// A builder for a node with this configuration.
    pub fn builder(config: Config) -> Builder {
        Builder { config, roster: None }
    }
}
