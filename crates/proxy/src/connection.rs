//! Client connections.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use dunelink_runtime::Reservation;
use http::header::{self, HeaderValue};
use http::{Request, Response, StatusCode, Version};
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::admission::{admit, expected_priority};
use crate::client_socket::{ClientSocket, RequestHeads, ResetOnClose};
use crate::exchange::Exchange;
use crate::memory::plan::{client_read_buffer_bytes, open_request_bytes};
use crate::memory::request_body::RequestBody;
use crate::node::Node;
use crate::open_requests::OpenRequestGuard;
use crate::request;
use crate::request_failure::RequestFailure;
use crate::response::{LocalReply, ResponseBody};

/// The state of a client connection that other tasks read or change.
#[derive(Debug)]
pub struct ClientConnection {
    /// Limit of a request's head, in bytes.
    max_head_bytes: usize,
    /// Time since which no request is open on the connection; `None` while one is open.
    idle_since: Cell<Option<Instant>>,
    /// Deadline of the open request, once it is known.
    response_deadline: Cell<Option<Instant>>,
    /// Notified when the connection is to close once no request is open on it.
    close_requested: Notify,
    /// Notified when the connection is to close immediately.
    abort_requested: Notify,
    /// Request heads as they were read from the socket.
    heads: RequestHeads,
    /// Set while a response is sent that ends with the connection.
    reset_on_close: ResetOnClose,
}

impl ClientConnection {
    /// Creates the state of a newly accepted connection, whose requests have heads of up to `max_head_bytes`.
    pub fn new(max_head_bytes: usize) -> Rc<Self> {
        Rc::new(Self {
            max_head_bytes,
            idle_since: Cell::new(Some(Instant::now())),
            response_deadline: Cell::default(),
            close_requested: Notify::new(),
            abort_requested: Notify::new(),
            heads: RequestHeads::default(),
            reset_on_close: ResetOnClose::default(),
        })
    }

    /// Returns the time since which no request is open on the connection; `None` while one is open.
    pub fn idle_since(&self) -> Option<Instant> {
        self.idle_since.get()
    }

    /// Closes the connection once no request is open on it.
    pub fn close_when_idle(&self) {
        self.close_requested.notify_one();
    }

    /// Closes the connection if it has been idle for at least `idle_timeout` and no part of a next request
    /// has arrived.
    pub fn close_if_idle(&self, now: Instant, idle_timeout: Duration) {
        let is_idle =
            self.idle_since.get().is_some_and(|since| now.saturating_duration_since(since) >= idle_timeout);
        if is_idle && self.heads.partial_since().is_none() {
            self.close_when_idle();
        }
    }

    /// Closes the connection if it has been idle for longer than `idle_timeout`, or if the head of a request
    /// is still incomplete `header_timeout` after its first byte. Aborts it if its client does not read a
    /// response for `idle_timeout` after the deadline of its request, or after its end was buffered.
    pub fn enforce_timeouts(&self, now: Instant, idle_timeout: Duration, header_timeout: Duration) {
        let is_over = |since: Instant, max: Duration| now.saturating_duration_since(since) > max;
        let Some(idle_since) = self.idle_since.get() else {
            if self.response_deadline.get().is_some_and(|deadline| is_over(deadline, idle_timeout)) {
                self.abort_requested.notify_one();
            }
            return;
        };
        if is_over(idle_since, 2 * idle_timeout) {
            self.abort_requested.notify_one();
        }
        match self.heads.partial_since() {
            // Bytes that arrived while the previous request was open count from that request's end.
            Some(since) if is_over(since.max(idle_since), header_timeout) => {
                self.abort_requested.notify_one()
            }
            None if is_over(idle_since, idle_timeout) => self.close_when_idle(),
            _ => {}
        }
    }
}

/// Marks a connection as active; dropping it marks the connection as idle.
struct ActiveRequestGuard(Rc<ClientConnection>);

impl ActiveRequestGuard {
    fn new(connection: &Rc<ClientConnection>) -> Self {
        connection.idle_since.set(None);
        connection.response_deadline.set(None);
        Self(connection.clone())
    }
}

impl Drop for ActiveRequestGuard {
    fn drop(&mut self) {
        self.0.idle_since.set(Some(Instant::now()));
    }
}

