//! The servers' side: who they are, the idle connections to them, and one attempt at a time on each.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use cherryusher::{Micros, Outcome, ServerEntry, ServerId, ServerState};
use dunelink_reach::ZoneReach;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{Notify, Semaphore, oneshot};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

use crate::answer_body::Tap;
use crate::config::{Config, FinalAnswers};
use crate::counts::Tally;
use crate::entries::Server;
use crate::idle::Order;
use crate::line::{Line, Place, ServerSocket};
use crate::payload::OutgoingBody;
use crate::roster::ReadyServers;
use crate::types::Outgoing;

/// What a connection may buffer; it bounds headers too.
const BUFFER_MOST: usize = 32 * 1024;
/// An idle connection is retired after this part of the time for which servers keep it.
const IDLE_PART: f64 = 0.7;
/// How long an idle connection rests before it is used again: what a server sends behind an answer comes right
/// behind it, and must have come before the next request goes out.
const REST: Duration = Duration::from_millis(5);
/// For how long kept connections are not trusted with what must not run twice, after one broke.
const WARY: Duration = Duration::from_secs(10);
/// A server that answers nothing for this long may have vanished.
const SILENT: Duration = Duration::from_secs(1);
/// One that answered within this time answers.
const ANSWERS: Duration = Duration::from_secs(5);
/// A server that gives nothing more of a long answer for this long, while its reader waits, is cut off.
const GIVES_WITHIN: Duration = Duration::from_secs(10);
/// How long a connection may take to show that nothing comes behind its answer.
const READY_WITHIN: Duration = Duration::from_millis(300);
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_millis(250);

/// A connection to a server; dropping it closes it.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<OutgoingBody>,
    pub(crate) line: Rc<Line>,
    pub(crate) endpoint: SocketAddr,
    /// When its server had started as it was opened.
    pub(crate) started: Micros,
    idle_since: Instant,
    /// Its number among those that became idle.
    number: u64,
    _task: AbortOnDropHandle<()>,
}

struct Member {
    uid: Arc<str>,
    endpoint: SocketAddr,
    started: Micros,
    ready: bool,
    zone: Arc<str>,
    /// When it last answered.
    heard: Instant,
    /// Whether it ever did.
    answered: bool,
    /// Since when it has answered none of the attempts that were made, if there were any.
    unanswered: Option<Instant>,
    /// The freshest last.
    idle: Vec<Connection>,
}

/// Where among a server's idle connections this one is. Numbers grow along each server's list.
fn idle_at(members: &HashMap<ServerId, Member>, server: ServerId, number: u64) -> Option<usize> {
    members.get(&server)?.idle.binary_search_by_key(&number, |c| c.number).ok()
}

/// A connection that an attempt has left over, for [`Servers::keep`].
pub(crate) struct Spare {
    pub(crate) server: ServerId,
    pub(crate) connection: Connection,
}

/// All servers that discovery has named, and the connections to them.
pub(crate) struct Servers {
    members: RefCell<HashMap<ServerId, Member>>,
    /// Whether there is any to send to, for other threads.
    any_ready: Arc<AtomicBool>,
    /// Who became idle when, over all servers.
    order: RefCell<Order<ServerId>>,
    open: Rc<Cell<usize>>,
    most: usize,
    /// The most bytes in an answer's body.
    pub(crate) body_most: usize,
    /// The most bytes of one that is passed on as it comes.
    pub(crate) stream_most: u64,
    pub(crate) tally: Arc<Tally>,
    /// Room for bodies that are passed on. What must not run twice can't be refused any more, so that answers take
    /// room from requests, and are bounded by their connections.
    transfers: Arc<Semaphore>,
    /// Which answers are the client's.
    pub(crate) answers: FinalAnswers,
    connect_timeout: Duration,
    idle_most: Duration,
    /// What a reader on another thread knows to take requests, where there is one: it hears of drains first.
    ready: OnceCell<Arc<ReadyServers>>,
    /// Until when kept connections are known to break at their next request.
    wary_until: Cell<Option<Instant>>,
    /// Answers that are being passed on, and who waits until none are.
    passing: Cell<usize>,
    passed: Notify,
    /// Whether it is kept how servers answer.
    reach: bool,
}

impl Servers {
    pub(crate) fn new(
        config: &Config,
        any_ready: Arc<AtomicBool>,
        tally: Arc<Tally>,
        transfers: Arc<Semaphore>,
    ) -> Servers {
        Servers {
            members: RefCell::default(),
            tally,
            transfers,
            any_ready,
            order: RefCell::default(),
            open: Rc::default(),
            most: config.limits.max_server_connections(),
            body_most: config.limits.body,
            stream_most: config.limits.stream,
            passing: Cell::new(0),
            passed: Notify::new(),
            answers: config.attempts.answers,
            connect_timeout: config.fleet.connect_timeout,
            idle_most: config.fleet.keepalive.mul_f64(IDLE_PART),
            ready: OnceCell::new(),
            wary_until: Cell::new(None),
            reach: config.gossip.as_ref().is_some_and(|gossip| !gossip.electors.is_empty()),
        }
    }

