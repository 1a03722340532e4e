//! The reply to a client when no server has given a usable response.
//!
//! | the request | reply |
//! | --- | --- |
//! | was not and will not be executed | 503 with `Retry-After` |
//! | may have been executed, no response in time | 504 |
//! | may have been executed, the connection broke | 502 |

use std::time::Duration;

use http::StatusCode;

use crate::response::LocalReply;

/// `Retry-After` when servers rejected the request and no other server could be tried.
const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time after the start of the process within which it should have its configuration and admit requests, even
/// if all programs of the fleet start at once: the control nodes, which may start later, elect their leader,
/// send their state to the agents, and issue the first grants.
const STARTUP_CONFIGURATION_TIME: Duration = Duration::from_millis(1_500);

/// Minimum `Retry-After` while there is no configuration.
const MIN_UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Minimum `Retry-After` during a shutdown. Another node can serve the request immediately.
const MIN_SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// `Retry-After` is randomly changed by up to this fraction, so that clients rejected together do not retry
/// together.
const JITTER_FRACTION: f64 = 0.15;

/// Maximum `Retry-After` as a fraction of the client's remaining time. Clients ignore values above a third of
/// it.
const MAX_RETRY_AFTER_FRACTION: f64 = 0.3;

/// How a request without a usable response has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestFailure {
    /// The request was not and will not be executed.
    NotExecuted {
        /// When the client may retry.
        retry_after: Duration,
    },
    /// The request may have been executed; the connection to its server broke.
    Broken,
    /// The request may have been executed or may still run; its deadline has passed.
    TimedOut,
}

impl RequestFailure {
    /// The request was not executed: servers rejected it or could not be reached.
    pub const REJECTED: Self = Self::NotExecuted { retry_after: REJECTED_RETRY_AFTER };

    /// The request was not executed: the process, which has run for `uptime`, has no configuration yet.
    /// `Retry-After` is when the configuration is expected, because a client may retry only once.
    pub fn not_configured(uptime: Duration) -> Self {
        Self::NotExecuted {
            retry_after: STARTUP_CONFIGURATION_TIME.saturating_sub(uptime).max(MIN_UNCONFIGURED_RETRY_AFTER),
        }
    }

    /// The request was not executed: it may outlast the process, which is shutting down. The platform may
    /// send clients to this node for `remaining_accept_time`.
    pub fn shutting_down(remaining_accept_time: Duration) -> Self {
        Self::NotExecuted { retry_after: remaining_accept_time.max(MIN_SHUTDOWN_RETRY_AFTER) }
    }

    /// Adds random jitter to `Retry-After`.
    pub fn with_jitter(self) -> Self {
        match self {
            Self::NotExecuted { retry_after } => Self::NotExecuted { retry_after: with_jitter(retry_after) },
            other => other,
        }
    }

    /// Limits `Retry-After` to what a client with `remaining` until its deadline follows.
    pub fn capped_for(self, remaining: Duration) -> Self {
        match self {
            Self::NotExecuted { retry_after } => Self::NotExecuted {
                retry_after: retry_after.min(remaining.mul_f64(MAX_RETRY_AFTER_FRACTION)),
            },
            other => other,
        }
    }

    /// Returns the reply to the client.
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

/// Returns a `Retry-After` that is randomly shorter or longer.
pub fn with_jitter(retry_after: Duration) -> Duration {
    retry_after.mul_f64(1.0 + JITTER_FRACTION * (2.0 * fastrand::f64() - 1.0))
}
