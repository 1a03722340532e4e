//! The way to a running node, from any thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use ::http::Request;
use bytes::Bytes;
use cherryusher::RequestId;
use http_body::Body;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::body::read_body;
use crate::engine::{Happening, Mailbox};
use crate::error::{BoxError, CallError, Closed};
use crate::intake::{Claimed, Head, Intake};
use crate::snapshot::{Counts, Snapshot, Tally};
use crate::types::{Answer, Outgoing};

/// How long a body may take in any case.
const BODY_LEAST: Duration = Duration::from_millis(20);
/// For how long what comes beyond `limits.requests` is told to stay away.
const CROWDED: Duration = Duration::from_secs(1);

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
    pub(super) body_most: usize,
    pub(super) places: Arc<Semaphore>,
    /// Whether it takes nothing more.
    pub(super) closing: AtomicBool,
}

/// One shard's engine, as its callers see it.
pub(super) struct Engine {
    pub(super) mailbox: Mailbox,
    pub(super) tally: Arc<Tally>,
    pub(super) any_ready: Arc<AtomicBool>,
    /// Calls that wait for it, as callers count them: an engine that stands still counts nothing.
    pub(super) waiting: AtomicUsize,
    /// Told once it has ended.
    pub(super) ended: CancellationToken,
}

/// A request that the node can take: whole, and in order. It counts as taken once [`Received::answer`] is
/// polled; dropped before that, nothing has happened.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// # use dunelink::{Config, Node, config::{Class, Effect}};
/// # use std::time::Duration;
/// # let classes = vec![Class::new("view", Effect::Safe, Duration::from_secs(1))];
/// # let node = Node::builder(Config { classes, ..Config::default() }).start()?;
/// let received = node.handle().receive(http::Request::get("/view/7").body(String::new())?, None).await?;
/// // A front that has no room itself turns it away; it still has its one final answer.
/// assert!(received.refuse(Duration::from_secs(1)).is_refused());
/// assert_eq!(node.handle().counts().refused, 1);
/// # Ok(()) }
/// ```
pub struct Received {
    engine: Arc<Engine>,
    head: Head,
    outgoing: Arc<Outgoing>,
    number: RequestId,
    claimed: Claimed,
    place: Option<OwnedSemaphorePermit>,
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
    fn engine(&self) -> &Arc<Engine> {
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
    /// deadline from [`ext`](crate::ext) or their headers. The body is read whole, up to `limits.body` bytes.
    ///
    /// # Errors
    ///
    /// The request is not one that the node can take, or the node was shut down. Nothing ran then.
    pub async fn call<B>(&self, request: Request<B>) -> Result<Answer, CallError>
    where
        B: Body,
        B::Error: Into<BoxError>,
    {
        Ok(self.receive(request, None).await?.answer().await)
    }

    /// Reads and checks a request, by `within` at the latest, without taking it yet. For fronts that have more
    /// to check once the body is there; [`Handle::call`] is this and [`Received::answer`].
    ///
    /// # Errors
    ///
    /// As for [`Handle::call`].
    pub async fn receive<B>(
        &self,
        request: Request<B>,
        within: Option<Instant>,
    ) -> Result<Received, CallError>
    where
        B: Body,
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
    ) -> Result<Received, CallError>
    where
        B: Body,
        B::Error: Into<BoxError>,
    {
        let received = self.read(request, within, place).await;
        if matches!(received, Err(CallError::Invalid(_) | CallError::Body(_))) {
            self.engine().tally.invalid();
        }
        received
    }

    async fn read<B>(
        &self,
        request: Request<B>,
        within: Option<Instant>,
        place: Option<OwnedSemaphorePermit>,
    ) -> Result<Received, CallError>
    where
        B: Body,
        B::Error: Into<BoxError>,
    {
        if self.is_closed() {
            return Err(CallError::Closed);
        }
        let came = Instant::now();
        let (parts, body) = request.into_parts();
        let head = self.shared.intake.head(&parts, came)?;
        let by = within.map_or(head.deadline, |within| within.min(head.deadline)).max(came + BODY_LEAST);
        let body = read_body(body, self.shared.body_most, came, by).await?;
        let engine = self.engine();
        let number = engine.mailbox.number();
        let claimed = self.shared.intake.claim(&head, number)?;
        let outgoing = Arc::new(head.outgoing(parts, body, &claimed)?);
        Ok(Received { engine: engine.clone(), head, outgoing, number, claimed, place })
    }

    /// The places for open requests.
    pub(crate) fn places(&self) -> Arc<Semaphore> {
        self.shared.places.clone()
    }

    /// Whether there is any server to send to, for every shard.
    pub fn is_ready(&self) -> bool {
        self.engines().iter().all(|engine| engine.any_ready.load(Ordering::Acquire))
    }

    /// Whether the node takes nothing more.
    pub fn is_closed(&self) -> bool {
        self.shared.closing.load(Ordering::Acquire)
    }

    /// How requests ended since the start; after the end too.
    pub fn counts(&self) -> Counts {
        self.engines().iter().map(|engine| engine.tally.counts()).fold(Counts::default(), Counts::plus)
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

    /// Closes the connection to a server that has been idle for longest: the process is out of descriptors.
    pub fn free_descriptor(&self) {
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

impl Received {
    /// When no answer is of use any more.
    pub fn deadline(&self) -> Instant {
        self.head.deadline
    }

    /// The request's body.
    pub fn body(&self) -> &Bytes {
        &self.outgoing.body
    }

    /// Refuses the request without asking the engine: its front has no room for it.
    pub fn refuse(self, retry_after: Duration) -> Answer {
        self.engine.tally.turned_away();
        Answer::Refused { retry_after: Some(retry_after) }
    }

    /// Takes the request and waits for its one final answer, as [`Handle::call`] does.
    pub async fn answer(self) -> Answer {
        if self.place.is_none() {
            return self.refuse(CROWDED);
        }
        let Received { engine, head, outgoing, number, claimed: _claimed, place: _place } = self;
        let (sender, answer) = oneshot::channel();
        let mut waiting = Waiting::new(number, &engine);
        if !engine.mailbox.send(Happening::Arrived(head.request(number), outgoing, sender)) {
            waiting.answered = true;
            engine.tally.turned_away();
            return Answer::Refused { retry_after: None };
        }
        let answer = answer.await;
        waiting.answered = true;
        // The engine answers all that it has heard of; without an answer its thread has died.
        answer.unwrap_or(Answer::Failed { timed_out: false })
    }
}

/// A call that waits for its engine. Tells it if the client goes away first: its future is then dropped.
struct Waiting<'a> {
    number: RequestId,
    engine: &'a Engine,
    answered: bool,
}

impl Waiting<'_> {
    fn new(number: RequestId, engine: &Engine) -> Waiting<'_> {
        engine.waiting.fetch_add(1, Ordering::Relaxed);
        Waiting { number, engine, answered: false }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.engine.waiting.fetch_sub(1, Ordering::Relaxed);
        if !self.answered {
            self.engine.mailbox.send(Happening::Left(self.number));
        }
    }
}
