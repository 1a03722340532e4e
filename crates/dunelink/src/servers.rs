//! The known servers, the idle connections to them, and their reachability.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use cherryusher::{Micros, Outcome, ServerEntry, ServerId, ServerState};
use dunelink_reach::ZoneReachability;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{Notify, Semaphore, oneshot};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

use crate::answer_body::ReaderState;
use crate::config::{Config, FinalAnswers};
use crate::counted_socket::{ConnectionSlot, CountedSocket, HyperSocket};
use crate::counts::RequestCounters;
use crate::idle_order::IdleOrder;
use crate::payload::OutgoingBody;
use crate::roster::ReadyServers;
use crate::server_list::Server;
use crate::types::Outgoing;

/// The maximum read buffer of a connection; it also bounds the size of response headers.
const MAX_CONNECTION_BUFFER_BYTES: usize = 32 * 1024;
/// An idle connection is closed after this fraction of the time for which servers keep it open.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// How long an idle connection rests before it is used again: bytes that a server wrongly sends after an
/// answer follow it immediately, and must have arrived before the next request is sent.
const REUSE_DELAY: Duration = Duration::from_millis(5);
/// How long requests that must not run twice avoid idle connections after one of them broke.
const IDLE_DISTRUST: Duration = Duration::from_secs(10);
/// A server that answers nothing for this long may have crashed.
const SILENCE_THRESHOLD: Duration = Duration::from_secs(1);
/// A server counts as answering if it answered within this time.
const RECENT_ANSWER_WINDOW: Duration = Duration::from_secs(5);
/// A streamed answer is cut off if the server sends nothing for this long while its reader waits.
const TRANSFER_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection may take to show that nothing follows its answer.
const REUSE_CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// How often expired idle connections are removed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// A connection to a server; dropping it closes it.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<OutgoingBody>,
    pub(crate) socket: Rc<CountedSocket>,
    pub(crate) endpoint: SocketAddr,
    /// When its server had started, as known when the connection was opened. Identifies the incarnation of
    /// the server.
    pub(crate) server_started_at: Micros,
    idle_since: Instant,
    /// Its number in the order in which connections became idle.
    idle_number: u64,
    _task: AbortOnDropHandle<()>,
}

struct KnownServer {
    uid: Arc<str>,
    endpoint: SocketAddr,
    started_at: Micros,
    ready: bool,
    zone: Arc<str>,
    /// When it last answered; at first when it was added.
    last_answer: Instant,
    /// Whether it has ever answered.
    answered: bool,
    /// When the first attempt since its last answer was made; `None` if there was none.
    unanswered_since: Option<Instant>,
    /// Its idle connections, the most recently used last.
    idle: Vec<Connection>,
}

/// The position of a connection among its server's idle ones. Numbers increase along each server's list.
fn idle_position(known: &HashMap<ServerId, KnownServer>, server: ServerId, number: u64) -> Option<usize> {
    known.get(&server)?.idle.binary_search_by_key(&number, |c| c.idle_number).ok()
}

/// A connection that an attempt no longer needs, for [`Servers::keep`].
pub(crate) struct ReusableConnection {
    pub(crate) server: ServerId,
    pub(crate) connection: Connection,
}

/// The ready servers that discovery has named, and the connections to them.
pub(crate) struct Servers {
    known: RefCell<HashMap<ServerId, KnownServer>>,
    /// Whether any server is ready, for other threads.
    any_ready: Arc<AtomicBool>,
    /// The order in which connections became idle, over all servers.
    idle_order: RefCell<IdleOrder<ServerId>>,
    open_connections: Rc<Cell<usize>>,
    max_connections: usize,
    /// The maximum length in bytes of a buffered answer body.
    pub(crate) max_body_bytes: usize,
    /// The maximum length in bytes of a streamed answer body.
    pub(crate) max_stream_bytes: u64,
    pub(crate) counters: Arc<RequestCounters>,
    /// Permits for streamed bodies, shared with streamed requests. An answer is streamed even without a
    /// permit, because a request that must not run twice can't be refused any more at that point: answers
    /// take permits from requests and are bounded by their connections.
    transfers: Arc<Semaphore>,
    /// Which responses of servers count as answers for the client.
    pub(crate) answers: FinalAnswers,
    connect_timeout: Duration,
    idle_timeout: Duration,
    /// The ready servers as another thread that reads the list knows them, if there is one: it learns of
    /// drains first.
    ready_servers: OnceCell<Arc<ReadyServers>>,
    /// Until when idle connections are likely to break at their next request; `None` if none broke.
    distrust_idle_until: Cell<Option<Instant>>,
    /// The number of streamed answers in progress, and a notification whenever one ends.
    active_transfers: Cell<usize>,
    transfer_ended: Notify,
    /// Whether to record how servers answer, which is needed only if the fleet has electors.
    tracks_reach: bool,
}

