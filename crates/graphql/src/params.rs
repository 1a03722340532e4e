//! The GraphQL parameters of a request, from its body or its URL.

use std::borrow::Cow;

use percent_encoding::percent_decode_str;
use serde_json::{Map, Value};
use sha2::{Digest, Sha256};

use crate::error::{ErrorCode, Rejection};
use crate::json;

/// The parameters that the specification defines, and `documentId` of its appendix on persisted documents.
const STANDARD_PARAMETERS: [&str; 5] = ["query", "operationName", "variables", "extensions", "documentId"];
/// The member of `extensions` in which an Apollo client sends the hash of a document.
const PERSISTED_QUERY: &str = "persistedQuery";

/// The parameters of a single request.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Params {
    /// The text of the document.
    pub query: Option<String>,
    /// The name of the operation to run.
    pub operation: Option<String>,
    /// The values of the document's variables.
    pub variables: Map<String, Value>,
    /// The name of a persisted document; for a hash, without the prefix that names its algorithm.
    pub document_name: Option<String>,
}

/// Whether a server could take `name` for `standard`: some servers ignore case and surrounding white space.
fn is_like(name: &str, standard: &str) -> bool {
    name.trim().to_lowercase() == standard.to_lowercase() || !name.is_ascii()
}

/// Whether operators may allow this parameter: no server can take it for one of GraphQL's own.
pub fn is_allowable_parameter(name: &str) -> bool {
    !name.is_empty()
        && name.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'-'))
        && !STANDARD_PARAMETERS.iter().any(|standard| is_like(name, standard))
}

fn bad_request(message: impl Into<Cow<'static, str>>) -> Rejection {
    Rejection::new(ErrorCode::BadRequest, message)
}

fn ambiguous(message: impl Into<Cow<'static, str>>) -> Rejection {
    Rejection::new(ErrorCode::Ambiguous, message)
}

fn unknown_parameter(name: &str) -> Rejection {
    let shown: String = name.chars().take(40).flat_map(char::escape_default).collect();
    // A server might use it: ignoring the case of a name, or as the name of a persisted document.
    ambiguous(format!("the parameter {shown:?} is not known"))
}

impl Params {
    /// Reads one JSON object. `allowed` are the names of further parameters that the operator allows.
    pub(crate) fn from_json(text: &str, allowed: &[String]) -> Result<Params, Rejection> {
        let mut members = json::parse_object(text, "the body")?;
        if let Some(name) =
            members.keys().find(|n| !STANDARD_PARAMETERS.contains(&n.as_str()) && !allowed.contains(n))
        {
            return Err(unknown_parameter(name));
        }
        let mut string = |name: &str| match members.remove(name) {
            None | Some(Value::Null) => Ok(None),
            Some(Value::String(text)) => Ok(Some(text)),
            Some(_) => Err(bad_request(format!("{name}: expected a string"))),
        };
        let (query, operation, id) = (string("query")?, string("operationName")?, string("documentId")?);
        let mut object = |name: &str| match members.remove(name) {
            None | Some(Value::Null) => Ok(Map::new()),
            Some(Value::Object(members)) => Ok(members),
            Some(_) => Err(bad_request(format!("{name}: expected an object"))),
        };
        let (variables, extensions) = (object("variables")?, object("extensions")?);
        Params { query, operation, variables, document_name: None }.with_document_name(extensions, id)
    }

