//! The metrics of a run.

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::Micros;
use crate::invariants::Violation;
use crate::simulation::GossipStats;

/// The number of intervals in the time line of a run.
pub(crate) const TIMELINE_POINTS: usize = 120;
/// The maximum number of rows in the heat map of server load.
const MAX_HEAT_ROWS: usize = 60;
/// The maximum latency that histograms can hold.
const MAX_LATENCY: Micros = 600_000_000;

/// The totals of the calls of one class or tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct GroupTotals {
    /// The name of the class or tenant.
    pub name: String,
    /// The number of calls.
    pub asked: u64,
    /// The number of calls that were served.
    pub served: u64,
    /// The sum of the worth of all calls.
    pub worth: f64,
    /// The sum of the worth that was earned.
    pub earned: f64,
}

impl GroupTotals {
    /// The fraction of the worth that was earned; 1 if there was none.
    pub fn gain(&self) -> f64 {
        if self.worth > 0.0 { self.earned / self.worth } else { 1.0 }
    }
}

/// The metrics of one interval of the time line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TimelinePoint {
    /// The start in seconds.
    pub at: f64,
    /// Calls started per second.
    pub asked: f64,
    /// Calls served per second.
    pub served: f64,
    /// Requests refused or failed per second, retries included.
    #[serde(rename = "turned")]
    pub rejected: f64,
    /// The median latency in milliseconds of the calls that started in this interval and were served,
    /// measured from the intended start.
    pub p50: f64,
    /// The 99th percentile of these latencies in milliseconds.
    pub p99: f64,
    /// The fraction of the worth of calls started in the interval that was earned.
    pub gain: f64,
}

/// The numbers of attempts by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct AttemptCounts {
    /// First attempts of requests.
    pub first: u64,
    /// Retries, sent after another attempt had ended.
    pub again: u64,
    /// Hedged attempts, sent while another was in flight.
    pub copies: u64,
    /// Of all attempts, those that were executed to the end although nobody waited for them any more.
    pub wasted: u64,
}

/// The metrics of a run. Unless noted, they cover the calls that start after `settle`.
#[derive(Clone, Debug, Serialize)]
pub struct RunMetrics {
    /// Whether the run was stopped early.
    pub cut: bool,
    /// The number of calls.
    pub asked: u64,
    /// The number of calls that were served.
    pub served: u64,
    /// The number of calls that were served within their class's target latency.
    pub in_time: u64,
    /// The number of calls that were not served, retries included.
    pub lost: u64,
    /// The number of refused requests, retries included.
    pub refused: u64,
    /// The number of failed requests, retries included.
    pub failed: u64,
    /// The sum of the worth of all calls.
    pub worth: f64,
    /// The sum of the worth that was earned.
    pub earned: f64,
    /// The median latency of served calls in milliseconds, measured from the intended start, as are the next
    /// three.
    pub p50: f64,
    /// The 99th percentile in milliseconds.
    pub p99: f64,
    /// The 99.9th percentile in milliseconds.
    pub p999: f64,
    /// The mean in milliseconds.
    pub mean: f64,
    /// The totals by class.
    pub classes: Vec<GroupTotals>,
    /// The totals by tenant; empty without tenants.
    pub tenants: Vec<GroupTotals>,
    /// Jain's fairness index of the fractions of worth that tenants earned: 1 if all are equal.
    pub fairness: f64,
    /// The least fraction of its worth that a tenant with at least 50 calls earned.
    pub worst_tenant: f64,
    /// The numbers of attempts.
    pub attempts: AttemptCounts,
    /// The utilization of the servers' cores: minimum, mean and maximum over servers.
    #[serde(rename = "used")]
    pub utilization: (f64, f64, f64),
    /// Little's law at the servers: the mean number of attempts there, and the arrival rate times the mean
    /// sojourn time.
    pub little: (f64, f64),
    /// The gossip statistics; `None` if nodes don't gossip.
    #[serde(rename = "talked")]
    pub gossip: Option<GossipStats>,
    /// The number of simulated events.
    pub events: u64,
    /// The time line.
    #[serde(rename = "moments")]
    pub timeline: Vec<TimelinePoint>,
    /// The heat map: for each row of servers, the mean number of requests at a server in each interval.
    pub heat: Vec<Vec<f32>>,
    /// The first violations of invariants.
    #[serde(rename = "broken")]
    pub violations: Vec<Violation>,
    /// The number of all violations.
    #[serde(rename = "breaches")]
    pub violation_count: u64,
}

