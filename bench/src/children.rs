//! Child processes of a benchmark: daemons, and stand-in servers or proxies that print their addresses.

use std::net::SocketAddr;
use std::process::Stdio;
use std::time::Duration;

use anyhow::Context;
use dunelink::config::{Class, Effect, RosterConfig};
use dunelink::{Config, Server};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// The settings of a node with one safe class, `view`, and a fixed list of servers.
pub(crate) fn node_config(name: &str, servers: Vec<Server>) -> Config {
    let view_class = Class {
        aim: Some(Duration::from_millis(500)),
        ..Class::new("view", Effect::Safe, Duration::from_secs(2))
    };
    Config {
        name: name.into(),
        listen: Some(([127, 0, 0, 1], 0).into()),
        seed: Some(7),
        classes: vec![view_class],
        roster: RosterConfig::Fixed { servers },
        ..Config::default()
    }
}

/// Starts a daemon with `command` and these settings. Returns the process and its address, which is the last
/// word of its first log line.
pub(crate) async fn start_daemon(
    mut command: Command,
    config: &Config,
) -> anyhow::Result<(Child, SocketAddr)> {
    let path = std::env::temp_dir().join(format!("dunelink-bench-{}.toml", std::process::id()));
    std::fs::write(&path, config.to_toml()?)?;
    command.args(["run", "--config"]).arg(&path).stderr(Stdio::piped()).kill_on_drop(true);
    let mut child = command.spawn().with_context(|| format!("{:?}", command.as_std().get_program()))?;
    let mut line = String::new();
    let mut log = BufReader::new(child.stderr.take().context("the daemon has no standard error")?);
    log.read_line(&mut line).await?;
    std::fs::remove_file(&path)?;
    let address = line.trim().rsplit(' ').next().unwrap_or_default().parse().context(line.clone())?;
    tokio::spawn(async move { tokio::io::copy(&mut log, &mut tokio::io::sink()).await });
    Ok((child, address))
}

/// Reads the addresses that a process prints as the first line of its output.
pub(crate) async fn read_addresses(child: &mut Child) -> anyhow::Result<Vec<SocketAddr>> {
    let mut line = String::new();
    BufReader::new(child.stdout.take().context("the process has no standard output")?)
        .read_line(&mut line)
        .await?;
    line.split_whitespace().map(|address| Ok(address.parse()?)).collect()
}
