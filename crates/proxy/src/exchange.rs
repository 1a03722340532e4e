//! A client's request on its way to servers, until one answer stands.

use std::future::poll_fn;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use dunelink_edge::answer as reading;
use dunelink_routing::{Decision, Outcome, RoutingRequest, ServerHandle};
use http::header::HeaderValue;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use tokio::time::Instant;

use crate::admission::Admitted;
use crate::answer::{
    AnswerBody, DEADLINE, EXPECT_INSTANCE, LAST_EVENT_ID, NOT_EXECUTED, REQUEST_ID, SEAL, SERVER_LOAD, TENANT,
};
use crate::configuration::Configuration;
use crate::node::Node;
use crate::request::ClientRequest;
use crate::stream::Passing;
use crate::table::Unanswered;
use crate::tracked::Tracked;
use crate::upstream::{Alarm, Answered, Link, Sent};

/// How long a connection to a server may take to open.
const CONNECT_WITHIN: Duration = Duration::from_millis(400);
/// Servers that could not be reached, at most, before a request is given up: nothing was sent to them.
const UNREACHED_MOST: u32 = 3;
/// Answers of up to this many bytes are read whole before they are passed on, so that a server that breaks off can
/// be replaced.
const WHOLE_MOST: usize = 256 * 1024;
/// Part of the target latency that a request waits for room, at most.
const WAIT_PART: f64 = 0.25;
/// A server may be silent for so long, or for so many target latencies, before a request that may run twice goes to
/// another one.
const SILENCE_LEAST: Duration = Duration::from_millis(1_200);
const SILENCE_TARGETS: f64 = 2.5;
/// The same for a stream that has begun, in aimed pauses between its events.
const PAUSE_LEAST: Duration = Duration::from_millis(1_000);
const PAUSE_AIMS: f64 = 2.0;
/// A request is not sent with less time left than this.
const TIME_LEAST: Duration = Duration::from_millis(5);

/// A request and what became of it so far.
pub struct Exchange {
    pub(crate) node: Rc<Node>,
    configuration: Rc<Configuration>,
    request: ClientRequest,
    pub(crate) admitted: Admitted,
    /// Fires when the client or the operator wants it to end.
    pub(crate) alarm: Alarm,
    tried: Vec<ServerHandle>,
    /// Servers that may have run it.
    ran: u32,
    /// Servers that the request was sent to.
    sent: u32,
    unreached: u32,
    waited: Duration,
}

/// What became of one attempt.
enum Attempted {
    /// This answer stands, if nothing better can be had.
    Answer(Box<Response<AnswerBody>>),
    /// A stream begins.
    Stream(Box<Answered>, Tracked),
    /// A server's own failure, after it ran.
    Failed(Box<Response<AnswerBody>>),
    /// The server said that it did not run it.
    Rejected,
    /// Nothing was sent.
    Unreached,
    /// It may have run.
    Lost(Unanswered),
}

impl Exchange {
    /// A request that was admitted at `began`.
    pub fn new(
        node: Rc<Node>,
        configuration: Rc<Configuration>,
        request: ClientRequest,
        admitted: Admitted,
        began: Instant,
    ) -> Self {
        let timeout = Duration::from_millis(admitted.policy.timeout_ms);
        let ends_at = began + request.deadline.map_or(timeout, |deadline| deadline.min(timeout));
        Self {
            node,
            configuration,
            request,
            admitted,
            alarm: Alarm::new(ends_at),
            tried: Vec::new(),
            ran: 0,
            sent: 0,
            unreached: 0,
            waited: Duration::ZERO,
        }
    }

    /// Sends the request until one answer stands.
    pub async fn run(mut self) -> Response<AnswerBody> {
        let mut failed = None;
        loop {
            match self.next().await {
                Ok(Attempted::Answer(response)) => return *response,
                Ok(Attempted::Stream(answered, tracked)) => return self.begin_stream(answered, tracked),
                Ok(Attempted::Failed(response)) => {
                    failed = Some(response);
                    if !self.may_repeat() {
                        break;
                    }
                }
                Ok(Attempted::Rejected) => {
                    if !self.may_repeat() {
                        break;
                    }
                }
                Ok(Attempted::Unreached) => {}
                Ok(Attempted::Lost(how)) => {
                    if !self.may_repeat() {
                        return self.settle(how);
                    }
                }
                Err(how) => return failed.map_or_else(|| self.settle(how), |response| *response),
            }
        }
        failed.map_or_else(|| self.settle(Unanswered::REJECTED), |response| *response)
    }