impl RunMetrics {
    /// The fraction of the worth of all calls that was earned; 1 if there was none.
    pub fn gain(&self) -> f64 {
        if self.worth > 0.0 { self.earned / self.worth } else { 1.0 }
    }

    /// The mean number of attempts per call.
    pub fn attempts_per_call(&self) -> f64 {
        let total = self.attempts.first + self.attempts.again + self.attempts.copies;
        total as f64 / self.asked.max(1) as f64
    }
}

fn histogram(digits: u8) -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY, digits).expect("the bounds are valid")
}

struct Interval {
    asked: u64,
    served: u64,
    rejected: u64,
    worth: f64,
    earned: f64,
    latency: Histogram<u64>,
}

/// A call that is over, with its times relative to the start.
pub(crate) struct FinishedCall {
    pub(crate) start: Micros,
    pub(crate) class: usize,
    pub(crate) tenant: Option<u32>,
    pub(crate) worth: f64,
    /// If the call was served: the earned worth, the latency, and whether it met the target latency.
    pub(crate) served: Option<(f64, Micros, bool)>,
}

/// Collects the metrics of a run.
pub(crate) struct MetricsCollector {
    settle: Micros,
    span: Micros,
    pub(crate) refused: u64,
    pub(crate) failed: u64,
    pub(crate) attempts: AttemptCounts,
    in_time: u64,
    latency: Histogram<u64>,
    latency_sum: f64,
    classes: Vec<GroupTotals>,
    tenants: Vec<GroupTotals>,
    intervals: Vec<Interval>,
    heat: Vec<Vec<f32>>,
    servers: usize,
}

impl MetricsCollector {
    pub(crate) fn new(
        settle: Micros,
        span: Micros,
        classes: &[String],
        tenants: u32,
        servers: usize,
    ) -> MetricsCollector {
        let part = |name: String| GroupTotals { name, ..GroupTotals::default() };
        let current =
            || Interval { asked: 0, served: 0, rejected: 0, worth: 0.0, earned: 0.0, latency: histogram(2) };
        MetricsCollector {
            settle,
            span,
            refused: 0,
            failed: 0,
            attempts: AttemptCounts::default(),
            in_time: 0,
            latency: histogram(3),
            latency_sum: 0.0,
            classes: classes.iter().cloned().map(part).collect(),
            tenants: (0..tenants).map(|number| part(format!("t{number}"))).collect(),
            intervals: (0..TIMELINE_POINTS).map(|_| current()).collect(),
            heat: vec![vec![0.0; TIMELINE_POINTS]; servers.min(MAX_HEAT_ROWS)],
            servers,
        }
    }

    /// The index of the interval of the time line that contains this time.
    fn interval(&self, at: Micros) -> usize {
        ((at as u128 * TIMELINE_POINTS as u128 / u128::from(self.span.max(1))) as usize)
            .min(TIMELINE_POINTS - 1)
    }

    pub(crate) fn record_rejection(&mut self, now: Micros) {
        let interval = self.interval(now);
        self.intervals[interval].rejected += 1;
    }

