//! Random fault schedules (time lines) on real processes under load: the outcomes of requests, violated
//! rules, the time until all nodes agree again, and the sum of the nodes' shares of the fleet's limits over
//! time.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, anyhow, bail};
use clap::Args;
use plotters::prelude::*;
use testkit::rig::clients::Load;
use testkit::rig::faults::TimeLine;
use testkit::rig::record::{Class, Rules, Sum, check};
use testkit::rig::{Plan, Rig, ask, classes, listed};

const SERVERS: usize = 8;
/// Deadline of every request.
const DEADLINE: Duration = Duration::from_millis(1500);
/// How far past its deadline an answer may still arrive without violating a rule, since a busy machine adds
/// delay.
const DEADLINE_SLACK: Duration = Duration::from_millis(700);
/// Interval at which the nodes are asked for their shares of the limits.
const SHARE_SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Width and height of the plot, in pixels.
const PLOT_SIZE_PX: (u32, u32) = (1000, 320);

/// Options of `fleet`.
#[derive(Args)]
pub(crate) struct Options {
    /// Path of the daemon's program; by default `dunelink` in the folder of this program.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Number of nodes.
    #[arg(long, default_value_t = 5)]
    nodes: usize,
    /// Number of nodes that are electors, which vote on the fleet's views; 0 for none.
    #[arg(long, default_value_t = 5)]
    electors: usize,
    /// Number of time lines; their seeds count up from the first.
    #[arg(long, default_value_t = 10)]
    lines: u64,
    /// The first seed.
    #[arg(long, default_value_t = 100)]
    seed: u64,
    /// Length of each time line, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Path of the plot; without it none is drawn.
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
}

/// The outcome of one time line.
struct TimeLineOutcome {
    seed: u64,
    faults: usize,
    sum: Sum,
    breaches: Vec<String>,
    /// Seconds from the end of all faults until all nodes agreed on the membership; `None` if they did not in
    /// time.
    agreed_s: Option<f64>,
    /// Seconds from the end of all faults until the shares added up to the whole limits again; `None` if they
    /// did not in time. Without electors the sum is not checked.
    shares_restored_s: Option<f64>,
    /// Samples of the sum of all shares: seconds since the start, and the sum.
    share_samples: Vec<(f64, f64)>,
}

/// The settings of the fleet under test.
fn rig_plan(options: &Options) -> anyhow::Result<Plan> {
    let default_program = || Ok::<_, std::io::Error>(std::env::current_exe()?.with_file_name("dunelink"));
    let program = options.program.clone().map_or_else(default_program, Ok)?;
    if !program.exists() {
        bail!("{}: the program does not exist; build it first", program.display());
    }
    let electors: Vec<String> = (0..options.electors).map(|node| format!("\"n{node}\"")).collect();
    Ok(Plan {
        program,
        folder: std::env::temp_dir(),
        nodes: options.nodes,
        more: 0,
        servers: (0..SERVERS).map(|server| listed("", server % 2)).collect(),
        zone: |_| "",
        gossips: true,
        top: String::new(),
        gossip: format!("electors = [{}]", electors.join(", ")),
        fleet: String::new(),
        tables: classes(DEADLINE),
    })
}

/// A node's share of the fleet's limits, read from its `fleet` report; `None` if it does not answer.
fn limit_share(address: &SocketAddr) -> Option<f64> {
    let report = ask(*address, "fleet")?;
    report.split("part=").nth(1)?.split_whitespace().next()?.parse().ok()
}

/// Samples the sum of the shares of all nodes that answer, until `stop` is set.
fn sample_shares(addresses: Vec<SocketAddr>, stop: Arc<AtomicBool>) -> thread::JoinHandle<Vec<(f64, f64)>> {
    thread::spawn(move || {
        let (started, mut samples) = (Instant::now(), Vec::new());
        while !stop.load(Ordering::SeqCst) {
            let at = started.elapsed().as_secs_f64();
            samples.push((at, addresses.iter().filter_map(limit_share).sum::<f64>()));
            thread::sleep(SHARE_SAMPLE_INTERVAL);
        }
        samples
    })
}

