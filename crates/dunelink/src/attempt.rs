//! A single attempt at a server, from its connection to its outcome.

use std::cell::Cell;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use cherryusher::{Outcome, ServerId};
use dunelink_edge::fields::DEADLINE;
use dunelink_edge::response::{self, RequestOutcome};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::ext::on_informational;
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

use crate::answer_body::{AnswerBody, ReaderState};
use crate::body_buffer::BodyBuffer;
use crate::config::FinalAnswers;
use crate::counted_socket::CountedSocket;
use crate::payload::OutgoingBody;
use crate::servers::{Connection, ReusableConnection, Servers};
use crate::types::Outgoing;

/// An answer is given up when no further bytes of it arrive for this long.
const ANSWER_STALL_TIMEOUT: Duration = Duration::from_millis(600);
/// The maximum number of informational (1xx) responses ahead of an answer.
const MAX_INFORMATIONAL: usize = 16;

impl Outgoing {
    fn request(&self) -> Option<Request<OutgoingBody>> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let remaining = self.body.client_timeout().unwrap_or(remaining).as_secs_f64();
        let mut request = Request::new(self.body.attempt_body()?);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone().into();
        *request.headers_mut() = self.headers.clone();
        request.headers_mut().insert(DEADLINE, HeaderValue::from_str(&format!("{remaining:.3}")).ok()?);
        Some(request)
    }
}

/// The number of bytes of a request on the socket, as hyper writes it when every header is given.
fn wire_length(request: &Request<OutgoingBody>, body: u64) -> u64 {
    let request_line =
        request.method().as_str().len() + request.uri().path_and_query().map_or(1, |p| p.as_str().len());
    let headers: usize =
        request.headers().iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
    (request_line + " HTTP/1.1\r\n".len() + 1 + headers + 2) as u64 + body
}

/// When dropped, closes the server's idle connections if it has answered nothing since this attempt was sent.
/// A crashed machine is silent on all its connections, and each idle one would cost another attempt, perhaps
/// an unsafe one, its full time limit; a new connection fails at once and proves that the request did not
/// run.
struct SilenceCheck<'a> {
    servers: &'a Servers,
    server: ServerId,
    sent_at: Instant,
}

impl Drop for SilenceCheck<'_> {
    fn drop(&mut self) {
        self.servers.close_idle_if_silent(self.server, self.sent_at);
    }
}

/// The outcome of an attempt; `response` is present exactly if the outcome is [`Outcome::Served`], `reusable`
/// if its connection may serve another request.
pub(crate) struct AttemptResult {
    pub(crate) outcome: Outcome,
    pub(crate) response: Option<Response<AnswerBody>>,
    pub(crate) reusable: Option<ReusableConnection>,
}

impl AttemptResult {
    pub(crate) fn without_response(outcome: Outcome) -> AttemptResult {
        AttemptResult { outcome, response: None, reusable: None }
    }
}

/// The result of reading an answer's body into the buffer.
enum BodyRead {
    Complete(Bytes),
    /// The body exceeds the buffer limit; these are the bytes read so far.
    TooLong(Bytes),
    Broken,
}

/// Reads a body into memory, up to `max_bytes`.
async fn read_body(body: &mut Incoming, max_bytes: usize) -> BodyRead {
    if body.size_hint().lower() > max_bytes as u64 {
        return BodyRead::TooLong(Bytes::new());
    }
    let mut buffer = BodyBuffer::default();
    while buffer.len() <= max_bytes {
        match body.frame().await {
            None => return BodyRead::Complete(buffer.into_bytes()),
            Some(Err(_)) => return BodyRead::Broken,
            Some(Ok(frame)) => buffer.push(frame.into_data().unwrap_or_default()),
        }
    }
    BodyRead::TooLong(buffer.into_bytes())
}

