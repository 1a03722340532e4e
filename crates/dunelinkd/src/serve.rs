//! Serving: the listener in front of the library's node, signals, and an orderly end.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anyhow::{Context, anyhow};
use dunelink::config::{IfAbsent, RosterConfig};
use dunelink::roster::{Watch, WatchMover};
use dunelink::{Config, Counts, Handle, Node, NodeParts};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};
use tracing::{error, info, warn};

use crate::clients::Clients;
use crate::door::{self, Door};
use crate::listen::{LAST_ANSWERS, LAST_LOOK, Listening, listen};
use crate::log;
use crate::shards::Shards;

/// For how long after SIGTERM connections are taken in: new ones come for up to 0.4 s.
const STILL_ACCEPT: Duration = Duration::from_millis(500);
/// SIGKILL may come 3.7 s after SIGTERM: by then all has to be answered.
const STAY_MOST: Duration = Duration::from_millis(3400);
/// For how long a process that follows another waits to hear from discovery before it serves.
const HEAR_WITHIN: Duration = Duration::from_secs(2);
/// How often it looks.
const READY_LOOK: Duration = Duration::from_millis(10);

/// The file that the configuration is in.
pub(crate) enum Source {
    /// The platform's JSON.
    Platform(PathBuf),
    /// An operator's TOML.
    Operator(PathBuf),
}

impl Source {
    /// The file that was named, or the one that `GW_CONFIG` names.
    pub(crate) fn find(named: Option<PathBuf>) -> anyhow::Result<Source> {
        match named {
            Some(path) => Ok(Source::of(path)),
            None => std::env::var_os("GW_CONFIG")
                .map(|path| Source::Platform(path.into()))
                .ok_or(anyhow!("GW_CONFIG does not name a configuration file")),
        }
    }

    /// The file at `path`, by the ending of its name.
    pub(crate) fn of(path: PathBuf) -> Source {
        match path.extension().is_some_and(|end| end == "json") {
            true => Source::Platform(path),
            false => Source::Operator(path),
        }
    }

    pub(crate) fn read(&self) -> Result<Config, dunelink::config::ConfigError> {
        match self {
            Source::Platform(path) => Config::read_platform(path),
            Source::Operator(path) => Config::read_toml(path),
        }
    }

    fn path(&self) -> &PathBuf {
        match self {
            Source::Platform(path) | Source::Operator(path) => path,
        }
    }
}

async fn run(source: Source, form: Option<log::Form>) -> anyhow::Result<()> {
    // From the first moment: unhandled, both signals end the process.
    let (hang_up, mut terminate) = (signal(SignalKind::hangup())?, signal(SignalKind::terminate())?);
    let mut config = source.read()?;
    log::begin(form.unwrap_or(config.log.into()));
    let address =
        config.listen.with_context(|| format!("{}: listen: expected an address", source.path().display()))?;
    let Listening { listener, shared } = listen(address).await?;
    info!(target: "node", "{} listens on {}", config.name, listener.local_addr()?);
    let control = control(&config)?;
    if control.is_some() {
        config.limits.sockets = config.limits.sockets.saturating_sub(door::DESCRIPTORS);
    }
    // What comes over its own connections is held to RFC 9112, 3.2.
    config.intake.host = IfAbsent::Refuse;
    let mut builder = Node::builder(config.clone());
    let mut mover = None;
    if let RosterConfig::Watch { address, .. } = config.roster {
        let (watch, moves) = Watch::new(address);
        builder = builder.roster(watch);
        mover = Some(moves);
    }
    let NodeParts { node, mut shards, source: list, gossip, .. } = builder.split()?;
    if let Some(gossip) = gossip {
        info!(target: "fleet", node = config.name, "starts");
        info!(target: "node", "{} gossips on {}", config.name, gossip.address()?);
        gossip.start()?;
    }
    let serving = Arc::new(AtomicBool::new(false));
    if let Some(control) = control {
        let door = Door::new(node.handle().clone(), serving.clone()).open(control)?;
        info!(target: "node", "{} answers its operators on {door}", config.name);
    }
    let ready = spawn_local(ready(node.handle().clone(), shared, serving.clone()));
    spawn_local(reread(source, hang_up, mover, node.handle().clone()));
    let wait = (config.max_deadline() + LAST_ANSWERS).min(STAY_MOST.saturating_sub(STILL_ACCEPT));
    if let Some(list) = list {
        spawn_local(list.run());
        let mut shards = Shards::start(shards, node.handle(), listener, ready, shared)?;
        terminate.recv().await;
        serving.store(false, Ordering::Release);
        info!(target: "node", "{} is leaving", config.name);
        leave_gossip(node.handle());
        shards.leave();
        // What is not accepted is another process's to take, where there is one. Connections that are there are left to
        // their clients for as long either way: one that is closed may cross a request.
        if shared {
            shards.stop().await;
            sleep(STILL_ACCEPT).await;
        } else {
            sleep(STILL_ACCEPT).await;
            shards.stop().await;
        }
        shards.close(wait).await;
        // A shard that stands still can't be waited for; its requests are lost with the process.
        let handle = node.handle().clone();
        let ended = timeout(2 * LAST_ANSWERS, node.shutdown(Duration::ZERO)).await;
        farewell(&config, ended.unwrap_or_else(|_| handle.counts()));
        shards.end().await;
        return Ok(());
    }
    let shard = shards.pop().context("a node has a shard")?;
    let clients = Rc::new(Clients::new(&config, shard.handle(), node.handle().clone()));
    spawn_local(shard.run());
    let watched = clients.clone();
    spawn_local(async move { watched.sweep().await });
    let stop = Rc::new(Notify::new());
    let mut accepting = spawn_local(clients.clone().accept(listener, ready, stop.clone(), shared));

    terminate.recv().await;
    serving.store(false, Ordering::Release);
    info!(target: "node", "{} is leaving", config.name);
    leave_gossip(node.handle());
    clients.leave();
    if shared {
        stop.notify_one();
    }
    sleep(STILL_ACCEPT).await;
    stop.notify_one();
    // Where all connections are busy, the kernel's wait for one that ends, and are answered like the others.
    let _ = timeout(LAST_ANSWERS, &mut accepting).await;
    let closed = async || {
        loop {
            clients.close().await;
            if accepting.is_finished() {
                return;
            }
            sleep(LAST_LOOK).await;
        }
    };
    let in_time = timeout(wait, closed()).await.is_ok();
    // What is open now is answered as failed: the process is about to be ended.
    let counts = node.shutdown(Duration::ZERO).await;
    if !in_time {
        let _ = timeout(LAST_ANSWERS, closed()).await;
    }
    farewell(&config, counts);
    Ok(())
}

