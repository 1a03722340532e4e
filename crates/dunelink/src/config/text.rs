//! Finding what a key says in a text, and what a text says wrongly.

use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::error::{ConfigError, Problem};

/// Reads a value from TOML; an error names its line and key.
pub(super) fn parse_toml<T: DeserializeOwned>(text: &str) -> Result<T, ConfigError> {
    let of_toml = |e: toml::de::Error, key: String| {
        let line = e.span().map(|span| line_at(text, span.start)).or_else(|| find_in_toml(text, &key));
        ConfigError::of(e.message()).at(line, key)
    };
    let deserializer = toml::Deserializer::parse(text).map_err(|e| of_toml(e, String::new()))?;
    serde_path_to_error::deserialize(deserializer).map_err(|e| {
        let key = key_of(e.path());
        of_toml(e.into_inner(), key)
    })
}

/// The key at which reading stopped, as far as it is known.
pub(super) fn key_of(path: &serde_path_to_error::Path) -> String {
    let path = path.to_string();
    path.trim_end_matches(['.', '?']).to_string()
}

/// A problem with a value that was read from this text.
pub(super) fn toml_problem(text: &str, problem: Problem) -> ConfigError {
    let line = find_in_toml(text, &problem.key);
    ConfigError::of(problem.expected).at(line, problem.key)
}

/// The line of a position, from 1.
fn line_at(text: &str, position: usize) -> usize {
    let before = text.as_bytes().get(..position).unwrap_or(text.as_bytes());
    1 + before.iter().filter(|b| **b == b'\n').count()
}

/// The parts of a key such as `classes[1].deadline`.
fn parts(key: &str) -> impl Iterator<Item = &str> {
    key.split(['.', '[', ']']).filter(|part| !part.is_empty())
}

/// The line on which a key stands, or the nearest of its parents that does.
fn find_in_toml(text: &str, key: &str) -> Option<usize> {
    let root = DeTable::parse(text).ok()?;
    let mut at: Option<usize> = None;
    let mut table = Some(root.get_ref());
    let mut array: Option<&[Spanned<DeValue<'_>>]> = None;
    for part in parts(key) {
        let value: &Spanned<DeValue<'_>> = match (table, array) {
            (Some(t), _) => match t.iter().find(|(k, _)| k.get_ref() == part) {
                Some((k, value)) => {
                    at = Some(k.span().start);
                    value
                }
                None => break,
            },
            (None, Some(a)) => match part.parse().ok().and_then(|i: usize| a.get(i)) {
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

/// The line on which a key stands in JSON that is known to be well formed, or the nearest of its parents.
pub(super) fn find_in_json(text: &str, key: &str) -> Option<usize> {
    let (mut from, mut found) = (0, None);
    for part in parts(key) {
        let Some(at) = json_child(text.as_bytes(), from, part) else { break };
        (from, found) = (at, Some(at));
    }
    found.map(|position| line_at(text, position))
}

/// Where the value of a member or an element begins in the object or array that begins at `from`.
fn json_child(text: &[u8], from: usize, part: &str) -> Option<usize> {
    let mut at = space(text, from);
    let object = match text.get(at)? {
        b'{' => true,
        b'[' => false,
        _ => return None,
    };
    at = space(text, at + 1);
    for number in 0.. {
        if matches!(text.get(at)?, b'}' | b']') {
            return None;
        }
        let mut wanted = !object && part.parse() == Ok(number);
        if object {
            let end = skip(text, at)?;
            wanted = text.get(at + 1..end - 1)? == part.as_bytes();
            at = space(text, space(text, end) + 1);
        }
        if wanted {
            return Some(at);
        }
        at = space(text, skip(text, at)?);
        if text.get(at)? == &b',' {
            at = space(text, at + 1);
        }
    }
    None
}

fn space(text: &[u8], from: usize) -> usize {
    from + text.get(from..).unwrap_or_default().iter().take_while(|b| b.is_ascii_whitespace()).count()
}

/// Where the value that begins at `at` ends.
fn skip(text: &[u8], mut at: usize) -> Option<usize> {
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

/// A number of 64 bits as hexadecimal text: TOML has none so large.
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
