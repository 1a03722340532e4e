//! The clients' side: connections, and what only a socket can tell of a request.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use dunelink::ext::ReceivedAt;
use dunelink::http::plain;
use dunelink::{AnswerBody, CallError, Completion, Config, Handle};
use dunelink_edge::Fault;
use dunelink_edge::request::{self, HostRequirement};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::awake::{AwakeTimer, stood_still};
use crate::dealer::Seat;
use crate::listen::{LAST_LOOK, NO_SOCKETS, is_ready, out_of_sockets};
use crate::passing::Passing;
use crate::socket::{ClientSocket, Seen};

/// What a connection may buffer; it bounds headers too.
const BUFFER_MOST: usize = 32 * 1024;
/// How long a connection may take to bring a whole request, from its start or its last answer on. A client
/// that has nothing to ask for longer connects anew; one that means no good is owed an end within 3 s.
const REQUEST_WITHIN: Duration = Duration::from_millis(2500);
/// For how long a new connection is left alone in a crowd until its first request comes: clients connect
/// because they have one.
const FIRST_WITHIN: Duration = Duration::from_millis(300);
/// A client that takes nothing of its answer for this long is cut off.
const TAKES_WITHIN: Duration = Duration::from_secs(10);
/// How often connections are looked through for those that do not take their answers.
const SWEEP: Duration = Duration::from_secs(1);
/// For how long an older one has to be idle before it is closed.
const IDLE_LEAST: Duration = Duration::from_millis(100);
/// How long the first request on a connection may lag behind it at the end.
const LATE_REQUEST: Duration = Duration::from_millis(200);
/// How long a connection may take to end once it should, beyond the longest deadline.
const CLOSE_WITHIN: Duration = Duration::from_secs(1);
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
    /// Told when it is to be closed whatever is open on it.
    cut: Notify,
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

    /// Whether nothing of a request is open on it or on its way to hyper: to close it now loses none.
    fn is_idle(&self) -> bool {
        self.idle_since.get().is_some() && !self.seen.has_more()
    }
}

/// The listener's side of the node.
pub(crate) struct Clients {
    node: Handle,
    /// The whole node, where this is one of its shards.
    whole: Handle,
    /// Who deals connections out, where there are several shards.
    seat: Option<Arc<Seat>>,
    /// How many connections there may be, of clients and to servers together, and of clients alone. A client's
    /// is taken while its request is held, a server's only while an attempt is out: clients need more.
    all: usize,
    most: usize,
    /// How much is read ahead on all of them.
    ahead: Rc<Cell<usize>>,
    /// The longest that any client waits.
    longest: Duration,
    phase: Cell<Phase>,
    able: Cell<bool>,
    /// The number of the next connection.
    next: Cell<u64>,
    connections: RefCell<HashMap<u64, Rc<Connection>>>,
    /// How many of them have a request open, and how many were told to end.
    busy: Cell<usize>,
    closing: Cell<usize>,
    /// Told when a connection has ended.
    freed: Notify,
}

impl Clients {
    pub(crate) fn new(config: &Config, node: Handle, whole: Handle) -> Clients {
        Clients {
            node,
            whole,
            seat: None,
            all: config.limits.connections(),
            most: Clients::most(config),
            ahead: Rc::default(),
            longest: config.longest(),
            phase: Cell::new(Phase::Serving),
            able: Cell::new(false),
            next: Cell::new(0),
            connections: RefCell::default(),
            busy: Cell::new(0),
            closing: Cell::new(0),
            freed: Notify::new(),
        }
    }

    /// How many connections of clients there may be.
    pub(crate) fn most(config: &Config) -> usize {
        config.limits.connections().saturating_sub(config.limits.to_servers()).max(1)
    }

    /// The clients of one shard, that has this place at the dealer's.
    pub(crate) fn at(self, seat: Arc<Seat>) -> Clients {
        Clients { seat: Some(seat), ..self }
    }

    /// Takes connections in until `stop` is told, then what the kernel still has: that counts as taken. Where the
    /// listening socket is `shared`, it takes them from when the node is ready, and what the kernel has in the end is
    /// another process's.
    pub(crate) async fn accept(
        self: Rc<Self>,
        listener: TcpListener,
        mut ready: JoinHandle<()>,
        stop: Rc<Notify>,
        shared: bool,
    ) {
        if shared && !is_ready(&mut ready, &stop).await {
            return;
        }
        let mut stopping = false;
        loop {
            // Beyond the budget connections wait in the kernel: to accept and drop one would lose a request.
            while self.connections.borrow().len() >= self.most {
                self.make_room();
                tokio::select! {
                    () = stop.notified(), if !stopping => stopping = true,
                    _ = timeout(NO_SOCKETS, self.freed.notified()) => {}
                }
                if stopping && shared {
                    return;
                }
            }
            let accepted = tokio::select! {
                biased;
                () = stop.notified(), if shared => return,
                accepted = listener.accept() => accepted,
                () = sleep(LAST_LOOK), if stopping => return,
                () = stop.notified(), if !stopping => {
                    stopping = true;
                    continue;
                }
            };
            match accepted {
                Ok((stream, _)) => self.clone().adopt(stream),
                Err(error) => {
                    if out_of_sockets(&error) {
                        self.make_room();
                        self.node.close_idle_connection();
                    }
                    sleep(NO_SOCKETS).await;
                }
            }
        }
    }

