//! What is wrong with a configuration, and where.

use std::fmt;
use std::path::{Path, PathBuf};

/// What is wrong with a configuration: `FILE:LINE: KEY: WHAT`, on one line, with the parts that are known.
///
/// ```
/// use dunelink::Config;
///
/// let error = Config::from_toml("[limits]\nsockets = \"many\"").unwrap_err();
/// assert_eq!((error.line, &*error.key), (Some(2), "limits.sockets"));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The file, if it came from one.
    pub file: Option<PathBuf>,
    /// The line, from 1.
    pub line: Option<usize>,
    /// The key, with its parents: `classes[1].deadline`.
    pub key: String,
    /// What is wrong and what was expected.
    pub what: String,
}

impl ConfigError {
    pub(super) fn of(what: impl Into<String>) -> ConfigError {
        ConfigError { file: None, line: None, key: String::new(), what: one_line(&what.into()) }
    }

    pub(super) fn at(mut self, line: Option<usize>, key: impl Into<String>) -> ConfigError {
        (self.line, self.key) = (line, key.into());
        self
    }

    /// What the configuration as a whole says wrongly.
    pub(crate) fn without_key(what: &str) -> ConfigError {
        ConfigError::of(what)
    }

    /// The same error with the file that it was found in.
    pub(crate) fn in_file(mut self, path: &Path) -> ConfigError {
        self.file = Some(path.to_path_buf());
        self
    }
}

/// Libraries' messages may have several lines; a log's entry has one.
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
        ConfigError::of(problem.expected).at(None, problem.key)
    }
}

/// A key whose value does not hold together with the rest.
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

/// Reads a file whole.
pub(super) fn read(path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|e| ConfigError::of(format!("can't be read: {e}")).in_file(path))
}
