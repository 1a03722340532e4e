//! Gossip among many nodes, in memory and in simulated time: how long until all nodes detect a change, how
//! often healthy nodes are declared dead, and the traffic.

use std::path::{Path, PathBuf};

use anyhow::anyhow;
use clap::Args;
use dunelink_gossip::sim::{Net, NetworkConditions};
use dunelink_gossip::{Liveness, LogEvent, Micros, ServerObservation, witnesses_needed};
use plotters::prelude::*;

/// The server whose stall the nodes observe.
const STALLED_SERVER: u64 = 7;
/// One second, in microseconds.
const SECOND: Micros = 1_000_000;
/// Resolution of the measured times.
const STEP: Micros = SECOND / 10;
/// How many nodes are killed and restarted, one after another.
const KILL_COUNT: usize = 9;
/// Longest wait for any condition.
const MAX_WAIT: Micros = 120 * SECOND;
/// Width and height of the plot, in pixels.
const PLOT_SIZE_PX: (u32, u32) = (1000, 640);

/// Options of `gossip`.
#[derive(Args)]
pub(crate) struct Options {
    /// Numbers of nodes, each measured by itself.
    #[arg(long, value_delimiter = ',', default_values_t = [5, 20, 100, 300, 1000])]
    nodes: Vec<usize>,
    /// Fraction of packets that are lost, 0 to 1.
    #[arg(long, default_value_t = 0.01)]
    loss: f64,
    /// Seed of the random numbers; the same seed gives the same figures.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Path of the plot; without it none is drawn.
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
}

/// Results for one number of nodes. Times are in seconds, and `None` if the condition did not hold within
/// `MAX_WAIT`.
struct Figures {
    nodes: usize,
    /// From the start until every node knows all the others.
    all_joined: Option<f64>,
    /// From the start of a stall, which a few nodes observe, until half of the nodes, and all of them, fully
    /// suspect the server; and from its end until no node suspects it.
    half_suspect: Option<f64>,
    all_suspect: Option<f64>,
    suspicion_cleared: Option<f64>,
    /// Bytes per second and node: while nothing happens, during the stall, and the most of any node in any
    /// second.
    quiet_bytes_per_s: f64,
    stalled_bytes_per_s: f64,
    peak_bytes_per_s: u64,
    /// Healthy members that were declared dead, per node and minute.
    false_deaths: f64,
    /// From the end of a partition into halves of 30 s until every node knows all the others again.
    partition_healed: Option<f64>,
    /// From a kill until all nodes have declared the victim dead: the median and the longest of all kills.
    death_known: Option<(f64, f64)>,
    /// From the restart of a killed node until it knows all the others: the longest of all restarts.
    rejoined: Option<f64>,
}

/// The number of members that the nodes consider alive, added up over all nodes.
fn count_known_alive(net: &Net) -> usize {
    let alive = |gossip: &dunelink_gossip::Gossip| {
        gossip.members().iter().filter(|m| m.liveness == Liveness::Alive).count()
    };
    net.nodes.iter().filter_map(|node| node.gossip.as_ref()).map(alive).sum()
}

/// The number of times that a node has declared a member dead.
fn count_declared_dead(net: &Net) -> usize {
    net.nodes
        .iter()
        .flat_map(|node| &node.log_events)
        .filter(|(_, event)| matches!(event, LogEvent::MemberDown(_)))
        .count()
}

/// The bytes sent by all nodes so far.
fn total_bytes_sent(net: &Net) -> u64 {
    net.nodes.iter().map(|node| node.bytes_sent).sum()
}

/// Runs until `condition` holds, checked every `step`. Returns the seconds that it took, or `None` after
/// `MAX_WAIT`.
fn seconds_until(
    net: &mut Net,
    stalled: bool,
    step: Micros,
    condition: impl Fn(&Net) -> bool,
) -> Option<f64> {
    let started = net.now;
    while net.now - started < MAX_WAIT {
        if condition(net) {
            return Some((net.now - started) as f64 / SECOND as f64);
        }
        run_for(net, step, stalled);
    }
    None
}

/// Runs for `span`. If `stalled`, one more node than full suspicion needs as witnesses observes the stall.
fn run_for(net: &mut Net, span: Micros, stalled: bool) {
    let witnesses = witnesses_needed(net.nodes.len()) as usize + 1;
    let observe = move |node: usize, _: Micros| match stalled && node < witnesses {
        true => {
            vec![ServerObservation {
                server: STALLED_SERVER,
                suspicion: 1.0,
                recent_answers: 0,
                sample_count: 4,
            }]
        }
        false => Vec::new(),
    };
    let end = net.now + span;
    net.run_until(end, &observe);
}

