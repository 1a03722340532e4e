//! Validation of experiments, and the positions of keys in a file.

use std::time::Duration;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::{Experiment, ExperimentError, TargetSelector, WorkDistribution};
use crate::baselines;

/// The maximum numbers of nodes and of servers that one machine can simulate.
const MAX_NODES_AND_SERVERS: (u32, u32) = (1000, 20_000);
/// The maximum number of runs of an experiment.
const MAX_CASES: usize = 10_000;

/// The line number of a byte offset, from 1.
pub(super) fn line_at(text: &str, position: usize) -> usize {
    1 + text.as_bytes().iter().take(position).filter(|b| **b == b'\n').count()
}

/// The key on the line of a byte offset: the text before `=`.
pub(super) fn key_at(text: &str, position: usize) -> String {
    let line = text.lines().nth(line_at(text, position) - 1).unwrap_or_default();
    line.split('=').next().unwrap_or_default().trim().to_string()
}

/// The line of a dotted key, or of its nearest parent in the file.
pub(super) fn line_of(text: &str, key: &str) -> Option<usize> {
    let root = DeTable::parse(text).ok()?;
    // Keys under `sweep` and `set` are written as a quoted whole.
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

/// Keeps the first error.
struct Validator(Result<(), ExperimentError>);

impl Validator {
    fn require(&mut self, valid: bool, key: impl Into<String>, expected: &str) {
        if !valid && self.0.is_ok() {
            self.0 = Err(ExperimentError::of(key, expected));
        }
    }

    /// Requires a finite number of at least `least`.
    fn number(&mut self, number: f64, least: f64, key: impl Into<String>) {
        self.require(number.is_finite() && number >= least, key, &format!("a number of at least {least}"));
    }

    fn fraction(&mut self, fraction: f64, key: impl Into<String>) {
        self.require((0.0..=1.0).contains(&fraction), key, "a part from 0 to 1");
    }

    fn span(&mut self, span: Duration, least: Duration, key: impl Into<String>) {
        let valid = span >= least && span <= Duration::from_secs(86_400);
        self.require(valid, key, &format!("a time from {least:?} to a day"));
    }

    fn targets(&mut self, targets: &TargetSelector, count: u32, key: &str) {
        match targets {
            TargetSelector::Part(part) => self.fraction(*part, format!("{key}.part")),
            TargetSelector::Zone(_) => {}
            TargetSelector::These(indices) => self.require(
                indices.iter().all(|number| *number < count),
                format!("{key}.these"),
                &format!("numbers under {count}"),
            ),
        }
    }
}

impl Experiment {
    /// Checks all values.
    ///
    /// # Errors
    ///
    /// Returns the first invalid key.
    pub fn check(&self) -> Result<(), ExperimentError> {
        let mut c = Validator(Ok(()));
        let ms = Duration::from_millis(1);
        c.span(self.span, 10 * ms, "span");
        c.require(self.settle < self.span, "settle", "less than `span`");
        c.require(!self.seeds.is_empty(), "seeds", "at least one");
        let n = &self.nodes;
        c.require(
            (1..=MAX_NODES_AND_SERVERS.0).contains(&n.count),
            "nodes.count",
            &format!("1 to {}", MAX_NODES_AND_SERVERS.0),
        );
        c.require(n.attempts > 0, "nodes.attempts", "at least 1");
        c.require(n.labels > 0, "nodes.labels", "at least 1");
        c.require(n.pool_min >= 4, "nodes.pool_min", "at least 4");
        c.require(n.subset > 0, "nodes.subset", "at least 1");
        let k = &self.clients;
        c.number(k.rate, 0.001, "clients.rate");
        c.require(k.rate <= 1e6, "clients.rate", "at most a million a second");
        c.span(k.think, Duration::ZERO, "clients.think");
        c.require(k.loops == 0 || k.think >= ms, "clients.think", "at least 1ms for clients in loops");
        c.require(k.retries <= 20, "clients.retries", "at most 20");
        c.span(k.backoff, ms, "clients.backoff");
        c.fraction(k.heed, "clients.heed");
        let rises = k.curve.windows(2).all(|pair| pair[0].0 < pair[1].0);
        c.require(rises, "clients.curve", "pairs of seconds and a multiple, the seconds rising");
        c.require(
            k.curve.iter().all(|(at, x)| *at >= 0.0 && (0.0..=1000.0).contains(x)),
            "clients.curve",
            "multiples from 0 to 1000",
        );
        c.require(!self.classes.is_empty(), "classes", "at least one");
        for (at, class) in self.classes.iter().enumerate() {
            let key = |name: &str| format!("classes.{at}.{name}");
            c.number(class.part, 0.0, key("part"));
            c.number(class.work, 0.001, key("work"));
            c.number(class.worth, 0.0, key("worth"));
            c.fraction(class.late_worth, key("late_worth"));
            c.span(class.aim, ms, key("aim"));
            c.span(class.deadline, 5 * ms, key("deadline"));
        }
        let parts: f64 = self.classes.iter().map(|class| class.part).sum();
        c.require(self.classes.is_empty() || parts > 0.0, "classes.0.part", "a part over 0 for some class");
        let t = &self.tenants;
        c.require(t.count <= 100_000, "tenants.count", "at most 100000");
        c.number(t.skew, 0.0, "tenants.skew");
        c.number(t.quota, 0.0, "tenants.quota");
        c.fraction(t.over_share_worth, "tenants.over_share_worth");
        let s = &self.servers;
        c.require(
            (1..=MAX_NODES_AND_SERVERS.1).contains(&s.count),
            "servers.count",
            &format!("1 to {}", MAX_NODES_AND_SERVERS.1),
        );
        c.require(s.zones > 0, "servers.zones", "at least 1");
        c.require(s.cells > 0, "servers.cells", "at least 1");
        c.require(s.cores > 0, "servers.cores", "at least 1");
        c.span(s.time, Duration::from_micros(10), "servers.time");
        c.require(!s.speeds.is_empty(), "servers.speeds", "at least one");
        s.speeds.iter().for_each(|speed| c.number(*speed, 0.001, "servers.speeds"));
        c.require(s.cold_from > 0.0 && s.cold_from <= 1.0, "servers.cold_from", "a part over 0, up to 1");
        c.number(s.falls_at, 0.0, "servers.falls_at");
        c.span(s.down, ms, "servers.down");
        match &s.shape {
            WorkDistribution::Even | WorkDistribution::Exponential => {}
            WorkDistribution::Lognormal { sigma } => {
                c.require((0.0..=4.0).contains(sigma), "servers.shape", "a sigma from 0 to 4")
            }
            WorkDistribution::Bimodal { part, times } => {
                c.fraction(*part, "servers.shape");
                c.number(*times, 1.0, "servers.shape");
            }
            WorkDistribution::Pareto { alpha } => c.number(*alpha, 1.01, "servers.shape"),
            WorkDistribution::Recorded { counts } => {
                let fine = counts.iter().all(|(length, count)| *length >= 0.0 && *count >= 0.0);
                let some = counts.iter().map(|(length, count)| length * count).sum::<f64>() > 0.0;
                c.require(fine && some, "servers.shape", "pairs of a length and how often it is met");
            }
        }
        c.span(self.list.whole_every, 10 * ms, "list.whole_every");
        c.fraction(self.list.loss, "list.loss");
        c.fraction(self.list.laggards, "list.laggards");
        c.span(self.network.delay, Duration::from_micros(1), "network.delay");
        c.fraction(self.network.refused, "network.refused");
        c.fraction(self.network.resets, "network.resets");
        c.span(self.network.connect_timeout, ms, "network.connect_timeout");
        for (at, fault) in self.faults.iter().enumerate() {
            let key = |name: &str| format!("troubles.{at}.{name}");
            c.number(fault.factor, 0.0, key("factor"));
            c.require(fault.at <= self.span, key("at"), "a time within `span`");
            c.span(fault.duration, ms, key("for"));
            c.targets(&fault.servers, s.count, &key("servers"));
            c.targets(&fault.nodes, n.count, &key("nodes"));
        }
        c.require(!self.compare.is_empty(), "compare", "at least one policy");
        for (at, variant) in self.compare.iter().enumerate() {
            let known = baselines::POLICY_NAMES.contains(&variant.policy.as_str());
            c.require(
                known,
                format!("compare.{at}.policy"),
                &format!("one of {}", baselines::POLICY_NAMES.join(", ")),
            );
        }
        for (key, values) in &self.sweep {
            c.require(!values.is_empty(), format!("sweep.{key}"), "at least one value");
            // A sweep must not change the sweep itself, the variants or the seeds.
            let fixed = ["sweep", "compare", "seeds", "name", "about"];
            let free = !fixed.iter().any(|excluded| key.split('.').next() == Some(excluded));
            c.require(free, format!("sweep.{key}"), "a key of the world");
        }
        let points = self.sweep.values().map(Vec::len).fold(1, usize::saturating_mul);
        let cases = points.saturating_mul(self.compare.len()).saturating_mul(self.seeds.len());
        c.require(cases <= MAX_CASES, "sweep", &format!("at most {MAX_CASES} runs in all"));
        c.0
    }
}
