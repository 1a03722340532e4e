//! The way to a running node, from any thread.

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

use super::body::{Incoming, Patience, read_body};
use super::endpoint::Endpoint;
use super::engines::Engine;
use super::one::One;
use super::received::{ReceivedRequest, Work};
use crate::config::ConfigError;
use crate::counts::{ClassCounts, Counts};
use crate::engine::Happening;
use crate::error::{BodyError, BoxError, CallError, Closed, InvalidRequest};
use crate::fleet::{GossipRequest, GossipRequestSender, GossipView, request};
use crate::http::Rendering;
use crate::intake::{Head, Intake, ext};
use crate::payload::{Coming, Payload};
use crate::snapshot::Snapshot;
use crate::types::Answer;

/// How long a body may take in any case.
const BODY_LEAST: Duration = Duration::from_millis(20);

/// The way to a node: cheap to clone, and usable from any thread.
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
    /// The one shard that it is for; without it, for all.
    pub(super) home: Option<usize>,
}

/// What all handles of a node share.
pub(super) struct Shared {
    pub(super) engines: Vec<Arc<Engine>>,
    pub(super) intake: Arc<Intake>,
    /// The way to its gossip, where there is any.
    pub(super) gossip: Option<GossipRequestSender>,
    pub(super) class_names: Vec<String>,
    pub(super) graphql: Option<Endpoint>,
    pub(super) body_most: usize,
    pub(super) stream_most: u64,
    pub(super) places: Arc<Semaphore>,
    /// Room for bodies that are passed on, in either direction.
    pub(super) transfers: Arc<Semaphore>,
    /// Whether it takes nothing more.
    pub(super) closing: AtomicBool,
    /// Whether it says that it is not ready, as it is worse off than the fleet.
    pub(super) aside: Arc<AtomicBool>,
}

impl Handle {
    /// The engines that this handle speaks for.
    fn engines(&self) -> &[Arc<Engine>] {
        match self.home {
            Some(home) => std::slice::from_ref(&self.shared.engines[home]),
            None => &self.shared.engines,
        }
    }

    /// Who gets the next request: of two shards the one with fewer open, so that one which stands still gets no
    /// more than its share of what is open.
    pub(super) fn engine(&self) -> &Arc<Engine> {
        match self.engines() {
            [only] => only,
            engines => {
                let (one, two) = (fastrand::usize(..engines.len()), fastrand::usize(1..engines.len()));
                let two = (one + two) % engines.len();
                let open = |at: usize| engines[at].waiting.load(Ordering::Relaxed);
                &engines[if open(two) < open(one) { two } else { one }]
            }
        }
    }

    /// The same node by one of its shards alone.
    pub(super) fn at_home(&self, shard: usize) -> Handle {
        Handle { home: Some(shard), ..self.clone() }
    }

    /// Takes a request and waits for its one final answer, which comes before the request's deadline. Dropped
    /// before that, the client counts as left: attempts that are out are cancelled and nothing is sent again.
    ///
    /// The class comes from [`ext::Class`](crate::ext::Class) or the first part of the path, the tenant, id and
    /// deadline from [`ext`](crate::ext) or their headers. A body over `limits.body` bytes is passed on as it comes, up to
    /// `limits.stream` bytes; its client's patience counts from its end.
    ///
    /// # Errors
    ///
    /// The request is not one that the node can take, its body broke off, or the node was shut down. Nothing ran then.
    pub async fn call<B>(&self, request: Request<B>) -> Result<Answer, CallError>
    where
        B: Body + Send + 'static,
        B::Error: Into<BoxError>,
    {
        self.receive(request, None).await?.answer().await
    }

    /// Reads and checks a request, by `within` at the latest, without taking it yet. For fronts that have more
    /// to check once the body is there; [`Handle::call`] is this and [`ReceivedRequest::answer`].
    ///
    /// # Errors
    ///
    /// As for [`Handle::call`].
    pub async fn receive<B>(
        &self,
        request: Request<B>,
        within: Option<Instant>,
    ) -> Result<ReceivedRequest, CallError>
    where
        B: Body + Send + 'static,
        B::Error: Into<BoxError>,
    {
        let place = self.places().try_acquire_owned().ok();
        self.receive_in(request, within, place).await
    }

