//! The lab at the command line: experiments from files, runs on many threads, reports into files.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, anyhow, bail};
use clap::{Args, Subcommand};
use dunelink_lab::{Case, Experiment, report, run, shrink_case};
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;

/// How finely progress is told.
const GRAIN: f64 = 1000.0;

/// What is done in the lab.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Play experiments and tell what came of them.
    Run(Play),
    /// Say whether experiments can be played, and what is wrong with them if not.
    Check {
        /// The experiments.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Find the shortest time line of an experiment that still breaks a rule.
    Shrink {
        /// The experiment.
        file: PathBuf,
        /// The policy, as its report calls it.
        #[arg(long, default_value = "dunelink")]
        policy: String,
        /// The seed.
        #[arg(long)]
        seed: u64,
    },
}

/// How experiments are played.
#[derive(Args)]
pub(crate) struct Play {
    /// The experiments.
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    /// How many runs at once; as many as there are cores by default. The figures are the same.
    #[arg(long)]
    jobs: Option<usize>,
    /// Other seeds than the files have.
    #[arg(long, value_delimiter = ',')]
    seeds: Vec<u64>,
    /// Only these policies, as the report calls them.
    #[arg(long, value_delimiter = ',')]
    only: Vec<String>,
    /// Where a page for each experiment goes, with a JSON and a CSV file beside it.
    #[arg(long, value_name = "FOLDER")]
    out: Option<PathBuf>,
}

fn read(file: &Path) -> anyhow::Result<Experiment> {
    let text = fs::read_to_string(file).with_context(|| format!("{}: can't be read", file.display()))?;
    Experiment::from_toml(&text).map_err(|problem| anyhow!("{}: {problem}", file.display()))
}

pub(crate) fn start(command: &Command) -> anyhow::Result<()> {
    match command {
        Command::Run(play) => play_all(play),
        Command::Check { files } => {
            for file in files {
                let cases =
                    read(file)?.cases().map_err(|problem| anyhow!("{}: {problem}", file.display()))?;
                println!("{}: {} runs; it can be played", file.display(), cases.len());
            }
            Ok(())
        }
        Command::Shrink { file, policy, seed } => shrink(file, policy, *seed),
    }
}

/// Ends runs when the user interrupts; what was played is told all the same.
fn watch(stop: &'static AtomicBool) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::spawn(move || {
        runtime.block_on(async {
            if tokio::signal::ctrl_c().await.is_ok() {
                stop.store(true, Ordering::SeqCst);
            }
        });
    });
    Ok(())
}

fn play_all(play: &Play) -> anyhow::Result<()> {
    static STOP: AtomicBool = AtomicBool::new(false);
    watch(&STOP)?;
    let mut broken = 0;
    // All are read before the first is played.
    let experiments =
        play.files.iter().map(|file| read(file).map(|read| (file, read))).collect::<Result<Vec<_>, _>>()?;
    for (file, mut experiment) in experiments {
        if !play.seeds.is_empty() {
            experiment.seeds.clone_from(&play.seeds);
        }
        let mut cases = experiment.cases().map_err(|problem| anyhow!("{}: {problem}", file.display()))?;
        cases.retain(|case| play.only.is_empty() || play.only.contains(&case.variant));
        if cases.is_empty() {
            bail!("{}: there is no policy of that name", file.display());
        }
        let began = Instant::now();
        let runs = play_cases(&cases, play.jobs, &experiment.name, &STOP)?;
        let events: u64 =
            runs.iter().filter_map(|(_, outcome)| outcome.as_ref().ok()).map(|f| f.events).sum();
        let took = began.elapsed().as_secs_f64();
        println!(
            "{}: {} runs, {events} events in {took:.1} s, {:.0} a second",
            experiment.name,
            runs.len(),
            events as f64 / took
        );
        println!("{}", report::table(&runs));
        if let Some(folder) = &play.out {
            write(folder, file, &experiment, &runs)?;
        }
        broken += runs
            .iter()
            .filter_map(|(_, outcome)| outcome.as_ref().ok())
            .map(|f| f.violation_count)
            .sum::<u64>();
        if STOP.load(Ordering::SeqCst) {
            bail!("it was interrupted; what was played is told");
        }
    }
    if broken > 0 {
        eprintln!(
            "dunelink: {broken} times a rule was broken; `dunelink lab shrink` finds the shortest way there"
        );
    }
    Ok(())
}

