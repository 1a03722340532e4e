//! One connection to a server, driven by the request that uses it.
//!
//! hyper splits a connection into a sender and a future that moves its bytes. Here that future is polled by whoever
//! waits for the answer: no task of its own, and no wake-up between two tasks for each piece.

use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use dunelink_edge::answer as edge_answer;
use dunelink_routing::ServerHandle;
use http::header::{self, HeaderMap};
use http::{Request, Response};
use http_body::{Body, Frame};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::counting_socket::CountingSocket;
use super::pool::ConnectionPermit;
use super::timer::{RequestTimer, TimeoutKind};

/// Idle time after which a connection is not used again when its server tells none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Part of the time told by the server for which a connection is used again: a request that crosses the server's
/// close may be lost.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// Read buffer of a connection at most, in bytes; bounds the head of an answer.
const MAX_READ_BUFFER_BYTES: usize = 64 * 1024;
/// Idle connections that fail at once are replaced so often for one attempt.
const MAX_READY_POLLS: usize = 3;

/// A connection to one incarnation of a server.
pub struct UpstreamConnection {
    sender: SendRequest<Full<Bytes>>,
    connection: Connection<TokioIo<CountingSocket>, Full<Bytes>>,
    written_bytes: Rc<Cell<u64>>,
    is_closed: bool,
    is_new: bool,
    closes_after_response: bool,
    idle_timeout: Duration,
    pub(super) idle_since: Instant,
    server: ServerHandle,
    server_id: Arc<str>,
    /// Frees the connection's place in the pool's count when it is dropped.
    permit: ConnectionPermit,
}

/// What became of a request on a connection.
pub enum SendResult {
    /// The head of an answer has come.
    Response(Box<UpstreamResponse>),
    /// Not every byte was written: the server has not run it.
    NotSent,
    /// The connection broke, or what came is no answer: it may have run.
    Broken,
    /// No answer in time, or the server fell silent: it may have run.
    TimedOut(TimeoutKind),
}

/// An answer whose body is still to be read.
pub struct UpstreamResponse {
    /// Status and headers.
    pub head: http::response::Parts,
    /// The body.
    pub body: Incoming,
    /// Whether the end of its connection is its end, if that is not a reset.
    pub is_close_delimited: bool,
    /// The connection that it comes by.
    pub connection: Box<UpstreamConnection>,
}

impl UpstreamConnection {
    /// Opens a connection to a server within `timeout`; nothing if it can't be opened.
    pub async fn open(
        address: SocketAddr,
        server: ServerHandle,
        server_id: Arc<str>,
        permit: ConnectionPermit,
        timeout: Duration,
    ) -> Option<Box<Self>> {
        let stream = tokio::time::timeout(timeout, TcpStream::connect(address)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (socket, written_bytes) = CountingSocket::new(stream);
        let mut builder = Builder::new();
        builder.max_buf_size(MAX_READ_BUFFER_BYTES);
        let (sender, connection) = builder.handshake(TokioIo::new(socket)).await.ok()?;
        Some(Box::new(Self {
            sender,
            connection,
            written_bytes,
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

    /// The server that it leads to.
    pub fn server(&self) -> ServerHandle {
        self.server
    }

    /// The id of that server.
    pub fn server_id(&self) -> &Arc<str> {
        &self.server_id
    }

    /// Whether nothing was sent on it yet.
    pub fn is_new(&self) -> bool {
        self.is_new
    }

    /// Whether it has rested for too long to be used again.
    pub(super) fn is_stale(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.idle_since) >= self.idle_timeout
    }

    /// Moves bytes.
    fn poll_io(&mut self, cx: &mut Context<'_>) {
        if !self.is_closed && Pin::new(&mut self.connection).poll(cx).is_ready() {
            self.is_closed = true;
        }
    }

    /// Whether another request may be sent on it: its last answer has ended, its server does not close it, and
    /// nothing came behind the answer.
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

    /// How much has come from the server, on all connections.
    pub fn activity(&self) -> u64 {
        self.permit.activity()
    }

    /// Sends a request of `length` bytes and waits for the head of its answer until the alarm fires.
    pub async fn send(
        mut self: Box<Self>,
        request: Request<Full<Bytes>>,
        length: u64,
        timer: &mut RequestTimer,
    ) -> SendResult {
        let written_before = self.written_bytes.get();
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
        let fully_written = self.written_bytes.get() - written_before >= length;
        match result {
            Ok(Some(response)) => SendResult::Response(Box::new(self.into_upstream_response(response))),
            _ if !fully_written => SendResult::NotSent,
            Ok(None) => SendResult::Broken,
            Err(kind) => SendResult::TimedOut(kind),
        }
    }

    fn into_upstream_response(mut self: Box<Self>, response: Response<Incoming>) -> UpstreamResponse {
        let (head, body) = response.into_parts();
        self.permit.record_activity();
        self.closes_after_response =
            has_connection_option(&head.headers, "close") || head.version < http::Version::HTTP_11;
        if let Some(limit) = keep_alive_seconds(&head.headers) {
            self.idle_timeout = Duration::from_secs(limit).mul_f64(IDLE_TIMEOUT_FRACTION);
        }
        let is_close_delimited = edge_answer::is_unframed(&head.headers);
        self.closes_after_response |= is_close_delimited;
        UpstreamResponse { head, body, is_close_delimited, connection: self }
    }
}

impl UpstreamResponse {
    /// The next piece of the body.
    pub fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        let mut frame = Pin::new(&mut self.body).poll_frame(cx);
        if frame.is_pending() {
            self.connection.poll_io(cx);
            frame = Pin::new(&mut self.body).poll_frame(cx);
        }
        if frame.is_ready() {
            self.connection.permit.record_activity();
        }
        frame
    }

    /// Reads the body whole: nothing if it breaks off, is longer than `max_bytes` bytes, or the alarm fires before.
    pub async fn read_to_end(&mut self, max_bytes: usize, timer: &mut RequestTimer) -> Option<Bytes> {
        let mut chunks = BodyChunks::default();
        poll_fn(|cx| {
            loop {
                match self.poll_data(cx) {
                    Poll::Ready(Some(Ok(frame))) => {
                        chunks.push(frame.into_data().unwrap_or_default());
                        if chunks.length > max_bytes {
                            return Poll::Ready(None);
                        }
                    }
                    Poll::Ready(Some(Err(_))) => return Poll::Ready(None),
                    Poll::Ready(None) => return Poll::Ready(Some(chunks.join())),
                    Poll::Pending => return timer.poll(cx, self.connection.activity()).map(|_| None),
                }
            }
        })
        .await
    }
}

/// Pieces of a body; a single one is not copied.
#[derive(Default)]
struct BodyChunks {
    chunks: Vec<Bytes>,
    length: usize,
}

impl BodyChunks {
    fn push(&mut self, chunk: Bytes) {
        self.length += chunk.len();
        self.chunks.push(chunk);
    }

    fn join(&mut self) -> Bytes {
        match self.chunks.len() {
            0 => Bytes::new(),
            1 => self.chunks.remove(0),
            _ => self.chunks.concat().into(),
        }
    }
}

/// Whether `Connection` holds an option.
fn has_connection_option(headers: &HeaderMap, option: &str) -> bool {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|token| token.trim().eq_ignore_ascii_case(option))
}

/// The time that `Keep-Alive` tells.
fn keep_alive_seconds(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value.split(',').find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok()
}