    /// Serves a new connection; if there are many, the one that is idle for longest makes room.
    pub(crate) fn adopt(self: Rc<Self>, stream: TcpStream) {
        let number = self.next.replace(self.next.get() + 1);
        // It costs speed only.
        let _ = stream.set_nodelay(true);
        let (socket, seen) = ClientSocket::new(stream, self.ahead.clone());
        let connection = Rc::new(Connection {
            idle_since: Cell::new(Some(Instant::now())),
            fresh: Cell::new(true),
            closing: Cell::new(false),
            close: Notify::new(),
            cut: Notify::new(),
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
            self.freed.notify_waiters();
            if let Some(seat) = &self.seat {
                seat.ended();
            }
        });
    }

    /// Whether there are so many connections that idle ones are ended and answers end theirs: what clients
    /// keep without asking anything more on it keeps others from connecting.
    fn over(&self) -> bool {
        self.connections.borrow().len() - self.closing.get() > self.all / KEPT_PART
    }

    /// How many are served; the last tenth is for refusals.
    fn served(&self) -> usize {
        self.most - self.most / 10
    }

    /// Ends a connection once it has no request open.
    fn end(&self, connection: &Connection) {
        self.closing.set(self.closing.get() + usize::from(!connection.closing.replace(true)));
        connection.close.notify_one();
    }

    /// Ends connections that have stood without a request for longer than hyper lets them: their clients do
    /// not take the last answer.
    pub(crate) async fn sweep(&self) {
        loop {
            let due = Instant::now() + SWEEP;
            sleep(SWEEP).await;
            if stood_still(due) {
                // What came meanwhile is not read yet.
                continue;
            }
            let stuck =
                |c: &&Rc<Connection>| c.spare_since().is_some_and(|s| s.elapsed() > 2 * REQUEST_WITHIN);
            // A long answer that its client does not take holds a server up as well.
            let untaken = |c: &&Rc<Connection>| {
                c.idle_since.get().is_none()
                    && c.seen.waits_to_write()
                    && c.seen.unwritten_for() > TAKES_WITHIN
            };
            let connections = self.connections.borrow();
            connections.values().filter(stuck).for_each(|c| self.end(c));
            connections.values().filter(untaken).for_each(|c| c.cut.notify_one());
        }
    }

    /// Ends the connection that has been closed for longest but for its client's side, else the one that has been idle
    /// for longest, if one can be.
    pub(crate) fn make_room(&self) {
        let connections = self.connections.borrow();
        let lingering = connections.values().filter_map(|c| Some((c.seen.lingers_since()?, c)));
        if let Some((_, connection)) = lingering.min_by_key(|(since, _)| *since) {
            return connection.cut.notify_one();
        }
        let idle = connections.values().filter_map(|c| Some((c.spare_since()?, c)));
        if let Some((_, connection)) = idle.min_by_key(|(since, _)| *since) {
            self.end(connection);
        }
    }

    async fn serve(self: &Rc<Self>, connection: &Rc<Connection>, socket: ClientSocket) {
        let service = service_fn(|request| {
            let (clients, connection, seen) = (self.clone(), connection.clone(), connection.seen.clone());
            async move {
                let since = connection.idle_since.get().unwrap_or_else(Instant::now);
                let busy = Busy::one_more(&clients, &connection);
                // Its first request is due within a time of the connection; others come when they come.
                let began = if connection.fresh.get() { since } else { Instant::now() };
                let answered = clients.respond(request, &seen, began + REQUEST_WITHIN).await;
                connection.fresh.set(false);
                let ends =
                    clients.over() || connection.closing.get() || clients.phase.get() != Phase::Serving;
                let response = match answered {
                    // What has come behind it is answered too: the last one ends the connection.
                    Ok((response, chunked)) if !chunked && !seen.floods() && (!ends || seen.has_more()) => {
                        response
                    }
                    Ok((response, _)) => ending(response),
                    // Where its next request begins, or that it is one, can't be relied on.
                    Err(wrong) => ending(wrong),
                };
                // It is idle again once the answer has been taken to its end.
                Ok::<_, Infallible>(response.map(|body| Passing::new(body, busy)))
            }
        });
        let mut builder = http1::Builder::new();
        builder.timer(AwakeTimer).header_read_timeout(REQUEST_WITHIN).max_buf_size(BUFFER_MOST);
        let mut serving = pin!(builder.serve_connection(TokioIo::new(socket), service));
        let mut shut = false;
        let mut over = pin!(poll_fn(|cx| {
            loop {
                connection.seen.begin_turn();
                if serving.as_mut().poll(cx).is_ready() || connection.seen.poll_gone(cx).is_ready() {
                    return Poll::Ready(());
                }
                // What has come, or has begun to, is answered first.
                if shut || !connection.closing.get() || !connection.is_idle() {
                    return Poll::Pending;
                }
                shut = true;
                serving.as_mut().graceful_shutdown();
            }
        }));
        tokio::select! {
            biased;
            () = over.as_mut() => return,
            () = connection.close.notified() => {}
            () = connection.cut.notified() => return,
        }
        // A client that does not read its answer must not hold the connection for ever; one that does is let.
        loop {
            tokio::select! {
                biased;
                () = over.as_mut() => return,
                () = connection.cut.notified() => return,
                () = sleep(self.longest + CLOSE_WITHIN) => {}
            }
            if connection.idle_since.get().is_some() || connection.seen.unwritten_for() > TAKES_WITHIN {
                return;
            }
        }
    }

