//! Nodes with several shards: engines that share only the ids of open requests, the permits for requests and
//! streamed bodies, and one reader of the server list. Each shard counts as a balancer of its own, so that
//! shares, limits and the allowance of cold servers add up over all shards of all nodes.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize};

use cherryusher::Balancer;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use super::endpoint::Endpoint;
use super::engine_handle::EngineHandle;
use super::engine_setup::EngineSetup;
use super::handle::{Handle, Shared};
use super::running::Node;
use crate::config::{Config, ConfigError};
use crate::counts::RequestCounters;
use crate::engine::Mailbox;
use crate::fleet::Gossiper;
use crate::intake::Intake;
use crate::roster::{Feed, Roster, RosterFanout, RosterFuture};

/// The difference between the seeds of consecutive shards (the golden ratio in 64 bits).
const SHARD_SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// A node split into parts, for a frontend that runs each shard on a thread of its own. Dropping the node
/// ends all shards.
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
///         // Requests from this thread go to its own engine.
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
    /// The node itself.
    pub node: Node,
    /// Its shards, each to be run on a thread of its own.
    pub shards: Vec<Shard>,
    /// The reader of the server list if there are several shards, to be run on a thread that nothing blocks;
    /// `None` if the only shard reads the list itself.
    pub source: Option<ServerListReader>,
    /// Gossip with the other nodes, to be started; `None` if it is not configured.
    pub gossip: Option<Gossiper>,
}

/// One shard of a node.
pub struct Shard {
    setup: EngineSetup,
    handle: Handle,
}

impl Shard {
    /// A handle to this shard alone.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// This shard's share of the configuration: its part of the limits, and its rank among all shards of all
    /// nodes.
    pub fn config(&self) -> &Config {
        &self.setup.config
    }

    /// Applies the initial server list. The returned future runs the engine until the node is shut down; it
    /// needs a tokio `LocalSet`.
    pub fn run(self) -> impl Future<Output = ()> + 'static {
        self.setup.start()
    }
}

/// Reads the server list for all shards.
pub struct ServerListReader {
    roster: Box<dyn Roster>,
    config: Config,
    seed: u64,
    hub: RosterFanout,
    ended: Vec<CancellationToken>,
}

impl ServerListReader {
    /// Runs until all shards have ended. The future needs a tokio `LocalSet`.
    pub fn run(self) -> RosterFuture {
        let ServerListReader { roster, config, seed, hub, ended } = self;
        let running = roster.run(Feed::new(&config, seed, hub));
        Box::pin(async move {
            let all_ended = async {
                for ended in &ended {
                    ended.cancelled().await;
                }
            };
            let reading = async {
                running.await;
                // A roster may end before the node: the list then stays as it is.
                std::future::pending::<()>().await;
            };
            tokio::select! {
                () = all_ended => {}
                () = reading => {}
            }
        })
    }
}

/// Creates the parts of a node from a valid configuration.
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
        // Another thread may read the list before the shards have started.
        config.known = roster.known().unwrap_or(config.known);
        hub.set_initial_list(&config.known);
    }
    let transfers = Arc::new(Semaphore::new(config.limits.transfers));
    let mut roster = Some(roster);
    let (mut engines, mut setups) = (Vec::new(), Vec::new());
    for index in 0..count {
        let config = config.shard(index);
        let seed = seed.wrapping_add(SHARD_SEED_STEP.wrapping_mul(u64::from(index)));
        let balancer = Balancer::new(config.settings(), seed).map_err(|e| ConfigError::without_key(e.0))?;
        let (mailbox, inbox) = Mailbox::new(seed);
        let engine = EngineHandle {
            mailbox: mailbox.clone(),
            counters: Arc::new(RequestCounters::new(config.classes.len())),
            any_ready: Arc::new(AtomicBool::default()),
            waiting_calls: AtomicUsize::new(0),
            ended: CancellationToken::new(),
        };
        let roster: Box<dyn Roster> = match (&hub, &mut roster) {
            (Some(hub), _) => Box::new(hub.shard_roster(index as usize)),
            (None, roster) => roster.take().ok_or_else(|| ConfigError::without_key("no roster"))?,
        };
        setups.push(EngineSetup {
            seed,
            balancer,
            roster,
            transfers: transfers.clone(),
            mailbox,
            inbox,
            counters: engine.counters.clone(),
            any_ready: engine.any_ready.clone(),
            ended: engine.ended.clone(),
            config,
        });
        engines.push(Arc::new(engine));
    }
    let ended = engines.iter().map(|engine| engine.ended.clone()).collect();
    let mailboxes = engines.iter().map(|engine: &Arc<EngineHandle>| engine.mailbox.clone()).collect();
    let counters = engines.iter().map(|engine: &Arc<EngineHandle>| engine.counters.clone()).collect();
    let withdrawn = Arc::new(AtomicBool::new(false));
    let (gossip, gossip_requests) = Gossiper::new(&config, (mailboxes, counters), withdrawn.clone())?.unzip();
    let shared = Shared {
        engines,
        gossip: gossip_requests,
        class_names: config.classes.iter().map(|class| class.name.clone()).collect(),
        intake,
        graphql,
        max_body_bytes: config.limits.body,
        max_stream_bytes: config.limits.stream,
        transfers: transfers.clone(),
        request_permits: Arc::new(Semaphore::new(config.limits.requests)),
        closing: AtomicBool::new(false),
        withdrawn,
    };
    let handle = Handle { shared: Arc::new(shared), shard: None };
    let shard = |(index, setup)| Shard { setup, handle: handle.for_shard(index) };
    let shards = setups.into_iter().enumerate().map(shard).collect();
    let source = hub.zip(roster).map(|(hub, roster)| ServerListReader { roster, config, seed, hub, ended });
    Ok(NodeParts { node: Node { handle }, shards, source, gossip })
}
