//! Commands and reports of gossip for operators: members, suspicions with their witnesses, and the creation
//! of keys.

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

/// How long a node may take to answer a request to its admin endpoint.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of such an answer.
const MAX_ANSWER_BYTES: u64 = 8 << 20;

/// The admin endpoint of a running node.
#[derive(Args)]
pub(crate) struct AdminAddress {
    /// The address that `control` in the node's configuration names.
    #[arg(long, value_name = "ADDRESS")]
    pub(crate) control: SocketAddr,
}

/// Commands for the keys of gossip.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Create a node's secret, and print its line for the key ring.
    Keygen {
        /// The node's name.
        name: String,
        /// The file for the secret; it must not exist yet.
        file: PathBuf,
    },
}

pub(crate) fn run(command: Command) -> anyhow::Result<()> {
    let Command::Keygen { name, file } = command;
    if name.is_empty() || name.contains(|character: char| character.is_whitespace() || character == '#') {
        bail!("{name:?}: expected a name without blanks or #");
    }
    let mut seed = [0; 32];
    getrandom::fill(&mut seed).context("random numbers are not available")?;
    let mut options = OpenOptions::new();
    options.write(true).create_new(true);
    #[cfg(unix)]
    std::os::unix::fs::OpenOptionsExt::mode(&mut options, 0o600);
    let mut secret_file =
        options.open(&file).with_context(|| format!("{}: can't be created", file.display()))?;
    let hex: String = seed.iter().map(|byte| format!("{byte:02x}")).collect();
    writeln!(secret_file, "# The secret of {name}. Nobody else may read it.\n{hex}")?;
    secret_file.sync_all()?;
    println!("{name} {}", Secret::from_seed(seed).public_hex());
    Ok(())
}

/// Prints the answer of a running node to a GET request for this path.
pub(crate) fn print_answer(admin_address: &AdminAddress, path: &str) -> anyhow::Result<()> {
    print!("{}", request(admin_address.control, "GET", path)?);
    Ok(())
}

/// The body of a running node's answer to a request for this path of its admin endpoint.
pub(crate) fn request(address: SocketAddr, method: &str, path: &str) -> anyhow::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, ANSWER_TIMEOUT)
        .with_context(|| format!("{address}: can't connect"))?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    write!(stream, "{method} /admin/{path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n")?;
    let mut answer = String::new();
    stream
        .take(MAX_ANSWER_BYTES)
        .read_to_string(&mut answer)
        .with_context(|| format!("{address}: the answer is incomplete"))?;
    let (head, body) =
        answer.split_once("\r\n\r\n").with_context(|| format!("{address}: the answer is incomplete"))?;
    match head.split(' ').nth(1) {
        Some("200" | "202") => Ok(body.to_owned()),
        _ => bail!("{address}: {}", body.trim()),
    }
}

/// A line for each member, and one with the counters.
pub(crate) fn members(view: &GossipView) -> String {
    let mut text = String::new();
    // Writing to a string can't fail.
    for member in &view.members {
        let liveness = format!("{:?}", member.liveness).to_lowercase();
        let liveness_age_s = member.liveness_age / 1_000_000;
        let _ = writeln!(
            text,
            "{} {} {liveness} since={liveness_age_s}s place={} credit={:.2}",
            member.name, member.address, member.rank, member.credit
        );
    }
    let counters = view.figures;
    let _ = writeln!(
        text,
        "# sent={} sent_bytes={} kept_back={} taken={} replayed={} unsigned={} unreadable={} flooded={} checked={}",
        counters.packets_sent,
        counters.bytes_sent,
        counters.throttled,
        counters.accepted,
        counters.replayed,
        counters.unauthenticated,
        counters.malformed,
        counters.rate_limited,
        counters.signatures_checked
    );
    text
}

/// A line for each server that other nodes suspect, with a line for each witness.
pub(crate) fn suspicions(view: &GossipView, snapshot: &Snapshot) -> String {
    let mut text = String::new();
    for suspicion in &view.suspicions {
        let uid = snapshot
            .servers
            .iter()
            .find(|server| server.id() == suspicion.server)
            .map(|server| server.uid.as_ref());
        let _ = writeln!(text, "{} doubt={:.2}", uid.unwrap_or("(not in the list)"), suspicion.level);
        for (name, statement) in &suspicion.witnesses {
            let _ = writeln!(
                text,
                "  {name} strength={:.2} rests_on={} age={}ms weight={:.2}",
                statement.strength,
                statement.sample_count,
                statement.age / 1000,
                statement.weight
            );
        }
    }
    text
}
