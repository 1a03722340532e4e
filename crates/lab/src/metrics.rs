//! What is counted in a run.

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::Micros;
use crate::invariants::Violation;
use crate::simulation::GossipStats;

/// How many moments a run's time line is told in.
pub(crate) const MOMENTS: usize = 120;
/// The most rows of servers in the picture of their load.
const ROWS: usize = 60;
const LONGEST: Micros = 600_000_000;

/// What came of the requests of one class or tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct GroupTotals {
    /// Its name.
    pub name: String,
    /// How many were asked for.
    pub asked: u64,
    /// How many were served.
    pub served: u64,
    /// What they were worth.
    pub worth: f64,
    /// What was earned of it.
    pub earned: f64,
}

impl GroupTotals {
    /// The part of the worth that was earned.
    pub fn gain(&self) -> f64 {
        if self.worth > 0.0 { self.earned / self.worth } else { 1.0 }
    }
}

/// A moment of the time line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TimelinePoint {
    /// When it begins, in seconds.
    pub at: f64,
    /// Requests a second that clients began to want.
    pub asked: f64,
    /// Requests a second that were served.
    pub served: f64,
    /// Requests a second that were refused or failed, each time.
    pub turned: f64,
    /// Latency of those served, in milliseconds, from the intended start: 50th and 99th percentile.
    pub p50: f64,
    /// The 99th.
    pub p99: f64,
    /// What was worth earning among what was wanted in it, and what was earned of that.
    pub gain: f64,
}

/// How many attempts there were, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct AttemptCounts {
    /// First ones.
    pub first: u64,
    /// After another had ended.
    pub again: u64,
    /// Beside another.
    pub copies: u64,
    /// Of all, those that were worked on to the end for nobody.
    pub wasted: u64,
}

/// What came of a run.
#[derive(Clone, Debug, Serialize)]
pub struct RunMetrics {
    /// Whether it was ended before its time.
    pub cut: bool,
    /// What clients wanted, from `settle` on; and how many of that were served, in time, at last not.
    pub asked: u64,
    /// Served.
    pub served: u64,
    /// Served within the aim.
    pub in_time: u64,
    /// Wanted, and not served at last.
    pub lost: u64,
    /// Answers that refused, each time.
    pub refused: u64,
    /// Answers that something failed, each time.
    pub failed: u64,
    /// What all was worth, and what was earned.
    pub worth: f64,
    /// What was earned.
    pub earned: f64,
    /// Latency of what was served, in milliseconds from the intended start: 50th, 99th, 99.9th percentile, mean.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
    /// The mean.
    pub mean: f64,
    /// By class.
    pub classes: Vec<GroupTotals>,
    /// By tenant; empty without.
    pub tenants: Vec<GroupTotals>,
    /// Jain's index of the parts of worth that tenants earned: 1 when all are alike.
    pub fairness: f64,
    /// The least part of its worth that a tenant of at least 50 requests earned.
    pub worst_tenant: f64,
    /// AttemptCounts.
    pub attempts: AttemptCounts,
    /// The part of time that servers' cores were at work: least, mean, most.
    pub used: (f64, f64, f64),
    /// Little's law at the servers: how many were there on average, and arrivals a second times the mean stay.
    pub little: (f64, f64),
    /// What gossip came to, where nodes gossip.
    #[serde(rename = "talked")]
    pub gossip: Option<GossipStats>,
    /// Events of the simulation.
    pub events: u64,
    /// The time line.
    pub moments: Vec<TimelinePoint>,
    /// Rows of servers: what each had, by moments, on average.
    pub heat: Vec<Vec<f32>>,
    /// Rules that were violations: the first ones, and how many.
    #[serde(rename = "broken")]
    pub violations: Vec<Violation>,
    /// How many.
    #[serde(rename = "breaches")]
    pub violation_count: u64,
}

impl RunMetrics {
    /// The part of all worth that was earned: worth answered in time over worth asked for.
    pub fn gain(&self) -> f64 {
        if self.worth > 0.0 { self.earned / self.worth } else { 1.0 }
    }

    /// AttemptCounts for each request that was wanted.
    pub fn attempts_a_request(&self) -> f64 {
        let all = self.attempts.first + self.attempts.again + self.attempts.copies;
        all as f64 / self.asked.max(1) as f64
    }
}

fn histogram(digits: u8) -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST, digits).expect("bounds that are known to be fine")
}

struct Tick {
    asked: u64,
    served: u64,
    turned: u64,
    worth: f64,
    earned: f64,
    latency: Histogram<u64>,
}

/// A want that has come to its end.
pub(crate) struct Ended {
    pub(crate) start: Micros,
    pub(crate) class: usize,
    pub(crate) tenant: Option<u32>,
    pub(crate) worth: f64,
    /// What was earned, and after how long, if it was served.
    pub(crate) served: Option<(f64, Micros, bool)>,
}

/// Counts.
pub(crate) struct Counts {
    settle: Micros,
    span: Micros,
    pub(crate) refused: u64,
    pub(crate) failed: u64,
    pub(crate) attempts: AttemptCounts,
    in_time: u64,
    latency: Histogram<u64>,
    sum: f64,
    classes: Vec<GroupTotals>,
    tenants: Vec<GroupTotals>,
    ticks: Vec<Tick>,
    heat: Vec<Vec<f32>>,
    servers: usize,
}

