//! Throughput and latency under full load, compared with other proxies, by number of servers, of shards and
//! of connections. Every case starts a new proxy. Each round runs all cases in turn, so that all are exposed
//! to the same state of the machine; the report shows the medians over the rounds.

mod generate;
mod peers;
mod plot;
mod stand;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;

use anyhow::bail;
use dunelink::config::{Fleet, Limits};
use dunelink::{Config, Server};
use tokio::process::Command;

use crate::children::{node_config, read_addresses, start_daemon};

pub(crate) use generate::{Figures, Generate, run as generate};
pub(crate) use peers::{Peer, run as peer};
pub(crate) use stand::run as stand;

/// Options of `load`.
#[derive(clap::Args)]
pub(crate) struct Options {
    /// Measured seconds of each case in each round, after a warm-up of half a second.
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
    /// Number of rounds.
    #[arg(long, default_value_t = 3)]
    rounds: usize,
    /// Numbers of servers.
    #[arg(long, value_delimiter = ',', default_values_t = [8, 100, 1000, 5000, 10_000])]
    fleets: Vec<usize>,
    /// Numbers of shards; each shard has a core of its own.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 2])]
    shards: Vec<u32>,
    /// Numbers of client connections.
    #[arg(long, value_delimiter = ',', default_values_t = [16, 64, 256])]
    connections: Vec<usize>,
    /// Only cases whose name contains this.
    #[arg(long, default_value = "")]
    only: String,
    /// Path of the daemon's program.
    #[arg(long, default_value = "target/release/dunelink")]
    daemon: PathBuf,
    /// Limit on the sockets that a node may have open.
    #[arg(long, default_value_t = 8192)]
    sockets: usize,
    /// Path of the plot; without it none is drawn.
    #[arg(long)]
    svg: Option<PathBuf>,
}

/// The proxy between clients and servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Proxy {
    /// No proxy.
    Direct,
    /// A minimal round-robin proxy made with hyper.
    Hyper,
    /// The same with tower's balancer: power of two choices by requests in flight.
    P2c,
    /// The daemon.
    Dunelink,
}

impl Proxy {
    const ALL: [Proxy; 4] = [Proxy::Direct, Proxy::Hyper, Proxy::P2c, Proxy::Dunelink];

