//! Outlier ejection: a server that fails requests receives none for a while, and is then probed with single
//! requests.

use dunelink_serving_model::Micros;

use crate::{AttemptId, Outcome};

/// Duration of the first ejection, in microseconds. It doubles with each further ejection.
const INITIAL_EJECTION_US: Micros = 1_000_000;
/// Maximum duration of an ejection, in microseconds.
const MAX_EJECTION_US: Micros = 16_000_000;
/// Consecutive connection failures that eject a server.
const CONNECT_FAILURES_TO_EJECT: u32 = 2;
/// Consecutive broken responses that eject a server.
const BROKEN_RESPONSES_TO_EJECT: u32 = 3;
/// The recent failure rate that ejects a server, and the number of responses needed for it to count.
const FAILURE_RATE_TO_EJECT: f64 = 0.5;
const MIN_RESPONSES_TO_EJECT: f64 = 6.0;
/// Weight of one response in the moving average of the failure rate.
const FAILURE_RATE_STEP: f64 = 0.15;
/// Consecutive successes that reset the duration of the next ejection.
const SUCCESSES_TO_RESET_BACKOFF: u32 = 10;
/// How long a server gets no requests after it first reports that it is full, in microseconds. Doubles with
/// each further consecutive report.
const INITIAL_FULL_BACKOFF_US: Micros = 40_000;
/// Maximum duration of this backoff, in microseconds.
const MAX_FULL_BACKOFF_US: Micros = 640_000;
/// How long a suspicion reported by other processes counts unless it is renewed, in microseconds.
const SUSPICION_TTL_US: Micros = 3_000_000;

/// Failure statistics of one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    connect_failures: u32,
    broken_responses: u32,
    successes: u32,
    failure_rate: f64,
    responses: f64,
    ejections: u32,
    /// End of the current ejection. Stays set until a probe succeeds.
    ejected_until: Option<Micros>,
    /// The probe in flight, if any.
    probe: Option<AttemptId>,
    full_until: Micros,
    consecutive_full: u32,
    /// The failure rate that other processes observed, and the time until which it counts.
    suspected_failure_rate: f64,
    suspected_until: Micros,
}

impl Health {
    /// Whether the server must get no requests: it is ejected, or a probe is in flight.
    pub(crate) fn is_ejected(&self, now: Micros) -> bool {
        self.ejected_until.is_some_and(|until| now < until || self.probe.is_some())
    }

    /// Whether the next request to the server is a probe.
    pub(crate) fn needs_probe(&self) -> bool {
        self.ejected_until.is_some() && self.probe.is_none()
    }

    /// Remaining time of the ejection; 0 if there is none.
    pub(crate) fn ejected_for(&self, now: Micros) -> Micros {
        self.ejected_until.map_or(0, |until| until.saturating_sub(now))
    }

    /// Whether the server recently reported that it is full.
    pub(crate) fn is_full(&self, now: Micros) -> bool {
        now < self.full_until
    }

    /// The end of the backoff after the server reported that it is full.
    pub(crate) fn full_until(&self) -> Micros {
        self.full_until
    }

    /// The recent failure rate, the higher of what this process and others observed. With few responses, this
    /// process's own rate is scaled down.
    pub(crate) fn failure_rate(&self, now: Micros) -> f64 {
        let own = self.failure_rate * self.responses / (self.responses + MIN_RESPONSES_TO_EJECT);
        if now < self.suspected_until { own.max(self.suspected_failure_rate) } else { own }
    }

    /// Records the failure rate that other processes observed.
    pub(crate) fn observe_suspicion(&mut self, now: Micros, failed_share: f64) {
        self.suspected_failure_rate = failed_share;
        self.suspected_until = now + SUSPICION_TTL_US;
    }

    /// Records that a request is sent. It is a probe if the server's ejection has run out.
    pub(crate) fn record_sent(&mut self, now: Micros, attempt: AttemptId) {
        if self.needs_probe() && !self.is_ejected(now) {
            self.probe = Some(attempt);
        }
    }

    /// Records that an event or a response head arrived.
    pub(crate) fn record_response(&mut self) {
        (self.connect_failures, self.broken_responses) = (0, 0);
        (self.consecutive_full, self.full_until) = (0, 0);
        if self.ejected_until.is_some() && self.probe.is_some() {
            self.recover();
        }
    }

    fn recover(&mut self) {
        (self.ejected_until, self.probe) = (None, None);
        (self.failure_rate, self.responses) = (0.0, 0.0);
        self.successes = 0;
    }

    /// Records an outcome. Returns whether the server should be ejected for it.
    pub(crate) fn record_outcome(&mut self, now: Micros, attempt: AttemptId, outcome: Outcome) -> bool {
        let was_probe = self.probe == Some(attempt);
        let ejects = match outcome {
            Outcome::Served => return self.record_success(),
            Outcome::Rejected => {
                self.full_until =
                    now + (INITIAL_FULL_BACKOFF_US << self.consecutive_full.min(4)).min(MAX_FULL_BACKOFF_US);
                self.consecutive_full += 1;
                self.release_probe(was_probe);
                return false;
            }
            Outcome::Cancelled => {
                self.release_probe(was_probe);
                return false;
            }
            Outcome::ConnectFailed => {
                self.connect_failures += 1;
                self.connect_failures >= CONNECT_FAILURES_TO_EJECT
            }
            Outcome::WrongInstance => true,
            Outcome::Broken | Outcome::TimedOut => {
                self.broken_responses += 1;
                self.broken_responses >= BROKEN_RESPONSES_TO_EJECT
            }
            Outcome::ServerError => false,
        };
        self.successes = 0;
        self.update_failure_rate(1.0);
        let fails_often =
            self.responses >= MIN_RESPONSES_TO_EJECT && self.failure_rate >= FAILURE_RATE_TO_EJECT;
        if was_probe {
            self.probe = None;
        }
        was_probe || ejects || fails_often
    }

    fn record_success(&mut self) -> bool {
        self.record_response();
        self.update_failure_rate(0.0);
        self.successes += 1;
        if self.successes >= SUCCESSES_TO_RESET_BACKOFF {
            self.ejections = 0;
        }
        false
    }

    fn release_probe(&mut self, was_probe: bool) {
        if was_probe {
            self.probe = None;
        }
    }

    fn update_failure_rate(&mut self, failed: f64) {
        self.responses = (self.responses + 1.0).min(100.0);
        let step = FAILURE_RATE_STEP.max(1.0 / self.responses);
        self.failure_rate += (failed - self.failure_rate) * step;
    }

    /// Ejects the server for a time that doubles with each ejection.
    pub(crate) fn eject(&mut self, now: Micros) {
        if self.ejected_until.is_some_and(|until| now < until) {
            return;
        }
        let span = (INITIAL_EJECTION_US << self.ejections.min(8)).min(MAX_EJECTION_US);
        self.ejected_until = Some(now + span);
        self.ejections += 1;
        (self.connect_failures, self.broken_responses) = (0, 0);
        // The ejection accounts for these responses; they must not deter the probe that follows it.
        (self.failure_rate, self.responses) = (0.0, 0.0);
    }

    /// Returns the server to its pool at once.
    pub(crate) fn readmit(&mut self) {
        self.recover();
    }
}
