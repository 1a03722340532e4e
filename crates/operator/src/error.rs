//! Why a command could not be carried out.

use std::io;
use std::path::{Path, PathBuf};

use dunelink_settings::{BootSettingsError, ConfigError};
use dunelink_storage::StorageError;
use thiserror::Error;

/// A command that could not be carried out. Each message names the remedy.
#[derive(Debug, Error)]
pub enum OperatorError {
    /// A file can't be read.
    #[error("{}: can't be read ({source}); check the path and its permissions", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A settings file can't be used.
    #[error(transparent)]
    Settings(#[from] BootSettingsError),
    /// A configuration can't be used.
    #[error("{place}: {reason}")]
    Configuration {
        /// The file, or the machine that sent it.
        place: String,
        /// What is wrong.
        reason: ConfigError,
    },
    /// No control address is known.
    #[error(
        "no control address is known; name one with --control IP:PORT or point DUNELINK_BOOT to a settings file"
    )]
    NoControlAddress,
    /// No control machine gave a clear answer.
    #[error(
        "no control machine gave a clear answer ({tried}); see that over half of them run and reach one another"
    )]
    NoResponse {
        /// The last failure at each address.
        tried: String,
    },
    /// The fleet refused.
    #[error("refused with {status}: {reason}")]
    Refused {
        /// Status of the answer.
        status: u16,
        /// Its body.
        reason: String,
    },
    /// An answer can't be read.
    #[error(
        "{place}: the answer to {path} can't be read ({reason}); use the command of the release that runs there"
    )]
    InvalidResponse {
        /// The machine.
        place: String,
        /// The path asked.
        path: &'static str,
        /// What the reader found.
        reason: String,
    },
    /// There is no configuration yet.
    #[error("the fleet has no configuration yet; send one with `config put FILE --base 0`")]
    NoConfiguration,
    /// A file still has hidden keys.
    #[error("{}: the keys in it are hidden; read the configuration with --with-keys before editing it", path.display())]
    HiddenKeys {
        /// The file.
        path: PathBuf,
    },
    /// A disk folder can't be read.
    #[error("{}: {source}", path.display())]
    Storage {
        /// The folder.
        path: PathBuf,
        /// What the store found.
        source: StorageError,
    },
    /// A data folder holds no configuration.
    #[error("{}: holds no configuration; look into the folder of another control machine", path.display())]
    EmptyFolder {
        /// The folder.
        path: PathBuf,
    },
    /// A demonstration can't begin.
    #[error("{0}")]
    Demo(String),
}

impl OperatorError {
    /// For a file that can't be read.
    pub fn file(path: &Path) -> impl FnOnce(io::Error) -> Self {
        let path = path.to_owned();
        move |source| Self::File { path, source }
    }
}
