//! Memory of the daemon for each client connection, server and tenant.

use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use dunelink::config::{Class, Effect, Limits, RosterConfig, Tenant};
use dunelink::{Config, Server};
use tokio::process::{Child, Command};

use crate::children::start_daemon;

/// Options of `memory`.
#[derive(clap::Args)]
pub(crate) struct Options {
    /// Number of idle client connections.
    #[arg(long, default_value_t = 15_000)]
    connections: usize,
    /// Number of servers in the list.
    #[arg(long, default_value_t = 10_000)]
    servers: usize,
    /// Number of tenants.
    #[arg(long, default_value_t = 100_000)]
    tenants: usize,
    /// Path of the daemon's program.
    #[arg(long, default_value = "target/release/dunelink")]
    daemon: PathBuf,
}

/// Resident memory (`VmRSS`) of a process, in bytes.
pub(crate) fn resident_bytes(pid: u32) -> anyhow::Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line =
        text.lines().find_map(|line| line.strip_prefix("VmRSS:")).context("no VmRSS in the status file")?;
    Ok(line.trim().trim_end_matches("kB").trim().parse::<f64>()? * 1024.0)
}

/// Starts a daemon with so many servers and tenants. Returns the child, its process id and its address.
async fn start_node(
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
    let (child, address) = start_daemon(Command::new(&options.daemon), &config).await?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let pid = child.id().context("the daemon has ended")?;
    Ok((child, pid, address))
}

pub(crate) fn run(options: &Options) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let (_base_child, base_pid, address) = start_node(options, 1, 0).await?;
        let base_bytes = resident_bytes(base_pid)?;
        let clients = (0..options.connections).map(|_| TcpStream::connect(address));
        let clients: Vec<TcpStream> = clients.collect::<Result<_, _>>()?;
        // The wait is shorter than the 2.5 s after which the daemon closes idle connections.
        tokio::time::sleep(Duration::from_millis(500)).await;
        let connection_bytes = (resident_bytes(base_pid)? - base_bytes) / clients.len() as f64;
        drop(clients);
        let (_servers_child, servers_pid, _) = start_node(options, options.servers, 0).await?;
        let server_bytes = (resident_bytes(servers_pid)? - base_bytes) / options.servers as f64;
        let (_tenants_child, tenants_pid, _) = start_node(options, 1, options.tenants).await?;
        let tenant_bytes = (resident_bytes(tenants_pid)? - base_bytes) / options.tenants as f64;
        println!("| what | how many | bytes each |\n| --- | --- | --- |");
        println!("| a node with one server | 1 | {base_bytes:.0} |");
        println!("| a client's connection, idle | {} | {connection_bytes:.0} |", options.connections);
        println!("| a server in the list | {} | {server_bytes:.0} |", options.servers);
        println!("| a tenant | {} | {tenant_bytes:.0} |", options.tenants);
        Ok(())
    })
}
