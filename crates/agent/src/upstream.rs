//! Connections to control machines.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dunelink_feed::FeedError;
use dunelink_protocol::{AgentMessage, ProxyReport};
use dunelink_runtime::{LinkError, LinkReader, LinkWriter, dial};
use slog::info;
use thiserror::Error;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::link_feed::LinkFeed;
use crate::shared::{AgentState, WriterSignal};
use crate::sources::{Action, LinkId};

/// How long a connection may take to open.
const DIAL_PATIENCE: Duration = Duration::from_millis(500);
/// The kernel gives a connection up when data stays unacknowledged for this long.
const SILENCE: Duration = Duration::from_secs(3);
/// An empty report is sent after this long without another one.
const SIGN_OF_LIFE: Duration = Duration::from_millis(500);

/// Why a connection ended.
#[derive(Debug, Error)]
enum UpstreamError {
    #[error(transparent)]
    Link(#[from] LinkError),
    #[error(transparent)]
    Feed(#[from] FeedError),
}

/// Opens and closes connections as the choice of sources tells, for ever.
pub async fn supervise(shared: Arc<AgentState>) {
    let mut links = Links::default();
    loop {
        let now = shared.clock.now();
        let (actions, next) = {
            let mut inner = shared.lock();
            let actions = inner.sources.poll(now);
            inner.wake_active();
            (actions, inner.sources.next_poll(now))
        };
        for action in actions {
            links.follow(&shared, action);
        }
        let pause = next.map(|at| Duration::from_micros(at.saturating_sub(now).max(1_000)));
        wait(&shared, pause).await;
    }
}

async fn wait(shared: &AgentState, pause: Option<Duration>) {
    let changed = shared.sources_changed.notified();
    match pause {
        Some(pause) => {
            let _ = timeout(pause, changed).await;
        }
        None => changed.await,
    }
}

/// The tasks of the connections. Dropping them closes the connections.
#[derive(Default)]
struct Links(BTreeMap<LinkId, AbortHandle>);

impl Links {
    fn follow(&mut self, shared: &Arc<AgentState>, action: Action) {
        match action {
            Action::Dial { link, address } => {
                let task = tokio::spawn(run_link(Arc::clone(shared), link, address));
                self.0.retain(|_, task| !task.is_finished());
                self.0.insert(link, task.abort_handle());
            }
            Action::Close(link) => {
                if let Some(task) = self.0.remove(&link) {
                    task.abort();
                }
                shared.link_closed(link);
            }
        }
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.0.values().for_each(AbortHandle::abort);
    }
}

async fn run_link(shared: Arc<AgentState>, link: LinkId, address: SocketAddr) {
    let Err(reason) = follow_link(&shared, link, address).await;
    shared.link_failed(link, address, &reason);
}

async fn follow_link(
    shared: &AgentState,
    link: LinkId,
    address: SocketAddr,
) -> Result<std::convert::Infallible, UpstreamError> {
    let (reader, mut writer) = dial(address, DIAL_PATIENCE, SILENCE).await?;
    let feed = LinkFeed::new(shared.clock.now());
    writer.queue(&shared.identity.hello());
    writer.queue(&subscription(shared));
    writer.flush().await?;
    let outbox = shared.link_opened(link);
    info!(shared.log, "link to a control machine"; "address" => %address);
    tokio::select! {
        ended = read(shared, link, feed, reader) => ended,
        ended = write(shared, link, &outbox, writer) => ended,
    }
}

async fn read(
    shared: &AgentState,
    link: LinkId,
    mut feed: LinkFeed,
    mut reader: LinkReader,
) -> Result<std::convert::Infallible, UpstreamError> {
    loop {
        let message = reader.read().await?;
        shared.receive(link, &mut feed, message)?;
    }
}

async fn write(
    shared: &AgentState,
    link: LinkId,
    outbox: &WriterSignal,
    mut writer: LinkWriter,
) -> Result<std::convert::Infallible, UpstreamError> {
    loop {
        while let Some(message) = next_message(shared, link, outbox) {
            writer.write(&message).await?;
        }
        let silent = timeout(SIGN_OF_LIFE, outbox.changed.notified()).await.is_err();
        // An empty report means no demand: only the connection that takes reports may tell so.
        if silent && shared.lock().sources.active() == Some(link) {
            writer.write(&AgentMessage::Report(ProxyReport::default())).await?;
        }
    }
}

fn next_message(shared: &AgentState, link: LinkId, outbox: &WriterSignal) -> Option<AgentMessage> {
    if outbox.take_resubscribe_request() {
        return Some(subscription(shared));
    }
    let mut inner = shared.lock();
    if inner.sources.active() != Some(link) {
        return None;
    }
    inner.report.take().map(AgentMessage::Report)
}

fn subscription(shared: &AgentState) -> AgentMessage {
    AgentMessage::Subscribe(shared.lock().feed.position())
}
