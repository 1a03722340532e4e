//! The end of the process: nothing that was read is cut while there is time for it.

use std::rc::Rc;
use std::time::Duration;

use slog::info;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::Instant;

use crate::listener::ClientConnections;
use crate::node::Node;
use crate::shutdown_schedule::ShutdownSchedule;

/// How often it is looked whether anything is in hand.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A connection rests for so long before it is ended: the first request of a new one may be on its way.
const MIN_IDLE_TIME: Duration = Duration::from_millis(300);

/// The signals that the process heeds.
pub struct Signals {
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    /// Takes the signals over.
    ///
    /// # Errors
    ///
    /// The system refuses.
    pub fn install() -> std::io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        Ok(Self { terminate, hangup: signal(SignalKind::hangup())? })
    }

    /// Ends when the process is told to end. Settings that change while it runs concern other programs.
    pub async fn wait_for_termination(&mut self, node: &Node) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.hangup.recv() => info!(node.log, "settings changed; nothing of them concerns the proxy"),
            }
        }
    }
}

/// Waits until nothing is in hand, or the time for that is over. New connections are taken while the platform sends
/// them, and none afterwards, as it would be cut with the request on it. What the kernel holds by then is taken too.
pub async fn drain(node: &Rc<Node>, clients: &ClientConnections) {
    let ShutdownSchedule { signaled_at, accept_until, exit_by } = node.begin_shutdown();
    info!(node.log, "told to end"; "in_hand" => node.open_request_count());
    tokio::time::sleep_until(accept_until).await;
    let accepted_at_close = clients.stop_accepting().await;
    info!(node.log, "no more connections"; "open" => clients.count(), "taken_last" => accepted_at_close,
        "after_ms" => signaled_at.elapsed().as_millis() as u64);
    while Instant::now() < exit_by && !is_drained(node, clients) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    info!(node.log, "ends"; "in_hand" => node.open_request_count(), "connections" => clients.count(),
        "after_ms" => signaled_at.elapsed().as_millis() as u64);
    node.open_requests.log_unfinished(&node.log, signaled_at);
}

/// Whether no connection of a client is left; those without a request are told to end.
fn is_drained(node: &Node, clients: &ClientConnections) -> bool {
    clients.close_idle(MIN_IDLE_TIME);
    node.open_request_count() == 0 && clients.count() == 0
}
