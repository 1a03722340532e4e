//! Checks of how proxies exited and of the outcomes of requests; each returns its failures, one line each.

use std::time::{Duration, Instant};

use testkit::system::scene::{FIXED, Scene, UNSAFE};

use super::clients::{Outcome, RequestRecord};
use super::runner::ProxyExit;
use super::{GRACE_PERIOD_S, route_timeout};

/// A request that no server received may have been sent just as its connection closed. One that was open for
/// this long (`lossSlackMs` of the rules) has been read, and its loss is a failure.
const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(200);
/// Time after the exit of the process within which a client may notice that its request was interrupted.
const INTERRUPTION_NOTICED_WITHIN: Duration = Duration::from_secs(1);
/// Time within which a process handles a signal: a request sent earlier may be read before the signal.
const SIGNAL_HANDLED_WITHIN: Duration = Duration::from_millis(100);
/// Fraction of the grace period after which a request from before the signal may be interrupted, because it
/// outlasts the process.
const EXCUSED_GRACE_FRACTION: f64 = 5.0 / 6.0;

/// Proxies that did not exit with success within the grace period.
pub(crate) fn check_exits(exits: &[ProxyExit]) -> Vec<String> {
    let failed = exits.iter().filter(|exit| !exit.success);
    failed
        .map(|exit| {
            format!("front {} exited badly after {:?}", exit.front, exit.exited_at - exit.signaled_at)
        })
        .collect()
}

/// Requests that a proxy itself logs as received after SIGTERM and interrupted by its exit.
pub(crate) fn check_logs(scene: &mut Scene) -> Vec<String> {
    let mut failures = Vec::new();
    for front in 0..scene.fleet.fronts() {
        let log = scene.fleet.proxy(front).log();
        let interrupted =
            log.lines().filter(|line| line.contains("request cut by the end") && came_after_signal(line));
        failures.extend(interrupted.map(|line| format!("front {front}: {line}")));
    }
    failures
}

fn came_after_signal(line: &str) -> bool {
    let after = line.split("came_after_signal_ms=").nth(1).and_then(|rest| rest.split(' ').next());
    after.and_then(|after| after.parse::<i64>().ok()).is_none_or(|after| after > 0)
}

/// Requests that were lost, refused although they ran, run twice, or answered with an unexpected response.
pub(crate) fn check_requests(scene: &Scene, requests: &[RequestRecord], exits: &[ProxyExit]) -> Vec<String> {
    requests
        .iter()
        .filter_map(|record| Some((record, failure_of(scene, record, exits)?)))
        .map(describe_failure)
        .collect()
}

fn describe_failure((record, failure): (&RequestRecord, String)) -> String {
    let took = record.completed_at - record.sent_at;
    let (path, id, front, earlier_requests) =
        (record.path, &record.id, record.front, record.earlier_requests);
    let connection_age = record.sent_at - record.connected_at;
    format!(
        "{path} {id} at front {front}: {failure}; completed {took:?} after it was sent, sent \
         {connection_age:?} after the connection was established, {earlier_requests} earlier requests on it"
    )
}

/// Why the outcome of a request is a failure; `None` if it is allowed.
fn failure_of(scene: &Scene, record: &RequestRecord, exits: &[ProxyExit]) -> Option<String> {
    let runs = scene.runs(&record.id);
    if runs > 1 && matches!(record.path, UNSAFE | FIXED) {
        return Some(format!("ran {runs} times"));
    }
    match &record.outcome {
        Outcome::Completed(200) if runs > 0 => None,
        Outcome::Completed(429 | 503) if runs == 0 => None,
        Outcome::Completed(status) => Some(format!("answered {status}, ran {runs} times")),
        Outcome::UnexpectedEvents(ids) => Some(format!("received events {ids:?}")),
        Outcome::Interrupted { .. }
            if is_excused(record, exits)
                || record.completed_at - record.sent_at >= route_timeout(record.path) =>
        {
            None
        }
        Outcome::Interrupted { .. }
            if runs == 0 && record.completed_at - record.sent_at < CLOSE_RACE_WINDOW =>
        {
            None
        }
        Outcome::Interrupted { response_started } => Some(format!(
            "LOST (response started: {response_started}), ran {runs} times, {}",
            describe_timing(record, exits)
        )),
    }
}

/// Whether the request was sent before the signal was handled, and outlasted the process.
fn is_excused(record: &RequestRecord, exits: &[ProxyExit]) -> bool {
    let excused_from = Duration::from_secs(GRACE_PERIOD_S).mul_f64(EXCUSED_GRACE_FRACTION);
    interrupting_exit(record, exits).is_some_and(|exit| {
        record.sent_at < exit.signaled_at + SIGNAL_HANDLED_WITHIN
            && record.completed_at >= exit.signaled_at + excused_from
    })
}

/// The proxy exit that interrupted a request, if any.
fn interrupting_exit<'e>(record: &RequestRecord, exits: &'e [ProxyExit]) -> Option<&'e ProxyExit> {
    let is_during = |time: Instant, exit: &ProxyExit| {
        exit.signaled_at <= time && time <= exit.exited_at + INTERRUPTION_NOTICED_WITHIN
    };
    exits.iter().find(|exit| exit.front == record.front && is_during(record.completed_at, exit))
}

fn describe_timing(record: &RequestRecord, exits: &[ProxyExit]) -> String {
    match interrupting_exit(record, exits) {
        Some(exit) if record.sent_at >= exit.signaled_at => {
            format!("sent {:?} after SIGTERM", record.sent_at - exit.signaled_at)
        }
        Some(exit) => format!("sent {:?} before SIGTERM", exit.signaled_at - record.sent_at),
        None => "while the process ran".to_owned(),
    }
}

/// Counts of outcomes, and the longest time of an interrupted request that no server received.
pub(crate) fn summary(scene: &Scene, requests: &[RequestRecord]) -> String {
    let count =
        |matches: fn(&Outcome) -> bool| requests.iter().filter(|record| matches(&record.outcome)).count();
    let served = count(|outcome| *outcome == Outcome::Completed(200));
    let refused = count(|outcome| matches!(outcome, Outcome::Completed(429 | 503)));
    let interrupted = count(|outcome| matches!(outcome, Outcome::Interrupted { .. }));
    let not_received = requests.iter().filter(|record| {
        matches!(record.outcome, Outcome::Interrupted { .. }) && scene.runs(&record.id) == 0
    });
    let durations: Vec<Duration> = not_received.map(|record| record.completed_at - record.sent_at).collect();
    let longest = durations.iter().max().copied().unwrap_or_default();
    format!(
        "{} requests, {served} served, {refused} refused, {interrupted} interrupted, {} unreceived \
         (longest {longest:?})",
        requests.len(),
        durations.len()
    )
}
