//! Process startup, from the command line to the exit code.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;

use anyhow::Context;
use dunelink_runtime::log::logger;
use dunelink_runtime::{ListenLimits, listen};
use dunelink_settings::BootSettings;
use slog::{Level, Logger, error, info};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use crate::arguments::{Arguments, HELP};
use crate::listener::ClientConnections;
use crate::memory::plan::SOCKET_RECEIVE_BUFFER_BYTES;
use crate::node::Node;
use crate::shutdown::{Signals, drain};
use crate::{feed, readiness};

/// Exit code for an invalid command line or invalid settings.
const INVALID_SETTINGS_EXIT_CODE: u8 = 2;

/// Runs the program. Exits with 0 after an orderly shutdown, 1 if it cannot run, and 2 if the command line or
/// the settings are invalid.
pub fn main() -> ExitCode {
    let arguments = match Arguments::read() {
        Ok(arguments) => arguments,
        Err(error) => return exit_invalid(&error),
    };
    if arguments.help {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let boot = match BootSettings::load() {
        Ok(boot) => boot,
        Err(error) => return exit_invalid(&error),
    };
    if arguments.check {
        return ExitCode::SUCCESS;
    }
    let log = logger(arguments.log, Level::Info, &boot.node_name);
    match run(boot, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            error!(log, "startup or shutdown failed"; "reason" => format!("{reason:#}"));
            ExitCode::FAILURE
        }
    }
}

fn exit_invalid(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("dunelink-proxy: {error}");
    ExitCode::from(INVALID_SETTINGS_EXIT_CODE)
}

fn run(boot: BootSettings, log: &Logger) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let mut signals = Signals::install().context("failed to install signal handlers")?;
        let proxy = Proxy::bind(Node::new(boot, log.clone()))?;
        let node = proxy.node();
        let clients = proxy.start();
        signals.wait_for_termination(&node).await;
        node.begin_shutdown();
        drain(&node, &clients).await;
        Ok(())
    })
}

/// A proxy whose listening sockets are bound.
pub struct Proxy {
    node: Rc<Node>,
    front: TcpListener,
    readiness: TcpListener,
}

impl Proxy {
    /// Binds the addresses that the settings configure.
    ///
    /// # Errors
    ///
    /// An address is missing from the settings, is in use, or does not belong to this machine.
    pub fn bind(node: Rc<Node>) -> anyhow::Result<Self> {
        let max_pending = node.memory_plan.max_pending_connections();
        let front = bind(node.boot.listen.front, "listen.front", max_pending)?;
        let max_pending = readiness::MAX_PENDING_CONNECTIONS;
        let readiness = bind(node.boot.listen.readiness, "listen.readiness", max_pending)?;
        info!(node.log, "listens"; "front" => %front.local_addr()?, "readiness" => %readiness.local_addr()?);
        Ok(Self { node, front, readiness })
    }

    /// Returns the state that the proxy's tasks share.
    pub fn node(&self) -> Rc<Node> {
        self.node.clone()
    }

    /// Returns the address that accepts client connections.
    ///
    /// # Errors
    ///
    /// The operating system does not report the socket's address.
    pub fn front(&self) -> std::io::Result<SocketAddr> {
        self.front.local_addr()
    }

    /// Returns the address that answers the platform's readiness checks.
    ///
    /// # Errors
    ///
    /// The operating system does not report the socket's address.
    pub fn readiness(&self) -> std::io::Result<SocketAddr> {
        self.readiness.local_addr()
    }

    /// Spawns the proxy's tasks on the current `LocalSet`.
    pub fn start(self) -> Rc<ClientConnections> {
        let clients = ClientConnections::new(self.node.clone());
        tokio::task::spawn_local(clients.clone().accept(self.front));
        tokio::task::spawn_local(clients.clone().sweep());
        tokio::task::spawn_local(readiness::serve(self.node.clone(), self.readiness));
        tokio::task::spawn_local(feed::run(self.node));
        clients
    }
}

fn bind(address: Option<SocketAddr>, key: &str, max_pending: usize) -> anyhow::Result<TcpListener> {
    let address = address.with_context(|| format!("`{key}` is missing from the settings file: add it"))?;
    let limits = ListenLimits { max_pending, receive_buffer_bytes: Some(SOCKET_RECEIVE_BUFFER_BYTES) };
    listen(address, limits).with_context(|| {
        format!("failed to listen on {address}: check `{key}`, and that no other process uses the address")
    })
}
