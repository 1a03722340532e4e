//! Command-line arguments.

use dunelink_runtime::log::Format;
use thiserror::Error;

/// Text printed by `--help`.
pub const HELP: &str = "\
dunelink-agent: feeds the proxy on this machine with the state of the control plane

Usage: dunelink-agent [--check] [--log text|json] [--help]

  --check          validate the settings file and exit
  --log text|json  format of the log on standard error (default: text)
  --help           print this help

The environment variable DUNELINK_BOOT holds the path of the settings file.
";

/// Mode in which the program runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Serve until SIGTERM.
    Serve,
    /// Validate the settings file and exit.
    Check,
    /// Print [`HELP`].
    Help,
}

/// The parsed command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arguments {
    /// The selected mode.
    pub command: Command,
    /// Format of the log.
    pub log_format: Format,
}

/// An invalid command line.
#[derive(Debug, Error)]
pub enum ArgumentError {
    /// The value of an option is missing or invalid.
    #[error("{0}; see --help")]
    InvalidOption(#[from] pico_args::Error),
    /// An argument that is not a known option.
    #[error("unknown argument `{0}`; see --help")]
    UnknownArgument(String),
}

impl Arguments {
    /// Parses the command line without the program's name.
    ///
    /// # Errors
    ///
    /// An argument or the log format is unknown.
    pub fn parse(mut line: pico_args::Arguments) -> Result<Self, ArgumentError> {
        let help = line.contains(["-h", "--help"]);
        let check = line.contains("--check");
        let log_format = line.opt_value_from_str("--log")?.unwrap_or(Format::Text);
        if let Some(unknown) = line.finish().into_iter().next() {
            return Err(ArgumentError::UnknownArgument(unknown.to_string_lossy().into_owned()));
        }
        let command = match (help, check) {
            (true, _) => Command::Help,
            (false, true) => Command::Check,
            (false, false) => Command::Serve,
        };
        Ok(Self { command, log_format })
    }
}
