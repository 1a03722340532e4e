//! The command line.

use dunelink_runtime::log::Format;
use thiserror::Error;

/// What `--help` shows.
pub const HELP: &str = "\
dunelink-proxy: the data plane of a front machine

The settings file is named by DUNELINK_BOOT (/etc/dunelink/local.toml).

    --check          read the settings and end: 0 if they are valid, 2 if not
    --log FORMAT     text (default) or json
    --help           this page
";

/// What the command line asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arguments {
    /// Only the settings are read.
    pub check: bool,
    /// Only the help is shown.
    pub help: bool,
    /// How events are logged.
    pub log: Format,
}

/// Why the command line can't be followed.
#[derive(Debug, Error)]
pub enum ArgumentsError {
    /// An option lacks its value or has a wrong one.
    #[error("{0}; see --help")]
    Option(#[from] pico_args::Error),
    /// Something stands there that means nothing.
    #[error("`{0}` is no option of dunelink-proxy; see --help")]
    Unknown(String),
}

impl Arguments {
    /// Reads the process's command line.
    ///
    /// # Errors
    ///
    /// An option is unknown, or its value is.
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
