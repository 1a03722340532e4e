//! The errors of the commands.

use std::io;
use std::path::{Path, PathBuf};

use dunelink_settings::{BootSettingsError, ConfigError};
use dunelink_storage::StorageError;
use thiserror::Error;

/// Why a command could not be executed. Each message names the remedy.
#[derive(Debug, Error)]
pub enum OperatorError {
    /// A file or folder cannot be read.
    #[error("{}: cannot be read ({source}); check the path and its permissions", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A settings file is invalid.
    #[error(transparent)]
    Settings(#[from] BootSettingsError),
    /// A configuration is invalid.
    #[error("{place}: {reason}")]
    Configuration {
        /// Path of the file, or address of the machine that sent the configuration.
        place: String,
        /// What is invalid.
        reason: ConfigError,
    },
    /// No control address is known.
    #[error("no control address is known; pass --control IP:PORT or set DUNELINK_BOOT to a settings file")]
    NoControlAddress,
    /// No control machine gave a definite response.
    #[error(
        "no control machine gave a definite response ({tried}); check that a majority runs and is connected"
    )]
    NoResponse {
        /// The last failure at each address.
        tried: String,
    },
    /// The fleet refused the request.
    #[error("refused with {status}: {reason}")]
    Refused {
        /// HTTP status of the response.
        status: u16,
        /// Body of the response.
        reason: String,
    },
    /// A response cannot be parsed.
    #[error("{place}: the response to {path} cannot be parsed ({reason}); use dunelink-fleet of its release")]
    InvalidResponse {
        /// Address of the machine, or what the JSON contains.
        place: String,
        /// Path of the request.
        path: &'static str,
        /// The error of the parser.
        reason: String,
    },
    /// There is no configuration yet.
    #[error("the fleet has no configuration yet; apply one with `config put FILE --base 0`")]
    NoConfiguration,
    /// A file contains placeholders in place of API keys.
    #[error("{}: keys are hidden; read the configuration with --with-keys before editing it", path.display())]
    HiddenKeys {
        /// The file.
        path: PathBuf,
    },
    /// A data folder cannot be read.
    #[error("{}: {source}", path.display())]
    Storage {
        /// The folder.
        path: PathBuf,
        /// The error of the store.
        source: StorageError,
    },
    /// A data folder contains no configuration.
    #[error("{}: contains no configuration; try the data folder of another control machine", path.display())]
    EmptyFolder {
        /// The folder.
        path: PathBuf,
    },
    /// The demonstration cannot start.
    #[error("{0}")]
    Demo(String),
}

impl OperatorError {
    /// Returns a conversion of an I/O error into [`OperatorError::File`] for `path`.
    pub fn file(path: &Path) -> impl FnOnce(io::Error) -> Self {
        let path = path.to_owned();
        move |source| Self::File { path, source }
    }
}
