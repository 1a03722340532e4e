//! What the clients saw.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Counts of all clients.
#[derive(Debug, Clone, Default)]
pub(super) struct Tally(Arc<Mutex<Counts>>);

#[derive(Debug, Default)]
struct Counts {
    /// Times to the first event since the last line.
    recent: Vec<Duration>,
    /// Failures since the last line.
    recent_failures: u64,
    /// Times to the first event since the start.
    all: Vec<Duration>,
    failures: BTreeMap<String, u64>,
}

impl Tally {
    /// Counts a whole answer.
    pub(super) fn served(&self, first_event: Duration) {
        let mut counts = self.counts();
        counts.recent.push(first_event);
        counts.all.push(first_event);
    }

    /// Counts a request without one.
    pub(super) fn failed(&self, reason: &str) {
        let mut counts = self.counts();
        counts.recent_failures += 1;
        *counts.failures.entry(reason.to_owned()).or_default() += 1;
    }

    /// What was seen since the last call.
    pub(super) fn take_line(&self) -> String {
        let mut counts = self.counts();
        let mut times = std::mem::take(&mut counts.recent);
        let failed = std::mem::take(&mut counts.recent_failures);
        let served = times.len();
        let (middle, late) = quantiles(&mut times);
        format!("served {served:>3}/s  first event p50 {middle:>3} ms p95 {late:>3} ms  failed {failed}")
    }

    /// All that was seen.
    pub(super) fn summary(&self, leaderless: Option<Duration>, requests_after_drain: usize) -> Summary {
        let mut counts = self.counts();
        let served = counts.all.len() as u64;
        let (p50_ms, p95_ms) = quantiles(&mut counts.all);
        let failures = counts.failures.clone();
        let leaderless_ms = leaderless.map(|gap| gap.as_millis() as u64);
        Summary {
            served,
            p50_ms,
            p95_ms,
            failures,
            leaderless_ms,
            requests_after_drain: requests_after_drain as u64,
        }
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Half of the times and 95 of 100 are at most these, in milliseconds; 0 without any.
fn quantiles(times: &mut [Duration]) -> (u64, u64) {
    times.sort_unstable();
    let at = |percent: usize| {
        let place = (times.len() * percent).div_ceil(100).saturating_sub(1);
        times.get(place).map_or(0, |time| time.as_millis() as u64)
    };
    (at(50), at(95))
}

/// What a demonstration showed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// Whole answers.
    pub served: u64,
    /// Median time to the first event, in milliseconds.
    pub p50_ms: u64,
    /// The same for 95 of 100, in milliseconds.
    pub p95_ms: u64,
    /// Requests without a whole answer, by reason.
    pub failures: BTreeMap<String, u64>,
    /// Time from the killing of the leader until another was seen, in milliseconds; none if that was not reached.
    pub leaderless_ms: Option<u64>,
    /// Requests that came to the drained server after its time to drain.
    pub requests_after_drain: u64,
}

impl Summary {
    /// The summary as lines for people.
    pub fn lines(&self) -> Vec<String> {
        let failed: u64 = self.failures.values().sum();
        let mut lines = vec![format!(
            "served {}, failed {failed}; first event p50 {} ms, p95 {} ms",
            self.served, self.p50_ms, self.p95_ms
        )];
        lines.extend(self.failures.iter().map(|(reason, count)| format!("  {count} x {reason}")));
        if let Some(gap) = self.leaderless_ms {
            lines.push(format!("another leader was seen {gap} ms after the first was killed"));
            let late = self.requests_after_drain;
            lines.push(format!("requests at the drained server after its time to drain: {late}"));
        }
        lines
    }
}
