//! The clients' side: connections, what a request must look like, and its one final answer.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cherryusher::{Effect, RequestId};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::config::{ClassRule, Config};
use crate::engine::{Answer, Happening, Mailbox};
use crate::servers::{
    BODY_MOST, BUFFER_MOST, DEADLINE, ID, KEY, Outgoing, Servers, drop_hop_headers, out_of_sockets,
};
use crate::socket::{ClientSocket, Seen};

const OWNER: HeaderName = HeaderName::from_static("req-owner");
const COST: HeaderName = HeaderName::from_static("req-cost");
/// The longest id.
const ID_MOST: usize = 128;
/// A deadline counts from the client's sending; this much of it has passed when the request is read, and
/// passes again before the answer is back.
const TRANSIT: Duration = Duration::from_millis(3);
/// How long a connection may take to bring a whole request, from its start or its last answer on. A client
/// that has nothing to ask for longer connects anew; one that means no good is owed an end within 3 s.
const REQUEST_WITHIN: Duration = Duration::from_millis(2500);
/// For how long a new connection is left alone in a crowd until its first request comes: clients connect
/// because they have one.
const FIRST_WITHIN: Duration = Duration::from_millis(300);
/// How often connections are looked through for those that do not take their answers.
const SWEEP: Duration = Duration::from_secs(1);
/// For how long an older one has to be idle before it is closed.
const IDLE_LEAST: Duration = Duration::from_millis(100);
/// How long accepting pauses when there are no descriptors left.
const NO_SOCKETS: Duration = Duration::from_millis(10);
/// How long the listener has to stay silent, once told to stop, for the kernel to have nothing more.
const LAST_LOOK: Duration = Duration::from_millis(20);
/// How long the first request on a connection may lag behind it at the end.
const LATE_REQUEST: Duration = Duration::from_millis(200);
/// How long a connection may take to end once it should, beyond the longest deadline.
const CLOSE_WITHIN: Duration = Duration::from_secs(1);
/// How long a body may take in any case.
const BODY_LEAST: Duration = Duration::from_millis(20);
/// Connections are kept open between requests up to this part of all.
const KEPT_PART: usize = 3;
/// What a client is told when the node has no connection left to serve it with.
const CROWDED: Duration = Duration::from_secs(1);

/// Whether the node means to stay.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Serving,
    /// It was told to go: it serves on, and ends each connection with its next answer.
    Leaving,
}

/// A client's connection, as the others see it.
struct Connection {
    /// Since when it has had no request open, and whether it has had one.
    idle_since: Cell<Option<Instant>>,
    fresh: Cell<bool>,
    /// Whether it was told to end.
    closing: Cell<bool>,
    close: Notify,
    /// What has passed on its socket.
    seen: Rc<Seen>,
}

impl Connection {
    /// Since when it can be closed. Between requests a client takes that well; but a new connection was
    /// opened for a request that may be in the kernel already, and to close on that one would lose it.
    fn spare_since(&self) -> Option<Instant> {
        // A request that comes in pieces has begun, and may be whole in the kernel by now.
        let since = self.idle_since.get().filter(|_| !self.closing.get() && !self.seen.has_begun())?;
        // One just answered may carry the next request already: its answers say `Connection: close` instead.
        let least = if self.fresh.get() { FIRST_WITHIN } else { IDLE_LEAST };
        (since.elapsed() >= least).then_some(since)
    }
}

/// The listener's side of the node.
pub struct Clients {
    config: Rc<Config>,
    engine: Mailbox,
    servers: Rc<Servers>,
    phase: Cell<Phase>,
    able: Cell<bool>,
    connections: RefCell<HashMap<u64, Rc<Connection>>>,
    /// How many of them have a request open, and how many were told to end.
    busy: Cell<usize>,
    closing: Cell<usize>,
    /// The ids of all open requests: servers and logs tell requests apart by them.
    ids: RefCell<HashSet<Box<str>>>,
    /// Told when a connection has ended.
    freed: Notify,
    /// Told when the node can wait no longer.
    last_call: CancellationToken,
}

