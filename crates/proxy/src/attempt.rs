//! One attempt of a request at one server, up to a completely read response or the head of a stream.

use std::future::poll_fn;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use dunelink_edge::response as edge_response;
use dunelink_routing::{Outcome, ServerHandle};
use http::header::HeaderValue;
use http::{Request, Response, StatusCode};
use http_body::Body;

use crate::attempt_guard::AttemptGuard;
use crate::exchange::{Exchange, MIN_REMAINING_TIME};
use crate::memory::request_body::{BodySender, BodyStage};
use crate::request_failure::RequestFailure;
use crate::response::{
    DEADLINE_MS, EXPECT_INSTANCE, NOT_EXECUTED, PRIORITY, REQUEST_ID, RESPONSE_SEAL, ResponseBody,
    SERVER_LOAD, TENANT,
};
use crate::upstream::{SendResult, UpstreamConnection, UpstreamResponse};

/// Timeout for opening a connection to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Responses of up to this many bytes are read completely before they are forwarded, so that the request can
/// be retried at another server if the first one breaks off.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 256 * 1024;

/// The result of one attempt.
pub(crate) enum AttemptResult {
    /// A complete response that is forwarded to the client.
    Response(Box<Response<ResponseBody>>),
    /// The head of a response whose body is relayed as it arrives.
    Stream(Box<UpstreamResponse>, AttemptGuard),
    /// A complete 5xx response: the server executed the request and failed.
    ServerError(Box<Response<ResponseBody>>),
    /// The server declared that it did not execute the request.
    Rejected,
    /// The server cannot have received the head of the request.
    NotSent,
    /// The server may have executed the request, but there is no usable response.
    MaybeExecuted(RequestFailure),
}

impl Exchange {
    /// Makes one attempt at a server, up to a completely read response or the head of a stream.
    pub(crate) async fn attempt(&mut self, attempt: AttemptGuard) -> AttemptResult {
        let server = attempt.server();
        loop {
            let mut connection = match self.connect(server).await {
                Ok(connection) => connection,
                Err(outcome) => return self.finish_unsent(attempt, outcome),
            };
            // The server's state or the shutdown may have changed while the connection was opened.
            if !self.node.router.borrow().is_usable(server) || self.shutdown_before_deadline().is_some() {
                return self.finish_unsent(attempt, Outcome::Cancelled);
            }
            if !poll_fn(|cx| Poll::Ready(connection.is_reusable(cx))).await {
                continue;
            }
            let Some(body) = self.request.body.sender() else {
                return self.finish_unsent(attempt, Outcome::Cancelled);
            };
            let is_new = connection.is_new();
            let (request, min_head_bytes) = self.upstream_request(connection.server_id(), body);
            self.request.body.set_stage(BodyStage::Sent { idempotent: self.admission.policy.idempotent });
            self.timer.set_silence_timeout(self.silence_timeout(), connection.activity());
            attempt.record_sent();
            match connection.send(request, min_head_bytes, &mut self.timer).await {
                SendResult::Response(upstream) => return self.handle_response(upstream, attempt).await,
                // The server closed the idle connection; the next one is tried.
                SendResult::NotSent if !is_new => {}
                SendResult::NotSent => return self.finish_unsent(attempt, Outcome::ConnectFailed),
                SendResult::Broken => return self.finish_lost(attempt, RequestFailure::Broken),
                SendResult::TimedOut(_) => return self.finish_lost(attempt, RequestFailure::TimedOut),
            }
        }
    }

    /// Counts an attempt that the server may have executed.
    fn record_possible_execution(&mut self, attempt: &AttemptGuard) {
        self.tried_servers.push(attempt.server());
        self.servers_sent_to += 1;
        self.possible_executions += 1;
    }

    fn finish_unsent(&mut self, attempt: AttemptGuard, outcome: Outcome) -> AttemptResult {
        self.restore_body_stage();
        self.tried_servers.push(attempt.server());
        self.unsent_attempts += 1;
        attempt.finish(outcome);
        AttemptResult::NotSent
    }

    /// Records after an attempt that was not executed whether the request still has to be sent for the first
    /// time.
    fn restore_body_stage(&self) {
        if self.possible_executions == 0 {
            self.request.body.set_stage(BodyStage::NotSent);
        }
    }

    fn finish_lost(&mut self, attempt: AttemptGuard, failure: RequestFailure) -> AttemptResult {
        self.node.pool.close_idle(attempt.server());
        self.record_possible_execution(&attempt);
        attempt.finish(if failure == RequestFailure::TimedOut { Outcome::TimedOut } else { Outcome::Broken });
        AttemptResult::MaybeExecuted(failure)
    }

