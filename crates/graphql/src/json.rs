//! JSON that all parsers read alike: no object has two members of the same name. Of two such members some
//! parsers use the first and most the last (RFC 8259, 4).

use std::fmt;

use serde::Deserialize;
use serde::de::{Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};

use crate::error::{ErrorCode, Rejection};

/// A value in which no object, at any depth, has duplicate member names.
struct UniqueNames(Value);

/// The error message for duplicate member names.
const DUPLICATE_NAME_MESSAGE: &str = "a member is named twice";

impl<'de> Deserialize<'de> for UniqueNames {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<UniqueNames, D::Error> {
        from.deserialize_any(UniqueNamesVisitor).map(UniqueNames)
    }
}

struct UniqueNamesVisitor;

impl<'de> Visitor<'de> for UniqueNamesVisitor {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(Number::from_f64(value).map_or(Value::Null, Value::Number))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::String(value.to_string()))
    }

    fn visit_string<E>(self, value: String) -> Result<Value, E> {
        Ok(Value::String(value))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut from: A) -> Result<Value, A::Error> {
        let mut values = Vec::new();
        while let Some(UniqueNames(value)) = from.next_element()? {
            values.push(value);
        }
        Ok(Value::Array(values))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut from: A) -> Result<Value, A::Error> {
        let mut members = Map::new();
        while let Some(name) = from.next_key::<String>()? {
            if members.contains_key(&name) {
                return Err(A::Error::custom(DUPLICATE_NAME_MESSAGE));
            }
            let UniqueNames(value) = from.next_value()?;
            members.insert(name, value);
        }
        Ok(Value::Object(members))
    }
}

/// Parses an object; `what` names it in error messages.
pub(crate) fn parse_object(text: &str, what: &str) -> Result<Map<String, Value>, Rejection> {
    let parsed: Result<UniqueNames, serde_json::Error> = serde_json::from_str(text);
    match parsed {
        Ok(UniqueNames(Value::Object(members))) => Ok(members),
        Ok(_) => Err(Rejection::new(ErrorCode::BadRequest, format!("{what}: expected an object"))),
        Err(error) => {
            let code = if error.to_string().starts_with(DUPLICATE_NAME_MESSAGE) {
                ErrorCode::Ambiguous
            } else {
                ErrorCode::BadRequest
            };
            Err(Rejection::new(code, format!("{what}: {error}")))
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rejects_invalid_and_ambiguous_json() {
        let code = |text: &str| parse_object(text, "the body").err().map(|rejection| rejection.code);
        for (text, expected) in [
            (r#"{"a": 1, "b": [{"c": null}], "d": -0.5e3}"#, None),
            (r#"{"a": 1, "a": 1}"#, Some(ErrorCode::Ambiguous)),
            (r#"{"a": 1, "\u0061": 1}"#, Some(ErrorCode::Ambiguous)),
            (r#"{"a": [{"b": 1, "b": 1}]}"#, Some(ErrorCode::Ambiguous)),
            (r#"{"a": "\ud800"}"#, Some(ErrorCode::BadRequest)),
            (r#"{"a": 1} {"b": 1}"#, Some(ErrorCode::BadRequest)),
            (r#"{"a": 1,}"#, Some(ErrorCode::BadRequest)),
            (r#"{'a': 1}"#, Some(ErrorCode::BadRequest)),
            (r#"{"a": 1 /* b */}"#, Some(ErrorCode::BadRequest)),
            (r#"{"a": NaN}"#, Some(ErrorCode::BadRequest)),
            ("\u{feff}{}", Some(ErrorCode::BadRequest)),
            ("{\"a\": \"\n\"}", Some(ErrorCode::BadRequest)),
            ("{\"a\": \"\0\"}", Some(ErrorCode::BadRequest)),
            ("[]", Some(ErrorCode::BadRequest)),
            ("7", Some(ErrorCode::BadRequest)),
            ("", Some(ErrorCode::BadRequest)),
        ] {
            assert_eq!(code(text), expected, "{text:?}");
        }
        let deep = format!("{{\"a\": {}{}}}", "[".repeat(100_000), "]".repeat(100_000));
        assert_eq!(code(&deep), Some(ErrorCode::BadRequest), "the recursion depth is bounded");
    }
}
