//! The clients' listening socket: bound here, or held by a platform that passes it on so that one version can follow
//! another without a moment in which nobody listens.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, bail, ensure};
use listenfd::ListenFd;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// How long accepting pauses when there are no descriptors left.
pub(crate) const NO_SOCKETS: Duration = Duration::from_millis(10);
/// How long the listener has to stay silent, once told to stop, for the kernel to have nothing more.
pub(crate) const LAST_LOOK: Duration = Duration::from_millis(20);
/// What comes on top of the longest deadline at the end, and what the last answers may take.
pub(crate) const LAST_ANSWERS: Duration = Duration::from_millis(100);

/// Set where the platform holds the socket: a descriptor's number. `run` turns it into what socket activation goes by.
const PASSED: &str = "GW_LISTEN_FD";

/// The listening socket.
pub(crate) struct Listening {
    pub(crate) listener: TcpListener,
    /// Whether others hold it too: what waits in it when this process goes is a successor's, not lost.
    pub(crate) shared: bool,
}

/// Takes the socket that was passed on, or binds one.
pub(crate) async fn listen(address: SocketAddr) -> anyhow::Result<Listening> {
    let named = std::env::var_os(PASSED).filter(|named| !named.is_empty());
    if let Some(named) = &named {
        let number = named.to_str().and_then(|text| text.parse::<u32>().ok());
        ensure!(number.is_some(), "{PASSED}: expected a descriptor's number, not {:?}", named.display());
    }
    let source = if named.is_some() { PASSED } else { "LISTEN_FDS" };
    let passed = ListenFd::from_env().take_tcp_listener(0);
    let passed = passed.with_context(|| format!("{source}: expected a listening TCP socket"))?;
    match (passed, named) {
        (Some(listener), _) => {
            let listens = SockRef::from(&listener).is_listener().unwrap_or(false);
            ensure!(listens, "{source}: expected a socket that listens");
            listener.set_nonblocking(true)?;
            Ok(Listening { listener: TcpListener::from_std(listener)?, shared: true })
        }
        (None, Some(named)) => {
            bail!("{PASSED} names {}, but LISTEN_FDS and LISTEN_PID pass no socket on", named.display())
        }
        (None, None) => {
            let listener = TcpListener::bind(address).await;
            let listener = listener.with_context(|| format!("can't listen on {address}"))?;
            Ok(Listening { listener, shared: false })
        }
    }
}

/// Waits until the node is ready; whether it was before it was told to stop.
pub(crate) async fn is_ready(ready: &mut JoinHandle<()>, stop: &Notify) -> bool {
    tokio::select! {
        ready = ready => ready.is_ok(),
        () = stop.notified() => false,
    }
}

/// Whether the node or its machine has no descriptor left.
pub(crate) fn out_of_sockets(error: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}
