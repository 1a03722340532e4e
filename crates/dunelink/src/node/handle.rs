//! The interface to a running node, usable from any thread.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ::http::Request;
use ::http::request::Parts;
use bytes::Bytes;
use http_body::Body;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::time::Instant;

use super::body::{ReadTimeout, ReceivedBody, read_body};
use super::endpoint::Endpoint;
use super::engine_handle::EngineHandle;
use super::received_request::{ReceivedRequest, Work};
use super::single_request::SingleRequest;
use crate::config::ConfigError;
use crate::counts::{ClassCounts, Counts};
use crate::engine::EngineMessage;
use crate::error::{BodyError, BoxError, CallError, Closed, InvalidRequest};
use crate::fleet::{GossipRequest, GossipRequestSender, GossipView, request};
use crate::http::Rendering;
use crate::intake::{Head, Intake, ext};
use crate::payload::{Payload, StreamingPayload};
use crate::snapshot::Snapshot;
use crate::types::Answer;

/// The minimum time limit for receiving a body.
const MIN_BODY_READ_TIME: Duration = Duration::from_millis(20);

/// The interface to a running node: cheap to clone, and usable from any thread.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// # use dunelink::{Config, Node, config::{Class, Effect}};
/// # use std::time::Duration;
/// # let classes = vec![Class::new("view", Effect::Safe, Duration::from_secs(1))];
/// # let node = Node::builder(Config { classes, ..Config::default() }).start()?;
/// let fleet = node.handle().clone();
/// let call = tokio::spawn(async move { fleet.call(http::Request::get("/view/7").body(String::new()).unwrap()).await });
/// assert!(call.await??.is_refused(), "this node knows no server");
/// # Ok(()) }
/// ```
#[derive(Clone)]
pub struct Handle {
    pub(super) shared: Arc<Shared>,
    /// The shard to which this handle is limited; `None` for all shards.
    pub(super) shard: Option<usize>,
}

/// The state shared by all handles of a node.
pub(super) struct Shared {
    pub(super) engines: Vec<Arc<EngineHandle>>,
    pub(super) intake: Arc<Intake>,
    /// The channel to the node's gossip, if it has any.
    pub(super) gossip: Option<GossipRequestSender>,
    pub(super) class_names: Vec<String>,
    pub(super) graphql: Option<Endpoint>,
    pub(super) max_body_bytes: usize,
    pub(super) max_stream_bytes: u64,
    pub(super) request_permits: Arc<Semaphore>,
    /// Permits for streamed bodies, in either direction.
    pub(super) transfers: Arc<Semaphore>,
    /// Whether the node accepts no more requests.
    pub(super) closing: AtomicBool,
    /// Whether the node reports itself as not ready because it is worse off than the rest of the fleet.
    pub(super) withdrawn: Arc<AtomicBool>,
}

impl Handle {
    /// The engines to which this handle sends requests.
    fn engines(&self) -> &[Arc<EngineHandle>] {
        match self.shard {
            Some(shard) => std::slice::from_ref(&self.shared.engines[shard]),
            None => &self.shared.engines,
        }
    }

    /// The engine for the next request: of two random shards the one with fewer open requests, so that a
    /// stalled shard gets no more than its share of the open requests.
    pub(super) fn engine(&self) -> &Arc<EngineHandle> {
        match self.engines() {
            [only] => only,
            engines => {
                let (first, second) = (fastrand::usize(..engines.len()), fastrand::usize(1..engines.len()));
                let second = (first + second) % engines.len();
                let open = |index: usize| engines[index].waiting_calls.load(Ordering::Relaxed);
                &engines[if open(second) < open(first) { second } else { first }]
            }
        }
    }

    /// A handle to the same node that is limited to one shard.
    pub(super) fn for_shard(&self, shard: usize) -> Handle {
        Handle { shard: Some(shard), ..self.clone() }
    }

