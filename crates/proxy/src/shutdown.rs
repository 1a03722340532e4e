//! Graceful shutdown: open requests are completed as long as time remains.

use std::rc::Rc;
use std::time::Duration;

use slog::info;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::Instant;

use crate::listener::ClientConnections;
use crate::node::Node;
use crate::shutdown_schedule::ShutdownSchedule;

/// Interval between checks for remaining requests and connections.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Idle time after which a connection is closed during the shutdown. The first request on a new connection
/// may still be in transit.
const MIN_IDLE_TIME: Duration = Duration::from_millis(300);

/// The signals that the process handles.
pub struct Signals {
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// The operating system does not allow it.
    pub fn install() -> std::io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        Ok(Self { terminate, hangup: signal(SignalKind::hangup())? })
    }

    /// Waits for SIGTERM. SIGHUP announces changed settings, none of which concern the proxy, and is only
    /// logged.
    pub async fn wait_for_termination(&mut self, node: &Node) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.hangup.recv() => info!(node.log, "settings changed: none concern the proxy"),
            }
        }
    }
}

/// Waits until no request or connection is open, or the time for the shutdown is over. New connections are
/// accepted while the platform still sends clients. Later ones are not, because they would be cut off with
/// their requests; connections in the kernel's queue at that time are still accepted.
pub async fn drain(node: &Rc<Node>, clients: &ClientConnections) {
    let ShutdownSchedule { signaled_at, accept_until, exit_by } = node.begin_shutdown();
    info!(node.log, "shutdown signal received"; "in_hand" => node.open_request_count());
    tokio::time::sleep_until(accept_until).await;
    let accepted_at_close = clients.stop_accepting().await;
    info!(node.log, "listener closed"; "open" => clients.count(), "taken_last" => accepted_at_close,
        "after_ms" => signaled_at.elapsed().as_millis() as u64);
    while Instant::now() < exit_by && !is_drained(node, clients) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    info!(node.log, "ends"; "in_hand" => node.open_request_count(), "connections" => clients.count(),
        "after_ms" => signaled_at.elapsed().as_millis() as u64);
    node.open_requests.log_unfinished(&node.log, signaled_at);
}

/// Whether no client connection is left. Closes the idle ones.
fn is_drained(node: &Node, clients: &ClientConnections) -> bool {
    clients.close_idle(MIN_IDLE_TIME);
    node.open_request_count() == 0 && clients.count() == 0
}
