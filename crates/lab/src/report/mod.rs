//! Reports on the runs of an experiment: rows for programs, and an HTML page.

mod html;
mod plots;

use std::collections::BTreeMap;

use serde::Serialize;

use crate::experiment::Case;
use crate::intervals::{Estimate, estimate};
use crate::metrics::RunMetrics;

pub use html::page;

/// The metrics of a run, or why it failed.
pub type RunResult = Result<RunMetrics, String>;

/// One run as a row.
#[derive(Clone, Debug, Serialize)]
pub struct Row<'a> {
    /// The experiment's name.
    pub experiment: &'a str,
    /// The values of swept keys.
    pub point: &'a str,
    /// The policy, as the report calls it.
    pub policy: &'a str,
    /// The seed of random numbers.
    pub seed: u64,
    /// The fraction of the worth of all calls that was earned.
    pub gain: f64,
    /// The metrics; `None` if the run failed.
    pub figures: Option<&'a RunMetrics>,
    /// The error; `None` if the run succeeded.
    pub error: Option<&'a str>,
}

fn row<'a>(case: &'a Case, outcome: &'a RunResult) -> Row<'a> {
    Row {
        experiment: &case.experiment.name,
        point: &case.point,
        policy: &case.variant,
        seed: case.seed,
        gain: outcome.as_ref().map_or(0.0, RunMetrics::gain),
        figures: outcome.as_ref().ok(),
        error: outcome.as_ref().err().map(String::as_str),
    }
}

/// Formats the runs as JSON lines, with all metrics.
pub fn json_lines(runs: &[(Case, RunResult)]) -> String {
    let line = |(case, outcome): &(Case, RunResult)| {
        serde_json::to_string(&row(case, outcome)).unwrap_or_default() + "\n"
    };
    runs.iter().map(line).collect()
}

/// Formats the runs as CSV, one row per run; a failed run has no metrics.
pub fn csv(runs: &[(Case, RunResult)]) -> String {
    let mut writer = csv::Writer::from_writer(Vec::new());
    let header = "experiment,point,policy,seed,gain,asked,served,in_time,lost,refused,failed,p50_ms,p99_ms,p999_ms,mean_ms,\
                worst_tenant,fairness,attempts_a_request,wasted,used_mean,used_most,breaches,events,error";
    // Writing to memory does not fail.
    let _ = writer.write_record(header.split(','));
    for (case, outcome) in runs {
        let mut cells = vec![
            case.experiment.name.clone(),
            case.point.clone(),
            case.variant.clone(),
            case.seed.to_string(),
        ];
        match outcome {
            Ok(f) => {
                let counts = [f.gain(), f.asked as f64, f.served as f64, f.in_time as f64, f.lost as f64];
                let latencies_and_tenants = [
                    f.refused as f64,
                    f.failed as f64,
                    f.p50,
                    f.p99,
                    f.p999,
                    f.mean,
                    f.worst_tenant,
                    f.fairness,
                ];
                let totals = [
                    f.attempts_per_call(),
                    f.attempts.wasted as f64,
                    f.utilization.1,
                    f.utilization.2,
                    f.violation_count as f64,
                    f.events as f64,
                ];
                let all = counts.iter().chain(&latencies_and_tenants).chain(&totals);
                cells.extend(all.map(|number| {
                    format!("{number:.6}").trim_end_matches('0').trim_end_matches('.').to_string()
                }));
                cells.push(String::new());
            }
            Err(error) => {
                cells.extend((0..19).map(|_| String::new()));
                cells.push(error.clone());
            }
        }
        let _ = writer.write_record(&cells);
    }
    String::from_utf8(writer.into_inner().unwrap_or_default()).unwrap_or_default()
}

/// The runs of one policy at one point of the sweep.
pub struct Group<'a> {
    /// The values of swept keys.
    pub point: &'a str,
    /// The policy.
    pub policy: &'a str,
    /// The successful runs.
    pub runs: Vec<(&'a Case, &'a RunMetrics)>,
    /// The seeds and errors of the failed runs.
    pub failed: Vec<(u64, &'a str)>,
}

impl Group<'_> {
    /// The mean of a metric over the seeds, with its confidence interval.
    pub fn mean_of(&self, of: impl Fn(&RunMetrics) -> f64) -> Estimate {
        estimate(&self.runs.iter().map(|(_, metrics)| of(metrics)).collect::<Vec<_>>())
    }

    /// The sum of a count over all runs.
    pub fn sum(&self, of: impl Fn(&RunMetrics) -> u64) -> u64 {
        self.runs.iter().map(|(_, metrics)| of(metrics)).sum()
    }
}

/// Groups the runs by point and policy, in order of first occurrence.
pub fn groups(runs: &[(Case, RunResult)]) -> Vec<Group<'_>> {
    let mut positions: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    let mut groups: Vec<Group<'_>> = Vec::new();
    for (case, outcome) in runs {
        let position = *positions.entry((&case.point, &case.variant)).or_insert_with(|| {
            groups.push(Group {
                point: &case.point,
                policy: &case.variant,
                runs: Vec::new(),
                failed: Vec::new(),
            });
            groups.len() - 1
        });
        match outcome {
            Ok(metrics) => groups[position].runs.push((case, metrics)),
            Err(error) => groups[position].failed.push((case.seed, error)),
        }
    }
    groups
}

/// Formats the metrics of each policy as a Markdown table.
pub fn table(runs: &[(Case, RunResult)]) -> String {
    let mut text = String::from(
        "| point | policy | G | p50, ms | p99, ms | p99.9, ms | worst tenant | attempts | refused | failed | broken |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for group in groups(runs) {
        let gain = group.mean_of(RunMetrics::gain);
        let mean = |of: fn(&RunMetrics) -> f64| group.mean_of(of).mean;
        text += &format!(
            "| {} | {} | {:.3} ± {:.3} | {:.0} | {:.0} | {:.0} | {:.3} | {:.2} | {} | {} | {} |\n",
            group.point,
            group.policy,
            gain.mean,
            gain.half_width,
            mean(|f| f.p50),
            mean(|f| f.p99),
            mean(|f| f.p999),
            mean(|f| f.worst_tenant),
            mean(RunMetrics::attempts_per_call),
            group.sum(|f| f.refused),
            group.sum(|f| f.failed),
            group.sum(|f| f.violation_count),
        );
        for (seed, error) in &group.failed {
            text += &format!(
                "| {} | {} | seed {seed} failed: {error} | | | | | | | | |\n",
                group.point, group.policy
            );
        }
    }
    text
}
