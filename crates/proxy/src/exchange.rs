//! A client's request on its way to servers, until one answer stands.

use std::rc::Rc;
use std::time::Duration;

use dunelink_routing::{Decision, RoutingRequest, ServerHandle};
use http::Response;
use http::header::HeaderValue;
use tokio::time::Instant;

use crate::admission::Admission;
use crate::attempt::{AttemptResult, forwarded_response};
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
const MAX_UNSENT_ATTEMPTS: u32 = 3;
/// Part of the target latency that a request waits for room, at most.
const MAX_WAIT_FRACTION: f64 = 0.25;
/// A server may be silent for so long, or for so many target latencies, before a request that may run twice goes to
/// another one.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);
const SILENCE_TARGET_MULTIPLE: f64 = 2.5;
/// The same for a stream that has begun, in aimed pauses between its events.
const MIN_EVENT_GAP_TIMEOUT: Duration = Duration::from_millis(1_000);
const EVENT_GAP_TARGET_MULTIPLE: f64 = 2.0;
/// A request is not sent with less time left than this.
pub(crate) const MIN_REMAINING_TIME: Duration = Duration::from_millis(5);

/// A request and what became of it so far.
pub struct Exchange {
    pub(crate) node: Rc<Node>,
    pub(crate) configuration: Rc<Configuration>,
    pub(crate) request: ClientRequest,
    pub(crate) admission: Admission,
    /// Fires when the client or the operator wants it to end.
    pub(crate) timer: RequestTimer,
    pub(crate) tried_servers: Vec<ServerHandle>,
    /// Servers that may have run it.
    pub(crate) possible_executions: u32,
    /// Servers that the request was sent to.
    pub(crate) servers_sent_to: u32,
    pub(crate) unsent_attempts: u32,
    total_wait: Duration,
}

impl Exchange {
    /// A request that was admitted at `started_at`.
    pub fn new(
        node: Rc<Node>,
        configuration: Rc<Configuration>,
        request: ClientRequest,
        admission: Admission,
        started_at: Instant,
    ) -> Self {
        let timeout = Duration::from_millis(admission.policy.timeout_ms);
        let deadline =
            started_at + request.client_timeout.map_or(timeout, |client_timeout| client_timeout.min(timeout));
        Self {
            node,
            configuration,
            request,
            admission,
            timer: RequestTimer::new(deadline),
            tried_servers: Vec::new(),
            possible_executions: 0,
            servers_sent_to: 0,
            unsent_attempts: 0,
            total_wait: Duration::ZERO,
        }
    }

