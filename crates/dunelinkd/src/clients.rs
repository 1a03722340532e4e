//! Connections of clients: their limits and timeouts, and what only the socket shows of a request.

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

use crate::client_socket::{ClientSocket, SocketState};
use crate::dispatcher::ShardQueue;
use crate::grace_timer::{GraceTimer, was_suspended};
use crate::guarded_body::GuardedBody;
use crate::listen::{ACCEPT_DRAIN_TIMEOUT, ACCEPT_RETRY_DELAY, out_of_descriptors, wait_until_ready};

/// Maximum size of a connection's buffer; it limits the size of headers too.
const MAX_BUFFER_BYTES: usize = 32 * 1024;
/// How long a connection may take to deliver a complete request, counted from its start or its last answer. A
/// client that sends nothing for longer has to reconnect; the connection of a malicious client has to end
/// within 3 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long a new connection is kept open without a request when there are too many connections: clients
/// connect because they have a request to send.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(300);
/// A client that reads nothing of its answer for this long is disconnected.
const STALLED_READER_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between searches for connections whose clients do not read their answers.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// How long a connection that has had a request has to be idle before it may be closed to make room.
const MIN_IDLE_TIME: Duration = Duration::from_millis(100);
/// At shutdown, how long after its connection the first request may arrive.
const LATE_REQUEST_GRACE: Duration = Duration::from_millis(200);
/// How long a connection that was told to close may take to end, in addition to the longest deadline.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections are kept open between requests while no more than the limit divided by this are open.
const KEEP_ALIVE_DIVISOR: usize = 3;
/// Retry delay for a client that is refused because the node has no connection left to serve it.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Whether the node is shutting down.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Serving,
    /// It was told to shut down: it still serves, and closes each connection with its next answer.
    Draining,
}

/// A client's connection, as shared with the tasks that may close it.
struct Connection {
    /// Since when it has no request open; `None` while it has one.
    idle_since: Cell<Option<Instant>>,
    /// Whether it has not had an answer yet.
    fresh: Cell<bool>,
    /// Whether it was told to close.
    closing: Cell<bool>,
    /// Notified when it is to close as soon as it has no request open.
    close: Notify,
    /// Notified when it is to be closed at once, even with a request open.
    abort: Notify,
    /// The state of its socket, which hyper does not show.
    socket_state: Rc<SocketState>,
}

impl Connection {
    /// Since when it has been idle, if it may be closed. Between requests, a client tolerates a close; but a
    /// new connection was opened for a request that may already be in the kernel, and closing it would lose
    /// that request.
    fn closable_since(&self) -> Option<Instant> {
        // A request that arrives in pieces has begun, and may be complete in the kernel by now.
        let since =
            self.idle_since.get().filter(|_| !self.closing.get() && !self.socket_state.has_begun())?;
        // A connection that was just answered may already carry the next request: `Connection: close` ends it
        // instead.
        let min_idle_time = if self.fresh.get() { FIRST_REQUEST_GRACE } else { MIN_IDLE_TIME };
        (since.elapsed() >= min_idle_time).then_some(since)
    }

    /// Whether no request is open on it or on its way to hyper, so that closing it now loses none.
    fn is_idle(&self) -> bool {
        self.idle_since.get().is_some() && !self.socket_state.has_more()
    }
}

/// The connections of clients to a node, or to one of its shards.
pub(crate) struct Clients {
    /// The shard that requests are sent to, and the node that it belongs to.
    shard: Handle,
    node: Handle,
    /// The queue of connections from the dispatcher, if there are several shards.
    queue: Option<Arc<ShardQueue>>,
    /// Maximum number of connections, of clients and to servers together, and of clients alone. A connection
    /// of a client is occupied while its request is queued, one to a server only during an attempt: clients
    /// need more.
    total_limit: usize,
    client_limit: usize,
    /// Number of bytes that are read ahead on all connections together.
    read_ahead: Rc<Cell<usize>>,
    /// The longest that any client waits.
    longest_wait: Duration,
    phase: Cell<Phase>,
    /// Whether the node has been ready before: from then on the health check does not ask it again.
    was_ready: Cell<bool>,
    /// The number of the next connection.
    next_id: Cell<u64>,
    connections: RefCell<HashMap<u64, Rc<Connection>>>,
    /// Number of connections with a request open, and number of those that were told to close.
    busy: Cell<usize>,
    closing: Cell<usize>,
    /// Notified when a connection has ended.
    freed: Notify,
}