/// Plays the time line of one seed against a new fleet.
fn run_time_line(options: &Options, seed: u64) -> anyhow::Result<TimeLineOutcome> {
    let mut rig = Rig::new(rig_plan(options)?);
    rig.found();
    let span = Duration::from_secs(options.seconds);
    let time_line = TimeLine::drawn(seed, options.nodes, SERVERS, span);
    let stop = Arc::new(AtomicBool::new(false));
    let addresses: Vec<SocketAddr> = (0..options.nodes).map(|node| rig.door(node)).collect();
    let sampler = sample_shares(addresses.clone(), stop.clone());
    let classes = vec![Class::View, Class::Submit, Class::Order];
    rig.load(&Load { clients: 4, pause: Duration::from_millis(20), classes, deadline: DEADLINE });
    rig.play(&time_line);
    let healed_at = Instant::now();
    while !rig.agree() && healed_at.elapsed() < span {
        thread::sleep(Duration::from_millis(10));
    }
    let agreed_s = rig.agree().then(|| healed_at.elapsed().as_secs_f64());
    let shares_are_whole = || addresses.iter().filter_map(limit_share).sum::<f64>() > 0.99;
    while options.electors > 0 && !shares_are_whole() && healed_at.elapsed() < span {
        thread::sleep(Duration::from_millis(10));
    }
    let shares_restored_s =
        (options.electors == 0 || shares_are_whole()).then(|| healed_at.elapsed().as_secs_f64());
    rig.rest();
    stop.store(true, Ordering::SeqCst);
    let share_samples = sampler.join().map_err(|_| anyhow!("the thread that samples the shares panicked"))?;
    let rules = Rules {
        deadline: DEADLINE,
        slack: DEADLINE_SLACK,
        window: Duration::from_secs(10),
        cell: |s| s % 2,
        cold: None,
    };
    let (sum, breaches) = check(&rig.record.entries(), &rules);
    if !breaches.is_empty() || agreed_s.is_none() || shares_restored_s.is_none() {
        eprintln!("{time_line}{}\n{}", breaches.join("\n"), rig.story());
    }
    Ok(TimeLineOutcome {
        seed,
        faults: time_line.faults.len(),
        sum,
        breaches,
        agreed_s,
        shares_restored_s,
        share_samples,
    })
}

pub(crate) fn run(options: &Options) -> anyhow::Result<()> {
    println!(
        "| seed | faults | asked | served, refused, failed, lost with a node | rules broken | all see all after, s | parts whole after, s | parts together, at most |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut outcomes = Vec::new();
    for seed in options.seed..options.seed + options.lines {
        let outcome = run_time_line(options, seed).with_context(|| format!("seed {seed}"))?;
        let Sum { asked, served, refused, failed, lost } = outcome.sum;
        let max_total = outcome.share_samples.iter().map(|sample| sample.1).fold(0.0, f64::max);
        let format_seconds =
            |seconds: Option<f64>| seconds.map_or("-".into(), |seconds| format!("{seconds:.1}"));
        let (agreed, restored) =
            (format_seconds(outcome.agreed_s), format_seconds(outcome.shares_restored_s));
        println!(
            "| {} | {} | {asked} | {served}, {refused}, {failed}, {lost} | {} | {agreed} | {restored} | {max_total:.2} |",
            outcome.seed,
            outcome.faults,
            outcome.breaches.len()
        );
        outcomes.push(outcome);
    }
    if let Some(path) = &options.svg {
        draw(path, &outcomes).map_err(|error| anyhow!("{}: {error}", path.display()))?;
    }
    match outcomes.iter().all(|outcome| {
        outcome.breaches.is_empty() && outcome.agreed_s.is_some() && outcome.shares_restored_s.is_some()
    }) {
        true => Ok(()),
        false => bail!("a rule broke, or not all agreed, or parts stayed small"),
    }
}

/// Draws the sum of the shares over time, one line for each time line, and the upper bound of 1.1.
fn draw(path: &Path, outcomes: &[TimeLineOutcome]) -> Result<(), Box<dyn std::error::Error>> {
    let end = outcomes
        .iter()
        .flat_map(|outcome| outcome.share_samples.last())
        .map(|sample| sample.0)
        .fold(1.0, f64::max);
    let area = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("parts of all nodes together, by seconds; the line above is the bound", ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(28)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..end, 0.0..1.3)?;
    chart.configure_mesh().light_line_style(WHITE).draw()?;
    for outcome in outcomes {
        chart.draw_series(LineSeries::new(
            outcome.share_samples.iter().copied(),
            RGBColor(0, 114, 178).mix(0.5),
        ))?;
    }
    chart.draw_series(LineSeries::new([(0.0, 1.1), (end, 1.1)], RGBColor(213, 94, 0).stroke_width(2)))?;
    area.present()?;
    Ok(())
}