    /// Whether this request should have a new connection: one that breaks under a request leaves open
    /// whether it ran, and this one could then neither go again nor be refused.
    pub(crate) fn wary(&self, outgoing: &Outgoing) -> bool {
        outgoing.once && self.wary_until.get().is_some_and(|until| until > Instant::now())
    }

    /// A kept connection broke under a request.
    pub(crate) fn be_wary(&self) {
        self.wary_until.set(Some(Instant::now() + WARY));
    }

    /// How many answers are being passed on.
    pub(crate) fn passing(&self) -> usize {
        self.passing.get()
    }

    /// Waits until one of them has come to its end.
    pub(crate) async fn passed(&self) {
        self.passed.notified().await;
    }

    /// Sees an answer off that is passed on as it comes: `ended` is told at its end, and then its connection can be
    /// used again. A server that gives nothing for too long while the reader waits is cut off.
    pub(crate) async fn see_off(&self, spare: Spare, tap: Arc<Tap>, ended: oneshot::Receiver<()>) {
        let _room = self.transfers.try_acquire();
        self.passing.set(self.passing.get() + 1);
        let line = spare.connection.line.clone();
        let silent = async {
            loop {
                let read = line.read();
                sleep(GIVES_WITHIN).await;
                if tap.waits() && line.read() == read {
                    return;
                }
            }
        };
        let whole = tokio::select! {
            ended = ended => ended.is_ok(),
            () = silent => false,
        };
        if whole {
            self.keep(spare).await;
        } else {
            drop(spare);
        }
        self.passing.set(self.passing.get() - 1);
        self.passed.notify_one();
    }

    /// How many connections to servers are open.
    pub(crate) fn connections(&self) -> usize {
        self.open.get()
    }

    /// Those that take requests: id, name, address and how many idle connections there are.
    pub(crate) fn view(&self) -> Vec<(ServerId, Arc<str>, SocketAddr, usize)> {
        let members = self.members.borrow();
        members.iter().map(|(id, m)| (*id, m.uid.clone(), m.endpoint, m.idle.len())).collect()
    }

    /// Takes in the whole list or changes. Idle connections to an old address, or to a server that wants
    /// nothing new, are closed.
    pub(crate) fn list_changed<'a>(
        &self,
        list: impl Iterator<Item = (ServerEntry, &'a Server)>,
        whole: bool,
    ) {
        let mut members = self.members.borrow_mut();
        members.values_mut().filter(|_| whole).for_each(|m| m.ready = false);
        for (entry, Server { uid, endpoint, zone, .. }) in list {
            let (ready, endpoint) = (entry.state == ServerState::Ready, *endpoint);
            let (started, heard) = (entry.ready_at, Instant::now());
            let fresh = || Member {
                uid: uid.as_str().into(),
                endpoint,
                started,
                ready,
                zone: zone.as_str().into(),
                heard,
                answered: false,
                unanswered: None,
                idle: Vec::new(),
            };
            let member = members.entry(entry.id).or_insert_with(fresh);
            // A machine that vanished and is back has forgotten its connections, and they say nothing of it.
            if member.endpoint != endpoint || member.started != started {
                *member = fresh();
            }
            member.ready = ready;
        }
        members.values_mut().filter(|m| !m.ready).for_each(|m| m.idle.clear());
        // One that drains or is gone is sent nothing, so nothing need be kept of it.
        members.retain(|_, m| m.ready);
        self.any_ready.store(!members.is_empty(), Ordering::Release);
    }

    /// Where to reach the server and when it started, if it takes requests.
    pub(crate) fn whereabouts(&self, server: ServerId) -> Option<(SocketAddr, Micros)> {
        let there = self.members.borrow().get(&server).map(|m| (m.endpoint, m.started))?;
        self.ready.get().is_none_or(|ready| ready.contains(server, there.0)).then_some(there)
    }

    /// From now on nothing new goes to a server that is not among these.
    pub(crate) fn heed(&self, ready: Arc<ReadyServers>) {
        // A shard has one reader for its whole life.
        let _ = self.ready.set(ready);
    }