impl Servers {
    pub(crate) fn new(
        config: &Config,
        any_ready: Arc<AtomicBool>,
        counters: Arc<RequestCounters>,
        transfers: Arc<Semaphore>,
    ) -> Servers {
        Servers {
            known: RefCell::default(),
            counters,
            transfers,
            any_ready,
            idle_order: RefCell::default(),
            open_connections: Rc::default(),
            max_connections: config.limits.max_server_connections(),
            max_body_bytes: config.limits.body,
            max_stream_bytes: config.limits.stream,
            active_transfers: Cell::new(0),
            transfer_ended: Notify::new(),
            answers: config.attempts.answers,
            connect_timeout: config.fleet.connect_timeout,
            idle_timeout: config.fleet.keepalive.mul_f64(IDLE_TIMEOUT_FRACTION),
            ready_servers: OnceCell::new(),
            distrust_idle_until: Cell::new(None),
            tracks_reach: config.gossip.as_ref().is_some_and(|gossip| !gossip.electors.is_empty()),
        }
    }

    /// Whether this request needs a new connection. An idle connection that breaks under a request leaves
    /// open whether the request ran, and a request that must not run twice could then neither be retried nor
    /// be refused.
    pub(crate) fn needs_new_connection(&self, outgoing: &Outgoing) -> bool {
        outgoing.at_most_once && self.distrust_idle_until.get().is_some_and(|until| until > Instant::now())
    }

    /// Avoids idle connections for a while, because one broke under a request.
    pub(crate) fn distrust_idle_connections(&self) {
        self.distrust_idle_until.set(Some(Instant::now() + IDLE_DISTRUST));
    }

    /// The number of streamed answers in progress.
    pub(crate) fn active_transfers(&self) -> usize {
        self.active_transfers.get()
    }

    /// Waits until a streamed answer has ended.
    pub(crate) async fn transfer_ended(&self) {
        self.transfer_ended.notified().await;
    }

    /// Watches a streamed answer until `ended` is signalled; its connection can then be reused. A server that
    /// sends nothing for too long while the reader waits is cut off.
    pub(crate) async fn watch_transfer(
        &self,
        reusable: ReusableConnection,
        reader: Arc<ReaderState>,
        ended: oneshot::Receiver<()>,
    ) {
        let _permit = self.transfers.try_acquire();
        self.active_transfers.set(self.active_transfers.get() + 1);
        let socket = reusable.connection.socket.clone();
        let stalled = async {
            loop {
                let read = socket.read();
                sleep(TRANSFER_STALL_TIMEOUT).await;
                if reader.waiting() && socket.read() == read {
                    return;
                }
            }
        };
        let completed = tokio::select! {
            ended = ended => ended.is_ok(),
            () = stalled => false,
        };
        if completed {
            self.keep(reusable).await;
        } else {
            drop(reusable);
        }
        self.active_transfers.set(self.active_transfers.get() - 1);
        self.transfer_ended.notify_one();
    }

    /// The number of open connections to servers.
    pub(crate) fn connections(&self) -> usize {
        self.open_connections.get()
    }

    /// The ready servers: id, name, address and number of idle connections.
    pub(crate) fn list(&self) -> Vec<(ServerId, Arc<str>, SocketAddr, usize)> {
        let known = self.known.borrow();
        known.iter().map(|(id, s)| (*id, s.uid.clone(), s.endpoint, s.idle.len())).collect()
    }

