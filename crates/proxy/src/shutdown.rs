//! The end of the process: nothing that was read is cut while there is time for it.

use std::rc::Rc;
use std::time::Duration;

use slog::info;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::Instant;

use crate::leaving::Leaving;
use crate::listen::Clients;
use crate::node::Node;

/// How often it is looked whether anything is in hand.
const LOOK: Duration = Duration::from_millis(50);
/// A connection rests for so long before it is ended: the first request of a new one may be on its way.
const RESTS: Duration = Duration::from_millis(300);

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
    pub fn take() -> std::io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        Ok(Self { terminate, hangup: signal(SignalKind::hangup())? })
    }

    /// Ends when the process is told to end. Settings that change while it runs concern other programs.
    pub async fn told_to_end(&mut self, node: &Node) {
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
pub async fn finish(node: &Rc<Node>, clients: &Clients) {
    let Leaving { told, open_until, ends_at } = node.leave();
    info!(node.log, "told to end"; "in_hand" => node.in_hand());
    tokio::time::sleep_until(open_until).await;
    let last = clients.refuse_more().await;
    info!(node.log, "no more connections"; "open" => clients.count(), "taken_last" => last,
        "after_ms" => told.elapsed().as_millis() as u64);
    while Instant::now() < ends_at && !is_done(node, clients) {
        tokio::time::sleep(LOOK).await;
    }
    info!(node.log, "ends"; "in_hand" => node.in_hand(), "connections" => clients.count(),
        "after_ms" => told.elapsed().as_millis() as u64);
    node.open_requests.log_cut(&node.log, told);
}

/// Whether no connection of a client is left; those without a request are told to end.
fn is_done(node: &Node, clients: &Clients) -> bool {
    clients.end_resting(RESTS);
    node.in_hand() == 0 && clients.count() == 0
}