    /// Sends the request until one answer stands.
    pub async fn run(mut self) -> Response<ResponseBody> {
        let mut server_error = None;
        loop {
            match self.next_attempt().await {
                Ok(AttemptResult::Response(response)) => return *response,
                Ok(AttemptResult::Stream(upstream, attempt)) => return self.begin_stream(upstream, attempt),
                Ok(AttemptResult::ServerError(response)) => {
                    server_error = Some(response);
                    if !self.try_retry() {
                        break;
                    }
                }
                Ok(AttemptResult::Rejected) => {
                    if !self.try_retry() {
                        break;
                    }
                }
                Ok(AttemptResult::NotSent) if self.unsent_attempts < MAX_UNSENT_ATTEMPTS => {}
                Ok(AttemptResult::NotSent) => break,
                Ok(AttemptResult::MaybeExecuted(failure)) => {
                    if !self.try_retry() {
                        return self.failure_response(failure);
                    }
                }
                Err(failure) => {
                    return server_error.map_or_else(|| self.failure_response(failure), |response| *response);
                }
            }
        }
        server_error.map_or_else(|| self.failure_response(RequestFailure::REJECTED), |response| *response)
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
            match self.next_attempt().await {
                Ok(AttemptResult::Stream(upstream, attempt)) => return (self, Some((upstream, attempt))),
                Ok(AttemptResult::NotSent) if self.unsent_attempts < MAX_UNSENT_ATTEMPTS => {}
                Ok(AttemptResult::Rejected | AttemptResult::MaybeExecuted(_)) if self.try_retry() => {}
                Ok(_) | Err(_) => return (self, None),
            }
        }
    }

    /// The answer when no server's stands.
    fn failure_response(&self, failure: RequestFailure) -> Response<ResponseBody> {
        let failure = match failure {
            RequestFailure::NotExecuted { .. } if self.possible_executions > 0 => RequestFailure::Broken,
            RequestFailure::TimedOut if self.possible_executions == 0 => RequestFailure::REJECTED,
            failure => failure,
        };
        if self.possible_executions == 0
            && let Some(tenant) = self.admission.tenant
        {
            let name = &self.configuration.fleet.tenants[tenant].name;
            self.node.quota_gate.borrow_mut().refund(name, self.admission.units);
        }
        failure.with_jitter().capped_for(self.remaining()).local_reply().into_response(Some(&self.request.id))
    }

    /// Whether the request may be sent once more; that is charged to the budget of repeats.
    pub(crate) fn try_retry(&self) -> bool {
        if self.servers_sent_to == 0 {
            return true;
        }
        if !self.is_retryable() || self.remaining() < MIN_REMAINING_TIME {
            return false;
        }
        let service = &self.configuration.fleet.services[self.admission.service].name;
        self.node.retry_budget.borrow_mut().try_retry(self.node.clock.now(), service)
    }

    /// Whether what is known of the request lets it go to one more server.
    fn is_retryable(&self) -> bool {
        let policy = &self.admission.policy;
        let may_run_again = self.possible_executions == 0
            || policy.idempotent && self.possible_executions < policy.max_attempts;
        may_run_again && self.servers_sent_to <= policy.max_attempts
    }

    /// How long a server may be silent before the request is sent to another one; nothing if it can't be.
    pub(crate) fn silence_timeout(&self) -> Option<Duration> {
        let policy = &self.admission.policy;
        let target = Duration::from_millis(policy.target_latency_ms);
        let silence = MIN_SILENCE_TIMEOUT.max(target.mul_f64(SILENCE_TARGET_MULTIPLE));
        let retryable = policy.idempotent && self.possible_executions + 1 < policy.max_attempts;
        (retryable && self.remaining() > silence + target).then_some(silence)
    }

    /// How long a stream that may be taken up elsewhere may pause.
    pub(crate) fn event_gap_timeout(&self) -> Duration {
        let target_gap = Duration::from_millis(self.admission.policy.target_event_gap_ms);
        MIN_EVENT_GAP_TIMEOUT.max(target_gap.mul_f64(EVENT_GAP_TARGET_MULTIPLE))
    }

    pub(crate) fn remaining(&self) -> Duration {
        self.timer.deadline().saturating_duration_since(Instant::now())
    }

    /// What the process's end is, if the request may last longer and no server may have run it yet.
    pub(crate) fn shutdown_before_deadline(&self) -> Option<ShutdownSchedule> {
        let shutdown = self.node.shutdown_schedule().filter(|_| self.possible_executions == 0)?;
        shutdown.is_outlasted_by(self.timer.deadline()).then_some(shutdown)
    }

    /// Makes the next attempt, after waiting for room if there is none.
    async fn next_attempt(&mut self) -> Result<AttemptResult, RequestFailure> {
        loop {
            if self.remaining() < MIN_REMAINING_TIME {
                return Err(RequestFailure::TimedOut);
            }
            if let Some(shutdown) = self.shutdown_before_deadline() {
                return Err(RequestFailure::shutting_down(shutdown.remaining_accept_time(Instant::now())));
            }
            match self.choose_server() {
                Decision::Send { server, attempt } => {
                    let attempt = AttemptGuard::new(self.node.clone(), attempt, server);
                    return Ok(self.attempt(attempt).await);
                }
                Decision::Wait { retry_in } => {
                    self.wait_for_capacity(Duration::from_micros(retry_in)).await?
                }
                Decision::Refuse { retry_after, .. } => {
                    return Err(RequestFailure::NotExecuted {
                        retry_after: Duration::from_micros(retry_after),
                    });
                }
            }
        }
    }

    fn choose_server(&self) -> Decision {
        let fleet = &self.configuration.fleet;
        let (tokens_in, tokens_out) = self.request.prompt.tokens.unwrap_or_default();
        let routing_request = RoutingRequest {
            service: &fleet.services[self.admission.service].name,
            tenant: self.admission.tenant.map(|tenant| fleet.tenants[tenant].name.as_str()),
            parts: &self.request.prompt.parts,
            prompt_tokens: tokens_in,
            max_output_tokens: tokens_out,
            priority: self.admission.priority,
            target_latency: self.admission.policy.target_latency_ms * 1_000,
            remaining: self.remaining().as_micros() as u64,
            excluded: &self.tried_servers,
            is_first_attempt: self.servers_sent_to == 0,
        };
        self.node.router.borrow_mut().choose(self.node.clock.now(), &routing_request)
    }

    /// Waits for room, within a part of the target latency in all.
    async fn wait_for_capacity(&mut self, delay: Duration) -> Result<(), RequestFailure> {
        let max_wait =
            Duration::from_millis(self.admission.policy.target_latency_ms).mul_f64(MAX_WAIT_FRACTION);
        if self.total_wait + delay > max_wait {
            return Err(RequestFailure::REJECTED);
        }
        self.total_wait += delay;
        tokio::time::sleep(delay).await;
        Ok(())
    }

    fn begin_stream(
        self,
        mut upstream: Box<UpstreamResponse>,
        attempt: AttemptGuard,
    ) -> Response<ResponseBody> {
        let length = http_body::Body::size_hint(&upstream.body).exact();
        let mut head = std::mem::replace(&mut upstream.head, Response::new(()).into_parts().0);
        forwarded_response(
            &mut head,
            ResponseBody::relayed(RelayedBody::new(self, upstream, attempt, length)),
        )
    }

    /// What the client's own `Last-Event-Id` says.
    pub(crate) fn last_event_id(&self) -> Option<HeaderValue> {
        self.request.headers.get(&LAST_EVENT_ID).cloned()
    }
}
