//! Gossip among many nodes, in memory and in simulated time: how long until all know, how often wrongly, at what cost.

use std::path::{Path, PathBuf};

use anyhow::anyhow;
use clap::Args;
use dunelink_gossip::sim::{Net, NetworkConditions};
use dunelink_gossip::{Liveness, LogEvent, Micros, ServerObservation, witnesses_needed};
use plotters::prelude::*;

const SERVER: u64 = 7;
const S: Micros = 1_000_000;
/// How closely times are told.
const STEP: Micros = S / 10;
/// Nodes that are killed, one after another.
const KILLS: usize = 9;
/// Nothing is waited for longer.
const WAIT: Micros = 120 * S;
const SIZE: (u32, u32) = (1000, 640);

/// What `gossip` is told.
#[derive(Args)]
pub(crate) struct Options {
    /// How many nodes.
    #[arg(long, value_delimiter = ',', default_values_t = [5, 20, 100, 300, 1000])]
    nodes: Vec<usize>,
    /// The part of packets that get lost.
    #[arg(long, default_value_t = 0.01)]
    loss: f64,
    /// For random numbers; the same seed gives the same figures.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Where the plot goes.
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
}

struct Figures {
    nodes: usize,
    /// Until all have found each other, from nothing.
    joined: Option<f64>,
    /// Until half, and all, hold a server in full doubt that a few have seen stall; until none does after its end.
    half: Option<f64>,
    all: Option<f64>,
    over: Option<f64>,
    /// Bytes a second a node: while nothing happens, while it stalls, and the most of any node in any second.
    quiet: f64,
    stalled: f64,
    peak: u64,
    /// Healthy members that were held to be dead, for each node and minute.
    wrong: f64,
    /// Until all have found each other again after halves were cut off for 30 s.
    healed: Option<f64>,
    /// Until all held a node that was killed to be dead: of some kills the median, and the worst.
    dead: Option<(f64, f64)>,
    /// Until a node that joined all the others knew them all, the worst of some.
    known: Option<f64>,
}

fn present(net: &Net) -> usize {
    let alive = |gossip: &dunelink_gossip::Gossip| {
        gossip.members().iter().filter(|m| m.liveness == Liveness::Alive).count()
    };
    net.nodes.iter().filter_map(|node| node.gossip.as_ref()).map(alive).sum()
}

fn downs(net: &Net) -> usize {
    net.nodes
        .iter()
        .flat_map(|node| &node.log_events)
        .filter(|(_, note)| matches!(note, LogEvent::MemberDown(_)))
        .count()
}

fn bytes(net: &Net) -> u64 {
    net.nodes.iter().map(|node| node.bytes_sent).sum()
}

/// Runs until something holds, looking that often; how many seconds that took.
fn until(net: &mut Net, stalled: bool, step: Micros, holds: impl Fn(&Net) -> bool) -> Option<f64> {
    let began = net.now;
    while net.now - began < WAIT {
        if holds(net) {
            return Some((net.now - began) as f64 / S as f64);
        }
        run(net, step, stalled);
    }
    None
}

/// Those that see a stall: one more than are needed for full doubt.
fn run(net: &mut Net, span: Micros, stalled: bool) {
    let witnesses = witnesses_needed(net.nodes.len()) as usize + 1;
    let see = move |node: usize, _: Micros| match stalled && node < witnesses {
        true => {
            vec![ServerObservation { server: SERVER, suspicion: 1.0, recent_answers: 0, sample_count: 4 }]
        }
        false => Vec::new(),
    };
    let end = net.now + span;
    net.run_until(end, &see);
}

/// Kills some nodes one after another, and starts each again.
fn kills(net: &mut Net) -> (Option<(f64, f64)>, Option<f64>) {
    let nodes = net.nodes.len();
    let (mut dead, mut known) = (Vec::new(), Vec::new());
    for kill in 0..KILLS {
        let victim = (kill * 7 + 3) % nodes;
        let name = format!("n{victim}");
        net.kill(victim);
        dead.push(until(net, false, STEP / 2, |net| {
            let others = net.nodes.iter().filter_map(|node| node.gossip.as_ref());
            let of = |g: &dunelink_gossip::Gossip| g.members().into_iter().find(|m| m.name == name);
            others.map(of).all(|seen| seen.is_none_or(|m| m.liveness == Liveness::Dead))
        }));
        net.start(victim);
        known.push(until(net, false, STEP / 2, |net| {
            net.nodes[victim].gossip.as_ref().is_some_and(|gossip| gossip.members().len() == nodes - 1)
        }));
        run(net, 4 * S, false);
    }
    let sorted = |times: Vec<Option<f64>>| {
        let mut times: Vec<f64> = times.into_iter().collect::<Option<_>>()?;
        times.sort_by(f64::total_cmp);
        Some(times)
    };
    let dead = sorted(dead).map(|times| (times[KILLS / 2], times[KILLS - 1]));
    (dead, sorted(known).map(|times| times[KILLS - 1]))
}

