//! A client's request on its way to servers, until one answer stands.

use std::rc::Rc;
use std::time::Duration;

use dunelink_routing::{Decision, RoutingRequest, ServerHandle};
use http::Response;
use http::header::HeaderValue;
use tokio::time::Instant;

use crate::admission::Admitted;
use crate::answer::{AnswerBody, LAST_EVENT_ID};
use crate::attempt::{Attempted, passed_on};
use crate::configuration::Configuration;
use crate::leaving::Leaving;
use crate::node::Node;
use crate::request::ClientRequest;
use crate::stream::Passing;
use crate::table::Unanswered;
use crate::tracked::Tracked;
use crate::upstream::{Alarm, Answered};

/// Servers that could not be reached, at most, before a request is given up: nothing was sent to them.
const UNREACHED_MOST: u32 = 3;
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
pub(crate) const TIME_LEAST: Duration = Duration::from_millis(5);

/// A request and what became of it so far.
pub struct Exchange {
    pub(crate) node: Rc<Node>,
    pub(crate) configuration: Rc<Configuration>,
    pub(crate) request: ClientRequest,
    pub(crate) admitted: Admitted,
    /// Fires when the client or the operator wants it to end.
    pub(crate) alarm: Alarm,
    pub(crate) tried: Vec<ServerHandle>,
    /// Servers that may have run it.
    pub(crate) ran: u32,
    /// Servers that the request was sent to.
    pub(crate) sent: u32,
    pub(crate) unreached: u32,
    waited: Duration,
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
                Ok(Attempted::Unreached) if self.unreached < UNREACHED_MOST => {}
                Ok(Attempted::Unreached) => break,
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
                Ok(Attempted::Unreached) if self.unreached < UNREACHED_MOST => {}
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
        how.spread().within(self.left()).reply().response(Some(&self.request.id))
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
        self.node.retries.borrow_mut().try_retry(self.node.clock.now(), service)
    }

    /// Whether what is known of the request lets it go to one more server.
    fn is_repeatable(&self) -> bool {
        let policy = &self.admitted.policy;
        let runs = self.ran == 0 || policy.idempotent && self.ran < policy.max_attempts;
        runs && self.sent <= policy.max_attempts
    }

    /// How long a server may be silent before the request is sent to another one; nothing if it can't be.
    pub(crate) fn silence(&self) -> Option<Duration> {
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

    pub(crate) fn left(&self) -> Duration {
        self.alarm.ends_at().saturating_duration_since(Instant::now())
    }

    /// What the process's end is, if the request may last longer and no server may have run it yet.
    pub(crate) fn outlasted(&self) -> Option<Leaving> {
        let leaving = self.node.leaving().filter(|_| self.ran == 0)?;
        leaving.is_outlasted_by(self.alarm.ends_at()).then_some(leaving)
    }

    /// Makes the next attempt, after waiting for room if there is none.
    async fn next(&mut self) -> Result<Attempted, Unanswered> {
        loop {
            if self.left() < TIME_LEAST {
                return Err(Unanswered::TimedOut);
            }
            if let Some(leaving) = self.outlasted() {
                return Err(Unanswered::leaving(leaving.still_sent(Instant::now())));
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
            prompt_tokens: tokens_in,
            max_output_tokens: tokens_out,
            priority: self.admitted.priority,
            target_latency: self.admitted.policy.target_latency_ms * 1_000,
            remaining: self.left().as_micros() as u64,
            excluded: &self.tried,
            is_first_attempt: self.sent == 0,
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

    fn begin_stream(self, mut answered: Box<Answered>, tracked: Tracked) -> Response<AnswerBody> {
        let length = http_body::Body::size_hint(&answered.body).exact();
        let mut head = std::mem::replace(&mut answered.head, Response::new(()).into_parts().0);
        passed_on(&mut head, AnswerBody::passing(Passing::new(self, answered, tracked, length)))
    }

    /// What the client's own `Last-Event-Id` says.
    pub(crate) fn last_event_id(&self) -> Option<HeaderValue> {
        self.request.headers.get(&LAST_EVENT_ID).cloned()
    }
}