/// Serves a client connection until it closes.
pub async fn serve(node: Rc<Node>, connection: Rc<ClientConnection>, stream: TcpStream) {
    tokio::select! {
        biased;
        () = connection.abort_requested.notified() => {}
        () = serve_until_closed(node, &connection, stream) => {}
    }
}

async fn serve_until_closed(node: Rc<Node>, connection: &Rc<ClientConnection>, stream: TcpStream) {
    let socket = ClientSocket::new(stream, connection.heads.clone(), connection.reset_on_close.clone());
    let service = service_fn(|request| {
        let (node, active) = (node.clone(), ActiveRequestGuard::new(connection));
        async move { Ok::<_, Infallible>(respond(node, request, active).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .max_header_size(connection.max_head_bytes)
        .max_buf_size(client_read_buffer_bytes(connection.max_head_bytes))
        .auto_date_header(false);
    let mut serving = pin!(builder.serve_connection(TokioIo::new(socket), service));
    tokio::select! {
        biased;
        _ = serving.as_mut() => return,
        () = connection.close_requested.notified() => serving.as_mut().graceful_shutdown(),
    }
    // Errors of the connection are not logged: the client sees them and may retry.
    let _ = serving.await;
}

/// Handles one request.
async fn respond(
    node: Rc<Node>,
    request: Request<Incoming>,
    active: ActiveRequestGuard,
) -> Response<ResponseBody> {
    let open_request = node.open_requests.track();
    let (body, memory) = open_body(&node, &request, active.0.max_head_bytes);
    let heads = active.0.heads.clone();
    let version = request.version();
    let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let mut response = match heads.check_framing(request.headers()) {
        Ok(()) => handle_request(&node, request, body, &open_request, &active.0).await,
        Err(_) => LocalReply::new(StatusCode::BAD_REQUEST).closing_connection().into_response(None),
    };
    if chunked {
        heads.end_chunked_body();
    }
    if node.is_shutting_down() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    open_request.set_answering();
    // HTTP/1.0 has no chunks, so a response of unknown length ends with its connection.
    if version < Version::HTTP_11 && response.body().size_hint().exact().is_none() {
        let reset_on_close = active.0.reset_on_close.clone();
        response = response.map(|body| body.resetting_until_complete(reset_on_close));
    }
    response.map(|body| body.with_guard(Box::new((open_request, active, memory))))
}

/// Creates the body of a request and reserves the memory of the request, if there is any left.
fn open_body(
    node: &Rc<Node>,
    request: &Request<Incoming>,
    max_head_bytes: usize,
) -> (RequestBody, Option<Reservation>) {
    let configuration = node.configuration();
    let priority = configuration.map_or(u32::MAX, |configuration| {
        expected_priority(&configuration, request.uri(), request.headers())
    });
    node.request_bodies.open(priority, open_request_bytes(max_head_bytes))
}

async fn handle_request(
    node: &Rc<Node>,
    request: Request<Incoming>,
    body: RequestBody,
    open_request: &OpenRequestGuard,
    connection: &ClientConnection,
) -> Response<ResponseBody> {
    let started_at = Instant::now();
    let configuration = node.configuration();
    let limits = configuration.as_ref().map(|configuration| &configuration.fleet.limits);
    let limits = limits.cloned().unwrap_or_default();
    let body_timeout = Duration::from_millis(limits.header_timeout_ms);
    let request = match request::read(request, body, &limits, body_timeout).await {
        Ok(request) => request,
        Err((reply, id)) => return reply.into_response(id.as_ref()),
    };
    // A configuration may have arrived while the body was read.
    let Some(configuration) = node.configuration() else {
        let remaining = request
            .client_timeout
            .map_or(Duration::MAX, |client_timeout| client_timeout.saturating_sub(started_at.elapsed()));
        let failure = RequestFailure::not_configured(node.clock.uptime()).with_jitter().capped_for(remaining);
        return failure.local_reply().into_response(Some(&request.id));
    };
    let admission = match admit(node, &configuration, &request) {
        Ok(admission) => admission,
        Err(reply) => return reply.into_response(Some(&request.id)),
    };
    let exchange = Exchange::new(node.clone(), configuration, request, admission, started_at);
    open_request.set_admitted(&exchange.request.id, exchange.timer.deadline());
    connection.response_deadline.set(Some(exchange.timer.deadline()));
    exchange.run().await
}
