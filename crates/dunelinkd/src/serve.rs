//! Runs the daemon: the listener in front of the library's node, signals, and a graceful shutdown.

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

use crate::admin::{self, AdminEndpoint};
use crate::clients::Clients;
use crate::listen::{ACCEPT_DRAIN_TIMEOUT, LAST_ANSWER_TIMEOUT, ListeningSocket, listen};
use crate::log;
use crate::shards::Shards;

/// How long connections are accepted after SIGTERM: new ones arrive for up to 0.4 s.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(500);
/// SIGKILL may come 3.7 s after SIGTERM: by then every request has to be answered.
const MAX_SHUTDOWN_TIME: Duration = Duration::from_millis(3400);
/// How long a process that replaces another waits for a list from discovery before it serves.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between checks whether the process can serve.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The configuration file, by its format.
pub(crate) enum Source {
    /// JSON in the format of the platform.
    Platform(PathBuf),
    /// TOML, written by operators.
    Operator(PathBuf),
}

impl Source {
    /// The given file, or else the one that `GW_CONFIG` names.
    pub(crate) fn find(file: Option<PathBuf>) -> anyhow::Result<Source> {
        match file {
            Some(path) => Ok(Source::from_path(path)),
            None => std::env::var_os("GW_CONFIG")
                .map(|path| Source::Platform(path.into()))
                .ok_or(anyhow!("GW_CONFIG does not name a configuration file")),
        }
    }