    /// Records a call that is over.
    pub(crate) fn record_call(&mut self, call: &FinishedCall) {
        let earned = call.served.map_or(0.0, |(earned, _, _)| earned);
        let interval = self.interval(call.start);
        let current = &mut self.intervals[interval];
        current.asked += 1;
        current.worth += call.worth;
        current.earned += earned;
        if let Some((_, latency, _)) = call.served {
            let end = self.interval(call.start + latency);
            self.intervals[end].served += 1;
            let _ = self.intervals[interval].latency.record(latency.clamp(1, MAX_LATENCY));
        }
        if call.start < self.settle {
            return;
        }
        let parts = self.classes.get_mut(call.class).into_iter();
        for part in parts.chain(call.tenant.and_then(|tenant| self.tenants.get_mut(tenant as usize))) {
            part.asked += 1;
            part.worth += call.worth;
            part.earned += earned;
            part.served += u64::from(call.served.is_some());
        }
        if let Some((_, latency, in_time)) = call.served {
            let _ = self.latency.record(latency.clamp(1, MAX_LATENCY));
            self.latency_sum += latency as f64;
            self.in_time += u64::from(in_time);
        }
    }

    /// Records a load sample of a server; `weight` is 1 over the number of samples per interval.
    pub(crate) fn record_load(&mut self, now: Micros, server: usize, count: usize, weight: f32) {
        let (interval, rows) = (self.interval(now), self.heat.len());
        let row = server * rows / self.servers;
        let in_row = self.servers as f32 / rows as f32;
        self.heat[row][interval] += count as f32 * weight / in_row;
    }

    pub(crate) fn finish(self, totals: RunTotals) -> RunMetrics {
        let sum = |of: fn(&GroupTotals) -> f64| self.classes.iter().map(of).sum::<f64>();
        let (asked, served) = (sum(|part| part.asked as f64) as u64, sum(|part| part.served as f64) as u64);
        let gains: Vec<f64> =
            self.tenants.iter().filter(|part| part.asked >= 50).map(GroupTotals::gain).collect();
        let squares: f64 = gains.iter().map(|gain| gain * gain).sum();
        let total: f64 = gains.iter().sum();
        let fairness = if squares > 0.0 { total * total / (gains.len() as f64 * squares) } else { 1.0 };
        let ms = |percent: f64| self.latency.value_at_percentile(percent) as f64 / 1e3;
        let width = self.span as f64 / 1e6 / TIMELINE_POINTS as f64;
        let point = |(at, current): (usize, &Interval)| TimelinePoint {
            at: at as f64 * width,
            asked: current.asked as f64 / width,
            served: current.served as f64 / width,
            rejected: current.rejected as f64 / width,
            p50: current.latency.value_at_percentile(50.0) as f64 / 1e3,
            p99: current.latency.value_at_percentile(99.0) as f64 / 1e3,
            gain: if current.worth > 0.0 { current.earned / current.worth } else { 1.0 },
        };
        RunMetrics {
            cut: totals.cut,
            asked,
            served,
            in_time: self.in_time,
            lost: asked - served,
            refused: self.refused,
            failed: self.failed,
            worth: sum(|part| part.worth),
            earned: sum(|part| part.earned),
            p50: ms(50.0),
            p99: ms(99.0),
            p999: ms(99.9),
            mean: self.latency_sum / 1e3 / served.max(1) as f64,
            fairness,
            worst_tenant: gains.iter().copied().fold(1.0, f64::min),
            attempts: self.attempts,
            utilization: totals.utilization,
            little: totals.little,
            gossip: totals.gossip,
            events: totals.events,
            timeline: self.intervals.iter().enumerate().map(point).collect(),
            classes: self.classes,
            tenants: self.tenants,
            heat: self.heat,
            violations: totals.violations,
            violation_count: totals.violation_count,
        }
    }
}

/// The metrics that the simulation itself keeps.
pub(crate) struct RunTotals {
    pub(crate) cut: bool,
    pub(crate) utilization: (f64, f64, f64),
    pub(crate) little: (f64, f64),
    pub(crate) gossip: Option<GossipStats>,
    pub(crate) events: u64,
    pub(crate) violations: Vec<Violation>,
    pub(crate) violation_count: u64,
}
