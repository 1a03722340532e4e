//! The servers' side: who they are, the idle connections to them, and one attempt at a time on each.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use cherryusher::{Micros, Outcome, ServerEntry, ServerId, ServerState};
use dunelink_edge::answer::{self, Meaning};
use dunelink_edge::fields::DEADLINE;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::ext::on_informational;
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tokio_util::task::AbortOnDropHandle;

use crate::config::{Answers, Config};
use crate::idle::Order;
use crate::line::{Line, Place, ServerSocket};
use crate::roster::Ready;
use crate::snapshot::Tally;
use crate::types::{Outgoing, Server};

/// What a connection may buffer; it bounds headers too.
const BUFFER_MOST: usize = 32 * 1024;
/// An idle connection is retired after this part of the time for which servers keep it.
const IDLE_PART: f64 = 0.7;
/// How long an idle connection rests before it is used again: what a server sends behind an answer comes right
/// behind it, and must have come before the next request goes out.
const REST: Duration = Duration::from_millis(5);
/// An answer that has begun to come is whole after this, or will never be.
const WHOLE_WITHIN: Duration = Duration::from_millis(300);
/// For how long kept connections are not trusted with what must not run twice, after one broke.
const WARY: Duration = Duration::from_secs(10);
/// The most hints (1xx) ahead of an answer.
const HINTS_MOST: usize = 16;
/// A server that answers nothing for this long may have vanished.
const SILENT: Duration = Duration::from_secs(1);
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_millis(250);

impl Outgoing {
    fn request(&self) -> Option<Request<Full<Bytes>>> {
        let left = self.deadline.saturating_duration_since(Instant::now()).as_secs_f64();
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone().into();
        *request.headers_mut() = self.headers.clone();
        request.headers_mut().insert(DEADLINE, HeaderValue::from_str(&format!("{left:.3}")).ok()?);
        Some(request)
    }
}

/// How many bytes a request is on the socket, as hyper writes it when every header is given.
fn length(request: &Request<Full<Bytes>>, body: usize) -> u64 {
    let first =
        request.method().as_str().len() + request.uri().path_and_query().map_or(1, |p| p.as_str().len());
    let headers: usize =
        request.headers().iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
    (first + " HTTP/1.1\r\n".len() + 1 + headers + 2 + body) as u64
}

/// A connection to a server; dropping it closes it.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    line: Rc<Line>,
    endpoint: SocketAddr,
    /// When its server had started as it was opened.
    started: Micros,
    idle_since: Instant,
    /// Its number among those that became idle.
    number: u64,
    _task: AbortOnDropHandle<()>,
}

/// An attempt on its connection. A vanished machine is silent on all the connections that it had, and each
/// idle one would cost another attempt, perhaps an unsafe one, its whole time; a new one fails at once, and
/// surely never ran.
struct Unanswered<'a> {
    servers: &'a Servers,
    server: ServerId,
    sent: Instant,
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        self.servers.doubt(self.server, self.sent);
    }
}

struct Member {
    uid: Arc<str>,
    endpoint: SocketAddr,
    started: Micros,
    ready: bool,
    /// When it last answered.
    heard: Instant,
    /// The freshest last.
    idle: Vec<Connection>,
}

/// Where among a server's idle connections this one is. Numbers grow along each server's list.
fn idle_at(members: &HashMap<ServerId, Member>, server: ServerId, number: u64) -> Option<usize> {
    members.get(&server)?.idle.binary_search_by_key(&number, |c| c.number).ok()
}

/// A connection that an attempt has left over, for [`Servers::keep`].
pub(crate) struct Spare {
    server: ServerId,
    connection: Connection,
}

/// How an attempt ended.
pub(crate) struct Attempted {
    pub(crate) outcome: Outcome,
    pub(crate) response: Option<Response<Bytes>>,
    pub(crate) spare: Option<Spare>,
}