    /// The same with a place that was taken before, or without one: then it will be refused.
    pub(crate) async fn receive_in<B>(
        &self,
        request: Request<B>,
        within: Option<Instant>,
        place: Option<OwnedSemaphorePermit>,
    ) -> Result<ReceivedRequest, CallError>
    where
        B: Body + Send + 'static,
        B::Error: Into<BoxError>,
    {
        let received = self.read(request, within, place).await;
        if matches!(received, Err(CallError::Invalid(_) | CallError::Body(_) | CallError::GraphQl { .. })) {
            self.engine().tally.invalid();
        }
        received
    }

    async fn read<B>(
        &self,
        request: Request<B>,
        within: Option<Instant>,
        place: Option<OwnedSemaphorePermit>,
    ) -> Result<ReceivedRequest, CallError>
    where
        B: Body + Send + 'static,
        B::Error: Into<BoxError>,
    {
        if self.is_closed() {
            return Err(CallError::Closed);
        }
        let (parts, body) = request.into_parts();
        let whole_at = parts.extensions.get::<ext::ReceivedAt>().map(|came| Instant::from_std(came.0));
        let came = whole_at.unwrap_or_else(Instant::now);
        if let Some(endpoint) = self.endpoint(&parts) {
            return self.read_graphql(endpoint, (parts, body), came, within, place).await;
        }
        let mut head = self.shared.intake.head(&parts, came)?;
        let least = within.map_or(head.patience(), |within| within.saturating_duration_since(came));
        let patience = Patience::new(least.max(BODY_LEAST));
        let most = self.shared.stream_most;
        let (body, first, rest) = match read_body(body, self.shared.body_most, most, patience).await? {
            Incoming::Whole(body) => (Payload::Whole(body.clone()), body, None),
            Incoming::Coming(rest) => {
                let first = rest.first.clone();
                let (coming, inlet) = Coming::new(rest.length, first.clone(), head.patience());
                (Payload::Coming(coming), first, Some((rest, inlet)))
            }
        };
        // Who gets no room is refused at once, not half served.
        let room = rest.as_ref().map(|_| self.shared.transfers.clone().try_acquire_owned());
        let place = place.filter(|_| !matches!(room, Some(Err(_))));
        // The client waits from its last byte on.
        head.begin(whole_at.unwrap_or_else(Instant::now));
        let one = One { rest, room: room.and_then(Result::ok), ..self.one(head, parts, body, place)? };
        let (deadline, rendering) = (one.head.deadline, Rendering::Plain);
        Ok(ReceivedRequest { body: first, deadline, rendering, work: Work::One(one) })
    }

    /// Reads a body that has to be held whole, until its request's deadline or `within`; it has a little time in any
    /// case.
    pub(super) async fn read_whole<B>(
        &self,
        body: B,
        came: Instant,
        deadline: Instant,
        within: Option<Instant>,
    ) -> Result<Bytes, BodyError>
    where
        B: Body + Send + 'static,
        B::Error: Into<BoxError>,
    {
        let by = within.map_or(deadline, |within| within.min(deadline)).max(came + BODY_LEAST);
        let patience = Patience::new(by.saturating_duration_since(came));
        let held = self.shared.body_most;
        match read_body(body, held, 0, patience).await? {
            Incoming::Whole(body) => Ok(body),
            Incoming::Coming(_) => Err(BodyError::TooLarge { limit: held }),
        }
    }

    /// One request for the engine, under its id.
    pub(super) fn one(
        &self,
        head: Head,
        parts: Parts,
        body: Payload,
        place: Option<OwnedSemaphorePermit>,
    ) -> Result<One, InvalidRequest> {
        let engine = self.engine();
        let number = engine.mailbox.number();
        let claimed = self.shared.intake.claim(head.id.as_deref(), number)?;
        let outgoing = Arc::new(head.outgoing(parts, body, &claimed)?);
        Ok(One { engine: engine.clone(), head, outgoing, number, claimed, place, room: None, rest: None })
    }

    /// The places for open requests.
    pub(crate) fn places(&self) -> Arc<Semaphore> {
        self.shared.places.clone()
    }

    /// Whether there is any server to send to, for every shard, and the node has not stepped aside: one that is worse
    /// off than the fleet may, where the configuration says so. It serves whoever asks it all the same.
    pub fn is_ready(&self) -> bool {
        !self.is_withdrawn() && self.engines().iter().all(|engine| engine.any_ready.load(Ordering::Acquire))
    }

