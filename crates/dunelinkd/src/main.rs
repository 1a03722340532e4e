//! The `dunelink` program: runs one node, and has the commands that operators use with it.

mod admin;
mod client_socket;
mod clients;
mod demo;
mod dispatcher;
mod fleet;
mod gossip;
mod grace_timer;
mod graphql;
mod guarded_body;
mod lab;
mod listen;
mod log;
mod serve;
mod shards;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};

use crate::serve::Source;

/// A load-balancing node: every request gets one final answer, and no effect happens twice.
///
/// Without a command, it serves with the platform's JSON file that GW_CONFIG names.
#[derive(Parser)]
#[command(name = "dunelink", version)]
struct CommandLine {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve until SIGTERM.
    Run(Run),
    /// Validate a configuration file and report its errors.
    Check(Check),
    /// Explain how a node classifies GraphQL requests.
    #[command(subcommand)]
    Graphql(graphql::Command),
    /// Create the keys that nodes use for gossip.
    #[command(subcommand)]
    Gossip(gossip::Command),
    /// List the gossip members that a running node knows.
    Members(gossip::AdminAddress),
    /// Inspect and change the fleet as a whole.
    #[command(subcommand)]
    Fleet(fleet::Command),
    /// List the servers that other nodes suspect, with the nodes that report each, as a running node knows
    /// them.
    Suspicions(gossip::AdminAddress),
    /// Simulate settings and policies on a model of clients, servers, server lists and networks.
    #[command(subcommand)]
    Lab(lab::Command),
    /// Run a demo with simulated servers, a server list and a node in one process, on loopback only.
    Demo(demo::Options),
}

#[derive(Args)]
struct Run {
    /// The configuration file: TOML, or the platform's JSON format if its name ends in .json. The default is
    /// the platform's file that GW_CONFIG names.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The format of the log; it overrides the configuration.
    #[arg(long, value_name = "FORM")]
    log: Option<log::LogFormatArg>,
}

#[derive(Args)]
struct Check {
    /// The configuration file: TOML, or the platform's JSON format if its name ends in .json.
    file: PathBuf,
}

fn check(file: PathBuf) -> anyhow::Result<()> {
    let name = file.display().to_string();
    let config = Source::from_path(file).read()?;
    let documents =
        config.graphql_reader()?.map(|reader| format!(", {} known GraphQL documents", reader.manifest.len()));
    let (classes, tenants) = (config.classes.len(), config.tenants.len());
    println!(
        "{name}: {classes} classes, {tenants} tenants{}; the configuration is valid",
        documents.unwrap_or_default()
    );
    Ok(())
}

fn main() -> ExitCode {
    let result = match CommandLine::parse().command {
        None => Source::find(None).and_then(|source| serve::serve(source, None)),
        Some(Command::Run(run)) => Source::find(run.config).and_then(|source| serve::serve(source, run.log)),
        Some(Command::Check(Check { file })) => check(file),
        Some(Command::Graphql(command)) => graphql::run(command),
        Some(Command::Gossip(command)) => gossip::run(command),
        Some(Command::Members(admin_address)) => gossip::print_answer(&admin_address, "members"),
        Some(Command::Suspicions(admin_address)) => gossip::print_answer(&admin_address, "suspicions"),
        Some(Command::Fleet(command)) => fleet::run(command),
        Some(Command::Lab(command)) => lab::execute(&command),
        Some(Command::Demo(options)) => demo::run(&options),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dunelink: {error:#}");
            ExitCode::FAILURE
        }
    }
}
