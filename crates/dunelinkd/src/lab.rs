//! The lab on the command line: reads experiments from files, runs them on many threads and writes reports
//! into files.

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

/// Steps of the progress bar for each run.
const PROGRESS_STEPS: f64 = 1000.0;

/// Commands of the lab.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Run experiments and print their results.
    Run(RunOptions),
    /// Validate experiment files and report their errors.
    Check {
        /// The experiment files.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Find the shortest timeline of an experiment that still breaks a rule.
    Shrink {
        /// The experiment file.
        file: PathBuf,
        /// The name of the policy, as in the report.
        #[arg(long, default_value = "dunelink")]
        policy: String,
        /// The seed of the run.
        #[arg(long)]
        seed: u64,
    },
}

/// Options for running experiments.
#[derive(Args)]
pub(crate) struct RunOptions {
    /// The experiment files.
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    /// Number of parallel runs, by default the number of cores. The results don't depend on it.
    #[arg(long)]
    jobs: Option<usize>,
    /// Seeds to use instead of those in the files.
    #[arg(long, value_delimiter = ',')]
    seeds: Vec<u64>,
    /// Run only these policies, by their names in the report.
    #[arg(long, value_delimiter = ',')]
    only: Vec<String>,
    /// The folder for a report page of each experiment, with a JSON and a CSV file beside it.
    #[arg(long, value_name = "FOLDER")]
    out: Option<PathBuf>,
}

fn read(file: &Path) -> anyhow::Result<Experiment> {
    let text = fs::read_to_string(file).with_context(|| format!("{}: can't be read", file.display()))?;
    Experiment::from_toml(&text).map_err(|problem| anyhow!("{}: {problem}", file.display()))
}

pub(crate) fn execute(command: &Command) -> anyhow::Result<()> {
    match command {
        Command::Run(options) => run_all(options),
        Command::Check { files } => {
            for file in files {
                let cases =
                    read(file)?.cases().map_err(|problem| anyhow!("{}: {problem}", file.display()))?;
                println!("{}: {} runs; the experiment is valid", file.display(), cases.len());
            }
            Ok(())
        }
        Command::Shrink { file, policy, seed } => shrink(file, policy, *seed),
    }
}

/// Stops the runs when the user interrupts; completed runs are reported nevertheless.
fn stop_on_interrupt(stop: &'static AtomicBool) -> anyhow::Result<()> {
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

fn run_all(options: &RunOptions) -> anyhow::Result<()> {
    static STOP: AtomicBool = AtomicBool::new(false);
    stop_on_interrupt(&STOP)?;
    let mut breaches = 0;
    // All files are read before the first run.
    let experiments = options
        .files
        .iter()
        .map(|file| read(file).map(|experiment| (file, experiment)))
        .collect::<Result<Vec<_>, _>>()?;
    for (file, mut experiment) in experiments {
        if !options.seeds.is_empty() {
            experiment.seeds.clone_from(&options.seeds);
        }
        let mut cases = experiment.cases().map_err(|problem| anyhow!("{}: {problem}", file.display()))?;
        cases.retain(|case| options.only.is_empty() || options.only.contains(&case.variant));
        if cases.is_empty() {
            bail!("{}: there is no policy of that name", file.display());
        }
        let start = Instant::now();
        let runs = run_cases(&cases, options.jobs, &experiment.name, &STOP)?;
        let events: u64 =
            runs.iter().filter_map(|(_, outcome)| outcome.as_ref().ok()).map(|f| f.events).sum();
        let elapsed_s = start.elapsed().as_secs_f64();
        println!(
            "{}: {} runs, {events} events in {elapsed_s:.1} s, {:.0} a second",
            experiment.name,
            runs.len(),
            events as f64 / elapsed_s
        );
        println!("{}", report::table(&runs));
        if let Some(folder) = &options.out {
            write(folder, file, &experiment, &runs)?;
        }
        breaches += runs
            .iter()
            .filter_map(|(_, outcome)| outcome.as_ref().ok())
            .map(|f| f.violation_count)
            .sum::<u64>();
        if STOP.load(Ordering::SeqCst) {
            bail!("interrupted; the report covers what was run until then");
        }
    }
    if breaches > 0 {
        eprintln!(
            "dunelink: rules were broken {breaches} times; `dunelink lab shrink` finds the shortest timeline \
             that breaks one"
        );
    }
    Ok(())
}

fn run_cases(
    cases: &[Case],
    jobs: Option<usize>,
    name: &str,
    stop: &AtomicBool,
) -> anyhow::Result<Vec<(Case, report::RunResult)>> {
    let pool = rayon::ThreadPoolBuilder::new().num_threads(jobs.unwrap_or(0)).build()?;
    // Nothing is drawn if the output is not a terminal.
    let progress_bar = ProgressBar::new((cases.len() as f64 * PROGRESS_STEPS) as u64);
    let style = ProgressStyle::with_template("{prefix} [{bar:30}] {percent}%, {eta} left, {msg} runs done")?;
    progress_bar.set_style(style.progress_chars("=> "));
    progress_bar.set_prefix(name.to_string());
    let (completed, fractions) = (AtomicUsize::new(0), Mutex::new(vec![0.0; cases.len()]));
    let run_case = |(index, case): (usize, &Case)| {
        let mut last_update = Instant::now() - Duration::from_secs(1);
        let mut progress = |fraction: f64| {
            if last_update.elapsed() > Duration::from_millis(200)
                && let Ok(mut fractions) = fractions.lock()
            {
                last_update = Instant::now();
                fractions[index] = fraction;
                progress_bar.set_position((fractions.iter().sum::<f64>() * PROGRESS_STEPS) as u64);
            }
            !stop.load(Ordering::Relaxed)
        };
        if stop.load(Ordering::Relaxed) {
            return (case.clone(), Err("the run was not started".to_string()));
        }
        let outcome = run(case, &mut progress).map_err(|error| error.to_string());
        if let Ok(mut fractions) = fractions.lock() {
            fractions[index] = 1.0;
        }
        progress_bar.set_message((completed.fetch_add(1, Ordering::Relaxed) + 1).to_string());
        (case.clone(), outcome)
    };
    let runs = pool.install(|| cases.par_iter().enumerate().map(run_case).collect());
    progress_bar.finish_and_clear();
    Ok(runs)
}

fn write(
    folder: &Path,
    file: &Path,
    experiment: &Experiment,
    runs: &[(Case, report::RunResult)],
) -> anyhow::Result<()> {
    fs::create_dir_all(folder).with_context(|| format!("{}: can't be created", folder.display()))?;
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
    // A run that stops at once: settings that can't be run fail here, before any case is shrunk.
    run(case, &mut |_| false)?;
    let run_case = |case: &Case| run(case, &mut |_| true).unwrap_or_else(|error| unreachable!("{error}"));
    match shrink_case(case, &run_case) {
        None => println!("{}: {policy} with seed {seed} breaks no rule", file.display()),
        Some((case, breach)) => {
            println!("seed {seed}, {:.3} s: {:?}, {}", breach.at, breach.invariant, breach.cause);
            let experiment = &case.experiment;
            println!("span {:?}, {} nodes", experiment.span, experiment.nodes.count);
            for trouble in &experiment.faults {
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