impl Clients {
    pub fn new(config: Rc<Config>, engine: Mailbox, servers: Rc<Servers>) -> Clients {
        Clients {
            config,
            engine,
            servers,
            phase: Cell::new(Phase::Serving),
            able: Cell::new(false),
            connections: RefCell::default(),
            busy: Cell::new(0),
            closing: Cell::new(0),
            ids: RefCell::default(),
            freed: Notify::new(),
            last_call: CancellationToken::new(),
        }
    }

    /// Takes connections in until `stop` is told, then what the kernel still has: that counts as taken.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, stop: Rc<Notify>) {
        let mut number = 0;
        let mut stopping = false;
        loop {
            // Beyond the budget connections wait in the kernel: to accept and drop one would lose a request.
            while self.connections.borrow().len() >= self.most() {
                self.make_room();
                let _ = timeout(NO_SOCKETS, self.freed.notified()).await;
            }
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = sleep(LAST_LOOK), if stopping => return,
                () = stop.notified(), if !stopping => {
                    stopping = true;
                    continue;
                }
            };
            match accepted {
                Ok((stream, _)) => {
                    number += 1;
                    self.clone().adopt(number, stream);
                }
                Err(error) => {
                    if out_of_sockets(&error) {
                        self.make_room();
                        self.servers.evict();
                    }
                    sleep(NO_SOCKETS).await;
                }
            }
        }
    }

    /// Serves a new connection; if there are many, the one that is idle for longest makes room.
    fn adopt(self: Rc<Self>, number: u64, stream: TcpStream) {
        // It costs speed only.
        let _ = stream.set_nodelay(true);
        let (socket, seen) = ClientSocket::new(stream);
        let connection = Rc::new(Connection {
            idle_since: Cell::new(Some(Instant::now())),
            fresh: Cell::new(true),
            closing: Cell::new(false),
            close: Notify::new(),
            seen,
        });
        self.connections.borrow_mut().insert(number, connection.clone());
        if self.over() {
            self.make_room();
        }
        tokio::task::spawn_local(async move {
            self.serve(&connection, socket).await;
            self.connections.borrow_mut().remove(&number);
            self.closing.set(self.closing.get() - usize::from(connection.closing.get()));
            self.freed.notify_one();
        });
    }

    /// The most connections; the servers' side has the rest. A client's is taken while its request is held,
    /// a server's only while an attempt is out: clients need more.
    fn most(&self) -> usize {
        self.config.sockets - self.servers.most()
    }

    /// Whether there are so many connections that idle ones are ended and answers end theirs: what clients
    /// keep without asking anything more on it keeps others from connecting.
    fn over(&self) -> bool {
        self.connections.borrow().len() - self.closing.get() > self.config.sockets / KEPT_PART
    }

    /// How many are served; the last tenth is for refusals.
    fn served(&self) -> usize {
        self.most() - self.most() / 10
    }

    /// Ends a connection once it has no request open.
    fn end(&self, connection: &Connection) {
        self.closing.set(self.closing.get() + usize::from(!connection.closing.replace(true)));
        connection.close.notify_one();
    }

    /// Ends connections that have stood without a request for longer than hyper lets them: their clients do
    /// not take the last answer.
    pub async fn sweep(&self) {
        loop {
            sleep(SWEEP).await;
            let stuck =
                |c: &&Rc<Connection>| c.spare_since().is_some_and(|s| s.elapsed() > 2 * REQUEST_WITHIN);
            self.connections.borrow().values().filter(stuck).for_each(|c| self.end(c));
        }
    }

    /// Ends the connection that has been idle for longest, if one can be.
    fn make_room(&self) {
        let connections = self.connections.borrow();
        let idle = connections.values().filter_map(|c| Some((c.spare_since()?, c)));
        if let Some((_, connection)) = idle.min_by_key(|(since, _)| *since) {
            self.end(connection);
        }
    }

    async fn serve(self: &Rc<Self>, connection: &Rc<Connection>, socket: ClientSocket) {
        let service = service_fn(|request| {
            let (clients, connection, seen) = (self.clone(), connection.clone(), connection.seen.clone());
            async move {
                let since = connection.idle_since.take().unwrap_or_else(Instant::now);
                let busy = Counted::one_more(&clients.busy);
                // Its first request is due within a time of the connection; others come when they come.
                let began = if connection.fresh.get() { since } else { Instant::now() };
                let answered = clients.respond(request, &seen, began + REQUEST_WITHIN).await;
                connection.fresh.set(false);
                let ends =
                    clients.over() || connection.closing.get() || clients.phase.get() != Phase::Serving;
                let response = match answered {
                    Ok((response, chunked)) if !ends && !chunked => response,
                    Ok((response, _)) => ending(response),
                    // Where its next request begins, or that it is one, can't be relied on.
                    Err((status, why)) => {
                        seen.linger();
                        ending(plain(status, why))
                    }
                };
                connection.idle_since.set(Some(Instant::now()));
                drop(busy);
                Ok::<_, Infallible>(response)
            }
        });
        let mut builder = http1::Builder::new();
        builder.timer(TokioTimer::new()).header_read_timeout(REQUEST_WITHIN).max_buf_size(BUFFER_MOST);
        let mut serving = pin!(builder.serve_connection(TokioIo::new(socket), service));
        tokio::select! {
            // What has come is read before the connection is closed.
            biased;
            _ = serving.as_mut() => return,
            () = connection.close.notified() => serving.as_mut().graceful_shutdown(),
        }
        // A client that does not read its answer must not hold the connection for ever.
        let _ = timeout(self.config.longest() + CLOSE_WITHIN, serving).await;
    }

    /// From now on each answer ends its connection.
    pub fn leave(&self) {
        self.phase.set(Phase::Leaving);
    }

    /// Ends connections as soon as they have no request open, and waits until all have.
    pub async fn close(&self) {
        let end = |fresh_too: bool| {
            let connections = self.connections.borrow();
            connections.values().filter(|c| fresh_too || !c.fresh.get()).for_each(|c| self.end(c));
        };
        end(false);
        // The first request of a connection that came last of all may still be on its way.
        sleep(LATE_REQUEST).await;
        end(true);
        while !self.connections.borrow().is_empty() {
            self.freed.notified().await;
        }
    }

    /// Answers what is open as failed: the node is about to be ended, and no answer at all would be worse.
    pub fn last_call(&self) {
        self.last_call.cancel();
    }

    /// The answer, and whether the request came in chunks; or what is wrong with it.
    async fn respond(&self, request: Request<Incoming>, seen: &Seen, by: Instant) -> Result<Answered, Wrong> {
        if request.uri().path() == "/_health" {
            if !request.body().is_end_stream() {
                return Err((StatusCode::BAD_REQUEST, "a GET has no body"));
            }
            seen.read_whole(Some(0));
            return Ok((self.health(request.method()), false));
        }
        let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
        let taken = self.read(request, seen, by).await?;
        // Where all others are busy too, a refusal needs no server and makes room.
        if self.busy.get() > self.served() {
            return Ok((refused(Some(CROWDED)), chunked));
        }
        Ok((self.wait(taken).await, chunked))
    }

    fn health(&self, method: &Method) -> Response<Full<Bytes>> {
        if method != Method::GET && method != Method::HEAD {
            return plain(StatusCode::METHOD_NOT_ALLOWED, "GET only");
        }
        self.able.set(self.able.get() || self.servers.any_ready());
        match self.able.get() && self.phase.get() == Phase::Serving {
            true => plain(StatusCode::OK, "ok"),
            false => plain(StatusCode::SERVICE_UNAVAILABLE, "not serving"),
        }
    }

    /// Reads a request whole and checks it; what is wrong with it is the client's to mend.
    async fn read(&self, request: Request<Incoming>, seen: &Seen, by: Instant) -> Result<Taken<'_>, Wrong> {
        let came = Instant::now();
        let wrong = |why| Err((StatusCode::BAD_REQUEST, why));
        let (head, body) = request.into_parts();
        // Of the two, hyper goes by the encoding and hides the length: another request may be in the body
        // for a peer that goes by the length.
        if head.headers.contains_key(header::TRANSFER_ENCODING) && seen.has_length() {
            return wrong("both Content-Length and Transfer-Encoding");
        }
        if body.size_hint().lower() > BODY_MOST as u64 {
            return Err(TOO_LARGE);
        }
        let path = head.uri.path();
        let class = path.split('/').nth(1).and_then(|name| self.config.classes.get(name)).copied();
        let Some(class) = class else { return Err((StatusCode::NOT_FOUND, "no such class")) };
        let Some(id) = only(&head.headers, &ID) else { return wrong("Req-Id is missing or unreadable") };
        if id.is_empty() || id.len() > ID_MOST || !id.bytes().all(|b| b.is_ascii_graphic()) {
            return wrong("Req-Id is unreadable");
        }
        let Some(patience) = only(&head.headers, &DEADLINE).and_then(seconds) else {
            return wrong("Req-Deadline is missing or unreadable");
        };
        method_fits(&class, &head.method, &head.headers)?;
        // No client waits longer than its class allows; this also bounds all that is done for it.
        let most = Duration::from_micros(class.deadline_us);
        let deadline = came + patience.min(most).saturating_sub(TRANSIT);
        let body = timeout_at(deadline.min(by).max(came + BODY_LEAST), read_body(body)).await;
        let body = body.unwrap_or(Err((StatusCode::REQUEST_TIMEOUT, "the body did not come in time")))?;
        let sized = !head.headers.contains_key(header::TRANSFER_ENCODING);
        seen.read_whole(sized.then_some(body.len() as u64));
        if head.method == Method::GET && !body.is_empty() {
            return wrong("a GET has no body");
        }
        let Some(unique) = self.claim(id) else {
            return Err((StatusCode::CONFLICT, "another open request has this Req-Id"));
        };
        let tenant = only(&head.headers, &OWNER).and_then(|name| self.config.tenants.get(name)).copied();
        let key = path.split('/').skip(2).last().filter(|part| !part.is_empty());
        let request = cherryusher::Request {
            id: self.engine.number(),
            class: class.index,
            remaining: deadline.saturating_duration_since(Instant::now()).as_micros() as u64,
            expected_work: only(&head.headers, &COST)
                .and_then(|us| us.parse::<f64>().ok())
                .filter(|us| *us > 0.0)
                .map(|us| us as u64),
            key: key.map(|part| xxhash_rust::xxh3::xxh3_64(part.as_bytes())),
            tenant,
        };
        let target = head.uri.path_and_query().cloned().unwrap_or(PathAndQuery::from_static("/"));
        let mut headers = head.headers;
        drop_hop_headers(&mut headers);
        headers.remove(DEADLINE);
        if head.method == Method::POST {
            headers.insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
        }
        headers.entry(header::HOST).or_insert(HeaderValue::from_static("origin.svc"));
        let once = class.effect == Effect::Unsafe;
        let outgoing = Rc::new(Outgoing { method: head.method, target, headers, body, deadline, once });
        Ok(Taken { request, outgoing, _unique: unique })
    }

    /// Takes an id for as long as its request is open.
    fn claim(&self, id: &str) -> Option<Claimed<'_>> {
        self.ids.borrow_mut().insert(id.into()).then(|| Claimed { id: id.into(), ids: &self.ids })
    }

    /// Hands a request to the engine and waits for the final answer. Dropped before it, the client has left.
    async fn wait(&self, taken: Taken<'_>) -> Response<Full<Bytes>> {
        let (sender, answer) = oneshot::channel();
        let mut waiting = Waiting { id: taken.request.id, engine: &self.engine, answered: false };
        self.engine.send(Happening::Arrived(taken.request, taken.outgoing, sender));
        let answer = tokio::select! {
            biased;
            answer = answer => answer,
            () = self.last_call.cancelled() => return plain(StatusCode::GATEWAY_TIMEOUT, "the node is leaving"),
        };
        waiting.answered = true;
        match answer {
            Ok(Answer::Served(response)) => response.map(Full::new),
            Ok(Answer::Refused(stay_away)) => refused(stay_away),
            Ok(Answer::Failed { timed_out: true }) => plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
            Ok(Answer::Failed { timed_out: false }) | Err(_) => plain(StatusCode::BAD_GATEWAY, "no answer"),
        }
    }
}