impl Clients {
    pub(crate) fn new(config: &Config, shard: Handle, node: Handle) -> Clients {
        Clients {
            shard,
            node,
            queue: None,
            total_limit: config.limits.connections(),
            client_limit: Clients::client_limit(config),
            read_ahead: Rc::default(),
            longest_wait: config.max_deadline(),
            phase: Cell::new(Phase::Serving),
            was_ready: Cell::new(false),
            next_id: Cell::new(0),
            connections: RefCell::default(),
            busy: Cell::new(0),
            closing: Cell::new(0),
            freed: Notify::new(),
        }
    }

    /// Maximum number of connections of clients.
    pub(crate) fn client_limit(config: &Config) -> usize {
        config.limits.connections().saturating_sub(config.limits.max_server_connections()).max(1)
    }

    /// Makes these the clients of one shard, which gets its connections from this queue.
    pub(crate) fn with_queue(self, queue: Arc<ShardQueue>) -> Clients {
        Clients { queue: Some(queue), ..self }
    }

    /// Accepts connections until `stop` is notified, then those that are still in the kernel's queue, which
    /// count as accepted. If the listening socket is `shared`, it starts when the node is ready, and in the
    /// end leaves the connections in the kernel's queue to another process.
    pub(crate) async fn accept(
        self: Rc<Self>,
        listener: TcpListener,
        mut ready: JoinHandle<()>,
        stop: Rc<Notify>,
        shared: bool,
    ) {
        if shared && !wait_until_ready(&mut ready, &stop).await {
            return;
        }
        let mut stopping = false;
        loop {
            // Connections beyond the limit wait in the kernel: to accept and drop one would lose a request.
            while self.connections.borrow().len() >= self.client_limit {
                self.make_room();
                tokio::select! {
                    () = stop.notified(), if !stopping => stopping = true,
                    _ = timeout(ACCEPT_RETRY_DELAY, self.freed.notified()) => {}
                }
                if stopping && shared {
                    return;
                }
            }
            let accepted = tokio::select! {
                biased;
                () = stop.notified(), if shared => return,
                accepted = listener.accept() => accepted,
                () = sleep(ACCEPT_DRAIN_TIMEOUT), if stopping => return,
                () = stop.notified(), if !stopping => {
                    stopping = true;
                    continue;
                }
            };
            match accepted {
                Ok((stream, _)) => self.clone().start_connection(stream),
                Err(error) => {
                    if out_of_descriptors(&error) {
                        self.make_room();
                        self.shard.close_idle_connection();
                    }
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Starts to serve a new connection; if there are many, closes the one that has been idle for longest.
    pub(crate) fn start_connection(self: Rc<Self>, stream: TcpStream) {
        let id = self.next_id.replace(self.next_id.get() + 1);
        // A failure costs only latency.
        let _ = stream.set_nodelay(true);
        let (socket, socket_state) = ClientSocket::new(stream, self.read_ahead.clone());
        let connection = Rc::new(Connection {
            idle_since: Cell::new(Some(Instant::now())),
            fresh: Cell::new(true),
            closing: Cell::new(false),
            close: Notify::new(),
            abort: Notify::new(),
            socket_state,
        });
        self.connections.borrow_mut().insert(id, connection.clone());
        if self.has_too_many_connections() {
            self.make_room();
        }
        tokio::task::spawn_local(async move {
            self.serve(&connection, socket).await;
            self.connections.borrow_mut().remove(&id);
            self.closing.set(self.closing.get() - usize::from(connection.closing.get()));
            self.freed.notify_waiters();
            if let Some(queue) = &self.queue {
                queue.connection_ended();
            }
        });
    }

    /// Whether there are so many connections that idle ones are closed, and answers close theirs: connections
    /// that clients keep open without further requests prevent others from connecting.
    fn has_too_many_connections(&self) -> bool {
        self.connections.borrow().len() - self.closing.get() > self.total_limit / KEEP_ALIVE_DIVISOR
    }

    /// Number of busy connections up to which requests are served; the last tenth is reserved for refusals.
    fn service_limit(&self) -> usize {
        self.client_limit - self.client_limit / 10
    }

    /// Tells a connection to close once it has no request open.
    fn close_when_idle(&self, connection: &Connection) {
        self.closing.set(self.closing.get() + usize::from(!connection.closing.replace(true)));
        connection.close.notify_one();
    }

    /// Closes connections that have been idle for longer than hyper permits, as their clients do not read the
    /// last answer, and those on which a client has stopped reading an answer.
    pub(crate) async fn sweep(&self) {
        loop {
            let due = Instant::now() + SWEEP_INTERVAL;
            sleep(SWEEP_INTERVAL).await;
            if was_suspended(due) {
                // Data that arrived during the suspension is not read yet.
                continue;
            }
            let stuck_idle =
                |c: &&Rc<Connection>| c.closable_since().is_some_and(|s| s.elapsed() > 2 * REQUEST_TIMEOUT);
            // A long answer that its client does not read also blocks a server.
            let unread = |c: &&Rc<Connection>| {
                c.idle_since.get().is_none()
                    && c.socket_state.has_pending_write()
                    && c.socket_state.time_since_write() > STALLED_READER_TIMEOUT
            };
            let connections = self.connections.borrow();
            connections.values().filter(stuck_idle).for_each(|c| self.close_when_idle(c));
            connections.values().filter(unread).for_each(|c| c.abort.notify_one());
        }
    }

    /// Closes the connection that has been lingering for longest after its last answer, else the one that has
    /// been idle for longest, if one may be closed.
    pub(crate) fn make_room(&self) {
        let connections = self.connections.borrow();
        let lingering = connections.values().filter_map(|c| Some((c.socket_state.lingering_since()?, c)));
        if let Some((_, connection)) = lingering.min_by_key(|(since, _)| *since) {
            return connection.abort.notify_one();
        }
        let idle = connections.values().filter_map(|c| Some((c.closable_since()?, c)));
        if let Some((_, connection)) = idle.min_by_key(|(since, _)| *since) {
            self.close_when_idle(connection);
        }
    }

    async fn serve(self: &Rc<Self>, connection: &Rc<Connection>, socket: ClientSocket) {
        let service = service_fn(|request| {
            let (clients, connection, socket_state) =
                (self.clone(), connection.clone(), connection.socket_state.clone());
            async move {
                let idle_since = connection.idle_since.get().unwrap_or_else(Instant::now);
                let busy = BusyGuard::new(&clients, &connection);
                // The time limit of the first request starts with the connection, that of a later one with
                // the request.
                let request_start = if connection.fresh.get() { idle_since } else { Instant::now() };
                let outcome = clients.respond(request, &socket_state, request_start + REQUEST_TIMEOUT).await;
                connection.fresh.set(false);
                let must_close = clients.has_too_many_connections()
                    || connection.closing.get()
                    || clients.phase.get() != Phase::Serving;
                let response = match outcome {
                    // Requests received behind this one are answered too: the last answer closes the
                    // connection.
                    Ok((response, chunked))
                        if !chunked
                            && !socket_state.discards_excess()
                            && (!must_close || socket_state.has_more()) =>
                    {
                        response
                    }
                    Ok((response, _)) => with_connection_close(response),
                    // It is not known where the next request begins, nor whether what follows is one.
                    Err(rejection) => with_connection_close(rejection),
                };
                // The connection is idle again once the answer's body has been read to its end.
                Ok::<_, Infallible>(response.map(|body| GuardedBody::new(body, busy)))
            }
        });
        let mut builder = http1::Builder::new();
        builder.timer(GraceTimer).header_read_timeout(REQUEST_TIMEOUT).max_buf_size(MAX_BUFFER_BYTES);
        let mut serving = pin!(builder.serve_connection(TokioIo::new(socket), service));
        let mut shutdown_started = false;
        let mut connection_done = pin!(poll_fn(|cx| {
            loop {
                connection.socket_state.begin_poll();
                if serving.as_mut().poll(cx).is_ready()
                    || connection.socket_state.poll_disconnected(cx).is_ready()
                {
                    return Poll::Ready(());
                }
                // Requests that have been received, even in part, are answered first.
                if shutdown_started || !connection.closing.get() || !connection.is_idle() {
                    return Poll::Pending;
                }
                shutdown_started = true;
                serving.as_mut().graceful_shutdown();
            }
        }));
        tokio::select! {
            biased;
            () = connection_done.as_mut() => return,
            () = connection.close.notified() => {}
            () = connection.abort.notified() => return,
        }
        // A client that does not read its answer must not keep the connection open forever; one that reads it
        // may continue.
        loop {
            tokio::select! {
                biased;
                () = connection_done.as_mut() => return,
                () = connection.abort.notified() => return,
                () = sleep(self.longest_wait + CLOSE_TIMEOUT) => {}
            }
            if connection.idle_since.get().is_some()
                || connection.socket_state.time_since_write() > STALLED_READER_TIMEOUT
            {
                return;
            }
        }
    }

    /// From now on, each answer closes its connection.
    pub(crate) fn drain(&self) {
        self.phase.set(Phase::Draining);
    }

    /// Closes connections as soon as they have no request open, and waits until all have ended.
    pub(crate) async fn close(&self) {
        let close_all = |include_fresh: bool| {
            let connections = self.connections.borrow();
            connections
                .values()
                .filter(|c| include_fresh || !c.fresh.get())
                .for_each(|c| self.close_when_idle(c));
        };
        close_all(false);
        // The first request of a connection that was accepted last may still be on its way.
        sleep(LATE_REQUEST_GRACE).await;
        close_all(true);
        while !self.connections.borrow().is_empty() {
            self.freed.notified().await;
        }
    }

    /// The answer, and whether the request was chunked; or the answer to an invalid request.
    async fn respond(
        &self,
        request: Request<Incoming>,
        socket_state: &SocketState,
        request_deadline: Instant,
    ) -> Result<AnsweredRequest, Rejection> {
        // hyper decides where the next request begins in the stream, and drops headers that contradict that.
        let (wire_head, received_at) =
            socket_state.next_head().ok_or(Fault::ConflictingFraming).map_err(reject)?;
        wire_head.check().map_err(reject)?;
        let chunked = wire_head.transfer_codings > 0;
        if request.uri().path() == "/_health" {
            if !request.body().is_end_stream() {
                return Err(plain(StatusCode::BAD_REQUEST, "a GET has no body"));
            }
            let (head, _) = request.into_parts();
            request::validate_head(&head, HostRequirement::Required).map_err(reject)?;
            return Ok((self.health(&head.method), chunked));
        }
        let (mut head, body) = request.into_parts();
        // The request may have waited for the answers to earlier ones; its deadline counts from when it was
        // received.
        if let Some(received_at) = received_at {
            head.extensions.insert(ReceivedAt(received_at.into_std()));
        }
        let rendering = self.shard.rendering(&head);
        let received = match self.shard.receive(Request::from_parts(head, body), Some(request_deadline)).await
        {
            Ok(received) => received,
            // The request was read to its end; only its content is invalid.
            Err(error @ (CallError::Closed | CallError::GraphQl { .. })) => {
                return Ok((rendering.respond(Err(error)), chunked));
            }
            Err(error) => return Err(rendering.respond(Err(error))),
        };
        // If nearly all connections are busy, the request is refused: that needs no server and makes room.
        let fully_received = received.is_fully_received();
        let completion = match self.busy.get() > self.service_limit() {
            true => {
                Completion { answer: received.refuse(OVERLOAD_RETRY_AFTER), body_unread: !fully_received }
            }
            false => match received.finish().await {
                Ok(completion) => completion,
                Err(error) => return Err(rendering.respond(Err(error))),
            },
        };
        let response = rendering.respond(Ok(completion.answer));
        // The remaining body of a request that was already answered must not be taken for the next request.
        if completion.body_unread { Err(response) } else { Ok((response, chunked)) }
    }

    fn health(&self, method: &Method) -> Response<AnswerBody> {
        if method != Method::GET && method != Method::HEAD {
            return plain(StatusCode::METHOD_NOT_ALLOWED, "GET only");
        }
        self.was_ready.set(self.was_ready.get() || self.node.is_ready());
        match self.was_ready.get() && self.phase.get() == Phase::Serving {
            true => plain(StatusCode::OK, "ok"),
            false => plain(StatusCode::SERVICE_UNAVAILABLE, "not serving"),
        }
    }
}

/// Counts a connection as busy while it has a request open or an answer that is not completely read.
struct BusyGuard {
    clients: Rc<Clients>,
    connection: Rc<Connection>,
}

impl BusyGuard {
    fn new(clients: &Rc<Clients>, connection: &Rc<Connection>) -> BusyGuard {
        clients.busy.set(clients.busy.get() + 1);
        connection.idle_since.set(None);
        BusyGuard { clients: clients.clone(), connection: connection.clone() }
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.clients.busy.set(self.clients.busy.get() - 1);
        self.connection.idle_since.set(Some(Instant::now()));
    }
}

fn reject(fault: Fault) -> Rejection {
    plain(fault.status(), fault.reason())
}

/// An answer, and whether its connection has to be closed because the request was chunked: only hyper knows
/// where in the stream a chunked request ends, so the head of the next one could not be located.
type AnsweredRequest = (Response<AnswerBody>, bool);

/// The answer to an invalid request.
type Rejection = Response<AnswerBody>;

/// Marks an answer as the last one on its connection.
fn with_connection_close(mut response: Response<AnswerBody>) -> Response<AnswerBody> {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}
