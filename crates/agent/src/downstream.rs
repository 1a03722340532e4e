//! The port at which the proxy on this machine reads its feed.

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

use crate::shared::Shared;

/// How long a connection may take to say what it is.
const HELLO_PATIENCE: Duration = Duration::from_secs(1);
/// The kernel gives a connection up when data stays unacknowledged for this long.
const SILENCE: Duration = Duration::from_secs(3);
/// Connections that have not yet said what they are.
const STRANGERS: usize = 4;
/// Signs of life are at least this far apart unless something changed, in microseconds: less than the period of
/// control machines, so that each of theirs is passed on also when it comes a little early.
const TICK_MIN: u64 = 150_000;
/// Signs of life are at most this far apart.
const TICK_MAX: Duration = Duration::from_millis(500);
/// Pause after the port could not be bound or a connection not be accepted.
const PAUSE: Duration = Duration::from_millis(200);

/// Why a connection was closed.
#[derive(Debug, Error)]
enum DownstreamError {
    #[error(transparent)]
    Link(#[from] LinkError),
    #[error("only a proxy on this machine may read here: check the port that the peer was given")]
    Stranger,
    #[error(
        "the peer speaks protocol {0} instead of {PROTOCOL_VERSION}: run the same release of both programs"
    )]
    Protocol(u32),
    #[error("the peer opened a link of kind {0:?}: connect it to a control machine instead")]
    Kind(LinkKind),
    #[error("a newer connection of the proxy took its place")]
    Replaced,
}

/// Binds the port, again and again until it succeeds.
pub async fn bind(shared: &Shared, address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(error) => {
                shared.refuse_proxy(
                    address,
                    &format_args!("the port can't be bound: {error}; it is tried again"),
                );
                sleep(PAUSE).await;
            }
        }
    }
}

/// Serves the proxy for ever. The newest connection of a proxy replaces the one before it.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let newest = Arc::new(watch::Sender::new(0));
    let strangers = Arc::new(Semaphore::new(STRANGERS));
    let mut connections = JoinSet::new();
    loop {
        let (socket, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                shared.refuse_proxy(SocketAddr::new(shared.identity.ip, 0), &error);
                sleep(PAUSE).await;
                continue;
            }
        };
        // Where the machine's address is a loopback one, the system connects from 127.0.0.1, which is always local.
        if peer.ip() != shared.identity.ip && peer.ip() != Ipv4Addr::LOCALHOST {
            shared.refuse_proxy(peer, &DownstreamError::Stranger);
            continue;
        }
        let Ok(place) = Arc::clone(&strangers).try_acquire_owned() else {
            shared.refuse_proxy(peer, &"too many connections have not said what they are");
            continue;
        };
        let (shared, newest) = (Arc::clone(&shared), Arc::clone(&newest));
        while connections.try_join_next().is_some() {}
        connections.spawn(async move {
            let greeted = greet(socket).await;
            drop(place);
            let ended = match greeted {
                Ok((reader, writer)) => feed(&shared, &newest, reader, writer).await,
                Err(error) => Err(error),
            };
            let Err(reason) = ended;
            shared.refuse_proxy(peer, &reason);
        });
    }
}

async fn greet(socket: TcpStream) -> Result<(LinkReader, LinkWriter), DownstreamError> {
    let (mut reader, writer) = accept(socket, SILENCE)?;
    let hello: Hello = reader.read_within(HELLO_PATIENCE).await?;
    if hello.protocol_version != PROTOCOL_VERSION {
        return Err(DownstreamError::Protocol(hello.protocol_version));
    }
    if hello.link != LinkKind::Proxy {
        return Err(DownstreamError::Kind(hello.link));
    }
    Ok((reader, writer))
}

async fn feed(
    shared: &Shared,
    newest: &watch::Sender<u64>,
    reader: LinkReader,
    writer: LinkWriter,
) -> Result<Infallible, DownstreamError> {
    newest.send_modify(|connections| *connections += 1);
    let mut replaced = newest.subscribe();
    info!(shared.log, "proxy connected");
    tokio::select! {
        _ = replaced.changed() => Err(DownstreamError::Replaced),
        ended = read(shared, reader) => ended,
        ended = write(shared, writer) => ended,
    }
}

async fn read(shared: &Shared, mut reader: LinkReader) -> Result<Infallible, DownstreamError> {
    loop {
        let ProxyMessage::Report(report) = reader.read().await?;
        shared.report(report);
    }
}

async fn write(shared: &Shared, mut writer: LinkWriter) -> Result<Infallible, DownstreamError> {
    let mut source = FeedSource::for_empty_reader();
    loop {
        while let Some(message) = next_message(shared, &mut source) {
            writer.queue(&message);
            if is_large(&message) {
                writer.flush().await?;
            }
        }
        writer.flush().await?;
        let _ = timeout(TICK_MAX, shared.feed_changed.notified()).await;
    }
}

fn next_message(shared: &Shared, source: &mut FeedSource) -> Option<FeedMessage> {
    let now = shared.clock.now();
    source.next_message(&shared.lock().feed, TICK_MIN, now)
}

/// Large messages are sent one by one, so that only one waits in memory.
fn is_large(message: &FeedMessage) -> bool {
    matches!(message, FeedMessage::Configuration(_) | FeedMessage::Roster(_))
}
