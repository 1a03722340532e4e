//! One attempt at a server, from its connection to its outcome.

use std::cell::Cell;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use cherryusher::{Outcome, ServerId};
use dunelink_edge::answer::{self, Meaning};
use dunelink_edge::fields::DEADLINE;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::ext::on_informational;
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

use crate::answer_body::{AnswerBody, Tap};
use crate::config::FinalAnswers;
use crate::line::Line;
use crate::payload::OutgoingBody;
use crate::pieces::Pieces;
use crate::servers::{Connection, Servers, Spare};
use crate::types::Outgoing;

/// An answer of which nothing more comes for so long will never be whole.
const MORE_WITHIN: Duration = Duration::from_millis(600);
/// The most hints (1xx) ahead of an answer.
const HINTS_MOST: usize = 16;

impl Outgoing {
    fn request(&self) -> Option<Request<OutgoingBody>> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let left = self.body.patience().unwrap_or(left).as_secs_f64();
        let mut request = Request::new(self.body.body()?);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone().into();
        *request.headers_mut() = self.headers.clone();
        request.headers_mut().insert(DEADLINE, HeaderValue::from_str(&format!("{left:.3}")).ok()?);
        Some(request)
    }
}

/// How many bytes a request is on the socket, as hyper writes it when every header is given.
fn length(request: &Request<OutgoingBody>, body: u64) -> u64 {
    let first =
        request.method().as_str().len() + request.uri().path_and_query().map_or(1, |p| p.as_str().len());
    let headers: usize =
        request.headers().iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
    (first + " HTTP/1.1\r\n".len() + 1 + headers + 2) as u64 + body
}

/// An attempt on its connection. A vanished machine is silent on all the connections that it had, and each
/// idle one would cost another attempt, perhaps an unsafe one, its whole time; a new one fails at once, and
/// surely never ran.
struct Unanswered<'a> {
    servers: &'a Servers,
    server: ServerId,
    sent: Instant,
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        self.servers.doubt(self.server, self.sent);
    }
}

/// How an attempt ended.
pub(crate) struct Attempted {
    pub(crate) outcome: Outcome,
    pub(crate) response: Option<Response<AnswerBody>>,
    pub(crate) spare: Option<Spare>,
}

impl Attempted {
    pub(crate) fn of(outcome: Outcome) -> Attempted {
        Attempted { outcome, response: None, spare: None }
    }
}

/// What has been read of an answer's body.
enum Read {
    Whole(Bytes),
    /// It is longer than what is held: this has come of it.
    Long(Bytes),
    Broken,
}

/// Reads a body as far as it can be held.
async fn read(body: &mut Incoming, most: usize) -> Read {
    if body.size_hint().lower() > most as u64 {
        return Read::Long(Bytes::new());
    }
    let mut pieces = Pieces::default();
    while pieces.len() <= most {
        match body.frame().await {
            None => return Read::Whole(pieces.whole()),
            Some(Err(_)) => return Read::Broken,
            Some(Ok(frame)) => pieces.push(frame.into_data().unwrap_or_default()),
        }
    }
    Read::Long(pieces.whole())
}

impl Servers {
    /// One attempt, to its end. It may begin `until` then.
    pub(crate) async fn attempt(
        self: &Rc<Self>,
        outgoing: &Outgoing,
        server: ServerId,
        until: Option<Instant>,
    ) -> Attempted {
        if !outgoing.is_wanted() {
            return Attempted::of(Outcome::NotSent);
        }
        let begun = Cell::new(false);
        self.tries(server);
        tokio::select! {
            biased;
            ended = self.send(outgoing, server, until, &begun) => ended,
            () = outgoing.body.over(outgoing.deadline) => match begun.get() {
                true => Attempted::of(Outcome::TimedOut),
                false => Attempted::of(Outcome::NotSent),
            },
        }
    }

    /// What every attempt passes last before its first byte, whatever it has waited for since it was decided on: whether
    /// the request is still wanted, may still go again, and may still go to its server, by this connection.
    fn may_begin(
        &self,
        outgoing: &Outgoing,
        server: ServerId,
        until: Option<Instant>,
        connection: &Connection,
    ) -> bool {
        outgoing.is_wanted()
            && until.is_none_or(|until| Instant::now() < until)
            && self.whereabouts(server) == Some((connection.endpoint, connection.started))
    }

