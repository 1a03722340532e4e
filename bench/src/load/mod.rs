//! Throughput and latency under full load, side by side with other proxies, by the size of the fleet, by shards and
//! by connections. Every case starts its proxy anew; rounds take turns through all cases, so that they meet the same
//! machine, and medians over them are told.

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

use crate::children::{addresses, config, daemon};

pub(crate) use generate::{Figures, Generate, run as generate};
pub(crate) use peers::{Peer, run as peer};
pub(crate) use stand::run as stand;

/// What is measured.
#[derive(clap::Args)]
pub(crate) struct Options {
    /// Seconds of each case in each round, after half a second to warm up.
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
    /// Rounds.
    #[arg(long, default_value_t = 3)]
    rounds: usize,
    /// Sizes of the fleet.
    #[arg(long, value_delimiter = ',', default_values_t = [8, 100, 1000, 5000, 10_000])]
    fleets: Vec<usize>,
    /// Numbers of shards; each has a core of its own.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 2])]
    shards: Vec<u32>,
    /// Numbers of connections of clients.
    #[arg(long, value_delimiter = ',', default_values_t = [16, 64, 256])]
    connections: Vec<usize>,
    /// Only cases whose name contains this.
    #[arg(long, default_value = "")]
    only: String,
    /// The daemon's program.
    #[arg(long, default_value = "target/release/dunelink")]
    daemon: PathBuf,
    /// Descriptors that a node may hold.
    #[arg(long, default_value_t = 8192)]
    sockets: usize,
    /// Where the plot goes.
    #[arg(long)]
    svg: Option<PathBuf>,
}

/// Who stands between clients and servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Way {
    /// Nobody.
    Direct,
    /// A bare pass-through made with hyper, in turn.
    Hyper,
    /// The same with tower's power of two choices over requests in flight.
    P2c,
    Dunelink,
}

impl Way {
    const ALL: [Way; 4] = [Way::Direct, Way::Hyper, Way::P2c, Way::Dunelink];

    fn name(self) -> &'static str {
        match self {
            Way::Direct => "no proxy",
            Way::Hyper => "hyper pass-through",
            Way::P2c => "tower p2c",
            Way::Dunelink => "dunelink",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Case {
    way: Way,
    fleet: usize,
    shards: u32,
    connections: usize,
}

impl Case {
    fn name(&self) -> String {
        let Case { way, fleet, shards, connections } = self;
        format!("{}, {fleet} servers, {shards} shards, {connections} connections", way.name())
    }
}

/// The cases: every way as a base, then each dimension by itself.
fn cases(options: &Options) -> Vec<Case> {
    let base = |way| Case { way, fleet: 8, shards: 1, connections: 64 };
    let mut all: Vec<Case> = Way::ALL.map(base).to_vec();
    let proxies = [Way::Hyper, Way::P2c, Way::Dunelink];
    for fleet in &options.fleets {
        all.extend(proxies.map(|way| Case { fleet: *fleet, ..base(way) }));
    }
    for connections in &options.connections {
        all.extend(Way::ALL.map(|way| Case { connections: *connections, ..base(way) }));
    }
    for shards in &options.shards {
        // As many clients for each shard.
        let connections = 64 * *shards as usize;
        all.push(Case { shards: *shards, connections, ..base(Way::Dunelink) });
    }
    all.sort_unstable();
    all.dedup();
    all.retain(|case| case.name().contains(&options.only));
    all
}

/// A command on these cores alone, where there are enough and `taskset` is at hand.
fn on_cores(program: &std::path::Path, cores: std::ops::Range<usize>) -> Command {
    let most = std::thread::available_parallelism().map_or(1, |n| n.get());
    let pinned = cores.end <= most && std::path::Path::new("/usr/bin/taskset").exists();
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

fn node(case: &Case, options: &Options, servers: &[SocketAddr]) -> Config {
    // Servers are told apart by their names; many share an address.
    let server = |number: usize| Server::new(format!("s-{number}"), servers[number % servers.len()]);
    Config {
        limits: Limits { sockets: options.sockets, ..Limits::default() },
        fleet: Fleet { shards: case.shards, ..Fleet::default() },
        ..config("load", (0..case.fleet).map(server).collect())
    }
}

/// One case, once.
async fn play(case: &Case, options: &Options, servers: &[SocketAddr]) -> anyhow::Result<Figures> {
    let own = std::env::current_exe()?;
    let cores = 0..case.shards as usize;
    let mut kept = None;
    let targets: Vec<SocketAddr> = match case.way {
        Way::Direct => servers.to_vec(),
        Way::Hyper | Way::P2c => {
            let kind = if case.way == Way::Hyper { "hyper" } else { "p2c" };
            let mut command = on_cores(&own, cores);
            command.args(["peer", kind, "--fleet", &case.fleet.to_string()]);
            let mut child = command.args(servers.iter().map(SocketAddr::to_string)).spawn()?;
            let there = addresses(&mut child).await?;
            kept = Some(child);
            there
        }
        Way::Dunelink => {
            let command = on_cores(&options.daemon, cores);
            let (child, there) = daemon(command, &node(case, options, servers)).await?;
            kept = Some(child);
            vec![there]
        }
    };
    let last = std::thread::available_parallelism().map_or(1, |n| n.get()) - 1;
    let mut command = on_cores(&own, last..last + 1);
    command.args(["generate", "--connections", &case.connections.to_string()]);
    command.args(["--seconds", &options.seconds.to_string()]);
    let output = command.args(targets.iter().map(SocketAddr::to_string)).output().await?;
    if let Some(mut child) = kept {
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

async fn measure(options: &Options) -> anyhow::Result<()> {
    let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
    let mut servers = {
        let at = cores.saturating_sub(2);
        let mut command = on_cores(&std::env::current_exe()?, at..at + 1);
        command.arg("stand").spawn()?
    };
    let there = addresses(&mut servers).await?;
    let cases = cases(options);
    let mut rounds: BTreeMap<Case, Vec<Figures>> = BTreeMap::new();
    for round in 0..options.rounds {
        for case in &cases {
            let figures = play(case, options, &there).await?;
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
        let peer = Case { way: Way::Hyper, shards: 1, ..*case };
        let ratio =
            medians.get(&peer).map_or("".into(), |p| format!("{:.2}", figures.per_second / p.per_second));
        println!(
            "| {} | {} | {} | {} | {:.0} | {ratio} | {:.2} ms | {:.2} ms | {} |",
            case.way.name(),
            case.fleet,
            case.shards,
            case.connections,
            figures.per_second,
            figures.p50_ms,
            figures.p99_ms,
            figures.failed
        );
    }
}
