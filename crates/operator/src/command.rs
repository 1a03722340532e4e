//! Executes the commands and prints their results.

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

use crate::command_line::{Command, FolderPart, HELP};

/// Exit code of a command that was executed and found a problem or a difference.
const EXIT_PROBLEM: u8 = 1;

/// Executes a command.
pub(crate) fn run(command: Command) -> anyhow::Result<ExitCode> {
    match command {
        Command::Help => {
            print(HELP);
            Ok(ExitCode::SUCCESS)
        }
        Command::Check(file) => check_file(&file),
        Command::Folder { part, verify, folder } => inspect_folder(part, verify, &folder),
        other => {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            runtime.block_on(run_async(other))
        }
    }
}

async fn run_async(command: Command) -> anyhow::Result<ExitCode> {
    match command {
        Command::Status { controls, json } => show_status(&control_addresses(controls)?, json).await,
        Command::Read { controls, with_keys, folder } => read(controls, with_keys, folder.as_deref()).await,
        Command::Put { controls, file, base } => put(&control_addresses(controls)?, &file, base).await,
        Command::Diff { controls, file, newer } => diff(controls, &file, newer.as_deref()).await,
        Command::History { controls, json } => history(&control_addresses(controls)?, json).await,
        Command::Demo(options) => run_demo(options).await,
        Command::Help | Command::Check(_) | Command::Folder { .. } => Ok(ExitCode::SUCCESS),
    }
}

/// Prints to standard output and ignores write errors, such as a closed pipe.
fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

fn print_line(text: &str) {
    print(&format!("{text}\n"));
}

fn print_json(value: &impl Serialize) -> anyhow::Result<()> {
    print_line(&sonic_rs::to_string_pretty(value)?);
    Ok(())
}

fn exit_code(is_healthy: bool) -> ExitCode {
    if is_healthy { ExitCode::SUCCESS } else { ExitCode::from(EXIT_PROBLEM) }
}

/// The addresses of the command line, or else those of the settings file.
fn control_addresses(controls: Vec<SocketAddr>) -> anyhow::Result<Vec<SocketAddr>> {
    if !controls.is_empty() {
        return Ok(controls);
    }
    let boot = BootSettings::load().context("no --control is given")?;
    let mut addresses: Vec<SocketAddr> = boot.listen.control.into_iter().chain(boot.seeds).collect();
    addresses.dedup();
    if addresses.is_empty() {
        return Err(OperatorError::NoControlAddress.into());
    }
    Ok(addresses)
}

fn check_file(file: &Path) -> anyhow::Result<ExitCode> {
    match check::check_file(file) {
        Ok(report) => {
            print_line(&format!("{}: {}", file.display(), report.summary));
            report.faults.iter().for_each(|fault| print_line(&format!("{}: {fault}", file.display())));
            Ok(exit_code(report.faults.is_empty()))
        }
        Err(error @ OperatorError::File { .. }) => Err(error.into()),
        Err(error) => {
            print_line(&error.to_string());
            Ok(exit_code(false))
        }
    }
}

/// The JSON output of `status`.
#[derive(Serialize)]
struct StatusDocument<'a> {
    fleet: &'a FleetStatus,
    findings: Vec<status::Finding>,
}

async fn show_status(controls: &[SocketAddr], json: bool) -> anyhow::Result<ExitCode> {
    let fleet = status::collect(controls).await?;
    let findings = findings(&fleet);
    let is_healthy = findings.is_empty();
    if json {
        print_json(&StatusDocument { fleet: &fleet, findings })?;
    } else {
        print(&status::text(&fleet));
    }
    Ok(exit_code(is_healthy))
}

async fn read(controls: Vec<SocketAddr>, with_keys: bool, folder: Option<&Path>) -> anyhow::Result<ExitCode> {
    let (configuration, is_damaged) = match folder {
        Some(folder) => configuration::from_folder(folder)?,
        None => (configuration::newest(&control_addresses(controls)?).await?, false),
    };
    if with_keys {
        let _ = std::io::stdout().write_all(&configuration.body);
        print("\n");
    } else {
        print_line(&configuration.without_keys()?);
    }
    if is_damaged {
        eprintln!(
            "dunelink-fleet: the folder is damaged, newer versions may be lost; run `log verify` for details"
        );
    }
    Ok(exit_code(!is_damaged))
}

async fn put(controls: &[SocketAddr], file: &Path, base: Option<u64>) -> anyhow::Result<ExitCode> {
    match configuration::put(controls, file, base).await {
        Ok(applied) => {
            print_line(&format!(
                "configuration {} applied, based on version {}",
                applied.version, applied.base
            ));
            Ok(ExitCode::SUCCESS)
        }
        Err(
            error @ (OperatorError::Refused { .. }
            | OperatorError::Configuration { .. }
            | OperatorError::HiddenKeys { .. }),
        ) => {
            print_line(&error.to_string());
            Ok(exit_code(false))
        }
        Err(error) => Err(error.into()),
    }
}

