//! What a client is told when no server's answer stands.
//!
//! | the request | answer |
//! | --- | --- |
//! | has not run and will not | 503 with `Retry-After` |
//! | may have run, no answer in time | 504 |
//! | may have run, the connection broke | 502 |

use std::time::Duration;

use http::StatusCode;

use crate::response::LocalReply;

/// When a client may come back after a server turned its request down and no other could be tried.
const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Requests should be let pass within this time from the start, also when all programs of the fleet have started at
/// once: the control machines, which may start later, elect their leader, feed all, and issue the first grants.
const STARTUP_CONFIGURATION_TIME: Duration = Duration::from_millis(1_500);

/// When a client may come back at the soonest while there is no configuration.
const MIN_UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// When a client may come back at the soonest to a fleet of which this process leaves: another node can take it at once.
const MIN_SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Times to come back differ by up to this part, so that clients that were refused together do not come together.
const JITTER_FRACTION: f64 = 0.15;

/// Clients heed a time to come back up to a third of the time that they have left.
const MAX_RETRY_AFTER_FRACTION: f64 = 0.3;

/// How a request that no server answered has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestFailure {
    /// It has not run and will not.
    NotExecuted {
        /// When the client may come back.
        retry_after: Duration,
    },
    /// It may have run; the connection to its server broke.
    Broken,
    /// It may have run or run on; its time is over.
    TimedOut,
}

impl RequestFailure {
    /// Not run, as servers turned it down or could not be reached.
    pub const REJECTED: Self = Self::NotExecuted { retry_after: REJECTED_RETRY_AFTER };

    /// Not run, as the process, which started `uptime` ago, has no configuration yet. The time to come back is when it
    /// should have one: a client may ask again only once.
    pub fn not_configured(uptime: Duration) -> Self {
        Self::NotExecuted {
            retry_after: STARTUP_CONFIGURATION_TIME.saturating_sub(uptime).max(MIN_UNCONFIGURED_RETRY_AFTER),
        }
    }

    /// Not run, as it may outlast the process, which was told to end: the platform may send clients here for
    /// `remaining_accept_time`.
    pub fn shutting_down(remaining_accept_time: Duration) -> Self {
        Self::NotExecuted { retry_after: remaining_accept_time.max(MIN_SHUTDOWN_RETRY_AFTER) }
    }

    /// With a time to come back that differs from one client to the next.
    pub fn with_jitter(self) -> Self {
        match self {
            Self::NotExecuted { retry_after } => Self::NotExecuted { retry_after: with_jitter(retry_after) },
            other => other,
        }
    }

    /// With a time to come back that a client with `remaining` before its deadline heeds.
    pub fn capped_for(self, remaining: Duration) -> Self {
        match self {
            Self::NotExecuted { retry_after } => Self::NotExecuted {
                retry_after: retry_after.min(remaining.mul_f64(MAX_RETRY_AFTER_FRACTION)),
            },
            other => other,
        }
    }

    /// The answer.
    pub fn local_reply(self) -> LocalReply {
        match self {
            Self::NotExecuted { retry_after } => {
                LocalReply::new(StatusCode::SERVICE_UNAVAILABLE).with_retry_after(retry_after)
            }
            Self::Broken => LocalReply::new(StatusCode::BAD_GATEWAY),
            Self::TimedOut => LocalReply::new(StatusCode::GATEWAY_TIMEOUT),
        }
    }
}

/// A time to come back, a little shorter or longer.
pub fn with_jitter(retry_after: Duration) -> Duration {
    retry_after.mul_f64(1.0 + JITTER_FRACTION * (2.0 * fastrand::f64() - 1.0))
}