    /// Takes a broken stream up at another server; nothing if that can't be.
    /// The first try was charged by [`Self::may_repeat`].
    pub(crate) async fn resume(
        mut self,
        last_event_id: Option<HeaderValue>,
    ) -> (Self, Option<(Box<Answered>, Tracked)>) {
        if let Some(last) = last_event_id {
            self.request.headers.insert(LAST_EVENT_ID, last);
        }
        loop {
            match self.next().await {
                Ok(Attempted::Stream(answered, tracked)) => return (self, Some((answered, tracked))),
                Ok(Attempted::Unreached) => {}
                Ok(Attempted::Rejected | Attempted::Lost(_)) if self.may_repeat() => {}
                Ok(_) | Err(_) => return (self, None),
            }
        }
    }

    /// The answer when no server's stands.
    fn settle(&self, how: Unanswered) -> Response<AnswerBody> {
        let how = match how {
            Unanswered::NotRun { .. } if self.ran > 0 => Unanswered::Broken,
            Unanswered::TimedOut if self.ran == 0 => Unanswered::REJECTED,
            how => how,
        };
        if self.ran == 0
            && let Some(tenant) = self.admitted.tenant
        {
            let name = &self.configuration.fleet.tenants[tenant].name;
            self.node.quota.borrow_mut().refund(name, self.admitted.units);
        }
        how.within(self.left()).reply().response(Some(&self.request.id))
    }

    /// Whether the request may be sent once more; that is charged to the budget of repeats.
    pub(crate) fn may_repeat(&self) -> bool {
        if self.sent == 0 {
            return true;
        }
        if !self.is_repeatable() || self.left() < TIME_LEAST {
            return false;
        }
        let service = &self.configuration.fleet.services[self.admitted.service].name;
        self.node.retries.borrow_mut().try_repeat(self.node.clock.now(), service)
    }

    /// Whether what is known of the request lets it go to one more server.
    fn is_repeatable(&self) -> bool {
        let policy = &self.admitted.policy;
        let runs = self.ran == 0 || policy.idempotent && self.ran < policy.max_attempts;
        runs && self.sent <= policy.max_attempts
    }

    /// How long a server may be silent before the request is sent to another one; nothing if it can't be.
    fn silence(&self) -> Option<Duration> {
        let policy = &self.admitted.policy;
        let target = Duration::from_millis(policy.target_latency_ms);
        let silence = SILENCE_LEAST.max(target.mul_f64(SILENCE_TARGETS));
        let repeatable = policy.idempotent && self.ran + 1 < policy.max_attempts;
        (repeatable && self.left() > silence + target).then_some(silence)
    }

    /// How long a stream that may be taken up elsewhere may pause.
    pub(crate) fn pause(&self) -> Duration {
        let aim = Duration::from_millis(self.admitted.policy.gap_aim_ms);
        PAUSE_LEAST.max(aim.mul_f64(PAUSE_AIMS))
    }

    fn left(&self) -> Duration {
        self.alarm.ends_at().saturating_duration_since(Instant::now())
    }

    /// Makes the next attempt, after waiting for room if there is none.
    async fn next(&mut self) -> Result<Attempted, Unanswered> {
        loop {
            if self.left() < TIME_LEAST {
                return Err(Unanswered::TimedOut);
            }
            match self.choose() {
                Decision::Send { server, attempt } => {
                    let tracked = Tracked::new(self.node.clone(), attempt, server);
                    return Ok(self.attempt(tracked).await);
                }
                Decision::Wait { retry_in } => self.wait(Duration::from_micros(retry_in)).await?,
                Decision::Refuse { retry_after, .. } => {
                    return Err(Unanswered::NotRun { retry_after: Duration::from_micros(retry_after) });
                }
            }
        }
    }

    fn choose(&self) -> Decision {
        let fleet = &self.configuration.fleet;
        let (tokens_in, tokens_out) = self.request.prompt.tokens.unwrap_or_default();
        let asked = RoutingRequest {
            service: &fleet.services[self.admitted.service].name,
            tenant: self.admitted.tenant.map(|tenant| fleet.tenants[tenant].name.as_str()),
            parts: &self.request.prompt.parts,
            tokens_in,
            tokens_out,
            priority: self.admitted.priority,
            target_latency: self.admitted.policy.target_latency_ms * 1_000,
            remaining: self.left().as_micros() as u64,
            excluded: &self.tried,
            first_try: self.sent == 0,
        };
        self.node.router.borrow_mut().choose(self.node.clock.now(), &asked)
    }