fn measure(nodes: usize, options: &Options) -> Figures {
    let mut net = Net::new(nodes, options.seed, |_, _| {});
    net.conditions = NetworkConditions { loss: options.loss, ..NetworkConditions::default() };
    net.start_all();
    let joined = until(&mut net, false, S, |net| present(net) == nodes * (nodes - 1));
    run(&mut net, 10 * S, false);
    let (sent, began, wrong) = (bytes(&net), net.now, downs(&net));
    let a_second = |net: &Net, sent: u64, began: Micros| {
        (bytes(net) - sent) as f64 / nodes as f64 / ((net.now - began) as f64 / S as f64)
    };
    run(&mut net, 20 * S, false);
    let quiet = a_second(&net, sent, began);
    let in_doubt = |net: &Net, least: f64| {
        net.nodes.iter().filter(|n| n.suspicions.get(&SERVER).is_some_and(|doubt| *doubt >= least)).count()
    };
    let (sent, stall) = (bytes(&net), net.now);
    let half = until(&mut net, true, STEP, |net| 2 * in_doubt(net, 0.99) >= nodes);
    let more = until(&mut net, true, STEP, |net| in_doubt(net, 0.99) == nodes);
    let all = half.zip(more).map(|(half, more)| half + more);
    run(&mut net, 5 * S, true);
    let stalled = a_second(&net, sent, stall);
    let over = until(&mut net, false, STEP, |net| in_doubt(net, 0.01) == 0);
    let minutes = (net.now - began) as f64 / S as f64 / 60.0;
    let wrong = (downs(&net) - wrong) as f64 / nodes as f64 / minutes;
    net.is_cut = Box::new(move |from, to| (from < nodes / 2) != (to < nodes / 2));
    run(&mut net, 30 * S, false);
    net.is_cut = Box::new(|_, _| false);
    let healed = until(&mut net, false, S, |net| present(net) == nodes * (nodes - 1));
    let (dead, known) = kills(&mut net);
    let peak = net.nodes.iter().map(|node| node.peak_bytes_per_second).max().unwrap_or(0);
    Figures { nodes, joined, half, all, over, quiet, stalled, peak, wrong, healed, dead, known }
}

pub(crate) fn run_all(options: &Options) -> anyhow::Result<()> {
    let figures: Vec<Figures> = std::thread::scope(|scope| {
        let measured: Vec<_> =
            options.nodes.iter().map(|nodes| scope.spawn(move || measure(*nodes, options))).collect();
        measured.into_iter().filter_map(|one| one.join().ok()).collect()
    });
    println!(
        "| nodes | found each other, s | stall known to half, all, s | its end, s | quiet, stalled, peak, bytes/s | wrongly dead, a node and minute | found again, s | killed, dead for all: median, worst, s | one that joins knows all, s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let told = |seconds: Option<f64>| seconds.map_or("-".into(), |s| format!("{s:.1}"));
    for f in &figures {
        println!(
            "| {} | {} | {}, {} | {} | {:.0}, {:.0}, {} | {:.4} | {} | {}, {} | {} |",
            f.nodes,
            told(f.joined),
            told(f.half),
            told(f.all),
            told(f.over),
            f.quiet,
            f.stalled,
            f.peak,
            f.wrong,
            told(f.healed),
            told(f.dead.map(|dead| dead.0)),
            told(f.dead.map(|dead| dead.1)),
            told(f.known)
        );
    }
    match &options.svg {
        Some(path) => draw(path, &figures).map_err(|error| anyhow!("{}: {error}", path.display())),
        None => Ok(()),
    }
}

type Line = (&'static str, fn(&Figures) -> Option<f64>);

fn draw(path: &Path, figures: &[Figures]) -> Result<(), Box<dyn std::error::Error>> {
    let panels: [(&str, &[Line]); 4] = [
        (
            "seconds until a stall is known",
            &[("half", |f| f.half), ("all", |f| f.all), ("its end", |f| f.over)],
        ),
        (
            "bytes a second a node",
            &[
                ("quiet", |f| Some(f.quiet)),
                ("a stall", |f| Some(f.stalled)),
                ("peak", |f| Some(f.peak as f64)),
            ],
        ),
        (
            "seconds until all know all",
            &[("from nothing", |f| f.joined), ("after a partition", |f| f.healed)],
        ),
        ("wrongly dead, a node and minute", &[("wrongly dead", |f| Some(f.wrong))]),
    ];
    let colours = [RGBColor(0, 114, 178), RGBColor(230, 159, 0), RGBColor(0, 158, 115)];
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    for (panel, (title, lines)) in area.split_evenly((2, 2)).iter().zip(panels) {
        let points = |line: &Line| -> Vec<(f64, f64)> {
            figures.iter().filter_map(|f| Some((f.nodes as f64, (line.1)(f)?))).collect()
        };
        let top = lines.iter().flat_map(points).fold(0.0_f64, |top, point| top.max(point.1)).max(0.01) * 1.15;
        let ends = figures
            .iter()
            .fold((f64::MAX, 1.0_f64), |(l, m), f| (l.min(f.nodes as f64), m.max(f.nodes as f64)));
        let mut chart = ChartBuilder::on(panel)
            .caption(format!("{title}, by nodes"), ("sans-serif", 16))
            .margin(10)
            .x_label_area_size(28)
            .y_label_area_size(60)
            .build_cartesian_2d((ends.0 * 0.9..ends.1 * 1.1).log_scale(), 0.0..top)?;
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
