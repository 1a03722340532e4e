//! What a client's connection, a server and a tenant cost the daemon in memory.

use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use dunelink::config::{Class, Effect, Limits, RosterConfig, Tenant};
use dunelink::{Config, Server};
use tokio::process::{Child, Command};

use crate::children::daemon;

/// What is measured.
#[derive(clap::Args)]
pub(crate) struct Options {
    /// Client connections.
    #[arg(long, default_value_t = 15_000)]
    connections: usize,
    /// Servers in the list.
    #[arg(long, default_value_t = 10_000)]
    servers: usize,
    /// Tenants.
    #[arg(long, default_value_t = 100_000)]
    tenants: usize,
    /// The daemon's program.
    #[arg(long, default_value = "target/release/dunelink")]
    daemon: PathBuf,
}

/// Resident memory of a process, in bytes.
pub(crate) fn resident(process: u32) -> anyhow::Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).context("no VmRSS")?;
    Ok(line.trim().trim_end_matches("kB").trim().parse::<f64>()? * 1024.0)
}

async fn start(
    options: &Options,
    servers: usize,
    tenants: usize,
) -> anyhow::Result<(Child, u32, SocketAddr)> {
    let tenant = |number| Tenant { name: format!("tenant-{number}"), quota_per_s: 10.0, share: 1e-6 };
    let config = Config {
        name: "memory".into(),
        listen: Some(([127, 0, 0, 1], 0).into()),
        classes: vec![Class::new("view", Effect::Safe, Duration::from_secs(60))],
        tenants: (0..tenants).map(tenant).collect(),
        limits: Limits { sockets: 4 * options.connections, ..Limits::default() },
        roster: RosterConfig::Fixed {
            servers: (0..servers)
                .map(|n| Server::new(format!("s-{n}"), ([127, 0, 0, 1], 9).into()))
                .collect(),
        },
        ..Config::default()
    };
    let (child, address) = daemon(Command::new(&options.daemon), &config).await?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let id = child.id().context("the daemon has ended")?;
    Ok((child, id, address))
}

pub(crate) fn run(options: &Options) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let (_bare, bare, address) = start(options, 1, 0).await?;
        let before = resident(bare)?;
        let clients = (0..options.connections).map(|_| TcpStream::connect(address));
        let clients: Vec<TcpStream> = clients.collect::<Result<_, _>>()?;
        // Idle ones are ended after 2.5 s.
        tokio::time::sleep(Duration::from_millis(500)).await;
        let connection = (resident(bare)? - before) / clients.len() as f64;
        drop(clients);
        let (_list, list, _) = start(options, options.servers, 0).await?;
        let server = (resident(list)? - before) / options.servers as f64;
        let (_many, many, _) = start(options, 1, options.tenants).await?;
        let tenant = (resident(many)? - before) / options.tenants as f64;
        println!("| what | how many | bytes each |\n| --- | --- | --- |");
        println!("| a node with one server | 1 | {before:.0} |");
        println!("| a client's connection, idle | {} | {connection:.0} |", options.connections);
        println!("| a server in the list | {} | {server:.0} |", options.servers);
        println!("| a tenant | {} | {tenant:.0} |", options.tenants);
        Ok(())
    })
}
