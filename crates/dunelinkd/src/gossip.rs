//! What operators see of gossip: members, suspicions and who gave them; and how they make keys.

use std::fmt::Write as _;
use std::fs::OpenOptions;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context, bail};
use clap::{Args, Subcommand};
use dunelink::gossip::Secret;
use dunelink::{GossipView, Snapshot};

/// How long a node may take to answer its operators.
const ANSWER_WITHIN: Duration = Duration::from_secs(5);
/// What an answer of theirs may hold.
const ANSWER_MOST: u64 = 8 << 20;

/// Where a running node answers its operators.
#[derive(Args)]
pub(crate) struct Asked {
    /// The address that `control` in its configuration names.
    #[arg(long, value_name = "ADDRESS")]
    pub(crate) control: SocketAddr,
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
    print!("{}", call(asked.control, "GET", what)?);
    Ok(())
}

/// What a running node answers to a call of its operators.
pub(crate) fn call(to: SocketAddr, method: &str, what: &str) -> anyhow::Result<String> {
    let mut stream =
        TcpStream::connect_timeout(&to, ANSWER_WITHIN).with_context(|| format!("{to}: nobody answers"))?;
    stream.set_read_timeout(Some(ANSWER_WITHIN))?;
    write!(stream, "{method} /admin/{what} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n\r\n")?;
    let mut answer = String::new();
    stream.take(ANSWER_MOST).read_to_string(&mut answer).with_context(|| format!("{to}: no whole answer"))?;
    let (head, body) = answer.split_once("\r\n\r\n").with_context(|| format!("{to}: no whole answer"))?;
    match head.split(' ').nth(1) {
        Some("200" | "202") => Ok(body.to_owned()),
        _ => bail!("{to}: {}", body.trim()),
    }
}

/// A line for each member, and one for what was counted.
pub(crate) fn members(view: &GossipView) -> String {
    let mut text = String::new();
    // Writing to a string can't fail.
    for m in &view.members {
        let standing = format!("{:?}", m.liveness).to_lowercase();
        let since = m.liveness_age / 1_000_000;
        let _ = writeln!(
            text,
            "{} {} {standing} since={since}s place={} credit={:.2}",
            m.name, m.address, m.rank, m.credit
        );
    }
    let f = view.figures;
    let _ = writeln!(
        text,
        "# sent={} sent_bytes={} kept_back={} taken={} replayed={} unsigned={} unreadable={} flooded={} checked={}",
        f.packets_sent,
        f.bytes_sent,
        f.throttled,
        f.accepted,
        f.replayed,
        f.unauthenticated,
        f.malformed,
        f.rate_limited,
        f.signatures_checked
    );
    text
}

/// A line for each server that others suspect, with a line for each witness.
pub(crate) fn suspicions(view: &GossipView, known: &Snapshot) -> String {
    let mut text = String::new();
    for s in &view.suspicions {
        let uid =
            known.servers.iter().find(|server| server.id() == s.server).map(|server| server.uid.as_ref());
        let _ = writeln!(text, "{} doubt={:.2}", uid.unwrap_or("(not in the list)"), s.level);
        for (name, word) in &s.witnesses {
            let _ = writeln!(
                text,
                "  {name} strength={:.2} rests_on={} age={}ms weight={:.2}",
                word.strength,
                word.sample_count,
                word.age / 1000,
                word.weight
            );
        }
    }
    text
}
