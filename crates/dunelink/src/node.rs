//! A running node: how it is started, asked and ended.

use std::future::Future;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ::http::Request;
use bytes::{Buf, Bytes, BytesMut};
use cherryusher::{Balancer, RequestId};
use http_body::Body;
use http_body_util::BodyExt;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc, oneshot};
use tokio::task::LocalSet;
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use crate::config::{Config, ConfigError, RosterConfig};
use crate::engine::{Engine, Happening, Mailbox};
use crate::error::{BodyError, BoxError, CallError, Closed, StartError};
use crate::intake::{Claimed, Head, Intake};
use crate::roster::{self, Feed, Fixed, Roster, Watch};
use crate::servers::Servers;
use crate::snapshot::{Counts, Snapshot, Tally};
use crate::types::{Answer, Outgoing};

/// How long a body may take in any case.
const BODY_LEAST: Duration = Duration::from_millis(20);
/// For how long what comes beyond `limits.requests` is told to stay away.
const CROWDED: Duration = Duration::from_secs(1);

/// Sets a node up.
///
/// ```
/// use dunelink::config::{Class, Effect};
/// use dunelink::{Config, Node, roster};
/// use std::time::Duration;
///
/// let classes = vec![Class::new("view", Effect::Safe, Duration::from_secs(1))];
/// let (list, roster) = roster::channel();
/// let node = Node::builder(Config { classes, ..Config::default() }).roster(roster).start()?;
/// # drop((list, node));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub struct Builder {
    config: Config,
    roster: Option<Box<dyn Roster>>,
}

/// A running node. It ends when it is dropped: what is open is then answered as failed. [`Node::shutdown`]
/// gives it time.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// # use dunelink::{Config, Node, config::{Class, Effect}};
/// # use std::time::Duration;
/// # let classes = vec![Class::new("view", Effect::Safe, Duration::from_secs(1))];
/// # let node = Node::builder(Config { classes, ..Config::default() }).start()?;
/// // Two nodes in one process share nothing.
/// let other = Node::builder(Config {
///     classes: vec![Class::new("order", Effect::Unsafe, Duration::from_secs(3))],
///     ..Config::default()
/// });
/// let other = other.start()?;
/// node.shutdown(Duration::from_secs(1)).await;
/// assert!(!other.handle().is_closed());
/// # Ok(()) }
/// ```
pub struct Node {
    handle: Handle,
}

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
    shared: Arc<Shared>,
}

struct Shared {
    mailbox: Mailbox,
    intake: Arc<Intake>,
    body_most: usize,
    places: Arc<Semaphore>,
    tally: Arc<Tally>,
    any_ready: Arc<AtomicBool>,
    /// Whether it takes nothing more.
    closing: AtomicBool,
    /// Told once the engine has ended.
    ended: CancellationToken,
}

/// All that the engine's thread is given.
struct Engineering {
    config: Config,
    seed: u64,
    balancer: Balancer,
    roster: Box<dyn Roster>,
    mailbox: Mailbox,
    inbox: mpsc::UnboundedReceiver<Happening>,
    tally: Arc<Tally>,
    any_ready: Arc<AtomicBool>,
    ended: CancellationToken,
}

impl Engineering {
    /// Takes in the list that is known at the start: what is asked from now on finds it. The node then runs in
    /// the future, which needs a `LocalSet`; whatever it began ends with it.
    fn begin(mut self) -> impl Future<Output = ()> + 'static {
        let ended = self.ended.drop_guard();
        let (servers, wanted) = (Rc::new(Servers::new(&self.config, self.any_ready)), Rc::new(Notify::new()));
        let mut feed =
            Feed::new(&self.config, self.seed, servers.clone(), self.mailbox.clone(), wanted.clone());
        feed.cached(&self.roster.known().unwrap_or(self.config.known));
        let (roster, inbox) = (self.roster.run(feed), self.inbox);
        let swept = servers.clone();
        let sweep = async move { swept.sweep().await };
        let engine = Engine::new(self.balancer, servers, self.mailbox, wanted, self.tally);
        async move {
            let _ended = ended;
            let roster = AbortOnDropHandle::new(tokio::task::spawn_local(roster));
            let sweep = AbortOnDropHandle::new(tokio::task::spawn_local(sweep));
            engine.run(inbox).await;
            // Who hears that the node has ended must not find any of it at work.
            for task in [roster, sweep] {
                task.abort();
                let _ = task.await;
            }
        }
    }
}

/// Without a seed, starts and nodes still differ.
fn seed_from(name: &str) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), now.as_nanos() as u64)
}

