//! The times of a process that was told to end.

use std::time::Duration;

use tokio::time::Instant;

/// After the signal, the platform still sends clients until it has missed the readiness twice, once a second.
const STILL_SENT: Duration = Duration::from_millis(2_200);
/// The process ends so long before it would be killed.
const BEFORE_KILL: Duration = Duration::from_millis(400);
/// Part of the grace in which new connections are taken, at most: what comes by later ones may not end in time.
const OPEN_PART: f64 = 0.5;

/// When a process that was told to end stops what.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leaving {
    /// When the process was told to end.
    pub told: Instant,
    /// Until then new connections are taken. Later on a connection that was kept brings no request that may outlast the
    /// process.
    pub open_until: Instant,
    /// The process ends now at the latest.
    pub ends_at: Instant,
}

impl Leaving {
    /// Told at `told` to end within `grace`.
    pub fn new(told: Instant, grace: Duration) -> Self {
        Self {
            told,
            open_until: told + STILL_SENT.min(grace.mul_f64(OPEN_PART)),
            ends_at: told + grace.saturating_sub(BEFORE_KILL),
        }
    }

    /// Whether a request that comes at `now` on a connection that had another before has to go elsewhere, as it may last
    /// until `request_ends`.
    pub fn refuses(&self, now: Instant, request_ends: Instant) -> bool {
        now >= self.open_until && request_ends > self.ends_at
    }
}
