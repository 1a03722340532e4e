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

use crate::answer::{
    AnswerBody, DEADLINE, EXPECT_INSTANCE, NOT_EXECUTED, PRIORITY, REQUEST_ID, SEAL, SERVER_LOAD, TENANT,
};
use crate::exchange::{Exchange, TIME_LEAST};
use crate::table::Unanswered;
use crate::tracked::Tracked;
use crate::upstream::{Answered, Link, Sent};

/// How long a connection to a server may take to open.
const CONNECT_WITHIN: Duration = Duration::from_millis(400);
/// Answers of up to this many bytes are read whole before they are passed on, so that a server that breaks off can
/// be replaced.
const WHOLE_MOST: usize = 256 * 1024;

/// What became of one attempt.
pub(crate) enum Attempted {
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
    /// One attempt at a server, up to an answer that was read whole or a stream's head.
    pub(crate) async fn attempt(&mut self, tracked: Tracked) -> Attempted {
        let server = tracked.server();
        loop {
            let mut link = match self.connect(server).await {
                Ok(link) => link,
                Err(outcome) => return self.unreached(tracked, outcome),
            };
            // What has changed while the connection came up.
            if !self.node.router.borrow().is_usable(server) || self.outlasted().is_some() {
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

    /// The server may have run it.
    fn note_run(&mut self, tracked: &Tracked) {
        self.tried.push(tracked.server());
        self.sent += 1;
        self.ran += 1;
    }

    fn unreached(&mut self, tracked: Tracked, outcome: Outcome) -> Attempted {
        self.tried.push(tracked.server());
        self.unreached += 1;
        tracked.end(outcome);
        Attempted::Unreached
    }

    fn lost(&mut self, tracked: Tracked, how: Unanswered) -> Attempted {
        self.node.pool.forget(tracked.server());
        self.note_run(&tracked);
        tracked.end(if how == Unanswered::TimedOut { Outcome::TimedOut } else { Outcome::Broken });
        Attempted::Lost(how)
    }

    /// A connection to the server: an idle one for a first try, else a new one. What went wrong on an idle connection
    /// may well go wrong on the next.
    ///
    /// # Errors
    ///
    /// What the attempt ends as.
    async fn connect(&self, server: ServerHandle) -> Result<Box<Link>, Outcome> {
        if self.ran == 0
            && let Some(link) = self.node.pool.take(server)
        {
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
        let admitted = &self.admitted;
        if let Some(priority) = self.configuration.priority_value(admitted.service, admitted.priority) {
            headers.insert(PRIORITY, priority);
        }
        *request.headers_mut() = headers;
        let length = head_length(&request) + self.request.body.len() as u64;
        (request, length)
    }

    /// Reads what a server answered.
    async fn answered(&mut self, mut answered: Box<Answered>, tracked: Tracked) -> Attempted {
        if !self.is_answer(&answered) {
            self.node.pool.stop_reuse(tracked.server());
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
        let length = answered.body.size_hint().exact();
        // One that ends with its connection may be reset at its end: it is passed on only when that has come.
        let passes = length.map_or(!answered.is_unframed, |length| length > WHOLE_MOST as u64);
        if status.is_success() && (self.admitted.policy.streaming || passes) {
            self.note_run(&tracked);
            return Attempted::Stream(answered, tracked);
        }
        tracked.first_event();
        let Some(body) = answered.whole(WHOLE_MOST, &mut self.alarm).await else {
            let late = self.left() < TIME_LEAST;
            return self.lost(tracked, if late { Unanswered::TimedOut } else { Unanswered::Broken });
        };
        self.note_run(&tracked);
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
        let framed = reading::states_its_end(&head.headers, head.version)
            || reading::has_no_body(head.status)
            || answered.is_unframed;
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
}

/// Whether a status tells clients that the request has not run and never will.
fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE | StatusCode::REQUEST_TIMEOUT
    )
}

/// A server's answer as its client gets it.
pub(crate) fn passed_on(head: &mut http::response::Parts, body: AnswerBody) -> Response<AnswerBody> {
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
