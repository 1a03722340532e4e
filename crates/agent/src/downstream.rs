//! The port at which the proxy on this machine reads its feed and sends its reports.

use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use dunelink_feed::FeedSource;
use dunelink_protocol::hello::PROTOCOL_VERSION;
use dunelink_protocol::{FeedMessage, Hello, LinkKind, ProxyMessage};
use dunelink_runtime::{LinkError, LinkReader, LinkWriter, accept};
use slog::info;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::state::AgentState;

/// How long a new connection may take to send its hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
/// The kernel closes a connection whose sent data stays unacknowledged for this long.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Most connections at once that have not yet sent their hello.
const MAX_UNIDENTIFIED_CONNECTIONS: usize = 4;
/// Shortest time in microseconds between two heartbeats unless something changed. It is less than the
/// heartbeat interval of control machines, so that each of their heartbeats is forwarded even if it arrives a
/// little early.
const MIN_HEARTBEAT_INTERVAL_US: u64 = 150_000;
/// Longest time between two heartbeats.
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a failure to bind the port or to accept a connection.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Why a connection was closed.
#[derive(Debug, Error)]
enum DownstreamError {
    #[error(transparent)]
    Link(#[from] LinkError),
    #[error(
        "only the proxy on this machine may connect here: check the port that the peer is configured with"
    )]
    NotLocal,
    #[error(
        "the peer uses protocol version {0}, not {PROTOCOL_VERSION}: run the same release of both programs"
    )]
    ProtocolVersion(u32),
    #[error("the peer opened a connection of kind {0:?}: connect it to a control machine instead")]
    UnexpectedKind(LinkKind),
    #[error("replaced by a newer connection of the proxy")]
    Replaced,
}

/// Binds the port, and retries until it succeeds.
pub async fn bind(state: &AgentState, address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(error) => {
                state.log_refused_proxy(address, &format_args!("the port can't be bound: {error}; retrying"));
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Accepts connections of the proxy and serves them for ever. A new connection replaces the previous one.
pub async fn serve(state: Arc<AgentState>, listener: TcpListener) {
    let connection_count = Arc::new(watch::Sender::new(0));
    let unidentified = Arc::new(Semaphore::new(MAX_UNIDENTIFIED_CONNECTIONS));
    let mut connections = JoinSet::new();
    loop {
        let (socket, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                state.log_refused_proxy(SocketAddr::new(state.identity.ip, 0), &error);
                sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        // If the machine's address is a loopback address, the system connects from 127.0.0.1, which is always
        // local.
        if peer.ip() != state.identity.ip && peer.ip() != Ipv4Addr::LOCALHOST {
            state.log_refused_proxy(peer, &DownstreamError::NotLocal);
            continue;
        }
        let Ok(permit) = Arc::clone(&unidentified).try_acquire_owned() else {
            state.log_refused_proxy(peer, &"too many connections are waiting for their hello");
            continue;
        };
        let (state, connection_count) = (Arc::clone(&state), Arc::clone(&connection_count));
        while connections.try_join_next().is_some() {}
        connections.spawn(async move {
            let received = receive_hello(socket).await;
            drop(permit);
            let result = match received {
                Ok((reader, writer)) => serve_feed(&state, &connection_count, reader, writer).await,
                Err(error) => Err(error),
            };
            let Err(reason) = result;
            state.log_refused_proxy(peer, &reason);
        });
    }
}

async fn receive_hello(socket: TcpStream) -> Result<(LinkReader, LinkWriter), DownstreamError> {
    let (mut reader, writer) = accept(socket, TCP_USER_TIMEOUT)?;
    let hello: Hello = reader.read_with_timeout(HELLO_TIMEOUT).await?;
    if hello.protocol_version != PROTOCOL_VERSION {
        return Err(DownstreamError::ProtocolVersion(hello.protocol_version));
    }
    if hello.link != LinkKind::Proxy {
        return Err(DownstreamError::UnexpectedKind(hello.link));
    }
    Ok((reader, writer))
}

async fn serve_feed(
    state: &AgentState,
    connection_count: &watch::Sender<u64>,
    reader: LinkReader,
    writer: LinkWriter,
) -> Result<Infallible, DownstreamError> {
    connection_count.send_modify(|connections| *connections += 1);
    let mut replaced = connection_count.subscribe();
    info!(state.log, "proxy connected");
    tokio::select! {
        _ = replaced.changed() => Err(DownstreamError::Replaced),
        result = read_reports(state, reader) => result,
        result = write_feed(state, writer) => result,
    }
}

async fn read_reports(state: &AgentState, mut reader: LinkReader) -> Result<Infallible, DownstreamError> {
    loop {
        let ProxyMessage::Report(report) = reader.read().await?;
        state.add_report(report);
    }
}

async fn write_feed(state: &AgentState, mut writer: LinkWriter) -> Result<Infallible, DownstreamError> {
    let mut source = FeedSource::for_empty_reader();
    loop {
        while let Some(message) = next_message(state, &mut source) {
            writer.queue(&message);
            if is_large(&message) {
                writer.flush().await?;
            }
        }
        writer.flush().await?;
        let _ = timeout(MAX_HEARTBEAT_INTERVAL, state.feed_changed.notified()).await;
    }
}

fn next_message(state: &AgentState, source: &mut FeedSource) -> Option<FeedMessage> {
    let now = state.clock.now();
    source.next_message(&state.lock().feed, MIN_HEARTBEAT_INTERVAL_US, now)
}

/// True for messages that are flushed one by one, so that at most one large message is buffered.
fn is_large(message: &FeedMessage) -> bool {
    matches!(message, FeedMessage::Configuration(_) | FeedMessage::Roster(_))
}
