//! The times of a process that was told to end.
//!
//! From then on it lets no request pass that may outlast it: the time of a request, its client's or its route's, bounds
//! how long its answer may take, and what would be cut at the end is refused while another node can still take it.
//! A request that had been sent to a server before is answered for as long as the process may run.

use std::time::Duration;

use tokio::time::Instant;

/// After the signal, the platform still sends clients until it has missed the readiness twice, once a second.
const TRAFFIC_STOP_DELAY: Duration = Duration::from_millis(2_200);
/// The process ends so long before it would be killed.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// An answer that comes as a request's time is over is written within this time.
const RESPONSE_WRITE_TIME: Duration = Duration::from_millis(100);
/// Part of the grace in which new connections are taken, at most: what comes by later ones may not end in time.
const MAX_ACCEPT_FRACTION: f64 = 0.5;

/// When a process that was told to end stops what.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// When the process was told to end.
    pub signaled_at: Instant,
    /// Until then new connections are taken.
    pub accept_until: Instant,
    /// The process ends now at the latest.
    pub exit_by: Instant,
}

impl ShutdownSchedule {
    /// Told at `signaled_at` to end within `grace`.
    pub fn new(signaled_at: Instant, grace: Duration) -> Self {
        Self {
            signaled_at,
            accept_until: signaled_at + TRAFFIC_STOP_DELAY.min(grace.mul_f64(MAX_ACCEPT_FRACTION)),
            exit_by: signaled_at + grace.saturating_sub(EXIT_MARGIN),
        }
    }

    /// Whether a request whose time is over at `request_deadline` may outlast the process, so that its answer would be cut.
    pub fn is_outlasted_by(&self, request_deadline: Instant) -> bool {
        request_deadline + RESPONSE_WRITE_TIME > self.exit_by
    }

    /// How long the platform may still send clients, seen from `now`: one that is refused comes back after it.
    pub fn remaining_accept_time(&self, now: Instant) -> Duration {
        self.accept_until.saturating_duration_since(now)
    }
}
