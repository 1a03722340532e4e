//! Parsing of one line of a log.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde_json::Value;

use crate::Micros;

/// Nodes do not write longer lines than this.
pub const MAX_LINE_BYTES: usize = 64 * 1024;

/// One event of a node's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The time by the node's own clock, in microseconds of Unix time.
    pub at: Micros,
    /// The log level, such as `INFO`.
    pub level: String,
    /// The log target; events of the fleet have the target `fleet`.
    pub target: String,
    /// The log message.
    pub message: String,
    /// The event's fields by name.
    pub fields: BTreeMap<String, String>,
}

impl Event {
    /// The value of the field with this name, if there is one.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }
}

/// A line as written with `--log json`.
#[derive(Deserialize)]
struct JsonLine<'a> {
    #[serde(borrow)]
    timestamp: Cow<'a, str>,
    #[serde(borrow)]
    level: Cow<'a, str>,
    #[serde(borrow)]
    target: Cow<'a, str>,
    fields: BTreeMap<String, Value>,
}

fn time(text: &str) -> Option<Micros> {
    let at = humantime::parse_rfc3339_weak(text).ok()?;
    Micros::try_from(at.duration_since(UNIX_EPOCH).ok()?.as_micros()).ok()
}

/// Parses a line in either format; `None` if it is not a line of a node's log.
///
/// ```
/// let line = "2026-12-02T01:00:00.000001Z  INFO fleet: view decided node=\"n0\" epoch=\"3.1\"";
/// let event = dunelink_timeline::parse(line).unwrap();
/// assert_eq!((event.message.as_str(), event.field("epoch")), ("view decided", Some("3.1")));
/// ```
pub fn parse(line: &str) -> Option<Event> {
    let line = line.trim();
    if line.len() > MAX_LINE_BYTES {
        return None;
    }
    if line.starts_with('{') { json(line) } else { text(line) }
}

fn json(line: &str) -> Option<Event> {
    let JsonLine { timestamp, level, target, mut fields } = serde_json::from_str(line).ok()?;
    let to_text = |value: Value| match value {
        Value::String(text) => text,
        other => other.to_string(),
    };
    let message = fields.remove("message").map(to_text).unwrap_or_default();
    let fields = fields.into_iter().map(|(name, value)| (name, to_text(value))).collect();
    Some(Event {
        at: time(&timestamp)?,
        level: level.into_owned(),
        target: target.into_owned(),
        message,
        fields,
    })
}

/// Parses `TIME LEVEL TARGET: MESSAGE NAME=VALUE ...`; the fields start at the first word that has the form
/// of a field.
fn text(line: &str) -> Option<Event> {
    let (at, rest) = line.split_once(' ')?;
    let (level, rest) = rest.trim_start().split_once(' ')?;
    let (target, rest) = rest.trim_start().split_once(": ")?;
    let is_level = ["TRACE", "DEBUG", "INFO", "WARN", "ERROR"].contains(&level);
    if !is_level || target.contains(' ') {
        return None;
    }
    let fields_start =
        rest.match_indices(' ').map(|(at, _)| at + 1).chain([0]).filter(|at| field(&rest[*at..]).is_some());
    let fields_start = fields_start.min().unwrap_or(rest.len());
    let mut fields = BTreeMap::new();
    let mut remaining = &rest[fields_start..];
    while let Some((name, value, rest_of_text)) = field(remaining) {
        fields.insert(name.to_owned(), value);
        remaining = rest_of_text.trim_start();
    }
    Some(Event {
        at: time(at)?,
        level: level.to_owned(),
        target: target.to_owned(),
        message: rest[..fields_start].trim().to_owned(),
        fields,
    })
}

/// Parses a field at the start of the text: its name, its value, and the remaining text.
fn field(text: &str) -> Option<(&str, String, &str)> {
    let (name, rest) = text.split_once('=')?;
    let is_name_char = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_' || c == '.';
    if name.is_empty() || !name.chars().all(is_name_char) {
        return None;
    }
    if !rest.starts_with('"') {
        let (value, rest_of_text) = rest.split_once(' ').unwrap_or((rest, ""));
        return Some((name, value.to_owned(), rest_of_text));
    }
    // The value is quoted like a string in JSON: it ends at a quote without a backslash before it.
    let mut escaped = false;
    let end = rest.char_indices().skip(1).find(|(_, c)| {
        let is_end = *c == '"' && !escaped;
        escaped = *c == '\\' && !escaped;
        is_end
    });
    let (end, _) = end?;
    let quoted = &rest[..=end];
    let value = serde_json::from_str(quoted).unwrap_or_else(|_| quoted[1..end].to_owned());
    Some((name, value, &rest[end + 1..]))
}