    /// Accepts a request and waits for its one final answer, which comes before the request's deadline. If
    /// the future is dropped before that, the client counts as having left: attempts in flight are cancelled
    /// and nothing is sent again.
    ///
    /// The class comes from [`ext::Class`](crate::ext::Class) or the first segment of the path, the tenant,
    /// id and deadline from [`ext`](crate::ext) or their headers. A body over `limits.body` bytes is
    /// streamed, up to `limits.stream` bytes; its client's timeout starts at its end.
    ///
    /// # Errors
    ///
    /// The request is invalid, its body broke off, or the node was shut down. Nothing ran then.
    pub async fn call<B>(&self, request: Request<B>) -> Result<Answer, CallError>
    where
        B: Body + Send + 'static,
        B::Error: Into<BoxError>,
    {
        self.receive(request, None).await?.answer().await
    }

    /// Reads and checks a request, by `read_by` at the latest, without accepting it yet. For frontends that
    /// have more to check once the body is there; [`Handle::call`] is this followed by
    /// [`ReceivedRequest::answer`].
    ///
    /// # Errors
    ///
    /// As for [`Handle::call`].
    pub async fn receive<B>(
        &self,
        request: Request<B>,
        read_by: Option<Instant>,
    ) -> Result<ReceivedRequest, CallError>
    where
        B: Body + Send + 'static,
        B::Error: Into<BoxError>,
    {
        let permit = self.request_permits().try_acquire_owned().ok();
        self.receive_with_permit(request, read_by, permit).await
    }