    /// Returns a connection to the server: an idle one, or a new one if there is none or if an earlier
    /// attempt may have been executed. A failure on an idle connection is likely to repeat on the next idle
    /// one.
    ///
    /// # Errors
    ///
    /// The outcome to record for the attempt.
    async fn connect(&self, server: ServerHandle) -> Result<Box<UpstreamConnection>, Outcome> {
        if self.possible_executions == 0
            && let Some(connection) = self.node.pool.take_idle(server)
        {
            return Ok(connection);
        }
        let server_info =
            self.node.router.borrow().server(server).map(|info| (info.address, info.id.as_str().into()));
        let (address, id): (_, Arc<str>) = server_info.ok_or(Outcome::Cancelled)?;
        let permit = self.node.pool.reserve(server).ok_or(Outcome::Cancelled)?;
        let timeout = CONNECT_TIMEOUT.min(self.remaining());
        UpstreamConnection::open(address, server, id, permit, timeout).await.ok_or(Outcome::ConnectFailed)
    }

    /// Builds the request for a server. Also returns the minimum number of bytes that its head takes on the
    /// wire.
    fn upstream_request(&self, server_id: &str, body: BodySender) -> (Request<BodySender>, u64) {
        let mut request = Request::new(body);
        *request.method_mut() = self.request.method.clone();
        *request.uri_mut() = self.request.target.clone();
        let mut headers = self.request.headers.clone();
        let remaining_ms = self.remaining().as_millis().max(1) as u64;
        headers.insert(DEADLINE_MS, HeaderValue::from(remaining_ms));
        if let Ok(id) = HeaderValue::from_str(server_id) {
            headers.insert(EXPECT_INSTANCE, id);
        }
        if let Some(tenant) = self.admission.tenant {
            headers.insert(TENANT, self.configuration.tenant_header(tenant).clone());
        }
        let admission = &self.admission;
        if let Some(priority) = self.configuration.priority_header(admission.service, admission.priority) {
            headers.insert(PRIORITY, priority);
        }
        *request.headers_mut() = headers;
        let min_head_bytes = head_wire_bytes(&request);
        (request, min_head_bytes)
    }

    /// Evaluates the head of a response and reads its body if it is not relayed.
    async fn handle_response(
        &mut self,
        mut upstream: Box<UpstreamResponse>,
        attempt: AttemptGuard,
    ) -> AttemptResult {
        if !self.is_valid_response(&upstream) {
            self.node.pool.suspend_reuse(attempt.server());
            return self.finish_lost(attempt, RequestFailure::Broken);
        }
        self.observe_load(&upstream, attempt.server());
        let status = upstream.head.status;
        let not_executed = upstream.head.headers.contains_key(&NOT_EXECUTED);
        if not_executed || status == StatusCode::MISDIRECTED_REQUEST {
            return self.handle_rejection(upstream, attempt).await;
        }
        // Without a `NOT_EXECUTED` header the server may have executed the request, whatever its status means
        // to clients.
        if promises_no_execution(status) && !self.admission.policy.idempotent {
            return self.finish_lost(attempt, RequestFailure::Broken);
        }
        if self.is_event_stream(&upstream.head) {
            upstream.require_complete_events();
        }
        let length = upstream.body.size_hint().exact();
        // A response that ends with its connection may still be reset, so it is forwarded only once its end
        // has arrived.
        let is_streamed =
            length.map_or(!upstream.is_close_delimited, |length| length > MAX_BUFFERED_RESPONSE_BYTES as u64);
        if !self.admission.policy.idempotent {
            self.request.body.release();
        }
        if status.is_success() && (self.admission.policy.streaming || is_streamed) {
            self.record_possible_execution(&attempt);
            return AttemptResult::Stream(upstream, attempt);
        }
        let buffer_bytes = length.map_or(MAX_BUFFERED_RESPONSE_BYTES, |length| length as usize);
        let memory = match buffer_bytes <= MAX_BUFFERED_RESPONSE_BYTES {
            true => self.node.request_bodies.reserve_response(buffer_bytes),
            false => None,
        };
        // A response that can't be kept is relayed as it arrives.
        let Some(memory) = memory else {
            self.record_possible_execution(&attempt);
            return AttemptResult::Stream(upstream, attempt);
        };
        attempt.record_first_event();
        let Some(body) = upstream.read_to_end(MAX_BUFFERED_RESPONSE_BYTES, memory, &mut self.timer).await
        else {
            let timed_out = self.remaining() < MIN_REMAINING_TIME;
            return self.finish_lost(
                attempt,
                if timed_out { RequestFailure::TimedOut } else { RequestFailure::Broken },
            );
        };
        self.record_possible_execution(&attempt);
        let response = Box::new(forwarded_response(&mut upstream.head, ResponseBody::full(body)));
        self.return_to_pool_now(upstream.connection).await;
        if status.is_server_error() {
            attempt.finish(Outcome::ServerError);
            return AttemptResult::ServerError(response);
        }
        attempt.finish(Outcome::Served);
        AttemptResult::Response(response)
    }