impl Counts {
    pub(crate) fn new(
        settle: Micros,
        span: Micros,
        classes: &[String],
        tenants: u32,
        servers: usize,
    ) -> Counts {
        let part = |name: String| GroupTotals { name, ..GroupTotals::default() };
        let tick = || Tick { asked: 0, served: 0, turned: 0, worth: 0.0, earned: 0.0, latency: histogram(2) };
        Counts {
            settle,
            span,
            refused: 0,
            failed: 0,
            attempts: AttemptCounts::default(),
            in_time: 0,
            latency: histogram(3),
            sum: 0.0,
            classes: classes.iter().cloned().map(part).collect(),
            tenants: (0..tenants).map(|number| part(format!("t{number}"))).collect(),
            ticks: (0..MOMENTS).map(|_| tick()).collect(),
            heat: vec![vec![0.0; MOMENTS]; servers.min(ROWS)],
            servers,
        }
    }

    /// TargetSelector moment a time is in.
    fn moment(&self, at: Micros) -> usize {
        ((at as u128 * MOMENTS as u128 / u128::from(self.span.max(1))) as usize).min(MOMENTS - 1)
    }

    pub(crate) fn turned(&mut self, now: Micros) {
        let moment = self.moment(now);
        self.ticks[moment].turned += 1;
    }

    /// A want has come to its end.
    pub(crate) fn ended(&mut self, want: &Ended) {
        let earned = want.served.map_or(0.0, |(earned, _, _)| earned);
        let moment = self.moment(want.start);
        let tick = &mut self.ticks[moment];
        tick.asked += 1;
        tick.worth += want.worth;
        tick.earned += earned;
        if let Some((_, took, _)) = want.served {
            let end = self.moment(want.start + took);
            self.ticks[end].served += 1;
            let _ = self.ticks[moment].latency.record(took.clamp(1, LONGEST));
        }
        if want.start < self.settle {
            return;
        }
        let parts = self.classes.get_mut(want.class).into_iter();
        for part in parts.chain(want.tenant.and_then(|tenant| self.tenants.get_mut(tenant as usize))) {
            part.asked += 1;
            part.worth += want.worth;
            part.earned += earned;
            part.served += u64::from(want.served.is_some());
        }
        if let Some((_, took, in_time)) = want.served {
            let _ = self.latency.record(took.clamp(1, LONGEST));
            self.sum += took as f64;
            self.in_time += u64::from(in_time);
        }
    }

    /// What a server has, looked at some times in each moment; `weight` is one over how often.
    pub(crate) fn load(&mut self, now: Micros, server: usize, count: usize, weight: f32) {
        let (moment, rows) = (self.moment(now), self.heat.len());
        let row = server * rows / self.servers;
        let in_row = self.servers as f32 / rows as f32;
        self.heat[row][moment] += count as f32 * weight / in_row;
    }

    pub(crate) fn figures(self, rest: Rest) -> RunMetrics {
        let sum = |of: fn(&GroupTotals) -> f64| self.classes.iter().map(of).sum::<f64>();
        let (asked, served) = (sum(|part| part.asked as f64) as u64, sum(|part| part.served as f64) as u64);
        let gains: Vec<f64> =
            self.tenants.iter().filter(|part| part.asked >= 50).map(GroupTotals::gain).collect();
        let squares: f64 = gains.iter().map(|gain| gain * gain).sum();
        let all: f64 = gains.iter().sum();
        let fairness = if squares > 0.0 { all * all / (gains.len() as f64 * squares) } else { 1.0 };
        let ms = |percent: f64| self.latency.value_at_percentile(percent) as f64 / 1e3;
        let width = self.span as f64 / 1e6 / MOMENTS as f64;
        let told = |(at, tick): (usize, &Tick)| TimelinePoint {
            at: at as f64 * width,
            asked: tick.asked as f64 / width,
            served: tick.served as f64 / width,
            turned: tick.turned as f64 / width,
            p50: tick.latency.value_at_percentile(50.0) as f64 / 1e3,
            p99: tick.latency.value_at_percentile(99.0) as f64 / 1e3,
            gain: if tick.worth > 0.0 { tick.earned / tick.worth } else { 1.0 },
        };
        RunMetrics {
            cut: rest.cut,
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
            mean: self.sum / 1e3 / served.max(1) as f64,
            fairness,
            worst_tenant: gains.iter().copied().fold(1.0, f64::min),
            attempts: self.attempts,
            used: rest.used,
            little: rest.little,
            gossip: rest.gossip,
            events: rest.events,
            moments: self.ticks.iter().enumerate().map(told).collect(),
            classes: self.classes,
            tenants: self.tenants,
            heat: self.heat,
            violations: rest.violations,
            violation_count: rest.violation_count,
        }
    }
}

/// What the world knows at its end.
pub(crate) struct Rest {
    pub(crate) cut: bool,
    pub(crate) used: (f64, f64, f64),
    pub(crate) little: (f64, f64),
    pub(crate) gossip: Option<GossipStats>,
    pub(crate) events: u64,
    pub(crate) violations: Vec<Violation>,
    pub(crate) violation_count: u64,
}