fn play_cases(
    cases: &[Case],
    jobs: Option<usize>,
    name: &str,
    stop: &AtomicBool,
) -> anyhow::Result<Vec<(Case, report::RunResult)>> {
    let pool = rayon::ThreadPoolBuilder::new().num_threads(jobs.unwrap_or(0)).build()?;
    // Nothing is drawn where nobody looks.
    let bar = ProgressBar::new((cases.len() as f64 * GRAIN) as u64);
    let style = ProgressStyle::with_template("{prefix} [{bar:30}] {percent}%, {eta} left, {msg} runs done")?;
    bar.set_style(style.progress_chars("=> "));
    bar.set_prefix(name.to_string());
    let (done, parts) = (AtomicUsize::new(0), Mutex::new(vec![0.0; cases.len()]));
    let play = |(at, case): (usize, &Case)| {
        let mut told = Instant::now() - Duration::from_secs(1);
        let mut progress = |part: f64| {
            if told.elapsed() > Duration::from_millis(200)
                && let Ok(mut parts) = parts.lock()
            {
                told = Instant::now();
                parts[at] = part;
                bar.set_position((parts.iter().sum::<f64>() * GRAIN) as u64);
            }
            !stop.load(Ordering::Relaxed)
        };
        if stop.load(Ordering::Relaxed) {
            return (case.clone(), Err("it was not begun".to_string()));
        }
        let outcome = run(case, &mut progress).map_err(|error| error.to_string());
        if let Ok(mut parts) = parts.lock() {
            parts[at] = 1.0;
        }
        bar.set_message((done.fetch_add(1, Ordering::Relaxed) + 1).to_string());
        (case.clone(), outcome)
    };
    let runs = pool.install(|| cases.par_iter().enumerate().map(play).collect());
    bar.finish_and_clear();
    Ok(runs)
}

fn write(
    folder: &Path,
    file: &Path,
    experiment: &Experiment,
    runs: &[(Case, report::RunResult)],
) -> anyhow::Result<()> {
    fs::create_dir_all(folder).with_context(|| format!("{}: can't be made", folder.display()))?;
    let stem = file.file_stem().unwrap_or_default();
    for (form, text) in [
        ("html", report::page(experiment, runs)),
        ("jsonl", report::json_lines(runs)),
        ("csv", report::csv(runs)),
    ] {
        let path = folder.join(stem).with_extension(form);
        fs::write(&path, text).with_context(|| format!("{}: can't be written", path.display()))?;
    }
    println!("{}", folder.join(stem).with_extension("html").display());
    Ok(())
}

fn shrink(file: &Path, policy: &str, seed: u64) -> anyhow::Result<()> {
    let mut experiment = read(file)?;
    experiment.seeds = vec![seed];
    let cases = experiment.cases().map_err(|problem| anyhow!("{}: {problem}", file.display()))?;
    let case = cases.iter().find(|case| case.variant == policy);
    let case = case.with_context(|| format!("{}: there is no policy {policy}", file.display()))?;
    // It was played before with the same settings: what fails then, fails at once.
    run(case, &mut |_| false)?;
    let play = |case: &Case| run(case, &mut |_| true).unwrap_or_else(|error| unreachable!("{error}"));
    match shrink_case(case, &play) {
        None => println!("{}: {policy} with seed {seed} breaks no rule", file.display()),
        Some((case, breach)) => {
            println!("seed {seed}, {:.3} s: {:?}, {}", breach.at, breach.invariant, breach.cause);
            let e = &case.experiment;
            println!("span {:?}, {} nodes", e.span, e.nodes.count);
            for trouble in &e.faults {
                let (servers, nodes) = (&trouble.servers, &trouble.nodes);
                println!(
                    "{:?} at {:?} for {:?}, {servers:?} of servers, {nodes:?} of nodes",
                    trouble.kind, trouble.at, trouble.duration
                );
            }
        }
    }
    Ok(())
}
