//! The parameters of a request, from its body or its URL.

use std::borrow::Cow;

use percent_encoding::percent_decode_str;
use serde_json::{Map, Value};
use sha2::{Digest, Sha256};

use crate::error::{ErrorCode, Rejection};
use crate::json;

/// The parameters that the specification names, and `documentId` of its appendix on persisted documents.
const NAMED: [&str; 5] = ["query", "operationName", "variables", "extensions", "documentId"];
/// What an Apollo client sends the hash of a document in, within `extensions`.
const PERSISTED: &str = "persistedQuery";

/// What a request asks for.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Params {
    /// The document.
    pub query: Option<String>,
    /// Which of its operations is meant.
    pub operation: Option<String>,
    /// What its variables stand for.
    pub variables: Map<String, Value>,
    /// The name of a document that the server knows: the hash, without what says how it was made.
    pub document: Option<String>,
}

/// Whether a name is one of these but for its case; there are servers that heed no case.
fn is_like(name: &str, known: &str) -> bool {
    name.trim().to_lowercase() == known.to_lowercase() || !name.is_ascii()
}

/// Whether operators may let this parameter pass: it can't be taken for one that is heeded.
pub fn is_allowable_parameter(name: &str) -> bool {
    !name.is_empty()
        && name.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'-'))
        && !NAMED.iter().any(|known| is_like(name, known))
}

fn bad(message: impl Into<Cow<'static, str>>) -> Rejection {
    Rejection::new(ErrorCode::BadRequest, message)
}

fn ambiguous(message: impl Into<Cow<'static, str>>) -> Rejection {
    Rejection::new(ErrorCode::Ambiguous, message)
}

fn unknown(name: &str) -> Rejection {
    let shown: String = name.chars().take(40).flat_map(char::escape_default).collect();
    // A server might heed it: by another case, as the name of a stored document.
    ambiguous(format!("the parameter {shown:?} is not known"))
}

impl Params {
    /// From one JSON object. `passed` are names that the operator lets pass.
    pub(crate) fn from_json(text: &str, passed: &[String]) -> Result<Params, Rejection> {
        let mut members = json::object(text, "the body")?;
        if let Some(name) = members.keys().find(|n| !NAMED.contains(&n.as_str()) && !passed.contains(n)) {
            return Err(unknown(name));
        }
        let mut text = |name: &str| match members.remove(name) {
            None | Some(Value::Null) => Ok(None),
            Some(Value::String(text)) => Ok(Some(text)),
            Some(_) => Err(bad(format!("{name}: expected a string"))),
        };
        let (query, operation, id) = (text("query")?, text("operationName")?, text("documentId")?);
        let mut map = |name: &str| match members.remove(name) {
            None | Some(Value::Null) => Ok(Map::new()),
            Some(Value::Object(members)) => Ok(members),
            Some(_) => Err(bad(format!("{name}: expected an object"))),
        };
        let (variables, extensions) = (map("variables")?, map("extensions")?);
        Params { query, operation, variables, document: None }.with(extensions, id)
    }

    /// From a URL's query.
    pub(crate) fn from_url(query: &str, passed: &[String]) -> Result<Params, Rejection> {
        let [mut text, mut operation, mut variables, mut extensions, mut id] = [const { None }; 5];
        for (name, value) in pairs(query)? {
            let place = match &*name {
                "query" => &mut text,
                "operationName" => &mut operation,
                "variables" => &mut variables,
                "extensions" => &mut extensions,
                "documentId" => &mut id,
                other if passed.iter().any(|known| known == other) => continue,
                other => return Err(unknown(other)),
            };
            if place.replace(value).is_some() {
                return Err(ambiguous(format!("the parameter {name} is there twice")));
            }
        }
        // A server that decodes once more would find another end to a string.
        let decodable = |text: &String| {
            let octets = text.as_bytes();
            octets.windows(3).any(|w| w[0] == b'%' && w[1..].iter().all(u8::is_ascii_hexdigit))
        };
        if text.as_ref().is_some_and(decodable) || extensions.as_ref().is_some_and(decodable) {
            return Err(ambiguous("the document could be decoded twice"));
        }
        let map = |text: Option<String>, what: &str| match text.as_deref() {
            // Clients leave empty what they have nothing for.
            None | Some("" | "null") => Ok(Map::new()),
            Some(text) => json::object(text, what),
        };
        let (variables, extensions) = (map(variables, "variables")?, map(extensions, "extensions")?);
        Params { query: text, operation, variables, document: None }.with(extensions, id)
    }

