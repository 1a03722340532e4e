//! A running node: how it is started and ended.

mod batch;
mod body;
mod endpoint;
mod engineering;
mod engines;
mod graphql;
mod handle;
mod one;
mod received;
mod running;
mod shards;

use std::io;
use std::time::{SystemTime, UNIX_EPOCH};

pub use handle::Handle;
pub use one::Completion;
pub use received::ReceivedRequest;
pub use running::Node;
pub use shards::{NodeParts, ServerListReader, Shard};

use crate::config::{Config, ConfigError, RosterConfig};
use crate::error::StartError;
use crate::roster::{self, Fixed, Roster, Watch};
use crate::thread::on_thread;

/// Sets a node up.
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

/// Without a seed, starts and nodes still differ.
fn seed_from(name: &str) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), now.as_nanos() as u64)
}

impl Builder {
    /// Where the list of servers comes from, ahead of what the configuration says.
    pub fn roster(mut self, roster: impl Roster) -> Builder {
        self.roster = Some(Box::new(roster));
        self
    }

    /// The node in parts, for a front that gives each shard a thread of its own.
    ///
    /// # Errors
    ///
    /// The configuration does not hold together.
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

    /// Starts the node on threads of its own, one for each of `fleet.shards`: what the host does to its executor
    /// delays nothing here. Returns when the list that is known at the start has been taken in.
    ///
    /// # Errors
    ///
    /// The configuration does not hold together, or there is no thread or descriptor to be had.
    pub fn start(self) -> Result<Node, StartError> {
        // Shards that have started end with the node if a later one can't.
        let NodeParts { node, shards, source, gossip } = self.split()?;
        let (begun, begins) = std::sync::mpsc::channel();
        let count = shards.len();
        for shard in shards {
            let begun = begun.clone();
            let name = format!("dunelink {}", shard.config().name);
            on_thread(name, move || {
                let running = shard.run();
                let _ = begun.send(());
                running
            })?;
        }
        if let Some(source) = source {
            on_thread("dunelink roster".into(), move || source.run())?;
        }
        if let Some(gossip) = gossip {
            gossip.start()?;
        }
        for _ in 0..count {
            begins.recv().map_err(|_| io::Error::other("it ended at once"))?;
        }
        Ok(node)
    }

    /// Starts the node as tasks of the current `LocalSet`: for a program that gives it the whole thread, as the
    /// daemon does. Whoever blocks that thread delays the node's answers and drains.
    ///
    /// # Errors
    ///
    /// The configuration does not hold together or wants several shards, or there is no tokio runtime here.
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
            (Some(only), true) => {
                // Not tied to the node's value: it has answers to give when that is dropped.
                tokio::task::spawn_local(only.run());
                Ok(node)
            }
            _ => Err(ConfigError::without_key("fleet.shards: expected 1, as one thread runs one").into()),
        }
    }
}

impl Node {
    /// A node that goes by this.
    pub fn builder(config: Config) -> Builder {
        Builder { config, roster: None }
    }
}
