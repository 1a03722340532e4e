//! A client's request on its way to servers, until one answer stands.

use std::rc::Rc;
use std::time::Duration;

use dunelink_routing::{Decision, RoutingRequest, ServerHandle};
use http::Response;
use http::header::HeaderValue;
use tokio::time::Instant;

use crate::admission::Admission;
use crate::attempt::{AttemptResult, passed_on};
use crate::attempt_guard::AttemptGuard;
use crate::configuration::Configuration;
use crate::node::Node;
use crate::relay::RelayedBody;
use crate::request::ClientRequest;
use crate::request_failure::RequestFailure;
use crate::response::{LAST_EVENT_ID, ResponseBody};
use crate::shutdown_schedule::ShutdownSchedule;
use crate::upstream::{RequestTimer, UpstreamResponse};

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
    pub(crate) admission: Admission,
    /// Fires when the client or the operator wants it to end.
    pub(crate) timer: RequestTimer,
    pub(crate) tried: Vec<ServerHandle>,
    /// Servers that may have run it.
    pub(crate) possible_executions: u32,
    /// Servers that the request was sent to.
    pub(crate) servers_sent_to: u32,
    pub(crate) unsent_attempts: u32,
    waited: Duration,
}

impl Exchange {
    /// A request that was admitted at `began`.
    pub fn new(
        node: Rc<Node>,
        configuration: Rc<Configuration>,
        request: ClientRequest,
        admission: Admission,
        began: Instant,
    ) -> Self {
        let timeout = Duration::from_millis(admission.policy.timeout_ms);
        let deadline =
            began + request.client_timeout.map_or(timeout, |client_timeout| client_timeout.min(timeout));
        Self {
            node,
            configuration,
            request,
            admission,
            timer: RequestTimer::new(deadline),
            tried: Vec::new(),
            possible_executions: 0,
            servers_sent_to: 0,
            unsent_attempts: 0,
            waited: Duration::ZERO,
        }
    }

    /// Sends the request until one answer stands.
    pub async fn run(mut self) -> Response<ResponseBody> {
        let mut failed = None;
        loop {
            match self.next().await {
                Ok(AttemptResult::Response(response)) => return *response,
                Ok(AttemptResult::Stream(answered, tracked)) => return self.begin_stream(answered, tracked),
                Ok(AttemptResult::ServerError(response)) => {
                    failed = Some(response);
                    if !self.try_retry() {
                        break;
                    }
                }
                Ok(AttemptResult::Rejected) => {
                    if !self.try_retry() {
                        break;
                    }
                }
                Ok(AttemptResult::NotSent) if self.unsent_attempts < UNREACHED_MOST => {}
                Ok(AttemptResult::NotSent) => break,
                Ok(AttemptResult::MaybeExecuted(how)) => {
                    if !self.try_retry() {
                        return self.failure_response(how);
                    }
                }
                Err(how) => return failed.map_or_else(|| self.failure_response(how), |response| *response),
            }
        }
        failed.map_or_else(|| self.failure_response(RequestFailure::REJECTED), |response| *response)
    }

    /// Takes a broken stream up at another server; nothing if that can't be.
    /// The first try was charged by [`Self::try_retry`].
    pub(crate) async fn resume(
        mut self,
        last_event_id: Option<HeaderValue>,
    ) -> (Self, Option<(Box<UpstreamResponse>, AttemptGuard)>) {
        if let Some(last) = last_event_id {
            self.request.headers.insert(LAST_EVENT_ID, last);
        }
        loop {
            match self.next().await {
                Ok(AttemptResult::Stream(answered, tracked)) => return (self, Some((answered, tracked))),
                Ok(AttemptResult::NotSent) if self.unsent_attempts < UNREACHED_MOST => {}
                Ok(AttemptResult::Rejected | AttemptResult::MaybeExecuted(_)) if self.try_retry() => {}
                Ok(_) | Err(_) => return (self, None),
            }
        }
    }

    /// The answer when no server's stands.
    fn failure_response(&self, how: RequestFailure) -> Response<ResponseBody> {
        let how = match how {
            RequestFailure::NotExecuted { .. } if self.possible_executions > 0 => RequestFailure::Broken,
            RequestFailure::TimedOut if self.possible_executions == 0 => RequestFailure::REJECTED,
            how => how,
        };
        if self.possible_executions == 0
            && let Some(tenant) = self.admission.tenant
        {
            let name = &self.configuration.fleet.tenants[tenant].name;
            self.node.quota_gate.borrow_mut().refund(name, self.admission.units);
        }
        how.with_jitter().capped_for(self.remaining()).local_reply().into_response(Some(&self.request.id))
    }