impl Attempted {
    pub(crate) fn of(outcome: Outcome) -> Attempted {
        Attempted { outcome, response: None, spare: None }
    }
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
    body_most: usize,
    tally: Arc<Tally>,
    /// Which answers are the client's.
    answers: Answers,
    connect_timeout: Duration,
    idle_most: Duration,
    /// What a reader on another thread knows to take requests, where there is one: it hears of drains first.
    ready: OnceCell<Arc<Ready>>,
    /// Until when kept connections are known to break at their next request.
    wary_until: Cell<Option<Instant>>,
}

impl Servers {
    pub(crate) fn new(config: &Config, any_ready: Arc<AtomicBool>, tally: Arc<Tally>) -> Servers {
        Servers {
            members: RefCell::default(),
            tally,
            any_ready,
            order: RefCell::default(),
            open: Rc::default(),
            most: config.limits.to_servers(),
            body_most: config.limits.body,
            answers: config.attempts.answers,
            connect_timeout: config.fleet.connect_timeout,
            idle_most: config.fleet.keepalive.mul_f64(IDLE_PART),
            ready: OnceCell::new(),
            wary_until: Cell::new(None),
        }
    }

    /// Whether this request should have a new connection: one that breaks under a request leaves open
    /// whether it ran, and this one could then neither go again nor be refused.
    fn wary(&self, outgoing: &Outgoing) -> bool {
        outgoing.once && self.wary_until.get().is_some_and(|until| until > Instant::now())
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
        for (entry, Server { uid, endpoint, .. }) in list {
            let (ready, endpoint) = (entry.state == ServerState::Ready, *endpoint);
            let (started, heard) = (entry.ready_at, Instant::now());
            let fresh =
                || Member { uid: uid.as_str().into(), endpoint, started, ready, heard, idle: Vec::new() };
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
    fn whereabouts(&self, server: ServerId) -> Option<(SocketAddr, Micros)> {
        let there = self.members.borrow().get(&server).map(|m| (m.endpoint, m.started))?;
        self.ready.get().is_none_or(|ready| ready.has(server, there.0)).then_some(there)
    }

    /// From now on nothing new goes to a server that is not among these.
    pub(crate) fn heed(&self, ready: Arc<Ready>) {
        // A shard has one reader for its whole life.
        let _ = self.ready.set(ready);
    }

    /// The freshest idle connection that has rested and is quiet; older ones are retired in time.
    fn take_idle(&self, server: ServerId) -> Option<Connection> {
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
        if !matches!(timeout(WHOLE_WITHIN, connection.sender.ready()).await, Ok(Ok(()))) {
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
    fn heard(&self, server: ServerId) {
        if let Some(member) = self.members.borrow_mut().get_mut(&server) {
            member.heard = Instant::now();
        }
    }

    /// Closes a server's idle connections if it has answered nothing since `sent`, some time ago.
    fn doubt(&self, server: ServerId, sent: Instant) {
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

    async fn connect(&self, (endpoint, started): (SocketAddr, Micros)) -> Result<Connection, Outcome> {
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

    /// One attempt, to its end.
    pub(crate) async fn attempt(&self, outgoing: &Outgoing, server: ServerId) -> Attempted {
        let begun = Cell::new(false);
        match timeout_at(outgoing.deadline, self.send(outgoing, server, &begun)).await {
            Ok(ended) => ended,
            Err(_) if begun.get() => Attempted::of(Outcome::TimedOut),
            Err(_) => Attempted::of(Outcome::NotSent),
        }
    }

    /// Sends the request on an idle connection or a new one; `begun` is set once it may be on the socket.
    async fn send(&self, outgoing: &Outgoing, server: ServerId, begun: &Cell<bool>) -> Attempted {
        loop {
            let kept = if self.wary(outgoing) { None } else { self.take_idle(server) };
            let (mut connection, fresh) = match kept {
                Some(connection) => (connection, false),
                None => {
                    let Some(there) = self.whereabouts(server) else {
                        return Attempted::of(Outcome::NotSent);
                    };
                    match self.connect(there).await {
                        Ok(connection) => (connection, true),
                        Err(outcome) => return Attempted::of(outcome),
                    }
                }
            };
            // A drain may have been heard of while the connection came up.
            if self.whereabouts(server) != Some((connection.endpoint, connection.started)) {
                return Attempted::of(Outcome::NotSent);
            }
            let Some(mut request) = outgoing.request() else { return Attempted::of(Outcome::NotSent) };
            let hints = Arc::new(AtomicUsize::new(0));
            let heard_hint = hints.clone();
            on_informational(&mut request, move |_| {
                heard_hint.fetch_add(1, Ordering::Relaxed);
            });
            let line = connection.line.clone();
            let (before, whole) = (line.written(), length(&request, outgoing.body.len()));
            begun.set(true);
            let _unanswered = Unanswered { servers: self, server, sent: Instant::now() };
            line.forget_what_came();
            line.count_at(before + whole);
            let mut stuck = pin!(stuck(&line, &hints));
            let answered = tokio::select! {
                biased;
                answered = connection.sender.send_request(request) => answered,
                // What has come is no answer, nor will be one.
                () = stuck.as_mut() => return Attempted::of(Outcome::Reset),
            };
            let written = line.written() - before;
            let response = match answered {
                Ok(response) => {
                    self.heard(server);
                    response
                }
                // Nothing of it has left: an idle connection that was closing. A new one is no second copy.
                Err(_) if written == 0 && !fresh => {
                    begun.set(false);
                    continue;
                }
                // A server begins a request when its last byte has come.
                Err(_) if written < whole => return Attempted::of(Outcome::ConnectFailed),
                Err(error) => {
                    // Nothing came: not a spoilt answer, but the end of a connection that had looked well.
                    if !fresh && !error.is_parse() {
                        self.wary_until.set(Some(Instant::now() + WARY));
                    }
                    return Attempted::of(Outcome::Reset);
                }
            };
            return tokio::select! {
                biased;
                finished = self.finish(server, connection, response) => finished,
                () = stuck.as_mut() => Attempted::of(Outcome::Reset),
            };
        }
    }

    /// Reads an answer whole, and keeps the connection if it can be used again.
    async fn finish(
        &self,
        server: ServerId,
        connection: Connection,
        response: Response<hyper::body::Incoming>,
    ) -> Attempted {
        let (mut parts, body) = response.into_parts();
        // Of an answer that ends with its connection, a part looks whole.
        let ends = answer::has_no_body(parts.status) || answer::states_its_end(&parts.headers, parts.version);
        if !ends || body.size_hint().lower() > self.body_most as u64 {
            return Attempted::of(Outcome::Reset);
        }
        let Ok(body) = Limited::new(body, self.body_most).collect().await else {
            return Attempted::of(Outcome::Reset);
        };
        let body = body.to_bytes();
        let (outcome, response) = match Meaning::of(&parts) {
            Meaning::Done | Meaning::ClientError if self.answers == Answers::Ok => (Outcome::Error, None),
            Meaning::Served | Meaning::Done | Meaning::ClientError => {
                answer::onward(&mut parts);
                (Outcome::Served, Some(Response::from_parts(parts, body)))
            }
            Meaning::Declined => (Outcome::TurnedAway, None),
            Meaning::Error => (Outcome::Error, None),
        };
        Attempted { outcome, response, spare: Some(Spare { server, connection }) }
    }
}

/// Ends when an answer has begun to come and is not whole after some time. Hints (1xx) may come long before
/// the answer, but not without end.
async fn stuck(line: &Line, hints: &AtomicUsize) {
    let mut before = 0;
    loop {
        line.something_came().await;
        sleep(WHOLE_WITHIN).await;
        let now = hints.load(Ordering::Relaxed);
        if now == before || now > HINTS_MOST {
            return;
        }
        before = now;
    }
}

/// Whether the node or its machine has no descriptor left.
fn out_of_sockets(error: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}
