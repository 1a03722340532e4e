//! The listening socket for clients: bound by this process, or inherited from a platform that keeps it open,
//! so that a new version can replace the old one without a time in which no process listens.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, bail, ensure};
use listenfd::ListenFd;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// Delay before the next attempt to accept when there is no descriptor or no place left for a connection.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Once the listener is told to stop, the kernel's queue counts as empty after this long without a
/// connection.
pub(crate) const ACCEPT_DRAIN_TIMEOUT: Duration = Duration::from_millis(20);
/// Time added to the longest deadline at shutdown, and time for writing the last answers.
pub(crate) const LAST_ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// Environment variable with the descriptor number of the socket, set if the platform keeps the socket open.
/// The `run` command of the deployment translates it into the variables of socket activation.
const DESCRIPTOR_VARIABLE: &str = "GW_LISTEN_FD";

/// The listening socket.
pub(crate) struct ListeningSocket {
    pub(crate) listener: TcpListener,
    /// Whether other processes hold the socket too: connections that are still queued when this process exits
    /// are then accepted by its successor and not lost.
    pub(crate) shared: bool,
}

/// Takes over the inherited socket, or binds a new one.
pub(crate) async fn listen(address: SocketAddr) -> anyhow::Result<ListeningSocket> {
    let descriptor = std::env::var_os(DESCRIPTOR_VARIABLE).filter(|descriptor| !descriptor.is_empty());
    if let Some(descriptor) = &descriptor {
        let number = descriptor.to_str().and_then(|text| text.parse::<u32>().ok());
        ensure!(
            number.is_some(),
            "{DESCRIPTOR_VARIABLE}: expected a descriptor's number, not {:?}",
            descriptor.display()
        );
    }
    let variable = if descriptor.is_some() { DESCRIPTOR_VARIABLE } else { "LISTEN_FDS" };
    let inherited = ListenFd::from_env().take_tcp_listener(0);
    let inherited = inherited.with_context(|| format!("{variable}: expected a listening TCP socket"))?;
    match (inherited, descriptor) {
        (Some(listener), _) => {
            let is_listening = SockRef::from(&listener).is_listener().unwrap_or(false);
            ensure!(is_listening, "{variable}: expected a socket that listens");
            listener.set_nonblocking(true)?;
            Ok(ListeningSocket { listener: TcpListener::from_std(listener)?, shared: true })
        }
        (None, Some(descriptor)) => {
            bail!(
                "{DESCRIPTOR_VARIABLE} names {}, but LISTEN_FDS and LISTEN_PID pass no socket",
                descriptor.display()
            )
        }
        (None, None) => {
            let listener = TcpListener::bind(address).await;
            let listener = listener.with_context(|| format!("can't listen on {address}"))?;
            Ok(ListeningSocket { listener, shared: false })
        }
    }
}

/// Waits until the node is ready; returns false if it is told to stop first.
pub(crate) async fn wait_until_ready(ready: &mut JoinHandle<()>, stop: &Notify) -> bool {
    tokio::select! {
        ready = ready => ready.is_ok(),
        () = stop.notified() => false,
    }
}

/// Whether the process or its machine has no file descriptor left.
pub(crate) fn out_of_descriptors(error: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}