    /// Waits for room, within a part of the target latency in all.
    async fn wait(&mut self, time: Duration) -> Result<(), Unanswered> {
        let most = Duration::from_millis(self.admitted.policy.target_latency_ms).mul_f64(WAIT_PART);
        if self.waited + time > most {
            return Err(Unanswered::REJECTED);
        }
        self.waited += time;
        tokio::time::sleep(time).await;
        Ok(())
    }

    /// One attempt at a server, up to an answer that was read whole or a stream's head.
    async fn attempt(&mut self, tracked: Tracked) -> Attempted {
        let server = tracked.server();
        loop {
            let mut link = match self.connect(server).await {
                Ok(link) => link,
                Err(outcome) => return self.unreached(tracked, outcome),
            };
            if !self.node.router.borrow().is_usable(server) {
                return self.unreached(tracked, Outcome::Cancelled);
            }
            if !poll_fn(|cx| Poll::Ready(link.is_quiet(cx))).await {
                continue;
            }
            let fresh = link.is_fresh();
            let (request, length) = self.outgoing(link.server_id());
            self.alarm.watch(self.silence(), link.heard());
            tracked.sent();
            match link.send(request, length, &mut self.alarm).await {
                Sent::Answered(answered) => return self.answered(answered, tracked).await,
                // An idle connection that was closing.
                Sent::NotSent if !fresh => {}
                Sent::NotSent => return self.unreached(tracked, Outcome::ConnectFailed),
                Sent::Broken => return self.lost(tracked, Unanswered::Broken),
                Sent::TimedOut(_) => return self.lost(tracked, Unanswered::TimedOut),
            }
        }
    }

    fn unreached(&mut self, tracked: Tracked, outcome: Outcome) -> Attempted {
        self.tried.push(tracked.server());
        self.unreached += 1;
        tracked.end(outcome);
        match self.unreached < UNREACHED_MOST {
            true => Attempted::Unreached,
            false => Attempted::Lost(Unanswered::REJECTED),
        }
    }

    fn lost(&mut self, tracked: Tracked, how: Unanswered) -> Attempted {
        self.node.pool.forget(tracked.server());
        self.tried.push(tracked.server());
        self.sent += 1;
        self.ran += 1;
        tracked.end(if how == Unanswered::TimedOut { Outcome::TimedOut } else { Outcome::Broken });
        Attempted::Lost(how)
    }

    /// An idle connection to the server or a new one.
    ///
    /// # Errors
    ///
    /// What the attempt ends as.
    async fn connect(&self, server: ServerHandle) -> Result<Box<Link>, Outcome> {
        if let Some(link) = self.node.pool.take(server) {
            return Ok(link);
        }
        let known =
            self.node.router.borrow().server(server).map(|info| (info.address, info.id.as_str().into()));
        let (address, id): (_, Arc<str>) = known.ok_or(Outcome::Cancelled)?;
        let place = self.node.pool.place(server).ok_or(Outcome::Cancelled)?;
        let patience = CONNECT_WITHIN.min(self.left());
        Link::open(address, server, id, place, patience).await.ok_or(Outcome::ConnectFailed)
    }

    /// The request as a server gets it, and how many bytes it has on the wire at least.
    fn outgoing(&self, server_id: &str) -> (Request<Full<Bytes>>, u64) {
        let mut request = Request::new(Full::new(self.request.body.clone()));
        *request.method_mut() = self.request.method.clone();
        *request.uri_mut() = self.request.target.clone();
        let mut headers = self.request.headers.clone();
        let left = self.left().as_millis().max(1) as u64;
        headers.insert(DEADLINE, HeaderValue::from(left));
        if let Ok(id) = HeaderValue::from_str(server_id) {
            headers.insert(EXPECT_INSTANCE, id);
        }
        if let Some(tenant) = self.admitted.tenant {
            headers.insert(TENANT, self.configuration.tenant_value(tenant).clone());
        }
        *request.headers_mut() = headers;
        let length = head_length(&request) + self.request.body.len() as u64;
        (request, length)
    }

