//! One dunelink node as a program, and what operators do with its files.

mod awake;
mod clients;
mod dealer;
mod demo;
mod door;
mod fleet;
mod gossip;
mod graphql;
mod lab;
mod listen;
mod log;
mod passing;
mod serve;
mod shards;
mod socket;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};

use crate::serve::Source;

/// A load-balancing node: every request gets one final answer, and no effect happens twice.
///
/// Without a command it serves by the platform's JSON file that GW_CONFIG names.
#[derive(Parser)]
#[command(name = "dunelink", version)]
struct Line {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve until SIGTERM.
    Run(Run),
    /// Say whether a configuration can be used, and what is wrong with it if not.
    Check(Check),
    /// What a node makes of GraphQL requests.
    #[command(subcommand)]
    Graphql(graphql::Command),
    /// Keys of gossip between nodes.
    #[command(subcommand)]
    Gossip(gossip::Command),
    /// The other nodes, as a running one sees them.
    Members(gossip::Asked),
    /// The fleet as a whole.
    #[command(subcommand)]
    Fleet(fleet::Command),
    /// The servers that other nodes suspect, and who does, as a running node sees it.
    Suspicions(gossip::Asked),
    /// Try settings and policies on a model of clients, servers, lists and networks.
    #[command(subcommand)]
    Lab(lab::Command),
    /// Show a fleet at work: stand-in servers, a roster and a node in one process, on loopback only.
    Demo(demo::Options),
}

#[derive(Args)]
struct Run {
    /// The configuration: TOML, or the platform's form if its name ends in .json. By default the platform's file
    /// that GW_CONFIG names.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// How the log is written, ahead of what the configuration says.
    #[arg(long, value_name = "FORM")]
    log: Option<log::Form>,
}

#[derive(Args)]
struct Check {
    /// The configuration: TOML, or the platform's form if its name ends in .json.
    file: PathBuf,
}

fn check(file: PathBuf) -> anyhow::Result<()> {
    let name = file.display().to_string();
    let config = Source::of(file).read()?;
    let documents =
        config.graphql_reader()?.map(|reader| format!(", {} known documents", reader.manifest.len()));
    let (classes, tenants) = (config.classes.len(), config.tenants.len());
    println!("{name}: {classes} classes, {tenants} tenants{}; it can be used", documents.unwrap_or_default());
    Ok(())
}

fn main() -> ExitCode {
    let done = match Line::parse().command {
        None => Source::find(None).and_then(|source| serve::serve(source, None)),
        Some(Command::Run(run)) => Source::find(run.config).and_then(|source| serve::serve(source, run.log)),
        Some(Command::Check(Check { file })) => check(file),
        Some(Command::Graphql(command)) => graphql::run(command),
        Some(Command::Gossip(command)) => gossip::run(command),
        Some(Command::Members(asked)) => gossip::ask(&asked, "members"),
        Some(Command::Suspicions(asked)) => gossip::ask(&asked, "suspicions"),
        Some(Command::Fleet(command)) => fleet::run(command),
        Some(Command::Lab(command)) => lab::start(&command),
        Some(Command::Demo(options)) => demo::run(&options),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dunelink: {error:#}");
            ExitCode::FAILURE
        }
    }
}
