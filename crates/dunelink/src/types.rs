//! What the rooms of this crate hand to each other: a request on its way, its answer.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Response};
use tokio::time::Instant;

use crate::answer_body::AnswerBody;
use crate::payload::Payload;

/// The one final answer to a request. [`crate::http::respond`] says what it looks like in HTTP.
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
    /// The first whole 200 of a server, its headers without those of one hop.
    Served(Response<AnswerBody>),
    /// Turned away: nothing ran, or a repeat is harmless.
    Refused {
        /// For how long the client should stay away, if it should.
        retry_after: Option<Duration>,
    },
    /// No promise: it may have run, or may yet.
    Failed {
        /// Whether it was time that ran out.
        timed_out: bool,
    },
}

impl Answer {
    /// Whether a server answered.
    pub fn is_served(&self) -> bool {
        matches!(self, Answer::Served(_))
    }

    /// Whether trying again is harmless.
    pub fn is_refused(&self) -> bool {
        matches!(self, Answer::Refused { .. })
    }
}

/// A request as it goes on to servers; attempts share it.
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    /// Path and query, unchanged.
    pub(crate) target: PathAndQuery,
    /// All headers but the deadline.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Payload,
    /// When no answer is of use any more.
    pub(crate) deadline: Instant,
    /// Whether it must never run twice.
    pub(crate) at_most_once: bool,
    /// Whether nobody wants its answer any more.
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

    /// It has its final answer, or its client has gone: no attempt begins from now on, on whatever thread that is known
    /// and whatever the attempt waits for.
    pub(crate) fn end(&self) {
        self.ended.store(true, Ordering::Release);
    }

    /// Whether an attempt may still begin, as far as its client is concerned.
    pub(crate) fn awaits_answer(&self) -> bool {
        let in_time =
            || self.body.client_deadline(self.deadline).is_none_or(|deadline| Instant::now() < deadline);
        !self.ended.load(Ordering::Acquire) && in_time()
    }
}
