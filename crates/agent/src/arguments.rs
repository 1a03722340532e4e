//! The command line.

use dunelink_runtime::log::Format;
use thiserror::Error;

/// What `--help` prints.
pub const HELP: &str = "\
dunelink-agent: keeps the proxy on this machine up to date from the control plane

Usage: dunelink-agent [--check] [--log text|json] [--help]

  --check          read the settings file, say whether it can be used, and end
  --log text|json  how events are written to standard error (text)
  --help           print this

The settings file is named by the variable DUNELINK_BOOT.
";

/// What is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Serve until SIGTERM.
    Serve,
    /// Check the settings only.
    Check,
    /// Print [`HELP`].
    Help,
}

/// The command line, read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arguments {
    /// What is asked for.
    pub command: Command,
    /// How events are written.
    pub log_format: Format,
}

/// A command line that can't be used.
#[derive(Debug, Error)]
pub enum ArgumentError {
    /// An option's value is missing or wrong.
    #[error("{0}; see --help")]
    InvalidOption(#[from] pico_args::Error),
    /// Something that is no option.
    #[error("argument `{0}` is unknown; see --help")]
    UnknownArgument(String),
}

impl Arguments {
    /// Reads the command line without the program's name.
    ///
    /// # Errors
    ///
    /// An argument is unknown, or the log format is.
    pub fn parse(mut line: pico_args::Arguments) -> Result<Self, ArgumentError> {
        let help = line.contains(["-h", "--help"]);
        let check = line.contains("--check");
        let log_format = line.opt_value_from_str("--log")?.unwrap_or(Format::Text);
        if let Some(rest) = line.finish().into_iter().next() {
            return Err(ArgumentError::UnknownArgument(rest.to_string_lossy().into_owned()));
        }
        let command = match (help, check) {
            (true, _) => Command::Help,
            (false, true) => Command::Check,
            (false, false) => Command::Serve,
        };
        Ok(Self { command, log_format })
    }
}