    /// Reads the query component of a URL.
    pub(crate) fn from_url(query: &str, allowed: &[String]) -> Result<Params, Rejection> {
        let [mut text, mut operation, mut variables, mut extensions, mut id] = [const { None }; 5];
        for (name, value) in pairs(query)? {
            let slot = match &*name {
                "query" => &mut text,
                "operationName" => &mut operation,
                "variables" => &mut variables,
                "extensions" => &mut extensions,
                "documentId" => &mut id,
                other if allowed.iter().any(|name| name == other) => continue,
                other => return Err(unknown_parameter(other)),
            };
            if slot.replace(value).is_some() {
                return Err(ambiguous(format!("the parameter {name} is there twice")));
            }
        }
        // A server that decodes once more could see a string end elsewhere.
        let has_percent_encoding = |text: &String| {
            let octets = text.as_bytes();
            octets.windows(3).any(|w| w[0] == b'%' && w[1..].iter().all(u8::is_ascii_hexdigit))
        };
        if text.as_ref().is_some_and(has_percent_encoding)
            || extensions.as_ref().is_some_and(has_percent_encoding)
        {
            return Err(ambiguous("the document could be decoded twice"));
        }
        let object = |text: Option<String>, what: &str| match text.as_deref() {
            // Clients send an empty value for a parameter that they don't use.
            None | Some("" | "null") => Ok(Map::new()),
            Some(text) => json::parse_object(text, what),
        };
        let (variables, extensions) = (object(variables, "variables")?, object(extensions, "extensions")?);
        Params { query: text, operation, variables, document_name: None }.with_document_name(extensions, id)
    }

    /// Adds the document's name, from `extensions` or `documentId`. If the request also has a text, the name
    /// has to be the text's hash.
    fn with_document_name(
        mut self,
        extensions: Map<String, Value>,
        id: Option<String>,
    ) -> Result<Params, Rejection> {
        let is_similar = |name: &&String| *name != PERSISTED_QUERY && is_like(name, PERSISTED_QUERY);
        if let Some(name) = extensions.keys().find(is_similar) {
            return Err(unknown_parameter(name));
        }
        let hash = match extensions.get(PERSISTED_QUERY) {
            None | Some(Value::Null) => None,
            Some(Value::Object(persisted)) => Some(persisted_query_hash(persisted)?),
            Some(_) => return Err(bad_request("extensions.persistedQuery: expected an object")),
        };
        // In `documentId`, a hash has a prefix that names its algorithm.
        let id = id.map(|id| id.strip_prefix("sha256:").map_or(id.clone(), str::to_ascii_lowercase));
        self.document_name = match (hash, id) {
            (Some(hash), Some(id)) if hash != id => return Err(ambiguous("two documents are named")),
            (hash, id) => hash.or(id),
        };
        // Some clients send an empty text along with a hash.
        if self.document_name.is_some() && self.query.as_deref() == Some("") {
            self.query = None;
        }
        if self.operation.as_deref() == Some("") {
            self.operation = None;
        }
        match (&self.query, &self.document_name) {
            (None, None) => Err(bad_request("there is no query")),
            (Some(query), Some(name)) if hex(&Sha256::digest(query)) != *name => {
                // A server may run the persisted document of that name instead.
                Err(ambiguous("the document's name is not its SHA-256"))
            }
            _ => Ok(self),
        }
    }
}

/// Returns the hash in `extensions.persistedQuery`, in lower case.
fn persisted_query_hash(persisted: &Map<String, Value>) -> Result<String, Rejection> {
    let expected_names = ["version", "sha256Hash"];
    if let Some(name) = persisted.keys().find(|name| !expected_names.contains(&name.as_str())) {
        return Err(unknown_parameter(name));
    }
    match (persisted.get("sha256Hash"), persisted.get("version")) {
        (Some(Value::String(hash)), Some(version)) if version.as_u64() == Some(1) => {
            Ok(hash.to_ascii_lowercase())
        }
        _ => Err(bad_request("extensions.persistedQuery: expected version 1 and sha256Hash")),
    }
}

/// Formats bytes in hexadecimal.
pub(crate) fn hex(octets: &[u8]) -> String {
    octets.iter().map(|octet| format!("{octet:02x}")).collect()
}

