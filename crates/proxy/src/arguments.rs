//! Command-line parsing.

use dunelink_runtime::log::Format;
use thiserror::Error;

/// The text that `--help` prints.
pub const HELP: &str = "\
dunelink-proxy: the data plane of a front machine

The settings file is DUNELINK_BOOT (default: /etc/dunelink/local.toml).

    --check          validate the settings and exit: 0 if they are valid, 2 if not
    --log FORMAT     log format: text (default) or json
    --help           print this help
";

/// The parsed command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arguments {
    /// Validate the settings and exit.
    pub check: bool,
    /// Print the help text and exit.
    pub help: bool,
    /// Output format of log records.
    pub log: Format,
}

/// Why the command line is invalid.
#[derive(Debug, Error)]
pub enum ArgumentsError {
    /// An option has no value or an invalid one.
    #[error("{0}; see --help")]
    Option(#[from] pico_args::Error),
    /// An argument that the program does not know.
    #[error("unknown argument `{0}`; see --help")]
    Unknown(String),
}

impl Arguments {
    /// Parses the arguments of the process.
    ///
    /// # Errors
    ///
    /// An argument is unknown, or the value of an option is missing or invalid.
    pub fn read() -> Result<Self, ArgumentsError> {
        let mut remaining = pico_args::Arguments::from_env();
        let arguments = Self {
            check: remaining.contains("--check"),
            help: remaining.contains("--help"),
            log: remaining.opt_value_from_str("--log")?.unwrap_or(Format::Text),
        };
        match remaining.finish().first() {
            Some(unknown) => Err(ArgumentsError::Unknown(unknown.to_string_lossy().into_owned())),
            None => Ok(arguments),
        }
    }
}