async fn diff(controls: Vec<SocketAddr>, file: &Path, newer: Option<&Path>) -> anyhow::Result<ExitCode> {
    let file = configuration::from_file(file)?.parsed;
    let (old, new) = match newer {
        Some(newer) => (file, configuration::from_file(newer)?.parsed),
        None => (configuration::newest(&control_addresses(controls)?).await?.parsed, file),
    };
    Ok(exit_code(print_differences(&old, &new)))
}

/// Prints the differences; returns whether there are none.
fn print_differences(old: &FleetConfig, new: &FleetConfig) -> bool {
    let differences = dunelink_operator::difference::differences(old, new);
    print_line(&format!("version {} -> {}, {} differences", old.version, new.version, differences.len()));
    differences.iter().for_each(|difference| print_line(&difference.to_string()));
    differences.is_empty()
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
    print_line(&format!("{:>12} {:>12} {:>10}", "version", "based on", "bytes"));
    for HistoryEntry { version, base, bytes } in versions {
        print_line(&format!("{version:>12} {base:>12} {bytes:>10}"));
    }
    Ok(ExitCode::SUCCESS)
}

fn inspect_folder(part: FolderPart, verify: bool, folder: &Path) -> anyhow::Result<ExitCode> {
    let data = data_folder::read(folder)?;
    match (part, verify) {
        (FolderPart::Log, false) => show_log(&data),
        (FolderPart::Log, true) => verify_log(&data),
        (FolderPart::Snapshot, false) => show_snapshot(data.snapshot.as_ref()),
        (FolderPart::Snapshot, true) => verify_snapshot(&data),
    }
    data.notes.iter().for_each(|note| print_line(&format!("note: {note}")));
    data.damage.iter().for_each(|damage| print_line(&format!("damage: {damage}")));
    if !data.damage.is_empty() {
        print_line(
            "remedy: stop the process and empty the folder; the machine joins again and receives all data",
        );
    }
    Ok(exit_code(data.damage.is_empty()))
}

fn show_log(data: &DataFolder) {
    match &data.identity {
        Some(identity) => {
            let vote =
                identity.hard_state.voted_for.map_or_else(|| "none".to_owned(), |vote| vote.to_string());
            let term = identity.hard_state.term;
            print_line(&format!("replica {}, term {term}, voted for {vote}", identity.id));
        }
        None => print_line("no identity: the disk is empty"),
    }
    print_line(&format!("{:>10} {:>6} {:>9}  kind", "index", "term", "bytes"));
    for entry in &data.entries {
        let term = entry.term.map_or_else(|| "?".to_owned(), |term| term.to_string());
        print_line(&format!("{:>10} {term:>6} {:>9}  {}", entry.index, entry.bytes, entry.kind));
    }
}

fn verify_log(data: &DataFolder) {
    for file in data.files.iter().filter(|file| file.snapshot.is_none()) {
        let state = if file.valid_bytes == file.length { "valid" } else { "valid only up to that byte" };
        print_line(&format!(
            "{}: {} frames, {} records, {} of {} bytes, checksums {state}",
            file.name, file.frames, file.records, file.valid_bytes, file.length
        ));
    }
    let range = match (data.entries.first(), data.entries.last()) {
        (Some(first), Some(last)) => format!("entries {} to {}", first.index, last.index),
        _ => "no entries".to_owned(),
    };
    print_line(&range);
}

fn show_snapshot(snapshot: Option<&SnapshotSummary>) {
    let Some(snapshot) = snapshot else {
        print_line("no snapshot");
        return;
    };
    print_line(&format!("index {}, term {}, {} bytes", snapshot.index, snapshot.term, snapshot.bytes));
    print_line(&format!("configuration {}, {} bytes", snapshot.version, snapshot.configuration_bytes));
    print_line(&format!("members {}", snapshot.members.join(", ")));
}

fn verify_snapshot(data: &DataFolder) {
    for file in &data.files {
        let Some(snapshot) = file.snapshot else { continue };
        let state = match snapshot {
            SnapshotUse::InUse => "in use, checksum valid",
            SnapshotUse::NotUsed => "not in use",
        };
        print_line(&format!("{}: {} bytes, {state}", file.name, file.length));
    }
    show_snapshot(data.snapshot.as_ref());
}

async fn run_demo(options: Options) -> anyhow::Result<ExitCode> {
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
