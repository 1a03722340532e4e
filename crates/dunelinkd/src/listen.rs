//! The clients' listening socket: bound here, or held by a platform that passes it on so that one version can follow
//! another without a moment in which nobody listens.

use std::net::SocketAddr;

use anyhow::{Context, bail};
use listenfd::ListenFd;
use tokio::net::TcpListener;

/// Set where the platform holds the socket. `run` turns it into what socket activation goes by.
const PASSED: &str = "GW_LISTEN_FD";

/// The listening socket.
pub(crate) struct Listening {
    pub(crate) listener: TcpListener,
    /// Whether others hold it too: what waits in it when this process goes is a successor's, not lost.
    pub(crate) shared: bool,
}

/// Takes the socket that was passed on, or binds one.
pub(crate) async fn listen(address: SocketAddr) -> anyhow::Result<Listening> {
    let passed = ListenFd::from_env().take_tcp_listener(0).context("the socket that was passed on")?;
    if let Some(listener) = passed {
        listener.set_nonblocking(true)?;
        return Ok(Listening { listener: TcpListener::from_std(listener)?, shared: true });
    }
    if let Some(named) = std::env::var_os(PASSED).filter(|named| !named.is_empty()) {
        bail!("{PASSED} names {}, but LISTEN_FDS and LISTEN_PID pass no socket on", named.display());
    }
    let listener = TcpListener::bind(address).await.with_context(|| format!("can't listen on {address}"))?;
    Ok(Listening { listener, shared: false })
}
