//! Commands and reports of the fleet as a whole for operators.

use std::fmt::Write as _;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use clap::Subcommand;
use dunelink::FleetView;
use dunelink_timeline::{Log, merge};
use serde_json::Value;
use url::form_urlencoded::Serializer;

use crate::gossip::{AdminAddress, request};

/// How long a decision is waited for: one or two leases.
const DECISION_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between checks for the decision.
const DECISION_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Commands for the fleet as a whole.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Show what the fleet has decided, the node's side of a partition, its leases, and which nodes reach
    /// each other.
    Status {
        #[command(flatten)]
        admin_address: AdminAddress,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Evict a node from the fleet for a time: it still serves requests that reach it, but holds no leases.
    /// Send this to an elector.
    Evict {
        /// The node's name.
        name: String,
        /// The reason; at most 40 bytes.
        #[arg(long)]
        reason: String,
        /// The time, such as 15m; at most 7 days.
        #[arg(long = "for", value_name = "TIME", value_parser = humantime::parse_duration)]
        time: Duration,
        #[command(flatten)]
        admin_address: AdminAddress,
    },
    /// Restore an evicted node before its time is over. Send this to an elector.
    Restore {
        /// The node's name.
        name: String,
        #[command(flatten)]
        admin_address: AdminAddress,
    },
    /// Merge the logs of several nodes into one timeline on one clock, and report contradictions.
    Timeline {
        /// The logs, one for each process, as text or JSON.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
        /// Use the timestamps as they are, instead of aligning the clocks by when each node learned of a
        /// view.
        #[arg(long)]
        raw: bool,
        /// Only events of the fleet itself: views, sides, leases, stances.
        #[arg(long)]
        fleet: bool,
    },
}

pub(crate) fn run(command: Command) -> anyhow::Result<()> {
    match command {
        Command::Status { admin_address, json } => {
            print!("{}", request(admin_address.control, "GET", if json { "fleet?json" } else { "fleet" })?);
            Ok(())
        }
        Command::Evict { name, reason, time, admin_address } => {
            let query = Serializer::new(String::new())
                .append_pair("name", &name)
                .append_pair("seconds", &time.as_secs().to_string())
                .append_pair("reason", &reason)
                .finish();
            request(admin_address.control, "POST", &format!("fleet/evict?{query}"))?;
            wait_for_decision(&admin_address, &name, true)
        }
        Command::Restore { name, admin_address } => {
            let query = Serializer::new(String::new()).append_pair("name", &name).finish();
            request(admin_address.control, "POST", &format!("fleet/restore?{query}"))?;
            wait_for_decision(&admin_address, &name, false)
        }
        Command::Timeline { logs, raw, fleet } => timeline(&logs, raw, fleet),
    }
}

/// Waits until the current view has the node evicted, or no longer evicted.
fn wait_for_decision(admin_address: &AdminAddress, name: &str, evicted: bool) -> anyhow::Result<()> {
    let start = Instant::now();
    while start.elapsed() < DECISION_TIMEOUT {
        let status: Value = serde_json::from_str(&request(admin_address.control, "GET", "fleet?json")?)?;
        let is_evicted = status["out"]
            .as_array()
            .is_some_and(|evictions| evictions.iter().any(|eviction| eviction["name"] == name));
        if is_evicted == evicted {
            let epoch = status["epoch"].as_str().unwrap_or_default();
            println!("{name} is {} by epoch {epoch}", if evicted { "out" } else { "let in" });
            return Ok(());
        }
        sleep(DECISION_CHECK_INTERVAL);
    }
    bail!("the request was accepted but not decided within {DECISION_TIMEOUT:?}; see `dunelink fleet status`")
}

fn timeline(paths: &[PathBuf], raw: bool, fleet: bool) -> anyhow::Result<()> {
    let mut logs = Vec::new();
    for path in paths {
        let bytes = std::fs::read(path).with_context(|| format!("{}: can't be read", path.display()))?;
        let text = String::from_utf8_lossy(&bytes);
        let name = path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default();
        logs.push(Log::read(&name, text.lines()));
    }
    let merged = merge(&logs, !raw);
    for (name, clock_offset) in merged.skewed_logs(&logs) {
        match clock_offset {
            Some(offset) => {
                println!("# {name}: its clock differs by {} ms, which is taken off", -offset / 1000)
            }
            None => println!("# {name}: it shares no view with the others; its timestamps are not corrected"),
        }
    }
    for log in logs.iter().filter(|log| log.unparsed_lines > 0) {
        println!("# {}: {} lines can't be parsed as events", log.name, log.unparsed_lines);
    }
    let first = merged.events.first().map_or(0, |(at, ..)| *at);
    let mut contradictions = merged.contradictions.iter().peekable();
    for (at, log, event) in merged.events.iter().filter(|(.., event)| !fleet || event.target == "fleet") {
        while let Some(contradiction) = contradictions.next_if(|contradiction| contradiction.at <= *at) {
            println!("{:>12.3} !! {}", (contradiction.at - first) as f64 / 1e6, contradiction.description);
        }
        let mut line = format!("{:>12.3} {} {}", (at - first) as f64 / 1e6, logs[*log].name, event.message);
        for (name, value) in event.fields.iter().filter(|(name, _)| *name != "node") {
            // Writing to a string can't fail.
            let _ = write!(line, " {name}={value}");
        }
        println!("{line}");
    }
    contradictions.for_each(|contradiction| {
        println!("{:>12.3} !! {}", (contradiction.at - first) as f64 / 1e6, contradiction.description)
    });
    match merged.contradictions.len() {
        0 => Ok(()),
        count => bail!("these logs have {count} contradictions (marked with !!)"),
    }
}

/// A node's view of the fleet, as text.
pub(crate) fn text(view: &FleetView) -> String {
    let mut text = format!(
        "side={} epoch={} name_for={}ms chair={} aside={} part={:.3} stance={:?}\n",
        view.side, view.epoch, view.name_for_ms, view.chair, view.aside, view.part, view.stance
    );
    // Writing to a string can't fail.
    for node in &view.nodes {
        let hears = view.nodes.iter().map(|other| match () {
            () if other.name == node.name => '.',
            () if !node.heard => '?',
            () if node.hears.contains(&other.name) => '+',
            () => '-',
        });
        let _ = write!(
            text,
            "{} member={} elector={} hears={} stance={:?}",
            node.name,
            node.member,
            node.elector,
            hears.collect::<String>(),
            node.stance
        );
        if node.heard {
            let list = node.list_ms.map_or("never".into(), |ms| format!("{ms}ms"));
            let _ = write!(
                text,
                " ready={} list={list} served={} failed={} stalled={}/1000",
                node.ready, node.served, node.failed, node.stalled
            );
            for (zone, answer, silent) in &node.servers {
                let _ = write!(text, " servers[{zone}]={answer}/{}", answer + silent);
            }
        }
        text.push('\n');
    }
    for (from, to) in &view.one_way {
        let _ = writeln!(text, "# one way: nothing comes from {from} to {to}");
    }
    for out in &view.out {
        let _ = writeln!(text, "# out: {} for {} s: {}", out.name, out.seconds, out.reason);
    }
    text
}