/// Kills and restarts nodes one after another. Returns `Figures::death_known` and `Figures::rejoined`.
fn kill_and_restart(net: &mut Net) -> (Option<(f64, f64)>, Option<f64>) {
    let nodes = net.nodes.len();
    let (mut death_known, mut rejoined) = (Vec::new(), Vec::new());
    for kill in 0..KILL_COUNT {
        let victim = (kill * 7 + 3) % nodes;
        let name = format!("n{victim}");
        net.kill(victim);
        death_known.push(seconds_until(net, false, STEP / 2, |net| {
            let others = net.nodes.iter().filter_map(|node| node.gossip.as_ref());
            let find_victim = |g: &dunelink_gossip::Gossip| g.members().into_iter().find(|m| m.name == name);
            others.map(find_victim).all(|member| member.is_none_or(|m| m.liveness == Liveness::Dead))
        }));
        net.start(victim);
        rejoined.push(seconds_until(net, false, STEP / 2, |net| {
            net.nodes[victim].gossip.as_ref().is_some_and(|gossip| gossip.members().len() == nodes - 1)
        }));
        run_for(net, 4 * SECOND, false);
    }
    let sorted = |times: Vec<Option<f64>>| {
        let mut times: Vec<f64> = times.into_iter().collect::<Option<_>>()?;
        times.sort_by(f64::total_cmp);
        Some(times)
    };
    let death_known = sorted(death_known).map(|times| (times[KILL_COUNT / 2], times[KILL_COUNT - 1]));
    (death_known, sorted(rejoined).map(|times| times[KILL_COUNT - 1]))
}

/// Measures one number of nodes.
fn measure(nodes: usize, options: &Options) -> Figures {
    let mut net = Net::new(nodes, options.seed, |_, _| {});
    net.conditions = NetworkConditions { loss: options.loss, ..NetworkConditions::default() };
    net.start_all();
    let all_joined =
        seconds_until(&mut net, false, SECOND, |net| count_known_alive(net) == nodes * (nodes - 1));
    run_for(&mut net, 10 * SECOND, false);
    let (sent, started, false_deaths) = (total_bytes_sent(&net), net.now, count_declared_dead(&net));
    let bytes_per_node_second = |net: &Net, sent: u64, started: Micros| {
        (total_bytes_sent(net) - sent) as f64 / nodes as f64 / ((net.now - started) as f64 / SECOND as f64)
    };
    run_for(&mut net, 20 * SECOND, false);
    let quiet_bytes_per_s = bytes_per_node_second(&net, sent, started);
    let count_suspecting = |net: &Net, threshold: f64| {
        net.nodes
            .iter()
            .filter(|n| n.suspicions.get(&STALLED_SERVER).is_some_and(|suspicion| *suspicion >= threshold))
            .count()
    };
    let (sent, stall_started) = (total_bytes_sent(&net), net.now);
    let half_suspect = seconds_until(&mut net, true, STEP, |net| 2 * count_suspecting(net, 0.99) >= nodes);
    let all_after_half = seconds_until(&mut net, true, STEP, |net| count_suspecting(net, 0.99) == nodes);
    let all_suspect = half_suspect.zip(all_after_half).map(|(half, all_after_half)| half + all_after_half);
    run_for(&mut net, 5 * SECOND, true);
    let stalled_bytes_per_s = bytes_per_node_second(&net, sent, stall_started);
    let suspicion_cleared = seconds_until(&mut net, false, STEP, |net| count_suspecting(net, 0.01) == 0);
    let minutes = (net.now - started) as f64 / SECOND as f64 / 60.0;
    let false_deaths = (count_declared_dead(&net) - false_deaths) as f64 / nodes as f64 / minutes;
    net.is_cut = Box::new(move |from, to| (from < nodes / 2) != (to < nodes / 2));
    run_for(&mut net, 30 * SECOND, false);
    net.is_cut = Box::new(|_, _| false);
    let partition_healed =
        seconds_until(&mut net, false, SECOND, |net| count_known_alive(net) == nodes * (nodes - 1));
    let (death_known, rejoined) = kill_and_restart(&mut net);
    let peak_bytes_per_s = net.nodes.iter().map(|node| node.peak_bytes_per_second).max().unwrap_or(0);
    Figures {
        nodes,
        all_joined,
        half_suspect,
        all_suspect,
        suspicion_cleared,
        quiet_bytes_per_s,
        stalled_bytes_per_s,
        peak_bytes_per_s,
        false_deaths,
        partition_healed,
        death_known,
        rejoined,
    }
}