    /// Applies a complete list or changes. Idle connections to an old address, or to a server that takes
    /// nothing new, are closed.
    pub(crate) fn apply_list<'a>(
        &self,
        list: impl Iterator<Item = (ServerEntry, &'a Server)>,
        is_full: bool,
    ) {
        let mut known = self.known.borrow_mut();
        known.values_mut().filter(|_| is_full).for_each(|s| s.ready = false);
        for (entry, Server { uid, endpoint, zone, .. }) in list {
            let (ready, endpoint) = (entry.state == ServerState::Ready, *endpoint);
            let (started_at, last_answer) = (entry.ready_at, Instant::now());
            let new_server = || KnownServer {
                uid: uid.as_str().into(),
                endpoint,
                started_at,
                ready,
                zone: zone.as_str().into(),
                last_answer,
                answered: false,
                unanswered_since: None,
                idle: Vec::new(),
            };
            let known_server = known.entry(entry.id).or_insert_with(new_server);
            // A machine that crashed and is back has lost its old connections without closing them.
            if known_server.endpoint != endpoint || known_server.started_at != started_at {
                *known_server = new_server();
            }
            known_server.ready = ready;
        }
        known.values_mut().filter(|s| !s.ready).for_each(|s| s.idle.clear());
        // A server that drains or is gone gets no requests, so nothing about it needs to be kept.
        known.retain(|_, s| s.ready);
        self.any_ready.store(!known.is_empty(), Ordering::Release);
    }

    /// The server's address and start time, if it is ready.
    pub(crate) fn ready_endpoint(&self, server: ServerId) -> Option<(SocketAddr, Micros)> {
        let target = self.known.borrow().get(&server).map(|s| (s.endpoint, s.started_at))?;
        self.ready_servers.get().is_none_or(|ready| ready.contains(server, target.0)).then_some(target)
    }

    /// From here on, requests go only to servers that are in this set too.
    pub(crate) fn set_ready_servers(&self, ready: Arc<ReadyServers>) {
        // A shard has the same list reader throughout its life, so this is set once.
        let _ = self.ready_servers.set(ready);
    }

