//! Errors of the settings file.

use std::io;
use std::path::PathBuf;

/// An unreadable or invalid settings file. Each message names the file, the key, the expected value and the
/// remedy.
#[derive(Debug, thiserror::Error)]
pub enum BootSettingsError {
    /// The file could not be opened or read.
    #[error(
        "{}: the settings file can't be read ({source}); put it there or set {variable} to its path",
        path.display()
    )]
    Unreadable {
        /// The path of the settings file.
        path: PathBuf,
        /// The environment variable that names the path.
        variable: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The text is not TOML.
    #[error("{}: not valid TOML ({reason}); correct the line given there", path.display())]
    Syntax {
        /// The settings file.
        path: PathBuf,
        /// Message of the TOML parser, with the line.
        reason: String,
    },
    /// A required key is missing.
    #[error("{}: key `{key}` is missing; add it as {expected}", path.display())]
    MissingKey {
        /// The settings file.
        path: PathBuf,
        /// The key with its table, such as `listen.front`.
        key: String,
        /// Description of a valid value.
        expected: &'static str,
    },
    /// The value of a key has the wrong type or is out of range.
    #[error("{}: key `{key}` has the invalid value {found}; change it to {expected}", path.display())]
    InvalidValue {
        /// The settings file.
        path: PathBuf,
        /// The key with its table, such as `bounds.contactMs`.
        key: String,
        /// Description of a valid value.
        expected: &'static str,
        /// The invalid value, truncated.
        found: String,
    },
}

impl BootSettingsError {
    /// The invalid or missing key with its table; `None` if the file can't be read or is not valid TOML.
    pub fn key(&self) -> Option<&str> {
        match self {
            Self::MissingKey { key, .. } | Self::InvalidValue { key, .. } => Some(key),
            Self::Unreadable { .. } | Self::Syntax { .. } => None,
        }
    }
}
