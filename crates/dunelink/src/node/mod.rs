//! A running node: how it is started and ended.

mod batch;
mod body;
mod graphql;
mod handle;
mod received;
mod shards;

use std::future::Future;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cherryusher::Balancer;
use tokio::sync::{Notify, Semaphore, mpsc};
use tokio::task::LocalSet;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

pub use handle::Handle;
pub use received::{Finished, Received};
pub use shards::{Parts, Shard, Source};

use crate::config::{Config, ConfigError, RosterConfig};
use crate::engine::{Engine, Happening, Mailbox};
use crate::error::StartError;
use crate::roster::{self, Feed, Fixed, Roster, Watch};
use crate::servers::Servers;
use crate::snapshot::{Counts, Tally};

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

/// A running node. It ends when it is dropped: what is open is then answered as failed. [`Node::shutdown`]
/// gives it time.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// # use dunelink::{Config, Node, config::{Class, Effect}};
/// # use std::time::Duration;
/// # let classes = vec![Class::new("view", Effect::Safe, Duration::from_secs(1))];
/// # let node = Node::builder(Config { classes, ..Config::default() }).start()?;
/// // Two nodes in one process share nothing.
/// let other = Node::builder(Config {
///     classes: vec![Class::new("order", Effect::Unsafe, Duration::from_secs(3))],
///     ..Config::default()
/// });
/// let other = other.start()?;
/// node.shutdown(Duration::from_secs(1)).await;
/// assert!(!other.handle().is_closed());
/// # Ok(()) }
/// ```
pub struct Node {
    handle: Handle,
}

/// All that an engine's thread is given.
struct Engineering {
    config: Config,
    seed: u64,
    balancer: Balancer,
    roster: Box<dyn Roster>,
    mailbox: Mailbox,
    inbox: mpsc::UnboundedReceiver<Happening>,
    tally: Arc<Tally>,
    transfers: Arc<Semaphore>,
    any_ready: Arc<AtomicBool>,
    ended: CancellationToken,
}

impl Engineering {
    /// Takes in the list that is known at the start: what is asked from now on finds it. The node then runs in
    /// the future, which needs a `LocalSet`; whatever it began ends with it.
    fn begin(mut self) -> impl Future<Output = ()> + 'static {
        let ended = self.ended.drop_guard();
        let servers = Servers::new(&self.config, self.any_ready, self.tally.clone(), self.transfers);
        let (servers, wanted) = (Rc::new(servers), Rc::new(Notify::new()));
        let mut feed =
            Feed::new(&self.config, self.seed, servers.clone(), self.mailbox.clone(), wanted.clone());
        feed.cached(&self.roster.known().unwrap_or(self.config.known));
        let (roster, inbox) = (self.roster.run(feed), self.inbox);
        let swept = servers.clone();
        let sweep = async move { swept.sweep().await };
        let engine = Engine::new(self.balancer, servers, self.mailbox, wanted, self.tally);
        async move {
            let _ended = ended;
            let roster = AbortOnDropHandle::new(tokio::task::spawn_local(roster));
            let sweep = AbortOnDropHandle::new(tokio::task::spawn_local(sweep));
            engine.run(inbox).await;
            // Who hears that the node has ended must not find any of it at work.
            for task in [roster, sweep] {
                task.abort();
                let _ = task.await;
            }
        }
    }
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
    pub fn split(self) -> Result<Parts, ConfigError> {
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
        let Parts { node, shards, source, gossip } = self.split()?;
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
        let Parts { node, mut shards, gossip, .. } = self.split()?;
        if let Some(gossip) = gossip {
            gossip.start()?;
        }
        match (shards.pop(), shards.is_empty()) {
            (Some(only), true) => {
                // Not tied to the node's value: it has answers to give when that is dropped.
                tokio::task::spawn_local(only.run());
                Ok(node)
            }
            _ => Err(ConfigError::whole("fleet.shards: expected 1, as one thread runs one").into()),
        }
    }
}

/// Runs a future that is made there on a thread with a runtime of its own.
pub(crate) fn on_thread<F>(name: String, make: impl FnOnce() -> F + Send + 'static) -> io::Result<()>
where
    F: Future<Output = ()> + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new()
        // Linux cuts names at 15 bytes; one with a NUL would panic.
        .name(name.chars().filter(|c| *c != '\0').collect())
        .spawn(move || LocalSet::new().block_on(&runtime, async move { make().await }))?;
    Ok(())
}

impl Node {
    /// A node that goes by this.
    pub fn builder(config: Config) -> Builder {
        Builder { config, roster: None }
    }

    /// The way to it, for as many owners as there are.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Takes nothing more, and waits until all that is open has its answer or `deadline` has passed: what is
    /// still open then is answered as failed. Tells how its requests ended.
    pub async fn shutdown(self, deadline: Duration) -> Counts {
        self.handle.shutdown(deadline).await
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.handle.close(Duration::ZERO);
    }
}