/// A request that the node has taken.
struct Taken<'a> {
    request: cherryusher::Request,
    outgoing: Rc<Outgoing>,
    _unique: Claimed<'a>,
}

/// The id of an open request, free again once it is answered or its client has left.
struct Claimed<'a> {
    id: Box<str>,
    ids: &'a RefCell<HashSet<Box<str>>>,
}

impl Drop for Claimed<'_> {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.id);
    }
}

/// One in a count, for as long as it lasts.
struct Counted<'a>(&'a Cell<usize>);

impl Counted<'_> {
    fn one_more(count: &Cell<usize>) -> Counted<'_> {
        count.set(count.get() + 1);
        Counted(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// An answer, and whether its connection has to end as the request came in chunks: where that one ended among
/// the bytes is hyper's to know, so the next one's head could not be told apart.
type Answered = (Response<Full<Bytes>>, bool);

/// What a client did wrong.
type Wrong = (StatusCode, &'static str);

const TOO_LARGE: Wrong = (StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB");

/// Tells the engine if the client goes away first: hyper then drops the request's future.
struct Waiting<'a> {
    id: RequestId,
    engine: &'a Mailbox,
    answered: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.engine.send(Happening::Left(self.id));
        }
    }
}

/// Reads a body to its end, or past the most that it may hold.
async fn read_body(mut body: Incoming) -> Result<Bytes, Wrong> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return Err((StatusCode::BAD_REQUEST, "the body is broken")) };
        let Ok(data) = frame.into_data() else { continue };
        if whole.len() + data.len() > BODY_MOST {
            return Err(TOO_LARGE);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}