    /// The most recently used idle connection that has rested and has no unread input. Expired ones are
    /// dropped.
    pub(crate) fn take_idle(&self, server: ServerId) -> Option<Connection> {
        let mut known = self.known.borrow_mut();
        let idle = &mut known.get_mut(&server)?.idle;
        let now = Instant::now();
        let idle_for = |c: &Connection| now.saturating_duration_since(c.idle_since);
        while let Some(position) = idle.iter().rposition(|c| idle_for(c) >= REUSE_DELAY) {
            let connection = idle.remove(position);
            let is_young = idle_for(&connection) < self.idle_timeout;
            // Bytes that have arrived since would be read as the next request's answer.
            if is_young && connection.sender.is_ready() && connection.socket.has_no_pending_input() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for the next attempt, if the server is still ready.
    pub(crate) async fn keep(&self, ReusableConnection { server, mut connection }: ReusableConnection) {
        // hyper reports the connection as ready once it has found nothing after the answer that it read.
        if !matches!(timeout(REUSE_CHECK_TIMEOUT, connection.sender.ready()).await, Ok(Ok(()))) {
            return;
        }
        connection.idle_since = Instant::now();
        let mut known = self.known.borrow_mut();
        let target = known.get(&server).map(|s| (s.endpoint, s.started_at));
        if target != Some((connection.endpoint, connection.server_started_at)) {
            return;
        }
        let is_live = |server, number| idle_position(&known, server, number).is_some();
        connection.idle_number =
            self.idle_order.borrow_mut().push(server, self.open_connections.get(), is_live);
        if let Some(known_server) = known.get_mut(&server) {
            known_server.idle.push(connection);
        }
    }

    /// Records that a server has answered.
    pub(crate) fn record_answer(&self, server: ServerId) {
        if let Some(known_server) = self.known.borrow_mut().get_mut(&server) {
            known_server.last_answer = Instant::now();
            (known_server.answered, known_server.unanswered_since) = (true, None);
        }
    }

    /// Records that an attempt at a server is made, if other nodes want to know how servers answer this one.
    pub(crate) fn record_attempt(&self, server: ServerId) {
        if self.tracks_reach
            && let Some(known_server) = self.known.borrow_mut().get_mut(&server)
        {
            known_server.unanswered_since.get_or_insert_with(Instant::now);
        }
    }

    /// How servers answer, by zone. A server without recent attempts counts as neither answering nor silent.
    pub(crate) fn zone_reach(&self) -> Vec<ZoneReachability> {
        let mut zones: BTreeMap<Arc<str>, ZoneReachability> = BTreeMap::new();
        for known_server in self.known.borrow().values() {
            let silent =
                known_server.unanswered_since.is_some_and(|since| since.elapsed() >= SILENCE_THRESHOLD);
            let answers = known_server.answered
                && !silent
                && known_server.last_answer.elapsed() <= RECENT_ANSWER_WINDOW;
            let zone = zones.entry(known_server.zone.clone()).or_default();
            zone.silent = zone.silent.saturating_add(silent.into());
            zone.answering = zone.answering.saturating_add(answers.into());
        }
        let with_zone = |(zone, reach): (Arc<str>, ZoneReachability)| ZoneReachability {
            zone: zone.to_string(),
            ..reach
        };
        zones.into_iter().map(with_zone).collect()
    }

    /// Closes a server's idle connections if it has answered nothing since `sent_at`, and that is long enough
    /// ago.
    pub(crate) fn close_idle_if_silent(&self, server: ServerId, sent_at: Instant) {
        if let Some(known_server) = self.known.borrow_mut().get_mut(&server)
            && sent_at.elapsed() >= SILENCE_THRESHOLD
            && known_server.last_answer < sent_at
        {
            known_server.idle.clear();
        }
    }

    /// Closes the longest-idle connection; returns whether there was one.
    pub(crate) fn evict(&self) -> bool {
        let mut known = self.known.borrow_mut();
        let locate = |server, number| Some((server, idle_position(&known, server, number)?));
        let oldest = self.idle_order.borrow_mut().pop(locate);
        oldest.and_then(|(server, position)| Some(known.get_mut(&server)?.idle.remove(position))).is_some()
    }

    /// Closes idle connections well before servers close them: a request that crosses a close is lost.
    pub(crate) async fn sweep(&self) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            let now = Instant::now();
            let idle_for = |c: &Connection| now.saturating_duration_since(c.idle_since);
            let keeps = |c: &Connection| idle_for(c) < self.idle_timeout && !c.sender.is_closed();
            self.known.borrow_mut().values_mut().for_each(|s| s.idle.retain(keeps));
        }
    }

    pub(crate) async fn connect(
        &self,
        (endpoint, started_at): (SocketAddr, Micros),
    ) -> Result<Connection, Outcome> {
        if self.open_connections.get() >= self.max_connections && !self.evict() {
            return Err(Outcome::NotSent);
        }
        let slot = ConnectionSlot::acquire(&self.open_connections);
        let stream = match timeout(self.connect_timeout, TcpStream::connect(endpoint)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if out_of_descriptors(&error) => {
                self.evict();
                return Err(Outcome::NotSent);
            }
            _ => return Err(Outcome::ConnectFailed),
        };
        stream.set_nodelay(true).map_err(|_| Outcome::ConnectFailed)?;
        let socket = Rc::new(CountedSocket::new(stream, slot, self.counters.clone()));
        let io = TokioIo::new(HyperSocket(socket.clone()));
        let builder = http1::Builder::new().max_buf_size(MAX_CONNECTION_BUFFER_BYTES).handshake(io).await;
        let (sender, connection) = builder.map_err(|_| Outcome::ConnectFailed)?;
        let task = tokio::task::spawn_local(async move {
            // Its errors show up in the attempts.
            let _ = connection.await;
        });
        let _task = AbortOnDropHandle::new(task);
        Ok(Connection {
            sender,
            socket,
            endpoint,
            server_started_at: started_at,
            idle_since: Instant::now(),
            idle_number: 0,
            _task,
        })
    }
}

/// Whether the process or its machine has run out of file descriptors.
fn out_of_descriptors(error: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}