    /// Whether the request may be sent once more; that is charged to the budget of repeats.
    pub(crate) fn try_retry(&self) -> bool {
        if self.servers_sent_to == 0 {
            return true;
        }
        if !self.is_retryable() || self.remaining() < TIME_LEAST {
            return false;
        }
        let service = &self.configuration.fleet.services[self.admission.service].name;
        self.node.retry_budget.borrow_mut().try_retry(self.node.clock.now(), service)
    }

    /// Whether what is known of the request lets it go to one more server.
    fn is_retryable(&self) -> bool {
        let policy = &self.admission.policy;
        let runs = self.possible_executions == 0
            || policy.idempotent && self.possible_executions < policy.max_attempts;
        runs && self.servers_sent_to <= policy.max_attempts
    }

    /// How long a server may be silent before the request is sent to another one; nothing if it can't be.
    pub(crate) fn silence_timeout(&self) -> Option<Duration> {
        let policy = &self.admission.policy;
        let target = Duration::from_millis(policy.target_latency_ms);
        let silence = SILENCE_LEAST.max(target.mul_f64(SILENCE_TARGETS));
        let repeatable = policy.idempotent && self.possible_executions + 1 < policy.max_attempts;
        (repeatable && self.remaining() > silence + target).then_some(silence)
    }

    /// How long a stream that may be taken up elsewhere may pause.
    pub(crate) fn event_gap_timeout(&self) -> Duration {
        let aim = Duration::from_millis(self.admission.policy.target_event_gap_ms);
        PAUSE_LEAST.max(aim.mul_f64(PAUSE_AIMS))
    }

    pub(crate) fn remaining(&self) -> Duration {
        self.timer.deadline().saturating_duration_since(Instant::now())
    }

    /// What the process's end is, if the request may last longer and no server may have run it yet.
    pub(crate) fn shutdown_before_deadline(&self) -> Option<ShutdownSchedule> {
        let leaving = self.node.shutdown_schedule().filter(|_| self.possible_executions == 0)?;
        leaving.is_outlasted_by(self.timer.deadline()).then_some(leaving)
    }

    /// Makes the next attempt, after waiting for room if there is none.
    async fn next(&mut self) -> Result<AttemptResult, RequestFailure> {
        loop {
            if self.remaining() < TIME_LEAST {
                return Err(RequestFailure::TimedOut);
            }
            if let Some(leaving) = self.shutdown_before_deadline() {
                return Err(RequestFailure::shutting_down(leaving.remaining_accept_time(Instant::now())));
            }
            match self.choose() {
                Decision::Send { server, attempt } => {
                    let tracked = AttemptGuard::new(self.node.clone(), attempt, server);
                    return Ok(self.attempt(tracked).await);
                }
                Decision::Wait { retry_in } => self.wait(Duration::from_micros(retry_in)).await?,
                Decision::Refuse { retry_after, .. } => {
                    return Err(RequestFailure::NotExecuted {
                        retry_after: Duration::from_micros(retry_after),
                    });
                }
            }
        }
    }

    fn choose(&self) -> Decision {
        let fleet = &self.configuration.fleet;
        let (tokens_in, tokens_out) = self.request.prompt.tokens.unwrap_or_default();
        let asked = RoutingRequest {
            service: &fleet.services[self.admission.service].name,
            tenant: self.admission.tenant.map(|tenant| fleet.tenants[tenant].name.as_str()),
            parts: &self.request.prompt.parts,
            prompt_tokens: tokens_in,
            max_output_tokens: tokens_out,
            priority: self.admission.priority,
            target_latency: self.admission.policy.target_latency_ms * 1_000,
            remaining: self.remaining().as_micros() as u64,
            excluded: &self.tried,
            is_first_attempt: self.servers_sent_to == 0,
        };
        self.node.router.borrow_mut().choose(self.node.clock.now(), &asked)
    }

    /// Waits for room, within a part of the target latency in all.
    async fn wait(&mut self, time: Duration) -> Result<(), RequestFailure> {
        let most = Duration::from_millis(self.admission.policy.target_latency_ms).mul_f64(WAIT_PART);
        if self.waited + time > most {
            return Err(RequestFailure::REJECTED);
        }
        self.waited += time;
        tokio::time::sleep(time).await;
        Ok(())
    }

    fn begin_stream(
        self,
        mut answered: Box<UpstreamResponse>,
        tracked: AttemptGuard,
    ) -> Response<ResponseBody> {
        let length = http_body::Body::size_hint(&answered.body).exact();
        let mut head = std::mem::replace(&mut answered.head, Response::new(()).into_parts().0);
        passed_on(&mut head, ResponseBody::relayed(RelayedBody::new(self, answered, tracked, length)))
    }

    /// What the client's own `Last-Event-Id` says.
    pub(crate) fn last_event_id(&self) -> Option<HeaderValue> {
        self.request.headers.get(&LAST_EVENT_ID).cloned()
    }
}
