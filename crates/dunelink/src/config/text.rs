//! Locating keys in TOML and JSON texts, and reporting errors with their line.

use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::error::{ConfigError, Problem};

/// Reads a value from TOML; an error has its line and key.
pub(super) fn parse_toml<T: DeserializeOwned>(text: &str) -> Result<T, ConfigError> {
    let config_error = |e: toml::de::Error, key: String| {
        let line = e.span().map(|span| line_at(text, span.start)).or_else(|| find_in_toml(text, &key));
        ConfigError::new(e.message()).at(line, key)
    };
    let deserializer = toml::Deserializer::parse(text).map_err(|e| config_error(e, String::new()))?;
    serde_path_to_error::deserialize(deserializer).map_err(|e| {
        let key = key_of(e.path());
        config_error(e.into_inner(), key)
    })
}

/// The key at which deserialization failed, as far as it is known.
pub(super) fn key_of(path: &serde_path_to_error::Path) -> String {
    let path = path.to_string();
    path.trim_end_matches(['.', '?']).to_string()
}

/// Converts a problem with a value that was read from `text` into an error with its line.
pub(super) fn toml_problem(text: &str, problem: Problem) -> ConfigError {
    let line = find_in_toml(text, &problem.key);
    ConfigError::new(problem.expected).at(line, problem.key)
}

/// The line of a byte position, counted from 1.
fn line_at(text: &str, position: usize) -> usize {
    let before = text.as_bytes().get(..position).unwrap_or(text.as_bytes());
    1 + before.iter().filter(|b| **b == b'\n').count()
}

/// The segments of a key such as `classes[1].deadline`.
fn key_segments(key: &str) -> impl Iterator<Item = &str> {
    key.split(['.', '[', ']']).filter(|segment| !segment.is_empty())
}

/// The line of a key, or of its nearest parent that is in the text; `None` if the text has neither.
fn find_in_toml(text: &str, key: &str) -> Option<usize> {
    let root = DeTable::parse(text).ok()?;
    let mut at: Option<usize> = None;
    let mut table = Some(root.get_ref());
    let mut array: Option<&[Spanned<DeValue<'_>>]> = None;
    for segment in key_segments(key) {
        let value: &Spanned<DeValue<'_>> = match (table, array) {
            (Some(t), _) => match t.iter().find(|(k, _)| k.get_ref() == segment) {
                Some((k, value)) => {
                    at = Some(k.span().start);
                    value
                }
                None => break,
            },
            (None, Some(a)) => match segment.parse().ok().and_then(|i: usize| a.get(i)) {
                Some(value) => {
                    at = Some(value.span().start);
                    value
                }
                None => break,
            },
            (None, None) => break,
        };
        (table, array) = match value.get_ref() {
            DeValue::Table(t) => (Some(t), None),
            DeValue::Array(a) => (None, Some(&a[..])),
            _ => (None, None),
        };
    }
    at.map(|position| line_at(text, position))
}

/// The line of a key, or of its nearest parent, in JSON that is known to be well formed.
pub(super) fn find_in_json(text: &str, key: &str) -> Option<usize> {
    let (mut from, mut found) = (0, None);
    for segment in key_segments(key) {
        let Some(at) = find_json_child(text.as_bytes(), from, segment) else { break };
        (from, found) = (at, Some(at));
    }
    found.map(|position| line_at(text, position))
}

/// The byte position of the value of a member or element, in the object or array that begins at `from`.
fn find_json_child(text: &[u8], from: usize, segment: &str) -> Option<usize> {
    let mut at = skip_whitespace(text, from);
    let object = match text.get(at)? {
        b'{' => true,
        b'[' => false,
        _ => return None,
    };
    at = skip_whitespace(text, at + 1);
    for number in 0.. {
        if matches!(text.get(at)?, b'}' | b']') {
            return None;
        }
        let mut matches_key = !object && segment.parse() == Ok(number);
        if object {
            let end = skip_value(text, at)?;
            matches_key = text.get(at + 1..end - 1)? == segment.as_bytes();
            at = skip_whitespace(text, skip_whitespace(text, end) + 1);
        }
        if matches_key {
            return Some(at);
        }
        at = skip_whitespace(text, skip_value(text, at)?);
        if text.get(at)? == &b',' {
            at = skip_whitespace(text, at + 1);
        }
    }
    None
}

fn skip_whitespace(text: &[u8], from: usize) -> usize {
    from + text.get(from..).unwrap_or_default().iter().take_while(|b| b.is_ascii_whitespace()).count()
}

/// The byte position behind the value that begins at `at`.
fn skip_value(text: &[u8], mut at: usize) -> Option<usize> {
    let mut depth = 0_usize;
    loop {
        match text.get(at)? {
            b'"' => {
                at += 1;
                while *text.get(at)? != b'"' {
                    at += if text[at] == b'\\' { 2 } else { 1 };
                }
                at += 1;
            }
            b'{' | b'[' => {
                depth += 1;
                at += 1;
            }
            b'}' | b']' => {
                depth = depth.checked_sub(1)?;
                at += 1;
            }
            _ if depth > 0 => at += 1,
            _ => {
                at +=
                    text[at..].iter().take_while(|b| !b",]}".contains(b) && !b.is_ascii_whitespace()).count();
            }
        }
        if depth == 0 {
            return Some(at);
        }
    }
}

/// A 64-bit number as hexadecimal text, as TOML integers have only 63 bits plus sign.
pub(super) mod hex {
    use serde::{Deserialize, Deserializer, Serializer, de};

    pub(crate) fn serialize<S: Serializer>(value: &Option<u64>, to: S) -> Result<S::Ok, S::Error> {
        match value {
            Some(number) => to.serialize_str(&format!("{number:016x}")),
            None => to.serialize_none(),
        }
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Option<u64>, D::Error> {
        let text = String::deserialize(from)?;
        let number = u64::from_str_radix(&text, 16);
        number
            .map(Some)
            .map_err(|_| de::Error::invalid_value(de::Unexpected::Str(&text), &"up to 16 hexadecimal digits"))
    }
}
