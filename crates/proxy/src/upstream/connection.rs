//! One connection to a server, driven by the request that uses it.
//!
//! hyper splits a connection into a sender and a future that does the I/O. Here the task that waits for the
//! response polls that future, which saves a separate task and a wake-up between two tasks per piece of data.

use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use dunelink_edge::response as edge_response;
use dunelink_routing::ServerHandle;
use dunelink_runtime::Reservation;
use http::header::{self, HeaderMap};
use http::{Request, Response};
use http_body::{Body, Frame};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::Instant;

use crate::memory::plan::{SERVER_READ_BUFFER_BYTES, SOCKET_RECEIVE_BUFFER_BYTES};
use crate::memory::request_body::BodySender;

use super::event_boundary::EventBoundary;
use super::pool::ConnectionPermit;
use super::socket::{SocketState, UpstreamSocket};
use super::timer::{RequestTimer, TimeoutKind};

/// Idle time after which a connection is not reused, if the server states no keep-alive timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Share of the keep-alive timeout within which a connection is reused: a request that crosses the server's
/// close may be lost.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// How often a connection is polled until hyper reports that it is ready for the next request.
const MAX_READY_POLLS: usize = 3;

/// A connection to one incarnation of a server.
pub struct UpstreamConnection {
    sender: SendRequest<BodySender>,
    connection: Connection<TokioIo<UpstreamSocket>, BodySender>,
    socket: Rc<SocketState>,
    is_closed: bool,
    is_new: bool,
    closes_after_response: bool,
    idle_timeout: Duration,
    pub(super) idle_since: Instant,
    server: ServerHandle,
    server_id: Arc<str>,
    /// Releases the connection's slot in the pool when it is dropped.
    permit: ConnectionPermit,
}

/// The result of sending a request on a connection.
pub enum SendResult {
    /// The head of a response has arrived.
    Response(Box<UpstreamResponse>),
    /// The head of the request was not written completely, so the server has not executed it. A server may
    /// execute a request before it has received the end of its body.
    NotSent,
    /// The connection broke, or the received bytes are not a valid response. The server may have executed the
    /// request.
    Broken,
    /// There was no response before the deadline or the silence timeout. The server may have executed the
    /// request.
    TimedOut(TimeoutKind),
}

/// A response whose body is still to be read.
pub struct UpstreamResponse {
    /// Status and headers.
    pub head: http::response::Parts,
    /// Body.
    pub body: Incoming,
    /// Whether the body ends with the connection. A reset of the connection is not a regular end.
    pub is_close_delimited: bool,
    /// The connection that the response arrives on.
    pub connection: Box<UpstreamConnection>,
    /// Tracks the events of a body that must not end within one; `None` if it may end anywhere.
    event_boundary: Option<EventBoundary>,
}

/// Why a response body is incomplete.
#[derive(Debug, Error)]
pub enum ResponseBodyError {
    /// The connection broke, or the received bytes are not a valid body.
    #[error("the connection broke: {0}")]
    Connection(#[from] hyper::Error),
    /// The connection was closed within an event of an event stream.
    #[error("the connection was closed within an event")]
    ClosedWithinEvent,
}

/// Connects to a server. What the kernel receives before it is read counts as memory of the process, so the
/// socket's receive buffer is limited.
async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Without the limit, responses are correct.
    let _ = socket.set_recv_buffer_size(SOCKET_RECEIVE_BUFFER_BYTES as u32);
    socket.connect(address).await
}

impl UpstreamConnection {
    /// Opens a connection to a server within `timeout`; `None` if that fails.
    pub async fn open(
        address: SocketAddr,
        server: ServerHandle,
        server_id: Arc<str>,
        permit: ConnectionPermit,
        timeout: Duration,
    ) -> Option<Box<Self>> {
        let stream = tokio::time::timeout(timeout, connect(address)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (socket, socket_state) = UpstreamSocket::new(stream).ok()?;
        let mut builder = Builder::new();
        builder.max_buf_size(SERVER_READ_BUFFER_BYTES);
        let (sender, connection) = builder.handshake(TokioIo::new(socket)).await.ok()?;
        Some(Box::new(Self {
            sender,
            connection,
            socket: socket_state,
            is_closed: false,
            is_new: true,
            closes_after_response: false,
            idle_timeout: DEFAULT_IDLE_TIMEOUT.mul_f64(IDLE_TIMEOUT_FRACTION),
            idle_since: Instant::now(),
            server,
            server_id,
            permit,
        }))
    }

    /// Returns the server that the connection leads to.
    pub fn server(&self) -> ServerHandle {
        self.server
    }

    /// Returns the id of that server.
    pub fn server_id(&self) -> &Arc<str> {
        &self.server_id
    }

    /// Whether nothing has been sent on the connection yet.
    pub fn is_new(&self) -> bool {
        self.is_new
    }

    /// Whether the connection has been idle for too long to be reused.
    pub(super) fn is_stale(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.idle_since) >= self.idle_timeout
    }

    /// Makes progress on the connection's I/O.
    fn poll_io(&mut self, cx: &mut Context<'_>) {
        if !self.is_closed && Pin::new(&mut self.connection).poll(cx).is_ready() {
            self.is_closed = true;
        }
    }

    /// Whether another request may be sent on the connection: the last response is complete, the server does
    /// not close the connection, and no bytes followed the response.
    pub fn is_reusable(&mut self, cx: &mut Context<'_>) -> bool {
        if self.closes_after_response {
            return false;
        }
        for _ in 0..MAX_READY_POLLS {
            self.poll_io(cx);
            if self.is_closed {
                return false;
            }
            if self.sender.is_ready() {
                return true;
            }
        }
        false
    }

