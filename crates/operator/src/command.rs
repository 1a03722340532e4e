//! Carries commands out and prints what comes of them.

use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use anyhow::Context;
use dunelink_operator::configuration::{self, HistoryEntry};
use dunelink_operator::data_folder::{self, DataFolder, SnapshotSummary};
use dunelink_operator::demo::{self, Options};
use dunelink_operator::status::{self, FleetStatus, findings};
use dunelink_operator::{OperatorError, check};
use dunelink_settings::{BootSettings, FleetConfig};
use dunelink_storage::SnapshotUse;
use serde::Serialize;
use tokio::signal::unix::{SignalKind, signal};

use crate::command_line::{Command, HELP, Part};

/// Exit code when something is wrong or differs.
const WRONG: u8 = 1;

/// Carries a command out.
pub(crate) fn run(command: Command) -> anyhow::Result<ExitCode> {
    match command {
        Command::Help => {
            print(HELP);
            Ok(ExitCode::SUCCESS)
        }
        Command::Check(file) => checked(&file),
        Command::Folder { part, verify, folder } => look(part, verify, &folder),
        other => {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            runtime.block_on(ask(other))
        }
    }
}

async fn ask(command: Command) -> anyhow::Result<ExitCode> {
    match command {
        Command::Status { controls, json } => show_status(&known(controls)?, json).await,
        Command::Read { controls, with_keys, folder } => read(controls, with_keys, folder.as_deref()).await,
        Command::Put { controls, file, base } => put(&known(controls)?, &file, base).await,
        Command::Diff { controls, file, newer } => diff(controls, &file, newer.as_deref()).await,
        Command::History { controls, json } => history(&known(controls)?, json).await,
        Command::Demo(options) => play(options).await,
        Command::Help | Command::Check(_) | Command::Folder { .. } => Ok(ExitCode::SUCCESS),
    }
}

/// Prints; a reader that has gone away is no error.
fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

fn line(text: &str) {
    print(&format!("{text}\n"));
}

fn print_json(value: &impl Serialize) -> anyhow::Result<()> {
    line(&sonic_rs::to_string_pretty(value)?);
    Ok(())
}

fn code(is_well: bool) -> ExitCode {
    if is_well { ExitCode::SUCCESS } else { ExitCode::from(WRONG) }
}

/// The addresses given, else those of the settings file.
fn known(controls: Vec<SocketAddr>) -> anyhow::Result<Vec<SocketAddr>> {
    if !controls.is_empty() {
        return Ok(controls);
    }
    let boot = BootSettings::load().context("no --control is given")?;
    let mut known: Vec<SocketAddr> = boot.listen.control.into_iter().chain(boot.seeds).collect();
    known.dedup();
    if known.is_empty() {
        return Err(OperatorError::NoControlAddress.into());
    }
    Ok(known)
}

fn checked(file: &Path) -> anyhow::Result<ExitCode> {
    match check::check_file(file) {
        Ok(checked) => {
            line(&format!("{}: {}", file.display(), checked.summary));
            checked.faults.iter().for_each(|fault| line(&format!("{}: {fault}", file.display())));
            Ok(code(checked.faults.is_empty()))
        }
        Err(error @ OperatorError::File { .. }) => Err(error.into()),
        Err(error) => {
            line(&error.to_string());
            Ok(code(false))
        }
    }
}

/// The state as JSON, with what needs a look.
#[derive(Serialize)]
struct StatusDocument<'a> {
    fleet: &'a FleetStatus,
    findings: Vec<status::Finding>,
}

async fn show_status(controls: &[SocketAddr], json: bool) -> anyhow::Result<ExitCode> {
    let fleet = status::collect(controls).await?;
    let findings = findings(&fleet);
    let is_well = findings.is_empty();
    if json {
        print_json(&StatusDocument { fleet: &fleet, findings })?;
    } else {
        print(&status::text(&fleet));
    }
    Ok(code(is_well))
}

async fn read(controls: Vec<SocketAddr>, with_keys: bool, folder: Option<&Path>) -> anyhow::Result<ExitCode> {
    let (newest, is_damaged) = match folder {
        Some(folder) => configuration::from_folder(folder)?,
        None => (configuration::newest(&known(controls)?).await?, false),
    };
    if with_keys {
        let _ = std::io::stdout().write_all(&newest.body);
        print("\n");
    } else {
        line(&newest.without_keys()?);
    }
    if is_damaged {
        eprintln!("dunelink-fleet: the folder is damaged, newer versions may be lost: see `log verify`");
    }
    Ok(code(!is_damaged))
}

async fn put(controls: &[SocketAddr], file: &Path, base: Option<u64>) -> anyhow::Result<ExitCode> {
    match configuration::put(controls, file, base).await {
        Ok(put) => {
            line(&format!("configuration {} taken, on top of {}", put.version, put.base));
            Ok(ExitCode::SUCCESS)
        }
        Err(
            error @ (OperatorError::Refused { .. }
            | OperatorError::Configuration { .. }
            | OperatorError::HiddenKeys { .. }),
        ) => {
            line(&error.to_string());
            Ok(code(false))
        }
        Err(error) => Err(error.into()),
    }
}