/// The value of a header that is there once.
fn only<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())?.to_str().ok()
}

/// A time in seconds, with decimals; one below 0 is past.
fn seconds(text: &str) -> Option<Duration> {
    let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.' || b == b'-' || b == b'+');
    let value: f64 = text.parse().ok().filter(|_| plain)?;
    Some(Duration::try_from_secs_f64(value.max(0.0)).unwrap_or(Duration::MAX))
}

/// The method follows from the class.
fn method_fits(class: &ClassRule, method: &Method, headers: &HeaderMap) -> Result<(), Wrong> {
    let wrong = |why| Err((StatusCode::BAD_REQUEST, why));
    let right = if class.effect == Effect::Safe { Method::GET } else { Method::POST };
    if method != right {
        return Err((StatusCode::METHOD_NOT_ALLOWED, "not the method of this class"));
    }
    match class.effect {
        Effect::Keyed { .. } if only(headers, &KEY).is_none_or(str::is_empty) => {
            wrong("Idempotency-Key is missing")
        }
        Effect::Unsafe if headers.contains_key(KEY) => wrong("this class has no Idempotency-Key"),
        _ => Ok(()),
    }
}

/// The last answer on its connection.
fn ending(mut response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

fn refused(stay_away: Option<Duration>) -> Response<Full<Bytes>> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
    let value = stay_away.and_then(|d| HeaderValue::from_str(&format!("{:.3}", d.as_secs_f64())).ok());
    value.into_iter().for_each(|v| {
        response.headers_mut().insert(header::RETRY_AFTER, v);
    });
    response
}