    /// The file at `path`; its extension determines the format.
    pub(crate) fn from_path(path: PathBuf) -> Source {
        match path.extension().is_some_and(|extension| extension == "json") {
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

async fn run(source: Source, format: Option<log::LogFormatArg>) -> anyhow::Result<()> {
    // Handlers are installed before anything else: unhandled, both signals end the process.
    let (hang_up, mut terminate) = (signal(SignalKind::hangup())?, signal(SignalKind::terminate())?);
    let mut config = source.read()?;
    log::init(format.unwrap_or(config.log.into()));
    let address =
        config.listen.with_context(|| format!("{}: listen: expected an address", source.path().display()))?;
    let ListeningSocket { listener, shared } = listen(address).await?;
    info!(target: "node", "{} listens on {}", config.name, listener.local_addr()?);
    let control = control_address(&config)?;
    if control.is_some() {
        config.limits.sockets = config.limits.sockets.saturating_sub(admin::DESCRIPTORS);
    }
    // Requests on the daemon's own connections need a Host header by RFC 9112, section 3.2.
    config.intake.host = IfAbsent::Refuse;
    let mut builder = Node::builder(config.clone());
    let mut discovery_mover = None;
    if let RosterConfig::Watch { address, .. } = config.roster {
        let (watch, watch_mover) = Watch::new(address);
        builder = builder.roster(watch);
        discovery_mover = Some(watch_mover);
    }
    let NodeParts { node, mut shards, source: list_source, gossip, .. } = builder.split()?;
    if let Some(gossip) = gossip {
        info!(target: "fleet", node = config.name, "starts");
        info!(target: "node", "{} gossips on {}", config.name, gossip.address()?);
        gossip.start()?;
    }
    let serving = Arc::new(AtomicBool::new(false));
    if let Some(control) = control {
        let admin_address = AdminEndpoint::new(node.handle().clone(), serving.clone()).start(control)?;
        info!(target: "node", "{} serves the admin endpoint on {admin_address}", config.name);
    }
    let ready = spawn_local(wait_until_ready(node.handle().clone(), shared, serving.clone()));
    spawn_local(reload_on_hangup(source, hang_up, discovery_mover, node.handle().clone()));
    let close_timeout = (config.max_deadline() + LAST_ANSWER_TIMEOUT)
        .min(MAX_SHUTDOWN_TIME.saturating_sub(ACCEPT_AFTER_SIGTERM));
    if let Some(list_source) = list_source {
        spawn_local(list_source.run());
        let mut shards = Shards::start(shards, node.handle(), listener, ready, shared)?;
        terminate.recv().await;
        serving.store(false, Ordering::Release);
        info!(target: "node", "{} is leaving", config.name);
        leave_gossip(node.handle());
        shards.drain();
        // If another process shares the socket, connections that are not accepted here are left to it. Open
        // connections stay open for the same time in both cases: a request may be sent while its connection
        // is being closed.
        if shared {
            shards.stop().await;
            sleep(ACCEPT_AFTER_SIGTERM).await;
        } else {
            sleep(ACCEPT_AFTER_SIGTERM).await;
            shards.stop().await;
        }
        shards.close(close_timeout).await;
        // A stalled shard can't be waited for; its requests are lost with the process.
        let handle = node.handle().clone();
        let ended = timeout(2 * LAST_ANSWER_TIMEOUT, node.shutdown(Duration::ZERO)).await;
        log_end(&config, ended.unwrap_or_else(|_| handle.counts()));
        shards.end().await;
        return Ok(());
    }
    let shard = shards.pop().context("a node has a shard")?;
    let clients = Rc::new(Clients::new(&config, shard.handle(), node.handle().clone()));
    spawn_local(shard.run());
    let clients_to_sweep = clients.clone();
    spawn_local(async move { clients_to_sweep.sweep().await });
    let stop = Rc::new(Notify::new());
    let mut accepting = spawn_local(clients.clone().accept(listener, ready, stop.clone(), shared));

    terminate.recv().await;
    serving.store(false, Ordering::Release);
    info!(target: "node", "{} is leaving", config.name);
    leave_gossip(node.handle());
    clients.drain();
    if shared {
        stop.notify_one();
    }
    sleep(ACCEPT_AFTER_SIGTERM).await;
    stop.notify_one();
    // If all connections are busy, those in the kernel's queue wait until one ends, and are then answered as
    // well.
    let _ = timeout(LAST_ANSWER_TIMEOUT, &mut accepting).await;
    let closed = async || {
        loop {
            clients.close().await;
            if accepting.is_finished() {
                return;
            }
            sleep(ACCEPT_DRAIN_TIMEOUT).await;
        }
    };
    let in_time = timeout(close_timeout, closed()).await.is_ok();
    // Requests that are still open are answered as failed: the process is about to be killed.
    let counts = node.shutdown(Duration::ZERO).await;
    if !in_time {
        let _ = timeout(LAST_ANSWER_TIMEOUT, closed()).await;
    }
    log_end(&config, counts);
    Ok(())
}

/// The address of the admin endpoint, from the configuration or else from the environment.
fn control_address(config: &Config) -> anyhow::Result<Option<SocketAddr>> {
    let text = match (config.control, std::env::var("GW_CONTROL")) {
        (Some(address), _) => return Ok(Some(address)),
        (None, Ok(text)) if !text.is_empty() => text,
        _ => return Ok(None),
    };
    text.parse().map(Some).with_context(|| format!("GW_CONTROL: expected an address, not {text:?}"))
}

/// Waits until this process can serve, then sets `serving`. A process that replaces another leaves the
/// clients to that one until it has a list from discovery, because the list that it starts with may be
/// outdated.
async fn wait_until_ready(node: Handle, replaces_another: bool, serving: Arc<AtomicBool>) {
    let start = Instant::now();
    while !node.is_ready() || replaces_another && !node.has_list() && start.elapsed() < FIRST_LIST_TIMEOUT {
        sleep(READY_CHECK_INTERVAL).await;
    }
    serving.store(true, Ordering::Release);
}

/// Tells other nodes that this one leaves, without waiting until that is done.
fn leave_gossip(node: &Handle) {
    let node = node.clone();
    spawn_local(async move { node.leave_gossip().await });
}

/// Writes the last line of the log, with the counts of requests.
fn log_end(config: &Config, counts: Counts) {
    info!(
        target: "node",
        "{} has ended: {} served, {} refused, {} failed, {} left",
        config.name, counts.served, counts.refused, counts.failed, counts.left
    );
}

/// Reloads the configuration at each SIGHUP. Only gossip keys, the address of discovery and the manifest of
/// GraphQL documents change while the node runs; a file that is not valid changes nothing.
async fn reload_on_hangup(
    source: Source,
    mut hang_up: Signal,
    discovery_mover: Option<WatchMover>,
    node: Handle,
) {
    while hang_up.recv().await.is_some() {
        let path = source.path().display();
        match node.reload_gossip_keys().await {
            Some(Ok(names)) => info!(target: "node", "gossip keys reloaded; {names} names are known"),
            Some(Err(error)) => error!(target: "node", "{error}; the previous keys stay in use"),
            None => {}
        }
        if node.graphql_path().is_some() {
            match node.reload_graphql_documents() {
                Ok(count) => info!(target: "node", "{path} reloaded; {count} GraphQL documents are known"),
                Err(error) => error!(target: "node", "{error}; the previous documents stay in use"),
            }
        }
        match (source.read(), &discovery_mover) {
            (Ok(Config { roster: RosterConfig::Watch { address, .. }, .. }), Some(discovery_mover)) => {
                info!(target: "node", "{path} reloaded; discovery is at {address}");
                discovery_mover.move_to(address);
            }
            (Ok(_), _) => {
                warn!(target: "node", "{path}: only discovery's address and GraphQL documents can be reloaded")
            }
            (Err(error), _) => error!(target: "node", "{error}; the previous configuration stays in use"),
        }
    }
}

/// Serves until SIGTERM.
pub(crate) fn serve(source: Source, format: Option<log::LogFormatArg>) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run(source, format))
}
