//! A node of several shards: engines that share nothing but the ids of open requests, the places for them, and
//! one reader of the list of servers. Each counts as a balancer of its own, so that shares, limits and the reach
//! of cold servers add up over all shards of all nodes.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize};

use cherryusher::Balancer;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use super::endpoint::Endpoint;
use super::engineering::Engineering;
use super::engines::Engine;
use super::handle::{Handle, Shared};
use super::running::Node;
use crate::config::{Config, ConfigError};
use crate::counts::Tally;
use crate::engine::Mailbox;
use crate::fleet::Gossiper;
use crate::intake::Intake;
use crate::roster::{Feed, Roster, RosterFanout, RosterFuture};

/// Between the seeds of two shards (the golden ratio in 64 bits).
const SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// A node in parts: for a front that gives each shard a thread of its own. Dropping the node ends all shards.
///
/// ```
/// use dunelink::config::{Class, Effect, Fleet};
/// use dunelink::{Config, Node};
/// use std::time::Duration;
/// use tokio::task::LocalSet;
///
/// let config = Config {
///     classes: vec![Class::new("view", Effect::Safe, Duration::from_secs(1))],
///     fleet: Fleet { shards: 2, ..Fleet::default() },
///     ..Config::default()
/// };
/// let parts = Node::builder(config).split()?;
/// let threads: Vec<_> = parts.shards.into_iter().map(|shard| {
///     std::thread::spawn(move || {
///         let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
///         // Requests that this thread takes go to its own engine.
///         let own = shard.handle();
///         LocalSet::new().block_on(&runtime, async move { shard.run().await });
///         own.counts()
///     })
/// }).collect();
/// drop(parts.node);
/// assert!(threads.into_iter().all(|thread| thread.join().unwrap().taken == 0));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[non_exhaustive]
pub struct NodeParts {
    /// The whole node.
    pub node: Node,
    /// Its shards, each to be run on a thread of its own.
    pub shards: Vec<Shard>,
    /// The reader of the list, where there are several shards; to be run on a thread that nothing blocks.
    pub source: Option<ServerListReader>,
    /// Gossip with the other nodes, where the configuration wants it; it is to be started.
    pub gossip: Option<Gossiper>,
}

/// One shard of a node.
pub struct Shard {
    engineering: Engineering,
    handle: Handle,
}

impl Shard {
    /// The way to this shard alone.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// The part of the configuration that falls to it: of limits, and its rank among all shards of all nodes.
    pub fn config(&self) -> &Config {
        &self.engineering.config
    }

    /// Takes in the list that is known at the start; the engine then runs in the future, until the node is shut
    /// down. It needs a tokio `LocalSet`.
    pub fn run(self) -> impl Future<Output = ()> + 'static {
        self.engineering.begin()
    }
}

/// Reads the list of servers for all shards.
pub struct ServerListReader {
    roster: Box<dyn Roster>,
    config: Config,
    seed: u64,
    hub: RosterFanout,
    ended: Vec<CancellationToken>,
}

impl ServerListReader {
    /// Runs until all shards have ended. It needs a tokio `LocalSet`.
    pub fn run(self) -> RosterFuture {
        let ServerListReader { roster, config, seed, hub, ended } = self;
        let running = roster.run(Feed::new(&config, seed, hub));
        Box::pin(async move {
            let all = async {
                for ended in &ended {
                    ended.cancelled().await;
                }
            };
            let reading = async {
                running.await;
                // A roster may end before the node: the list stays as it is.
                std::future::pending::<()>().await;
            };
            tokio::select! {
                () = all => {}
                () = reading => {}
            }
        })
    }
}

/// Makes a node's parts of a configuration that holds together.
pub(super) fn split(
    mut config: Config,
    mut roster: Box<dyn Roster>,
    seed: u64,
) -> Result<NodeParts, ConfigError> {
    let count = config.fleet.shards;
    let intake = Arc::new(Intake::new(&config));
    let graphql = Endpoint::new(&config)?;
    let hub = (count > 1).then(|| RosterFanout::new(count as usize));
    if let Some(hub) = &hub {
        // The source may be read by another thread before the shards have begun.
        config.known = roster.known().unwrap_or(config.known);
        hub.set_initial_list(&config.known);
    }
    let transfers = Arc::new(Semaphore::new(config.limits.transfers));
    let mut roster = Some(roster);
    let (mut engines, mut engineerings) = (Vec::new(), Vec::new());
    for number in 0..count {
        let config = config.shard(number);
        let seed = seed.wrapping_add(SEED_STEP.wrapping_mul(u64::from(number)));
        let balancer = Balancer::new(config.settings(), seed).map_err(|e| ConfigError::without_key(e.0))?;
        let (mailbox, inbox) = Mailbox::new(seed);
        let engine = Engine {
            mailbox: mailbox.clone(),
            tally: Arc::new(Tally::new(config.classes.len())),
            any_ready: Arc::new(AtomicBool::default()),
            waiting: AtomicUsize::new(0),
            ended: CancellationToken::new(),
        };
        let roster: Box<dyn Roster> = match (&hub, &mut roster) {
            (Some(hub), _) => Box::new(hub.shard_roster(number as usize)),
            (None, roster) => roster.take().ok_or_else(|| ConfigError::without_key("no roster"))?,
        };
        engineerings.push(Engineering {
            seed,
            balancer,
            roster,
            transfers: transfers.clone(),
            mailbox,
            inbox,
            tally: engine.tally.clone(),
            any_ready: engine.any_ready.clone(),
            ended: engine.ended.clone(),
            config,
        });
        engines.push(Arc::new(engine));
    }
    let ended = engines.iter().map(|engine| engine.ended.clone()).collect();
    let mailboxes = engines.iter().map(|engine: &Arc<Engine>| engine.mailbox.clone()).collect();
    let tallies = engines.iter().map(|engine: &Arc<Engine>| engine.tally.clone()).collect();
    let aside = Arc::new(AtomicBool::new(false));
    let (gossip, asks) = Gossiper::new(&config, (mailboxes, tallies), aside.clone())?.unzip();
    let shared = Shared {
        engines,
        gossip: asks,
        class_names: config.classes.iter().map(|class| class.name.clone()).collect(),
        intake,
        graphql,
        body_most: config.limits.body,
        stream_most: config.limits.stream,
        transfers: transfers.clone(),
        places: Arc::new(Semaphore::new(config.limits.requests)),
        closing: AtomicBool::new(false),
        aside,
    };
    let handle = Handle { shared: Arc::new(shared), home: None };
    let shard = |(number, engineering)| Shard { engineering, handle: handle.at_home(number) };
    let shards = engineerings.into_iter().enumerate().map(shard).collect();
    let source = hub.zip(roster).map(|(hub, roster)| ServerListReader { roster, config, seed, hub, ended });
    Ok(NodeParts { node: Node { handle }, shards, source, gossip })
}