    /// Whether the node says that it is not ready, as it is worse off than the fleet.
    pub fn is_withdrawn(&self) -> bool {
        self.shared.aside.load(Ordering::Acquire)
    }

    /// Whether the list's source has told anything since the start, to every shard. Before that the node goes by the
    /// list that it was given, which may be old.
    pub fn has_list(&self) -> bool {
        self.engines().iter().all(|engine| engine.tally.has_list())
    }

    /// Whether the node takes nothing more.
    pub fn is_closed(&self) -> bool {
        self.shared.closing.load(Ordering::Acquire)
    }

    /// How requests ended since the start; after the end too.
    pub fn counts(&self) -> Counts {
        self.engines().iter().map(|engine| engine.tally.counts()).fold(Counts::default(), Counts::plus)
    }

    /// How requests of each class ended since the start.
    pub fn class_counts(&self) -> BTreeMap<&str, ClassCounts> {
        let mut counts: BTreeMap<&str, ClassCounts> = BTreeMap::new();
        for engine in self.engines() {
            for (name, more) in self.shared.class_names.iter().zip(engine.tally.class_counts()) {
                let sum = counts.entry(name).or_default();
                *sum = sum.plus(more);
            }
        }
        counts
    }

    /// Attempts that were written whole to servers, since the start.
    pub fn attempts(&self) -> u64 {
        self.engines().iter().map(|engine| engine.tally.attempts()).sum()
    }

    /// Requests that were taken and have no answer yet, as their callers count them, and answers that are being
    /// passed on.
    pub fn outstanding(&self) -> usize {
        let open = |engine: &Arc<Engine>| engine.waiting.load(Ordering::Relaxed) + engine.tally.transfers();
        self.engines().iter().map(open).sum()
    }

    /// How the node stands, all its shards together.
    ///
    /// # Errors
    ///
    /// It has ended; its [`Handle::counts`] can still be read.
    pub async fn snapshot(&self) -> Result<Snapshot, Closed> {
        let ask = |engine: &Arc<Engine>| {
            let (ask, told) = oneshot::channel();
            engine.mailbox.send(Happening::Look(ask));
            told
        };
        // All are asked before any is waited for.
        let asked: Vec<_> = self.engines().iter().map(ask).collect();
        let mut whole: Option<Snapshot> = None;
        for told in asked {
            let seen = told.await.map_err(|_| Closed)?;
            match &mut whole {
                Some(whole) => whole.add(seen),
                None => whole = Some(seen),
            }
        }
        whole.ok_or(Closed)
    }

    /// What other nodes tell, where the configuration wants gossip.
    pub async fn gossip(&self) -> Option<GossipView> {
        request(self.shared.gossip.as_ref(), GossipRequest::Status).await
    }

    /// Has the fleet put a node out for so many seconds (at most a week, for a reason of at most 40 bytes), or let one in
    /// again. That it has been decided shows in [`GossipView::fleet`].
    ///
    /// # Errors
    ///
    /// There is no gossip, or it can't be decided: why not.
    pub async fn evict_or_restore(&self, name: &str, how: Option<(u64, String)>) -> Result<(), String> {
        let put = |tell| GossipRequest::SetEviction(name.to_owned(), how, tell);
        let told = request(self.shared.gossip.as_ref(), put).await;
        told.unwrap_or_else(|| Err("this node does not gossip".into()))
    }

    /// Reads the keys of gossip again and tells how many names there are; nothing where there is no gossip.
    ///
    /// # Errors
    ///
    /// The files can't be used; the keys stay as they were.
    pub async fn reload_gossip_keys(&self) -> Option<Result<usize, ConfigError>> {
        request(self.shared.gossip.as_ref(), GossipRequest::ReloadKeys).await
    }

    /// Tells other nodes that this one goes: its part is kept for it for a minute.
    pub async fn leave_gossip(&self) {
        request(self.shared.gossip.as_ref(), GossipRequest::Leave).await;
    }

    /// Closes the connection to a server that has been idle for longest: the process is out of descriptors.
    pub fn close_idle_connection(&self) {
        self.engine().mailbox.send(Happening::Evict);
    }

    /// As [`Node::shutdown`](crate::Node::shutdown), for all owners of the node.
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
        // A time beyond the clock's end is far enough away as any.
        let at = now.checked_add(deadline).unwrap_or(now + Duration::from_secs(86_400));
        for engine in self.engines() {
            engine.mailbox.send(Happening::Shutdown(at));
        }
    }
}