    /// The freshest idle connection that has rested and is quiet; older ones are retired in time.
    pub(crate) fn take_idle(&self, server: ServerId) -> Option<Connection> {
        let mut members = self.members.borrow_mut();
        let idle = &mut members.get_mut(&server)?.idle;
        let now = Instant::now();
        let idle_for = |c: &Connection| now.saturating_duration_since(c.idle_since);
        while let Some(at) = idle.iter().rposition(|c| idle_for(c) >= REST) {
            let connection = idle.remove(at);
            let fresh = idle_for(&connection) < self.idle_most;
            // What has come since would be read as the next request's answer.
            if fresh && connection.sender.is_ready() && connection.line.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for the next attempt, if the server still takes any.
    pub(crate) async fn keep(&self, Spare { server, mut connection }: Spare) {
        // hyper says it is ready once it has found nothing behind the answer that it has read.
        if !matches!(timeout(READY_WITHIN, connection.sender.ready()).await, Ok(Ok(()))) {
            return;
        }
        connection.idle_since = Instant::now();
        let mut members = self.members.borrow_mut();
        let there = members.get(&server).map(|m| (m.endpoint, m.started));
        if there != Some((connection.endpoint, connection.started)) {
            return;
        }
        let still = |server, number| idle_at(&members, server, number).is_some();
        connection.number = self.order.borrow_mut().push(server, self.open.get(), still);
        if let Some(member) = members.get_mut(&server) {
            member.idle.push(connection);
        }
    }

    /// Notes that a server has answered.
    pub(crate) fn heard(&self, server: ServerId) {
        if let Some(member) = self.members.borrow_mut().get_mut(&server) {
            member.heard = Instant::now();
            (member.answered, member.unanswered) = (true, None);
        }
    }

    /// Notes that an attempt at a server is made, where other nodes want to know how servers answer this one.
    pub(crate) fn tries(&self, server: ServerId) {
        if self.reach
            && let Some(member) = self.members.borrow_mut().get_mut(&server)
        {
            member.unanswered.get_or_insert_with(Instant::now);
        }
    }

    /// How servers answer, by zone. One that was not tried lately is not among them.
    pub(crate) fn reach(&self) -> Vec<ZoneReach> {
        let mut zones: BTreeMap<Arc<str>, ZoneReach> = BTreeMap::new();
        for member in self.members.borrow().values() {
            let silent = member.unanswered.is_some_and(|since| since.elapsed() >= SILENT);
            let answers = member.answered && !silent && member.heard.elapsed() <= ANSWERS;
            let zone = zones.entry(member.zone.clone()).or_default();
            zone.silent = zone.silent.saturating_add(silent.into());
            zone.answer = zone.answer.saturating_add(answers.into());
        }
        let named = |(zone, reach): (Arc<str>, ZoneReach)| ZoneReach { zone: zone.to_string(), ..reach };
        zones.into_iter().map(named).collect()
    }

    /// Closes a server's idle connections if it has answered nothing since `sent`, some time ago.
    pub(crate) fn doubt(&self, server: ServerId, sent: Instant) {
        if let Some(member) = self.members.borrow_mut().get_mut(&server)
            && sent.elapsed() >= SILENT
            && member.heard < sent
        {
            member.idle.clear();
        }
    }

    /// Closes the connection that has been idle for longest; tells whether there was one.
    pub(crate) fn evict(&self) -> bool {
        let mut members = self.members.borrow_mut();
        let find = |server, number| Some((server, idle_at(&members, server, number)?));
        let oldest = self.order.borrow_mut().pop(find);
        oldest.and_then(|(server, at)| Some(members.get_mut(&server)?.idle.remove(at))).is_some()
    }

    /// Retires idle connections well before servers close them: a request that crosses a close is lost.
    pub(crate) async fn sweep(&self) {
        loop {
            sleep(SWEEP).await;
            let now = Instant::now();
            let idle_for = |c: &Connection| now.saturating_duration_since(c.idle_since);
            let fits = |c: &Connection| idle_for(c) < self.idle_most && !c.sender.is_closed();
            self.members.borrow_mut().values_mut().for_each(|m| m.idle.retain(fits));
        }
    }

    pub(crate) async fn connect(
        &self,
        (endpoint, started): (SocketAddr, Micros),
    ) -> Result<Connection, Outcome> {
        if self.open.get() >= self.most && !self.evict() {
            return Err(Outcome::NotSent);
        }
        let place = Place::taken(&self.open);
        let stream = match timeout(self.connect_timeout, TcpStream::connect(endpoint)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if out_of_sockets(&error) => {
                self.evict();
                return Err(Outcome::NotSent);
            }
            _ => return Err(Outcome::ConnectFailed),
        };
        stream.set_nodelay(true).map_err(|_| Outcome::ConnectFailed)?;
        let line = Rc::new(Line::new(stream, place, self.tally.clone()));
        let socket = TokioIo::new(ServerSocket(line.clone()));
        let builder = http1::Builder::new().max_buf_size(BUFFER_MOST).handshake(socket).await;
        let (sender, connection) = builder.map_err(|_| Outcome::ConnectFailed)?;
        let task = tokio::task::spawn_local(async move {
            // Its errors show in the attempts.
            let _ = connection.await;
        });
        let _task = AbortOnDropHandle::new(task);
        Ok(Connection { sender, line, endpoint, started, idle_since: Instant::now(), number: 0, _task })
    }
}

/// Whether the node or its machine has no descriptor left.
fn out_of_sockets(error: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}
