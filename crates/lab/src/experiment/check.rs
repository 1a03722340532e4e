//! What can't be, and where it stands in the file.

use std::time::Duration;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::{Experiment, ExperimentError, TargetSelector, WorkDistribution};
use crate::baselines;

/// What one machine bears in one run.
const MOST: (u32, u32) = (1000, 20_000);
/// The most runs of an experiment.
const CASES_MOST: usize = 10_000;

/// The line of a position, from 1.
pub(super) fn line_at(text: &str, position: usize) -> usize {
    1 + text.as_bytes().iter().take(position).filter(|b| **b == b'\n').count()
}

/// The key on the line of a position, as far as the line tells it.
pub(super) fn key_at(text: &str, position: usize) -> String {
    let line = text.lines().nth(line_at(text, position) - 1).unwrap_or_default();
    line.split('=').next().unwrap_or_default().trim().to_string()
}

/// The line on which a dotted key stands, or the nearest of its parents that does.
pub(super) fn line_of(text: &str, key: &str) -> Option<usize> {
    let root = DeTable::parse(text).ok()?;
    // A swept or changed key stands there as a whole.
    let whole = text.lines().position(|line| line.contains(&format!("\"{key}\"")));
    let (mut at, mut value): (Option<usize>, Option<&Spanned<DeValue<'_>>>) = (None, None);
    for part in key.split('.') {
        let next = match value.map(Spanned::get_ref) {
            None => root.get_ref().iter().find(|(k, _)| k.get_ref() == part).map(|(k, v)| (k.span(), v)),
            Some(DeValue::Table(table)) => {
                table.iter().find(|(k, _)| k.get_ref() == part).map(|(k, v)| (k.span(), v))
            }
            Some(DeValue::Array(array)) => {
                part.parse().ok().and_then(|i: usize| array.get(i)).map(|v| (v.span(), v))
            }
            Some(_) => None,
        };
        let Some((span, next)) = next else { break };
        (at, value) = (Some(span.start), Some(next));
    }
    whole.map(|line| line + 1).or(at.map(|position| line_at(text, position)))
}

struct Checks(Result<(), ExperimentError>);

impl Checks {
    fn holds(&mut self, holds: bool, key: impl Into<String>, expected: &str) {
        if !holds && self.0.is_ok() {
            self.0 = Err(ExperimentError::of(key, expected));
        }
    }

    /// A number that is finite and at least this.
    fn number(&mut self, number: f64, least: f64, key: impl Into<String>) {
        self.holds(number.is_finite() && number >= least, key, &format!("a number of at least {least}"));
    }

    fn part(&mut self, part: f64, key: impl Into<String>) {
        self.holds((0.0..=1.0).contains(&part), key, "a part from 0 to 1");
    }

    fn span(&mut self, span: Duration, least: Duration, key: impl Into<String>) {
        let holds = span >= least && span <= Duration::from_secs(86_400);
        self.holds(holds, key, &format!("a time from {least:?} to a day"));
    }

    fn which(&mut self, which: &TargetSelector, count: u32, key: &str) {
        match which {
            TargetSelector::Part(part) => self.part(*part, format!("{key}.part")),
            TargetSelector::Zone(_) => {}
            TargetSelector::These(these) => self.holds(
                these.iter().all(|number| *number < count),
                format!("{key}.these"),
                &format!("numbers under {count}"),
            ),
        }
    }
}

impl Experiment {
    /// Whether it can be played.
    pub fn check(&self) -> Result<(), ExperimentError> {
        let mut c = Checks(Ok(()));
        let ms = Duration::from_millis(1);
        c.span(self.span, 10 * ms, "span");
        c.holds(self.settle < self.span, "settle", "less than `span`");
        c.holds(!self.seeds.is_empty(), "seeds", "at least one");
        let n = &self.nodes;
        c.holds((1..=MOST.0).contains(&n.count), "nodes.count", &format!("1 to {}", MOST.0));
        c.holds(n.attempts > 0, "nodes.attempts", "at least 1");
        c.holds(n.labels > 0, "nodes.labels", "at least 1");
        c.holds(n.pool_min >= 4, "nodes.pool_min", "at least 4");
        c.holds(n.subset > 0, "nodes.subset", "at least 1");
        let k = &self.clients;
        c.number(k.rate, 0.001, "clients.rate");
        c.holds(k.rate <= 1e6, "clients.rate", "at most a million a second");
        c.span(k.think, Duration::ZERO, "clients.think");
        c.holds(k.loops == 0 || k.think >= ms, "clients.think", "at least 1ms for clients in loops");
        c.holds(k.retries <= 20, "clients.retries", "at most 20");
        c.span(k.backoff, ms, "clients.backoff");
        c.part(k.heed, "clients.heed");
        let rises = k.curve.windows(2).all(|pair| pair[0].0 < pair[1].0);
        c.holds(rises, "clients.curve", "pairs of seconds and a multiple, the seconds rising");
        c.holds(
            k.curve.iter().all(|(at, x)| *at >= 0.0 && (0.0..=1000.0).contains(x)),
            "clients.curve",
            "multiples from 0 to 1000",
        );
        c.holds(!self.classes.is_empty(), "classes", "at least one");
        for (at, class) in self.classes.iter().enumerate() {
            let key = |name: &str| format!("classes.{at}.{name}");
            c.number(class.part, 0.0, key("part"));
            c.number(class.work, 0.001, key("work"));
            c.number(class.worth, 0.0, key("worth"));
            c.part(class.late_worth, key("late_worth"));
            c.span(class.aim, ms, key("aim"));
            c.span(class.deadline, 5 * ms, key("deadline"));
        }
        let parts: f64 = self.classes.iter().map(|class| class.part).sum();
        c.holds(self.classes.is_empty() || parts > 0.0, "classes.0.part", "a part over 0 for some class");
        let t = &self.tenants;
        c.holds(t.count <= 100_000, "tenants.count", "at most 100000");
        c.number(t.skew, 0.0, "tenants.skew");
        c.number(t.quota, 0.0, "tenants.quota");
        c.part(t.over_share_worth, "tenants.over_share_worth");
        let s = &self.servers;
        c.holds((1..=MOST.1).contains(&s.count), "servers.count", &format!("1 to {}", MOST.1));
        c.holds(s.zones > 0, "servers.zones", "at least 1");
        c.holds(s.cells > 0, "servers.cells", "at least 1");
        c.holds(s.cores > 0, "servers.cores", "at least 1");
        c.span(s.time, Duration::from_micros(10), "servers.time");
        c.holds(!s.speeds.is_empty(), "servers.speeds", "at least one");
        s.speeds.iter().for_each(|speed| c.number(*speed, 0.001, "servers.speeds"));
        c.holds(s.cold_from > 0.0 && s.cold_from <= 1.0, "servers.cold_from", "a part over 0, up to 1");
        c.number(s.falls_at, 0.0, "servers.falls_at");
        c.span(s.down, ms, "servers.down");
        match &s.shape {
            WorkDistribution::Even | WorkDistribution::Exponential => {}
            WorkDistribution::Lognormal { sigma } => {
                c.holds((0.0..=4.0).contains(sigma), "servers.shape", "a sigma from 0 to 4")
            }
            WorkDistribution::Bimodal { part, times } => {
                c.part(*part, "servers.shape");
                c.number(*times, 1.0, "servers.shape");
            }
            WorkDistribution::Pareto { alpha } => c.number(*alpha, 1.01, "servers.shape"),
            WorkDistribution::Recorded { counts } => {
                let fine = counts.iter().all(|(length, count)| *length >= 0.0 && *count >= 0.0);
                let some = counts.iter().map(|(length, count)| length * count).sum::<f64>() > 0.0;
                c.holds(fine && some, "servers.shape", "pairs of a length and how often it is met");
            }
        }
        c.span(self.list.whole_every, 10 * ms, "list.whole_every");
        c.part(self.list.loss, "list.loss");
        c.part(self.list.laggards, "list.laggards");
        c.span(self.network.delay, Duration::from_micros(1), "network.delay");
        c.part(self.network.refused, "network.refused");
        c.part(self.network.resets, "network.resets");
        c.span(self.network.connect_timeout, ms, "network.connect_timeout");
        for (at, trouble) in self.faults.iter().enumerate() {
            let key = |name: &str| format!("troubles.{at}.{name}");
            c.number(trouble.factor, 0.0, key("factor"));
            c.holds(trouble.at <= self.span, key("at"), "a time within `span`");
            c.span(trouble.duration, ms, key("for"));
            c.which(&trouble.servers, s.count, &key("servers"));
            c.which(&trouble.nodes, n.count, &key("nodes"));
        }
        c.holds(!self.compare.is_empty(), "compare", "at least one policy");
        for (at, variant) in self.compare.iter().enumerate() {
            let known = baselines::POLICY_NAMES.contains(&variant.policy.as_str());
            c.holds(
                known,
                format!("compare.{at}.policy"),
                &format!("one of {}", baselines::POLICY_NAMES.join(", ")),
            );
        }
        for (key, values) in &self.sweep {
            c.holds(!values.is_empty(), format!("sweep.{key}"), "at least one value");
            // What is swept must not change what is swept.
            let fixed = ["sweep", "compare", "seeds", "name", "about"];
            let free = !fixed.iter().any(|whole| key.split('.').next() == Some(whole));
            c.holds(free, format!("sweep.{key}"), "a key of the world");
        }
        let points = self.sweep.values().map(Vec::len).fold(1, usize::saturating_mul);
        let cases = points.saturating_mul(self.compare.len()).saturating_mul(self.seeds.len());
        c.holds(cases <= CASES_MOST, "sweep", &format!("at most {CASES_MOST} runs in all"));
        c.0
    }
}