/// Where operators ask: by the configuration, or by the environment.
fn control(config: &Config) -> anyhow::Result<Option<SocketAddr>> {
    let named = match (config.control, std::env::var("GW_CONTROL")) {
        (Some(address), _) => return Ok(Some(address)),
        (None, Ok(named)) if !named.is_empty() => named,
        _ => return Ok(None),
    };
    named.parse().map(Some).with_context(|| format!("GW_CONTROL: expected an address, not {named:?}"))
}

/// Waits until this process can serve, and says so from then on. One that follows another leaves clients to it until
/// it has heard from discovery: the list that it starts with may be old.
async fn ready(node: Handle, follows: bool, serving: Arc<AtomicBool>) {
    let began = Instant::now();
    while !node.is_ready() || follows && !node.has_list() && began.elapsed() < HEAR_WITHIN {
        sleep(READY_LOOK).await;
    }
    serving.store(true, Ordering::Release);
}

/// Has other nodes told, without waiting for that.
fn leave_gossip(node: &Handle) {
    let node = node.clone();
    spawn_local(async move { node.leave_gossip().await });
}

/// The last line of the log.
fn farewell(config: &Config, counts: Counts) {
    info!(
        target: "node",
        "{} has ended: {} served, {} refused, {} failed, {} left",
        config.name, counts.served, counts.refused, counts.failed, counts.left
    );
}

/// Reads the configuration anew at each SIGHUP. Only discovery and the manifest of GraphQL documents move while the
/// node runs; a file that is wrong changes nothing.
async fn reread(source: Source, mut hang_up: Signal, mover: Option<WatchMover>, node: Handle) {
    while hang_up.recv().await.is_some() {
        let path = source.path().display();
        match node.reload_gossip_keys().await {
            Some(Ok(names)) => info!(target: "node", "gossip keys read anew; {names} names are known"),
            Some(Err(error)) => error!(target: "node", "{error}; the keys stay as they were"),
            None => {}
        }
        if node.graphql_path().is_some() {
            match node.reload_graphql_documents() {
                Ok(count) => info!(target: "node", "{path} read anew; {count} GraphQL documents are known"),
                Err(error) => error!(target: "node", "{error}; the documents stay as they were"),
            }
        }
        match (source.read(), &mover) {
            (Ok(Config { roster: RosterConfig::Watch { address, .. }, .. }), Some(mover)) => {
                info!(target: "node", "{path} read anew; discovery is at {address}");
                mover.move_to(address);
            }
            (Ok(_), _) => {
                warn!(target: "node", "{path}: only discovery's address and GraphQL documents can move")
            }
            (Err(error), _) => error!(target: "node", "{error}; the configuration stays as it was"),
        }
    }
}

/// Serves until SIGTERM.
pub(crate) fn serve(source: Source, form: Option<log::Form>) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run(source, form))
}