    /// Adds the document's name, from wherever it stands; a text that comes along has to be that document.
    fn with(mut self, extensions: Map<String, Value>, id: Option<String>) -> Result<Params, Rejection> {
        let other = |name: &&String| *name != PERSISTED && is_like(name, PERSISTED);
        if let Some(name) = extensions.keys().find(other) {
            return Err(unknown(name));
        }
        let hash = match extensions.get(PERSISTED) {
            None | Some(Value::Null) => None,
            Some(Value::Object(persisted)) => Some(hash_of(persisted)?),
            Some(_) => return Err(bad("extensions.persistedQuery: expected an object")),
        };
        // In `documentId` a hash says how it was made.
        let id = id.map(|id| id.strip_prefix("sha256:").map_or(id.clone(), str::to_ascii_lowercase));
        self.document = match (hash, id) {
            (Some(hash), Some(id)) if hash != id => return Err(ambiguous("two documents are named")),
            (hash, id) => hash.or(id),
        };
        // Some clients leave the text empty where they send a hash.
        if self.document.is_some() && self.query.as_deref() == Some("") {
            self.query = None;
        }
        if self.operation.as_deref() == Some("") {
            self.operation = None;
        }
        match (&self.query, &self.document) {
            (None, None) => Err(bad("there is no query")),
            (Some(query), Some(document)) if hex(&Sha256::digest(query)) != *document => {
                // A server may run the document of that name instead.
                Err(ambiguous("the document's name is not its SHA-256"))
            }
            _ => Ok(self),
        }
    }
}

/// The hash in `extensions.persistedQuery`.
fn hash_of(persisted: &Map<String, Value>) -> Result<String, Rejection> {
    let known = ["version", "sha256Hash"];
    if let Some(name) = persisted.keys().find(|name| !known.contains(&name.as_str())) {
        return Err(unknown(name));
    }
    match (persisted.get("sha256Hash"), persisted.get("version")) {
        (Some(Value::String(hash)), Some(version)) if version.as_u64() == Some(1) => {
            Ok(hash.to_ascii_lowercase())
        }
        _ => Err(bad("extensions.persistedQuery: expected version 1 and sha256Hash")),
    }
}

/// An octet string in hexadecimal.
pub(crate) fn hex(octets: &[u8]) -> String {
    octets.iter().map(|octet| format!("{octet:02x}")).collect()
}

/// Names and values of a URL's query, in the one way that all forms of reading it agree on.
fn pairs(query: &str) -> Result<Vec<(String, String)>, Rejection> {
    // Older forms end a pair with it.
    if query.contains(';') {
        return Err(ambiguous("the URL's query has a semicolon that is not encoded"));
    }
    let decode = |text: &str| {
        let octets = text.as_bytes();
        let whole =
            |at: usize| octets.get(at + 1..at + 3).is_some_and(|x| x.iter().all(u8::is_ascii_hexdigit));
        if octets.iter().enumerate().any(|(at, octet)| *octet == b'%' && !whole(at)) {
            return Err(ambiguous("the URL's query has a % that encodes nothing"));
        }
        let spaced = text.replace('+', " ");
        percent_decode_str(&spaced)
            .decode_utf8()
            .map(Cow::into_owned)
            .map_err(|_| ambiguous("the URL's query is not in UTF-8"))
    };
    let pair = |pair: &str| {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        Ok((decode(name)?, decode(value)?))
    };
    query.split('&').filter(|pair| !pair.is_empty()).map(pair).collect()
}

