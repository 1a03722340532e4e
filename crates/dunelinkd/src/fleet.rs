//! What operators ask and tell the fleet as a whole.

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

use crate::gossip::{Asked, call};

/// How long a decision is waited for: a lease or two.
const DECIDED_WITHIN: Duration = Duration::from_secs(10);
/// How often it is looked for.
const LOOK: Duration = Duration::from_millis(200);

/// What operators ask of the fleet as a whole.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// What the fleet has decided, on which side of a cut a node is, what it holds, and who reaches whom.
    Status {
        #[command(flatten)]
        asked: Asked,
        /// For programs.
        #[arg(long)]
        json: bool,
    },
    /// Put a node out of the fleet for a time: it serves whoever asks it, and holds nothing else. To be asked of an elector.
    Evict {
        /// The node's name.
        name: String,
        /// Why; at most 40 bytes.
        #[arg(long)]
        reason: String,
        /// For how long, such as 15m; at most 7 days.
        #[arg(long = "for", value_name = "TIME", value_parser = humantime::parse_duration)]
        time: Duration,
        #[command(flatten)]
        asked: Asked,
    },
    /// Let a node in again before its time is over. To be asked of an elector.
    Restore {
        /// The node's name.
        name: String,
        #[command(flatten)]
        asked: Asked,
    },
    /// Merge the logs of many nodes into one story, on one clock, and say what in it can't be.
    Timeline {
        /// The logs, one for each process, as text or JSON.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
        /// Go by the clocks as they are, instead of by when each node knew of a view.
        #[arg(long)]
        raw: bool,
        /// Only events of the fleet's own: views, sides, leases, stances.
        #[arg(long)]
        fleet: bool,
    },
}

pub(crate) fn run(command: Command) -> anyhow::Result<()> {
    match command {
        Command::Status { asked, json } => {
            print!("{}", call(asked.control, "GET", if json { "fleet?json" } else { "fleet" })?);
            Ok(())
        }
        Command::Evict { name, reason, time, asked } => {
            let query = Serializer::new(String::new())
                .append_pair("name", &name)
                .append_pair("seconds", &time.as_secs().to_string())
                .append_pair("reason", &reason)
                .finish();
            call(asked.control, "POST", &format!("fleet/evict?{query}"))?;
            decided(&asked, &name, true)
        }
        Command::Restore { name, asked } => {
            let query = Serializer::new(String::new()).append_pair("name", &name).finish();
            call(asked.control, "POST", &format!("fleet/restore?{query}"))?;
            decided(&asked, &name, false)
        }
        Command::Timeline { logs, raw, fleet } => timeline(&logs, raw, fleet),
    }
}

/// Waits until a view says so.
fn decided(asked: &Asked, name: &str, out: bool) -> anyhow::Result<()> {
    let began = Instant::now();
    while began.elapsed() < DECIDED_WITHIN {
        let told: Value = serde_json::from_str(&call(asked.control, "GET", "fleet?json")?)?;
        let is_out = told["out"].as_array().is_some_and(|all| all.iter().any(|one| one["name"] == name));
        if is_out == out {
            let epoch = told["epoch"].as_str().unwrap_or_default();
            println!("{name} is {} by epoch {epoch}", if out { "out" } else { "let in" });
            return Ok(());
        }
        sleep(LOOK);
    }
    bail!(
        "it was taken in and has not been decided within {DECIDED_WITHIN:?}; look at `dunelink fleet status`"
    )
}

fn timeline(paths: &[PathBuf], raw: bool, fleet: bool) -> anyhow::Result<()> {
    let mut logs = Vec::new();
    for path in paths {
        let bytes = std::fs::read(path).with_context(|| format!("{}: can't be read", path.display()))?;
        let text = String::from_utf8_lossy(&bytes);
        let name = path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default();
        logs.push(Log::read(&name, text.lines()));
    }
    let story = merge(&logs, !raw);
    for (name, moved) in story.skewed_logs(&logs) {
        match moved {
            Some(by) => println!("# {name}: its clock differs by {} ms, which is taken off", -by / 1000),
            None => println!("# {name}: it shares no view with the others; its times are as it wrote them"),
        }
    }
    for log in logs.iter().filter(|log| log.unparsed_lines > 0) {
        println!("# {}: {} lines are no events", log.name, log.unparsed_lines);
    }
    let first = story.events.first().map_or(0, |(at, ..)| *at);
    let mut doubts = story.contradictions.iter().peekable();
    for (at, log, event) in story.events.iter().filter(|(.., event)| !fleet || event.target == "fleet") {
        while let Some(doubt) = doubts.next_if(|doubt| doubt.at <= *at) {
            println!("{:>12.3} !! {}", (doubt.at - first) as f64 / 1e6, doubt.description);
        }
        let mut line = format!("{:>12.3} {} {}", (at - first) as f64 / 1e6, logs[*log].name, event.message);
        for (name, value) in event.fields.iter().filter(|(name, _)| *name != "node") {
            // Writing to a string can't fail.
            let _ = write!(line, " {name}={value}");
        }
        println!("{line}");
    }
    doubts.for_each(|doubt| println!("{:>12.3} !! {}", (doubt.at - first) as f64 / 1e6, doubt.description));
    match story.contradictions.len() {
        0 => Ok(()),
        many => bail!("{many} things in these logs can't be (marked with !!)"),
    }
}

/// How a node stands, for people.
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
