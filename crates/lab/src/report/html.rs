//! The report as one self-contained HTML page: tables, plots and the experiment.

use std::fmt::Write as _;

use super::{Group, RunResult, groups, plots};
use crate::experiment::{Case, Experiment};
use crate::metrics::RunMetrics;

const STYLE: &str = "body{font:15px/1.45 system-ui,sans-serif;max-width:960px;margin:2em auto;padding:0 1em;color:#222}\
table{border-collapse:collapse;font-size:13px;width:100%}th,td{padding:3px 7px;border-bottom:1px solid #ddd;text-align:right}\
th:first-child,td:first-child{text-align:left}tr.own td{background:#eef5fb}.bad{color:#a50026;font-weight:600}\
pre{background:#f6f6f6;padding:10px;overflow:auto;font-size:12px}svg{max-width:100%;height:auto}summary{cursor:pointer;margin:.6em 0}\
h2{margin-top:2em}";

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

fn write_row(text: &mut String, group: &Group<'_>) {
    let gain = group.mean_of(RunMetrics::gain);
    let mean = |of: fn(&RunMetrics) -> f64| group.mean_of(of).mean;
    let violation_count = group.sum(|f| f.violation_count);
    let own = if group.policy.starts_with("dunelink") { " class=own" } else { "" };
    let _ = write!(
        text,
        "<tr{own}><td>{}</td><td>{:.3} ± {:.3}</td><td>{:.1}</td><td>{:.0}</td><td>{:.0}</td><td>{:.3}</td><td>{:.3}</td>\
         <td>{:.2}</td><td>{}</td><td>{}</td><td>{}</td><td>{:.2}, {:.2}</td><td{}>{violation_count}</td></tr>",
        escape(group.policy),
        gain.mean,
        gain.half_width,
        mean(|f| f.p50),
        mean(|f| f.p99),
        mean(|f| f.p999),
        mean(|f| f.worst_tenant),
        mean(|f| f.fairness),
        mean(RunMetrics::attempts_per_call),
        group.sum(|f| f.attempts.wasted),
        group.sum(|f| f.refused),
        group.sum(|f| f.failed),
        mean(|f| f.utilization.1),
        mean(|f| f.utilization.2),
        if violation_count > 0 { " class=bad" } else { "" },
    );
    for (seed, error) in &group.failed {
        let _ = write!(
            text,
            "<tr><td>{}</td><td class=bad colspan=12>seed {seed} failed: {}</td></tr>",
            escape(group.policy),
            escape(error)
        );
    }
}

fn write_totals(
    text: &mut String,
    title: &str,
    groups: &[&Group<'_>],
    of: fn(&RunMetrics) -> &[crate::metrics::GroupTotals],
) {
    let names: Vec<&str> = groups
        .iter()
        .find_map(|group| group.runs.first())
        .map(|(_, metrics)| of(metrics).iter().map(|part| part.name.as_str()).collect())
        .unwrap_or_default();
    if names.len() < 2 {
        return;
    }
    let max_shown = 12;
    let shown = &names[..names.len().min(max_shown)];
    let note = if names.len() > max_shown { format!(" (the first {max_shown})") } else { String::new() };
    let _ = write!(text, "<details><summary>G by {title}{note}</summary><table><tr><th>policy</th>");
    shown.iter().for_each(|name| *text += &format!("<th>{}</th>", escape(name)));
    *text += "</tr>";
    for group in groups {
        let _ = write!(text, "<tr><td>{}</td>", escape(group.policy));
        for at in 0..shown.len() {
            let gain =
                group.mean_of(|metrics| of(metrics).get(at).map_or(0.0, crate::metrics::GroupTotals::gain));
            let _ = write!(text, "<td>{:.3}</td>", gain.mean);
        }
        *text += "</tr>";
    }
    *text += "</table></details>";
}

fn write_plots(text: &mut String, group: &Group<'_>, open: bool) {
    let Some((case, metrics)) = group.runs.first() else { return };
    let open = if open { " open" } else { "" };
    let _ = write!(
        text,
        "<details{open}><summary>{}, seed {}, over time</summary>",
        escape(group.policy),
        case.seed
    );
    *text += &plots::rates(case, metrics);
    *text += &plots::latency(case, metrics);
    *text += &plots::heat(case, metrics);
    let (there, law) = metrics.little;
    let _ = write!(
        text,
        "<p>{} events, {:.1} a request. Little's law at the servers: {there:.2} there on average, {law:.2} by arrivals and stays.</p>",
        metrics.events,
        metrics.events as f64 / metrics.asked.max(1) as f64
    );
    if let Some(gossip) = metrics.gossip {
        let _ = write!(
            text,
            "<p>Gossip: {:.0} bytes/s a node; at the end each held at least {} others to be there.</p>",
            gossip.bytes, gossip.least
        );
    }
    if !metrics.violations.is_empty() {
        *text += "<ul class=bad>";
        for violation in &metrics.violations {
            let _ = write!(
                text,
                "<li>{:.3} s: {:?}, {}</li>",
                violation.at,
                violation.invariant,
                escape(&violation.cause)
            );
        }
        *text += "</ul>";
    }
    *text += "</details>";
}

/// Formats the runs of an experiment as an HTML page.
pub fn page(experiment: &Experiment, runs: &[(Case, RunResult)]) -> String {
    let mut text = format!(
        "<!doctype html><html lang=en><meta charset=utf-8><title>{0}</title><style>{STYLE}</style><h1>{0}</h1><p>{1}</p>",
        escape(&experiment.name),
        escape(&experiment.about)
    );
    if runs.iter().any(|(_, outcome)| outcome.as_ref().is_ok_and(|metrics| metrics.cut)) {
        text +=
            "<p class=bad>Some runs were ended before their time; their figures are of what was played.</p>";
    }
    let all = groups(runs);
    let mut points: Vec<&str> = all.iter().map(|group| group.point).collect();
    points.dedup();
    for point in points {
        let point_groups: Vec<&Group<'_>> = all.iter().filter(|group| group.point == point).collect();
        if !point.is_empty() {
            let _ = write!(text, "<h2>{}</h2>", escape(point));
        }
        text += &plots::gains(&point_groups);
        text += "<table><tr><th>policy</th><th>G</th><th>p50 ms</th><th>p99</th><th>p99.9</th><th>worst tenant</th><th>fairness</th>\
                 <th>attempts</th><th>wasted</th><th>refused</th><th>failed</th><th>used: mean, most</th><th>rules broken</th></tr>";
        point_groups.iter().for_each(|group| write_row(&mut text, group));
        text += "</table>";
        write_totals(&mut text, "class", &point_groups, |metrics| &metrics.classes);
        write_totals(&mut text, "tenant", &point_groups, |metrics| &metrics.tenants);
        for (at, group) in point_groups.iter().enumerate() {
            write_plots(&mut text, group, at == 0);
        }
    }
    let toml_text = toml::to_string(experiment).unwrap_or_default();
    let _ = write!(text, "<h2>What was played</h2><pre>{}</pre></html>", escape(&toml_text));
    text
}