/// Checks that a URL's query, beside a body, says nothing that a server could take for the body's.
pub(crate) fn check_beside_body(query: Option<&str>, passed: &[String]) -> Result<(), Rejection> {
    for (name, _) in pairs(query.unwrap_or_default())? {
        if NAMED.iter().any(|known| is_like(&name, known)) {
            return Err(ambiguous(format!("{name} stands in the URL, beside a body")));
        }
        if !passed.contains(&name) {
            return Err(unknown(&name));
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The SHA-256 of `{a}`, by another program.
    const HASH: &str = "460c3a93211614ac783c0f1d1bbbcb45a6da87d6421b5c0771772588f1015ff8";

    #[test]
    fn a_hash_is_that_of_the_text() {
        assert_eq!(hex(&Sha256::digest("{a}")), HASH);
    }

    #[test]
    fn bodies_that_can_be_read_in_two_ways_are_turned_down() {
        let hashed = |text: &str, hash: &str| {
            format!(
                r#"{{"query": {text}, "extensions": {{"persistedQuery": {{"version": 1, "sha256Hash": "{hash}"}}}}}}"#
            )
        };
        let (ambiguous, bad) = (Some(ErrorCode::Ambiguous), Some(ErrorCode::BadRequest));
        for (body, wrong) in [
            (r#"{"query": "{a}"}"#.to_string(), None),
            (
                r#"{"query": "{a}", "variables": null, "operationName": null, "extensions": null}"#.into(),
                None,
            ),
            (r#"{"query": "{a}", "cache": 1}"#.into(), None),
            (r#"{"query": "{a}", "Query": "mutation {b}"}"#.into(), ambiguous),
            ("{\"query\": \"{a}\", \"\u{17f}query\": 1}".into(), ambiguous),
            (r#"{"query": "{a}", "id": "7"}"#.into(), ambiguous),
            (r#"{"query": "{a}", "query": "{a}"}"#.into(), ambiguous),
            (r#"{"query": "{a}", "extensions": {"PersistedQuery": {}}}"#.into(), ambiguous),
            (r#"{"query": "{a}", "extensions": {"tracing": true}}"#.into(), None),
            (r#"{"query": "{a}", "documentId": "sha256:00"}"#.into(), ambiguous),
            (hashed("\"{a}\"", HASH), None),
            (hashed("\"{a}\"", &HASH.to_uppercase()), None),
            (hashed("\"{b}\"", HASH), ambiguous),
            (hashed("null", HASH), None),
            (hashed("\"\"", HASH), None),
            (r#"{"documentId": "7f3a"}"#.into(), None),
            (r#"{"query": 7}"#.into(), bad),
            (r#"{"query": ["{a}"]}"#.into(), bad),
            (r#"{"query": "{a}", "variables": []}"#.into(), bad),
            (r#"{"query": "{a}", "variables": "{}"}"#.into(), bad),
            (r#"{"query": "{a}", "operationName": 7}"#.into(), bad),
            (r#"{"query": "{a}", "extensions": {"persistedQuery": {"version": 2}}}"#.into(), bad),
            (r#"{"qeury": "{a}"}"#.into(), ambiguous),
            ("{}".into(), bad),
        ] {
            let read = Params::from_json(&body, &["cache".into()]);
            assert_eq!(read.err().map(|wrong| wrong.code), wrong, "{body}");
        }
    }

    #[test]
    fn urls_that_can_be_read_in_two_ways_are_turned_down() {
        let (ambiguous, bad) = (Some(ErrorCode::Ambiguous), Some(ErrorCode::BadRequest));
        for (query, wrong) in [
            ("query=%7Ba%7D", None),
            ("query=%7Ba%7D&variables=&operationName=&cache=1", None),
            ("query=query+A%7Ba%7D&operationName=A&variables=%7B%22b%22%3A1%7D", None),
            ("query=%7Ba%7D&query=%7Ba%7D", ambiguous),
            ("query=%7Ba%7D&Query=mutation%7Bb%7D", ambiguous),
            ("query=%7Ba%7D&+query=mutation%7Bb%7D", ambiguous),
            ("query=%7Ba%7D&query%5B%5D=mutation%7Bb%7D", ambiguous),
            ("query=%7Ba%7D&query%00=mutation%7Bb%7D", ambiguous),
            ("query=%7Ba%7D;query=mutation%7Bb%7D", ambiguous),
            ("query=%7Ba%7D&id=7", ambiguous),
            ("query=%7Ba%", ambiguous),
            ("query=%7Ba%u007D", ambiguous),
            ("query=%7Ba%E9%7D", ambiguous),
            ("query=%7Ba(b%3A%22%2522%22)%7D", ambiguous),
            ("documentId=7f3a", None),
            ("variables=7&query=%7Ba%7D", bad),
            ("variables=%7B%7D", bad),
            ("", bad),
        ] {
            let read = Params::from_url(query, &["cache".into()]);
            assert_eq!(read.err().map(|wrong| wrong.code), wrong, "{query}");
        }
        for (query, wrong) in [
            ("", false),
            ("cache=1", false),
            ("query=", true),
            ("QUERY=1", true),
            ("x=1", true),
            ("a;b", true),
        ] {
            assert_eq!(check_beside_body(Some(query), &["cache".into()]).is_err(), wrong, "{query}");
        }
    }

    #[test]
    fn operators_can_let_pass_what_no_server_takes_for_a_document() {
        for (name, passes) in [
            ("_", true),
            ("cache-buster", true),
            ("id", true),
            ("QUERY", false),
            ("documentid", false),
            ("", false),
            ("a[]", false),
        ] {
            assert_eq!(is_allowable_parameter(name), passes, "{name}");
        }
    }
}
