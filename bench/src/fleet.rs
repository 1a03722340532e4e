//! Time lines of faults on real processes, at length: what clients got, whether a rule broke, how soon all agreed, and
//! what part of its limits the fleet took meanwhile.

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
const DEADLINE: Duration = Duration::from_millis(1500);
const SLACK: Duration = Duration::from_millis(700);
/// How often nodes are asked for their parts.
const LOOK: Duration = Duration::from_millis(100);
const SIZE: (u32, u32) = (1000, 320);

/// What `fleet` is told.
#[derive(Args)]
pub(crate) struct Options {
    /// The program; by default the one beside this.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// How many nodes.
    #[arg(long, default_value_t = 5)]
    nodes: usize,
    /// How many of them decide for the fleet; 0 for none.
    #[arg(long, default_value_t = 5)]
    electors: usize,
    /// How many time lines, one for each seed from the first on.
    #[arg(long, default_value_t = 10)]
    lines: u64,
    /// The first seed.
    #[arg(long, default_value_t = 100)]
    seed: u64,
    /// Seconds of each.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Where the plot goes.
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
}

struct Played {
    seed: u64,
    faults: usize,
    sum: Sum,
    breaches: Vec<String>,
    agreed: Option<f64>,
    /// Until the parts of all were a whole again; it is not asked where nobody decides.
    whole: Option<f64>,
    /// What all nodes together took, by time in seconds.
    parts: Vec<(f64, f64)>,
}

fn plan(options: &Options) -> anyhow::Result<Plan> {
    let beside = || Ok::<_, std::io::Error>(std::env::current_exe()?.with_file_name("dunelink"));
    let program = options.program.clone().map_or_else(beside, Ok)?;
    if !program.exists() {
        bail!("{}: expected the program; build it first", program.display());
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

/// What a node takes of the fleet's limits, by what it says.
fn part(door: &SocketAddr) -> Option<f64> {
    let told = ask(*door, "fleet")?;
    told.split("part=").nth(1)?.split_whitespace().next()?.parse().ok()
}

/// The parts of all nodes that answer, added up, until told to stop.
fn watch(doors: Vec<SocketAddr>, over: Arc<AtomicBool>) -> thread::JoinHandle<Vec<(f64, f64)>> {
    thread::spawn(move || {
        let (began, mut seen) = (Instant::now(), Vec::new());
        while !over.load(Ordering::SeqCst) {
            let at = began.elapsed().as_secs_f64();
            seen.push((at, doors.iter().filter_map(part).sum::<f64>()));
            thread::sleep(LOOK);
        }
        seen
    })
}

fn play(options: &Options, seed: u64) -> anyhow::Result<Played> {
    let mut rig = Rig::new(plan(options)?);
    rig.found();
    let span = Duration::from_secs(options.seconds);
    let line = TimeLine::drawn(seed, options.nodes, SERVERS, span);
    let over = Arc::new(AtomicBool::new(false));
    let doors: Vec<SocketAddr> = (0..options.nodes).map(|node| rig.door(node)).collect();
    let watched = watch(doors.clone(), over.clone());
    let classes = vec![Class::View, Class::Submit, Class::Order];
    rig.load(&Load { clients: 4, pause: Duration::from_millis(20), classes, deadline: DEADLINE });
    rig.play(&line);
    let healed = Instant::now();
    while !rig.agree() && healed.elapsed() < span {
        thread::sleep(Duration::from_millis(10));
    }
    let agreed = rig.agree().then(|| healed.elapsed().as_secs_f64());
    let is_whole = || doors.iter().filter_map(part).sum::<f64>() > 0.99;
    while options.electors > 0 && !is_whole() && healed.elapsed() < span {
        thread::sleep(Duration::from_millis(10));
    }
    let whole = (options.electors == 0 || is_whole()).then(|| healed.elapsed().as_secs_f64());
    rig.rest();
    over.store(true, Ordering::SeqCst);
    let parts = watched.join().map_err(|_| anyhow!("the watch ended early"))?;
    let rules = Rules {
        deadline: DEADLINE,
        slack: SLACK,
        window: Duration::from_secs(10),
        cell: |s| s % 2,
        cold: None,
    };
    let (sum, breaches) = check(&rig.record.entries(), &rules);
    if !breaches.is_empty() || agreed.is_none() || whole.is_none() {
        eprintln!("{line}{}\n{}", breaches.join("\n"), rig.story());
    }
    Ok(Played { seed, faults: line.faults.len(), sum, breaches, agreed, whole, parts })
}

pub(crate) fn run(options: &Options) -> anyhow::Result<()> {
    println!(
        "| seed | faults | asked | served, refused, failed, lost with a node | rules broken | all see all after, s | parts whole after, s | parts together, at most |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut played = Vec::new();
    for seed in options.seed..options.seed + options.lines {
        let one = play(options, seed).with_context(|| format!("seed {seed}"))?;
        let Sum { asked, served, refused, failed, lost } = one.sum;
        let most = one.parts.iter().map(|part| part.1).fold(0.0, f64::max);
        let told = |seconds: Option<f64>| seconds.map_or("-".into(), |seconds| format!("{seconds:.1}"));
        let (agreed, whole) = (told(one.agreed), told(one.whole));
        println!(
            "| {} | {} | {asked} | {served}, {refused}, {failed}, {lost} | {} | {agreed} | {whole} | {most:.2} |",
            one.seed,
            one.faults,
            one.breaches.len()
        );
        played.push(one);
    }
    if let Some(path) = &options.svg {
        draw(path, &played).map_err(|error| anyhow!("{}: {error}", path.display()))?;
    }
    match played.iter().all(|one| one.breaches.is_empty() && one.agreed.is_some() && one.whole.is_some()) {
        true => Ok(()),
        false => bail!("a rule broke, or not all agreed, or parts stayed small"),
    }
}

/// What the fleet took of its limits by time, a line for each time line, and the bound.
fn draw(path: &Path, played: &[Played]) -> Result<(), Box<dyn std::error::Error>> {
    let end = played.iter().flat_map(|one| one.parts.last()).map(|part| part.0).fold(1.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("parts of all nodes together, by seconds; the line above is the bound", ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(28)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..end, 0.0..1.3)?;
    chart.configure_mesh().light_line_style(WHITE).draw()?;
    for one in played {
        chart.draw_series(LineSeries::new(one.parts.iter().copied(), RGBColor(0, 114, 178).mix(0.5)))?;
    }
    chart.draw_series(LineSeries::new([(0.0, 1.1), (end, 1.1)], RGBColor(213, 94, 0).stroke_width(2)))?;
    area.present()?;
    Ok(())
}