    /// Sends the request on an idle connection or a new one; `begun` is set once it may be on the socket.
    async fn send(
        self: &Rc<Self>,
        outgoing: &Outgoing,
        server: ServerId,
        until: Option<Instant>,
        begun: &Cell<bool>,
    ) -> Attempted {
        loop {
            let kept = if self.wary(outgoing) { None } else { self.take_idle(server) };
            let (mut connection, fresh) = match kept {
                Some(connection) => (connection, false),
                None => {
                    let Some(there) = self.whereabouts(server) else {
                        return Attempted::of(Outcome::NotSent);
                    };
                    match self.connect(there).await {
                        Ok(connection) => (connection, true),
                        Err(outcome) => return Attempted::of(outcome),
                    }
                }
            };
            if !self.may_begin(outgoing, server, until, &connection) {
                // What was just opened for it serves the next.
                let spare = Some(Spare { server, connection });
                return Attempted { spare, ..Attempted::of(Outcome::NotSent) };
            }
            let Some(mut request) = outgoing.request() else { return Attempted::of(Outcome::NotSent) };
            let hints = Arc::new(AtomicUsize::new(0));
            let heard_hint = hints.clone();
            on_informational(&mut request, move |_| {
                heard_hint.fetch_add(1, Ordering::Relaxed);
            });
            let line = connection.line.clone();
            let before = line.written();
            let stated = outgoing.body.length().map(|body| length(&request, body));
            begun.set(true);
            let _unanswered = Unanswered { servers: self, server, sent: Instant::now() };
            line.forget_what_came();
            line.count_at(stated.map(|whole| before + whole));
            let mut stuck = pin!(stuck(&line, &hints));
            let answered = tokio::select! {
                biased;
                answered = connection.sender.send_request(request) => answered,
                // What has come is no answer, nor will be one.
                () = stuck.as_mut() => return Attempted::of(Outcome::Reset),
            };
            let written = line.written() - before;
            // Where no length is stated, its end is written with or after its last piece.
            let whole = stated.map_or(outgoing.body.has_ended(), |whole| written >= whole);
            if whole && stated.is_none() {
                self.tally.attempted();
            }
            let response = match answered {
                Ok(response) => {
                    self.heard(server);
                    response
                }
                // Nothing of it has left: an idle connection that was closing. A new one is no second copy.
                Err(_) if written == 0 && !fresh => {
                    begun.set(false);
                    continue;
                }
                // A server begins a request when its last byte has come.
                Err(_) if !whole => return Attempted::of(Outcome::ConnectFailed),
                Err(error) => {
                    // Nothing came: not a spoilt answer, but the end of a connection that had looked well.
                    if !fresh && !error.is_parse() {
                        self.be_wary();
                    }
                    return Attempted::of(Outcome::Reset);
                }
            };
            return self.finish(Spare { server, connection }, response, stuck).await;
        }
    }

    /// Reads an answer whole and keeps the connection if it can be used again, or begins to pass on a long one.
    async fn finish(
        self: &Rc<Self>,
        spare: Spare,
        response: Response<Incoming>,
        stuck: Pin<&mut impl Future<Output = ()>>,
    ) -> Attempted {
        let (mut parts, mut body) = response.into_parts();
        let frames = answer::states_its_end(&parts.headers, parts.version);
        let closes = answer::ends_with_connection(&parts.headers, parts.version);
        // Of an answer that ends with its connection without a word, a part looks whole.
        let ends = frames || closes || answer::has_no_body(parts.status);
        if !ends || body.size_hint().lower() > self.stream_most.max(self.body_most as u64) {
            return Attempted::of(Outcome::Reset);
        }
        let read = tokio::select! {
            biased;
            read = read(&mut body, self.body_most) => read,
            () = stuck => Read::Broken,
        };
        let outcome = match Meaning::of(&parts) {
            _ if matches!(read, Read::Broken) => Outcome::Reset,
            Meaning::Done | Meaning::ClientError if self.answers == FinalAnswers::Ok => Outcome::Error,
            Meaning::Served | Meaning::Done | Meaning::ClientError => Outcome::Served,
            Meaning::Declined => Outcome::Rejected,
            Meaning::Error => Outcome::Error,
        };
        answer::onward(&mut parts);
        let served =
            |body: AnswerBody| (outcome == Outcome::Served).then(|| Response::from_parts(parts, body));
        match read {
            Read::Whole(body) => {
                let spare = (!closes).then_some(spare);
                Attempted { outcome, response: served(body.into()), spare }
            }
            Read::Long(first) if outcome == Outcome::Served && self.stream_most > first.len() as u64 => {
                let (tap, (tell, ended)) = (Arc::new(Tap::default()), oneshot::channel());
                let most = self.stream_most - first.len() as u64;
                let body = AnswerBody::passing(first, body, most, tap.clone(), tell);
                let servers = self.clone();
                tokio::task::spawn_local(async move { servers.see_off(spare, tap, ended).await });
                Attempted { outcome, response: served(body), spare: None }
            }
            // Nobody wants to read on.
            Read::Long(_) if outcome != Outcome::Served => Attempted::of(outcome),
            Read::Long(_) | Read::Broken => Attempted::of(Outcome::Reset),
        }
    }
}

/// Ends when an answer has begun to come and nothing more of it comes. Hints (1xx) may come long before the answer,
/// but not without end.
async fn stuck(line: &Line, hints: &AtomicUsize) {
    let mut before = 0;
    loop {
        line.something_came().await;
        loop {
            let read = line.read();
            sleep(MORE_WITHIN).await;
            let now = hints.load(Ordering::Relaxed);
            if now > HINTS_MOST {
                return;
            }
            if line.read() != read {
                continue;
            }
            if now == before {
                return;
            }
            before = now;
            break;
        }
    }
}