    fn name(self) -> &'static str {
        match self {
            Proxy::Direct => "no proxy",
            Proxy::Hyper => "hyper pass-through",
            Proxy::P2c => "tower p2c",
            Proxy::Dunelink => "dunelink",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
/// One combination that is measured.
struct Case {
    proxy: Proxy,
    /// Number of servers.
    server_count: usize,
    /// Number of the daemon's shards; 1 for all others.
    shards: u32,
    /// Number of client connections.
    connections: usize,
}

impl Case {
    fn name(&self) -> String {
        let Case { proxy, server_count, shards, connections } = self;
        format!("{}, {server_count} servers, {shards} shards, {connections} connections", proxy.name())
    }
}

/// All cases: every proxy with the base values, then each dimension varied by itself.
fn cases(options: &Options) -> Vec<Case> {
    let base = |proxy| Case { proxy, server_count: 8, shards: 1, connections: 64 };
    let mut all: Vec<Case> = Proxy::ALL.map(base).to_vec();
    let proxies = [Proxy::Hyper, Proxy::P2c, Proxy::Dunelink];
    for server_count in &options.fleets {
        all.extend(proxies.map(|proxy| Case { server_count: *server_count, ..base(proxy) }));
    }
    for connections in &options.connections {
        all.extend(Proxy::ALL.map(|proxy| Case { connections: *connections, ..base(proxy) }));
    }
    for shards in &options.shards {
        // The same number of clients for each shard.
        let connections = 64 * *shards as usize;
        all.push(Case { shards: *shards, connections, ..base(Proxy::Dunelink) });
    }
    all.sort_unstable();
    all.dedup();
    all.retain(|case| case.name().contains(&options.only));
    all
}

/// A command whose process is pinned to these cores, if the machine has them and `/usr/bin/taskset` exists.
fn on_cores(program: &std::path::Path, cores: std::ops::Range<usize>) -> Command {
    let core_count = std::thread::available_parallelism().map_or(1, |n| n.get());
    let pinned = cores.end <= core_count && std::path::Path::new("/usr/bin/taskset").exists();
    let mut command = match pinned {
        true => {
            let mut command = Command::new("/usr/bin/taskset");
            command.args(["-c", &format!("{}-{}", cores.start, cores.end - 1)]).arg(program);
            command
        }
        false => Command::new(program),
    };
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::null()).kill_on_drop(true);
    command
}

/// The daemon's settings for a case.
fn case_config(case: &Case, options: &Options, servers: &[SocketAddr]) -> Config {
    // Servers are distinguished by name; many share an address.
    let server = |number: usize| Server::new(format!("s-{number}"), servers[number % servers.len()]);
    Config {
        limits: Limits { sockets: options.sockets, ..Limits::default() },
        fleet: Fleet { shards: case.shards, ..Fleet::default() },
        ..node_config("load", (0..case.server_count).map(server).collect())
    }
}

/// Runs one case once.
async fn run_case(case: &Case, options: &Options, servers: &[SocketAddr]) -> anyhow::Result<Figures> {
    let this_program = std::env::current_exe()?;
    let cores = 0..case.shards as usize;
    let mut proxy_process = None;
    let targets: Vec<SocketAddr> = match case.proxy {
        Proxy::Direct => servers.to_vec(),
        Proxy::Hyper | Proxy::P2c => {
            let kind = if case.proxy == Proxy::Hyper { "hyper" } else { "p2c" };
            let mut command = on_cores(&this_program, cores);
            command.args(["peer", kind, "--fleet", &case.server_count.to_string()]);
            let mut child = command.args(servers.iter().map(SocketAddr::to_string)).spawn()?;
            let addresses = read_addresses(&mut child).await?;
            proxy_process = Some(child);
            addresses
        }
        Proxy::Dunelink => {
            let command = on_cores(&options.daemon, cores);
            let (child, address) = start_daemon(command, &case_config(case, options, servers)).await?;
            proxy_process = Some(child);
            vec![address]
        }
    };
    let last_core = std::thread::available_parallelism().map_or(1, |n| n.get()) - 1;
    let mut command = on_cores(&this_program, last_core..last_core + 1);
    command.args(["generate", "--connections", &case.connections.to_string()]);
    command.args(["--seconds", &options.seconds.to_string()]);
    let output = command.args(targets.iter().map(SocketAddr::to_string)).output().await?;
    if let Some(mut child) = proxy_process {
        child.kill().await?;
    }
    if !output.status.success() {
        bail!("{}: the load generator failed", case.name());
    }
    Ok(serde_json::from_slice(&output.stdout)?)
}

pub(crate) fn run(options: &Options) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(measure(options))
}

/// Runs all rounds, and writes the table and the plot.
async fn measure(options: &Options) -> anyhow::Result<()> {
    let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
    let mut servers = {
        let core = cores.saturating_sub(2);
        let mut command = on_cores(&std::env::current_exe()?, core..core + 1);
        command.arg("stand").spawn()?
    };
    let addresses = read_addresses(&mut servers).await?;
    let cases = cases(options);
    let mut rounds: BTreeMap<Case, Vec<Figures>> = BTreeMap::new();
    for round in 0..options.rounds {
        for case in &cases {
            let figures = run_case(case, options, &addresses).await?;
            eprintln!("round {round}: {}: {:.0} a second", case.name(), figures.per_second);
            rounds.entry(*case).or_default().push(figures);
        }
    }
    let medians: BTreeMap<Case, Figures> =
        rounds.iter().map(|(case, all)| (*case, Figures::median(all))).collect();
    report(options, cores, &medians);
    if let Some(path) = &options.svg {
        plot::draw(path, &medians)?;
    }
    Ok(())
}

/// Prints the table of medians.
fn report(options: &Options, cores: usize, medians: &BTreeMap<Case, Figures>) {
    println!(
        "{} rounds of {} s a case, taking turns, {cores} cores: one for each shard or peer, one for the servers, one \
         for the clients. Answers of 200 bytes at once; medians. Ratios are to the hyper pass-through of the same \
         fleet and connections.\n",
        options.rounds, options.seconds
    );
    println!(
        "| way | servers | shards | connections | requests a second | of hyper's | p50 | p99 | failed |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (case, figures) in medians {
        let peer = Case { proxy: Proxy::Hyper, shards: 1, ..*case };
        let ratio =
            medians.get(&peer).map_or("".into(), |p| format!("{:.2}", figures.per_second / p.per_second));
        println!(
            "| {} | {} | {} | {} | {:.0} | {ratio} | {:.2} ms | {:.2} ms | {} |",
            case.proxy.name(),
            case.server_count,
            case.shards,
            case.connections,
            figures.per_second,
            figures.p50_ms,
            figures.p99_ms,
            figures.failed
        );
    }
}
