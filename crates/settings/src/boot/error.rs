//! Why a settings file was not accepted.

use std::io;
use std::path::PathBuf;

/// A settings file that can't be used. Each message names the file, the key, what was expected and the remedy.
#[derive(Debug, thiserror::Error)]
pub enum BootSettingsError {
    /// The file could not be opened or read.
    #[error(
        "{}: the settings file can't be read ({source}); put it there or set {variable} to its path",
        path.display()
    )]
    Unreadable {
        /// The path that was tried.
        path: PathBuf,
        /// The environment variable that names the path.
        variable: &'static str,
        /// What the system answered.
        source: io::Error,
    },
    /// The text is not TOML.
    #[error("{}: not valid TOML ({reason}); correct the line that is named", path.display())]
    Syntax {
        /// The settings file.
        path: PathBuf,
        /// What the TOML reader found, and where.
        reason: String,
    },
    /// A key that has no default is absent.
    #[error("{}: key `{key}` is missing; add it as {expected}", path.display())]
    MissingKey {
        /// The settings file.
        path: PathBuf,
        /// The key with its table, such as `listen.front`.
        key: String,
        /// What the value has to be.
        expected: &'static str,
    },
    /// A key holds a value of another type or outside its range.
    #[error("{}: key `{key}` holds {found}; change it to {expected}", path.display())]
    InvalidValue {
        /// The settings file.
        path: PathBuf,
        /// The key with its table, such as `bounds.contactMs`.
        key: String,
        /// What the value has to be.
        expected: &'static str,
        /// The value that stands there, shortened.
        found: String,
    },
}

impl BootSettingsError {
    /// The key that is wrong or missing, with its table; nothing when the file as a whole can't be read.
    pub fn key(&self) -> Option<&str> {
        match self {
            Self::MissingKey { key, .. } | Self::InvalidValue { key, .. } => Some(key),
            Self::Unreadable { .. } | Self::Syntax { .. } => None,
        }
    }
}
