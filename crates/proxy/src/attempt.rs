//! One attempt of a request at a server, up to an answer that was read whole or a stream's head.

use std::future::poll_fn;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use dunelink_edge::answer as reading;
use dunelink_routing::{Outcome, ServerHandle};
use http::header::HeaderValue;
use http::{Request, Response, StatusCode};
use http_body::Body;
use http_body_util::Full;

use crate::attempt_guard::AttemptGuard;
use crate::exchange::{Exchange, TIME_LEAST};
use crate::request_failure::RequestFailure;
use crate::response::{
    DEADLINE_MS, EXPECT_INSTANCE, NOT_EXECUTED, PRIORITY, REQUEST_ID, RESPONSE_SEAL, ResponseBody,
    SERVER_LOAD, TENANT,
};
use crate::upstream::{SendResult, UpstreamConnection, UpstreamResponse};

/// How long a connection to a server may take to open.
const CONNECT_WITHIN: Duration = Duration::from_millis(400);
/// Answers of up to this many bytes are read whole before they are passed on, so that a server that breaks off can
/// be replaced.
const WHOLE_MOST: usize = 256 * 1024;

/// What became of one attempt.
pub(crate) enum AttemptResult {
    /// This answer stands, if nothing better can be had.
    Response(Box<Response<ResponseBody>>),
    /// A stream begins.
    Stream(Box<UpstreamResponse>, AttemptGuard),
    /// A server's own failure, after it ran.
    ServerError(Box<Response<ResponseBody>>),
    /// The server said that it did not run it.
    Rejected,
    /// Nothing was sent.
    NotSent,
    /// It may have run.
    MaybeExecuted(RequestFailure),
}

impl Exchange {
    /// One attempt at a server, up to an answer that was read whole or a stream's head.
    pub(crate) async fn attempt(&mut self, tracked: AttemptGuard) -> AttemptResult {
        let server = tracked.server();
        loop {
            let mut link = match self.connect(server).await {
                Ok(link) => link,
                Err(outcome) => return self.finish_unsent(tracked, outcome),
            };
            // What has changed while the connection came up.
            if !self.node.router.borrow().is_usable(server) || self.shutdown_before_deadline().is_some() {
                return self.finish_unsent(tracked, Outcome::Cancelled);
            }
            if !poll_fn(|cx| Poll::Ready(link.is_reusable(cx))).await {
                continue;
            }
            let fresh = link.is_new();
            let (request, length) = self.outgoing(link.server_id());
            self.timer.set_silence_timeout(self.silence_timeout(), link.activity());
            tracked.record_sent();
            match link.send(request, length, &mut self.timer).await {
                SendResult::Response(answered) => return self.answered(answered, tracked).await,
                // An idle connection that was closing.
                SendResult::NotSent if !fresh => {}
                SendResult::NotSent => return self.finish_unsent(tracked, Outcome::ConnectFailed),
                SendResult::Broken => return self.finish_lost(tracked, RequestFailure::Broken),
                SendResult::TimedOut(_) => return self.finish_lost(tracked, RequestFailure::TimedOut),
            }
        }
    }

    /// The server may have run it.
    fn note_run(&mut self, tracked: &AttemptGuard) {
        self.tried.push(tracked.server());
        self.servers_sent_to += 1;
        self.possible_executions += 1;
    }

    fn finish_unsent(&mut self, tracked: AttemptGuard, outcome: Outcome) -> AttemptResult {
        self.tried.push(tracked.server());
        self.unsent_attempts += 1;
        tracked.finish(outcome);
        AttemptResult::NotSent
    }

    fn finish_lost(&mut self, tracked: AttemptGuard, how: RequestFailure) -> AttemptResult {
        self.node.pool.close_idle(tracked.server());
        self.note_run(&tracked);
        tracked.finish(if how == RequestFailure::TimedOut { Outcome::TimedOut } else { Outcome::Broken });
        AttemptResult::MaybeExecuted(how)
    }

    /// A connection to the server: an idle one for a first try, else a new one. What went wrong on an idle connection
    /// may well go wrong on the next.
    ///
    /// # Errors
    ///
    /// What the attempt ends as.
    async fn connect(&self, server: ServerHandle) -> Result<Box<UpstreamConnection>, Outcome> {
        if self.possible_executions == 0
            && let Some(link) = self.node.pool.take_idle(server)
        {
            return Ok(link);
        }
        let known =
            self.node.router.borrow().server(server).map(|info| (info.address, info.id.as_str().into()));
        let (address, id): (_, Arc<str>) = known.ok_or(Outcome::Cancelled)?;
        let place = self.node.pool.reserve(server).ok_or(Outcome::Cancelled)?;
        let patience = CONNECT_WITHIN.min(self.remaining());
        UpstreamConnection::open(address, server, id, place, patience).await.ok_or(Outcome::ConnectFailed)
    }

    /// The request as a server gets it, and how many bytes it has on the wire at least.
    fn outgoing(&self, server_id: &str) -> (Request<Full<Bytes>>, u64) {
        let mut request = Request::new(Full::new(self.request.body.clone()));
        *request.method_mut() = self.request.method.clone();
        *request.uri_mut() = self.request.target.clone();
        let mut headers = self.request.headers.clone();
        let left = self.remaining().as_millis().max(1) as u64;
        headers.insert(DEADLINE_MS, HeaderValue::from(left));
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
        let length = head_length(&request) + self.request.body.len() as u64;
        (request, length)
    }

