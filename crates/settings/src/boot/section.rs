//! Typed reading of one table of the settings file.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use toml::{Table, Value};

use super::error::BootSettingsError;

/// Longest value that an error message repeats, in characters.
const SHOWN_CHARACTERS: usize = 60;

/// One table of the file, with what an error has to name.
pub(super) struct Section<'a> {
    path: &'a Path,
    /// Name of the table, empty for the top of the file.
    name: &'static str,
    table: Option<&'a Table>,
}

impl<'a> Section<'a> {
    /// The top of the file.
    pub(super) fn top(path: &'a Path, table: &'a Table) -> Self {
        Self { path, name: "", table: Some(table) }
    }

    /// The table `name` below this one; an absent table reads as an empty one.
    pub(super) fn section(&self, name: &'static str) -> Result<Section<'a>, BootSettingsError> {
        let table = match self.value(name) {
            None => None,
            Some(Value::Table(table)) => Some(table),
            Some(other) => return Err(self.wrong(name, "a table", other)),
        };
        Ok(Section { path: self.path, name, table })
    }

    /// All pairs of the table whose values are texts.
    pub(super) fn text_pairs(&self) -> Result<Vec<(String, String)>, BootSettingsError> {
        let pairs = self.table.into_iter().flatten();
        pairs
            .map(|(key, value)| match value {
                Value::String(text) => Ok((key.clone(), text.clone())),
                other => Err(self.wrong(key, "a text", other)),
            })
            .collect()
    }

    pub(super) fn text(&self, key: &str) -> Result<Option<&'a str>, BootSettingsError> {
        self.optional(key, "a text", Value::as_str)
    }

    pub(super) fn flag(&self, key: &str) -> Result<Option<bool>, BootSettingsError> {
        self.optional(key, "true or false", Value::as_bool)
    }

    /// A finite number of at least 0, whole or with a fraction.
    pub(super) fn number(&self, key: &str) -> Result<Option<f64>, BootSettingsError> {
        self.optional(key, "a number of at least 0", number)
    }

    /// A whole number of at least 0; `16.0` is one as well.
    pub(super) fn whole(&self, key: &str) -> Result<Option<u64>, BootSettingsError> {
        self.optional(key, "a whole number of at least 0", whole)
    }

    pub(super) fn ip(&self, key: &str) -> Result<Option<IpAddr>, BootSettingsError> {
        self.optional(key, "an IP address such as \"192.0.2.1\"", |value| value.as_str()?.parse().ok())
    }

    /// An address; an empty text reads as none.
    pub(super) fn address(&self, key: &str) -> Result<Option<SocketAddr>, BootSettingsError> {
        let read = |value: &Value| match value.as_str() {
            Some("") => Some(None),
            _ => address(value).map(Some),
        };
        Ok(self.optional(key, "an address such as \"192.0.2.1:8080\"", read)?.flatten())
    }

    pub(super) fn texts(&self, key: &str) -> Result<Vec<String>, BootSettingsError> {
        let read = |value: &Value| -> Option<Vec<String>> {
            value.as_array()?.iter().map(|entry| entry.as_str().map(str::to_owned)).collect()
        };
        Ok(self.optional(key, "a list of texts", read)?.unwrap_or_default())
    }

    pub(super) fn addresses(&self, key: &str) -> Result<Vec<SocketAddr>, BootSettingsError> {
        let expected = "a list of addresses such as [\"192.0.2.1:8080\"]";
        let read =
            |value: &Value| -> Option<Vec<SocketAddr>> { value.as_array()?.iter().map(address).collect() };
        Ok(self.optional(key, expected, read)?.unwrap_or_default())
    }

    /// Reads `key` with `read`; an absent key gives nothing, a value that `read` refuses is an error.
    pub(super) fn optional<T>(
        &self,
        key: &str,
        expected: &'static str,
        read: impl FnOnce(&'a Value) -> Option<T>,
    ) -> Result<Option<T>, BootSettingsError> {
        let Some(value) = self.value(key) else { return Ok(None) };
        match read(value) {
            Some(result) => Ok(Some(result)),
            None => Err(self.wrong(key, expected, value)),
        }
    }

    /// The error of a key that has no default and is absent.
    pub(super) fn missing(&self, key: &str, expected: &'static str) -> BootSettingsError {
        BootSettingsError::MissingKey { path: self.path.to_owned(), key: self.full_key(key), expected }
    }

    fn value(&self, key: &str) -> Option<&'a Value> {
        self.table?.get(key)
    }

    fn wrong(&self, key: &str, expected: &'static str, found: &Value) -> BootSettingsError {
        let found: String = found.to_string().chars().take(SHOWN_CHARACTERS).collect();
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
        Value::Integer(whole) => *whole as f64,
        Value::Float(number) => *number,
        _ => return None,
    };
    (number.is_finite() && number >= 0.0).then_some(number)
}

fn whole(value: &Value) -> Option<u64> {
    match value {
        Value::Integer(whole) => u64::try_from(*whole).ok(),
        other => number(other).filter(|number| number.fract() == 0.0).map(|number| number as u64),
    }
}

fn address(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}