    /// Records that the response to the last request was read completely. A connection that is dropped before
    /// is reset.
    pub fn finish_response(&mut self) {
        self.socket.set_awaits_response(false);
    }

    /// Returns a counter that increases whenever data arrives from the server on any connection.
    pub fn activity(&self) -> u64 {
        self.permit.activity()
    }

    /// Sends a request and waits for the head of its response until the timer fires. `min_head_bytes` is the
    /// minimum number of bytes that the head of the request takes on the wire.
    pub async fn send(
        mut self: Box<Self>,
        request: Request<BodySender>,
        min_head_bytes: u64,
        timer: &mut RequestTimer,
    ) -> SendResult {
        let written_before = self.socket.written_bytes();
        self.socket.set_awaits_response(true);
        self.is_new = false;
        let mut response = std::pin::pin!(self.sender.try_send_request(request));
        let mut connection = Pin::new(&mut self.connection);
        let (is_closed, permit) = (&mut self.is_closed, &self.permit);
        let result = poll_fn(|cx| {
            if !*is_closed && connection.as_mut().poll(cx).is_ready() {
                *is_closed = true;
            }
            if let Poll::Ready(result) = response.as_mut().poll(cx) {
                return Poll::Ready(Ok(result.ok()));
            }
            if *is_closed {
                return Poll::Ready(Ok(None));
            }
            timer.poll(cx, permit.activity()).map(Err)
        })
        .await;
        let head_written = self.socket.written_bytes() - written_before >= min_head_bytes;
        match result {
            Ok(Some(response)) => SendResult::Response(Box::new(self.into_upstream_response(response))),
            _ if !head_written => SendResult::NotSent,
            Ok(None) => SendResult::Broken,
            Err(kind) => SendResult::TimedOut(kind),
        }
    }

    fn into_upstream_response(mut self: Box<Self>, response: Response<Incoming>) -> UpstreamResponse {
        let (head, body) = response.into_parts();
        self.permit.record_activity();
        self.closes_after_response =
            has_connection_option(&head.headers, "close") || head.version < http::Version::HTTP_11;
        if let Some(seconds) = keep_alive_seconds(&head.headers) {
            self.idle_timeout = Duration::from_secs(seconds).mul_f64(IDLE_TIMEOUT_FRACTION);
        }
        let is_close_delimited = edge_response::is_unframed(&head.headers);
        self.closes_after_response |= is_close_delimited;
        UpstreamResponse { head, body, is_close_delimited, connection: self, event_boundary: None }
    }
}

impl UpstreamResponse {
    /// Reads the body as an event stream: if it ends with its connection, its end within an event is an error.
    pub fn require_complete_events(&mut self) {
        self.event_boundary = self.is_close_delimited.then(EventBoundary::default);
    }

    /// Returns the next frame of the body.
    pub fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseBodyError>>> {
        let mut frame = Pin::new(&mut self.body).poll_frame(cx);
        if frame.is_pending() {
            self.connection.poll_io(cx);
            frame = Pin::new(&mut self.body).poll_frame(cx);
        }
        let frame = ready!(frame);
        self.connection.permit.record_activity();
        if let Some(boundary) = &mut self.event_boundary {
            match &frame {
                None if boundary.is_within_event() => {
                    return Poll::Ready(Some(Err(ResponseBodyError::ClosedWithinEvent)));
                }
                Some(Ok(frame)) => boundary.push(frame.data_ref().map_or(&[], |data| data)),
                None | Some(Err(_)) => {}
            }
        }
        Poll::Ready(frame.map(|frame| frame.map_err(ResponseBodyError::from)))
    }

    /// Reads the complete body into the reserved memory. `None` if it breaks off, is longer than `max_bytes`,
    /// or the timer fires before its end.
    pub async fn read_to_end(
        &mut self,
        max_bytes: usize,
        mut reservation: Reservation,
        timer: &mut RequestTimer,
    ) -> Option<Bytes> {
        let capacity =
            self.body.size_hint().exact().map_or(max_bytes, |length| max_bytes.min(length as usize));
        let mut data = Vec::with_capacity(capacity);
        self.read_all(|received| data.extend_from_slice(received), max_bytes, timer).await?;
        data.shrink_to_fit();
        reservation.shrink_to(data.len());
        Some(reservation.attach(data))
    }

    /// Reads the complete body and discards it. False if it breaks off, is longer than `max_bytes`, or the
    /// timer fires before its end.
    pub async fn discard_body(&mut self, max_bytes: usize, timer: &mut RequestTimer) -> bool {
        self.read_all(|_| {}, max_bytes, timer).await.is_some()
    }

    /// Passes the complete body to `store`.
    async fn read_all(
        &mut self,
        mut store: impl FnMut(&[u8]),
        max_bytes: usize,
        timer: &mut RequestTimer,
    ) -> Option<()> {
        let mut read_bytes = 0;
        poll_fn(|cx| {
            loop {
                match self.poll_frame(cx) {
                    Poll::Ready(Some(Ok(frame))) => {
                        let received = frame.into_data().unwrap_or_default();
                        read_bytes += received.len();
                        if read_bytes > max_bytes {
                            return Poll::Ready(None);
                        }
                        store(&received);
                    }
                    Poll::Ready(Some(Err(_))) => return Poll::Ready(None),
                    Poll::Ready(None) => return Poll::Ready(Some(())),
                    Poll::Pending => return timer.poll(cx, self.connection.activity()).map(|_| None),
                }
            }
        })
        .await
    }
}

/// Whether the `Connection` header contains an option.
fn has_connection_option(headers: &HeaderMap, option: &str) -> bool {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|token| token.trim().eq_ignore_ascii_case(option))
}

/// Returns the timeout that the `Keep-Alive` header states, in seconds.
fn keep_alive_seconds(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value.split(',').find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok()
}