    /// Whether this is the server's response to this request, with unambiguous framing and, if successful, a
    /// response seal.
    fn is_valid_response(&self, upstream: &UpstreamResponse) -> bool {
        let head = &upstream.head;
        let ids = head.headers.get_all(&REQUEST_ID);
        let matches_request = ids.iter().count() == 1 && ids.iter().all(|id| *id == self.request.id);
        let framed = edge_response::is_self_delimited(&head.headers, head.version)
            || edge_response::has_no_body(head.status)
            || upstream.is_close_delimited;
        let sealed = !head.status.is_success() || head.headers.contains_key(&RESPONSE_SEAL);
        matches_request && framed && sealed
    }

    /// Whether a response is an event stream. A successful response on a streaming route is one, unless its
    /// content type says otherwise.
    fn is_event_stream(&self, head: &http::response::Parts) -> bool {
        edge_response::states_event_stream(&head.headers)
            .unwrap_or(self.admission.policy.streaming && head.status.is_success())
    }

    fn observe_load(&self, upstream: &UpstreamResponse, server: ServerHandle) {
        let Some(load) = upstream.head.headers.get(&SERVER_LOAD).and_then(|load| load.to_str().ok()) else {
            return;
        };
        let mut values = load.split(',').map_while(|value| value.trim().parse::<u32>().ok());
        let (Some(running), Some(waiting), Some(slots)) = (values.next(), values.next(), values.next())
        else {
            return;
        };
        self.node.router.borrow_mut().observe_load(self.node.clock.now(), server, running, waiting, slots);
    }

    async fn handle_rejection(
        &mut self,
        mut upstream: Box<UpstreamResponse>,
        attempt: AttemptGuard,
    ) -> AttemptResult {
        let misdirected = upstream.head.status == StatusCode::MISDIRECTED_REQUEST;
        self.tried_servers.push(attempt.server());
        self.servers_sent_to += 1;
        self.restore_body_stage();
        attempt.finish(if misdirected { Outcome::WrongInstance } else { Outcome::Rejected });
        // After a misdirected request another server listens at the address, so the connection is closed.
        if !misdirected && upstream.discard_body(MAX_BUFFERED_RESPONSE_BYTES, &mut self.timer).await {
            self.return_to_pool_now(upstream.connection).await;
        }
        AttemptResult::Rejected
    }

    async fn return_to_pool_now(&self, connection: Box<UpstreamConnection>) {
        let mut connection = Some(connection);
        poll_fn(|cx| Poll::Ready(connection.take().map(|connection| self.return_to_pool(connection, cx))))
            .await;
    }

    /// Returns a connection to the pool once its response is complete.
    pub(crate) fn return_to_pool(&self, mut connection: Box<UpstreamConnection>, cx: &mut Context<'_>) {
        connection.finish_response();
        let usable = self.node.router.borrow().is_usable(connection.server());
        if usable && connection.is_reusable(cx) {
            self.node
                .pool
                .put_idle(connection, &self.configuration.fleet.services[self.admission.service].name);
        }
    }
}

/// Whether clients understand the status as a promise that the request was not and will not be executed.
fn promises_no_execution(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE | StatusCode::REQUEST_TIMEOUT
    )
}

/// Builds the client's response from the server's head, without hop-by-hop headers.
pub(crate) fn forwarded_response(
    head: &mut http::response::Parts,
    body: ResponseBody,
) -> Response<ResponseBody> {
    edge_response::prepare_for_forwarding(head);
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = std::mem::take(&mut head.headers);
    response
}

/// Returns the minimum number of bytes that the head of a request takes on the wire.
fn head_wire_bytes<B>(request: &Request<B>) -> u64 {
    let target = request.uri().path_and_query().map_or(1, |target| target.as_str().len());
    let line = request.method().as_str().len() + target + "  HTTP/1.1\r\n".len();
    let fields =
        request.headers().iter().map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    (line + fields.sum::<usize>() + "\r\n".len()) as u64
}