async fn diff(controls: Vec<SocketAddr>, file: &Path, newer: Option<&Path>) -> anyhow::Result<ExitCode> {
    let file = configuration::from_file(file)?.parsed;
    let (old, new) = match newer {
        Some(newer) => (file, configuration::from_file(newer)?.parsed),
        None => (configuration::newest(&known(controls)?).await?.parsed, file),
    };
    Ok(code(print_differences(&old, &new)))
}

/// Whether there are none.
fn print_differences(old: &FleetConfig, new: &FleetConfig) -> bool {
    let found = dunelink_operator::difference::differences(old, new);
    line(&format!("version {} -> {}, {} differences", old.version, new.version, found.len()));
    found.iter().for_each(|difference| line(&difference.to_string()));
    found.is_empty()
}

#[derive(Serialize)]
struct HistoryDocument {
    versions: Vec<HistoryEntry>,
}

async fn history(controls: &[SocketAddr], json: bool) -> anyhow::Result<ExitCode> {
    let versions = configuration::history(controls).await?;
    if json {
        print_json(&HistoryDocument { versions })?;
        return Ok(ExitCode::SUCCESS);
    }
    line(&format!("{:>12} {:>12} {:>10}", "version", "on top of", "bytes"));
    for HistoryEntry { version, base, bytes } in versions {
        line(&format!("{version:>12} {base:>12} {bytes:>10}"));
    }
    Ok(ExitCode::SUCCESS)
}

fn look(part: Part, verify: bool, folder: &Path) -> anyhow::Result<ExitCode> {
    let found = data_folder::read(folder)?;
    match (part, verify) {
        (Part::Log, false) => show_log(&found),
        (Part::Log, true) => verify_log(&found),
        (Part::Snapshot, false) => show_snapshot(found.snapshot.as_ref()),
        (Part::Snapshot, true) => verify_snapshot(&found),
    }
    found.notes.iter().for_each(|note| line(&format!("note: {note}")));
    found.damage.iter().for_each(|damage| line(&format!("damage: {damage}")));
    if !found.damage.is_empty() {
        line(
            "remedy: empty the folder while the process is stopped; the machine then joins anew and is sent all",
        );
    }
    Ok(code(found.damage.is_empty()))
}

fn show_log(found: &DataFolder) {
    match &found.identity {
        Some(identity) => {
            let vote =
                identity.hard_state.voted_for.map_or_else(|| "nobody".to_owned(), |vote| vote.to_string());
            let term = identity.hard_state.term;
            line(&format!("replica {}, term {term}, voted for {vote}", identity.id));
        }
        None => line("no identity: the disk is empty"),
    }
    line(&format!("{:>10} {:>6} {:>9}  kind", "index", "term", "bytes"));
    for entry in &found.entries {
        let term = entry.term.map_or_else(|| "?".to_owned(), |term| term.to_string());
        line(&format!("{:>10} {term:>6} {:>9}  {}", entry.index, entry.bytes, entry.kind));
    }
}

fn verify_log(found: &DataFolder) {
    for file in found.files.iter().filter(|file| file.snapshot.is_none()) {
        let state = if file.valid_bytes == file.length { "right" } else { "end before the file does" };
        line(&format!(
            "{}: {} frames, {} records, {} of {} bytes, checksums {state}",
            file.name, file.frames, file.records, file.valid_bytes, file.length
        ));
    }
    let range = match (found.entries.first(), found.entries.last()) {
        (Some(first), Some(last)) => format!("entries {} to {}", first.index, last.index),
        _ => "no entries".to_owned(),
    };
    line(&range);
}

fn show_snapshot(snapshot: Option<&SnapshotSummary>) {
    let Some(snapshot) = snapshot else {
        line("no snapshot");
        return;
    };
    line(&format!("index {}, term {}, {} bytes", snapshot.index, snapshot.term, snapshot.bytes));
    line(&format!("configuration {}, {} bytes", snapshot.version, snapshot.configuration_bytes));
    line(&format!("members {}", snapshot.members.join(", ")));
}

fn verify_snapshot(found: &DataFolder) {
    for file in &found.files {
        let Some(snapshot) = file.snapshot else { continue };
        let state = match snapshot {
            SnapshotUse::InUse => "in use, checksum right",
            SnapshotUse::NotUsed => "not in use",
        };
        line(&format!("{}: {} bytes, {state}", file.name, file.length));
    }
    show_snapshot(found.snapshot.as_ref());
}

async fn play(options: Options) -> anyhow::Result<ExitCode> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let stop = async move {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
    };
    demo::run(options, &mut std::io::stdout(), stop).await?;
    Ok(ExitCode::SUCCESS)
}