pub(crate) fn run(options: &Options) -> anyhow::Result<()> {
    let figures: Vec<Figures> = std::thread::scope(|scope| {
        let workers: Vec<_> =
            options.nodes.iter().map(|nodes| scope.spawn(move || measure(*nodes, options))).collect();
        workers.into_iter().filter_map(|worker| worker.join().ok()).collect()
    });
    println!(
        "| nodes | found each other, s | stall known to half, all, s | its end, s | quiet, stalled, peak, bytes/s | wrongly dead, a node and minute | found again, s | killed, dead for all: median, worst, s | one that joins knows all, s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let format_seconds = |seconds: Option<f64>| seconds.map_or("-".into(), |s| format!("{s:.1}"));
    for f in &figures {
        println!(
            "| {} | {} | {}, {} | {} | {:.0}, {:.0}, {} | {:.4} | {} | {}, {} | {} |",
            f.nodes,
            format_seconds(f.all_joined),
            format_seconds(f.half_suspect),
            format_seconds(f.all_suspect),
            format_seconds(f.suspicion_cleared),
            f.quiet_bytes_per_s,
            f.stalled_bytes_per_s,
            f.peak_bytes_per_s,
            f.false_deaths,
            format_seconds(f.partition_healed),
            format_seconds(f.death_known.map(|death_known| death_known.0)),
            format_seconds(f.death_known.map(|death_known| death_known.1)),
            format_seconds(f.rejoined)
        );
    }
    match &options.svg {
        Some(path) => draw(path, &figures).map_err(|error| anyhow!("{}: {error}", path.display())),
        None => Ok(()),
    }
}

/// A curve of the plot: its label, and its value for one number of nodes.
type Series = (&'static str, fn(&Figures) -> Option<f64>);

fn draw(path: &Path, figures: &[Figures]) -> Result<(), Box<dyn std::error::Error>> {
    let panels: [(&str, &[Series]); 4] = [
        (
            "seconds until a stall is known",
            &[("half", |f| f.half_suspect), ("all", |f| f.all_suspect), ("its end", |f| f.suspicion_cleared)],
        ),
        (
            "bytes a second a node",
            &[
                ("quiet", |f| Some(f.quiet_bytes_per_s)),
                ("a stall", |f| Some(f.stalled_bytes_per_s)),
                ("peak", |f| Some(f.peak_bytes_per_s as f64)),
            ],
        ),
        (
            "seconds until all know all",
            &[("from nothing", |f| f.all_joined), ("after a partition", |f| f.partition_healed)],
        ),
        ("wrongly dead, a node and minute", &[("wrongly dead", |f| Some(f.false_deaths))]),
    ];
    let colours = [RGBColor(0, 114, 178), RGBColor(230, 159, 0), RGBColor(0, 158, 115)];
    let area = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    for (panel, (title, lines)) in area.split_evenly((2, 2)).iter().zip(panels) {
        let points = |line: &Series| -> Vec<(f64, f64)> {
            figures.iter().filter_map(|f| Some((f.nodes as f64, (line.1)(f)?))).collect()
        };
        let y_max =
            lines.iter().flat_map(points).fold(0.0_f64, |y_max, point| y_max.max(point.1)).max(0.01) * 1.15;
        let x_range = figures
            .iter()
            .fold((f64::MAX, 1.0_f64), |(l, m), f| (l.min(f.nodes as f64), m.max(f.nodes as f64)));
        let mut chart = ChartBuilder::on(panel)
            .caption(format!("{title}, by nodes"), ("sans-serif", 16))
            .margin(10)
            .x_label_area_size(28)
            .y_label_area_size(60)
            .build_cartesian_2d((x_range.0 * 0.9..x_range.1 * 1.1).log_scale(), 0.0..y_max)?;
        chart.configure_mesh().light_line_style(WHITE).draw()?;
        for (line, colour) in lines.iter().zip(colours) {
            chart
                .draw_series(LineSeries::new(points(line), colour.stroke_width(2)))?
                .label(line.0)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
            chart
                .draw_series(points(line).into_iter().map(|point| Circle::new(point, 3, colour.filled())))?;
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()?;
    }
    area.present()?;
    Ok(())
}