    /// From now on each answer ends its connection.
    pub(crate) fn leave(&self) {
        self.phase.set(Phase::Leaving);
    }

    /// Ends connections as soon as they have no request open, and waits until all have.
    pub(crate) async fn close(&self) {
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

    /// The answer, and whether the request came in chunks; or the error for what is wrong with it.
    async fn respond(&self, request: Request<Incoming>, seen: &Seen, by: Instant) -> Result<Answered, Wrong> {
        // Where among the bytes the next request begins is hyper's to know: it drops what contradicts it.
        let (line, came) = seen.next_head().ok_or(Fault::ConflictingFraming).map_err(turned_down)?;
        line.check().map_err(turned_down)?;
        let chunked = line.transfer_codings > 0;
        if request.uri().path() == "/_health" {
            if !request.body().is_end_stream() {
                return Err(plain(StatusCode::BAD_REQUEST, "a GET has no body"));
            }
            let (head, _) = request.into_parts();
            request::validate_head(&head, HostRequirement::Required).map_err(turned_down)?;
            return Ok((self.health(&head.method), chunked));
        }
        let (mut head, body) = request.into_parts();
        // It may have waited for the answers to those before it; its client's patience began all the same.
        if let Some(at) = came {
            head.extensions.insert(ReceivedAt(at.into_std()));
        }
        let rendering = self.node.rendering(&head);
        let received = match self.node.receive(Request::from_parts(head, body), Some(by)).await {
            Ok(received) => received,
            // The request was read to its end; it is but what it asks for that is wrong.
            Err(error @ (CallError::Closed | CallError::GraphQl { .. })) => {
                return Ok((rendering.respond(Err(error)), chunked));
            }
            Err(error) => return Err(rendering.respond(Err(error))),
        };
        // Where all others are busy too, a refusal needs no server and makes room.
        let whole = received.is_fully_received();
        let finished = match self.busy.get() > self.served() {
            true => Completion { answer: received.refuse(CROWDED), body_unread: !whole },
            false => match received.finish().await {
                Ok(finished) => finished,
                Err(error) => return Err(rendering.respond(Err(error))),
            },
        };
        let response = rendering.respond(Ok(finished.answer));
        // What is still coming of a request that was answered is no next one.
        if finished.body_unread { Err(response) } else { Ok((response, chunked)) }
    }

    fn health(&self, method: &Method) -> Response<AnswerBody> {
        if method != Method::GET && method != Method::HEAD {
            return plain(StatusCode::METHOD_NOT_ALLOWED, "GET only");
        }
        self.able.set(self.able.get() || self.whole.is_ready());
        match self.able.get() && self.phase.get() == Phase::Serving {
            true => plain(StatusCode::OK, "ok"),
            false => plain(StatusCode::SERVICE_UNAVAILABLE, "not serving"),
        }
    }
}

/// A connection with a request open or an answer to take, for as long as it lasts.
struct Busy {
    clients: Rc<Clients>,
    connection: Rc<Connection>,
}

impl Busy {
    fn one_more(clients: &Rc<Clients>, connection: &Rc<Connection>) -> Busy {
        clients.busy.set(clients.busy.get() + 1);
        connection.idle_since.set(None);
        Busy { clients: clients.clone(), connection: connection.clone() }
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.clients.busy.set(self.clients.busy.get() - 1);
        self.connection.idle_since.set(Some(Instant::now()));
    }
}

fn turned_down(fault: Fault) -> Wrong {
    plain(fault.status(), fault.reason())
}

/// An answer, and whether its connection has to end as the request came in chunks: where that one ended among
/// the bytes is hyper's to know, so the next one's head could not be told apart.
type Answered = (Response<AnswerBody>, bool);

/// What a client is told of what it did wrong.
type Wrong = Response<AnswerBody>;

/// The last answer on its connection.
fn ending(mut response: Response<AnswerBody>) -> Response<AnswerBody> {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}