    /// Reads what a server answered.
    async fn answered(&mut self, mut answered: Box<Answered>, tracked: Tracked) -> Attempted {
        if !self.is_answer(&answered) {
            return self.lost(tracked, Unanswered::Broken);
        }
        self.observe_load(&answered, tracked.server());
        let status = answered.head.status;
        let declined = answered.head.headers.contains_key(&NOT_EXECUTED);
        if declined || status == StatusCode::MISDIRECTED_REQUEST {
            return self.rejected(answered, tracked).await;
        }
        // Without that word it may have run, whatever the status promises to a client.
        if is_promise(status) && !self.admitted.policy.idempotent {
            return self.lost(tracked, Unanswered::Broken);
        }
        let length = hyper::body::Body::size_hint(&answered.body).exact();
        let passes = length.is_none_or(|length| length > WHOLE_MOST as u64);
        if status.is_success() && (self.admitted.policy.streaming || passes) {
            self.sent += 1;
            self.ran += 1;
            self.tried.push(tracked.server());
            return Attempted::Stream(answered, tracked);
        }
        tracked.first_event();
        let Some(body) = answered.whole(WHOLE_MOST, &mut self.alarm).await else {
            let late = self.left() < TIME_LEAST;
            return self.lost(tracked, if late { Unanswered::TimedOut } else { Unanswered::Broken });
        };
        self.sent += 1;
        self.ran += 1;
        self.tried.push(tracked.server());
        let response = Box::new(passed_on(&mut answered.head, AnswerBody::whole(body)));
        self.keep_now(answered.link).await;
        if status.is_server_error() {
            tracked.end(Outcome::ServerError);
            return Attempted::Failed(response);
        }
        tracked.end(Outcome::Served);
        Attempted::Answer(response)
    }

    /// Whether what came is a server's answer to this request, with an end that can be told.
    fn is_answer(&self, answered: &Answered) -> bool {
        let head = &answered.head;
        let ids = head.headers.get_all(&REQUEST_ID);
        let own = ids.iter().count() == 1 && ids.iter().all(|id| *id == self.request.id);
        let framed =
            reading::states_its_end(&head.headers, head.version) || reading::has_no_body(head.status);
        let stamped = !head.status.is_success() || head.headers.contains_key(&SEAL);
        own && framed && stamped
    }

    fn observe_load(&self, answered: &Answered, server: ServerHandle) {
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

    async fn rejected(&mut self, mut answered: Box<Answered>, tracked: Tracked) -> Attempted {
        let wrong = answered.head.status == StatusCode::MISDIRECTED_REQUEST;
        self.tried.push(tracked.server());
        self.sent += 1;
        tracked.end(if wrong { Outcome::WrongInstance } else { Outcome::Rejected });
        // Where another server listens now, the connection is of no use.
        if !wrong && answered.whole(WHOLE_MOST, &mut self.alarm).await.is_some() {
            self.keep_now(answered.link).await;
        }
        Attempted::Rejected
    }

    async fn keep_now(&self, link: Box<Link>) {
        let mut link = Some(link);
        poll_fn(|cx| Poll::Ready(link.take().map(|link| self.keep(link, cx)))).await;
    }

    /// Keeps a connection whose answer has come whole.
    pub(crate) fn keep(&self, mut link: Box<Link>, cx: &mut Context<'_>) {
        let usable = self.node.router.borrow().is_usable(link.server());
        if usable && link.is_quiet(cx) {
            self.node.pool.keep(link, &self.configuration.fleet.services[self.admitted.service].name);
        }
    }

    fn begin_stream(self, mut answered: Box<Answered>, tracked: Tracked) -> Response<AnswerBody> {
        let length = hyper::body::Body::size_hint(&answered.body).exact();
        let mut head = std::mem::replace(&mut answered.head, Response::new(()).into_parts().0);
        passed_on(&mut head, AnswerBody::passing(Passing::new(self, answered, tracked, length)))
    }

    /// What the client's own `Last-Event-Id` says.
    pub(crate) fn last_event_id(&self) -> Option<HeaderValue> {
        self.request.headers.get(&LAST_EVENT_ID).cloned()
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
fn passed_on(head: &mut http::response::Parts, body: AnswerBody) -> Response<AnswerBody> {
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
