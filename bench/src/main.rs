//! Measures what the node adds to a request: none at all, the daemon in between, the library in the caller's
//! process. One command prints the table; the modes take turns within the run, so that they meet the same machine.
//!
//!     cargo build --release --workspace && target/release/dunelink-bench cost
//!     target/release/dunelink-bench load --svg docs/load.svg

mod bodies;
mod children;
mod cost;
mod fleet;
mod gossip;
mod lines;
mod load;
mod memory;
mod servers;
mod usage;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

#[derive(Parser)]
#[command(name = "dunelink-bench", version, about)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Added time and CPU for each request: no balancer, the daemon, the library.
    Cost(cost::Options),
    /// Requests a second and latency under full load, side by side with other proxies; a table and a plot.
    Load(load::Options),
    /// What a connection, a server and a tenant cost in memory.
    Memory(memory::Options),
    /// The daemon's peak memory with 1, 10 and 100 long bodies that pass through slow peers.
    Bodies(bodies::Options),
    /// Gossip among up to a thousand nodes in memory: how long until all know, how often wrongly, at what cost.
    Gossip(gossip::Options),
    /// Time lines of faults on real processes, under load: rules, agreement, parts; a table and a plot.
    Fleet(fleet::Options),
    /// Time lines of faults on gossip and councils in memory: promises held at every step; a table.
    Lines(lines::Options),
    /// A proxy to stand beside; it prints its address.
    #[command(hide = true)]
    Peer(load::Peer),
    /// The clients of a case; they print what they saw.
    #[command(hide = true)]
    Generate(load::Generate),
    /// Stand-in servers for `load`; they print their addresses and serve until their input ends.
    #[command(hide = true)]
    Stand,
    /// Stand-in servers; told their number, they print their addresses and serve until their input ends.
    #[command(hide = true)]
    Servers {
        /// How many.
        count: usize,
    },
}

fn main() -> ExitCode {
    let done = match Line::parse().command {
        Command::Cost(options) => cost::run(&options),
        Command::Load(options) => load::run(&options),
        Command::Memory(options) => memory::run(&options),
        Command::Bodies(options) => bodies::run(&options),
        Command::Gossip(options) => gossip::run_all(&options),
        Command::Fleet(options) => fleet::run(&options),
        Command::Lines(options) => lines::run(&options),
        Command::Peer(peer) => load::peer(&peer),
        Command::Generate(options) => load::generate(&options),
        Command::Stand => load::stand(),
        Command::Servers { count } => servers::run(count),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dunelink-bench: {error:#}");
            ExitCode::FAILURE
        }
    }
}