impl Builder {
    /// Where the list of servers comes from, ahead of what the configuration says.
    pub fn roster(mut self, roster: impl Roster) -> Builder {
        self.roster = Some(Box::new(roster));
        self
    }

    fn prepare(self) -> Result<(Handle, Engineering), ConfigError> {
        let Builder { config, roster } = self;
        config.validate()?;
        let roster = roster.unwrap_or_else(|| match &config.roster {
            RosterConfig::Host => Box::new(Fixed::new(config.known.servers.clone())),
            RosterConfig::Fixed { servers } => Box::new(Fixed::new(servers.clone())),
            RosterConfig::File { path, every } => Box::new(roster::File::new(path, *every)),
            RosterConfig::Watch { address, .. } => Box::new(Watch::new(*address).0),
        });
        let seed = config.seed.unwrap_or_else(|| seed_from(&config.name));
        let balancer = Balancer::new(config.settings(), seed).map_err(|e| ConfigError::whole(e.0))?;
        let (mailbox, inbox) = Mailbox::new(seed);
        let shared = Shared {
            mailbox: mailbox.clone(),
            intake: Arc::new(Intake::new(&config)),
            body_most: config.limits.body,
            places: Arc::new(Semaphore::new(config.limits.requests)),
            tally: Arc::default(),
            any_ready: Arc::default(),
            closing: AtomicBool::new(false),
            ended: CancellationToken::new(),
        };
        let engineering = Engineering {
            seed,
            balancer,
            roster,
            mailbox,
            inbox,
            tally: shared.tally.clone(),
            any_ready: shared.any_ready.clone(),
            ended: shared.ended.clone(),
            config,
        };
        Ok((Handle { shared: Arc::new(shared) }, engineering))
    }

    /// Starts the node on a thread of its own: what the host does to its executor delays nothing here. Returns
    /// when the list that is known at the start has been taken in.
    ///
    /// # Errors
    ///
    /// The configuration does not hold together, or there is no thread or descriptor to be had.
    pub fn start(self) -> Result<Node, StartError> {
        let (handle, engineering) = self.prepare()?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let name = format!("dunelink {}", engineering.config.name);
        let (begun, begins) = std::sync::mpsc::channel();
        std::thread::Builder::new()
            // Linux cuts names at 15 bytes; one with a NUL would panic.
            .name(name.chars().filter(|c| *c != '\0').collect())
            .spawn(move || {
                LocalSet::new().block_on(&runtime, async move {
                    let running = engineering.begin();
                    let _ = begun.send(());
                    running.await;
                });
            })?;
        begins.recv().map_err(|_| io::Error::other("it ended at once"))?;
        Ok(Node { handle })
    }

    /// Starts the node as tasks of the current `LocalSet`: for a program that gives it the whole thread, as the
    /// daemon does. Whoever blocks that thread delays the node's answers and drains.
    ///
    /// # Errors
    ///
    /// The configuration does not hold together, or there is no tokio runtime here.
    ///
    /// # Panics
    ///
    /// Outside a `LocalSet`, as `tokio::task::spawn_local` does.
    pub fn start_local(self) -> Result<Node, StartError> {
        tokio::runtime::Handle::try_current().map_err(io::Error::other)?;
        let (handle, engineering) = self.prepare()?;
        // Not tied to the node's value: it has answers to give when that is dropped.
        tokio::task::spawn_local(engineering.begin());
        Ok(Node { handle })
    }
}

impl Node {
    /// A node that goes by this.
    pub fn builder(config: Config) -> Builder {
        Builder { config, roster: None }
    }

    /// The way to it, for as many owners as there are.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Takes nothing more, and waits until all that is open has its answer or `deadline` has passed: what is
    /// still open then is answered as failed. Tells how its requests ended.
    pub async fn shutdown(self, deadline: Duration) -> Counts {
        self.handle.shutdown(deadline).await
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.handle.close(Duration::ZERO);
    }
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
    handle: Handle,
    head: Head,
    outgoing: Arc<Outgoing>,
    number: RequestId,
    claimed: Claimed,
    place: Option<OwnedSemaphorePermit>,
}

