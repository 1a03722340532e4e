//! Types shared by the modules of this crate: an answer, and a request as it is sent.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Response};
use tokio::time::Instant;

use crate::answer_body::AnswerBody;
use crate::payload::Payload;

/// The one final answer to a request. [`crate::http::respond`] maps it to HTTP.
///
/// ```
/// use dunelink::Answer;
///
/// let answer = Answer::Refused { retry_after: None };
/// assert!(answer.is_refused() && !answer.is_served());
/// ```
#[derive(Debug)]
#[must_use]
pub enum Answer {
    /// A server's answer, without the hop-by-hop headers.
    Served(Response<AnswerBody>),
    /// Refused: nothing ran, or a repeat is harmless.
    Refused {
        /// How long the client should stay away; `None` for no advice.
        retry_after: Option<Duration>,
    },
    /// Failed: the request may have run, or may still run.
    Failed {
        /// Whether the request ran out of time.
        timed_out: bool,
    },
}

impl Answer {
    /// Whether a server answered.
    pub fn is_served(&self) -> bool {
        matches!(self, Answer::Served(_))
    }

    /// Whether the request was refused, so that a retry is harmless.
    pub fn is_refused(&self) -> bool {
        matches!(self, Answer::Refused { .. })
    }
}

/// A request as it is sent to servers, shared by its attempts.
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    /// Path and query, unchanged.
    pub(crate) target: PathAndQuery,
    /// All headers but the deadline.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Payload,
    /// When the client gives up; for a streamed body, the body's own deadline counts instead.
    pub(crate) deadline: Instant,
    /// Whether it must never run twice.
    pub(crate) at_most_once: bool,
    /// Whether it has its final answer or its client has left.
    ended: AtomicBool,
}

impl Outgoing {
    pub(crate) fn new(
        (method, target, headers): (Method, PathAndQuery, HeaderMap),
        body: Payload,
        deadline: Instant,
        at_most_once: bool,
    ) -> Outgoing {
        Outgoing { method, target, headers, body, deadline, at_most_once, ended: AtomicBool::new(false) }
    }

    /// Marks the request as answered or abandoned: no attempt starts from here on, whichever thread learns of
    /// it and whatever the attempt is waiting for.
    pub(crate) fn end(&self) {
        self.ended.store(true, Ordering::Release);
    }

    /// Whether the client still waits, so that an attempt may start.
    pub(crate) fn awaits_answer(&self) -> bool {
        let in_time =
            || self.body.client_deadline(self.deadline).is_none_or(|deadline| Instant::now() < deadline);
        !self.ended.load(Ordering::Acquire) && in_time()
    }
}
