//! The schedule of a graceful shutdown.
//!
//! After the shutdown signal, requests that may outlast the process are rejected: a request may take until
//! its deadline, from the client's or the route's timeout, and one that would be cut off at exit is refused
//! while another node can still serve it. A request that was sent to a server before the signal is completed
//! for as long as the process may run.

use std::time::Duration;

use tokio::time::Instant;

/// Time after the signal during which the platform still sends clients: it checks readiness once a second and
/// stops after two failed checks.
const TRAFFIC_STOP_DELAY: Duration = Duration::from_millis(2_200);
/// The process exits this long before the platform would kill it.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Time to write a response that arrives at the deadline of its request.
const RESPONSE_WRITE_TIME: Duration = Duration::from_millis(100);
/// Maximum fraction of the grace period during which new connections are accepted. Requests on later
/// connections may not finish in time.
const MAX_ACCEPT_FRACTION: f64 = 0.5;

/// The times at which the steps of a shutdown happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// When the process received the shutdown signal.
    pub signaled_at: Instant,
    /// When the process stops accepting connections.
    pub accept_until: Instant,
    /// When the process exits at the latest.
    pub exit_by: Instant,
}

impl ShutdownSchedule {
    /// Computes the schedule of a shutdown that was signaled at `signaled_at` and may take `grace`.
    pub fn new(signaled_at: Instant, grace: Duration) -> Self {
        Self {
            signaled_at,
            accept_until: signaled_at + TRAFFIC_STOP_DELAY.min(grace.mul_f64(MAX_ACCEPT_FRACTION)),
            exit_by: signaled_at + grace.saturating_sub(EXIT_MARGIN),
        }
    }

    /// Whether a request with this deadline may outlast the process, so that its response would be cut off.
    pub fn is_outlasted_by(&self, request_deadline: Instant) -> bool {
        request_deadline + RESPONSE_WRITE_TIME > self.exit_by
    }

    /// Returns how long the platform may still send clients; a rejected client retries after that time.
    pub fn remaining_accept_time(&self, now: Instant) -> Duration {
        self.accept_until.saturating_duration_since(now)
    }
}
