//! What operators see of gossip: members, suspicions and who gave them; and how they make keys.

use std::fmt::Write as _;
use std::fs::OpenOptions;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context, bail};
use clap::{Args, Subcommand};
use dunelink::gossiping::{MemberId, Secret};
use dunelink::{GossipView, Snapshot, side_name};

/// How long a node may take to answer its operators.
const ANSWER_WITHIN: Duration = Duration::from_secs(5);
/// What an answer of theirs may hold.
const ANSWER_MOST: u64 = 8 << 20;

/// Where a running node answers its operators.
#[derive(Args)]
pub(crate) struct Asked {
    /// The address that `control` in its configuration names.
    #[arg(long, value_name = "ADDRESS")]
    control: SocketAddr,
}

/// What operators ask of the fleet as a whole.
#[derive(Subcommand)]
pub(crate) enum FleetCommand {
    /// What the fleet has decided, on which side of a cut a node is, and what it holds.
    Status(Asked),
}

/// What operators do with the keys of gossip.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Make a node's secret, and print the line for the ring.
    Keygen {
        /// The node's name.
        name: String,
        /// Where the secret is written; the file must not exist yet.
        file: PathBuf,
    },
}

pub(crate) fn run(command: Command) -> anyhow::Result<()> {
    let Command::Keygen { name, file } = command;
    if name.is_empty() || name.contains(|c: char| c.is_whitespace() || c == '#') {
        bail!("{name:?}: expected a name without blanks or #");
    }
    let mut seed = [0; 32];
    getrandom::fill(&mut seed).context("there are no random numbers to be had")?;
    let mut options = OpenOptions::new();
    options.write(true).create_new(true);
    #[cfg(unix)]
    std::os::unix::fs::OpenOptionsExt::mode(&mut options, 0o600);
    let mut out = options.open(&file).with_context(|| format!("{}: can't be made", file.display()))?;
    let hex: String = seed.iter().map(|byte| format!("{byte:02x}")).collect();
    writeln!(out, "# The secret of {name}. Nobody else may read it.\n{hex}")?;
    out.sync_all()?;
    println!("{name} {}", Secret::from_seed(seed).public_hex());
    Ok(())
}

/// Prints what a running node says of this.
pub(crate) fn ask(asked: &Asked, what: &str) -> anyhow::Result<()> {
    let to = asked.control;
    let mut stream =
        TcpStream::connect_timeout(&to, ANSWER_WITHIN).with_context(|| format!("{to}: nobody answers"))?;
    stream.set_read_timeout(Some(ANSWER_WITHIN))?;
    write!(stream, "GET /admin/{what} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n\r\n")?;
    let mut answer = String::new();
    stream.take(ANSWER_MOST).read_to_string(&mut answer).with_context(|| format!("{to}: no whole answer"))?;
    let (head, body) = answer.split_once("\r\n\r\n").with_context(|| format!("{to}: no whole answer"))?;
    match head.split(' ').nth(1) {
        Some("200") => print!("{body}"),
        _ => bail!("{to}: {}", body.trim()),
    }
    Ok(())
}

/// A line for each member, and one for what was counted.
pub(crate) fn members(view: &GossipView) -> String {
    let mut text = String::new();
    // Writing to a string can't fail.
    for m in &view.members {
        let standing = format!("{:?}", m.standing).to_lowercase();
        let since = m.since / 1_000_000;
        let _ = writeln!(
            text,
            "{} {} {standing} since={since}s place={} credit={:.2}",
            m.name, m.address, m.place, m.credit
        );
    }
    let f = view.figures;
    let _ = writeln!(
        text,
        "# sent={} sent_bytes={} kept_back={} taken={} replayed={} unsigned={} unreadable={} flooded={} checked={}",
        f.sent,
        f.sent_bytes,
        f.kept_back,
        f.taken,
        f.replayed,
        f.unsigned,
        f.unreadable,
        f.flooded,
        f.checked
    );
    text
}

/// A line for each server that others suspect, with a line for each witness.
pub(crate) fn suspicions(view: &GossipView, known: &Snapshot) -> String {
    let mut text = String::new();
    for s in &view.suspicions {
        let uid =
            known.servers.iter().find(|server| server.id() == s.server).map(|server| server.uid.as_ref());
        let _ = writeln!(text, "{} doubt={:.2}", uid.unwrap_or("(not in the list)"), s.doubt);
        for (name, word) in &s.witnesses {
            let _ = writeln!(
                text,
                "  {name} strength={:.2} rests_on={} age={}ms weight={:.2}",
                word.strength,
                word.rests_on,
                word.age / 1000,
                word.weight
            );
        }
    }
    text
}

/// How this node stands with what the fleet decides: a line of its own, and one for each member of the view.
pub(crate) fn fleet(view: &GossipView) -> Option<String> {
    let standing = view.fleet.as_ref()?;
    let epoch = standing.view.as_ref().map(|view| format!("{}.{}", view.generation.round, view.epoch));
    let mut text = format!(
        "side={} epoch={} name_for={}ms chair={} part={:.3}\n",
        side_name(standing.side),
        epoch.as_deref().unwrap_or("none"),
        standing.name_for / 1000,
        standing.chair,
        standing.part
    );
    for (name, instance) in standing.view.iter().flat_map(|view| &view.members) {
        let known = view.members.iter().find(|member| MemberId::of(&member.name).0 == *name);
        let elects = standing.view.as_ref().is_some_and(|view| view.electors.get(name) == Some(instance));
        // Writing to a string can't fail.
        let _ = writeln!(text, "{} elector={elects}", known.map_or("(this node)", |member| &member.name));
    }
    Some(text)
}
