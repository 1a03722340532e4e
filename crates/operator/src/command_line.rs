//! Parses the command arguments.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use anyhow::{Context, bail};
use dunelink_operator::demo::{MAX_RATE, MAX_SECONDS, MIN_SECONDS, Options};
use pico_args::Arguments;

/// What `--help` prints.
pub(crate) const HELP: &str = "\
dunelink-fleet: the command-line tool of the operators of a dunelink fleet

  dunelink-fleet check FILE                   validate a settings file or a configuration
  dunelink-fleet status [--json]              leader, members, agents, and problems
  dunelink-fleet config read [--with-keys]    print the newest configuration; API keys are hidden by default
                               [--from DIR]   read it from the data folder of a stopped control machine
  dunelink-fleet config put FILE [--base N]   apply a configuration based on version N, default: the newest
  dunelink-fleet config diff FILE [NEWER]     compare FILE with the newest configuration, or with another file
  dunelink-fleet config history [--json]      list the versions that were applied
  dunelink-fleet log show|verify DIR          inspect the log in a control machine's data folder, read-only
  dunelink-fleet snapshot show|verify DIR     inspect the snapshot in it, read-only
  dunelink-fleet demo [--seconds N] [--rate N]   run a complete small fleet on loopback addresses

  --control IP:PORT   a control machine, for status and config; can be repeated. Without it, the control
                      address and the seeds in the settings file that DUNELINK_BOOT names are used.
  --help              print this help

Exit codes: 0 success; 1 a problem or a difference was found; 2 the command could not be executed.
";

/// A parsed command.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// Print [`HELP`].
    Help,
    /// Validate a settings file or a configuration.
    Check(PathBuf),
    /// Print the state of the fleet.
    Status { controls: Vec<SocketAddr>, json: bool },
    /// Print the newest configuration, of the fleet or of a data folder.
    Read { controls: Vec<SocketAddr>, with_keys: bool, folder: Option<PathBuf> },
    /// Apply a configuration; without `base`, based on the newest version.
    Put { controls: Vec<SocketAddr>, file: PathBuf, base: Option<u64> },
    /// Compare `file` with the file `newer`, or the newest configuration with `file`.
    Diff { controls: Vec<SocketAddr>, file: PathBuf, newer: Option<PathBuf> },
    /// List the versions that were applied.
    History { controls: Vec<SocketAddr>, json: bool },
    /// Show or verify a part of a data folder.
    Folder { part: FolderPart, verify: bool, folder: PathBuf },
    /// Run the demonstration.
    Demo(Options),
}

/// The part of a data folder to inspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FolderPart {
    /// The log.
    Log,
    /// The snapshot.
    Snapshot,
}

/// Parses the arguments, without the program's name.
pub(crate) fn parse(raw_arguments: Vec<OsString>) -> anyhow::Result<Command> {
    let mut arguments = Arguments::from_vec(raw_arguments);
    if arguments.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    let name = arguments.subcommand()?.context("a command is missing")?;
    let command = match name.as_str() {
        "check" => Command::Check(path(&mut arguments)?),
        "status" => {
            Command::Status { json: arguments.contains("--json"), controls: controls(&mut arguments)? }
        }
        "config" => config(&mut arguments)?,
        "log" => folder(&mut arguments, FolderPart::Log)?,
        "snapshot" => folder(&mut arguments, FolderPart::Snapshot)?,
        "demo" => Command::Demo(demo(&mut arguments)?),
        other => bail!("`{other}` is unknown"),
    };
    match arguments.finish().first() {
        None => Ok(command),
        Some(rest) => bail!("argument `{}` is unknown", rest.to_string_lossy()),
    }
}

fn config(arguments: &mut Arguments) -> anyhow::Result<Command> {
    let name = arguments.subcommand()?.context("`config` needs read, put, diff or history")?;
    let (json, with_keys) = (arguments.contains("--json"), arguments.contains("--with-keys"));
    let controls = controls(arguments)?;
    Ok(match name.as_str() {
        "read" => {
            let folder = arguments.opt_value_from_os_str("--from", to_path)?;
            Command::Read { controls, with_keys, folder }
        }
        "put" => {
            let base = arguments.opt_value_from_str("--base")?;
            Command::Put { controls, file: path(arguments)?, base }
        }
        "diff" => {
            let file = path(arguments)?;
            Command::Diff { controls, file, newer: arguments.opt_free_from_os_str(to_path)? }
        }
        "history" => Command::History { controls, json },
        other => bail!("`config {other}` is unknown"),
    })
}

fn folder(arguments: &mut Arguments, part: FolderPart) -> anyhow::Result<Command> {
    let name = arguments.subcommand()?.context("expected `show` or `verify`")?;
    let verify = match name.as_str() {
        "show" => false,
        "verify" => true,
        other => bail!("`{other}` is unknown: expected `show` or `verify`"),
    };
    Ok(Command::Folder { part, verify, folder: path(arguments)? })
}

fn demo(arguments: &mut Arguments) -> anyhow::Result<Options> {
    let mut options = Options::default();
    if let Some(seconds) = arguments.opt_value_from_str("--seconds")? {
        options.seconds = seconds;
    }
    if let Some(rate) = arguments.opt_value_from_str("--rate")? {
        options.rate = rate;
    }
    if !(MIN_SECONDS..=MAX_SECONDS).contains(&options.seconds) {
        bail!("--seconds must be a number from {MIN_SECONDS} to {MAX_SECONDS}");
    }
    if !(1..=MAX_RATE).contains(&options.rate) {
        bail!("--rate must be a number from 1 to {MAX_RATE}");
    }
    Ok(options)
}

fn controls(arguments: &mut Arguments) -> anyhow::Result<Vec<SocketAddr>> {
    let texts: Vec<String> = arguments.values_from_str("--control")?;
    let address = |text: &String| text.parse().with_context(|| format!("--control {text}: expected IP:PORT"));
    texts.iter().map(address).collect()
}

fn path(arguments: &mut Arguments) -> anyhow::Result<PathBuf> {
    arguments.opt_free_from_os_str(to_path)?.context("a path argument is missing")
}

fn to_path(text: &std::ffi::OsStr) -> Result<PathBuf, std::convert::Infallible> {
    Ok(PathBuf::from(text))
}