impl Handle {
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
            self.shared.tally.invalid();
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
        let number = self.shared.mailbox.number();
        let claimed = self.shared.intake.claim(&head, number)?;
        let outgoing = Arc::new(head.outgoing(parts, body, &claimed)?);
        Ok(Received { handle: self.clone(), head, outgoing, number, claimed, place })
    }

    /// The places for open requests.
    pub(crate) fn places(&self) -> Arc<Semaphore> {
        self.shared.places.clone()
    }

    /// Whether there is any server to send to.
    pub fn is_ready(&self) -> bool {
        self.shared.any_ready.load(Ordering::Acquire)
    }

    /// Whether the node takes nothing more.
    pub fn is_closed(&self) -> bool {
        self.shared.closing.load(Ordering::Acquire)
    }

    /// How requests ended since the start; after the end too.
    pub fn counts(&self) -> Counts {
        self.shared.tally.counts()
    }

    /// How the node stands.
    ///
    /// # Errors
    ///
    /// It has ended; its [`Handle::counts`] can still be read.
    pub async fn snapshot(&self) -> Result<Snapshot, Closed> {
        let (ask, told) = oneshot::channel();
        self.shared.mailbox.send(Happening::Look(ask));
        told.await.map_err(|_| Closed)
    }

    /// Closes the connection to a server that has been idle for longest: the process is out of descriptors.
    pub fn free_descriptor(&self) {
        self.shared.mailbox.send(Happening::Evict);
    }

    /// As [`Node::shutdown`], for all owners of the node.
    pub async fn shutdown(&self, deadline: Duration) -> Counts {
        self.close(deadline);
        self.shared.ended.cancelled().await;
        self.counts()
    }

    fn close(&self, deadline: Duration) {
        self.shared.closing.store(true, Ordering::Release);
        let now = Instant::now();
        // A time beyond the clock's end is far enough away as any.
        let at = now.checked_add(deadline).unwrap_or(now + Duration::from_secs(86_400));
        self.shared.mailbox.send(Happening::Shutdown(at));
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
        self.handle.shared.tally.turned_away();
        Answer::Refused { retry_after: Some(retry_after) }
    }

    /// Takes the request and waits for its one final answer, as [`Handle::call`] does.
    pub async fn answer(self) -> Answer {
        if self.place.is_none() {
            return self.refuse(CROWDED);
        }
        let Received { handle, head, outgoing, number, claimed: _claimed, place: _place } = self;
        let shared = &*handle.shared;
        let (sender, answer) = oneshot::channel();
        let mut waiting = Waiting { number, mailbox: &shared.mailbox, answered: false };
        if !shared.mailbox.send(Happening::Arrived(head.request(number), outgoing, sender)) {
            waiting.answered = true;
            shared.tally.turned_away();
            return Answer::Refused { retry_after: None };
        }
        let answer = answer.await;
        waiting.answered = true;
        // The engine answers all that it has heard of; without an answer its thread has died.
        answer.unwrap_or(Answer::Failed { timed_out: false })
    }
}

/// Tells the engine if the client goes away first: its future is then dropped.
struct Waiting<'a> {
    number: RequestId,
    mailbox: &'a Mailbox,
    answered: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.mailbox.send(Happening::Left(self.number));
        }
    }
}

/// Reads a body to its end, or past the most that it may hold.
async fn read_body<B>(body: B, limit: usize, came: Instant, by: Instant) -> Result<Bytes, BodyError>
where
    B: Body,
    B::Error: Into<BoxError>,
{
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyError::TooLarge { limit });
    }
    let mut reading = Box::pin(collect(body, limit));
    // One that is there already needs no timer, nor a runtime that has one.
    let now = std::future::poll_fn(|cx| std::task::Poll::Ready(reading.as_mut().poll(cx))).await;
    match now {
        std::task::Poll::Ready(body) => body,
        std::task::Poll::Pending => {
            let late = |_| Err(BodyError::TimedOut { after: by.saturating_duration_since(came) });
            timeout_at(by, reading).await.unwrap_or_else(late)
        }
    }
}

async fn collect<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: Body,
    B::Error: Into<BoxError>,
{
    let mut body = std::pin::pin!(body);
    let (mut first, mut whole) = (Bytes::new(), BytesMut::new());
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| BodyError::Broken(e.into()))?;
        let Ok(mut data) = frame.into_data() else { continue };
        if first.len() + whole.len() + data.remaining() > limit {
            return Err(BodyError::TooLarge { limit });
        }
        // A body of one piece is passed on as it is.
        if first.is_empty() && whole.is_empty() {
            first = data.copy_to_bytes(data.remaining());
            continue;
        }
        whole.extend_from_slice(&std::mem::take(&mut first));
        while data.has_remaining() {
            let length = data.chunk().len();
            whole.extend_from_slice(data.chunk());
            data.advance(length);
        }
    }
    Ok(if whole.is_empty() { first } else { whole.freeze() })
}
