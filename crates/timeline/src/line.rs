//! One line of a log.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde_json::Value;

use crate::Micros;

/// Longer lines are none that a node writes.
pub const MAX_LINE_BYTES: usize = 64 * 1024;

/// What a node noted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// When, on its own clock: microseconds of Unix time.
    pub at: Micros,
    /// How grave it is, as the log says.
    pub level: String,
    /// The room that it comes from; fleet events come from `fleet`.
    pub target: String,
    /// What happened.
    pub message: String,
    /// What belongs to it, by name.
    pub fields: BTreeMap<String, String>,
}

impl Event {
    /// A field, if there is one of that name.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }
}

/// A line as `--log json` writes it.
#[derive(Deserialize)]
struct Json<'a> {
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

/// Reads a line in either form; nothing if it is none that a node's log has.
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
    let Json { timestamp, level, target, mut fields } = serde_json::from_str(line).ok()?;
    let told = |value: Value| match value {
        Value::String(text) => text,
        other => other.to_string(),
    };
    let message = fields.remove("message").map(told).unwrap_or_default();
    let fields = fields.into_iter().map(|(name, value)| (name, told(value))).collect();
    Some(Event {
        at: time(&timestamp)?,
        level: level.into_owned(),
        target: target.into_owned(),
        message,
        fields,
    })
}

/// `TIME LEVEL TARGET: MESSAGE NAME=VALUE ...`; fields begin at the first word that has the form of one.
fn text(line: &str) -> Option<Event> {
    let (at, rest) = line.split_once(' ')?;
    let (level, rest) = rest.trim_start().split_once(' ')?;
    let (target, rest) = rest.trim_start().split_once(": ")?;
    let known = ["TRACE", "DEBUG", "INFO", "WARN", "ERROR"].contains(&level);
    if !known || target.contains(' ') {
        return None;
    }
    let begin =
        rest.match_indices(' ').map(|(at, _)| at + 1).chain([0]).filter(|at| field(&rest[*at..]).is_some());
    let begin = begin.min().unwrap_or(rest.len());
    let mut fields = BTreeMap::new();
    let mut left = &rest[begin..];
    while let Some((name, value, after)) = field(left) {
        fields.insert(name.to_owned(), value);
        left = after.trim_start();
    }
    Some(Event {
        at: time(at)?,
        level: level.to_owned(),
        target: target.to_owned(),
        message: rest[..begin].trim().to_owned(),
        fields,
    })
}

/// A field at the beginning of this text, and what follows it.
fn field(text: &str) -> Option<(&str, String, &str)> {
    let (name, rest) = text.split_once('=')?;
    let sound = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_' || c == '.';
    if name.is_empty() || !name.chars().all(sound) {
        return None;
    }
    if !rest.starts_with('"') {
        let (value, after) = rest.split_once(' ').unwrap_or((rest, ""));
        return Some((name, value.to_owned(), after));
    }
    // As a string in JSON, as far as that goes: what is quoted ends at a quote that no backslash stands
    // before.
    let mut escaped = false;
    let end = rest.char_indices().skip(1).find(|(_, c)| {
        let ends = *c == '"' && !escaped;
        escaped = *c == '\\' && !escaped;
        ends
    });
    let (end, _) = end?;
    let quoted = &rest[..=end];
    let value = serde_json::from_str(quoted).unwrap_or_else(|_| quoted[1..end].to_owned());
    Some((name, value, &rest[end + 1..]))
}