impl Servers {
    /// Runs one attempt to its end. It may start only before `start_before`, if that is set.
    pub(crate) async fn attempt(
        self: &Rc<Self>,
        outgoing: &Outgoing,
        server: ServerId,
        start_before: Option<Instant>,
    ) -> AttemptResult {
        if !outgoing.awaits_answer() {
            return AttemptResult::without_response(Outcome::NotSent);
        }
        let started = Cell::new(false);
        self.record_attempt(server);
        tokio::select! {
            biased;
            ended = self.send(outgoing, server, start_before, &started) => ended,
            () = outgoing.body.wait_client_deadline(outgoing.deadline) => match started.get() {
                true => AttemptResult::without_response(Outcome::TimedOut),
                false => AttemptResult::without_response(Outcome::NotSent),
            },
        }
    }

    /// The last check before an attempt's first byte, after any wait since the decision to send it: whether
    /// the client still waits, whether the attempt may still start, and whether its server is still ready at
    /// the address and in the incarnation to which the connection was opened.
    fn may_start(
        &self,
        outgoing: &Outgoing,
        server: ServerId,
        start_before: Option<Instant>,
        connection: &Connection,
    ) -> bool {
        outgoing.awaits_answer()
            && start_before.is_none_or(|start_before| Instant::now() < start_before)
            && self.ready_endpoint(server) == Some((connection.endpoint, connection.server_started_at))
    }

    /// Sends the request on an idle connection or a new one. `started` is set once bytes of it may be on the
    /// socket.
    async fn send(
        self: &Rc<Self>,
        outgoing: &Outgoing,
        server: ServerId,
        start_before: Option<Instant>,
        started: &Cell<bool>,
    ) -> AttemptResult {
        loop {
            let idle = if self.needs_new_connection(outgoing) { None } else { self.take_idle(server) };
            let (mut connection, is_new) = match idle {
                Some(connection) => (connection, false),
                None => {
                    let Some(target) = self.ready_endpoint(server) else {
                        return AttemptResult::without_response(Outcome::NotSent);
                    };
                    match self.connect(target).await {
                        Ok(connection) => (connection, true),
                        Err(outcome) => return AttemptResult::without_response(outcome),
                    }
                }
            };
            if !self.may_start(outgoing, server, start_before, &connection) {
                // A connection opened for this attempt is kept for the next one.
                let reusable = Some(ReusableConnection { server, connection });
                return AttemptResult { reusable, ..AttemptResult::without_response(Outcome::NotSent) };
            }
            let Some(mut request) = outgoing.request() else {
                return AttemptResult::without_response(Outcome::NotSent);
            };
            let informational = Arc::new(AtomicUsize::new(0));
            let informational_count = informational.clone();
            on_informational(&mut request, move |_| {
                informational_count.fetch_add(1, Ordering::Relaxed);
            });
            let socket = connection.socket.clone();
            let written_before = socket.written();
            let wire_length = outgoing.body.length().map(|body| wire_length(&request, body));
            started.set(true);
            let _silence_check = SilenceCheck { servers: self, server, sent_at: Instant::now() };
            socket.reset_received();
            socket.count_attempt_at(wire_length.map(|length| written_before + length));
            let mut stalled = pin!(stalled(&socket, &informational));
            let response = tokio::select! {
                biased;
                response = connection.sender.send_request(request) => response,
                // An answer has begun to arrive and stalled; it will never be complete.
                () = stalled.as_mut() => return AttemptResult::without_response(Outcome::Reset),
            };
            let written = socket.written() - written_before;
            // Without a stated length, the terminating chunk is written with or after the last data.
            let fully_written = wire_length.map_or(outgoing.body.is_fully_sent(), |length| written >= length);
            if fully_written && wire_length.is_none() {
                self.counters.count_attempt();
            }
            let response = match response {
                Ok(response) => {
                    self.record_answer(server);
                    response
                }
                // No byte was written: the idle connection was being closed, so the request is sent on
                // another one. A new connection that fails is not retried here.
                Err(_) if written == 0 && !is_new => {
                    started.set(false);
                    continue;
                }
                // A server starts a request only when it has received its last byte.
                Err(_) if !fully_written => return AttemptResult::without_response(Outcome::ConnectFailed),
                Err(error) => {
                    // No response arrived: this is not an invalid answer but the end of an idle connection
                    // that had looked usable.
                    if !is_new && !error.is_parse() {
                        self.distrust_idle_connections();
                    }
                    return AttemptResult::without_response(Outcome::Reset);
                }
            };
            return self.finish(ReusableConnection { server, connection }, response, stalled).await;
        }
    }

