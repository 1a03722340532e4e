//! The execution of one client request: attempts at servers until there is a final response.

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

/// Maximum number of attempts that end before the request's head was sent completely, for example because the
/// server cannot be reached.
const MAX_UNSENT_ATTEMPTS: u32 = 3;
/// Share of the target latency that a request may wait for server capacity in total.
const MAX_WAIT_FRACTION: f64 = 0.25;
/// Silence timeout of a server: after this time, or after this multiple of the target latency if that is
/// longer, a request that may be executed twice is sent to another server.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);
const SILENCE_TARGET_MULTIPLE: f64 = 2.5;
/// Silence timeout within a resumable stream: this time, or this multiple of the route's target gap between
/// events if that is longer.
const MIN_EVENT_GAP_TIMEOUT: Duration = Duration::from_millis(1_000);
const EVENT_GAP_TARGET_MULTIPLE: f64 = 2.0;
/// Minimum remaining time with which a request is still sent to a server.
pub(crate) const MIN_REMAINING_TIME: Duration = Duration::from_millis(5);

/// A request with the state of its attempts.
pub struct Exchange {
    pub(crate) node: Rc<Node>,
    pub(crate) configuration: Rc<Configuration>,
    pub(crate) request: ClientRequest,
    pub(crate) admission: Admission,
    /// Fires at the deadline, from the client's or the route's timeout, and when the server is silent.
    pub(crate) timer: RequestTimer,
    /// Servers that are excluded from further attempts.
    pub(crate) tried_servers: Vec<ServerHandle>,
    /// Number of servers that may have executed the request.
    pub(crate) possible_executions: u32,
    /// Number of servers that the request was sent to.
    pub(crate) servers_sent_to: u32,
    /// Number of attempts that ended before the request's head was sent completely.
    pub(crate) unsent_attempts: u32,
    /// Time that the request has waited for server capacity.
    total_wait: Duration,
}

impl Exchange {
    /// Creates the exchange of an admitted request. Its timeout counts from `started_at`.
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

    /// Sends the request to servers until there is a final response.
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

    /// Resumes a broken stream at another server. Returns no response if that is not possible. The retry
    /// budget was charged for the first attempt by [`Self::try_retry`].
    pub(crate) async fn resume(
        mut self,
        last_event_id: Option<HeaderValue>,
    ) -> (Self, Option<(Box<UpstreamResponse>, AttemptGuard)>) {
        if let Some(last) = last_event_id {
            self.request.headers.insert(LAST_EVENT_ID, last);
        }
        loop {
            match self.next_attempt().await {
                Ok(AttemptResult::Stream(upstream, attempt)) if upstream.head.status.is_success() => {
                    return (self, Some((upstream, attempt)));
                }
                Ok(AttemptResult::NotSent) if self.unsent_attempts < MAX_UNSENT_ATTEMPTS => {}
                Ok(AttemptResult::Rejected | AttemptResult::MaybeExecuted(_)) if self.try_retry() => {}
                Ok(_) | Err(_) => return (self, None),
            }
        }
    }

    /// Builds the response to the client when no server has given a usable one. Refunds the quota if no
    /// server can have executed the request.
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

    /// Whether the request may be sent once more. A retry is charged to the retry budget.
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

    /// Whether the route's policy and the attempts so far allow one more attempt.
    fn is_retryable(&self) -> bool {
        let policy = &self.admission.policy;
        if self.request.body.is_released() {
            return false;
        }
        let may_run_again = self.possible_executions == 0
            || policy.idempotent && self.possible_executions < policy.max_attempts;
        may_run_again && self.servers_sent_to <= policy.max_attempts
    }

    /// Returns how long a server may be silent before the request is sent to another one; `None` if it must
    /// not be.
    pub(crate) fn silence_timeout(&self) -> Option<Duration> {
        let policy = &self.admission.policy;
        let target = Duration::from_millis(policy.target_latency_ms);
        let silence = MIN_SILENCE_TIMEOUT.max(target.mul_f64(SILENCE_TARGET_MULTIPLE));
        let retryable = policy.idempotent && self.possible_executions + 1 < policy.max_attempts;
        (retryable && self.remaining() > silence + target).then_some(silence)
    }

    /// Returns how long a resumable stream may be silent between events.
    pub(crate) fn event_gap_timeout(&self) -> Duration {
        let target_gap = Duration::from_millis(self.admission.policy.target_event_gap_ms);
        MIN_EVENT_GAP_TIMEOUT.max(target_gap.mul_f64(EVENT_GAP_TARGET_MULTIPLE))
    }

    /// Returns the time until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.timer.deadline().saturating_duration_since(Instant::now())
    }

    /// Returns the shutdown schedule if the process is shutting down, the request's deadline may be after the
    /// exit, and no server may have executed the request yet.
    pub(crate) fn shutdown_before_deadline(&self) -> Option<ShutdownSchedule> {
        let shutdown = self.node.shutdown_schedule().filter(|_| self.possible_executions == 0)?;
        shutdown.is_outlasted_by(self.timer.deadline()).then_some(shutdown)
    }

    /// Makes the next attempt, after waiting for capacity if no server has any.
    async fn next_attempt(&mut self) -> Result<AttemptResult, RequestFailure> {
        loop {
            if self.remaining() < MIN_REMAINING_TIME {
                return Err(RequestFailure::TimedOut);
            }
            if let Some(shutdown) = self.shutdown_before_deadline() {
                return Err(RequestFailure::shutting_down(shutdown.remaining_accept_time(Instant::now())));
            }
            if self.request.body.is_released() {
                return Err(RequestFailure::REJECTED);
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

    /// Waits for server capacity. Fails if the total wait would exceed its share of the target latency.
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
        mut self,
        mut upstream: Box<UpstreamResponse>,
        attempt: AttemptGuard,
    ) -> Response<ResponseBody> {
        let length = http_body::Body::size_hint(&upstream.body).exact();
        // A failure is never continued by the response of another server.
        self.admission.policy.resumable &= upstream.head.status.is_success() && length.is_none();
        if !self.admission.policy.resumable {
            self.request.body.release();
        }
        let mut head = std::mem::replace(&mut upstream.head, Response::new(()).into_parts().0);
        forwarded_response(
            &mut head,
            ResponseBody::relayed(RelayedBody::new(self, upstream, attempt, length)),
        )
    }

    /// Returns the `Last-Event-Id` header of the client's request.
    pub(crate) fn last_event_id(&self) -> Option<HeaderValue> {
        self.request.headers.get(&LAST_EVENT_ID).cloned()
    }
}