    /// [`Handle::receive`] with a permit that was acquired before; without one, the request will be refused.
    pub(crate) async fn receive_with_permit<B>(
        &self,
        request: Request<B>,
        read_by: Option<Instant>,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Result<ReceivedRequest, CallError>
    where
        B: Body + Send + 'static,
        B::Error: Into<BoxError>,
    {
        let received = self.read(request, read_by, permit).await;
        if matches!(received, Err(CallError::Invalid(_) | CallError::Body(_) | CallError::GraphQl { .. })) {
            self.engine().counters.count_invalid();
        }
        received
    }

    async fn read<B>(
        &self,
        request: Request<B>,
        read_by: Option<Instant>,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Result<ReceivedRequest, CallError>
    where
        B: Body + Send + 'static,
        B::Error: Into<BoxError>,
    {
        if self.is_closed() {
            return Err(CallError::Closed);
        }
        let (parts, body) = request.into_parts();
        let body_received_at =
            parts.extensions.get::<ext::ReceivedAt>().map(|received_at| Instant::from_std(received_at.0));
        let received_at = body_received_at.unwrap_or_else(Instant::now);
        if let Some(endpoint) = self.endpoint(&parts) {
            return self.read_graphql(endpoint, (parts, body), received_at, read_by, permit).await;
        }
        let mut head = self.shared.intake.head(&parts, received_at)?;
        let base_timeout =
            read_by.map_or(head.client_timeout(), |read_by| read_by.saturating_duration_since(received_at));
        let read_timeout = ReadTimeout::new(base_timeout.max(MIN_BODY_READ_TIME));
        let max_streamed = self.shared.max_stream_bytes;
        let (body, first, remaining) =
            match read_body(body, self.shared.max_body_bytes, max_streamed, read_timeout).await? {
                ReceivedBody::Complete(body) => (Payload::Buffered(body.clone()), body, None),
                ReceivedBody::Streaming(remaining) => {
                    let first = remaining.first.clone();
                    let (streaming, sender) =
                        StreamingPayload::new(remaining.length, first.clone(), head.client_timeout());
                    (Payload::Streaming(streaming), first, Some((remaining, sender)))
                }
            };
        // A request without a transfer permit is refused at once rather than half served.
        let transfer_permit = remaining.as_ref().map(|_| self.shared.transfers.clone().try_acquire_owned());
        let permit = permit.filter(|_| !matches!(transfer_permit, Some(Err(_))));
        // The client's timeout starts with its last byte.
        head.restart_deadline(body_received_at.unwrap_or_else(Instant::now));
        let request = SingleRequest {
            remaining,
            transfer_permit: transfer_permit.and_then(Result::ok),
            ..self.single_request(head, parts, body, permit)?
        };
        let (deadline, rendering) = (request.head.deadline, Rendering::Plain);
        Ok(ReceivedRequest { body: first, deadline, rendering, work: Work::Single(request) })
    }

    /// Reads a body that has to be buffered, by the request's deadline and `read_by`, but with at least
    /// [`MIN_BODY_READ_TIME`].
    pub(super) async fn read_buffered<B>(
        &self,
        body: B,
        received_at: Instant,
        deadline: Instant,
        read_by: Option<Instant>,
    ) -> Result<Bytes, BodyError>
    where
        B: Body + Send + 'static,
        B::Error: Into<BoxError>,
    {
        let read_until =
            read_by.map_or(deadline, |read_by| read_by.min(deadline)).max(received_at + MIN_BODY_READ_TIME);
        let read_timeout = ReadTimeout::new(read_until.saturating_duration_since(received_at));
        let max_buffered = self.shared.max_body_bytes;
        match read_body(body, max_buffered, 0, read_timeout).await? {
            ReceivedBody::Complete(body) => Ok(body),
            ReceivedBody::Streaming(_) => Err(BodyError::TooLarge { limit: max_buffered }),
        }
    }

    /// Builds a request for an engine and reserves its id.
    pub(super) fn single_request(
        &self,
        head: Head,
        parts: Parts,
        body: Payload,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Result<SingleRequest, InvalidRequest> {
        let engine = self.engine();
        let request_id = engine.mailbox.next_request_id();
        let id_claim = self.shared.intake.claim(head.id.as_deref(), request_id)?;
        let outgoing = Arc::new(head.outgoing(parts, body, &id_claim)?);
        Ok(SingleRequest {
            engine: engine.clone(),
            head,
            outgoing,
            request_id,
            id_claim,
            permit,
            transfer_permit: None,
            remaining: None,
        })
    }

    /// The permits for open requests.
    pub(crate) fn request_permits(&self) -> Arc<Semaphore> {
        self.shared.request_permits.clone()
    }

    /// Whether every shard has a server to send to and the node has not withdrawn. A node that is worse off
    /// than the rest of the fleet may withdraw, if the configuration allows it. It still serves all requests
    /// that it gets.
    pub fn is_ready(&self) -> bool {
        !self.is_withdrawn() && self.engines().iter().all(|engine| engine.any_ready.load(Ordering::Acquire))
    }

    /// Whether the node reports itself as not ready because it is worse off than the rest of the fleet.
    pub fn is_withdrawn(&self) -> bool {
        self.shared.withdrawn.load(Ordering::Acquire)
    }

    /// Whether the source of the server list has delivered anything to every shard since the start. Before
    /// that, the node uses its initial list, which may be outdated.
    pub fn has_list(&self) -> bool {
        self.engines().iter().all(|engine| engine.counters.has_list())
    }

    /// Whether the node accepts no more requests.
    pub fn is_closed(&self) -> bool {
        self.shared.closing.load(Ordering::Acquire)
    }

    /// How requests ended since the start; can still be read after the node's end.
    pub fn counts(&self) -> Counts {
        self.engines().iter().map(|engine| engine.counters.counts()).fold(Counts::default(), Counts::plus)
    }

    /// How requests of each class ended since the start.
    pub fn class_counts(&self) -> BTreeMap<&str, ClassCounts> {
        let mut counts: BTreeMap<&str, ClassCounts> = BTreeMap::new();
        for engine in self.engines() {
            for (name, counts_of_engine) in self.shared.class_names.iter().zip(engine.counters.class_counts())
            {
                let sum = counts.entry(name).or_default();
                *sum = sum.plus(counts_of_engine);
            }
        }
        counts
    }

    /// The number of attempts that were fully written to servers since the start.
    pub fn attempts(&self) -> u64 {
        self.engines().iter().map(|engine| engine.counters.attempts()).sum()
    }

    /// The number of accepted requests without an answer, as their callers count them, plus streamed answers
    /// in progress.
    pub fn outstanding(&self) -> usize {
        let open = |engine: &Arc<EngineHandle>| {
            engine.waiting_calls.load(Ordering::Relaxed) + engine.counters.transfers()
        };
        self.engines().iter().map(open).sum()
    }

    /// The state of the node, all its shards together.
    ///
    /// # Errors
    ///
    /// The node has ended; its [`Handle::counts`] can still be read.
    pub async fn snapshot(&self) -> Result<Snapshot, Closed> {
        let request_snapshot = |engine: &Arc<EngineHandle>| {
            let (reply, receiver) = oneshot::channel();
            engine.mailbox.send(EngineMessage::Snapshot(reply));
            receiver
        };
        // All engines are asked before the first reply is awaited.
        let replies: Vec<_> = self.engines().iter().map(request_snapshot).collect();
        let mut total: Option<Snapshot> = None;
        for reply in replies {
            let snapshot = reply.await.map_err(|_| Closed)?;
            match &mut total {
                Some(total) => total.add(snapshot),
                None => total = Some(snapshot),
            }
        }
        total.ok_or(Closed)
    }

    /// The state of gossip with other nodes; `None` if the node does not gossip.
    pub async fn gossip(&self) -> Option<GossipView> {
        request(self.shared.gossip.as_ref(), GossipRequest::Status).await
    }

    /// Asks the fleet to evict a node for a number of seconds (at most a week) and a reason (at most 40
    /// bytes), or to restore it if `eviction` is `None`. Once decided, the change shows in
    /// [`GossipView::fleet`].
    ///
    /// # Errors
    ///
    /// The node does not gossip, or the change can't be decided; the text says why.
    pub async fn evict_or_restore(&self, name: &str, eviction: Option<(u64, String)>) -> Result<(), String> {
        let build_request = |reply| GossipRequest::SetEviction(name.to_owned(), eviction, reply);
        let reply = request(self.shared.gossip.as_ref(), build_request).await;
        reply.unwrap_or_else(|| Err("this node does not gossip".into()))
    }

    /// Reloads the keys of gossip and returns the number of names among them; `None` if the node does not
    /// gossip.
    ///
    /// # Errors
    ///
    /// The files can't be used; the old keys stay in use.
    pub async fn reload_gossip_keys(&self) -> Option<Result<usize, ConfigError>> {
        request(self.shared.gossip.as_ref(), GossipRequest::ReloadKeys).await
    }

    /// Tells other nodes that this one leaves; its part of the fleet stays reserved for a minute.
    pub async fn leave_gossip(&self) {
        request(self.shared.gossip.as_ref(), GossipRequest::Leave).await;
    }

    /// Closes the longest-idle connection to a server, for a process that has run out of file descriptors.
    pub fn close_idle_connection(&self) {
        self.engine().mailbox.send(EngineMessage::EvictIdleConnection);
    }

    /// Like [`Node::shutdown`](crate::Node::shutdown), from any handle.
    pub async fn shutdown(&self, deadline: Duration) -> Counts {
        self.close(deadline);
        for engine in self.engines() {
            engine.ended.cancelled().await;
        }
        self.counts()
    }

    pub(super) fn close(&self, deadline: Duration) {
        self.shared.closing.store(true, Ordering::Release);
        let now = Instant::now();
        // A deadline beyond the range of the clock is replaced by one a day away.
        let at = now.checked_add(deadline).unwrap_or(now + Duration::from_secs(86_400));
        for engine in self.engines() {
            engine.mailbox.send(EngineMessage::Shutdown(at));
        }
    }
}