/// Returns the names and values of a URL's query; rejects a query that parsers of URLs read differently.
fn pairs(query: &str) -> Result<Vec<(String, String)>, Rejection> {
    // Older parsers also separate pairs by semicolons.
    if query.contains(';') {
        return Err(ambiguous("the URL's query has a semicolon that is not encoded"));
    }
    let decode = |text: &str| {
        let octets = text.as_bytes();
        let is_complete = |index: usize| {
            octets.get(index + 1..index + 3).is_some_and(|digits| digits.iter().all(u8::is_ascii_hexdigit))
        };
        if octets.iter().enumerate().any(|(index, octet)| *octet == b'%' && !is_complete(index)) {
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

/// Checks that the URL's query of a request with a body has no parameter that a server could take for one of
/// the body's.
pub(crate) fn check_query_beside_body(query: Option<&str>, allowed: &[String]) -> Result<(), Rejection> {
    for (name, _) in pairs(query.unwrap_or_default())? {
        if STANDARD_PARAMETERS.iter().any(|standard| is_like(&name, standard)) {
            return Err(ambiguous(format!("{name} stands in the URL, beside a body")));
        }
        if !allowed.contains(&name) {
            return Err(unknown_parameter(&name));
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The SHA-256 of `{a}`, computed by another program.
    const HASH: &str = "460c3a93211614ac783c0f1d1bbbcb45a6da87d6421b5c0771772588f1015ff8";

    #[test]
    fn hashes_the_document_text() {
        assert_eq!(hex(&Sha256::digest("{a}")), HASH);
    }

    #[test]
    fn rejects_ambiguous_bodies() {
        let hashed = |text: &str, hash: &str| {
            format!(
                r#"{{"query": {text}, "extensions": {{"persistedQuery": {{"version": 1, "sha256Hash": "{hash}"}}}}}}"#
            )
        };
        let (ambiguous, bad_request) = (Some(ErrorCode::Ambiguous), Some(ErrorCode::BadRequest));
        for (body, expected) in [
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
            (r#"{"query": 7}"#.into(), bad_request),
            (r#"{"query": ["{a}"]}"#.into(), bad_request),
            (r#"{"query": "{a}", "variables": []}"#.into(), bad_request),
            (r#"{"query": "{a}", "variables": "{}"}"#.into(), bad_request),
            (r#"{"query": "{a}", "operationName": 7}"#.into(), bad_request),
            (r#"{"query": "{a}", "extensions": {"persistedQuery": {"version": 2}}}"#.into(), bad_request),
            (r#"{"qeury": "{a}"}"#.into(), ambiguous),
            ("{}".into(), bad_request),
        ] {
            let parsed = Params::from_json(&body, &["cache".into()]);
            assert_eq!(parsed.err().map(|rejection| rejection.code), expected, "{body}");
        }
    }

    #[test]
    fn rejects_ambiguous_urls() {
        let (ambiguous, bad_request) = (Some(ErrorCode::Ambiguous), Some(ErrorCode::BadRequest));
        for (query, expected) in [
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
            ("variables=7&query=%7Ba%7D", bad_request),
            ("variables=%7B%7D", bad_request),
            ("", bad_request),
        ] {
            let parsed = Params::from_url(query, &["cache".into()]);
            assert_eq!(parsed.err().map(|rejection| rejection.code), expected, "{query}");
        }
        for (query, expected) in [
            ("", false),
            ("cache=1", false),
            ("query=", true),
            ("QUERY=1", true),
            ("x=1", true),
            ("a;b", true),
        ] {
            assert_eq!(check_query_beside_body(Some(query), &["cache".into()]).is_err(), expected, "{query}");
        }
    }

    #[test]
    fn allows_only_parameters_unlike_the_standard_ones() {
        for (name, allowed) in [
            ("_", true),
            ("cache-buster", true),
            ("id", true),
            ("QUERY", false),
            ("documentid", false),
            ("", false),
            ("a[]", false),
        ] {
            assert_eq!(is_allowable_parameter(name), allowed, "{name}");
        }
    }
}