    /// Reads an answer into memory and returns its connection for reuse where possible, or starts to stream a
    /// long one.
    async fn finish(
        self: &Rc<Self>,
        reusable: ReusableConnection,
        response: Response<Incoming>,
        stalled: Pin<&mut impl Future<Output = ()>>,
    ) -> AttemptResult {
        let (mut parts, mut body) = response.into_parts();
        let framed = response::is_self_delimited(&parts.headers, parts.version);
        let closes = response::ends_with_connection(&parts.headers, parts.version);
        // A truncated answer would look complete if its end is marked only by an unannounced close of the
        // connection.
        let ends_cleanly = framed || closes || response::has_no_body(parts.status);
        if !ends_cleanly || body.size_hint().lower() > self.max_stream_bytes.max(self.max_body_bytes as u64) {
            return AttemptResult::without_response(Outcome::Reset);
        }
        let read = tokio::select! {
            biased;
            read = read_body(&mut body, self.max_body_bytes) => read,
            () = stalled => BodyRead::Broken,
        };
        let outcome = match RequestOutcome::of(&parts) {
            _ if matches!(read, BodyRead::Broken) => Outcome::Reset,
            RequestOutcome::ServedNonOk | RequestOutcome::ClientError if self.answers == FinalAnswers::Ok => {
                Outcome::Error
            }
            RequestOutcome::Served | RequestOutcome::ServedNonOk | RequestOutcome::ClientError => {
                Outcome::Served
            }
            RequestOutcome::Declined => Outcome::Rejected,
            RequestOutcome::Error => Outcome::Error,
        };
        response::prepare_for_forwarding(&mut parts);
        let served =
            |body: AnswerBody| (outcome == Outcome::Served).then(|| Response::from_parts(parts, body));
        match read {
            BodyRead::Complete(body) => {
                let reusable = (!closes).then_some(reusable);
                AttemptResult { outcome, response: served(body.into()), reusable }
            }
            BodyRead::TooLong(first)
                if outcome == Outcome::Served && self.max_stream_bytes > first.len() as u64 =>
            {
                let (reader, (on_end, ended)) = (Arc::new(ReaderState::default()), oneshot::channel());
                let remaining_limit = self.max_stream_bytes - first.len() as u64;
                let body = AnswerBody::streaming(first, body, remaining_limit, reader.clone(), on_end);
                let servers = self.clone();
                tokio::task::spawn_local(
                    async move { servers.watch_transfer(reusable, reader, ended).await },
                );
                AttemptResult { outcome, response: served(body), reusable: None }
            }
            // The rest of a long error response is not read.
            BodyRead::TooLong(_) if outcome != Outcome::Served => AttemptResult::without_response(outcome),
            BodyRead::TooLong(_) | BodyRead::Broken => AttemptResult::without_response(Outcome::Reset),
        }
    }
}

/// Completes when an answer has begun to arrive and no more of it follows. Informational (1xx) responses may
/// arrive long before the answer, but only up to a limit.
async fn stalled(socket: &CountedSocket, informational: &AtomicUsize) {
    let mut informational_before = 0;
    loop {
        socket.wait_received().await;
        loop {
            let read = socket.read();
            sleep(ANSWER_STALL_TIMEOUT).await;
            let now = informational.load(Ordering::Relaxed);
            if now > MAX_INFORMATIONAL {
                return;
            }
            if socket.read() != read {
                continue;
            }
            if now == informational_before {
                return;
            }
            informational_before = now;
            break;
        }
    }
}
