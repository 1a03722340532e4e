//! Benchmarks of the node: added latency and CPU for each request, throughput, memory, and behaviour under
//! faults. Each command prints a table. The variants that `cost` and `load` compare are interleaved within
//! one run, so that all of them are exposed to the same state of the machine.
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
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Added time and CPU for each request: no balancer, the daemon, the library.
    Cost(cost::Options),
    /// Requests a second and latency under full load, side by side with other proxies; a table and a plot.
    Load(load::Options),
    /// The daemon's memory for each connection, server and tenant.
    Memory(memory::Options),
    /// The daemon's peak memory with 1, 10 and 100 long bodies streamed to slow clients or servers.
    Bodies(bodies::Options),
    /// Gossip among up to a thousand simulated nodes: detection times, false detections and traffic.
    Gossip(gossip::Options),
    /// Random fault schedules on real processes under load: rules, agreement, limit shares; a table and a
    /// plot.
    Fleet(fleet::Options),
    /// Random fault schedules on simulated gossip and coordinators: invariants checked at every step; a
    /// table.
    Lines(lines::Options),
    /// A proxy to compare with; it prints its address.
    #[command(hide = true)]
    Peer(load::Peer),
    /// The clients of a case of `load`; they print their figures as JSON.
    #[command(hide = true)]
    Generate(load::Generate),
    /// Stand-in servers for `load`; they print their addresses and serve until their input ends.
    #[command(hide = true)]
    Stand,
    /// Stand-in servers for `cost`; they print their addresses and serve until their input ends.
    #[command(hide = true)]
    Servers {
        /// Number of servers.
        count: usize,
    },
}

fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        Command::Cost(options) => cost::run(&options),
        Command::Load(options) => load::run(&options),
        Command::Memory(options) => memory::run(&options),
        Command::Bodies(options) => bodies::run(&options),
        Command::Gossip(options) => gossip::run(&options),
        Command::Fleet(options) => fleet::run(&options),
        Command::Lines(options) => lines::run(&options),
        Command::Peer(peer) => load::peer(&peer),
        Command::Generate(options) => load::generate(&options),
        Command::Stand => load::stand(),
        Command::Servers { count } => servers::run(count),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dunelink-bench: {error:#}");
            ExitCode::FAILURE
        }
    }
}
