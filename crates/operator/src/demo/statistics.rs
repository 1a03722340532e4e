//! Statistics of the demonstration's clients.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Statistics of all clients, shared between their tasks.
#[derive(Debug, Clone, Default)]
pub(super) struct ClientStatistics(Arc<Mutex<Counts>>);

#[derive(Debug, Default)]
struct Counts {
    /// Times to first event since the last output line.
    recent: Vec<Duration>,
    /// Failures since the last output line.
    recent_failures: u64,
    /// Times to first event since the start.
    all: Vec<Duration>,
    /// Failures since the start, by reason.
    failures: BTreeMap<String, u64>,
}

impl ClientStatistics {
    /// Records a complete response and its time to first event.
    pub(super) fn record_served(&self, first_event: Duration) {
        let mut counts = self.lock();
        counts.recent.push(first_event);
        counts.all.push(first_event);
    }

    /// Records a request without a complete response.
    pub(super) fn record_failure(&self, reason: &str) {
        let mut counts = self.lock();
        counts.recent_failures += 1;
        *counts.failures.entry(reason.to_owned()).or_default() += 1;
    }

    /// Formats the statistics since the last call and resets them.
    pub(super) fn take_recent_line(&self) -> String {
        let mut counts = self.lock();
        let mut times = std::mem::take(&mut counts.recent);
        let failed = std::mem::take(&mut counts.recent_failures);
        let served = times.len();
        let (p50, p95) = quantiles(&mut times);
        format!("served {served:>3}/s  first event p50 {p50:>3} ms p95 {p95:>3} ms  failed {failed}")
    }

    /// Returns the statistics since the start.
    pub(super) fn summary(&self, leaderless: Option<Duration>, requests_after_drain: usize) -> Summary {
        let mut counts = self.lock();
        let served = counts.all.len() as u64;
        let (p50_ms, p95_ms) = quantiles(&mut counts.all);
        let failures = counts.failures.clone();
        let leaderless_ms = leaderless.map(|duration| duration.as_millis() as u64);
        Summary {
            served,
            p50_ms,
            p95_ms,
            failures,
            leaderless_ms,
            requests_after_drain: requests_after_drain as u64,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The 50th and 95th percentiles in milliseconds; 0 without samples.
fn quantiles(times: &mut [Duration]) -> (u64, u64) {
    times.sort_unstable();
    let at = |percent: usize| {
        let position = (times.len() * percent).div_ceil(100).saturating_sub(1);
        times.get(position).map_or(0, |time| time.as_millis() as u64)
    };
    (at(50), at(95))
}

/// The results of a demonstration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// Number of complete responses.
    pub served: u64,
    /// Median time to first event, in milliseconds.
    pub p50_ms: u64,
    /// 95th percentile of the time to first event, in milliseconds.
    pub p95_ms: u64,
    /// Number of requests without a complete response, by reason.
    pub failures: BTreeMap<String, u64>,
    /// Time from killing the leader until a new leader was observed, in milliseconds; `None` if none was
    /// observed.
    pub leaderless_ms: Option<u64>,
    /// Requests that the draining server received after its drain time.
    pub requests_after_drain: u64,
}

impl Summary {
    /// The summary as lines of text.
    pub fn lines(&self) -> Vec<String> {
        let failed: u64 = self.failures.values().sum();
        let mut lines = vec![format!(
            "served {}, failed {failed}; first event p50 {} ms, p95 {} ms",
            self.served, self.p50_ms, self.p95_ms
        )];
        lines.extend(self.failures.iter().map(|(reason, count)| format!("  {count} x {reason}")));
        if let Some(duration) = self.leaderless_ms {
            lines.push(format!("a new leader was observed {duration} ms after the first was killed"));
            let requests = self.requests_after_drain;
            lines.push(format!("requests at the draining server after its drain time: {requests}"));
        }
        lines
    }
}
