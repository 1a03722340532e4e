//! Errors in a configuration, with their location.

use std::fmt;
use std::path::{Path, PathBuf};

/// An error in a configuration, shown on one line as `FILE:LINE: KEY: WHAT` with the parts that are known.
///
/// ```
/// use dunelink::Config;
///
/// let error = Config::from_toml("[limits]\nsockets = \"many\"").unwrap_err();
/// assert_eq!((error.line, &*error.key), (Some(2), "limits.sockets"));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The file, or `None` if the configuration was not read from a file.
    pub file: Option<PathBuf>,
    /// The line, counted from 1, or `None` if it is unknown.
    pub line: Option<usize>,
    /// The key with its parents, such as `classes[1].deadline`; empty if the error concerns no single key.
    pub key: String,
    /// What is wrong or what was expected.
    pub what: String,
}

impl ConfigError {
    pub(super) fn new(what: impl Into<String>) -> ConfigError {
        ConfigError { file: None, line: None, key: String::new(), what: one_line(&what.into()) }
    }

    pub(super) fn at(mut self, line: Option<usize>, key: impl Into<String>) -> ConfigError {
        (self.line, self.key) = (line, key.into());
        self
    }

    /// An error that concerns no single key, or whose text names it.
    pub(crate) fn without_key(what: &str) -> ConfigError {
        ConfigError::new(what)
    }

    /// The same error with the file in which it was found.
    pub(crate) fn in_file(mut self, path: &Path) -> ConfigError {
        self.file = Some(path.to_path_buf());
        self
    }
}

/// Joins the lines of a library's message: a log entry has only one line.
fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.file, self.line) {
            (Some(file), Some(line)) => write!(f, "{}:{line}: ", file.display())?,
            (Some(file), None) => write!(f, "{}: ", file.display())?,
            (None, Some(line)) => write!(f, "line {line}: ")?,
            (None, None) => {}
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.what)
    }
}

impl std::error::Error for ConfigError {}

impl From<Problem> for ConfigError {
    fn from(problem: Problem) -> ConfigError {
        ConfigError::new(problem.expected).at(None, problem.key)
    }
}

/// A key whose value is invalid by itself or together with other settings.
#[derive(Debug)]
pub(super) struct Problem {
    pub(super) key: String,
    pub(super) expected: String,
}

impl Problem {
    pub(super) fn new(key: impl Into<String>, expected: impl Into<String>) -> Problem {
        Problem { key: key.into(), expected: expected.into() }
    }
}

/// Reads a whole file as text.
pub(super) fn read(path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|e| ConfigError::new(format!("can't be read: {e}")).in_file(path))
}