    /// Reads what a server answered.
    async fn answered(
        &mut self,
        mut answered: Box<UpstreamResponse>,
        tracked: AttemptGuard,
    ) -> AttemptResult {
        if !self.is_answer(&answered) {
            self.node.pool.suspend_reuse(tracked.server());
            return self.finish_lost(tracked, RequestFailure::Broken);
        }
        self.observe_load(&answered, tracked.server());
        let status = answered.head.status;
        let declined = answered.head.headers.contains_key(&NOT_EXECUTED);
        if declined || status == StatusCode::MISDIRECTED_REQUEST {
            return self.rejected(answered, tracked).await;
        }
        // Without that word it may have run, whatever the status promises to a client.
        if is_promise(status) && !self.admission.policy.idempotent {
            return self.finish_lost(tracked, RequestFailure::Broken);
        }
        let length = answered.body.size_hint().exact();
        // One that ends with its connection may be reset at its end: it is passed on only when that has come.
        let passes = length.map_or(!answered.is_close_delimited, |length| length > WHOLE_MOST as u64);
        if status.is_success() && (self.admission.policy.streaming || passes) {
            self.note_run(&tracked);
            return AttemptResult::Stream(answered, tracked);
        }
        tracked.record_first_event();
        let Some(body) = answered.read_to_end(WHOLE_MOST, &mut self.timer).await else {
            let late = self.remaining() < TIME_LEAST;
            return self
                .finish_lost(tracked, if late { RequestFailure::TimedOut } else { RequestFailure::Broken });
        };
        self.note_run(&tracked);
        let response = Box::new(passed_on(&mut answered.head, ResponseBody::full(body)));
        self.keep_now(answered.connection).await;
        if status.is_server_error() {
            tracked.finish(Outcome::ServerError);
            return AttemptResult::ServerError(response);
        }
        tracked.finish(Outcome::Served);
        AttemptResult::Response(response)
    }

    /// Whether what came is a server's answer to this request, with an end that can be told.
    fn is_answer(&self, answered: &UpstreamResponse) -> bool {
        let head = &answered.head;
        let ids = head.headers.get_all(&REQUEST_ID);
        let own = ids.iter().count() == 1 && ids.iter().all(|id| *id == self.request.id);
        let framed = reading::states_its_end(&head.headers, head.version)
            || reading::has_no_body(head.status)
            || answered.is_close_delimited;
        let stamped = !head.status.is_success() || head.headers.contains_key(&RESPONSE_SEAL);
        own && framed && stamped
    }

    fn observe_load(&self, answered: &UpstreamResponse, server: ServerHandle) {
        let Some(load) = answered.head.headers.get(&SERVER_LOAD).and_then(|load| load.to_str().ok()) else {
            return;
        };
        let mut figures = load.split(',').map_while(|figure| figure.trim().parse::<u32>().ok());
        let (Some(running), Some(waiting), Some(slots)) = (figures.next(), figures.next(), figures.next())
        else {
            return;
        };
        self.node.router.borrow_mut().observe_load(self.node.clock.now(), server, running, waiting, slots);
    }

    async fn rejected(
        &mut self,
        mut answered: Box<UpstreamResponse>,
        tracked: AttemptGuard,
    ) -> AttemptResult {
        let wrong = answered.head.status == StatusCode::MISDIRECTED_REQUEST;
        self.tried.push(tracked.server());
        self.servers_sent_to += 1;
        tracked.finish(if wrong { Outcome::WrongInstance } else { Outcome::Rejected });
        // Where another server listens now, the connection is of no use.
        if !wrong && answered.read_to_end(WHOLE_MOST, &mut self.timer).await.is_some() {
            self.keep_now(answered.connection).await;
        }
        AttemptResult::Rejected
    }

    async fn keep_now(&self, link: Box<UpstreamConnection>) {
        let mut link = Some(link);
        poll_fn(|cx| Poll::Ready(link.take().map(|link| self.keep(link, cx)))).await;
    }

    /// Keeps a connection whose answer has come whole.
    pub(crate) fn keep(&self, mut link: Box<UpstreamConnection>, cx: &mut Context<'_>) {
        let usable = self.node.router.borrow().is_usable(link.server());
        if usable && link.is_reusable(cx) {
            self.node.pool.put_idle(link, &self.configuration.fleet.services[self.admission.service].name);
        }
    }
}

/// Whether a status tells clients that the request has not run and never will.
fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE | StatusCode::REQUEST_TIMEOUT
    )
}

/// A server's answer as its client gets it.
pub(crate) fn passed_on(head: &mut http::response::Parts, body: ResponseBody) -> Response<ResponseBody> {
    reading::onward(head);
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = std::mem::take(&mut head.headers);
    response
}

/// How many bytes a request's head has on the wire at least.
fn head_length<B>(request: &Request<B>) -> u64 {
    let target = request.uri().path_and_query().map_or(1, |target| target.as_str().len());
    let line = request.method().as_str().len() + target + "  HTTP/1.1\r\n".len();
    let fields =
        request.headers().iter().map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    (line + fields.sum::<usize>() + "\r\n".len()) as u64
}
