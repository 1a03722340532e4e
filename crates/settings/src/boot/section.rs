//! Typed access to one table of the settings file.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use toml::{Table, Value};

use super::error::BootSettingsError;

/// Values in error messages are truncated to this many characters.
const MAX_SHOWN_CHARS: usize = 60;

/// One table of the file, with the context for error messages.
pub(super) struct Section<'a> {
    path: &'a Path,
    /// Name of the table; empty for the root table.
    name: &'static str,
    /// The parsed table; `None` if it is missing from the file.
    table: Option<&'a Table>,
}

impl<'a> Section<'a> {
    /// The root table of the file.
    pub(super) fn root(path: &'a Path, table: &'a Table) -> Self {
        Self { path, name: "", table: Some(table) }
    }

    /// The table `name` in this one; a missing table reads as an empty one.
    pub(super) fn section(&self, name: &'static str) -> Result<Section<'a>, BootSettingsError> {
        let table = match self.value(name) {
            None => None,
            Some(Value::Table(table)) => Some(table),
            Some(other) => return Err(self.invalid_value(name, "a table", other)),
        };
        Ok(Section { path: self.path, name, table })
    }

    /// All keys of the table with their values, which have to be strings.
    pub(super) fn string_pairs(&self) -> Result<Vec<(String, String)>, BootSettingsError> {
        let pairs = self.table.into_iter().flatten();
        pairs
            .map(|(key, value)| match value {
                Value::String(text) => Ok((key.clone(), text.clone())),
                other => Err(self.invalid_value(key, "a string", other)),
            })
            .collect()
    }

    pub(super) fn string(&self, key: &str) -> Result<Option<&'a str>, BootSettingsError> {
        self.optional(key, "a string", Value::as_str)
    }

    pub(super) fn boolean(&self, key: &str) -> Result<Option<bool>, BootSettingsError> {
        self.optional(key, "true or false", Value::as_bool)
    }

    /// A finite number of at least 0, an integer or a float.
    pub(super) fn number(&self, key: &str) -> Result<Option<f64>, BootSettingsError> {
        self.optional(key, "a number of at least 0", number)
    }

    /// An integer of at least 0; a float such as `16.0` is accepted too.
    pub(super) fn integer(&self, key: &str) -> Result<Option<u64>, BootSettingsError> {
        self.optional(key, "an integer of at least 0", integer)
    }

    pub(super) fn ip(&self, key: &str) -> Result<Option<IpAddr>, BootSettingsError> {
        self.optional(key, "an IP address such as \"192.0.2.1\"", |value| value.as_str()?.parse().ok())
    }

    /// A socket address; an empty string reads as `None`.
    pub(super) fn address(&self, key: &str) -> Result<Option<SocketAddr>, BootSettingsError> {
        let read = |value: &Value| match value.as_str() {
            Some("") => Some(None),
            _ => address(value).map(Some),
        };
        Ok(self.optional(key, "an address such as \"192.0.2.1:8080\"", read)?.flatten())
    }

    pub(super) fn strings(&self, key: &str) -> Result<Vec<String>, BootSettingsError> {
        let read = |value: &Value| -> Option<Vec<String>> {
            value.as_array()?.iter().map(|entry| entry.as_str().map(str::to_owned)).collect()
        };
        Ok(self.optional(key, "a list of strings", read)?.unwrap_or_default())
    }

    pub(super) fn addresses(&self, key: &str) -> Result<Vec<SocketAddr>, BootSettingsError> {
        let expected = "a list of addresses such as [\"192.0.2.1:8080\"]";
        let read =
            |value: &Value| -> Option<Vec<SocketAddr>> { value.as_array()?.iter().map(address).collect() };
        Ok(self.optional(key, expected, read)?.unwrap_or_default())
    }

    /// Reads the value of `key` with `read`. A missing key gives `None`; a value that `read` rejects is an
    /// error.
    pub(super) fn optional<T>(
        &self,
        key: &str,
        expected: &'static str,
        read: impl FnOnce(&'a Value) -> Option<T>,
    ) -> Result<Option<T>, BootSettingsError> {
        let Some(value) = self.value(key) else { return Ok(None) };
        match read(value) {
            Some(result) => Ok(Some(result)),
            None => Err(self.invalid_value(key, expected, value)),
        }
    }

    /// The error for a required key that is missing.
    pub(super) fn missing_key(&self, key: &str, expected: &'static str) -> BootSettingsError {
        BootSettingsError::MissingKey { path: self.path.to_owned(), key: self.full_key(key), expected }
    }

    fn value(&self, key: &str) -> Option<&'a Value> {
        self.table?.get(key)
    }

    fn invalid_value(&self, key: &str, expected: &'static str, found: &Value) -> BootSettingsError {
        let found: String = found.to_string().chars().take(MAX_SHOWN_CHARS).collect();
        BootSettingsError::InvalidValue {
            path: self.path.to_owned(),
            key: self.full_key(key),
            expected,
            found,
        }
    }

    fn full_key(&self, key: &str) -> String {
        match self.name {
            "" => key.to_owned(),
            table => format!("{table}.{key}"),
        }
    }
}

fn number(value: &Value) -> Option<f64> {
    let number = match value {
        Value::Integer(integer) => *integer as f64,
        Value::Float(number) => *number,
        _ => return None,
    };
    (number.is_finite() && number >= 0.0).then_some(number)
}

fn integer(value: &Value) -> Option<u64> {
    match value {
        Value::Integer(integer) => u64::try_from(*integer).ok(),
        other => number(other).filter(|number| number.fract() == 0.0).map(|number| number as u64),
    }
}

fn address(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}
