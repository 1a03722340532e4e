//! Connections to control machines: they receive the feed and send the reports.

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
use crate::sources::{Action, LinkId};
use crate::state::{AgentState, WriterSignal};

/// How long a connection may take to open.
const DIAL_TIMEOUT: Duration = Duration::from_millis(500);
/// The kernel closes a connection whose sent data stays unacknowledged for this long.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time between two reports on the active connection; without data, an empty report is sent.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Why a connection ended.
#[derive(Debug, Error)]
enum UpstreamError {
    #[error(transparent)]
    Link(#[from] LinkError),
    #[error(transparent)]
    Feed(#[from] FeedError),
}

/// Opens and closes connections as decided by [`SourceSelector`](crate::sources::SourceSelector), for ever.
pub async fn supervise(state: Arc<AgentState>) {
    let mut links = Links::default();
    loop {
        let now = state.clock.now();
        let (actions, next) = {
            let mut inner = state.lock();
            let actions = inner.sources.poll(now);
            inner.wake_active();
            (actions, inner.sources.next_poll(now))
        };
        for action in actions {
            links.perform(&state, action);
        }
        let pause = next.map(|at| Duration::from_micros(at.saturating_sub(now).max(1_000)));
        wait(&state, pause).await;
    }
}

async fn wait(state: &AgentState, pause: Option<Duration>) {
    let changed = state.sources_changed.notified();
    match pause {
        Some(pause) => {
            let _ = timeout(pause, changed).await;
        }
        None => changed.await,
    }
}

/// The tasks of the connections. Dropping this value closes all connections.
#[derive(Default)]
struct Links(BTreeMap<LinkId, AbortHandle>);

impl Links {
    fn perform(&mut self, state: &Arc<AgentState>, action: Action) {
        match action {
            Action::Dial { link, address } => {
                let task = tokio::spawn(run_link(Arc::clone(state), link, address));
                self.0.retain(|_, task| !task.is_finished());
                self.0.insert(link, task.abort_handle());
            }
            Action::Close(link) => {
                if let Some(task) = self.0.remove(&link) {
                    task.abort();
                }
                state.link_closed(link);
            }
        }
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.0.values().for_each(AbortHandle::abort);
    }
}

async fn run_link(state: Arc<AgentState>, link: LinkId, address: SocketAddr) {
    let Err(reason) = run_link_to_end(&state, link, address).await;
    state.link_failed(link, address, &reason);
}

async fn run_link_to_end(
    state: &AgentState,
    link: LinkId,
    address: SocketAddr,
) -> Result<std::convert::Infallible, UpstreamError> {
    let (reader, mut writer) = dial(address, DIAL_TIMEOUT, TCP_USER_TIMEOUT).await?;
    let feed = LinkFeed::new(state.clock.now());
    writer.queue(&state.identity.hello());
    writer.queue(&subscription(state));
    writer.flush().await?;
    let signal = state.link_opened(link);
    info!(state.log, "connected to a control machine"; "address" => %address);
    tokio::select! {
        result = read_feed(state, link, feed, reader) => result,
        result = write_messages(state, link, &signal, writer) => result,
    }
}

async fn read_feed(
    state: &AgentState,
    link: LinkId,
    mut feed: LinkFeed,
    mut reader: LinkReader,
) -> Result<std::convert::Infallible, UpstreamError> {
    loop {
        let message = reader.read().await?;
        state.receive(link, &mut feed, message)?;
    }
}

async fn write_messages(
    state: &AgentState,
    link: LinkId,
    signal: &WriterSignal,
    mut writer: LinkWriter,
) -> Result<std::convert::Infallible, UpstreamError> {
    loop {
        while let Some(message) = next_message(state, link, signal) {
            writer.write(&message).await?;
        }
        let idle = timeout(MAX_REPORT_INTERVAL, signal.notify.notified()).await.is_err();
        // An empty report states that there is no demand, so it is sent only on the active connection.
        if idle && state.lock().sources.active() == Some(link) {
            writer.write(&AgentMessage::Report(ProxyReport::default())).await?;
        }
    }
}

fn next_message(state: &AgentState, link: LinkId, signal: &WriterSignal) -> Option<AgentMessage> {
    if signal.take_resubscribe_request() {
        return Some(subscription(state));
    }
    let mut inner = state.lock();
    if inner.sources.active() != Some(link) {
        return None;
    }
    inner.report.take().map(AgentMessage::Report)
}

fn subscription(state: &AgentState) -> AgentMessage {
    AgentMessage::Subscribe(state.lock().feed.position())
}
